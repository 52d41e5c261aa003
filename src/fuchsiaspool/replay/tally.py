"""Count what became of the requests of a replay."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from ..ids import ClassName, OperationKey

RECOVERED_SHARE = 0.95
STEADY_SECONDS = 5


class Ending(Enum):
    """Say how a request ended for its caller."""

    WHOLE = "whole"
    SHED = "shed"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(slots=True)
class ClassTally:
    """Count the requests of one class, also by the second they began in."""

    offered: Counter[int] = field(default_factory=Counter)
    whole: Counter[int] = field(default_factory=Counter)
    endings: Counter[Ending] = field(default_factory=Counter)


@dataclass(slots=True)
class Tally:
    """Hold the counts of one replay; times in seconds."""

    classes: dict[ClassName, ClassTally] = field(default_factory=dict)
    requests: int = 0
    attempts: int = 0
    most_retries: int = 0
    far_bytes: int = 0
    useful_work: float = 0.0
    wasted_work: float = 0.0
    runs: Counter[OperationKey] = field(default_factory=Counter)
    false_not_run: int = 0

    def begin(self, name: ClassName, at: float) -> None:
        """Count a request as offered."""
        self.requests += 1
        self.find(name).offered[int(at)] += 1

    def end(self, name: ClassName, at: float, ending: Ending, work: float) -> None:
        """Count how a request ended, and the server time spent on it."""
        tally = self.find(name)
        tally.endings[ending] += 1
        if ending is Ending.WHOLE:
            tally.whole[int(at)] += 1
            self.useful_work += work
        else:
            self.wasted_work += work

    def find(self, name: ClassName) -> ClassTally:
        """Return the counts of a class."""
        return self.classes.setdefault(name, ClassTally())

    @property
    def doubled(self) -> int:
        """Return how many protected operations ran more than once."""
        return sum(1 for count in self.runs.values() if count > 1)

    def share(
        self, name: ClassName | None, start: float, end: float
    ) -> tuple[int, int]:
        """Return the whole answers and the requests offered between two moments."""
        whole = offered = 0
        for key, tally in self.classes.items():
            if name is not None and key != name:
                continue
            for second, count in tally.offered.items():
                if start <= second < end:
                    offered += count
                    whole += tally.whole[second]
        return whole, offered

    def measure_recovery(
        self, before: tuple[float, float], cause_end: float, length: float
    ) -> float | None:
        """Return the seconds until goodput was back for five seconds in a row."""
        whole, offered = self.share(None, *before)
        usual = whole / max(1, offered)
        second = int(cause_end)
        while second + STEADY_SECONDS <= length:
            if all(
                self._is_back(second + ahead, usual) for ahead in range(STEADY_SECONDS)
            ):
                return max(0.0, second - cause_end)
            second += 1
        return None

    def _is_back(self, second: int, usual: float) -> bool:
        whole, offered = self.share(None, second, second + 1)
        return whole >= RECOVERED_SHARE * usual * offered
