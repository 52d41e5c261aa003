"""Keep the operator's configuration current: by watch on a few nodes, else by gossip.

Every request to the platform has a cost, and hundreds of nodes may start, or lose the
platform, at the same time. The number of requests therefore depends on the number of
changes, not on the number of nodes.
"""

import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final, Generic, TypeVar

from .clock import Clock, Waiter
from .controllers.settings import SettingsReplica
from .ids import Revision, SubtreePath, Version
from .platform.objects import (
    Listing,
    ObjectKey,
    PlatformStore,
    Position,
    ReadFault,
    WatchBatch,
)
from .results import Err, Ok, Result
from .settings.objects import SettingsSnapshot

_LOG = logging.getLogger(__name__)
# Just below the longest watch that the platform permits, 30 s.
WATCH_TIMEOUT_SECONDS: Final = 28.0
# Time that a starting node gives its peers to send the configuration; it has to serve
# within 1 s of its start.
PEER_CONFIGURATION_WAIT_SECONDS: Final = 0.8
# Time to discover the first peer: nodes that start together for the first time find
# each other only with their second read of the store.
PEER_DISCOVERY_WAIT_SECONDS: Final = 1.0
# Interval at which a starting node checks for peers and their configuration.
PEER_CHECK_SECONDS: Final = 0.05
# Backoff between requests to a platform that does not answer.
MIN_BACKOFF_SECONDS: Final = 0.4
MAX_BACKOFF_SECONDS: Final = 1.5
# Interval at which a node checks if it has become a watcher; this needs no request.
WATCHER_CHECK_SECONDS: Final = 2.0
# A waiting read may be lost without a sign. A watcher sees that when peers have a
# change for this long that its watch has not brought, or when a probe fails.
MISSED_CHANGE_SECONDS: Final = 1.0
# The store may ignore all watchers of a region and serve others, which have to learn of
# a change within 2.5 s. The first watcher of a region therefore finds out within the
# sum of these two, which leaves time for the others to read.
FIRST_WATCHER_CHECK_SECONDS: Final = 1.4
PROBE_TIMEOUT_SECONDS: Final = 0.4
PROBE_WAKE_SECONDS: Final = 0.05
WATCH_CHECK_SECONDS: Final = 10.0
# While any node has had an answer this recently, only first watchers probe the store.
# The news of it spreads with the messages between nodes, within some seconds.
CONTACT_SECONDS: Final = 10.0
# Shortest time between checks, whatever peers report.
MIN_WATCH_CHECK_SECONDS: Final = 2.0
WATCH_WAKE_SECONDS: Final = 0.5
# A shorter wait may not advance a clock, because of rounding.
MIN_WAIT_SECONDS: Final = 0.001
# Mean interval between polls, counted over all nodes, so that a change is found even if
# every watcher is cut off from the platform. The interval has a margin to 2.5 s, which
# is half of the shortest time within which a change must take effect.
FLEET_POLL_SECONDS: Final = 2.0
MIN_NODE_POLL_SECONDS: Final = 6.0


class ReadKind(Enum):
    """Enumerate the reads of the store that may bring a configuration."""

    LIST = "list"
    WATCH = "watch"
    CHECK = "check"
    POLL = "poll"


@dataclass(frozen=True, slots=True)
class FleetView:
    """Collect the functions that connect a watch to the fleet.

    is_watcher: whether this node is to watch the platform
    count_nodes: number of nodes in the fleet, this one included
    push_to_region: sends gossip about a new revision to the other nodes of this region
    report_lost: tells those that may stand in that this node can't read the store
    is_first_watcher: whether this node is to notice for its region that the store
        does not answer
    get_contact_age: seconds since any node is known to have had the store's answer
    note_contact: records that this node has had one
    report_watching: tells those that wait for it that this node watches
    """

    is_watcher: Callable[[], bool]
    count_nodes: Callable[[], int]
    push_to_region: Callable[[], None]
    report_lost: Callable[[], None] = lambda: None
    is_first_watcher: Callable[[], bool] = lambda: False
    get_contact_age: Callable[[], float] = lambda: math.inf
    note_contact: Callable[[], None] = lambda: None
    report_watching: Callable[[], None] = lambda: None


