"""Define how a listener formats answers, as it differs between interfaces."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..bodies import Headers
from ..outcomes import NotRun, Unknown, choose_status
from .messages import keep_end_to_end

IDLE_TIMEOUT_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class Speech:
    """Define how one interface filters answer headers and reports failures."""

    keep_answer: Callable[[Headers], Headers]
    choose_status: Callable[[NotRun | Unknown], int]
    format_retry_after: Callable[[NotRun], bytes]
    get_idle_seconds: Callable[[], float]


OWN_SPEECH: Final = Speech(
    keep_end_to_end, choose_status, lambda outcome: b"1", lambda: IDLE_TIMEOUT_SECONDS
)
