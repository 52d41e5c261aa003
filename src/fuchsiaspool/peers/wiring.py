"""Connect the controllers that peers talk to with the bus."""

from typing import Any

from ..controllers.anti_entropy import AntiEntropy
from ..controllers.membership import Membership
from ..controllers.settings import SettingsReplica
from .bus import PeerBus, Piggyback
from .messages import (
    Ack,
    Digest,
    Ping,
    PingRequest,
    SettingsRequest,
    SettingsUpdate,
    Sync,
)


def register_member_handlers(
    bus: PeerBus,
    membership: Membership,
    bridging: AntiEntropy,
    settings_replica: SettingsReplica[Any],
) -> None:
    """Let members and settings travel on the bus."""
    bus.set_piggyback(
        Piggyback(
            membership.collect_updates,
            membership.receive_updates,
            lambda: settings_replica.revision,
            settings_replica.receive_revision,
        )
    )
    bus.register_handler(Ping, membership.receive_ping)
    bus.register_handler(Ack, membership.receive_ack)
    bus.register_handler(PingRequest, membership.receive_ping_request)
    bus.register_handler(Sync, membership.receive_sync)
    bus.register_handler(Digest, bridging.receive_digest)
    bus.register_handler(SettingsRequest, settings_replica.receive_request)
    bus.register_handler(SettingsUpdate, settings_replica.receive_update)
