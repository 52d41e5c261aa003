"""Give priority to rejected requests that are resent after the requested delay.

Handles the load pattern in which callers that resend immediately crowd out those that
wait: only a resend that is due goes ahead of new requests of its class.
"""

import random
from collections import OrderedDict
from typing import Final, NewType

from ..clock import Clock

# Resends are spread over this part of the time left until an answer is worth less,
# so that requests rejected together are not resent together.
MIN_DELAY_SHARE: Final = 0.3
MAX_DELAY_SHARE: Final = 0.7
# Also the delay where no time is left.
MIN_DELAY_SECONDS: Final = 0.25
# A caller's clock or a shorter round trip can make a resend slightly early.
EARLY_TOLERANCE_SECONDS: Final = 0.02
# How long after its due time a resend still has priority.
DUE_WINDOW_SECONDS: Final = 3.0
MAX_SCHEDULED_RESENDS: Final = 20_000

# Identifies a request within this process, however long its target is.
ResendKey = NewType("ResendKey", int)


def make_resend_key(method: str, host: str, target: str) -> ResendKey:
    """Return the same key for each sending of a request."""
    return ResendKey(hash((method, host, target)))


class ResendSchedule:
    """Remember when rejected requests are due to be resent."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._due_at: OrderedDict[ResendKey, float] = OrderedDict()

    def schedule(self, key: ResendKey, seconds_left: float) -> float:
        """Schedule the resend of a rejected request and return the delay in seconds.

        `seconds_left` is the time until an answer is worth less.
        """
        share = self._rng.uniform(MIN_DELAY_SHARE, MAX_DELAY_SHARE)
        seconds = max(MIN_DELAY_SECONDS, seconds_left * share)
        self._due_at.pop(key, None)
        self._due_at[key] = self._clock.now() + seconds
        while len(self._due_at) > MAX_SCHEDULED_RESENDS:
            self._due_at.popitem(last=False)
        return seconds

    def redeem(self, key: ResendKey) -> bool:
        """Return whether a request is a due resend; each is recognised once."""
        due = self._due_at.get(key)
        if due is None:
            return False
        now = self._clock.now()
        if now < due - EARLY_TOLERANCE_SECONDS:
            return False
        del self._due_at[key]
        return now < due + DUE_WINDOW_SECONDS
