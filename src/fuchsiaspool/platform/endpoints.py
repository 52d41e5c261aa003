"""Serve what the platform asks of a node: readiness, heartbeats, metrics."""

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
# Longest body of a heartbeat that is read, in bytes.
BEAT_BYTES: Final = 16_384
# The server turns to another node when a heartbeat is not answered in a second.
BEAT_SECONDS: Final = 1.0
ABORT_KEY: Final = "fuchsiaspool.abort"
METRICS_PATH: Final = "/metrics"


@dataclass(frozen=True, slots=True)
class EndpointCallbacks:
    """Offer what the pages show, and take what servers report."""

    is_ready: Callable[[], bool]
    handle_report: Callable[[ServerReport], object]
    handle_departure: Callable[[InstanceId, int], None]
    format_metrics: Callable[[], str]


def make_readiness_server(address: Address, callbacks: EndpointCallbacks) -> WSGIServer:
    """Return a server that tells if callers may be sent here."""
    app = bottle.Bottle()

    def show() -> str:
        if not callbacks.is_ready():
            bottle.response.status = 503
            return "not ready"
        return "ready"

    app.get(READINESS_PATH, callback=show)
    return _make_server(address, app)


def make_heartbeat_server(address: Address, callbacks: EndpointCallbacks) -> WSGIServer:
    """Return a server that takes the heartbeats of the node's backend server."""
    app = bottle.Bottle()

    def take_beat(instance: str) -> dict[str, str]:
        found = parse_heartbeat(instance, _read_body())
        if isinstance(found, Err):
            # Some writer of another kind: it names no server to use.
            _LOG.warning(
                "heartbeat not read",
                extra={"instance": instance, "detail": found.error},
            )
            raise bottle.HTTPError(400, found.error)
        callbacks.handle_report(found.value)
        return {}

    def take_departure(instance: str) -> dict[str, str]:
        born = parse_departure(_read_body())
        callbacks.handle_departure(InstanceId(instance), born)
        return {}

    app.put(INSTANCE_PATH, callback=take_beat)
    app.delete(INSTANCE_PATH, callback=take_departure)
    return _make_server(address, app)


def _read_body() -> bytes:
    # Not by `request.body`, which holds whatever comes.
    environ = bottle.request.environ
    with gevent.Timeout(BEAT_SECONDS, False):
        data: bytes = environ["wsgi.input"].read(BEAT_BYTES + 1)
        if len(data) <= BEAT_BYTES:
            return data
    _LOG.warning("heartbeat too long or too slow", extra={"limit": BEAT_BYTES})
    environ[ABORT_KEY]()
    raise bottle.HTTPError(413, "heartbeat too long or too slow")


def make_metrics_server(address: Address, callbacks: EndpointCallbacks) -> WSGIServer:
    """Return a server that shows counters and latencies as text."""
    app = bottle.Bottle()

    def show() -> str:
        bottle.response.content_type = "text/plain; charset=utf-8"
        return callbacks.format_metrics()

    app.get(METRICS_PATH, callback=show)
    return _make_server(address, app)


class _Handler(WSGIHandler):  # type: ignore[misc]  # the library has no types
    """Let a page cut its connection, whose rest would be read to the end otherwise."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[ABORT_KEY] = lambda: self.socket.shutdown(gevent.socket.SHUT_RDWR)
        return environ


def _make_server(address: Address, app: bottle.Bottle) -> WSGIServer:
    return WSGIServer(
        listen(address), app, log=None, error_log=None, handler_class=_Handler
    )
