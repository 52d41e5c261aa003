"""Read and write one connection with as few system calls as its traffic allows."""

from collections.abc import Callable
from typing import Any, Final

import gevent
import gevent.socket
from gevent.hub import Waiter

from ..clock import read_boot_time
from .sockets import Peek, tune_socket

_READ_EVENT: Final = 1
_WRITE_EVENT: Final = 2
_NEVER: Final = float("inf")


class Channel:
    """Wrap a connected socket that only one task at a time waits on.

    A read waits for bytes before it tries, unless the last one left some behind. One
    watcher stays with the connection, since stopping and starting one for each read
    would be announced to the kernel anew. One timer serves every limit on the
    connection's waits; it is set anew only when it fires, so that a limit that is not
    reached costs a comparison.
    """

    __slots__ = (
        "_action",
        "_check_at",
        "_drained",
        "_expired",
        "_listening",
        "_readable",
        "_stall",
        "_timer",
        "_until",
        "_waiter",
        "_writable",
        "_writing",
        "disturbed",
        "socket",
    )

    def __init__(self, socket: Any) -> None:
        tune_socket(socket)
        socket.settimeout(0.0)
        self.socket = socket
        # Bytes or the end came while nobody read.
        self.disturbed = False
        self._readable = gevent.get_hub().loop.io(socket.fileno(), _READ_EVENT)
        self._listening = False
        self._waiter: Any = None
        self._action: Callable[[Peek], None] | None = None
        self._writable: Any = None
        self._writing = False
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
            self._wait_readable()
        while True:
            try:
                data: bytes = self.socket.recv(size)
            except BlockingIOError:
                self._wait_readable()
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
                self._wait_writable()

    def peek(self) -> Peek:
        """Tell if bytes wait or the peer has gone, without reading."""
        try:
            data = self.socket.recv(1, gevent.socket.MSG_PEEK)
        except BlockingIOError:
            return Peek.QUIET
        except OSError:
            return Peek.CLOSED
        return Peek.DATA if data else Peek.CLOSED

    def watch(self, action: Callable[[Peek], None]) -> None:
        """Run an action once, when bytes or the end come while nobody reads."""
        self._action = action
        self._listen()

    def unwatch(self) -> None:
        """Stop watching."""
        self._action = None

    def rest(self) -> None:
        """Stay idle without a limit, and note if anything comes meanwhile."""
        self.limit(_NEVER)
        self.disturbed = False
        self._listen()

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
        if seconds == _NEVER:
            self._until = _NEVER
            return
        self._until = read_boot_time() + seconds
        if self._until < self._check_at:
            self._arm(seconds)

    def _check_limit(self) -> None:
        if self._stall != _NEVER:
            self._set_limit(self._stall)
        if self._expired:
            raise TimeoutError("waited too long")

    def _listen(self) -> None:
        if not self._listening:
            self._listening = True
            self._readable.start(self._note_readable)

    def _note_readable(self) -> None:
        if self._waiter is not None:
            self._waiter.switch(None)
            return
        found = self.peek()
        if found is Peek.QUIET:
            return
        # Nobody reads now: the event would come again and again.
        self.disturbed = True
        self._readable.stop()
        self._listening = False
        if self._action is not None:
            action, self._action = self._action, None
            action(found)

    def _wait_readable(self) -> None:
        self._check_limit()
        self._listen()
        self._waiter = Waiter()
        try:
            self._waiter.get()
        finally:
            self._waiter = None

    def _wait_writable(self) -> None:
        self._check_limit()
        if self._writable is None:
            loop = gevent.get_hub().loop
            self._writable = loop.io(self.socket.fileno(), _WRITE_EVENT)
        self._writing = True
        try:
            gevent.socket.wait(self._writable)
        finally:
            self._writing = False

    def _arm(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
        self._check_at = read_boot_time() + seconds
        self._timer = gevent.get_hub().loop.timer(max(0.0, seconds))
        self._timer.start(self._check)

    def _check(self) -> None:
        self._check_at = _NEVER
        if self._until == _NEVER:
            return
        left = self._until - read_boot_time()
        if left > 0:
            self._arm(left)
            return
        self._expired = True
        error = TimeoutError("waited too long")
        if self._waiter is not None:
            self._waiter.throw(error)
        elif self._writing:
            gevent.socket.cancel_wait(self._writable, error)
