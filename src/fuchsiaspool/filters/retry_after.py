"""Set when callers may resend rejected requests, and prefer resends that are due."""

from typing import Final

from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..controllers.resends import ResendSchedule, make_resend_key
from ..outcomes import NotRun, NotRunReason, Outcome

# Factor on a due resend's rank within its class: it goes ahead of most new requests,
# but is still rejected while the threshold rejects the whole class.
DUE_RESEND_RANK_FACTOR: Final = 0.25
_OVERLOAD_REASONS: Final = frozenset(
    (
        NotRunReason.SHED,
        NotRunReason.QUEUE_FULL,
        NotRunReason.DEADLINE,
        NotRunReason.SERVER_REFUSED,
        NotRunReason.RATE_LIMITED,
    )
)


def make_retry_after_filter(clock: Clock, resend_schedule: ResendSchedule) -> Filter:
    """Return a filter that ranks due resends ahead of most calls of their class."""

    def schedule_resend(call: Call, call_next: CallHandler) -> Outcome:
        if call.nested:
            return call_next(call)
        key = make_resend_key(call.method, call.host, call.target)
        if resend_schedule.redeem(key):
            class_rank = int(call.rank)
            call.rank = class_rank + (call.rank - class_rank) * DUE_RESEND_RANK_FACTOR
        outcome = call_next(call)
        if isinstance(outcome, NotRun) and outcome.reason in _OVERLOAD_REASONS:
            outcome.retry_after_seconds = resend_schedule.schedule(
                key, call.soft_deadline - clock.now()
            )
        return outcome

    return schedule_resend
