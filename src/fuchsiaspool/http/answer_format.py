"""Define how listeners format answers, which differs between interfaces."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..bodies import Headers
from ..outcomes import NotRun, Unknown, choose_http_status
from .messages import keep_end_to_end_headers

IDLE_TIMEOUT_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class AnswerFormat:
    """Define how one interface filters answer headers and reports failures."""

    filter_answer_headers: Callable[[Headers], Headers]
    choose_status: Callable[[NotRun | Unknown], int]
    format_retry_after: Callable[[NotRun], bytes]
    get_idle_timeout: Callable[[], float]


DEFAULT_ANSWER_FORMAT: Final = AnswerFormat(
    keep_end_to_end_headers,
    choose_http_status,
    lambda outcome: b"1",
    lambda: IDLE_TIMEOUT_SECONDS,
)
