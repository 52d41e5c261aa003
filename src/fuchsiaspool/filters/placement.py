"""Send a call to a node, and to another one where that is safe and of use."""

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

# Nodes that may be asked for room; only sendings to servers count as attempts.
MAX_NODES_TRIED: Final = 4
# Share of first attempts that a service's repeats may reach from one node: below the
# platform's ratio of 0.2, since each node's first few come on top of its share. What a
# repeat repeats beneath it is counted where it is called.
RETRY_RATIO: Final = 0.16
_BY_NODE: Final = frozenset(
    (
        NotRunReason.CONNECT_FAILED,
        NotRunReason.LEAVING,
        NotRunReason.NOT_READY,
        NotRunReason.WRONG_NODE,
        NotRunReason.QUEUE_FULL,
        NotRunReason.SHED,
    )
)


def make_placement_handler(
    clock: Clock, placement: Placement, ratio: RetryBudget, forward: Forward
) -> CallHandler:
    """Return the last step of the outbound chain."""

    def place(call: Call) -> Outcome:
        if call.is_retry:
            # Made for a repeat: it is one more arrival too, and puts nothing in.
            ratio.charge(call.service)
        else:
            ratio.record_first_attempt(call.service, RETRY_RATIO)
        tried: set[NodeId] = set()
        sent = 0
        outcome: Outcome | None = None
        doubt: Unknown | None = None
        while True:
            chosen = placement.choose(call, tried)
            if isinstance(chosen, NotRunReason):
                return doubt or outcome or NotRun(chosen)
            reserve = compute_reserve(call)
            if _reached_server(outcome) and not ratio.take(call.service, reserve):
                call.trail.append("no repeat left")
                return doubt or outcome or NotRun(NotRunReason.NO_SERVER)
            call.is_retry = call.is_retry or _reached_server(outcome)
            outcome = _attempt(clock, placement, forward, chosen, call)
            sent += _reached_server(outcome)
            if isinstance(outcome, Unknown):
                doubt = outcome
            tried.add(chosen.node)
            more = sent < call.max_attempts and len(tried) < MAX_NODES_TRIED
            if not more or not may_retry(call, outcome, clock.now()):
                # "Not run" is told only when no attempt may have run.
                return doubt if doubt and isinstance(outcome, NotRun) else outcome
            call.finish(False)

    return place


def may_retry(call: Call, outcome: Outcome, now: float) -> bool:
    """Tell if sending the call again is safe and of use."""
    if call.deadline <= now or call.cancellation.cancelled:
        return False
    if not call.body.resendable:
        return False
    match outcome:
        case Answered():
            return False
        case NotRun():
            refused = outcome.reason is NotRunReason.SERVER_REFUSED
            return refused or outcome.reason in _BY_NODE
        case Unknown():
            return call.idempotent and outcome.reason is not UnknownReason.CANCELLED


def _reached_server(outcome: Outcome | None) -> bool:
    if outcome is None:
        return False
    return not (isinstance(outcome, NotRun) and outcome.reason in _BY_NODE)


def _attempt(
    clock: Clock, placement: Placement, forward: Forward, member: Member, call: Call
) -> Outcome:
    started = clock.now()
    placement.begin_attempt(member)
    placement.charge_link(member, call.body.length or 0)
    outcome: Outcome = Unknown(UnknownReason.RESET)
    try:
        outcome = forward(member, call)
    finally:
        placement.end_attempt(member, outcome, clock.now() - started)
        call.trail.append(f"{member.node} {describe_outcome(outcome)}")
    return outcome


def describe_outcome(outcome: Outcome) -> str:
    """Name an outcome in a few words, for logs."""
    if isinstance(outcome, Answered):
        return f"answered {outcome.status}"
    tag = "not-run" if isinstance(outcome, NotRun) else "unknown"
    return f"{tag} {outcome.reason.value}"
