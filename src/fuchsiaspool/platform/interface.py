"""Describe how the platform's callers and servers speak."""

from typing import Final

from ..bodies import Headers
from ..http.messages import drop_hop_headers
from ..http_interface import HeaderNames, HttpInterface
from ..mesh import CONTEXT_HEADER, OUTCOME_HEADER
from ..outcomes import NotRun
from .wire import (
    ATTEMPT_ID_HEADER,
    CALLING_SERVICE_HEADER,
    DEADLINE_HEADER,
    EXPECTED_HEADER,
    INSTANCE_HEADER,
    LOAD_HEADER,
    NOT_EXECUTED_HEADER,
    SIGNATURE_HEADER,
)

# Seconds after which a caller may come back where nothing better is known.
RETRY_AFTER_SECONDS: Final = 0.3
# Set anew at each hop, whatever a caller sent.
_SET_BY_NODES: Final = frozenset(
    (CONTEXT_HEADER, DEADLINE_HEADER, EXPECTED_HEADER, CALLING_SERVICE_HEADER)
)

_KEPT_BETWEEN_NODES: Final = frozenset((OUTCOME_HEADER,))


def _keep_request(headers: Headers) -> Headers:
    return drop_hop_headers(headers, _SET_BY_NODES)


def _keep_answer(headers: Headers) -> Headers:
    return drop_hop_headers(headers, _KEPT_BETWEEN_NODES)


def _format_retry_after(outcome: NotRun) -> bytes:
    seconds = outcome.retry_after_seconds
    if seconds is None:
        seconds = RETRY_AFTER_SECONDS
    return b"%.3f" % seconds


PLATFORM_INTERFACE: Final = HttpInterface(
    HeaderNames(
        attempt=ATTEMPT_ID_HEADER,
        deadline=DEADLINE_HEADER,
        calling_service=CALLING_SERVICE_HEADER,
        expected_instance=EXPECTED_HEADER,
        signature=SIGNATURE_HEADER,
        load=LOAD_HEADER,
        not_executed=NOT_EXECUTED_HEADER,
        instance=INSTANCE_HEADER,
    ),
    _keep_request,
    _keep_answer,
    _format_retry_after,
)
