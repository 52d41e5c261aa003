"""Register the handlers of shard commits on the bus."""

from ..peers.bus import PeerBus
from ..peers.messages import CommitReply, CommitRequest
from .ownership import ShardCommitRouter


def register_operation_handlers(bus: PeerBus, owners: ShardCommitRouter) -> None:
    """Route commit requests and replies from the bus to `owners`."""
    bus.register_handler(CommitRequest, owners.receive_request)
    bus.register_handler(CommitReply, owners.receive_reply)
