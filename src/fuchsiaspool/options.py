"""Read the settings of one node, which place it in the fleet."""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

from .addresses import Address, AddressError, parse_address
from .ids import DataCentre, NodeId, Region, ServiceName
from .member_records import NodeLocation
from .results import Err, Ok, Result
from .settings.sections import NodeSection, PlatformNodeSection
from .settings.tree import SettingsFault, convert_section, parse_ini

BYTES_PER_MBIT: Final = 125_000.0
# Settings on the platform that come into force without a new start.
RELOADED: Final = frozenset(
    ("grace", "heartbeat", "retry_window", "retry_slack", "link_rate")
)

S = TypeVar("S", bound=msgspec.Struct)
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Hold where a node stands, listens and asks; times in seconds."""

    place: NodeLocation
    callers: Address
    mesh: Address
    egress: Address
    control: Address
    peers: Address
    server: Address
    platform: Address | None
    contacts: tuple[Address, ...]
    grace: float = 30.0
    platform_region: Region = Region("")


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Hold where a node on the platform stands; times in seconds.

    `link_rate` is what all nodes together may send between regions, in bytes a
    second; `retry_slack` what they may repeat in a window besides their share.
    """

    place: NodeLocation
    server: Address
    outbound: Address
    inbound: Address
    readiness: Address
    reports: Address
    peers: Address
    metrics: Address
    platform: Address
    contacts: tuple[Address, ...]
    grace: float
    heartbeat: float
    retry_window: float
    retry_slack: float
    link_rate: float


@dataclass(frozen=True, slots=True)
class Reload:
    """Say which of changed settings are in force, and which wait for the next start."""

    options: PlatformOptions
    taken: list[str]
    held: list[str]


def merge_options(running: PlatformOptions, changed: PlatformOptions) -> Reload:
    """Take what can change while a node runs, and keep the rest."""
    differing = {
        field.name
        for field in dataclasses.fields(running)
        if getattr(running, field.name) != getattr(changed, field.name)
    }
    taken = differing & RELOADED
    options = dataclasses.replace(
        running, **{name: getattr(changed, name) for name in taken}
    )
    return Reload(options, sorted(taken), sorted(differing - taken))


def read_options(path: str, text: str) -> Result[NodeOptions, SettingsFault]:
    """Check the text of a node's own settings."""
    return _read(path, text, NodeSection, _build)


def read_platform_options(
    path: str, text: str
) -> Result[PlatformOptions, SettingsFault]:
    """Check the text of the settings that the platform fills in for a node."""
    return _read(path, text, PlatformNodeSection, _build_platform)


def _read(
    path: str, text: str, kind: type[S], build: Callable[[S], T]
) -> Result[T, SettingsFault]:
    parsed = parse_ini(path, text)
    if isinstance(parsed, Err):
        return parsed
    if not parsed.value.has_section("node"):
        return Err(SettingsFault(path, "node", "section is missing"))
    section = convert_section(path, parsed.value, "node", kind)
    if isinstance(section, Err):
        return section
    try:
        return Ok(build(section.value))
    except AddressError as error:
        return Err(SettingsFault(path, "node", str(error)))


def _make_place(section: NodeSection | PlatformNodeSection) -> NodeLocation:
    return NodeLocation(
        NodeId(section.id),
        ServiceName(section.service),
        DataCentre(section.data_centre),
        Region(section.region),
    )


def _read_contacts(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part) for part in text.split(",") if part.strip())


def _build(section: NodeSection) -> NodeOptions:
    return NodeOptions(
        _make_place(section),
        parse_address(section.callers),
        parse_address(section.mesh),
        parse_address(section.egress),
        parse_address(section.control),
        parse_address(section.peers),
        parse_address(section.server),
        parse_address(section.platform) if section.platform else None,
        _read_contacts(section.contacts),
        section.grace_ms / 1000.0,
        Region(section.platform_region),
    )


def _build_platform(section: PlatformNodeSection) -> PlatformOptions:
    return PlatformOptions(
        _make_place(section),
        parse_address(section.server),
        parse_address(section.outbound),
        parse_address(section.inbound),
        parse_address(section.readiness),
        parse_address(section.reports),
        parse_address(section.peers),
        parse_address(section.metrics),
        parse_address(section.platform),
        _read_contacts(section.contacts),
        section.grace_seconds,
        section.heartbeat_seconds,
        section.retry_window_seconds,
        section.retry_slack,
        section.link_mbit * BYTES_PER_MBIT,
    )
