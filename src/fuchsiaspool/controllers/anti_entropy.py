"""Exchange members with other data centres through a few nodes of each."""

import random
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Final

from ..addresses import Address, parse_address
from ..ids import DataCentre, NodeId
from ..member_records import Member, MemberState
from ..peers.messages import Digest, Envelope, PeerMessage, Sync
from .member_table import MemberTable
from .subsets import hash_pair

BRIDGES_PER_DATA_CENTRE: Final = 2
SYNC_PERIOD_SECONDS: Final = 2.0
_SALT: Final = "bridge"


def is_assigned(node: NodeId, candidates: Iterable[NodeId], salt: str, n: int) -> bool:
    """Tell if a node is among the n candidates that rendezvous hashing gives a duty."""
    weights = sorted((hash_pair(salt, name), name) for name in candidates)
    return any(name == node for _, name in weights[:n])


def list_alive_nodes(
    members: Iterable[Member], data_centre: DataCentre
) -> list[NodeId]:
    """Return the members of a data centre that are alive."""
    return [
        member.node
        for member in members
        if member.data_centre == data_centre and member.state is MemberState.ALIVE
    ]


class AntiEntropy:
    """Compare sums of member records with other data centres; send what differs."""

    def __init__(
        self,
        own: Callable[[], Member],
        table: MemberTable,
        chance: random.Random,
        send: Callable[[Address, PeerMessage], None],
    ) -> None:
        self._own = own
        self._table = table
        self._chance = chance
        self._send = send

    def tick(self) -> None:
        """Send a digest to one member of each other data centre, if chosen."""
        own = self._own()
        members = list(self._table.list_all())
        near = list_alive_nodes(members, own.data_centre)
        if not is_assigned(own.node, near, _SALT, BRIDGES_PER_DATA_CENTRE):
            return
        centres: dict[DataCentre, list[Member]] = {}
        for member in members:
            if member.state is not MemberState.DEAD:
                centres.setdefault(member.data_centre, []).append(member)
        centres.pop(own.data_centre, None)
        digest = Digest(sum_members(members))
        for _, others in sorted(centres.items()):
            chosen = self._chance.choice(others)
            self._send(parse_address(chosen.peers), digest)

    def receive_digest(self, body: Digest, envelope: Envelope) -> None:
        """Hand over the records of every data centre whose sum differs."""
        own_sums = sum_members(self._table.list_all())
        differing = {
            centre
            for centre in own_sums.keys() | body.checksums.keys()
            if own_sums.get(centre) != body.checksums.get(centre)
        }
        if not differing:
            return
        members = [m for m in self._table.list_all() if m.data_centre in differing]
        sync = Sync(members, wants_reply=True)
        self._send(parse_address(envelope.address), sync)


def sum_members(members: Iterable[Member]) -> dict[DataCentre, int]:
    """Add up a hash of each record, by data centre."""
    sums: dict[DataCentre, int] = {}
    for member in members:
        text = f"{member.node}|{member.incarnation}|{member.state.value}"
        digest = blake2b(text.encode(), digest_size=6).digest()
        known = sums.get(member.data_centre, 0)
        sums[member.data_centre] = known ^ int.from_bytes(digest, "big")
    return sums
