"""Read and write one connection with as few system calls as its traffic allows."""

import time
from collections.abc import Callable
from typing import Any, Final

import gevent
import gevent.socket

from .sockets import Peek, tune_socket

_READ_EVENT: Final = 1
_WRITE_EVENT: Final = 2
_NEVER: Final = float("inf")


class Channel:
    """Wrap a connected socket that only one task at a time waits on.

    A read waits for bytes before it tries, unless the last one left some behind. One
    timer serves every limit on the connection's waits; it is set anew only when it
    fires, so that a limit that is not reached costs a comparison.
    """

    __slots__ = (
        "_check_at",
        "_drained",
        "_expired",
        "_readable",
        "socket",
        "_stall",
        "_timer",
        "_until",
        "_waiting",
        "_writable",
    )

    def __init__(self, socket: Any) -> None:
        tune_socket(socket)
        socket.settimeout(0.0)
        self.socket = socket
        self._readable = gevent.get_hub().loop.io(socket.fileno(), _READ_EVENT)
        self._writable: Any = None
        self._waiting: Any = None
        self._timer: Any = None
        self._drained = True
        self._expired = False
        self._until = _NEVER
        self._stall = _NEVER
        self._check_at = _NEVER

    def limit(self, seconds: float) -> None:
        """Let waits from now on raise `TimeoutError` once so many seconds are over."""
        self._stall = _NEVER
        self._set_limit(seconds)

    def limit_stalls(self, seconds: float) -> None:
        """Let any one wait from now on raise `TimeoutError` after so many seconds."""
        self._stall = seconds
        self._set_limit(seconds)

    def recv(self, size: int) -> bytes:
        """Return the next bytes, none at the end; raise `OSError`."""
        if self._drained:
            self._wait(self._readable)
        while True:
            try:
                data: bytes = self.socket.recv(size)
            except BlockingIOError:
                self._wait(self._readable)
                continue
            self._drained = len(data) < size
            return data

    def send(self, data: bytes) -> None:
        """Send every byte; raise `OSError`."""
        rest = memoryview(data)
        while rest:
            try:
                sent = self.socket.send(rest)
            except BlockingIOError:
                sent = 0
            rest = rest[sent:]
            if rest:
                self._wait(self._find_writable())

    def peek(self) -> Peek:
        """Tell if bytes wait or the peer has gone, without reading."""
        try:
            data = self.socket.recv(1, gevent.socket.MSG_PEEK)
        except BlockingIOError:
            return Peek.QUIET
        except OSError:
            return Peek.CLOSED
        return Peek.DATA if data else Peek.CLOSED

    def watch(self, action: Callable[[], None]) -> None:
        """Run an action whenever bytes or the end come while nobody reads."""
        self._readable.start(action)

    def unwatch(self) -> None:
        """Stop watching."""
        self._readable.stop()

    def abort(self) -> None:
        """Cut the connection, so that whoever waits on it wakes."""
        try:
            self.socket.shutdown(gevent.socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the socket and drop its watchers."""
        for watcher in (self._readable, self._writable, self._timer):
            if watcher is not None:
                watcher.stop()
                watcher.close()
        self._timer = self._writable = None
        self.socket.close()

    def _set_limit(self, seconds: float) -> None:
        self._expired = False
        self._until = time.monotonic() + seconds
        if self._until < self._check_at:
            self._arm(seconds)

    def _wait(self, watcher: Any) -> None:
        if self._stall != _NEVER:
            self._set_limit(self._stall)
        if self._expired:
            raise TimeoutError("waited too long")
        self._waiting = watcher
        try:
            gevent.socket.wait(watcher)
        finally:
            self._waiting = None

    def _find_writable(self) -> Any:
        if self._writable is None:
            loop = gevent.get_hub().loop
            self._writable = loop.io(self.socket.fileno(), _WRITE_EVENT)
        return self._writable

    def _arm(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
        self._check_at = time.monotonic() + seconds
        self._timer = gevent.get_hub().loop.timer(max(0.0, seconds))
        self._timer.start(self._check)

    def _check(self) -> None:
        self._check_at = _NEVER
        if self._until == _NEVER:
            return
        left = self._until - time.monotonic()
        if left > 0:
            self._arm(left)
            return
        self._expired = True
        if self._waiting is not None:
            error = TimeoutError("waited too long")
            gevent.socket.cancel_wait(self._waiting, error)
