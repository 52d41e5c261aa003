"""Track the era of the platform's store, which rises when the store is restored."""

import logging
from collections.abc import Callable
from typing import Final

from ..ids import Era

_LOG = logging.getLogger(__name__)
# A store that states no era.
NO_ERA: Final = Era(0)
# The lowest era that a store states. One that was never restored may state another.
FIRST_ERA: Final = Era(1)


class StoreEra:
    """Keep the highest era that the store has stated.

    A store that was restored from a copy has lost what was written since, and gives the
    same revisions out again: nothing that was read or written in an earlier era says
    what stands in the store now.
    """

    def __init__(self) -> None:
        self.current = NO_ERA
        self._rise_listeners: list[Callable[[], None]] = []
        self._hint_listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after each rise of the era; it must not block or raise."""
        self._rise_listeners.append(listener)

    def add_hint_listener(self, listener: Callable[[], None]) -> None:
        """Call a function when a peer states a higher era than the store has."""
        self._hint_listeners.append(listener)

    def observe(self, era: Era) -> None:
        """Adopt an era that an answer of the store states, if it is higher."""
        previous = self.current
        if era <= previous:
            return
        self.current = era
        if previous == NO_ERA:
            return
        _LOG.warning("store restored", extra={"era": era, "era_before": previous})
        for listener in self._rise_listeners:
            listener()

    def receive_hint(self, era: Era) -> None:
        """Compare the era that a peer knows; only the store's own word is adopted."""
        if self.current == NO_ERA or era <= self.current:
            return
        for listener in self._hint_listeners:
            listener()
