"""Define the messages that nodes exchange."""

import math
from typing import Annotated, Final

import msgspec

from ..decoding import DecodingError, make_msgpack_decoder
from ..ids import (
    DataCentre,
    Era,
    Fingerprint,
    NodeId,
    Revision,
    ServerStart,
    SubtreePath,
)
from ..member_records import Member
from ..operation_records import CommitResult, OperationChange

MAX_QUERIED_ATTEMPTS: Final = 256


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Check whether the receiver is alive."""

    sequence: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """Answer a ping, also on behalf of a third node, or only carry gossip."""

    sequence: int


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="ping-req"):
    """Request a ping of a third node on the sender's behalf."""

    sequence: int
    target: NodeId


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """Send a checksum of the members that a bridging node knows, per data centre."""

    checksums: dict[DataCentre, int]


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="sync"):
    """Send member records; `wants_reply` requests the receiver's own."""

    members: list[Member]
    wants_reply: bool = False


class SettingsRequest(msgspec.Struct, frozen=True, array_like=True, tag="settings-ask"):
    """Request the settings that changed after a revision."""

    known_revision: Revision


class SettingsUpdate(msgspec.Struct, frozen=True, array_like=True, tag="settings-tell"):
    """Send the revisions of all paths, and the texts that changed since `base`."""

    revision: Revision
    base: Revision
    digest: str
    changed: dict[SubtreePath, Revision]
    texts: dict[SubtreePath, str]


class StoreLost(msgspec.Struct, frozen=True, array_like=True, tag="store-lost"):
    """Tell members of the region that the sender does not watch the store.

    One that is leaving still reaches it, so that the store may serve the others too.
    """

    is_leaving: bool = False


class WatchRequest(msgspec.Struct, frozen=True, array_like=True, tag="watch-please"):
    """Ask the receiver to watch the store, as it serves no usual watcher."""


class WatchQuery(msgspec.Struct, frozen=True, array_like=True, tag="watch-ask"):
    """Ask whether the receiver watches the store.

    With `stand_in` it is to watch for a while if it does not. A repeated query is
    answered over a new connection.
    """

    sequence: int
    is_repeated: bool = False
    stand_in: bool = False


class WatchReport(msgspec.Struct, frozen=True, array_like=True, tag="watch-tell"):
    """Report that the sender watches the store, or tries to."""

    sequence: int


class CallsWithdrawn(msgspec.Struct, frozen=True, array_like=True, tag="withdrawn"):
    """Tell a node that attempts sent to it are to wait for its server no longer."""

    attempts: list[str]


class AttemptQuery(msgspec.Struct, frozen=True, array_like=True, tag="arrived-ask"):
    """Ask which of some attempts have arrived; the others are to be refused.

    A repeated query is answered over a new connection.
    """

    attempts: Annotated[list[str], msgspec.Meta(max_length=MAX_QUERIED_ATTEMPTS)]
    is_repeated: bool = False


class AttemptReport(msgspec.Struct, frozen=True, array_like=True, tag="arrived-tell"):
    """Report which of the queried attempts never arrived, and which have ended.

    The sender knows all attempts that arrived in the last `known_seconds`.
    """

    attempts: list[str]
    absent: list[str]
    ended: list[str]
    known_seconds: Annotated[float, msgspec.Meta(ge=0.0)]


class ServerCrash(msgspec.Struct, frozen=True, array_like=True):
    """Describe a crash of one start of a backend server, `age` seconds ago.

    `requests` are the fingerprints of those that were in flight.
    """

    start: ServerStart
    age: Annotated[float, msgspec.Meta(ge=0.0)]
    requests: list[Fingerprint]


class Clearance(msgspec.Struct, frozen=True, array_like=True):
    """Describe a success of a request that was in flight at crashes."""

    request: Fingerprint
    age: Annotated[float, msgspec.Meta(ge=0.0)]


class CrashEvidence(msgspec.Struct, frozen=True, array_like=True, tag="crashes"):
    """Send crashes of servers of the sender's service, and successes since."""

    crashes: list[ServerCrash]
    cleared: list[Clearance]


class CommitRequest(msgspec.Struct, frozen=True, array_like=True, tag="commit-ask"):
    """Request the commit of a change from the owner of a shard."""

    sequence: int
    shard: str
    change: OperationChange


class CommitReply(msgspec.Struct, frozen=True, array_like=True, tag="commit-tell"):
    """Report the result of a change."""

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
    | StoreLost
    | WatchRequest
    | WatchQuery
    | WatchReport
    | CallsWithdrawn
    | AttemptQuery
    | AttemptReport
    | CrashEvidence
    | CommitRequest
    | CommitReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Carry one message with the sender's settings revision and member gossip.

    `store_era` is the highest era of the store that the sender knows, `contact_age` the
    seconds since any node had an answer of the store, as far as the sender knows.
    """

    sender: NodeId
    address: str
    data_centre: DataCentre
    revision: Revision
    updates: list[Member]
    body: PeerMessage
    store_era: Era = Era(0)
    contact_age: float = math.inf


encode_envelope: Final = msgspec.msgpack.Encoder().encode
_decode: Final = make_msgpack_decoder(Envelope)


class PeerMessageError(Exception):
    """Signal that a peer sent bytes that are not a valid message."""


def decode_envelope(data: bytes) -> Envelope:
    """Decode a message; raise `PeerMessageError` if it is not valid."""
    try:
        return _decode(data)
    except DecodingError as error:
        raise PeerMessageError(str(error)) from error
