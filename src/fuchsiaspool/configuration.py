"""Bring the operator's configuration from the platform: by watch, else by poll."""

import logging
import random
from collections.abc import Callable
from typing import Any, Final

from .clock import Clock
from .controllers.settings import SettingsKeeper
from .ids import Revision, SubtreePath, Version
from .platform.objects import ObjectKey, Platform, ReadFault
from .results import Err, Ok
from .settings.objects import Bundle

_LOG = logging.getLogger(__name__)
WATCH_SECONDS: Final = 20.0
# A node that does not watch looks itself now and then, should its peers be cut off.
POLL_SECONDS: Final = 30.0
PAUSE_SECONDS: Final = 0.5


class ConfigurationWatch:
    """Adopt each new revision of one object."""

    def __init__(
        self,
        clock: Clock,
        platform: Platform,
        key: ObjectKey,
        path: SubtreePath,
        keeper: SettingsKeeper[Any],
        is_watcher: Callable[[], bool],
        chance: random.Random,
    ) -> None:
        self.reachable: bool | None = None
        self._clock = clock
        self._platform = platform
        self._key = key
        self._path = path
        self._keeper = keeper
        self._is_watcher = is_watcher
        self._chance = chance

    def load(self) -> Version | None:
        """Read the object and adopt it; return where to watch on from."""
        kind = self._key.partition("/")[0]
        match self._platform.list_prefix(f"{kind}/"):
            case Ok(listing):
                self._note_reachable(True)
                for stored in listing.items:
                    if stored.key == self._key:
                        self._adopt(stored.version, stored.value)
                return listing.version
        self._note_reachable(False)
        return None

    def loop(self) -> None:
        """Watch or poll for ever."""
        since: Version | None = None
        while True:
            if since is None:
                since = self.load()
                if since is None:
                    self._pause(PAUSE_SECONDS)
                    continue
            if not self._is_watcher():
                self._pause(POLL_SECONDS)
                since = None
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
        self._pause(PAUSE_SECONDS)
        return None

    def _adopt(self, version: Version, value: bytes) -> None:
        revision = Revision(version)
        self._keeper.adopt(
            Bundle(revision, {self._path: value.decode()}, {self._path: revision})
        )

    def _pause(self, seconds: float) -> None:
        self._clock.sleep(seconds * self._chance.uniform(0.5, 1.5))

    def _note_reachable(self, reachable: bool) -> None:
        if self.reachable is reachable:
            return
        self.reachable = reachable
        _LOG.info("store regained" if reachable else "store lost")
