"""Log how each call ended, with the values that decided it."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..calls import Call, Filter, Next
from ..clock import Clock
from ..controllers.buckets import TokenBucket
from ..controllers.counters import Counters
from ..controllers.histograms import Histograms, Measure
from ..node_load import NodeLoad
from ..outcomes import Answered, NotRun, Outcome, Unknown
from ..routes import RouteTable
from .placing import describe

_LOG = logging.getLogger(__name__)
SERVER_ERROR: Final = 500
# Log lines per second for calls that succeeded, and for those that did not.
WELL_PER_SECOND: Final = 5.0
ILL_PER_SECOND: Final = 30.0
_MILLI: Final = 1000.0


def make_explaining(
    clock: Clock,
    histograms: Histograms,
    counters: Counters,
    get_table: Callable[[], RouteTable],
) -> Filter:
    """Return a filter that counts, times and logs the calls that start at this node."""
    well = TokenBucket(clock, WELL_PER_SECOND, WELL_PER_SECOND)
    ill = TokenBucket(clock, ILL_PER_SECOND, ILL_PER_SECOND)
    unlogged = 0

    def explain(call: Call, following: Next) -> Outcome:
        nonlocal unlogged
        outcome = following(call)
        seconds = clock.now() - call.start
        name = call.call_class or "none"
        counts = counters.find(name)
        counts.retries += max(0, len(call.trail) - 1)
        went_well = isinstance(outcome, Answered) and outcome.status < SERVER_ERROR
        match outcome:
            case Answered():
                histograms.record(Measure.LATENCY, name, "", seconds)
                if went_well:
                    counts.answered += 1
                else:
                    counts.failed += 1
            case NotRun():
                histograms.record(Measure.REFUSAL, name, "", seconds)
                counts.not_run[outcome.reason.value] += 1
            case Unknown():
                counts.unknown[outcome.reason.value] += 1
        if not (well if went_well else ill).take(1.0):
            unlogged += 1
            return outcome
        _LOG.info(
            "call ended",
            extra={
                "request": call.request,
                "attempt": call.attempt,
                "route": call.operation,
                "service": call.service,
                "configuration": get_table().version,
                "trail": call.trail,
                "outcome": describe(outcome),
                "detail": "" if isinstance(outcome, Answered) else outcome.detail,
                "ms": round(seconds * _MILLI, 1),
                "left_ms": round((call.deadline - clock.now()) * _MILLI, 1),
                "unlogged": unlogged,
            },
        )
        unlogged = 0
        return outcome

    return explain


@dataclass(frozen=True, slots=True)
class ServerView:
    """Provide the state of the local server that decides about calls to it."""

    find_load: Callable[[], NodeLoad]
    find_level: Callable[[], float]
    find_instance: Callable[[], str]


def make_inbound_explaining(clock: Clock, view: ServerView) -> Filter:
    """Return a filter that logs the calls that failed at the local server."""
    ill = TokenBucket(clock, ILL_PER_SECOND, ILL_PER_SECOND)
    unlogged = 0

    def explain(call: Call, following: Next) -> Outcome:
        nonlocal unlogged
        arrived = clock.now()
        outcome = following(call)
        if isinstance(outcome, Answered) and outcome.status < SERVER_ERROR:
            return outcome
        if not ill.take(1.0):
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
                "outcome": describe(outcome),
                "detail": "" if isinstance(outcome, Answered) else outcome.detail,
                "ms": round((now - arrived) * _MILLI, 1),
                "left_ms": round((call.deadline - now) * _MILLI, 1),
                "busy": load.busy,
                "room": load.room,
                "service_ms": round(load.seconds * _MILLI, 1),
                "sheds_above": round(view.find_level(), 2),
                "unlogged": unlogged,
            },
        )
        unlogged = 0
        return outcome

    return explain
