"""Spell the platform's names once, and decode its bodies into typed messages."""

from typing import Final

import msgspec

# Headers of requests and answers, in lower case as parsed.
ATTEMPT_ID_HEADER: Final = b"fuchsiaspool-attempt-id"
DEADLINE_HEADER: Final = b"fuchsiaspool-deadline-ms"
SIGNATURE_HEADER: Final = b"fuchsiaspool-server-signature"
EXPECTED_HEADER: Final = b"fuchsiaspool-expected-instance"
LOAD_HEADER: Final = b"fuchsiaspool-server-load"
NOT_EXECUTED_HEADER: Final = b"fuchsiaspool-not-executed"
CALLING_SERVICE_HEADER: Final = b"fuchsiaspool-calling-service"
INSTANCE_HEADER: Final = b"fuchsiaspool-instance-id"

READINESS_PATH: Final = "/-/readiness"
INSTANCE_PATH: Final = "/-/instances/<instance>"
OBJECTS_PATH: Final = "/-/objects"
# Lets the store answer a list from a copy that may lag, at a tenth of the price.
STALE_TERM: Final = "allowStale=1"


class Metadata(msgspec.Struct, frozen=True, rename="camel"):
    """Hold what the store keeps about an object."""

    name: str = ""
    revision: int = 0


class StoreObject(msgspec.Struct, frozen=True):
    """Hold one object as the store returns it; the specification stays raw."""

    metadata: Metadata
    specification: msgspec.Raw = msgspec.Raw(b"null")


class ObjectList(msgspec.Struct, frozen=True, rename="camel"):
    """Hold one page of a kind's objects, as of the revision `at`."""

    items: list[StoreObject]
    at: int
    has_more: bool = False


class ObjectEvent(msgspec.Struct, frozen=True):
    """Tell that an object changed, or that it was deleted."""

    object: StoreObject
    deleted: bool = False


class ObjectEvents(msgspec.Struct, frozen=True):
    """Hold the events up to the revision `at`."""

    events: list[ObjectEvent]
    at: int


class NewMetadata(msgspec.Struct, frozen=True, omit_defaults=True):
    """Name an object to be written, and the revision it must have, if any."""

    name: str
    revision: int = 0


class NewObject(msgspec.Struct, frozen=True):
    """Hold an object to be written."""

    metadata: NewMetadata
    specification: msgspec.Raw


class NodeInfo(msgspec.Struct, frozen=True):
    """Describe a backend server as it announces itself."""

    service: str
    slots: int
    zone: str = ""
    version: str = ""


class BeatStatus(
    msgspec.Struct, frozen=True, rename={"cold_remaining": "coldRemainingS"}
):
    """Hold a backend server's own state; `cold_remaining` in seconds."""

    state: str
    seq: int
    cold_remaining: float = 0.0


class Beat(msgspec.Struct, frozen=True, rename="camel"):
    """Hold one heartbeat; `born` is the Unix millisecond of the server's start."""

    address: str
    node_info: NodeInfo
    status: BeatStatus
    born: int = 0


class WeightedServiceEntry(msgspec.Struct, frozen=True):
    """Name one of the services that share a route."""

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
    """Hold one route of a host; times in seconds."""

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
    """Hold the routes of one host."""

    host: str
    paths: list[PathEntry]


class ServiceEntry(msgspec.Struct, frozen=True, rename="camel"):
    """Describe a service."""

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
    """Bound what callers may send; times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Configuration(msgspec.Struct, frozen=True, rename="camel"):
    """Hold the operator's configuration in full."""

    version: str
    virtual_hosts: list[HostEntry]
    services: list[ServiceEntry] = []
    limits: LimitsEntry = LimitsEntry()


decode_list: Final = msgspec.json.Decoder(ObjectList).decode
decode_object: Final = msgspec.json.Decoder(StoreObject).decode
decode_events: Final = msgspec.json.Decoder(ObjectEvents).decode
decode_beat: Final = msgspec.json.Decoder(Beat).decode
decode_configuration: Final = msgspec.json.Decoder(Configuration).decode
encode: Final = msgspec.json.Encoder().encode


class BinaryValue(msgspec.Struct, frozen=True):
    """Carry a value that is not text; the codec spells bytes in base 64."""

    binary: bytes


_BINARY_START: Final = b'{"binary":'
_decode_binary: Final = msgspec.json.Decoder(BinaryValue).decode


def decode_value(specification: msgspec.Raw) -> bytes:
    """Return an object's value: text and bytes as written, anything else as JSON."""
    raw = bytes(specification)
    if raw.startswith(_BINARY_START):
        return _decode_binary(raw).binary
    if raw[:1] == b'"':
        text: str = msgspec.json.decode(raw, type=str)
        return text.encode()
    return raw


def encode_value(value: bytes) -> msgspec.Raw:
    """Return a value as a specification: JSON as it is, text quoted, bytes coded."""
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
        msgspec.json.decode(value)
    except msgspec.DecodeError:
        # A text that only begins like it, such as an INI section.
        return False
    return True
