"""Fakes of the platform and the network, on the paused clock."""

import random
from enum import Enum

from fuchsiaspool.addresses import Address
from fuchsiaspool.chains import PolicyHolder
from fuchsiaspool.controllers.bridging import Bridging
from fuchsiaspool.controllers.members import MemberTable
from fuchsiaspool.controllers.membership import Membership
from fuchsiaspool.controllers.settings import SettingsKeeper
from fuchsiaspool.peers.bus import PeerBus
from fuchsiaspool.peers.wiring import wire_members
from fuchsiaspool.platform.objects import (
    Ambiguous,
    Applied,
    Conflict,
    Platform,
    ReadFault,
    Unavailable,
)
from fuchsiaspool.results import Err, Ok
from fuchsiaspool.standins.platform import ObjectStore

from .support import make_member, make_place


class Fault(Enum):
    """Say what happens to one request to the platform."""

    NONE = "none"
    DOWN = "down"
    LOST_REQUEST = "lost request"
    LOST_ANSWER = "lost answer"
    LATE = "late"


class FakePlatform:
    """Offer one store to many clients, each with faults of its own."""

    def __init__(self, clock, seed=1):
        self.clock = clock
        self.store = ObjectStore()
        self.chance = random.Random(seed)
        self.writes = 0

    def connect(self, choose_fault=lambda: Fault.NONE, gate=lambda: None):
        """Return the object API for one client; `gate` may block it for ever."""

        def get(key):
            gate()
            self.clock.sleep(self.chance.uniform(0.001, 0.01))
            if choose_fault() is not Fault.NONE:
                return Err(ReadFault.UNAVAILABLE)
            stored = self.store.objects.get(key)
            return Ok(stored) if stored else Err(ReadFault.NOT_FOUND)

        def write(action):
            gate()
            self.writes += 1
            self.clock.sleep(self.chance.uniform(0.001, 0.01))
            fault = choose_fault()
            if fault is Fault.DOWN:
                return Unavailable("down")
            if fault is Fault.LOST_REQUEST:
                return Ambiguous("lost")
            if fault is Fault.LATE:
                self.clock.call_later(self.chance.uniform(0.1, 20.0), action)
                return Ambiguous("late")
            done = action()
            if fault is Fault.LOST_ANSWER:
                return Ambiguous("answer lost")
            return Applied(done) if done else Conflict()

        def put(key, value, version):
            def action():
                stored = self.store.put(key, value, version)
                return stored.version if stored else None

            return write(action)

        def delete(key, version):
            return write(lambda: self.store.delete(key, version))

        def list_prefix(prefix):
            if choose_fault() is not Fault.NONE:
                return Err(ReadFault.UNAVAILABLE)
            return Ok(self.store.list_prefix(prefix))

        return Platform(get, put, delete, list_prefix, lambda *a: Err(None))


class FakePeer:
    """Hold the controllers of one node that talk to peers."""

    def __init__(self, network, name, centre, region, incarnation):
        clock = network.clock
        self.address = Address("127.0.0.1", network.take_port())
        place = make_place(name, centre=centre, region=region)
        self.table = MemberTable()
        self.policies = PolicyHolder()
        self.frozen = False
        self.sent = 0
        self.bus = PeerBus(
            place, self.address, lambda to, data: network.transmit(self, to, data)
        )
        own = make_member(
            name,
            centre=centre,
            region=region,
            peers=str(self.address),
            incarnation=incarnation,
        )
        chance = random.Random(name)
        self.membership = Membership(clock, own, self.table, chance, self.bus.send)
        self.bridging = Bridging(
            lambda: self.membership.own, self.table, chance, self.bus.send
        )
        self.keeper = SettingsKeeper(clock, self.policies.put, self.bus.send)
        self.policies.listen(lambda policy: self.membership.push_news())
        wire_members(self.bus, self.membership, self.bridging, self.keeper)

    def tick(self, second):
        if self.frozen:
            return
        self.membership.tick()
        if second % 2 == 0:
            self.bridging.tick()

    def knows(self, state):
        return {m.node for m in self.table.list_all() if m.state is state}


class FakeNetwork:
    """Carry peer messages with a delay, but for those that are cut."""

    def __init__(self, clock, delay=0.002):
        self.clock = clock
        self.delay = delay
        self.peers = {}
        self.is_cut = lambda sender, receiver: False
        self.bytes = 0
        self._port = 1000
        self._incarnation = 0

    def take_port(self):
        self._port += 1
        return self._port

    def add(self, name, centre="north-1", region="north", contacts=()):
        self._incarnation += 1000
        peer = FakePeer(self, name, centre, region, self._incarnation)
        self.peers[peer.address] = peer
        peer.membership.join(tuple(p.address for p in contacts))
        return peer

    def remove(self, peer):
        """Crash a peer."""
        del self.peers[peer.address]

    def transmit(self, sender, to, data):
        if sender.frozen:
            return
        self.bytes += len(data)
        sender.sent += len(data)
        self.clock.call_later(self.delay, lambda: self._deliver(sender, to, data))

    def _deliver(self, sender, to, data):
        receiver = self.peers.get(to)
        if receiver is None or receiver.frozen or self.is_cut(sender, receiver):
            return
        receiver.bus.receive(data)

    def run(self, seconds):
        """Tick every peer once a second."""
        for second in range(int(seconds)):
            for peer in list(self.peers.values()):
                peer.tick(second)
            self.clock.advance(1.0)
