"""Hold who is a member of the fleet, as far as this node knows."""

from collections.abc import Callable, Iterable

from ..ids import NodeId, ServiceName
from ..member_records import Member, MemberState


class MemberTable:
    """Keep the newest record of each node and index them by service."""

    def __init__(self) -> None:
        self._members: dict[NodeId, Member] = {}
        self._services: dict[ServiceName, tuple[Member, ...]] = {}
        self._listeners: list[Callable[[Member], None]] = []
        self.version = 0

    def add_listener(self, listener: Callable[[Member], None]) -> None:
        """Call a function with each record that replaces an older one."""
        self._listeners.append(listener)

    def merge(self, member: Member) -> bool:
        """Take in a record if it is newer; tell if it was."""
        known = self._members.get(member.node)
        if known is not None and not member.supersedes(known):
            return False
        self.overwrite(member)
        return True

    def overwrite(self, member: Member) -> None:
        """Put a record in the place of whatever was there."""
        self._members[member.node] = member
        self._services.pop(member.service, None)
        self.version += 1
        for listener in self._listeners:
            listener(member)

    def remove(self, node: NodeId) -> None:
        """Forget a node whose death is old."""
        member = self._members.pop(node, None)
        if member is not None:
            self._services.pop(member.service, None)
            self.version += 1

    def find(self, node: NodeId) -> Member | None:
        """Return the newest record of a node."""
        return self._members.get(node)

    def list_all(self) -> Iterable[Member]:
        """Return every record, the dead included."""
        return self._members.values()

    def count_live(self) -> int:
        """Return how many nodes are known and not dead."""
        dead = MemberState.DEAD
        return sum(member.state is not dead for member in self._members.values())

    def list_service(self, service: ServiceName) -> tuple[Member, ...]:
        """Return the members of a service that may get work, in a fixed order."""
        found = self._services.get(service)
        if found is not None:
            return found
        serving = (MemberState.ALIVE, MemberState.SUSPECT)
        members = [
            member
            for member in self._members.values()
            if member.service == service and member.state in serving
        ]
        members.sort(key=lambda member: member.node)
        self._services[service] = tuple(members)
        return self._services[service]

    def is_served(self, service: ServiceName) -> bool:
        """Tell if any member of a service may get work."""
        return bool(self.list_service(service))
