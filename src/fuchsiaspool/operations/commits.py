"""Commit changes to shard objects in groups, fenced by the object's version."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import msgspec

from ..clock import Clock, Waiter
from ..controllers.token_bucket import TokenBucket
from ..ids import NodeId, Nonce, Version
from ..operation_records import (
    ClaimKey,
    CommitResult,
    NotCommitted,
    OperationChange,
    Shard,
    apply_change,
)
from ..platform.objects import (
    Ambiguous,
    Applied,
    Conflict,
    ObjectKey,
    PlatformStore,
    ReadFault,
    Unavailable,
)
from ..platform.writes import ConditionalWrite as Write, write_and_confirm
from ..results import Err, Ok

GROUP_SECONDS: Final = 0.02
# What one owner may write a second: all owners together stay within the
# platform's rate, and under load the groups grow instead.
WRITES_PER_SECOND: Final = 30.0
CONFLICT_TRIES: Final = 12
CACHED_SHARDS: Final = 64

_decoder: Final = msgspec.msgpack.Decoder(Shard)
encode_shard: Final = msgspec.msgpack.Encoder().encode


def decode_shard(value: bytes) -> Shard:
    """Read a shard object."""
    return _decoder.decode(value)


def make_nonce() -> Nonce:
    """Make a name that no other commit has."""
    return Nonce(uuid.uuid4().hex[:16])


@dataclass(slots=True)
class _Pending:
    change: OperationChange
    waiter: Waiter
    verdict: CommitResult | None = None


@dataclass(slots=True)
class _Queue:
    pending: list[_Pending] = field(default_factory=list)
    running: bool = False


class GroupCommitter:
    """Gather the changes of a shard and write them with one conditional update."""

    def __init__(
        self,
        clock: Clock,
        node: NodeId,
        platform: PlatformStore,
        nonce: Callable[[], Nonce] = make_nonce,
        group_seconds: float = GROUP_SECONDS,
    ) -> None:
        self._clock = clock
        self._node = node
        self._platform = platform
        self._nonce = nonce
        self._group_seconds = group_seconds
        self._queues: dict[ObjectKey, _Queue] = {}
        self._pace = TokenBucket(clock, WRITES_PER_SECOND, WRITES_PER_SECOND)
        self._cache: dict[ObjectKey, tuple[Shard, Version]] = {}
        self.writes = 0

    def commit(self, shard: ObjectKey, change: OperationChange) -> CommitResult:
        """Block until the change holds, is forbidden, or could not be written."""
        queue = self._queues.setdefault(shard, _Queue())
        pending = _Pending(change, self._clock.make_waiter())
        queue.pending.append(pending)
        if not queue.running:
            queue.running = True
            self._clock.spawn(self._drain, shard, queue)
        pending.waiter.wait()
        assert pending.verdict is not None
        return pending.verdict

    def _drain(self, shard: ObjectKey, queue: _Queue) -> None:
        # The first change goes at once; those that come meanwhile form a group.
        while queue.pending:
            self._await_turn()
            group, queue.pending = queue.pending, []
            try:
                self._commit_group(shard, group)
            finally:
                _settle(group)
            if queue.pending:
                self._clock.sleep(self._group_seconds)
        queue.running = False
        self._queues.pop(shard, None)

    def _commit_group(self, key: ObjectKey, group: list[_Pending]) -> None:
        group = [pending for pending in group if not self._is_expired(pending)]
        for _ in range(CONFLICT_TRIES if group else 0):
            loaded = self._load(key)
            if loaded is None:
                return
            shard, version = loaded
            verdicts = [apply_change(shard, pending.change) for pending in group]
            if not any(changed for _, changed in verdicts):
                # What was read from a cache may be old; only a fresh read may refuse.
                if self._cache.pop(key, None) is not None:
                    continue
                _assign(group, [verdict for verdict, _ in verdicts])
                return
            outcome = self._write(key, shard, version)
            match outcome:
                case Applied():
                    _assign(group, [verdict for verdict, _ in verdicts])
                    return
                case Conflict():
                    continue
                case Unavailable():
                    return
                case Ambiguous():
                    _assign(group, [NotCommitted(True) for _ in group])
                    return

    def _await_turn(self) -> None:
        self._pace.charge(1.0)
        if self._pace.tokens < 0.0:
            self._clock.sleep(-self._pace.tokens / WRITES_PER_SECOND)

    def _is_expired(self, pending: _Pending) -> bool:
        # Whoever asked has given this claim up; it must not outlive its release.
        change = pending.change
        return isinstance(change, ClaimKey) and change.expires <= self._clock.wall()

    def _write(
        self, key: ObjectKey, shard: Shard, version: Version | None
    ) -> Applied | Conflict | Unavailable | Ambiguous:
        nonce = self._nonce()
        shard.commits[self._node] = nonce
        value = encode_shard(shard)
        self._cache.pop(key, None)
        self.writes += 1
        node = self._node
        write = Write(
            key,
            value,
            version,
            lambda stored: decode_shard(stored).commits.get(node) == nonce,
        )
        outcome = write_and_confirm(self._clock, self._platform, write)
        if isinstance(outcome, Applied):
            self._remember(key, shard, outcome.version)
        return outcome

    def _load(self, key: ObjectKey) -> tuple[Shard, Version | None] | None:
        cached = self._cache.get(key)
        if cached is not None:
            # Changes go to a copy: those that are not written leave no trace.
            shard, version = cached
            return Shard(dict(shard.operations), dict(shard.commits)), version
        match self._platform.get(key):
            case Ok(stored):
                return decode_shard(stored.value), stored.version
            case Err(ReadFault.NOT_FOUND):
                return Shard(), None
        return None

    def _remember(self, key: ObjectKey, shard: Shard, version: Version) -> None:
        while len(self._cache) >= CACHED_SHARDS:
            self._cache.pop(next(iter(self._cache)))
        self._cache[key] = (shard, version)


def _assign(group: list[_Pending], verdicts: list[CommitResult]) -> None:
    for pending, verdict in zip(group, verdicts, strict=True):
        pending.verdict = verdict


def _settle(group: list[_Pending]) -> None:
    for pending in group:
        if pending.verdict is None:
            pending.verdict = NotCommitted(False)
        pending.waiter.notify()
