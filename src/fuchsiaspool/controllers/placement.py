"""Send each attempt to the node that is expected to answer soonest.

Handles the load pattern in which a burst fills the nearby servers of a service while
distant ones have free slots: a call goes to a distant server exactly when the wait in
the nearby queues exceeds the round trip. A server that fails part of its calls counts
as slow.
"""

import math
import random
from collections.abc import Callable, Set
from dataclasses import dataclass
from typing import Final

from ..calls import Call
from ..clock import Clock
from ..ids import NodeId, ServiceName
from ..member_records import Member, NodeLocation
from ..node_load import NodeLoad
from ..outcomes import Answered, NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from .subsets import choose_subset
from .token_bucket import TokenBucket

# Members of one service in a tier of distance that a node chooses among; bounds the
# connections in a large fleet.
SUBSET_SIZE_PER_TIER: Final = 12
# Assumed round trips, until one is measured.
SAME_DATA_CENTRE_ROUND_TRIP_SECONDS: Final = 0.0005
SAME_REGION_ROUND_TRIP_SECONDS: Final = 0.0015
OTHER_REGION_ROUND_TRIP_SECONDS: Final = 0.06
# Cost of a call to another region in addition to its time, as an equivalent wait: the
# link is narrow and billed by volume.
OTHER_REGION_SURCHARGE_SECONDS: Final = 0.02
# The same for another data centre of the region: some sites pay high rates for the
# bytes sent there.
SAME_REGION_SURCHARGE_SECONDS: Final = 0.03
# Costs that exceed the least by no more than this, or this share, count as equal.
SIMILAR_COST_SECONDS: Final = 0.004
SIMILAR_COST_SHARE: Final = 0.2
# Share of the service time that counts as cost: the rest is spent on any server, and
# a call that makes nested calls is slow for reasons outside its server.
SERVICE_TIME_SHARE: Final = 0.15
# Cost of a fully used server before it has a queue, as an equivalent wait, so that
# distant servers are used before calls are rejected.
SATURATION_COST_SECONDS: Final = 0.06
# Below 90 % of its concurrency limit a server costs hardly more than an idle one.
SATURATION_EXPONENT: Final = 8
# Approximate time that a failed call costs its caller.
FAILURE_COST_SECONDS: Final = 1.0
FAILURE_SHARE_EWMA_WEIGHT: Final = 0.1
FAILURE_SHARE_HALF_LIFE_SECONDS: Final = 4.0
DEFAULT_SERVICE_SECONDS: Final = 0.05
ROUND_TRIP_EWMA_WEIGHT: Final = 0.1
# After this time a report of calls in flight counts half.
IN_FLIGHT_HALF_LIFE_SECONDS: Final = 0.5
# The same for the reported service time, which changes more slowly.
SERVICE_TIME_HALF_LIFE_SECONDS: Final = 2.0
# Range of the factor on the interval between attempts, so that nodes do not try in
# step.
ATTEMPT_INTERVAL_JITTER: Final = (0.5, 1.5)
BASE_EJECTION_SECONDS: Final = 0.5
MAX_EJECTION_DOUBLINGS: Final = 3
SERVER_ERROR_STATUS: Final = 500
_EJECTION_REASONS: Final = frozenset(
    (
        NotRunReason.CONNECT_FAILED,
        NotRunReason.LEAVING,
        NotRunReason.NOT_READY,
        NotRunReason.WRONG_NODE,
    )
)
_DEFAULT_LOAD: Final = NodeLoad(0.0, 1.0, DEFAULT_SERVICE_SECONDS)


@dataclass(slots=True)
class _NodeStats:
    """Represent what this node knows about another; times in monotonic seconds.

    `surcharge` is the cost of the bytes sent there, in seconds of equivalent wait.
    """

    round_trip: float
    surcharge: float = 0.0
    cross_region: bool = False
    in_flight: int = 0
    load: NodeLoad = _DEFAULT_LOAD
    reported_at: float = float("-inf")
    in_flight_at_report: int = 0
    failure_share: float = 0.0
    failure_share_at: float = float("-inf")
    ejections: int = 0
    ejected_until: float = float("-inf")
    next_attempt_at: float = float("-inf")

    def estimate_in_flight(self, now: float) -> float:
        """Estimate the calls there: its last report, decayed, and those sent since."""
        age = max(0.0, now - self.reported_at)
        reported = self.load.busy * math.pow(0.5, age / IN_FLIGHT_HALF_LIFE_SECONDS)
        since = self.in_flight - self.in_flight_at_report
        return max(float(self.in_flight), reported + since)

    def compute_confidence(self, now: float) -> float:
        """Return the weight of the reported service time, 1 when new."""
        return math.pow(0.5, (now - self.reported_at) / SERVICE_TIME_HALF_LIFE_SECONDS)

    def compute_failure_share(self, now: float) -> float:
        """Return the share of calls that fail there, decayed since the last."""
        if self.failure_share < 0.01:
            return 0.0
        age = max(0.0, now - self.failure_share_at)
        return self.failure_share * math.pow(0.5, age / FAILURE_SHARE_HALF_LIFE_SECONDS)


