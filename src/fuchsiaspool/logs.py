"""Write logs as JSON lines."""

import logging
import sys
from typing import Any, Final, TextIO

import msgspec

_STANDARD: Final = frozenset(vars(logging.makeLogRecord({})))


class JsonFormatter(logging.Formatter):
    """Render a record and its extra fields as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        line: dict[str, Any] = {
            "time": record.created,
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
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
