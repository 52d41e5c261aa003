"""Stand in for the platform's object service, with faults to order."""

from collections import deque
from dataclasses import dataclass
from typing import Any, Final

import bottle
import gevent
import gevent.event
import msgspec
from gevent.pywsgi import WSGIServer

from ..addresses import Address
from ..http.listeners import listen
from ..ids import Version
from ..platform.objects import (
    VALUE_BYTES,
    Event,
    Events,
    Listing,
    ObjectKey,
    StoredObject,
)

EVENTS_KEPT: Final = 1000


class PlatformFaults(msgspec.Struct):
    """Say what goes wrong from now on; times in seconds, counts in requests.

    Clients at `cut_off` IP numbers are refused, as by a cut of their data centre.
    """

    down: bool = False
    delay: float = 0.0
    lose_write_answers: int = 0
    lose_writes: int = 0
    cut_watches: bool = False
    stale_lists: bool = False
    cut_off: list[str] = []


@dataclass(slots=True)
class Meter:
    """Count requests, and the most of them in one second."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class ObjectStore:
    """Hold objects and their history, with conditional changes."""

    def __init__(self) -> None:
        self.objects: dict[ObjectKey, StoredObject] = {}
        self.version = Version(0)
        self.oldest = Version(0)
        self._events: deque[Event] = deque()
        self._changed = gevent.event.Event()

    def put(
        self, key: ObjectKey, value: bytes, version: Version | None
    ) -> StoredObject | None:
        """Create or update under the condition; `None` is a conflict."""
        current = self.objects.get(key)
        if (current.version if current else None) != version:
            return None
        stored = StoredObject(key, self._advance(), value)
        self.objects[key] = stored
        self._record(Event(key, stored.version, value))
        return stored

    def delete(self, key: ObjectKey, version: Version) -> Version | None:
        """Delete under the condition; `None` is a conflict."""
        current = self.objects.get(key)
        if current is None or current.version != version:
            return None
        del self.objects[key]
        gone = self._advance()
        self._record(Event(key, gone))
        return gone

    def list_prefix(self, prefix: str) -> Listing:
        """Return the objects under a prefix."""
        items = [o for k, o in sorted(self.objects.items()) if k.startswith(prefix)]
        return Listing(self.version, items)

    def watch(self, prefix: str, since: Version, seconds: float) -> Events | None:
        """Wait for changes after a version; `None` if it is too old."""
        with gevent.Timeout(seconds, False):
            while since >= self.oldest:
                found = [
                    event
                    for event in self._events
                    if event.version > since and event.key.startswith(prefix)
                ]
                if found:
                    return Events(self.version, found)
                self._changed.wait()
        return Events(self.version, []) if since >= self.oldest else None

    def _advance(self) -> Version:
        self.version = Version(self.version + 1)
        return self.version

    def _record(self, event: Event) -> None:
        self._events.append(event)
        while len(self._events) > EVENTS_KEPT:
            self.oldest = self._events.popleft().version
        self._changed.set()
        self._changed.clear()


class PlatformStandin:
    """Serve an object store over HTTP."""

    def __init__(self, address: Address) -> None:
        self.store = ObjectStore()
        self.faults = PlatformFaults()
        self.meter = Meter()
        self._stale: Listing | None = None
        socket = listen(address)
        self.address = Address(*socket.getsockname()[:2])
        app = self._make_app()
        self._server = WSGIServer(socket, app, log=None, error_log=None)

    def start(self) -> None:
        """Accept requests."""
        self._server.start()

    def stop(self) -> None:
        """Stop at once."""
        self._server.stop(timeout=0)

    def _make_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.get("/objects/<key:path>", callback=self._get)
        app.put("/objects/<key:path>", callback=self._put)
        app.delete("/objects/<key:path>", callback=self._delete)
        app.get("/objects", callback=self._list)
        app.get("/watch", callback=self._watch)
        app.get("/meter", callback=lambda: msgspec.json.encode(self.meter))
        app.put("/faults", callback=self._set_faults)
        return app

    def _set_faults(self) -> str:
        body = bottle.request.body.read()
        self.faults = msgspec.json.decode(body, type=PlatformFaults)
        return ""

    def _suffer(self) -> None:
        if self.faults.delay:
            gevent.sleep(self.faults.delay)
        if self.faults.down or bottle.request.remote_addr in self.faults.cut_off:
            bottle.abort(503, "down")

    def _get(self, key: str) -> bytes:
        self.meter.reads += 1
        self._suffer()
        stored = self.store.objects.get(ObjectKey(key))
        if stored is None:
            raise bottle.HTTPError(404, "no such object")
        bottle.response.set_header("ETag", f'"{stored.version}"')
        return stored.value

    def _list(self) -> bytes:
        self.meter.reads += 1
        self._suffer()
        listing = self.store.list_prefix(bottle.request.query.prefix)
        if not self.faults.stale_lists:
            self._stale = listing
        return msgspec.json.encode(self._stale or listing)

    def _watch(self) -> bytes:
        self.meter.watches += 1
        self._suffer()
        if self.faults.cut_watches:
            bottle.abort(500, "cut")
        query = bottle.request.query
        seconds = int(query.timeout_ms) / 1000
        found = self.store.watch(query.prefix, Version(int(query["from"])), seconds)
        if found is None:
            bottle.abort(410, "version too old")
        if self.faults.down:
            bottle.abort(503, "down")
        return msgspec.json.encode(found)

    def _put(self, key: str) -> Any:
        body = bottle.request.body.read()
        if len(body) > VALUE_BYTES:
            bottle.abort(413, "value too large")
        creates = bottle.request.get_header("If-None-Match") == "*"
        version = None if creates else _read_match()
        self._begin_write()
        stored = self.store.put(ObjectKey(key), body, version)
        return self._end_write(stored.version if stored else None)

    def _delete(self, key: str) -> Any:
        self._begin_write()
        return self._end_write(self.store.delete(ObjectKey(key), _read_match()))

    def _begin_write(self) -> None:
        self.meter.writes += 1
        self._suffer()
        if self.faults.lose_writes:
            self.faults.lose_writes -= 1
            bottle.abort(500, "lost before it was applied")

    def _end_write(self, version: Version | None) -> str:
        if version is not None and self.faults.lose_write_answers:
            self.faults.lose_write_answers -= 1
            bottle.abort(500, "answer lost")
        if version is None:
            bottle.abort(412, "conflict")
        bottle.response.set_header("ETag", f'"{version}"')
        return ""


def _read_match() -> Version:
    text = bottle.request.get_header("If-Match", "").strip('"')
    if not text.isdigit():
        bottle.abort(428, "a condition is required")
    return Version(int(text))
