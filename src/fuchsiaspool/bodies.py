"""Carry message bodies, whole or as a stream, without holding large ones."""

from collections.abc import Iterator
from typing import Final

Headers = list[tuple[bytes, bytes]]

# Bytes held in memory before a body is passed on as a stream.
MAX_BUFFERED_BYTES: Final = 65_536


class IncompleteBodyError(Exception):
    """Tell that a body ended before it was whole."""


class Body:
    """Hold the first bytes of a body and the stream of the rest."""

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
        """Tell if all bytes are held, so that the body can be sent again."""
        return self._rest is None

    @property
    def resendable(self) -> bool:
        """Tell if the body can still be sent from its first byte."""
        return self._rest is None or not self.started

    def __iter__(self) -> Iterator[bytes]:
        self.started = True
        if self.buffered:
            yield self.buffered
        if self._rest is not None:
            yield from self._rest
