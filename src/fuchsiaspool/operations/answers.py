"""Store large answers of protected operations in objects of their own."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..clock import Clock
from ..ids import OperationKey
from ..platform.objects import Applied, Conflict, ObjectKey, PlatformStore
from ..platform.writes import ConditionalWrite, write_and_confirm
from ..results import Err, Ok, Result

ANSWER_PREFIX: Final = "answers/"
# Larger bodies are stored outside their shard.
MAX_INLINE_BYTES: Final = 4_096
# The platform stores values of at most one megabyte.
MAX_ANSWER_BYTES: Final = 900_000


@dataclass(frozen=True, slots=True)
class AnswerStore:
    """Provide functions that store a body and load it again."""

    store: Callable[[OperationKey, bytes], bool]
    load: Callable[[OperationKey], Result[bytes, None]]


def make_answer_store(clock: Clock, store: PlatformStore) -> AnswerStore:
    """Return a store for large bodies in the platform's object store."""

    def store_body(key: OperationKey, body: bytes) -> bool:
        write = ConditionalWrite(
            make_answer_key(key), body, None, lambda value: value == body
        )
        outcome = write_and_confirm(clock, store, write)
        return isinstance(outcome, Applied | Conflict)

    def load_body(key: OperationKey) -> Result[bytes, None]:
        match store.get(make_answer_key(key)):
            case Ok(stored):
                return Ok(stored.value)
        return Err(None)

    return AnswerStore(store_body, load_body)


def make_answer_key(key: OperationKey) -> ObjectKey:
    """Return the object key of the large answer to an idempotency key."""
    return ObjectKey(f"{ANSWER_PREFIX}{key}")
