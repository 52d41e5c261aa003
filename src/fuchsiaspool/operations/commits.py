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
    OperationState,
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
# A store is restored from a copy that is some seconds old. What was written in this
# time before is written back.
REMEMBERED_SECONDS: Final = 60.0
CONFIRM_PAUSE_SECONDS: Final = 0.5
_STATE_ORDER: Final = (
    OperationState.CLAIMED,
    OperationState.UNKNOWN,
    OperationState.ANSWERED,
)

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
        # The shards of the last seconds as this node wrote them, oldest first.
        self._written: dict[ObjectKey, tuple[Shard, float]] = {}
        self._unconfirmed: set[ObjectKey] = set()
        self._restores = 0
        self.writes = 0

    def handle_restore(self) -> None:
        """Compare the store with what was written lately, before further changes.

        A restored store may lack records, and may have given their versions to others.
        """
        self._restores += 1
        self._cache.clear()
        self._forget_old_shards()
        self._unconfirmed.update(self._written)
        for shard in self._written:
            queue = self._queues.setdefault(shard, _ShardQueue())
            self._start_draining(shard, queue)

    def commit(self, shard: ObjectKey, change: OperationChange) -> CommitResult:
        """Block until the change is stored or rejected, or its write has failed."""
        queue = self._queues.setdefault(shard, _ShardQueue())
        pending = _PendingChange(change, self._clock.make_waiter())
        queue.pending.append(pending)
        self._start_draining(shard, queue)
        pending.waiter.wait()
        assert pending.result is not None
        return pending.result

    def _start_draining(self, shard: ObjectKey, queue: _ShardQueue) -> None:
        if not queue.draining:
            queue.draining = True
            self._clock.spawn(self._drain, shard, queue)

    def _drain(self, shard: ObjectKey, queue: _ShardQueue) -> None:
        # The first change is written at once; those that arrive meanwhile form a group.
        while queue.pending or shard in self._unconfirmed:
            self._wait_for_write_token()
            group, queue.pending = queue.pending, []
            try:
                self._commit_group(shard, group)
            finally:
                _notify_waiters(group)
            if shard in self._unconfirmed:
                self._clock.sleep(CONFIRM_PAUSE_SECONDS)
            elif queue.pending:
                self._clock.sleep(self._group_interval)
        queue.draining = False
        self._queues.pop(shard, None)

    def _commit_group(self, key: ObjectKey, group: list[_PendingChange]) -> None:
        group = [pending for pending in group if not self._is_expired(pending)]
        has_work = group or key in self._unconfirmed
        for _ in range(MAX_CONFLICT_ATTEMPTS if has_work else 0):
            restores = self._restores
            loaded = self._load(key)
            if loaded is None:
                return
            shard, version = loaded
            was_unconfirmed = key in self._unconfirmed
            has_lost = was_unconfirmed and self._add_lost_records(key, shard)
            results = [apply_change(shard, pending.change) for pending in group]
            if not has_lost and not any(changed for _, changed in results):
                if was_unconfirmed and restores == self._restores:
                    self._unconfirmed.discard(key)
                # A cached shard may be stale: only a fresh read may reject a change.
                if self._cache.pop(key, None) is not None:
                    continue
                _assign_results(group, [result for result, _ in results])
                return
            outcome = self._write(key, shard, version, restores)
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
        self, key: ObjectKey, shard: Shard, version: Version | None, restores: int
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
            if restores == self._restores:
                self._unconfirmed.discard(key)
                self._cache_shard(key, shard, outcome.version)
            else:
                # It may have been written before the restore, or over others' records.
                self._unconfirmed.add(key)
            self._written.pop(key, None)
            self._written[key] = (shard, self._clock.now())
            self._forget_old_shards()
        return outcome

    def _add_lost_records(self, key: ObjectKey, shard: Shard) -> bool:
        """Add what this node has written and the shard lacks; return if it does."""
        written, _ = self._written.get(key, (None, 0.0))
        # The shard holds this node's last commit: nothing before it was lost.
        if written is None or (
            shard.commits.get(self._node) == written.commits[self._node]
        ):
            return False
        has_lost = False
        for operation, record in written.operations.items():
            stored = shard.operations.get(operation)
            if stored is None or (
                stored.claim == record.claim
                and _STATE_ORDER.index(stored.state) < _STATE_ORDER.index(record.state)
            ):
                shard.operations[operation] = record
                has_lost = True
        return has_lost

    def _forget_old_shards(self) -> None:
        oldest = self._clock.now() - REMEMBERED_SECONDS
        for key, (_, written_at) in list(self._written.items()):
            if written_at >= oldest:
                return
            if key not in self._unconfirmed:
                del self._written[key]

    def _load(self, key: ObjectKey) -> tuple[Shard, Version | None] | None:
        cached = self._cache.get(key)
        if cached is not None and key not in self._unconfirmed:
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
