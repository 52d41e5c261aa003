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
    """Hold one node's way to shards, on a fake bus."""

    def __init__(self, bench, name, region="north"):
        self.name = name
        self.asked = 0
        port = 100 + len(bench.peers)
        self.member = make_member(name, region=region, peers=f"127.0.0.1:{port}")
        self.view = None
        self.committer = GroupCommitter(
            bench.clock, NodeId(name), bench.platform.connect(), bench.nonce
        )
        self.owners = ShardCommitRouter(
            bench.clock,
            NodeId(name),
            self.committer,
            lambda: self.view if self.view is not None else bench.members(),
            lambda to, body: bench.send(self, to, body),
            REGION,
        )


class OwnershipTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.platform = FakePlatform(self.clock)
        self.peers = {}
        self.cut = set()
        self.numbers = 0
        for name, region in (("a", "north"), ("b", "north"), ("c", "south")):
            peer = Peer(self, name, region)
            self.peers[parse_address(peer.member.peers)] = peer
        self.a, self.b, self.c = self.peers.values()
        self.key = make_key(self.clock.wall(), 1)
        self.shard = find_shard_key(self.key, self.clock.wall()).value
        owner = choose_owner(self.shard, self.members(), REGION)
        self.owner = next(p for p in self.peers.values() if p.member is owner)
        self.other = self.b if self.owner is self.a else self.a

    def nonce(self):
        self.numbers += 1
        return Nonce(f"n{self.numbers}")

    def members(self):
        return [peer.member for peer in self.peers.values()]

    def send(self, sender, to, body):
        receiver = self.peers[to]
        if sender.name in self.cut or receiver.name in self.cut:
            return
        envelope = Envelope(
            NodeId(sender.name),
            sender.member.peers,
            DataCentre("x"),
            Revision(1),
            [],
            body,
        )
        asks = isinstance(body, CommitRequest)
        receiver.asked += asks
        take = receiver.owners.receive_ask if asks else receiver.owners.receive_tell
        self.clock.call_later(0.001, lambda: take(body, envelope))

    def claim(self, name="c1", key=None):
        expires = self.clock.wall() + 60.0
        return ClaimKey(key or self.key, Nonce(name), NodeId("x"), "f", expires)

    def commit(self, peer, change):
        return self.clock.run(peer.owners.commit, self.shard, change)

    def test_the_owner_stands_in_the_platforms_region(self):
        for number in range(SHARDS_PER_WINDOW):
            shard = f"operations/1/{number}"
            owner = choose_owner(shard, self.members(), REGION)
            self.assertEqual(owner.region, REGION)
            gone = [m for m in self.members() if m.region != REGION]
            self.assertEqual(choose_owner(shard, gone, REGION).node, "c")

    def test_others_commit_through_the_owner(self):
        self.assertEqual(self.commit(self.c, self.claim()), Committed())
        self.assertEqual(self.owner.asked, 1)
        self.assertIsInstance(self.commit(self.other, self.claim("c2")), RecordConflict)

    def test_an_owner_that_cannot_be_reached_is_gone_round(self):
        self.cut = {self.owner.name}
        self.assertEqual(self.commit(self.c, self.claim()), Committed())
        self.cut = set()
        self.assertIsInstance(self.commit(self.other, self.claim("c2")), RecordConflict)

    def test_an_answer_of_the_owner_that_was_lost_claims_once(self):
        send = self.owner.owners._send
        self.owner.owners._send = lambda to, body: None
        self.assertEqual(self.commit(self.c, self.claim()), Committed())
        self.owner.owners._send = send
        stored = self.platform.store.objects[self.shard]
        self.assertEqual(len(decode_shard(stored.value).operations), 1)

    def test_two_owners_at_once_grant_a_key_once(self):
        # A cut between data centres: each side holds the other for gone.
        self.other.view = [self.other.member]
        verdicts = []
        for number, peer in enumerate((self.owner, self.other) * 5):
            name = f"{peer.name}-{number}"
            self.clock.spawn(
                lambda peer=peer, name=name: verdicts.append(
                    peer.owners.commit(self.shard, self.claim(name))
                )
            )
        self.clock.advance(30.0)
        self.assertEqual(len(verdicts), 10)
        self.assertEqual(sum(isinstance(v, Committed) for v in verdicts), 1)

    def test_an_owner_that_moves_between_commits_loses_none(self):
        keys = [make_key(self.clock.wall(), number) for number in range(40)]
        for number, key in enumerate(keys):
            moved = [self.owner, self.other][number % 2]
            self.c.view = [moved.member, self.c.member]
            self.assertEqual(
                self.commit(self.c, self.claim(f"k{number}", key)), Committed()
            )
        stored = self.platform.store.objects[self.shard]
        self.assertEqual(set(decode_shard(stored.value).operations), set(keys))
