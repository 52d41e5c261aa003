"""Serve the platform's object API from memory, with injected faults."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

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
# Page size of a list in the platform's documentation.
MAX_PAGE_OBJECTS: Final = 500
ERA_HEADER: Final = "Store-Era"

# A WSGI application; its callables are too dynamic to be typed more narrowly.
WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class PlatformFaults(msgspec.Struct):
    """Configure the faults to inject; times in seconds, counts in requests.

    Requests from the IP addresses in `cut_off` fail, as when their data centre is
    partitioned from the platform. The next `lose_writes` fail without effect; of the
    next `lose_write_answers` only the answers are lost. The next `late_writes` fail
    as well, but take effect after `late_seconds`. With `stale_lists`, lists stay as
    they were last returned.
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
    """Count requests by kind, and those rejected by the rate limits."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold the objects of a store and its revision at one moment."""

    objects: dict[ObjectKey, StoredObject]
    version: Version


class ObjectStore:
    """Store objects with conditional changes and a bounded history of events.

    `era` counts how often the store was restored from a copy, starting at 1.
    """

    def __init__(self) -> None:
        self.era = 1
        self.objects: dict[ObjectKey, StoredObject] = {}
        self.version = Version(0)
        self.oldest_watch_version = Version(0)
        self._events: deque[WatchEvent] = deque()
        self._changed = gevent.event.Event()

    def put(
        self, key: ObjectKey, value: bytes, version: Version | None
    ) -> StoredObject | None:
        """Create or update if the version matches; return `None` on a conflict."""
        current = self.objects.get(key)
        if (current.version if current else None) != version:
            return None
        stored = StoredObject(key, self._advance_version(), value)
        self.objects[key] = stored
        self._record_event(WatchEvent(key, stored.version, value))
        return stored

    def delete(self, key: ObjectKey, version: Version) -> Version | None:
        """Delete if the version matches; return `None` on a conflict."""
        current = self.objects.get(key)
        if current is None or current.version != version:
            return None
        del self.objects[key]
        deleted_version = self._advance_version()
        self._record_event(WatchEvent(key, deleted_version))
        return deleted_version

    def list_prefix(self, prefix: str) -> Listing:
        """Return the objects whose keys begin with a prefix."""
        items = [o for k, o in sorted(self.objects.items()) if k.startswith(prefix)]
        return Listing(self.version, items)

    def watch(self, prefix: str, since: Version, seconds: float) -> WatchBatch | None:
        """Wait for events after a version; return `None` if its history is gone.

        A version that was given out before a restore, and again after it, can't be
        told apart from the later one.
        """
        era = self.era
        with gevent.Timeout(seconds, False):
            while self._has_history(since, era):
                events = [
                    event
                    for event in self._events
                    if event.version > since and event.key.startswith(prefix)
                ]
                if events:
                    return WatchBatch(self.version, events)
                self._changed.wait()
        has_history = self._has_history(since, era)
        return WatchBatch(self.version, []) if has_history else None

    def discard_history(self) -> None:
        """Discard all events, so that no watch can resume."""
        self._events.clear()
        self.oldest_watch_version = Version(self.version + 1)
        self._notify_watches()

    def take_copy(self) -> StoreCopy:
        """Return a copy of the objects for a later restore."""
        return StoreCopy(dict(self.objects), self.version)

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy: later changes are lost and their versions given out again.

        Watches that are waiting end.
        """
        self.objects = dict(copy.objects)
        self.version = copy.version
        self.era += 1
        while self._events and self._events[-1].version > copy.version:
            self._events.pop()
        self.oldest_watch_version = min(self.oldest_watch_version, copy.version)
        self._notify_watches()

    def _has_history(self, since: Version, era: int) -> bool:
        return self.era == era and self.oldest_watch_version <= since <= self.version

    def _advance_version(self) -> Version:
        self.version = Version(self.version + 1)
        return self.version

    def _record_event(self, event: WatchEvent) -> None:
        self._events.append(event)
        while len(self._events) > MAX_HISTORY_EVENTS:
            self.oldest_watch_version = self._events.popleft().version
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed.clear()


class PlatformStandin:
    """Serve an object store over HTTP in the platform's published protocol.

    Requests above `writes_per_second` or `reads_per_second` are rejected with 429.
    All answers contain the era of the store.
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
        self._write_rate_limit = TokenBucket(
            clock, writes_per_second, writes_per_second
        )
        self._read_rate_limit = TokenBucket(clock, reads_per_second, reads_per_second)
        self._max_page_objects = max_page_objects
        self._last_listings: dict[str, Listing] = {}
        socket = listen(address)
        self.address = Address(*socket.getsockname()[:2])
        app = self._add_era_header(self._make_app())
        self._server = WSGIServer(socket, app, log=None, error_log=None)

    def start(self) -> None:
        """Start accepting requests."""
        self._server.start()

    def stop(self) -> None:
        """Stop without waiting for requests in progress."""
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

    def _add_era_header(self, app: WsgiApp) -> WsgiApp:
        # Outside the application, so that its error pages have the header as well.
        def serve(
            environ: dict[str, Any], start_response: Callable[..., Any]
        ) -> Iterable[bytes]:
            def start(
                status: str, headers: list[tuple[str, str]], exc_info: Any = None
            ) -> Any:
                era = (ERA_HEADER, str(self.store.era))
                return start_response(status, [*headers, era], exc_info)

            return app(environ, start)

        return serve

    def _set_faults(self) -> str:
        body = bottle.request.body.read()
        self.faults = msgspec.json.decode(body, type=PlatformFaults)
        return ""

    def _apply_faults_and_rate_limit(self, rate_limit: TokenBucket) -> None:
        if self.faults.delay:
            gevent.sleep(self.faults.delay)
        if self.faults.down or bottle.request.remote_addr in self.faults.cut_off:
            bottle.abort(503, "down")
        if not rate_limit.take(1.0):
            self.request_counts.refused += 1
            bottle.abort(429, "over the rate")

    def _get(self, kind: str, name: str) -> bytes:
        self.request_counts.reads += 1
        self._apply_faults_and_rate_limit(self._read_rate_limit)
        stored = self.store.objects.get(ObjectKey(f"{kind}/{name}"))
        if stored is None:
            raise bottle.HTTPError(404, "no such object")
        return msgspec.json.encode(_make_store_object(stored))

    def _list_or_watch(self, kind: str) -> bytes:
        query = bottle.request.query
        if query.watch:
            return self._watch(kind, Version(int(query.watch)), int(query.waitMs))
        self.request_counts.reads += 1
        self._apply_faults_and_rate_limit(self._read_rate_limit)
        listing = self.store.list_prefix(f"{kind}/")
        if self.faults.stale_lists:
            listing = self._last_listings.get(kind, listing)
        self._last_listings[kind] = listing
        after_key = f"{kind}/{query.after}" if query.after else ""
        items = [
            _make_store_object(item) for item in listing.items if item.key > after_key
        ]
        has_more = len(items) > self._max_page_objects
        page = ObjectList(items[: self._max_page_objects], listing.version, has_more)
        return msgspec.json.encode(page)

    def _watch(self, kind: str, since: Version, milliseconds: int) -> bytes:
        self.request_counts.watches += 1
        self._apply_faults_and_rate_limit(self._read_rate_limit)
        if self.faults.cut_watches:
            bottle.abort(500, "cut")
        batch = self.store.watch(f"{kind}/", since, milliseconds / 1000)
        if batch is None:
            raise bottle.HTTPError(410, "this history is gone")
        if self.faults.down:
            bottle.abort(503, "down")
        events = [
            ObjectEvent(
                _make_store_object(
                    StoredObject(event.key, event.version, event.value or b"")
                ),
                event.value is None,
            )
            for event in batch.items
        ]
        return msgspec.json.encode(ObjectEvents(events, batch.version))

    def _create(self, kind: str) -> bytes:
        new = self._read_body()
        key = ObjectKey(f"{kind}/{new.metadata.name}")
        return self._write(
            key, lambda: self.store.put(key, _decode_new_value(new), None)
        )

    def _replace(self, kind: str, name: str) -> bytes:
        new = self._read_body()
        key = ObjectKey(f"{kind}/{name}")
        version = Version(new.metadata.revision)
        return self._write(
            key, lambda: self.store.put(key, _decode_new_value(new), version)
        )

    def _delete(self, kind: str, name: str) -> bytes:
        key = ObjectKey(f"{kind}/{name}")
        version = Version(int(bottle.request.query.revision))

        def delete() -> StoredObject | None:
            deleted_version = self.store.delete(key, version)
            return (
                None
                if deleted_version is None
                else StoredObject(key, deleted_version, b"")
            )

        return self._write(key, delete)

    def _read_body(self) -> NewObject:
        body = bottle.request.body.read()
        if len(body) > MAX_VALUE_BYTES:
            bottle.abort(413, "value too large")
        return msgspec.json.decode(body, type=NewObject)

    def _write(self, key: ObjectKey, apply: Callable[[], StoredObject | None]) -> bytes:
        self.request_counts.writes += 1
        self._apply_faults_and_rate_limit(self._write_rate_limit)
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
            return msgspec.json.encode(_make_store_object(stored))
        current = self.store.objects.get(key)
        if current is None:
            raise bottle.HTTPError(404, "no such object")
        bottle.response.status = 409
        return msgspec.json.encode(_make_store_object(current))


def _decode_new_value(new: NewObject) -> bytes:
    return decode_value(new.specification)


def _make_store_object(stored: StoredObject) -> StoreObject:
    name = stored.key.partition("/")[2]
    return StoreObject(Metadata(name, stored.version), encode_value(stored.value))
