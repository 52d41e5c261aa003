"""Send admitted calls to the local backend server of a node on the platform."""

import logging
from collections.abc import Callable
from typing import Final

from .bodies import Headers
from .calls import Call, CallHandler
from .clock import Clock
from .controllers.backend_server import BackendServer, ServerReport, ServerState
from .controllers.contexts import CallContexts
from .controllers.server_notices import LocalServerNotices
from .http.client import SendCall
from .http.messages import Head, find_header
from .http_interface import HttpInterface
from .ids import Token
from .outcomes import Answered, NotRun, NotRunReason, Outcome, Unknown, UnknownReason

_LOG = logging.getLogger(__name__)
_MILLISECONDS_PER_SECOND: Final = 1000.0
_SUCCESS_STATUSES: Final = range(200, 300)
_REJECTION_STATUSES: Final = (429, 503)
_MISDIRECTED_STATUS: Final = 421
# By these a caller is told that its request did not run.
_PROMISE_STATUSES: Final = (408, 429, 503)


def make_platform_dispatch(
    clock: Clock,
    server: BackendServer,
    interface: HttpInterface,
    contexts: CallContexts,
    send: SendCall,
    notices: LocalServerNotices,
) -> CallHandler:
    """Return the handler at the end of the inbound chain."""
    names = interface.header_names

    def dispatch(call: Call) -> Outcome:
        current = server.current
        if current is None:
            return NotRun(NotRunReason.NOT_READY, "no server")
        if current.state is not ServerState.READY:
            return NotRun(NotRunReason.LEAVING, current.instance)

        def make_headers() -> Headers:
            remaining_ms = int((call.deadline - clock.now()) * _MILLISECONDS_PER_SECOND)
            headers = interface.filter_request_headers(call.headers)
            headers.append((names.deadline, b"%d" % max(0, remaining_ms)))
            headers.append((names.calling_service, call.caller.encode()))
            headers.append((names.expected_instance, current.instance.encode()))
            return headers

        token = Token(call.attempt)
        context = contexts.register(token, call)
        notices.count_request()
        sent_at = clock.now()
        try:
            outcome = send(current.address, call, make_headers)
        finally:
            contexts.close(token)
        if isinstance(outcome, Answered):
            learn_notice(outcome, current, sent_at)
            outcome = classify_answer(outcome)
        outcome.threshold = min(outcome.threshold, context.threshold)
        return outcome

    def learn_notice(answer: Answered, start: ServerReport, sent_at: float) -> None:
        if answer.status == _MISDIRECTED_STATUS:
            return
        notice = interface.read_notice(answer.headers)
        if notice.is_stated or is_by_server(answer):
            notices.observe(start, notice, sent_at)

    def is_by_server(answer: Answered) -> bool:
        # Bytes that a faulty server sends withdraw nothing.
        found = (names.signature, names.not_executed)
        return any(find_header(answer.headers, name) is not None for name in found)

    def classify_answer(answer: Answered) -> Outcome:
        if answer.status == _MISDIRECTED_STATUS:
            return NotRun(NotRunReason.WRONG_NODE, "another server has the address")
        not_executed = find_header(answer.headers, names.not_executed) is not None
        if not_executed and answer.status in _REJECTION_STATUSES:
            return NotRun(NotRunReason.SERVER_REFUSED)
        signed = find_header(answer.headers, names.signature) is not None
        if answer.status in _PROMISE_STATUSES and not signed:
            # To the caller this status would mean that the request did not run.
            return Unknown(UnknownReason.BAD_ANSWER, "refusal that is not marked")
        if answer.status in _SUCCESS_STATUSES and not signed:
            return Unknown(UnknownReason.BAD_ANSWER, "success without signature")
        return answer

    return dispatch


def make_answer_matcher(interface: HttpInterface) -> Callable[[Call, Head], bool]:
    """Return a predicate that matches an answer to its call by the echoed attempt id.

    An answer without an attempt id matches any call.
    """
    name = interface.header_names.attempt

    def matches_call(call: Call, head: Head) -> bool:
        echoed = find_header(head.headers, name)
        return echoed is None or echoed == call.attempt

    return matches_call


def make_answer_namer(interface: HttpInterface) -> Callable[[Call, Head], bool]:
    """Return a predicate for answers that echo the attempt id of their call.

    One that does not might come once more, as the answer to a later request.
    """
    name = interface.header_names.attempt

    def names_call(call: Call, head: Head) -> bool:
        return find_header(head.headers, name) is not None or not call.attempt

    return names_call
