"""Keep the newest accepted settings in force on this node."""

import logging
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

from ..addresses import Address, parse_address
from ..clock import Clock
from ..ids import Revision, SubtreePath
from ..peers.messages import Envelope, SettingsRequest, SettingsUpdate
from ..results import Err, Result
from ..settings.objects import SettingsSnapshot, hash_tree

_LOG = logging.getLogger(__name__)
ASK_AGAIN_SECONDS: Final = 0.5

Send = Callable[[Address, SettingsRequest | SettingsUpdate], None]
T = TypeVar("T")
Build = Callable[[Revision, dict[SubtreePath, str]], Result[T, Any]]


class SettingsReplica(Generic[T]):
    """Adopt only higher revisions, whole and valid, and pass them on to peers.

    `build` compiles the texts of a revision into what `put` brings into force.
    """

    def __init__(
        self, clock: Clock, build: Build[T], put: Callable[[T], bool], send: Send
    ) -> None:
        self.snapshot = SettingsSnapshot(Revision(0), {}, {})
        self.last_error = ""
        self.adopted_at = clock.now()
        self._clock = clock
        self._build = build
        self._put = put
        self._send = send
        self._asked: dict[Address, float] = {}

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self.snapshot.revision

    def adopt(self, bundle: SettingsSnapshot) -> bool:
        """Put a bundle in force if it is newer and valid; tell if it was."""
        if bundle.revision <= self.snapshot.revision:
            return False
        built = self._build(bundle.revision, bundle.texts)
        if isinstance(built, Err):
            self.last_error = f"revision {bundle.revision}: {built.error}"
            _LOG.error("settings not adopted", extra={"detail": self.last_error})
            return False
        self.snapshot = bundle
        self.last_error = ""
        self.adopted_at = self._clock.now()
        self._put(built.value)
        _LOG.info("settings adopted", extra={"revision": bundle.revision})
        return True

    def receive_revision(self, revision: Revision, sender: Address) -> None:
        """Ask a peer for its settings if they are newer."""
        if revision <= self.snapshot.revision:
            return
        now = self._clock.now()
        if now - self._asked.get(sender, float("-inf")) < ASK_AGAIN_SECONDS:
            return
        if len(self._asked) > 1000:
            self._asked.clear()
        self._asked[sender] = now
        self._send(sender, SettingsRequest(self.snapshot.revision))

    def receive_request(self, body: SettingsRequest, envelope: Envelope) -> None:
        """Hand over the texts that changed since the peer's revision."""
        own = self.snapshot
        if own.revision <= body.known_revision:
            return
        texts: dict[SubtreePath, str] = {
            path: text
            for path, text in own.texts.items()
            if own.changed[path] > body.known_revision
        }
        tell = SettingsUpdate(
            own.revision, body.known_revision, hash_tree(own.texts), own.changed, texts
        )
        self._send(parse_address(envelope.address), tell)

    def receive_update(self, body: SettingsUpdate, envelope: Envelope) -> None:
        """Complete the peer's texts with those held, and adopt the whole."""
        if (
            body.revision <= self.snapshot.revision
            or body.base > self.snapshot.revision
        ):
            return
        texts: dict[SubtreePath, str] = {}
        for path in body.changed:
            text = body.texts.get(path, self.snapshot.texts.get(path))
            if text is None:
                break
            texts[path] = text
        if hash_tree(texts) != body.digest:
            _LOG.warning("settings from a peer are not whole")
            return
        self.adopt(SettingsSnapshot(body.revision, texts, body.changed))
