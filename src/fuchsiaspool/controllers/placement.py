"""Place each attempt where it will be answered soonest.

Answers the load pattern in which a burst fills the near servers of a service while
distant ones have room: a call goes far exactly when the wait in the near queues is
longer than the way, and a server that fails part of its calls counts as slow.
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

# Members of one service that a node chooses among, per distance; bounds the
# connections of a large fleet.
SUBSET_SIZE: Final = 12
# Assumed ways there and back until they are measured, in seconds.
NEAR_SECONDS: Final = 0.0005
REGION_SECONDS: Final = 0.0015
FAR_SECONDS: Final = 0.06
# What a crossing between regions costs besides its time: the link is narrow and
# paid by volume. In seconds of waiting that it is worth.
CROSSING_SECONDS: Final = 0.02
# The same for bytes between data centres of a region, which some sites pay dearly.
CENTRE_SECONDS: Final = 0.03
# Costs this close are taken for equal, in seconds and as a share of the least.
CLOSE_SECONDS: Final = 0.004
CLOSE_SHARE: Final = 0.2
# How much of the time of work counts: the rest is spent wherever a call goes, and a
# call that makes calls takes long for reasons that are not its server's.
WORK_SHARE: Final = 0.15
# What a full server adds before there is a queue, in seconds of waiting that it is
# worth to go elsewhere: with it, distant room is used before calls are turned away.
FULL_SECONDS: Final = 0.06
# Below nine tenths of its room a server is hardly slower than an idle one.
FULL_POWER: Final = 8
# A failed call costs its caller about this long.
FAILURE_SECONDS: Final = 1.0
FAILURE_GAIN: Final = 0.1
FAILURE_HALF_SECONDS: Final = 4.0
SERVICE_SECONDS: Final = 0.05
LATENCY_GAIN: Final = 0.1
# A report is believed by half after this time.
REPORT_HALF_SECONDS: Final = 0.5
# The same of how long calls take there, which changes more slowly.
SPEED_HALF_SECONDS: Final = 2.0
EJECT_SECONDS: Final = 0.5
EJECT_DOUBLINGS: Final = 3
SERVER_ERROR: Final = 500
_ABSENT: Final = frozenset(
    (
        NotRunReason.CONNECT_FAILED,
        NotRunReason.LEAVING,
        NotRunReason.NOT_READY,
        NotRunReason.WRONG_NODE,
    )
)
_UNLOADED: Final = NodeLoad(0.0, 1.0, SERVICE_SECONDS)


@dataclass(slots=True)
class _Track:
    """Hold what this node knows of one other; times in monotonic seconds.

    `surcharge` is the seconds of waiting that the bytes on the way are worth.
    """

    way: float
    surcharge: float = 0.0
    crossing: bool = False
    in_flight: int = 0
    load: NodeLoad = _UNLOADED
    reported_at: float = float("-inf")
    in_flight_reported: int = 0
    failing: float = 0.0
    failed_at: float = float("-inf")
    ejections: int = 0
    ejected_until: float = float("-inf")

    def find_busy(self, now: float) -> float:
        """Estimate the calls at the node: its last report, faded, and the own since."""
        age = max(0.0, now - self.reported_at)
        faded = self.load.busy * math.pow(0.5, age / REPORT_HALF_SECONDS)
        since = self.in_flight - self.in_flight_reported
        return max(float(self.in_flight), faded + since)

    def find_trust(self, now: float) -> float:
        """Return how far to believe the time that calls take there, 1 when new."""
        return math.pow(0.5, (now - self.reported_at) / SPEED_HALF_SECONDS)

    def find_failing(self, now: float) -> float:
        """Return the faded share of calls that fail there."""
        if self.failing < 0.01:
            return 0.0
        age = max(0.0, now - self.failed_at)
        return self.failing * math.pow(0.5, age / FAILURE_HALF_SECONDS)


def estimate_delay(load: NodeLoad, busy: float, trust: float = 1.0) -> float:
    """Return the seconds that a call costs where `busy` others are: mostly the wait.

    With less `trust` in how long calls take there, a server counts as faster, so that
    one that joined, or was slow a while ago, is tried.
    """
    use = min(1.0, busy / load.room)
    queued = max(0.0, busy + 1.0 - load.room)
    # A queue of calls moves one on whenever one of `room` slots comes free.
    waiting = load.seconds * trust * (WORK_SHARE + queued / load.room)
    return waiting + FULL_SECONDS * use**FULL_POWER


class Placement:
    """Choose by expected delay: the way, the work and the queue, failures included."""

    def __init__(
        self,
        clock: Clock,
        place: NodeLocation,
        list_service: Callable[[ServiceName], tuple[Member, ...]],
        link: TokenBucket,
        find_own_load: Callable[[], NodeLoad],
        chance: random.Random,
    ) -> None:
        self._clock = clock
        self._place = place
        self._list_service = list_service
        self._link = link
        self._find_own_load = find_own_load
        self._chance = chance
        self._tracks: dict[NodeId, _Track] = {}
        self._subsets: dict[ServiceName, tuple[tuple[Member, ...], list[Member]]] = {}

    def choose(self, call: Call, excluded: Set[NodeId]) -> Member | NotRunReason:
        """Return the node for the next attempt, or why there is none."""
        now = self._clock.now()
        bound = least = float("inf")
        costs: list[tuple[float, Member]] = []
        resting: list[Member] = []
        reason = NotRunReason.NO_SERVER
        for member in self._find_subset(call.service):
            if member.node in excluded:
                continue
            track = self._track(member)
            if track.ejected_until > now:
                resting.append(member)
                continue
            # Nearest come first: of most others the way alone costs more.
            if track.way + track.surcharge > bound:
                continue
            if track.crossing and self._link.tokens <= 0:
                reason = NotRunReason.LINK_BUDGET
                continue
            cost = self._find_cost(member, track, now)
            costs.append((cost, member))
            if cost < least:
                least = cost
                bound = least + max(CLOSE_SECONDS, least * CLOSE_SHARE)
        if not costs:
            # Better one that failed lately than none.
            return self._chance.choice(resting) if resting else reason
        close = [member for cost, member in costs if cost <= bound]
        if len(close) == 1:
            return close[0]
        weights = [max(1.0, self._find_load(m).room) for m in close]
        return self._chance.choices(close, weights)[0]

    def begin_attempt(self, member: Member) -> None:
        """Count an attempt as in flight."""
        self._track(member).in_flight += 1

    def end_attempt(self, member: Member, outcome: Outcome, seconds: float) -> None:
        """Learn from how an attempt ended."""
        track = self._track(member)
        track.in_flight -= 1
        if track.crossing:
            self._link.charge(_measure(outcome))
        now = self._clock.now()
        if isinstance(outcome, NotRun) and outcome.reason in _ABSENT:
            doublings = min(track.ejections, EJECT_DOUBLINGS)
            track.ejections += 1
            track.ejected_until = now + EJECT_SECONDS * float(1 << doublings)
            return
        failed = _is_failure(outcome)
        if failed is None:
            return
        track.failing = track.find_failing(now)
        track.failing += (float(failed) - track.failing) * FAILURE_GAIN
        track.failed_at = now
        if not failed:
            track.ejections = 0

    def update_load(self, member: Member, load: NodeLoad, round_trip: float) -> None:
        """Take in what a node said of itself, and the seconds that its way took."""
        track = self._track(member)
        track.load = load
        track.reported_at = self._clock.now()
        # The call that brought the report is still counted as in flight.
        track.in_flight_reported = track.in_flight - 1
        track.way += (max(0.0, round_trip) - track.way) * LATENCY_GAIN

    def charge_link(self, member: Member, size: int) -> None:
        """Count bytes sent to a member of another region."""
        if self._is_crossing(member):
            self._link.charge(size)

    def remove_node(self, node: NodeId) -> None:
        """Drop what was learned about a node that is gone."""
        self._tracks.pop(node, None)

    def readmit(self, node: NodeId) -> None:
        """Let a node that returned take part at once."""
        track = self._tracks.get(node)
        if track is not None:
            track.ejected_until = float("-inf")
            track.ejections = 0

    def _find_cost(self, member: Member, track: _Track, now: float) -> float:
        if member.node == self._place.node:
            load = self._find_own_load()
            cost = estimate_delay(load, load.busy)
        else:
            cost = track.way + estimate_delay(
                track.load, track.find_busy(now), track.find_trust(now)
            )
        return cost + track.surcharge + track.find_failing(now) * FAILURE_SECONDS

    def _find_load(self, member: Member) -> NodeLoad:
        if member.node == self._place.node:
            return self._find_own_load()
        return self._track(member).load

    def _track(self, member: Member) -> _Track:
        track = self._tracks.get(member.node)
        if track is None:
            track = self._tracks[member.node] = self._make_track(member)
        return track

    def _make_track(self, member: Member) -> _Track:
        if member.node == self._place.node:
            return _Track(0.0)
        if self._is_crossing(member):
            return _Track(FAR_SECONDS, CROSSING_SECONDS, crossing=True)
        if member.data_centre != self._place.data_centre:
            return _Track(REGION_SECONDS, CENTRE_SECONDS)
        return _Track(NEAR_SECONDS)

    def _is_crossing(self, member: Member) -> bool:
        return member.region != self._place.region

    def _find_subset(self, service: ServiceName) -> list[Member]:
        members = self._list_service(service)
        cached = self._subsets.get(service)
        if cached is not None and cached[0] is members:
            return cached[1]
        tiers: list[list[Member]] = [[], [], []]
        for member in members:
            if member.data_centre == self._place.data_centre:
                tiers[0].append(member)
            elif not self._is_crossing(member):
                tiers[1].append(member)
            else:
                tiers[2].append(member)
        subset = [
            member
            for tier in tiers
            for member in choose_subset(self._place.node, tier, SUBSET_SIZE)
        ]
        self._subsets[service] = (members, subset)
        return subset


def _is_failure(outcome: Outcome) -> bool | None:
    """Tell if a server failed a call; `None` where the outcome says nothing of it."""
    match outcome:
        case Answered():
            return outcome.status >= SERVER_ERROR
        case NotRun():
            refused = outcome.reason is NotRunReason.SERVER_REFUSED
            return True if refused else None
        case Unknown():
            return None if outcome.reason is UnknownReason.CANCELLED else True


def _measure(outcome: Outcome) -> int:
    if isinstance(outcome, Answered):
        return outcome.body.length or len(outcome.body.buffered)
    return 0
