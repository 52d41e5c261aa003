"""Tell callers that were turned away when to return, and let them in first then."""

from ..calls import Call, Filter, Next
from ..clock import Clock
from ..controllers.returns import Key, Returns
from ..outcomes import NotRun, NotRunReason, Outcome

_NO_ROOM = frozenset(
    (
        NotRunReason.SHED,
        NotRunReason.QUEUE_FULL,
        NotRunReason.DEADLINE,
        NotRunReason.SERVER_REFUSED,
    )
)


def make_returning(clock: Clock, returns: Returns) -> Filter:
    """Return a filter that puts due returns at the front of their class."""

    def invite(call: Call, following: Next) -> Outcome:
        if call.nested:
            return following(call)
        key: Key = (call.method, call.host, call.target)
        if returns.welcome(key):
            call.rank = float(int(call.rank))
        outcome = following(call)
        if isinstance(outcome, NotRun) and outcome.reason in _NO_ROOM:
            outcome.retry_after = returns.invite(key, call.aim - clock.now())
        return outcome

    return invite
