"""Change an object so that an answer that was lost never makes a second change."""

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

SETTLE_TRIES: Final = 4
CONFIRM_BACKOFF_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """Describe a conditional write and how to know it again.

    `is_ours` tells from an object's value whether the write took effect, also
    after others have changed the object since.
    """

    key: ObjectKey
    value: bytes
    version: Version | None
    is_applied: Callable[[bytes], bool]


def write_and_confirm(
    clock: Clock, platform: PlatformStore, change: ConditionalWrite
) -> WriteOutcome:
    """Write once and read back until it is certain what became of it.

    The same bytes may be sent again under the same version: the version is the
    fence, so at most one of the sendings takes effect.
    """
    outcome = platform.put(change.key, change.value, change.version)
    for attempt in range(SETTLE_TRIES):
        if not isinstance(outcome, Ambiguous):
            break
        found = platform.get(change.key)
        match found:
            case Ok(stored) if change.is_applied(stored.value):
                return Applied(stored.version)
            case Ok(stored) if stored.version != change.version:
                return Conflict()
            case Err(ReadFault.UNAVAILABLE):
                clock.sleep(CONFIRM_BACKOFF_SECONDS * 2**attempt)
                continue
        outcome = _send_again(platform, change)
    return outcome


def _send_again(platform: PlatformStore, change: ConditionalWrite) -> WriteOutcome:
    # The first sending may still arrive, so no answer here but a success is final.
    outcome = platform.put(change.key, change.value, change.version)
    match outcome:
        case Applied():
            return outcome
        case Conflict() | Unavailable() | Ambiguous():
            return Ambiguous("an earlier sending may have taken effect")
