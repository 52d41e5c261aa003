"""Serve the endpoints that the platform requires: readiness, heartbeats, metrics."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import bottle
import gevent
import gevent.socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from ..addresses import Address
from ..controllers.backend_server import ServerReport
from ..http.listeners import listen
from ..ids import InstanceId
from ..results import Err
from .heartbeats import parse_departure, parse_heartbeat
from .wire import INSTANCE_PATH, READINESS_PATH

_LOG = logging.getLogger(__name__)
MAX_HEARTBEAT_BYTES: Final = 16_384
# A backend server sends to another node if a heartbeat isn't answered in one second.
HEARTBEAT_READ_TIMEOUT_SECONDS: Final = 1.0
ABORT_ENVIRON_KEY: Final = "fuchsiaspool.abort"
METRICS_PATH: Final = "/metrics"
QUARANTINE_PATH: Final = "/quarantine"


@dataclass(frozen=True, slots=True)
class EndpointCallbacks:
    """Provide what the endpoints show, and the handlers of server reports."""

    is_ready: Callable[[], bool]
    handle_report: Callable[[ServerReport], object]
    handle_departure: Callable[[InstanceId, int], None]
    format_metrics: Callable[[], str]
    format_quarantine: Callable[[], str] = lambda: "[]"


def make_readiness_server(address: Address, callbacks: EndpointCallbacks) -> WSGIServer:
    """Return a server that reports whether the node is ready for callers."""
    app = bottle.Bottle()

    def get_readiness() -> str:
        if not callbacks.is_ready():
            bottle.response.status = 503
            return "not ready"
        return "ready"

    app.get(READINESS_PATH, callback=get_readiness)
    return _make_server(address, app)


def make_heartbeat_server(address: Address, callbacks: EndpointCallbacks) -> WSGIServer:
    """Return a server for heartbeats and departures of the node's backend server."""
    app = bottle.Bottle()

    def put_heartbeat(instance: str) -> dict[str, str]:
        report = parse_heartbeat(instance, _read_body())
        if isinstance(report, Err):
            # The sender uses another format; its report identifies no usable server.
            _LOG.warning(
                "heartbeat not read",
                extra={"instance": instance, "detail": report.error},
            )
            raise bottle.HTTPError(400, report.error)
        callbacks.handle_report(report.value)
        return {}

    def delete_instance(instance: str) -> dict[str, str]:
        born = parse_departure(_read_body())
        callbacks.handle_departure(InstanceId(instance), born)
        return {}

    app.put(INSTANCE_PATH, callback=put_heartbeat)
    app.delete(INSTANCE_PATH, callback=delete_instance)
    return _make_server(address, app)


def _read_body() -> bytes:
    # `request.body` would buffer a body of any size.
    environ = bottle.request.environ
    with gevent.Timeout(HEARTBEAT_READ_TIMEOUT_SECONDS, False):
        data: bytes = environ["wsgi.input"].read(MAX_HEARTBEAT_BYTES + 1)
        if len(data) <= MAX_HEARTBEAT_BYTES:
            return data
    _LOG.warning("heartbeat too long or too slow", extra={"limit": MAX_HEARTBEAT_BYTES})
    environ[ABORT_ENVIRON_KEY]()
    raise bottle.HTTPError(413, "heartbeat too long or too slow")


def make_metrics_server(address: Address, callbacks: EndpointCallbacks) -> WSGIServer:
    """Return a server that reports counters and latencies, and refused requests."""
    app = bottle.Bottle()

    def get_metrics() -> str:
        bottle.response.content_type = "text/plain; charset=utf-8"
        return callbacks.format_metrics()

    def get_quarantine() -> str:
        bottle.response.content_type = "application/json"
        return callbacks.format_quarantine()

    app.get(METRICS_PATH, callback=get_metrics)
    app.get(QUARANTINE_PATH, callback=get_quarantine)
    return _make_server(address, app)


class _AbortableHandler(WSGIHandler):  # type: ignore[misc]  # the library has no types
    """Add to the WSGI environment a function that aborts the connection.

    Without it the server would read the rest of an oversized request.
    """

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[ABORT_ENVIRON_KEY] = lambda: self.socket.shutdown(
            gevent.socket.SHUT_RDWR
        )
        return environ


def _make_server(address: Address, app: bottle.Bottle) -> WSGIServer:
    return WSGIServer(
        listen(address), app, log=None, error_log=None, handler_class=_AbortableHandler
    )
