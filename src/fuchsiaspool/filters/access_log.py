"""Log how each call ended, with the values that decided it."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..controllers.counters import OutcomeCounters
from ..controllers.histograms import Histograms, Measure
from ..controllers.token_bucket import TokenBucket
from ..node_load import NodeLoad
from ..outcomes import Answered, NotRun, Outcome, Unknown, UnknownReason
from ..routes import RouteTable
from .placement import describe_outcome

_LOG = logging.getLogger(__name__)
SERVER_ERROR_STATUS: Final = 500
# Calls beyond these rates are counted in the next line instead of logged.
SUCCESS_LINES_PER_SECOND: Final = 5.0
FAILURE_LINES_PER_SECOND: Final = 30.0
_MILLISECONDS_PER_SECOND: Final = 1000.0


def make_access_log_filter(
    clock: Clock,
    histograms: Histograms,
    counters: OutcomeCounters,
    get_route_table: Callable[[], RouteTable],
) -> Filter:
    """Return a filter that counts, times and logs the calls that start at this node."""
    success_lines = TokenBucket(
        clock, SUCCESS_LINES_PER_SECOND, SUCCESS_LINES_PER_SECOND
    )
    failure_lines = TokenBucket(
        clock, FAILURE_LINES_PER_SECOND, FAILURE_LINES_PER_SECOND
    )
    unlogged = 0

    def log_call(call: Call, call_next: CallHandler) -> Outcome:
        nonlocal unlogged
        outcome = call_next(call)
        seconds = clock.now() - call.start
        class_name = call.call_class or "none"
        counts = counters.find(class_name)
        counts.retries += max(0, len(call.trail) - 1)
        # Nobody gets an answer that comes after its caller has left.
        has_left = call.cancellation.cancelled
        succeeded = (
            isinstance(outcome, Answered)
            and outcome.status < SERVER_ERROR_STATUS
            and not has_left
        )
        match outcome:
            case Answered() if has_left:
                counts.unknown[UnknownReason.CANCELLED.value] += 1
            case Answered():
                histograms.record(Measure.LATENCY, class_name, "", seconds)
                if succeeded:
                    counts.answered += 1
                else:
                    counts.failed += 1
            case NotRun():
                histograms.record(Measure.REFUSAL, class_name, "", seconds)
                counts.not_run[outcome.reason.value] += 1
            case Unknown():
                counts.unknown[outcome.reason.value] += 1
        if not (success_lines if succeeded else failure_lines).take(1.0):
            unlogged += 1
            return outcome
        _LOG.info(
            "call ended",
            extra={
                "request": call.request,
                "attempt": call.attempt,
                "route": call.operation,
                "service": call.service,
                "configuration": get_route_table().version,
                "trail": call.trail,
                "outcome": describe_outcome(outcome),
                "detail": "" if isinstance(outcome, Answered) else outcome.detail,
                "caller_left": has_left,
                "ms": round(seconds * _MILLISECONDS_PER_SECOND, 1),
                "left_ms": round(
                    (call.deadline - clock.now()) * _MILLISECONDS_PER_SECOND, 1
                ),
                "unlogged": unlogged,
            },
        )
        unlogged = 0
        return outcome

    return log_call


@dataclass(frozen=True, slots=True)
class LocalServerView:
    """Provide the state of the local server that the log shows with a failed call."""

    find_load: Callable[[], NodeLoad]
    find_threshold: Callable[[], float]
    find_instance: Callable[[], str]


def make_server_log_filter(clock: Clock, view: LocalServerView) -> Filter:
    """Return a filter that logs the calls that failed at the local server."""
    failure_lines = TokenBucket(
        clock, FAILURE_LINES_PER_SECOND, FAILURE_LINES_PER_SECOND
    )
    unlogged = 0

    def log_call(call: Call, call_next: CallHandler) -> Outcome:
        nonlocal unlogged
        arrived_at = clock.now()
        outcome = call_next(call)
        if isinstance(outcome, Answered) and outcome.status < SERVER_ERROR_STATUS:
            return outcome
        if not failure_lines.take(1.0):
            unlogged += 1
            return outcome
        load = view.find_load()
        now = clock.now()
        _LOG.info(
            "call at server",
            extra={
                "request": call.request,
                "attempt": call.attempt,
                "nested": call.nested,
                "rank": round(call.rank, 2),
                "instance": view.find_instance(),
                "outcome": describe_outcome(outcome),
                "detail": "" if isinstance(outcome, Answered) else outcome.detail,
                "ms": round((now - arrived_at) * _MILLISECONDS_PER_SECOND, 1),
                "left_ms": round((call.deadline - now) * _MILLISECONDS_PER_SECOND, 1),
                "busy": load.busy,
                "room": load.room,
                "service_ms": round(load.seconds * _MILLISECONDS_PER_SECOND, 1),
                "sheds_above": round(view.find_threshold(), 2),
                "unlogged": unlogged,
            },
        )
        unlogged = 0
        return outcome

    return log_call
