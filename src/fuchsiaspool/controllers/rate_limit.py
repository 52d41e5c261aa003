"""Pace the calls to a server that names how many requests a second it takes.

Handles the load pattern in which some servers of a service ask for a fraction of their
share while the others have free slots: all nodes' calls to such a server are counted
at its own node, and calling nodes are told how often to try, so that few calls are sent
there in vain.
"""

from typing import Final

from ..clock import Clock
from .token_bucket import TokenBucket

# Requests that may be sent at once after a pause.
BURST_SECONDS: Final = 0.5
MIN_BURST_REQUESTS: Final = 2.0
# Only an answer can tell that a server takes requests again.
MIN_RATE_PER_SECOND: Final = 0.5
# Attempts of all calling nodes for each request that the server takes. A few more than
# one, as calls do not arrive evenly.
ATTEMPTS_PER_REQUEST: Final = 1.25
# Attempts are counted until there are this many, or this many were due.
ATTEMPTS_PER_WINDOW: Final = 5
MAX_INTERVAL_FACTOR: Final = 2.0
MAX_ATTEMPT_INTERVAL_SECONDS: Final = 8.0


class RateLimit:
    """Count the requests to the local server against the rate that it names.

    `rate` is in requests a second, `None` without a limit. `attempt_interval` is the
    time in seconds that each calling node should leave between its attempts.
    """

    def __init__(self, clock: Clock) -> None:
        self.rate: float | None = None
        self.attempt_interval = 0.0
        self._clock = clock
        self._bucket = TokenBucket(clock, 0.0, 0.0)
        self._attempts = 0
        self._window_start = clock.now()

    @property
    def available(self) -> bool:
        """Return whether the server takes a request now."""
        return self.rate is None or self._bucket.tokens >= 1.0

    def set_rate(self, limit: float | None) -> None:
        """Apply the limit that the server names; a first one permits no burst."""
        if limit is None:
            self.rate, self.attempt_interval = None, 0.0
            return
        rate = max(limit, MIN_RATE_PER_SECOND)
        capacity = max(MIN_BURST_REQUESTS, rate * BURST_SECONDS)
        if self.rate is None:
            self._bucket = TokenBucket(self._clock, rate, capacity)
            self._bucket.charge(capacity)
            self._attempts, self._window_start = 0, self._clock.now()
        else:
            self._bucket.configure(rate, capacity)
        self.rate = rate

    def take(self) -> None:
        """Count a request that is sent to the server."""
        if self.rate is not None:
            self._bucket.charge(1.0)

    def estimate_wait(self, ahead: int) -> float:
        """Return the seconds until a call with this many others ahead may be sent."""
        if self.rate is None:
            return 0.0
        return max(0.0, ahead + 1.0 - self._bucket.tokens) / self.rate

    def record_attempt(self) -> None:
        """Count a call that arrives, and adjust the interval between attempts."""
        if self.rate is None:
            return
        self._attempts += 1
        now = self._clock.now()
        target = self.rate * ATTEMPTS_PER_REQUEST
        due = (now - self._window_start) * target
        if max(due, self._attempts) < ATTEMPTS_PER_WINDOW:
            return
        factor = self._attempts / max(due, 1.0)
        self._attempts, self._window_start = 0, now
        factor = min(MAX_INTERVAL_FACTOR, max(1.0 / MAX_INTERVAL_FACTOR, factor))
        if factor > 1.0:
            # Even a single calling node need not try more often.
            self.attempt_interval = max(self.attempt_interval, 1.0 / target)
        self.attempt_interval = min(
            MAX_ATTEMPT_INTERVAL_SECONDS, self.attempt_interval * factor
        )
