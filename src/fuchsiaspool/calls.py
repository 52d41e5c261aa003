"""Describe one call as it passes through the filter chain."""

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Final

from .bodies import Body, Headers
from .ids import (
    CallerId,
    ClassName,
    OperationKey,
    OperationName,
    RequestId,
    ServiceName,
)
from .outcomes import Outcome
from .retry_allowance import RetryAllowance

_HASH_RANGE: Final = float(1 << 32)


class Cancellation:
    """Notify the tasks that work on a call that its caller no longer waits for it."""

    __slots__ = ("cancelled", "_actions")

    def __init__(self) -> None:
        self.cancelled = False
        self._actions: dict[int, Callable[[], None]] = {}

    def add(self, action: Callable[[], None]) -> Callable[[], None]:
        """Run a non-blocking action on cancellation; return a function to remove it."""
        if self.cancelled:
            action()
            return lambda: None
        key = id(action)
        self._actions[key] = action
        return lambda: self._remove(key)

    def cancel(self) -> None:
        """Run every registered action once."""
        if self.cancelled:
            return
        self.cancelled = True
        for action in list(self._actions.values()):
            action()
        self._actions.clear()

    def _remove(self, key: int) -> None:
        self._actions.pop(key, None)


@dataclass(slots=True)
class Call:
    """Carry what filters need to decide about a call.

    `request` identifies the caller's request, `attempt` one sending of it or of a
    nested call made for it; `nested` marks a nested call.
    `is_retry` marks a call that was sent to a server before, or whose parent was.
    `external` marks a request that a caller sent, not a nested call; `resend` marks a
    request that the caller sent again, and `classified` a call whose rank is set.
    `done` counts the calls that succeeded for the same request before this one.
    `soft_deadline` is the time until which an answer is worth most; `max_attempts`
    bounds the servers that the call may be sent to; `has_alternative` means that a
    server that names no limit could take the call instead; `trail` lists the nodes that
    it was sent to and the outcomes. Times are in monotonic seconds, except
    `expires_unix_seconds`, which is in seconds since the Unix epoch.
    """

    request: RequestId
    caller: CallerId
    service: ServiceName
    method: str
    target: str
    headers: Headers
    body: Body
    start: float
    deadline: float
    retry_allowance: RetryAllowance
    rank: float = 0.0
    operation: OperationName = OperationName("")
    call_class: ClassName = ClassName("")
    critical: bool = False
    idempotent: bool = False
    protected: bool = False
    key: OperationKey | None = None
    external: bool = False
    resend: bool = False
    classified: bool = False
    expires_unix_seconds: float | None = None
    children: int = 0
    host: str = ""
    attempt: str = ""
    nested: bool = False
    done: int = 0
    is_retry: bool = False
    soft_deadline: float = 0.0
    max_attempts: int = 1
    has_alternative: bool = False
    trail: list[str] = field(default_factory=list)
    cancellation: Cancellation = field(default_factory=Cancellation)
    completion_callbacks: list[Callable[[bool], None]] = field(default_factory=list)

    def finish(self, delivered: bool) -> None:
        """Run the completion callbacks once the answer is delivered or cut off."""
        callbacks, self.completion_callbacks = self.completion_callbacks, []
        for callback in reversed(callbacks):
            callback(delivered)


CallHandler = Callable[[Call], Outcome]
Filter = Callable[[Call, CallHandler], Outcome]


def compose(filters: list[Filter], handler: CallHandler) -> CallHandler:
    """Chain filters, the first one outermost, in front of a handler."""
    chain = handler
    for current_filter in reversed(filters):
        chain = _bind(current_filter, chain)
    return chain


def _bind(current_filter: Filter, call_next: CallHandler) -> CallHandler:
    return lambda call: current_filter(call, call_next)


def hash_fraction(request: RequestId) -> float:
    """Map a request id to a fixed number in [0, 1), the same at every node."""
    digest = blake2b(request.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / _HASH_RANGE


def compute_rank(priority: int, request: RequestId) -> float:
    """Return the rank of a call: its priority class plus the request's fraction."""
    return priority + hash_fraction(request)
