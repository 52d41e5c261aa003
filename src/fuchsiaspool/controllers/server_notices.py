"""Track what the local backend server states about itself in its answers."""

import logging
from collections.abc import Callable
from typing import Final

from ..clock import Clock
from ..ids import InstanceId
from ..server_notices import AnswerNotice, ServerNotice
from .backend_server import (
    BackendServer,
    ServerReport,
    ServerState,
    is_same_start,
)

_LOG = logging.getLogger(__name__)
_MILLISECONDS_PER_SECOND: Final = 1000.0


class LocalServerNotices:
    """Keep the newest statement of the present start of the server.

    `apply_limit` gets each limit in requests a second, `None` when it is withdrawn.
    """

    def __init__(
        self,
        clock: Clock,
        server: BackendServer,
        apply_limit: Callable[[float | None], None],
    ) -> None:
        self.requests = 0
        self.limit: float | None = None
        self._clock = clock
        self._server = server
        self._apply_limit = apply_limit
        self._start: ServerReport | None = None
        self._has_answered = False
        self._logged_unreadable = False
        self._stated_at = clock.now()
        self._requests_before = 0
        server.add_listener(self._handle_server_change)

    @property
    def leaving(self) -> bool:
        """Return whether the server takes no new work."""
        return self._server.state is ServerState.DRAINING

    def find_notice(self) -> ServerNotice | None:
        """Return the notice for calling nodes, `None` if the server states nothing."""
        current = self._server.current
        if current is None or (self.limit is None and not self.leaving):
            return None
        return ServerNotice(current.instance, current.born, self.limit, self.leaving)

    def merge(self, notice: ServerNotice) -> None:
        """Adopt what a calling node has learned, where this node knows less.

        The limit counts only until the server's first answer to this node.
        """
        current = self._server.current
        if current is None or current.instance != notice.instance:
            return
        if current.born not in (0, notice.born):
            return
        if notice.limit is not None and self.limit is None and not self._has_answered:
            self._set_limit(notice.limit)
        if notice.leaving and not self.leaving:
            self._mark_leaving(notice.instance, notice.born)

    def count_request(self) -> None:
        """Count a request that is sent to the server."""
        self.requests += 1

    def observe(
        self, start: ServerReport, notice: AnswerNotice, sent_at: float
    ) -> None:
        """Record the statement of an answer to a request sent to a start at `sent_at`.

        An answer to a request that was sent before the present limit was stated does
        not withdraw it, nor does a limit that can't be read.
        """
        current = self._server.current
        if current is None or not is_same_start(start, current):
            return
        self._has_answered = True
        if notice.unreadable:
            self._log_unreadable(current, notice.unreadable)
        elif notice.limit is not None or sent_at >= self._stated_at:
            self._set_limit(notice.limit)
        if notice.leaving and not self.leaving:
            self._mark_leaving(current.instance, current.born)

    def _log_unreadable(self, start: ServerReport, value: str) -> None:
        # Once for each start, as the header may come with every answer.
        if self._logged_unreadable:
            return
        self._logged_unreadable = True
        extra = {"instance": start.instance, "value": value}
        _LOG.warning("unreadable limit", extra=extra)

    def _mark_leaving(self, instance: InstanceId, born: int) -> None:
        unix_ms = self._clock.wall() * _MILLISECONDS_PER_SECOND
        self._server.mark_leaving(instance, born, unix_ms)
        self._log(self.limit)

    def _handle_server_change(self) -> None:
        current, previous = self._server.current, self._start
        if current is None:
            return
        self._start = current
        if previous is None or not _continues(previous, current):
            self._has_answered = self._logged_unreadable = False
            self._set_limit(None)

    def _set_limit(self, limit: float | None) -> None:
        previous, self.limit = self.limit, limit
        if limit != previous:
            self._log(previous)
            self._apply_limit(limit)
        if limit != previous or limit is not None:
            self._stated_at = self._clock.now()

    def _log(self, previous_limit: float | None) -> None:
        _LOG.info(
            "server notice",
            extra={
                "instance": self._start.instance if self._start else "",
                "limit": self.limit,
                "limit_before": previous_limit,
                "leaving": self.leaving,
                "requests": self.requests - self._requests_before,
                "seconds": round(self._clock.now() - self._stated_at, 2),
            },
        )
        self._requests_before = self.requests


def _continues(previous: ServerReport, current: ServerReport) -> bool:
    # A start that a probe has found gets its start time from its first heartbeat.
    if previous.instance != current.instance:
        return False
    return previous.born in (0, current.born)
