"""Run a protected operation only under a durable claim to its idempotency key."""

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
    """Return a filter that claims keys, settles claims and answers duplicates."""

    def claim_key(call: Call, call_next: CallHandler) -> Outcome:
        if not call.protected:
            return call_next(call)
        if call.key is None:
            detail = "this operation needs an idempotency key"
            return NotRun(NotRunReason.KEY_REQUIRED, detail)
        expires = clock.wall() + call.deadline - clock.now()
        claimed = claims.claim(call.key, _compute_fingerprint(call), expires)
        match claimed:
            case Duplicate():
                return _replay_answer(claimed.answer)
            case Rejected():
                return NotRun(claimed.reason, claimed.detail)
            case OutcomeUnknown():
                return Unknown(claimed.reason)
            case Claimed():
                call.expires_unix_seconds = expires
                return _run(claims, claimed, call, call_next)

    return claim_key


def _run(
    claims: ClaimManager, claimed: Claimed, call: Call, call_next: CallHandler
) -> Outcome:
    try:
        outcome = call_next(call)
    except BaseException:
        claims.mark_unknown(claimed)
        raise
    if isinstance(outcome, Answered):
        outcome = _read_whole_body(outcome)
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


def _read_whole_body(answer: Answered) -> Outcome:
    # Only a complete answer may be stored for duplicates, so all of it is read first.
    try:
        body = b"".join(answer.body)
    except IncompleteBodyError as error:
        return Unknown(UnknownReason.TRUNCATED, str(error))
    answer.body = Body(body)
    return answer


def _replay_answer(answer: StoredAnswer) -> Outcome:
    return Answered(answer.status, list(answer.headers), Body(answer.body))


def _compute_fingerprint(call: Call) -> str:
    digest = blake2b(f"{call.caller} {call.method} {call.target}".encode())
    if call.body.fully_buffered:
        digest.update(call.body.buffered)
    return digest.hexdigest()[:32]
