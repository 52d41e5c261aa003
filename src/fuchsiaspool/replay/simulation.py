"""Simulate the backend servers, the network and the events of a trace."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..calls import Call
from ..clock import VirtualClock
from ..ids import DataCentre, NodeId, RequestId, ServiceName
from ..trace_lines import CallTree, EventKind, EventLine, ServiceLine
from .trace import Trace

BITS_PER_BYTE = 8
MILLISECONDS_PER_SECOND = 1000.0
BITS_PER_MEGABIT = 1_000_000.0
# The rest of a service time is drawn from an exponential distribution.
FIXED_SERVICE_TIME_SHARE = 0.5


@dataclass(slots=True)
class SimulatedServer:
    """Represent one simulated backend server.

    `slots` is the number of calls that it serves at the same time, `busy` the
    number it serves now; the next `cold_answers_left` calls take longer.
    """

    node: NodeId
    service: ServiceName
    data_centre: DataCentre
    index: int
    service_line: ServiceLine
    slots: int
    busy: int = 0
    down: bool = False
    leaving: bool = False
    incarnation: int = 1
    cold_answers_left: int = 0
    # A dict keeps the order of starts, so that a crash aborts calls in a fixed order.
    service_delays: dict["AbortableDelay", None] = field(default_factory=dict)

    def restart(self) -> None:
        """Restart with cold caches and a higher incarnation."""
        self.down = self.leaving = False
        self.incarnation += 1
        self.cold_answers_left = self.service_line.cold_answers

    def crash(self) -> None:
        """Stop the server and abort the calls that it is serving."""
        self.down = True
        for delay in list(self.service_delays):
            delay.abort()


class AbortableDelay:
    """Block for the service time of a call unless aborted."""

    __slots__ = ("_waiter", "aborted")

    def __init__(self, clock: VirtualClock) -> None:
        self._waiter = clock.make_waiter()
        self.aborted = False

    def wait(self, seconds: float) -> bool:
        """Block for `seconds`; return whether the delay ran to its end."""
        self._waiter.wait(seconds)
        return not self.aborted

    def abort(self) -> None:
        """End the delay now."""
        self.aborted = True
        self._waiter.notify()


class Simulation:
    """Simulate the servers and links of a trace on a virtual clock."""

    def __init__(self, trace: Trace, seed: int) -> None:
        self.trace = trace
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.servers: dict[NodeId, SimulatedServer] = {}
        self.call_trees: dict[tuple[ServiceName, str, str], CallTree] = {}
        self.cross_region_bytes = 0
        self.platform_down = False
        self.server_seconds: dict[RequestId, float] = {}
        self._partitions: list[EventLine] = []
        self._slow_down_factors: dict[ServiceName, float] = {}
        self._link_free_at: dict[tuple[str, str], float] = {}
        for service in trace.services.values():
            self._add_servers(service)
        for operation in trace.operations.values():
            self._add_tree(operation.tree)

    def list_servers(
        self, service: ServiceName, data_centre: DataCentre | None = None
    ) -> Iterator[SimulatedServer]:
        """Yield the servers of a service, in one data centre or in all of them."""
        for server in self.servers.values():
            if server.service != service:
                continue
            if data_centre is None or server.data_centre == data_centre:
                yield server

    def get_one_way_delay(self, source: DataCentre, destination: DataCentre) -> float:
        """Return the one-way delay between two data centres, in seconds."""
        link = self.trace.link
        if self.trace.centres[source] != self.trace.centres[destination]:
            return link.far_ms / MILLISECONDS_PER_SECOND
        return (
            link.near_ms / MILLISECONDS_PER_SECOND
            if source != destination
            else link.near_ms / MILLISECONDS_PER_SECOND / 2
        )

    def transfer(
        self, source: DataCentre, destination: DataCentre, size_bytes: int
    ) -> float:
        """Send bytes and return the seconds until they arrive.

        The link between two regions has a limited rate: transfers queue for it.
        """
        delay = self.get_one_way_delay(source, destination)
        regions = (self.trace.centres[source], self.trace.centres[destination])
        if regions[0] == regions[1]:
            return delay
        self.cross_region_bytes += size_bytes
        bytes_per_second = self.trace.link.far_mbit * BITS_PER_MEGABIT / BITS_PER_BYTE
        now = self.clock.now()
        free_at = (
            max(now, self._link_free_at.get(regions, now))
            + size_bytes / bytes_per_second
        )
        self._link_free_at[regions] = free_at
        return free_at - now + delay

    def is_partitioned(self, source: DataCentre, destination: DataCentre) -> bool:
        """Return whether a partition separates two data centres."""
        if source == destination:
            return False
        regions = self.trace.centres
        for partition in self._partitions:
            if partition.data_centre and partition.data_centre in (source, destination):
                return True
            if partition.region and regions[source] != regions[destination]:
                return True
        return False

    def run_service_time(
        self, server: SimulatedServer, tree: CallTree, call: Call | None
    ) -> bool:
        """Block for the service time of a call, without its downstream calls.

        Return whether it ran to its end. `call` is None where the cancellation of
        a call does not reach the server.
        """
        spread_factor = FIXED_SERVICE_TIME_SHARE + (
            1 - FIXED_SERVICE_TIME_SHARE
        ) * self.rng.expovariate(1.0)
        seconds = (
            tree.own_ms
            / MILLISECONDS_PER_SECOND
            * spread_factor
            * self._slow_down_factors.get(server.service, 1.0)
        )
        if server.cold_answers_left > 0:
            server.cold_answers_left -= 1
            seconds *= server.service_line.cold_factor
        delay = AbortableDelay(self.clock)
        server.service_delays[delay] = None
        unsubscribe = call.cancellation.add(delay.abort) if call else None
        started = self.clock.now()
        completed = delay.wait(seconds)
        server.service_delays.pop(delay, None)
        if unsubscribe is not None:
            unsubscribe()
        if call is not None:
            self.add_server_seconds(call.request, self.clock.now() - started)
        return completed

    def add_server_seconds(self, request: RequestId, seconds: float) -> None:
        """Add server time spent on a request."""
        self.server_seconds[request] = self.server_seconds.get(request, 0.0) + seconds

    def apply_event(self, event: EventLine, begins: bool) -> None:
        """Apply the start or the end of an event that isn't a server event."""
        match event.what:
            case EventKind.SLOW_DOWN:
                factor = event.factor if begins else 1.0
                self._slow_down_factors[event.service] = factor
            case EventKind.PLATFORM_OUTAGE:
                self.platform_down = begins
            case EventKind.PARTITION:
                if begins:
                    self._partitions.append(event)
                else:
                    self._partitions.remove(event)
            case EventKind.REPORT_LIE:
                for server in self.find_event_targets(event):
                    factor = event.factor if begins else 1.0
                    server.slots = max(1, int(server.service_line.slots * factor))

    def find_event_targets(self, event: EventLine) -> list[SimulatedServer]:
        """Return the servers that an event affects."""
        targets = []
        for server in self.servers.values():
            if event.service and server.service != event.service:
                continue
            if event.data_centre and server.data_centre != event.data_centre:
                continue
            if event.index is not None and server.index != event.index:
                continue
            targets.append(server)
        return targets

    def _add_servers(self, service_line: ServiceLine) -> None:
        for data_centre, count in service_line.servers.items():
            for index in range(count):
                node = NodeId(f"{service_line.name}-{data_centre}-{index}")
                slots = service_line.real_slots or service_line.slots
                self.servers[node] = SimulatedServer(
                    node, service_line.name, data_centre, index, service_line, slots
                )

    def _add_tree(self, tree: CallTree) -> None:
        self.call_trees[(tree.service, tree.method, tree.target)] = tree
        for child in tree.children:
            self._add_tree(child)
