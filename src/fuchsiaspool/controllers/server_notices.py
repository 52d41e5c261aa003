"""Track what the local backend server states about itself in its answers."""

import logging
from collections.abc import Callable

from ..clock import Clock
from ..ids import InstanceId
from ..server_notices import AnswerNotice
from .backend_server import BackendServer

_LOG = logging.getLogger(__name__)


class LocalServerNotices:
    """Keep the newest statement of the present start of the server."""

    def __init__(
        self,
        clock: Clock,
        server: BackendServer,
        apply_limit: Callable[[float | None], None],
    ) -> None:
        self.requests = 0
        self.limit: float | None = None
        self.leaving = False
        self._clock = clock
        self._server = server
        self._apply_limit = apply_limit
        self._instance = InstanceId("")
        self._stated_at = clock.now()
        self._requests_before = 0
        server.add_listener(self._handle_server_change)

    def count_request(self) -> None:
        """Count a request that is sent to the server."""
        self.requests += 1

    def observe(
        self, instance: InstanceId, notice: AnswerNotice, sent_at: float
    ) -> None:
        """Record the statement of an answer to a request sent at `sent_at`.

        An answer to a request that was sent before the present statement was made
        does not withdraw it.
        """
        current = self._server.current
        if current is None or current.instance != instance:
            return
        limit = notice.limit
        if limit is None and sent_at < self._stated_at:
            limit = self.limit
        leaving = self.leaving or notice.leaving
        if limit == self.limit and leaving == self.leaving:
            if notice.limit is not None:
                self._stated_at = self._clock.now()
            return
        self._log_change(limit, leaving)
        self.leaving = leaving
        self._stated_at = self._clock.now()
        self._set_limit(limit)

    def _handle_server_change(self) -> None:
        current = self._server.current
        if current is None or current.instance == self._instance:
            return
        self._instance = current.instance
        self.leaving = False
        self._set_limit(None)

    def _set_limit(self, limit: float | None) -> None:
        if limit != self.limit:
            self.limit = limit
            self._apply_limit(limit)

    def _log_change(self, limit: float | None, leaving: bool) -> None:
        seconds = self._clock.now() - self._stated_at
        _LOG.info(
            "server notice",
            extra={
                "instance": self._instance,
                "limit": limit,
                "limit_before": self.limit,
                "leaving": leaving,
                "requests": self.requests - self._requests_before,
                "seconds": round(seconds, 2),
            },
        )
        self._requests_before = self.requests
