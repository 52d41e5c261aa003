"""Send a call to a server, and to another one where that is safe."""

from collections.abc import Callable
from typing import Final

from ..calls import Call, CallHandler
from ..clock import Clock
from ..controllers.balancer import LoadBalancer
from ..controllers.retries import RetryBudget
from ..ids import NodeId
from ..member_records import Member
from ..outcomes import Answered, NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from ..settings.policy import Policy

Forward = Callable[[Member, Call], Outcome]

_RETRY_ELSEWHERE: Final = frozenset(
    (
        NotRunReason.CONNECT_FAILED,
        NotRunReason.LEAVING,
        NotRunReason.NOT_READY,
        NotRunReason.SERVER_REFUSED,
        NotRunReason.QUEUE_FULL,
    )
)

_NO_LOAD: Final = frozenset(
    (
        NotRunReason.CONNECT_FAILED,
        NotRunReason.LEAVING,
        NotRunReason.NOT_READY,
        NotRunReason.SERVER_REFUSED,
    )
)


def make_routing_handler(
    clock: Clock,
    balancer: LoadBalancer,
    ratio: RetryBudget,
    get_policy: Callable[[], Policy],
    forward: Forward,
) -> CallHandler:
    """Return the last step of the outbound chain."""

    def route(call: Call) -> Outcome:
        limits = get_policy().services[call.service].limits
        ratio.record_first_attempt(call.service, limits.retry_ratio)
        tried: set[NodeId] = set()
        outcome: Outcome | None = None
        doubt: Unknown | None = None
        while True:
            chosen = balancer.choose(call, tried)
            if isinstance(chosen, NotRunReason):
                return doubt or outcome or NotRun(chosen)
            # A retry is paid for only once there is a server to send it to.
            if outcome is not None and not _pay(call, ratio, outcome):
                return doubt or outcome
            outcome = _attempt(clock, balancer, forward, chosen, call)
            if isinstance(outcome, Unknown):
                doubt = outcome
            if not may_retry(call, outcome, clock.now()):
                # "Not run" is told only when no attempt may have run.
                return doubt if doubt and isinstance(outcome, NotRun) else outcome
            call.finish(False)
            tried.add(chosen.node)

    return route


def may_retry(call: Call, outcome: Outcome, now: float) -> bool:
    """Tell if running the call again is safe and of use."""
    if call.deadline <= now or call.cancellation.cancelled:
        return False
    if not call.body.resendable:
        return False
    match outcome:
        case Answered():
            return False
        case NotRun():
            return outcome.reason in _RETRY_ELSEWHERE
        case Unknown():
            return call.idempotent and outcome.reason is not UnknownReason.CANCELLED


def _pay(call: Call, ratio: RetryBudget, outcome: Outcome) -> bool:
    if call.retry_allowance.left < 1:
        return False
    # Where no server did any work, trying another one adds no load.
    free = isinstance(outcome, NotRun) and outcome.reason in _NO_LOAD
    return (free or ratio.take(call.service)) and call.retry_allowance.take()


def _attempt(
    clock: Clock, balancer: LoadBalancer, forward: Forward, member: Member, call: Call
) -> Outcome:
    started = clock.now()
    balancer.begin_attempt(member)
    balancer.charge_link(member, call.body.length or 0)
    outcome: Outcome = Unknown(UnknownReason.RESET)
    try:
        outcome = forward(member, call)
    finally:
        balancer.end_attempt(member, outcome, clock.now() - started)
    return outcome
