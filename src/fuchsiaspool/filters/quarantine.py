"""Refuse requests that crash servers, and report how the others end."""

from collections.abc import Callable
from typing import Final

from ..calls import Call, CallHandler, Filter
from ..controllers.crash_detector import CrashDetector
from ..controllers.quarantine import Quarantine
from ..fingerprints import compute_fingerprint
from ..ids import Fingerprint
from ..outcomes import Answered, NotRun, NotRunReason, Outcome

MIN_SERVER_ERROR_STATUS: Final = 500
# A block may be lifted at any time by a success elsewhere, and refusing costs little.
MAX_RETRY_AFTER_SECONDS: Final = 2.0


def make_quarantine_filter(
    quarantine: Quarantine,
    detector: CrashDetector,
    report_success: Callable[[Fingerprint], None],
) -> Filter:
    """Return a filter that is to stand directly before the server."""

    def check_call(call: Call, call_next: CallHandler) -> Outcome:
        request = compute_fingerprint(call)
        block = quarantine.find_block(request)
        if block is not None:
            return NotRun(
                NotRunReason.QUARANTINED,
                f"it was running in {block.crashes} servers as they crashed",
                retry_after_seconds=min(block.seconds, MAX_RETRY_AFTER_SECONDS),
            )
        attempt = detector.begin(call, request)
        outcome: Outcome | None = None
        try:
            outcome = call_next(call)
        finally:
            detector.end(attempt, outcome)
        if _is_success(outcome):
            report_success(request)
        return outcome

    return check_call


def _is_success(outcome: Outcome) -> bool:
    # A server may give up a request at its deadline before it has begun to run it.
    return (
        isinstance(outcome, Answered)
        and outcome.body.fully_buffered
        and outcome.status < MIN_SERVER_ERROR_STATUS
    )
