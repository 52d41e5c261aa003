"""Check the outcomes of a replay against those that the trace states."""

from dataclasses import dataclass

from ..settings.policy import Policy
from ..trace_lines import EventLine, ExpectLine
from .ideal_goodput import compute_ideal_goodput
from .tally import Tally
from .trace import Trace


@dataclass(frozen=True, slots=True)
class ExpectationResult:
    """Represent the check of one stated outcome, with the measured value."""

    expectation: str
    measured: str
    is_met: bool


def check_expectations(
    trace: Trace, policy: Policy, tally: Tally, seed: int
) -> list[ExpectationResult]:
    """Return the result for each outcome that the trace states."""
    results: list[ExpectationResult] = []
    for line in trace.expected:
        results += _check_line(trace, policy, tally, seed, line)
    return results


def find_faults(trace: Trace) -> list[EventLine]:
    """Return the events from whose end recovery is measured."""
    return [
        event
        for event in trace.events
        if event.cause and event.until and event.until < trace.header.seconds
    ]


def measure_recovery(trace: Trace, tally: Tally) -> float | None:
    """Return the seconds from the end of the last fault until goodput recovered.

    0 if there is no fault, None if goodput never recovers.
    """
    faults = find_faults(trace)
    if not faults:
        return 0.0
    first_start = min(event.at for event in faults)
    last_end = max(event.until for event in faults)
    usual_period = (trace.header.warm, first_start)
    return tally.measure_recovery(usual_period, last_end, trace.header.seconds)


def _check_line(
    trace: Trace, policy: Policy, tally: Tally, seed: int, line: ExpectLine
) -> list[ExpectationResult]:
    start = line.at or trace.header.warm
    end = line.until or trace.header.seconds
    name = line.call_class or "all"
    results = []
    whole, offered = tally.count_between(line.call_class, start, end)
    if line.goodput is not None:
        share = whole / max(1, offered)
        results.append(
            ExpectationResult(
                f"{name}: goodput at least {line.goodput:.1%}",
                f"{share:.2%} of {offered}",
                share >= line.goodput,
            )
        )
    if line.of_ideal is not None:
        ideal = compute_ideal_goodput(trace, policy, seed, start, end)
        share = whole / max(1.0, ideal)
        results.append(
            ExpectationResult(
                f"{name}: at least {line.of_ideal:.1%} of the ideal {ideal:.0f}",
                f"{share:.2%}",
                share >= line.of_ideal,
            )
        )
    if line.recovery is not None:
        recovery_seconds = measure_recovery(trace, tally)
        results.append(
            ExpectationResult(
                f"recovery within {line.recovery:.0f} s",
                "never" if recovery_seconds is None else f"{recovery_seconds:.0f} s",
                recovery_seconds is not None and recovery_seconds <= line.recovery,
            )
        )
    results += _check_counts(tally, line)
    return results


def _check_counts(tally: Tally, line: ExpectLine) -> list[ExpectationResult]:
    results = []
    for expectation, bound, measured in (
        ("retries of one request", line.retries, tally.most_retries),
        ("protected operations run twice", line.doubled, tally.doubled),
        ("false words of not run", line.false_not_run, tally.false_not_run),
    ):
        if bound is not None:
            results.append(
                ExpectationResult(
                    f"{expectation}: at most {bound}", str(measured), measured <= bound
                )
            )
    return results
