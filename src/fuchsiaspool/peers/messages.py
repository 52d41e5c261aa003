"""Define what nodes tell each other."""

from typing import Final

import msgspec

from ..ids import DataCentre, NodeId, Revision, SubtreePath
from ..member_records import Member
from ..operation_records import CommitResult, OperationChange


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Ask for a sign of life."""

    sequence: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """Give a sign of life."""

    sequence: int


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="ping-req"):
    """Ask to ping a third node on the sender's behalf."""

    sequence: int
    target: NodeId


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """Sum up the members that a bridging node knows, by data centre."""

    checksums: dict[DataCentre, int]


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="sync"):
    """Hand over member records; `wants_reply` asks for the receiver's own."""

    members: list[Member]
    wants_reply: bool = False


class SettingsRequest(msgspec.Struct, frozen=True, array_like=True, tag="settings-ask"):
    """Ask for the settings that changed after a revision."""

    known_revision: Revision


class SettingsUpdate(msgspec.Struct, frozen=True, array_like=True, tag="settings-tell"):
    """Hand over settings: all paths, and the texts changed since `base`."""

    revision: Revision
    base: Revision
    digest: str
    changed: dict[SubtreePath, Revision]
    texts: dict[SubtreePath, str]


class CommitRequest(msgspec.Struct, frozen=True, array_like=True, tag="commit-ask"):
    """Ask the owner of a shard to commit a change."""

    sequence: int
    shard: str
    change: OperationChange


class CommitReply(msgspec.Struct, frozen=True, array_like=True, tag="commit-tell"):
    """Tell what became of a change."""

    sequence: int
    result: CommitResult


PeerMessage = (
    Ping
    | Ack
    | PingRequest
    | Digest
    | Sync
    | SettingsRequest
    | SettingsUpdate
    | CommitRequest
    | CommitReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Carry one message with the sender's revision and piggybacked records."""

    sender: NodeId
    address: str
    data_centre: DataCentre
    revision: Revision
    updates: list[Member]
    body: PeerMessage


encode_envelope: Final = msgspec.msgpack.Encoder().encode
_decoder: Final = msgspec.msgpack.Decoder(Envelope)


class PeerMessageError(Exception):
    """Tell that a peer sent bytes that are no message."""


def decode_envelope(data: bytes) -> Envelope:
    """Read a message; raise `PeerMessageError`."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise PeerMessageError(str(error)) from error
