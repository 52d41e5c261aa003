"""Tell a crash of the local server from connections that end for other reasons."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..addresses import Address
from ..calls import Call
from ..clock import Clock
from ..ids import Fingerprint, ServerStart
from ..outcomes import Outcome, Unknown, UnknownReason
from .backend_server import (
    BackendServer,
    ServerReport,
    ServerState,
    is_same_start,
    make_server_start,
)

_LOG = logging.getLogger(__name__)
# All connections of a process that ends close at the same moment. This is the time
# until all of their tasks have run.
CHECK_DELAY_SECONDS: Final = 0.01
_LOST_REASONS: Final = (UnknownReason.RESET, UnknownReason.TRUNCATED)


@dataclass(frozen=True, slots=True, eq=False)
class RunningAttempt:
    """Represent a call that was sent to one start of the server."""

    call: Call
    request: Fingerprint
    start: ServerReport
    began_at: float


class CrashDetector:
    """Watch the attempts at the local server, and report what was running at a crash.

    A server has crashed if the connections of all its attempts end, though it was not
    leaving, and its address refuses connections. `is_refused` tries that.
    """

    def __init__(
        self,
        clock: Clock,
        server: BackendServer,
        is_refused: Callable[[Address], bool],
        report: Callable[[ServerStart, list[Fingerprint]], None],
    ) -> None:
        self.crashes = 0
        self._clock = clock
        self._server = server
        self._is_refused = is_refused
        self._report = report
        self._running: set[RunningAttempt] = set()
        self._lost: list[RunningAttempt] = []

    def begin(self, call: Call, request: Fingerprint) -> RunningAttempt | None:
        """Record an attempt at the server's present start."""
        start = self._server.current
        if start is None:
            return None
        attempt = RunningAttempt(call, request, start, self._clock.now())
        self._running.add(attempt)
        return attempt

    def end(self, attempt: RunningAttempt | None, outcome: Outcome | None) -> None:
        """Record how an attempt has ended."""
        if attempt is None:
            return
        self._running.discard(attempt)
        if not isinstance(outcome, Unknown) or outcome.reason not in _LOST_REASONS:
            return
        if attempt.call.cancellation.cancelled:
            return
        self._lost.append(attempt)
        if len(self._lost) == 1:
            self._clock.spawn(self._check, attempt.start, self._clock.now())

    def _check(self, start: ServerReport, lost_at: float) -> None:
        self._clock.sleep(CHECK_DELAY_SECONDS)
        # Each heartbeat brings another report of the same start.
        lost = [a for a in self._lost if is_same_start(a.start, start)]
        self._lost.clear()
        if any(attempt.began_at <= lost_at for attempt in self._running):
            # Other connections stand: the server goes on.
            return
        current = self._server.current
        if current is None or current.state is ServerState.DRAINING:
            return
        if not self._is_refused(start.address):
            return
        self.crashes += 1
        requests = {attempt.request for attempt in lost}
        name = make_server_start(start)
        _LOG.warning(
            "server crashed",
            extra={
                "instance": start.instance,
                "born": start.born,
                "in_flight": [attempt.call.request for attempt in lost],
            },
        )
        self._report(name, sorted(requests))
