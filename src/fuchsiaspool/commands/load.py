"""Send an open-loop load to running nodes and print the results."""

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

PROGRESS_INTERVAL_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class Target:
    """Represent one side of an experiment: its name and the addresses to load."""

    name: str
    addresses: tuple[Address, ...]


class TargetResult(msgspec.Struct, frozen=True):
    """Count the requests of one target by request shape."""

    target: str
    offered: dict[str, int]
    whole: dict[str, int]
    shed: dict[str, int]
    failed: dict[str, int]


def main(arguments: list[str] | None = None) -> int:
    """Load all targets concurrently with the same plan; print each result."""
    options = _make_parser().parse_args(arguments)
    shapes = options.shape or [RequestShape("call", 1.0, "GET", "/")]
    generators = [
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
    tasks = [gevent.spawn(generator.run) for generator in generators]
    progress = gevent.spawn(_show_progress, generators, options.seconds)
    gevent.joinall(tasks, raise_error=True)
    progress.kill()
    for target, generator in zip(options.target, generators, strict=True):
        _print_report(target.name, generator.report, options.json)
    return 0


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-load",
        description="Send open-loop load; latencies count from the scheduled send.",
    )
    parser.add_argument(
        "--target",
        action="append",
        required=True,
        type=_parse_target,
        metavar="NAME=IP:port[,IP:port]",
        help="name and addresses to load; give two to compare them in one run",
    )
    parser.add_argument(
        "--shape",
        action="append",
        type=_parse_shape,
        metavar="NAME:WEIGHT:METHOD:PATH[:protected]",
        help="kind of request, chosen at random by weight (repeatable)",
    )
    parser.add_argument(
        "--rate", type=float, default=50.0, help="requests/s to each target"
    )
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="duration of the load in s"
    )
    parser.add_argument(
        "--timeout-ms", type=float, default=1000.0, help="timeout of a request in ms"
    )
    parser.add_argument(
        "--resends", type=int, default=0, help="maximum resends of a request"
    )
    parser.add_argument(
        "--seed", type=int, default=1, help="seed of the random generator"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    return parser


def _parse_target(text: str) -> Target:
    name, _, addresses = text.partition("=")
    return Target(name, tuple(parse_address(a) for a in addresses.split(",")))


def _parse_shape(text: str) -> RequestShape:
    name, weight, method, path, *rest = text.split(":")
    return RequestShape(name, float(weight), method, path, rest == ["protected"])


def _show_progress(generators: list[OpenLoadGenerator], seconds: float) -> None:
    for second in range(int(seconds)):
        gevent.sleep(PROGRESS_INTERVAL_SECONDS)
        sent = sum(generator.report.offered.total() for generator in generators)
        print(f"{second + 1} of {seconds:.0f} s, {sent} sent", file=sys.stderr)


def _print_report(name: str, report: LoadReport, as_json: bool) -> None:
    if as_json:
        result = TargetResult(
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
