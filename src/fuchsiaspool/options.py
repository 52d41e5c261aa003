"""Parse the settings of one node: its location in the fleet, addresses and limits."""

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
# The shortest time that the users' platform allows.
DEFAULT_PROPAGATION_SECONDS: Final = 2.5
# The smallest limit of the users' platform.
DEFAULT_MEMORY_MB: Final = 200.0
# Settings of a node on the platform that take effect without a restart.
RELOADABLE_SETTINGS: Final = frozenset(
    (
        "grace",
        "heartbeat",
        "retry_window",
        "retry_slack",
        "link_rate",
        "quarantine_crashes",
    )
)

Section = TypeVar("Section", bound=msgspec.Struct)
Options = TypeVar("Options")


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Represent the settings of a node; times in seconds."""

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
    """Represent the settings of a node on the platform; times in seconds.

    `link_rate` limits the cross-region traffic of all nodes together, in bytes per
    second; `retry_slack` is the number of retries that they may send in one window
    beyond their share of first attempts; `propagation` is the time within which a new
    configuration has to be in force everywhere; `memory_mb` is the memory at which the
    platform ends the process.
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
    quarantine_crashes: int = 3
    propagation: float = DEFAULT_PROPAGATION_SECONDS
    memory_mb: float = DEFAULT_MEMORY_MB


@dataclass(frozen=True, slots=True)
class ReloadResult:
    """Describe a reload: settings that take effect now (`taken`) and later (`held`)."""

    options: PlatformOptions
    taken: list[str]
    held: list[str]


def merge_options(running: PlatformOptions, changed: PlatformOptions) -> ReloadResult:
    """Adopt the changes that a running node can make; keep the other settings."""
    changed_names = {
        field.name
        for field in dataclasses.fields(running)
        if getattr(running, field.name) != getattr(changed, field.name)
    }
    taken = changed_names & RELOADABLE_SETTINGS
    options = dataclasses.replace(
        running, **{name: getattr(changed, name) for name in taken}
    )
    return ReloadResult(options, sorted(taken), sorted(changed_names - taken))


def read_options(path: str, text: str) -> Result[NodeOptions, SettingsFault]:
    """Parse and check the settings of a node; `path` appears in error messages."""
    return _parse_options(path, text, NodeSection, _build_options)


def read_platform_options(
    path: str, text: str
) -> Result[PlatformOptions, SettingsFault]:
    """Parse and check the settings that the platform fills in for a node."""
    return _parse_options(path, text, PlatformNodeSection, _build_platform_options)


def _parse_options(
    path: str,
    text: str,
    section_type: type[Section],
    build: Callable[[Section], Options],
) -> Result[Options, SettingsFault]:
    parsed = parse_ini(path, text)
    if isinstance(parsed, Err):
        return parsed
    if not parsed.value.has_section("node"):
        return Err(SettingsFault(path, "node", "section is missing"))
    section = convert_section(path, parsed.value, "node", section_type)
    if isinstance(section, Err):
        return section
    try:
        return Ok(build(section.value))
    except AddressError as error:
        return Err(SettingsFault(path, "node", str(error)))


def _make_location(section: NodeSection | PlatformNodeSection) -> NodeLocation:
    return NodeLocation(
        NodeId(section.id),
        ServiceName(section.service),
        DataCentre(section.data_centre),
        Region(section.region),
    )


def _parse_contacts(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part) for part in text.split(",") if part.strip())


def _build_options(section: NodeSection) -> NodeOptions:
    return NodeOptions(
        _make_location(section),
        parse_address(section.callers),
        parse_address(section.mesh),
        parse_address(section.egress),
        parse_address(section.control),
        parse_address(section.peers),
        parse_address(section.server),
        parse_address(section.platform) if section.platform else None,
        _parse_contacts(section.contacts),
        section.grace_ms / 1000.0,
        Region(section.platform_region),
    )


def _build_platform_options(section: PlatformNodeSection) -> PlatformOptions:
    return PlatformOptions(
        _make_location(section),
        parse_address(section.server),
        parse_address(section.outbound),
        parse_address(section.inbound),
        parse_address(section.readiness),
        parse_address(section.reports),
        parse_address(section.peers),
        parse_address(section.metrics),
        parse_address(section.platform),
        _parse_contacts(section.contacts),
        section.grace_seconds,
        section.heartbeat_seconds,
        section.retry_window_seconds,
        section.retry_slack,
        section.link_mbit * BYTES_PER_MBIT,
        section.quarantine_crashes,
    )
