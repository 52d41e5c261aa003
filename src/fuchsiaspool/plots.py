"""Format histograms as text for a terminal."""

from collections.abc import Iterator
from typing import Any, Final

PERCENTILES: Final = (50.0, 75.0, 90.0, 99.0, 99.9, 100.0)
BAR_WIDTH_COLUMNS: Final = 40
_US_PER_MS: Final = 1000.0


def format_table(rows: list[tuple[str, Any]]) -> Iterator[str]:
    """Yield a title line, then a line for each histogram with percentiles in ms."""
    titles = "".join(f"{f'p{p:g}':>10}" for p in PERCENTILES)
    yield f"{'':30}{'count':>9}{titles}"
    for name, histogram in rows:
        values = [
            histogram.get_value_at_percentile(p) / _US_PER_MS for p in PERCENTILES
        ]
        cells = "".join(f"{value:>10.2f}" for value in values)
        yield f"{name:30}{histogram.get_total_count():>9}{cells}"


def draw_bars(name: str, histogram: Any) -> Iterator[str]:
    """Yield the name, then a bar per power-of-two bucket in µs, labelled in ms."""
    yield name
    counts: dict[int, int] = {}
    for item in histogram.get_recorded_iterator():
        bucket = int(item.value_iterated_to).bit_length()
        counts[bucket] = counts.get(bucket, 0) + int(item.count_at_value_iterated_to)
    highest_count = max(counts.values(), default=1)
    for bucket in range(min(counts, default=0), max(counts, default=-1) + 1):
        count = counts.get(bucket, 0)
        bar = "#" * round(count / highest_count * BAR_WIDTH_COLUMNS)
        yield f"  up to {(1 << bucket) / _US_PER_MS:>10.2f} ms {count:>8} {bar}"
