"""Describe one call on its way through the filter chain."""

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

_HASH_SPAN: Final = float(1 << 32)


class Cancellation:
    """Tell those who work on a call that nobody waits for it any more."""

    __slots__ = ("cancelled", "_actions")

    def __init__(self) -> None:
        self.cancelled = False
        self._actions: dict[int, Callable[[], None]] = {}

    def add(self, action: Callable[[], None]) -> Callable[[], None]:
        """Run a non-blocking action on cancellation; return its removal."""
        if self.cancelled:
            action()
            return lambda: None
        key = id(action)
        self._actions[key] = action
        return lambda: self._forget(key)

    def cancel(self) -> None:
        """Run every action once."""
        if self.cancelled:
            return
        self.cancelled = True
        for action in list(self._actions.values()):
            action()
        self._actions.clear()

    def _forget(self, key: int) -> None:
        self._actions.pop(key, None)


@dataclass(slots=True)
class Call:
    """Hold what filters need to decide about a call.

    `request` names the caller's request, `attempt` this sending of it or of a call
    made for it; `nested` tells the latter.
    `repeat` tells that it, or what it is made for, was sent to a server before.
    `done` counts the calls that ended well for the same request before this one.
    `aim` is the moment until which an answer is worth most; `attempts` bounds the
    servers that it may be sent to; `trail` notes where it was sent and what came.
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
    trail: list[str] = field(default_factory=list)
    cancellation: Cancellation = field(default_factory=Cancellation)
    completion_callbacks: list[Callable[[bool], None]] = field(default_factory=list)

    def finish(self, delivered: bool) -> None:
        """Release what the call held, once its answer is delivered or cut."""
        finishers, self.completion_callbacks = self.completion_callbacks, []
        for action in reversed(finishers):
            action(delivered)


CallHandler = Callable[[Call], Outcome]
Filter = Callable[[Call, CallHandler], Outcome]


def compose(filters: list[Filter], last: CallHandler) -> CallHandler:
    """Join filters, first one outermost, before the last step."""
    step = last
    for current in reversed(filters):
        step = _bind(current, step)
    return step


def _bind(current: Filter, following: CallHandler) -> CallHandler:
    return lambda call: current(call, following)


def hash_fraction(request: RequestId) -> float:
    """Map a request id to a fixed number in [0, 1), the same at every hop."""
    digest = blake2b(request.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / _HASH_SPAN


def compute_rank(priority: int, request: RequestId) -> float:
    """Order a call: class first, then the request's own fixed fraction."""
    return priority + hash_fraction(request)