def estimate_delay(load: NodeLoad, in_flight: float, confidence: float = 1.0) -> float:
    """Return the cost of a call in seconds, mostly wait, with `in_flight` others.

    With less `confidence` in the reported service time the server counts as faster, so
    that one that has joined, or was slow a while ago, is tried.
    """
    utilisation = min(1.0, in_flight / load.room)
    queued = max(0.0, in_flight + 1.0 - load.room)
    # The queue advances whenever one of the `room` slots becomes free.
    waiting = load.seconds * confidence * (SERVICE_TIME_SHARE + queued / load.room)
    return waiting + SATURATION_COST_SECONDS * utilisation**SATURATION_EXPONENT


def _compute_bound(least: float) -> float:
    """Return up to which cost in seconds a server is as good as the cheapest."""
    return least + max(SIMILAR_COST_SECONDS, least * SIMILAR_COST_SHARE)


class Placement:
    """Choose nodes by expected delay: round trip, service time, queue and failures."""

    def __init__(
        self,
        clock: Clock,
        location: NodeLocation,
        list_service: Callable[[ServiceName], tuple[Member, ...]],
        link: TokenBucket,
        find_local_load: Callable[[], NodeLoad],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._location = location
        self._list_service = list_service
        self._link = link
        self._find_local_load = find_local_load
        self._rng = rng
        self._stats: dict[NodeId, _NodeStats] = {}
        self._subsets: dict[ServiceName, tuple[tuple[Member, ...], list[Member]]] = {}

    def choose(
        self, call: Call, excluded: Set[NodeId], avoid_limited: bool = False
    ) -> Member | NotRunReason:
        """Return the node for the next attempt, or the reason for having none.

        Servers that name a limit get as many attempts as they ask for, none with
        `avoid_limited`, unless no other server is left. Sets `call.has_alternative`.
        """
        now = self._clock.now()
        call.has_alternative = False
        link_open = self._link.tokens > 0
        bound = least = float("inf")
        costs: list[tuple[float, Member]] = []
        ejected: list[Member] = []
        limited: list[tuple[Member, _NodeStats]] = []
        unlimited = 0
        reason = NotRunReason.NO_SERVER
        for member in self._list_subset(call.service):
            if member.node in excluded:
                continue
            stats = self._get_stats(member)
            if stats.ejected_until > now:
                ejected.append(member)
                continue
            if stats.cross_region and not link_open:
                reason = NotRunReason.LINK_BUDGET
                continue
            names_limit = self._get_load(member, stats).rate is not None
            if names_limit:
                limited.append((member, stats))
                if avoid_limited or stats.next_attempt_at > now:
                    continue
            else:
                unlimited += 1
            # The nearest come first: for most others the round trip alone costs more.
            if stats.round_trip + stats.surcharge > bound:
                continue
            # A server that names a limit lets no call wait that can go elsewhere.
            cost = self._estimate_cost(member, stats, now, waits=not names_limit)
            costs.append((cost, member))
            if cost < least:
                least = cost
                bound = _compute_bound(least)
        if limited and not unlimited:
            costs = [(self._estimate_cost(m, stats, now), m) for m, stats in limited]
            least = min(cost for cost, _ in costs)
            bound = _compute_bound(least)
        if not costs:
            # A node that failed recently is better than none.
            return self._rng.choice(ejected) if ejected else reason
        candidates = [member for cost, member in costs if cost <= bound]
        chosen = self._choose_by_room(candidates)
        names_limit = bool(limited) and self._find_load(chosen).rate is not None
        call.has_alternative = unlimited > (0 if names_limit else 1)
        return chosen

    def begin_attempt(self, member: Member) -> None:
        """Count an attempt as in flight."""
        stats = self._get_stats(member)
        stats.in_flight += 1
        load = self._get_load(member, stats)
        if load.attempt_interval:
            stats.next_attempt_at = self._clock.now() + (
                load.attempt_interval * self._rng.uniform(*ATTEMPT_INTERVAL_JITTER)
            )

    def end_attempt(self, member: Member, outcome: Outcome, seconds: float) -> None:
        """Record the outcome of an attempt."""
        stats = self._get_stats(member)
        stats.in_flight -= 1
        if stats.cross_region:
            self._link.charge(_count_body_bytes(outcome))
        now = self._clock.now()
        if isinstance(outcome, NotRun) and outcome.reason in _EJECTION_REASONS:
            doublings = min(stats.ejections, MAX_EJECTION_DOUBLINGS)
            stats.ejections += 1
            stats.ejected_until = now + BASE_EJECTION_SECONDS * float(1 << doublings)
            return
        failed = _is_failure(outcome)
        if failed is None:
            return
        stats.failure_share = stats.compute_failure_share(now)
        stats.failure_share += (
            float(failed) - stats.failure_share
        ) * FAILURE_SHARE_EWMA_WEIGHT
        stats.failure_share_at = now
        if not failed:
            stats.ejections = 0

    def update_load(self, member: Member, load: NodeLoad, round_trip: float) -> None:
        """Record the load that a node reported and the round trip in seconds."""
        stats = self._get_stats(member)
        stats.load = load
        stats.reported_at = self._clock.now()
        # The call that brought the report is still counted as in flight.
        stats.in_flight_at_report = stats.in_flight - 1
        stats.round_trip += (
            max(0.0, round_trip) - stats.round_trip
        ) * ROUND_TRIP_EWMA_WEIGHT

    def charge_link(self, member: Member, size: int) -> None:
        """Charge the link for bytes sent to a member of another region."""
        if self._is_cross_region(member):
            self._link.charge(size)

    def remove_node(self, node: NodeId) -> None:
        """Discard the statistics of a node that has left."""
        self._stats.pop(node, None)

    def readmit(self, node: NodeId) -> None:
        """End the ejection of a node that has returned."""
        stats = self._stats.get(node)
        if stats is not None:
            stats.ejected_until = float("-inf")
            stats.ejections = 0

    def _choose_by_room(self, candidates: list[Member]) -> Member:
        if len(candidates) == 1:
            return candidates[0]
        weights = [max(1.0, self._find_load(member).room) for member in candidates]
        return self._rng.choices(candidates, weights)[0]

    def _estimate_cost(
        self, member: Member, stats: _NodeStats, now: float, waits: bool = True
    ) -> float:
        if not waits:
            cost = stats.round_trip + stats.load.seconds * SERVICE_TIME_SHARE
        elif member.node == self._location.node:
            load = self._find_local_load()
            cost = estimate_delay(load, load.busy)
        else:
            cost = stats.round_trip + estimate_delay(
                stats.load, stats.estimate_in_flight(now), stats.compute_confidence(now)
            )
        return (
            cost
            + stats.surcharge
            + stats.compute_failure_share(now) * FAILURE_COST_SECONDS
        )

    def _find_load(self, member: Member) -> NodeLoad:
        return self._get_load(member, self._get_stats(member))

    def _get_load(self, member: Member, stats: _NodeStats) -> NodeLoad:
        if member.node == self._location.node:
            return self._find_local_load()
        return stats.load

    def _get_stats(self, member: Member) -> _NodeStats:
        stats = self._stats.get(member.node)
        if stats is None:
            stats = self._stats[member.node] = self._make_stats(member)
        return stats

    def _make_stats(self, member: Member) -> _NodeStats:
        if member.node == self._location.node:
            return _NodeStats(0.0)
        if self._is_cross_region(member):
            return _NodeStats(
                OTHER_REGION_ROUND_TRIP_SECONDS,
                OTHER_REGION_SURCHARGE_SECONDS,
                cross_region=True,
            )
        if member.data_centre != self._location.data_centre:
            return _NodeStats(
                SAME_REGION_ROUND_TRIP_SECONDS, SAME_REGION_SURCHARGE_SECONDS
            )
        return _NodeStats(SAME_DATA_CENTRE_ROUND_TRIP_SECONDS)

    def _is_cross_region(self, member: Member) -> bool:
        return member.region != self._location.region

    def _list_subset(self, service: ServiceName) -> list[Member]:
        """Return members of the same data centre, the same region and other regions."""
        members = self._list_service(service)
        cached = self._subsets.get(service)
        if cached is not None and cached[0] is members:
            return cached[1]
        tiers: list[list[Member]] = [[], [], []]
        for member in members:
            if member.data_centre == self._location.data_centre:
                tiers[0].append(member)
            elif not self._is_cross_region(member):
                tiers[1].append(member)
            else:
                tiers[2].append(member)
        subset = [
            member
            for tier in tiers
            for member in choose_subset(self._location.node, tier, SUBSET_SIZE_PER_TIER)
        ]
        self._subsets[service] = (members, subset)
        return subset


def _is_failure(outcome: Outcome) -> bool | None:
    """Return whether a server failed a call; `None` if the outcome does not show it."""
    match outcome:
        case Answered():
            return outcome.status >= SERVER_ERROR_STATUS
        case NotRun():
            rejected = outcome.reason is NotRunReason.SERVER_REFUSED
            return True if rejected else None
        case Unknown():
            return None if outcome.reason is UnknownReason.CANCELLED else True


def _count_body_bytes(outcome: Outcome) -> int:
    if isinstance(outcome, Answered):
        return outcome.body.length or len(outcome.body.buffered)
    return 0
