"""Route the changes of a shard to the one node that commits them."""

from collections.abc import Callable, Iterable
from typing import Final

from ..addresses import Address, parse_address
from ..clock import Clock, Waiter
from ..controllers.subsets import hash_pair
from ..ids import NodeId, Region
from ..member_records import Member, MemberState
from ..operation_records import CommitResult, OperationChange
from ..peers.messages import CommitReply, CommitRequest, Envelope
from ..platform.objects import ObjectKey
from .commits import GroupCommitter
from .keys import get_shard_number

OWNER_TIMEOUT_SECONDS: Final = 0.5
ANY_REGION: Final = Region("")


def choose_owner(
    shard: ObjectKey, members: Iterable[Member], region: Region
) -> Member | None:
    """Choose the owner of a shard's number by rendezvous hashing over alive members.

    Members in the platform's region are preferred: an owner exchanges whole shards with
    the platform, so only single changes are sent between regions.
    """
    alive = [m for m in members if m.state is MemberState.ALIVE]
    preferred = [m for m in alive if m.region == region] or alive
    number = get_shard_number(shard)
    return min(preferred, key=lambda m: hash_pair(number, m.node), default=None)


class ShardCommitRouter:
    """Commit changes through the shard's owner, or directly if it does not answer.

    Two owners at once are safe: the object's version fences their writes, and a
    change that is committed twice changes nothing the second time.
    """

    def __init__(
        self,
        clock: Clock,
        node: NodeId,
        committer: GroupCommitter,
        list_members: Callable[[], Iterable[Member]],
        send: Callable[[Address, CommitRequest | CommitReply], None],
        region: Region = ANY_REGION,
    ) -> None:
        self._clock = clock
        self._node = node
        self._committer = committer
        self._list_members = list_members
        self._send = send
        self._region = region
        self._sequence = 0
        self._waiting: dict[int, tuple[Waiter, list[CommitResult]]] = {}

    def commit(self, shard: ObjectKey, change: OperationChange) -> CommitResult:
        """Block until the change is stored or rejected, or its write has failed."""
        owner = choose_owner(shard, self._list_members(), self._region)
        if owner is not None and owner.node != self._node:
            result = self._request_commit(owner, shard, change)
            if result is not None:
                return result
        return self._committer.commit(shard, change)

    def receive_request(self, body: CommitRequest, envelope: Envelope) -> None:
        """Commit a change for another node, and send it the result."""
        self._clock.spawn(self._commit_for, body, parse_address(envelope.address))

    def receive_reply(self, body: CommitReply, envelope: Envelope) -> None:
        """Pass the owner's result to the commit that waits for it."""
        waiting_commit = self._waiting.get(body.sequence)
        if waiting_commit is not None:
            waiter, results = waiting_commit
            results.append(body.result)
            waiter.notify()

    def _commit_for(self, body: CommitRequest, sender: Address) -> None:
        result = self._committer.commit(ObjectKey(body.shard), body.change)
        self._send(sender, CommitReply(body.sequence, result))

    def _request_commit(
        self, owner: Member, shard: ObjectKey, change: OperationChange
    ) -> CommitResult | None:
        self._sequence += 1
        sequence = self._sequence
        waiter = self._clock.make_waiter()
        results: list[CommitResult] = []
        self._waiting[sequence] = (waiter, results)
        self._send(parse_address(owner.peers), CommitRequest(sequence, shard, change))
        waiter.wait(OWNER_TIMEOUT_SECONDS)
        del self._waiting[sequence]
        return results[0] if results else None
