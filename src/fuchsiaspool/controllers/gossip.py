"""Queue the member records to piggyback on messages to peers."""

import math
from typing import Final

from ..ids import NodeId
from ..member_records import Member
from .member_table import MemberTable

UPDATES_PER_MESSAGE: Final = 8
RETRANSMIT_MULTIPLIER: Final = 3


class GossipQueue:
    """Queue each changed record for a limited number of messages."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._transmissions: dict[NodeId, int] = {}

    def enqueue(self, node: NodeId) -> None:
        """Queue the record of a member and restart its count of transmissions."""
        self._transmissions[node] = 0

    def clear(self) -> None:
        """Remove every record, as if each had been sent often enough."""
        self._transmissions.clear()

    def collect(self, peers: int) -> list[Member]:
        """Return the records sent least often and count them as sent.

        The limit of transmissions grows with the logarithm of the number of `peers`.
        """
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
