"""Open listening sockets for WSGI servers."""

from typing import Any

import gevent.socket
from gevent.socket import IPPROTO_TCP, TCP_NODELAY

from ..addresses import Address

LISTEN_BACKLOG_CONNECTIONS = 256


def listen(address: Address) -> Any:
    """Return a listening socket with `TCP_NODELAY`, which accepted sockets inherit.

    The WSGI server writes headers and body separately. Without the option each
    answer on a kept-alive connection would wait for a delayed acknowledgement.
    """
    family = gevent.socket.AF_INET6 if ":" in address.host else gevent.socket.AF_INET
    socket = gevent.socket.socket(family, gevent.socket.SOCK_STREAM)
    socket.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    socket.bind((address.host, address.port))
    socket.listen(LISTEN_BACKLOG_CONNECTIONS)
    return socket
