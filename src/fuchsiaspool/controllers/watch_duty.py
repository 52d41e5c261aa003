"""Assign the watch of the store to members of a region that can reach it.

Handles the pattern in which the store refuses or ignores some nodes and serves others:
a member that has lost the store tells the few that may stand in for it. When they have
lost it too, further members are asked.
"""

import math
from collections.abc import Callable
from typing import Final

from ..addresses import Address, parse_address
from ..clock import Clock
from ..ids import NodeId
from ..member_records import Member, MemberState
from ..peers.messages import Envelope, StoreLost, WatchRequest
from .member_table import MemberTable
from .subsets import hash_pair

# Nodes of a region that watch the store; the others get changes by gossip. Two, so that
# one may fail; a third would only add requests.
WATCHERS_PER_REGION: Final = 2
# The watchers and those that may stand in for them. Each asks the store at most once in
# `LOST_SECONDS` if it is away for all, so their number bounds the requests.
CANDIDATES_PER_REGION: Final = 10
# If the store serves none of them, the next members by rank are asked to watch, up to
# this rank; how often they are asked, and for how long they then watch.
MAX_ASKED_RANK: Final = 40
REQUEST_PERIOD_SECONDS: Final = 2.0
REQUESTED_SECONDS: Final = 8.0
# Pause of an asked member that the store did not serve either.
REQUEST_PAUSE_SECONDS: Final = 6.0
# Longer than a watcher without the store takes from one attempt to the next. This soon
# after a disruption, the store has to be watched again by members that it serves.
LOST_SECONDS: Final = 4.0
# Stand-ins of a data centre for watchers that give no sign of life, and the time for
# which they watch after they were last asked to: longer than the pause between checks.
STAND_INS_PER_DATA_CENTRE: Final = 2
STAND_IN_SECONDS: Final = 4.0
# Longer than a node takes to stop and to start again.
LEAVING_SECONDS: Final = 8.0
# A node without a server, or one that restarts, remains a watcher. One that has left
# for good answers no ping, so it is dead after some seconds.
_WATCHER_STATES: Final = (MemberState.ALIVE, MemberState.LEAVING)
_DUTY: Final = "watch"


