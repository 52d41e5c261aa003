"""Stand in for the platform's object service, with faults to order."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import bottle
import gevent
import gevent.event
import msgspec
from gevent.pywsgi import WSGIServer

from ..addresses import Address
from ..clock import SystemClock
from ..controllers.token_bucket import TokenBucket
from ..http.listeners import listen
from ..ids import Version
from ..platform.objects import (
    MAX_VALUE_BYTES,
    Listing,
    ObjectKey,
    StoredObject,
    WatchBatch,
    WatchEvent,
)
from ..platform.wire import (
    Metadata,
    NewObject,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    StoreObject,
    decode_value,
    encode_value,
)

MAX_HISTORY_EVENTS: Final = 1000
# Objects in one page of a list, as the platform's pages say.
MAX_PAGE_OBJECTS: Final = 500


class PlatformFaults(msgspec.Struct):
    """Say what goes wrong from now on; times in seconds, counts in requests.

    Clients at `cut_off` IP numbers are refused, as by a cut of their data centre.
    `late_writes` are answered by nothing and take effect after `late_seconds`.
    """

    down: bool = False
    delay: float = 0.0
    lose_write_answers: int = 0
    lose_writes: int = 0
    late_writes: int = 0
    late_seconds: float = 1.0
    cut_watches: bool = False
    stale_lists: bool = False
    cut_off: list[str] = []


@dataclass(slots=True)
class RequestCounts:
    """Count requests, and those refused because they were over the rates."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    refused: int = 0


class ObjectStore:
    """Hold objects and their history, with conditional changes."""

    def __init__(self) -> None:
        self.objects: dict[ObjectKey, StoredObject] = {}
        self.version = Version(0)
        self.oldest_watch_version = Version(0)
        self._events: deque[WatchEvent] = deque()
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
        self._record(WatchEvent(key, stored.version, value))
        return stored

    def delete(self, key: ObjectKey, version: Version) -> Version | None:
        """Delete under the condition; `None` is a conflict."""
        current = self.objects.get(key)
        if current is None or current.version != version:
            return None
        del self.objects[key]
        gone = self._advance()
        self._record(WatchEvent(key, gone))
        return gone

    def list_prefix(self, prefix: str) -> Listing:
        """Return the objects under a prefix."""
        items = [o for k, o in sorted(self.objects.items()) if k.startswith(prefix)]
        return Listing(self.version, items)

    def watch(self, prefix: str, since: Version, seconds: float) -> WatchBatch | None:
        """Wait for changes after a version; `None` if it is too old."""
        with gevent.Timeout(seconds, False):
            while since >= self.oldest_watch_version:
                found = [
                    event
                    for event in self._events
                    if event.version > since and event.key.startswith(prefix)
                ]
                if found:
                    return WatchBatch(self.version, found)
                self._changed.wait()
        return (
            WatchBatch(self.version, []) if since >= self.oldest_watch_version else None
        )

    def discard_history(self) -> None:
        """Drop every event, so that no watch can resume."""
        self._events.clear()
        self.oldest_watch_version = Version(self.version + 1)
        self._changed.set()
        self._changed.clear()

    def _advance(self) -> Version:
        self.version = Version(self.version + 1)
        return self.version

    def _record(self, event: WatchEvent) -> None:
        self._events.append(event)
        while len(self._events) > MAX_HISTORY_EVENTS:
            self.oldest_watch_version = self._events.popleft().version
        self._changed.set()
        self._changed.clear()


