"""Answer what the settings say about a service and its operations."""

import fnmatch
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from ..ids import ClassName, OperationName, Revision, ServiceName, TeamName


@dataclass(frozen=True, slots=True)
class Limits:
    """Bound calls; times in seconds, rates in bytes per second."""

    retry_allowance: int = 2
    retry_ratio: float = 0.1
    deadline: float = 30.0
    max_queue_wait: float = 0.5
    cross_region_rate: float = 100_000.0


@dataclass(frozen=True, slots=True)
class OperationPolicy:
    """Say how calls of one operation are treated; times in seconds."""

    name: OperationName
    call_class: ClassName
    priority: int
    idempotent: bool
    protected: bool
    deadline: float

    @property
    def critical(self) -> bool:
        """Tell if the operation is shed last."""
        return self.priority == 0


@dataclass(frozen=True, slots=True)
class _Matcher:
    method: str
    pattern: re.Pattern[str]
    operation: OperationPolicy


DEFAULT_PRIORITY: Final = 4


@dataclass(slots=True)
class ServicePolicy:
    """Hold all that settings say about one service; times in seconds."""

    name: ServiceName
    team: TeamName
    limits: Limits
    slots: int = 100
    connections: int = 500
    queue_delay_target: float = 0.02
    operations: list[OperationPolicy] = field(default_factory=list)
    default: OperationPolicy | None = None
    _matchers: list[_Matcher] = field(default_factory=list)

    def add_operation(self, match: str, operation: OperationPolicy) -> None:
        """Recognise an operation by `METHOD /path/*`."""
        method, _, path = match.partition(" ")
        pattern = re.compile(fnmatch.translate(path.strip()))
        self._matchers.append(_Matcher(method.upper(), pattern, operation))
        self.operations.append(operation)

    def find_operation(self, method: str, target: str) -> OperationPolicy:
        """Return the first operation that matches, or the default."""
        path = target.partition("?")[0]
        for matcher in self._matchers:
            if matcher.method not in (method, "*"):
                continue
            if matcher.pattern.match(path):
                return matcher.operation
        if self.default is not None:
            return self.default
        return OperationPolicy(
            OperationName("other"),
            ClassName("default"),
            DEFAULT_PRIORITY,
            method in ("GET", "HEAD", "OPTIONS"),
            False,
            self.limits.deadline,
        )


@dataclass(frozen=True, slots=True)
class Policy:
    """Hold one accepted revision of the settings, compiled for look-up."""

    revision: Revision
    services: Mapping[ServiceName, ServicePolicy]
    classes: Mapping[ClassName, int]
