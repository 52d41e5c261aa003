"""Send a call to a node, and retry it at another one if that is safe and useful."""

from collections.abc import Callable
from typing import Final

from ..calls import Call, CallHandler
from ..clock import Clock
from ..controllers.placement import Placement
from ..controllers.retries import RetryBudget, compute_reserve
from ..ids import NodeId
from ..member_records import Member
from ..outcomes import Answered, NotRun, NotRunReason, Outcome, Unknown, UnknownReason

Forward = Callable[[Member, Call], Outcome]

# Nodes that a call may be sent to. Only those that pass it on to their server count
# as attempts.
MAX_NODES_TRIED: Final = 4
# Retries to a service that this node may send per first attempt. This is below the
# platform's ratio of 0.2, since each node's first few retries come in addition. Calls
# that a retry causes downstream are counted at the nodes that send them.
RETRY_RATIO: Final = 0.16
_REJECTED_BY_NODE: Final = frozenset(
    (
        NotRunReason.CONNECT_FAILED,
        NotRunReason.NOT_RECEIVED,
        NotRunReason.LEAVING,
        NotRunReason.NOT_READY,
        NotRunReason.WRONG_NODE,
        NotRunReason.QUEUE_FULL,
        NotRunReason.SHED,
        NotRunReason.RATE_LIMITED,
    )
)


def make_placement_handler(
    clock: Clock,
    placement: Placement,
    retry_budget: RetryBudget,
    forward: Forward,
    may_send: Callable[[], bool] = lambda: True,
) -> CallHandler:
    """Return the handler at the end of the outbound chain.

    `may_send` returns whether this node goes on for long enough to send a call.
    """

    def send_with_retries(call: Call) -> Outcome:
        if call.is_retry:
            # A call made for a retry is an extra arrival too: it is charged to the
            # retry budget and adds nothing to it.
            retry_budget.charge(call.service)
        else:
            retry_budget.record_first_attempt(call.service, RETRY_RATIO)
        tried_nodes: set[NodeId] = set()
        server_attempts = 0
        outcome: Outcome | None = None
        last_unknown: Unknown | None = None
        while True:
            if not may_send():
                return last_unknown or NotRun(NotRunReason.LEAVING)
            chosen = placement.choose(call, tried_nodes, _is_rate_limited(outcome))
            if isinstance(chosen, NotRunReason):
                return last_unknown or outcome or NotRun(chosen)
            reserve = compute_reserve(call)
            if _reached_server(outcome) and not retry_budget.take(
                call.service, reserve
            ):
                call.trail.append("no repeat left")
                return last_unknown or outcome or NotRun(NotRunReason.NO_SERVER)
            call.is_retry = call.is_retry or _reached_server(outcome)
            outcome = _send_once(clock, placement, forward, chosen, call)
            server_attempts += _reached_server(outcome)
            if isinstance(outcome, Unknown):
                last_unknown = outcome
            tried_nodes.add(chosen.node)
            may_continue = (
                server_attempts < call.max_attempts
                and len(tried_nodes) < MAX_NODES_TRIED
            )
            if not may_continue or not may_retry(call, outcome, clock.now()):
                # "Not run" may be reported only if no attempt can have run.
                return (
                    last_unknown
                    if last_unknown and isinstance(outcome, NotRun)
                    else outcome
                )
            call.finish(False)

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
            rejected_by_server = outcome.reason is NotRunReason.SERVER_REFUSED
            return rejected_by_server or outcome.reason in _REJECTED_BY_NODE
        case Unknown():
            return call.idempotent and outcome.reason is not UnknownReason.CANCELLED


def _is_rate_limited(outcome: Outcome | None) -> bool:
    if not isinstance(outcome, NotRun):
        return False
    return outcome.reason is NotRunReason.RATE_LIMITED


def _reached_server(outcome: Outcome | None) -> bool:
    if outcome is None:
        return False
    return not (isinstance(outcome, NotRun) and outcome.reason in _REJECTED_BY_NODE)


def _send_once(
    clock: Clock, placement: Placement, forward: Forward, member: Member, call: Call
) -> Outcome:
    started_at = clock.now()
    placement.begin_attempt(member)
    placement.charge_link(member, call.body.length or 0)
    outcome: Outcome = Unknown(UnknownReason.RESET)
    try:
        outcome = forward(member, call)
    finally:
        placement.end_attempt(member, outcome, clock.now() - started_at)
        call.trail.append(f"{member.node} {describe_outcome(outcome)}")
    return outcome


def describe_outcome(outcome: Outcome) -> str:
    """Return an outcome in a few words, for logs."""
    if isinstance(outcome, Answered):
        return f"answered {outcome.status}"
    tag = "not-run" if isinstance(outcome, NotRun) else "unknown"
    return f"{tag} {outcome.reason.value}"
