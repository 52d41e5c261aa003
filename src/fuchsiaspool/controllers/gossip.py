"""Keep the news that peers have yet to be told."""

import math
from typing import Final

from ..ids import NodeId
from ..member_records import Member
from .member_table import MemberTable

UPDATES_PER_MESSAGE: Final = 8
SPREAD_FACTOR: Final = 3


class GossipQueue:
    """Count how often each changed record was told; drop it when that is enough."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._told: dict[NodeId, int] = {}

    def enqueue(self, node: NodeId) -> None:
        """Tell of a member from now on, as if never told before."""
        self._told[node] = 0

    def clear(self) -> None:
        """Hold all that is known for told."""
        self._told.clear()

    def collect(self, peers: int) -> list[Member]:
        """Return the records told least often among so many peers, and count them."""
        if not self._told:
            return []
        limit = SPREAD_FACTOR * (1 + int(math.log2(peers + 2)))
        updates = []
        for node in sorted(self._told, key=self._told.__getitem__)[
            :UPDATES_PER_MESSAGE
        ]:
            self._told[node] += 1
            if self._told[node] >= limit:
                del self._told[node]
            member = self._table.find(node)
            if member is not None:
                updates.append(member)
        return updates
