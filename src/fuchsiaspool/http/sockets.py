"""Set up sockets, and name what a look at one finds."""

from enum import Enum
from typing import Any, Final

from gevent.socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)

# A connection can go silent without a reset: unacknowledged bytes and unanswered
# probes end it after about this long.
SILENT_MILLISECONDS: Final = 2000
KEEPALIVE_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2


class Peek(Enum):
    """Say what a look at a socket found."""

    QUIET = "quiet"
    DATA = "data"
    CLOSED = "closed"


def tune_socket(socket: Any) -> None:
    """Send small writes at once, and notice a peer that has gone silent."""
    socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, SILENT_MILLISECONDS)
