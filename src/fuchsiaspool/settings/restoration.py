"""Write back what a restored store has lost of the settings tree."""

import logging
from collections.abc import Callable
from typing import Final

import msgspec

from ..clock import Clock
from ..ids import Era, Nonce, Revision, SubtreePath, TeamName
from ..platform.objects import (
    Applied,
    Conflict,
    ObjectKey,
    PlatformStore,
    Unavailable,
    WriteOutcome,
)
from ..platform.writes import ConditionalWrite, write_and_confirm
from ..results import Err
from .objects import HistoryEntry, SettingsSnapshot, SubtreeRef, TreeRoot, hash_text
from .store import (
    TEXTS_PREFIX,
    LoadedTree,
    append_to_history,
    choose_next_revision,
    make_root_write,
)
from .tree import build_policy

_LOG = logging.getLogger(__name__)
# The history names this instead of a team for what nodes have written back.
RESTORING_TEAM: Final = TeamName("(restored)")


def write_back_tree(
    clock: Clock,
    store: PlatformStore,
    tree: LoadedTree,
    held: SettingsSnapshot,
    era: Era,
    make_nonce: Callable[[], Nonce],
) -> WriteOutcome | None:
    """Write back the subtrees of a held tree that the stored one lacks.

    Return `None` if it lacks none, or if both together aren't valid. A subtree that
    was changed after the restore stays as it was changed.
    """
    lost, changed = _find_lost(tree, held), _find_changed(tree, held)
    if not lost and not (changed and tree.root.revision <= held.revision):
        return None
    revision = held.revision
    if changed or tree.root.revision > held.revision:
        # Other nodes hold the revision without the change: both need a higher one.
        highest = max(tree.root.revision, held.revision)
        revision = choose_next_revision(highest, era)
    texts = tree.snapshot.texts | {path: held.texts[path] for path in lost}
    built = build_policy(revision, texts)
    if isinstance(built, Err):
        detail = f"lost {sorted(lost)}: {built.error}"
        _LOG.error("lost settings not written back", extra={"detail": detail})
        return None
    subtrees, history = dict(tree.root.subtrees), tree.root.history
    replaced: list[ObjectKey] = []
    for path in lost:
        in_force_since = held.changed[path] if revision == held.revision else revision
        ref = _write_text(clock, store, held.texts[path], in_force_since)
        if ref is None:
            return Unavailable("text not written")
        if path in subtrees:
            replaced.append(subtrees[path].object)
        subtrees[path] = ref
    if revision != held.revision:
        # Peers send only what changed since the revision that the other holds.
        for path in changed:
            subtrees[path] = msgspec.structs.replace(subtrees[path], changed=revision)
    nonce = make_nonce()
    entry = HistoryEntry(
        revision, nonce, RESTORING_TEAM, clock.wall(), sorted(lost | changed), replaced
    )
    root = TreeRoot(revision, subtrees, append_to_history(history, entry))
    outcome = write_and_confirm(clock, store, make_root_write(root, tree, nonce))
    if isinstance(outcome, Applied):
        _LOG.warning(
            "lost settings written back",
            extra={"revision": revision, "paths": sorted(lost)},
        )
    return outcome


def _find_lost(tree: LoadedTree, held: SettingsSnapshot) -> set[SubtreePath]:
    stored = tree.root.subtrees
    return {
        path
        for path, changed in held.changed.items()
        if path not in stored or stored[path].changed < changed
    }


def _find_changed(tree: LoadedTree, held: SettingsSnapshot) -> set[SubtreePath]:
    """Return the subtrees that were changed since, some under a held revision."""
    return {
        path
        for path, ref in tree.root.subtrees.items()
        if path not in held.changed
        or ref.changed > held.changed[path]
        or (
            ref.changed == held.changed[path]
            and ref.digest != hash_text(held.texts[path])
        )
    }


def _write_text(
    clock: Clock, store: PlatformStore, text: str, changed: Revision
) -> SubtreeRef | None:
    # All nodes that write the same text back use one object.
    digest = hash_text(text)
    key = ObjectKey(f"{TEXTS_PREFIX}{digest}-r{changed}")
    write = ConditionalWrite(key, text.encode(), None, lambda value: True)
    outcome = write_and_confirm(clock, store, write)
    if not isinstance(outcome, Applied | Conflict):
        return None
    return SubtreeRef(key, digest, changed)
