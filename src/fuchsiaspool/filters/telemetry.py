"""Record how each call from a caller ended."""

import logging
from collections.abc import Callable

from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..controllers.counters import OutcomeCounters
from ..controllers.histograms import Histograms, Measure
from ..outcomes import Answered, NotRun, Outcome, Unknown
from ..settings.policy import Policy

_LOG = logging.getLogger(__name__)
_SERVER_ERROR = 500


def make_telemetry_filter(
    clock: Clock,
    histograms: Histograms,
    counters: OutcomeCounters,
    get_policy: Callable[[], Policy],
) -> Filter:
    """Return a filter that counts, times and logs outcomes."""

    def observe(call: Call, following: CallHandler) -> Outcome:
        outcome = following(call)
        seconds = clock.now() - call.start
        name = find_class_name(get_policy(), call)
        counts = counters.find(name)
        if call.external:
            # Those of nested calls are in their request's own count.
            retries = call.retry_allowance.spent
            counts.retries += retries
            counts.most_retries = max(counts.most_retries, retries)
        match outcome:
            case Answered():
                histograms.record(Measure.LATENCY, name, call.caller, seconds)
                if outcome.status >= _SERVER_ERROR:
                    counts.failed += 1
                else:
                    counts.answered += 1
            case NotRun():
                histograms.record(Measure.REFUSAL, name, call.caller, seconds)
                counts.not_run[outcome.reason.value] += 1
                _log_outcome("not-run", call, name, outcome)
            case Unknown():
                counts.unknown[outcome.reason.value] += 1
                _log_outcome("unknown", call, name, outcome)
        return outcome

    return observe


def find_class_name(policy: Policy, call: Call) -> str:
    """Return the name of a call's class, or `none` where settings know none."""
    if call.call_class:
        return call.call_class
    service = policy.services.get(call.service)
    if service is None:
        return "none"
    return service.find_operation(call.method, call.target).call_class


def _log_outcome(tag: str, call: Call, name: str, outcome: NotRun | Unknown) -> None:
    fields = {
        "request": call.request,
        "caller": call.caller,
        "service": call.service,
        "class": name,
        "reason": outcome.reason.value,
        "detail": outcome.detail,
    }
    _LOG.info(tag, extra=fields)
