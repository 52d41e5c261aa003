"""Define the lines of a trace and read them."""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Annotated, BinaryIO, Final

import msgspec
from msgspec import Meta, Struct

from ..ids import CallerId, ClassName, DataCentre, OperationName, Region, ServiceName
from ..results import Err, Ok, Result

VERSION: Final = 1
RECORDED_SECONDS: Final = 86_400.0
Seconds = Annotated[float, Meta(ge=0.0, le=200_000.0)]
Milliseconds = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class TraceLine(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"
):
    """Share what all lines have in common: unknown fields are refused."""


class TraceHeader(TraceLine, frozen=True, kw_only=True, tag="trace", tag_field="kind"):
    """Name the trace and say how long it is replayed; `warm` is not judged."""

    version: Annotated[int, Meta(ge=VERSION, le=VERSION)]
    name: str
    settings: str
    seconds: Seconds
    warm: Seconds = 5.0
    seed: int = 1


class IncludeLine(
    TraceLine, frozen=True, kw_only=True, tag="include", tag_field="kind"
):
    """Read the lines of another file here, relative to this one."""

    path: str


class LinkLine(TraceLine, frozen=True, kw_only=True, tag="link", tag_field="kind"):
    """Set one-way delays and what the link between regions carries."""

    client_ms: Milliseconds = 1.0
    near_ms: Milliseconds = 0.5
    far_ms: Milliseconds = 30.0
    far_mbit: Annotated[float, Meta(gt=0.0)] = 30.0
    platform_ms: Milliseconds = 5.0


class CentreLine(
    TraceLine, frozen=True, kw_only=True, tag="data-centre", tag_field="kind"
):
    """Place a data centre in a region."""

    name: DataCentre
    region: Region


class ServiceLine(
    TraceLine, frozen=True, kw_only=True, tag="service", tag_field="kind"
):
    """Place servers of a service; `real_slots` is what they hold in truth."""

    name: ServiceName
    servers: dict[DataCentre, int]
    slots: Annotated[int, Meta(ge=1)]
    real_slots: Annotated[int, Meta(ge=0)] = 0
    cold_answers: Annotated[int, Meta(ge=0)] = 0
    cold_factor: Annotated[float, Meta(ge=1.0)] = 1.0


class CallTree(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"
):
    """Describe a call and the calls that serving it causes, in order."""

    service: ServiceName
    method: str = "GET"
    target: str = "/"
    own_ms: Milliseconds = 10.0
    request_bytes: Annotated[int, Meta(ge=0)] = 200
    answer_bytes: Annotated[int, Meta(ge=0)] = 1000
    parallel: bool = False
    children: list["CallTree"] = []


class OperationLine(
    TraceLine, frozen=True, kw_only=True, tag="operation", tag_field="kind"
):
    """Describe what callers ask for."""

    name: OperationName
    call_class: ClassName
    tree: CallTree
    deadline_ms: Milliseconds = 2000.0
    protected: bool = False


class LoadLine(TraceLine, frozen=True, kw_only=True, tag="load", tag_field="kind"):
    """Send requests at random moments, `rate` a second in all."""

    at: Seconds = 0.0
    until: Seconds
    rate: Annotated[float, Meta(gt=0.0)]
    mix: dict[OperationName, float]
    centres: dict[DataCentre, float] = {}
    callers: Annotated[int, Meta(ge=1)] = 50
    resends: Annotated[int, Meta(ge=0, le=20)] = 0
    backoff_ms: Milliseconds = 100.0


class RequestLine(
    TraceLine, frozen=True, kw_only=True, tag="request", tag_field="kind"
):
    """Send one request at one moment; `outcome` is what the recorder saw."""

    at: Seconds
    operation: OperationName
    caller: CallerId
    data_centre: DataCentre
    deadline_ms: Milliseconds
    service_ms: Milliseconds | None = None
    answer_bytes: int | None = None
    outcome: str = ""


class EventKind(Enum):
    """Name what may happen."""

    SLOW_DOWN = "slow-down"
    SURGE = "surge"
    CRASH = "crash"
    DRAIN = "drain"
    COLD_START = "cold-start"
    PARTITION = "partition"
    PLATFORM_OUTAGE = "platform-outage"
    REPORT_LIE = "report-lie"


