"""Handle the requests that arrive at the two listeners of a node on the platform."""

import itertools
import uuid
from collections.abc import Callable
from typing import Final

from .calls import Call, CallHandler
from .clock import Clock
from .controllers.contexts import CallContext, CallContexts
from .controllers.server_notices import LocalServerNotices
from .http.messages import find_header
from .http.server import Reply, Request, RequestHandler
from .http_interface import HttpInterface
from .ids import CallerId, RequestId, ServiceName, Token
from .mesh import (
    OUTCOME_HEADER,
    ContextError,
    apply_context,
    decode_context,
    encode_outcome,
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

# Upper limit of a timeout, also used when a request has none.
MAX_TIMEOUT_SECONDS: Final = 60.0
MIN_SERVER_ERROR_STATUS: Final = 500
_MILLISECONDS_PER_SECOND: Final = 1000.0
_REQUEST_ID_PREFIX: Final = uuid.uuid4().hex[:12]
_request_numbers: Final = itertools.count()

TrackCall = Callable[[Call], Callable[[], None]]


def make_outbound_handler(
    clock: Clock,
    interface: HttpInterface,
    local_service: ServiceName,
    outbound: CallHandler,
    contexts: CallContexts,
    learn_downstream_threshold: Callable[[Call, Outcome], None],
    track_call: TrackCall,
) -> RequestHandler:
    """Return the handler for requests that originate on this instance.

    A call that the local server makes becomes part of the request being served;
    `learn_downstream_threshold` gets the call being served and the outcome of the call
    made for it.
    """

    def handle(request: Request) -> Reply:
        headers = request.head.headers
        host = find_header(headers, b"host") or ""
        call = _make_call(request, clock, interface, local_service)
        call.host = host.partition(":")[0].lower()
        call.external = True
        call.deadline = clock.now() + _read_timeout(
            headers, interface.header_names.deadline
        )
        finish = _make_finish(call, track_call(call))
        context = _find_parent_context(contexts, call.attempt)
        if context is None:
            return Reply(_run_handler(call, outbound, finish), [], finish)
        call.nested = True
        call.external = False
        call.done = context.done
        call.is_retry = context.call.is_retry
        inherit_context(call, context.call)
        # The downstream server sees its direct caller, not the origin of the request.
        call.caller = CallerId(local_service)
        detach = context.call.cancellation.add(call.cancellation.cancel)
        outcome = _run_handler(call, outbound, finish)
        detach()
        context.threshold = min(context.threshold, outcome.threshold)
        context.done += (
            isinstance(outcome, Answered) and outcome.status < MIN_SERVER_ERROR_STATUS
        )
        learn_downstream_threshold(context.call, outcome)
        return Reply(outcome, [], finish)

    return handle


def make_inbound_handler(
    clock: Clock,
    interface: HttpInterface,
    local_service: ServiceName,
    inbound: CallHandler,
    track_call: TrackCall,
    find_load: Callable[[], NodeLoad],
    notices: LocalServerNotices,
) -> RequestHandler:
    """Return the handler for calls that other nodes send to the local server.

    `track_call` returns a function that it calls when a call has ended.
    """

    def handle(request: Request) -> Reply:
        started = clock.now()
        call = _make_call(request, clock, interface, local_service)
        finish = _make_finish(call, track_call(call))
        outcome = _run_handler(call, handle_call, finish)
        elapsed = clock.now() - started
        header = encode_outcome(outcome, 0, find_load(), elapsed, notices.find_notice())
        return Reply(outcome, [(OUTCOME_HEADER, header)], finish)

    def handle_call(call: Call) -> Outcome:
        try:
            context = decode_context(call.headers)
        except ContextError as error:
            return NotRun(NotRunReason.BAD_CONTEXT, str(error))
        apply_context(context, clock, call)
        if context.notice is not None:
            notices.merge(context.notice)
        if call.service == local_service:
            return inbound(call)
        return NotRun(NotRunReason.WRONG_NODE, f"this node serves {local_service!r}")

    return handle


def _find_parent_context(contexts: CallContexts, attempt: str) -> CallContext | None:
    # The attempt id of a nested call is that of its parent, a dot and a suffix. The
    # platform does not guarantee this, so the parent has to be in service here now.
    parent, dot, _ = attempt.rpartition(".")
    return contexts.find(Token(parent)) if dot else None


def choose_platform_status(outcome: NotRun | Unknown) -> int:
    """Return the HTTP status; 503 replaces 504 if the call did not run.

    A caller can then safely resend it.
    """
    status = choose_http_status(outcome)
    if isinstance(outcome, NotRun) and status == 504:
        return 503
    return status


def _make_call(
    request: Request, clock: Clock, interface: HttpInterface, local_service: ServiceName
) -> Call:
    now = clock.now()
    head = request.head
    attempt = find_header(head.headers, interface.header_names.attempt)
    call = Call(
        RequestId(attempt or f"{_REQUEST_ID_PREFIX}-{next(_request_numbers):x}"),
        CallerId(local_service),
        local_service,
        head.method,
        head.target.decode("latin-1"),
        head.headers,
        request.body,
        now,
        now + MAX_TIMEOUT_SECONDS,
        RetryAllowance(0),
        cancellation=request.cancellation,
    )
    call.attempt = attempt or ""
    return call


def _read_timeout(headers: list[tuple[bytes, bytes]], name: bytes) -> float:
    text = find_header(headers, name)
    try:
        return (
            min(MAX_TIMEOUT_SECONDS, float(text) / _MILLISECONDS_PER_SECOND)
            if text
            else MAX_TIMEOUT_SECONDS
        )
    except ValueError:
        return MAX_TIMEOUT_SECONDS


def _make_finish(call: Call, untrack: Callable[[], None]) -> Callable[[bool], None]:
    def finish(delivered: bool) -> None:
        call.finish(delivered)
        untrack()

    return finish


def _run_handler(
    call: Call, handler: CallHandler, finish: Callable[[bool], None]
) -> Outcome:
    try:
        return handler(call)
    except BaseException:
        finish(False)
        raise
