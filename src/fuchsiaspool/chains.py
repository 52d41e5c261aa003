"""Put filters and controllers together into a node's two chains."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from .calls import Call, CallHandler, Filter, compose
from .clock import Clock
from .controllers.admission import Admission
from .controllers.balancer import LoadBalancer
from .controllers.counters import OutcomeCounters
from .controllers.histograms import Histograms, Measure
from .controllers.member_table import MemberTable
from .controllers.retries import AllowanceGrants, RetryBudget
from .controllers.threshold import LearnedThresholds
from .controllers.token_bucket import TokenBucket
from .filters.admission import make_admission_filter
from .filters.classification import make_classification_filter
from .filters.deadline import make_deadline_filter
from .filters.retry_grants import make_retry_grant_filter
from .filters.routing import make_routing_handler
from .filters.shedding import make_shedding_filter
from .filters.telemetry import find_class_name, make_telemetry_filter
from .ids import Revision
from .member_records import Member, NodeLocation
from .outcomes import NotRunReason, Outcome
from .settings.policy import Limits, Policy

# Seconds of the link's rate that may be sent at once.
LINK_DEPTH_SECONDS: Final = 2.0
# In force until the settings say otherwise; no node serves before.
UNBOUNDED_SLOTS: Final = 65_536
QUEUE_TARGET_SECONDS: Final = 0.02


class PolicyStore:
    """Hold the policy in force and tell those who depend on it of a new one."""

    def __init__(self) -> None:
        self.current = Policy(Revision(0), {}, {})
        self._listeners: list[Callable[[Policy], None]] = []

    def get(self) -> Policy:
        """Return the policy in force."""
        return self.current

    def add_listener(self, listener: Callable[[Policy], None]) -> None:
        """Call a function with each policy that comes into force."""
        self._listeners.append(listener)

    def put(self, policy: Policy) -> bool:
        """Put a newer policy in force; tell if it was newer."""
        if policy.revision <= self.current.revision:
            return False
        self.current = policy
        for listener in self._listeners:
            listener(policy)
        return True


@dataclass(slots=True)
class Core:
    """Hold the controllers and chains of one node, without any transport."""

    place: NodeLocation
    policies: PolicyStore
    members: MemberTable
    admission: Admission
    balancer: LoadBalancer
    learned_thresholds: LearnedThresholds
    link: TokenBucket
    histograms: Histograms
    counters: OutcomeCounters
    inbound: CallHandler
    outbound: CallHandler


@dataclass(frozen=True, slots=True)
class CoreDependencies:
    """Hold what a core is built from: time, chance, and how calls travel."""

    clock: Clock
    place: NodeLocation
    rng: random.Random
    dispatch_locally: CallHandler
    send_to_peer: Callable[[Member, Call], Outcome]
    find_rejection_reason: Callable[[], NotRunReason | None]
    claim: Filter | None = None
    record: Filter | None = None


def build_core(dependencies: CoreDependencies) -> Core:
    """Build the controllers, then the two chains that use them."""
    clock = dependencies.clock
    limits = Limits()
    policies = PolicyStore()
    members = MemberTable()
    admission = Admission(
        clock, UNBOUNDED_SLOTS, QUEUE_TARGET_SECONDS, limits.max_queue_wait
    )
    link = TokenBucket(
        clock, limits.cross_region_rate, limits.cross_region_rate * LINK_DEPTH_SECONDS
    )
    balancer = LoadBalancer(
        clock,
        dependencies.place,
        members.list_service,
        link,
        lambda: (
            admission.has_free_slot and dependencies.find_rejection_reason() is None
        ),
        dependencies.rng,
    )
    learned = LearnedThresholds(clock)
    histograms = Histograms()
    counters = OutcomeCounters()

    def record_delay(call: Call, seconds: float) -> None:
        name = find_class_name(policies.current, call)
        histograms.record(Measure.QUEUE_DELAY, name, call.caller, seconds)

    admit = make_admission_filter(
        clock, admission, dependencies.find_rejection_reason, record_delay
    )
    inbound = compose(
        [make_deadline_filter(clock), admit], dependencies.dispatch_locally
    )
    forward = _make_forward(dependencies, inbound)
    filters: list[Filter] = [
        make_telemetry_filter(clock, histograms, counters, policies.get),
        make_classification_filter(policies.get),
        make_deadline_filter(clock),
        make_retry_grant_filter(policies.get, AllowanceGrants(clock)),
        make_shedding_filter(learned),
    ]
    if dependencies.record is not None:
        filters.insert(0, dependencies.record)
    if dependencies.claim is not None:
        filters.append(dependencies.claim)
    route = make_routing_handler(
        clock, balancer, RetryBudget(clock), policies.get, forward
    )
    policies.add_listener(
        lambda policy: _configure(policy, dependencies.place, admission, link)
    )
    return Core(
        dependencies.place,
        policies,
        members,
        admission,
        balancer,
        learned,
        link,
        histograms,
        counters,
        inbound,
        compose(filters, route),
    )


def _make_forward(
    parts: CoreDependencies, inbound: CallHandler
) -> Callable[[Member, Call], Outcome]:
    def forward(member: Member, call: Call) -> Outcome:
        if member.node == parts.place.node:
            return inbound(call)
        return parts.send_to_peer(member, call)

    return forward


def _configure(
    policy: Policy, place: NodeLocation, admission: Admission, link: TokenBucket
) -> None:
    service = policy.services.get(place.service)
    if service is None:
        return
    admission.configure(
        service.slots, service.queue_delay_target, service.limits.max_queue_wait
    )
    link.rate = service.limits.cross_region_rate
    link.capacity = link.rate * LINK_DEPTH_SECONDS
