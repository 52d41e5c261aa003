"""Run a stand-in for the platform or for a backend server."""

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
    """Run the stand-in that the command line describes, until stopped."""
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
        description="Stand in for the platform or for a backend server.",
    )
    kinds = parser.add_subparsers(dest="kind", required=True)
    platform = kinds.add_parser("platform", help="the object API, in memory")
    server = kinds.add_parser("server", help="a backend server with slots")
    for kind in (platform, server):
        kind.add_argument("listen", type=parse_address, help="IP:port")
    server.add_argument("--slots", type=int, default=20, help="calls at once")
    server.add_argument(
        "--service-ms", type=float, default=10.0, help="time of one call, in ms"
    )
    server.add_argument(
        "--answer-bytes", type=int, default=512, help="size of an answer"
    )
    server.add_argument(
        "--child",
        action="append",
        default=[],
        metavar="SERVICE=PATH",
        help="call this while serving",
    )
    server.add_argument(
        "--egress", type=parse_address, help="the node's egress, for --child"
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
