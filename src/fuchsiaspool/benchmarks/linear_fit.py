"""Fit a line to measured points."""

from dataclasses import dataclass
from statistics import linear_regression


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Represent a linear cost: `base` at zero units, `slope` for each unit."""

    base: float
    slope: float


def fit_line(points: list[tuple[float, float]]) -> LinearFit:
    """Return the least-squares line."""
    slope, base = linear_regression([x for x, _ in points], [y for _, y in points])
    return LinearFit(base, slope)
