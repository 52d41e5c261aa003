"""Record what callers asked and got, as lines of a trace."""

from collections.abc import Callable

from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..member_records import NodeLocation
from ..outcomes import Answered, NotRun, Outcome
from ..trace_lines import RequestLine

MILLI = 1000.0
DIGITS = 3


def make_trace_recording_filter(
    clock: Clock, place: NodeLocation, write: Callable[[RequestLine], None]
) -> Filter:
    """Return a filter that hands a line for each call to a function."""
    began = clock.now()

    def record(call: Call, following: CallHandler) -> Outcome:
        outcome = following(call)
        if not call.external or not call.operation:
            return outcome
        now = clock.now()
        write(
            RequestLine(
                at=round(call.start - began, DIGITS),
                operation=call.operation,
                caller=call.caller,
                data_centre=place.data_centre,
                deadline_ms=round((call.deadline - call.start) * MILLI, DIGITS),
                service_ms=round((now - call.start) * MILLI, DIGITS),
                answer_bytes=outcome.body.length
                if isinstance(outcome, Answered)
                else None,
                outcome=_describe(outcome),
            )
        )
        return outcome

    return record


def _describe(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return f"answered {outcome.status}"
    tag = "not-run" if isinstance(outcome, NotRun) else "unknown"
    return f"{tag} {outcome.reason.value}"
