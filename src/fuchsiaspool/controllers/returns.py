"""Let those come first who were turned away and waited as long as they were told.

Answers the load pattern in which callers that repeat at once crowd out those that
wait: only a return that is due goes ahead of new requests of its class.
"""

import random
from collections import OrderedDict
from typing import Final

from ..clock import Clock

# Returns are spread over this span of what is left until an answer is worth less,
# so that those turned away together do not come back together.
MIN_DELAY_SHARE: Final = 0.3
MAX_DELAY_SHARE: Final = 0.7
# Where nothing is left of that time: seconds to stay away.
MIN_DELAY_SECONDS: Final = 0.25
# A caller's clock and way may bring it back a little early.
EARLY_TOLERANCE_SECONDS: Final = 0.02
# How long after its moment a return still counts, and how many are remembered.
DUE_WINDOW_SECONDS: Final = 3.0
MAX_SCHEDULED_RESENDS: Final = 20_000

Key = tuple[str, str, str]


class Returns:
    """Remember who was told to come back, and when."""

    def __init__(self, clock: Clock, chance: random.Random) -> None:
        self._clock = clock
        self._rng = chance
        self._due_at: OrderedDict[Key, float] = OrderedDict()

    def invite(self, key: Key, seconds_left: float) -> float:
        """Choose in how many seconds a request that was turned away may return."""
        share = self._rng.uniform(MIN_DELAY_SHARE, MAX_DELAY_SHARE)
        seconds = max(MIN_DELAY_SECONDS, seconds_left * share)
        self._due_at.pop(key, None)
        self._due_at[key] = self._clock.now() + seconds
        while len(self._due_at) > MAX_SCHEDULED_RESENDS:
            self._due_at.popitem(last=False)
        return seconds

    def welcome(self, key: Key) -> bool:
        """Tell if a request returns as it was told to; it is remembered no more."""
        due = self._due_at.get(key)
        if due is None:
            return False
        now = self._clock.now()
        if now < due - EARLY_TOLERANCE_SECONDS:
            return False
        del self._due_at[key]
        return now < due + DUE_WINDOW_SECONDS
