"""Hold what a replay needs beside the policy: servers, delays, link, events."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..calls import Call
from ..clock import VirtualClock
from ..ids import DataCentre, NodeId, RequestId, ServiceName
from ..trace_lines import CallTree, EventKind, EventLine, ServiceLine
from .trace import Trace

BITS_PER_BYTE = 8
MILLI = 1000.0
MEGA = 1_000_000.0
# Half of a service time is fixed, the other half exponential.
FIXED_SHARE = 0.5


@dataclass(slots=True)
class Server:
    """Hold one backend server: its slots, its warmth, and whether it is there."""

    node: NodeId
    service: ServiceName
    centre: DataCentre
    index: int
    line: ServiceLine
    slots: int
    busy: int = 0
    down: bool = False
    leaving: bool = False
    life: int = 1
    cold_left: int = 0
    # In the order they began, so that a crash cuts them off in one order.
    holds: dict["Hold", None] = field(default_factory=dict)

    def start(self) -> None:
        """Come back cold, in a new life."""
        self.down = self.leaving = False
        self.life += 1
        self.cold_left = self.line.cold_answers

    def crash(self) -> None:
        """Cut everything off."""
        self.down = True
        for hold in list(self.holds):
            hold.abort()


class Hold:
    """Occupy a server for a while, unless cut short."""

    __slots__ = ("_waiter", "aborted")

    def __init__(self, clock: VirtualClock) -> None:
        self._waiter = clock.make_waiter()
        self.aborted = False

    def wait(self, seconds: float) -> bool:
        """Block; tell if it went to its end."""
        self._waiter.wait(seconds)
        return not self.aborted

    def abort(self) -> None:
        """End it now."""
        self.aborted = True
        self._waiter.notify()


class World:
    """Hold the servers of a trace and all that happens to them."""

    def __init__(self, trace: Trace, seed: int) -> None:
        self.trace = trace
        self.clock = VirtualClock()
        self.chance = random.Random(seed)
        self.servers: dict[NodeId, Server] = {}
        self.trees: dict[tuple[ServiceName, str, str], CallTree] = {}
        self.far_bytes = 0
        self.platform_down = False
        self.work: dict[RequestId, float] = {}
        self._cuts: list[EventLine] = []
        self._slow: dict[ServiceName, float] = {}
        self._link_free: dict[tuple[str, str], float] = {}
        for service in trace.services.values():
            self._add_servers(service)
        for operation in trace.operations.values():
            self._add_tree(operation.tree)

    def list_servers(
        self, service: ServiceName, centre: DataCentre | None = None
    ) -> Iterator[Server]:
        """Yield the servers of a service, in one data centre or in all."""
        for server in self.servers.values():
            if server.service != service:
                continue
            if centre is None or server.centre == centre:
                yield server

    def find_delay(self, left: DataCentre, right: DataCentre) -> float:
        """Return the one-way delay between two data centres, in seconds."""
        link = self.trace.link
        if self.trace.centres[left] != self.trace.centres[right]:
            return link.far_ms / MILLI
        return link.near_ms / MILLI if left != right else link.near_ms / MILLI / 2

    def transfer(self, left: DataCentre, right: DataCentre, size: int) -> float:
        """Send bytes; return the seconds until they have arrived."""
        delay = self.find_delay(left, right)
        regions = (self.trace.centres[left], self.trace.centres[right])
        if regions[0] == regions[1]:
            return delay
        self.far_bytes += size
        rate = self.trace.link.far_mbit * MEGA / BITS_PER_BYTE
        now = self.clock.now()
        free = max(now, self._link_free.get(regions, now)) + size / rate
        self._link_free[regions] = free
        return free - now + delay

    def is_cut(self, left: DataCentre, right: DataCentre) -> bool:
        """Tell if two data centres can't reach each other."""
        if left == right:
            return False
        regions = self.trace.centres
        for cut in self._cuts:
            if cut.data_centre and cut.data_centre in (left, right):
                return True
            if cut.region and regions[left] != regions[right]:
                return True
        return False

    def occupy(self, server: Server, tree: CallTree, call: Call | None) -> bool:
        """Serve a call's own part; tell if it went to its end."""
        spread = FIXED_SHARE + (1 - FIXED_SHARE) * self.chance.expovariate(1.0)
        seconds = tree.own_ms / MILLI * spread * self._slow.get(server.service, 1.0)
        if server.cold_left > 0:
            server.cold_left -= 1
            seconds *= server.line.cold_factor
        hold = Hold(self.clock)
        server.holds[hold] = None
        forget = call.cancellation.add(hold.abort) if call else None
        started = self.clock.now()
        whole = hold.wait(seconds)
        server.holds.pop(hold, None)
        if forget is not None:
            forget()
        if call is not None:
            self.count_work(call.request, self.clock.now() - started)
        return whole

    def count_work(self, request: RequestId, seconds: float) -> None:
        """Count what servers spent on a request."""
        self.work[request] = self.work.get(request, 0.0) + seconds

    def apply(self, event: EventLine, begins: bool) -> None:
        """Let an event begin or end."""
        match event.what:
            case EventKind.SLOW_DOWN:
                factor = event.factor if begins else 1.0
                self._slow[event.service] = factor
            case EventKind.PLATFORM_OUTAGE:
                self.platform_down = begins
            case EventKind.PARTITION:
                if begins:
                    self._cuts.append(event)
                else:
                    self._cuts.remove(event)
            case EventKind.REPORT_LIE:
                for server in self.find_targets(event):
                    factor = event.factor if begins else 1.0
                    server.slots = max(1, int(server.line.slots * factor))

    def find_targets(self, event: EventLine) -> list[Server]:
        """Return the servers that an event concerns."""
        found = []
        for server in self.servers.values():
            if event.service and server.service != event.service:
                continue
            if event.data_centre and server.centre != event.data_centre:
                continue
            if event.index is not None and server.index != event.index:
                continue
            found.append(server)
        return found

    def _add_servers(self, line: ServiceLine) -> None:
        for centre, count in line.servers.items():
            for index in range(count):
                node = NodeId(f"{line.name}-{centre}-{index}")
                slots = line.real_slots or line.slots
                self.servers[node] = Server(node, line.name, centre, index, line, slots)

    def _add_tree(self, tree: CallTree) -> None:
        self.trees[(tree.service, tree.method, tree.target)] = tree
        for child in tree.children:
            self._add_tree(child)
