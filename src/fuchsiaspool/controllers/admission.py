"""Admit calls to the node's own backend server, the most important first."""

from dataclasses import dataclass
from typing import Final

from sortedcontainers import SortedList

from ..calls import Call
from ..clock import Clock, Waiter
from ..outcomes import NO_THRESHOLD, NotRun, NotRunReason
from .advertised_threshold import AdvertisedThreshold
from .concurrency_limit import ConcurrencyLimit
from .threshold import SheddingThreshold

QUEUE_PER_SLOT: Final = 4
QUEUE_LEAST: Final = 16
_ESTIMATE_GAIN: Final = 0.1

# Class; nested calls first; the caller's share of critical ones; then what decides
# among equals: the end of a nested call's time, a request's own fixed rank.
_Order = tuple[int, bool, float, float, int]


@dataclass(slots=True, eq=False)
class _Entry:
    order: _Order
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
        max_queue_wait: float,
        learns_limit: bool = True,
    ) -> None:
        self.limit = ConcurrencyLimit(clock, slots)
        self.in_flight = 0
        self.shedding_threshold = SheddingThreshold(clock, queue_target)
        self.advertised_threshold = AdvertisedThreshold(clock, queue_target)
        self._learns_room = learns_limit
        self._clock = clock
        self._queue_wait = max_queue_wait
        self._queue: SortedList[_Entry] = SortedList(key=lambda entry: entry.order)
        self._sequence = 0
        self._callers: dict[str, int] = {}
        self._estimate = 0.0

    @property
    def threshold(self) -> float:
        """Return the rank above which calls are shed."""
        return (
            self.shedding_threshold.value
            if self._learns_room
            else self.advertised_threshold.value
        )

    @property
    def queued(self) -> int:
        """Return how many calls wait."""
        return len(self._queue)

    @property
    def mean_service_seconds(self) -> float:
        """Return the mean time that a call spends at the server."""
        return self._estimate

    @property
    def has_free_slot(self) -> bool:
        """Tell if a call would be admitted at once."""
        return self.in_flight + 1 <= self.limit.value and not self._queue

    def configure(self, slots: int, queue_target: float, queue_wait: float) -> None:
        """Take new bounds from the settings."""
        self.limit.set_ceiling(slots)
        self.shedding_threshold.set_target(queue_target)
        self._queue_wait = queue_wait
        self._admit_waiting()

    def acquire(self, call: Call) -> NotRun | None:
        """Wait for a slot; return a refusal where there is none in time."""
        if not self._learns_room:
            # Order decides here; the level tells entrances what not to send.
            if self.has_free_slot:
                self.advertised_threshold.observe(call.rank, 0.0, 0.0)
            else:
                queue = self._measure_wait(len(self._queue))
                self.advertised_threshold.observe(
                    call.rank, self._expect_wait(call), queue
                )
        else:
            self.shedding_threshold.offer(call.rank)
            if not call.critical and call.rank > self.threshold:
                return self._refuse(NotRunReason.SHED)
        if self.has_free_slot:
            self.shedding_threshold.mark_drained()
            self._admit(call)
            return None
        return self._wait(call)

    def release(self, call: Call, seconds: float, rejected: bool, ran: bool) -> None:
        """Return a slot after `seconds`; `refused` if the server had no room."""
        self.in_flight -= 1
        self._forget_caller(call)
        if self._learns_room:
            self.shedding_threshold.complete()
            self.limit.observe(rejected, self.in_flight + 1)
        else:
            self.advertised_threshold.observe_end(rejected)
        if ran:
            self._estimate += (seconds - self._estimate) * _ESTIMATE_GAIN
        self._admit_waiting()

    def _expect_wait(self, call: Call) -> float:
        """Return the seconds until a slot, behind those that go first."""
        weight = call.deadline if call.nested else call.rank
        goes_first = (int(call.rank), not call.nested, 0.0, weight, 0)
        return self._measure_wait(self._queue.bisect_key_left(goes_first))

    def _measure_wait(self, queued: int) -> float:
        ahead = self.in_flight + queued + 1 - self.limit.value
        return float(max(0.0, ahead) * self._estimate / self.limit.value)

    def _wait(self, call: Call) -> NotRun | None:
        patience = call.deadline - self._clock.now() - self._estimate
        if patience <= 0:
            return self._refuse(NotRunReason.DEADLINE)
        entry = _Entry(self._make_order(call), call, self._clock.make_waiter())
        if not self._make_room(entry):
            return self._refuse(NotRunReason.QUEUE_FULL)
        self._queue.add(entry)
        self._count_caller(call)
        forget = call.cancellation.add(
            lambda: self._drop(entry, NotRunReason.CANCELLED)
        )
        # A critical call may wait until its deadline; others give up sooner.
        late = NotRunReason.DEADLINE
        if not call.critical and self._queue_wait < patience:
            patience, late = self._queue_wait, NotRunReason.SHED
        entry.waiter.wait(patience)
        forget()
        if entry.admitted:
            return None
        if entry.refusal is None:
            self._drop(entry, late)
        return self._refuse(entry.refusal or late)

    def _make_order(self, call: Call) -> _Order:
        self._sequence += 1
        priority = int(call.rank)
        if call.nested:
            # Half-done work goes before new work of its class, the oldest first.
            return (priority, False, 0.0, call.deadline, self._sequence)
        share = float(self._callers.get(call.caller, 0)) if call.critical else 0.0
        return (priority, True, share, call.rank, self._sequence)

    def _make_room(self, entry: _Entry) -> bool:
        room = max(QUEUE_LEAST, int(self.limit.value) * QUEUE_PER_SLOT)
        if len(self._queue) < room:
            return True
        worst: _Entry = self._queue[-1]
        if worst.order <= entry.order:
            return False
        self._drop(worst, NotRunReason.QUEUE_FULL)
        return True

    def _drop(self, entry: _Entry, reason: NotRunReason) -> None:
        if entry.admitted or entry.refusal is not None:
            return
        entry.refusal = reason
        self._queue.remove(entry)
        self._forget_caller(entry.call)
        if not self._queue:
            self.shedding_threshold.mark_drained()
        entry.waiter.notify()

    def _admit_waiting(self) -> None:
        while self._queue and self.in_flight + 1 <= self.limit.value:
            entry: _Entry = self._queue[0]
            if self._clock.now() + self._estimate > entry.call.deadline:
                self._drop(entry, NotRunReason.DEADLINE)
                continue
            self._queue.pop(0)
            self._forget_caller(entry.call)
            entry.admitted = True
            self._admit(entry.call)
            entry.waiter.notify()
        if not self._queue:
            self.shedding_threshold.mark_drained()

    def _admit(self, call: Call) -> None:
        self.in_flight += 1
        self._count_caller(call)

    def _count_caller(self, call: Call) -> None:
        self._callers[call.caller] = self._callers.get(call.caller, 0) + 1

    def _forget_caller(self, call: Call) -> None:
        left = self._callers.get(call.caller, 0) - 1
        if left > 0:
            self._callers[call.caller] = left
        else:
            self._callers.pop(call.caller, None)

    def _refuse(self, reason: NotRunReason) -> NotRun:
        return NotRun(reason, threshold=min(self.threshold, NO_THRESHOLD))
