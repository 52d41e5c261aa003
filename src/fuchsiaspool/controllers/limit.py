"""Learn how many calls the backend server can hold at once."""

from typing import Final

from ..clock import Clock

DECREASE: Final = 0.85
DECREASE_PAUSE_SECONDS: Final = 0.1
LEAST: Final = 1.0


class ConcurrencyLimit:
    """Shrink on the server's refusals, grow back while it takes all calls."""

    def __init__(self, clock: Clock, ceiling: int) -> None:
        self.value = float(ceiling)
        self._ceiling = float(ceiling)
        self._clock = clock
        self._last_decrease = float("-inf")

    def set_ceiling(self, ceiling: int) -> None:
        """Never hold more calls than `ceiling`."""
        at_ceiling = self.value >= self._ceiling
        self._ceiling = float(ceiling)
        self.value = self._ceiling if at_ceiling else min(self.value, self._ceiling)

    def observe(self, refused: bool, in_flight: int) -> None:
        """Learn from one finished call that had `in_flight` calls beside it."""
        if not refused:
            # Growth is proved only when the limit was in use.
            if in_flight >= self.value - 1.0:
                self.value = min(self._ceiling, self.value + 1.0 / self.value)
            return
        now = self._clock.now()
        if now - self._last_decrease < DECREASE_PAUSE_SECONDS:
            return
        self._last_decrease = now
        self.value = max(LEAST, min(self.value, in_flight) * DECREASE)
