"""Register the handlers of membership and settings messages on the bus."""

from typing import Any

from ..controllers.bridging import Bridging
from ..controllers.membership import Membership
from ..controllers.settings import SettingsKeeper
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
    bridging: Bridging,
    keeper: SettingsKeeper[Any],
) -> None:
    """Route messages and gossip between the bus and the controllers."""
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
    bus.handle(SettingsAsk, keeper.receive_ask)
    bus.handle(SettingsTell, keeper.receive_tell)
