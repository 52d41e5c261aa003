"""Queue each call until the local server has a free slot for it."""

from collections.abc import Callable
from typing import Final

from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..controllers.admission import Admission
from ..outcomes import Answered, NotRun, NotRunReason, Outcome

OVERLOAD_STATUSES: Final = (429, 503)


def make_admission_filter(
    clock: Clock,
    admission: Admission,
    find_rejection: Callable[[], NotRunReason | None],
    record_delay: Callable[[Call, float], None] = lambda call, seconds: None,
) -> Filter:
    """Return a filter that admits calls in the order of their rank."""

    def admit(call: Call, call_next: CallHandler) -> Outcome:
        while True:
            outcome = admit_once(call, call_next)
            if not _is_server_rejection(outcome) or call.deadline <= clock.now():
                return outcome
            # The server did not start the call: queue it again, as a retry.
            if not call.body.resendable or not call.retry_allowance.take():
                return outcome

    def admit_once(call: Call, call_next: CallHandler) -> Outcome:
        rejection_reason = find_rejection()
        if rejection_reason is not None:
            return NotRun(rejection_reason)
        arrived_at = clock.now()
        rejection = admission.acquire(call)
        started_at = clock.now()
        record_delay(call, started_at - arrived_at)
        if rejection is not None:
            return rejection
        outcome: Outcome | None = None
        try:
            outcome = call_next(call)
        finally:
            release = _make_release(clock, admission, call, outcome, started_at)
            if isinstance(outcome, Answered) and not outcome.body.fully_buffered:
                # A streamed answer occupies the server's slot until it has ended.
                call.completion_callbacks.append(release)
            else:
                release(True)
        outcome.threshold = min(outcome.threshold, admission.threshold)
        return outcome

    return admit


def _make_release(
    clock: Clock,
    admission: Admission,
    call: Call,
    outcome: Outcome | None,
    started_at: float,
) -> Callable[[bool], None]:
    def release(delivered: bool) -> None:
        ran = not isinstance(outcome, NotRun)
        admission.release(
            call, clock.now() - started_at, _signals_overload(call, outcome), ran
        )

    return release


def _is_server_rejection(outcome: Outcome) -> bool:
    if not isinstance(outcome, NotRun):
        return False
    return outcome.reason is NotRunReason.SERVER_REFUSED


def _signals_overload(call: Call, outcome: Outcome | None) -> bool:
    match outcome:
        case NotRun():
            return outcome.reason is NotRunReason.SERVER_REFUSED
        case Answered():
            # If the call made nested calls, the overload is as likely at one of those.
            return outcome.status in OVERLOAD_STATUSES and call.children == 0
        case _:
            return False
