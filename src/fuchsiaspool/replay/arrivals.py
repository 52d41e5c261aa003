"""Generate the requests of a trace, identical for every policy."""

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
    """Represent one request of a caller.

    `at` is in seconds of the trace; `deadline` is the time allowed for an attempt and
    `backoff_seconds` the delay before the first resend, both in seconds.
    """

    at: float
    request: RequestId
    caller: CallerId
    data_centre: DataCentre
    operation: OperationLine
    key: OperationKey | None
    resends: int
    backoff_seconds: float
    deadline: float


def generate_arrivals(
    trace: Trace, seed: int, start_unix_seconds: float
) -> Iterator[Arrival]:
    """Yield every request in order of time.

    `start_unix_seconds` is the Unix time at second 0 of the trace.
    """
    streams = [
        _generate_load(
            trace,
            load,
            random.Random(f"{seed}/{number}"),
            f"{number}",
            start_unix_seconds,
        )
        for number, load in enumerate(trace.loads)
    ]
    streams.append(
        _generate_recorded(trace, random.Random(f"{seed}/recorded"), start_unix_seconds)
    )
    yield from heapq.merge(*streams, key=lambda arrival: arrival.at)


def _generate_load(
    trace: Trace,
    load: LoadLine,
    rng: random.Random,
    id_prefix: str,
    start_unix_seconds: float,
) -> Iterator[Arrival]:
    surges = [e for e in trace.events if e.what is EventKind.SURGE]
    peak_rate = load.rate * max([1.0, *(event.factor for event in surges)])
    operations = [trace.operations[operation] for operation in load.mix]
    weights = list(load.mix.values())
    centres = load.centres or dict.fromkeys(trace.centres, 1.0)
    at, number = load.at, 0
    while True:
        at += rng.expovariate(peak_rate)
        if at >= min(load.until, trace.header.seconds):
            return
        # Poisson thinning: arrivals are drawn at the peak rate, and those above the
        # current rate are dropped.
        if rng.random() * peak_rate > load.rate * _compute_surge_factor(surges, at):
            continue
        number += 1
        operation = rng.choices(operations, weights)[0]
        data_centre = rng.choices(list(centres), list(centres.values()))[0]
        key = make_key(start_unix_seconds + at, rng.getrandbits(74))
        yield Arrival(
            at,
            RequestId(f"{id_prefix}-{number}"),
            CallerId(f"caller-{rng.randrange(load.callers)}"),
            data_centre,
            operation,
            key if operation.protected else None,
            load.resends,
            load.backoff_ms / 1000.0,
            operation.deadline_ms / 1000.0,
        )


def _generate_recorded(
    trace: Trace, rng: random.Random, start_unix_seconds: float
) -> Iterator[Arrival]:
    for number, line in enumerate(sorted(trace.requests, key=_get_time)):
        operation = trace.operations[line.operation]
        key = make_key(start_unix_seconds + line.at, rng.getrandbits(74))
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


def _compute_surge_factor(surges: list[EventLine], at: float) -> float:
    factor = 1.0
    for event in surges:
        if event.at <= at < event.until:
            factor *= event.factor
    return factor
