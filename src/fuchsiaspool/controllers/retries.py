"""Limit retries to a share of first attempts, and resends to one allowance.

Handles the load pattern in which the servers of a service deep in the call chains
reject a large part of their calls at any load, and each chain needs several of them:
retries go to the chains that have done most of their calls.
"""

from collections import OrderedDict
from typing import Final

from ..calls import Call
from ..clock import Clock
from ..ids import CallerId, RequestId, ServiceName
from .token_bucket import TokenBucket

BUDGET_CAPACITY_RETRIES: Final = 10.0
# Allows a service with few calls to retry now and then.
MIN_RETRIES_PER_SECOND: Final = 0.2
# Retries that are reserved for critical calls.
CRITICAL_RESERVE_RETRIES: Final = 1.0
# Retries that are reserved for each call that a chain is short of
# `CHAIN_RESERVE_CALLS`. With it even the first call of a chain that is not critical
# finds a retry in a node's full bucket of 3.
CHAIN_RESERVE_RETRIES: Final = 0.5
CHAIN_RESERVE_CALLS: Final = 2
RESEND_WINDOW_SECONDS: Final = 60.0
MAX_REMEMBERED_REQUESTS: Final = 20_000


def compute_reserve(call: Call) -> float:
    """Return how many retries a call has to leave for more important ones.

    A chain that has done most calls loses more by failing and needs fewer to succeed.
    """
    reserve = 0.0 if call.critical else CRITICAL_RESERVE_RETRIES
    if call.nested:
        reserve += max(0, CHAIN_RESERVE_CALLS - call.done) * CHAIN_RESERVE_RETRIES
    return reserve


class RetryBudget:
    """Pay for retries from deposits by first attempts at the same service."""

    def __init__(
        self,
        clock: Clock,
        capacity: float = BUDGET_CAPACITY_RETRIES,
        min_rate: float = MIN_RETRIES_PER_SECOND,
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._min_rate = min_rate
        self._buckets: dict[ServiceName, TokenBucket] = {}

    def configure(self, min_rate: float) -> None:
        """Set the retries per second that need no first attempts."""
        self._min_rate = min_rate
        for bucket in self._buckets.values():
            bucket.rate = min_rate

    def record_first_attempt(self, service: ServiceName, ratio: float) -> None:
        """Deposit the share of one first attempt."""
        self._get_bucket(service).put(ratio)

    def charge(self, service: ServiceName) -> None:
        """Pay for a call that a retry caused, overdrawing if necessary."""
        self._get_bucket(service).charge(1.0)

    def take(self, service: ServiceName, reserve: float = 0.0) -> bool:
        """Pay for one retry if that leaves the reserve; return whether it did."""
        bucket = self._get_bucket(service)
        return bucket.tokens >= 1.0 + reserve and bucket.take(1.0)

    def _get_bucket(self, service: ServiceName) -> TokenBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = TokenBucket(self._clock, self._min_rate, self._capacity)
            self._buckets[service] = bucket
        return bucket


class AllowanceGrants:
    """Remember which requests got their allowance, so that a resend gets none."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._granted_at: OrderedDict[tuple[CallerId, RequestId], float] = OrderedDict()

    def grant(self, caller: CallerId, request: RequestId, allowance: int) -> int:
        """Return the allowance of a request, 0 if it was seen before."""
        now = self._clock.now()
        key = (caller, request)
        seen = self._granted_at.pop(key, None)
        self._granted_at[key] = now
        while len(self._granted_at) > MAX_REMEMBERED_REQUESTS:
            self._granted_at.popitem(last=False)
        if seen is not None and now - seen < RESEND_WINDOW_SECONDS:
            return 0
        return allowance
