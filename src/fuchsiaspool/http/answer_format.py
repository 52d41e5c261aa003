"""Describe how a listener words its answers, so that one server serves several."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..bodies import Headers
from ..outcomes import NotRun, Unknown, choose_http_status
from .messages import keep_end_to_end_headers

IDLE_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class AnswerFormat:
    """Hold the ways of wording that differ between interfaces."""

    filter_answer_headers: Callable[[Headers], Headers]
    choose_status: Callable[[NotRun | Unknown], int]
    format_retry_after: Callable[[NotRun], bytes]
    get_idle_timeout: Callable[[], float]


DEFAULT_ANSWER_FORMAT: Final = AnswerFormat(
    keep_end_to_end_headers,
    choose_http_status,
    lambda outcome: b"1",
    lambda: IDLE_SECONDS,
)
