"""Define how the settings tree is stored in the platform's object store."""

from hashlib import blake2b
from typing import Final

import msgspec

from ..decoding import make_json_decoder
from ..ids import Nonce, Revision, SubtreePath, TeamName
from ..platform.objects import ObjectKey

SETTINGS_PREFIX: Final = "settings/"
SETTINGS_ROOT_KEY: Final = ObjectKey("settings/root")
MAX_HISTORY_ENTRIES: Final = 50


class SubtreeRef(msgspec.Struct, frozen=True):
    """Refer to the text of one subtree and the revision that last changed it."""

    object: ObjectKey
    digest: str
    changed: Revision


class HistoryEntry(msgspec.Struct, frozen=True):
    """Represent one accepted change; `when` is in seconds since the Unix epoch."""

    revision: Revision
    nonce: Nonce
    team: TeamName
    when: float
    paths: list[SubtreePath]
    replaced: list[ObjectKey]


class TreeRoot(msgspec.Struct, frozen=True):
    """Refer to all subtrees' texts; its conditional update accepts a change."""

    revision: Revision = Revision(0)
    subtrees: dict[SubtreePath, SubtreeRef] = {}
    history: list[HistoryEntry] = []


class SettingsSnapshot(msgspec.Struct, frozen=True):
    """Represent one whole revision of the tree."""

    revision: Revision
    texts: dict[SubtreePath, str]
    changed: dict[SubtreePath, Revision]


def hash_text(text: str) -> str:
    """Return the digest of one subtree's text."""
    return blake2b(text.encode(), digest_size=12).hexdigest()


def hash_tree(texts: dict[SubtreePath, str]) -> str:
    """Return the digest of a whole tree."""
    digest = blake2b(digest_size=12)
    for path in sorted(texts):
        digest.update(f"{path}={hash_text(texts[path])};".encode())
    return digest.hexdigest()


def decode_root(value: bytes) -> TreeRoot:
    """Decode a root object; raise `DecodingError`."""
    return _decode_root(value)


_decode_root: Final = make_json_decoder(TreeRoot)
