"""Define the HTTP interface to the platform's callers and servers."""

import math
from typing import Final

from ..bodies import Headers
from ..http.messages import drop_hop_by_hop_headers
from ..http_interface import HeaderNames, HttpInterface
from ..mesh import CONTEXT_HEADER, OUTCOME_HEADER
from ..outcomes import NotRun
from ..server_notices import AnswerNotice
from .wire import (
    ATTEMPT_ID_HEADER,
    CALLING_SERVICE_HEADER,
    DEADLINE_HEADER,
    EXPECTED_INSTANCE_HEADER,
    INSTANCE_ID_HEADER,
    LEAVING_HEADER,
    LEAVING_VALUE,
    LIMIT_HEADER,
    LOAD_HEADER,
    NOT_EXECUTED_HEADER,
    SIGNATURE_HEADER,
)

# Sent to a rejected caller if the outcome states no time to retry after.
DEFAULT_RETRY_AFTER_SECONDS: Final = 0.3
# Replaced at each hop; the values that a caller sent are dropped.
_REQUEST_HEADERS_SET_BY_NODES: Final = frozenset(
    (CONTEXT_HEADER, DEADLINE_HEADER, EXPECTED_INSTANCE_HEADER, CALLING_SERVICE_HEADER)
)

_EMPTY_NOTICE: Final = AnswerNotice()
_ANSWER_HEADERS_BETWEEN_NODES: Final = frozenset((OUTCOME_HEADER,))


def _filter_request_headers(headers: Headers) -> Headers:
    return drop_hop_by_hop_headers(headers, _REQUEST_HEADERS_SET_BY_NODES)


def _filter_answer_headers(headers: Headers) -> Headers:
    return drop_hop_by_hop_headers(headers, _ANSWER_HEADERS_BETWEEN_NODES)


def _format_retry_after(outcome: NotRun) -> bytes:
    seconds = outcome.retry_after_seconds
    if seconds is None:
        seconds = DEFAULT_RETRY_AFTER_SECONDS
    return b"%.3f" % seconds


def _read_notice(headers: Headers) -> AnswerNotice:
    limit: float | None = None
    unreadable = ""
    leaving = False
    for name, value in headers:
        if name == LIMIT_HEADER:
            limit = _parse_limit(value)
            if limit is None:
                unreadable = value.decode("latin-1") or "empty"
        elif name == LEAVING_HEADER:
            leaving = value == LEAVING_VALUE
    if limit is None and not leaving and not unreadable:
        return _EMPTY_NOTICE
    return AnswerNotice(limit, leaving, unreadable)


def _parse_limit(value: bytes) -> float | None:
    try:
        limit = float(value)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0.0 else None


PLATFORM_INTERFACE: Final = HttpInterface(
    HeaderNames(
        attempt=ATTEMPT_ID_HEADER,
        deadline=DEADLINE_HEADER,
        calling_service=CALLING_SERVICE_HEADER,
        expected_instance=EXPECTED_INSTANCE_HEADER,
        signature=SIGNATURE_HEADER,
        load=LOAD_HEADER,
        not_executed=NOT_EXECUTED_HEADER,
        instance=INSTANCE_ID_HEADER,
    ),
    _filter_request_headers,
    _filter_answer_headers,
    _format_retry_after,
    _read_notice,
)
