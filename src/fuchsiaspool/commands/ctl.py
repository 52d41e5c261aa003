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

Run = Callable[[argparse.Namespace], int]

EPILOG: Final = """\
exit codes:
  0  done; no differences
  1  differences found, calls still in flight, or nothing to resolve or explain
  2  usage error, unreadable file or invalid settings
  3  refused: conflicting change accepted first, or subtree owned by another team
  4  platform or node unreachable; nothing was changed
  5  unknown whether the change was accepted or is in force
"""


def main(arguments: list[str] | None = None) -> int:
    """Run one sub-command and return its exit code."""
    options = _make_parser().parse_args(arguments)
    run: Run = options.run
    return run(options)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-ctl",
        description="Operate a fleet of nodes.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_settings(commands)
    _add_node_commands(commands)
    _add_operations(commands)
    story = _add(
        commands, "explain", "show the log lines of one request", stories.explain
    )
    story.add_argument("request", help="id of the request or of one of its calls")
    story.add_argument(
        "log", nargs="+", help="log file of a node, JSON lines; - for standard input"
    )
    return parser


def _add_settings(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    settings = commands.add_parser(
        "settings", help="check and change the settings tree"
    )
    kinds = settings.add_subparsers(dest="action", required=True)
    for name, run, text in (
        ("check", trees.check, "check a folder of INI files"),
        ("show", trees.show, "show what is accepted, or in force on a node"),
        ("diff", trees.diff, "compare a folder with what is accepted"),
        ("apply", trees.apply, "get the changes of a folder accepted"),
        ("history", trees.history, "list accepted changes"),
        ("reference", trees.reference, "print the reference of all options"),
    ):
        parser = _add(kinds, name, text, run)
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
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    for name, run, text in (
        (
            "status",
            nodes.show_status,
            "show status of nodes, also while the platform is down",
        ),
        (
            "histograms",
            nodes.show_histograms,
            "show latency histograms by call class or caller",
        ),
        (
            "drain",
            nodes.drain,
            "drain the node of a server; wait for its calls in flight",
        ),
    ):
        parser = _add(commands, name, text, run)
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


def _add_operations(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    parser = commands.add_parser(
        "operations", help="inspect and resolve protected operations"
    )
    kinds = parser.add_subparsers(dest="action", required=True)
    show = _add(kinds, "show", "show what is recorded of a key", operations.show)
    resolve = _add(kinds, "resolve", "resolve a key in doubt", operations.resolve)
    for command in (show, resolve):
        command.add_argument("key", help="idempotency key sent by the caller")
        command.add_argument("--platform", type=parse_address, required=True)
    resolve.add_argument(
        "--ran",
        choices=("yes", "no"),
        required=True,
        help="what the records of the backend server say",
    )


def _add(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    text: str,
    run: Run,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=text, description=text)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)
    return parser


if __name__ == "__main__":
    sys.exit(main())
