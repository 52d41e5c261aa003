"""Keep the news that peers have yet to be told."""

import math
from typing import Final

from ..ids import NodeId
from ..member_records import Member
from .members import MemberTable

UPDATES_PER_MESSAGE: Final = 8
RETRANSMIT_MULTIPLIER: Final = 3


class News:
    """Count how often each changed record was told; drop it when that is enough."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._transmissions: dict[NodeId, int] = {}

    def note(self, node: NodeId) -> None:
        """Tell of a member from now on, as if never told before."""
        self._transmissions[node] = 0

    def forget(self) -> None:
        """Hold all that is known for told."""
        self._transmissions.clear()

    def collect(self, peers: int) -> list[Member]:
        """Return the records told least often among so many peers, and count them."""
        if not self._transmissions:
            return []
        limit = RETRANSMIT_MULTIPLIER * (1 + int(math.log2(peers + 2)))
        updates = []
        for node in sorted(self._transmissions, key=self._transmissions.__getitem__)[
            :UPDATES_PER_MESSAGE
        ]:
            self._transmissions[node] += 1
            if self._transmissions[node] >= limit:
                del self._transmissions[node]
            member = self._table.find(node)
            if member is not None:
                updates.append(member)
        return updates
