"""Hand on what a call inherits from the one that caused it."""

from .calls import Call
from .retry_allowance import RetryAllowance


def inherit_context(call: Call, parent: Call) -> int:
    """Make a call part of its parent's request; return the allowance it was lent."""
    parent.children += 1
    call.request = parent.request
    call.caller = parent.caller
    call.rank = parent.rank
    call.critical = parent.critical
    call.classified = True
    call.deadline = min(call.deadline, parent.deadline)
    call.expires_unix_seconds = parent.expires_unix_seconds
    lent = parent.retry_allowance.lend()
    call.retry_allowance = RetryAllowance(lent)
    return lent
