"""Claim keys before dispatch and settle them afterwards."""

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
SETTLE_FIRST_SECONDS: Final = 0.2
SETTLE_LONGEST_SECONDS: Final = 10.0
# How long a caller's answer waits for its remembering.
REMEMBER_SECONDS: Final = 0.5

Commit = Callable[[ObjectKey, OperationChange], CommitResult]


@dataclass(frozen=True, slots=True)
class Claimed:
    """Tell that this call alone may run the operation."""

    shard: ObjectKey
    key: OperationKey
    claim: Nonce


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Tell that the operation ran before, with this answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class Rejected:
    """Tell that the call must not run the operation, and did not."""

    reason: NotRunReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Tell that another call has run, runs or may have run the operation."""

    reason: UnknownReason


ClaimOutcome = Claimed | Duplicate | Rejected | OutcomeUnknown


class ClaimManager:
    """Hold the claims of this node until each is settled durably."""

    def __init__(
        self,
        clock: Clock,
        node: NodeId,
        commit: Commit,
        nonce: Callable[[], Nonce],
        answers: AnswerStore,
    ) -> None:
        self.unsettled = 0
        self._clock = clock
        self._node = node
        self._commit = commit
        self._nonce = nonce
        self._answers = answers

    def claim(
        self, key: OperationKey, fingerprint: str, expires: float
    ) -> ClaimOutcome:
        """Claim a key until `expires`, in seconds since the Unix epoch."""
        placed = find_shard_key(key, self._clock.wall())
        if isinstance(placed, Err):
            return _refuse_key(placed.error)
        change = ClaimKey(key, self._nonce(), self._node, fingerprint, expires)
        verdict = self._commit(placed.value, change)
        match verdict:
            case Committed():
                return Claimed(placed.value, key, change.claim)
            case RecordConflict():
                return self._judge_holder(key, verdict.record, fingerprint)
            case NotCommitted(ambiguous=True):
                # The claim may hold although nobody will use it: give it back.
                self.release(Claimed(placed.value, key, change.claim))
        return Rejected(NotRunReason.CLAIM_UNAVAILABLE)

    def store_answer(self, claimed: Claimed, answer: StoredAnswer | None) -> None:
        """Keep an answer; wait a moment for it to hold, and go on behind."""
        waiter = self._clock.make_waiter()
        self.unsettled += 1
        self._clock.spawn(self._remember_loop, claimed, answer, waiter.notify)
        waiter.wait(REMEMBER_SECONDS)

    def release(self, claimed: Claimed) -> None:
        """Give a claim back whose operation did not run."""
        self._settle(claimed, ReleaseClaim(claimed.key, claimed.claim), lambda: None)

    def mark_unknown(self, claimed: Claimed) -> None:
        """Note that the operation may have run."""
        self._settle(claimed, MarkUnknown(claimed.key, claimed.claim), lambda: None)

    def _settle(
        self, claimed: Claimed, change: OperationChange, done: Callable[[], None]
    ) -> None:
        self.unsettled += 1
        self._clock.spawn(self._settle_loop, claimed, change, done)

    def _remember_loop(
        self,
        claimed: Claimed,
        answer: StoredAnswer | None,
        done: Callable[[], None],
    ) -> None:
        if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = None
        if answer is not None and len(answer.body) > MAX_INLINE_BYTES:
            pause = SETTLE_FIRST_SECONDS
            while not self._answers.keep(claimed.key, answer.body):
                self._clock.sleep(pause)
                pause = min(pause * 2, SETTLE_LONGEST_SECONDS)
            answer = StoredAnswer(answer.status, answer.headers, b"", apart=True)
        change = StoreAnswer(claimed.key, claimed.claim, answer)
        self._settle_loop(claimed, change, done)

    def _settle_loop(
        self, claimed: Claimed, change: OperationChange, done: Callable[[], None]
    ) -> None:
        pause = SETTLE_FIRST_SECONDS
        while isinstance(self._commit(claimed.shard, change), NotCommitted):
            _LOG.warning("operation not settled yet", extra={"key": claimed.key})
            self._clock.sleep(pause)
            pause = min(pause * 2, SETTLE_LONGEST_SECONDS)
        self.unsettled -= 1
        done()

    def _judge_holder(
        self, key: OperationKey, record: OperationRecord, fingerprint: str
    ) -> ClaimOutcome:
        if record.fingerprint != fingerprint:
            detail = "the key was used for a different request"
            return Rejected(NotRunReason.KEY_REUSED, detail)
        match record.state:
            case OperationState.ANSWERED if record.answer is not None:
                return self._find_answer(key, record.answer)
            case OperationState.ANSWERED:
                return OutcomeUnknown(UnknownReason.ANSWER_NOT_KEPT)
            case OperationState.CLAIMED if record.expires > self._clock.wall():
                return OutcomeUnknown(UnknownReason.IN_PROGRESS)
        return OutcomeUnknown(UnknownReason.UNRESOLVED)

    def _find_answer(self, key: OperationKey, answer: StoredAnswer) -> ClaimOutcome:
        if not answer.apart:
            return Duplicate(answer)
        match self._answers.find(key):
            case Ok(body):
                return Duplicate(StoredAnswer(answer.status, answer.headers, body))
        return OutcomeUnknown(UnknownReason.ANSWER_NOT_KEPT)


def _refuse_key(fault: KeyFault) -> Rejected:
    if fault is KeyFault.MALFORMED:
        return Rejected(NotRunReason.KEY_REQUIRED, fault.value)
    return Rejected(NotRunReason.KEY_EXPIRED, fault.value)
