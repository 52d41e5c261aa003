"""Let a protected operation through only with a durable claim to its key."""

from hashlib import blake2b

from ..bodies import Body, IncompleteBodyError
from ..calls import Call, CallHandler, Filter
from ..clock import Clock
from ..operation_records import StoredAnswer
from ..operations.claims import (
    Claimed,
    ClaimManager,
    Duplicate,
    OutcomeUnknown,
    Rejected,
)
from ..outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)


def make_claim_filter(clock: Clock, claims: ClaimManager) -> Filter:
    """Return a filter that claims, settles, and answers duplicates."""

    def claim(call: Call, following: CallHandler) -> Outcome:
        if not call.protected:
            return following(call)
        if call.key is None:
            detail = "this operation needs an idempotency key"
            return NotRun(NotRunReason.KEY_REQUIRED, detail)
        expires = clock.wall() + call.deadline - clock.now()
        claimed = claims.claim(call.key, _compute_fingerprint(call), expires)
        match claimed:
            case Duplicate():
                return _repeat(claimed.answer)
            case Rejected():
                return NotRun(claimed.reason, claimed.detail)
            case OutcomeUnknown():
                return Unknown(claimed.reason)
            case Claimed():
                call.expires_unix_seconds = expires
                return _run(claims, claimed, call, following)

    return claim


def _run(
    claims: ClaimManager, claimed: Claimed, call: Call, following: CallHandler
) -> Outcome:
    try:
        outcome = following(call)
    except BaseException:
        claims.mark_unknown(claimed)
        raise
    if isinstance(outcome, Answered):
        outcome = _collect(outcome)
    match outcome:
        case NotRun():
            claims.release(claimed)
        case Unknown():
            claims.mark_unknown(claimed)
        case Answered():
            body = outcome.body.buffered
            answer = StoredAnswer(outcome.status, outcome.headers, body)
            claims.store_answer(claimed, answer)
    return outcome


def _collect(answer: Answered) -> Outcome:
    # The whole answer is read first: only a whole one may be remembered.
    try:
        body = b"".join(answer.body)
    except IncompleteBodyError as error:
        return Unknown(UnknownReason.TRUNCATED, str(error))
    answer.body = Body(body)
    return answer


def _repeat(answer: StoredAnswer) -> Outcome:
    return Answered(answer.status, list(answer.headers), Body(answer.body))


def _compute_fingerprint(call: Call) -> str:
    digest = blake2b(f"{call.caller} {call.method} {call.target}".encode())
    if call.body.fully_buffered:
        digest.update(call.body.buffered)
    return digest.hexdigest()[:32]
