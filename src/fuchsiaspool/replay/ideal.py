"""Compute what an ideal would deliver: exactly the capacity, by importance."""

from collections import Counter

from ..ids import OperationName, ServiceName
from ..settings.policy import Policy
from ..trace_lines import CallTree
from .arrivals import list_arrivals
from .trace import Trace
from .world import MILLI


def compute_ideal(
    trace: Trace, policy: Policy, seed: int, start: float, end: float
) -> float:
    """Return the most whole answers that servers could give between two moments.

    A slot is held for a call's own time and that of the calls beneath it; a
    request counts only if every service on its way has room for all of it.
    """
    offered: Counter[OperationName] = Counter()
    for arrival in list_arrivals(trace, seed, 0.0):
        if start <= arrival.at < end:
            offered[arrival.operation.name] += 1
    room = {
        line.name: sum(line.servers.values())
        * (line.real_slots or line.slots)
        * (end - start)
        for line in trace.services.values()
    }
    whole = 0.0
    for name in sorted(offered, key=lambda n: _find_priority(trace, policy, n)):
        needed: Counter[ServiceName] = Counter()
        _add_need(trace.operations[name].tree, needed)
        fits = min((room[s] / need for s, need in needed.items()), default=0.0)
        admitted = min(float(offered[name]), max(0.0, fits))
        for service, need in needed.items():
            room[service] -= admitted * need
        whole += admitted
    return whole


def _add_need(tree: CallTree, needed: Counter[ServiceName]) -> float:
    below = [_add_need(child, needed) for child in tree.children]
    nested = max(below, default=0.0) if tree.parallel else sum(below)
    seconds = tree.own_ms / MILLI + nested
    needed[tree.service] += seconds  # type: ignore[assignment]
    return seconds


def _find_priority(trace: Trace, policy: Policy, name: OperationName) -> int:
    operation = trace.operations[name]
    return policy.classes.get(operation.call_class, 7)
