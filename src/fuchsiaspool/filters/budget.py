"""Grant a caller's request its retry allowance where it enters the fleet."""

from collections.abc import Callable

from ..allowance import Allowance
from ..calls import Call, Filter, Next
from ..controllers.retries import Grants
from ..outcomes import Outcome
from ..settings.policy import Policy


def make_budget(get_policy: Callable[[], Policy], grants: Grants) -> Filter:
    """Return a filter that grants each caller's request its retries once."""

    def grant_retries(call: Call, call_next: Next) -> Outcome:
        if call.from_outside:
            limits = get_policy().services[call.service].limits
            granted = limits.retry_allowance
            if call.resend:
                granted = 0
            granted = grants.grant(call.caller, call.request, granted)
            call.allowance = Allowance(granted)
        return call_next(call)

    return grant_retries
