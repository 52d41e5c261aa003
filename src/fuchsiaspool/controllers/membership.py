"""Detect failed nodes of this data centre by pings between peers, as in SWIM."""

import functools
import random
from collections.abc import Callable
from typing import Final

import msgspec

from ..addresses import Address, parse_address
from ..clock import Clock, Timer
from ..ids import Incarnation, NodeId, ServerStart
from ..member_records import MAX_START_CHARACTERS, Member, MemberState
from ..peers.messages import Ack, Envelope, PeerMessage, Ping, PingRequest, Sync
from .gossip import GossipQueue
from .member_table import MemberTable

PING_PERIOD_SECONDS: Final = 1.0
ACK_TIMEOUT_SECONDS: Final = 0.4
SUSPICION_TIMEOUT_SECONDS: Final = 4.0
INDIRECT_PING_PEERS: Final = 3
# With this many unresponsive peers in a row, the fault is more likely on this node.
ISOLATION_UNRESPONSIVE_PEERS: Final = 3
# Every so many periods a dead member is contacted, so that partitions rejoin.
DEAD_CONTACT_PERIODS: Final = 5
PUSH_PEERS_SAME_DATA_CENTRE: Final = 4
PUSH_PEERS_PER_OTHER_DATA_CENTRE: Final = 2
SECOND_PUSH_DELAY_SECONDS: Final = 0.5
# Gossip reaches most members before the whole region is told. The batches leave the
# connections of one batch open until it is transmitted.
REGION_PUSH_DELAY_SECONDS: Final = 0.15
REGION_PUSH_BATCH: Final = 24
REGION_PUSH_BATCH_SECONDS: Final = 0.02
# Changes that arrive within this time are sent together.
PUSH_DELAY_SECONDS: Final = 0.05
TOMBSTONE_SECONDS: Final = 600.0
# A node with no tick for this long may have been declared dead meanwhile.
MIN_PAUSE_SECONDS: Final = 5.0
_SUSPECT_OR_DEAD: Final = (MemberState.SUSPECT, MemberState.DEAD)


