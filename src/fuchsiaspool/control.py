"""Serve the control endpoints for operators: status, histograms, settings, drain."""

from collections.abc import Callable
from typing import Any

import bottle
import msgspec
from gevent.pywsgi import WSGIServer

from .addresses import Address
from .http.listeners import listen
from .ids import Revision, SubtreePath
from .member_records import Member


class ClassStatus(msgspec.Struct):
    """Count the calls of one class by outcome and reason, and their retries."""

    answered: int
    failed: int
    not_run: dict[str, int]
    unknown: dict[str, int]
    retries: int


class NodeStatus(msgspec.Struct):
    """Describe the state of a node.

    settings_age: seconds since the settings in force were adopted
    in_flight, queued, limit: calls running, calls waiting, concurrency limit
    threshold: rank above which calls are rejected
    """

    node: str
    service: str
    data_centre: str
    region: str
    state: str
    revision: Revision
    settings_age: float
    settings_fault: str
    platform_reachable: bool
    in_flight: int
    queued: int
    limit: float
    threshold: float
    unsettled_operations: int
    members: dict[str, int]
    classes: dict[str, ClassStatus]
    peer_bytes_sent: int
    peer_bytes_received: int


class QuarantineStatus(msgspec.Struct):
    """Describe a request that is refused, as servers crashed while they ran it.

    crashes: seconds since each start of a server crashed, by instance and start time
    """

    fingerprint: str
    crashes: dict[str, float]


class HistogramExport(msgspec.Struct):
    """Represent one histogram in the mergeable encoding of its library."""

    measure: str
    kind: str
    name: str
    encoded: str


class SettingsExport(msgspec.Struct):
    """Represent the settings in force."""

    revision: Revision
    texts: dict[SubtreePath, str]


class ControlCallbacks(msgspec.Struct, frozen=True):
    """Collect the functions behind the control endpoints."""

    get_status: Callable[[], NodeStatus]
    get_histograms: Callable[[], list[HistogramExport]]
    get_settings: Callable[[], SettingsExport]
    get_members: Callable[[], list[Member]]
    drain: Callable[[], None]


class ControlServer:
    """Serve the control endpoints on a separate address."""

    def __init__(self, address: Address, callbacks: ControlCallbacks) -> None:
        self._callbacks = callbacks
        socket = listen(address)
        self.address = Address(*socket.getsockname()[:2])
        self._server = WSGIServer(socket, self._make_app(), log=None, error_log=None)

    def start(self) -> None:
        """Start accepting requests."""
        self._server.start()

    def stop(self) -> None:
        """Stop; requests in progress get 0.5 s to finish."""
        self._server.stop(timeout=0.5)

    def _make_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        callbacks = self._callbacks
        app.get("/status", callback=lambda: _encode_json(callbacks.get_status()))
        app.get(
            "/histograms", callback=lambda: _encode_json(callbacks.get_histograms())
        )
        app.get("/settings", callback=lambda: _encode_json(callbacks.get_settings()))
        app.get(
            "/members", callback=lambda: _encode_json(list(callbacks.get_members()))
        )
        app.post("/drain", callback=self._drain)
        return app

    def _drain(self) -> bytes:
        self._callbacks.drain()
        return _encode_json(self._callbacks.get_status())


def _encode_json(value: Any) -> bytes:
    bottle.response.content_type = "application/json"
    return msgspec.json.encode(value)
