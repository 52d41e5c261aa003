"""Trace one request through the logs of several nodes."""

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import msgspec

from ..decoding import DecodingError, make_json_decoder
from .exits import ExitCode

# Fields that are not listed as values: time, node and message begin the output line,
# the others do not help to explain a request.
_UNLISTED_FIELDS: Final = frozenset(
    ("time", "level", "logger", "message", "request", "node")
)
# Log collectors may put a prefix before each JSON object.
_OBJECT_START: Final = "{"


class LogLine(msgspec.Struct, frozen=True):
    """Represent one log line; time in Unix seconds, source is the node or file."""

    time: float
    source: str
    message: str
    fields: dict[str, Any]


class LogFileContent(msgspec.Struct):
    """Represent the lines of one log file and the count of unreadable ones."""

    source: str
    lines: list[LogLine]
    unreadable: int


def parse_log(source: str, texts: Iterable[str]) -> LogFileContent:
    """Parse JSON lines; count the lines that are not log lines."""
    content = LogFileContent(source, [], 0)
    for text in texts:
        if not text.strip():
            continue
        line = _parse_line(source, text)
        if line is None:
            content.unreadable += 1
            continue
        content.lines.append(line)
    return content


_decode_fields: Final = make_json_decoder(dict[str, Any])


def _parse_line(source: str, text: str) -> LogLine | None:
    prefix, start, rest = text.partition(_OBJECT_START)
    try:
        fields = _decode_fields(start + rest)
        time, message = float(fields["time"]), str(fields["message"])
    except (DecodingError, KeyError, ValueError, TypeError):
        return None
    # A collector puts the node's name last in what it writes before each line.
    fallback = prefix.split()[-1] if prefix.split() else source
    return LogLine(time, str(fields.get("node") or fallback), message, fields)


def find_request_lines(files: Iterable[LogFileContent], request: str) -> list[LogLine]:
    """Return the lines of a request and of the calls made for it, ordered by time."""
    found = [
        line
        for file in files
        for line in file.lines
        if _is_request_or_nested(str(line.fields.get("request", "")), request)
        or _is_request_or_nested(str(line.fields.get("attempt", "")), request)
    ]
    return sorted(found, key=lambda line: line.time)


def _is_request_or_nested(line_request: str, request: str) -> bool:
    return line_request == request or line_request.startswith(f"{request}.")


def format_lines(lines: list[LogLine]) -> Iterator[str]:
    """Yield a line of readable text for each log line."""
    for line in lines:
        values = ", ".join(
            f"{name} {value}"
            for name, value in line.fields.items()
            if name not in _UNLISTED_FIELDS and value not in ("", [], None)
        )
        yield f"{line.time:.3f} {line.source}: {line.message}: {values}"


def explain_request(options: argparse.Namespace) -> int:
    """Print the log lines of one request."""
    files = []
    for name in options.log:
        try:
            text = sys.stdin.read() if name == "-" else Path(name).read_text()
        except OSError as error:
            print(f"{name}: {error.strerror}", file=sys.stderr)
            return ExitCode.USAGE
        files.append(parse_log(name, text.splitlines()))
    for file in files:
        if file.unreadable:
            note = f"{file.source}: {file.unreadable} lines are no log lines"
            print(note, file=sys.stderr)
    lines = find_request_lines(files, options.request)
    if not lines:
        print(
            f"{options.request}: in none of the logs; lines are rate-limited, "
            "so the metrics may count it all the same",
            file=sys.stderr,
        )
        return ExitCode.DIFFERENT
    for line in format_lines(lines):
        print(line)
    for node in sorted(_find_nodes_without_log(lines)):
        print(f"{node}: was sent the call, but its log is not here", file=sys.stderr)
    return ExitCode.DONE


def _find_nodes_without_log(lines: list[LogLine]) -> set[str]:
    logged_nodes = {line.source for line in lines}
    called_nodes: set[str] = set()
    for line in lines:
        for step in line.fields.get("trail", []):
            node, _, outcome = str(step).partition(" ")
            # The called node logs a call only if it was not answered successfully.
            if outcome and not outcome.startswith("answered 2"):
                called_nodes.add(node)
    # The step "no repeat left" names no node: the retries were used up.
    return {node for node in called_nodes - logged_nodes if node != "no"}