class PlatformStandin:
    """Serve an object store over HTTP in the platform's published protocol.

    Calls beyond `writes_per_second` or `reads_per_second` are refused with 429.
    """

    def __init__(
        self,
        address: Address,
        writes_per_second: float = float("inf"),
        reads_per_second: float = float("inf"),
        max_page_objects: int = MAX_PAGE_OBJECTS,
    ) -> None:
        self.store = ObjectStore()
        self.faults = PlatformFaults()
        self.request_counts = RequestCounts()
        clock = SystemClock()
        self._writes = TokenBucket(clock, writes_per_second, writes_per_second)
        self._reads = TokenBucket(clock, reads_per_second, reads_per_second)
        self._page_items = max_page_objects
        self._stale: dict[str, Listing] = {}
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
        app.get("/-/objects/<kind>", callback=self._list_or_watch)
        app.post("/-/objects/<kind>", callback=self._create)
        app.get("/-/objects/<kind>/<name:path>", callback=self._get)
        app.put("/-/objects/<kind>/<name:path>", callback=self._replace)
        app.delete("/-/objects/<kind>/<name:path>", callback=self._delete)
        app.get("/meter", callback=lambda: msgspec.json.encode(self.request_counts))
        app.put("/faults", callback=self._set_faults)
        return app

    def _set_faults(self) -> str:
        body = bottle.request.body.read()
        self.faults = msgspec.json.decode(body, type=PlatformFaults)
        return ""

    def _suffer(self, rate: TokenBucket) -> None:
        if self.faults.delay:
            gevent.sleep(self.faults.delay)
        if self.faults.down or bottle.request.remote_addr in self.faults.cut_off:
            bottle.abort(503, "down")
        if not rate.take(1.0):
            self.request_counts.refused += 1
            bottle.abort(429, "over the rate")

    def _get(self, kind: str, name: str) -> bytes:
        self.request_counts.reads += 1
        self._suffer(self._reads)
        stored = self.store.objects.get(ObjectKey(f"{kind}/{name}"))
        if stored is None:
            raise bottle.HTTPError(404, "no such object")
        return msgspec.json.encode(_describe(stored))

    def _list_or_watch(self, kind: str) -> bytes:
        query = bottle.request.query
        if query.watch:
            return self._watch(kind, Version(int(query.watch)), int(query.waitMs))
        self.request_counts.reads += 1
        self._suffer(self._reads)
        listing = self.store.list_prefix(f"{kind}/")
        if self.faults.stale_lists:
            listing = self._stale.get(kind, listing)
        self._stale[kind] = listing
        start = f"{kind}/{query.after}" if query.after else ""
        items = [_describe(item) for item in listing.items if item.key > start]
        more = len(items) > self._page_items
        page = ObjectList(items[: self._page_items], listing.version, more)
        return msgspec.json.encode(page)

    def _watch(self, kind: str, since: Version, milliseconds: int) -> bytes:
        self.request_counts.watches += 1
        self._suffer(self._reads)
        if self.faults.cut_watches:
            bottle.abort(500, "cut")
        found = self.store.watch(f"{kind}/", since, milliseconds / 1000)
        if found is None:
            raise bottle.HTTPError(410, "this history is gone")
        if self.faults.down:
            bottle.abort(503, "down")
        events = [
            ObjectEvent(
                _describe(StoredObject(event.key, event.version, event.value or b"")),
                event.value is None,
            )
            for event in found.items
        ]
        return msgspec.json.encode(ObjectEvents(events, found.version))

    def _create(self, kind: str) -> bytes:
        new = self._read_body()
        key = ObjectKey(f"{kind}/{new.metadata.name}")
        return self._write(key, lambda: self.store.put(key, _read(new), None))

    def _replace(self, kind: str, name: str) -> bytes:
        new = self._read_body()
        key = ObjectKey(f"{kind}/{name}")
        version = Version(new.metadata.revision)
        return self._write(key, lambda: self.store.put(key, _read(new), version))

    def _delete(self, kind: str, name: str) -> bytes:
        key = ObjectKey(f"{kind}/{name}")
        version = Version(int(bottle.request.query.revision))

        def delete() -> StoredObject | None:
            gone = self.store.delete(key, version)
            return None if gone is None else StoredObject(key, gone, b"")

        return self._write(key, delete)

    def _read_body(self) -> NewObject:
        body = bottle.request.body.read()
        if len(body) > MAX_VALUE_BYTES:
            bottle.abort(413, "value too large")
        return msgspec.json.decode(body, type=NewObject)

    def _write(self, key: ObjectKey, apply: Callable[[], StoredObject | None]) -> bytes:
        self.request_counts.writes += 1
        self._suffer(self._writes)
        if self.faults.lose_writes:
            self.faults.lose_writes -= 1
            bottle.abort(500, "lost before it was applied")
        if self.faults.late_writes:
            self.faults.late_writes -= 1
            gevent.spawn_later(self.faults.late_seconds, apply)
            bottle.abort(500, "answer lost")
        stored = apply()
        if stored is not None and self.faults.lose_write_answers:
            self.faults.lose_write_answers -= 1
            bottle.abort(500, "answer lost")
        if stored is not None:
            return msgspec.json.encode(_describe(stored))
        current = self.store.objects.get(key)
        if current is None:
            raise bottle.HTTPError(404, "no such object")
        bottle.response.status = 409
        return msgspec.json.encode(_describe(current))


def _read(new: NewObject) -> bytes:
    return decode_value(new.specification)


def _describe(stored: StoredObject) -> StoreObject:
    name = stored.key.partition("/")[2]
    return StoreObject(Metadata(name, stored.version), encode_value(stored.value))
