"""Record callers' requests and their outcomes as lines of a trace."""

from collections.abc import Callable

from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..member_records import NodeLocation
from ..outcomes import Answered, NotRun, Outcome
from ..trace_lines import RequestLine

_MILLISECONDS_PER_SECOND = 1000.0
_DECIMAL_PLACES = 3


def make_trace_recording_filter(
    clock: Clock, location: NodeLocation, write: Callable[[RequestLine], None]
) -> Filter:
    """Return a filter that passes a trace line for each request to `write`."""
    trace_start = clock.now()

    def record(call: Call, call_next: CallHandler) -> Outcome:
        outcome = call_next(call)
        if not call.external or not call.operation:
            return outcome
        now = clock.now()
        write(
            RequestLine(
                at=round(call.start - trace_start, _DECIMAL_PLACES),
                operation=call.operation,
                caller=call.caller,
                data_centre=location.data_centre,
                deadline_ms=round(
                    (call.deadline - call.start) * _MILLISECONDS_PER_SECOND,
                    _DECIMAL_PLACES,
                ),
                service_ms=round(
                    (now - call.start) * _MILLISECONDS_PER_SECOND, _DECIMAL_PLACES
                ),
                answer_bytes=outcome.body.length
                if isinstance(outcome, Answered)
                else None,
                outcome=_describe_outcome(outcome),
            )
        )
        return outcome

    return record


def _describe_outcome(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return f"answered {outcome.status}"
    tag = "not-run" if isinstance(outcome, NotRun) else "unknown"
    return f"{tag} {outcome.reason.value}"
