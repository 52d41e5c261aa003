"""Define the platform's headers, paths and JSON messages."""

from typing import Annotated, Final

import msgspec

from ..decoding import DecodingError, make_json_decoder, split_array

# Headers of requests and answers, in lower case as parsed.
ATTEMPT_ID_HEADER: Final = b"fuchsiaspool-attempt-id"
DEADLINE_HEADER: Final = b"fuchsiaspool-deadline-ms"
SIGNATURE_HEADER: Final = b"fuchsiaspool-server-signature"
EXPECTED_INSTANCE_HEADER: Final = b"fuchsiaspool-expected-instance"
LOAD_HEADER: Final = b"fuchsiaspool-server-load"
NOT_EXECUTED_HEADER: Final = b"fuchsiaspool-not-executed"
CALLING_SERVICE_HEADER: Final = b"fuchsiaspool-calling-service"
INSTANCE_ID_HEADER: Final = b"fuchsiaspool-instance-id"
LIMIT_HEADER: Final = b"server-limit"
LEAVING_HEADER: Final = b"server-leaving"

LEAVING_VALUE: Final = b"1"
# Sent by the store; rises by one each time it was restored from an older copy.
STORE_ERA_HEADER: Final = "Store-Era"

READINESS_PATH: Final = "/-/readiness"
INSTANCE_PATH: Final = "/-/instances/<instance>"
OBJECTS_PATH: Final = "/-/objects"
# Lets the store answer a list from a replica that may lag, at a tenth of the cost.
ALLOW_STALE_PARAMETER: Final = "allowStale=1"


MAX_REVISION: Final = 2**63 - 1
StoreRevision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class Metadata(msgspec.Struct, frozen=True, rename="camel"):
    """Represent the metadata of an object in the store."""

    name: str = ""
    revision: StoreRevision = 0


class StoreObject(msgspec.Struct, frozen=True):
    """Represent an object as the store returns it, its specification not decoded."""

    metadata: Metadata
    specification: msgspec.Raw = msgspec.Raw(b"null")


class ObjectList(msgspec.Struct, frozen=True, rename="camel"):
    """Represent one page of a kind's objects as of the revision `at`."""

    items: list[StoreObject]
    at: StoreRevision
    has_more: bool = False


class RawObjectList(msgspec.Struct, frozen=True, rename="camel"):
    """Represent one page of a kind's objects, which are not decoded yet."""

    items: list[msgspec.Raw]
    at: StoreRevision
    has_more: bool = False


class ObjectEvent(msgspec.Struct, frozen=True):
    """Represent a change or the deletion of an object."""

    object: StoreObject
    deleted: bool = False


class ObjectEvents(msgspec.Struct, frozen=True):
    """Represent the events up to the revision `at`."""

    events: list[ObjectEvent]
    at: StoreRevision


class RawObjectEvents(msgspec.Struct, frozen=True):
    """Represent the events up to the revision `at`, which are not decoded yet."""

    events: list[msgspec.Raw]
    at: StoreRevision


