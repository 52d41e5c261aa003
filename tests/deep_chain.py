"""Simulate a call chain with a saturated deep service on a virtual clock.

The controllers and filters are the real ones.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

from fuchsiaspool.bodies import Body
from fuchsiaspool.calls import Call, compose, compute_rank
from fuchsiaspool.clock import VirtualClock
from fuchsiaspool.controllers.admission import Admission
from fuchsiaspool.controllers.member_table import MemberTable
from fuchsiaspool.controllers.placement import Placement
from fuchsiaspool.controllers.resends import ResendSchedule
from fuchsiaspool.controllers.retries import RetryBudget
from fuchsiaspool.controllers.threshold import LearnedThresholds
from fuchsiaspool.controllers.token_bucket import TokenBucket
from fuchsiaspool.filters.admission import make_admission_filter
from fuchsiaspool.filters.deadline import make_deadline_filter
from fuchsiaspool.filters.placement import make_placement_handler
from fuchsiaspool.filters.retry_after import make_retry_after_filter
from fuchsiaspool.filters.shedding import make_shedding_filter
from fuchsiaspool.ids import (
    CallerId,
    ClassName,
    DataCentre,
    Incarnation,
    NodeId,
    OperationName,
    Region,
    RequestId,
    ServiceName,
)
from fuchsiaspool.member_records import Member, NodeLocation
from fuchsiaspool.nested_calls import inherit_context
from fuchsiaspool.node_load import NodeLoad
from fuchsiaspool.outcomes import Answered, NotRun
from fuchsiaspool.retry_allowance import RetryAllowance
from fuchsiaspool.sidecar import THRESHOLD_RISE_PER_SECOND

FRONT, DEEP = ServiceName("front"), ServiceName("deep")
ONE_WAY_SECONDS = 0.0005
DEADLINE_SECONDS = 5.0


@dataclass(frozen=True)
class RequestKind:
    """Describe a kind of request, with times in seconds.

    `calls` counts its calls of the deep service.
    """

    name: str
    service: ServiceName
    priority: int
    share: float
    work_seconds: float
    calls: int
    soft_deadline: float
    timeout: float


KINDS = (
    RequestKind("certify", FRONT, 0, 0.21, 0.12, 4, 1.5, 1.0),
    RequestKind("quota", DEEP, 1, 0.16, 0.036, 0, 0.25, 0.8),
    RequestKind("permit", FRONT, 2, 0.63, 0.09, 4, 1.2, 0.8),
)
DEEP_CALL_SECONDS = 0.022


@dataclass
class Tally:
    """Count how requests of each kind ended."""

    offered: Counter = field(default_factory=Counter)
    in_time: Counter = field(default_factory=Counter)
    rejected_twice: Counter = field(default_factory=Counter)
    failed: Counter = field(default_factory=Counter)

    def share(self, name):
        return self.in_time[name] / max(1, self.offered[name])


def _succeeded(outcome):
    return isinstance(outcome, Answered) and outcome.status == 200


class DeepChain:
    """Simulate entry nodes, front servers and deep servers of different speeds."""

    def __init__(self, seed=1, entry_nodes=8, with_shedding=True):
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.tally = Tally()
        self._with_shedding = with_shedding
        self._number = 0
        self._admissions = {}
        self._speeds = {}
        self.members = MemberTable()
        for index, speed in enumerate((1.0, 1.0, 1.0, 1.0)):
            self._add_server(f"front-{index}", FRONT, 180, speed)
        for index, speed in enumerate((0.5, 1.0, 1.0, 1.5)):
            self._add_server(f"deep-{index}", DEEP, 23, speed)
        self._inbound = {node: self._make_inbound(node) for node in self._admissions}
        self._outbound = {}
        for node in (*self._admissions, *(f"edge-{n}" for n in range(entry_nodes))):
            self._outbound[node] = self._make_outbound(node)
        self._entry_nodes = [n for n in self._outbound if not n.startswith("front")]

    def _add_server(self, node, service, slots, speed):
        self._admissions[node] = Admission(
            self.clock, slots, 0.02, 0.5, learns_limit=False
        )
        self._speeds[node] = speed
        self.members.merge(
            Member(
                NodeId(node),
                service,
                DataCentre("north-1"),
                Region("north"),
                "127.0.0.1:1",
                "127.0.0.1:2",
                Incarnation(1),
            )
        )

    def _make_inbound(self, node):
        def serve(call):
            kind = next((k for k in KINDS if k.name == call.operation), None)
            work_seconds = DEEP_CALL_SECONDS if kind is None else kind.work_seconds
            seconds = self.rng.gammavariate(4, work_seconds / 4) / self._speeds[node]
            self.clock.sleep(seconds)
            threshold = 8.0
            for _ in range(kind.calls if kind else 0):
                outcome = self._call_deep(node, call)
                threshold = min(threshold, outcome.threshold)
                if not isinstance(outcome, Answered) or outcome.status != 200:
                    return Answered(500, [], Body(), threshold=threshold)
            late = self.clock.now() > call.deadline
            return Answered(504 if late else 200, [], Body(), threshold=threshold)

        admit = make_admission_filter(self.clock, self._admissions[node], lambda: None)
        return compose([make_deadline_filter(self.clock), admit], serve)

    def _call_deep(self, node, parent):
        call = self._make_call(DEEP, f"{parent.request}.x", 0.7)
        call.nested = True
        inherit_context(call, parent)
        call.operation = OperationName("feed")
        call.idempotent = True
        return self._outbound[node](call)

    def _make_outbound(self, node):
        placement = Placement(
            self.clock,
            NodeLocation(
                NodeId(node), ServiceName(""), DataCentre("north-1"), Region("north")
            ),
            self.members.list_service,
            TokenBucket(self.clock, 1e9, 1e9),
            lambda: NodeLoad(0.0, 1.0, 0.05),
            self.rng,
        )

        def forward(member, call):
            started = self.clock.now()
            self.clock.sleep(ONE_WAY_SECONDS)
            outcome = self._inbound[member.node](call)
            self.clock.sleep(ONE_WAY_SECONDS)
            elapsed = self.clock.now() - started
            placement.update_load(
                member, self._admissions[member.node].find_load(), elapsed - elapsed
            )
            return outcome

        handler = make_placement_handler(
            self.clock, placement, RetryBudget(self.clock), forward
        )
        if not self._with_shedding:
            return handler
        return compose(
            [
                make_retry_after_filter(
                    self.clock, ResendSchedule(self.clock, self.rng)
                ),
                make_shedding_filter(
                    LearnedThresholds(self.clock, THRESHOLD_RISE_PER_SECOND), False
                ),
            ],
            handler,
        )

    def _make_call(self, service, request, seconds):
        now = self.clock.now()
        return Call(
            RequestId(request),
            CallerId("caller"),
            service,
            "GET",
            f"/{request}",
            [],
            Body(),
            now,
            now + seconds,
            RetryAllowance(0),
        )

    def _request(self, kind):
        self.tally.offered[kind.name] += 1
        node = self.rng.choice(self._entry_nodes)
        started = self.clock.now()
        self._number += 1
        name = f"r{self._number}"
        outcome = self._send(node, kind, name, started)
        if isinstance(outcome, NotRun):
            delay = outcome.retry_after_seconds
            self.clock.sleep(0.3 if delay is None else delay)
            outcome = self._send(node, kind, name, started)
            if isinstance(outcome, NotRun):
                self.tally.rejected_twice[kind.name] += 1
        elif kind.priority and not _succeeded(outcome):
            # Idempotent requests are resent immediately after a failure.
            self.tally.failed[kind.name] += 1
            outcome = self._send(node, kind, name, started)
        if not _succeeded(outcome):
            return
        if self.clock.now() - started <= kind.soft_deadline:
            self.tally.in_time[kind.name] += 1

    def _send(self, node, kind, name, started):
        call = self._make_call(kind.service, name, kind.timeout)
        self._number += 1
        call.request = RequestId(f"{name}-{self._number}")
        call.operation = OperationName(kind.name)
        call.call_class = ClassName(kind.name)
        call.rank = compute_rank(kind.priority, call.request)
        call.critical = kind.priority == 0
        call.classified = True
        call.idempotent = kind.priority != 0
        call.max_attempts = 2
        call.soft_deadline = started + kind.soft_deadline
        outcome = self._outbound[node](call)
        if self.clock.now() > call.deadline and isinstance(outcome, Answered):
            outcome.status = 504
        return outcome

    def offer(self, requests_per_second, seconds):
        """Offer requests at a rate for some seconds, then wait until all have ended."""
        end = self.clock.now() + seconds
        weights = [kind.share for kind in KINDS]
        while self.clock.now() < end:
            self.clock.advance(self.rng.expovariate(requests_per_second))
            self.clock.spawn(self._request, self.rng.choices(KINDS, weights)[0])
        self.clock.advance(5.0)
