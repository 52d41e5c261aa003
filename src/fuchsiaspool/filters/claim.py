"""Run a protected operation only under a durable claim to its idempotency key."""

from hashlib import blake2b

from ..bodies import Body, BodyError
from ..calls import Call, Filter, Next
from ..clock import Clock
from ..operation_records import RememberedAnswer
from ..operations.claims import Claimed, Claims, Duplicate, InDoubt, Refused
from ..outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)


def make_claim(clock: Clock, claims: Claims) -> Filter:
    """Return a filter that claims keys, settles claims and answers duplicates."""

    def claim_key(call: Call, call_next: Next) -> Outcome:
        if not call.protected:
            return call_next(call)
        if call.key is None:
            detail = "this operation needs an idempotency key"
            return NotRun(NotRunReason.KEY_REQUIRED, detail)
        expires = clock.wall() + call.deadline - clock.now()
        claimed = claims.claim(call.key, _take_fingerprint(call), expires)
        match claimed:
            case Duplicate():
                return _replay_answer(claimed.answer)
            case Refused():
                return NotRun(claimed.reason, claimed.detail)
            case InDoubt():
                return Unknown(claimed.reason)
            case Claimed():
                call.expires_wall = expires
                return _run(claims, claimed, call, call_next)

    return claim_key


def _run(claims: Claims, claimed: Claimed, call: Call, call_next: Next) -> Outcome:
    try:
        outcome = call_next(call)
    except BaseException:
        claims.doubt(claimed)
        raise
    if isinstance(outcome, Answered):
        outcome = _read_whole_body(outcome)
    match outcome:
        case NotRun():
            claims.release(claimed)
        case Unknown():
            claims.doubt(claimed)
        case Answered():
            body = outcome.body.head
            answer = RememberedAnswer(outcome.status, outcome.headers, body)
            claims.remember(claimed, answer)
    return outcome


def _read_whole_body(answer: Answered) -> Outcome:
    # Only a complete answer may be stored for duplicates, so all of it is read first.
    try:
        body = b"".join(answer.body)
    except BodyError as error:
        return Unknown(UnknownReason.TRUNCATED, str(error))
    answer.body = Body(body)
    return answer


def _replay_answer(answer: RememberedAnswer) -> Outcome:
    return Answered(answer.status, list(answer.headers), Body(answer.body))


def _take_fingerprint(call: Call) -> str:
    digest = blake2b(f"{call.caller} {call.method} {call.target}".encode())
    if call.body.whole:
        digest.update(call.body.head)
    return digest.hexdigest()[:32]
