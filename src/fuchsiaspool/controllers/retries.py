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
from .token_bucket import TokenBucket

BUDGET_CAPACITY_RETRIES: Final = 10.0
# Keeps a quiet service able to retry now and then, per second.
TRICKLE_PER_SECOND: Final = 0.2
# Retries that are kept for critical calls.
CRITICAL_RESERVE: Final = 1.0
# The same for each call of which a chain is short of having come far. With it even the
# first call of a chain that is not critical finds a retry in a node's full bucket of 3.
CHAIN_RESERVE: Final = 0.5
CHAIN_CALLS: Final = 2
RESEND_SECONDS: Final = 60.0
RESEND_ENTRIES: Final = 20_000


def compute_reserve(call: Call) -> float:
    """Return how many retries a call has to leave to others that matter more.

    A chain that has come far loses more by ending, and needs fewer calls to end well.
    """
    reserve = 0.0 if call.critical else CRITICAL_RESERVE
    if call.nested:
        reserve += max(0, CHAIN_CALLS - call.done) * CHAIN_RESERVE
    return reserve


class RetryBudget:
    """Pay for retries out of what first attempts of the same service put in."""

    def __init__(
        self,
        clock: Clock,
        capacity: float = BUDGET_CAPACITY_RETRIES,
        min_rate: float = TRICKLE_PER_SECOND,
    ) -> None:
        self._clock = clock
        self._depth = capacity
        self._trickle = min_rate
        self._buckets: dict[ServiceName, TokenBucket] = {}

    def configure(self, min_rate: float) -> None:
        """Take another rate, in retries a second, for what is free of the share."""
        self._trickle = min_rate
        for bucket in self._buckets.values():
            bucket.rate = min_rate

    def record_first_attempt(self, service: ServiceName, ratio: float) -> None:
        """Put in the share of one first attempt."""
        self._find(service).put(ratio)

    def charge(self, service: ServiceName) -> None:
        """Note an arrival beyond the first that was made without asking."""
        self._find(service).charge(1.0)

    def take(self, service: ServiceName, reserve: float = 0.0) -> bool:
        """Pay for one retry, leaving a reserve; tell if there was enough."""
        bucket = self._find(service)
        return bucket.tokens >= 1.0 + reserve and bucket.take(1.0)

    def _find(self, service: ServiceName) -> TokenBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = TokenBucket(self._clock, self._trickle, self._depth)
            self._buckets[service] = bucket
        return bucket


class AllowanceGrants:
    """Remember what each caller's request was granted, so that a resend gets none."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: OrderedDict[tuple[CallerId, RequestId], float] = OrderedDict()

    def grant(self, caller: CallerId, request: RequestId, allowance: int) -> int:
        """Return the allowance of a request: nothing if it was seen before."""
        now = self._clock.now()
        key = (caller, request)
        seen = self._seen.pop(key, None)
        self._seen[key] = now
        while len(self._seen) > RESEND_ENTRIES:
            self._seen.popitem(last=False)
        if seen is not None and now - seen < RESEND_SECONDS:
            return 0
        return allowance
