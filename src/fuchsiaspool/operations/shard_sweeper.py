"""Delete the shards of windows whose keys have all expired."""

from typing import Final

import msgspec

from ..clock import Clock
from ..ids import Version
from ..platform.objects import Applied, ObjectKey, PlatformStore, ReadFault
from ..results import Err, Ok
from .answers import make_answer_key
from .commits import decode_shard
from .keys import find_last_expired_window, list_shard_keys

SWEEP_INTERVAL_SECONDS: Final = 60.0
SWEEP_MARK_KEY: Final = ObjectKey("operations-swept/mark")
# Bounds the platform requests of one sweep: two for each shard of a window.
WINDOWS_PER_SWEEP: Final = 60


class SweepMark(msgspec.Struct, frozen=True):
    """Record the last window whose shards have been deleted."""

    window: int


class ShardSweeper:
    """Delete expired shards, resuming from the mark that the last sweep stored."""

    def __init__(self, clock: Clock, store: PlatformStore) -> None:
        self._clock = clock
        self._store = store

    def sweep(self) -> int:
        """Delete expired shards; return how many windows were swept."""
        last_expired = find_last_expired_window(self._clock.wall())
        stored_mark = self._read_mark(last_expired)
        if stored_mark is None:
            return 0
        mark, version = stored_mark
        last_swept = min(last_expired, mark.window + WINDOWS_PER_SWEEP)
        for window in range(mark.window + 1, last_swept + 1):
            if not self._sweep_window(window):
                last_swept = window - 1
                break
        new_mark = msgspec.json.encode(SweepMark(last_swept))
        if last_swept > mark.window or version is None:
            self._store.put(SWEEP_MARK_KEY, new_mark, version)
        return max(0, last_swept - mark.window)

    def _read_mark(self, last_expired: int) -> tuple[SweepMark, Version | None] | None:
        match self._store.get(SWEEP_MARK_KEY):
            case Ok(stored):
                mark = msgspec.json.decode(stored.value, type=SweepMark)
                return mark, stored.version
            case Err(ReadFault.NOT_FOUND):
                # Before the first sweep no shard is older than the last expired window.
                return SweepMark(last_expired), None
        return None

    def _delete_answers(self, value: bytes) -> None:
        for key, record in decode_shard(value).operations.items():
            if record.answer is None or not record.answer.apart:
                continue
            match self._store.get(make_answer_key(key)):
                case Ok(stored):
                    self._store.delete(make_answer_key(key), stored.version)

    def _sweep_window(self, window: int) -> bool:
        for shard in list_shard_keys(window):
            match self._store.get(shard):
                case Ok(stored):
                    self._delete_answers(stored.value)
                    deletion = self._store.delete(shard, stored.version)
                    if not isinstance(deletion, Applied):
                        return False
                case Err(ReadFault.NOT_FOUND):
                    continue
                case _:
                    return False
        return True
