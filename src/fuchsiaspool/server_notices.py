"""Describe what a backend server states about itself in its answers."""

from dataclasses import dataclass

import msgspec

from .ids import InstanceId


@dataclass(frozen=True, slots=True)
class AnswerNotice:
    """Represent what one answer states.

    `limit` is the requests a second that the server takes from all nodes together,
    `None` if it names no limit; `leaving` means that it takes no new work soon.
    `unreadable` holds a value that names no limit in any form that is known.
    """

    limit: float | None = None
    leaving: bool = False
    unreadable: str = ""

    @property
    def is_stated(self) -> bool:
        """Return whether the answer states anything."""
        return self.leaving or self.limit is not None


class ServerNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tell another node what one start of a backend server has stated.

    `born` is the time of that start in Unix milliseconds, 0 if unknown.
    """

    instance: InstanceId
    born: int
    limit: float | None = None
    leaving: bool = False
