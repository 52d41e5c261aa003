"""Run the tasks of a node, and log and count those that fail."""

import logging
from collections.abc import Callable
from typing import Final

import gevent

_LOG = logging.getLogger(__name__)
RESTART_SECONDS: Final = 0.5


class TaskMonitor:
    """Count the tasks and timers that ended with an exception."""

    def __init__(self) -> None:
        self.failures = 0

    def run(self, action: Callable[..., object], *args: object) -> bool:
        """Run an action; return whether it ended without an exception."""
        try:
            action(*args)
        except Exception:
            self.failures += 1
            task = getattr(action, "__qualname__", type(action).__name__)
            _LOG.exception("task failed", extra={"task": task})
            return False
        return True

    def keep_running(self, action: Callable[[], None]) -> None:
        """Run an endless action, and start it again each time it fails."""
        while not self.run(action):
            gevent.sleep(RESTART_SECONDS)
