"""Keep requests from servers that crash whenever they run them.

Handles the pattern in which one request comes again and again and crashes one server
after the other, with all calls that run there. Each crash accuses every request that
was in flight. What was accused by several crashes, and has not succeeded since, is
refused; requests that were in flight by chance succeed elsewhere sooner or later.
"""

import logging
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from ..clock import Clock
from ..ids import Fingerprint, ServerStart
from ..peers.messages import Clearance, CrashEvidence, ServerCrash

_LOG = logging.getLogger(__name__)
# A request that crashes servers is often in flight at several at once. One that two
# crashes accuse is refused for a moment, so that the third is not many.
MIN_HOLD_CRASHES: Final = 2
HOLD_SECONDS: Final = 1.0
# After a block one attempt is let through; if it crashes a server, the next block is
# longer. The users allow three attempts in all.
FIRST_BLOCK_SECONDS: Final = 30.0
BLOCK_GROWTH: Final = 4.0
MAX_TRIALS: Final = 3
LAST_BLOCK_SECONDS: Final = 86_400.0
# A request that has succeeded this recently is not accused by a crash.
RECENT_SUCCESS_SECONDS: Final = 2.0
# Time for an attempt that was let through to show how it ends.
TRIAL_SECONDS: Final = 10.0
# A request that was accused by fewer crashes is forgotten after this time.
SUSPICION_SECONDS: Final = 600.0
# Successes are kept while older accusations may still arrive from peers.
CLEARANCE_SECONDS: Final = 60.0
MAX_SUSPECTS: Final = 4_096
# Bound one message; the most suspicious requests and the latest successes go first.
MAX_SHARED_CRASHES: Final = 64
MAX_SHARED_CLEARANCES: Final = 256
MIN_SHARED_CRASHES_OF_REQUEST: Final = 2


@dataclass(slots=True)
class Suspect:
    """Record the crashes that accuse a request: when each server start crashed."""

    crashed_at: dict[ServerStart, float] = field(default_factory=dict)
    trial_until: float = 0.0

    @property
    def latest_at(self) -> float:
        """Return the time of the latest crash."""
        return max(self.crashed_at.values())


@dataclass(frozen=True, slots=True)
class Block:
    """Represent a refusal: the crashes behind it, and the seconds that it lasts."""

    crashes: int
    seconds: float


