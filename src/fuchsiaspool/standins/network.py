"""Simulate the network between nodes, with the real controllers and codec."""

import random
from collections.abc import Callable, Sequence

from ..addresses import Address
from ..chains import PolicyStore
from ..clock import VirtualClock
from ..controllers.anti_entropy import AntiEntropy
from ..controllers.member_table import MemberTable
from ..controllers.membership import Membership
from ..controllers.settings import SettingsReplica
from ..controllers.store_contact import StoreContact
from ..controllers.store_era import StoreEra
from ..ids import DataCentre, Incarnation, NodeId, Region, ServiceName
from ..member_records import Member, MemberState, NodeLocation
from ..peers.bus import PeerBus
from ..peers.wiring import register_member_handlers
from ..settings.tree import build_policy

BASE_PORT = 1000
# Difference between the first incarnations of peers that are added consecutively.
INCARNATION_STEP = 1000
ANTI_ENTROPY_PERIOD_TICKS = 2
SERVICE = ServiceName("quota")


class StandinPeer:
    """Run the controllers of one node that exchange messages with peers."""

    def __init__(
        self,
        network: "StandinNetwork",
        name: str,
        data_centre: str,
        region: str,
        incarnation: int,
    ) -> None:
        clock = network.clock
        self.address = Address("127.0.0.1", network.allocate_port())
        location = NodeLocation(
            NodeId(name), SERVICE, DataCentre(data_centre), Region(region)
        )
        self.table = MemberTable()
        self.policies = PolicyStore()
        self.suspended = False
        self.sent_bytes = 0
        self.sent_messages = 0
        self.bus = PeerBus(
            location, self.address, lambda to, data: network.transmit(self, to, data)
        )
        local_member = Member(
            location.node,
            location.service,
            location.data_centre,
            location.region,
            str(self.address),
            str(self.address),
            Incarnation(incarnation),
        )
        rng = random.Random(name)
        self.membership = Membership(
            clock, local_member, self.table, rng, self.bus.send
        )
        self.anti_entropy = AntiEntropy(
            lambda: self.membership.local_member, self.table, rng, self.bus.send
        )
        self.settings_replica = SettingsReplica(
            clock, build_policy, self.policies.put, self.bus.send
        )
        self.store_era = StoreEra()
        self.store_contact = StoreContact(clock)
        self.policies.add_listener(lambda policy: self.membership.push_gossip())
        register_member_handlers(
            self.bus,
            self.membership,
            self.anti_entropy,
            self.settings_replica,
            self.store_era,
            self.store_contact,
        )

    def tick(self, second: int) -> None:
        """Run one period of the controllers, unless the peer is suspended."""
        if self.suspended:
            return
        self.membership.tick()
        if second % ANTI_ENTROPY_PERIOD_TICKS == 0:
            self.anti_entropy.tick()

    def find_nodes(self, state: MemberState) -> set[NodeId]:
        """Return the nodes that are in a state according to this peer."""
        return {m.node for m in self.table.list_all() if m.state is state}


class StandinNetwork:
    """Deliver peer messages after a delay in seconds, except across a partition."""

    def __init__(self, clock: VirtualClock, delay: float = 0.002) -> None:
        self.clock = clock
        self.delay = delay
        self.peers: dict[Address, StandinPeer] = {}
        self.is_partitioned: Callable[[StandinPeer, StandinPeer], bool] = lambda a, b: (
            False
        )
        self._last_port = BASE_PORT
        self._incarnation = 0

    def allocate_port(self) -> int:
        """Return an unused port."""
        self._last_port += 1
        return self._last_port

    def add(
        self,
        name: str,
        data_centre: str = "north-1",
        region: str = "north",
        contacts: Sequence[StandinPeer] = (),
    ) -> StandinPeer:
        """Start a peer that joins through the given contacts."""
        self._incarnation += INCARNATION_STEP
        peer = StandinPeer(self, name, data_centre, region, self._incarnation)
        self.peers[peer.address] = peer
        peer.membership.join(tuple(p.address for p in contacts))
        return peer

    def remove(self, peer: StandinPeer) -> None:
        """Remove a peer without notice, as in a crash."""
        del self.peers[peer.address]

    def transmit(
        self, sender: StandinPeer, receiver_address: Address, data: bytes
    ) -> None:
        """Deliver one message after the delay."""
        if sender.suspended:
            return
        sender.sent_bytes += len(data)
        sender.sent_messages += 1
        self.clock.call_later(
            self.delay, lambda: self._deliver(sender, receiver_address, data)
        )

    def run(self, seconds: float) -> None:
        """Tick every peer once per virtual second."""
        for second in range(int(seconds)):
            for peer in list(self.peers.values()):
                peer.tick(second)
            self.clock.advance(1.0)

    def _deliver(
        self, sender: StandinPeer, receiver_address: Address, data: bytes
    ) -> None:
        receiver = self.peers.get(receiver_address)
        if (
            receiver is None
            or receiver.suspended
            or self.is_partitioned(sender, receiver)
        ):
            return
        receiver.bus.receive(data)
