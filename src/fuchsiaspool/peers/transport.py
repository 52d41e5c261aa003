"""Send and receive peer messages over pynng under gevent."""

import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import gevent
import gevent.socket
import pynng

from ..addresses import Address
from ..clock import read_boot_time

_LOG = logging.getLogger(__name__)
MAX_CONNECTIONS: Final = 64
SEND_QUEUE_MESSAGES: Final = 32
RECEIVE_QUEUE_MESSAGES: Final = 256
MAX_MESSAGE_BYTES: Final = 4_000_000
# A connection may go silent without a reset, and only new ones work. Nothing is sent
# back on these, so a connection is replaced once it is this old.
MAX_CONNECTION_SECONDS: Final = 3.0
# A replaced connection stays open for this long, to transmit what is queued.
LINGER_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class _Connection:
    """Represent a connection to one address, opened at a time of `read_boot_time`."""

    socket: Any
    opened_at: float


class PeerTransport:
    """Push messages to any address, and pull those sent to this node's address.

    Sending never blocks: a message that a full or broken connection can't take is
    dropped, since every peer protocol here repeats its messages. Connections last for
    some seconds only.
    """

    def __init__(self, address: Address, receive: Callable[[bytes], object]) -> None:
        self._receive = receive
        self._connections: OrderedDict[Address, _Connection] = OrderedDict()
        self._pull = pynng.Pull0(
            recv_buffer_size=RECEIVE_QUEUE_MESSAGES, recv_max_size=MAX_MESSAGE_BYTES
        )
        self._pull.listen(f"tcp://{address}")
        self._task: gevent.Greenlet | None = None
        self.sent_bytes = 0
        self.received_bytes = 0

    def start(self) -> None:
        """Start receiving messages."""
        self._task = gevent.spawn(self._receive_loop)

    def send(self, address: Address, data: bytes) -> None:
        """Send a message without waiting; drop it if that is not possible."""
        try:
            self._find_socket(address).send(data, block=False)
        except pynng.TryAgain:
            return
        except pynng.NNGException as error:
            _LOG.debug("peer message dropped", extra={"detail": str(error)})
            self._close(address)
            return
        self.sent_bytes += len(data)

    def renew(self, address: Address) -> None:
        """Send further messages to an address over a new connection."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            _close_later(connection.socket)

    def stop(self) -> None:
        """Close every connection."""
        if self._task is not None:
            self._task.kill()
        for address in list(self._connections):
            self._close(address)
        self._pull.close()

    def _receive_loop(self) -> None:
        while True:
            try:
                data = self._pull.recv(block=False)
            except pynng.TryAgain:
                gevent.socket.wait_read(self._pull.recv_fd)
                continue
            except pynng.Closed:
                return
            self.received_bytes += len(data)
            self._receive(data)
            gevent.sleep(0)

    def _find_socket(self, address: Address) -> Any:
        connection = self._connections.get(address)
        now = read_boot_time()
        if connection is not None:
            if now - connection.opened_at < MAX_CONNECTION_SECONDS:
                self._connections.move_to_end(address)
                return connection.socket
            del self._connections[address]
            _close_later(connection.socket)
        while len(self._connections) >= MAX_CONNECTIONS:
            self._close(next(iter(self._connections)))
        socket = pynng.Push0(send_buffer_size=SEND_QUEUE_MESSAGES)
        socket.dial(f"tcp://{address}", block=False)
        self._connections[address] = _Connection(socket, now)
        return socket

    def _close(self, address: Address) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.socket.close()


def _close_later(socket: Any) -> None:
    gevent.spawn_later(LINGER_SECONDS, socket.close)
