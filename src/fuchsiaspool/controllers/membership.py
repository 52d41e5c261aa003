"""Watch over the members of the own data centre by heartbeats among peers."""

import random
from collections.abc import Callable
from typing import Final

import msgspec

from ..addresses import Address, parse_address
from ..clock import Clock, Timer
from ..ids import Incarnation, NodeId
from ..member_records import Member, MemberState
from ..peers.messages import Ack, Envelope, PeerMessage, Ping, PingRequest, Sync
from .gossip import GossipQueue
from .member_table import MemberTable

PING_PERIOD_SECONDS: Final = 1.0
ACK_SECONDS: Final = 0.4
SUSPECT_SECONDS: Final = 4.0
INDIRECT_PEERS: Final = 3
# As many peers silent in a row tell more of the judge than of the judged.
ISOLATED_PEERS: Final = 3
# Now and then the dead are asked too, so that halves of a cut find together.
DEAD_PERIODS: Final = 5
PUSH_PEERS: Final = 4
PUSH_ABROAD: Final = 2
PUSH_AGAIN_SECONDS: Final = 0.5
# News that comes within this time goes out together.
PUSH_SECONDS: Final = 0.05
TOMBSTONE_SECONDS: Final = 600.0
# A node that did not tick for this long may have been declared dead meanwhile.
PAUSE_SECONDS: Final = 5.0
_DOUBTED: Final = (MemberState.SUSPECT, MemberState.DEAD)


