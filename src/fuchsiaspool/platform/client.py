"""Call the platform's object store over HTTP."""

import functools
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar
from urllib.parse import quote

import gevent
import msgspec
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from ..addresses import Address
from ..clock import Clock
from ..ids import Version
from ..results import Err, Ok, Result
from .objects import (
    Ambiguous,
    Applied,
    Conflict,
    Listing,
    ObjectKey,
    PlatformStore,
    ReadFault,
    StoredObject,
    Unavailable,
    WatchBatch,
    WatchEvent,
    WriteOutcome,
)
from .wire import (
    OBJECTS_PATH,
    STALE_TERM,
    NewMetadata,
    NewObject,
    StoreObject,
    decode_events,
    decode_list,
    decode_object,
    decode_value,
    encode,
    encode_value,
)

REQUEST_TIMEOUT_SECONDS: Final = 1.0
READ_TRIES: Final = 3
RETRY_SECONDS: Final = 0.1
CONNECTIONS: Final = 8
_WATCH_MARGIN_SECONDS: Final = 2.0
_MILLI: Final = 1000
# A connection can go silent without a reset; both options end one that did.
SILENT_MILLISECONDS: Final = 2000
KEEPALIVE_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2

# Above the time-out of each wait, so that the library's own word comes first.
_TOTAL_MARGIN_SECONDS: Final = 0.2
# Longest answer that is held: a page is 1 MB or one object, whichever is more.
MAX_ANSWER_BYTES: Final = 8_388_608

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Answer:
    """Hold the status and the whole body of an answer."""

    status: int
    data: bytes


SOCKET_OPTIONS: Final = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MILLISECONDS),
]


class _Client:
    """Hold the connections to the platform."""

    def __init__(
        self, address: Address, clock: Clock, chance: random.Random, tries: int
    ) -> None:
        self._pool = urllib3.HTTPConnectionPool(
            address.host,
            address.port,
            maxsize=CONNECTIONS,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )
        self._clock = clock
        self._chance = chance
        self._tries = tries

    def get(self, key: ObjectKey) -> Result[StoredObject, ReadFault]:
        found = self._read(_make_path(key), REQUEST_TIMEOUT_SECONDS, decode_object)
        if isinstance(found, Err):
            return found
        return Ok(_make_stored(key, found.value))

    def put(
        self, key: ObjectKey, value: bytes, version: Version | None
    ) -> WriteOutcome:
        kind, name = _split(key)
        if version is None:
            created = NewObject(NewMetadata(name), encode_value(value))
            return self._write("POST", f"{OBJECTS_PATH}/{kind}", encode(created))
        changed = NewObject(NewMetadata(name, version), encode_value(value))
        return self._write("PUT", _make_path(key), encode(changed))

    def delete(self, key: ObjectKey, version: Version) -> WriteOutcome:
        return self._write("DELETE", f"{_make_path(key)}?revision={version}", None)

    def list_prefix(
        self, prefix: str, stale: bool = False
    ) -> Result[Listing, ReadFault]:
        kind, start = _split(prefix)
        items: list[StoredObject] = []
        at: int | None = None
        after = ""
        while True:
            terms = [STALE_TERM] if stale else []
            if after:
                terms.append(f"after={quote(after, safe='')}")
            path = f"{OBJECTS_PATH}/{kind}" + ("?" + "&".join(terms) if terms else "")
            page = self._read(path, REQUEST_TIMEOUT_SECONDS, decode_list)
            if isinstance(page, Err):
                return page
            for found in page.value.items:
                after = found.metadata.name
                if after.startswith(start):
                    items.append(_make_stored(ObjectKey(f"{kind}/{after}"), found))
            # Later pages may be newer: watching on from the first misses nothing.
            at = page.value.at if at is None else at
            if not page.value.has_more or not page.value.items:
                return Ok(Listing(Version(at), items))

    def watch(
        self, prefix: str, version: Version, seconds: float
    ) -> Result[WatchBatch, ReadFault]:
        kind, start = _split(prefix)
        query = f"watch={version}&waitMs={int(seconds * _MILLI)}"
        limit = seconds + _WATCH_MARGIN_SECONDS
        path = f"{OBJECTS_PATH}/{kind}?{query}"
        found = self._read(path, limit, decode_events, tries=1)
        if isinstance(found, Err):
            return found
        events: list[WatchEvent] = []
        for event in found.value.events:
            metadata = event.object.metadata
            if not metadata.name.startswith(start):
                continue
            key = ObjectKey(f"{kind}/{metadata.name}")
            value = None if event.deleted else decode_value(event.object.specification)
            events.append(WatchEvent(key, Version(metadata.revision), value))
        return Ok(WatchBatch(Version(found.value.at), events))

    def _read(
        self,
        path: str,
        limit: float,
        decode: Callable[[bytes], T],
        tries: int | None = None,
    ) -> Result[T, ReadFault]:
        for attempt in range(tries or self._tries):
            if attempt:
                pause = RETRY_SECONDS * 2**attempt
                self._clock.sleep(pause * self._chance.uniform(0.5, 1.5))
            try:
                answer = self._exchange("GET", path, limit)
            except HTTPError:
                continue
            if answer.status == 404:
                return Err(ReadFault.NOT_FOUND)
            if answer.status == 410:
                return Err(ReadFault.VERSION_TOO_OLD)
            if answer.status != 200:
                continue
            try:
                return Ok(decode(answer.data))
            except msgspec.DecodeError:
                continue
        return Err(ReadFault.UNAVAILABLE)

    def _exchange(
        self, method: str, path: str, limit: float, body: bytes | None = None
    ) -> _Answer:
        """Send one call and hold its whole answer; raise `HTTPError`.

        The time-out of the library bounds each wait, so that bytes which trickle or
        flood without end would never end the call: it has a time and a size in all.
        """
        headers = None if body is None else {"Content-Type": "application/json"}
        with gevent.Timeout(limit + _TOTAL_MARGIN_SECONDS, TimeoutError("too slow")):
            answer = self._pool.request(
                method,
                path,
                body=body,
                headers=headers,
                timeout=limit,
                retries=False,
                preload_content=False,
            )
            data = answer.read(MAX_ANSWER_BYTES + 1, cache_content=False)
            if len(data) > MAX_ANSWER_BYTES:
                answer.close()
                raise HTTPError("answer over the limit")
            return _Answer(answer.status, data)

    def _write(self, method: str, path: str, body: bytes | None) -> WriteOutcome:
        # A write is sent once; whoever asked settles an ambiguous one by reading.
        try:
            answer = self._exchange(method, path, REQUEST_TIMEOUT_SECONDS, body)
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Unavailable(str(error))
        except HTTPError as error:
            return Ambiguous(str(error))
        if answer.status in (404, 409):
            return Conflict()
        if answer.status in (429, 503):
            return Unavailable(f"status {answer.status}")
        if answer.status not in (200, 201, 204):
            return Ambiguous(f"status {answer.status}")
        return Applied(_read_version(answer))


