"""Load settings from the platform: by watch on a few nodes, by poll on the others."""

import random
from collections.abc import Callable
from typing import Final

from .clock import Clock
from .controllers.settings import SettingsReplica
from .platform.objects import ObjectKey, PlatformStore, Position, ReadFault
from .results import Err, Ok
from .settings.objects import SETTINGS_PREFIX, SETTINGS_ROOT_KEY
from .settings.policy import Policy
from .settings.store import load_tree

WATCH_TIMEOUT_SECONDS: Final = 30.0
POLL_INTERVAL_SECONDS: Final = 60.0
RETRY_PAUSE_SECONDS: Final = 1.0


class SettingsWatch:
    """Load the settings tree when its root object changes."""

    def __init__(
        self,
        clock: Clock,
        store: PlatformStore,
        settings_replica: SettingsReplica[Policy],
        is_watcher: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._store = store
        self._settings_replica = settings_replica
        self._is_watcher = is_watcher
        self._rng = rng
        self._texts: dict[ObjectKey, str] = {}

    def load(self) -> bool:
        """Read the tree and adopt it if newer; return whether it could be read."""
        loaded = load_tree(self._store, self._texts)
        if isinstance(loaded, Err):
            return False
        tree = loaded.value
        subtree_refs = tree.root.subtrees
        self._texts = {
            subtree_refs[p].object: t for p, t in tree.snapshot.texts.items()
        }
        self._settings_replica.adopt(tree.snapshot)
        return True

    def run(self) -> None:
        """Watch or poll; never return."""
        since: Position | None = None
        while True:
            if not self._is_watcher():
                since = None
                self._clock.sleep(POLL_INTERVAL_SECONDS * self._rng.uniform(0.5, 1.5))
                self.load()
                continue
            since = self.watch(since)

    def watch(self, since: Position | None) -> Position | None:
        """Wait once for a change; return the position to go on from.

        `None`: the platform failed or no longer has the position; read again.
        """
        if since is None:
            since = self._read_root_position()
            if since is None:
                self._clock.sleep(RETRY_PAUSE_SECONDS * self._rng.uniform(0.5, 1.5))
                return None
            self.load()
        result = self._store.watch(SETTINGS_ROOT_KEY, since, WATCH_TIMEOUT_SECONDS)
        match result:
            case Ok(events):
                if events.items and not self.load():
                    # The change could not be read; watch again from before it.
                    self._clock.sleep(RETRY_PAUSE_SECONDS)
                    return since
                return Position(max(since.version, events.version), events.era)
            case Err(ReadFault.VERSION_TOO_OLD):
                return None
        self._clock.sleep(RETRY_PAUSE_SECONDS * self._rng.uniform(0.5, 1.5))
        return None

    def _read_root_position(self) -> Position | None:
        match self._store.list_prefix(SETTINGS_PREFIX + "root"):
            case Ok(listing):
                return listing.position
        return None
