"""Describe how a listener words its answers, so that one server serves several."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..bodies import Headers
from ..outcomes import NotRun, Unknown, choose_status
from .messages import keep_end_to_end

IDLE_TIMEOUT_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class Speech:
    """Hold the ways of wording that differ between interfaces."""

    keep_answer: Callable[[Headers], Headers]
    choose_status: Callable[[NotRun | Unknown], int]
    format_retry_after: Callable[[NotRun], bytes]
    get_idle_seconds: Callable[[], float]


OWN_SPEECH: Final = Speech(
    keep_end_to_end, choose_status, lambda outcome: b"1", lambda: IDLE_TIMEOUT_SECONDS
)
