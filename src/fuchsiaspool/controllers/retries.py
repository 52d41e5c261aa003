"""Keep retries to a share of first attempts, and resends to one allowance.

Answers the load pattern in which the servers of a service deep in the chains refuse
a large part of their calls whatever their load, and each chain needs several of them:
what may be repeated goes to the chains of which most is done already.
"""

from collections import OrderedDict
from typing import Final

from ..calls import Call
from ..clock import Clock
from ..ids import CallerId, RequestId, ServiceName
from .buckets import TokenBucket

RATIO_DEPTH: Final = 10.0
# Keeps a quiet service able to retry now and then, per second.
MIN_RETRIES_PER_SECOND: Final = 0.2
# Retries that are kept for critical calls.
CRITICAL_RESERVE_RETRIES: Final = 1.0
# The same for each call of which a chain is short of having come far. With it even the
# first call of a chain that is not critical finds a retry in a node's full bucket of 3.
CHAIN_RESERVE_RETRIES: Final = 0.5
CHAIN_RESERVE_CALLS: Final = 2
RESEND_WINDOW_SECONDS: Final = 60.0
MAX_REMEMBERED_REQUESTS: Final = 20_000


def choose_reserve(call: Call) -> float:
    """Return how many retries a call has to leave to others that matter more.

    A chain that has come far loses more by ending, and needs fewer calls to end well.
    """
    reserve = 0.0 if call.critical else CRITICAL_RESERVE_RETRIES
    if call.nested:
        reserve += max(0, CHAIN_RESERVE_CALLS - call.done) * CHAIN_RESERVE_RETRIES
    return reserve


class RetryRatio:
    """Pay for retries out of what first attempts of the same service put in."""

    def __init__(
        self,
        clock: Clock,
        depth: float = RATIO_DEPTH,
        trickle: float = MIN_RETRIES_PER_SECOND,
    ) -> None:
        self._clock = clock
        self._capacity = depth
        self._min_rate = trickle
        self._buckets: dict[ServiceName, TokenBucket] = {}

    def configure(self, trickle: float) -> None:
        """Take another rate, in retries a second, for what is free of the share."""
        self._min_rate = trickle
        for bucket in self._buckets.values():
            bucket.rate = trickle

    def count_first(self, service: ServiceName, ratio: float) -> None:
        """Put in the share of one first attempt."""
        self._get_bucket(service).put(ratio)

    def charge(self, service: ServiceName) -> None:
        """Note an arrival beyond the first that was made without asking."""
        self._get_bucket(service).charge(1.0)

    def take(self, service: ServiceName, reserve: float = 0.0) -> bool:
        """Pay for one retry, leaving a reserve; tell if there was enough."""
        bucket = self._get_bucket(service)
        return bucket.tokens >= 1.0 + reserve and bucket.take(1.0)

    def _get_bucket(self, service: ServiceName) -> TokenBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = TokenBucket(self._clock, self._min_rate, self._capacity)
            self._buckets[service] = bucket
        return bucket


class Grants:
    """Remember what each caller's request was granted, so that a resend gets none."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._granted_at: OrderedDict[tuple[CallerId, RequestId], float] = OrderedDict()

    def grant(self, caller: CallerId, request: RequestId, allowance: int) -> int:
        """Return the allowance of a request: nothing if it was seen before."""
        now = self._clock.now()
        key = (caller, request)
        seen = self._granted_at.pop(key, None)
        self._granted_at[key] = now
        while len(self._granted_at) > MAX_REMEMBERED_REQUESTS:
            self._granted_at.popitem(last=False)
        if seen is not None and now - seen < RESEND_WINDOW_SECONDS:
            return 0
        return allowance
