"""Relate the calls that a backend server makes to the call that it serves."""

import itertools
from dataclasses import dataclass

from ..calls import Call
from ..ids import Token
from ..outcomes import NO_THRESHOLD


@dataclass(slots=True)
class CallContext:
    """Represent a call in service at the local server.

    `threshold` is the lowest that its nested calls met downstream; `done` counts the
    nested calls that succeeded.
    """

    call: Call
    threshold: float = NO_THRESHOLD
    done: int = 0


class CallContexts:
    """Index the calls in service by the tokens given to their server."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._open: dict[Token, CallContext] = {}

    def open(self, call: Call) -> tuple[Token, CallContext]:
        """Register a call in service under a new token."""
        token = Token(f"{self._prefix}-{next(self._numbers):x}")
        return token, self.register(token, call)

    def register(self, token: Token, call: Call) -> CallContext:
        """Register a call in service under a token that it already has."""
        context = CallContext(call)
        self._open[token] = context
        return context

    def find(self, token: Token) -> CallContext | None:
        """Return the call in service with a token."""
        return self._open.get(token)

    def close(self, token: Token) -> None:
        """Remove a call that the server has answered."""
        self._open.pop(token, None)
