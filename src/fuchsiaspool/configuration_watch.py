"""Bring the operator's configuration: by watch on a few nodes, else from peers.

Answers the load pattern in which each call to the platform is paid and hundreds of
nodes start, or lose the platform, at once: what they ask of it follows from changes,
not from how many they are.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from .clock import Clock
from .controllers.settings import SettingsReplica
from .ids import Revision, SubtreePath, Version
from .platform.objects import Listing, ObjectKey, PlatformStore, ReadFault
from .results import Err, Ok, Result
from .settings.objects import SettingsSnapshot

_LOG = logging.getLogger(__name__)
# Just under the longest wait that the platform grants, 30 s.
WATCH_SECONDS: Final = 28.0
# A node that starts gives its peers this long to hand over what is in force, of the
# second in which it has to serve again; and looks this often if they have.
PEERS_SECONDS: Final = 0.8
# So long it waits to know of anybody at all: nodes that start together for the first
# time find each other in the store with their second look at it.
ALONE_SECONDS: Final = 1.0
LOOK_SECONDS: Final = 0.05
# Pauses between questions to a platform that does not answer.
FIRST_PAUSE_SECONDS: Final = 0.4
LONGEST_PAUSE_SECONDS: Final = 2.0
# How often a node looks if it has become a watcher; that asks nobody.
TAKEOVER_SECONDS: Final = 2.0
# All nodes together look this often, each in its turn, should every watcher be cut
# off from the platform. Half of the shortest bound on a change, 2.5 s, with a margin.
FLEET_POLL_SECONDS: Final = 2.0
LEAST_POLL_SECONDS: Final = 6.0


@dataclass(frozen=True, slots=True)
class WatchDuty:
    """Tell who watches, how many nodes there are, and those of the region of news."""

    is_watcher: Callable[[], bool]
    count_nodes: Callable[[], int]
    tell_region: Callable[[], None]


class ConfigurationWatch:
    """Adopt each new revision of one object."""

    def __init__(
        self,
        clock: Clock,
        platform: PlatformStore,
        key: ObjectKey,
        path: SubtreePath,
        settings_replica: SettingsReplica[Any],
        duty: WatchDuty,
        chance: random.Random,
    ) -> None:
        self.reachable: bool | None = None
        self._clock = clock
        self._platform = platform
        self._key = key
        self._path = path
        self._keeper = settings_replica
        self._duty = duty
        self._chance = chance
        self._failures = 0

    def load(self) -> Version | None:
        """Read the object and adopt it; return where to watch on from."""
        return self._take(self._platform.list_prefix(self._make_prefix()))

    def loop(self) -> None:
        """Watch or wait for peers, for ever."""
        self._await_peers()
        since: Version | None = None
        while True:
            if not self._duty.is_watcher():
                since = None
                self._follow()
                continue
            if since is None:
                since = self.load()
                if since is None:
                    self._back_off()
                continue
            since = self.watch(since)

    def watch(self, since: Version) -> Version | None:
        """Wait once for a change; return from where to go on, `None` to list anew."""
        found = self._platform.watch(self._key, since, WATCH_SECONDS)
        match found:
            case Ok(events):
                self._note_reachable(True)
                for event in events.items:
                    if event.key == self._key and event.value is not None:
                        self._adopt(event.version, event.value)
                return max(since, events.version)
            case Err(ReadFault.VERSION_TOO_OLD):
                return None
        self._note_reachable(False)
        self._back_off()
        return None

    def _await_peers(self) -> None:
        # Where many start at once the watchers read, and hand it to the others. One
        # that knows of nobody yet can't tell who is to watch.
        alone = ALONE_SECONDS
        left = PEERS_SECONDS * self._chance.uniform(0.7, 1.3)
        while left > 0 and self._keeper.revision == 0:
            self._clock.sleep(LOOK_SECONDS)
            if self._duty.count_nodes() <= 1 and alone > 0:
                alone -= LOOK_SECONDS
                continue
            left -= LOOK_SECONDS
            if self._duty.count_nodes() > 1 and self._duty.is_watcher():
                return

    def _follow(self) -> None:
        """Hear from peers until this node is to watch, or it is its turn to look."""
        if self._keeper.revision == 0:
            # Nobody could hand anything over: what is in force is read, not guessed.
            if self.load() is None or self._keeper.revision == 0:
                self._back_off()
            return
        turn = FLEET_POLL_SECONDS * self._duty.count_nodes()
        left = max(LEAST_POLL_SECONDS, turn * self._chance.uniform(0.5, 1.5))
        while left > 0:
            self._clock.sleep(min(TAKEOVER_SECONDS, left))
            left -= TAKEOVER_SECONDS
            if self._duty.is_watcher():
                return
        self._take(self._platform.list_stale(self._make_prefix()))

    def _take(self, found: Result[Listing, ReadFault]) -> Version | None:
        if isinstance(found, Err):
            self._note_reachable(False)
            return None
        self._note_reachable(True)
        for stored in found.value.items:
            if stored.key == self._key:
                self._adopt(stored.version, stored.value)
        return found.value.version

    def _make_prefix(self) -> str:
        return self._key.partition("/")[0] + "/"

    def _adopt(self, version: Version, value: bytes) -> None:
        revision = Revision(version)
        bundle = SettingsSnapshot(
            revision, {self._path: value.decode()}, {self._path: revision}
        )
        if self._keeper.adopt(bundle):
            self._duty.tell_region()

    def _back_off(self) -> None:
        pause = FIRST_PAUSE_SECONDS * 2.0**self._failures
        self._failures = min(self._failures + 1, 8)
        self._pause(min(LONGEST_PAUSE_SECONDS, pause))

    def _pause(self, seconds: float) -> None:
        self._clock.sleep(seconds * self._chance.uniform(0.5, 1.5))

    def _note_reachable(self, reachable: bool) -> None:
        if reachable:
            self._failures = 0
        if self.reachable is reachable:
            return
        self.reachable = reachable
        _LOG.info("store regained" if reachable else "store lost")
