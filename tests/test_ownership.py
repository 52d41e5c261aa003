import unittest

from fuchsiaspool.addresses import parse_address
from fuchsiaspool.clock import VirtualClock
from fuchsiaspool.ids import DataCentre, NodeId, Nonce, Region, Revision
from fuchsiaspool.operation_records import ClaimKey, Committed, RecordConflict
from fuchsiaspool.operations.commits import GroupCommitter, decode_shard
from fuchsiaspool.operations.keys import SHARDS_PER_WINDOW, find_shard_key, make_key
from fuchsiaspool.operations.ownership import ShardCommitRouter, choose_owner
from fuchsiaspool.peers.messages import CommitRequest, Envelope

from .fakes import FakePlatform
from .support import make_member

REGION = Region("north")


class Peer:
    """Commit to shards as one node does, over a fake bus."""

    def __init__(self, bench, name, region="north"):
        self.name = name
        self.requests_received = 0
        port = 100 + len(bench.peers)
        self.member = make_member(name, region=region, peers=f"127.0.0.1:{port}")
        self.known_members = None
        self.committer = GroupCommitter(
            bench.clock, NodeId(name), bench.platform.connect(), bench.nonce
        )
        self.commit_router = ShardCommitRouter(
            bench.clock,
            NodeId(name),
            self.committer,
            lambda: (
                self.known_members
                if self.known_members is not None
                else bench.members()
            ),
            lambda to, body: bench.send(self, to, body),
            REGION,
        )


class OwnershipTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.platform = FakePlatform(self.clock)
        self.peers = {}
        self.unreachable = set()
        self.nonce_count = 0
        for name, region in (("a", "north"), ("b", "north"), ("c", "south")):
            peer = Peer(self, name, region)
            self.peers[parse_address(peer.member.peers)] = peer
        self.peer_a, self.peer_b, self.peer_c = self.peers.values()
        self.key = make_key(self.clock.wall(), 1)
        self.shard = find_shard_key(self.key, self.clock.wall()).value
        owner = choose_owner(self.shard, self.members(), REGION)
        self.owner = next(p for p in self.peers.values() if p.member is owner)
        self.other = self.peer_b if self.owner is self.peer_a else self.peer_a

    def nonce(self):
        self.nonce_count += 1
        return Nonce(f"n{self.nonce_count}")

    def members(self):
        return [peer.member for peer in self.peers.values()]

    def send(self, sender, to, body):
        receiver = self.peers[to]
        if sender.name in self.unreachable or receiver.name in self.unreachable:
            return
        envelope = Envelope(
            NodeId(sender.name),
            sender.member.peers,
            DataCentre("x"),
            Revision(1),
            [],
            body,
        )
        is_request = isinstance(body, CommitRequest)
        receiver.requests_received += is_request
        receive = (
            receiver.commit_router.receive_request
            if is_request
            else receiver.commit_router.receive_reply
        )
        self.clock.call_later(0.001, lambda: receive(body, envelope))

    def claim(self, name="c1", key=None):
        expires = self.clock.wall() + 60.0
        return ClaimKey(key or self.key, Nonce(name), NodeId("x"), "f", expires)

    def commit(self, peer, change):
        return self.clock.run(peer.commit_router.commit, self.shard, change)

    def test_owner_is_in_the_platforms_region(self):
        for number in range(SHARDS_PER_WINDOW):
            shard = f"operations/1/{number}"
            owner = choose_owner(shard, self.members(), REGION)
            self.assertEqual(owner.region, REGION)
            other_regions = [m for m in self.members() if m.region != REGION]
            self.assertEqual(choose_owner(shard, other_regions, REGION).node, "c")

    def test_other_nodes_commit_through_the_owner(self):
        self.assertEqual(self.commit(self.peer_c, self.claim()), Committed())
        self.assertEqual(self.owner.requests_received, 1)
        self.assertIsInstance(self.commit(self.other, self.claim("c2")), RecordConflict)

    def test_commits_directly_if_the_owner_is_unreachable(self):
        self.unreachable = {self.owner.name}
        self.assertEqual(self.commit(self.peer_c, self.claim()), Committed())
        self.unreachable = set()
        self.assertIsInstance(self.commit(self.other, self.claim("c2")), RecordConflict)

    def test_lost_reply_of_the_owner_claims_once(self):
        send = self.owner.commit_router._send
        self.owner.commit_router._send = lambda to, body: None
        self.assertEqual(self.commit(self.peer_c, self.claim()), Committed())
        self.owner.commit_router._send = send
        stored = self.platform.store.objects[self.shard]
        self.assertEqual(len(decode_shard(stored.value).operations), 1)

    def test_two_concurrent_owners_grant_a_key_once(self):
        # During a partition between data centres, each side considers the other dead.
        self.other.known_members = [self.other.member]
        results = []
        for number, peer in enumerate((self.owner, self.other) * 5):
            name = f"{peer.name}-{number}"
            self.clock.spawn(
                lambda peer=peer, name=name: results.append(
                    peer.commit_router.commit(self.shard, self.claim(name))
                )
            )
        self.clock.advance(30.0)
        self.assertEqual(len(results), 10)
        self.assertEqual(sum(isinstance(v, Committed) for v in results), 1)

    def test_change_of_owner_between_commits_loses_none(self):
        keys = [make_key(self.clock.wall(), number) for number in range(40)]
        for number, key in enumerate(keys):
            new_owner = [self.owner, self.other][number % 2]
            self.peer_c.known_members = [new_owner.member, self.peer_c.member]
            self.assertEqual(
                self.commit(self.peer_c, self.claim(f"k{number}", key)), Committed()
            )
        stored = self.platform.store.objects[self.shard]
        self.assertEqual(set(decode_shard(stored.value).operations), set(keys))
