import random
import unittest
from collections import Counter

from hypothesis import given, strategies as st

from fuchsiaspool.bodies import Body
from fuchsiaspool.chains import PolicyStore
from fuchsiaspool.clock import VirtualClock
from fuchsiaspool.controllers.balancer import MAX_EJECTED_SHARE, LoadBalancer
from fuchsiaspool.controllers.member_table import MemberTable
from fuchsiaspool.controllers.retries import (
    BUDGET_CAPACITY_RETRIES,
    AllowanceGrants,
    RetryBudget,
)
from fuchsiaspool.controllers.subsets import choose_subset
from fuchsiaspool.controllers.token_bucket import TokenBucket
from fuchsiaspool.filters.classification import make_classification_filter
from fuchsiaspool.filters.retry_grants import make_retry_grant_filter
from fuchsiaspool.filters.routing import make_routing_handler
from fuchsiaspool.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)

from .support import make_call, make_location, make_member, make_policy

RATE = 100_000.0


class RoutingCase(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.table = MemberTable()
        self.link = TokenBucket(self.clock, RATE, 2 * RATE)
        self.ratio = RetryBudget(self.clock)
        self.free = False
        self.sent = Counter()
        self.fates = {}
        self.policy = make_policy()
        self.balancer = LoadBalancer(
            self.clock,
            make_location("self"),
            self.table.list_service,
            self.link,
            lambda: self.free,
            random.Random(1),
        )
        self.route = make_routing_handler(
            self.clock, self.balancer, self.ratio, lambda: self.policy, self.forward
        )

    def add(self, *nodes, **fields):
        for node in nodes:
            self.table.merge(make_member(node, **fields))

    def forward(self, member, call):
        self.sent[member.node] += 1
        seconds, outcome = self.fates.get(member.node, (0.01, None))
        self.clock.sleep(seconds)
        return outcome() if outcome else Answered(200, [], Body(b"ok"))

    def run_calls(self, count, **fields):
        return [
            self.clock.run(self.route, make_call(self.clock, f"r{n}", **fields))
            for n in range(count)
        ]


class RoutingTests(RoutingCase):
    def test_near_servers_are_preferred(self):
        self.add("near")
        self.add("beside", data_centre="north-2")
        self.add("far", data_centre="south-1", region="south")
        self.run_calls(50)
        self.assertEqual(self.sent, {"near": 50})

    def test_own_server_is_used_while_it_is_free(self):
        self.add("self", "other")
        self.free = True
        self.run_calls(20)
        self.assertEqual(self.sent, {"self": 20})

    def test_calls_cross_regions_only_within_the_link_budget(self):
        self.add("far", data_centre="south-1", region="south")
        body = Body(b"x" * 50_000)
        outcomes = self.run_calls(20, body=body)
        crossed = sum(isinstance(o, Answered) for o in outcomes)
        self.assertLess(crossed, 8)
        self.assertEqual(outcomes[-1].reason, NotRunReason.LINK_BUDGET)

    def test_critical_calls_may_overdraw_the_link(self):
        self.add("far", data_centre="south-1", region="south")
        self.link.charge(3 * RATE)
        plain, critical = self.run_calls(1), self.run_calls(1, critical=True)
        self.assertIsInstance(plain[0], NotRun)
        self.assertIsInstance(critical[0], Answered)

    def test_a_refused_call_goes_to_another_server(self):
        self.add("good", "bad")
        self.fates["bad"] = (0.0, lambda: NotRun(NotRunReason.CONNECT_FAILED))
        outcomes = self.run_calls(20)
        self.assertTrue(all(isinstance(o, Answered) for o in outcomes))

    def test_a_fast_failing_server_does_not_attract_calls(self):
        self.add("a", "b", "broken")
        self.fates["broken"] = (0.0, lambda: Answered(500, [], Body(b"")))
        self.run_calls(300)
        self.assertLess(self.sent["broken"], 30)

    def test_no_more_than_a_share_of_servers_is_set_aside(self):
        nodes = [f"n{number}" for number in range(9)]
        self.add(*nodes)
        for node in nodes:
            self.fates[node] = (0.0, lambda: Answered(500, [], Body(b"")))
        self.run_calls(400)
        self.sent.clear()
        self.run_calls(200)
        idle = len(nodes) - len(self.sent)
        self.assertLessEqual(idle, MAX_EJECTED_SHARE * len(nodes) + 1)

    def test_a_new_server_is_ramped_up_by_answers(self):
        self.add("old")
        self.run_calls(100)
        self.add("new")
        self.sent.clear()
        self.run_calls(50)
        self.assertLess(self.sent["new"], 25)
        self.run_calls(600)
        self.assertGreater(self.sent["new"], 200)

    def test_what_servers_say_of_their_load_does_not_sway_the_choice(self):
        self.add("honest", "liar")
        lie = [(b"x-load", b"0.0")]
        self.fates["liar"] = (0.05, lambda: Answered(200, lie, Body(b"")))
        self.run_calls(300)
        self.assertLess(self.sent["liar"], self.sent["honest"])

    @given(st.integers(1, 60), st.integers(1, 20))
    def test_subsets_of_many_clients_load_servers_evenly(self, servers, clients):
        members = [make_member(f"s{number}") for number in range(servers)]
        for number in range(clients):
            subset = choose_subset(f"c{number}", members, 12)
            self.assertEqual(len(subset), min(12, servers))
            again = choose_subset(f"c{number}", members[::-1], 12)
            self.assertEqual({m.node for m in subset}, {m.node for m in again})


class ClassificationTests(RoutingCase):
    def test_before_settings_have_come_a_node_says_that_it_is_not_ready(self):
        holder = PolicyStore()
        classify = make_classification_filter(holder.get)
        call = make_call(self.clock, service="nowhere")
        self.assertEqual(classify(call, None).reason, NotRunReason.NOT_READY)
        holder.put(self.policy)
        self.assertEqual(classify(call, None).reason, NotRunReason.UNKNOWN_SERVICE)


class RetryTests(RoutingCase):
    def test_attempts_stay_within_the_allowance(self):
        for allowance in range(4):
            with self.subTest(allowance=allowance):
                self.setUp()
                self.add(*(f"n{number}" for number in range(10)))
                for member in self.table.list_all():
                    self.fates[member.node] = (
                        0.0,
                        lambda: NotRun(NotRunReason.CONNECT_FAILED),
                    )
                self.run_calls(1, allowance=allowance)
                self.assertEqual(self.sent.total(), 1 + allowance)

    def test_retries_stay_within_the_ratio_of_first_attempts(self):
        self.add(*(f"n{number}" for number in range(20)))
        for member in self.table.list_all():
            self.fates[member.node] = (
                0.001,
                lambda: Unknown(UnknownReason.RESET),
            )
        count = 500
        self.run_calls(count, idempotent=True)
        retries = self.sent.total() - count
        limits = self.policy.services["quota"].limits
        self.assertLessEqual(
            retries, limits.retry_ratio * count + BUDGET_CAPACITY_RETRIES + 1
        )

    @given(st.lists(st.sampled_from(["not run", "unknown"]), max_size=4))
    def test_not_run_is_told_only_when_no_attempt_may_have_run(self, fates):
        self.setUp()
        self.add(*(f"n{number}" for number in range(6)))
        left = list(fates)
        met = []

        def forward(member, call):
            fate = left.pop(0) if left else "not run"
            met.append(fate)
            if fate == "unknown":
                return Unknown(UnknownReason.RESET)
            return NotRun(NotRunReason.CONNECT_FAILED)

        route = make_routing_handler(
            self.clock, self.balancer, self.ratio, lambda: self.policy, forward
        )
        call = make_call(self.clock, idempotent=True, allowance=3)
        outcome = self.clock.run(route, call)
        self.assertEqual(isinstance(outcome, Unknown), "unknown" in met)

    def test_what_may_have_run_is_not_run_again(self):
        self.add("a", "b")
        for node in "ab":
            self.fates[node] = (0.0, lambda: Unknown(UnknownReason.RESET))
        self.run_calls(1)
        self.assertEqual(self.sent.total(), 1)

    def test_nothing_is_retried_past_its_deadline(self):
        self.add("a", "b")
        for node in "ab":
            self.fates[node] = (0.2, lambda: NotRun(NotRunReason.CONNECT_FAILED))
        self.run_calls(1, seconds=0.1)
        self.assertEqual(self.sent.total(), 1)

    def test_a_resend_mints_no_new_allowance(self):
        budget = make_retry_grant_filter(
            lambda: self.policy, AllowanceGrants(self.clock)
        )
        granted = []

        def following(call):
            granted.append(call.retry_allowance.left)
            return Answered(200, [], Body(b""))

        first = {"external": True, "allowance": 0}
        budget(make_call(self.clock, "same", **first), following)
        budget(make_call(self.clock, "same", **first), following)
        budget(make_call(self.clock, "told", resend=True, **first), following)
        budget(make_call(self.clock, "inside", allowance=0), following)
        self.assertEqual(granted, [2, 0, 0, 0])
