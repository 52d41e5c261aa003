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

# Lines held while their reader is slow; more are counted and dropped.
MAX_QUEUED_LINES: Final = 2000
# Lines written at once, and the pause before a full pipe is tried again.
BATCH_LINES: Final = 200
FULL_PIPE_SECONDS: Final = 0.05

_STANDARD: Final = frozenset(vars(logging.makeLogRecord({})))


class JsonFormatter(logging.Formatter):
    """Render a record and its extra fields as one JSON object.

    Lines name the node that writes them, where it has a name.
    """

    def __init__(self, node: str = "") -> None:
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        line: dict[str, Any] = {
            "time": record.created,
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        if self._node:
            line["node"] = self._node
        for name, value in vars(record).items():
            if name not in _STANDARD and name not in line:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure_logs(level: str = "INFO", stream: TextIO | None = None) -> None:
    """Send every log of the process to a stream, standard error by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


class QueueHandler(logging.Handler):
    """Hand records to a writer that never makes the logging task wait."""

    def __init__(
        self, write: Callable[[bytes], int], limit: int = MAX_QUEUED_LINES
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._write = write
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._ready = gevent.event.Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or count it as dropped."""
        if len(self._lines) >= self._limit:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")
        self._ready.set()

    def run(self) -> None:
        """Write what is queued, for ever."""
        while True:
            self._ready.wait()
            self._ready.clear()
            while self._lines:
                if not self.write_batch():
                    gevent.sleep(FULL_PIPE_SECONDS)

    def write_remaining(self) -> None:
        """Write what is queued until it is out or its reader takes no more."""
        while self._lines and self.write_batch():
            continue

    def write_batch(self) -> bool:
        """Write a batch of lines; tell if the reader took any."""
        lines = [
            self._lines.popleft() for _ in range(min(BATCH_LINES, len(self._lines)))
        ]
        data = b"".join(lines)
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            note = {
                "level": "warning",
                "message": "log lines dropped",
                "count": dropped,
            }
            data += msgspec.json.encode(note) + b"\n"
        try:
            taken = self._write(data)
        except BlockingIOError:
            taken = 0
        except OSError:
            # The reader has gone: nobody is left to tell.
            return True
        if taken < len(data):
            self._lines.appendleft(data[taken:])
        return taken > 0


def configure_queued_logs(level: str, descriptor: int, node: str) -> QueueHandler:
    """Send every log to a descriptor without ever blocking; its task must be run."""
    os.set_blocking(descriptor, False)
    handler = QueueHandler(lambda data: os.write(descriptor, data))
    handler.setFormatter(JsonFormatter(node))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler
