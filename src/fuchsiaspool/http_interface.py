"""Describe HTTP interfaces, which differ in the names and rules of their headers."""

from collections.abc import Callable
from dataclasses import dataclass

from .bodies import Headers
from .outcomes import NotRun
from .server_notices import AnswerNotice


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Name the headers of requests and answers, in lower case as parsed.

    attempt: id of one attempt by the caller to send a request
    deadline: milliseconds left to the caller, or to the server
    calling_service: service of the instance where the request originates
    expected_instance: id of the only server that may run the request
    signature: proof that the answer comes from the server itself
    load: running requests, waiting requests and slots of the server
    not_executed: marks the answer to a request that was not run
    instance: id of the server that answers
    """

    attempt: bytes
    deadline: bytes
    calling_service: bytes
    expected_instance: bytes
    signature: bytes
    load: bytes
    not_executed: bytes
    instance: bytes


@dataclass(frozen=True, slots=True)
class HttpInterface:
    """Describe the header names and rules towards callers and servers.

    `read_notice` returns what an answer states about its server.
    """

    header_names: HeaderNames
    filter_request_headers: Callable[[Headers], Headers]
    filter_answer_headers: Callable[[Headers], Headers]
    format_retry_after: Callable[[NotRun], bytes]
    read_notice: Callable[[Headers], AnswerNotice]
