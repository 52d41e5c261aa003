"""Describe how loaded a node's backend server is."""

import msgspec


class NodeLoad(msgspec.Struct, frozen=True, array_like=True):
    """Hold the calls at a node, those it holds at once, and the time one takes.

    `busy` counts running and waiting calls; `seconds` is the mean of the service time.
    """

    busy: float
    room: float
    seconds: float
