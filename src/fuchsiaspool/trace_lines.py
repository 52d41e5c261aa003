"""Define the lines of a trace file."""

from enum import Enum
from typing import Annotated, Final

from msgspec import Meta, Struct

from .ids import CallerId, ClassName, DataCentre, OperationName, Region, ServiceName

TRACE_FORMAT_VERSION: Final = 1
RECORDED_TRACE_SECONDS: Final = 86_400.0
Seconds = Annotated[float, Meta(ge=0.0, le=200_000.0)]
Milliseconds = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class TraceLine(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"
):
    """Represent a line of a trace; unknown fields are rejected."""


class TraceHeader(TraceLine, frozen=True, kw_only=True, tag="trace", tag_field="kind"):
    """Define the settings folder, the length and the seed of a trace.

    The first `warm` seconds are a warm-up, which is not checked.
    """

    version: Annotated[int, Meta(ge=TRACE_FORMAT_VERSION, le=TRACE_FORMAT_VERSION)]
    name: str
    settings: str
    seconds: Seconds
    warm: Seconds = 5.0
    seed: int = 1


class IncludeLine(
    TraceLine, frozen=True, kw_only=True, tag="include", tag_field="kind"
):
    """Include the lines of another file; `path` is relative to this file."""

    path: str


class LinkLine(TraceLine, frozen=True, kw_only=True, tag="link", tag_field="kind"):
    """Set one-way network delays and the bandwidth of the link between regions.

    `near` is within a region (half of it within a data centre), `far` between
    regions; `client` is between a caller and its entry server, `platform` the
    latency of the object store.
    """

    client_ms: Milliseconds = 1.0
    near_ms: Milliseconds = 0.5
    far_ms: Milliseconds = 30.0
    far_mbit: Annotated[float, Meta(gt=0.0)] = 30.0
    platform_ms: Milliseconds = 5.0


class DataCentreLine(
    TraceLine, frozen=True, kw_only=True, tag="data-centre", tag_field="kind"
):
    """Place a data centre in a region."""

    name: DataCentre
    region: Region


class ServiceLine(
    TraceLine, frozen=True, kw_only=True, tag="service", tag_field="kind"
):
    """Define the servers of a service in each data centre.

    `slots` is the configured concurrency limit, `real_slots` the actual one if it
    differs. The first `cold_answers` after a restart or a cold start take
    `cold_factor` times as long.
    """

    name: ServiceName
    servers: dict[DataCentre, int]
    slots: Annotated[int, Meta(ge=1)]
    real_slots: Annotated[int, Meta(ge=0)] = 0
    cold_answers: Annotated[int, Meta(ge=0)] = 0
    cold_factor: Annotated[float, Meta(ge=1.0)] = 1.0


class CallTree(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"
):
    """Describe a call and its downstream calls, in order.

    `own_ms` is the mean service time without the downstream calls.
    """

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
    """Describe an operation that callers request."""

    name: OperationName
    call_class: ClassName
    tree: CallTree
    deadline_ms: Milliseconds = 2000.0
    protected: bool = False


class LoadLine(TraceLine, frozen=True, kw_only=True, tag="load", tag_field="kind"):
    """Generate Poisson arrivals, `rate` requests a second in all."""

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
    """Represent one recorded request; `outcome` is the one that was recorded."""

    at: Seconds
    operation: OperationName
    caller: CallerId
    data_centre: DataCentre
    deadline_ms: Milliseconds
    service_ms: Milliseconds | None = None
    answer_bytes: int | None = None
    outcome: str = ""


class EventKind(Enum):
    """Enumerate the kinds of events."""

    SLOW_DOWN = "slow-down"
    SURGE = "surge"
    CRASH = "crash"
    DRAIN = "drain"
    COLD_START = "cold-start"
    PARTITION = "partition"
    PLATFORM_OUTAGE = "platform-outage"
    REPORT_LIE = "report-lie"


class EventLine(TraceLine, frozen=True, kw_only=True, tag="event", tag_field="kind"):
    """Describe an event at a service, a server, a data centre or a link.

    `factor` multiplies service times (slow-down), rates (surge) or the slots
    reported (report-lie); `index` selects one server of a data centre. Recovery is
    measured from the end of the last event with `cause`.
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
    """State expected outcomes; shares are of the requests offered in the period.

    `of_ideal` is a share of the goodput of an ideal system, which admits exactly the
    capacity by priority, between `at` and `until`.
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


AnyTraceLine = (
    TraceHeader
    | IncludeLine
    | LinkLine
    | DataCentreLine
    | ServiceLine
    | OperationLine
    | LoadLine
    | RequestLine
    | EventLine
    | ExpectLine
)
