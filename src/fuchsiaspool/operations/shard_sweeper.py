"""Delete shards of which no key can be used any more."""

from typing import Final

import msgspec

from ..clock import Clock
from ..ids import Version
from ..platform.objects import Applied, ObjectKey, PlatformStore, ReadFault
from ..results import Err, Ok
from .answers import make_answer_key
from .commits import decode_shard
from .keys import find_last_expired_window, list_shards

SWEEP_INTERVAL_SECONDS: Final = 60.0
SWEEP_MARK_KEY: Final = ObjectKey("operations-swept/mark")
# Bounds the requests of one sweep: two for each shard of a window.
WINDOWS_PER_SWEEP: Final = 60


class SweepMark(msgspec.Struct, frozen=True):
    """Say up to which window shards are deleted."""

    window: int


class ShardSweeper:
    """Go on from where the last sweeper came to, by a mark in the platform."""

    def __init__(self, clock: Clock, platform: PlatformStore) -> None:
        self._clock = clock
        self._platform = platform

    def sweep(self) -> int:
        """Delete what is disposable; return how many windows were swept."""
        last = find_last_expired_window(self._clock.wall())
        found = self._read_mark(last)
        if found is None:
            return 0
        mark, version = found
        end = min(last, mark.window + WINDOWS_PER_SWEEP)
        for window in range(mark.window + 1, end + 1):
            if not self._sweep_window(window):
                end = window - 1
                break
        swept = msgspec.json.encode(SweepMark(end))
        if end > mark.window or version is None:
            self._platform.put(SWEEP_MARK_KEY, swept, version)
        return max(0, end - mark.window)

    def _read_mark(self, last: int) -> tuple[SweepMark, Version | None] | None:
        match self._platform.get(SWEEP_MARK_KEY):
            case Ok(stored):
                mark = msgspec.json.decode(stored.value, type=SweepMark)
                return mark, stored.version
            case Err(ReadFault.NOT_FOUND):
                # No shard is older than the first sweep's last window.
                return SweepMark(last), None
        return None

    def _delete_answers(self, value: bytes) -> None:
        for key, record in decode_shard(value).operations.items():
            if record.answer is None or not record.answer.apart:
                continue
            match self._platform.get(make_answer_key(key)):
                case Ok(stored):
                    self._platform.delete(make_answer_key(key), stored.version)

    def _sweep_window(self, window: int) -> bool:
        for shard in list_shards(window):
            match self._platform.get(shard):
                case Ok(stored):
                    self._delete_answers(stored.value)
                    gone = self._platform.delete(shard, stored.version)
                    if not isinstance(gone, Applied):
                        return False
                case Err(ReadFault.NOT_FOUND):
                    continue
                case _:
                    return False
        return True
