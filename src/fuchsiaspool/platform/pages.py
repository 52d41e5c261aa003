"""Serve what the platform asks of a node: readiness, heartbeats, metrics."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import bottle
from gevent.pywsgi import WSGIServer

from ..addresses import Address
from ..controllers.backend import ServerReport
from ..http.listeners import listen
from ..ids import InstanceId
from ..results import Err
from .heartbeats import read_beat, read_departure
from .wire import INSTANCE_PATH, READINESS_PATH

_LOG = logging.getLogger(__name__)
# Longest body of a heartbeat that is read, in bytes.
BEAT_BYTES: Final = 16_384
METRICS_PATH: Final = "/metrics"


@dataclass(frozen=True, slots=True)
class PageSource:
    """Offer what the pages show, and take what servers report."""

    is_ready: Callable[[], bool]
    take_report: Callable[[ServerReport], object]
    take_departure: Callable[[InstanceId, int], None]
    format_metrics: Callable[[], str]


def make_readiness_page(address: Address, source: PageSource) -> WSGIServer:
    """Return a server that tells if callers may be sent here."""
    app = bottle.Bottle()

    def show() -> str:
        if not source.is_ready():
            bottle.response.status = 503
            return "not ready"
        return "ready"

    app.get(READINESS_PATH, callback=show)
    return _make_server(address, app)


def make_report_page(address: Address, source: PageSource) -> WSGIServer:
    """Return a server that takes the heartbeats of the node's backend server."""
    app = bottle.Bottle()

    def take_beat(instance: str) -> dict[str, str]:
        found = read_beat(instance, bottle.request.body.read(BEAT_BYTES))
        if isinstance(found, Err):
            # Some writer of another kind: it names no server to use.
            _LOG.warning(
                "heartbeat not read",
                extra={"instance": instance, "detail": found.error},
            )
            raise bottle.HTTPError(400, found.error)
        source.take_report(found.value)
        return {}

    def take_departure(instance: str) -> dict[str, str]:
        born = read_departure(bottle.request.body.read(BEAT_BYTES))
        source.take_departure(InstanceId(instance), born)
        return {}

    app.put(INSTANCE_PATH, callback=take_beat)
    app.delete(INSTANCE_PATH, callback=take_departure)
    return _make_server(address, app)


def make_metrics_page(address: Address, source: PageSource) -> WSGIServer:
    """Return a server that shows counters and latencies as text."""
    app = bottle.Bottle()

    def show() -> str:
        bottle.response.content_type = "text/plain; charset=utf-8"
        return source.format_metrics()

    app.get(METRICS_PATH, callback=show)
    return _make_server(address, app)


def _make_server(address: Address, app: bottle.Bottle) -> WSGIServer:
    return WSGIServer(listen(address), app, log=None, error_log=None)
