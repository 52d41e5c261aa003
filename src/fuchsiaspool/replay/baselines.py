"""Serve a replay as it is usually done, to compare with."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..clock import Waiter
from ..ids import DataCentre, RequestId
from ..trace_lines import CallTree, EventKind, EventLine
from .system import Submission
from .tally import Ending, Tally
from .world import MILLI, Server, World

HOP_BACKOFF_SECONDS = 0.05
CONNECT_SECONDS = 1.0
QUEUE_PER_SLOT = 10


@dataclass(slots=True)
class _Line:
    waiting: deque[Waiter] = field(default_factory=deque)


class Plain:
    """Let each hop wait in line at a server, and retry as its client library does.

    Deadlines and cancellation stop at the caller: a server works on until it is
    done, whether anyone still waits or not.
    """

    def __init__(
        self,
        world: World,
        tally: Tally,
        name: str,
        hop_retries: int,
        bounded: bool,
    ) -> None:
        self.name = name
        self._world = world
        self._clock = world.clock
        self._tally = tally
        self._hop_retries = hop_retries
        self._bounded = bounded
        self._lines = {node: _Line() for node in world.servers}

    def submit(self, submission: Submission) -> Ending:
        """Serve one attempt; block until its caller has its ending."""
        arrival, entry = submission.arrival, submission.entry
        tree = arrival.operation.tree
        client = self._world.trace.link.client_ms / MILLI

        def run() -> bool:
            self._clock.sleep(client)
            if arrival.key is not None and not self._is_full(entry):
                self._tally.runs[arrival.key] += 1
            whole = self._serve(entry, tree, arrival.request, arrival.deadline)
            self._clock.sleep(client)
            return whole

        whole = self._wait_for(run, arrival.deadline)
        if whole is None:
            return Ending.UNKNOWN
        return Ending.WHOLE if whole else Ending.FAILED

    def notice(self, event: EventLine, servers: list[Server], begins: bool) -> None:
        """Let servers crash, drain or come back."""
        for server in servers:
            if event.what is EventKind.COLD_START:
                server.cold_left = server.line.cold_answers
            elif not begins:
                server.start()
            elif event.what is EventKind.CRASH:
                server.crash()
            else:
                server.leaving = True

    def _is_full(self, server: Server) -> bool:
        line = self._lines[server.node].waiting
        room = server.line.slots * QUEUE_PER_SLOT
        return server.down or (self._bounded and len(line) >= room)

    def _serve(
        self, server: Server, tree: CallTree, request: RequestId, timeout: float
    ) -> bool:
        if self._is_full(server):
            return False
        line = self._lines[server.node].waiting
        if server.busy >= server.slots:
            waiter = self._clock.make_waiter()
            line.append(waiter)
            waiter.wait()
        else:
            server.busy += 1
        try:
            return self._work(server, tree, request, timeout)
        finally:
            if line:
                line.popleft().notify()
            else:
                server.busy -= 1

    def _work(
        self, server: Server, tree: CallTree, request: RequestId, timeout: float
    ) -> bool:
        started = self._clock.now()
        whole = not server.down and self._world.occupy(server, tree, None)
        self._world.count_work(request, self._clock.now() - started)
        if not whole:
            return False
        for child in tree.children:
            if not self._call(server.centre, child, request, timeout):
                return False
        return not server.down

    def _call(
        self, here: DataCentre, tree: CallTree, request: RequestId, timeout: float
    ) -> bool:
        for attempt in range(self._hop_retries + 1):
            if attempt:
                self._tally.attempts += 1
                spread = self._world.chance.uniform(0.5, 1.5)
                self._clock.sleep(HOP_BACKOFF_SECONDS * 2**attempt * spread)
            if self._attempt(here, tree, request, timeout):
                return True
        return False

    def _attempt(
        self, here: DataCentre, tree: CallTree, request: RequestId, timeout: float
    ) -> bool:
        server = self._choose(here, tree)
        if server is None:
            return False
        there = server.centre
        if self._world.is_cut(here, there):
            self._clock.sleep(CONNECT_SECONDS)
            return False

        def run() -> bool:
            transfer = self._world.transfer
            self._clock.sleep(transfer(here, there, tree.request_bytes))
            whole = self._serve(server, tree, request, timeout)
            size = tree.answer_bytes if whole else 0
            self._clock.sleep(transfer(there, here, size))
            return whole

        return bool(self._wait_for(run, timeout))

    def _wait_for(self, run: Callable[[], bool], timeout: float) -> bool | None:
        waiter = self._clock.make_waiter()
        ended: list[bool] = []

        def finish() -> None:
            ended.append(run())
            waiter.notify()

        self._clock.spawn(finish)
        waiter.wait(timeout)
        return ended[0] if ended else None

    def _choose(self, here: DataCentre, tree: CallTree) -> Server | None:
        region = self._world.trace.centres[here]
        tiers: list[list[Server]] = [[], [], []]
        for server in self._world.list_servers(tree.service):
            if server.down or server.leaving:
                continue
            near = self._world.trace.centres[server.centre] == region
            tiers[0 if server.centre == here else 1 if near else 2].append(server)
        for tier in tiers:
            if tier:
                return self._world.chance.choice(tier)
        return None


def make_no_layer(world: World, tally: Tally) -> Plain:
    """Return the system without any layer: unbounded lines, no retries."""
    return Plain(world, tally, "no layer", 0, bounded=False)


def make_usual(world: World, tally: Tally) -> Plain:
    """Return the usual client policy with static limits and bounded FIFO lines."""
    return Plain(world, tally, "usual", 3, bounded=True)
