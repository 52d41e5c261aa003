"""Delete the shards of windows whose keys have all expired."""

from typing import Final

import msgspec

from ..clock import Clock
from ..ids import Version
from ..platform.objects import Applied, ObjectKey, Platform, ReadFault
from ..results import Err, Ok
from .answers import place_answer
from .commits import decode_shard
from .keys import find_last_disposable, list_shard_keys

SWEEP_SECONDS: Final = 60.0
SWEPT_KEY: Final = ObjectKey("operations-swept/mark")
# Bounds the platform requests of one sweep: two for each shard of a window.
WINDOWS_PER_SWEEP: Final = 60


class SweepMark(msgspec.Struct, frozen=True):
    """Store the last window whose shards are deleted."""

    window: int


class Sweeper:
    """Delete expired shards, and continue after the last sweep by a stored mark."""

    def __init__(self, clock: Clock, platform: Platform) -> None:
        self._clock = clock
        self._platform = platform

    def sweep(self) -> int:
        """Delete expired shards; return how many windows were swept."""
        last = find_last_disposable(self._clock.wall())
        found = self._read_mark(last)
        if found is None:
            return 0
        mark, version = found
        end = min(last, mark.window + WINDOWS_PER_SWEEP)
        for window in range(mark.window + 1, end + 1):
            if not self._sweep_window(window):
                end = window - 1
                break
        new_mark = msgspec.json.encode(SweepMark(end))
        if end > mark.window or version is None:
            self._platform.put(SWEPT_KEY, new_mark, version)
        return max(0, end - mark.window)

    def _read_mark(self, last: int) -> tuple[SweepMark, Version | None] | None:
        match self._platform.get(SWEPT_KEY):
            case Ok(stored):
                mark = msgspec.json.decode(stored.value, type=SweepMark)
                return mark, stored.version
            case Err(ReadFault.NOT_FOUND):
                # Before the first sweep no shard is older than the last expired window.
                return SweepMark(last), None
        return None

    def _delete_answers(self, value: bytes) -> None:
        for key, record in decode_shard(value).operations.items():
            if record.answer is None or not record.answer.apart:
                continue
            match self._platform.get(place_answer(key)):
                case Ok(stored):
                    self._platform.delete(place_answer(key), stored.version)

    def _sweep_window(self, window: int) -> bool:
        for shard in list_shard_keys(window):
            match self._platform.get(shard):
                case Ok(stored):
                    self._delete_answers(stored.value)
                    deletion = self._platform.delete(shard, stored.version)
                    if not isinstance(deletion, Applied):
                        return False
                case Err(ReadFault.NOT_FOUND):
                    continue
                case _:
                    return False
        return True
