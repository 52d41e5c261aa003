"""Call the platform's object store over HTTP."""

import functools
import logging
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Generic, TypeVar
from urllib.parse import quote

import gevent
import msgspec
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from ..addresses import Address
from ..clock import Clock
from ..decoding import DecodingError
from ..ids import Era, Version
from ..results import Err, Ok, Result
from .objects import (
    Ambiguous,
    Applied,
    Conflict,
    Listing,
    ObjectKey,
    PlatformStore,
    Position,
    ReadFault,
    StoredObject,
    Unavailable,
    WatchBatch,
    WatchEvent,
    WriteOutcome,
)
from .wire import (
    ALLOW_STALE_PARAMETER,
    OBJECTS_PATH,
    STORE_ERA_HEADER,
    NewMetadata,
    NewObject,
    RawObjectList,
    StoreObject,
    decode_event,
    decode_events,
    decode_list,
    decode_object,
    decode_value,
    encode,
    encode_value,
)

_LOG = logging.getLogger(__name__)
REQUEST_TIMEOUT_SECONDS: Final = 1.0
MAX_READ_ATTEMPTS: Final = 3
RETRY_BACKOFF_SECONDS: Final = 0.1
MAX_CONNECTIONS: Final = 8
_WATCH_TIMEOUT_MARGIN_SECONDS: Final = 2.0
_MILLISECONDS_PER_SECOND: Final = 1000
# A peer can become unresponsive without a reset. Unacknowledged bytes and unanswered
# keep-alive probes both close the connection.
UNACKNOWLEDGED_TIMEOUT_MILLISECONDS: Final = 2000
KEEPALIVE_INTERVAL_SECONDS: Final = 1
MAX_KEEPALIVE_PROBES: Final = 2

# Added to the timeout of each wait, so that the library's own timeout fires first.
_TOTAL_TIMEOUT_MARGIN_SECONDS: Final = 0.2
# Answers are buffered whole: a page has 1 MB or one object, whichever is larger.
MAX_ANSWER_BYTES: Final = 8_388_608
# Longer eras do not fit the messages between nodes.
MAX_ERA_DIGITS: Final = 18

ObserveEra = Callable[[Era], None]


DecodedT = TypeVar("DecodedT")


@dataclass(frozen=True, slots=True)
class _StoreAnswer:
    """Represent an answer of the store: its status, whole body and era."""

    status: int
    data: bytes
    era: Era


@dataclass(frozen=True, slots=True)
class _Decoded(Generic[DecodedT]):
    """Represent what was read, and the era of the store that answered."""

    value: DecodedT
    era: Era


SOCKET_OPTIONS: Final = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLISECONDS),
]


