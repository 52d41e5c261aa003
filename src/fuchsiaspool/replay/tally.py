"""Count the requests of a replay by outcome."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from ..ids import ClassName, OperationKey

RECOVERED_GOODPUT_SHARE = 0.95
RECOVERY_STEADY_SECONDS = 5


class CallerOutcome(Enum):
    """Enumerate how a request ends for its caller.

    WHOLE is a complete, successful answer before the deadline (counted as goodput),
    SHED a rejection before running, UNKNOWN a timeout or an outcome that can't be
    known, FAILED an error answer or no reachable server.
    """

    WHOLE = "whole"
    SHED = "shed"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(slots=True)
class ClassTally:
    """Count the requests of one class.

    `offered` and `whole` are by the second of the trace in which a request arrived.
    """

    offered: Counter[int] = field(default_factory=Counter)
    whole: Counter[int] = field(default_factory=Counter)
    outcomes: Counter[CallerOutcome] = field(default_factory=Counter)


@dataclass(slots=True)
class Tally:
    """Count the requests and server time of one replay; times in seconds."""

    classes: dict[ClassName, ClassTally] = field(default_factory=dict)
    requests: int = 0
    attempts: int = 0
    most_retries: int = 0
    far_bytes: int = 0
    useful_server_seconds: float = 0.0
    wasted_server_seconds: float = 0.0
    runs_by_key: Counter[OperationKey] = field(default_factory=Counter)
    false_not_run: int = 0

    def record_request(self, class_name: ClassName, at: float) -> None:
        """Count a request as offered."""
        self.requests += 1
        self.get_class_tally(class_name).offered[int(at)] += 1

    def record_outcome(
        self,
        class_name: ClassName,
        at: float,
        outcome: CallerOutcome,
        server_seconds: float,
    ) -> None:
        """Count the outcome of a request and the server time spent on it."""
        tally = self.get_class_tally(class_name)
        tally.outcomes[outcome] += 1
        if outcome is CallerOutcome.WHOLE:
            tally.whole[int(at)] += 1
            self.useful_server_seconds += server_seconds
        else:
            self.wasted_server_seconds += server_seconds

    def get_class_tally(self, class_name: ClassName) -> ClassTally:
        """Return the counts of a class."""
        return self.classes.setdefault(class_name, ClassTally())

    @property
    def doubled(self) -> int:
        """Return how many protected operations ran more than once."""
        return sum(1 for count in self.runs_by_key.values() if count > 1)

    def count_between(
        self, class_name: ClassName | None, start: float, end: float
    ) -> tuple[int, int]:
        """Return the whole answers and the requests offered between two times."""
        whole = offered = 0
        for tallied_class, tally in self.classes.items():
            if class_name is not None and tallied_class != class_name:
                continue
            for second, count in tally.offered.items():
                if start <= second < end:
                    offered += count
                    whole += tally.whole[second]
        return whole, offered

    def measure_recovery(
        self,
        usual_period: tuple[float, float],
        fault_end: float,
        trace_seconds: float,
    ) -> float | None:
        """Return the seconds from the end of the fault until goodput recovered.

        Goodput has recovered when for RECOVERY_STEADY_SECONDS in a row it is close to
        the share of the usual period; None if that never happens.
        """
        whole, offered = self.count_between(None, *usual_period)
        usual_share = whole / max(1, offered)
        second = int(fault_end)
        while second + RECOVERY_STEADY_SECONDS <= trace_seconds:
            if all(
                self._is_recovered(second + ahead, usual_share)
                for ahead in range(RECOVERY_STEADY_SECONDS)
            ):
                return max(0.0, second - fault_end)
            second += 1
        return None

    def _is_recovered(self, second: int, usual_share: float) -> bool:
        whole, offered = self.count_between(None, second, second + 1)
        return whole >= RECOVERED_GOODPUT_SHARE * usual_share * offered
