"""Define how a call can end, so that every node knows whether a retry is safe."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from .bodies import Body, Headers

# Above every rank, so that nothing is shed.
NO_THRESHOLD: Final = 8.0


class NotRunReason(Enum):
    """Enumerate why it is certain that the backend server did not start the call."""

    SHED = "shed"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    LEAVING = "leaving"
    CONNECT_FAILED = "connect-failed"
    NOT_RECEIVED = "not-received"
    SERVER_REFUSED = "server-refused"
    RATE_LIMITED = "rate-limited"
    NO_SERVER = "no-server"
    LINK_BUDGET = "link-budget"
    UNKNOWN_SERVICE = "unknown-service"
    NO_ROUTE = "no-route"
    WRONG_NODE = "wrong-node"
    BAD_REQUEST = "bad-request"
    BAD_CONTEXT = "bad-context"
    HEADER_TOO_LARGE = "header-too-large"
    BODY_STALLED = "body-stalled"
    KEY_REQUIRED = "key-required"
    KEY_EXPIRED = "key-expired"
    KEY_REUSED = "key-reused"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    NOT_READY = "not-ready"
    QUARANTINED = "quarantined"
    OUT_OF_MEMORY = "out-of-memory"


class UnknownReason(Enum):
    """Enumerate why the backend server may have run the call."""

    RESET = "reset"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"
    UNFRAMED = "unframed"
    BAD_ANSWER = "bad-answer"
    CANCELLED = "cancelled"
    IN_PROGRESS = "in-progress"
    UNRESOLVED = "unresolved"
    ANSWER_NOT_KEPT = "answer-not-kept"


@dataclass(slots=True)
class Answered:
    """Carry a complete answer, checked against its length or framing."""

    status: int
    headers: Headers
    body: Body
    retries_spent: int = 0
    threshold: float = NO_THRESHOLD


@dataclass(slots=True)
class NotRun:
    """Report that the backend server certainly did not start the call.

    `retry_after_seconds` is the time until a resend may succeed, if that is known.
    """

    reason: NotRunReason
    detail: str = ""
    retries_spent: int = 0
    threshold: float = NO_THRESHOLD
    retry_after_seconds: float | None = None


@dataclass(slots=True)
class Unknown:
    """Report that the backend server may have run the call."""

    reason: UnknownReason
    detail: str = ""
    retries_spent: int = 0
    threshold: float = NO_THRESHOLD


Outcome = Answered | NotRun | Unknown

_NOT_RUN_STATUS: Final = {
    NotRunReason.DEADLINE: 504,
    NotRunReason.UNKNOWN_SERVICE: 404,
    NotRunReason.NO_ROUTE: 404,
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.BAD_CONTEXT: 400,
    NotRunReason.HEADER_TOO_LARGE: 431,
    NotRunReason.BODY_STALLED: 408,
    NotRunReason.KEY_REQUIRED: 428,
    NotRunReason.KEY_EXPIRED: 410,
    NotRunReason.KEY_REUSED: 422,
}
_UNKNOWN_STATUS: Final = {
    UnknownReason.TIMEOUT: 504,
    UnknownReason.IN_PROGRESS: 409,
    UnknownReason.UNRESOLVED: 409,
    UnknownReason.ANSWER_NOT_KEPT: 409,
}


def choose_http_status(outcome: NotRun | Unknown) -> int:
    """Return the HTTP status for a call that was rejected or has an unknown outcome."""
    if isinstance(outcome, NotRun):
        return _NOT_RUN_STATUS.get(outcome.reason, 503)
    return _UNKNOWN_STATUS.get(outcome.reason, 502)


@dataclass(frozen=True, slots=True)
class Completion:
    """Describe how the delivery of an outcome ended."""

    whole: bool
    seconds: float = field(default=0.0)