class Quarantine:
    """Merge the crashes and successes that all nodes of a service have seen.

    A request is blocked after `threshold` crashes, never if that is 0.
    `is_trial_node` returns whether this node is the one to let an attempt through
    after a block.
    """

    def __init__(
        self,
        clock: Clock,
        threshold: int,
        is_trial_node: Callable[[Fingerprint], bool],
    ) -> None:
        self.threshold = threshold
        self.refusals = 0
        self._clock = clock
        self._is_trial_node = is_trial_node
        self._suspects: OrderedDict[Fingerprint, Suspect] = OrderedDict()
        # Successes of any request that this node knows of, and those of suspects.
        self._succeeded_at: OrderedDict[Fingerprint, float] = OrderedDict()
        self._cleared_at: OrderedDict[Fingerprint, float] = OrderedDict()

    def record_crash(
        self, start: ServerStart, requests: Iterable[Fingerprint], age: float = 0.0
    ) -> list[Fingerprint]:
        """Accuse the requests that were in flight at a crash `age` seconds ago.

        Return them without those that have succeeded recently.
        """
        at = self._clock.now() - age
        accused = [r for r in requests if not self._has_succeeded_since(r, at)]
        for request in accused:
            suspect = self._suspects.setdefault(request, Suspect())
            self._suspects.move_to_end(request)
            if start in suspect.crashed_at:
                continue
            suspect.crashed_at[start] = at
            if self.threshold and len(suspect.crashed_at) >= self.threshold:
                self._log_block(request, suspect)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return accused

    def record_success(self, request: Fingerprint, age: float = 0.0) -> bool:
        """Drop the crashes before a success; return whether there were any."""
        at = self._clock.now() - age
        _remember_latest(self._succeeded_at, request, at)
        suspect = self._suspects.get(request)
        if suspect is None:
            return False
        _remember_latest(self._cleared_at, request, at)
        later = {start: t for start, t in suspect.crashed_at.items() if t > at}
        if len(later) == len(suspect.crashed_at):
            return False
        if self.threshold and len(suspect.crashed_at) >= self.threshold:
            _LOG.info("quarantine ended", extra={"fingerprint": f"{request:016x}"})
        suspect.crashed_at = later
        if not later:
            del self._suspects[request]
        return True

    def find_block(self, request: Fingerprint) -> Block | None:
        """Return why a request is refused now, or `None` to let it through."""
        suspect = self._suspects.get(request)
        if suspect is None or not self.threshold:
            return None
        if not self._is_blocked(suspect):
            return self._find_hold(suspect)
        now = self._clock.now()
        crashes = len(suspect.crashed_at)
        ends_at = max(suspect.latest_at + self._choose_block_seconds(crashes), now)
        ends_at = max(ends_at, suspect.trial_until)
        if ends_at <= now:
            # A block has ended. One node tries, and the others wait for what it learns.
            suspect.trial_until = now + TRIAL_SECONDS
            if self._is_trial_node(request):
                fields = {"fingerprint": f"{request:016x}", "crashes": crashes}
                _LOG.warning("quarantine tried", extra=fields)
                return None
            ends_at = suspect.trial_until
        self.refusals += 1
        return Block(crashes, ends_at - now)

    def _find_hold(self, suspect: Suspect) -> Block | None:
        crashes = len(suspect.crashed_at)
        seconds = suspect.latest_at + HOLD_SECONDS - self._clock.now()
        if crashes < MIN_HOLD_CRASHES or seconds <= 0.0:
            return None
        self.refusals += 1
        return Block(crashes, seconds)

    def list_blocked(self) -> dict[Fingerprint, Suspect]:
        """Return the requests that are refused, with the crashes behind it."""
        return {r: s for r, s in self._suspects.items() if self._is_blocked(s)}

    def forget_old(self) -> None:
        """Drop what is too old to matter."""
        now = self._clock.now()
        for request, suspect in list(self._suspects.items()):
            seconds = SUSPICION_SECONDS
            if self._is_blocked(suspect):
                seconds += self._choose_block_seconds(len(suspect.crashed_at))
            if now - suspect.latest_at > seconds:
                del self._suspects[request]
        for request, cleared_at in list(self._cleared_at.items()):
            if now - cleared_at > CLEARANCE_SECONDS:
                del self._cleared_at[request]

    def collect_evidence(self) -> CrashEvidence:
        """Return what peers should know: requests that crashed more than one server."""
        now = self._clock.now()
        by_start: dict[ServerStart, ServerCrash] = {}
        ranked = sorted(
            self._suspects.items(), key=lambda item: -len(item[1].crashed_at)
        )
        for request, suspect in ranked:
            if len(suspect.crashed_at) < min(
                MIN_SHARED_CRASHES_OF_REQUEST, self.threshold
            ):
                break
            for start, at in suspect.crashed_at.items():
                if start not in by_start and len(by_start) >= MAX_SHARED_CRASHES:
                    continue
                crash = by_start.setdefault(start, ServerCrash(start, now - at, []))
                crash.requests.append(request)
        latest = list(self._cleared_at.items())[-MAX_SHARED_CLEARANCES:]
        cleared = [Clearance(request, now - at) for request, at in latest]
        return CrashEvidence(list(by_start.values()), cleared)

    def merge(self, evidence: CrashEvidence) -> None:
        """Adopt what a peer knows."""
        for clearance in evidence.cleared:
            self.record_success(clearance.request, clearance.age)
        for crash in evidence.crashes:
            self.record_crash(crash.start, crash.requests, crash.age)

    def _has_succeeded_since(self, request: Fingerprint, at: float) -> bool:
        cleared_at = self._cleared_at.get(request, -math.inf)
        succeeded_at = self._succeeded_at.get(request, -math.inf)
        return cleared_at >= at or succeeded_at >= at - RECENT_SUCCESS_SECONDS

    def _is_blocked(self, suspect: Suspect) -> bool:
        return 0 < self.threshold <= len(suspect.crashed_at)

    def _choose_block_seconds(self, crashes: int) -> float:
        trials = crashes - self.threshold
        if trials >= MAX_TRIALS:
            return LAST_BLOCK_SECONDS
        return FIRST_BLOCK_SECONDS * BLOCK_GROWTH**trials

    def _log_block(self, request: Fingerprint, suspect: Suspect) -> None:
        now = self._clock.now()
        _LOG.warning(
            "request quarantined",
            extra={
                "fingerprint": f"{request:016x}",
                "crashes": {
                    start: round(now - at, 3)
                    for start, at in suspect.crashed_at.items()
                },
                "seconds": self._choose_block_seconds(len(suspect.crashed_at)),
            },
        )


def _remember_latest(
    times: OrderedDict[Fingerprint, float], request: Fingerprint, at: float
) -> None:
    times[request] = max(at, times.pop(request, at))
    if len(times) > MAX_SUSPECTS:
        times.popitem(last=False)
