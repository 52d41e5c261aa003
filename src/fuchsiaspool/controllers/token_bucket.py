"""Hold token buckets."""

from ..clock import Clock


class TokenBucket:
    """Fill at a rate up to a depth; may be overdrawn by what turned out later."""

    def __init__(self, clock: Clock, rate: float, capacity: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self._clock = clock
        self._tokens = capacity
        self._when = clock.now()

    @property
    def tokens(self) -> float:
        """Return what is there now; negative when overdrawn."""
        now = self._clock.now()
        grown = self._tokens + (now - self._when) * self.rate
        self._tokens = min(self.capacity, grown)
        self._when = now
        return self._tokens

    def take(self, amount: float) -> bool:
        """Take an amount that is there; tell if it was."""
        if self.tokens < amount:
            return False
        self._tokens -= amount
        return True

    def charge(self, amount: float) -> None:
        """Take an amount whether it is there or not."""
        self._tokens = max(self.tokens - amount, -self.capacity)

    def put(self, amount: float) -> None:
        """Add an amount."""
        self._tokens = min(self.capacity, self.tokens + amount)