class _StoreClient:
    """Implement the object store API over pooled connections."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        rng: random.Random,
        max_attempts: int,
        observe_era: ObserveEra,
    ) -> None:
        self._pool = urllib3.HTTPConnectionPool(
            address.host,
            address.port,
            maxsize=MAX_CONNECTIONS,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )
        self._clock = clock
        self._rng = rng
        self._max_attempts = max_attempts
        self._observe_era = observe_era

    def get(self, key: ObjectKey) -> Result[StoredObject, ReadFault]:
        def decode(data: bytes) -> StoredObject:
            return _to_stored_object(key, decode_object(data))

        path = _make_object_path(key)
        result = self._read(path, REQUEST_TIMEOUT_SECONDS, decode)
        if isinstance(result, Err):
            return result
        return Ok(result.value.value)

    def put(
        self, key: ObjectKey, value: bytes, version: Version | None
    ) -> WriteOutcome:
        kind, name = _split_key(key)
        if version is None:
            created = NewObject(NewMetadata(name), encode_value(value))
            return self._write("POST", f"{OBJECTS_PATH}/{kind}", encode(created))
        changed = NewObject(NewMetadata(name, version), encode_value(value))
        return self._write("PUT", _make_object_path(key), encode(changed))

    def delete(self, key: ObjectKey, version: Version) -> WriteOutcome:
        return self._write(
            "DELETE", f"{_make_object_path(key)}?revision={version}", None
        )

    def list_prefix(
        self, prefix: str, stale: bool = False
    ) -> Result[Listing, ReadFault]:
        kind, _ = _split_key(prefix)
        items: list[StoredObject] = []
        first: _Decoded[RawObjectList] | None = None
        after = ""
        while True:
            parameters = [ALLOW_STALE_PARAMETER] if stale else []
            if after:
                parameters.append(f"after={quote(after, safe='')}")
            path = f"{OBJECTS_PATH}/{kind}" + (
                "?" + "&".join(parameters) if parameters else ""
            )
            page = self._read(path, REQUEST_TIMEOUT_SECONDS, decode_list)
            if isinstance(page, Err):
                return page
            read = page.value
            # Later pages may be newer. A watch from the first page's revision misses
            # no change.
            first = first or read
            if read.era != first.era:
                return Err(ReadFault.UNAVAILABLE)
            objects = _read_objects(kind, read.value.items)
            items += [found for found in objects if found.key.startswith(prefix)]
            if not read.value.has_more or not objects:
                return Ok(Listing(Version(first.value.at), items, first.era))
            _, after = _split_key(objects[-1].key)

    def probe(self, key: ObjectKey) -> Result[Position, ReadFault]:
        """Read the position alone: a page after the object, with few or no objects."""
        kind, name = _split_key(key)
        after = quote(name, safe="")
        path = f"{OBJECTS_PATH}/{kind}?{ALLOW_STALE_PARAMETER}&after={after}"
        page = self._read(path, REQUEST_TIMEOUT_SECONDS, decode_list)
        if isinstance(page, Err):
            return page
        return Ok(Position(Version(page.value.value.at), page.value.era))

    def watch(
        self, prefix: str, since: Position, seconds: float
    ) -> Result[WatchBatch, ReadFault]:
        kind, _ = _split_key(prefix)
        query = (
            f"watch={since.version}&waitMs={int(seconds * _MILLISECONDS_PER_SECOND)}"
        )
        timeout = seconds + _WATCH_TIMEOUT_MARGIN_SECONDS
        path = f"{OBJECTS_PATH}/{kind}?{query}"
        result = self._read(path, timeout, decode_events, max_attempts=1)
        if isinstance(result, Err):
            return result
        answer = result.value
        if answer.era != since.era:
            # The version was given out again: what was changed before it is missing.
            return Err(ReadFault.VERSION_TOO_OLD)
        events: list[WatchEvent] = []
        for raw in answer.value.events:
            try:
                event = _read_event(kind, raw)
            except DecodingError as error:
                _log_unreadable(kind, error)
                continue
            if event.key.startswith(prefix):
                events.append(event)
        return Ok(WatchBatch(Version(answer.value.at), events, answer.era))

    def _read(
        self,
        path: str,
        timeout: float,
        decode: Callable[[bytes], DecodedT],
        max_attempts: int | None = None,
    ) -> Result[_Decoded[DecodedT], ReadFault]:
        for attempt in range(max_attempts or self._max_attempts):
            if attempt:
                backoff = RETRY_BACKOFF_SECONDS * 2**attempt
                self._clock.sleep(backoff * self._rng.uniform(0.5, 1.5))
            try:
                answer = self._exchange("GET", path, timeout)
            except HTTPError:
                continue
            if answer.status == 404:
                return Err(ReadFault.NOT_FOUND)
            if answer.status == 410:
                return Err(ReadFault.VERSION_TOO_OLD)
            if answer.status != 200:
                continue
            try:
                return Ok(_Decoded(decode(answer.data), answer.era))
            except DecodingError as error:
                extra = {"path": path, "detail": str(error)}
                _LOG.warning("store answer not read", extra=extra)
                continue
        return Err(ReadFault.UNAVAILABLE)

    def _exchange(
        self, method: str, path: str, timeout: float, body: bytes | None = None
    ) -> _StoreAnswer:
        """Send one request and return the whole answer; raise `HTTPError`.

        The library's timeout bounds single waits only, so an answer that trickles or
        never ends needs a limit of total time and size as well.
        """
        headers = None if body is None else {"Content-Type": "application/json"}
        with gevent.Timeout(
            timeout + _TOTAL_TIMEOUT_MARGIN_SECONDS, TimeoutError("too slow")
        ):
            answer = self._pool.request(
                method,
                path,
                body=body,
                headers=headers,
                timeout=timeout,
                retries=False,
                preload_content=False,
            )
            data = answer.read(MAX_ANSWER_BYTES + 1, cache_content=False)
            if len(data) > MAX_ANSWER_BYTES:
                answer.close()
                raise HTTPError("answer over the limit")
        era = _parse_era(answer.headers.get(STORE_ERA_HEADER))
        self._observe_era(era)
        return _StoreAnswer(answer.status, data, era)

    def _write(self, method: str, path: str, body: bytes | None) -> WriteOutcome:
        # A write is never retried here. The caller resolves an ambiguous outcome by
        # reading the object back.
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
        try:
            return Applied(Version(decode_object(answer.data).metadata.revision))
        except DecodingError as error:
            # The answer to a deletion may lack the object. Any other was cut short.
            return Applied(Version(0)) if body is None else Ambiguous(str(error))


def _parse_era(text: str | None) -> Era:
    # Zero stands for a store that states no era.
    if text is None or not text.isascii() or not text.isdecimal():
        return Era(0)
    return Era(int(text)) if len(text) <= MAX_ERA_DIGITS else Era(0)


def _read_objects(kind: str, raw_objects: list[msgspec.Raw]) -> list[StoredObject]:
    """Decode objects; one of another writer that can't be read is left out."""
    objects: list[StoredObject] = []
    for raw in raw_objects:
        try:
            store_object = decode_object(bytes(raw))
            key = ObjectKey(f"{kind}/{store_object.metadata.name}")
            objects.append(_to_stored_object(key, store_object))
        except DecodingError as error:
            _log_unreadable(kind, error)
    return objects


