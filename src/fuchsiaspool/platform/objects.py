"""Define the platform's object store API: objects, events and outcomes."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NewType

import msgspec

from ..ids import Era, Version
from ..results import Result

ObjectKey = NewType("ObjectKey", str)

# The platform rejects larger values.
MAX_VALUE_BYTES = 1_000_000


class StoredObject(msgspec.Struct, frozen=True):
    """Represent an object as the platform returned it."""

    key: ObjectKey
    version: Version
    value: bytes


class Position(msgspec.Struct, frozen=True):
    """Represent a point in the store's history; versions have an order in an era only.

    The era is zero if the store states none.
    """

    version: Version
    era: Era = Era(0)


class Listing(msgspec.Struct, frozen=True):
    """Represent the objects under a prefix as of one version of the store."""

    version: Version
    items: list[StoredObject]
    era: Era = Era(0)

    @property
    def position(self) -> Position:
        """Return where to watch from, to miss no change after this listing."""
        return Position(self.version, self.era)


class WatchEvent(msgspec.Struct, frozen=True):
    """Represent a change of an object; without a value it was deleted."""

    key: ObjectKey
    version: Version
    value: bytes | None = None


class WatchBatch(msgspec.Struct, frozen=True):
    """Represent changes under a prefix, and the version to watch from next."""

    version: Version
    items: list[WatchEvent]
    era: Era = Era(0)


class ReadFault(Enum):
    """Enumerate the reasons for a failed read."""

    NOT_FOUND = "not-found"
    UNAVAILABLE = "unavailable"
    VERSION_TOO_OLD = "version-too-old"


@dataclass(frozen=True, slots=True)
class Applied:
    """Represent a write that took effect, with the object's new version."""

    version: Version


@dataclass(frozen=True, slots=True)
class Conflict:
    """Represent a write that found another version than it expected."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Represent a write that the platform certainly did not apply."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """Represent a write that may have taken effect or may still do so."""

    detail: str = ""


WriteOutcome = Applied | Conflict | Unavailable | Ambiguous


@dataclass(frozen=True, slots=True)
class PlatformStore:
    """Define the API of the platform's object store as functions.

    A write with `None` as version creates the object. `list_stale` may return data
    that is some seconds old, at a fraction of the cost, and so may `probe`, which reads
    the store's position in its history, but no objects. `watch` waits for changes after
    a position; one of an earlier era is too old, whatever the store has there now.
    """

    get: Callable[[ObjectKey], Result[StoredObject, ReadFault]]
    put: Callable[[ObjectKey, bytes, Version | None], WriteOutcome]
    delete: Callable[[ObjectKey, Version], WriteOutcome]
    list_prefix: Callable[[str], Result[Listing, ReadFault]]
    list_stale: Callable[[str], Result[Listing, ReadFault]]
    watch: Callable[[str, Position, float], Result[WatchBatch, ReadFault]]
    probe: Callable[[ObjectKey], Result[Position, ReadFault]]
