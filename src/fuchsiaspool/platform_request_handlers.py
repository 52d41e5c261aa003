"""Turn requests on the platform into calls, and outcomes into answers."""

import itertools
import uuid
from collections.abc import Callable
from typing import Final

from .calls import Call, CallHandler
from .clock import Clock
from .controllers.contexts import CallContext, CallContexts
from .http.messages import find_header
from .http.server import Reply, Request, RequestHandler
from .http_interface import HttpInterface
from .ids import CallerId, RequestId, ServiceName, Token
from .mesh import (
    OUTCOME_HEADER,
    ContextError,
    decode_context,
    encode_outcome,
    open_call,
)
from .nested_calls import inherit_context
from .node_load import NodeLoad
from .outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    choose_http_status,
)
from .retry_allowance import RetryAllowance

# Longest wait of a caller that names none.
LONGEST_SECONDS: Final = 60.0
SERVER_ERROR: Final = 500
_MILLI: Final = 1000.0
_PREFIX: Final = uuid.uuid4().hex[:12]
_numbers: Final = itertools.count()

Track = Callable[[Call], Callable[[], None]]


def make_outbound_entrance(
    clock: Clock,
    interface: HttpInterface,
    own: ServiceName,
    outbound: CallHandler,
    contexts: CallContexts,
    learn_beneath: Callable[[Call, Outcome], None],
    track: Track,
) -> RequestHandler:
    """Return the handler for requests that begin on this instance.

    Calls that the own server makes are taken for part of the request it serves;
    `learn_beneath` hears how they end, with the call they were made for.
    """

    def handle(request: Request) -> Reply:
        headers = request.head.headers
        host = find_header(headers, b"host") or ""
        call = _make_call(request, clock, interface, own)
        call.host = host.partition(":")[0].lower()
        call.external = True
        call.deadline = clock.now() + _read_seconds(
            headers, interface.header_names.deadline
        )
        finish = _make_finish(call, track(call))
        context = _find_parent(contexts, call.attempt)
        if context is None:
            return Reply(_guard(call, outbound, finish), [], finish)
        call.nested = True
        call.external = False
        call.done = context.done
        call.is_retry = context.call.is_retry
        inherit_context(call, context.call)
        # The server is told who calls it, not who began the request.
        call.caller = CallerId(own)
        forget = context.call.cancellation.add(call.cancellation.cancel)
        outcome = _guard(call, outbound, finish)
        forget()
        context.threshold = min(context.threshold, outcome.threshold)
        context.done += isinstance(outcome, Answered) and outcome.status < SERVER_ERROR
        learn_beneath(context.call, outcome)
        return Reply(outcome, [], finish)

    return handle


def make_inbound_entrance(
    clock: Clock,
    interface: HttpInterface,
    own: ServiceName,
    inbound: CallHandler,
    track: Track,
    find_load: Callable[[], NodeLoad],
) -> RequestHandler:
    """Return the handler for calls that other nodes send to this one's server."""

    def handle(request: Request) -> Reply:
        arrived = clock.now()
        call = _make_call(request, clock, interface, own)
        finish = _make_finish(call, track(call))
        outcome = _guard(call, serve, finish)
        held = clock.now() - arrived
        header = encode_outcome(outcome, 0, find_load(), held)
        return Reply(outcome, [(OUTCOME_HEADER, header)], finish)

    def serve(call: Call) -> Outcome:
        try:
            context = decode_context(call.headers)
        except ContextError as error:
            return NotRun(NotRunReason.BAD_CONTEXT, str(error))
        open_call(context, clock, call)
        if call.service == own:
            return inbound(call)
        return NotRun(NotRunReason.WRONG_NODE, f"this node serves {own!r}")

    return handle


def _find_parent(contexts: CallContexts, attempt: str) -> CallContext | None:
    # Ids of calls extend the id of the request they are made for. Nobody promises
    # that, so it counts only if that request is being served here at this moment.
    parent, dot, _ = attempt.rpartition(".")
    return contexts.find(Token(parent)) if dot else None


def choose_platform_status(outcome: NotRun | Unknown) -> int:
    """Return 503 wherever nothing was run, so that a caller may safely come back."""
    status = choose_http_status(outcome)
    if isinstance(outcome, NotRun) and status == 504:
        return 503
    return status


def _make_call(
    request: Request, clock: Clock, interface: HttpInterface, own: ServiceName
) -> Call:
    now = clock.now()
    head = request.head
    attempt = find_header(head.headers, interface.header_names.attempt)
    call = Call(
        RequestId(attempt or f"{_PREFIX}-{next(_numbers):x}"),
        CallerId(own),
        own,
        head.method,
        head.target.decode("latin-1"),
        head.headers,
        request.body,
        now,
        now + LONGEST_SECONDS,
        RetryAllowance(0),
        cancellation=request.cancellation,
    )
    call.attempt = attempt or ""
    return call


def _read_seconds(headers: list[tuple[bytes, bytes]], name: bytes) -> float:
    text = find_header(headers, name)
    try:
        return min(LONGEST_SECONDS, float(text) / _MILLI) if text else LONGEST_SECONDS
    except ValueError:
        return LONGEST_SECONDS


def _make_finish(call: Call, done: Callable[[], None]) -> Callable[[bool], None]:
    def finish(whole: bool) -> None:
        call.finish(whole)
        done()

    return finish


def _guard(call: Call, step: CallHandler, finish: Callable[[bool], None]) -> Outcome:
    try:
        return step(call)
    except BaseException:
        finish(False)
        raise