def _read_event(kind: str, raw: msgspec.Raw) -> WatchEvent:
    event = decode_event(bytes(raw))
    metadata = event.object.metadata
    value = None if event.deleted else decode_value(event.object.specification)
    key = ObjectKey(f"{kind}/{metadata.name}")
    return WatchEvent(key, Version(metadata.revision), value)


def _log_unreadable(kind: str, error: DecodingError) -> None:
    _LOG.warning("store object not read", extra={"kind": kind, "detail": str(error)})


def _to_stored_object(key: ObjectKey, store_object: StoreObject) -> StoredObject:
    value = decode_value(store_object.specification)
    return StoredObject(key, Version(store_object.metadata.revision), value)


def _split_key(key: str) -> tuple[str, str]:
    kind, _, name = key.partition("/")
    return kind, name


def _make_object_path(key: ObjectKey) -> str:
    kind, name = _split_key(key)
    return f"{OBJECTS_PATH}/{kind}/{quote(name, safe='')}"


def make_platform_store(
    address: Address,
    clock: Clock,
    rng: random.Random,
    max_attempts: int = MAX_READ_ATTEMPTS,
    observe_era: ObserveEra = lambda era: None,
) -> PlatformStore:
    """Return a client of the platform's object store at an address.

    A read that fails is retried until `max_attempts` attempts were made. `observe_era`
    gets the era that each answer states.
    """
    client = _StoreClient(address, clock, rng, max_attempts, observe_era)
    return PlatformStore(
        client.get,
        client.put,
        client.delete,
        client.list_prefix,
        functools.partial(client.list_prefix, stale=True),
        client.watch,
        client.probe,
    )


def make_unavailable_store() -> PlatformStore:
    """Return a store that is never available, for a node without a platform."""
    return PlatformStore(
        lambda key: Err(ReadFault.UNAVAILABLE),
        lambda key, value, version: Unavailable("no platform"),
        lambda key, version: Unavailable("no platform"),
        lambda prefix: Err(ReadFault.UNAVAILABLE),
        lambda prefix: Err(ReadFault.UNAVAILABLE),
        lambda prefix, version, seconds: Err(ReadFault.UNAVAILABLE),
        lambda key: Err(ReadFault.UNAVAILABLE),
    )
