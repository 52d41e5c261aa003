"""Describe the headers that an interface speaks, so that one code serves several."""

from collections.abc import Callable
from dataclasses import dataclass

from .bodies import Headers
from .outcomes import NotRun


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Name the headers of requests and answers, in lower case as parsed.

    attempt: id of one sending of a request by its caller
    deadline: milliseconds that the caller, or the server, has left
    calling_service: service of the instance where the request began
    expected_instance: id of the only server that may run the request
    signature: proof that an answer is a server's own
    load: running and waiting requests and slots of a server
    not_executed: mark of an answer to a request that was not run
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
    """Hold how requests and answers are spoken towards callers and servers."""

    header_names: HeaderNames
    filter_request_headers: Callable[[Headers], Headers]
    filter_answer_headers: Callable[[Headers], Headers]
    format_retry_after: Callable[[NotRun], bytes]
