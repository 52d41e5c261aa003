"""Write logs as JSON lines."""

import logging
import os
import sys
from collections import deque
from collections.abc import Callable
from typing import Any, Final, TextIO

import gevent
import gevent.event
import msgspec

# Lines queued while the reader is slow; further lines are counted and dropped.
MAX_QUEUED_LINES: Final = 2000
# Lines in one write, and the delay before a write to a full pipe is retried.
MAX_BATCH_LINES: Final = 200
FULL_PIPE_RETRY_SECONDS: Final = 0.05

_STANDARD_FIELDS: Final = frozenset(vars(logging.makeLogRecord({})))


class JsonFormatter(logging.Formatter):
    """Format a record and its extra fields as one JSON object.

    The object names the node if one is given.
    """

    def __init__(self, node: str = "") -> None:
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line: dict[str, Any] = {
            "time": record.created,
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        if self._node:
            line["node"] = self._node
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS and name not in line:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure_logs(level: str = "INFO", stream: TextIO | None = None) -> None:
    """Write all logs of the process to a stream, by default to standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


class QueueHandler(logging.Handler):
    """Queue records for a writer task, so that logging never blocks."""

    def __init__(
        self, write: Callable[[bytes], int], max_lines: int = MAX_QUEUED_LINES
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._write = write
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._has_lines = gevent.event.Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or count it as dropped if the queue is full."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")
        self._has_lines.set()

    def run(self) -> None:
        """Write queued lines until the task is killed."""
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                if not self.write_batch():
                    gevent.sleep(FULL_PIPE_RETRY_SECONDS)

    def write_remaining(self) -> None:
        """Write the queued lines; stop if the reader accepts no more."""
        while self._lines and self.write_batch():
            continue

    def write_batch(self) -> bool:
        """Write a batch of lines; return whether the reader accepted any bytes."""
        lines = [
            self._lines.popleft() for _ in range(min(MAX_BATCH_LINES, len(self._lines)))
        ]
        data = b"".join(lines)
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            notice = {
                "level": "warning",
                "message": "log lines dropped",
                "count": dropped,
            }
            data += msgspec.json.encode(notice) + b"\n"
        try:
            written = self._write(data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe; the lines are dropped.
            return True
        if written < len(data):
            self._lines.appendleft(data[written:])
        return written > 0


def configure_queued_logs(level: str, descriptor: int, node: str) -> QueueHandler:
    """Write all logs to a descriptor without blocking.

    The caller must run the handler's `run` in a task.
    """
    os.set_blocking(descriptor, False)
    handler = QueueHandler(lambda data: os.write(descriptor, data))
    handler.setFormatter(JsonFormatter(node))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler
