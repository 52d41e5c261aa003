"""Call the platform's object API over HTTP."""

import random
from typing import Final
from urllib.parse import quote

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from ..addresses import Address
from ..clock import Clock
from ..ids import Version
from ..results import Err, Ok, Result
from .objects import (
    Ambiguous,
    Applied,
    Conflict,
    Events,
    Listing,
    ObjectKey,
    Platform,
    ReadFault,
    StoredObject,
    Unavailable,
    WriteOutcome,
)

REQUEST_SECONDS: Final = 1.0
READ_TRIES: Final = 3
RETRY_SECONDS: Final = 0.1
CONNECTIONS: Final = 8
_WATCH_MARGIN_SECONDS: Final = 2.0

_Answer = urllib3.BaseHTTPResponse


class _Client:
    """Hold the connections to the platform."""

    def __init__(self, address: Address, clock: Clock, chance: random.Random) -> None:
        self._pool = urllib3.HTTPConnectionPool(
            address.host, address.port, maxsize=CONNECTIONS, retries=False
        )
        self._clock = clock
        self._chance = chance

    def get(self, key: ObjectKey) -> Result[StoredObject, ReadFault]:
        answer = self._read(f"/objects/{quote(key)}", REQUEST_SECONDS)
        if isinstance(answer, Err):
            return answer
        version = _read_version(answer.value)
        if version is None:
            return Err(ReadFault.UNAVAILABLE)
        return Ok(StoredObject(key, version, answer.value.data))

    def put(
        self, key: ObjectKey, value: bytes, version: Version | None
    ) -> WriteOutcome:
        condition = {"If-None-Match": "*"}
        if version is not None:
            condition = {"If-Match": f'"{version}"'}
        return self._write("PUT", key, value, condition)

    def delete(self, key: ObjectKey, version: Version) -> WriteOutcome:
        return self._write("DELETE", key, None, {"If-Match": f'"{version}"'})

    def list_prefix(self, prefix: str) -> Result[Listing, ReadFault]:
        answer = self._read(f"/objects?prefix={quote(prefix)}", REQUEST_SECONDS)
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(msgspec.json.decode(answer.value.data, type=Listing))
        except msgspec.DecodeError:
            return Err(ReadFault.UNAVAILABLE)

    def watch(
        self, prefix: str, version: Version, seconds: float
    ) -> Result[Events, ReadFault]:
        query = f"prefix={quote(prefix)}&from={version}&timeout_ms={seconds * 1000:.0f}"
        limit = seconds + _WATCH_MARGIN_SECONDS
        answer = self._read(f"/watch?{query}", limit, tries=1)
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(msgspec.json.decode(answer.value.data, type=Events))
        except msgspec.DecodeError:
            return Err(ReadFault.UNAVAILABLE)

    def _read(
        self, path: str, limit: float, tries: int = READ_TRIES
    ) -> Result[_Answer, ReadFault]:
        for attempt in range(tries):
            if attempt:
                pause = RETRY_SECONDS * 2**attempt
                self._clock.sleep(pause * self._chance.uniform(0.5, 1.5))
            try:
                answer = self._pool.request("GET", path, timeout=limit, retries=False)
            except HTTPError:
                continue
            if answer.status == 404:
                return Err(ReadFault.NOT_FOUND)
            if answer.status == 410:
                return Err(ReadFault.VERSION_TOO_OLD)
            if answer.status == 200:
                return Ok(answer)
        return Err(ReadFault.UNAVAILABLE)

    def _write(
        self, method: str, key: ObjectKey, value: bytes | None, headers: dict[str, str]
    ) -> WriteOutcome:
        # A write is sent once; whoever asked settles an ambiguous one by reading.
        try:
            answer = self._pool.request(
                method,
                f"/objects/{quote(key)}",
                body=value,
                headers=headers,
                timeout=REQUEST_SECONDS,
                retries=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Unavailable(str(error))
        except HTTPError as error:
            return Ambiguous(str(error))
        if answer.status in (404, 412):
            return Conflict()
        if answer.status in (429, 503):
            return Unavailable(f"status {answer.status}")
        version = _read_version(answer)
        if answer.status not in (200, 201, 204) or version is None:
            return Ambiguous(f"status {answer.status}")
        return Applied(version)


def _read_version(answer: _Answer) -> Version | None:
    text = answer.headers.get("ETag", "").strip('"')
    return Version(int(text)) if text.isdigit() else None


def make_platform(address: Address, clock: Clock, chance: random.Random) -> Platform:
    """Return the object API of the platform at an address."""
    client = _Client(address, clock, chance)
    return Platform(
        client.get, client.put, client.delete, client.list_prefix, client.watch
    )


def make_no_platform() -> Platform:
    """Return an object API that is never available."""
    return Platform(
        lambda key: Err(ReadFault.UNAVAILABLE),
        lambda key, value, version: Unavailable("no platform"),
        lambda key, version: Unavailable("no platform"),
        lambda prefix: Err(ReadFault.UNAVAILABLE),
        lambda prefix, version, seconds: Err(ReadFault.UNAVAILABLE),
    )
