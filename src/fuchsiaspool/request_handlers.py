"""Handle the requests that arrive at the caller, mesh and egress listeners."""

import itertools
import uuid
from collections.abc import Callable
from typing import Final

from .bodies import Headers
from .calls import Call, CallHandler
from .clock import Clock
from .controllers.contexts import CallContexts
from .http.messages import find_header
from .http.server import Reply, Request, RequestHandler
from .ids import CallerId, OperationKey, RequestId, ServiceName, Token
from .local_dispatch import CONTEXT_TOKEN_HEADER
from .mesh import (
    OUTCOME_HEADER,
    ContextError,
    apply_context,
    decode_context,
    encode_outcome,
)
from .nested_calls import inherit_context
from .outcomes import Answered, NotRun, NotRunReason, Outcome
from .retry_allowance import RetryAllowance

REQUEST_ID_HEADER: Final = b"x-request-id"
CALLER_ID_HEADER: Final = b"x-caller-id"
ATTEMPT_NUMBER_HEADER: Final = b"x-request-attempt"
TIMEOUT_HEADER: Final = b"x-timeout-ms"
IDEMPOTENCY_KEY_HEADER: Final = b"idempotency-key"
# Upper limit of a timeout, also used when the caller sends none.
MAX_TIMEOUT_SECONDS: Final = 3600.0
MAX_ID_CHARACTERS: Final = 128
_MILLISECONDS_PER_SECOND: Final = 1000.0

# Request ids for callers that send none.
_REQUEST_ID_PREFIX: Final = uuid.uuid4().hex
_request_numbers: Final = itertools.count()

TrackCall = Callable[[Call], Callable[[], None]]


class BadRequestError(Exception):
    """Signal that a header of a caller is invalid."""


def make_caller_handler(
    clock: Clock,
    local_service: ServiceName,
    outbound: CallHandler,
    is_known: Callable[[ServiceName], bool],
    track_call: TrackCall,
) -> RequestHandler:
    """Return the handler for external callers, whose internal headers are dropped."""

    def handle(request: Request) -> Reply:
        service = _find_host_service(request.head.headers)
        if service is None or (_is_host_name(service) and not is_known(service)):
            # Callers often send the node's address or host name instead of a service.
            service = local_service
        call = _make_call(request, clock, service, CallerId(request.peer_ip))
        try:
            _apply_caller_headers(call, clock)
        except BadRequestError as error:
            return _make_caller_reply(
                NotRun(NotRunReason.BAD_REQUEST, str(error)), call
            )
        call.external = True
        return _run_tracked(call, outbound, track_call)

    return handle


def make_mesh_handler(
    clock: Clock,
    local_service: ServiceName,
    inbound: CallHandler,
    track_call: TrackCall,
) -> RequestHandler:
    """Return the handler for calls of other nodes, which carry a context header."""

    def handle(request: Request) -> Reply:
        call = _make_call(request, clock, local_service, CallerId(""))
        try:
            context = decode_context(request.head.headers)
        except ContextError as error:
            return _make_mesh_reply(NotRun(NotRunReason.BAD_CONTEXT, str(error)), call)
        call = apply_context(context, clock, call)
        if call.service != local_service:
            detail = f"this node serves {local_service!r}"
            return _make_mesh_reply(NotRun(NotRunReason.UNKNOWN_SERVICE, detail), call)
        untrack = track_call(call)
        call.completion_callbacks.append(lambda delivered: untrack())
        return _make_mesh_reply(_run_handler(call, inbound), call)

    return handle


