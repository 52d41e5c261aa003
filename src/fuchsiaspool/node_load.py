"""Describe the load of a node's backend server."""

import msgspec


class NodeLoad(msgspec.Struct, frozen=True, array_like=True):
    """Report the load of the backend server beside a node.

    `busy` counts the calls that run or are queued, `room` is the concurrency limit,
    and `seconds` is the mean service time of one call.
    """

    busy: float
    room: float
    seconds: float
