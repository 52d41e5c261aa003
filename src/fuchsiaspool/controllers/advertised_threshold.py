"""Choose the rank above which entrance nodes reject requests.

Handles the load pattern in which a service deep in the call chains saturates: its
queue grows, calls that have already cost work elsewhere fail there, and callers
resend them. The threshold falls in steps that grow with the wait and rises in small
steps, so that only as many requests begin as the deepest service can finish.
"""

from typing import Final

from ..clock import Clock
from ..outcomes import NO_THRESHOLD

# A chain of calls completes within a few of these intervals.
CONTROL_INTERVAL_SECONDS: Final = 0.05
# In ranks; multiplied by the ratio of the wait to its target, up to the maximum.
DECREASE_PER_INTERVAL: Final = 0.01
MAX_DECREASE_PER_INTERVAL: Final = 0.05
INCREASE_PER_INTERVAL: Final = 0.015
# Above this share of calls rejected by a server with free slots, chains through it
# fail more often than not: four calls in a row then succeed less than half the time.
REJECTED_SHARE_LIMIT: Final = 0.2
REJECTED_SHARE_EWMA_WEIGHT: Final = 0.05
# Ranks below this are critical and never rejected by the threshold.
MIN_THRESHOLD: Final = 1.0


class AdvertisedThreshold:
    """Adjust a threshold to the expected waits at one server.

    The threshold never falls below the most important class that has to wait: if only
    the least important class waits, calls of the others are not rejected.
    """

    def __init__(self, clock: Clock, target: float) -> None:
        self.value = NO_THRESHOLD
        self._clock = clock
        self._target = target
        self._min_queue_wait = float("inf")
        self._floor = NO_THRESHOLD
        self._top_rank = MIN_THRESHOLD
        self._rejected_share = 0.0
        self._adjusted_at = clock.now()

    def set_target(self, target: float) -> None:
        """Set the longest acceptable wait, in seconds."""
        self._target = target

    def observe_outcome(self, rejected: bool) -> None:
        """Record whether the server rejected a call although it had a free slot."""
        self._rejected_share += (
            float(rejected) - self._rejected_share
        ) * REJECTED_SHARE_EWMA_WEIGHT

    def observe(self, rank: float, wait: float, queue_wait: float) -> None:
        """Record the rank and the expected waits of an arriving call, in seconds.

        `wait` is its wait behind the calls that go first, `queue_wait` that behind the
        whole queue. Only the shortest queue of an interval lowers the threshold, so
        that a burst which the server works off causes no rejections.
        """
        # The least important class that arrives is rejected first.
        self._top_rank = max(self._top_rank, float(int(rank) + 1))
        self._min_queue_wait = min(self._min_queue_wait, queue_wait)
        if wait > self._target:
            self._floor = min(self._floor, float(int(rank)))
        now = self._clock.now()
        intervals = int((now - self._adjusted_at) / CONTROL_INTERVAL_SECONDS)
        if intervals < 1:
            return
        self._adjusted_at = now
        excess = self._min_queue_wait / self._target
        if excess <= 1.0 and self._rejected_share > REJECTED_SHARE_LIMIT:
            # With fewer chains, each has a larger part of the retry budget.
            excess = self._rejected_share / REJECTED_SHARE_LIMIT
            self._floor = self._top_rank - 1.0
        if excess > 1.0:
            start = min(self.value, self._top_rank)
            decrease = min(MAX_DECREASE_PER_INTERVAL, DECREASE_PER_INTERVAL * excess)
            floor = max(MIN_THRESHOLD, self._floor)
            self.value = min(self.value, max(floor, start - decrease))
        elif self.value < NO_THRESHOLD:
            self.value += INCREASE_PER_INTERVAL * intervals
            if self.value >= self._top_rank:
                self.value = NO_THRESHOLD
        self._min_queue_wait = float("inf")
        self._floor = NO_THRESHOLD
