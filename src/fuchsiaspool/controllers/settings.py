"""Adopt the newest accepted settings and pass them on to peers."""

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
REQUEST_INTERVAL_SECONDS: Final = 0.5

SendMessage = Callable[[Address, SettingsRequest | SettingsUpdate], None]
T = TypeVar("T")
BuildSettings = Callable[[Revision, dict[SubtreePath, str]], Result[T, Any]]


class SettingsReplica(Generic[T]):
    """Adopt only newer, complete and valid revisions, and pass them to peers.

    `build` compiles the texts of a revision, `apply` puts the result in force.
    """

    def __init__(
        self,
        clock: Clock,
        build: BuildSettings[T],
        apply: Callable[[T], bool],
        send: SendMessage,
    ) -> None:
        self.snapshot = SettingsSnapshot(Revision(0), {}, {})
        self.last_error = ""
        self.adopted_at = clock.now()
        self._clock = clock
        self._build = build
        self._apply = apply
        self._send = send
        self._requested_at: dict[Address, float] = {}
        self._refused_digest = ""

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self.snapshot.revision

    def adopt(self, snapshot: SettingsSnapshot) -> bool:
        """Apply a snapshot if it is newer and valid; return whether it was."""
        if snapshot.revision <= self.snapshot.revision:
            self._log_refusal(snapshot)
            return False
        built = self._build(snapshot.revision, snapshot.texts)
        if isinstance(built, Err):
            self.last_error = f"revision {snapshot.revision}: {built.error}"
            _LOG.error("settings not adopted", extra={"detail": self.last_error})
            return False
        self.snapshot = snapshot
        self.last_error = ""
        self.adopted_at = self._clock.now()
        self._apply(built.value)
        _LOG.info("settings adopted", extra={"revision": snapshot.revision})
        return True

    def _log_refusal(self, snapshot: SettingsSnapshot) -> None:
        digest = hash_tree(snapshot.texts)
        # A reader may see the same older settings again and again.
        if snapshot.texts == self.snapshot.texts or digest == self._refused_digest:
            return
        self._refused_digest = digest
        _LOG.warning(
            "settings not newer",
            extra={"revision": snapshot.revision, "in_force": self.snapshot.revision},
        )

    def receive_revision(self, revision: Revision, sender: Address) -> None:
        """Request the settings of a peer if they are newer."""
        if revision <= self.snapshot.revision:
            return
        now = self._clock.now()
        if (
            now - self._requested_at.get(sender, float("-inf"))
            < REQUEST_INTERVAL_SECONDS
        ):
            return
        # Bounds the memory taken by peers that have left.
        if len(self._requested_at) > 1000:
            self._requested_at.clear()
        self._requested_at[sender] = now
        self._send(sender, SettingsRequest(self.snapshot.revision))

    def receive_request(self, message: SettingsRequest, envelope: Envelope) -> None:
        """Send the texts that changed since the peer's revision."""
        current = self.snapshot
        if current.revision <= message.known_revision:
            return
        texts: dict[SubtreePath, str] = {
            path: text
            for path, text in current.texts.items()
            if current.changed[path] > message.known_revision
        }
        update = SettingsUpdate(
            current.revision,
            message.known_revision,
            hash_tree(current.texts),
            current.changed,
            texts,
        )
        self._send(parse_address(envelope.address), update)

    def receive_update(self, message: SettingsUpdate, envelope: Envelope) -> None:
        """Complete the changed texts of a peer with the local ones, and adopt them."""
        if (
            message.revision <= self.snapshot.revision
            or message.base > self.snapshot.revision
        ):
            return
        texts: dict[SubtreePath, str] = {}
        for path in message.changed:
            text = message.texts.get(path, self.snapshot.texts.get(path))
            if text is None:
                break
            texts[path] = text
        if hash_tree(texts) != message.digest:
            _LOG.warning("settings from a peer are not whole")
            return
        self.adopt(SettingsSnapshot(message.revision, texts, message.changed))
