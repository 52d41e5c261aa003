"""Follow the node's own backend server through its starts, drains and ends."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..addresses import Address
from ..ids import InstanceId, ServiceName

_LOG = logging.getLogger(__name__)
# Ended starts that are remembered, so that a late report revives none of them.
ENDED_KEPT: Final = 64


class ServerState(Enum):
    """Say what a backend server is doing."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Hold one heartbeat; `born` in Unix milliseconds, `cold_remaining` in seconds."""

    instance: InstanceId
    service: ServiceName
    address: Address
    slots: int
    state: ServerState
    sequence: int
    born: int
    cold_remaining: float = 0.0


class BackendServer:
    """Take reports in the order in which they were made, whatever order they come in.

    A start of a server is known by its instance id and the moment of its start;
    a later start replaces an earlier one, and one that has ended never returns.
    """

    def __init__(self, service: ServiceName, address: Address) -> None:
        self.current: ServerReport | None = None
        self._service = service
        self._address = address
        self._ended: dict[tuple[InstanceId, int], None] = {}
        self._last_born = 0
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function when the state or the instance changes."""
        self._listeners.append(listener)

    @property
    def state(self) -> ServerState:
        """Return what the server is doing."""
        return ServerState.ABSENT if self.current is None else self.current.state

    def handle_report(self, report: ServerReport) -> bool:
        """Take a report in; tell if it was news of the server in this slot."""
        if report.service != self._service or report.address != self._address:
            self._log_ignored(report, "another service or address")
            return False
        if (report.instance, report.born) in self._ended:
            self._log_ignored(report, "that start has ended")
            return False
        known = self.current
        if report.born < self._last_born or (
            known is not None and not _is_newer(report, known)
        ):
            self._log_ignored(report, "older than what is known")
            return False
        if known is not None and not _is_same_start(report, known):
            self._note_end(known.instance, known.born)
        self._put(report)
        return True

    def handle_departure(self, instance: InstanceId, born: int) -> None:
        """Note that a start of the server takes no more work."""
        known = self.current
        if known is not None and known.instance == instance:
            if born in (0, known.born):
                self._note_end(instance, known.born)
                self._put(None)
            return
        if born:
            self._note_end(instance, born)

    def _put(self, report: ServerReport | None) -> None:
        known, self.current = self.current, report
        if report is not None:
            self._last_born = report.born
        if (
            known is not None
            and report is not None
            and known.state is report.state
            and known.instance == report.instance
            and known.born == report.born
        ):
            return
        named = report or known
        _LOG.info(
            "server state",
            extra={
                "instance": named.instance if named else "",
                "state": self.state.value,
                "born": named.born if named else 0,
                "sequence": named.sequence if named else 0,
            },
        )
        for listener in self._listeners:
            listener()

    def _note_end(self, instance: InstanceId, born: int) -> None:
        self._ended[(instance, born)] = None
        while len(self._ended) > ENDED_KEPT:
            del self._ended[next(iter(self._ended))]

    def _log_ignored(self, report: ServerReport, reason: str) -> None:
        _LOG.info(
            "server report ignored",
            extra={
                "instance": report.instance,
                "sequence": report.sequence,
                "born": report.born,
                "reason": reason,
            },
        )


def _is_same_start(left: ServerReport, right: ServerReport) -> bool:
    return left.instance == right.instance and left.born == right.born


def _is_newer(report: ServerReport, known: ServerReport) -> bool:
    if _is_same_start(report, known):
        return report.sequence > known.sequence
    # Where no start is told, the one heard of last is taken for the later one.
    return report.born >= known.born
