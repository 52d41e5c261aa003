"""Hold a call until the node's own backend server has a slot for it."""

from collections.abc import Callable
from typing import Final

from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..controllers.admission import Admission
from ..outcomes import Answered, NotRun, NotRunReason, Outcome

SERVER_BUSY: Final = (429, 503)


def make_admission_filter(
    clock: Clock,
    admission: Admission,
    find_refusal: Callable[[], NotRunReason | None],
    record_delay: Callable[[Call, float], None] = lambda call, seconds: None,
) -> Filter:
    """Return a filter that admits calls in the order of their importance."""

    def admit(call: Call, following: CallHandler) -> Outcome:
        while True:
            outcome = offer(call, following)
            if not _was_refused(outcome) or call.deadline <= clock.now():
                return outcome
            # The server started nothing: wait for its next slot, as a retry.
            if not call.body.resendable or not call.retry_allowance.take():
                return outcome

    def offer(call: Call, following: CallHandler) -> Outcome:
        reason = find_refusal()
        if reason is not None:
            return NotRun(reason)
        arrived = clock.now()
        refusal = admission.acquire(call)
        started = clock.now()
        record_delay(call, started - arrived)
        if refusal is not None:
            return refusal
        outcome: Outcome | None = None
        try:
            outcome = following(call)
        finally:
            release = _make_leave(clock, admission, call, outcome, started)
            if isinstance(outcome, Answered) and not outcome.body.fully_buffered:
                # The server holds its slot until the stream has ended.
                call.completion_callbacks.append(release)
            else:
                release(True)
        outcome.threshold = min(outcome.threshold, admission.threshold)
        return outcome

    return admit


def _make_leave(
    clock: Clock,
    admission: Admission,
    call: Call,
    outcome: Outcome | None,
    started: float,
) -> Callable[[bool], None]:
    def release(whole: bool) -> None:
        ran = not isinstance(outcome, NotRun)
        admission.release(call, clock.now() - started, _is_busy(call, outcome), ran)

    return release


def _was_refused(outcome: Outcome) -> bool:
    if not isinstance(outcome, NotRun):
        return False
    return outcome.reason is NotRunReason.SERVER_REFUSED


def _is_busy(call: Call, outcome: Outcome | None) -> bool:
    match outcome:
        case NotRun():
            return outcome.reason is NotRunReason.SERVER_REFUSED
        case Answered():
            # After calls of its own, the trouble is a child's as likely as not.
            return outcome.status in SERVER_BUSY and call.children == 0
        case _:
            return False
