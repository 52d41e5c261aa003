"""Read the settings tree from the platform and publish changes to it."""

import difflib
import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

import msgspec

from ..clock import Clock
from ..decoding import DecodingError
from ..ids import Era, Nonce, Revision, SubtreePath, TeamName, Version
from ..platform.objects import (
    Ambiguous,
    Applied,
    Conflict,
    ObjectKey,
    PlatformStore,
    ReadFault,
    Unavailable,
)
from ..platform.writes import ConditionalWrite, write_and_confirm
from ..results import Err, Ok, Result
from .objects import (
    MAX_HISTORY_ENTRIES,
    SETTINGS_PREFIX,
    SETTINGS_ROOT_KEY,
    HistoryEntry,
    SettingsSnapshot,
    SubtreeRef,
    TreeRoot,
    decode_root,
    hash_text,
)
from .tree import SettingsFault, build_policy, find_owner, find_token_hash

MAX_REBASE_ATTEMPTS: Final = 10
TEXTS_PREFIX: Final = f"{SETTINGS_PREFIX}texts/"
# More missing texts than this are read by one list, as the platform limits requests.
MAX_SINGLE_READS: Final = 3
# More changes than one era of the store will see.
REVISIONS_PER_ERA: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class EditConflict:
    """Represent a change rejected because another operator changed the subtree."""

    path: SubtreePath
    difference: str


@dataclass(frozen=True, slots=True)
class NotOwner:
    """Represent a change rejected because another team owns the subtree."""

    path: SubtreePath
    owner: TeamName


@dataclass(frozen=True, slots=True)
class ChangeOutcomeUnknown:
    """Represent a change that the platform may or may not have accepted."""

    nonce: Nonce


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """Represent a change not accepted because the platform was unreachable."""


ApplyFault = (
    EditConflict | NotOwner | ChangeOutcomeUnknown | PlatformUnavailable | SettingsFault
)


@dataclass(frozen=True, slots=True)
class Proposal:
    """Represent a proposed change and the texts that it was based on."""

    base: Mapping[SubtreePath, str]
    texts: Mapping[SubtreePath, str]
    team: TeamName
    token: str = ""


@dataclass(frozen=True, slots=True)
class LoadedTree:
    """Represent a tree as read: its root, the root's version and the texts."""

    root: TreeRoot
    version: Version | None
    snapshot: SettingsSnapshot


def load_tree(
    store: PlatformStore, known: Mapping[ObjectKey, str] | None = None
) -> Result[LoadedTree, ReadFault]:
    """Read the root and the texts it refers to; texts in `known` are reused."""
    root_object = store.get(SETTINGS_ROOT_KEY)
    if isinstance(root_object, Err):
        if root_object.error is ReadFault.NOT_FOUND:
            return Ok(
                LoadedTree(TreeRoot(), None, SettingsSnapshot(Revision(0), {}, {}))
            )
        return root_object
    try:
        root = decode_root(root_object.value.value)
    except DecodingError:
        return Err(ReadFault.UNAVAILABLE)
    available = _prefetch_texts(store, root, known or {})
    texts: dict[SubtreePath, str] = {}
    for path, ref in root.subtrees.items():
        if ref.object in available:
            texts[path] = available[ref.object]
            continue
        text_object = store.get(ref.object)
        if isinstance(text_object, Err):
            # A missing text means that the root was replaced in the meantime.
            return Err(ReadFault.UNAVAILABLE)
        texts[path] = text_object.value.value.decode()
    changed = {path: ref.changed for path, ref in root.subtrees.items()}
    snapshot = SettingsSnapshot(root.revision, texts, changed)
    return Ok(LoadedTree(root, root_object.value.version, snapshot))


def _prefetch_texts(
    store: PlatformStore, root: TreeRoot, known: Mapping[ObjectKey, str]
) -> Mapping[ObjectKey, str]:
    """Return the known texts, or the result of one list if many are missing."""
    missing = sum(1 for ref in root.subtrees.values() if ref.object not in known)
    if missing <= MAX_SINGLE_READS:
        return known
    listed = store.list_prefix(TEXTS_PREFIX)
    if isinstance(listed, Err):
        return known
    return {stored.key: stored.value.decode() for stored in listed.value.items}


