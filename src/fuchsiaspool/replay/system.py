"""Run a replay: simulate the callers of a trace against one system."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from ..ids import RequestId
from ..trace_lines import EventKind, EventLine
from .arrivals import Arrival, generate_arrivals
from .simulation import SimulatedServer, Simulation
from .tally import CallerOutcome, Tally

# Lets the last requests end before the results are read.
COMPLETION_GRACE_SECONDS = 15.0
SERVER_EVENTS = (EventKind.CRASH, EventKind.DRAIN, EventKind.COLD_START)


@dataclass(frozen=True, slots=True)
class Submission:
    """Represent one attempt of a caller, sent to one entry server."""

    arrival: Arrival
    attempt: int
    entry_server: SimulatedServer


class SimulatedSystem(Protocol):
    """Serve the requests of a replay with one overload control policy."""

    name: str

    def submit(self, submission: Submission) -> CallerOutcome:
        """Serve one attempt and block until its caller has the outcome."""

    def handle_server_event(
        self, event: EventLine, servers: list[SimulatedServer], begins: bool
    ) -> None:
        """Crash, drain, restart or cold-start servers as an event says."""


def run_replay(
    simulation: Simulation, system: SimulatedSystem, tally: Tally, seed: int
) -> Tally:
    """Replay a whole trace on the virtual clock."""
    clock = simulation.clock
    for event in simulation.trace.events:
        _schedule_event(simulation, system, event)
    arrivals = generate_arrivals(simulation.trace, seed, clock.wall())
    clock.spawn(_spawn_requests, simulation, system, tally, arrivals)
    clock.run_until(simulation.trace.header.seconds + COMPLETION_GRACE_SECONDS)
    tally.far_bytes = simulation.cross_region_bytes
    return tally


def _schedule_event(
    simulation: Simulation, system: SimulatedSystem, event: EventLine
) -> None:
    def begin() -> None:
        _apply_event(simulation, system, event, True)

    def end() -> None:
        _apply_event(simulation, system, event, False)

    simulation.clock.call_later(event.at, begin)
    if event.until > event.at:
        simulation.clock.call_later(event.until, end)


def _apply_event(
    simulation: Simulation, system: SimulatedSystem, event: EventLine, begins: bool
) -> None:
    if event.what in SERVER_EVENTS:
        system.handle_server_event(event, simulation.find_event_targets(event), begins)
        return
    simulation.apply_event(event, begins)


def _spawn_requests(
    simulation: Simulation,
    system: SimulatedSystem,
    tally: Tally,
    arrivals: Iterator[Arrival],
) -> None:
    clock = simulation.clock
    for arrival in arrivals:
        clock.sleep(arrival.at - clock.now())
        clock.spawn(_run_request, simulation, system, tally, arrival)


def _run_request(
    simulation: Simulation, system: SimulatedSystem, tally: Tally, arrival: Arrival
) -> None:
    class_name = arrival.operation.call_class
    tally.record_request(class_name, arrival.at)
    outcome = CallerOutcome.FAILED
    for attempt in range(arrival.resends + 1):
        if attempt:
            jitter = simulation.rng.uniform(0.5, 1.5)
            simulation.clock.sleep(
                arrival.backoff_seconds * 2 ** (attempt - 1) * jitter
            )
        tally.attempts += 1
        entry_server = _choose_entry_server(simulation, arrival)
        if entry_server is None:
            continue
        outcome = system.submit(Submission(arrival, attempt, entry_server))
        if outcome is CallerOutcome.WHOLE:
            break
    server_seconds = simulation.server_seconds.pop(RequestId(arrival.request), 0.0)
    tally.record_outcome(class_name, arrival.at, outcome, server_seconds)


def _choose_entry_server(
    simulation: Simulation, arrival: Arrival
) -> SimulatedServer | None:
    service = arrival.operation.tree.service
    for data_centre in (arrival.data_centre, None):
        candidates = [
            s for s in simulation.list_servers(service, data_centre) if not s.down
        ]
        if data_centre is None:
            candidates = [
                s
                for s in candidates
                if not simulation.is_partitioned(arrival.data_centre, s.data_centre)
            ]
        available = [s for s in candidates if not s.leaving] or candidates
        if available:
            return simulation.rng.choice(available)
    return None
