"""Set socket options, and name the results of peeking at a socket."""

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

from ..addresses import Address

# Five times the cross-region round trip. A call to a node that is gone must fail fast
# enough to leave time for another node.
CONNECT_TIMEOUT_SECONDS: Final = 0.3
# A peer can become unresponsive without a reset. Unacknowledged bytes and unanswered
# keep-alive probes both close the connection after about 2 seconds.
UNACKNOWLEDGED_TIMEOUT_MILLISECONDS: Final = 2000
KEEPALIVE_INTERVAL_SECONDS: Final = 1
MAX_KEEPALIVE_PROBES: Final = 2


class PeekResult(Enum):
    """Enumerate what peeking at a socket can find."""

    NO_DATA = "quiet"
    DATA = "data"
    CLOSED = "closed"


def is_connection_refused(address: Address) -> bool:
    """Return whether nothing listens at an address; a new connection is closed."""
    try:
        gevent.socket.create_connection(
            (address.host, address.port), CONNECT_TIMEOUT_SECONDS
        ).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def tune_socket(socket: Any) -> None:
    """Disable write coalescing, and detect a peer that is unresponsive."""
    socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
    socket.setsockopt(
        IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLISECONDS
    )
