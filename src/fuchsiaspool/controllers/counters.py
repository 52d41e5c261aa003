"""Count outcomes for each class."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class OutcomeCounts:
    """Hold how many calls of one class ended in which way."""

    answered: int = 0
    failed: int = 0
    not_run: Counter[str] = field(default_factory=Counter)
    unknown: Counter[str] = field(default_factory=Counter)
    retries: int = 0
    most_retries: int = 0


class OutcomeCounters:
    """Hold the counts of every class."""

    def __init__(self) -> None:
        self.counts_by_class: dict[str, OutcomeCounts] = {}

    def find(self, class_name: str) -> OutcomeCounts:
        """Return the counts of a class."""
        counts = self.counts_by_class.get(class_name)
        if counts is None:
            counts = self.counts_by_class[class_name] = OutcomeCounts()
        return counts
