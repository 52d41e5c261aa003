"""Send a call to a server, and retry it at another one if that is safe."""

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

_NO_WORK_DONE: Final = frozenset(
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
    retry_budget: RetryBudget,
    get_policy: Callable[[], Policy],
    forward: Forward,
) -> CallHandler:
    """Return the handler at the end of the outbound chain."""

    def send_with_retries(call: Call) -> Outcome:
        limits = get_policy().services[call.service].limits
        retry_budget.record_first_attempt(call.service, limits.retry_ratio)
        tried_nodes: set[NodeId] = set()
        outcome: Outcome | None = None
        last_unknown: Unknown | None = None
        while True:
            chosen = balancer.choose(call, tried_nodes)
            if isinstance(chosen, NotRunReason):
                return last_unknown or outcome or NotRun(chosen)
            # A retry is charged only if there is a server to send it to.
            if outcome is not None and not _charge_retry(call, retry_budget, outcome):
                return last_unknown or outcome
            outcome = _send_once(clock, balancer, forward, chosen, call)
            if isinstance(outcome, Unknown):
                last_unknown = outcome
            if not may_retry(call, outcome, clock.now()):
                # "Not run" may be reported only if no attempt can have run.
                return (
                    last_unknown
                    if last_unknown and isinstance(outcome, NotRun)
                    else outcome
                )
            call.finish(False)
            tried_nodes.add(chosen.node)

    return send_with_retries


def may_retry(call: Call, outcome: Outcome, now: float) -> bool:
    """Return whether sending the call again is safe and useful."""
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


def _charge_retry(call: Call, retry_budget: RetryBudget, outcome: Outcome) -> bool:
    if call.retry_allowance.left < 1:
        return False
    # If no server did any work, trying another one adds no load.
    no_work_done = isinstance(outcome, NotRun) and outcome.reason in _NO_WORK_DONE
    return (
        no_work_done or retry_budget.take(call.service)
    ) and call.retry_allowance.take()


def _send_once(
    clock: Clock, balancer: LoadBalancer, forward: Forward, member: Member, call: Call
) -> Outcome:
    started_at = clock.now()
    balancer.begin_attempt(member)
    balancer.charge_link(member, call.body.length or 0)
    outcome: Outcome = Unknown(UnknownReason.RESET)
    try:
        outcome = forward(member, call)
    finally:
        balancer.end_attempt(member, outcome, clock.now() - started_at)
    return outcome
