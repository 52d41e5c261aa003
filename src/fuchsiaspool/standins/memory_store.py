"""Provide an in-memory object store that runs on any clock."""

from collections.abc import Callable

from ..clock import Clock
from ..ids import Version
from ..platform.objects import (
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
    WriteOutcome,
)
from ..results import Err, Ok, Result
from .platform import ObjectStore


def make_memory_store(
    clock: Clock, store: ObjectStore, delay: float, is_down: Callable[[], bool]
) -> PlatformStore:
    """Return an object store that answers after `delay` seconds unless it is down.

    Watches are not supported and always fail as unavailable.
    """

    def get(key: ObjectKey) -> Result[StoredObject, ReadFault]:
        clock.sleep(delay)
        if is_down():
            return Err(ReadFault.UNAVAILABLE)
        stored = store.objects.get(key)
        return Ok(stored) if stored else Err(ReadFault.NOT_FOUND)

    def put(key: ObjectKey, value: bytes, version: Version | None) -> WriteOutcome:
        clock.sleep(delay)
        if is_down():
            return Unavailable("down")
        stored = store.put(key, value, version)
        return Applied(stored.version) if stored else Conflict()

    def delete(key: ObjectKey, version: Version) -> WriteOutcome:
        clock.sleep(delay)
        if is_down():
            return Unavailable("down")
        deleted_version = store.delete(key, version)
        return Applied(deleted_version) if deleted_version else Conflict()

    def list_prefix(prefix: str) -> Result[Listing, ReadFault]:
        clock.sleep(delay)
        return (
            Err(ReadFault.UNAVAILABLE) if is_down() else Ok(store.list_prefix(prefix))
        )

    def watch(
        prefix: str, since: Position, seconds: float
    ) -> Result[WatchBatch, ReadFault]:
        return Err(ReadFault.UNAVAILABLE)

    def probe(key: ObjectKey) -> Result[Position, ReadFault]:
        clock.sleep(delay)
        if is_down():
            return Err(ReadFault.UNAVAILABLE)
        return Ok(Position(store.version))

    return PlatformStore(get, put, delete, list_prefix, list_prefix, watch, probe)
