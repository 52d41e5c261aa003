"""Load settings from the platform: by watch on a few nodes, by poll on the others."""

import random
import uuid
from collections.abc import Callable
from typing import Final

from .clock import Clock
from .controllers.settings import SettingsReplica
from .controllers.store_era import StoreEra
from .ids import Nonce
from .platform.objects import (
    Applied,
    Conflict,
    ObjectKey,
    PlatformStore,
    Position,
    ReadFault,
    WriteOutcome,
)
from .results import Err, Ok
from .settings.objects import SETTINGS_PREFIX, SETTINGS_ROOT_KEY
from .settings.policy import Policy
from .settings.restoration import write_back_tree
from .settings.store import LoadedTree, load_tree

WATCH_TIMEOUT_SECONDS: Final = 30.0
POLL_INTERVAL_SECONDS: Final = 60.0
RETRY_PAUSE_SECONDS: Final = 1.0
MAX_WRITE_BACK_ATTEMPTS: Final = 5


class SettingsWatch:
    """Load the settings tree when its root object changes."""

    def __init__(
        self,
        clock: Clock,
        store: PlatformStore,
        settings_replica: SettingsReplica[Policy],
        is_watcher: Callable[[], bool],
        rng: random.Random,
        store_era: StoreEra | None = None,
        make_nonce: Callable[[], Nonce] = lambda: Nonce(uuid.uuid4().hex[:16]),
    ) -> None:
        self._clock = clock
        self._store = store
        self._settings_replica = settings_replica
        self._is_watcher = is_watcher
        self._rng = rng
        self._make_nonce = make_nonce
        self._store_era = store_era or StoreEra()
        self._store_era.add_listener(self._note_restore)
        self._was_restored = False
        self._texts: dict[ObjectKey, str] = {}

    def load(self) -> bool:
        """Read the tree and adopt it if newer; return whether it could be read.

        What a restored store has lost of the tree in force is written back before.
        """
        for _ in range(MAX_WRITE_BACK_ATTEMPTS):
            tree = self._read_tree()
            if tree is None:
                return False
            outcome = self._write_back(tree)
            if outcome is None:
                self._settings_replica.adopt(tree.snapshot)
                return True
            if not isinstance(outcome, Applied | Conflict):
                return False
        return False

    def _note_restore(self) -> None:
        self._was_restored = True

    def _write_back(self, tree: LoadedTree) -> WriteOutcome | None:
        # A store that was never restored may lack the tree on purpose.
        if not self._was_restored:
            return None
        return write_back_tree(
            self._clock,
            self._store,
            tree,
            self._settings_replica.snapshot,
            self._store_era.current,
            self._make_nonce,
        )

    def _read_tree(self) -> LoadedTree | None:
        loaded = load_tree(self._store, self._texts)
        if isinstance(loaded, Err):
            return None
        tree = loaded.value
        subtree_refs = tree.root.subtrees
        self._texts = {
            subtree_refs[p].object: t for p, t in tree.snapshot.texts.items()
        }
        return tree

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
            # A change that could not be read would not be seen by the watch either.
            if since is None or not self.load():
                self._clock.sleep(RETRY_PAUSE_SECONDS * self._rng.uniform(0.5, 1.5))
                return None
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
