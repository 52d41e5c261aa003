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
UNACKNOWLEDGED_TIMEOUT_MILLISECONDS: Final = 2000
KEEPALIVE_INTERVAL_SECONDS: Final = 1
MAX_KEEPALIVE_PROBES: Final = 2


class PeekResult(Enum):
    """Say what a look at a socket found."""

    NO_DATA = "quiet"
    DATA = "data"
    CLOSED = "closed"


def tune_socket(socket: Any) -> None:
    """Send small writes at once, and notice a peer that has gone silent."""
    socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
    socket.setsockopt(
        IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLISECONDS
    )
