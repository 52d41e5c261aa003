"""Provide the operators' program: settings, nodes, operations and request logs."""

from gevent import monkey

monkey.patch_all()

import argparse
import sys
from collections.abc import Callable
from typing import Final

from ..addresses import parse_address
from . import nodes, operations, stories, trees

EXIT_OK: Final = 0

CommandFunction = Callable[[argparse.Namespace], int]

EXIT_CODES_HELP: Final = """\
exit codes:
  0  done; no differences
  1  differences found, calls left in flight, no operation to settle, no log lines
  2  usage error, unreadable file or invalid settings
  3  refused: conflicting change accepted first, or subtree owned by another team
  4  platform or node unreachable; nothing was changed
  5  unknown whether the change was accepted or is in force
"""


def main(arguments: list[str] | None = None) -> int:
    """Run one sub-command and return its exit code."""
    options = _make_parser().parse_args(arguments)
    run: CommandFunction = options.run
    return run(options)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-ctl",
        description="Operate a fleet of nodes.",
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    _add_settings_commands(subparsers)
    _add_node_commands(subparsers)
    _add_operation_commands(subparsers)
    explain = _add_command(
        subparsers,
        "explain",
        "show the log lines of one request",
        stories.explain_request,
    )
    explain.add_argument("request", help="id of the request or of one of its calls")
    explain.add_argument(
        "log", nargs="+", help="log file of a node, JSON lines; - for standard input"
    )
    return parser


def _add_settings_commands(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    settings = subparsers.add_parser(
        "settings", help="check and change the settings tree"
    )
    actions = settings.add_subparsers(dest="action", required=True)
    for name, run, help_text in (
        ("check", trees.check_folder, "check a folder of INI files"),
        ("show", trees.show_tree, "show what is accepted, or in force on a node"),
        ("diff", trees.diff_folder, "compare a folder with what is accepted"),
        ("apply", trees.apply_folder, "submit the changes of a folder to be accepted"),
        ("history", trees.show_history, "list accepted changes"),
        ("reference", trees.show_reference, "print the reference of all options"),
    ):
        parser = _add_command(actions, name, help_text, run)
        if name in ("check", "diff", "apply"):
            parser.add_argument(
                "folder", help="folder with root.ini and a file for each subtree"
            )
        if name in ("show", "diff", "apply", "history"):
            parser.add_argument(
                "--platform",
                type=parse_address,
                help="address of the platform's object API, as IP:port",
            )
        if name == "show":
            parser.add_argument(
                "--node",
                type=parse_address,
                help="control address of a node, as IP:port",
            )
        if name == "apply":
            parser.add_argument(
                "--team", required=True, help="team that makes the change"
            )
            parser.add_argument("--token", default="", help="token of the team")
            parser.add_argument(
                "--base",
                help="folder that the changes started from (default: what is accepted)",
            )
            parser.add_argument(
                "--wait",
                type=parse_address,
                action="append",
                default=[],
                metavar="NODE",
                help="wait until this node has the revision in force (repeatable)",
            )


def _add_node_commands(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    for name, run, help_text in (
        (
            "status",
            nodes.show_status,
            "show the status of nodes, also while the platform is down",
        ),
        (
            "histograms",
            nodes.show_histograms,
            "show latency histograms by call class or caller",
        ),
        (
            "quarantine",
            nodes.show_quarantine,
            "show requests that are refused as servers crashed; on the platform, by"
            " the addresses for metrics",
        ),
        (
            "drain",
            nodes.drain_nodes,
            "drain the node of a server; wait for its calls in flight",
        ),
    ):
        parser = _add_command(subparsers, name, help_text, run)
        parser.add_argument(
            "node",
            type=parse_address,
            nargs="+",
            help="control address of a node, as IP:port",
        )
        if name == "histograms":
            parser.add_argument("--kind", choices=("class", "caller"), default="class")
            parser.add_argument(
                "--plot", action="store_true", help="also draw the histograms as bars"
            )


def _add_operation_commands(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    parser = subparsers.add_parser(
        "operations", help="inspect and resolve protected operations"
    )
    actions = parser.add_subparsers(dest="action", required=True)
    show = _add_command(
        actions, "show", "show what is recorded of a key", operations.show_record
    )
    resolve = _add_command(
        actions,
        "resolve",
        "resolve a key whose outcome is in doubt",
        operations.resolve_operation,
    )
    for action in (show, resolve):
        action.add_argument("key", help="idempotency key sent by the caller")
        action.add_argument("--platform", type=parse_address, required=True)
    resolve.add_argument(
        "--ran",
        choices=("yes", "no"),
        required=True,
        help="what the records of the backend server say",
    )


def _add_command(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    help_text: str,
    run: CommandFunction,
) -> argparse.ArgumentParser:
    parser = subparsers.add_parser(name, help=help_text, description=help_text)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)
    return parser


if __name__ == "__main__":
    sys.exit(main())
