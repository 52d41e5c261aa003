"""Choose the rank above which requests are turned away at the entrance.

Answers the load pattern in which a service deep in the call chains saturates: its
queue grows, calls that have used up work elsewhere fail there, and callers repeat
them. The level falls in steps that grow with the wait and rises in small ones, so
that only as many requests begin as the deepest service can finish.
"""

from typing import Final

from ..clock import Clock
from ..outcomes import NO_THRESHOLD

# One step of control, in seconds; a chain of calls answers within a few of them.
STEP_SECONDS: Final = 0.05
# Falls a step by this, times the wait over the target, at most the largest fall.
FALL: Final = 0.01
LARGEST_FALL: Final = 0.05
RISE: Final = 0.015
# Share of calls that a server with room refuses from which chains through it are
# more likely to fail than to end well: four calls in a row do at less than half.
REFUSED_SHARE: Final = 0.2
REFUSED_GAIN: Final = 0.05
# Ranks below this are critical and never turned away by the level.
LEAST_LEVEL: Final = 1.0


class AdvertisedThreshold:
    """Follow the expected waits at one server and hold the level they call for.

    The level never falls below the most important class that has to wait: where
    only the least important waits, the others are not turned away for it.
    """

    def __init__(self, clock: Clock, target: float) -> None:
        self.value = NO_THRESHOLD
        self._clock = clock
        self._target = target
        self._standing = float("inf")
        self._floor = NO_THRESHOLD
        self._top = LEAST_LEVEL
        self._refused = 0.0
        self._stepped = clock.now()

    def set_target(self, target: float) -> None:
        """Take another wait, in seconds, for the longest that is well."""
        self._target = target

    def observe_end(self, refused: bool) -> None:
        """Note if the server refused a call although it had room."""
        self._refused += (float(refused) - self._refused) * REFUSED_GAIN

    def observe(self, rank: float, wait: float, queue: float) -> None:
        """Note an arriving call of a rank; times in seconds.

        It meets a `wait` behind those that go first, in a `queue` of so long in all.
        Only what is left of the queue at its shortest calls for a lower level: calls
        that come in a clump are served without turning any away.
        """
        # Turning away starts at the least important class that is there.
        self._top = max(self._top, float(int(rank) + 1))
        self._standing = min(self._standing, queue)
        if wait > self._target:
            self._floor = min(self._floor, float(int(rank)))
        now = self._clock.now()
        steps = int((now - self._stepped) / STEP_SECONDS)
        if steps < 1:
            return
        self._stepped = now
        excess = self._standing / self._target
        if excess <= 1.0 and self._refused > REFUSED_SHARE:
            # Fewer chains leave each a larger part of the repeats that are allowed.
            excess = self._refused / REFUSED_SHARE
            self._floor = self._top - 1.0
        if excess > 1.0:
            start = min(self.value, self._top)
            fall = min(LARGEST_FALL, FALL * excess)
            floor = max(LEAST_LEVEL, self._floor)
            self.value = min(self.value, max(floor, start - fall))
        elif self.value < NO_THRESHOLD:
            self.value += RISE * steps
            if self.value >= self._top:
                self.value = NO_THRESHOLD
        self._standing = float("inf")
        self._floor = NO_THRESHOLD
