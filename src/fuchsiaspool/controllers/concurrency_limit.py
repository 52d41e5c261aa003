"""Learn how many calls the backend server can run at the same time."""

from typing import Final

from ..clock import Clock

MIN_LIMIT_CALLS: Final = 1.0
# Growth of the limit in slots: slow after a rejection, then doubling until the next.
INITIAL_GROWTH_PER_SECOND: Final = 1.0
MAX_GROWTH_PER_SECOND: Final = 64.0
GROWTH_DOUBLING_SECONDS: Final = 1.0


class ConcurrencyLimit:
    """Fall to the concurrency at which the server rejects, otherwise grow."""

    def __init__(self, clock: Clock, ceiling: int) -> None:
        self.value = float(ceiling)
        self._ceiling = float(ceiling)
        self._clock = clock
        self._growth_per_second = INITIAL_GROWTH_PER_SECOND
        self._doubled_at = clock.now()
        self._grown_at = clock.now()

    def set_ceiling(self, ceiling: int) -> None:
        """Set the highest value of the limit, in calls."""
        at_ceiling = self.value >= self._ceiling
        self._ceiling = float(ceiling)
        self.value = self._ceiling if at_ceiling else min(self.value, self._ceiling)

    def observe(self, rejected: bool, in_flight: int) -> None:
        """Learn from one finished call of `in_flight` calls, itself included."""
        now = self._clock.now()
        if rejected:
            # The server was running all calls but the rejected one.
            self.value = max(MIN_LIMIT_CALLS, min(self.value, in_flight - 1.0))
            self._growth_per_second = INITIAL_GROWTH_PER_SECOND
            self._doubled_at = self._grown_at = now
            return
        if self.value >= self._ceiling or in_flight < self.value - 1.0:
            # Only a limit that is reached shows that the server can run more.
            self._grown_at = now
            return
        if now - self._doubled_at >= GROWTH_DOUBLING_SECONDS:
            self._growth_per_second = min(
                self._growth_per_second * 2, MAX_GROWTH_PER_SECOND
            )
            self._doubled_at = now
        grown = self.value + (now - self._grown_at) * self._growth_per_second
        self.value = min(self._ceiling, grown)
        self._grown_at = now
