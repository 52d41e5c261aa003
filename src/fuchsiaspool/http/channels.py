"""Read and write one connection with few system calls."""

import contextlib
import struct
from collections.abc import Callable
from typing import Any, Final

import gevent
import gevent.socket
from gevent.hub import Waiter
from gevent.socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_INFO

from ..clock import read_boot_time
from .sockets import PeekResult, tune_socket

_READ_EVENT_MASK: Final = 1
_WRITE_EVENT_MASK: Final = 2
_NEVER: Final = float("inf")
# TCP_CLOSE, TCP_CLOSE_WAIT and TCP_LAST_ACK of the kernel.
_PEER_CLOSED_STATES: Final = frozenset((7, 8, 9))
# A peer that sends without a pause is read this often before other tasks run.
MAX_READS_AT_ONCE: Final = 4
# On, with no time to transmit what is queued.
_LINGER_ZERO: Final = struct.pack("ii", 1, 0)


class Channel:
    """Wrap a connected socket that only one task at a time waits on.

    A read waits for bytes before it calls `recv`, unless the last `recv` filled its
    buffer. One read watcher stays registered for the life of the connection: starting
    and stopping one for each read would cost system calls. One timer serves all
    timeouts of the connection. It is restarted only when it fires or a shorter
    timeout is set, so that a timeout that isn't reached costs one comparison.
    """

    __slots__ = (
        "_on_event",
        "_timer_due",
        "_drained",
        "_timed_out",
        "_read_watcher_started",
        "_read_watcher",
        "_stall_seconds",
        "_timer",
        "_deadline",
        "_read_waiter",
        "_write_watcher",
        "_is_writing",
        "_interruption",
        "_reads",
        "aborted",
        "disturbed",
        "socket",
    )

    def __init__(self, socket: Any) -> None:
        tune_socket(socket)
        socket.settimeout(0.0)
        self.socket = socket
        # Whether bytes or the end of the stream arrived while no task was reading.
        self.disturbed = False
        # Whether this process ended the connection, so that the end of the stream says
        # nothing about what the peer meant to send.
        self.aborted = False
        self._interruption: Exception | None = None
        self._read_watcher = gevent.get_hub().loop.io(socket.fileno(), _READ_EVENT_MASK)
        self._read_watcher_started = False
        self._read_waiter: Any = None
        self._on_event: Callable[[PeekResult], None] | None = None
        self._write_watcher: Any = None
        self._is_writing = False
        self._timer: Any = None
        self._drained = True
        # Reads since the event loop last ran other tasks.
        self._reads = 0
        self._timed_out = False
        self._deadline = _NEVER
        self._stall_seconds = _NEVER
        self._timer_due = _NEVER

    def set_timeout(self, seconds: float) -> None:
        """Raise `TimeoutError` from any wait once this many seconds have passed.

        Bytes that have arrived by then are still read.
        """
        self._stall_seconds = _NEVER
        self._set_deadline(seconds)

    def set_stall_timeout(self, seconds: float) -> None:
        """Raise `TimeoutError` from a single wait that takes this many seconds."""
        self._stall_seconds = seconds
        self._set_deadline(seconds)

    def recv(self, size: int) -> bytes:
        """Return the next bytes, none at the end of the stream.

        Raise `OSError`, also at an end that `abort` has brought about.
        """
        if self._interruption is not None:
            raise self._take_interruption()
        if self._drained:
            self._wait_readable()
        while True:
            try:
                data: bytes = self.socket.recv(size)
            except BlockingIOError:
                self._wait_readable()
                continue
            if not data and self.aborted:
                raise ConnectionAbortedError("ended by this process")
            self._reads += 1
            self._drained = len(data) < size or self._reads >= MAX_READS_AT_ONCE
            return data

    def send(self, data: bytes) -> None:
        """Send all of the data; raise `OSError`."""
        unsent = memoryview(data)
        while unsent:
            try:
                sent_bytes = self.socket.send(unsent)
            except BlockingIOError:
                sent_bytes = 0
            unsent = unsent[sent_bytes:]
            if unsent:
                self._wait_writable()

    def peek(self) -> PeekResult:
        """Return whether bytes are waiting or the peer has closed, without reading."""
        try:
            data = self.socket.recv(1, gevent.socket.MSG_PEEK)
        except BlockingIOError:
            return PeekResult.NO_DATA
        except OSError:
            return PeekResult.CLOSED
        return PeekResult.DATA if data else PeekResult.CLOSED

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed, also if bytes before that are unread."""
        try:
            info = self.socket.getsockopt(IPPROTO_TCP, TCP_INFO, 1)
        except OSError:
            return False
        return bool(info) and info[0] in _PEER_CLOSED_STATES

    def watch_while_unread(self, on_event: Callable[[PeekResult], None]) -> None:
        """Call `on_event` once if bytes or the end arrive while no task is reading."""
        self._on_event = on_event
        self._start_read_watcher()

    def stop_watching(self) -> None:
        """Drop the callback of `watch_while_unread`."""
        self._on_event = None

    def mark_idle(self) -> None:
        """Drop the timeout, and set `disturbed` if anything arrives from now on."""
        self.clear_interruption()
        self.set_timeout(_NEVER)
        self.disturbed = False
        self._start_read_watcher()

    def end_sending(self) -> None:
        """Tell the peer that no more bytes follow; raise `OSError`."""
        self.socket.shutdown(gevent.socket.SHUT_WR)

    def abort(self) -> None:
        """Shut the connection down, which wakes a task that waits on it."""
        self.aborted = True
        try:
            self.socket.shutdown(gevent.socket.SHUT_RDWR)
        except OSError:
            return

    def reset_on_close(self) -> None:
        """Let the close reset the connection, so that the peer sees an error."""
        with contextlib.suppress(OSError):
            self.socket.setsockopt(SOL_SOCKET, SO_LINGER, _LINGER_ZERO)

    def interrupt(self, error: Exception) -> None:
        """Raise an error from the read that waits now, or else from the next one."""
        self._interruption = error
        gevent.get_hub().loop.run_callback(self._throw_interruption)

    def clear_interruption(self) -> None:
        """Drop an error that no read has raised, as its message has ended."""
        self._interruption = None

    def withdraw_interruption(self, error: Exception) -> None:
        """Drop an error that no read has raised, unless another one came after it."""
        if self._interruption is error:
            self._interruption = None

    def _throw_interruption(self) -> None:
        if self._interruption is not None and self._read_waiter is not None:
            self._read_waiter.throw(self._take_interruption())

    def _take_interruption(self) -> Exception:
        assert self._interruption is not None
        error, self._interruption = self._interruption, None
        return error

    def close(self) -> None:
        """Close the socket and its watchers."""
        for watcher in (self._read_watcher, self._write_watcher, self._timer):
            if watcher is not None:
                watcher.stop()
                watcher.close()
        self._timer = self._write_watcher = None
        self.socket.close()

    def _set_deadline(self, seconds: float) -> None:
        self._timed_out = False
        if seconds == _NEVER:
            self._deadline = _NEVER
            return
        self._deadline = read_boot_time() + seconds
        if self._deadline < self._timer_due:
            self._start_timer(seconds)

    def _check_deadline(self) -> None:
        if self._stall_seconds != _NEVER:
            self._set_deadline(self._stall_seconds)
        if self._timed_out:
            raise TimeoutError("waited too long")

    def _start_read_watcher(self) -> None:
        if not self._read_watcher_started:
            self._read_watcher_started = True
            self._read_watcher.start(self._handle_readable)

    def _handle_readable(self) -> None:
        if self._read_waiter is not None:
            self._read_waiter.switch(None)
            return
        result = self.peek()
        if result is PeekResult.NO_DATA:
            return
        # No task reads the data, so the level-triggered event would fire repeatedly.
        self.disturbed = True
        self._read_watcher.stop()
        self._read_watcher_started = False
        if self._on_event is not None:
            on_event, self._on_event = self._on_event, None
            on_event(result)

    def _wait_readable(self) -> None:
        self._reads = 0
        self._check_deadline()
        self._start_read_watcher()
        self._read_waiter = Waiter()
        try:
            self._read_waiter.get()
        finally:
            self._read_waiter = None

    def _wait_writable(self) -> None:
        self._check_deadline()
        if self._write_watcher is None:
            loop = gevent.get_hub().loop
            self._write_watcher = loop.io(self.socket.fileno(), _WRITE_EVENT_MASK)
        self._is_writing = True
        try:
            gevent.socket.wait(self._write_watcher)
        finally:
            self._is_writing = False

    def _start_timer(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
        self._timer_due = read_boot_time() + seconds
        self._timer = gevent.get_hub().loop.timer(max(0.0, seconds))
        self._timer.start(self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer_due = _NEVER
        if self._deadline == _NEVER:
            return
        remaining = self._deadline - read_boot_time()
        if remaining > 0:
            self._start_timer(remaining)
            return
        self._timed_out = True
        error = TimeoutError("waited too long")
        if self._read_waiter is not None:
            # If the event loop was late, bytes may have arrived before the deadline.
            if self.peek() is PeekResult.DATA:
                self._read_waiter.switch(None)
                return
            self._read_waiter.throw(error)
        elif self._is_writing:
            gevent.socket.cancel_wait(self._write_watcher, error)
