"""Define the records of protected operations and the changes made to them."""

from enum import Enum

import msgspec

from .ids import NodeId, Nonce, OperationKey


class OperationState(Enum):
    """Say what is known of an operation."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Hold a whole first answer for those who ask again.

    A large body stands in an object of its own, so that shards stay small.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    apart: bool = False


class OperationRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold one operation; `expires` is in seconds since the Unix epoch."""

    state: OperationState
    claim: Nonce
    holder: NodeId
    fingerprint: str
    expires: float
    answer: StoredAnswer | None = None


class ClaimKey(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claim a key before its only run."""

    key: OperationKey
    claim: Nonce
    holder: NodeId
    fingerprint: str
    expires: float


class StoreAnswer(msgspec.Struct, frozen=True, array_like=True, tag="remember"):
    """Keep the answer of a claimed run; none if it is too large to keep."""

    key: OperationKey
    claim: Nonce
    answer: StoredAnswer | None


class ReleaseClaim(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Give a claim back whose operation certainly did not run."""

    key: OperationKey
    claim: Nonce


class MarkUnknown(msgspec.Struct, frozen=True, array_like=True, tag="doubt"):
    """Note that a claimed run may have taken place."""

    key: OperationKey
    claim: Nonce


class ResolveUnknown(msgspec.Struct, frozen=True, array_like=True, tag="resolve"):
    """Settle an operation in doubt by an operator's word, at time `now`."""

    key: OperationKey
    ran: bool
    now: float


OperationChange = ClaimKey | StoreAnswer | ReleaseClaim | MarkUnknown | ResolveUnknown


class Committed(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """Tell that the change holds durably."""


class RecordConflict(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """Tell that the key has a record which forbids the change."""

    record: OperationRecord


class RecordMissing(msgspec.Struct, frozen=True, array_like=True, tag="missing"):
    """Tell that the key has no such record."""


class NotCommitted(msgspec.Struct, frozen=True, array_like=True, tag="not-committed"):
    """Tell that the platform did not take the change; in doubt if `ambiguous`."""

    ambiguous: bool


CommitResult = Committed | RecordConflict | RecordMissing | NotCommitted


class Shard(msgspec.Struct, array_like=True):
    """Hold the operations of one shard and each writer's last commit to it.

    A writer has one commit under way at a time, so its last one is enough to
    tell whether a commit whose answer was lost took effect.
    """

    operations: dict[OperationKey, OperationRecord] = {}
    commits: dict[NodeId, Nonce] = {}


def apply_change(shard: Shard, change: OperationChange) -> tuple[CommitResult, bool]:
    """Apply a change to a shard in memory; tell if the shard changed.

    Each change may be applied again: the second time changes nothing.
    """
    record = shard.operations.get(change.key)
    match change:
        case ClaimKey():
            return _claim(shard, change, record)
        case ResolveUnknown():
            return _resolve(shard, change, record)
        case ReleaseClaim():
            if record is None:
                return Committed(), False
            if record.claim != change.claim or record.state is OperationState.ANSWERED:
                return RecordConflict(record), False
            del shard.operations[change.key]
            return Committed(), True
        case StoreAnswer():
            state, answer = OperationState.ANSWERED, change.answer
        case MarkUnknown():
            state, answer = OperationState.UNKNOWN, None
    if record is None:
        return RecordMissing(), False
    if record.claim != change.claim:
        return RecordConflict(record), False
    if record.state is OperationState.ANSWERED:
        return Committed(), False
    shard.operations[change.key] = msgspec.structs.replace(
        record, state=state, answer=answer
    )
    return Committed(), True


def _claim(
    shard: Shard, change: ClaimKey, record: OperationRecord | None
) -> tuple[CommitResult, bool]:
    if record is not None:
        if record.claim == change.claim:
            return Committed(), False
        return RecordConflict(record), False
    shard.operations[change.key] = OperationRecord(
        OperationState.CLAIMED,
        change.claim,
        change.holder,
        change.fingerprint,
        change.expires,
    )
    return Committed(), True


def _resolve(
    shard: Shard, change: ResolveUnknown, record: OperationRecord | None
) -> tuple[CommitResult, bool]:
    if record is None:
        return RecordMissing(), False
    expired = record.expires < change.now
    if record.state is OperationState.ANSWERED or not expired:
        return RecordConflict(record), False
    if change.ran:
        shard.operations[change.key] = msgspec.structs.replace(
            record, state=OperationState.ANSWERED
        )
    else:
        del shard.operations[change.key]
    return Committed(), True