class WatchDuty:
    """Rank the members of the region by rendezvous hashing; pass over those without it.

    `react` is called when another member has lost the store, or asks this one to watch;
    `get_contact_age` returns the seconds since any node had the store's answer.
    """

    def __init__(
        self,
        clock: Clock,
        get_local_member: Callable[[], Member],
        table: MemberTable,
        send: Callable[[Address, StoreLost | WatchRequest], None],
        react: Callable[[], None],
        get_contact_age: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._get_local_member = get_local_member
        self._table = table
        self._send = send
        self._react = react
        self._get_contact_age = get_contact_age
        # As of a version of the table.
        self._ranked: list[Member] = []
        self._ranked_version: int | None = None
        self._lost_at: dict[NodeId, float] = {}
        # Those of them that are only leaving.
        self._leaving: set[NodeId] = set()
        self._stand_in_until = 0.0
        self._request_sent_at = -math.inf
        self._requested_at = -math.inf
        self._requested_until = 0.0

    def is_assigned(self) -> bool:
        """Return whether this node is to watch.

        The first members keep trying, so that they notice when the store is back.
        """
        if self._clock.now() < max(self._stand_in_until, self._requested_until):
            return True
        node = self._get_local_member().node
        ranked = [member.node for member in self._list_candidates()]
        first = ranked[:WATCHERS_PER_REGION]
        # A store that ignores one member may ignore most of them, and asking them in
        # turn would take too long.
        lost = [member for member in ranked if self._has_lost(member)]
        is_ignored = any(member not in self._leaving for member in lost)
        count = CANDIDATES_PER_REGION if is_ignored else WATCHERS_PER_REGION
        return node in first or node in self._list_able(ranked)[:count]

    def is_first(self) -> bool:
        """Return whether this node is the first of its region that has the store."""
        ranked = [member.node for member in self._list_candidates()]
        return self._list_able(ranked)[:1] == [self._get_local_member().node]

    def list_watchers(self) -> list[Member]:
        """Return the members that watch for the region as long as nothing is amiss."""
        return self._rank_members()[:WATCHERS_PER_REGION]

    def list_stand_ins(self) -> list[Member]:
        """Return the members of this data centre that replace silent watchers."""
        data_centre = self._get_local_member().data_centre
        others = self._rank_members()[WATCHERS_PER_REGION:]
        near = [member for member in others if member.data_centre == data_centre]
        return near[:STAND_INS_PER_DATA_CENTRE]

    def stand_in(self) -> None:
        """Watch for a while, as the watchers give no sign of life."""
        self._stand_in_until = self._clock.now() + STAND_IN_SECONDS

    def record_silent(self, node: NodeId) -> None:
        """Pass over a watcher that gives no sign of life."""
        self._record_lost(node, is_leaving=False)

    def report_lost(self, is_leaving: bool = False) -> None:
        """Tell those that may stand in that this node does not watch for a while."""
        local = self._get_local_member()
        self._record_lost(local.node, is_leaving)
        for member in self._list_candidates():
            if member.node != local.node:
                self._send(parse_address(member.peers), StoreLost(is_leaving))
        self._request_watches()

    def receive_lost(self, message: StoreLost, envelope: Envelope) -> None:
        """Record that a member has lost the store."""
        # Only members are ranked, so other entries do no harm but take memory.
        if self._table.find(envelope.sender) is None:
            return
        self._record_lost(envelope.sender, message.is_leaving)
        self._request_watches()
        self._react()

    def receive_request(self, message: WatchRequest, envelope: Envelope) -> None:
        """Watch for a while, unless this node has just tried in vain."""
        now = self._clock.now()
        is_watching = now < self._requested_until
        since_request = now - self._requested_at
        # While the store answers nobody, one attempt of each member is enough.
        may_try = since_request >= REQUEST_PAUSE_SECONDS and (
            self._get_contact_age() < since_request
        )
        if not is_watching and not may_try:
            return
        self._requested_until = now + REQUESTED_SECONDS
        if not is_watching:
            self._requested_at = now
            self._react()

    def _request_watches(self) -> None:
        """Ask further members to watch if no candidate of the region is served."""
        now = self._clock.now()
        if now - self._request_sent_at < REQUEST_PERIOD_SECONDS:
            return
        local = self._get_local_member()
        ranked = [member.node for member in self._list_candidates()]
        # The other watcher may take a while to notice that it is ignored.
        needed = [local.node, *ranked[WATCHERS_PER_REGION:]]
        if local.node not in ranked[:WATCHERS_PER_REGION] or self._list_able(needed):
            return
        if all(node in self._leaving for node in needed):
            return
        self._request_sent_at = now
        further = self._rank_members()[CANDIDATES_PER_REGION:MAX_ASKED_RANK]
        for member in further:
            self._send(parse_address(member.peers), WatchRequest())

    def _record_lost(self, node: NodeId, is_leaving: bool) -> None:
        self._lost_at[node] = self._clock.now()
        if node == self._get_local_member().node:
            self._requested_until = 0.0
        if is_leaving:
            self._leaving.add(node)
        else:
            self._leaving.discard(node)

    def _has_lost(self, node: NodeId) -> bool:
        lost_at = self._lost_at.get(node)
        if lost_at is None:
            return False
        seconds = LEAVING_SECONDS if node in self._leaving else LOST_SECONDS
        if self._clock.now() - lost_at < seconds:
            return True
        del self._lost_at[node]
        self._leaving.discard(node)
        return False

    def _list_able(self, ranked: list[NodeId]) -> list[NodeId]:
        return [node for node in ranked if not self._has_lost(node)]

    def _list_candidates(self) -> list[Member]:
        return self._rank_members()[:CANDIDATES_PER_REGION]

    def _rank_members(self) -> list[Member]:
        if self._ranked_version == self._table.version:
            return self._ranked
        region = self._get_local_member().region
        members = [
            member
            for member in self._table.list_all()
            if member.region == region and member.state in _WATCHER_STATES
        ]
        members.sort(key=lambda member: (hash_pair(_DUTY, member.node), member.node))
        self._ranked = members
        self._ranked_version = self._table.version
        return self._ranked
