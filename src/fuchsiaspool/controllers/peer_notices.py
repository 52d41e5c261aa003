"""Remember what the servers beside other nodes have stated.

Handles the pattern in which a node restarts beside a server that named a limit or said
that it leaves: the nodes that had its answers tell the restarted one with their calls,
before it sends anything on.
"""

from collections import OrderedDict
from typing import Final

from ..ids import NodeId
from ..server_notices import ServerNotice

# Nodes, more than a fleet has.
MAX_REMEMBERED_NODES: Final = 4_096


class PeerNotices:
    """Keep the newest notice about the server beside each other node."""

    def __init__(self) -> None:
        self._notices: OrderedDict[NodeId, ServerNotice] = OrderedDict()

    def learn(self, node: NodeId, notice: ServerNotice | None) -> None:
        """Record what the answer of a node's server states, `None` for nothing.

        A server that leaves does so for good; a notice about a start that has ended
        does no harm, as it names that start.
        """
        if notice is None:
            known = self._notices.get(node)
            if known is not None and not known.leaving:
                del self._notices[node]
            return
        self._notices[node] = notice
        self._notices.move_to_end(node)
        if len(self._notices) > MAX_REMEMBERED_NODES:
            self._notices.popitem(last=False)

    def find(self, node: NodeId) -> ServerNotice | None:
        """Return the notice about a node's server, if it stated anything."""
        return self._notices.get(node)
