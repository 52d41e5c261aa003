"""Connect the owners of shards with the bus."""

from ..peers.bus import PeerBus
from ..peers.messages import CommitReply, CommitRequest
from .ownership import ShardCommitRouter


def register_operation_handlers(bus: PeerBus, owners: ShardCommitRouter) -> None:
    """Let changes of shards travel on the bus."""
    bus.register_handler(CommitRequest, owners.receive_ask)
    bus.register_handler(CommitReply, owners.receive_tell)
