"""Represent message bodies, and stream large ones instead of buffering them."""

from collections.abc import Iterator
from typing import Final

Headers = list[tuple[bytes, bytes]]

# Bytes of a body that are read into memory before the rest is streamed.
MAX_BUFFERED_BYTES: Final = 65_536


class IncompleteBodyError(Exception):
    """Signal that a body ended before it was complete."""


class Body:
    """Represent a body by its first bytes and an iterator over the rest."""

    __slots__ = ("buffered", "length", "started", "_rest")

    def __init__(
        self,
        buffered: bytes = b"",
        length: int | None = None,
        rest: Iterator[bytes] | None = None,
    ) -> None:
        self.buffered = buffered
        self.length = len(buffered) if rest is None else length
        self.started = False
        self._rest = rest

    @property
    def fully_buffered(self) -> bool:
        """Return whether all bytes are in memory, so that they can be sent again."""
        return self._rest is None

    @property
    def resendable(self) -> bool:
        """Return whether the body can still be sent from its first byte."""
        return self._rest is None or not self.started

    def __iter__(self) -> Iterator[bytes]:
        self.started = True
        first = self.buffered
        if self._rest is None:
            if first:
                yield first
            return
        # Not held for as long as the rest is streamed.
        self.buffered = b""
        if first:
            yield first
        del first
        yield from self._rest