def make_egress_handler(
    clock: Clock,
    outbound: CallHandler,
    contexts: CallContexts,
    track_call: TrackCall,
    local_service: ServiceName,
) -> RequestHandler:
    """Return the handler for the calls that the local server makes."""

    def handle(request: Request) -> Reply:
        headers = request.head.headers
        service = _find_host_service(headers)
        caller = CallerId(f"service:{local_service}")
        call = _make_call(request, clock, service or ServiceName(""), caller)
        token = find_header(headers, CONTEXT_TOKEN_HEADER)
        context = contexts.find(Token(token)) if token else None
        if context is None:
            return _run_tracked(call, outbound, track_call)
        parent = context.call
        lent_retries = inherit_context(call, parent)
        detach = parent.cancellation.add(call.cancellation.cancel)
        reply = _run_tracked(call, outbound, track_call)
        detach()
        parent.retry_allowance.reclaim(lent_retries, call.retry_allowance.spent)
        context.threshold = min(context.threshold, reply.outcome.threshold)
        return reply

    return handle


def _make_call(
    request: Request, clock: Clock, service: ServiceName, caller: CallerId
) -> Call:
    now = clock.now()
    head = request.head
    key = find_header(head.headers, IDEMPOTENCY_KEY_HEADER)
    return Call(
        RequestId(find_header(head.headers, REQUEST_ID_HEADER) or _make_request_id()),
        caller,
        service,
        head.method,
        head.target.decode("latin-1"),
        head.headers,
        request.body,
        now,
        now + MAX_TIMEOUT_SECONDS,
        RetryAllowance(0),
        key=OperationKey(key) if key else None,
        cancellation=request.cancellation,
    )


def _make_request_id() -> str:
    return f"{_REQUEST_ID_PREFIX}-{next(_request_numbers):x}"


def _apply_caller_headers(call: Call, clock: Clock) -> None:
    caller = find_header(call.headers, CALLER_ID_HEADER)
    if caller is not None:
        call.caller = CallerId(caller)
    if len(call.caller) > MAX_ID_CHARACTERS or len(call.request) > MAX_ID_CHARACTERS:
        raise BadRequestError(
            f"caller or request id over {MAX_ID_CHARACTERS} characters"
        )
    attempt = _parse_positive_header(call.headers, ATTEMPT_NUMBER_HEADER)
    call.resend = attempt is not None and attempt > 1
    timeout = _parse_positive_header(call.headers, TIMEOUT_HEADER)
    if timeout is not None:
        call.deadline = clock.now() + min(
            timeout / _MILLISECONDS_PER_SECOND, MAX_TIMEOUT_SECONDS
        )


def _parse_positive_header(headers: Headers, name: bytes) -> int | None:
    text = find_header(headers, name)
    if text is None:
        return None
    try:
        number = int(text)
    except ValueError as error:
        detail = f"{name.decode()}: expected a whole number, got {text!r}"
        raise BadRequestError(detail) from error
    if number < 1:
        raise BadRequestError(f"{name.decode()}: expected at least 1, got {number}")
    return number


def _find_host_service(headers: Headers) -> ServiceName | None:
    host = find_header(headers, b"host")
    return ServiceName(host.partition(":")[0]) if host else None


def _is_host_name(name: ServiceName) -> bool:
    return name == "localhost" or "." in name or "[" in name


def _run_tracked(call: Call, handler: CallHandler, track_call: TrackCall) -> Reply:
    untrack = track_call(call)
    call.completion_callbacks.append(lambda delivered: untrack())
    return _make_caller_reply(_run_handler(call, handler), call)


def _run_handler(call: Call, handler: CallHandler) -> Outcome:
    try:
        return handler(call)
    except BaseException:
        call.finish(False)
        raise


def _make_caller_reply(outcome: Outcome, call: Call) -> Reply:
    tag = b"answered"
    if not isinstance(outcome, Answered):
        tag = b"not-run" if isinstance(outcome, NotRun) else b"unknown"
    headers = [
        (OUTCOME_HEADER, tag),
        (REQUEST_ID_HEADER, call.request.encode("latin-1")),
    ]
    return Reply(outcome, headers, call.finish)


def _make_mesh_reply(outcome: Outcome, call: Call) -> Reply:
    header = encode_outcome(outcome, call.retry_allowance.spent)
    return Reply(outcome, [(OUTCOME_HEADER, header)], call.finish)
