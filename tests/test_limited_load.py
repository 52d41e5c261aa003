"""Test the decisions for servers that name limits by replaying their load patterns."""

import unittest

from fuchsiaspool.clock import VirtualClock
from fuchsiaspool.controllers.rate_limit import RateLimit

from .limited_fleet import LimitedFleet

CALLS_PER_SECOND = 227
SECONDS = 12
WINDOW_SECONDS = 4.0


class LimitedLoadTests(unittest.TestCase):
    def run_fleet(self, limits):
        fleet = LimitedFleet(limits)
        fleet.name_limits()
        fleet.offer(CALLS_PER_SECOND, SECONDS)
        for (node, times), limit in zip(fleet.arrivals.items(), limits, strict=True):
            if limit is None:
                continue
            allowed = 1.5 * limit * WINDOW_SECONDS + 5
            most = fleet.count_most_arrivals(node, WINDOW_SECONDS)
            self.assertLessEqual(most, allowed, node)
            self.assertTrue(times, f"{node} is never asked")
        return fleet

    def test_callers_are_refused_while_servers_without_a_limit_have_room(self):
        for limits in ((13.6, 8.6, 20, 25, None, None), (2, 3, 1, 0, None, None)):
            with self.subTest(limits):
                fleet = self.run_fleet(limits)
                self.assertEqual(fleet.served, fleet.offered)
                # One call in ten, at most, is sent to a limited server in vain.
                self.assertLess(fleet.attempts, 1.1 * sum(fleet.offered.values()))

    def test_important_calls_wait_behind_others_where_all_servers_name_limits(self):
        limits = (13.6, 8.6, 20, 25, 19, 19)
        fleet = self.run_fleet(limits)
        self.assertGreaterEqual(fleet.served[0], 0.99 * fleet.offered[0])
        self.assertGreater(fleet.served[1], fleet.served[2])
        # What the servers take is used.
        served = sum(fleet.served.values())
        self.assertGreaterEqual(served, 0.9 * sum(limits) * SECONDS)

    def test_limits_above_the_load_cost_nothing(self):
        fleet = self.run_fleet((60, 60, 60, 60, 60, 60))
        self.assertEqual(fleet.served, fleet.offered)
        self.assertLess(sorted(fleet.latencies)[len(fleet.latencies) // 2], 0.1)


class RateLimitTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.rate_limit = RateLimit(self.clock)

    def take_all(self):
        taken = 0
        while self.rate_limit.available:
            self.rate_limit.take()
            taken += 1
        return taken

    def test_first_limit_permits_a_burst(self):
        self.rate_limit.set_rate(10.0)
        self.assertEqual(self.take_all(), 0)
        self.clock.advance(60.0)
        self.assertLessEqual(self.take_all(), 5)

    def test_changed_limits_grant_a_burst_each_time(self):
        self.rate_limit.set_rate(10.0)
        for number in range(100):
            self.rate_limit.set_rate(10.0 + number % 2)
        self.assertEqual(self.take_all(), 0)

    def test_server_that_takes_nothing_is_never_asked_again(self):
        self.rate_limit.set_rate(0.0)
        self.clock.advance(WINDOW_SECONDS)
        self.assertIn(self.take_all(), range(1, 6))
