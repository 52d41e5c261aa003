"""Pass the context of a request on to the nested calls made for it."""

from .allowance import Allowance
from .calls import Call


def inherit(call: Call, parent: Call) -> int:
    """Make a call part of its parent's request; return the retries lent to it."""
    parent.children += 1
    call.request = parent.request
    call.caller = parent.caller
    call.rank = parent.rank
    call.critical = parent.critical
    call.classified = True
    call.deadline = min(call.deadline, parent.deadline)
    call.expires_wall = parent.expires_wall
    lent = parent.allowance.lend()
    call.allowance = Allowance(lent)
    return lent
