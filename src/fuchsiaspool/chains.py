"""Assemble the controllers and the two filter chains of a node."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from .calls import Call, Filter, Next, compose
from .clock import Clock
from .controllers.admission import Admission
from .controllers.balancer import Balancer
from .controllers.buckets import TokenBucket
from .controllers.counters import Counters
from .controllers.histograms import Histograms, Measure
from .controllers.members import MemberTable
from .controllers.retries import Grants, RetryRatio
from .controllers.threshold import LearnedThresholds
from .filters.admission import make_admission
from .filters.budget import make_budget
from .filters.classification import make_classification
from .filters.deadline import make_deadline
from .filters.observation import find_class, make_observation
from .filters.routing import make_routing
from .filters.shedding import make_shedding
from .ids import Revision
from .member_records import Member, Place
from .outcomes import NotRunReason, Outcome
from .settings.policy import Limits, Policy

# Burst of cross-region traffic, as seconds of the permitted rate.
LINK_DEPTH_SECONDS: Final = 2.0
# Used until the settings arrive; the node serves no calls before that.
UNBOUNDED_SLOTS: Final = 65_536
QUEUE_TARGET_SECONDS: Final = 0.02


class PolicyHolder:
    """Store the policy in force and notify listeners of a new one."""

    def __init__(self) -> None:
        self.current = Policy(Revision(0), {}, {})
        self._listeners: list[Callable[[Policy], None]] = []

    def get(self) -> Policy:
        """Return the policy in force."""
        return self.current

    def listen(self, listener: Callable[[Policy], None]) -> None:
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

    place: Place
    policies: PolicyHolder
    members: MemberTable
    admission: Admission
    balancer: Balancer
    learned: LearnedThresholds
    link: TokenBucket
    histograms: Histograms
    counters: Counters
    inbound: Next
    outbound: Next


@dataclass(frozen=True, slots=True)
class CoreParts:
    """Collect what a core needs: clock, random generator and senders of calls."""

    clock: Clock
    place: Place
    chance: random.Random
    dispatch: Next
    remote: Callable[[Member, Call], Outcome]
    find_refusal: Callable[[], NotRunReason | None]
    claim: Filter | None = None
    record: Filter | None = None


def build_core(parts: CoreParts) -> Core:
    """Build the controllers, then the two filter chains that use them."""
    clock = parts.clock
    limits = Limits()
    policies = PolicyHolder()
    members = MemberTable()
    admission = Admission(
        clock, UNBOUNDED_SLOTS, QUEUE_TARGET_SECONDS, limits.queue_wait
    )
    link = TokenBucket(
        clock, limits.region_rate, limits.region_rate * LINK_DEPTH_SECONDS
    )
    balancer = Balancer(
        clock,
        parts.place,
        members.list_service,
        link,
        lambda: admission.free and parts.find_refusal() is None,
        parts.chance,
    )
    learned = LearnedThresholds(clock)
    histograms = Histograms()
    counters = Counters()

    def record_delay(call: Call, seconds: float) -> None:
        name = find_class(policies.current, call)
        histograms.record(Measure.QUEUE_DELAY, name, call.caller, seconds)

    admit = make_admission(clock, admission, parts.find_refusal, record_delay)
    inbound = compose([make_deadline(clock), admit], parts.dispatch)
    forward = _make_forward(parts, inbound)
    filters: list[Filter] = [
        make_observation(clock, histograms, counters, policies.get),
        make_classification(policies.get),
        make_deadline(clock),
        make_budget(policies.get, Grants(clock)),
        make_shedding(learned),
    ]
    if parts.record is not None:
        filters.insert(0, parts.record)
    if parts.claim is not None:
        filters.append(parts.claim)
    route = make_routing(clock, balancer, RetryRatio(clock), policies.get, forward)
    policies.listen(lambda policy: _configure(policy, parts.place, admission, link))
    return Core(
        parts.place,
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


def _make_forward(parts: CoreParts, inbound: Next) -> Callable[[Member, Call], Outcome]:
    def forward(member: Member, call: Call) -> Outcome:
        if member.node == parts.place.node:
            return inbound(call)
        return parts.remote(member, call)

    return forward


def _configure(
    policy: Policy, place: Place, admission: Admission, link: TokenBucket
) -> None:
    service = policy.services.get(place.service)
    if service is None:
        return
    admission.configure(service.slots, service.queue_target, service.limits.queue_wait)
    link.rate = service.limits.region_rate
    link.depth = link.rate * LINK_DEPTH_SECONDS
