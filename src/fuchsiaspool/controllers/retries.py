"""Keep retries to a share of first attempts, and resends to one allowance."""

from collections import OrderedDict
from typing import Final

from ..clock import Clock
from ..ids import CallerId, RequestId, ServiceName
from .buckets import TokenBucket

RATIO_DEPTH: Final = 10.0
# Keeps a quiet service able to retry now and then, per second.
TRICKLE_PER_SECOND: Final = 0.2
RESEND_SECONDS: Final = 60.0
RESEND_ENTRIES: Final = 20_000


class RetryRatio:
    """Pay for retries out of what first attempts of the same service put in."""

    def __init__(
        self,
        clock: Clock,
        depth: float = RATIO_DEPTH,
        trickle: float = TRICKLE_PER_SECOND,
    ) -> None:
        self._clock = clock
        self._depth = depth
        self._trickle = trickle
        self._buckets: dict[ServiceName, TokenBucket] = {}

    def configure(self, trickle: float) -> None:
        """Take another rate, in retries a second, for what is free of the share."""
        self._trickle = trickle
        for bucket in self._buckets.values():
            bucket.rate = trickle

    def count_first(self, service: ServiceName, ratio: float) -> None:
        """Put in the share of one first attempt."""
        self._find(service).put(ratio)

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


class Grants:
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
