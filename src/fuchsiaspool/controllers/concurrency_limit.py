"""Learn how many calls the backend server can hold at once."""

from typing import Final

from ..clock import Clock

LEAST: Final = 1.0
# Growth in slots a second: gentle after a refusal, doubling while there is none.
FIRST_GROWTH: Final = 1.0
LARGEST_GROWTH: Final = 64.0
DOUBLING_SECONDS: Final = 1.0


class ConcurrencyLimit:
    """Fall to what the server held when it refused, grow back while it takes all."""

    def __init__(self, clock: Clock, ceiling: int) -> None:
        self.value = float(ceiling)
        self._ceiling = float(ceiling)
        self._clock = clock
        self._growth = FIRST_GROWTH
        self._doubled = clock.now()
        self._grown = clock.now()

    def set_ceiling(self, ceiling: int) -> None:
        """Never hold more calls than `ceiling`."""
        at_ceiling = self.value >= self._ceiling
        self._ceiling = float(ceiling)
        self.value = self._ceiling if at_ceiling else min(self.value, self._ceiling)

    def observe(self, refused: bool, in_flight: int) -> None:
        """Learn from one finished call that had `in_flight` calls, itself included."""
        now = self._clock.now()
        if refused:
            # All but the refused one were in the server.
            self.value = max(LEAST, min(self.value, in_flight - 1.0))
            self._growth = FIRST_GROWTH
            self._doubled = self._grown = now
            return
        if self.value >= self._ceiling or in_flight < self.value - 1.0:
            # Growth is proved only when the limit was in use.
            self._grown = now
            return
        if now - self._doubled >= DOUBLING_SECONDS:
            self._growth = min(self._growth * 2, LARGEST_GROWTH)
            self._doubled = now
        grown = self.value + (now - self._grown) * self._growth
        self.value = min(self._ceiling, grown)
        self._grown = now
