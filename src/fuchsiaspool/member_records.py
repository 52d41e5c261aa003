"""Describe nodes: where one stands, and what it and others say of it."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from .addresses import Address, parse_address
from .ids import DataCentre, Incarnation, NodeId, Region, ServiceName


@dataclass(frozen=True, slots=True)
class NodeLocation:
    """Say where this node stands."""

    node: NodeId
    service: ServiceName
    data_centre: DataCentre
    region: Region


class MemberState(Enum):
    """Say what a member is doing, in the order in which claims win."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Describe one node as it announced itself, and what is thought of it."""

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
        """Return where its calls go."""
        return parse_address(self.mesh)

    def supersedes(self, other: "Member") -> bool:
        """Tell if this record is newer than another of the same node."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state.value > other.state.value
