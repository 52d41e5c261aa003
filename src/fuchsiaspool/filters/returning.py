"""Tell callers of rejected requests when to resend, and prefer resends that are due."""

from typing import Final

from ..calls import Call, Filter, Next
from ..clock import Clock
from ..controllers.returns import Key, Returns
from ..outcomes import NotRun, NotRunReason, Outcome

# Factor on a due resend's rank within its class: it goes ahead of most new requests,
# but is still rejected while the threshold rejects the whole class.
RETURN_SHARE: Final = 0.25
_NO_ROOM: Final = frozenset(
    (
        NotRunReason.SHED,
        NotRunReason.QUEUE_FULL,
        NotRunReason.DEADLINE,
        NotRunReason.SERVER_REFUSED,
    )
)


def make_returning(clock: Clock, returns: Returns) -> Filter:
    """Return a filter that ranks due resends ahead of most calls of their class."""

    def invite(call: Call, following: Next) -> Outcome:
        if call.nested:
            return following(call)
        key: Key = (call.method, call.host, call.target)
        if returns.welcome(key):
            base = int(call.rank)
            call.rank = base + (call.rank - base) * RETURN_SHARE
        outcome = following(call)
        if isinstance(outcome, NotRun) and outcome.reason in _NO_ROOM:
            outcome.retry_after = returns.invite(key, call.aim - clock.now())
        return outcome

    return invite
