"""Choose a fixed subset of the members, a different one at each node."""

from hashlib import blake2b

from ..ids import NodeId
from ..member_records import Member


def choose_subset(node: NodeId, members: list[Member], size: int) -> list[Member]:
    """Return at most `size` of the members, chosen by rendezvous hashing."""
    if len(members) <= size:
        return members
    ordered = sorted(members, key=lambda m: hash_pair(node, m.node))
    return ordered[:size]


def hash_pair(left: str, right: str) -> int:
    """Return the rendezvous hash of a pair of names."""
    digest = blake2b(f"{left}|{right}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
