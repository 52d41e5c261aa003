"""Define the platform's objects and what can become of a request for them."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NewType

import msgspec

from ..ids import Version
from ..results import Result

ObjectKey = NewType("ObjectKey", str)

# The platform refuses larger values, in bytes.
MAX_VALUE_BYTES = 1_000_000


class StoredObject(msgspec.Struct, frozen=True):
    """Hold one object as the platform returned it."""

    key: ObjectKey
    version: Version
    value: bytes


class Listing(msgspec.Struct, frozen=True):
    """Hold the objects under a prefix, as of one version of the store."""

    version: Version
    items: list[StoredObject]


class WatchEvent(msgspec.Struct, frozen=True):
    """Tell that an object changed; no value means that it was deleted."""

    key: ObjectKey
    version: Version
    value: bytes | None = None


class WatchBatch(msgspec.Struct, frozen=True):
    """Hold what changed under a prefix, and from where to watch on."""

    version: Version
    items: list[WatchEvent]


class ReadFault(Enum):
    """Say why a read brought nothing."""

    NOT_FOUND = "not-found"
    UNAVAILABLE = "unavailable"
    VERSION_TOO_OLD = "version-too-old"


@dataclass(frozen=True, slots=True)
class Applied:
    """Tell that a write took effect."""

    version: Version


@dataclass(frozen=True, slots=True)
class Conflict:
    """Tell that the object was not as the write expected."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Tell that the platform certainly did not take the write."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """Tell that a write may have taken effect, or may yet."""

    detail: str = ""


WriteOutcome = Applied | Conflict | Unavailable | Ambiguous


@dataclass(frozen=True, slots=True)
class PlatformStore:
    """Offer the object API as functions; `None` as version means create.

    `list_stale` may bring what is some seconds old, at a fraction of the cost.
    """

    get: Callable[[ObjectKey], Result[StoredObject, ReadFault]]
    put: Callable[[ObjectKey, bytes, Version | None], WriteOutcome]
    delete: Callable[[ObjectKey, Version], WriteOutcome]
    list_prefix: Callable[[str], Result[Listing, ReadFault]]
    list_stale: Callable[[str], Result[Listing, ReadFault]]
    watch: Callable[[str, Version, float], Result[WatchBatch, ReadFault]]
