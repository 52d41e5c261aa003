"""Choose the rank above which an overloaded server sheds calls."""

from typing import Final

from ..clock import Clock
from ..ids import OperationName, ServiceName
from ..outcomes import NO_THRESHOLD

MIN_WINDOW_SECONDS: Final = 0.1
# Critical calls have ranks below this, so no threshold sheds them.
MIN_THRESHOLD: Final = 1.0
RANK_BUCKETS_PER_CLASS: Final = 16
# Increases of the threshold in one window, in ranks.
INITIAL_INCREASE: Final = 1.0 / RANK_BUCKETS_PER_CLASS
MAX_INCREASE: Final = 0.5
COMPLETED_HEADROOM_FACTOR: Final = 1.7
_WINDOW_DECAY: Final = 0.5
_RANK_BUCKETS: Final = int(NO_THRESHOLD) * RANK_BUCKETS_PER_CLASS


class SheddingThreshold:
    """Adjust the threshold to the ranks offered and the calls completed in windows.

    A queue that never drains in a window, which is at least the target delay, is a
    standing queue: the threshold falls to the rank up to which the offered calls match
    the completed ones. Without a standing queue it rises in growing steps.
    """

    def __init__(self, clock: Clock, target: float) -> None:
        self.value = NO_THRESHOLD
        self._clock = clock
        self._window = max(target, MIN_WINDOW_SECONDS)
        self._offered = [0.0] * _RANK_BUCKETS
        self._completed = 0.0
        self._drained = True
        self._window_start = clock.now()
        self._increase = INITIAL_INCREASE

    def set_target(self, target: float) -> None:
        """Count a queue as standing after `target` seconds, or the shortest window."""
        self._window = max(target, MIN_WINDOW_SECONDS)

    def offer(self, rank: float) -> None:
        """Count one arriving call."""
        self._advance_window()
        index = min(int(rank * RANK_BUCKETS_PER_CLASS), _RANK_BUCKETS - 1)
        self._offered[index] += 1.0

    def complete(self) -> None:
        """Count one finished call."""
        self._completed += 1.0
        self._advance_window()

    def mark_drained(self) -> None:
        """Record that the queue was empty."""
        self._drained = True

    def _advance_window(self) -> None:
        now = self._clock.now()
        elapsed = now - self._window_start
        if elapsed < self._window:
            return
        self._window_start = now
        if self._drained:
            self._raise(int(elapsed / self._window))
        else:
            self._lower()
        self._offered = [count * _WINDOW_DECAY for count in self._offered]
        self._completed *= _WINDOW_DECAY
        self._drained = False

    def _lower(self) -> None:
        self._increase = INITIAL_INCREASE
        budget = self._completed * COMPLETED_HEADROOM_FACTOR
        total = 0.0
        for index, count in enumerate(self._offered):
            total += count
            if total <= budget:
                continue
            threshold = max(MIN_THRESHOLD, index / RANK_BUCKETS_PER_CLASS)
            self.value = min(self.value, threshold)
            return

    def _raise(self, windows: int) -> None:
        for _ in range(min(windows, _RANK_BUCKETS)):
            self.value = min(NO_THRESHOLD, self.value + self._increase)
            self._increase = min(self._increase * 2, MAX_INCREASE)


THRESHOLD_RISE_PER_SECOND: Final = 1.0
_THRESHOLD_EWMA_WEIGHT: Final = 0.3


class LearnedThresholds:
    """Remember the thresholds of downstream servers, to shed calls before sending.

    A learned threshold rises with time, so that load returns by itself.
    """

    def __init__(
        self, clock: Clock, rise_per_second: float = THRESHOLD_RISE_PER_SECOND
    ) -> None:
        self._clock = clock
        self._rise_per_second = rise_per_second
        self._learned: dict[tuple[ServiceName, OperationName], tuple[float, float]] = {}

    def learn(
        self, service: ServiceName, operation: OperationName, threshold: float
    ) -> None:
        """Update the threshold by that of an outcome."""
        current = self.find(service, operation)
        if threshold >= NO_THRESHOLD and current >= NO_THRESHOLD:
            return
        value = current + (threshold - current) * _THRESHOLD_EWMA_WEIGHT
        self._learned[(service, operation)] = (value, self._clock.now())

    def find(self, service: ServiceName, operation: OperationName) -> float:
        """Return the threshold in force now."""
        learned = self._learned.get((service, operation))
        if learned is None:
            return NO_THRESHOLD
        value, learned_at = learned
        risen = value + (self._clock.now() - learned_at) * self._rise_per_second
        if risen >= NO_THRESHOLD:
            del self._learned[(service, operation)]
            return NO_THRESHOLD
        return risen
