"""Log how each call ended, with what decided it."""

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
from ..outcomes import Answered, NotRun, Outcome, Unknown
from ..routes import RouteTable
from .placement import describe_outcome

_LOG = logging.getLogger(__name__)
SERVER_ERROR: Final = 500
# Lines a second for calls that went well, and for those that did not.
WELL_PER_SECOND: Final = 5.0
ILL_PER_SECOND: Final = 30.0
_MILLI: Final = 1000.0


def make_access_log_filter(
    clock: Clock,
    histograms: Histograms,
    counters: OutcomeCounters,
    get_table: Callable[[], RouteTable],
) -> Filter:
    """Return a filter that counts, times and explains the calls that begin here."""
    well = TokenBucket(clock, WELL_PER_SECOND, WELL_PER_SECOND)
    ill = TokenBucket(clock, ILL_PER_SECOND, ILL_PER_SECOND)
    unlogged = 0

    def explain(call: Call, following: CallHandler) -> Outcome:
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
                "outcome": describe_outcome(outcome),
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
class LocalServerView:
    """Offer what decides about calls to the own server, for the log."""

    find_load: Callable[[], NodeLoad]
    find_threshold: Callable[[], float]
    find_instance: Callable[[], str]


def make_server_log_filter(clock: Clock, view: LocalServerView) -> Filter:
    """Return a filter that explains the calls that did not end well at the server."""
    ill = TokenBucket(clock, ILL_PER_SECOND, ILL_PER_SECOND)
    unlogged = 0

    def explain(call: Call, following: CallHandler) -> Outcome:
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
                "outcome": describe_outcome(outcome),
                "detail": "" if isinstance(outcome, Answered) else outcome.detail,
                "ms": round((now - arrived) * _MILLI, 1),
                "left_ms": round((call.deadline - now) * _MILLI, 1),
                "busy": load.busy,
                "room": load.room,
                "service_ms": round(load.seconds * _MILLI, 1),
                "sheds_above": round(view.find_threshold(), 2),
                "unlogged": unlogged,
            },
        )
        unlogged = 0
        return outcome

    return explain
