"""Register the handlers of membership and settings messages on the bus."""

from typing import Any

from ..controllers.anti_entropy import AntiEntropy
from ..controllers.membership import Membership
from ..controllers.settings import SettingsReplica
from ..controllers.store_contact import StoreContact
from ..controllers.store_era import StoreEra
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
    anti_entropy: AntiEntropy,
    settings_replica: SettingsReplica[Any],
    store_era: StoreEra,
    store_contact: StoreContact,
) -> None:
    """Route messages and gossip between the bus and the controllers."""
    bus.set_piggyback(
        Piggyback(
            membership.collect_updates,
            membership.receive_updates,
            lambda: settings_replica.revision,
            settings_replica.receive_revision,
            lambda: store_era.current,
            store_era.receive_hint,
            store_contact.get_age,
            store_contact.receive_age,
        )
    )
    bus.register_handler(Ping, membership.receive_ping)
    bus.register_handler(Ack, membership.receive_ack)
    bus.register_handler(PingRequest, membership.receive_ping_request)
    bus.register_handler(Sync, membership.receive_sync)
    bus.register_handler(Digest, anti_entropy.receive_digest)
    bus.register_handler(SettingsRequest, settings_replica.receive_request)
    bus.register_handler(SettingsUpdate, settings_replica.receive_update)