ReadT = TypeVar("ReadT")


@dataclass(slots=True)
class _PendingRead(Generic[ReadT]):
    """Represent a read in another task, without a result until it ends."""

    waiter: Waiter
    result: Result[ReadT, ReadFault] | None = None


class ConfigurationWatch:
    """Adopt each new revision of one stored object.

    `read_revision` returns the order of a value, whatever the store's revision of it.
    """

    def __init__(
        self,
        clock: Clock,
        store: PlatformStore,
        key: ObjectKey,
        path: SubtreePath,
        read_revision: Callable[[bytes], Result[Revision, str]],
        settings_replica: SettingsReplica[Any],
        fleet: FleetView,
        rng: random.Random,
    ) -> None:
        self.reachable: bool | None = None
        # Whether this node watches, and has asked the store since it took that duty.
        self.watching = False
        self._clock = clock
        self._store = store
        self._key = key
        self._path = path
        self._read_revision = read_revision
        self._settings_replica = settings_replica
        self._fleet = fleet
        self._rng = rng
        self._failures = 0
        self._has_polled = False
        self._read_requested = False
        self._duty_waiter: Waiter | None = None
        self._probe: _PendingRead[Position] | None = None
        self._listed_version = Version(0)
        self._checked_at = self._requested_at = clock.now()
        self._check_at = math.inf

    def load(self) -> Position | None:
        """Read and adopt the object; return the position to watch from, if readable."""
        listed = self._read_listing(self._store.list_prefix)
        return self._adopt_listing(listed, ReadKind.LIST)

    def run(self) -> None:
        """Watch the object, or wait for gossip and poll; never return."""
        self._await_peers()
        since: Position | None = None
        while True:
            if not self._fleet.is_watcher():
                since = None
                self.watching = False
                self._wait_for_gossip_or_poll()
                continue
            if since is None:
                since = self.load()
                self.watching = True
                self._fleet.report_watching()
                if since is None:
                    self._back_off()
                continue
            since = self.watch(since)

    def review_duty(self) -> None:
        """Check soon whether this node has become a watcher and can reach the store."""
        self._requested_at = self._clock.now()
        earliest = self._checked_at + MIN_WATCH_CHECK_SECONDS
        self._check_at = min(self._check_at, earliest)
        if self._duty_waiter is not None:
            self._duty_waiter.notify()

    def read_once(self) -> None:
        """Read the configuration soon, although this node does not watch."""
        self._read_requested = True
        if self._duty_waiter is not None:
            self._duty_waiter.notify()

    def watch(self, since: Position) -> Position | None:
        """Wait once for a change; return the position to go on from.

        `None`: the platform failed or no longer has the position; read again.
        """
        result = self._await_change(since)
        match result:
            case Ok(events):
                self._note_reachable(True)
                for event in events.items:
                    if event.key == self._key and event.value is not None:
                        self._adopt(event.value, ReadKind.WATCH)
                return Position(max(since.version, events.version), events.era)
            case Err(ReadFault.VERSION_TOO_OLD):
                return None
        self._note_reachable(False)
        self._back_off()
        return None

    def _await_change(self, since: Position) -> Result[WatchBatch, ReadFault]:
        """Wait for the store in another task, until that seems to be in vain."""
        watched = self._start_read(
            lambda: self._store.watch(self._key, since, WATCH_TIMEOUT_SECONDS)
        )
        self._probe = None
        if self._check_at == math.inf:
            # Watchers that start together check at different times.
            pause = WATCH_CHECK_SECONDS * self._rng.random()
            self._check_at = self._clock.now() + pause
        known_revision = self._settings_replica.revision
        missed_since: float | None = None
        while not watched.waiter.wait(self._choose_wake()):
            fault = self._check_store(since)
            if fault is not None:
                return Err(fault)
            now = self._clock.now()
            if self._settings_replica.revision == known_revision:
                missed_since = None
            elif missed_since is None:
                missed_since = now
            elif now - missed_since >= MISSED_CHANGE_SECONDS:
                self._log_missed_change(since)
                # The object has to be read again, as after a gap in the history.
                return Err(ReadFault.VERSION_TOO_OLD)
        assert watched.result is not None
        return watched.result

    def _choose_wake(self) -> float:
        if self._probe is not None:
            return PROBE_WAKE_SECONDS
        wait_left = self._find_check_time() - self._clock.now()
        return min(WATCH_WAKE_SECONDS, max(MIN_WAIT_SECONDS, wait_left))

    def _find_check_time(self) -> float:
        # Any watcher may become the first one while it waits.
        if self._fleet.is_first_watcher():
            return min(self._check_at, self._checked_at + FIRST_WATCHER_CHECK_SECONDS)
        return self._check_at

    def _check_store(self, since: Position) -> ReadFault | None:
        """Probe the store when that is due; return what is wrong with the watch."""
        now = self._clock.now()
        probe = self._probe
        if probe is None:
            if now >= self._find_check_time():
                self._start_probe(now)
            return None
        if probe.result is None:
            is_late = now - self._checked_at >= PROBE_TIMEOUT_SECONDS
            return ReadFault.UNAVAILABLE if is_late else None
        self._probe = None
        if isinstance(probe.result, Err):
            return ReadFault.UNAVAILABLE
        self._note_reachable(True)
        if self._has_missed_change(probe.result.value, since):
            self._log_missed_change(since)
            return ReadFault.VERSION_TOO_OLD
        return None

    def _start_probe(self, now: float) -> None:
        self._check_at = now + WATCH_CHECK_SECONDS
        # A request to look at once does not depend on what others have seen.
        is_requested = self._requested_at > self._checked_at
        is_needed = is_requested or self._fleet.is_first_watcher()
        if not is_needed and self._was_store_contacted():
            return
        self._checked_at = now
        self._probe = self._start_read(lambda: self._store.probe(self._key))

    def _was_store_contacted(self) -> bool:
        return self._fleet.get_contact_age() < CONTACT_SECONDS

    def _has_missed_change(self, position: Position, since: Position) -> bool:
        if position.era > since.era:
            return True
        # Objects of other kinds change the store's version as well.
        if position.version <= max(since.version, self._listed_version):
            return False
        known_revision = self._settings_replica.revision
        listed = self._read_listing(self._store.list_stale)
        listed_position = self._adopt_listing(listed, ReadKind.CHECK)
        if listed_position is not None:
            self._listed_version = listed_position.version
        return (
            listed_position is None or self._settings_replica.revision != known_revision
        )

    def _log_missed_change(self, since: Position) -> None:
        revision = self._settings_replica.revision
        extra = {"revision": revision, "since": since.version}
        _LOG.warning("watch missed a change", extra=extra)

    def _read_listing(
        self, read: Callable[[str], Result[Listing, ReadFault]]
    ) -> Result[Listing, ReadFault]:
        """Read a list; report a store that does not answer before the read ends."""
        pending = self._start_read(lambda: read(self._make_prefix()))
        if not pending.waiter.wait(PROBE_TIMEOUT_SECONDS):
            self._fleet.report_lost()
            pending.waiter.wait()
        assert pending.result is not None
        return pending.result

    def _start_read(
        self, read: Callable[[], Result[ReadT, ReadFault]]
    ) -> "_PendingRead[ReadT]":
        """Read in another task; its failure is a failed read."""
        pending = _PendingRead[ReadT](self._clock.make_waiter())

        def run() -> None:
            try:
                pending.result = read()
            except Exception:
                _LOG.exception("read of the store failed")
                pending.result = Err(ReadFault.UNAVAILABLE)
            pending.waiter.notify()

        self._clock.spawn(run)
        return pending

    def _await_peers(self) -> None:
        # When many nodes start at once, the watchers read the configuration and send it
        # to the others. A node without known peers cannot decide who is a watcher.
        discovery_left = PEER_DISCOVERY_WAIT_SECONDS
        wait_left = PEER_CONFIGURATION_WAIT_SECONDS * self._rng.uniform(0.7, 1.3)
        while wait_left > 0 and self._settings_replica.revision == 0:
            self._clock.sleep(PEER_CHECK_SECONDS)
            if self._fleet.count_nodes() <= 1 and discovery_left > 0:
                discovery_left -= PEER_CHECK_SECONDS
                continue
            wait_left -= PEER_CHECK_SECONDS
            if self._fleet.count_nodes() > 1 and self._fleet.is_watcher():
                return

    def _wait_for_gossip_or_poll(self) -> None:
        """Wait for gossip until this node becomes a watcher or its poll is due."""
        if self._settings_replica.revision == 0:
            # No peer has sent a configuration, so this node reads it from the store.
            if self.load() is None or self._settings_replica.revision == 0:
                self._back_off()
            return
        poll_at = self._clock.now() + self._choose_poll_interval()
        self._read_requested = False
        while (wait_left := poll_at - self._clock.now()) > MIN_WAIT_SECONDS:
            self._duty_waiter = self._clock.make_waiter()
            self._duty_waiter.wait(min(WATCHER_CHECK_SECONDS, wait_left))
            if self._fleet.is_watcher():
                return
            if self._read_requested:
                self.load()
                return
        self._has_polled = True
        if self._was_store_contacted():
            return
        listed = self._read_listing(self._store.list_stale)
        self._adopt_listing(listed, ReadKind.POLL)

    def _choose_poll_interval(self) -> float:
        interval = FLEET_POLL_SECONDS * self._fleet.count_nodes()
        interval = max(MIN_NODE_POLL_SECONDS, interval * self._rng.uniform(0.5, 1.5))
        if self._has_polled:
            return interval
        # Nodes that start together are spread over the interval from the first poll on.
        return interval * self._rng.random()

    def _adopt_listing(
        self, result: Result[Listing, ReadFault], kind: ReadKind
    ) -> Position | None:
        if isinstance(result, Err):
            self._note_reachable(False)
            return None
        self._note_reachable(True)
        for stored in result.value.items:
            if stored.key == self._key:
                self._adopt(stored.value, kind)
        return result.value.position

    def _make_prefix(self) -> str:
        return self._key.partition("/")[0] + "/"

    def _adopt(self, value: bytes, kind: ReadKind) -> None:
        read = self._read_revision(value)
        if isinstance(read, Err):
            _LOG.error("configuration not read", extra={"detail": read.error})
            return
        revision = read.value
        snapshot = SettingsSnapshot(
            revision, {self._path: value.decode()}, {self._path: revision}
        )
        if self._settings_replica.adopt(snapshot):
            # A configuration adopted without this line came from a peer.
            extra = {"revision": revision, "read": kind.value}
            _LOG.info("configuration read", extra=extra)
            self._fleet.push_to_region()

    def _back_off(self) -> None:
        backoff = MIN_BACKOFF_SECONDS * 2.0**self._failures
        self._failures = min(self._failures + 1, 8)
        self._sleep_with_jitter(min(MAX_BACKOFF_SECONDS, backoff))

    def _sleep_with_jitter(self, seconds: float) -> None:
        self._clock.sleep(seconds * self._rng.uniform(0.5, 1.5))

    def _note_reachable(self, reachable: bool) -> None:
        if reachable:
            self._failures = 0
            self._fleet.note_contact()
        else:
            self._fleet.report_lost()
        if self.reachable is reachable:
            return
        self.reachable = reachable
        _LOG.info("store regained" if reachable else "store lost")
