"""Send an open load to running nodes and print what came back."""

from gevent import monkey

monkey.patch_all()

import argparse
import sys
from dataclasses import dataclass
from typing import Final

import gevent
import msgspec

from ..addresses import Address, parse_address
from ..load_generator import LoadPlan, LoadReport, OpenLoadGenerator, RequestShape
from ..plots import format_table

PROGRESS_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class Target:
    """Name one side of an experiment and its entrances."""

    name: str
    addresses: tuple[Address, ...]


class LoadResult(msgspec.Struct, frozen=True):
    """Give the counts of one side by shape."""

    target: str
    offered: dict[str, int]
    whole: dict[str, int]
    shed: dict[str, int]
    failed: dict[str, int]


def main(arguments: list[str] | None = None) -> int:
    """Load every target at once with the same plan, and print each side."""
    options = _make_parser().parse_args(arguments)
    shapes = options.shape or [RequestShape("call", 1.0, "GET", "/")]
    loads = [
        OpenLoadGenerator(
            LoadPlan(
                target.addresses,
                shapes,
                options.rate,
                options.seconds,
                options.timeout_ms / 1000.0,
                options.resends,
                options.seed,
            )
        )
        for target in options.target
    ]
    tasks = [gevent.spawn(load.run) for load in loads]
    progress = gevent.spawn(_show_progress, loads, options.seconds)
    gevent.joinall(tasks, raise_error=True)
    progress.kill()
    for target, load in zip(options.target, loads, strict=True):
        _print(target.name, load.report, options.json)
    return 0


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-load",
        description="Send an open load; latencies count from when a call was due.",
    )
    parser.add_argument(
        "--target",
        action="append",
        required=True,
        type=_parse_target,
        metavar="NAME=IP:port[,IP:port]",
        help="a side of the experiment; give two to compare them in one run",
    )
    parser.add_argument(
        "--shape",
        action="append",
        type=_parse_shape,
        metavar="NAME:WEIGHT:METHOD:PATH[:protected]",
        help="a kind of request",
    )
    parser.add_argument("--rate", type=float, default=50.0, help="requests/s a side")
    parser.add_argument("--seconds", type=float, default=10.0, help="length in s")
    parser.add_argument("--timeout-ms", type=float, default=1000.0, help="in ms")
    parser.add_argument("--resends", type=int, default=0, help="resends of a request")
    parser.add_argument("--seed", type=int, default=1, help="seed of the arrivals")
    parser.add_argument("--json", action="store_true", help="print JSON")
    return parser


def _parse_target(text: str) -> Target:
    name, _, addresses = text.partition("=")
    return Target(name, tuple(parse_address(a) for a in addresses.split(",")))


def _parse_shape(text: str) -> RequestShape:
    name, weight, method, path, *rest = text.split(":")
    return RequestShape(name, float(weight), method, path, rest == ["protected"])


def _show_progress(loads: list[OpenLoadGenerator], seconds: float) -> None:
    for second in range(int(seconds)):
        gevent.sleep(PROGRESS_SECONDS)
        sent = sum(load.report.offered.total() for load in loads)
        print(f"{second + 1} of {seconds:.0f} s, {sent} sent", file=sys.stderr)


def _print(name: str, report: LoadReport, as_json: bool) -> None:
    if as_json:
        result = LoadResult(
            name,
            dict(report.offered),
            dict(report.whole),
            dict(report.shed),
            dict(report.failed),
        )
        print(msgspec.json.encode(result).decode())
        return
    for line in format_table([(name, report.latency)]):
        print(line)
    for shape, offered in sorted(report.offered.items()):
        print(
            f"  {shape}: offered {offered}, whole {report.whole[shape]}, "
            f"not run {report.shed[shape]}, failed {report.failed[shape]}"
        )


if __name__ == "__main__":
    sys.exit(main())
