"""Bound the bytes of unfinished and undelivered messages over all connections.

Handles the pattern in which many peers each send, without end, what a single
connection may hold.
"""

import logging
import math
from collections.abc import Callable
from typing import Final

from ..clock import read_boot_time
from .messages import BufferLimitError

_LOG = logging.getLogger(__name__)
# Holdings up to this size are not counted, so that most messages cost nothing.
UNCOUNTED_BYTES: Final = 8_192
# What the kernel may hold unread for a connection, beside the bytes received.
KERNEL_BYTES: Final = 65_536
LOG_INTERVAL_SECONDS: Final = 1.0

Interrupt = Callable[[BufferLimitError], None]


class BufferBudget:
    """Limit the counted bytes; at the limit the message that holds the most ends."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.revoked = 0
        self._holdings: set[Holding] = set()
        self._logged_at = -math.inf

    def open(self, interrupt: Interrupt) -> "Holding":
        """Return a holding for one message; `interrupt` ends the task that reads it."""
        return Holding(self, interrupt)

    def resize(self, holding: "Holding", size: int) -> None:
        """Count a change of a holding, and revoke others if the limit is reached."""
        self.held_bytes += size - holding.size
        holding.size = size
        if size:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
        while self.held_bytes > self.limit_bytes:
            revocable = [held for held in self._holdings if held.interrupt is not None]
            if not revocable:
                break
            self._revoke(max(revocable, key=lambda held: held.size))

    def _revoke(self, holding: "Holding") -> None:
        self.revoked += 1
        self._log_revocation(holding)
        self.held_bytes -= holding.size
        holding.size = 0
        self._holdings.discard(holding)
        interrupt, holding.interrupt = holding.interrupt, None
        holding.is_revoked = True
        if interrupt is not None:
            interrupt(BufferLimitError("held the most as memory ran short"))

    def _log_revocation(self, holding: "Holding") -> None:
        now = read_boot_time()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        _LOG.warning(
            "message cut off for memory",
            extra={
                "bytes": holding.size,
                "held": self.held_bytes,
                "revoked": self.revoked,
            },
        )


class Holding:
    """Represent the bytes held for one message."""

    __slots__ = ("size", "interrupt", "is_revoked", "_budget")

    def __init__(self, budget: BufferBudget, interrupt: Interrupt | None) -> None:
        self.size = 0
        self.interrupt = interrupt
        self.is_revoked = False
        self._budget = budget

    def resize(self, held_bytes: int) -> None:
        """Count the bytes that are held now; raise `BufferLimitError` if revoked."""
        if held_bytes <= UNCOUNTED_BYTES and not self.size:
            return
        if not self.is_revoked:
            size = held_bytes + KERNEL_BYTES if held_bytes > UNCOUNTED_BYTES else 0
            self._budget.resize(self, size)
        if self.is_revoked:
            raise BufferLimitError("held the most as memory ran short")

    def settle(self) -> None:
        """Exempt a message from revocation, as it is complete."""
        self.interrupt = None

    def close(self) -> None:
        """Count the bytes as dropped."""
        self.interrupt = None
        if self.size:
            self._budget.resize(self, 0)
