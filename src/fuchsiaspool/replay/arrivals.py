"""Make the requests of a trace, the same ones for every policy."""

import heapq
import random
from collections.abc import Iterator
from dataclasses import dataclass

from ..ids import CallerId, DataCentre, OperationKey, RequestId
from ..operations.keys import make_key
from ..trace_lines import EventKind, EventLine, LoadLine, OperationLine, RequestLine
from .trace import Trace


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one request: when it is due, what it asks, and how it is resent."""

    at: float
    request: RequestId
    caller: CallerId
    centre: DataCentre
    operation: OperationLine
    key: OperationKey | None
    resends: int
    backoff: float
    deadline: float


def list_arrivals(trace: Trace, seed: int, wall: float) -> Iterator[Arrival]:
    """Yield every request in the order of time; `wall` is the time at 0."""
    streams = [
        _draw(trace, load, random.Random(f"{seed}/{number}"), f"{number}", wall)
        for number, load in enumerate(trace.loads)
    ]
    streams.append(_take(trace, random.Random(f"{seed}/recorded"), wall))
    yield from heapq.merge(*streams, key=lambda arrival: arrival.at)


def _draw(
    trace: Trace, load: LoadLine, chance: random.Random, name: str, wall: float
) -> Iterator[Arrival]:
    surges = [e for e in trace.events if e.what is EventKind.SURGE]
    peak = load.rate * max([1.0, *(event.factor for event in surges)])
    operations = [trace.operations[operation] for operation in load.mix]
    weights = list(load.mix.values())
    centres = load.centres or dict.fromkeys(trace.centres, 1.0)
    at, number = load.at, 0
    while True:
        at += chance.expovariate(peak)
        if at >= min(load.until, trace.header.seconds):
            return
        # Thinning: the peak rate is drawn, and what is beyond the rate left out.
        if chance.random() * peak > load.rate * _find_surge(surges, at):
            continue
        number += 1
        operation = chance.choices(operations, weights)[0]
        centre = chance.choices(list(centres), list(centres.values()))[0]
        key = make_key(wall + at, chance.getrandbits(74))
        yield Arrival(
            at,
            RequestId(f"{name}-{number}"),
            CallerId(f"caller-{chance.randrange(load.callers)}"),
            centre,
            operation,
            key if operation.protected else None,
            load.resends,
            load.backoff_ms / 1000.0,
            operation.deadline_ms / 1000.0,
        )


def _take(trace: Trace, chance: random.Random, wall: float) -> Iterator[Arrival]:
    for number, line in enumerate(sorted(trace.requests, key=_get_time)):
        operation = trace.operations[line.operation]
        key = make_key(wall + line.at, chance.getrandbits(74))
        yield Arrival(
            line.at,
            RequestId(f"recorded-{number}"),
            line.caller,
            line.data_centre,
            operation,
            key if operation.protected else None,
            0,
            0.0,
            line.deadline_ms / 1000.0,
        )


def _get_time(line: RequestLine) -> float:
    return line.at


def _find_surge(surges: list[EventLine], at: float) -> float:
    factor = 1.0
    for event in surges:
        if event.at <= at < event.until:
            factor *= event.factor
    return factor
