"""Announce this node in the platform's store and read the other announcements."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from ..clock import Clock
from ..decoding import DecodingError, make_json_decoder
from ..ids import DataCentre, Era, NodeId, Version
from ..member_records import Member, MemberState
from ..platform.objects import (
    Applied,
    Conflict,
    Listing,
    ObjectKey,
    PlatformStore,
    ReadFault,
    StoredObject,
)
from ..results import Err, Ok
from .member_table import MemberTable
from .store_era import FIRST_ERA
from .subsets import choose_subset

_LOG = logging.getLogger(__name__)
MEMBERS_PREFIX: Final = "members/"
LEASE_RENEWAL_SECONDS: Final = 60.0
LEASE_SECONDS: Final = 180.0
# The platform must have answered for this long before a missing renewal counts:
# after an outage every lease has expired.
EXPIRY_GRACE_SECONDS: Final = 2 * LEASE_SECONDS
# A dead member keeps its announcement for this time, in case it was only cut off.
DEAD_REMOVAL_DELAY_SECONDS: Final = 30.0
# Rate at which all nodes together look for their announcements after a restore of the
# store. The store's limits of calls are several times as high.
CONFIRMATIONS_PER_SECOND: Final = 100.0
MIN_CONFIRM_BACKOFF_SECONDS: Final = 0.5
MAX_CONFIRM_BACKOFF_SECONDS: Final = 4.0
# Pause after which a peer may cause the next look, whatever it states.
CONFIRM_PAUSE_SECONDS: Final = 5.0


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Define when announcements are renewed, expire and are abandoned, in seconds."""

    renewal: float = LEASE_RENEWAL_SECONDS
    lease: float = LEASE_SECONDS
    expiry_grace: float = EXPIRY_GRACE_SECONDS


# For a platform that bills each call: one renewal in 20 minutes is 0.05 calls a
# minute. Peers detect dead members and remove their announcements, so that a long
# lease leaves none behind.
LONG_LEASE_TIMES: Final = LeaseTimes(1200.0, 3600.0, 7200.0)


class Announcement(msgspec.Struct, frozen=True):
    """Represent a member and the end of its lease, in seconds since the epoch."""

    member: Member
    lease: float


_decode: Final = make_json_decoder(Announcement)


@dataclass(frozen=True, slots=True)
class _Observation:
    """Record the monotonic second when an announcement's revision was first seen."""

    version: Version
    first_seen: float


