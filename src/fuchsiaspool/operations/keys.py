"""Map idempotency keys, which carry their time of issue, to shards."""

import uuid
from enum import Enum
from hashlib import blake2b
from typing import Final

from ..ids import OperationKey
from ..platform.objects import ObjectKey
from ..results import Err, Ok, Result

SHARD_WINDOW_SECONDS: Final = 2
KEY_LIFETIME_SECONDS: Final = 21_600
MAX_CLOCK_SKEW_SECONDS: Final = 300
SHARDS_PER_WINDOW: Final = 8
SHARD_PREFIX: Final = "operations/"
_TIMESTAMP_SHIFT_BITS: Final = 80
_MILLISECONDS_PER_SECOND: Final = 1000.0
_TIMESTAMPED_UUID_VERSION: Final = 7


class KeyFault(Enum):
    """Enumerate why an idempotency key can't be used."""

    MALFORMED = "expected a UUID of version 7"
    EXPIRED = "issued before the kept window"
    IN_FUTURE = "issued in the future"


def find_shard_key(key: OperationKey, wall: float) -> Result[ObjectKey, KeyFault]:
    """Return the only shard that may store a key's record, at Unix time `wall`."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return Err(KeyFault.MALFORMED)
    if parsed.version != _TIMESTAMPED_UUID_VERSION:
        return Err(KeyFault.MALFORMED)
    issued = (parsed.int >> _TIMESTAMP_SHIFT_BITS) / _MILLISECONDS_PER_SECOND
    if issued < wall - KEY_LIFETIME_SECONDS:
        return Err(KeyFault.EXPIRED)
    if issued > wall + MAX_CLOCK_SKEW_SECONDS:
        return Err(KeyFault.IN_FUTURE)
    window = int(issued // SHARD_WINDOW_SECONDS)
    digest = blake2b(parsed.bytes, digest_size=2).digest()
    number = int.from_bytes(digest, "big") % SHARDS_PER_WINDOW
    return Ok(ObjectKey(f"{SHARD_PREFIX}{window}/{number}"))


def find_last_expired_window(wall: float) -> int:
    """Return the number of the last window whose keys have all expired."""
    # The margin covers clock skew, so that no shard is deleted while it is in use.
    return (
        int(
            (wall - KEY_LIFETIME_SECONDS - MAX_CLOCK_SKEW_SECONDS)
            // SHARD_WINDOW_SECONDS
        )
        - 1
    )


def list_shard_keys(window: int) -> list[ObjectKey]:
    """Return the object keys of all shards of a window."""
    return [
        ObjectKey(f"{SHARD_PREFIX}{window}/{number}")
        for number in range(SHARDS_PER_WINDOW)
    ]


def get_shard_number(shard: ObjectKey) -> str:
    """Return a shard's number, which is the same in every window."""
    return shard.rpartition("/")[2]


def make_key(wall: float, random_bits: int) -> OperationKey:
    """Return a key issued at `wall`, in Unix seconds, with 74 random bits."""
    number = int(wall * _MILLISECONDS_PER_SECOND) << _TIMESTAMP_SHIFT_BITS
    number |= 0x7 << 76 | ((random_bits >> 62) & 0xFFF) << 64
    number |= 0b10 << 62 | (random_bits & ((1 << 62) - 1))
    return OperationKey(str(uuid.UUID(int=number)))
