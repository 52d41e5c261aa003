"""Run a stand-in for the platform or for a backend server as a program."""

from gevent import monkey

monkey.patch_all()

import argparse
import sys

import gevent

from ..addresses import Address, parse_address
from ..ids import ServiceName
from ..standins.platform import PlatformStandin
from ..standins.server import ChildCall, ServerPlan, ServerStandin


def main(arguments: list[str] | None = None) -> int:
    """Run the stand-in chosen on the command line until the process is stopped."""
    options = _make_parser().parse_args(arguments)
    if options.kind == "platform":
        PlatformStandin(options.listen).start()
    else:
        _start_server(options)
    print(f"{options.kind} stand-in on {options.listen}", flush=True)
    gevent.wait()
    return 0


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-standin",
        description="Run a stand-in for the platform or for a backend server.",
    )
    subparsers = parser.add_subparsers(dest="kind", required=True)
    platform = subparsers.add_parser(
        "platform", help="the platform's object API, in memory"
    )
    server = subparsers.add_parser(
        "server", help="a backend server with a fixed number of slots"
    )
    for subparser in (platform, server):
        subparser.add_argument(
            "listen", type=parse_address, help="address to listen on, as IP:port"
        )
    server.add_argument("--slots", type=int, default=20, help="calls served at once")
    server.add_argument(
        "--service-ms", type=float, default=10.0, help="service time of a call in ms"
    )
    server.add_argument(
        "--answer-bytes", type=int, default=512, help="size of an answer in bytes"
    )
    server.add_argument(
        "--child",
        action="append",
        default=[],
        metavar="SERVICE=PATH",
        help="downstream call made while serving a call (repeatable)",
    )
    server.add_argument(
        "--egress",
        type=parse_address,
        help="egress address of the node, as IP:port, for --child",
    )
    return parser


def _start_server(options: argparse.Namespace) -> None:
    egress: Address = options.egress or options.listen
    children = []
    for text in options.child:
        service, _, path = text.partition("=")
        children.append(ChildCall(ServiceName(service), path or "/", egress))
    plan = ServerPlan(
        options.slots,
        options.service_ms / 1000.0,
        options.answer_bytes,
        tuple(children),
    )
    ServerStandin(options.listen, plan).start()


if __name__ == "__main__":
    sys.exit(main())
