"""Admit calls to the node's own backend server, the most important first."""

from dataclasses import dataclass
from typing import Final

from sortedcontainers import SortedList

from ..calls import Call
from ..clock import Clock, Waiter
from ..outcomes import NO_THRESHOLD, NotRun, NotRunReason
from .level import AdmissionLevel
from .limit import ConcurrencyLimit
from .threshold import SheddingThreshold

QUEUE_CAPACITY_PER_SLOT: Final = 4
MIN_QUEUE_CAPACITY: Final = 16
_SERVICE_TIME_EWMA_WEIGHT: Final = 0.1

# Class; nested calls first; the caller's share of critical ones; then what decides
# among equals: the end of a nested call's time, a request's own fixed rank.
_SortKey = tuple[int, bool, float, float, int]


@dataclass(slots=True, eq=False)
class _QueuedCall:
    sort_key: _SortKey
    call: Call
    waiter: Waiter
    admitted: bool = False
    refusal: NotRunReason | None = None


class Admission:
    """Hold the in-flight count, the queue and the shedding threshold.

    With `learns_room` the limit follows the server's refusals, below its slots;
    without, the slots are known and a refusal tells nothing of the room.

    Waiting calls are ordered by class; among critical ones the caller with the
    fewest calls here goes first, among others the request's own hash decides,
    so that one request meets the same verdict at every hop.
    """

    def __init__(
        self,
        clock: Clock,
        slots: int,
        queue_target: float,
        queue_wait: float,
        learns_room: bool = True,
    ) -> None:
        self.limit = ConcurrencyLimit(clock, slots)
        self.in_flight = 0
        self.shedding = SheddingThreshold(clock, queue_target)
        self.level = AdmissionLevel(clock, queue_target)
        self._learns_limit = learns_room
        self._clock = clock
        self._max_queue_wait = queue_wait
        self._queue: SortedList[_QueuedCall] = SortedList(
            key=lambda entry: entry.sort_key
        )
        self._sequence = 0
        self._calls_by_caller: dict[str, int] = {}
        self._mean_service_seconds = 0.0

    @property
    def threshold(self) -> float:
        """Return the rank above which calls are shed."""
        return self.shedding.value if self._learns_limit else self.level.value

    @property
    def queued(self) -> int:
        """Return how many calls wait."""
        return len(self._queue)

    @property
    def service_seconds(self) -> float:
        """Return the mean time that a call spends at the server."""
        return self._mean_service_seconds

    @property
    def free(self) -> bool:
        """Tell if a call would be admitted at once."""
        return self.in_flight + 1 <= self.limit.value and not self._queue

    def configure(self, slots: int, queue_target: float, queue_wait: float) -> None:
        """Take new bounds from the settings."""
        self.limit.set_ceiling(slots)
        self.shedding.set_target(queue_target)
        self._max_queue_wait = queue_wait
        self._admit_waiting()

    def enter(self, call: Call) -> NotRun | None:
        """Wait for a slot; return a refusal where there is none in time."""
        if not self._learns_limit:
            # Order decides here; the level tells entrances what not to send.
            if self.free:
                self.level.observe(call.rank, 0.0, 0.0)
            else:
                queue_wait = self._estimate_queue_wait(len(self._queue))
                self.level.observe(call.rank, self._estimate_wait(call), queue_wait)
        else:
            self.shedding.offer(call.rank)
            if not call.critical and call.rank > self.threshold:
                return self._make_rejection(NotRunReason.SHED)
        if self.free:
            self.shedding.mark_drained()
            self._admit(call)
            return None
        return self._wait_for_slot(call)

    def leave(self, call: Call, seconds: float, refused: bool, ran: bool) -> None:
        """Return a slot after `seconds`; `refused` if the server had no room."""
        self.in_flight -= 1
        self._uncount_caller(call)
        if self._learns_limit:
            self.shedding.complete()
            self.limit.observe(refused, self.in_flight + 1)
        else:
            self.level.observe_outcome(refused)
        if ran:
            self._mean_service_seconds += (
                seconds - self._mean_service_seconds
            ) * _SERVICE_TIME_EWMA_WEIGHT
        self._admit_waiting()

    def _estimate_wait(self, call: Call) -> float:
        """Return the seconds until a slot, behind those that go first."""
        weight = call.deadline if call.nested else call.rank
        goes_first = (int(call.rank), not call.nested, 0.0, weight, 0)
        return self._estimate_queue_wait(self._queue.bisect_key_left(goes_first))

    def _estimate_queue_wait(self, queued: int) -> float:
        ahead = self.in_flight + queued + 1 - self.limit.value
        return float(max(0.0, ahead) * self._mean_service_seconds / self.limit.value)

    def _wait_for_slot(self, call: Call) -> NotRun | None:
        timeout = call.deadline - self._clock.now() - self._mean_service_seconds
        if timeout <= 0:
            return self._make_rejection(NotRunReason.DEADLINE)
        entry = _QueuedCall(self._make_sort_key(call), call, self._clock.waiter())
        if not self._ensure_queue_capacity(entry):
            return self._make_rejection(NotRunReason.QUEUE_FULL)
        self._queue.add(entry)
        self._count_caller(call)
        remove_action = call.cancellation.add(
            lambda: self._reject_queued(entry, NotRunReason.CANCELLED)
        )
        # A critical call may wait until its deadline; others give up sooner.
        timeout_reason = NotRunReason.DEADLINE
        if not call.critical and self._max_queue_wait < timeout:
            timeout, timeout_reason = self._max_queue_wait, NotRunReason.SHED
        entry.waiter.wait(timeout)
        remove_action()
        if entry.admitted:
            return None
        if entry.refusal is None:
            self._reject_queued(entry, timeout_reason)
        return self._make_rejection(entry.refusal or timeout_reason)

    def _make_sort_key(self, call: Call) -> _SortKey:
        self._sequence += 1
        priority = int(call.rank)
        if call.nested:
            # Half-done work goes before new work of its class, the oldest first.
            return (priority, False, 0.0, call.deadline, self._sequence)
        share = (
            float(self._calls_by_caller.get(call.caller, 0)) if call.critical else 0.0
        )
        return (priority, True, share, call.rank, self._sequence)

    def _ensure_queue_capacity(self, entry: _QueuedCall) -> bool:
        capacity = max(
            MIN_QUEUE_CAPACITY, int(self.limit.value) * QUEUE_CAPACITY_PER_SLOT
        )
        if len(self._queue) < capacity:
            return True
        least_important: _QueuedCall = self._queue[-1]
        if least_important.sort_key <= entry.sort_key:
            return False
        self._reject_queued(least_important, NotRunReason.QUEUE_FULL)
        return True

    def _reject_queued(self, entry: _QueuedCall, reason: NotRunReason) -> None:
        if entry.admitted or entry.refusal is not None:
            return
        entry.refusal = reason
        self._queue.remove(entry)
        self._uncount_caller(entry.call)
        if not self._queue:
            self.shedding.mark_drained()
        entry.waiter.notify()

    def _admit_waiting(self) -> None:
        while self._queue and self.in_flight + 1 <= self.limit.value:
            entry: _QueuedCall = self._queue[0]
            if self._clock.now() + self._mean_service_seconds > entry.call.deadline:
                self._reject_queued(entry, NotRunReason.DEADLINE)
                continue
            self._queue.pop(0)
            self._uncount_caller(entry.call)
            entry.admitted = True
            self._admit(entry.call)
            entry.waiter.notify()
        if not self._queue:
            self.shedding.mark_drained()

    def _admit(self, call: Call) -> None:
        self.in_flight += 1
        self._count_caller(call)

    def _count_caller(self, call: Call) -> None:
        self._calls_by_caller[call.caller] = (
            self._calls_by_caller.get(call.caller, 0) + 1
        )

    def _uncount_caller(self, call: Call) -> None:
        remaining = self._calls_by_caller.get(call.caller, 0) - 1
        if remaining > 0:
            self._calls_by_caller[call.caller] = remaining
        else:
            self._calls_by_caller.pop(call.caller, None)

    def _make_rejection(self, reason: NotRunReason) -> NotRun:
        return NotRun(reason, threshold=min(self.threshold, NO_THRESHOLD))
