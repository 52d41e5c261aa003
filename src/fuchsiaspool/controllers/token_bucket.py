"""Limit rates by token buckets."""

from ..clock import Clock


class TokenBucket:
    """Refill at a rate per second up to a capacity, which also limits the overdraft."""

    def __init__(self, clock: Clock, rate: float, capacity: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self._clock = clock
        self._tokens = capacity
        self._updated_at = clock.now()

    @property
    def tokens(self) -> float:
        """Return the tokens available now; negative when overdrawn."""
        now = self._clock.now()
        grown = self._tokens + (now - self._updated_at) * self.rate
        self._tokens = min(self.capacity, grown)
        self._updated_at = now
        return self._tokens

    def configure(self, rate: float, capacity: float) -> None:
        """Change rate and capacity; the tokens until now come at the old rate."""
        tokens = self.tokens
        self.rate, self.capacity = rate, capacity
        self._tokens = min(capacity, tokens)

    def take(self, amount: float) -> bool:
        """Take an amount if it is available and return whether it was."""
        if self.tokens < amount:
            return False
        self._tokens -= amount
        return True

    def charge(self, amount: float) -> None:
        """Take an amount that was spent already, overdrawing if necessary."""
        self._tokens = max(self.tokens - amount, -self.capacity)

    def put(self, amount: float) -> None:
        """Add an amount, up to the capacity."""
        self._tokens = min(self.capacity, self.tokens + amount)
