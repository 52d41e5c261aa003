"""Track when any node has last had an answer of the platform's store."""

import math

from ..clock import Clock


class StoreContact:
    """Keep the time of the latest answer that this node knows of."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._latest_at = -math.inf

    def note(self) -> None:
        """Record that this node has just had an answer."""
        self._latest_at = self._clock.now()

    def receive_age(self, seconds: float) -> None:
        """Record how long ago a peer knows of an answer."""
        if seconds >= 0.0:
            self._latest_at = max(self._latest_at, self._clock.now() - seconds)

    def get_age(self) -> float:
        """Return the seconds since the latest answer, infinity if there was none."""
        return self._clock.now() - self._latest_at
