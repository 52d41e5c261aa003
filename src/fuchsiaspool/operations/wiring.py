"""Register the handlers of shard commits on the bus."""

from ..peers.bus import PeerBus
from ..peers.messages import CommitReply, CommitRequest
from .ownership import ShardCommitRouter


def register_operation_handlers(bus: PeerBus, commit_router: ShardCommitRouter) -> None:
    """Route commit requests and replies from the bus to the commit router."""
    bus.register_handler(CommitRequest, commit_router.receive_request)
    bus.register_handler(CommitReply, commit_router.receive_reply)
