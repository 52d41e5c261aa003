"""Claim idempotency keys before dispatch and settle the claims afterwards."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..clock import Clock
from ..ids import NodeId, Nonce, OperationKey
from ..operation_records import (
    ClaimKey,
    CommitResult,
    Committed,
    MarkUnknown,
    NotCommitted,
    OperationChange,
    OperationRecord,
    OperationState,
    RecordConflict,
    ReleaseClaim,
    StoreAnswer,
    StoredAnswer,
)
from ..outcomes import NotRunReason, UnknownReason
from ..platform.objects import ObjectKey
from ..results import Err, Ok
from .answers import MAX_ANSWER_BYTES, MAX_INLINE_BYTES, AnswerStore
from .keys import KeyFault, find_shard_key

_LOG = logging.getLogger(__name__)
MIN_SETTLE_BACKOFF_SECONDS: Final = 0.2
MAX_SETTLE_BACKOFF_SECONDS: Final = 10.0
# The longest time that a caller's answer waits for its storage.
STORE_ANSWER_WAIT_SECONDS: Final = 0.5

Commit = Callable[[ObjectKey, OperationChange], CommitResult]


@dataclass(frozen=True, slots=True)
class Claimed:
    """Report that this call alone may run the operation."""

    shard: ObjectKey
    key: OperationKey
    claim: Nonce


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Report that the operation has run before, with this answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class Rejected:
    """Report that the call must not run the operation and has not run it."""

    reason: NotRunReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Report that another call has run, is running or may have run the operation."""

    reason: UnknownReason


ClaimOutcome = Claimed | Duplicate | Rejected | OutcomeUnknown


class ClaimManager:
    """Claim keys for this node and settle each claim durably."""

    def __init__(
        self,
        clock: Clock,
        node: NodeId,
        commit: Commit,
        generate_nonce: Callable[[], Nonce],
        answer_store: AnswerStore,
    ) -> None:
        self.unsettled = 0
        self._clock = clock
        self._node = node
        self._commit = commit
        self._generate_nonce = generate_nonce
        self._answer_store = answer_store

    def claim(
        self, key: OperationKey, fingerprint: str, expires: float
    ) -> ClaimOutcome:
        """Claim a key until `expires`, in seconds since the Unix epoch."""
        shard_key = find_shard_key(key, self._clock.wall())
        if isinstance(shard_key, Err):
            return _reject_key(shard_key.error)
        change = ClaimKey(key, self._generate_nonce(), self._node, fingerprint, expires)
        result = self._commit(shard_key.value, change)
        match result:
            case Committed():
                return Claimed(shard_key.value, key, change.claim)
            case RecordConflict():
                return self._evaluate_record(key, result.record, fingerprint)
            case NotCommitted(ambiguous=True):
                # The claim may be stored although no run will use it: release it.
                self.release(Claimed(shard_key.value, key, change.claim))
        return Rejected(NotRunReason.CLAIM_UNAVAILABLE)

    def store_answer(self, claimed: Claimed, answer: StoredAnswer | None) -> None:
        """Store an answer; wait briefly for that, then continue in the background."""
        waiter = self._clock.make_waiter()
        self.unsettled += 1
        self._clock.spawn(self._store_answer_loop, claimed, answer, waiter.notify)
        waiter.wait(STORE_ANSWER_WAIT_SECONDS)

    def release(self, claimed: Claimed) -> None:
        """Release the claim of an operation that did not run."""
        self._settle(claimed, ReleaseClaim(claimed.key, claimed.claim), lambda: None)

    def mark_unknown(self, claimed: Claimed) -> None:
        """Record that the operation may have run."""
        self._settle(claimed, MarkUnknown(claimed.key, claimed.claim), lambda: None)

    def _settle(
        self, claimed: Claimed, change: OperationChange, on_settled: Callable[[], None]
    ) -> None:
        self.unsettled += 1
        self._clock.spawn(self._settle_loop, claimed, change, on_settled)

    def _store_answer_loop(
        self,
        claimed: Claimed,
        answer: StoredAnswer | None,
        on_settled: Callable[[], None],
    ) -> None:
        if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = None
        if answer is not None and len(answer.body) > MAX_INLINE_BYTES:
            backoff = MIN_SETTLE_BACKOFF_SECONDS
            while not self._answer_store.store(claimed.key, answer.body):
                self._clock.sleep(backoff)
                backoff = min(backoff * 2, MAX_SETTLE_BACKOFF_SECONDS)
            answer = StoredAnswer(answer.status, answer.headers, b"", apart=True)
        change = StoreAnswer(claimed.key, claimed.claim, answer)
        self._settle_loop(claimed, change, on_settled)

    def _settle_loop(
        self, claimed: Claimed, change: OperationChange, on_settled: Callable[[], None]
    ) -> None:
        backoff = MIN_SETTLE_BACKOFF_SECONDS
        while isinstance(self._commit(claimed.shard, change), NotCommitted):
            _LOG.warning("operation not settled yet", extra={"key": claimed.key})
            self._clock.sleep(backoff)
            backoff = min(backoff * 2, MAX_SETTLE_BACKOFF_SECONDS)
        self.unsettled -= 1
        on_settled()

    def _evaluate_record(
        self, key: OperationKey, record: OperationRecord, fingerprint: str
    ) -> ClaimOutcome:
        if record.fingerprint != fingerprint:
            detail = "the key was used for a different request"
            return Rejected(NotRunReason.KEY_REUSED, detail)
        match record.state:
            case OperationState.ANSWERED if record.answer is not None:
                return self._load_answer(key, record.answer)
            case OperationState.ANSWERED:
                return OutcomeUnknown(UnknownReason.ANSWER_NOT_KEPT)
            case OperationState.CLAIMED if record.expires > self._clock.wall():
                return OutcomeUnknown(UnknownReason.IN_PROGRESS)
        return OutcomeUnknown(UnknownReason.UNRESOLVED)

    def _load_answer(self, key: OperationKey, answer: StoredAnswer) -> ClaimOutcome:
        if not answer.apart:
            return Duplicate(answer)
        match self._answer_store.load(key):
            case Ok(body):
                return Duplicate(StoredAnswer(answer.status, answer.headers, body))
        return OutcomeUnknown(UnknownReason.ANSWER_NOT_KEPT)


def _reject_key(fault: KeyFault) -> Rejected:
    if fault is KeyFault.MALFORMED:
        return Rejected(NotRunReason.KEY_REQUIRED, fault.value)
    return Rejected(NotRunReason.KEY_EXPIRED, fault.value)
