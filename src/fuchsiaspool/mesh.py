"""Carry a call's context and outcome between nodes in one header each way."""

from collections.abc import Callable
from typing import Final

import msgspec

from .allowance import Allowance
from .bodies import Headers
from .calls import Call
from .clock import Clock
from .controllers.members import Member
from .http.client import Send
from .http.messages import find_header, keep_end_to_end
from .ids import CallerId, OperationKey, RequestId, ServiceName
from .outcomes import (
    NO_THRESHOLD,
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)

CONTEXT_HEADER: Final = b"fuchsiaspool-mesh"
OUTCOME_HEADER: Final = b"fuchsiaspool-outcome"
_MILLI: Final = 1000.0


class ContextError(Exception):
    """Tell that an internal header is missing or malformed."""


class MeshContext(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe a call to the next node; `deadline_ms` is what remains."""

    request: RequestId
    caller: CallerId
    service: ServiceName
    rank: float
    critical: bool
    deadline_ms: float
    allowance: int
    key: OperationKey | None = None
    expires_wall: float | None = None


class MeshOutcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe an outcome to the node before."""

    tag: str
    charged: int = 0
    threshold: float = NO_THRESHOLD
    not_run: NotRunReason | None = None
    unknown: UnknownReason | None = None
    detail: str = ""


_context_decoder: Final = msgspec.json.Decoder(MeshContext)
_outcome_decoder: Final = msgspec.json.Decoder(MeshOutcome)
_encode: Final = msgspec.json.Encoder().encode


def encode_context(call: Call, lent: int, now: float) -> bytes:
    """Build the header that goes with an attempt."""
    return _encode(
        MeshContext(
            call.request,
            call.caller,
            call.service,
            call.rank,
            call.critical,
            (call.deadline - now) * _MILLI,
            lent,
            call.key,
            call.expires_wall,
        )
    )


def decode_context(headers: Headers) -> MeshContext:
    """Read the header of an attempt; raise `ContextError`."""
    text = find_header(headers, CONTEXT_HEADER)
    if text is None:
        raise ContextError("no context header")
    try:
        context = _context_decoder.decode(text)
    except msgspec.DecodeError as error:
        raise ContextError(str(error)) from error
    if not 0.0 <= context.rank < NO_THRESHOLD or context.allowance < 0:
        raise ContextError("rank or allowance out of bounds")
    return context


def encode_outcome(outcome: Outcome, charged: int) -> bytes:
    """Build the header that goes back."""
    match outcome:
        case Answered():
            return _encode(MeshOutcome("answered", charged, outcome.threshold))
        case NotRun():
            return _encode(
                MeshOutcome(
                    "not-run",
                    charged,
                    outcome.threshold,
                    not_run=outcome.reason,
                    detail=_keep_ascii(outcome.detail),
                )
            )
        case Unknown():
            return _encode(
                MeshOutcome(
                    "unknown",
                    charged,
                    outcome.threshold,
                    unknown=outcome.reason,
                    detail=_keep_ascii(outcome.detail),
                )
            )


def decode_outcome(answer: Answered) -> tuple[Outcome, int] | None:
    """Turn a node's reply into the outcome it stands for; `None` if it is none."""
    text = find_header(answer.headers, OUTCOME_HEADER)
    if text is None:
        return None
    try:
        found = _outcome_decoder.decode(text)
    except msgspec.DecodeError:
        return None
    if found.not_run is not None:
        refused = NotRun(found.not_run, found.detail, threshold=found.threshold)
        return refused, found.charged
    if found.unknown is not None:
        unknown = Unknown(found.unknown, found.detail, threshold=found.threshold)
        return unknown, found.charged
    answer.threshold = found.threshold
    return answer, found.charged


def make_remote(clock: Clock, send: Send) -> Callable[[Member, Call], Outcome]:
    """Return a function that sends an attempt to another node."""

    def forward(member: Member, call: Call) -> Outcome:
        lent = call.allowance.lend()
        headers = keep_end_to_end(call.headers)
        context = encode_context(call, lent, clock.now())
        headers.append((CONTEXT_HEADER, context))
        outcome = send(member.mesh_address, call, headers)
        if isinstance(outcome, NotRun):
            # Nothing was sent, so nothing beneath can have spent what was lent.
            call.allowance.settle(lent, 0)
            return outcome
        if isinstance(outcome, Unknown):
            return outcome
        decoded = decode_outcome(outcome)
        if decoded is None:
            return Unknown(UnknownReason.BAD_ANSWER, "answer without outcome header")
        result, charged = decoded
        call.allowance.settle(lent, charged)
        return result

    return forward


def open_call(context: MeshContext, clock: Clock, base: Call) -> Call:
    """Fill in a call from the context it came with."""
    now = clock.now()
    base.request = context.request
    base.caller = context.caller
    base.service = context.service
    base.rank = context.rank
    base.critical = context.critical
    base.classified = True
    base.start = now
    base.deadline = now + context.deadline_ms / _MILLI
    base.allowance = Allowance(context.allowance)
    base.key = context.key
    base.expires_wall = context.expires_wall
    return base


def _keep_ascii(text: str) -> str:
    return "".join(c for c in text[:200] if " " <= c <= "~")
