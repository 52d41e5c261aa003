"""Announce this node in the platform and read who else did."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from ..clock import Clock
from ..ids import DataCentre, NodeId, Version
from ..member_records import Member, MemberState
from ..platform.objects import (
    Applied,
    Conflict,
    Listing,
    ObjectKey,
    Platform,
    StoredObject,
)
from ..results import Err, Ok
from .members import MemberTable
from .subsets import choose_subset

_LOG = logging.getLogger(__name__)
PREFIX: Final = "members/"
RENEW_SECONDS: Final = 60.0
LEASE_SECONDS: Final = 180.0
# The platform must have answered for this long before its silence on a member
# counts: after an outage every lease has lapsed.
TRUST_SECONDS: Final = 2 * LEASE_SECONDS
# A dead member's announcement is kept for so long, should it only have been cut off.
DEAD_SECONDS: Final = 30.0


@dataclass(frozen=True, slots=True)
class Leases:
    """Say how announcements age, in seconds: when renewed, lapsed, abandoned."""

    renew: float = RENEW_SECONDS
    lease: float = LEASE_SECONDS
    trust: float = TRUST_SECONDS


# Where peers judge who lives and each call to the platform is paid: one renewal in
# twenty minutes is a twentieth of a call a minute. The dead are removed on the word
# of their peers, so that a long lease keeps nobody's entry.
LONG_LEASES: Final = Leases(1200.0, 3600.0, 7200.0)


class Announcement(msgspec.Struct, frozen=True):
    """Hold a member's record; its lease ends at `lease`, seconds since the epoch."""

    member: Member
    lease: float


@dataclass(frozen=True, slots=True)
class _Observation:
    """Hold a revision of an announcement and the monotonic second it was first seen."""

    version: Version
    first_seen: float


class Registry:
    """Keep this node's announcement alive under conditional updates.

    Nothing expires in the platform: an announcement that was not renewed for long
    while the platform answered is removed by one of the nodes that are there.
    """

    def __init__(
        self,
        clock: Clock,
        platform: Platform,
        table: MemberTable,
        get_local_member: Callable[[], Member],
        leases: Leases = Leases(),
    ) -> None:
        self.reachable = False
        self.held = False
        self._leases = leases
        self._clock = clock
        self._platform = platform
        self._table = table
        self._get_local_member = get_local_member
        self._version: Version | None = None
        self._reachable_since: float | None = None
        self._observations: dict[ObjectKey, _Observation] = {}

    def announce(self) -> bool:
        """Create or renew the announcement; tell if it holds."""
        local = self._get_local_member()
        lease = self._clock.wall() + self._leases.lease
        value = msgspec.json.encode(Announcement(local, lease))
        key = make_key(local)
        outcome = self._platform.put(key, value, self._version)
        if isinstance(outcome, Conflict):
            # An earlier life of this node, or a write whose answer was lost.
            self._version = self._read_version(key)
            outcome = self._platform.put(key, value, self._version)
        self.reachable = isinstance(outcome, Applied | Conflict)
        self.held = isinstance(outcome, Applied)
        if isinstance(outcome, Applied):
            self._version = outcome.version
            return True
        self._reachable_since = None if not self.reachable else self._reachable_since
        return False

    def withdraw(self) -> None:
        """Delete the announcement."""
        if self._version is not None:
            self._platform.delete(make_key(self._get_local_member()), self._version)

    def read_members(self, stale: bool = False) -> bool:
        """Merge what others announced, and bury the long gone; tell if it could.

        With `stale` the platform may answer from a copy that lags some seconds. An
        announcement of an earlier life that says where this node is found holds on.
        """
        read = self._platform.list_stale if stale else self._platform.list_prefix
        listed = read(PREFIX)
        if isinstance(listed, Err):
            self._reachable_since = None
            self._observations.clear()
            return False
        now = self._clock.now()
        if self._reachable_since is None:
            self._reachable_since = now
        alive = self._merge(listed.value)
        if now - self._reachable_since >= self._leases.trust:
            self._mark_expired_dead(alive)
        self._remove_abandoned(listed.value)
        return True

    def remove_dead(self, node: NodeId) -> None:
        """Delete the announcement of a member that stays dead; block meanwhile.

        One of the living of its data centre does this, on condition of the revision
        that it reads, so that a member that returned meanwhile keeps its own.
        """
        self._clock.sleep(DEAD_SECONDS)
        member = self._table.find(node)
        if member is None or member.state is not MemberState.DEAD:
            return
        key = make_key(member)
        if member.data_centre != self._get_local_member().data_centre:
            return
        if not self._is_remover(key, member.data_centre):
            return
        version = self._read_version(key)
        if version is not None:
            self._delete(key, version)

    def _merge(self, listing: Listing) -> set[NodeId]:
        alive: set[NodeId] = set()
        for stored in listing.items:
            try:
                found = msgspec.json.decode(stored.value, type=Announcement)
            except msgspec.DecodeError:
                continue
            if found.lease < self._clock.wall():
                continue
            alive.add(found.member.node)
            local = self._get_local_member()
            if found.member.node != local.node:
                self._table.merge(found.member)
            elif self._version is None and self._is_still_valid(found, local):
                self._version = stored.version
                self.held = True
        return alive

    def _is_still_valid(self, found: Announcement, local: Member) -> bool:
        updated = msgspec.structs.replace(
            found.member, incarnation=local.incarnation, state=local.state
        )
        remaining = found.lease - self._clock.wall()
        return updated == local and remaining > self._leases.renew

    def _mark_expired_dead(self, alive: set[NodeId]) -> None:
        # Peers judge the own data centre; elsewhere a lapsed lease has to do.
        local = self._get_local_member()
        for member in list(self._table.list_all()):
            if member.data_centre == local.data_centre or member.node in alive:
                continue
            if member.state is MemberState.ALIVE:
                dead = msgspec.structs.replace(member, state=MemberState.DEAD)
                self._table.merge(dead)

    def _remove_abandoned(self, listing: Listing) -> None:
        now = self._clock.now()
        # The age of a revision, by the steady clock, needs no agreement on the time.
        self._observations = {
            stored.key: self._update_observation(stored, now)
            for stored in listing.items
        }
        for key, observation in self._observations.items():
            if key == make_key(self._get_local_member()):
                continue
            if now - observation.first_seen < self._leases.trust:
                continue
            if self._is_remover(key):
                self._delete(key, observation.version)

    def _delete(self, key: ObjectKey, version: Version) -> None:
        outcome = self._platform.delete(key, version)
        _LOG.info(
            "removal of an abandoned announcement",
            extra={
                "key": key,
                "revision": version,
                "outcome": type(outcome).__name__.lower(),
            },
        )

    def _update_observation(self, stored: StoredObject, now: float) -> _Observation:
        known = self._observations.get(stored.key)
        if known is not None and known.version == stored.version:
            return known
        return _Observation(stored.version, now)

    def _is_remover(self, key: ObjectKey, centre: DataCentre | None = None) -> bool:
        alive = [
            m
            for m in self._table.list_all()
            if m.state is MemberState.ALIVE and centre in (None, m.data_centre)
        ]
        others = [m for m in alive if make_key(m) != key]
        chosen = choose_subset(NodeId(key), others, 1)
        return any(member.node == self._get_local_member().node for member in chosen)

    def _read_version(self, key: ObjectKey) -> Version | None:
        match self._platform.get(key):
            case Ok(stored):
                return stored.version
        return None


def make_key(member: Member) -> ObjectKey:
    """Return where a member's announcement is kept."""
    return ObjectKey(f"{PREFIX}{member.data_centre}.{member.node}")