class Registry:
    """Maintain this node's announcement by conditional updates.

    The store expires nothing: an announcement that was not renewed for a long time,
    while the platform answered, is removed by one of the alive nodes.
    """

    def __init__(
        self,
        clock: Clock,
        store: PlatformStore,
        table: MemberTable,
        get_local_member: Callable[[], Member],
        leases: LeaseTimes = LeaseTimes(),
        get_era: Callable[[], Era] = lambda: Era(0),
    ) -> None:
        self.reachable = False
        self.announced = False
        self._withdrawn = False
        self._leases = leases
        self._get_era = get_era
        self._clock = clock
        self._store = store
        self._table = table
        self._get_local_member = get_local_member
        self._version: Version | None = None
        self._reachable_since: float | None = None
        self._listed_era = Era(0)
        self._observations: dict[ObjectKey, _Observation] = {}

    def announce(self) -> bool:
        """Create or renew the announcement and return whether that succeeded."""
        if self._withdrawn:
            return False
        local = self._get_local_member()
        lease = self._clock.wall() + self._leases.lease
        value = msgspec.json.encode(Announcement(local, lease))
        key = make_announcement_key(local)
        outcome = self._store.put(key, value, self._version)
        if isinstance(outcome, Conflict):
            # Written before a restart of this node, or the answer to a write was lost.
            self._version = self._read_version(key)
            outcome = self._store.put(key, value, self._version)
        self.reachable = isinstance(outcome, Applied | Conflict)
        self.announced = isinstance(outcome, Applied)
        if isinstance(outcome, Applied):
            self._version = outcome.version
            if self._withdrawn:
                # The withdrawal came while this was being written.
                self._store.delete(key, outcome.version)
                self.announced = False
            return self.announced
        self._reachable_since = None if not self.reachable else self._reachable_since
        return False

    def ensure_announced(self) -> bool:
        """Announce this node again unless its announcement still stands.

        Return whether one stands in the store now.
        """
        local = self._get_local_member()
        match self._store.get(make_announcement_key(local)):
            case Ok(stored):
                self._version = stored.version
                announcement = decode_announcement(stored)
                self.announced = announcement is not None and self._is_still_valid(
                    announcement, local
                )
            case Err(ReadFault.NOT_FOUND):
                self._version = None
                self.announced = False
            case Err():
                return False
        return self.announced or self.announce()

    def repair_announcement(self, rng: random.Random) -> None:
        """Undo what a restore of the store did to the announcement; block meanwhile.

        The store may have lost it, and then nodes that start later would not find this
        one, or may have brought back one that was withdrawn.
        """
        repaired_era: Era | None = None
        while self._get_era() != repaired_era:
            spread = self._table.count_live() / CONFIRMATIONS_PER_SECOND
            self._clock.sleep(rng.uniform(0.0, spread))
            self._repair_once(rng)
            repaired_era = self._get_era()
            self._clock.sleep(CONFIRM_PAUSE_SECONDS)

    def _repair_once(self, rng: random.Random) -> None:
        backoff = MIN_CONFIRM_BACKOFF_SECONDS
        while not self._withdrawn and not self.ensure_announced():
            self._clock.sleep(backoff * rng.uniform(0.7, 1.3))
            backoff = min(2 * backoff, MAX_CONFIRM_BACKOFF_SECONDS)
        if self._withdrawn:
            self._delete_own_announcement()

    def withdraw(self) -> None:
        """Delete the announcement, unless a later process has written it.

        A store that was restored from a copy holds it at another version.
        """
        self._withdrawn = True
        if self._version is None:
            return
        key = make_announcement_key(self._get_local_member())
        outcome = self._store.delete(key, self._version)
        if isinstance(outcome, Conflict):
            self._delete_own_announcement()

    def _delete_own_announcement(self) -> None:
        key = make_announcement_key(self._get_local_member())
        match self._store.get(key):
            case Ok(stored) if self._is_not_from_later_process(stored):
                self._store.delete(key, stored.version)

    def read_members(self, allow_stale: bool = False) -> bool:
        """Merge the other announcements and return whether the store answered.

        Marks members of other data centres dead after their lease has expired, and
        removes abandoned announcements.
        With `allow_stale` the platform may answer from a copy that lags some seconds.
        An announcement from before a restart of this node stays valid if it still
        describes the node and its lease lasts beyond one renewal.
        """
        read = self._store.list_stale if allow_stale else self._store.list_prefix
        listed = read(MEMBERS_PREFIX)
        if isinstance(listed, Err):
            self._reachable_since = None
            self._observations.clear()
            return False
        if listed.value.era < max(self._listed_era, self._get_era()):
            # A copy that lags, from before the store was restored. Records of members
            # have an order of their own, so that only they are of use.
            self._merge(listed.value, adopts_own=False)
            return True
        if listed.value.era > self._listed_era:
            # Announcements may be missing until their nodes announce them again, and
            # versions that were observed may have been given out anew.
            self._listed_era = listed.value.era
            self._reachable_since = None
            self._observations.clear()
        now = self._clock.now()
        if self._reachable_since is None:
            self._reachable_since = now
        # A copy that lags may be from before a restore, whatever era its answer states.
        adopts_own = not allow_stale or listed.value.era <= FIRST_ERA
        alive = self._merge(listed.value, adopts_own)
        if now - self._reachable_since >= self._leases.expiry_grace:
            self._mark_expired_dead(alive)
        self._remove_abandoned(listed.value)
        return True

    def remove_dead(self, node: NodeId) -> None:
        """Delete the announcement of a member that stays dead; block meanwhile.

        One alive node of its data centre does this, under the condition that the
        revision is unchanged, so that a member that returns keeps its announcement.
        """
        self._clock.sleep(DEAD_REMOVAL_DELAY_SECONDS)
        member = self._table.find(node)
        if member is None or member.state is not MemberState.DEAD:
            return
        key = make_announcement_key(member)
        if member.data_centre != self._get_local_member().data_centre:
            return
        if not self._is_remover(key, member.data_centre):
            return
        version = self._read_version(key)
        if version is not None:
            self._delete(key, version)

    def _merge(self, listing: Listing, adopts_own: bool) -> set[NodeId]:
        alive: set[NodeId] = set()
        for stored in listing.items:
            announcement = decode_announcement(stored)
            if announcement is None or announcement.lease < self._clock.wall():
                continue
            alive.add(announcement.member.node)
            local = self._get_local_member()
            if announcement.member.node != local.node:
                self._table.merge(announcement.member)
            elif (
                adopts_own
                and self._version is None
                and self._is_still_valid(announcement, local)
            ):
                self._version = stored.version
                self.announced = True
        return alive

    def _is_not_from_later_process(self, stored: StoredObject) -> bool:
        announcement = decode_announcement(stored)
        incarnation = self._get_local_member().incarnation
        return (
            announcement is not None and announcement.member.incarnation <= incarnation
        )

    def _is_still_valid(self, announcement: Announcement, local: Member) -> bool:
        updated = msgspec.structs.replace(
            announcement.member, incarnation=local.incarnation, state=local.state
        )
        remaining = announcement.lease - self._clock.wall()
        return updated == local and remaining > self._leases.renewal

    def _mark_expired_dead(self, alive: set[NodeId]) -> None:
        # Peers detect failures in this data centre; the lease shows those elsewhere.
        local = self._get_local_member()
        for member in list(self._table.list_all()):
            if member.data_centre == local.data_centre or member.node in alive:
                continue
            if member.state is MemberState.ALIVE:
                dead = msgspec.structs.replace(member, state=MemberState.DEAD)
                self._table.merge(dead)

    def _remove_abandoned(self, listing: Listing) -> None:
        now = self._clock.now()
        # Ages count on the monotonic clock from when this node first saw a revision, so
        # that wall clocks need not agree.
        self._observations = {
            stored.key: self._update_observation(stored, now)
            for stored in listing.items
        }
        for key, observation in self._observations.items():
            if key == make_announcement_key(self._get_local_member()):
                continue
            if now - observation.first_seen < self._leases.expiry_grace:
                continue
            if self._is_remover(key):
                self._delete(key, observation.version)

    def _delete(self, key: ObjectKey, version: Version) -> None:
        outcome = self._store.delete(key, version)
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

    def _is_remover(
        self, key: ObjectKey, data_centre: DataCentre | None = None
    ) -> bool:
        """Return whether rendezvous hashing assigns the removal to this node."""
        alive = [
            member
            for member in self._table.list_all()
            if member.state is MemberState.ALIVE
            and data_centre in (None, member.data_centre)
        ]
        others = [member for member in alive if make_announcement_key(member) != key]
        chosen = choose_subset(NodeId(key), others, 1)
        return any(member.node == self._get_local_member().node for member in chosen)

    def _read_version(self, key: ObjectKey) -> Version | None:
        match self._store.get(key):
            case Ok(stored):
                return stored.version
        return None


def decode_announcement(stored: StoredObject) -> Announcement | None:
    """Decode an announcement; `None` if it is one of another writer."""
    try:
        return _decode(stored.value)
    except DecodingError as error:
        extra = {"key": stored.key, "detail": str(error)}
        _LOG.warning("announcement not read", extra=extra)
        return None


def make_announcement_key(member: Member) -> ObjectKey:
    """Return the store key of a member's announcement."""
    return ObjectKey(f"{MEMBERS_PREFIX}{member.data_centre}.{member.node}")
