"""Read the settings tree from the platform and get changes accepted."""

import difflib
import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

import msgspec

from ..clock import Clock
from ..ids import Nonce, Revision, SubtreePath, TeamName, Version
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

REBASE_TRIES: Final = 10
TEXTS_PREFIX: Final = f"{SETTINGS_PREFIX}texts/"
# More missing texts than this are read by one list: the platform counts calls.
SINGLE_READS: Final = 3


@dataclass(frozen=True, slots=True)
class EditConflict:
    """Tell that another operator changed the same subtree first."""

    path: SubtreePath
    difference: str


@dataclass(frozen=True, slots=True)
class NotOwner:
    """Tell that a subtree belongs to another team."""

    path: SubtreePath
    owner: TeamName


@dataclass(frozen=True, slots=True)
class ChangeOutcomeUnknown:
    """Tell that the platform did not say whether the change was accepted."""

    nonce: Nonce


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """Tell that the platform could not be reached; nothing was accepted."""


ApplyFault = (
    EditConflict | NotOwner | ChangeOutcomeUnknown | PlatformUnavailable | SettingsFault
)


@dataclass(frozen=True, slots=True)
class Proposal:
    """Hold what an operator wants changed, and from which texts it started."""

    base: Mapping[SubtreePath, str]
    texts: Mapping[SubtreePath, str]
    team: TeamName
    token: str = ""


@dataclass(frozen=True, slots=True)
class LoadedTree:
    """Hold a tree as read: its root, the root's version, and the texts."""

    root: TreeRoot
    version: Version | None
    snapshot: SettingsSnapshot


def load_tree(
    platform: PlatformStore, known: Mapping[ObjectKey, str] | None = None
) -> Result[LoadedTree, ReadFault]:
    """Read the root and the texts it names; `known` texts are not read again."""
    found = platform.get(SETTINGS_ROOT_KEY)
    if isinstance(found, Err):
        if found.error is ReadFault.NOT_FOUND:
            return Ok(
                LoadedTree(TreeRoot(), None, SettingsSnapshot(Revision(0), {}, {}))
            )
        return found
    try:
        root = decode_root(found.value.value)
    except msgspec.DecodeError:
        return Err(ReadFault.UNAVAILABLE)
    held = _read_many(platform, root, known or {})
    texts: dict[SubtreePath, str] = {}
    for path, ref in root.subtrees.items():
        if ref.object in held:
            texts[path] = held[ref.object]
            continue
        text = platform.get(ref.object)
        if isinstance(text, Err):
            # A text that is gone means that the root was replaced meanwhile.
            return Err(ReadFault.UNAVAILABLE)
        texts[path] = text.value.value.decode()
    changed = {path: ref.changed for path, ref in root.subtrees.items()}
    bundle = SettingsSnapshot(root.revision, texts, changed)
    return Ok(LoadedTree(root, found.value.version, bundle))


def _read_many(
    platform: PlatformStore, root: TreeRoot, known: Mapping[ObjectKey, str]
) -> Mapping[ObjectKey, str]:
    """Return the known texts, and all others by one list if many are missing."""
    missing = sum(1 for ref in root.subtrees.values() if ref.object not in known)
    if missing <= SINGLE_READS:
        return known
    listed = platform.list_prefix(TEXTS_PREFIX)
    if isinstance(listed, Err):
        return known
    return {stored.key: stored.value.decode() for stored in listed.value.items}


def apply_proposal(
    clock: Clock,
    platform: PlatformStore,
    proposal: Proposal,
    nonce: Callable[[], Nonce],
) -> Result[Revision, ApplyFault]:
    """Get a proposal accepted, on top of what others changed elsewhere."""
    name = nonce()
    for _ in range(REBASE_TRIES):
        loaded = load_tree(platform)
        if isinstance(loaded, Err):
            return Err(PlatformUnavailable())
        tree = loaded.value
        fault = _check(tree, proposal)
        if fault is not None:
            return Err(fault)
        root = _write_texts(clock, platform, tree, proposal, name)
        if root is None:
            return Err(PlatformUnavailable())
        outcome = write_and_confirm(clock, platform, _make_change(root, tree, name))
        match outcome:
            case Applied():
                _prune(platform, tree.root, root)
                return Ok(root.revision)
            case Conflict():
                continue
            case Unavailable():
                return Err(PlatformUnavailable())
            case Ambiguous():
                return Err(ChangeOutcomeUnknown(name))
    return Err(PlatformUnavailable())


def _check(tree: LoadedTree, proposal: Proposal) -> ApplyFault | None:
    texts = tree.snapshot.texts
    for path, text in proposal.texts.items():
        owner = find_owner(texts, path)
        if owner and owner != proposal.team:
            return NotOwner(path, owner)
        expected = find_token_hash(texts, path)
        offered = hashlib.sha256(proposal.token.encode()).hexdigest()
        if expected and expected != offered:
            return NotOwner(path, owner)
        current, base = texts.get(path, ""), proposal.base.get(path, "")
        if current != base:
            return EditConflict(path, _show_difference(current, text))
    built = build_policy(Revision(1), {**texts, **proposal.texts})
    return built.error if isinstance(built, Err) else None


def _write_texts(
    clock: Clock,
    platform: PlatformStore,
    tree: LoadedTree,
    proposal: Proposal,
    nonce: Nonce,
) -> TreeRoot | None:
    revision = Revision(tree.root.revision + 1)
    subtrees = dict(tree.root.subtrees)
    replaced = []
    for path, text in proposal.texts.items():
        # The nonce keeps names from being used again, so that pruning is safe.
        digest = hash_text(text)
        key = ObjectKey(f"{TEXTS_PREFIX}{digest}-{nonce}")
        change = ConditionalWrite(key, text.encode(), None, lambda value: True)
        outcome = write_and_confirm(clock, platform, change)
        if not isinstance(outcome, Applied | Conflict):
            return None
        if path in subtrees:
            replaced.append(subtrees[path].object)
        subtrees[path] = SubtreeRef(key, digest, revision)
    entry = HistoryEntry(
        revision, nonce, proposal.team, clock.wall(), list(proposal.texts), replaced
    )
    history = [*tree.root.history, entry][-MAX_HISTORY_ENTRIES:]
    return TreeRoot(revision, subtrees, history)


def _make_change(root: TreeRoot, tree: LoadedTree, nonce: Nonce) -> ConditionalWrite:
    return ConditionalWrite(
        SETTINGS_ROOT_KEY,
        msgspec.json.encode(root),
        tree.version,
        lambda value: any(e.nonce == nonce for e in decode_root(value).history),
    )


def _prune(platform: PlatformStore, before: TreeRoot, after: TreeRoot) -> None:
    kept = {entry.revision for entry in after.history}
    for entry in before.history:
        if entry.revision in kept:
            continue
        for key in entry.replaced:
            found = platform.get(key)
            if isinstance(found, Ok):
                platform.delete(key, found.value.version)


def _show_difference(current: str, wanted: str) -> str:
    lines = difflib.unified_diff(
        current.splitlines(), wanted.splitlines(), "accepted", "proposed", lineterm=""
    )
    return "\n".join(lines)
