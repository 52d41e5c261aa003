"""Serve a replay with conventional policies, for comparison."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..clock import Waiter
from ..ids import DataCentre, RequestId
from ..trace_lines import CallTree, EventKind, EventLine
from .simulation import MILLISECONDS_PER_SECOND, SimulatedServer, Simulation
from .system import Submission
from .tally import CallerOutcome, Tally

RETRY_BACKOFF_SECONDS = 0.05
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_QUEUED_PER_SLOT = 10


@dataclass(slots=True)
class _ServerQueue:
    waiting: deque[Waiter] = field(default_factory=deque)


class BaselineSystem:
    """Queue calls at each server and retry at each hop, as client libraries do.

    Deadlines and cancellation are not propagated: a server completes a call even
    after its caller has timed out.
    """

    def __init__(
        self,
        simulation: Simulation,
        tally: Tally,
        name: str,
        max_retries_per_call: int,
        bounded_queues: bool,
    ) -> None:
        self.name = name
        self._simulation = simulation
        self._clock = simulation.clock
        self._tally = tally
        self._max_retries_per_call = max_retries_per_call
        self._bounded_queues = bounded_queues
        self._queues = {node: _ServerQueue() for node in simulation.servers}

    def submit(self, submission: Submission) -> CallerOutcome:
        """Serve one attempt and block until its caller has the outcome."""
        arrival, entry_server = submission.arrival, submission.entry_server
        tree = arrival.operation.tree
        caller_delay = self._simulation.trace.link.client_ms / MILLISECONDS_PER_SECOND

        def run() -> bool:
            self._clock.sleep(caller_delay)
            if arrival.key is not None and not self._is_rejecting(entry_server):
                self._tally.runs_by_key[arrival.key] += 1
            succeeded = self._serve(
                entry_server, tree, arrival.request, arrival.deadline
            )
            self._clock.sleep(caller_delay)
            return succeeded

        succeeded = self._run_with_timeout(run, arrival.deadline)
        if succeeded is None:
            return CallerOutcome.UNKNOWN
        return CallerOutcome.WHOLE if succeeded else CallerOutcome.FAILED

    def handle_server_event(
        self, event: EventLine, servers: list[SimulatedServer], begins: bool
    ) -> None:
        """Crash, drain, restart or cold-start servers as an event says."""
        for server in servers:
            if event.what is EventKind.COLD_START:
                server.cold_answers_left = server.service_line.cold_answers
            elif not begins:
                server.restart()
            elif event.what is EventKind.CRASH:
                server.crash()
            else:
                server.leaving = True

    def _is_rejecting(self, server: SimulatedServer) -> bool:
        queue = self._queues[server.node].waiting
        max_queued = server.service_line.slots * MAX_QUEUED_PER_SLOT
        return server.down or (self._bounded_queues and len(queue) >= max_queued)

    def _serve(
        self,
        server: SimulatedServer,
        tree: CallTree,
        request: RequestId,
        timeout: float,
    ) -> bool:
        if self._is_rejecting(server):
            return False
        queue = self._queues[server.node].waiting
        if server.busy >= server.slots:
            waiter = self._clock.make_waiter()
            queue.append(waiter)
            waiter.wait()
        else:
            server.busy += 1
        try:
            return self._execute(server, tree, request, timeout)
        finally:
            if queue:
                queue.popleft().notify()
            else:
                server.busy -= 1

    def _execute(
        self,
        server: SimulatedServer,
        tree: CallTree,
        request: RequestId,
        timeout: float,
    ) -> bool:
        started = self._clock.now()
        completed = not server.down and self._simulation.run_service_time(
            server, tree, None
        )
        self._simulation.add_server_seconds(request, self._clock.now() - started)
        if not completed:
            return False
        for child in tree.children:
            if not self._call_with_retries(server.data_centre, child, request, timeout):
                return False
        return not server.down

    def _call_with_retries(
        self, source: DataCentre, tree: CallTree, request: RequestId, timeout: float
    ) -> bool:
        for attempt in range(self._max_retries_per_call + 1):
            if attempt:
                self._tally.attempts += 1
                jitter = self._simulation.rng.uniform(0.5, 1.5)
                self._clock.sleep(RETRY_BACKOFF_SECONDS * 2**attempt * jitter)
            if self._call_once(source, tree, request, timeout):
                return True
        return False

    def _call_once(
        self, source: DataCentre, tree: CallTree, request: RequestId, timeout: float
    ) -> bool:
        server = self._choose_server(source, tree)
        if server is None:
            return False
        destination = server.data_centre
        if self._simulation.is_partitioned(source, destination):
            self._clock.sleep(CONNECT_TIMEOUT_SECONDS)
            return False

        def run() -> bool:
            transfer = self._simulation.transfer
            self._clock.sleep(transfer(source, destination, tree.request_bytes))
            succeeded = self._serve(server, tree, request, timeout)
            answer_bytes = tree.answer_bytes if succeeded else 0
            self._clock.sleep(transfer(destination, source, answer_bytes))
            return succeeded

        return bool(self._run_with_timeout(run, timeout))

    def _run_with_timeout(self, run: Callable[[], bool], timeout: float) -> bool | None:
        waiter = self._clock.make_waiter()
        results: list[bool] = []

        def finish() -> None:
            results.append(run())
            waiter.notify()

        self._clock.spawn(finish)
        waiter.wait(timeout)
        return results[0] if results else None

    def _choose_server(
        self, source: DataCentre, tree: CallTree
    ) -> SimulatedServer | None:
        region = self._simulation.trace.centres[source]
        tiers: list[list[SimulatedServer]] = [[], [], []]
        for server in self._simulation.list_servers(tree.service):
            if server.down or server.leaving:
                continue
            in_same_region = (
                self._simulation.trace.centres[server.data_centre] == region
            )
            tiers[
                0 if server.data_centre == source else 1 if in_same_region else 2
            ].append(server)
        for tier in tiers:
            if tier:
                return self._simulation.rng.choice(tier)
        return None


def make_unprotected_system(simulation: Simulation, tally: Tally) -> BaselineSystem:
    """Return a system without overload control: unbounded queues, no retries."""
    return BaselineSystem(simulation, tally, "no layer", 0, bounded_queues=False)


def make_conventional_system(simulation: Simulation, tally: Tally) -> BaselineSystem:
    """Return a conventional system: static limits, bounded FIFO queues, retries."""
    return BaselineSystem(simulation, tally, "usual", 3, bounded_queues=True)
