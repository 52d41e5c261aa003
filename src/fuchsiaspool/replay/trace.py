"""Read and write trace files."""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import BinaryIO, Final

import msgspec

from ..ids import DataCentre, OperationName, Region, ServiceName
from ..results import Err, Ok, Result
from ..trace_lines import (
    RECORDED_TRACE_SECONDS,
    TRACE_FORMAT_VERSION,
    AnyTraceLine,
    CallTree,
    DataCentreLine,
    EventLine,
    ExpectLine,
    IncludeLine,
    LinkLine,
    LoadLine,
    OperationLine,
    RequestLine,
    ServiceLine,
    TraceHeader,
)

_decoder: Final = msgspec.json.Decoder(AnyTraceLine)
encode_line: Final = msgspec.json.Encoder().encode


def make_trace_writer(file: BinaryIO, name: str) -> Callable[[RequestLine], None]:
    """Write a trace header to a file; return a function that appends a request line."""
    header = TraceHeader(
        version=TRACE_FORMAT_VERSION,
        name=name,
        settings="settings",
        seconds=RECORDED_TRACE_SECONDS,
    )
    file.write(encode_line(header) + b"\n")

    def write(line: RequestLine) -> None:
        file.write(encode_line(line) + b"\n")

    return write


@dataclass(frozen=True, slots=True)
class TraceFault:
    """Describe why a line of a trace file is invalid; line 0 is the whole file."""

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.reason}"


@dataclass(slots=True)
class Trace:
    """Represent a trace with the lines of all included files."""

    folder: Path
    header: TraceHeader
    link: LinkLine = field(default_factory=LinkLine)
    centres: dict[DataCentre, Region] = field(default_factory=dict)
    services: dict[ServiceName, ServiceLine] = field(default_factory=dict)
    operations: dict[OperationName, OperationLine] = field(default_factory=dict)
    loads: list[LoadLine] = field(default_factory=list)
    requests: list[RequestLine] = field(default_factory=list)
    events: list[EventLine] = field(default_factory=list)
    expected: list[ExpectLine] = field(default_factory=list)


class _TraceReadError(Exception):
    def __init__(self, fault: TraceFault) -> None:
        super().__init__(str(fault))
        self.fault = fault


def read_trace(file: Path) -> Result[Trace, TraceFault]:
    """Read a trace and the files that it includes."""
    try:
        return Ok(_build_trace(file, _read_lines(file)))
    except _TraceReadError as error:
        return Err(error.fault)


def _read_lines(file: Path) -> list[tuple[TraceFault, AnyTraceLine]]:
    lines: list[tuple[TraceFault, AnyTraceLine]] = []
    try:
        texts = file.read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise _TraceReadError(TraceFault(str(file), 0, str(error))) from error
    for number, text in enumerate(texts, 1):
        if not text.strip():
            continue
        try:
            line = _decoder.decode(text)
        except (msgspec.DecodeError, ValueError) as error:
            raise _TraceReadError(TraceFault(str(file), number, str(error))) from error
        if isinstance(line, IncludeLine):
            lines += _read_lines(file.parent / line.path)
            continue
        lines.append((TraceFault(str(file), number, ""), line))
    return lines


def _build_trace(file: Path, lines: list[tuple[TraceFault, AnyTraceLine]]) -> Trace:
    if not lines or not isinstance(lines[0][1], TraceHeader):
        raise _TraceReadError(TraceFault(str(file), 1, "expected a line of kind trace"))
    trace = Trace(file.parent, lines[0][1])
    for source, line in lines[1:]:
        reason = _add_line(trace, line)
        if reason:
            raise _TraceReadError(TraceFault(source.file, source.line, reason))
    return trace


def _add_line(trace: Trace, line: AnyTraceLine) -> str:
    match line:
        case LinkLine():
            trace.link = line
        case DataCentreLine():
            trace.centres[line.name] = line.region
        case ServiceLine():
            trace.services[line.name] = line
            return _describe_unknown(line.servers, trace.centres, "data centre")
        case OperationLine():
            trace.operations[line.name] = line
            service_names = _list_services(line.tree)
            return _describe_unknown(service_names, trace.services, "service")
        case LoadLine():
            trace.loads.append(line)
            return _describe_unknown(line.mix, trace.operations, "operation") or (
                _describe_unknown(line.centres, trace.centres, "data centre")
            )
        case RequestLine():
            trace.requests.append(line)
            return _describe_unknown([line.operation], trace.operations, "operation")
        case EventLine():
            trace.events.append(line)
            service_names = [line.service] if line.service else []
            return _describe_unknown(service_names, trace.services, "service")
        case ExpectLine():
            trace.expected.append(line)
        case _:
            return "expected only one line of kind trace"
    return ""


def _list_services(tree: CallTree) -> list[ServiceName]:
    names = [tree.service]
    for child in tree.children:
        names += _list_services(child)
    return names


def _describe_unknown(names: Iterable[str], known: Container[str], kind: str) -> str:
    for name in names:
        if name not in known:
            return f"unknown {kind} {name!r}"
    return ""
