"""Count outcomes for each class."""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from typing import Final

# Far more than classes in use at once; routes come and go in the life of a process.
MAX_CLASSES: Final = 400


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
    """Count the outcomes and retries of calls by class; those used last are kept."""

    def __init__(self) -> None:
        self.counts_by_class: OrderedDict[str, OutcomeCounts] = OrderedDict()

    def find(self, class_name: str) -> OutcomeCounts:
        """Return the counts of a class, zero at first."""
        counts = self.counts_by_class.get(class_name)
        if counts is None:
            counts = self.counts_by_class[class_name] = OutcomeCounts()
            if len(self.counts_by_class) > MAX_CLASSES:
                self.counts_by_class.popitem(last=False)
        self.counts_by_class.move_to_end(class_name)
        return counts
