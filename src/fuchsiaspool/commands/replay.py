"""Replay a trace and check the outcomes that it states."""

import argparse
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec

from ..ids import Revision
from ..replay.baselines import make_conventional_system, make_unprotected_system
from ..replay.expectations import (
    ExpectationResult,
    check_expectations,
    measure_recovery,
)
from ..replay.fuchsiaspool_system import FuchsiaspoolSystem
from ..replay.report import render_report
from ..replay.simulation import Simulation
from ..replay.system import SimulatedSystem, run_replay
from ..replay.tally import CallerOutcome, Tally
from ..replay.trace import Trace, read_trace
from ..results import Err
from ..settings.files import read_settings_folder
from ..settings.policy import Policy
from ..settings.tree import build_policy

EXIT_OUTCOME_NOT_MET: Final = 1
EXIT_USAGE: Final = 2

SystemFactory = Callable[[Simulation, Tally, Policy], SimulatedSystem]
BASELINES: Final[dict[str, SystemFactory]] = {
    "none": lambda world, tally, policy: make_unprotected_system(world, tally),
    "usual": lambda world, tally, policy: make_conventional_system(world, tally),
}


@dataclass(frozen=True, slots=True)
class PolicyRun:
    """Represent the replay of a trace under one policy; recovery in seconds."""

    name: str
    tally: Tally
    recovery: float | None


class ClassResult(msgspec.Struct, frozen=True):
    """Count the requests of one call class by outcome."""

    offered: int
    whole: int
    shed: int
    unknown: int
    failed: int


class RunResult(msgspec.Struct, frozen=True):
    """Summarise the replay under one policy.

    Recovery is in seconds; `wasted_share` is the share of server time wasted.
    """

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
    """Replay a trace, print the results, return 0 only if all stated outcomes hold."""
    options = _make_parser().parse_args(arguments)
    loaded = read_trace(Path(options.trace))
    if isinstance(loaded, Err):
        print(loaded.error, file=sys.stderr)
        return EXIT_USAGE
    trace = loaded.value
    if options.seconds is not None:
        trace.header = msgspec.structs.replace(trace.header, seconds=options.seconds)
    policy = _read_policy(trace, options.settings)
    if isinstance(policy, str):
        print(policy, file=sys.stderr)
        return EXIT_USAGE
    seed = trace.header.seed if options.seed is None else options.seed
    started = time.monotonic()
    factories: list[SystemFactory] = [
        FuchsiaspoolSystem,
        *(BASELINES[name] for name in options.baseline),
    ]
    runs = [_run_policy(trace, policy, factory, seed) for factory in factories]
    verdicts = check_expectations(trace, policy, runs[0].tally, seed)
    if options.json:
        results = [_summarise_run(run) for run in runs]
        print(msgspec.json.encode(results).decode())
    else:
        _print_runs(trace, runs, verdicts)
    if options.speed:
        speed = trace.header.seconds * len(runs) / (time.monotonic() - started)
        print(f"{speed:.1f} times as fast as real time", file=sys.stderr)
    if options.report:
        lines = [(run.name, run.tally) for run in runs]
        Path(options.report).write_text(render_report(trace, lines, verdicts))
    return 0 if all(verdict.is_met for verdict in verdicts) else EXIT_OUTCOME_NOT_MET


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-replay",
        description="Replay a trace in virtual time and check its stated outcomes.",
    )
    parser.add_argument("trace", help="trace file, JSON lines")
    parser.add_argument(
        "--settings", help="folder of the settings tree (default: named in the trace)"
    )
    parser.add_argument("--seed", type=int, help="seed to use in place of the trace's")
    parser.add_argument(
        "--seconds", type=float, help="replay only the first seconds of the trace"
    )
    parser.add_argument("--json", action="store_true", help="print the results as JSON")
    parser.add_argument(
        "--baseline",
        action="append",
        choices=sorted(BASELINES),
        default=[],
        help="also replay under this baseline policy (repeatable)",
    )
    parser.add_argument("--report", help="write an HTML report to this file")
    parser.add_argument(
        "--speed", action="store_true", help="print the speed relative to real time"
    )
    return parser


def _read_policy(trace: Trace, folder: str | None) -> Policy | str:
    path = Path(folder) if folder else trace.folder / trace.header.settings
    texts = read_settings_folder(path)
    if isinstance(texts, Err):
        return str(texts.error)
    built = build_policy(Revision(1), texts.value)
    return str(built.error) if isinstance(built, Err) else built.value


def _run_policy(
    trace: Trace, policy: Policy, make_system: SystemFactory, seed: int
) -> PolicyRun:
    world, tally = Simulation(trace, seed), Tally()
    system = make_system(world, tally, policy)
    run_replay(world, system, tally, seed)
    return PolicyRun(system.name, tally, measure_recovery(trace, tally))


def _summarise_run(run: PolicyRun) -> RunResult:
    tally = run.tally
    classes = {
        str(name): ClassResult(
            counts.offered.total(),
            counts.outcomes[CallerOutcome.WHOLE],
            counts.outcomes[CallerOutcome.SHED],
            counts.outcomes[CallerOutcome.UNKNOWN],
            counts.outcomes[CallerOutcome.FAILED],
        )
        for name, counts in sorted(tally.classes.items())
    }
    total_work = tally.useful_server_seconds + tally.wasted_server_seconds
    return RunResult(
        run.name,
        classes,
        round(tally.attempts / max(1, tally.requests), 3),
        tally.most_retries,
        tally.doubled,
        tally.false_not_run,
        tally.far_bytes,
        round(tally.wasted_server_seconds / total_work, 4) if total_work else 0.0,
        run.recovery,
    )


def _print_runs(
    trace: Trace, runs: list[PolicyRun], verdicts: list[ExpectationResult]
) -> None:
    print(f"{trace.header.name}: {trace.header.seconds:.0f} s")
    for run in runs:
        result = _summarise_run(run)
        print(f"  {result.policy}")
        for name, counts in result.classes.items():
            whole_share = counts.whole / max(1, counts.offered)
            print(
                f"    {name:12} offered {counts.offered:7} whole {whole_share:7.2%}  "
                f"shed {counts.shed} unknown {counts.unknown} failed {counts.failed}"
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
        mark = "holds " if verdict.is_met else "BROKEN"
        print(f"  {mark} {verdict.expectation}: {verdict.measured}")


if __name__ == "__main__":
    sys.exit(main())
