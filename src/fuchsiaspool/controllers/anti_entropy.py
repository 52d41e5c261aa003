"""Synchronise members with other data centres through a few nodes of each."""

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
_BRIDGE_DUTY: Final = "bridge"


def is_assigned(
    node: NodeId, candidates: Iterable[NodeId], duty: str, count: int
) -> bool:
    """Return whether a node is one of `count` that rendezvous hashing gives a duty."""
    ranked = sorted((hash_pair(duty, name), name) for name in candidates)
    return any(name == node for _, name in ranked[:count])


def list_alive_nodes(
    members: Iterable[Member], data_centre: DataCentre
) -> list[NodeId]:
    """Return the nodes of a data centre that are alive."""
    return [
        member.node
        for member in members
        if member.data_centre == data_centre and member.state is MemberState.ALIVE
    ]


class AntiEntropy:
    """Compare checksums of members with other data centres and send differences."""

    def __init__(
        self,
        get_local_member: Callable[[], Member],
        table: MemberTable,
        rng: random.Random,
        send: Callable[[Address, PeerMessage], None],
    ) -> None:
        self._get_local_member = get_local_member
        self._table = table
        self._rng = rng
        self._send = send

    def tick(self) -> None:
        """Send a digest to a member of each other data centre, if this is a bridge."""
        local = self._get_local_member()
        members = list(self._table.list_all())
        local_nodes = list_alive_nodes(members, local.data_centre)
        if not is_assigned(
            local.node, local_nodes, _BRIDGE_DUTY, BRIDGES_PER_DATA_CENTRE
        ):
            return
        members_by_centre: dict[DataCentre, list[Member]] = {}
        for member in members:
            if member.state is not MemberState.DEAD:
                members_by_centre.setdefault(member.data_centre, []).append(member)
        members_by_centre.pop(local.data_centre, None)
        digest = Digest(compute_checksums(members))
        for _, others in sorted(members_by_centre.items()):
            chosen = self._rng.choice(others)
            self._send(parse_address(chosen.peers), digest)

    def receive_digest(self, message: Digest, envelope: Envelope) -> None:
        """Send the records of each data centre with a different checksum."""
        local_sums = compute_checksums(self._table.list_all())
        differing = {
            centre
            for centre in local_sums.keys() | message.checksums.keys()
            if local_sums.get(centre) != message.checksums.get(centre)
        }
        if not differing:
            return
        members = [
            member
            for member in self._table.list_all()
            if member.data_centre in differing
        ]
        sync = Sync(members, wants_reply=True)
        self._send(parse_address(envelope.address), sync)


def compute_checksums(members: Iterable[Member]) -> dict[DataCentre, int]:
    """Return the XOR of the hashes of the records, by data centre."""
    sums: dict[DataCentre, int] = {}
    for member in members:
        text = f"{member.node}|{member.incarnation}|{member.state.value}"
        digest = blake2b(text.encode(), digest_size=6).digest()
        known = sums.get(member.data_centre, 0)
        sums[member.data_centre] = known ^ int.from_bytes(digest, "big")
    return sums
