"""Describe the load of a node's backend server."""

import msgspec


class NodeLoad(msgspec.Struct, frozen=True, array_like=True):
    """Report the load of the backend server beside a node.

    `busy` counts the calls that run or are queued, `room` is the concurrency limit,
    and `seconds` is the mean service time of one call. `rate` is the limit that the
    server names, in requests a second, and `attempt_interval` the seconds that each
    calling node should leave between attempts then.
    """

    busy: float
    room: float
    seconds: float
    rate: float | None = None
    attempt_interval: float = 0.0
