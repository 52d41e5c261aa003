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
EARLIEST_SHARE: Final = 0.3
LATEST_SHARE: Final = 0.7
# Where nothing is left of that time: seconds to stay away.
LEAST_SECONDS: Final = 0.25
# A caller's clock and way may bring it back a little early.
EARLY_SECONDS: Final = 0.02
# How long after its moment a return still counts, and how many are remembered.
KEPT_SECONDS: Final = 3.0
KEPT_ENTRIES: Final = 20_000

ResendKey = tuple[str, str, str]


class ResendSchedule:
    """Remember who was told to come back, and when."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._chance = rng
        self._due: OrderedDict[ResendKey, float] = OrderedDict()

    def schedule(self, key: ResendKey, seconds_left: float) -> float:
        """Choose in how many seconds a request that was turned away may return."""
        share = self._chance.uniform(EARLIEST_SHARE, LATEST_SHARE)
        seconds = max(LEAST_SECONDS, seconds_left * share)
        self._due.pop(key, None)
        self._due[key] = self._clock.now() + seconds
        while len(self._due) > KEPT_ENTRIES:
            self._due.popitem(last=False)
        return seconds

    def redeem(self, key: ResendKey) -> bool:
        """Tell if a request returns as it was told to; it is remembered no more."""
        due = self._due.get(key)
        if due is None:
            return False
        now = self._clock.now()
        if now < due - EARLY_SECONDS:
            return False
        del self._due[key]
        return now < due + KEPT_SECONDS
