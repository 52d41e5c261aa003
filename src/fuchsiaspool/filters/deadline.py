"""Reject calls that have expired or whose caller has gone."""

from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..outcomes import NotRun, NotRunReason, Outcome


def make_deadline_filter(clock: Clock) -> Filter:
    """Return a filter that passes on only calls that their caller still waits for."""

    def check_deadline(call: Call, call_next: CallHandler) -> Outcome:
        if call.cancellation.cancelled:
            return NotRun(NotRunReason.CANCELLED)
        if call.deadline <= clock.now():
            return NotRun(NotRunReason.DEADLINE)
        # A relative deadline does not run down while the node that holds the claim
        # is suspended between claim and run; the expiry in wall-clock time does.
        if (
            call.expires_unix_seconds is not None
            and call.expires_unix_seconds <= clock.wall()
        ):
            return NotRun(NotRunReason.DEADLINE, "expired on the way")
        return call_next(call)

    return check_deadline
