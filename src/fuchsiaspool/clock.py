"""Provide time, timers and tasks, in real time or in virtual time."""

import heapq
import itertools
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import gevent
import gevent.event
from greenlet import getcurrent, greenlet

from .tasks import TaskMonitor


class Timer(Protocol):
    """Represent a scheduled function."""

    def stop(self) -> None:
        """Cancel the function."""


class Waiter(Protocol):
    """Block one task until another notifies it."""

    def wait(self, timeout: float | None = None) -> bool:
        """Block until notified or for `timeout` seconds; return whether notified."""

    def notify(self) -> None:
        """Wake the waiting task."""


class Clock(Protocol):
    """Provide time, timers and tasks to filters and controllers."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Block the current task."""

    def call_later(self, seconds: float, action: Callable[[], None]) -> Timer:
        """Run a short, non-blocking action after `seconds`."""

    def make_waiter(self) -> Waiter:
        """Create a waiter."""

    def spawn(self, action: Callable[..., Any], *args: Any) -> None:
        """Start a task."""


class _SystemTimer:
    def __init__(
        self, seconds: float, action: Callable[[], None], tasks: TaskMonitor
    ) -> None:
        self._timer = gevent.get_hub().loop.timer(max(seconds, 0.0))
        self._timer.start(self._fire)
        self._action = action
        self._tasks = tasks

    def _fire(self) -> None:
        self.stop()
        self._tasks.run(self._action)

    def stop(self) -> None:
        """Cancel the function."""
        self._timer.stop()
        self._timer.close()


class _SystemWaiter:
    def __init__(self) -> None:
        self._event = gevent.event.Event()

    def wait(self, timeout: float | None = None) -> bool:
        """Block until notified or for `timeout` seconds; return whether notified."""
        return bool(self._event.wait(timeout))

    def notify(self) -> None:
        """Wake the waiting task."""
        self._event.set()


def read_boot_time() -> float:
    """Return monotonic seconds that also count while the host is suspended.

    CLOCK_MONOTONIC stops during a suspension, so that anything that expired meanwhile
    would still look valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """Provide real time under gevent; `tasks` runs its timers and tasks."""

    now = staticmethod(read_boot_time)
    wall = staticmethod(time.time)

    def __init__(self) -> None:
        self.tasks = TaskMonitor()

    def sleep(self, seconds: float) -> None:
        """Block the current task."""
        gevent.sleep(seconds)

    def call_later(self, seconds: float, action: Callable[[], None]) -> Timer:
        """Run a short, non-blocking action after `seconds`."""
        return _SystemTimer(seconds, action, self.tasks)

    def make_waiter(self) -> Waiter:
        """Create a waiter."""
        return _SystemWaiter()

    def spawn(self, action: Callable[..., Any], *args: Any) -> None:
        """Start a task."""
        gevent.spawn(self.tasks.run, action, *args)


class _VirtualTimer:
    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def stop(self) -> None:
        """Cancel the function."""
        self.action = None


class _VirtualWaiter:
    __slots__ = ("_clock", "_waiting_task", "_notified")

    def __init__(self, clock: "VirtualClock") -> None:
        self._clock = clock
        self._waiting_task: greenlet | None = None
        self._notified = False

    def wait(self, timeout: float | None = None) -> bool:
        """Block until notified or for `timeout` seconds; return whether notified."""
        if self._notified:
            return True
        timer = None
        if timeout is not None:
            timer = self._clock.call_later(timeout, self._wake)
        self._waiting_task = getcurrent()
        self._clock.switch_to_driver()
        if timer is not None:
            timer.stop()
        return self._notified

    def notify(self) -> None:
        """Wake the waiting task."""
        self._notified = True
        self._wake()

    def _wake(self) -> None:
        if self._waiting_task is None:
            return
        task, self._waiting_task = self._waiting_task, None
        self._clock.resume(task)


class VirtualClock:
    """Advance virtual time on demand, and run tasks in a deterministic order."""

    def __init__(self, start: float = 0.0, epoch: float = 1_700_000_000.0) -> None:
        self._now = start
        self._epoch = epoch - start
        self._ready: deque[greenlet] = deque()
        self._timers: list[tuple[float, int, _VirtualTimer]] = []
        self._timer_sequence = itertools.count()
        self._driver_task = getcurrent()

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._now

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return self._epoch + self._now

    def sleep(self, seconds: float) -> None:
        """Block the current task."""
        self.make_waiter().wait(seconds)

    def call_later(self, seconds: float, action: Callable[[], None]) -> Timer:
        """Run a short, non-blocking action after `seconds`."""
        timer = _VirtualTimer(action)
        when = self._now + max(seconds, 0.0)
        heapq.heappush(self._timers, (when, next(self._timer_sequence), timer))
        return timer

    def make_waiter(self) -> Waiter:
        """Create a waiter."""
        return _VirtualWaiter(self)

    def spawn(self, action: Callable[..., Any], *args: Any) -> None:
        """Start a task."""
        task = greenlet(lambda: action(*args))
        self._ready.append(task)

    def switch_to_driver(self) -> None:
        """Switch from the current task to the one that advances the clock."""
        self._driver_task.switch()

    def resume(self, task: greenlet) -> None:
        """Make a waiting task runnable."""
        self._ready.append(task)

    def advance(self, seconds: float) -> None:
        """Advance time by `seconds`, and run every timer and task that falls due."""
        self.run_until(self._now + seconds)

    def run_until(self, when: float) -> None:
        """Advance time to `when`, and run every timer and task that falls due."""
        self._driver_task = getcurrent()
        self._run_ready()
        while self._timers and self._timers[0][0] <= when:
            due, _, timer = heapq.heappop(self._timers)
            if timer.action is None:
                continue
            self._now = max(self._now, due)
            timer.action()
            self._run_ready()
        self._now = max(self._now, when)

    def run(self, action: Callable[..., Any], *args: Any, limit: float = 3600.0) -> Any:
        """Run a blocking action to its end, advancing at most `limit` seconds."""
        results: list[Any] = []
        self.spawn(lambda: results.append(action(*args)))
        self._driver_task = getcurrent()
        latest = self._now + limit
        self._run_ready()
        while not results:
            if not self._timers or self._timers[0][0] > latest:
                raise TimeoutError(f"not done within {limit} s of virtual time")
            self.run_until(self._timers[0][0])
        return results[0]

    def _run_ready(self) -> None:
        while self._ready:
            task = self._ready.popleft()
            task.parent = self._driver_task
            task.switch()
