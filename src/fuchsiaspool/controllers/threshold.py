"""Choose the rank above which an overloaded server sheds calls."""

from typing import Final

from ..clock import Clock
from ..ids import OperationName, ServiceName
from ..outcomes import NO_THRESHOLD

WINDOW_SECONDS: Final = 0.1
# Critical calls have ranks below this, so that no threshold sheds them.
LEAST_THRESHOLD: Final = 1.0
BUCKETS_PER_CLASS: Final = 16
FIRST_STEP: Final = 1.0 / BUCKETS_PER_CLASS
LARGEST_STEP: Final = 0.5
HEADROOM: Final = 1.7
_DECAY: Final = 0.5
_BUCKETS: Final = int(NO_THRESHOLD) * BUCKETS_PER_CLASS


class SheddingThreshold:
    """Follow offered ranks and completions in windows, and set the threshold.

    A queue that never drained in a window of at least the target delay is a
    standing queue: the threshold falls to where the offered calls match the
    completed ones. Without one it rises in growing steps.
    """

    def __init__(self, clock: Clock, target: float) -> None:
        self.value = NO_THRESHOLD
        self._clock = clock
        self._window = max(target, WINDOW_SECONDS)
        self._offered = [0.0] * _BUCKETS
        self._completed = 0.0
        self._drained = True
        self._start = clock.now()
        self._step = FIRST_STEP

    def set_target(self, target: float) -> None:
        """Judge a queue as standing after `target` seconds, or one window."""
        self._window = max(target, WINDOW_SECONDS)

    def offer(self, rank: float) -> None:
        """Count one arriving call."""
        self._roll()
        index = min(int(rank * BUCKETS_PER_CLASS), _BUCKETS - 1)
        self._offered[index] += 1.0

    def complete(self) -> None:
        """Count one finished call."""
        self._completed += 1.0
        self._roll()

    def mark_drained(self) -> None:
        """Note that the queue was empty."""
        self._drained = True

    def _roll(self) -> None:
        now = self._clock.now()
        elapsed = now - self._start
        if elapsed < self._window:
            return
        self._start = now
        if self._drained:
            self._raise(int(elapsed / self._window))
        else:
            self._lower()
        self._offered = [count * _DECAY for count in self._offered]
        self._completed *= _DECAY
        self._drained = False

    def _lower(self) -> None:
        self._step = FIRST_STEP
        budget = self._completed * HEADROOM
        total = 0.0
        for index, count in enumerate(self._offered):
            total += count
            if total <= budget:
                continue
            found = max(LEAST_THRESHOLD, index / BUCKETS_PER_CLASS)
            self.value = min(self.value, found)
            return

    def _raise(self, windows: int) -> None:
        for _ in range(min(windows, _BUCKETS)):
            self.value = min(NO_THRESHOLD, self.value + self._step)
            self._step = min(self._step * 2, LARGEST_STEP)


RISE_PER_SECOND: Final = 1.0
_GAIN: Final = 0.3


class LearnedThresholds:
    """Remember what servers downstream shed, to shed it before sending.

    A remembered threshold rises with time, so that load returns by itself.
    """

    def __init__(self, clock: Clock, rise: float = RISE_PER_SECOND) -> None:
        self._clock = clock
        self._rise = rise
        self._learned: dict[tuple[ServiceName, OperationName], tuple[float, float]] = {}

    def learn(
        self, service: ServiceName, operation: OperationName, threshold: float
    ) -> None:
        """Take in the threshold that an outcome carried."""
        current = self.find(service, operation)
        if threshold >= NO_THRESHOLD and current >= NO_THRESHOLD:
            return
        value = current + (threshold - current) * _GAIN
        self._learned[(service, operation)] = (value, self._clock.now())

    def find(self, service: ServiceName, operation: OperationName) -> float:
        """Return the threshold that holds now."""
        found = self._learned.get((service, operation))
        if found is None:
            return NO_THRESHOLD
        value, when = found
        risen = value + (self._clock.now() - when) * self._rise
        if risen >= NO_THRESHOLD:
            del self._learned[(service, operation)]
            return NO_THRESHOLD
        return risen
