import functools
import random
import unittest

from hypothesis import given, strategies as st

from fuchsiaspool.bodies import Body
from fuchsiaspool.calls import compute_rank
from fuchsiaspool.clock import VirtualClock
from fuchsiaspool.controllers.admission import Admission
from fuchsiaspool.controllers.concurrency_limit import ConcurrencyLimit
from fuchsiaspool.controllers.threshold import LearnedThresholds, SheddingThreshold
from fuchsiaspool.filters.admission import make_admission_filter
from fuchsiaspool.ids import OperationName, RequestId, ServiceName
from fuchsiaspool.outcomes import (
    NO_THRESHOLD,
    Answered,
    NotRun,
    NotRunReason,
)

from .support import make_call

SERVICE_SECONDS = 0.05
SLOTS = 8
CAPACITY = SLOTS / SERVICE_SECONDS


def choose_priority(critical_share, rng):
    return 0 if rng.random() < critical_share else 5


class AdmissionBench:
    """Drive the admission of one server with open-loop load on a virtual clock."""

    def __init__(self, slots=SLOTS):
        self.clock = VirtualClock()
        self.admission = Admission(self.clock, slots, 0.02, 0.2)
        self.ended = []

    def serve(self, call):
        self.clock.sleep(SERVICE_SECONDS)
        return Answered(200, [], Body(b"ok"))

    def send(self, call):
        admit = make_admission_filter(self.clock, self.admission, lambda: None)
        self.clock.spawn(lambda: self.ended.append((call, admit(call, self.serve))))

    def offer(self, rate, seconds, draw_priority, seed=1, deadline=1.0):
        rng = random.Random(seed)
        end = self.clock.now() + seconds
        number = 0
        while self.clock.now() < end:
            self.clock.advance(rng.expovariate(rate))
            number += 1
            priority = draw_priority(rng)
            name = f"r-{number}-{self.clock.now()}"
            rank = compute_rank(priority, RequestId(name))
            call = make_call(
                self.clock,
                name,
                seconds=deadline,
                rank=rank,
                critical=priority == 0,
                caller=f"c{rng.randrange(10)}",
            )
            self.send(call)
        self.clock.advance(deadline + 1.0)

    def share(self, critical):
        found = [outcome for call, outcome in self.ended if call.critical is critical]
        answered = sum(isinstance(outcome, Answered) for outcome in found)
        return answered / max(1, len(found)), answered


