import unittest
import uuid

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from fuchsiaspool.bodies import Body
from fuchsiaspool.clock import VirtualClock
from fuchsiaspool.filters.claim import make_claim_filter
from fuchsiaspool.filters.deadline import make_deadline_filter
from fuchsiaspool.ids import NodeId, Nonce, OperationKey
from fuchsiaspool.operation_records import (
    ClaimKey,
    Committed,
    NotCommitted,
    RecordConflict,
    ReleaseClaim,
    ResolveUnknown,
)
from fuchsiaspool.operations.answers import (
    ANSWER_PREFIX,
    MAX_ANSWER_BYTES,
    MAX_INLINE_BYTES,
    make_answer_store,
)
from fuchsiaspool.operations.claims import ClaimManager
from fuchsiaspool.operations.commits import GroupCommitter
from fuchsiaspool.operations.keys import (
    KEY_LIFETIME_SECONDS,
    SHARD_PREFIX,
    SHARD_WINDOW_SECONDS,
    find_last_expired_window,
    find_shard_key,
    make_key,
)
from fuchsiaspool.operations.shard_sweeper import WINDOWS_PER_SWEEP, ShardSweeper
from fuchsiaspool.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from fuchsiaspool.results import Err

from .fakes import FakePlatform, Fault
from .support import make_call

SERVE_SECONDS = 0.05
DEADLINE_SECONDS = 2.0


class OperationNode:
    """Run protected operations as one node does, with faults on request."""

    def __init__(self, bench, name):
        self.bench = bench
        self.faults = []
        self.suspended = False
        self.dead = False
        clock = bench.clock
        platform = bench.platform.connect(self.choose_fault, self.wait_while_stopped)
        self.committer = GroupCommitter(clock, NodeId(name), platform, bench.nonce)
        answers = make_answer_store(clock, platform)
        commit = self.committer.commit
        self.claims = ClaimManager(clock, NodeId(name), commit, bench.nonce, answers)
        self.claim = make_claim_filter(clock, self.claims)
        self.deadline = make_deadline_filter(clock)

    def choose_fault(self):
        return self.faults.pop(0) if self.faults else Fault.NONE

    def wait_while_stopped(self):
        """Block while suspended, and permanently once dead."""
        while self.dead or self.suspended:
            self.bench.clock.sleep(0.5 if self.suspended else 1e9)

    def call(self, key, server_fate="answered", path="/lots/1"):
        call = make_call(
            self.bench.clock,
            method="POST",
            target=path,
            seconds=DEADLINE_SECONDS,
            protected=True,
            key=key,
        )
        attempt = Attempt(call, key)
        self.bench.attempts.append(attempt)
        self.bench.clock.spawn(self.run, attempt, server_fate)
        return attempt

    def run(self, attempt, server_fate):
        def dispatch(call):
            self.wait_while_stopped()
            return self.deadline(call, lambda c: self.bench.serve(attempt, server_fate))

        outcome = self.claim(attempt.call, dispatch)
        self.wait_while_stopped()
        attempt.outcome = outcome


class Attempt:
    def __init__(self, call, key):
        self.call = call
        self.key = key
        self.outcome = None


class TestBed:
    """Provide the platform, and record the runs of the server and callers' outcomes."""

    def __init__(self):
        self.clock = VirtualClock()
        self.platform = FakePlatform(self.clock)
        self.attempts = []
        self.runs = []
        self.nonce_count = 0

    def nonce(self):
        self.nonce_count += 1
        return Nonce(f"n{self.nonce_count}")

    def make_key(self, number=0, age=0.0):
        return make_key(self.clock.wall() - age, number)

    def serve(self, attempt, server_fate):
        if server_fate == "refused":
            return NotRun(NotRunReason.CONNECT_FAILED)
        if server_fate == "lost request":
            return Unknown(UnknownReason.RESET)
        self.clock.sleep(SERVE_SECONDS)
        self.runs.append(attempt)
        if server_fate == "lost answer":
            return Unknown(UnknownReason.TIMEOUT)
        return Answered(200, [(b"x-lot", b"7")], Body(b"certified"))

    def check(self):
        keys = [attempt.key for attempt in self.runs]
        assert len(keys) == len(set(keys)), "an operation ran twice under one key"
        for attempt in self.runs:
            assert not isinstance(attempt.outcome, NotRun), (
                "ran, but reported as not run"
            )

    def resolve(self, key, ran):
        committer = GroupCommitter(
            self.clock, NodeId("operator"), self.platform.connect(), self.nonce
        )
        found = find_shard_key(key, self.clock.wall())
        if isinstance(found, Err):
            return None
        change = ResolveUnknown(key, ran, self.clock.wall())
        return self.clock.run(committer.commit, found.value, change)


