"""Record latency and queue delay in histograms for each class and caller."""

from collections import Counter, OrderedDict
from enum import Enum
from typing import Final

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS: Final = 1
HIGHEST_MICROSECONDS: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
# Leading bits of a value that the library keeps for that many digits.
SIGNIFICANT_BITS: Final = 8
MAX_NAMED_CALLERS: Final = 40
# Far more than classes in use at once; routes come and go in the life of a process.
MAX_HISTOGRAMS: Final = 400
MAX_PENDING_SAMPLES: Final = 10_000
POOLED_CALLERS_NAME: Final = "others"
_MICROSECONDS_PER_SECOND: Final = 1_000_000


class Measure(Enum):
    """Enumerate the durations that histograms record."""

    LATENCY = "latency"
    REFUSAL = "refusal"
    QUEUE_DELAY = "queue-delay"


class Histograms:
    """Record durations in a bounded set of histograms.

    Callers beyond the first ones share one; of classes, those used last are kept.
    """

    def __init__(self) -> None:
        self._pending: list[tuple[Measure, str, str, float]] = []
        self._histograms: OrderedDict[tuple[Measure, str, str], HdrHistogram] = (
            OrderedDict()
        )
        self._callers: set[str] = set()

    def record(
        self, measure: Measure, class_name: str, caller: str, seconds: float
    ) -> None:
        """Record one duration for its class, and for its caller if there is one."""
        # Added to the histograms by `flush`, so that the call does not wait for it.
        self._pending.append((measure, class_name, caller, seconds))
        if len(self._pending) >= MAX_PENDING_SAMPLES:
            self.flush()

    def flush(self) -> None:
        """Add the pending durations to the histograms."""
        pending, self._pending = self._pending, []
        counts: Counter[tuple[Measure, str, str, int]] = Counter()
        for measure, class_name, caller, seconds in pending:
            value = _round_down(
                max(LOWEST_MICROSECONDS, int(seconds * _MICROSECONDS_PER_SECOND))
            )
            counts[(measure, "class", class_name, value)] += 1
            if caller:
                counts[(measure, "caller", self._pool_caller(caller), value)] += 1
        # Recording is slow in the library, so equal values are recorded together.
        for (measure, kind, name, value), count in counts.items():
            self._get_histogram(measure, kind, name).record_value(value, count)

    def summarize(self, measure: Measure, percentile: float) -> dict[str, float]:
        """Return the seconds at a percentile for each class."""
        self.flush()
        return {
            name: histogram.get_value_at_percentile(percentile)
            / _MICROSECONDS_PER_SECOND
            for (recorded, kind, name), histogram in self._histograms.items()
            if recorded is measure and kind == "class"
        }

    def export(self) -> dict[tuple[Measure, str, str], bytes]:
        """Return every histogram in the mergeable encoding of the library."""
        self.flush()
        return {key: histogram.encode() for key, histogram in self._histograms.items()}

    def _pool_caller(self, caller: str) -> str:
        if caller in self._callers:
            return caller
        if len(self._callers) >= MAX_NAMED_CALLERS:
            return POOLED_CALLERS_NAME
        self._callers.add(caller)
        return caller

    def _get_histogram(self, measure: Measure, kind: str, name: str) -> HdrHistogram:
        key = (measure, kind, name)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = make_histogram()
            if len(self._histograms) > MAX_HISTOGRAMS:
                self._histograms.popitem(last=False)
        self._histograms.move_to_end(key)
        return histogram


def _round_down(value: int) -> int:
    # Returns the lowest of the values that share a bucket of the histogram.
    shift = max(0, value.bit_length() - SIGNIFICANT_BITS)
    return value >> shift << shift


def make_histogram() -> HdrHistogram:
    """Make a histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
