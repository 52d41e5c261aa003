"""Run a replay: simulate the callers of a trace against one system."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from ..ids import RequestId
from ..trace_lines import EventKind, EventLine
from .arrivals import Arrival, generate_arrivals
from .tally import Ending, Tally
from .world import SimulatedServer, World

# Lets the last requests end before the results are read.
COMPLETION_GRACE_SECONDS = 15.0
SERVER_EVENTS = (EventKind.CRASH, EventKind.DRAIN, EventKind.COLD_START)


@dataclass(frozen=True, slots=True)
class Submission:
    """Represent one attempt of a caller, sent to one entry server."""

    arrival: Arrival
    attempt: int
    entry_server: SimulatedServer


class System(Protocol):
    """Serve the requests of a replay with one overload control policy."""

    name: str

    def submit(self, submission: Submission) -> Ending:
        """Serve one attempt and block until its caller has the outcome."""

    def handle_server_event(
        self, event: EventLine, servers: list[SimulatedServer], begins: bool
    ) -> None:
        """Crash, drain, restart or cold-start servers as an event says."""


def run_replay(world: World, system: System, tally: Tally, seed: int) -> Tally:
    """Replay a whole trace on the virtual clock."""
    clock = world.clock
    for event in world.trace.events:
        _schedule_event(world, system, event)
    arrivals = generate_arrivals(world.trace, seed, clock.wall())
    clock.spawn(_spawn_requests, world, system, tally, arrivals)
    clock.run_until(world.trace.header.seconds + COMPLETION_GRACE_SECONDS)
    tally.far_bytes = world.cross_region_bytes
    return tally


def _schedule_event(world: World, system: System, event: EventLine) -> None:
    def begin() -> None:
        _apply_event(world, system, event, True)

    def end() -> None:
        _apply_event(world, system, event, False)

    world.clock.call_later(event.at, begin)
    if event.until > event.at:
        world.clock.call_later(event.until, end)


def _apply_event(world: World, system: System, event: EventLine, begins: bool) -> None:
    if event.what in SERVER_EVENTS:
        system.handle_server_event(event, world.find_event_targets(event), begins)
        return
    world.apply_event(event, begins)


def _spawn_requests(
    world: World, system: System, tally: Tally, arrivals: Iterator[Arrival]
) -> None:
    clock = world.clock
    for arrival in arrivals:
        clock.sleep(arrival.at - clock.now())
        clock.spawn(_run_request, world, system, tally, arrival)


def _run_request(world: World, system: System, tally: Tally, arrival: Arrival) -> None:
    class_name = arrival.operation.call_class
    tally.record_request(class_name, arrival.at)
    outcome = Ending.FAILED
    for attempt in range(arrival.resends + 1):
        if attempt:
            jitter = world.rng.uniform(0.5, 1.5)
            world.clock.sleep(arrival.backoff_seconds * 2 ** (attempt - 1) * jitter)
        tally.attempts += 1
        entry_server = _choose_entry_server(world, arrival)
        if entry_server is None:
            continue
        outcome = system.submit(Submission(arrival, attempt, entry_server))
        if outcome is Ending.WHOLE:
            break
    server_seconds = world.server_seconds.pop(RequestId(arrival.request), 0.0)
    tally.record_outcome(class_name, arrival.at, outcome, server_seconds)


def _choose_entry_server(world: World, arrival: Arrival) -> SimulatedServer | None:
    service = arrival.operation.tree.service
    for data_centre in (arrival.data_centre, None):
        candidates = [s for s in world.list_servers(service, data_centre) if not s.down]
        if data_centre is None:
            candidates = [
                s
                for s in candidates
                if not world.is_partitioned(arrival.data_centre, s.data_centre)
            ]
        available = [s for s in candidates if not s.leaving] or candidates
        if available:
            return world.rng.choice(available)
    return None
