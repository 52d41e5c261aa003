"""Carry a call's context and outcome between nodes in one header each way."""

from collections.abc import Callable
from typing import Final

import msgspec

from .bodies import Headers
from .calls import Call
from .clock import Clock
from .http.client import SendCall
from .http.messages import find_header, keep_end_to_end_headers
from .ids import CallerId, OperationKey, OperationName, RequestId, ServiceName
from .member_records import Member
from .node_load import NodeLoad
from .outcomes import (
    NO_THRESHOLD,
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from .retry_allowance import RetryAllowance

CONTEXT_HEADER: Final = b"fuchsiaspool-mesh"
OUTCOME_HEADER: Final = b"fuchsiaspool-outcome"
_MILLI: Final = 1000.0


class ContextError(Exception):
    """Tell that an internal header is missing or malformed."""


class MeshContext(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Describe a call to the next node; `deadline_ms` is what remains."""

    request: RequestId
    caller: CallerId
    service: ServiceName
    rank: float
    critical: bool
    deadline_ms: float
    retry_allowance: int
    key: OperationKey | None = None
    expires_unix_seconds: float | None = None
    soft_deadline_ms: float = 0.0
    nested: bool = False
    operation: OperationName = OperationName("")
    is_retry: bool = False


class MeshOutcome(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Describe an outcome to the node before; `held` is the seconds spent here."""

    tag: str
    retries_spent: int = 0
    threshold: float = NO_THRESHOLD
    not_run: NotRunReason | None = None
    unknown: UnknownReason | None = None
    detail: str = ""
    retry_after_seconds: float | None = None
    load: NodeLoad | None = None
    held: float = 0.0


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
            call.expires_unix_seconds,
            max(0.0, (call.soft_deadline - now) * _MILLI),
            call.nested,
            call.operation,
            call.is_retry,
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
    if not 0.0 <= context.rank < NO_THRESHOLD or context.retry_allowance < 0:
        raise ContextError("rank or allowance out of bounds")
    return context


def encode_outcome(
    outcome: Outcome, charged: int, load: NodeLoad | None = None, held: float = 0.0
) -> bytes:
    """Build the header that goes back."""
    threshold = outcome.threshold
    match outcome:
        case Answered():
            found = MeshOutcome("answered", charged, threshold, load=load, held=held)
        case NotRun():
            found = MeshOutcome(
                "not-run",
                charged,
                threshold,
                not_run=outcome.reason,
                detail=_keep_ascii(outcome.detail),
                retry_after_seconds=outcome.retry_after_seconds,
                load=load,
                held=held,
            )
        case Unknown():
            found = MeshOutcome(
                "unknown",
                charged,
                threshold,
                unknown=outcome.reason,
                detail=_keep_ascii(outcome.detail),
                load=load,
                held=held,
            )
    return _encode(found)


def read_outcome(answer: Answered) -> MeshOutcome | None:
    """Return what a node's reply says of its outcome; `None` if it is none."""
    text = find_header(answer.headers, OUTCOME_HEADER)
    if text is None:
        return None
    try:
        return _outcome_decoder.decode(text)
    except msgspec.DecodeError:
        return None


def restore_outcome(answer: Answered, found: MeshOutcome) -> Outcome:
    """Turn a node's reply into the outcome it stands for."""
    if found.not_run is not None:
        return NotRun(
            found.not_run,
            found.detail,
            threshold=found.threshold,
            retry_after_seconds=found.retry_after_seconds,
        )
    if found.unknown is not None:
        return Unknown(found.unknown, found.detail, threshold=found.threshold)
    answer.threshold = found.threshold
    return answer


LearnLoad = Callable[[Member, NodeLoad, float], None]


def _ignore_load(member: Member, load: NodeLoad, way: float) -> None:
    """Learn nothing."""


def make_remote(
    clock: Clock,
    send: SendCall,
    keep: Callable[[Headers], Headers] = keep_end_to_end_headers,
    learn: LearnLoad = _ignore_load,
) -> Callable[[Member, Call], Outcome]:
    """Return a function that sends an attempt to another node.

    `keep` drops the headers that are not to travel; `learn` hears the load that a
    node tells of itself and the seconds that the way there and back took.
    """

    def forward(member: Member, call: Call) -> Outcome:
        lent = call.retry_allowance.lend()
        started = clock.now()

        def make_headers() -> Headers:
            nonlocal started
            started = clock.now()
            headers = keep(call.headers)
            headers.append((CONTEXT_HEADER, encode_context(call, lent, started)))
            return headers

        outcome = send(member.mesh_address, call, make_headers)
        if isinstance(outcome, NotRun):
            # Nothing was sent, so nothing beneath can have spent what was lent.
            call.retry_allowance.reclaim(lent, 0)
            return outcome
        if isinstance(outcome, Unknown):
            return outcome
        found = read_outcome(outcome)
        if found is None:
            return Unknown(UnknownReason.BAD_ANSWER, "answer without outcome header")
        if found.load is not None:
            learn(member, found.load, clock.now() - started - found.held)
        call.retry_allowance.reclaim(lent, found.retries_spent)
        return restore_outcome(outcome, found)

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
    base.retry_allowance = RetryAllowance(context.retry_allowance)
    base.key = context.key
    base.expires_unix_seconds = context.expires_unix_seconds
    base.soft_deadline = now + context.soft_deadline_ms / _MILLI
    base.nested = context.nested
    base.operation = context.operation
    base.is_retry = context.is_retry
    return base


def _keep_ascii(text: str) -> str:
    return "".join(c for c in text[:200] if " " <= c <= "~")
