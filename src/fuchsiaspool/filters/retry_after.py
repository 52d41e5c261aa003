"""Tell callers that were turned away when to return, and let them in first then."""

from typing import Final

from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..controllers.resends import ResendKey, ResendSchedule
from ..outcomes import NotRun, NotRunReason, Outcome

# Part of its class that a due return is ranked in: it goes ahead of most new requests,
# but where none of its class can be served the level still turns it away.
DUE_RESEND_RANK_FACTOR: Final = 0.25
_NO_ROOM: Final = frozenset(
    (
        NotRunReason.SHED,
        NotRunReason.QUEUE_FULL,
        NotRunReason.DEADLINE,
        NotRunReason.SERVER_REFUSED,
    )
)


def make_retry_after_filter(clock: Clock, returns: ResendSchedule) -> Filter:
    """Return a filter that puts due returns at the front of their class."""

    def invite(call: Call, following: CallHandler) -> Outcome:
        if call.nested:
            return following(call)
        key: ResendKey = (call.method, call.host, call.target)
        if returns.redeem(key):
            base = int(call.rank)
            call.rank = base + (call.rank - base) * DUE_RESEND_RANK_FACTOR
        outcome = following(call)
        if isinstance(outcome, NotRun) and outcome.reason in _NO_ROOM:
            outcome.retry_after_seconds = returns.schedule(
                key, call.soft_deadline - clock.now()
            )
        return outcome

    return invite
