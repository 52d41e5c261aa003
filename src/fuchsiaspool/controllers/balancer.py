"""Choose the server for each attempt by this node's own measurements."""

import math
import random
from collections.abc import Callable, Set
from dataclasses import dataclass
from typing import Final

from ..calls import Call
from ..clock import Clock
from ..ids import NodeId, ServiceName
from ..member_records import Member, NodeLocation
from ..outcomes import (
    NO_THRESHOLD,
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from .subsets import choose_subset
from .token_bucket import TokenBucket

SUBSET_SIZE_PER_TIER: Final = 12
LATENCY_EWMA_WEIGHT: Final = 0.2
LATENCY_HALF_LIFE_SECONDS: Final = 5.0
# Of two servers the second is chosen only if its score is below this share of the
# first one's, so that servers of similar speed share the load.
BETTER_SCORE_RATIO: Final = 0.8
INITIAL_LATENCY_SECONDS: Final = 0.001
MIN_FAILURE_LATENCY_SECONDS: Final = 1.0
CONSECUTIVE_FAILURES_TO_EJECT: Final = 5
BASE_EJECTION_SECONDS: Final = 3.0
MAX_EJECTION_DOUBLINGS: Final = 3
MAX_EJECTED_SHARE: Final = 0.34
SLOW_START_ANSWERS: Final = 50
SLOW_START_MIN_SHARE: Final = 0.1
SERVER_ERROR_STATUS: Final = 500
_NO_NODES: Final[set[NodeId]] = set()


@dataclass(slots=True)
class _ServerStats:
    """Represent this node's attempts at one server; `latency` in seconds."""

    in_flight: int = 0
    latency: float = INITIAL_LATENCY_SECONDS
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    answered: int = 0
    threshold: float = NO_THRESHOLD
    updated_at: float = 0.0

    def compute_score(self, now: float) -> float:
        """Return the cost of one more call, the lower the better; latency decays."""
        age = max(0.0, now - self.updated_at)
        latency = self.latency * math.pow(0.5, age / LATENCY_HALF_LIFE_SECONDS)
        return (self.in_flight + 1) * max(latency, INITIAL_LATENCY_SECONDS)

    @property
    def slow_start_share(self) -> float:
        """Return the share of choices in which a server that is starting takes part."""
        return min(1.0, SLOW_START_MIN_SHARE + self.answered / SLOW_START_ANSWERS)


class LoadBalancer:
    """Prefer nearby servers, balance by measured latency and eject outliers."""

    def __init__(
        self,
        clock: Clock,
        location: NodeLocation,
        list_service: Callable[[ServiceName], tuple[Member, ...]],
        link: TokenBucket,
        has_free_slot: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._location = location
        self._list_service = list_service
        self._link = link
        self._has_free_slot = has_free_slot
        self._rng = rng
        self._stats: dict[NodeId, _ServerStats] = {}
        self._subsets: dict[
            ServiceName, tuple[tuple[Member, ...], list[list[Member]]]
        ] = {}

    def choose(self, call: Call, excluded: Set[NodeId]) -> Member | NotRunReason:
        """Return the server for the next attempt, or the reason for having none."""
        reason = NotRunReason.NO_SERVER
        shedding_server: Member | None = None
        tiers = self._list_tiers(call.service)
        ejected = self._list_ejected(tiers)
        for distance, tier in enumerate(tiers):
            usable = [
                member
                for member in tier
                if member.node not in excluded and member.node not in ejected
            ]
            if not usable:
                continue
            if distance == 2 and not self._may_use_link(call):
                reason = NotRunReason.LINK_BUDGET
                continue
            chosen = self._choose_in_tier(usable)
            if call.critical or self._get_stats(chosen.node).threshold >= call.rank:
                return chosen
            shedding_server = shedding_server or chosen
        return shedding_server or reason

    def begin_attempt(self, member: Member) -> None:
        """Count an attempt as in flight."""
        self._get_stats(member.node).in_flight += 1

    def end_attempt(self, member: Member, outcome: Outcome, seconds: float) -> None:
        """Record the outcome of an attempt that took `seconds`."""
        stats = self._get_stats(member.node)
        stats.in_flight -= 1
        stats.updated_at = self._clock.now()
        stats.threshold = outcome.threshold
        if self._is_cross_region(member):
            self._link.charge(_count_body_bytes(outcome))
        if not _is_failure(outcome):
            if isinstance(outcome, Answered):
                stats.consecutive_failures = 0
                stats.ejections = 0
                stats.answered += 1
                stats.latency += (seconds - stats.latency) * LATENCY_EWMA_WEIGHT
            return
        # A fast failure must not lower the latency: the server would attract calls.
        latency = max(seconds, MIN_FAILURE_LATENCY_SECONDS)
        stats.latency += (latency - stats.latency) * LATENCY_EWMA_WEIGHT
        stats.consecutive_failures += 1
        not_run = isinstance(outcome, NotRun)
        if stats.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT or not_run:
            stats.ejections += 1
            doublings = min(stats.ejections - 1, MAX_EJECTION_DOUBLINGS)
            duration = BASE_EJECTION_SECONDS * float(1 << doublings)
            stats.ejected_until = self._clock.now() + duration
            stats.consecutive_failures = 0
            stats.answered = 0

    def charge_link(self, member: Member, size: int) -> None:
        """Charge the link for bytes sent to a member of another region."""
        if self._is_cross_region(member):
            self._link.charge(size)

    def remove_node(self, node: NodeId) -> None:
        """Discard the statistics of a node that has left."""
        self._stats.pop(node, None)

    def _get_stats(self, node: NodeId) -> _ServerStats:
        stats = self._stats.get(node)
        if stats is None:
            stats = self._stats[node] = _ServerStats()
        return stats

    def _is_cross_region(self, member: Member) -> bool:
        return member.region != self._location.region

    def _may_use_link(self, call: Call) -> bool:
        floor = -self._link.capacity if call.critical else 0.0
        return self._link.tokens > floor

    def _list_tiers(self, service: ServiceName) -> list[list[Member]]:
        """Return members of the same data centre, the same region and other regions."""
        members = self._list_service(service)
        cached = self._subsets.get(service)
        if cached is not None and cached[0] is members:
            return cached[1]
        tiers: list[list[Member]] = [[], [], []]
        for member in members:
            if member.data_centre == self._location.data_centre:
                tiers[0].append(member)
            elif member.region == self._location.region:
                tiers[1].append(member)
            else:
                tiers[2].append(member)
        subset = [
            choose_subset(self._location.node, tier, SUBSET_SIZE_PER_TIER)
            for tier in tiers
        ]
        self._subsets[service] = (members, subset)
        return subset

    def _list_ejected(self, tiers: list[list[Member]]) -> set[NodeId]:
        now = self._clock.now()
        ejected_until: dict[NodeId, float] = {}
        total = 0
        for tier in tiers:
            total += len(tier)
            for member in tier:
                stats = self._stats.get(member.node)
                if stats is not None and stats.ejected_until > now:
                    ejected_until[member.node] = stats.ejected_until
        if not ejected_until:
            return _NO_NODES
        # The share is of all tiers, so that the only server of a tier can be ejected.
        allowed_count = int(total * MAX_EJECTED_SHARE)
        longest = sorted(ejected_until, key=ejected_until.__getitem__, reverse=True)
        return set(longest[:allowed_count])

    def _choose_in_tier(self, usable: list[Member]) -> Member:
        if self._has_free_slot():
            for member in usable:
                if member.node == self._location.node:
                    return member
        candidates = [
            member for member in usable if self._passes_slow_start(member)
        ] or usable
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        now = self._clock.now()
        bound = self._get_stats(first.node).compute_score(now) * BETTER_SCORE_RATIO
        if self._get_stats(second.node).compute_score(now) < bound:
            return second
        return first

    def _passes_slow_start(self, member: Member) -> bool:
        share = self._get_stats(member.node).slow_start_share
        return share >= 1.0 or self._rng.random() < share


def _is_failure(outcome: Outcome) -> bool:
    match outcome:
        case Answered():
            # With a lowered threshold, errors come from overload, not from a fault.
            return (
                outcome.status >= SERVER_ERROR_STATUS
                and outcome.threshold >= NO_THRESHOLD
            )
        case NotRun():
            return outcome.reason in (
                NotRunReason.CONNECT_FAILED,
                NotRunReason.LEAVING,
                NotRunReason.NOT_READY,
            )
        case Unknown():
            return outcome.reason is not UnknownReason.CANCELLED


def _count_body_bytes(outcome: Outcome) -> int:
    if isinstance(outcome, Answered):
        return outcome.body.length or len(outcome.body.buffered)
    return 0
