"""Describe nodes: their location and their state as members of the fleet."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Final

import msgspec

from .addresses import Address, AddressError, parse_address
from .ids import (
    DataCentre,
    Incarnation,
    NodeId,
    Region,
    ServerStart,
    ServiceName,
)


@dataclass(frozen=True, slots=True)
class NodeLocation:
    """Describe where a node runs: its id, service, data centre and region."""

    node: NodeId
    service: ServiceName
    data_centre: DataCentre
    region: Region


class MemberState(Enum):
    """Enumerate the states of a member; in one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


# Above any Unix milliseconds in use, and far below what messages can carry.
MAX_INCARNATION: Final = 2**48
MAX_NAME_CHARACTERS: Final = 253
MAX_START_CHARACTERS: Final = 300


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Describe one node as it announced itself, with its state as seen by others.

    One with addresses or numbers that can't be used does not decode. `left_start` is
    the latest start of its backend server that is known to leave or to have left.
    """

    node: Annotated[NodeId, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
    service: ServiceName
    data_centre: DataCentre
    region: Region
    mesh: str
    peers: str
    incarnation: Annotated[Incarnation, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
    state: MemberState = MemberState.ALIVE
    left_start: Annotated[
        ServerStart, msgspec.Meta(max_length=MAX_START_CHARACTERS)
    ] = ServerStart("")

    def __post_init__(self) -> None:
        """Check the addresses; raise `AddressError`."""
        for text in (self.mesh, self.peers):
            if parse_address(text).port == 0:
                raise AddressError(f"expected a port above 0, got {text!r}")

    @property
    def mesh_address(self) -> Address:
        """Return the address to which calls for this node are sent."""
        return parse_address(self.mesh)

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record is newer than another one of the same node."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state.value > other.state.value
