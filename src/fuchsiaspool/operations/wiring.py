"""Register the handlers of shard commits on the bus."""

from ..peers.bus import PeerBus
from ..peers.messages import CommitAsk, CommitTell
from .ownership import ShardOwners


def wire_operations(bus: PeerBus, owners: ShardOwners) -> None:
    """Route commit requests and replies from the bus to `owners`."""
    bus.handle(CommitAsk, owners.receive_request)
    bus.handle(CommitTell, owners.receive_reply)
