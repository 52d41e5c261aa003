"""Define what a replay asks of a policy, and drive callers against it."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from ..ids import RequestId
from ..trace_lines import EventKind, EventLine
from .arrivals import Arrival, list_arrivals
from .tally import Ending, Tally
from .world import Server, World

# Lets the last requests end before the count is taken.
TAIL_SECONDS = 15.0
SERVER_EVENTS = (EventKind.CRASH, EventKind.DRAIN, EventKind.COLD_START)


@dataclass(frozen=True, slots=True)
class Submission:
    """Hold one attempt of a caller, made at one server."""

    arrival: Arrival
    attempt: int
    entry: Server


class System(Protocol):
    """Serve submissions by some policy."""

    name: str

    def submit(self, submission: Submission) -> Ending:
        """Serve one attempt; block until its caller has its ending."""

    def notice(self, event: EventLine, servers: list[Server], begins: bool) -> None:
        """Let servers crash, drain or come back."""


def run_replay(world: World, system: System, tally: Tally, seed: int) -> Tally:
    """Replay a whole trace on the paused clock."""
    clock = world.clock
    for event in world.trace.events:
        _schedule(world, system, event)
    arrivals = list_arrivals(world.trace, seed, clock.wall())
    clock.spawn(_pump, world, system, tally, arrivals)
    clock.run_until(world.trace.header.seconds + TAIL_SECONDS)
    tally.far_bytes = world.far_bytes
    return tally


def _schedule(world: World, system: System, event: EventLine) -> None:
    def begin() -> None:
        _apply(world, system, event, True)

    def end() -> None:
        _apply(world, system, event, False)

    world.clock.call_later(event.at, begin)
    if event.until > event.at:
        world.clock.call_later(event.until, end)


def _apply(world: World, system: System, event: EventLine, begins: bool) -> None:
    if event.what in SERVER_EVENTS:
        system.notice(event, world.find_targets(event), begins)
        return
    world.apply(event, begins)


def _pump(
    world: World, system: System, tally: Tally, arrivals: Iterator[Arrival]
) -> None:
    clock = world.clock
    for arrival in arrivals:
        clock.sleep(arrival.at - clock.now())
        clock.spawn(_request, world, system, tally, arrival)


def _request(world: World, system: System, tally: Tally, arrival: Arrival) -> None:
    name = arrival.operation.call_class
    tally.begin(name, arrival.at)
    ending = Ending.FAILED
    for attempt in range(arrival.resends + 1):
        if attempt:
            spread = world.chance.uniform(0.5, 1.5)
            world.clock.sleep(arrival.backoff * 2 ** (attempt - 1) * spread)
        tally.attempts += 1
        entry = _choose_entry(world, arrival)
        if entry is None:
            continue
        ending = system.submit(Submission(arrival, attempt, entry))
        if ending is Ending.WHOLE:
            break
    work = world.work.pop(RequestId(arrival.request), 0.0)
    tally.end(name, arrival.at, ending, work)


def _choose_entry(world: World, arrival: Arrival) -> Server | None:
    service = arrival.operation.tree.service
    for centre in (arrival.centre, None):
        found = [s for s in world.list_servers(service, centre) if not s.down]
        if centre is None:
            found = [s for s in found if not world.is_cut(arrival.centre, s.centre)]
        serving = [s for s in found if not s.leaving] or found
        if serving:
            return world.chance.choice(serving)
    return None
