"""Admit calls to the local backend server, the most important first."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from sortedcontainers import SortedList

from ..calls import Call
from ..clock import Clock, Timer, Waiter
from ..node_load import NodeLoad
from ..outcomes import NO_THRESHOLD, NotRun, NotRunReason
from .advertised_threshold import AdvertisedThreshold
from .concurrency_limit import ConcurrencyLimit
from .rate_limit import RateLimit
from .threshold import SheddingThreshold

# Until the first calls have ended.
DEFAULT_SERVICE_SECONDS: Final = 0.05
MAX_QUEUED_CALLS_PER_SLOT: Final = 4
MIN_QUEUE_CAPACITY_CALLS: Final = 16
# Calls that may queue at a server that names a rate before the advertised threshold
# falls, as the wait for one call is long there; the wait that they may cause at most.
RATE_TARGET_CALLS: Final = 4.0
MAX_RATE_TARGET_SECONDS: Final = 0.25
# As long as the longest deadline: a withdrawn attempt may have been told not to run.
WITHDRAWN_SECONDS: Final = 60.0
# A shorter wait may be lost in the rounding of the time.
MIN_RATE_TIMER_SECONDS: Final = 0.001
_SERVICE_TIME_EWMA_WEIGHT: Final = 0.1

# Class; nested calls first; number of calls of the caller, if critical; deadline of
# nested calls, rank of others; order of arrival.
_SortKey = tuple[int, bool, float, float, int]


@dataclass(slots=True, eq=False)
class _QueuedCall:
    sort_key: _SortKey
    call: Call
    waiter: Waiter
    admitted: bool = False
    refusal: NotRunReason | None = None


class Admission:
    """Bound the calls in flight at one backend server and queue the others.

    With `learns_limit` the concurrency limit follows the server's rejections, up to
    its slots; without, the slots are exact, and a rejection does not show how many
    calls the server can run.

    Waiting calls are ordered by class. Among critical calls, the caller with the
    fewest calls here goes first; among others the hash of the request decides, so
    that one request gets the same decision at every hop.

    `queue_delay_target` is the longest acceptable queueing delay, `max_queue_wait` the
    longest wait of a call that is not critical, both in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        slots: int,
        queue_delay_target: float,
        max_queue_wait: float,
        learns_limit: bool = True,
    ) -> None:
        self.limit = ConcurrencyLimit(clock, slots)
        self.rate_limit = RateLimit(clock)
        self.in_flight = 0
        self.shedding_threshold = SheddingThreshold(clock, queue_delay_target)
        self.advertised_threshold = AdvertisedThreshold(clock, queue_delay_target)
        self._learns_limit = learns_limit
        self._clock = clock
        self._queue_delay_target = queue_delay_target
        self._max_queue_wait = max_queue_wait
        self._rate_timer: Timer | None = None
        self._queue: SortedList[_QueuedCall] = SortedList(
            key=lambda entry: entry.sort_key
        )
        self._sequence = 0
        self._calls_by_caller: dict[str, int] = {}
        self._is_closed = False
        # When their calling nodes withdrew attempts that may be queued again.
        self._withdrawn_at: dict[str, float] = {}
        self._mean_service_seconds = 0.0

    @property
    def threshold(self) -> float:
        """Return the rank above which calls are shed."""
        return (
            self.shedding_threshold.value
            if self._learns_limit
            else self.advertised_threshold.value
        )

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._queue)

    @property
    def mean_service_seconds(self) -> float:
        """Return the mean service time of the server, in seconds."""
        return self._mean_service_seconds

    def find_load(self) -> NodeLoad:
        """Return the load of the server, for nodes that place calls."""
        seconds = self._mean_service_seconds or DEFAULT_SERVICE_SECONDS
        room = self.limit.value
        rate = self.rate_limit.rate
        if rate is not None:
            room = min(room, rate * seconds)
        busy = float(self.in_flight + self.queued)
        return NodeLoad(busy, room, seconds, rate, self.rate_limit.attempt_interval)

    @property
    def has_free_slot(self) -> bool:
        """Return whether a call would be admitted immediately."""
        return self._may_admit and not self._queue

    @property
    def _may_admit(self) -> bool:
        return self.in_flight + 1 <= self.limit.value and self.rate_limit.available

    def configure(
        self, slots: int, queue_delay_target: float, max_queue_wait: float
    ) -> None:
        """Apply new limits from the settings; times in seconds."""
        self.limit.set_ceiling(slots)
        self.shedding_threshold.set_target(queue_delay_target)
        self._max_queue_wait = max_queue_wait
        self._admit_waiting()

    def set_rate(self, limit: float | None) -> None:
        """Apply the requests a second that the server takes, `None` for no limit."""
        self.rate_limit.set_rate(limit)
        target = self._queue_delay_target
        rate = self.rate_limit.rate
        if rate is not None:
            by_rate = min(MAX_RATE_TARGET_SECONDS, RATE_TARGET_CALLS / rate)
            target = max(target, by_rate)
        self.advertised_threshold.set_target(target)
        self._admit_waiting()

    def close(self) -> None:
        """Reject the queued calls and those that come from now on; running ones end."""
        self._is_closed = True
        for entry in list(self._queue):
            self._reject_queued(entry, NotRunReason.LEAVING)

    def withdraw(self, attempts: Iterable[str]) -> None:
        """Reject those of the attempts that wait, as their calling node will end.

        Those that the server runs go on.
        """
        now = self._clock.now()
        for attempt, since in list(self._withdrawn_at.items()):
            if now - since > WITHDRAWN_SECONDS:
                del self._withdrawn_at[attempt]
        self._withdrawn_at.update(dict.fromkeys(attempts, now))
        for entry in list(self._queue):
            if entry.call.attempt in self._withdrawn_at:
                self._reject_queued(entry, NotRunReason.LEAVING)

    def acquire(self, call: Call) -> NotRun | None:
        """Wait for a slot; return a rejection if none becomes free in time."""
        if self._is_closed or call.attempt in self._withdrawn_at:
            return NotRun(NotRunReason.LEAVING)
        self.rate_limit.record_attempt()
        if call.has_alternative and not self.rate_limit.available:
            return NotRun(NotRunReason.RATE_LIMITED)
        if not self._learns_limit:
            # The queue order decides here; the threshold tells entrance nodes which
            # calls not to send.
            if self.has_free_slot:
                self.advertised_threshold.observe(call.rank, 0.0, 0.0)
            else:
                queue_wait = self._estimate_queue_wait(len(self._queue))
                self.advertised_threshold.observe(
                    call.rank, self._estimate_wait(call), queue_wait
                )
        else:
            self.shedding_threshold.offer(call.rank)
            if not call.critical and call.rank > self.threshold:
                return self._make_rejection(NotRunReason.SHED)
        if self.has_free_slot:
            self.shedding_threshold.mark_drained()
            self._admit(call)
            return None
        return self._wait_for_slot(call)

    def release(self, call: Call, seconds: float, rejected: bool, ran: bool) -> None:
        """Release the slot after `seconds`.

        `rejected` means that the server had no capacity for the call, `ran` that it
        ran the call.
        """
        self.in_flight -= 1
        self._uncount_caller(call)
        if self._learns_limit:
            self.shedding_threshold.complete()
            self.limit.observe(rejected, self.in_flight + 1)
        else:
            self.advertised_threshold.observe_outcome(rejected)
        if ran:
            self._mean_service_seconds += (
                seconds - self._mean_service_seconds
            ) * _SERVICE_TIME_EWMA_WEIGHT
        self._admit_waiting()

    def _estimate_wait(self, call: Call) -> float:
        """Return the seconds until a slot is free, behind the calls that go first."""
        weight = call.deadline if call.nested else call.rank
        sort_key = (int(call.rank), not call.nested, 0.0, weight, 0)
        return self._estimate_queue_wait(self._queue.bisect_key_left(sort_key))

    def _estimate_queue_wait(self, queued: int) -> float:
        ahead = self.in_flight + queued + 1 - self.limit.value
        wait = max(0.0, ahead) * self._mean_service_seconds / self.limit.value
        return max(float(wait), self.rate_limit.estimate_wait(queued))

    def _wait_for_slot(self, call: Call) -> NotRun | None:
        timeout = call.deadline - self._clock.now() - self._mean_service_seconds
        if timeout <= 0:
            return self._make_rejection(NotRunReason.DEADLINE)
        # Critical calls may wait until their deadline, others only `_max_queue_wait`.
        timeout_reason = NotRunReason.DEADLINE
        if not call.critical and self._max_queue_wait < timeout:
            timeout, timeout_reason = self._max_queue_wait, NotRunReason.SHED
        if self.rate_limit.rate is not None and self._estimate_wait(call) > timeout:
            return self._make_rejection(timeout_reason)
        entry = _QueuedCall(self._make_sort_key(call), call, self._clock.make_waiter())
        if not self._ensure_queue_capacity(entry):
            return self._make_rejection(NotRunReason.QUEUE_FULL)
        self._queue.add(entry)
        self._count_caller(call)
        remove_action = call.cancellation.add(
            lambda: self._reject_queued(entry, NotRunReason.CANCELLED)
        )
        self._schedule_admission()
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
            # Requests already begun go before new ones of their class, by deadline.
            return (priority, False, 0.0, call.deadline, self._sequence)
        share = (
            float(self._calls_by_caller.get(call.caller, 0)) if call.critical else 0.0
        )
        return (priority, True, share, call.rank, self._sequence)

    def _ensure_queue_capacity(self, entry: _QueuedCall) -> bool:
        capacity = max(
            MIN_QUEUE_CAPACITY_CALLS, int(self.limit.value) * MAX_QUEUED_CALLS_PER_SLOT
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
            self.shedding_threshold.mark_drained()
        entry.waiter.notify()

    def _admit_waiting(self) -> None:
        while self._queue and self._may_admit:
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
            self.shedding_threshold.mark_drained()
        self._schedule_admission()

    def _schedule_admission(self) -> None:
        """Admit the next call once the rate permits; a release admits sooner calls."""
        if self._rate_timer is not None or not self._queue or self.rate_limit.available:
            return
        seconds = max(MIN_RATE_TIMER_SECONDS, self.rate_limit.estimate_wait(0))
        self._rate_timer = self._clock.call_later(seconds, self._handle_rate_timer)

    def _handle_rate_timer(self) -> None:
        self._rate_timer = None
        self._admit_waiting()

    def _admit(self, call: Call) -> None:
        self.in_flight += 1
        self.rate_limit.take()
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
