"""Tell callers of rejected requests when to resend, and prefer resends that are due."""

from typing import Final

from ..calls import Call, Filter, Next
from ..clock import Clock
from ..controllers.returns import Key, Returns
from ..outcomes import NotRun, NotRunReason, Outcome

# Factor on a due resend's rank within its class: it goes ahead of most new requests,
# but is still rejected while the threshold rejects the whole class.
RETURN_SHARE: Final = 0.25
_OVERLOAD_REASONS: Final = frozenset(
    (
        NotRunReason.SHED,
        NotRunReason.QUEUE_FULL,
        NotRunReason.DEADLINE,
        NotRunReason.SERVER_REFUSED,
    )
)


def make_returning(clock: Clock, resends: Returns) -> Filter:
    """Return a filter that ranks due resends ahead of most calls of their class."""

    def schedule_resend(call: Call, call_next: Next) -> Outcome:
        if call.nested:
            return call_next(call)
        key: Key = (call.method, call.host, call.target)
        if resends.welcome(key):
            class_rank = int(call.rank)
            call.rank = class_rank + (call.rank - class_rank) * RETURN_SHARE
        outcome = call_next(call)
        if isinstance(outcome, NotRun) and outcome.reason in _OVERLOAD_REASONS:
            outcome.retry_after = resends.invite(key, call.aim - clock.now())
        return outcome

    return schedule_resend