class Membership:
    """Ping one peer each period, gossip changes, raise and refute suspicions."""

    def __init__(
        self,
        clock: Clock,
        local_member: Member,
        table: MemberTable,
        rng: random.Random,
        send: Callable[[Address, PeerMessage], None],
        restore_left: Callable[[ServerStart], None] = lambda start: None,
    ) -> None:
        self._restore_left = restore_left
        self.local_member = local_member
        self.rejoining = False
        # Whether a peer has sent all members that it knows.
        self.has_joined = False
        self._clock = clock
        self._table = table
        self._rng = rng
        self._send = send
        self._sequence = 0
        self._ack_timers: dict[int, Timer] = {}
        self._pinged: dict[int, NodeId] = {}
        self._relayed_pings: dict[int, tuple[int, Address]] = {}
        self.gossip = GossipQueue(table)
        self._ping_order: list[NodeId] = []
        self._unresponsive: set[NodeId] = set()
        self._ticks = 0
        self._suspected_at: dict[NodeId, float] = {}
        # Leaving members that answer no ping. Their state is above that of a suspect,
        # so only this node knows of it, until it declares them dead.
        self._silent_since: dict[NodeId, float] = {}
        self._departed_at: dict[NodeId, float] = {}
        # Records of nodes that have restarted since, with a start that had left.
        self._earlier_lives: dict[NodeId, Member] = {}
        self._last_tick = clock.now()
        self._push_scheduled = False
        table.add_listener(self._record_change)
        table.merge(local_member)

    def tick(self) -> None:
        """Run one ping period."""
        now = self._clock.now()
        if now - self._last_tick > MIN_PAUSE_SECONDS:
            self._handle_pause()
        self._last_tick = now
        if not self.isolated:
            self._declare_dead(self._suspected_at, MemberState.SUSPECT)
            self._declare_dead(self._silent_since, MemberState.LEAVING)
        self._remove_tombstones()
        self._ticks += 1
        target = self._next_ping_target()
        if target is not None:
            self._ping(target)
        # A suspect is told and can refute; a silent member can only answer a ping.
        for node in list(self._silent_since):
            member = self._table.find(node)
            if member is not None and member is not target:
                self._ping(member)
        if self._ticks % DEAD_CONTACT_PERIODS == 0:
            self._contact_dead_member()

    def join(self, contacts: tuple[Address, ...]) -> None:
        """Request all known members from some contacts."""
        for address in contacts:
            self._send(address, Sync([self.local_member], wants_reply=True))

    def mark_available(self) -> None:
        """Announce to peers immediately that this node takes work again."""
        if self.local_member.state is MemberState.ALIVE:
            return
        self._set_local_member(
            MemberState.ALIVE, Incarnation(self.local_member.incarnation + 1)
        )
        self._push_to_all_data_centres()

    def leave(self) -> None:
        """Announce to peers immediately that this node takes no new work."""
        if self.local_member.state is MemberState.LEAVING:
            return
        self._set_local_member(MemberState.LEAVING, self.local_member.incarnation)
        self._push_to_all_data_centres()

    def set_left_start(self, start: ServerStart) -> None:
        """State a start of the local server that leaves, for this node's next life.

        It spreads with the next change of state.
        """
        if start == self.local_member.left_start or len(start) > MAX_START_CHARACTERS:
            return
        member = msgspec.structs.replace(self.local_member, left_start=start)
        self.local_member = member
        if member.state is not MemberState.LEAVING:
            return
        # Nothing else would distinguish the record from the one before.
        incarnation = Incarnation(member.incarnation + 1)
        self._set_local_member(member.state, incarnation)
        self.push_gossip()

    def _push_to_all_data_centres(self) -> None:
        self.push_gossip()
        for member in self._choose_in_other_data_centres():
            self._send(parse_address(member.peers), Sync([self.local_member]))

    def push_gossip(self) -> None:
        """Send the gossip to a few peers without waiting for the next ping."""
        self._push_scheduled = False
        peers = self._list_peers()
        count = min(PUSH_PEERS_SAME_DATA_CENTRE, len(peers))
        for member in self._rng.sample(peers, count):
            # Every message carries the gossip; no ping has sequence 0.
            self._send(parse_address(member.peers), Ack(0))

    def push_gossip_to_region(self) -> None:
        """Send the gossip to a few members of each other data centre of the region."""
        for member in self._choose_in_other_data_centres():
            if member.region == self.local_member.region:
                self._send(parse_address(member.peers), Ack(0))

    def push_gossip_to_all_in_region(self) -> None:
        """Send the gossip to every member of the region soon, dead ones excepted."""
        local = self.local_member
        members = [
            member
            for member in self._table.list_all()
            if member.region == local.region
            and member.node != local.node
            and member.state is not MemberState.DEAD
        ]
        self._rng.shuffle(members)
        for first in range(0, len(members), REGION_PUSH_BATCH):
            batch = members[first : first + REGION_PUSH_BATCH]
            delay = first // REGION_PUSH_BATCH * REGION_PUSH_BATCH_SECONDS
            self._clock.call_later(
                REGION_PUSH_DELAY_SECONDS + delay,
                functools.partial(self._push_gossip_to, batch),
            )

    def _push_gossip_to(self, members: list[Member]) -> None:
        for member in members:
            self._send(parse_address(member.peers), Ack(0))

    def collect_updates(self) -> list[Member]:
        """Return the updates to piggyback on the next message."""
        return self.gossip.collect(len(self._ping_order))

    def receive_updates(self, updates: list[Member]) -> None:
        """Merge records, and refute those that call this node suspect or dead."""
        local_start = self.local_member.left_start
        for member in updates:
            if member.node == self.local_member.node:
                self._refute(member)
                if member.left_start and member.left_start != local_start:
                    self._restore_left(member.left_start)
                continue
            known = self._table.find(member.node)
            is_newer = self._table.merge(member)
            if is_newer and known is not None:
                self._keep_left_start(known, member)

    def receive_ping(self, message: Ping, envelope: Envelope) -> None:
        """Acknowledge a ping, and notify a sender that is suspect or dead here.

        The records of an unknown sender are requested from it.
        """
        address = parse_address(envelope.address)
        known = self._table.find(envelope.sender)
        if known is None:
            self._send(address, Sync([self.local_member], wants_reply=True))
        elif known.state in _SUSPECT_OR_DEAD:
            self._send(address, Sync([known]))
        self._send(address, Ack(message.sequence))

    def receive_ack(self, message: Ack, envelope: Envelope) -> None:
        """End the wait for an ack, or relay the ack of an indirect ping."""
        self.rejoining = False
        self._silent_since.pop(envelope.sender, None)
        timer = self._ack_timers.pop(message.sequence, None)
        if timer is not None:
            timer.stop()
            # Another peer may have relayed it.
            self._silent_since.pop(self._pinged.pop(message.sequence), None)
            self._retract_suspicions()
        relay = self._relayed_pings.pop(message.sequence, None)
        if relay is not None:
            sequence, address = relay
            self._send(address, Ack(sequence))

    def receive_ping_request(self, message: PingRequest, envelope: Envelope) -> None:
        """Ping a third node on behalf of the sender."""
        target = self._table.find(message.target)
        if target is None:
            return
        sequence = self._next_sequence()
        origin = (message.sequence, parse_address(envelope.address))
        self._relayed_pings[sequence] = origin
        self._clock.call_later(PING_PERIOD_SECONDS, lambda: self._end_relay(sequence))
        self._send(parse_address(target.peers), Ping(sequence))

    def receive_sync(self, message: Sync, envelope: Envelope) -> None:
        """Merge a list of records and, if requested, reply with all known ones."""
        self.rejoining = False
        self.receive_updates(message.members)
        self.has_joined = self.has_joined or len(message.members) > 1
        if message.wants_reply:
            members = list(self._table.list_all())
            earlier = self._earlier_lives.get(envelope.sender)
            if earlier is not None:
                members.append(earlier)
            self._send(parse_address(envelope.address), Sync(members))

    def _keep_left_start(self, known: Member, member: Member) -> None:
        # A node that restarts has forgotten what its server had told it.
        if known.left_start and not member.left_start:
            self._earlier_lives[member.node] = known

    def _ping(self, target: Member) -> None:
        sequence = self._next_sequence()
        timer = self._clock.call_later(
            ACK_TIMEOUT_SECONDS, lambda: self._ping_indirectly(sequence, target)
        )
        self._ack_timers[sequence] = timer
        self._pinged[sequence] = target.node
        address = parse_address(target.peers)
        if target.state in _SUSPECT_OR_DEAD:
            # The target can refute only a suspicion that it has received.
            self._send(address, Sync([target]))
        self._send(address, Ping(sequence))

    def _ping_indirectly(self, sequence: int, target: Member) -> None:
        others = [member for member in self._list_peers() if member.node != target.node]
        count = min(INDIRECT_PING_PEERS, len(others))
        for member in self._rng.sample(others, count):
            request = PingRequest(sequence, target.node)
            self._send(parse_address(member.peers), request)
        remaining = PING_PERIOD_SECONDS - ACK_TIMEOUT_SECONDS
        self._ack_timers[sequence] = self._clock.call_later(
            remaining, lambda: self._mark_suspect(sequence, target)
        )

    def _end_relay(self, sequence: int) -> None:
        self._relayed_pings.pop(sequence, None)

    def _mark_suspect(self, sequence: int, target: Member) -> None:
        self._ack_timers.pop(sequence, None)
        self._pinged.pop(sequence, None)
        if target.node in self._silent_since:
            # It is pinged each period, and counted among the unresponsive only once.
            return
        self._unresponsive.add(target.node)
        known = self._table.find(target.node)
        if known is not None and known.state is MemberState.LEAVING:
            self._silent_since[target.node] = self._clock.now()
        if known is None or known.state is not MemberState.ALIVE:
            return
        suspect = msgspec.structs.replace(known, state=MemberState.SUSPECT)
        self._table.merge(suspect)

    @property
    def isolated(self) -> bool:
        """Return whether this node seems cut off and should not declare peers dead."""
        return len(self._unresponsive) >= ISOLATION_UNRESPONSIVE_PEERS

    def _retract_suspicions(self) -> None:
        # An ack ends the isolation; the suspicions raised during it were wrong.
        for node in list(self._suspected_at) if self.isolated else ():
            member = self._table.find(node)
            if member is not None and member.state is MemberState.SUSPECT:
                alive = msgspec.structs.replace(member, state=MemberState.ALIVE)
                self._table.overwrite(alive)
        if self.isolated:
            self._restart_timing()
        self._unresponsive.clear()

    def _restart_timing(self) -> None:
        # Silence that began while this node heard nobody proves nothing.
        self._silent_since = dict.fromkeys(self._silent_since, self._clock.now())

    def _declare_dead(self, timed: dict[NodeId, float], state: MemberState) -> None:
        now = self._clock.now()
        for node, since in list(timed.items()):
            if now - since < SUSPICION_TIMEOUT_SECONDS:
                continue
            member = self._table.find(node)
            if member is not None and member.state is state:
                dead = msgspec.structs.replace(member, state=MemberState.DEAD)
                self._table.merge(dead)

    def _remove_tombstones(self) -> None:
        now = self._clock.now()
        for node, since in list(self._departed_at.items()):
            if now - since >= TOMBSTONE_SECONDS:
                del self._departed_at[node]
                self._earlier_lives.pop(node, None)
                self._silent_since.pop(node, None)
                self._table.remove(node)

    def _choose_in_other_data_centres(self) -> list[Member]:
        members_by_centre: dict[str, list[Member]] = {}
        for member in self._table.list_all():
            if member.state is not MemberState.DEAD:
                members_by_centre.setdefault(member.data_centre, []).append(member)
        members_by_centre.pop(self.local_member.data_centre, None)
        chosen: list[Member] = []
        for _, members in sorted(members_by_centre.items()):
            # Just after a start no server has reported yet, so no member is alive.
            alive = [member for member in members if member.state is MemberState.ALIVE]
            candidates = alive or members
            count = min(PUSH_PEERS_PER_OTHER_DATA_CENTRE, len(candidates))
            chosen += self._rng.sample(candidates, count)
        return chosen

    def _schedule_push(self) -> None:
        if not self._push_scheduled:
            # One round of pushes misses a few members; a second reaches nearly all.
            self._push_scheduled = True
            self._clock.call_later(PUSH_DELAY_SECONDS, self.push_gossip)
            self._clock.call_later(SECOND_PUSH_DELAY_SECONDS, self.push_gossip)

    def _record_change(self, member: Member) -> None:
        self.gossip.enqueue(member.node)
        if member.state is not MemberState.SUSPECT:
            self._schedule_push()
        self._suspected_at.pop(member.node, None)
        self._silent_since.pop(member.node, None)
        self._departed_at.pop(member.node, None)
        if member.state is MemberState.SUSPECT:
            if member.data_centre == self.local_member.data_centre:
                self._suspected_at[member.node] = self._clock.now()
        elif member.state is not MemberState.ALIVE:
            self._departed_at[member.node] = self._clock.now()

    def _refute(self, update: Member) -> None:
        if update.incarnation < self.local_member.incarnation:
            # Some peers do not know this incarnation yet, so it is sent again.
            self.gossip.enqueue(self.local_member.node)
            return
        if update.incarnation > self.local_member.incarnation or update.supersedes(
            self.local_member
        ):
            higher = Incarnation(update.incarnation + 1)
            self._set_local_member(self.local_member.state, higher)

    def _handle_pause(self) -> None:
        # Peers may have declared this node dead: it takes no work until one answers.
        self.rejoining = any(True for _ in self._list_peers())
        self._restart_timing()
        self._set_local_member(
            self.local_member.state, Incarnation(self.local_member.incarnation + 1)
        )

    def _set_local_member(self, state: MemberState, incarnation: Incarnation) -> None:
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

    def _next_ping_target(self) -> Member | None:
        while True:
            if not self._ping_order:
                self._ping_order = [member.node for member in self._list_peers()]
                self._rng.shuffle(self._ping_order)
            if not self._ping_order:
                return None
            member = self._table.find(self._ping_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _contact_dead_member(self) -> None:
        dead = [
            member
            for node in self._departed_at
            if (member := self._table.find(node)) is not None
            and member.state is MemberState.DEAD
            and member.data_centre == self.local_member.data_centre
        ]
        if dead:
            member = self._rng.choice(dead)
            self._send(parse_address(member.peers), Sync([member]))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