class Membership:
    """Ping one peer a period, spread news, suspect the silent, refute rumours."""

    def __init__(
        self,
        clock: Clock,
        local_member: Member,
        table: MemberTable,
        rng: random.Random,
        send: Callable[[Address, PeerMessage], None],
    ) -> None:
        self.local_member = local_member
        self.rejoining = False
        self._clock = clock
        self._table = table
        self._chance = rng
        self._send = send
        self._sequence = 0
        self._waiting: dict[int, Timer] = {}
        self._relayed: dict[int, tuple[int, Address]] = {}
        self.gossip = GossipQueue(table)
        self._round: list[NodeId] = []
        self._missed: set[NodeId] = set()
        self._ticks = 0
        self._suspected: dict[NodeId, float] = {}
        self._died: dict[NodeId, float] = {}
        self._last_tick = clock.now()
        self._push_due = False
        table.add_listener(self._note_change)
        table.merge(local_member)

    def tick(self) -> None:
        """Run one period."""
        now = self._clock.now()
        if now - self._last_tick > PAUSE_SECONDS:
            self._wake_from_pause()
        self._last_tick = now
        self._judge_suspects()
        self._drop_tombstones()
        self._ticks += 1
        target = self._next_target()
        if target is not None:
            self._ping(target)
        if self._ticks % DEAD_PERIODS == 0:
            self._ask_the_dead()

    def join(self, contacts: tuple[Address, ...]) -> None:
        """Ask contacts for all members they know."""
        for address in contacts:
            self._send(address, Sync([self.local_member], wants_reply=True))

    def mark_available(self) -> None:
        """Tell peers at once that this node takes work again."""
        if self.local_member.state is MemberState.ALIVE:
            return
        self._set_own(MemberState.ALIVE, Incarnation(self.local_member.incarnation + 1))
        self._push_everywhere()

    def leave(self) -> None:
        """Tell peers at once that this node takes no new work."""
        if self.local_member.state is MemberState.LEAVING:
            return
        self._set_own(MemberState.LEAVING, self.local_member.incarnation)
        self._push_everywhere()

    def _push_everywhere(self) -> None:
        self.push_gossip()
        for member in self._choose_abroad():
            self._send(parse_address(member.peers), Sync([self.local_member]))

    def push_gossip(self) -> None:
        """Tell a few peers at once what is new, without waiting for a period."""
        self._push_due = False
        peers = self._list_peers()
        count = min(PUSH_PEERS, len(peers))
        for member in self._chance.sample(peers, count):
            self._send(parse_address(member.peers), Ack(0))

    def push_gossip_to_region(self) -> None:
        """Tell a few members of each other data centre of the region what is new."""
        for member in self._choose_abroad():
            if member.region == self.local_member.region:
                self._send(parse_address(member.peers), Ack(0))

    def collect_updates(self) -> list[Member]:
        """Return what is to ride on the next message."""
        return self.gossip.collect(len(self._round))

    def receive_updates(self, updates: list[Member]) -> None:
        """Merge records, and refute those that bury this node alive."""
        for member in updates:
            if member.node == self.local_member.node:
                self._refute(member)
                continue
            self._table.merge(member)

    def receive_ping(self, body: Ping, envelope: Envelope) -> None:
        """Answer a ping, and tell the sender what is thought of it."""
        address = parse_address(envelope.address)
        known = self._table.find(envelope.sender)
        if known is None:
            self._send(address, Sync([self.local_member], wants_reply=True))
        elif known.state in _DOUBTED:
            self._send(address, Sync([known]))
        self._send(address, Ack(body.sequence))

    def receive_ack(self, body: Ack, envelope: Envelope) -> None:
        """Take a sign of life."""
        self.rejoining = False
        timer = self._waiting.pop(body.sequence, None)
        if timer is not None:
            timer.stop()
            self._retract()
        relay = self._relayed.pop(body.sequence, None)
        if relay is not None:
            sequence, address = relay
            self._send(address, Ack(sequence))

    def receive_ping_request(self, body: PingRequest, envelope: Envelope) -> None:
        """Ping a third node on behalf of the sender."""
        target = self._table.find(body.target)
        if target is None:
            return
        sequence = self._make_sequence()
        origin = (body.sequence, parse_address(envelope.address))
        self._relayed[sequence] = origin
        self._clock.call_later(PING_PERIOD_SECONDS, lambda: self._end_relay(sequence))
        self._send(parse_address(target.peers), Ping(sequence))

    def receive_sync(self, body: Sync, envelope: Envelope) -> None:
        """Merge a list of records and reply with all, if asked."""
        self.rejoining = False
        self.receive_updates(body.members)
        if body.wants_reply:
            members = list(self._table.list_all())
            self._send(parse_address(envelope.address), Sync(members))

    def _ping(self, target: Member) -> None:
        sequence = self._make_sequence()
        timer = self._clock.call_later(
            ACK_SECONDS, lambda: self._ask_others(sequence, target)
        )
        self._waiting[sequence] = timer
        address = parse_address(target.peers)
        if target.state in _DOUBTED:
            # It can refute only what it hears of.
            self._send(address, Sync([target]))
        self._send(address, Ping(sequence))

    def _ask_others(self, sequence: int, target: Member) -> None:
        others = [m for m in self._list_peers() if m.node != target.node]
        count = min(INDIRECT_PEERS, len(others))
        for member in self._chance.sample(others, count):
            ask = PingRequest(sequence, target.node)
            self._send(parse_address(member.peers), ask)
        rest = PING_PERIOD_SECONDS - ACK_SECONDS
        self._waiting[sequence] = self._clock.call_later(
            rest, lambda: self._suspect(sequence, target)
        )

    def _end_relay(self, sequence: int) -> None:
        self._relayed.pop(sequence, None)

    def _suspect(self, sequence: int, target: Member) -> None:
        self._waiting.pop(sequence, None)
        self._missed.add(target.node)
        known = self._table.find(target.node)
        if known is None or known.state is not MemberState.ALIVE:
            return
        suspect = msgspec.structs.replace(known, state=MemberState.SUSPECT)
        self._table.merge(suspect)

    @property
    def isolated(self) -> bool:
        """Tell if this node hears from nobody and had better judge nobody."""
        return len(self._missed) >= ISOLATED_PEERS

    def _retract(self) -> None:
        # Whoever was cut off and hears from peers again was wrong about them.
        for node in list(self._suspected) if self.isolated else ():
            member = self._table.find(node)
            if member is not None and member.state is MemberState.SUSPECT:
                alive = msgspec.structs.replace(member, state=MemberState.ALIVE)
                self._table.overwrite(alive)
        self._missed.clear()

    def _judge_suspects(self) -> None:
        if self.isolated:
            return
        now = self._clock.now()
        for node, since in list(self._suspected.items()):
            if now - since < SUSPECT_SECONDS:
                continue
            member = self._table.find(node)
            if member is not None and member.state is MemberState.SUSPECT:
                dead = msgspec.structs.replace(member, state=MemberState.DEAD)
                self._table.merge(dead)

    def _drop_tombstones(self) -> None:
        now = self._clock.now()
        for node, since in list(self._died.items()):
            if now - since >= TOMBSTONE_SECONDS:
                del self._died[node]
                self._table.remove(node)

    def _choose_abroad(self) -> list[Member]:
        centres: dict[str, list[Member]] = {}
        for member in self._table.list_all():
            if member.state is not MemberState.DEAD:
                centres.setdefault(member.data_centre, []).append(member)
        centres.pop(self.local_member.data_centre, None)
        chosen: list[Member] = []
        for _, members in sorted(centres.items()):
            # Right after a start no server has reported, so that none takes work.
            alive = [m for m in members if m.state is MemberState.ALIVE]
            found = alive or members
            count = min(PUSH_ABROAD, len(found))
            chosen += self._chance.sample(found, count)
        return chosen

    def _plan_push(self) -> None:
        if not self._push_due:
            # One round of pushes misses a few; a second one finds nearly all.
            self._push_due = True
            self._clock.call_later(PUSH_SECONDS, self.push_gossip)
            self._clock.call_later(PUSH_AGAIN_SECONDS, self.push_gossip)

    def _note_change(self, member: Member) -> None:
        self.gossip.enqueue(member.node)
        if member.state is not MemberState.SUSPECT:
            self._plan_push()
        self._suspected.pop(member.node, None)
        self._died.pop(member.node, None)
        if member.state is MemberState.SUSPECT:
            if member.data_centre == self.local_member.data_centre:
                self._suspected[member.node] = self._clock.now()
        elif member.state is not MemberState.ALIVE:
            self._died[member.node] = self._clock.now()

    def _refute(self, rumour: Member) -> None:
        if rumour.incarnation < self.local_member.incarnation:
            # Some have not heard of this life yet: tell it again.
            self.gossip.enqueue(self.local_member.node)
            return
        if rumour.incarnation > self.local_member.incarnation or rumour.supersedes(
            self.local_member
        ):
            higher = Incarnation(rumour.incarnation + 1)
            self._set_own(self.local_member.state, higher)

    def _wake_from_pause(self) -> None:
        # Others may have buried this node: it takes no work until a peer answers.
        self.rejoining = any(True for _ in self._list_peers())
        self._set_own(
            self.local_member.state, Incarnation(self.local_member.incarnation + 1)
        )

    def _set_own(self, state: MemberState, incarnation: Incarnation) -> None:
        self.local_member = msgspec.structs.replace(
            self.local_member, state=state, incarnation=incarnation
        )
        self._table.merge(self.local_member)

    def _list_peers(self) -> list[Member]:
        return [
            member
            for member in self._table.list_all()
            if member.data_centre == self.local_member.data_centre
            and member.node != self.local_member.node
            and member.state is not MemberState.DEAD
        ]

    def _next_target(self) -> Member | None:
        while True:
            if not self._round:
                self._round = [member.node for member in self._list_peers()]
                self._chance.shuffle(self._round)
            if not self._round:
                return None
            member = self._table.find(self._round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _ask_the_dead(self) -> None:
        dead = [
            member
            for node in self._died
            if (member := self._table.find(node)) is not None
            and member.state is MemberState.DEAD
            and member.data_centre == self.local_member.data_centre
        ]
        if dead:
            member = self._chance.choice(dead)
            self._send(parse_address(member.peers), Sync([member]))

    def _make_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
