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
    SettingsAsk,
    SettingsTell,
    Sync,
)


def wire_members(
    bus: PeerBus,
    membership: Membership,
    bridging: AntiEntropy,
    keeper: SettingsReplica[Any],
) -> None:
    """Let members and settings travel on the bus."""
    bus.ride(
        Piggyback(
            membership.collect_updates,
            membership.receive_updates,
            lambda: keeper.revision,
            keeper.receive_revision,
        )
    )
    bus.handle(Ping, membership.receive_ping)
    bus.handle(Ack, membership.receive_ack)
    bus.handle(PingRequest, membership.receive_ping_request)
    bus.handle(Sync, membership.receive_sync)
    bus.handle(Digest, bridging.receive_digest)
    bus.handle(SettingsAsk, keeper.receive_request)
    bus.handle(SettingsTell, keeper.receive_update)
