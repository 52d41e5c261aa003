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
from ..platform.writes import ConditionalWrite, write_and_confirm
from ..results import Err, Ok

GROUP_INTERVAL_SECONDS: Final = 0.02
# Writes per second of one owner: all owners together stay within the platform's rate
# limit, and under load the groups grow instead.
WRITES_PER_SECOND: Final = 30.0
MAX_CONFLICT_ATTEMPTS: Final = 12
MAX_CACHED_SHARDS: Final = 64

_decoder: Final = msgspec.msgpack.Decoder(Shard)
encode_shard: Final = msgspec.msgpack.Encoder().encode


def decode_shard(value: bytes) -> Shard:
    """Decode a shard object."""
    return _decoder.decode(value)


def make_nonce() -> Nonce:
    """Return a unique nonce for a claim or a commit."""
    return Nonce(uuid.uuid4().hex[:16])


@dataclass(slots=True)
class _PendingChange:
    change: OperationChange
    waiter: Waiter
    result: CommitResult | None = None


@dataclass(slots=True)
class _ShardQueue:
    pending: list[_PendingChange] = field(default_factory=list)
    draining: bool = False


class GroupCommitter:
    """Group the changes of a shard and write them with one conditional update."""

    def __init__(
        self,
        clock: Clock,
        node: NodeId,
        store: PlatformStore,
        generate_nonce: Callable[[], Nonce] = make_nonce,
        group_interval: float = GROUP_INTERVAL_SECONDS,
    ) -> None:
        self._clock = clock
        self._node = node
        self._store = store
        self._generate_nonce = generate_nonce
        self._group_interval = group_interval
        self._queues: dict[ObjectKey, _ShardQueue] = {}
        self._write_tokens = TokenBucket(clock, WRITES_PER_SECOND, WRITES_PER_SECOND)
        self._cache: dict[ObjectKey, tuple[Shard, Version]] = {}
        self.writes = 0

    def commit(self, shard: ObjectKey, change: OperationChange) -> CommitResult:
        """Block until the change is stored or rejected, or its write has failed."""
        queue = self._queues.setdefault(shard, _ShardQueue())
        pending = _PendingChange(change, self._clock.make_waiter())
        queue.pending.append(pending)
        if not queue.draining:
            queue.draining = True
            self._clock.spawn(self._drain, shard, queue)
        pending.waiter.wait()
        assert pending.result is not None
        return pending.result

    def _drain(self, shard: ObjectKey, queue: _ShardQueue) -> None:
        # The first change is written at once; those that arrive meanwhile form a group.
        while queue.pending:
            self._wait_for_write_token()
            group, queue.pending = queue.pending, []
            try:
                self._commit_group(shard, group)
            finally:
                _notify_waiters(group)
            if queue.pending:
                self._clock.sleep(self._group_interval)
        queue.draining = False
        self._queues.pop(shard, None)

    def _commit_group(self, key: ObjectKey, group: list[_PendingChange]) -> None:
        group = [pending for pending in group if not self._is_expired(pending)]
        for _ in range(MAX_CONFLICT_ATTEMPTS if group else 0):
            loaded = self._load(key)
            if loaded is None:
                return
            shard, version = loaded
            results = [apply_change(shard, pending.change) for pending in group]
            if not any(changed for _, changed in results):
                # A cached shard may be stale: only a fresh read may reject a change.
                if self._cache.pop(key, None) is not None:
                    continue
                _assign_results(group, [result for result, _ in results])
                return
            outcome = self._write(key, shard, version)
            match outcome:
                case Applied():
                    _assign_results(group, [result for result, _ in results])
                    return
                case Conflict():
                    continue
                case Unavailable():
                    return
                case Ambiguous():
                    _assign_results(group, [NotCommitted(True) for _ in group])
                    return

    def _wait_for_write_token(self) -> None:
        self._write_tokens.charge(1.0)
        if self._write_tokens.tokens < 0.0:
            self._clock.sleep(-self._write_tokens.tokens / WRITES_PER_SECOND)

    def _is_expired(self, pending: _PendingChange) -> bool:
        # The claiming node has given up an expired claim. It must not be stored, or
        # it could remain after its release.
        change = pending.change
        return isinstance(change, ClaimKey) and change.expires <= self._clock.wall()

    def _write(
        self, key: ObjectKey, shard: Shard, version: Version | None
    ) -> Applied | Conflict | Unavailable | Ambiguous:
        nonce = self._generate_nonce()
        shard.commits[self._node] = nonce
        value = encode_shard(shard)
        self._cache.pop(key, None)
        self.writes += 1
        node = self._node
        write = ConditionalWrite(
            key,
            value,
            version,
            lambda stored: decode_shard(stored).commits.get(node) == nonce,
        )
        outcome = write_and_confirm(self._clock, self._store, write)
        if isinstance(outcome, Applied):
            self._cache_shard(key, shard, outcome.version)
        return outcome

    def _load(self, key: ObjectKey) -> tuple[Shard, Version | None] | None:
        cached = self._cache.get(key)
        if cached is not None:
            # Changes are applied to a copy, so that the cache keeps only written ones.
            shard, version = cached
            return Shard(dict(shard.operations), dict(shard.commits)), version
        match self._store.get(key):
            case Ok(stored):
                return decode_shard(stored.value), stored.version
            case Err(ReadFault.NOT_FOUND):
                return Shard(), None
        return None

    def _cache_shard(self, key: ObjectKey, shard: Shard, version: Version) -> None:
        while len(self._cache) >= MAX_CACHED_SHARDS:
            self._cache.pop(next(iter(self._cache)))
        self._cache[key] = (shard, version)


def _assign_results(group: list[_PendingChange], results: list[CommitResult]) -> None:
    for pending, result in zip(group, results, strict=True):
        pending.result = result


def _notify_waiters(group: list[_PendingChange]) -> None:
    for pending in group:
        if pending.result is None:
            pending.result = NotCommitted(False)
        pending.waiter.notify()