def apply_proposal(
    clock: Clock,
    store: PlatformStore,
    proposal: Proposal,
    make_nonce: Callable[[], Nonce],
    get_era: Callable[[], Era] = lambda: Era(0),
) -> Result[Revision, ApplyFault]:
    """Publish a proposal, rebased on changes of other subtrees.

    `get_era` returns the era of the store as of its last answer.
    """
    change_nonce = make_nonce()
    for _ in range(MAX_REBASE_ATTEMPTS):
        loaded = load_tree(store)
        if isinstance(loaded, Err):
            return Err(PlatformUnavailable())
        tree = loaded.value
        fault = _check_proposal(tree, proposal)
        if fault is not None:
            return Err(fault)
        revision = choose_next_revision(tree.root.revision, get_era())
        root = _write_texts(clock, store, tree, proposal, revision, change_nonce)
        if root is None:
            return Err(PlatformUnavailable())
        outcome = write_and_confirm(
            clock, store, make_root_write(root, tree, change_nonce)
        )
        match outcome:
            case Applied():
                _delete_replaced_texts(store, tree.root, root)
                return Ok(root.revision)
            case Conflict():
                continue
            case Unavailable():
                return Err(PlatformUnavailable())
            case Ambiguous():
                return Err(ChangeOutcomeUnknown(change_nonce))
    return Err(PlatformUnavailable())


def choose_next_revision(highest: Revision, era: Era) -> Revision:
    """Return a revision above `highest` and above all that earlier eras gave out.

    A restored store has a root with a lower revision than nodes may hold.
    """
    return Revision(max(highest, max(era - 1, 0) * REVISIONS_PER_ERA) + 1)


def append_to_history(
    history: list[HistoryEntry], entry: HistoryEntry
) -> list[HistoryEntry]:
    """Return the history with one more change, without the oldest if it is full."""
    return [*history, entry][-MAX_HISTORY_ENTRIES:]


def _check_proposal(tree: LoadedTree, proposal: Proposal) -> ApplyFault | None:
    texts = tree.snapshot.texts
    for path, text in proposal.texts.items():
        owner = find_owner(texts, path)
        if owner and owner != proposal.team:
            return NotOwner(path, owner)
        expected_hash = find_token_hash(texts, path)
        token_hash = hashlib.sha256(proposal.token.encode()).hexdigest()
        if expected_hash and expected_hash != token_hash:
            return NotOwner(path, owner)
        current, base = texts.get(path, ""), proposal.base.get(path, "")
        if current != base:
            return EditConflict(path, _show_difference(current, text))
    built = build_policy(Revision(1), {**texts, **proposal.texts})
    return built.error if isinstance(built, Err) else None


def _write_texts(
    clock: Clock,
    store: PlatformStore,
    tree: LoadedTree,
    proposal: Proposal,
    revision: Revision,
    nonce: Nonce,
) -> TreeRoot | None:
    subtrees = dict(tree.root.subtrees)
    replaced = []
    for path, text in proposal.texts.items():
        # The nonce makes each name unique, so that a deletion never hits a text that
        # a later change refers to.
        digest = hash_text(text)
        key = ObjectKey(f"{TEXTS_PREFIX}{digest}-{nonce}")
        text_write = ConditionalWrite(key, text.encode(), None, lambda value: True)
        outcome = write_and_confirm(clock, store, text_write)
        if not isinstance(outcome, Applied | Conflict):
            return None
        if path in subtrees:
            replaced.append(subtrees[path].object)
        subtrees[path] = SubtreeRef(key, digest, revision)
    entry = HistoryEntry(
        revision, nonce, proposal.team, clock.wall(), list(proposal.texts), replaced
    )
    return TreeRoot(revision, subtrees, append_to_history(tree.root.history, entry))


def make_root_write(root: TreeRoot, tree: LoadedTree, nonce: Nonce) -> ConditionalWrite:
    """Return the write of a root that replaces the one that was read."""
    return ConditionalWrite(
        SETTINGS_ROOT_KEY,
        msgspec.json.encode(root),
        tree.version,
        lambda value: any(e.nonce == nonce for e in decode_root(value).history),
    )


def _delete_replaced_texts(
    store: PlatformStore, before: TreeRoot, after: TreeRoot
) -> None:
    kept = {entry.revision for entry in after.history}
    for entry in before.history:
        if entry.revision in kept:
            continue
        for key in entry.replaced:
            found = store.get(key)
            if isinstance(found, Ok):
                store.delete(key, found.value.version)


def _show_difference(current: str, wanted: str) -> str:
    lines = difflib.unified_diff(
        current.splitlines(), wanted.splitlines(), "accepted", "proposed", lineterm=""
    )
    return "\n".join(lines)
