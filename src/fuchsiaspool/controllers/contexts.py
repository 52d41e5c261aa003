"""Tie the calls that a backend server makes to the call it is serving."""

import itertools
from dataclasses import dataclass

from ..calls import Call
from ..ids import Token
from ..outcomes import NO_THRESHOLD


@dataclass(slots=True)
class CallContext:
    """Hold a call in service, the threshold met beneath, and the calls done for it."""

    call: Call
    threshold: float = NO_THRESHOLD
    done: int = 0


class CallContexts:
    """Find the call in service by the token its server was given."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._open: dict[Token, CallContext] = {}

    def open(self, call: Call) -> tuple[Token, CallContext]:
        """Give a call in service its token."""
        token = Token(f"{self._prefix}-{next(self._numbers):x}")
        return token, self.register(token, call)

    def register(self, token: Token, call: Call) -> CallContext:
        """Note a call in service under a token that it has already."""
        context = CallContext(call)
        self._open[token] = context
        return context

    def find(self, token: Token) -> CallContext | None:
        """Return the call in service that a token names."""
        return self._open.get(token)

    def close(self, token: Token) -> None:
        """Forget a call whose server has answered."""
        self._open.pop(token, None)
