"""Compute the goodput of an ideal system that admits exactly its capacity."""

from collections import Counter

from ..ids import OperationName, ServiceName
from ..settings.policy import Policy
from ..trace_lines import CallTree
from .arrivals import generate_arrivals
from .simulation import MILLISECONDS_PER_SECOND
from .trace import Trace


def compute_ideal_goodput(
    trace: Trace, policy: Policy, seed: int, start: float, end: float
) -> float:
    """Return the most whole answers that servers could give between two times.

    A call occupies a slot for its own service time and that of its downstream calls;
    a request counts only if every service it calls has the capacity for it.
    """
    offered: Counter[OperationName] = Counter()
    for arrival in generate_arrivals(trace, seed, 0.0):
        if start <= arrival.at < end:
            offered[arrival.operation.name] += 1
    capacity = {
        line.name: sum(line.servers.values())
        * (line.real_slots or line.slots)
        * (end - start)
        for line in trace.services.values()
    }
    completed = 0.0
    for name in sorted(offered, key=lambda n: _find_priority(trace, policy, n)):
        required: Counter[ServiceName] = Counter()
        _add_required_seconds(trace.operations[name].tree, required)
        max_requests = min(
            (capacity[service] / seconds for service, seconds in required.items()),
            default=0.0,
        )
        admitted = min(float(offered[name]), max(0.0, max_requests))
        for service, seconds in required.items():
            capacity[service] -= admitted * seconds
        completed += admitted
    return completed


def _add_required_seconds(tree: CallTree, required: Counter[ServiceName]) -> float:
    child_seconds = [_add_required_seconds(child, required) for child in tree.children]
    downstream_seconds = (
        max(child_seconds, default=0.0) if tree.parallel else sum(child_seconds)
    )
    seconds = tree.own_ms / MILLISECONDS_PER_SECOND + downstream_seconds
    required[tree.service] += seconds  # type: ignore[assignment]
    return seconds


def _find_priority(trace: Trace, policy: Policy, name: OperationName) -> int:
    operation = trace.operations[name]
    return policy.classes.get(operation.call_class, 7)
