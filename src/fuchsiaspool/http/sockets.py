"""Look at a socket without blocking or reading from it."""

from enum import Enum
from typing import Any, Final

import gevent.socket
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


def send_all(socket: Any, data: bytes) -> None:
    """Send every byte; mostly one call does, without asking for the buffer's size."""
    sent = socket.send(data)
    if sent < len(data):
        socket.sendall(memoryview(data)[sent:])


def peek(socket: Any) -> Peek:
    """Tell if bytes wait or the peer has gone; safe inside the event loop."""
    timeout = socket.gettimeout()
    socket.settimeout(0.0)
    try:
        data = socket.recv(1, gevent.socket.MSG_PEEK)
    except BlockingIOError:
        return Peek.QUIET
    except OSError:
        return Peek.CLOSED
    finally:
        socket.settimeout(timeout)
    return Peek.DATA if data else Peek.CLOSED
