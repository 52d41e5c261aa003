"""Send the changes of a shard to the one node that commits them."""

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

ASK_SECONDS: Final = 0.5
ANY_REGION: Final = Region("")


def choose_owner(
    shard: ObjectKey, members: Iterable[Member], region: Region
) -> Member | None:
    """Choose the owner of a shard's number among the living by rendezvous hash.

    Members of the platform's region go first: whole shards travel to the
    platform, and only changes between regions.
    """
    alive = [m for m in members if m.state is MemberState.ALIVE]
    near = [m for m in alive if m.region == region] or alive
    number = get_shard_number(shard)
    return min(near, key=lambda m: hash_pair(number, m.node), default=None)


class ShardCommitRouter:
    """Commit changes through the owner, or directly where it does not answer.

    Two owners at once do no harm: the object's version is the fence, and a change
    that is committed twice changes nothing the second time.
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
        """Block until the change holds, is forbidden, or could not be written."""
        owner = choose_owner(shard, self._list_members(), self._region)
        if owner is not None and owner.node != self._node:
            verdict = self._ask(owner, shard, change)
            if verdict is not None:
                return verdict
        return self._committer.commit(shard, change)

    def receive_ask(self, body: CommitRequest, envelope: Envelope) -> None:
        """Commit for another node."""
        self._clock.spawn(self._commit_for, body, parse_address(envelope.address))

    def receive_tell(self, body: CommitReply, envelope: Envelope) -> None:
        """Take the owner's verdict."""
        found = self._waiting.get(body.sequence)
        if found is not None:
            waiter, verdicts = found
            verdicts.append(body.result)
            waiter.notify()

    def _commit_for(self, body: CommitRequest, sender: Address) -> None:
        verdict = self._committer.commit(ObjectKey(body.shard), body.change)
        self._send(sender, CommitReply(body.sequence, verdict))

    def _ask(
        self, owner: Member, shard: ObjectKey, change: OperationChange
    ) -> CommitResult | None:
        self._sequence += 1
        sequence = self._sequence
        waiter = self._clock.make_waiter()
        verdicts: list[CommitResult] = []
        self._waiting[sequence] = (waiter, verdicts)
        self._send(parse_address(owner.peers), CommitRequest(sequence, shard, change))
        waiter.wait(ASK_SECONDS)
        del self._waiting[sequence]
        return verdicts[0] if verdicts else None
