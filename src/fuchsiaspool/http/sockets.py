"""Look at a socket without blocking or reading from it."""

from enum import Enum
from typing import Any

import gevent.socket


class Peek(Enum):
    """Say what a look at a socket found."""

    QUIET = "quiet"
    DATA = "data"
    CLOSED = "closed"


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
