"""Index the members of the fleet that this node knows."""

from collections.abc import Callable, Iterable

from ..ids import NodeId, ServiceName
from ..member_records import Member, MemberState


class MemberTable:
    """Store the newest record of each node and index them by service."""

    def __init__(self) -> None:
        self._members: dict[NodeId, Member] = {}
        self._members_by_service: dict[ServiceName, tuple[Member, ...]] = {}
        self._listeners: list[Callable[[Member], None]] = []
        self.version = 0

    def add_listener(self, listener: Callable[[Member], None]) -> None:
        """Call a function with each record that replaces an older one."""
        self._listeners.append(listener)

    def merge(self, member: Member) -> bool:
        """Store a record if it is newer and return whether it was."""
        known = self._members.get(member.node)
        if known is not None and not member.supersedes(known):
            return False
        self.overwrite(member)
        return True

    def overwrite(self, member: Member) -> None:
        """Store a record even if the stored one is newer."""
        self._members[member.node] = member
        self._members_by_service.pop(member.service, None)
        self.version += 1
        for listener in self._listeners:
            listener(member)

    def remove(self, node: NodeId) -> None:
        """Remove the record of a node that has been gone for long."""
        member = self._members.pop(node, None)
        if member is not None:
            self._members_by_service.pop(member.service, None)
            self.version += 1

    def find(self, node: NodeId) -> Member | None:
        """Return the newest record of a node."""
        return self._members.get(node)

    def list_all(self) -> Iterable[Member]:
        """Return every record, including those of dead members."""
        return self._members.values()

    def count_live(self) -> int:
        """Return the number of known nodes that are not dead."""
        dead = MemberState.DEAD
        return sum(member.state is not dead for member in self._members.values())

    def list_service(self, service: ServiceName) -> tuple[Member, ...]:
        """Return the members of a service that may get calls, ordered by node id."""
        cached = self._members_by_service.get(service)
        if cached is not None:
            return cached
        serving = (MemberState.ALIVE, MemberState.SUSPECT)
        members = [
            member
            for member in self._members.values()
            if member.service == service and member.state in serving
        ]
        members.sort(key=lambda member: member.node)
        self._members_by_service[service] = tuple(members)
        return self._members_by_service[service]

    def is_served(self, service: ServiceName) -> bool:
        """Return whether any member of a service may get calls."""
        return bool(self.list_service(service))
