"""Describe nodes: their location and their state as members of the fleet."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from .addresses import Address, parse_address
from .ids import DataCentre, Incarnation, NodeId, Region, ServiceName


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


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Describe one node as it announced itself, with its state as seen by others."""

    node: NodeId
    service: ServiceName
    data_centre: DataCentre
    region: Region
    mesh: str
    peers: str
    incarnation: Incarnation
    state: MemberState = MemberState.ALIVE

    @property
    def mesh_address(self) -> Address:
        """Return the address to which calls for this node are sent."""
        return parse_address(self.mesh)

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record is newer than another one of the same node."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state.value > other.state.value
