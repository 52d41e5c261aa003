"""Send admitted calls to the local backend server."""

from typing import Final

from .addresses import Address
from .bodies import Headers
from .calls import Call, CallHandler
from .clock import Clock
from .controllers.contexts import CallContexts
from .http.client import SendCall
from .http.messages import find_header, keep_end_to_end_headers
from .outcomes import Answered, NotRun, NotRunReason, Outcome

CONTEXT_TOKEN_HEADER: Final = b"fuchsiaspool-context"
DEADLINE_HEADER: Final = b"fuchsiaspool-deadline-ms"
NOT_RUN_HEADER: Final = b"fuchsiaspool-not-run"
_MILLISECONDS_PER_SECOND: Final = 1000.0


def make_local_dispatch(
    clock: Clock, server: Address, send: SendCall, contexts: CallContexts
) -> CallHandler:
    """Return the handler at the end of the inbound chain."""

    def dispatch(call: Call) -> Outcome:
        token, context = contexts.open(call)

        def make_headers() -> Headers:
            headers = keep_end_to_end_headers(call.headers)
            remaining_ms = (call.deadline - clock.now()) * _MILLISECONDS_PER_SECOND
            headers.append((CONTEXT_TOKEN_HEADER, token.encode()))
            headers.append((DEADLINE_HEADER, b"%d" % max(0, int(remaining_ms))))
            return headers

        try:
            outcome = send(server, call, make_headers)
        finally:
            contexts.close(token)
        if isinstance(outcome, Answered):
            detail = find_header(outcome.headers, NOT_RUN_HEADER)
            if detail is not None:
                reason = NotRunReason.SERVER_REFUSED
                return NotRun(reason, detail, threshold=context.threshold)
        outcome.threshold = min(outcome.threshold, context.threshold)
        return outcome

    return dispatch
