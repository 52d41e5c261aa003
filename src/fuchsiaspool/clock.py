"""Tell time, wait and start tasks, on the real clock or on a paused one."""

import heapq
import itertools
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import gevent
import gevent.event
from greenlet import getcurrent, greenlet


class Timer(Protocol):
    """Fire a function later unless stopped first."""

    def stop(self) -> None:
        """Prevent the function from firing."""


class Waiter(Protocol):
    """Park one task until another notifies it."""

    def wait(self, timeout: float | None = None) -> bool:
        """Block until notified or for `timeout` seconds; tell if notified."""

    def notify(self) -> None:
        """Wake the parked task."""


class Clock(Protocol):
    """Give seconds, timers and tasks to filters and controllers."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Block the current task."""

    def call_later(self, seconds: float, action: Callable[[], None]) -> Timer:
        """Run a short, non-blocking action later."""

    def make_waiter(self) -> Waiter:
        """Make a waiter."""

    def spawn(self, action: Callable[..., Any], *args: Any) -> None:
        """Start a task."""


class _SystemTimer:
    def __init__(self, seconds: float, action: Callable[[], None]) -> None:
        self._timer = gevent.get_hub().loop.timer(max(seconds, 0.0))
        self._timer.start(self._fire)
        self._action = action

    def _fire(self) -> None:
        self.stop()
        self._action()

    def stop(self) -> None:
        """Prevent the function from firing."""
        self._timer.stop()
        self._timer.close()


class _SystemWaiter:
    def __init__(self) -> None:
        self._event = gevent.event.Event()

    def wait(self, timeout: float | None = None) -> bool:
        """Block until notified or for `timeout` seconds; tell if notified."""
        return bool(self._event.wait(timeout))

    def notify(self) -> None:
        """Wake the parked task."""
        self._event.set()


def read_boot_time() -> float:
    """Return steady seconds that go on while the machine is suspended.

    The monotonic clock stands still then: what ran out meanwhile would look good.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """Follow real time under gevent."""

    now = staticmethod(read_boot_time)
    wall = staticmethod(time.time)

    def sleep(self, seconds: float) -> None:
        """Block the current task."""
        gevent.sleep(seconds)

    def call_later(self, seconds: float, action: Callable[[], None]) -> Timer:
        """Run a short, non-blocking action later."""
        return _SystemTimer(seconds, action)

    def make_waiter(self) -> Waiter:
        """Make a waiter."""
        return _SystemWaiter()

    def spawn(self, action: Callable[..., Any], *args: Any) -> None:
        """Start a task."""
        gevent.spawn(action, *args)


class _PausedTimer:
    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def stop(self) -> None:
        """Prevent the function from firing."""
        self.action = None


class _PausedWaiter:
    __slots__ = ("_clock", "_parked", "_notified")

    def __init__(self, clock: "VirtualClock") -> None:
        self._clock = clock
        self._parked: greenlet | None = None
        self._notified = False

    def wait(self, timeout: float | None = None) -> bool:
        """Block until notified or for `timeout` seconds; tell if notified."""
        if self._notified:
            return True
        timer = None
        if timeout is not None:
            timer = self._clock.call_later(timeout, self._wake)
        self._parked = getcurrent()
        self._clock.park()
        if timer is not None:
            timer.stop()
        return self._notified

    def notify(self) -> None:
        """Wake the parked task."""
        self._notified = True
        self._wake()

    def _wake(self) -> None:
        if self._parked is None:
            return
        parked, self._parked = self._parked, None
        self._clock.resume(parked)


class VirtualClock:
    """Stand still until advanced; run tasks in one fixed order."""

    def __init__(self, start: float = 0.0, epoch: float = 1_700_000_000.0) -> None:
        self._now = start
        self._epoch = epoch - start
        self._ready: deque[greenlet] = deque()
        self._timers: list[tuple[float, int, _PausedTimer]] = []
        self._order = itertools.count()
        self._driver = getcurrent()

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
        """Run a short, non-blocking action later."""
        timer = _PausedTimer(action)
        when = self._now + max(seconds, 0.0)
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def make_waiter(self) -> Waiter:
        """Make a waiter."""
        return _PausedWaiter(self)

    def spawn(self, action: Callable[..., Any], *args: Any) -> None:
        """Start a task."""
        task = greenlet(lambda: action(*args))
        self._ready.append(task)

    def park(self) -> None:
        """Give control back to whoever advances the clock."""
        self._driver.switch()

    def resume(self, task: greenlet) -> None:
        """Make a parked task runnable."""
        self._ready.append(task)

    def advance(self, seconds: float) -> None:
        """Move time on, and run all that falls due on the way."""
        self.run_until(self._now + seconds)

    def run_until(self, when: float) -> None:
        """Run all that falls due up to a moment, then stand there."""
        self._driver = getcurrent()
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
        """Run one blocking action to its end, advancing at most `limit` seconds."""
        done: list[Any] = []
        self.spawn(lambda: done.append(action(*args)))
        self._driver = getcurrent()
        last = self._now + limit
        self._run_ready()
        while not done:
            if not self._timers or self._timers[0][0] > last:
                raise TimeoutError(f"not done within {limit} s of paused time")
            self.run_until(self._timers[0][0])
        return done[0]

    def _run_ready(self) -> None:
        while self._ready:
            task = self._ready.popleft()
            task.parent = self._driver
            task.switch()