def _read_version(answer: _Answer) -> Version:
    try:
        return Version(decode_object(answer.data).metadata.revision)
    except msgspec.DecodeError:
        # A deletion need not return the object.
        return Version(0)


def _make_stored(key: ObjectKey, found: StoreObject) -> StoredObject:
    value = decode_value(found.specification)
    return StoredObject(key, Version(found.metadata.revision), value)


def _split(key: str) -> tuple[str, str]:
    kind, _, name = key.partition("/")
    return kind, name


def _make_path(key: ObjectKey) -> str:
    kind, name = _split(key)
    return f"{OBJECTS_PATH}/{kind}/{quote(name, safe='')}"


def make_platform_store(
    address: Address, clock: Clock, rng: random.Random, max_attempts: int = READ_TRIES
) -> PlatformStore:
    """Return the object API of the platform at an address.

    A read that fails is tried again until it was made `tries` times.
    """
    client = _Client(address, clock, rng, max_attempts)
    return PlatformStore(
        client.get,
        client.put,
        client.delete,
        client.list_prefix,
        functools.partial(client.list_prefix, stale=True),
        client.watch,
    )


def make_unavailable_store() -> PlatformStore:
    """Return an object API that is never available."""
    return PlatformStore(
        lambda key: Err(ReadFault.UNAVAILABLE),
        lambda key, value, version: Unavailable("no platform"),
        lambda key, version: Unavailable("no platform"),
        lambda prefix: Err(ReadFault.UNAVAILABLE),
        lambda prefix: Err(ReadFault.UNAVAILABLE),
        lambda prefix, version, seconds: Err(ReadFault.UNAVAILABLE),
    )
