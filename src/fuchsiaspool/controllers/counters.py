"""Count outcomes for each class."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class OutcomeCounts:
    """Count the outcomes and retries of the calls of one class."""

    answered: int = 0
    failed: int = 0
    not_run: Counter[str] = field(default_factory=Counter)
    unknown: Counter[str] = field(default_factory=Counter)
    retries: int = 0
    most_retries: int = 0


class OutcomeCounters:
    """Count the outcomes and retries of calls by class."""

    def __init__(self) -> None:
        self.counts_by_class: dict[str, OutcomeCounts] = {}

    def find(self, class_name: str) -> OutcomeCounts:
        """Return the counts of a class, zero at first."""
        counts = self.counts_by_class.get(class_name)
        if counts is None:
            counts = self.counts_by_class[class_name] = OutcomeCounts()
        return counts
