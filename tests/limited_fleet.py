"""Replay load on a service whose servers name limits, in virtual time."""

import random

from fuchsiaspool.bodies import Body
from fuchsiaspool.calls import compose
from fuchsiaspool.clock import VirtualClock
from fuchsiaspool.controllers.admission import Admission
from fuchsiaspool.controllers.member_table import MemberTable
from fuchsiaspool.controllers.placement import Placement
from fuchsiaspool.controllers.resends import ResendSchedule
from fuchsiaspool.controllers.retries import RetryBudget
from fuchsiaspool.controllers.threshold import LearnedThresholds
from fuchsiaspool.controllers.token_bucket import TokenBucket
from fuchsiaspool.filters.admission import make_admission_filter
from fuchsiaspool.filters.placement import make_placement_handler
from fuchsiaspool.filters.retry_after import make_retry_after_filter
from fuchsiaspool.filters.shedding import make_shedding_filter
from fuchsiaspool.ids import OperationName
from fuchsiaspool.node_load import NodeLoad
from fuchsiaspool.outcomes import Answered
from fuchsiaspool.sidecar import (
    MAX_QUEUE_WAIT_SECONDS,
    QUEUE_TARGET_SECONDS,
    RETRY_BURST,
    THRESHOLD_RISE_PER_SECOND,
)

from .support import QUOTA_SERVICE, make_call, make_location, make_member

SLOTS = 75
SERVICE_SECONDS = 0.09
ONE_WAY_SECONDS = 0.0005
# A caller resends once, if it is told that its request was not run.
RESENDS = 1


class LimitedFleet:
    """Run calling nodes and servers that may name limits, with real controllers."""

    def __init__(self, limits, calling_nodes=18, seed=1):
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.arrivals = {f"s{number}": [] for number in range(len(limits))}
        self.attempts = 0
        self.offered = {0: 0, 1: 0, 2: 0}
        self.served = {0: 0, 1: 0, 2: 0}
        self.latencies = []
        self._members = MemberTable()
        self._admissions = {}
        for node in self.arrivals:
            self._members.merge(make_member(node))
            self._admissions[node] = Admission(
                self.clock, SLOTS, QUEUE_TARGET_SECONDS, MAX_QUEUE_WAIT_SECONDS, False
            )
        self._limits = dict(zip(self.arrivals, limits, strict=True))
        self._inbound = {node: self._make_inbound(node) for node in self.arrivals}
        self._outbound = [
            self._make_outbound(f"n{number}") for number in range(calling_nodes)
        ]

    def name_limits(self):
        """Let the servers name their limits."""
        for node, limit in self._limits.items():
            self._admissions[node].set_rate(limit)

    def offer(self, calls_per_second, seconds, priorities=(0, 1, 2)):
        """Offer calls at random times; return once those due have ended."""
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            self.clock.spawn(self._request, self.rng.choice(priorities))
            self.clock.advance(self.rng.expovariate(calls_per_second))
        self.clock.advance(3.0)

    def count_most_arrivals(self, node, window):
        """Return the most arrivals at a server within any window of this length."""
        times = self.arrivals[node]
        return max(
            (sum(start <= t < start + window for t in times) for start in times),
            default=0,
        )

    def _make_inbound(self, node):
        def serve(call):
            self.arrivals[node].append(self.clock.now())
            self.clock.sleep(self.rng.gammavariate(4, SERVICE_SECONDS / 4))
            return Answered(200, [], Body())

        admit = make_admission_filter(self.clock, self._admissions[node], lambda: None)
        return compose([admit], serve)

    def _make_outbound(self, node):
        placement = Placement(
            self.clock,
            make_location(node),
            self._members.list_service,
            TokenBucket(self.clock, 1e9, 1e9),
            lambda: NodeLoad(0.0, 1.0, 0.05),
            self.rng,
        )

        def forward(member, call):
            self.attempts += 1
            self.clock.sleep(ONE_WAY_SECONDS)
            outcome = self._inbound[member.node](call)
            self.clock.sleep(ONE_WAY_SECONDS)
            placement.update_load(
                member,
                self._admissions[member.node].find_load(),
                2 * ONE_WAY_SECONDS,
            )
            return outcome

        budget = RetryBudget(self.clock, RETRY_BURST, 0.0)
        return compose(
            [
                make_retry_after_filter(
                    self.clock, ResendSchedule(self.clock, self.rng)
                ),
                make_shedding_filter(
                    LearnedThresholds(self.clock, THRESHOLD_RISE_PER_SECOND), False
                ),
            ],
            make_placement_handler(self.clock, placement, budget, forward),
        )

    def _request(self, priority):
        self.offered[priority] += 1
        rank = priority + self.rng.random()
        outbound = self.rng.choice(self._outbound)
        started = self.clock.now()
        name = f"/{sum(self.offered.values())}"
        for _ in range(1 + RESENDS):
            call = make_call(
                self.clock,
                service=QUOTA_SERVICE,
                target=name,
                seconds=6.0,
                rank=rank,
                critical=priority == 0,
                operation=OperationName(f"class-{priority}"),
                idempotent=True,
                max_attempts=2,
                soft_deadline=started + 1.5,
            )
            outcome = outbound(call)
            if isinstance(outcome, Answered):
                self.served[priority] += 1
                self.latencies.append(self.clock.now() - started)
                return
            self.clock.sleep(min(2.0, outcome.retry_after_seconds or 0.3))
