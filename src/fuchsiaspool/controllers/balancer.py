"""Choose the server for each attempt from what this node sees itself."""

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

SUBSET_SIZE: Final = 12
LATENCY_GAIN: Final = 0.2
LATENCY_HALF_SECONDS: Final = 5.0
# Keeps servers that are about as fast sharing the load.
CLEARLY_BETTER: Final = 0.8
FIRST_LATENCY_SECONDS: Final = 0.001
FAILURE_LATENCY_SECONDS: Final = 1.0
FAILURES_TO_EJECT: Final = 5
EJECT_SECONDS: Final = 3.0
EJECT_DOUBLINGS: Final = 3
MAX_EJECTED_SHARE: Final = 0.34
RAMP_ANSWERS: Final = 50
RAMP_LEAST: Final = 0.1
SERVER_ERROR: Final = 500
_NOBODY: Final[set[NodeId]] = set()


@dataclass(slots=True)
class _Track:
    in_flight: int = 0
    latency: float = FIRST_LATENCY_SECONDS
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    answered: int = 0
    threshold: float = NO_THRESHOLD

    seen: float = 0.0

    def find_score(self, now: float) -> float:
        """Return the cost of one more call; lower is better, and old news fade."""
        age = max(0.0, now - self.seen)
        latency = self.latency * math.pow(0.5, age / LATENCY_HALF_SECONDS)
        return (self.in_flight + 1) * max(latency, FIRST_LATENCY_SECONDS)

    @property
    def ramp(self) -> float:
        """Return the share of choices that a cold server takes part in."""
        return min(1.0, RAMP_LEAST + self.answered / RAMP_ANSWERS)


class LoadBalancer:
    """Prefer near servers, spread by own observation, set outliers aside."""

    def __init__(
        self,
        clock: Clock,
        place: NodeLocation,
        list_service: Callable[[ServiceName], tuple[Member, ...]],
        link: TokenBucket,
        is_free: Callable[[], bool],
        chance: random.Random,
    ) -> None:
        self._clock = clock
        self._place = place
        self._list_service = list_service
        self._link = link
        self._is_free = is_free
        self._chance = chance
        self._tracks: dict[NodeId, _Track] = {}
        self._subsets: dict[
            ServiceName, tuple[tuple[Member, ...], list[list[Member]]]
        ] = {}

    def choose(self, call: Call, excluded: Set[NodeId]) -> Member | NotRunReason:
        """Return the server for the next attempt, or why there is none."""
        reason = NotRunReason.NO_SERVER
        shedding: Member | None = None
        tiers = self._find_tiers(call.service)
        outliers = self._find_outliers(tiers)
        for distance, tier in enumerate(tiers):
            usable = [
                m for m in tier if m.node not in excluded and m.node not in outliers
            ]
            if not usable:
                continue
            if distance == 2 and not self._may_cross(call):
                reason = NotRunReason.LINK_BUDGET
                continue
            chosen = self._choose_one(usable)
            if call.critical or self._track(chosen.node).threshold >= call.rank:
                return chosen
            shedding = shedding or chosen
        return shedding or reason

    def begin_attempt(self, member: Member) -> None:
        """Count an attempt as in flight."""
        self._track(member.node).in_flight += 1

    def end_attempt(self, member: Member, outcome: Outcome, seconds: float) -> None:
        """Learn from how an attempt ended."""
        track = self._track(member.node)
        track.in_flight -= 1
        track.seen = self._clock.now()
        track.threshold = outcome.threshold
        if self._is_crossing(member):
            self._link.charge(_measure(outcome))
        if not _is_failure(outcome):
            if isinstance(outcome, Answered):
                track.failures = 0
                track.ejections = 0
                track.answered += 1
                track.latency += (seconds - track.latency) * LATENCY_GAIN
            return
        # A failure must never look fast, or a broken server draws all load.
        cost = max(seconds, FAILURE_LATENCY_SECONDS)
        track.latency += (cost - track.latency) * LATENCY_GAIN
        track.failures += 1
        certain = isinstance(outcome, NotRun)
        if track.failures >= FAILURES_TO_EJECT or certain:
            track.ejections += 1
            doublings = min(track.ejections - 1, EJECT_DOUBLINGS)
            span = EJECT_SECONDS * float(1 << doublings)
            track.ejected_until = self._clock.now() + span
            track.failures = 0
            track.answered = 0

    def charge_link(self, member: Member, size: int) -> None:
        """Count bytes sent to a member of another region."""
        if self._is_crossing(member):
            self._link.charge(size)

    def remove_node(self, node: NodeId) -> None:
        """Drop what was learned about a node that is gone."""
        self._tracks.pop(node, None)

    def _track(self, node: NodeId) -> _Track:
        track = self._tracks.get(node)
        if track is None:
            track = self._tracks[node] = _Track()
        return track

    def _is_crossing(self, member: Member) -> bool:
        return member.region != self._place.region

    def _may_cross(self, call: Call) -> bool:
        floor = -self._link.capacity if call.critical else 0.0
        return self._link.tokens > floor

    def _find_tiers(self, service: ServiceName) -> list[list[Member]]:
        members = self._list_service(service)
        cached = self._subsets.get(service)
        if cached is not None and cached[0] is members:
            return cached[1]
        tiers: list[list[Member]] = [[], [], []]
        for member in members:
            if member.data_centre == self._place.data_centre:
                tiers[0].append(member)
            elif member.region == self._place.region:
                tiers[1].append(member)
            else:
                tiers[2].append(member)
        subset = [choose_subset(self._place.node, t, SUBSET_SIZE) for t in tiers]
        self._subsets[service] = (members, subset)
        return subset

    def _find_outliers(self, tiers: list[list[Member]]) -> set[NodeId]:
        now = self._clock.now()
        until: dict[NodeId, float] = {}
        total = 0
        for tier in tiers:
            total += len(tier)
            for member in tier:
                track = self._tracks.get(member.node)
                if track is not None and track.ejected_until > now:
                    until[member.node] = track.ejected_until
        if not until:
            return _NOBODY
        # The share is of all servers, so that a lone near one can be set aside.
        allowed = int(total * MAX_EJECTED_SHARE)
        longest = sorted(until, key=until.__getitem__, reverse=True)
        return set(longest[:allowed])

    def _choose_one(self, usable: list[Member]) -> Member:
        if self._is_free():
            for member in usable:
                if member.node == self._place.node:
                    return member
        warm = [m for m in usable if self._may_take_part(m)] or usable
        if len(warm) == 1:
            return warm[0]
        first, second = self._chance.sample(warm, 2)
        now = self._clock.now()
        bound = self._track(first.node).find_score(now) * CLEARLY_BETTER
        if self._track(second.node).find_score(now) < bound:
            return second
        return first

    def _may_take_part(self, member: Member) -> bool:
        ramp = self._track(member.node).ramp
        return ramp >= 1.0 or self._chance.random() < ramp


def _is_failure(outcome: Outcome) -> bool:
    match outcome:
        case Answered():
            # Errors under a lowered threshold are overload, not a broken server.
            return outcome.status >= SERVER_ERROR and outcome.threshold >= NO_THRESHOLD
        case NotRun():
            return outcome.reason in (
                NotRunReason.CONNECT_FAILED,
                NotRunReason.LEAVING,
                NotRunReason.NOT_READY,
            )
        case Unknown():
            return outcome.reason is not UnknownReason.CANCELLED


def _measure(outcome: Outcome) -> int:
    if isinstance(outcome, Answered):
        return outcome.body.length or len(outcome.body.buffered)
    return 0
