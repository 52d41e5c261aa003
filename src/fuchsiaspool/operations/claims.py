"""Claim idempotency keys before dispatch and settle the claims afterwards."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..clock import Clock
from ..ids import NodeId, Nonce, OperationKey
from ..operation_records import (
    Change,
    Claim,
    Done,
    Doubt,
    Held,
    NotCommitted,
    OperationRecord,
    OperationState,
    Release,
    Remember,
    RememberedAnswer,
    Verdict,
)
from ..outcomes import NotRunReason, UnknownReason
from ..platform.objects import ObjectKey
from ..results import Err, Ok
from .answers import INLINE_BYTES, LARGEST_BYTES, AnswerStore
from .keys import KeyFault, place_key

_LOG = logging.getLogger(__name__)
SETTLE_FIRST_SECONDS: Final = 0.2
SETTLE_LONGEST_SECONDS: Final = 10.0
# Time for which an answer is held back until it is stored.
REMEMBER_SECONDS: Final = 0.5

Commit = Callable[[ObjectKey, Change], Verdict]


@dataclass(frozen=True, slots=True)
class Claimed:
    """Report that this call alone may run the operation."""

    shard: ObjectKey
    key: OperationKey
    claim: Nonce


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Report that the operation has run before, with this answer."""

    answer: RememberedAnswer


@dataclass(frozen=True, slots=True)
class Refused:
    """Report that the call must not run the operation and has not run it."""

    reason: NotRunReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class InDoubt:
    """Report that another call has run, is running or may have run the operation."""

    reason: UnknownReason


ClaimOutcome = Claimed | Duplicate | Refused | InDoubt


class Claims:
    """Claim keys for this node and settle each claim durably."""

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
        placed = place_key(key, self._clock.wall())
        if isinstance(placed, Err):
            return _refuse_key(placed.error)
        change = Claim(key, self._nonce(), self._node, fingerprint, expires)
        verdict = self._commit(placed.value, change)
        match verdict:
            case Done():
                return Claimed(placed.value, key, change.claim)
            case Held():
                return self._judge_holder(key, verdict.record, fingerprint)
            case NotCommitted(ambiguous=True):
                # The claim may be stored although this call will not use it.
                self.release(Claimed(placed.value, key, change.claim))
        return Refused(NotRunReason.CLAIM_UNAVAILABLE)

    def remember(self, claimed: Claimed, answer: RememberedAnswer | None) -> None:
        """Store an answer; wait briefly, then continue in the background."""
        waiter = self._clock.waiter()
        self.unsettled += 1
        self._clock.spawn(self._remember_loop, claimed, answer, waiter.notify)
        waiter.wait(REMEMBER_SECONDS)

    def release(self, claimed: Claimed) -> None:
        """Release the claim of an operation that did not run."""
        self._settle(claimed, Release(claimed.key, claimed.claim), lambda: None)

    def doubt(self, claimed: Claimed) -> None:
        """Record that the operation may have run."""
        self._settle(claimed, Doubt(claimed.key, claimed.claim), lambda: None)

    def _settle(
        self, claimed: Claimed, change: Change, done: Callable[[], None]
    ) -> None:
        self.unsettled += 1
        self._clock.spawn(self._settle_loop, claimed, change, done)

    def _remember_loop(
        self,
        claimed: Claimed,
        answer: RememberedAnswer | None,
        done: Callable[[], None],
    ) -> None:
        if answer is not None and len(answer.body) > LARGEST_BYTES:
            answer = None
        if answer is not None and len(answer.body) > INLINE_BYTES:
            pause = SETTLE_FIRST_SECONDS
            while not self._answers.keep(claimed.key, answer.body):
                self._clock.sleep(pause)
                pause = min(pause * 2, SETTLE_LONGEST_SECONDS)
            answer = RememberedAnswer(answer.status, answer.headers, b"", apart=True)
        change = Remember(claimed.key, claimed.claim, answer)
        self._settle_loop(claimed, change, done)

    def _settle_loop(
        self, claimed: Claimed, change: Change, done: Callable[[], None]
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
            return Refused(NotRunReason.KEY_REUSED, detail)
        match record.state:
            case OperationState.ANSWERED if record.answer is not None:
                return self._find_answer(key, record.answer)
            case OperationState.ANSWERED:
                return InDoubt(UnknownReason.ANSWER_NOT_KEPT)
            case OperationState.CLAIMED if record.expires > self._clock.wall():
                return InDoubt(UnknownReason.IN_PROGRESS)
        return InDoubt(UnknownReason.UNRESOLVED)

    def _find_answer(self, key: OperationKey, answer: RememberedAnswer) -> ClaimOutcome:
        if not answer.apart:
            return Duplicate(answer)
        match self._answers.find(key):
            case Ok(body):
                return Duplicate(RememberedAnswer(answer.status, answer.headers, body))
        return InDoubt(UnknownReason.ANSWER_NOT_KEPT)


def _refuse_key(fault: KeyFault) -> Refused:
    if fault is KeyFault.MALFORMED:
        return Refused(NotRunReason.KEY_REQUIRED, fault.value)
    return Refused(NotRunReason.KEY_EXPIRED, fault.value)
