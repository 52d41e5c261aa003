"""Write objects so that a lost answer never leads to a second change."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..clock import Clock
from ..ids import Version
from ..results import Err, Ok
from .objects import (
    Ambiguous,
    Applied,
    Conflict,
    ObjectKey,
    PlatformStore,
    ReadFault,
    Unavailable,
    WriteOutcome,
)

MAX_CONFIRM_ATTEMPTS: Final = 4
CONFIRM_BACKOFF_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """Represent a conditional write and how to recognise that it was applied.

    `is_applied` returns whether an object's value contains this write, also after
    later writes by others.
    """

    key: ObjectKey
    value: bytes
    version: Version | None
    is_applied: Callable[[bytes], bool]


def write_and_confirm(
    clock: Clock, store: PlatformStore, write: ConditionalWrite
) -> WriteOutcome:
    """Write an object, and resolve an ambiguous outcome by reading it back.

    The write may be resent with the same expected version. That version fences it:
    at most one of the requests takes effect.
    """
    outcome = store.put(write.key, write.value, write.version)
    for attempt in range(MAX_CONFIRM_ATTEMPTS):
        if not isinstance(outcome, Ambiguous):
            break
        current = store.get(write.key)
        match current:
            case Ok(stored) if write.is_applied(stored.value):
                return Applied(stored.version)
            case Ok(stored) if stored.version != write.version:
                return Conflict()
            case Err(ReadFault.UNAVAILABLE):
                clock.sleep(CONFIRM_BACKOFF_SECONDS * 2**attempt)
                continue
        outcome = _resend_write(store, write)
    return outcome


def _resend_write(store: PlatformStore, write: ConditionalWrite) -> WriteOutcome:
    # The earlier request may still arrive, so only a success is a final answer.
    outcome = store.put(write.key, write.value, write.version)
    match outcome:
        case Applied():
            return outcome
        case Conflict() | Unavailable() | Ambiguous():
            return Ambiguous("an earlier sending may have taken effect")
