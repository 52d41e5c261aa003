"""Encode the context and the outcome of calls in headers between nodes."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from .bodies import Headers
from .calls import Call
from .clock import Clock
from .decoding import DecodingError, make_json_decoder
from .http.client import SendCall
from .http.messages import find_header, keep_end_to_end_headers
from .ids import (
    CallerId,
    NodeId,
    OperationKey,
    OperationName,
    RequestId,
    ServiceName,
)
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
from .server_notices import ServerNotice

CONTEXT_HEADER: Final = b"fuchsiaspool-mesh"
OUTCOME_HEADER: Final = b"fuchsiaspool-outcome"
ANSWERED_TAG: Final = "answered"
_MILLISECONDS_PER_SECOND: Final = 1000.0


class ContextError(Exception):
    """Signal that the context header is missing or malformed."""


class MeshContext(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Describe a call to the receiving node; `deadline_ms` is the remaining time.

    `notice` is what the caller's node knows of the receiving node's server.
    """

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
    has_alternative: bool = False
    notice: ServerNotice | None = None


class MeshOutcome(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Describe an outcome to the calling node; `held` is the seconds spent here.

    `notice` is what the server beside the answering node states.
    """

    tag: str
    retries_spent: int = 0
    threshold: float = NO_THRESHOLD
    not_run: NotRunReason | None = None
    unknown: UnknownReason | None = None
    detail: str = ""
    retry_after_seconds: float | None = None
    load: NodeLoad | None = None
    held: float = 0.0
    notice: ServerNotice | None = None


_decode_context: Final = make_json_decoder(MeshContext)
_decode_outcome: Final = make_json_decoder(MeshOutcome)
_encode_json: Final = msgspec.json.Encoder().encode


def encode_context(
    call: Call, lent_retries: int, now: float, notice: ServerNotice | None = None
) -> bytes:
    """Encode the context header of an attempt; it may spend `lent_retries`."""
    return _encode_json(
        MeshContext(
            call.request,
            call.caller,
            call.service,
            call.rank,
            call.critical,
            (call.deadline - now) * _MILLISECONDS_PER_SECOND,
            lent_retries,
            call.key,
            call.expires_unix_seconds,
            max(0.0, (call.soft_deadline - now) * _MILLISECONDS_PER_SECOND),
            call.nested,
            call.operation,
            call.is_retry,
            call.has_alternative,
            notice,
        )
    )


def decode_context(headers: Headers) -> MeshContext:
    """Decode the context header of an attempt; raise `ContextError`."""
    text = find_header(headers, CONTEXT_HEADER)
    if text is None:
        raise ContextError("no context header")
    try:
        context = _decode_context(text)
    except DecodingError as error:
        raise ContextError(str(error)) from error
    if not 0.0 <= context.rank < NO_THRESHOLD or context.retry_allowance < 0:
        raise ContextError("rank or allowance out of bounds")
    return context


def encode_outcome(
    outcome: Outcome,
    retries_spent: int,
    load: NodeLoad | None = None,
    elapsed: float = 0.0,
    notice: ServerNotice | None = None,
) -> bytes:
    """Encode the outcome header of an answer; `elapsed` is in seconds."""
    threshold = outcome.threshold
    match outcome:
        case Answered():
            encoded = MeshOutcome(
                ANSWERED_TAG,
                retries_spent,
                threshold,
                load=load,
                held=elapsed,
                notice=notice,
            )
        case NotRun():
            encoded = MeshOutcome(
                "not-run",
                retries_spent,
                threshold,
                not_run=outcome.reason,
                detail=_to_printable_ascii(outcome.detail),
                retry_after_seconds=outcome.retry_after_seconds,
                load=load,
                held=elapsed,
                notice=notice,
            )
        case Unknown():
            encoded = MeshOutcome(
                "unknown",
                retries_spent,
                threshold,
                unknown=outcome.reason,
                detail=_to_printable_ascii(outcome.detail),
                load=load,
                held=elapsed,
                notice=notice,
            )
    return _encode_json(encoded)


def decode_outcome(answer: Answered) -> MeshOutcome | None:
    """Decode the outcome header of a node's answer; `None` if missing or malformed."""
    text = find_header(answer.headers, OUTCOME_HEADER)
    if text is None:
        return None
    try:
        return _decode_outcome(text)
    except DecodingError:
        return None


def restore_outcome(answer: Answered, reported: MeshOutcome) -> Outcome:
    """Convert a node's answer into the outcome that its header describes."""
    if reported.not_run is not None:
        return NotRun(
            reported.not_run,
            reported.detail,
            threshold=reported.threshold,
            retry_after_seconds=reported.retry_after_seconds,
        )
    if reported.unknown is not None:
        return Unknown(reported.unknown, reported.detail, threshold=reported.threshold)
    answer.threshold = reported.threshold
    return answer


LearnLoad = Callable[[Member, NodeLoad, float], None]


@dataclass(frozen=True, slots=True)
class NoticeExchange:
    """Find what is known of a node's server, and learn what the node reports."""

    find: Callable[[NodeId], ServerNotice | None]
    learn: Callable[[NodeId, ServerNotice | None], None]


def _discard_load(member: Member, load: NodeLoad, round_trip: float) -> None:
    """Discard the reported load."""


_NO_NOTICES: Final = NoticeExchange(lambda node: None, lambda node, notice: None)


def make_peer_sender(
    clock: Clock,
    send: SendCall,
    filter_headers: Callable[[Headers], Headers] = keep_end_to_end_headers,
    learn_load: LearnLoad = _discard_load,
    notices: NoticeExchange = _NO_NOTICES,
) -> Callable[[Member, Call], Outcome]:
    """Return a function that sends an attempt to another node.

    `filter_headers` drops the headers that are not forwarded; `learn_load` gets the
    load that the node reports about itself and the round trip in seconds.
    """

    def send_to_peer(member: Member, call: Call) -> Outcome:
        lent_retries = call.retry_allowance.lend()
        started = clock.now()

        def make_headers() -> Headers:
            nonlocal started
            started = clock.now()
            headers = filter_headers(call.headers)
            notice = notices.find(member.node)
            context = encode_context(call, lent_retries, started, notice)
            headers.append((CONTEXT_HEADER, context))
            return headers

        outcome = send(member.mesh_address, call, make_headers)
        if isinstance(outcome, NotRun):
            # Nothing was sent, so no downstream node has spent the lent retries.
            call.retry_allowance.reclaim(lent_retries, 0)
            return outcome
        if isinstance(outcome, Unknown):
            return outcome
        reported = decode_outcome(outcome)
        if reported is None:
            return Unknown(UnknownReason.BAD_ANSWER, "answer without outcome header")
        # Without an answer of the server, a node that restarts may know nothing yet.
        if reported.notice is not None or reported.tag == ANSWERED_TAG:
            notices.learn(member.node, reported.notice)
        if reported.load is not None:
            learn_load(member, reported.load, clock.now() - started - reported.held)
        call.retry_allowance.reclaim(lent_retries, reported.retries_spent)
        return restore_outcome(outcome, reported)

    return send_to_peer


def apply_context(context: MeshContext, clock: Clock, call: Call) -> Call:
    """Copy the received context into a call; return the call."""
    now = clock.now()
    call.request = context.request
    call.caller = context.caller
    call.service = context.service
    call.rank = context.rank
    call.critical = context.critical
    call.classified = True
    call.start = now
    call.deadline = now + context.deadline_ms / _MILLISECONDS_PER_SECOND
    call.retry_allowance = RetryAllowance(context.retry_allowance)
    call.key = context.key
    call.expires_unix_seconds = context.expires_unix_seconds
    call.soft_deadline = now + context.soft_deadline_ms / _MILLISECONDS_PER_SECOND
    call.nested = context.nested
    call.operation = context.operation
    call.is_retry = context.is_retry
    call.has_alternative = context.has_alternative
    return call


def _to_printable_ascii(text: str) -> str:
    return "".join(c for c in text[:200] if " " <= c <= "~")
