"""Read the settings of one node, which place it in the fleet."""

from dataclasses import dataclass

from .addresses import Address, AddressError, parse_address
from .controllers.balancer import Place
from .ids import DataCentre, NodeId, Region, ServiceName
from .results import Err, Ok, Result
from .settings.sections import NodeSection
from .settings.tree import SettingsFault, convert_section, read_ini


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Hold where a node stands, listens and asks; times in seconds."""

    place: Place
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


def read_options(path: str, text: str) -> Result[NodeOptions, SettingsFault]:
    """Check the text of a node's own settings."""
    parsed = read_ini(path, text)
    if isinstance(parsed, Err):
        return parsed
    if not parsed.value.has_section("node"):
        return Err(SettingsFault(path, "node", "section is missing"))
    section = convert_section(path, parsed.value, "node", NodeSection)
    if isinstance(section, Err):
        return section
    try:
        return Ok(_build(section.value))
    except AddressError as error:
        return Err(SettingsFault(path, "node", str(error)))


def _build(section: NodeSection) -> NodeOptions:
    place = Place(
        NodeId(section.id),
        ServiceName(section.service),
        DataCentre(section.data_centre),
        Region(section.region),
    )
    contacts = [text for text in section.contacts.split(",") if text.strip()]
    return NodeOptions(
        place,
        parse_address(section.callers),
        parse_address(section.mesh),
        parse_address(section.egress),
        parse_address(section.control),
        parse_address(section.peers),
        parse_address(section.server),
        parse_address(section.platform) if section.platform else None,
        tuple(parse_address(text) for text in contacts),
        section.grace_ms / 1000.0,
        Region(section.platform_region),
    )
