"""Track the era of the platform's store, which rises when the store is restored."""

import logging
from collections.abc import Callable

from ..ids import Era

_LOG = logging.getLogger(__name__)


class StoreEra:
    """Keep the highest era that is known.

    A store that was restored from a copy has lost what was written since, and gives the
    same revisions out again: nothing that was read or written in an earlier era says
    what stands in the store now.
    """

    def __init__(self) -> None:
        self.current = Era(0)
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after each rise of the era."""
        self._listeners.append(listener)

    def observe(self, era: Era) -> None:
        """Adopt an era that the store has stated, if it is higher."""
        previous = self.current
        if era <= previous:
            return
        self.current = era
        if previous == 0:
            return
        _LOG.warning("store restored", extra={"era": era, "era_before": previous})
        for listener in self._listeners:
            listener()
