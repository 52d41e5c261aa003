"""Turn requests into calls at the three places where they come in."""

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
    decode_context,
    encode_outcome,
    open_call,
)
from .nested_calls import inherit_context
from .outcomes import Answered, NotRun, NotRunReason, Outcome
from .retry_allowance import RetryAllowance

REQUEST_HEADER: Final = b"x-request-id"
CALLER_HEADER: Final = b"x-caller-id"
ATTEMPT_HEADER: Final = b"x-request-attempt"
TIMEOUT_HEADER: Final = b"x-timeout-ms"
KEY_HEADER: Final = b"idempotency-key"
LONGEST_SECONDS: Final = 3600.0
ID_LENGTH: Final = 128
_MILLI: Final = 1000.0

# Names the requests of callers that name none.
_PREFIX: Final = uuid.uuid4().hex
_numbers: Final = itertools.count()

Track = Callable[[Call], Callable[[], None]]


class BadRequestError(Exception):
    """Tell that a caller's header can't be used."""


def make_caller_entrance(
    clock: Clock,
    own: ServiceName,
    outbound: CallHandler,
    is_known: Callable[[ServiceName], bool],
    track: Track,
) -> RequestHandler:
    """Return the handler for callers outside, whose internal headers are dropped."""

    def handle(request: Request) -> Reply:
        service = _find_service(request.head.headers)
        if service is None or (_is_host(service) and not is_known(service)):
            # Callers name a node by address or host as often as a service.
            service = own
        call = _make_call(request, clock, service, CallerId(request.peer_ip))
        try:
            _read_caller(call, clock)
        except BadRequestError as error:
            return _reply(NotRun(NotRunReason.BAD_REQUEST, str(error)), call)
        call.external = True
        return _run(call, outbound, track)

    return handle


def make_mesh_entrance(
    clock: Clock, own: ServiceName, inbound: CallHandler, track: Track
) -> RequestHandler:
    """Return the handler for other nodes, which send a context with each call."""

    def handle(request: Request) -> Reply:
        call = _make_call(request, clock, own, CallerId(""))
        try:
            context = decode_context(request.head.headers)
        except ContextError as error:
            return _reply_mesh(NotRun(NotRunReason.BAD_CONTEXT, str(error)), call)
        call = open_call(context, clock, call)
        if call.service != own:
            detail = f"this node serves {own!r}"
            return _reply_mesh(NotRun(NotRunReason.UNKNOWN_SERVICE, detail), call)
        done = track(call)
        call.completion_callbacks.append(lambda whole: done())
        return _reply_mesh(_guard(call, inbound), call)

    return handle


def make_server_entrance(
    clock: Clock,
    outbound: CallHandler,
    contexts: CallContexts,
    track: Track,
    own: ServiceName,
) -> RequestHandler:
    """Return the handler for the calls of the node's own backend server."""

    def handle(request: Request) -> Reply:
        headers = request.head.headers
        service = _find_service(headers)
        caller = CallerId(f"service:{own}")
        call = _make_call(request, clock, service or ServiceName(""), caller)
        token = find_header(headers, CONTEXT_TOKEN_HEADER)
        context = contexts.find(Token(token)) if token else None
        if context is None:
            return _run(call, outbound, track)
        parent = context.call
        lent = inherit_context(call, parent)
        forget = parent.cancellation.add(call.cancellation.cancel)
        reply = _run(call, outbound, track)
        forget()
        parent.retry_allowance.reclaim(lent, call.retry_allowance.spent)
        context.threshold = min(context.threshold, reply.outcome.threshold)
        return reply

    return handle


def _make_call(
    request: Request, clock: Clock, service: ServiceName, caller: CallerId
) -> Call:
    now = clock.now()
    head = request.head
    key = find_header(head.headers, KEY_HEADER)
    return Call(
        RequestId(find_header(head.headers, REQUEST_HEADER) or _name_request()),
        caller,
        service,
        head.method,
        head.target.decode("latin-1"),
        head.headers,
        request.body,
        now,
        now + LONGEST_SECONDS,
        RetryAllowance(0),
        key=OperationKey(key) if key else None,
        cancellation=request.cancellation,
    )


def _name_request() -> str:
    return f"{_PREFIX}-{next(_numbers):x}"


def _read_caller(call: Call, clock: Clock) -> None:
    caller = find_header(call.headers, CALLER_HEADER)
    if caller is not None:
        call.caller = CallerId(caller)
    if len(call.caller) > ID_LENGTH or len(call.request) > ID_LENGTH:
        raise BadRequestError(f"caller or request id over {ID_LENGTH} characters")
    attempt = _read_number(call.headers, ATTEMPT_HEADER)
    call.resend = attempt is not None and attempt > 1
    timeout = _read_number(call.headers, TIMEOUT_HEADER)
    if timeout is not None:
        call.deadline = clock.now() + min(timeout / _MILLI, LONGEST_SECONDS)


def _read_number(headers: Headers, name: bytes) -> int | None:
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


def _find_service(headers: Headers) -> ServiceName | None:
    host = find_header(headers, b"host")
    return ServiceName(host.partition(":")[0]) if host else None


def _is_host(name: ServiceName) -> bool:
    return name == "localhost" or "." in name or "[" in name


def _run(call: Call, step: CallHandler, track: Track) -> Reply:
    done = track(call)
    call.completion_callbacks.append(lambda whole: done())
    return _reply(_guard(call, step), call)


def _guard(call: Call, step: CallHandler) -> Outcome:
    try:
        return step(call)
    except BaseException:
        call.finish(False)
        raise


def _reply(outcome: Outcome, call: Call) -> Reply:
    tag = b"answered"
    if not isinstance(outcome, Answered):
        tag = b"not-run" if isinstance(outcome, NotRun) else b"unknown"
    headers = [(OUTCOME_HEADER, tag), (REQUEST_HEADER, call.request.encode("latin-1"))]
    return Reply(outcome, headers, call.finish)


def _reply_mesh(outcome: Outcome, call: Call) -> Reply:
    header = encode_outcome(outcome, call.retry_allowance.spent)
    return Reply(outcome, [(OUTCOME_HEADER, header)], call.finish)
