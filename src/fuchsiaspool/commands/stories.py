"""Trace one request through the logs of several nodes."""

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import msgspec

from .exits import Exit

# Fields that are not listed as values: time, node and message begin the output line,
# the others do not help to explain a request.
_HEADING: Final = frozenset(("time", "level", "logger", "message", "request", "node"))
# Log collectors may put a prefix before each JSON object.
_OBJECT_START: Final = "{"


class LogLine(msgspec.Struct, frozen=True):
    """Represent one log line; time in Unix seconds, source is the node or file."""

    time: float
    source: str
    message: str
    fields: dict[str, Any]


class LogFile(msgspec.Struct):
    """Represent the lines of one log file and the count of unreadable ones."""

    source: str
    lines: list[LogLine]
    broken: int


def read_log(source: str, texts: Iterable[str]) -> LogFile:
    """Parse JSON lines; count the lines that are not log lines."""
    found = LogFile(source, [], 0)
    for text in texts:
        if not text.strip():
            continue
        line = _read_line(source, text)
        if line is None:
            found.broken += 1
            continue
        found.lines.append(line)
    return found


def _read_line(source: str, text: str) -> LogLine | None:
    prefix, start, rest = text.partition(_OBJECT_START)
    try:
        fields: dict[str, Any] = msgspec.json.decode(start + rest, type=dict[str, Any])
        time, message = float(fields["time"]), str(fields["message"])
    except (msgspec.DecodeError, KeyError, ValueError, TypeError):
        return None
    where = str(fields.get("node") or prefix.split()[-1] if prefix.split() else source)
    return LogLine(time, where, message, fields)


def find_story(files: Iterable[LogFile], request: str) -> list[LogLine]:
    """Return the lines of a request and of the calls made for it, ordered by time."""
    story = [
        line
        for file in files
        for line in file.lines
        if _belongs(str(line.fields.get("request", "")), request)
        or _belongs(str(line.fields.get("attempt", "")), request)
    ]
    return sorted(story, key=lambda line: line.time)


def _belongs(found: str, request: str) -> bool:
    return found == request or found.startswith(f"{request}.")


def tell_story(story: list[LogLine]) -> Iterator[str]:
    """Yield a line of readable text for each log line."""
    for line in story:
        told = ", ".join(
            f"{name} {value}"
            for name, value in line.fields.items()
            if name not in _HEADING and value not in ("", [], None)
        )
        yield f"{line.time:.3f} {line.source}: {line.message}: {told}"


def explain(options: argparse.Namespace) -> int:
    """Print the log lines of one request."""
    files = []
    for name in options.log:
        try:
            text = sys.stdin.read() if name == "-" else Path(name).read_text()
        except OSError as error:
            print(f"{name}: {error.strerror}", file=sys.stderr)
            return Exit.USAGE
        files.append(read_log(name, text.splitlines()))
    for file in files:
        if file.broken:
            note = f"{file.source}: {file.broken} lines are no log lines"
            print(note, file=sys.stderr)
    story = find_story(files, options.request)
    if not story:
        print(
            f"{options.request}: in none of the logs; as lines are limited in number, "
            "the metrics may count it all the same",
            file=sys.stderr,
        )
        return Exit.DIFFERENT
    for told in tell_story(story):
        print(told)
    for missing in sorted(_find_missing(story)):
        print(f"{missing}: was sent the call, but its log is not here", file=sys.stderr)
    return Exit.DONE


def _find_missing(story: list[LogLine]) -> set[str]:
    told = {line.source for line in story}
    sent: set[str] = set()
    for line in story:
        for step in line.fields.get("trail", []):
            node, _, outcome = str(step).partition(" ")
            # The called node logs a call only if it was not answered successfully.
            if outcome and not outcome.startswith("answered 2"):
                sent.add(node)
    return {node for node in sent - told if node != "no"}