class AdmissionTests(unittest.TestCase):
    def test_critical_goodput_stays_up_from_once_to_ten_times_capacity(self):
        for factor in (1, 2, 5, 10):
            with self.subTest(factor=factor):
                bench = AdmissionBench()
                # Critical calls take 0.4 of the capacity at every factor.
                choose = functools.partial(choose_priority, 0.4 / factor)
                bench.offer(CAPACITY * factor, 20.0, choose)
                self.assertGreaterEqual(bench.share(True)[0], 0.99)

    def test_overload_does_not_lower_goodput(self):
        bench = AdmissionBench()
        bench.offer(CAPACITY * 5, 20.0, lambda rng: rng.randrange(8))
        done = sum(isinstance(outcome, Answered) for _, outcome in bench.ended)
        self.assertGreaterEqual(done, 0.95 * CAPACITY * 20.0)

    def test_critical_calls_succeed_at_a_server_with_fewer_slots_than_stated(self):
        bench = AdmissionBench()
        real_slots, running = 3, []
        serve = bench.serve

        def reject_or_serve(call):
            if len(running) >= real_slots:
                return NotRun(NotRunReason.SERVER_REFUSED)
            running.append(call)
            outcome = serve(call)
            running.remove(call)
            return outcome

        bench.serve = reject_or_serve
        choose = functools.partial(choose_priority, 0.15)
        bench.offer(CAPACITY, 20.0, choose)
        self.assertGreaterEqual(bench.share(True)[0], 0.99)
        done = sum(isinstance(outcome, Answered) for _, outcome in bench.ended)
        self.assertGreaterEqual(done, 0.9 * real_slots / SERVICE_SECONDS * 20.0)

    def test_less_important_calls_are_shed_first(self):
        bench = AdmissionBench()
        bench.offer(CAPACITY * 3, 20.0, lambda rng: rng.choice((0, 3, 6)))
        shares = {}
        for priority in (0, 3, 6):
            found = [
                outcome for call, outcome in bench.ended if int(call.rank) == priority
            ]
            answered = sum(isinstance(outcome, Answered) for outcome in found)
            shares[priority] = answered / len(found)
        self.assertGreater(shares[0], 0.9)
        self.assertGreater(shares[0], shares[3])
        self.assertGreater(shares[3] + 0.01, shares[6])

    def test_one_critical_caller_does_not_starve_the_others(self):
        bench = AdmissionBench(slots=2)
        for number in range(200):
            rank = compute_rank(0, RequestId(f"greedy-{number}"))
            bench.send(
                make_call(
                    bench.clock,
                    f"greedy-{number}",
                    rank=rank,
                    critical=True,
                    caller="greedy",
                )
            )
        for number in range(4):
            rank = compute_rank(0, RequestId(f"modest-{number}"))
            bench.send(
                make_call(
                    bench.clock,
                    f"modest-{number}",
                    rank=rank,
                    critical=True,
                    caller=f"modest-{number}",
                )
            )
        bench.clock.advance(4 * SERVICE_SECONDS)
        served = {
            call.caller
            for call, outcome in bench.ended
            if isinstance(outcome, Answered)
        }
        self.assertTrue({f"modest-{n}" for n in range(4)} <= served)

    def test_calls_that_cannot_meet_their_deadline_are_rejected_immediately(self):
        bench = AdmissionBench(slots=1)
        bench.offer(10.0, 2.0, lambda rng: 3)
        bench.ended.clear()
        first = make_call(bench.clock, "first", rank=3.1)
        late = make_call(bench.clock, "late", rank=3.2, seconds=0.001)
        bench.send(first)
        bench.send(late)
        bench.clock.advance(0.0)
        self.assertEqual(bench.ended[0][1].reason, NotRunReason.DEADLINE)

    def test_cancelled_calls_leave_the_queue(self):
        bench = AdmissionBench(slots=1)
        calls = [make_call(bench.clock, f"r{n}", rank=3.0) for n in range(3)]
        for call in calls:
            bench.send(call)
        bench.clock.advance(0.0)
        calls[1].cancellation.cancel()
        bench.clock.advance(0.0)
        self.assertEqual(bench.admission.queued, 1)
        self.assertEqual(bench.ended[0][1].reason, NotRunReason.CANCELLED)

    def test_a_leaving_server_runs_nothing(self):
        bench = AdmissionBench()
        admit = make_admission_filter(
            bench.clock, bench.admission, lambda: NotRunReason.LEAVING
        )
        outcome = admit(make_call(bench.clock), bench.serve)
        self.assertEqual(outcome, NotRun(NotRunReason.LEAVING))

    def test_goodput_recovers_within_five_seconds_of_a_surge(self):
        bench = AdmissionBench()
        bench.offer(CAPACITY * 10, 10.0, lambda rng: rng.randrange(8))
        over = bench.clock.now() - 2.0
        bench.ended.clear()
        bench.offer(CAPACITY * 0.7, 8.0, lambda rng: rng.randrange(8))
        late = [outcome for call, outcome in bench.ended if call.start > over + 5.0]
        answered = sum(isinstance(outcome, Answered) for outcome in late)
        self.assertGreaterEqual(answered, 0.95 * len(late))

    @given(st.lists(st.floats(0.0, 7.99), min_size=1, max_size=300), st.booleans())
    def test_the_threshold_never_sheds_critical_ranks(self, ranks, drained):
        clock = VirtualClock()
        shedding = SheddingThreshold(clock, 0.02)
        for rank in ranks:
            clock.advance(0.03)
            shedding.offer(rank)
            if drained:
                shedding.mark_drained()
            self.assertGreaterEqual(shedding.value, 1.0)
            self.assertLessEqual(shedding.value, NO_THRESHOLD)


class LimitTests(unittest.TestCase):
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 30)), max_size=200))
    def test_the_limit_stays_within_its_bounds(self, steps):
        clock = VirtualClock()
        limit = ConcurrencyLimit(clock, 20)
        for rejected, in_flight in steps:
            clock.advance(0.05)
            limit.observe(rejected, in_flight)
            self.assertGreaterEqual(limit.value, 1.0)
            self.assertLessEqual(limit.value, 20.0)

    def test_the_limit_converges_to_the_real_slots(self):
        clock = VirtualClock()
        limit = ConcurrencyLimit(clock, 100)
        for _ in range(400):
            clock.advance(0.02)
            rejected = limit.value > 30
            limit.observe(rejected, int(limit.value))
        self.assertLess(limit.value, 36)
        self.assertGreater(limit.value, 20)


class LearnedThresholdTests(unittest.TestCase):
    def test_learned_thresholds_rise_with_time(self):
        clock = VirtualClock()
        learned = LearnedThresholds(clock)
        service, operation = ServiceName("quota"), OperationName("check")
        for _ in range(30):
            learned.learn(service, operation, 2.0)
        self.assertLess(learned.find(service, operation), 2.1)
        clock.advance(7.0)
        self.assertEqual(learned.find(service, operation), NO_THRESHOLD)