class EventLine(TraceLine, frozen=True, kw_only=True, tag="event", tag_field="kind"):
    """Let something happen to a service, a server, a data centre or a link.

    `factor` multiplies service times (slow-down), rates (surge) or what reports
    say (report-lie); `index` picks one server of a data centre.
    """

    what: EventKind
    at: Seconds
    until: Seconds = 0.0
    service: ServiceName = ServiceName("")
    data_centre: DataCentre = DataCentre("")
    region: Region = Region("")
    index: int | None = None
    factor: Annotated[float, Meta(ge=0.0)] = 1.0
    cause: bool = True


class ExpectLine(TraceLine, frozen=True, kw_only=True, tag="expect", tag_field="kind"):
    """State outcomes; shares are of what was offered in the judged time.

    `of_ideal` is a share of what an ideal that admits exactly the capacity, the
    most important first, would deliver between `at` and `until`.
    """

    call_class: ClassName | None = None
    goodput: Share | None = None
    of_ideal: Share | None = None
    recovery: Seconds | None = None
    retries: Annotated[int, Meta(ge=0)] | None = None
    doubled: Annotated[int, Meta(ge=0)] | None = None
    false_not_run: Annotated[int, Meta(ge=0)] | None = None
    at: Seconds = 0.0
    until: Seconds = 0.0


Line = (
    TraceHeader
    | IncludeLine
    | LinkLine
    | CentreLine
    | ServiceLine
    | OperationLine
    | LoadLine
    | RequestLine
    | EventLine
    | ExpectLine
)

_decoder: Final = msgspec.json.Decoder(Line)
encode_line: Final = msgspec.json.Encoder().encode


def make_writer(file: BinaryIO, name: str) -> Callable[[RequestLine], None]:
    """Begin a trace in a file and return a function that adds a line to it."""
    header = TraceHeader(
        version=VERSION, name=name, settings="settings", seconds=RECORDED_SECONDS
    )
    file.write(encode_line(header) + b"\n")

    def write(line: RequestLine) -> None:
        file.write(encode_line(line) + b"\n")

    return write


@dataclass(frozen=True, slots=True)
class TraceFault:
    """Say which line of which file can't be used, and why."""

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.reason}"


@dataclass(slots=True)
class Trace:
    """Hold a whole trace."""

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


class _LineError(Exception):
    def __init__(self, fault: TraceFault) -> None:
        super().__init__(str(fault))
        self.fault = fault


def read_trace(file: Path) -> Result[Trace, TraceFault]:
    """Read a trace and the files it includes."""
    try:
        return Ok(_build(file, _read_lines(file)))
    except _LineError as error:
        return Err(error.fault)


def _read_lines(file: Path) -> list[tuple[TraceFault, Line]]:
    lines: list[tuple[TraceFault, Line]] = []
    try:
        texts = file.read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise _LineError(TraceFault(str(file), 0, str(error))) from error
    for number, text in enumerate(texts, 1):
        if not text.strip():
            continue
        try:
            line = _decoder.decode(text)
        except (msgspec.DecodeError, ValueError) as error:
            raise _LineError(TraceFault(str(file), number, str(error))) from error
        if isinstance(line, IncludeLine):
            lines += _read_lines(file.parent / line.path)
            continue
        lines.append((TraceFault(str(file), number, ""), line))
    return lines


def _build(file: Path, lines: list[tuple[TraceFault, Line]]) -> Trace:
    if not lines or not isinstance(lines[0][1], TraceHeader):
        raise _LineError(TraceFault(str(file), 1, "expected a line of kind trace"))
    trace = Trace(file.parent, lines[0][1])
    for place, line in lines[1:]:
        reason = _add(trace, line)
        if reason:
            raise _LineError(TraceFault(place.file, place.line, reason))
    return trace


def _add(trace: Trace, line: Line) -> str:
    match line:
        case LinkLine():
            trace.link = line
        case CentreLine():
            trace.centres[line.name] = line.region
        case ServiceLine():
            trace.services[line.name] = line
            return _find_unknown(line.servers, trace.centres, "data centre")
        case OperationLine():
            trace.operations[line.name] = line
            names = _list_services(line.tree)
            return _find_unknown(names, trace.services, "service")
        case LoadLine():
            trace.loads.append(line)
            return _find_unknown(line.mix, trace.operations, "operation") or (
                _find_unknown(line.centres, trace.centres, "data centre")
            )
        case RequestLine():
            trace.requests.append(line)
            return _find_unknown([line.operation], trace.operations, "operation")
        case EventLine():
            trace.events.append(line)
            names = [line.service] if line.service else []
            return _find_unknown(names, trace.services, "service")
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


def _find_unknown(names: Iterable[str], known: Container[str], kind: str) -> str:
    for name in names:
        if name not in known:
            return f"unknown {kind} {name!r}"
    return ""
