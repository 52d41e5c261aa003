"""Stand in for the network between nodes, with their real controllers and codec."""

import random
from collections.abc import Callable, Sequence

from ..addresses import Address
from ..chains import PolicyStore
from ..clock import VirtualClock
from ..controllers.anti_entropy import AntiEntropy
from ..controllers.member_table import MemberTable
from ..controllers.membership import Membership
from ..controllers.settings import SettingsReplica
from ..ids import DataCentre, Incarnation, NodeId, Region, ServiceName
from ..member_records import Member, MemberState, NodeLocation
from ..peers.bus import PeerBus
from ..peers.wiring import register_member_handlers
from ..settings.tree import build_policy

FIRST_PORT = 1000
LIFE = 1000
BRIDGE_TICKS = 2
SERVICE = ServiceName("quota")


class StandinPeer:
    """Hold the controllers of one node that talk to peers."""

    def __init__(
        self, network: "StandinNetwork", name: str, centre: str, region: str, life: int
    ) -> None:
        clock = network.clock
        self.address = Address("127.0.0.1", network.allocate_port())
        place = NodeLocation(NodeId(name), SERVICE, DataCentre(centre), Region(region))
        self.table = MemberTable()
        self.policies = PolicyStore()
        self.suspended = False
        self.sent_bytes = 0
        self.sent_messages = 0
        self.bus = PeerBus(
            place, self.address, lambda to, data: network.transmit(self, to, data)
        )
        own = Member(
            place.node,
            place.service,
            place.data_centre,
            place.region,
            str(self.address),
            str(self.address),
            Incarnation(life),
        )
        chance = random.Random(name)
        self.membership = Membership(clock, own, self.table, chance, self.bus.send)
        self.anti_entropy = AntiEntropy(
            lambda: self.membership.local_member, self.table, chance, self.bus.send
        )
        self.settings_replica = SettingsReplica(
            clock, build_policy, self.policies.put, self.bus.send
        )
        self.policies.add_listener(lambda policy: self.membership.push_gossip())
        register_member_handlers(
            self.bus, self.membership, self.anti_entropy, self.settings_replica
        )

    def tick(self, second: int) -> None:
        """Run one period unless frozen."""
        if self.suspended:
            return
        self.membership.tick()
        if second % BRIDGE_TICKS == 0:
            self.anti_entropy.tick()

    def find_nodes(self, state: MemberState) -> set[NodeId]:
        """Return the nodes that this one holds to be in a state."""
        return {m.node for m in self.table.list_all() if m.state is state}


class StandinNetwork:
    """Carry peer messages with a delay in seconds, but for those that are cut."""

    def __init__(self, clock: VirtualClock, delay: float = 0.002) -> None:
        self.clock = clock
        self.delay = delay
        self.peers: dict[Address, StandinPeer] = {}
        self.is_partitioned: Callable[[StandinPeer, StandinPeer], bool] = lambda a, b: (
            False
        )
        self._port = FIRST_PORT
        self._life = 0

    def allocate_port(self) -> int:
        """Return a port that no peer has."""
        self._port += 1
        return self._port

    def add(
        self,
        name: str,
        centre: str = "north-1",
        region: str = "north",
        contacts: Sequence[StandinPeer] = (),
    ) -> StandinPeer:
        """Start a peer that knows a few contacts."""
        self._life += LIFE
        peer = StandinPeer(self, name, centre, region, self._life)
        self.peers[peer.address] = peer
        peer.membership.join(tuple(p.address for p in contacts))
        return peer

    def remove(self, peer: StandinPeer) -> None:
        """Crash a peer."""
        del self.peers[peer.address]

    def transmit(self, sender: StandinPeer, to: Address, data: bytes) -> None:
        """Carry one message."""
        if sender.suspended:
            return
        sender.sent_bytes += len(data)
        sender.sent_messages += 1
        self.clock.call_later(self.delay, lambda: self._deliver(sender, to, data))

    def run(self, seconds: float) -> None:
        """Tick every peer once a second."""
        for second in range(int(seconds)):
            for peer in list(self.peers.values()):
                peer.tick(second)
            self.clock.advance(1.0)

    def _deliver(self, sender: StandinPeer, to: Address, data: bytes) -> None:
        receiver = self.peers.get(to)
        if (
            receiver is None
            or receiver.suspended
            or self.is_partitioned(sender, receiver)
        ):
            return
        receiver.bus.receive(data)
