"""Replay a trace against its stated outcomes."""

import argparse
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec

from ..ids import Revision
from ..replay.baselines import make_no_layer, make_usual
from ..replay.report import draw_report
from ..replay.system import System, run_replay
from ..replay.tally import Ending, Tally
from ..replay.trace import Trace, read_trace
from ..replay.treatment import Treatment
from ..replay.verdicts import Verdict, judge, measure_recovery
from ..replay.world import World
from ..results import Err
from ..settings.files import read_settings_folder
from ..settings.policy import Policy
from ..settings.tree import build_policy

EXIT_OUTCOME_NOT_MET: Final = 1
EXIT_USAGE: Final = 2

Make = Callable[[World, Tally, Policy], System]
BASELINES: Final[dict[str, Make]] = {
    "none": lambda world, tally, policy: make_no_layer(world, tally),
    "usual": lambda world, tally, policy: make_usual(world, tally),
}


@dataclass(frozen=True, slots=True)
class Run:
    """Hold one policy's replay of a trace; recovery in seconds."""

    name: str
    tally: Tally
    recovery: float | None


class ClassResult(msgspec.Struct, frozen=True):
    """Give the counts of one class."""

    offered: int
    whole: int
    shed: int
    unknown: int
    failed: int


class RunResult(msgspec.Struct, frozen=True):
    """Give the counts of one policy; work in server seconds."""

    policy: str
    classes: dict[str, ClassResult]
    attempts_per_request: float
    most_retries: int
    doubled: int
    false_not_run: int
    far_bytes: int
    wasted_share: float
    recovery: float | None


def main(arguments: list[str] | None = None) -> int:
    """Replay, print, and return 0 only if every stated outcome holds."""
    options = _make_parser().parse_args(arguments)
    read = read_trace(Path(options.trace))
    if isinstance(read, Err):
        print(read.error, file=sys.stderr)
        return EXIT_USAGE
    trace = read.value
    if options.seconds is not None:
        trace.header = msgspec.structs.replace(trace.header, seconds=options.seconds)
    policy = _read_policy(trace, options.settings)
    if isinstance(policy, str):
        print(policy, file=sys.stderr)
        return EXIT_USAGE
    seed = trace.header.seed if options.seed is None else options.seed
    started = time.monotonic()
    makers: list[Make] = [Treatment, *(BASELINES[name] for name in options.baseline)]
    runs = [_run(trace, policy, make, seed) for make in makers]
    verdicts = judge(trace, policy, runs[0].tally, seed)
    if options.json:
        results = [_summarise(run) for run in runs]
        print(msgspec.json.encode(results).decode())
    else:
        _print_runs(trace, runs, verdicts)
    if options.speed:
        pace = trace.header.seconds * len(runs) / (time.monotonic() - started)
        print(f"{pace:.1f} times as fast as real time", file=sys.stderr)
    if options.report:
        lines = [(run.name, run.tally) for run in runs]
        Path(options.report).write_text(draw_report(trace, lines, verdicts))
    return 0 if all(verdict.holds for verdict in verdicts) else EXIT_OUTCOME_NOT_MET


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-replay",
        description="Replay a trace on a paused clock against its stated outcomes.",
    )
    parser.add_argument("trace", help="file of JSON lines")
    parser.add_argument("--settings", help="folder of the settings tree")
    parser.add_argument("--seed", type=int, help="seed in place of the trace's")
    parser.add_argument("--seconds", type=float, help="replay only so much of it")
    parser.add_argument("--json", action="store_true", help="print counts as JSON")
    parser.add_argument(
        "--baseline",
        action="append",
        choices=sorted(BASELINES),
        default=[],
        help="replay this policy too",
    )
    parser.add_argument("--report", help="write an HTML report to this file")
    parser.add_argument("--speed", action="store_true", help="tell the speed")
    return parser


def _read_policy(trace: Trace, folder: str | None) -> Policy | str:
    path = Path(folder) if folder else trace.folder / trace.header.settings
    texts = read_settings_folder(path)
    if isinstance(texts, Err):
        return str(texts.error)
    built = build_policy(Revision(1), texts.value)
    return str(built.error) if isinstance(built, Err) else built.value


def _run(trace: Trace, policy: Policy, make: Make, seed: int) -> Run:
    world, tally = World(trace, seed), Tally()
    system = make(world, tally, policy)
    run_replay(world, system, tally, seed)
    return Run(system.name, tally, measure_recovery(trace, tally))


def _summarise(run: Run) -> RunResult:
    tally = run.tally
    classes = {
        str(name): ClassResult(
            found.offered.total(),
            found.endings[Ending.WHOLE],
            found.endings[Ending.SHED],
            found.endings[Ending.UNKNOWN],
            found.endings[Ending.FAILED],
        )
        for name, found in sorted(tally.classes.items())
    }
    work = tally.useful_work + tally.wasted_work
    return RunResult(
        run.name,
        classes,
        round(tally.attempts / max(1, tally.requests), 3),
        tally.most_retries,
        tally.doubled,
        tally.false_not_run,
        tally.far_bytes,
        round(tally.wasted_work / work, 4) if work else 0.0,
        run.recovery,
    )


def _print_runs(trace: Trace, runs: list[Run], verdicts: list[Verdict]) -> None:
    print(f"{trace.header.name}: {trace.header.seconds:.0f} s")
    for run in runs:
        result = _summarise(run)
        print(f"  {result.policy}")
        for name, found in result.classes.items():
            share = found.whole / max(1, found.offered)
            print(
                f"    {name:12} offered {found.offered:7} whole {share:7.2%}  "
                f"shed {found.shed} unknown {found.unknown} failed {found.failed}"
            )
        recovery = "never" if run.recovery is None else f"{run.recovery:.0f} s"
        print(
            f"    recovery {recovery}, attempts per request "
            f"{result.attempts_per_request}, most retries {result.most_retries}, "
            f"run twice {result.doubled}, false not-run {result.false_not_run}, "
            f"between regions {result.far_bytes} bytes, "
            f"wasted work {result.wasted_share:.1%}"
        )
    for verdict in verdicts:
        mark = "holds " if verdict.holds else "BROKEN"
        print(f"  {mark} {verdict.stated}: {verdict.found}")


if __name__ == "__main__":
    sys.exit(main())
