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
    PlatformStore,
    StoredObject,
)
from ..results import Err, Ok
from .member_table import MemberTable
from .subsets import choose_subset

_LOG = logging.getLogger(__name__)
MEMBERS_PREFIX: Final = "members/"
LEASE_RENEWAL_SECONDS: Final = 60.0
LEASE_SECONDS: Final = 180.0
# The platform must have answered for this long before its silence on a member
# counts: after an outage every lease has lapsed.
EXPIRY_GRACE_SECONDS: Final = 2 * LEASE_SECONDS
# A dead member's announcement is kept for so long, should it only have been cut off.
DEAD_REMOVAL_DELAY_SECONDS: Final = 30.0


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Say how announcements age, in seconds: when renewed, lapsed, abandoned."""

    renewal: float = LEASE_RENEWAL_SECONDS
    lease: float = LEASE_SECONDS
    expiry_grace: float = EXPIRY_GRACE_SECONDS


# Where peers judge who lives and each call to the platform is paid: one renewal in
# twenty minutes is a twentieth of a call a minute. The dead are removed on the word
# of their peers, so that a long lease keeps nobody's entry.
LONG_LEASE_TIMES: Final = LeaseTimes(1200.0, 3600.0, 7200.0)


class Announcement(msgspec.Struct, frozen=True):
    """Hold a member's record; its lease ends at `lease`, seconds since the epoch."""

    member: Member
    lease: float


@dataclass(frozen=True, slots=True)
class _Sighting:
    """Hold a revision of an announcement and the monotonic second it was first seen."""

    version: Version
    since: float


class Registry:
    """Keep this node's announcement alive under conditional updates.

    Nothing expires in the platform: an announcement that was not renewed for long
    while the platform answered is removed by one of the nodes that are there.
    """

    def __init__(
        self,
        clock: Clock,
        platform: PlatformStore,
        table: MemberTable,
        get_own: Callable[[], Member],
        leases: LeaseTimes = LeaseTimes(),
    ) -> None:
        self.reachable = False
        self.announced = False
        self._leases = leases
        self._clock = clock
        self._platform = platform
        self._table = table
        self._get_own = get_own
        self._version: Version | None = None
        self._trusted_since: float | None = None
        self._seen: dict[ObjectKey, _Sighting] = {}

    def announce(self) -> bool:
        """Create or renew the announcement; tell if it holds."""
        own = self._get_own()
        lease = self._clock.wall() + self._leases.lease
        value = msgspec.json.encode(Announcement(own, lease))
        key = make_announcement_key(own)
        outcome = self._platform.put(key, value, self._version)
        if isinstance(outcome, Conflict):
            # An earlier life of this node, or a write whose answer was lost.
            self._version = self._read_version(key)
            outcome = self._platform.put(key, value, self._version)
        self.reachable = isinstance(outcome, Applied | Conflict)
        self.announced = isinstance(outcome, Applied)
        if isinstance(outcome, Applied):
            self._version = outcome.version
            return True
        self._trusted_since = None if not self.reachable else self._trusted_since
        return False

    def withdraw(self) -> None:
        """Delete the announcement."""
        if self._version is not None:
            self._platform.delete(make_announcement_key(self._get_own()), self._version)

    def read_members(self, allow_stale: bool = False) -> bool:
        """Merge what others announced, and bury the long gone; tell if it could.

        With `stale` the platform may answer from a copy that lags some seconds. An
        announcement of an earlier life that says where this node is found holds on.
        """
        read = self._platform.list_stale if allow_stale else self._platform.list_prefix
        listed = read(MEMBERS_PREFIX)
        if isinstance(listed, Err):
            self._trusted_since = None
            self._seen.clear()
            return False
        now = self._clock.now()
        if self._trusted_since is None:
            self._trusted_since = now
        alive = self._merge(listed.value)
        if now - self._trusted_since >= self._leases.expiry_grace:
            self._bury_lapsed(alive)
        self._remove_abandoned(listed.value)
        return True

    def remove_dead(self, node: NodeId) -> None:
        """Delete the announcement of a member that stays dead; block meanwhile.

        One of the living of its data centre does this, on condition of the revision
        that it reads, so that a member that returned meanwhile keeps its own.
        """
        self._clock.sleep(DEAD_REMOVAL_DELAY_SECONDS)
        member = self._table.find(node)
        if member is None or member.state is not MemberState.DEAD:
            return
        key = make_announcement_key(member)
        if member.data_centre != self._get_own().data_centre:
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
            own = self._get_own()
            if found.member.node != own.node:
                self._table.merge(found.member)
            elif self._version is None and self._still_holds(found, own):
                self._version = stored.version
                self.announced = True
        return alive

    def _still_holds(self, found: Announcement, own: Member) -> bool:
        earlier = msgspec.structs.replace(
            found.member, incarnation=own.incarnation, state=own.state
        )
        left = found.lease - self._clock.wall()
        return earlier == own and left > self._leases.renewal

    def _bury_lapsed(self, alive: set[NodeId]) -> None:
        # Peers judge the own data centre; elsewhere a lapsed lease has to do.
        own = self._get_own()
        for member in list(self._table.list_all()):
            if member.data_centre == own.data_centre or member.node in alive:
                continue
            if member.state is MemberState.ALIVE:
                dead = msgspec.structs.replace(member, state=MemberState.DEAD)
                self._table.merge(dead)

    def _remove_abandoned(self, listing: Listing) -> None:
        now = self._clock.now()
        # The age of a revision, by the steady clock, needs no agreement on the time.
        self._seen = {
            stored.key: self._keep_sighting(stored, now) for stored in listing.items
        }
        for key, sighting in self._seen.items():
            if key == make_announcement_key(self._get_own()):
                continue
            if now - sighting.since < self._leases.expiry_grace:
                continue
            if self._is_remover(key):
                self._delete(key, sighting.version)

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

    def _keep_sighting(self, stored: StoredObject, now: float) -> _Sighting:
        known = self._seen.get(stored.key)
        if known is not None and known.version == stored.version:
            return known
        return _Sighting(stored.version, now)

    def _is_remover(self, key: ObjectKey, centre: DataCentre | None = None) -> bool:
        alive = [
            m
            for m in self._table.list_all()
            if m.state is MemberState.ALIVE and centre in (None, m.data_centre)
        ]
        others = [m for m in alive if make_announcement_key(m) != key]
        chosen = choose_subset(NodeId(key), others, 1)
        return any(member.node == self._get_own().node for member in chosen)

    def _read_version(self, key: ObjectKey) -> Version | None:
        match self._platform.get(key):
            case Ok(stored):
                return stored.version
        return None


def make_announcement_key(member: Member) -> ObjectKey:
    """Return where a member's announcement is kept."""
    return ObjectKey(f"{MEMBERS_PREFIX}{member.data_centre}.{member.node}")
