"""Keep large answers of protected operations in objects of their own."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..clock import Clock
from ..ids import OperationKey
from ..platform.objects import Applied, Conflict, ObjectKey, PlatformStore
from ..platform.writes import ConditionalWrite, write_and_confirm
from ..results import Err, Ok, Result

ANSWER_PREFIX: Final = "answers/"
# Bytes of a body that a shard holds itself.
MAX_INLINE_BYTES: Final = 4_096
# The platform holds values up to a megabyte.
MAX_ANSWER_BYTES: Final = 900_000


@dataclass(frozen=True, slots=True)
class AnswerStore:
    """Offer to keep a body and to find it again."""

    keep: Callable[[OperationKey, bytes], bool]
    find: Callable[[OperationKey], Result[bytes, None]]


def make_answer_store(clock: Clock, platform: PlatformStore) -> AnswerStore:
    """Return a store of large bodies in the platform."""

    def keep(key: OperationKey, body: bytes) -> bool:
        change = ConditionalWrite(
            make_answer_key(key), body, None, lambda value: value == body
        )
        outcome = write_and_confirm(clock, platform, change)
        return isinstance(outcome, Applied | Conflict)

    def find(key: OperationKey) -> Result[bytes, None]:
        match platform.get(make_answer_key(key)):
            case Ok(stored):
                return Ok(stored.value)
        return Err(None)

    return AnswerStore(keep, find)


def make_answer_key(key: OperationKey) -> ObjectKey:
    """Return where the large answer of a key is kept."""
    return ObjectKey(f"{ANSWER_PREFIX}{key}")
