"""Refuse calls whose time is over or whose caller has gone."""

from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..outcomes import NotRun, NotRunReason, Outcome


def make_deadline_filter(clock: Clock) -> Filter:
    """Return a filter that lets only calls through that someone still awaits."""

    def check_deadline(call: Call, following: CallHandler) -> Outcome:
        if call.cancellation.cancelled:
            return NotRun(NotRunReason.CANCELLED)
        if call.deadline <= clock.now():
            return NotRun(NotRunReason.DEADLINE)
        # A relative deadline stands still while a holder is paused in transit.
        if (
            call.expires_unix_seconds is not None
            and call.expires_unix_seconds <= clock.wall()
        ):
            return NotRun(NotRunReason.DEADLINE, "expired on the way")
        return following(call)

    return check_deadline