class NewMetadata(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent an object's name and the revision that a write expects, if any."""

    name: str
    revision: int = 0


class NewObject(msgspec.Struct, frozen=True):
    """Represent an object to be written."""

    metadata: NewMetadata
    specification: msgspec.Raw


MAX_SLOTS: Final = 1_000_000
# Far above any Unix milliseconds in use: a start with a later time would never be
# replaced by another.
MAX_START_TIME: Final = 2**48
StartTime = Annotated[int, msgspec.Meta(ge=0, le=MAX_START_TIME)]


class NodeInfo(msgspec.Struct, frozen=True):
    """Describe a backend server as its heartbeats state it."""

    service: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    zone: str = ""
    version: str = ""


class HeartbeatStatus(
    msgspec.Struct, frozen=True, rename={"cold_remaining": "coldRemainingS"}
):
    """Represent a backend server's state; `cold_remaining` in seconds."""

    state: str
    seq: Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
    cold_remaining: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0


class Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    """Represent a heartbeat; `born` is when the server started, in Unix ms."""

    address: str
    node_info: NodeInfo
    status: HeartbeatStatus
    born: StartTime = 0


class WeightedServiceEntry(msgspec.Struct, frozen=True):
    """Represent a service that receives a weighted share of a route's calls."""

    service: str
    weight: float


class PathEntry(
    msgspec.Struct,
    frozen=True,
    rename={
        "prefix": "pathPrefix",
        "timeout": "timeoutS",
        "target_latency": "targetLatencyS",
        "attempts": "maxAttempts",
        "weighted": "weightedServices",
    },
):
    """Represent one route of a host; times in seconds."""

    name: str
    prefix: str
    kind: str
    timeout: float
    target_latency: float = 0.0
    priority: int = 0
    attempts: int = 1
    service: str = ""
    weighted: list[WeightedServiceEntry] = []


class HostEntry(msgspec.Struct, frozen=True):
    """Represent the routes of one host."""

    host: str
    paths: list[PathEntry]


class ServiceEntry(msgspec.Struct, frozen=True, rename="camel"):
    """Represent a service of the configuration."""

    name: str
    health_path: str = ""
    connection_limit: int = 0


class LimitsEntry(
    msgspec.Struct,
    frozen=True,
    rename={
        "header_bytes": "maxHeaderBytes",
        "body_bytes": "maxBodyBytes",
        "header_timeout": "headerTimeoutS",
        "idle_timeout": "idleTimeoutS",
    },
):
    """Represent the limits of callers' requests; times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Configuration(msgspec.Struct, frozen=True, rename="camel"):
    """Represent the operators' whole configuration."""

    version: str
    virtual_hosts: list[HostEntry]
    services: list[ServiceEntry] = []
    limits: LimitsEntry = LimitsEntry()


class ConfigurationVersion(msgspec.Struct, frozen=True):
    """Represent the version of a configuration alone."""

    version: str


decode_object: Final = make_json_decoder(StoreObject)
decode_event: Final = make_json_decoder(ObjectEvent)
decode_heartbeat: Final = make_json_decoder(Heartbeat)
decode_configuration: Final = make_json_decoder(Configuration)
decode_configuration_version: Final = make_json_decoder(ConfigurationVersion)
_decode_raw_list: Final = make_json_decoder(RawObjectList)
_decode_raw_events: Final = make_json_decoder(RawObjectEvents)
encode: Final = msgspec.json.Encoder().encode


def decode_list(data: bytes) -> RawObjectList:
    """Decode a page; an object that can't be read spoils none beside it."""
    try:
        return _decode_raw_list(data)
    except DecodingError:
        split = split_array(data, b"items")
    page = _decode_raw_list(split.remainder)
    items = [msgspec.Raw(element) for element in split.elements]
    return RawObjectList(items, page.at, page.has_more)


def decode_events(data: bytes) -> RawObjectEvents:
    """Decode a batch; an event that can't be read spoils none beside it."""
    try:
        return _decode_raw_events(data)
    except DecodingError:
        split = split_array(data, b"events")
    batch = _decode_raw_events(split.remainder)
    return RawObjectEvents([msgspec.Raw(e) for e in split.elements], batch.at)


class BinaryValue(msgspec.Struct, frozen=True):
    """Represent a value that is not text; the encoder writes bytes as base64."""

    binary: bytes


_BINARY_VALUE_START: Final = b'{"binary":'
_decode_binary: Final = make_json_decoder(BinaryValue)
_decode_text: Final = make_json_decoder(str)
_decode_any: Final = make_json_decoder(object)


def decode_value(specification: msgspec.Raw) -> bytes:
    """Decode a value: text and bytes as they were written, the rest as raw JSON.

    Raise `DecodingError` if that is not possible.
    """
    raw = bytes(specification)
    if raw.startswith(_BINARY_VALUE_START):
        return _decode_binary(raw).binary
    if raw[:1] == b'"':
        return _decode_text(raw).encode()
    return raw


def encode_value(value: bytes) -> msgspec.Raw:
    """Encode a value: JSON as it is, text as a JSON string, other bytes as base64."""
    if _is_json(value):
        return msgspec.Raw(value)
    try:
        return msgspec.Raw(encode(value.decode()))
    except UnicodeDecodeError:
        return msgspec.Raw(encode(BinaryValue(value)))


def _is_json(value: bytes) -> bool:
    if value[:1] not in (b"{", b"["):
        return False
    try:
        _decode_any(value)
    except DecodingError:
        # Text that only starts like JSON, such as an INI section.
        return False
    return True
