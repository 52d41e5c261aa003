"""Track the starts, drains and stops of the local backend server."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final, TypeVar

from ..addresses import Address
from ..ids import InstanceId, ServerStart, ServiceName

_T = TypeVar("_T")
_LOG = logging.getLogger(__name__)
# Ended and leaving starts that are remembered, so that a report does not revive them.
MAX_REMEMBERED_STARTS: Final = 64


class ServerState(Enum):
    """Enumerate the states of a backend server."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Represent one heartbeat of a backend server.

    `born` is the time of its start in Unix milliseconds, 0 if unknown;
    `cold_remaining` is the rest of its cold start in seconds.
    """

    instance: InstanceId
    service: ServiceName
    address: Address
    slots: int
    state: ServerState
    sequence: int
    born: int
    cold_remaining: float = 0.0


class BackendServer:
    """Track one server by reports that may arrive out of order.

    A start of a server is identified by its instance id and start time. A later start
    replaces an earlier one, and a start that has ended never returns.
    """

    def __init__(self, service: ServiceName, address: Address) -> None:
        self.current: ServerReport | None = None
        # The latest start that is known to leave or to have left.
        self.left_start = ServerStart("")
        self._service = service
        self._address = address
        self._ended: dict[tuple[InstanceId, int], None] = {}
        # By start, the Unix milliseconds at which it was known to leave.
        self._leaving: dict[tuple[InstanceId, int], float] = {}
        self._latest_born = 0
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function when the state or the instance changes."""
        self._listeners.append(listener)

    @property
    def state(self) -> ServerState:
        """Return the state of the server."""
        return ServerState.ABSENT if self.current is None else self.current.state

    def handle_report(self, report: ServerReport) -> bool:
        """Apply a report; return whether it was of this server and not outdated."""
        if report.service != self._service or report.address != self._address:
            self._log_ignored(report, "another service or address")
            return False
        if report.born == 0:
            report = self._name_leaving_start(report)
        if (report.instance, report.born) in self._ended:
            self._log_ignored(report, "that start has ended")
            return False
        known = self.current
        if report.born < self._latest_born or (
            known is not None and not _is_newer(report, known)
        ):
            self._log_ignored(report, "older than what is known")
            return False
        if self._is_leaving(report):
            report = replace(report, state=ServerState.DRAINING)
        if known is not None and not is_same_start(report, known):
            self._record_end(known.instance, known.born)
        self._set_current(report)
        return True

    def mark_leaving(self, instance: InstanceId, born: int, unix_ms: float) -> None:
        """Drain the present start for good, if it is this one; `born` 0 if unknown.

        Heartbeats of a server that leaves may still say that it is ready. `unix_ms` is
        the time now in Unix milliseconds.
        """
        known = self.current
        if known is None or known.instance != instance:
            return
        if known.born and born != known.born:
            return
        _remember(self._leaving, (instance, born), unix_ms)
        if known.state is ServerState.READY or born != known.born:
            self._set_current(replace(known, state=ServerState.DRAINING, born=born))

    def restore_left(self, start: ServerStart, unix_ms: float) -> None:
        """Drain a start for good that was known to leave before this node restarted."""
        instance_text, _, born_text = start.rpartition("/")
        if not born_text.isdecimal() or int(born_text) == 0:
            # Without its start time, a later start could not be told apart.
            return
        instance, born = InstanceId(instance_text), int(born_text)
        self.left_start = self.left_start or start
        _remember(self._leaving, (instance, born), unix_ms)
        known = self.current
        # A probe does not tell the start time.
        if known is not None and known.instance == instance and known.born in (0, born):
            self._set_current(replace(known, state=ServerState.DRAINING, born=born))

    def _name_leaving_start(self, report: ServerReport) -> ServerReport:
        # A probe may have been answered by a start that is known to leave. If it was a
        # later one, its first heartbeat tells.
        starts = [born for (name, born) in self._leaving if name == report.instance]
        return replace(report, born=max(starts, default=0))

    def _is_leaving(self, report: ServerReport) -> bool:
        if (report.instance, report.born) in self._leaving:
            return True
        # Before the first heartbeat the start time is unknown. A start later than the
        # moment at which the server was known to leave is another one.
        known_at = self._leaving.get((report.instance, 0))
        return known_at is not None and report.born <= known_at

    def handle_departure(self, instance: InstanceId, born: int) -> None:
        """Record that a start of the server has ended; `born` is 0 if unknown."""
        known = self.current
        if known is not None and known.instance == instance:
            if born in (0, known.born):
                self._record_end(instance, known.born)
                self.left_start = make_server_start(known)
                self._set_current(None)
            return
        if born:
            self._record_end(instance, born)

    def _set_current(self, report: ServerReport | None) -> None:
        previous, self.current = self.current, report
        if report is not None:
            self._latest_born = report.born
            if report.state is ServerState.DRAINING:
                self.left_start = make_server_start(report)
        if (
            previous is not None
            and report is not None
            and previous.state is report.state
            and previous.instance == report.instance
            and previous.born == report.born
        ):
            return
        subject = report or previous
        _LOG.info(
            "server state",
            extra={
                "instance": subject.instance if subject else "",
                "state": self.state.value,
                "born": subject.born if subject else 0,
                "sequence": subject.sequence if subject else 0,
            },
        )
        for listener in self._listeners:
            listener()

    def _record_end(self, instance: InstanceId, born: int) -> None:
        _remember(self._ended, (instance, born), None)

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


def _remember(
    starts: dict[tuple[InstanceId, int], _T], start: tuple[InstanceId, int], value: _T
) -> None:
    starts[start] = value
    while len(starts) > MAX_REMEMBERED_STARTS:
        del starts[next(iter(starts))]


def make_server_start(report: ServerReport) -> ServerStart:
    """Return the name of a start of a server, unique in the fleet."""
    return ServerStart(f"{report.instance}/{report.born}")


def is_same_start(left: ServerReport, right: ServerReport) -> bool:
    """Return whether two reports are of the same start of a server."""
    return left.instance == right.instance and left.born == right.born


def _is_newer(report: ServerReport, known: ServerReport) -> bool:
    if is_same_start(report, known):
        return report.sequence > known.sequence
    # Equal start times, 0 where unknown: the start reported last counts as later.
    return report.born >= known.born
