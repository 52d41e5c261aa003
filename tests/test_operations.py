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
    ANSWER_PREFIX as ANSWERS,
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


class Holder:
    """Hold one node's way to protected operations, with faults to order."""

    def __init__(self, bench, name):
        self.bench = bench
        self.faults = []
        self.frozen = False
        self.dead = False
        clock = bench.clock
        platform = bench.platform.connect(self.choose_fault, self.gate)
        self.committer = GroupCommitter(clock, NodeId(name), platform, bench.nonce)
        answers = make_answer_store(clock, platform)
        commit = self.committer.commit
        self.claims = ClaimManager(clock, NodeId(name), commit, bench.nonce, answers)
        self.claim = make_claim_filter(clock, self.claims)
        self.deadline = make_deadline_filter(clock)

    def choose_fault(self):
        return self.faults.pop(0) if self.faults else Fault.NONE

    def gate(self):
        """Stand still while frozen; never go on when dead."""
        while self.dead or self.frozen:
            self.bench.clock.sleep(0.5 if self.frozen else 1e9)

    def call(self, key, fate="answered", path="/lots/1"):
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
        self.bench.clock.spawn(self.run, attempt, fate)
        return attempt

    def run(self, attempt, fate):
        def step(call):
            self.gate()
            return self.deadline(call, lambda c: self.bench.serve(attempt, fate))

        outcome = self.claim(attempt.call, step)
        self.gate()
        attempt.outcome = outcome


class Attempt:
    def __init__(self, call, key):
        self.call = call
        self.key = key
        self.outcome = None


class Bench:
    """Hold a platform, a backend server's record, and what callers were told."""

    def __init__(self):
        self.clock = VirtualClock()
        self.platform = FakePlatform(self.clock)
        self.attempts = []
        self.record = []
        self.numbers = 0

    def nonce(self):
        self.numbers += 1
        return Nonce(f"n{self.numbers}")

    def make_key(self, number=0, age=0.0):
        return make_key(self.clock.wall() - age, number)

    def serve(self, attempt, fate):
        if fate == "refused":
            return NotRun(NotRunReason.CONNECT_FAILED)
        if fate == "lost request":
            return Unknown(UnknownReason.RESET)
        self.clock.sleep(SERVE_SECONDS)
        self.record.append(attempt)
        if fate == "lost answer":
            return Unknown(UnknownReason.TIMEOUT)
        return Answered(200, [(b"x-lot", b"7")], Body(b"certified"))

    def check(self):
        runs = [attempt.key for attempt in self.record]
        assert len(runs) == len(set(runs)), "a key ran twice"
        for attempt in self.record:
            assert not isinstance(attempt.outcome, NotRun), "told not run, but ran"

    def resolve(self, key, ran):
        committer = GroupCommitter(
            self.clock, NodeId("operator"), self.platform.connect(), self.nonce
        )
        placed = find_shard_key(key, self.clock.wall())
        if isinstance(placed, Err):
            return None
        change = ResolveUnknown(key, ran, self.clock.wall())
        return self.clock.run(committer.commit, placed.value, change)


