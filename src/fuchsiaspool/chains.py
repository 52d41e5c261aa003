"""Assemble the controllers and the two filter chains of a node."""

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

# Burst of cross-region traffic, as seconds of the permitted rate.
LINK_BURST_SECONDS: Final = 2.0
# Used until the settings arrive; the node serves no calls before that.
INITIAL_SLOTS: Final = 65_536
INITIAL_QUEUE_TARGET_SECONDS: Final = 0.02


class PolicyStore:
    """Store the policy in force and notify listeners of a new one."""

    def __init__(self) -> None:
        self.current = Policy(Revision(0), {}, {})
        self._listeners: list[Callable[[Policy], None]] = []

    def get(self) -> Policy:
        """Return the policy in force."""
        return self.current

    def add_listener(self, listener: Callable[[Policy], None]) -> None:
        """Add a function that is called with each policy that comes into force."""
        self._listeners.append(listener)

    def put(self, policy: Policy) -> bool:
        """Put a policy in force if it is newer; return whether it is."""
        if policy.revision <= self.current.revision:
            return False
        self.current = policy
        for listener in self._listeners:
            listener(policy)
        return True


@dataclass(slots=True)
class Core:
    """Represent the controllers and filter chains of one node, without transports."""

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
    """Collect what a core needs: clock, random generator and senders of calls."""

    clock: Clock
    place: NodeLocation
    rng: random.Random
    dispatch_locally: CallHandler
    send_to_peer: Callable[[Member, Call], Outcome]
    find_rejection_reason: Callable[[], NotRunReason | None]
    claim: Filter | None = None
    record: Filter | None = None


def build_core(dependencies: CoreDependencies) -> Core:
    """Build the controllers, then the two filter chains that use them."""
    clock = dependencies.clock
    limits = Limits()
    policies = PolicyStore()
    members = MemberTable()
    admission = Admission(
        clock, INITIAL_SLOTS, INITIAL_QUEUE_TARGET_SECONDS, limits.max_queue_wait
    )
    link = TokenBucket(
        clock, limits.cross_region_rate, limits.cross_region_rate * LINK_BURST_SECONDS
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
    learned_thresholds = LearnedThresholds(clock)
    histograms = Histograms()
    counters = OutcomeCounters()

    def record_queue_delay(call: Call, seconds: float) -> None:
        class_name = find_class_name(policies.current, call)
        histograms.record(Measure.QUEUE_DELAY, class_name, call.caller, seconds)

    admission_filter = make_admission_filter(
        clock, admission, dependencies.find_rejection_reason, record_queue_delay
    )
    inbound = compose(
        [make_deadline_filter(clock), admission_filter], dependencies.dispatch_locally
    )
    send_attempt = _make_attempt_sender(dependencies, inbound)
    filters: list[Filter] = [
        make_telemetry_filter(clock, histograms, counters, policies.get),
        make_classification_filter(policies.get),
        make_deadline_filter(clock),
        make_retry_grant_filter(policies.get, AllowanceGrants(clock)),
        make_shedding_filter(learned_thresholds),
    ]
    if dependencies.record is not None:
        filters.insert(0, dependencies.record)
    if dependencies.claim is not None:
        filters.append(dependencies.claim)
    route = make_routing_handler(
        clock, balancer, RetryBudget(clock), policies.get, send_attempt
    )
    policies.add_listener(
        lambda policy: _apply_policy(policy, dependencies.place, admission, link)
    )
    return Core(
        dependencies.place,
        policies,
        members,
        admission,
        balancer,
        learned_thresholds,
        link,
        histograms,
        counters,
        inbound,
        compose(filters, route),
    )


def _make_attempt_sender(
    dependencies: CoreDependencies, inbound: CallHandler
) -> Callable[[Member, Call], Outcome]:
    def send_attempt(member: Member, call: Call) -> Outcome:
        if member.node == dependencies.place.node:
            return inbound(call)
        return dependencies.send_to_peer(member, call)

    return send_attempt


def _apply_policy(
    policy: Policy, location: NodeLocation, admission: Admission, link: TokenBucket
) -> None:
    service = policy.services.get(location.service)
    if service is None:
        return
    admission.configure(
        service.slots, service.queue_delay_target, service.limits.max_queue_wait
    )
    link.rate = service.limits.cross_region_rate
    link.capacity = link.rate * LINK_BURST_SECONDS
