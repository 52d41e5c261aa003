"""Grant a caller's request its retry allowance at the entrance."""

from collections.abc import Callable

from ..calls import Call, CallHandler, Filter
from ..controllers.retries import AllowanceGrants
from ..outcomes import Outcome
from ..retry_allowance import RetryAllowance
from ..settings.policy import Policy


def make_retry_grant_filter(
    get_policy: Callable[[], Policy], grants: AllowanceGrants
) -> Filter:
    """Return a filter that grants R retries once to each request from outside."""

    def grant_budget(call: Call, following: CallHandler) -> Outcome:
        if call.external:
            limits = get_policy().services[call.service].limits
            granted = limits.retry_allowance
            if call.resend:
                granted = 0
            granted = grants.grant(call.caller, call.request, granted)
            call.retry_allowance = RetryAllowance(granted)
        return following(call)

    return grant_budget
