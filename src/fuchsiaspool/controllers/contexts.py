"""Tie the calls that a backend server makes to the call it is serving."""

import itertools
from dataclasses import dataclass

from ..calls import Call
from ..ids import Token
from ..outcomes import NO_THRESHOLD


@dataclass(slots=True)
class Context:
    """Hold a call in service, the threshold met beneath, and the calls done for it."""

    call: Call
    threshold: float = NO_THRESHOLD
    done: int = 0


class Contexts:
    """Find the call in service by the token its server was given."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._open: dict[Token, Context] = {}

    def open(self, call: Call) -> tuple[Token, Context]:
        """Give a call in service its token."""
        token = Token(f"{self._prefix}-{next(self._numbers):x}")
        return token, self.hold(token, call)

    def hold(self, token: Token, call: Call) -> Context:
        """Note a call in service under a token that it has already."""
        context = Context(call)
        self._open[token] = context
        return context

    def find(self, token: Token) -> Context | None:
        """Return the call in service that a token names."""
        return self._open.get(token)

    def close(self, token: Token) -> None:
        """Forget a call whose server has answered."""
        self._open.pop(token, None)