class ClaimTests(unittest.TestCase):
    def setUp(self):
        self.bench = Bench()
        self.first = Holder(self.bench, "first")
        self.second = Holder(self.bench, "second")
        self.key = self.bench.make_key()

    def finish(self, seconds=5.0):
        self.bench.clock.advance(seconds)
        self.bench.check()

    def test_a_duplicate_gets_the_whole_first_answer(self):
        self.first.call(self.key)
        self.finish()
        again = self.second.call(self.key)
        self.finish()
        self.assertEqual(again.outcome.body.buffered, b"certified")
        self.assertEqual(again.outcome.headers, [(b"x-lot", b"7")])
        self.assertEqual(len(self.bench.record), 1)

    def test_two_nodes_given_one_key_at_once_run_it_once(self):
        attempts = [self.first.call(self.key), self.second.call(self.key)]
        self.finish()
        answered = [a for a in attempts if isinstance(a.outcome, Answered)]
        self.assertEqual(len(self.bench.record), 1)
        self.assertEqual(len(answered), 1)

    def test_lost_answer_to_the_claim_is_settled_by_reading_back(self):
        self.first.faults = [Fault.NONE, Fault.LOST_ANSWER]
        attempt = self.first.call(self.key)
        self.finish()
        self.assertIsInstance(attempt.outcome, Answered)

    def test_lost_claim_request_runs_nothing_twice(self):
        self.first.faults = [Fault.NONE, Fault.LOST_REQUEST]
        attempt = self.first.call(self.key)
        self.finish()
        self.assertLessEqual(len(self.bench.record), 1)
        self.assertIsNotNone(attempt.outcome)

    def test_platform_down_means_not_run(self):
        self.first.faults = [Fault.DOWN] * 50
        attempt = self.first.call(self.key)
        self.finish()
        self.assertEqual(attempt.outcome.reason, NotRunReason.CLAIM_UNAVAILABLE)
        self.assertEqual(self.bench.record, [])

    def test_a_claim_that_lands_late_is_released(self):
        self.first.faults = [Fault.NONE, Fault.LATE, *[Fault.DOWN] * 12]
        attempt = self.first.call(self.key)
        self.finish(60.0)
        self.assertIsInstance(attempt.outcome, NotRun)
        again = self.second.call(self.key)
        self.finish()
        told = isinstance(again.outcome, Answered | Unknown)
        self.assertTrue(told)

    def test_answer_is_given_though_the_platform_fell_after_the_claim(self):
        self.first.faults = [Fault.NONE, Fault.NONE, *[Fault.DOWN] * 6]
        attempt = self.first.call(self.key)
        self.finish(2.0)
        self.assertIsInstance(attempt.outcome, Answered)
        self.finish(60.0)
        self.assertEqual(self.first.claims.unsettled, 0)
        again = self.second.call(self.key)
        self.finish()
        self.assertIsInstance(again.outcome, Answered)

    def test_holder_dead_before_dispatch_is_for_the_operator(self):
        self.first.call(self.key)
        self.bench.clock.advance(0.025)
        self.first.dead = True
        self.finish(10.0)
        again = self.second.call(self.key)
        self.finish()
        self.assertIsInstance(again.outcome, Unknown)
        self.bench.resolve(self.key, ran=bool(self.bench.record))
        self.second.call(self.key)
        self.finish()
        self.assertEqual(len(self.bench.record), 1)

    def test_holder_dead_after_dispatch_is_never_run_again(self):
        self.first.call(self.key)
        self.bench.clock.advance(0.04 + SERVE_SECONDS)
        self.first.dead = True
        self.finish(10.0)
        for _ in range(3):
            self.second.call(self.key)
            self.finish()
        self.assertEqual(len(self.bench.record), 1)

    def test_a_holder_paused_past_its_deadline_dispatches_nothing(self):
        attempt = self.first.call(self.key)
        self.bench.clock.advance(0.005)
        self.first.frozen = True
        self.bench.clock.advance(DEADLINE_SECONDS + 1.0)
        resolved = self.bench.resolve(self.key, ran=False)
        self.second.call(self.key)
        self.bench.clock.advance(1.0)
        self.first.frozen = False
        self.finish(10.0)
        self.assertLessEqual(len(self.bench.record), 1)
        self.assertNotIn(attempt, self.bench.record)
        self.assertIsNotNone(resolved)

    def test_an_operation_in_time_cannot_be_resolved_by_an_operator(self):
        self.first.call(self.key)
        self.bench.clock.advance(0.04)
        verdict = self.bench.resolve(self.key, ran=False)
        self.assertIsInstance(verdict, RecordConflict)

    def test_not_run_gives_the_claim_back(self):
        self.first.call(self.key, fate="refused")
        self.finish()
        again = self.second.call(self.key)
        self.finish()
        self.assertIsInstance(again.outcome, Answered)

    def test_an_unknown_outcome_is_never_run_again(self):
        self.first.call(self.key, fate="lost answer")
        self.finish()
        again = self.second.call(self.key)
        self.finish()
        self.assertEqual(again.outcome.reason, UnknownReason.UNRESOLVED)

    def test_a_key_used_for_another_request_is_refused(self):
        self.first.call(self.key)
        self.finish()
        other = self.second.call(self.key, path="/lots/2")
        self.finish()
        self.assertEqual(other.outcome.reason, NotRunReason.KEY_REUSED)

    def test_keys_have_to_be_fresh_and_timed(self):
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
        self.assertEqual(self.bench.record, [])

    def serve_answer(self, size):
        self.bench.serve = lambda attempt, fate: (
            self.bench.record.append(attempt) or Answered(200, [], Body(b"x" * size))
        )

    def test_a_large_answer_is_kept_whole_beside_its_shard(self):
        self.serve_answer(MAX_INLINE_BYTES * 20)
        self.first.faults = [Fault.NONE, Fault.NONE, Fault.LOST_ANSWER]
        self.first.call(self.key)
        self.finish()
        again = self.second.call(self.key)
        self.finish()
        self.assertEqual(len(again.outcome.body.buffered), MAX_INLINE_BYTES * 20)

    def test_an_answer_too_large_to_keep_is_not_run_again(self):
        self.serve_answer(MAX_ANSWER_BYTES + 1)
        self.first.call(self.key)
        self.finish()
        again = self.second.call(self.key)
        self.finish()
        self.assertEqual(again.outcome.reason, UnknownReason.ANSWER_NOT_KEPT)

    def test_shards_are_swept_only_when_none_of_their_keys_is_usable(self):
        self.serve_answer(MAX_INLINE_BYTES * 2)
        sweeper = ShardSweeper(self.bench.clock, self.bench.platform.connect())
        run, clock = self.bench.clock.run, self.bench.clock
        run(sweeper.sweep)
        kept, issued = len(self.bench.platform.store.objects), clock.wall()
        self.first.call(self.bench.make_key())
        self.finish()
        last = find_last_expired_window(issued + KEY_LIFETIME_SECONDS)
        self.assertLess(last, int(issued // SHARD_WINDOW_SECONDS))
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
        self.assertEqual(len(names), kept)
        self.assertFalse(
            any(name.startswith((SHARD_PREFIX, ANSWERS)) for name in names)
        )

    def test_many_claims_at_once_share_few_writes(self):
        for number in range(200):
            self.first.call(self.bench.make_key(number))
        self.finish()
        self.assertEqual(len(self.bench.record), 200)
        self.assertLess(self.bench.platform.writes, 100)

    def test_an_old_owner_with_a_stale_cache_does_not_overwrite(self):
        shard = find_shard_key(self.key, self.bench.clock.wall()).value
        run = self.bench.clock.run
        expires = self.bench.clock.wall() + 100.0

        keys = [self.bench.make_key(number) for number in range(6)]

        def claim(name, number):
            return ClaimKey(keys[number], Nonce(name), NodeId(name), "f", expires)

        committers = (self.first.committer, self.second.committer)
        for number in range(6):
            committer = committers[number % 2]
            verdict = run(committer.commit, shard, claim(f"c{number}", number))
            self.assertEqual(verdict, Committed())
        last = run(self.first.committer.commit, shard, claim("late", 3))
        self.assertIsInstance(last, RecordConflict)

    def test_a_change_committed_twice_changes_nothing(self):
        shard = find_shard_key(self.key, self.bench.clock.wall()).value
        expires = self.bench.clock.wall() + 100.0
        claim = ClaimKey(self.key, Nonce("c"), NodeId("a"), "f", expires)
        run = self.bench.clock.run
        for committer in (self.first.committer, self.second.committer):
            self.assertEqual(run(committer.commit, shard, claim), Committed())
        release = ReleaseClaim(self.key, Nonce("c"))
        for committer in (self.first.committer, self.second.committer):
            self.assertEqual(run(committer.commit, shard, release), Committed())

    def test_an_expired_claim_is_not_committed(self):
        shard = find_shard_key(self.key, self.bench.clock.wall()).value
        expires = self.bench.clock.wall() - 1.0
        claim = ClaimKey(self.key, Nonce("c"), NodeId("a"), "f", expires)
        verdict = self.bench.clock.run(self.first.committer.commit, shard, claim)
        self.assertEqual(verdict, NotCommitted(False))


FAULTS = st.one_of(st.just([]), st.lists(st.sampled_from(list(Fault)), max_size=4))
KEYS = st.integers(0, 1)
FATES = st.sampled_from(["answered", "refused", "lost request", "lost answer"])


class ClaimMachine(RuleBasedStateMachine):
    """Drive many keys through three holders, random faults and an operator."""

    @initialize()
    def start(self):
        self.bench = Bench()
        self.holders = [Holder(self.bench, f"h{number}") for number in range(3)]
        self.keys = [self.bench.make_key(number) for number in range(4)]
        self.names = 3

    @rule(holder=st.integers(0, 2), key=KEYS, fate=FATES, faults=FAULTS)
    def call(self, holder, key, fate, faults):
        self.holders[holder].faults = list(faults)
        self.holders[holder].call(self.keys[key], fate)

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.2, 1.0, 30.0]))
    def advance(self, seconds):
        self.bench.clock.advance(seconds)

    @rule(holder=st.integers(0, 2))
    def replace(self, holder):
        self.holders[holder].dead = True
        self.holders[holder] = Holder(self.bench, f"h{self.names}")
        self.names += 1

    @rule(holder=st.integers(0, 2), seconds=st.sampled_from([0.1, 3.0, 40.0]))
    def freeze(self, holder, seconds):
        frozen = self.holders[holder]
        frozen.frozen = True
        self.bench.clock.call_later(seconds, lambda: setattr(frozen, "frozen", False))

    @rule(key=KEYS)
    def resolve(self, key):
        ran = any(a.key == self.keys[key] for a in self.bench.record)
        self.bench.resolve(self.keys[key], ran)

    @invariant()
    def nothing_runs_twice_and_no_lie_is_told(self):
        if hasattr(self, "bench"):
            self.bench.check()


ClaimMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=40)
ClaimMachineTests = ClaimMachine.TestCase