class ClaimTests(unittest.TestCase):
    def setUp(self):
        self.bench = TestBed()
        self.first = OperationNode(self.bench, "first")
        self.second = OperationNode(self.bench, "second")
        self.key = self.bench.make_key()

    def finish(self, seconds=5.0):
        self.bench.clock.advance(seconds)
        self.bench.check()

    def test_duplicate_gets_the_whole_first_answer(self):
        self.first.call(self.key)
        self.finish()
        again = self.second.call(self.key)
        self.finish()
        self.assertEqual(again.outcome.body.buffered, b"certified")
        self.assertEqual(again.outcome.headers, [(b"x-lot", b"7")])
        self.assertEqual(len(self.bench.runs), 1)

    def test_concurrent_calls_with_one_key_run_once(self):
        attempts = [self.first.call(self.key), self.second.call(self.key)]
        self.finish()
        answered = [a for a in attempts if isinstance(a.outcome, Answered)]
        self.assertEqual(len(self.bench.runs), 1)
        self.assertEqual(len(answered), 1)

    def test_lost_answer_to_a_claim_is_settled_by_reading_back(self):
        self.first.faults = [Fault.NONE, Fault.LOST_ANSWER]
        attempt = self.first.call(self.key)
        self.finish()
        self.assertIsInstance(attempt.outcome, Answered)

    def test_lost_claim_request_runs_at_most_once(self):
        self.first.faults = [Fault.NONE, Fault.LOST_REQUEST]
        attempt = self.first.call(self.key)
        self.finish()
        self.assertLessEqual(len(self.bench.runs), 1)
        self.assertIsNotNone(attempt.outcome)

    def test_call_is_not_run_while_the_platform_is_down(self):
        self.first.faults = [Fault.DOWN] * 50
        attempt = self.first.call(self.key)
        self.finish()
        self.assertEqual(attempt.outcome.reason, NotRunReason.CLAIM_UNAVAILABLE)
        self.assertEqual(self.bench.runs, [])

    def test_claim_that_is_applied_late_is_released(self):
        self.first.faults = [Fault.NONE, Fault.LATE, *[Fault.DOWN] * 12]
        attempt = self.first.call(self.key)
        self.finish(60.0)
        self.assertIsInstance(attempt.outcome, NotRun)
        again = self.second.call(self.key)
        self.finish()
        answered_or_unknown = isinstance(again.outcome, Answered | Unknown)
        self.assertTrue(answered_or_unknown)

    def test_answer_is_delivered_if_the_platform_fails_after_the_claim(self):
        self.first.faults = [Fault.NONE, Fault.NONE, *[Fault.DOWN] * 6]
        attempt = self.first.call(self.key)
        self.finish(2.0)
        self.assertIsInstance(attempt.outcome, Answered)
        self.finish(60.0)
        self.assertEqual(self.first.claims.unsettled, 0)
        again = self.second.call(self.key)
        self.finish()
        self.assertIsInstance(again.outcome, Answered)

    def test_operator_resolves_the_claim_of_a_node_that_died_before_dispatch(self):
        self.first.call(self.key)
        self.bench.clock.advance(0.025)
        self.first.dead = True
        self.finish(10.0)
        again = self.second.call(self.key)
        self.finish()
        self.assertIsInstance(again.outcome, Unknown)
        self.bench.resolve(self.key, ran=bool(self.bench.runs))
        self.second.call(self.key)
        self.finish()
        self.assertEqual(len(self.bench.runs), 1)

    def test_operation_of_a_node_that_died_after_dispatch_is_never_run_again(self):
        self.first.call(self.key)
        self.bench.clock.advance(0.04 + SERVE_SECONDS)
        self.first.dead = True
        self.finish(10.0)
        for _ in range(3):
            self.second.call(self.key)
            self.finish()
        self.assertEqual(len(self.bench.runs), 1)

    def test_node_suspended_past_the_deadline_does_not_dispatch(self):
        attempt = self.first.call(self.key)
        self.bench.clock.advance(0.005)
        self.first.suspended = True
        self.bench.clock.advance(DEADLINE_SECONDS + 1.0)
        resolution = self.bench.resolve(self.key, ran=False)
        self.second.call(self.key)
        self.bench.clock.advance(1.0)
        self.first.suspended = False
        self.finish(10.0)
        self.assertLessEqual(len(self.bench.runs), 1)
        self.assertNotIn(attempt, self.bench.runs)
        self.assertIsNotNone(resolution)

    def test_operator_cannot_resolve_an_unexpired_operation(self):
        self.first.call(self.key)
        self.bench.clock.advance(0.04)
        result = self.bench.resolve(self.key, ran=False)
        self.assertIsInstance(result, RecordConflict)

    def test_claim_is_released_if_not_run(self):
        self.first.call(self.key, server_fate="refused")
        self.finish()
        again = self.second.call(self.key)
        self.finish()
        self.assertIsInstance(again.outcome, Answered)

    def test_operation_of_unknown_outcome_is_never_run_again(self):
        self.first.call(self.key, server_fate="lost answer")
        self.finish()
        again = self.second.call(self.key)
        self.finish()
        self.assertEqual(again.outcome.reason, UnknownReason.UNRESOLVED)

    def test_key_reused_for_another_request_is_rejected(self):
        self.first.call(self.key)
        self.finish()
        other = self.second.call(self.key, path="/lots/2")
        self.finish()
        self.assertEqual(other.outcome.reason, NotRunReason.KEY_REUSED)

    def test_malformed_and_expired_keys_are_rejected(self):
        cases = [
            (OperationKey("abc"), NotRunReason.KEY_REQUIRED),
            (OperationKey(str(uuid.UUID(int=5))), NotRunReason.KEY_REQUIRED),
            (
                self.bench.make_key(age=KEY_LIFETIME_SECONDS + 1),
                NotRunReason.KEY_EXPIRED,
            ),
            (self.bench.make_key(age=-3600.0), NotRunReason.KEY_EXPIRED),
            (None, NotRunReason.KEY_REQUIRED),
        ]
        for key, reason in cases:
            attempt = self.first.call(key)
            self.finish()
            self.assertEqual(attempt.outcome.reason, reason)
        self.assertEqual(self.bench.runs, [])

    def serve_answer(self, size):
        self.bench.serve = lambda attempt, server_fate: (
            self.bench.runs.append(attempt) or Answered(200, [], Body(b"x" * size))
        )

    def test_large_answer_is_stored_whole_outside_its_shard(self):
        self.serve_answer(MAX_INLINE_BYTES * 20)
        self.first.faults = [Fault.NONE, Fault.NONE, Fault.LOST_ANSWER]
        self.first.call(self.key)
        self.finish()
        again = self.second.call(self.key)
        self.finish()
        self.assertEqual(len(again.outcome.body.buffered), MAX_INLINE_BYTES * 20)

    def test_operation_with_an_answer_too_large_to_store_is_not_run_again(self):
        self.serve_answer(MAX_ANSWER_BYTES + 1)
        self.first.call(self.key)
        self.finish()
        again = self.second.call(self.key)
        self.finish()
        self.assertEqual(again.outcome.reason, UnknownReason.ANSWER_NOT_KEPT)

    def test_shards_are_deleted_only_after_all_their_keys_expired(self):
        self.serve_answer(MAX_INLINE_BYTES * 2)
        sweeper = ShardSweeper(self.bench.clock, self.bench.platform.connect())
        run, clock = self.bench.clock.run, self.bench.clock
        run(sweeper.sweep)
        objects_before, issued = len(self.bench.platform.store.objects), clock.wall()
        self.first.call(self.bench.make_key())
        self.finish()
        last_expired = find_last_expired_window(issued + KEY_LIFETIME_SECONDS)
        self.assertLess(last_expired, int(issued // SHARD_WINDOW_SECONDS))
        clock.advance(KEY_LIFETIME_SECONDS - 1500.0)
        while run(sweeper.sweep) == WINDOWS_PER_SWEEP:
            clock.advance(1.0)
        self.assertLess(clock.wall(), issued + KEY_LIFETIME_SECONDS)
        names = list(self.bench.platform.store.objects)
        self.assertTrue(any(name.startswith(SHARD_PREFIX) for name in names))
        clock.advance(3000.0)
        while run(sweeper.sweep) == WINDOWS_PER_SWEEP:
            clock.advance(1.0)
        names = list(self.bench.platform.store.objects)
        self.assertEqual(len(names), objects_before)
        self.assertFalse(
            any(name.startswith((SHARD_PREFIX, ANSWER_PREFIX)) for name in names)
        )

    def test_concurrent_claims_share_writes(self):
        for number in range(200):
            self.first.call(self.bench.make_key(number))
        self.finish()
        self.assertEqual(len(self.bench.runs), 200)
        self.assertLess(self.bench.platform.writes, 100)

    def test_owner_with_a_stale_cache_does_not_overwrite(self):
        shard = find_shard_key(self.key, self.bench.clock.wall()).value
        run = self.bench.clock.run
        expires = self.bench.clock.wall() + 100.0

        keys = [self.bench.make_key(number) for number in range(6)]

        def claim(name, number):
            return ClaimKey(keys[number], Nonce(name), NodeId(name), "f", expires)

        committers = (self.first.committer, self.second.committer)
        for number in range(6):
            committer = committers[number % 2]
            result = run(committer.commit, shard, claim(f"c{number}", number))
            self.assertEqual(result, Committed())
        last = run(self.first.committer.commit, shard, claim("late", 3))
        self.assertIsInstance(last, RecordConflict)

    def test_change_committed_twice_changes_nothing(self):
        shard = find_shard_key(self.key, self.bench.clock.wall()).value
        expires = self.bench.clock.wall() + 100.0
        claim = ClaimKey(self.key, Nonce("c"), NodeId("a"), "f", expires)
        run = self.bench.clock.run
        for committer in (self.first.committer, self.second.committer):
            self.assertEqual(run(committer.commit, shard, claim), Committed())
        release = ReleaseClaim(self.key, Nonce("c"))
        for committer in (self.first.committer, self.second.committer):
            self.assertEqual(run(committer.commit, shard, release), Committed())

    def test_expired_claim_is_not_committed(self):
        shard = find_shard_key(self.key, self.bench.clock.wall()).value
        expires = self.bench.clock.wall() - 1.0
        claim = ClaimKey(self.key, Nonce("c"), NodeId("a"), "f", expires)
        result = self.bench.clock.run(self.first.committer.commit, shard, claim)
        self.assertEqual(result, NotCommitted(False))


PLATFORM_FAULTS = st.one_of(
    st.just([]), st.lists(st.sampled_from(list(Fault)), max_size=4)
)
KEY_INDEXES = st.integers(0, 1)
SERVER_FATES = st.sampled_from(["answered", "refused", "lost request", "lost answer"])


class ClaimMachine(RuleBasedStateMachine):
    """Run operations under a few keys on three nodes, with faults and an operator."""

    @initialize()
    def start(self):
        self.bench = TestBed()
        self.nodes = [OperationNode(self.bench, f"h{number}") for number in range(3)]
        self.keys = [self.bench.make_key(number) for number in range(4)]
        self.next_node_number = 3

    @rule(
        node_index=st.integers(0, 2),
        key=KEY_INDEXES,
        server_fate=SERVER_FATES,
        faults=PLATFORM_FAULTS,
    )
    def call(self, node_index, key, server_fate, faults):
        self.nodes[node_index].faults = list(faults)
        self.nodes[node_index].call(self.keys[key], server_fate)

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.2, 1.0, 30.0]))
    def advance(self, seconds):
        self.bench.clock.advance(seconds)

    @rule(node_index=st.integers(0, 2))
    def replace_node(self, node_index):
        self.nodes[node_index].dead = True
        self.nodes[node_index] = OperationNode(self.bench, f"h{self.next_node_number}")
        self.next_node_number += 1

    @rule(node_index=st.integers(0, 2), seconds=st.sampled_from([0.1, 3.0, 40.0]))
    def pause_node(self, node_index, seconds):
        node = self.nodes[node_index]
        node.suspended = True
        self.bench.clock.call_later(seconds, lambda: setattr(node, "suspended", False))

    @rule(key=KEY_INDEXES)
    def resolve(self, key):
        ran = any(a.key == self.keys[key] for a in self.bench.runs)
        self.bench.resolve(self.keys[key], ran)

    @invariant()
    def operations_run_once_and_are_reported_truthfully(self):
        if hasattr(self, "bench"):
            self.bench.check()


ClaimMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=40)
ClaimMachineTests = ClaimMachine.TestCase
