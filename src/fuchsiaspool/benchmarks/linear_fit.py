"""Fit a line through measured points."""

from dataclasses import dataclass
from statistics import linear_regression


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Hold what a thing costs at nought, and what each unit adds."""

    base: float
    slope: float


def fit_line(points: list[tuple[float, float]]) -> LinearFit:
    """Return the least-squares line."""
    slope, base = linear_regression([x for x, _ in points], [y for _, y in points])
    return LinearFit(base, slope)
