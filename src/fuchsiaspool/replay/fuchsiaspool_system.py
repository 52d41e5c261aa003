"""Serve a replay with the production filter chain and controllers."""

from typing import Final

import msgspec

from ..calls import Call
from ..chains import Core, CoreDependencies, build_core
from ..clock import Waiter
from ..filters.claim import make_claim_filter
from ..ids import Incarnation, NodeId, Nonce
from ..member_records import Member, MemberState, NodeLocation
from ..operation_records import CommitResult, OperationChange
from ..operations.answers import make_answer_store
from ..operations.claims import ClaimManager
from ..operations.commits import GroupCommitter
from ..outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from ..platform.objects import ObjectKey
from ..retry_allowance import RetryAllowance
from ..settings.policy import Policy
from ..standins.memory_store import make_memory_store
from ..standins.platform import ObjectStore
from ..trace_lines import EventKind, EventLine
from .call_executor import HTTP_OK, CallExecutor, make_call
from .simulation import MILLISECONDS_PER_SECOND, SimulatedServer, Simulation
from .system import Submission
from .tally import CallerOutcome, Tally

CONNECT_TIMEOUT_SECONDS = 1.0
# Delays of gossip and of crash detection by heartbeats between peers, taken from
# the tests of membership.
GOSSIP_DELAY_SECONDS = 0.5
CRASH_DETECTION_SECONDS = 6.0


# Nothing is sent over sockets in a replay.
_UNUSED_ADDRESS: Final = "127.0.0.1:1"


class SimulatedNode:
    """Represent one simulated node: its core and its backend server."""

    def __init__(self, system: "FuchsiaspoolSystem", server: SimulatedServer) -> None:
        self.server = server
        self.core: Core = system.build_node_core(self)

    @property
    def member(self) -> Member:
        """Return the member record that the other nodes have of this node."""
        server = self.server
        state = MemberState.LEAVING if server.leaving else MemberState.ALIVE
        location = self.core.place
        return Member(
            location.node,
            location.service,
            location.data_centre,
            location.region,
            _UNUSED_ADDRESS,
            _UNUSED_ADDRESS,
            Incarnation(server.incarnation),
            state,
        )


class FuchsiaspoolSystem:
    """Run one simulated node beside each backend server."""

    name = "fuchsiaspool"

    def __init__(self, simulation: Simulation, tally: Tally, policy: Policy) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._tally = tally
        self._policy = policy
        self._nonce_count = 0
        platform_delay = simulation.trace.link.platform_ms / MILLISECONDS_PER_SECOND
        store = make_memory_store(
            self._clock, ObjectStore(), platform_delay, lambda: simulation.platform_down
        )
        self._answer_store = make_answer_store(self._clock, store)
        owner = NodeId("owner")
        self._committer = GroupCommitter(self._clock, owner, store, self._make_nonce)
        self._nodes = {
            server.node: SimulatedNode(self, server)
            for server in simulation.servers.values()
        }
        for node in self._nodes.values():
            for other in self._nodes.values():
                node.core.members.merge(other.member)
            node.core.policies.put(policy)

    def build_node_core(self, node: SimulatedNode) -> Core:
        """Build the core of one node."""
        server = node.server
        claims = ClaimManager(
            self._clock, server.node, self._commit, self._make_nonce, self._answer_store
        )
        region = self._simulation.trace.centres[server.data_centre]
        location = NodeLocation(server.node, server.service, server.data_centre, region)
        executor = CallExecutor(
            self._simulation, self._tally, server, lambda call: node.core.outbound(call)
        )
        return build_core(
            CoreDependencies(
                self._clock,
                location,
                self._simulation.rng,
                executor.dispatch,
                lambda member, call: self._forward(node, member, call),
                lambda: NotRunReason.LEAVING if server.leaving else None,
                make_claim_filter(self._clock, claims),
            )
        )

    def submit(self, submission: Submission) -> CallerOutcome:
        """Serve one attempt and block until its caller has the outcome."""
        arrival, simulation = submission.arrival, self._simulation
        tree = arrival.operation.tree
        call = make_call(self._clock, tree, arrival.deadline)
        call.request = arrival.request
        call.caller = arrival.caller
        call.key = arrival.key
        call.external = True
        call.resend = submission.attempt > 0
        runs_before = self._tally.runs_by_key[call.key] if call.key is not None else 0
        caller_delay = simulation.trace.link.client_ms / MILLISECONDS_PER_SECOND
        entry_node = self._nodes[submission.entry_server.node]
        outcome = self._run_request(entry_node, call, caller_delay)
        retries = call.retry_allowance.spent
        self._tally.attempts += retries
        self._tally.most_retries = max(self._tally.most_retries, retries)
        if isinstance(outcome, NotRun):
            if call.key is not None and self._tally.runs_by_key[call.key] > runs_before:
                self._tally.false_not_run += 1
            return CallerOutcome.SHED
        if isinstance(outcome, Unknown):
            return CallerOutcome.UNKNOWN
        return (
            CallerOutcome.WHOLE if outcome.status == HTTP_OK else CallerOutcome.FAILED
        )

    def handle_server_event(
        self, event: EventLine, servers: list[SimulatedServer], begins: bool
    ) -> None:
        """Crash, drain, restart or cold-start servers, and announce it to the nodes."""
        for server in servers:
            if event.what is EventKind.COLD_START:
                server.cold_answers_left = server.service_line.cold_answers
            elif not begins:
                server.restart()
                self._announce_state(server, GOSSIP_DELAY_SECONDS)
            elif event.what is EventKind.CRASH:
                server.crash()
                self._announce_state(server, CRASH_DETECTION_SECONDS)
            else:
                server.leaving = True
                self._announce_state(server, GOSSIP_DELAY_SECONDS)

    def _announce_state(self, server: SimulatedServer, delay_seconds: float) -> None:
        member = self._nodes[server.node].member
        if server.down:
            member = msgspec.structs.replace(member, state=MemberState.DEAD)

        def deliver() -> None:
            for node in self._nodes.values():
                if not self._simulation.is_partitioned(
                    node.server.data_centre, server.data_centre
                ):
                    node.core.members.merge(member)

        self._clock.call_later(delay_seconds, deliver)

    def _run_request(
        self, entry_node: SimulatedNode, call: Call, caller_delay: float
    ) -> Outcome:
        """Send a caller's request to its entry node and wait for the outcome."""
        outcomes: list[Outcome] = []
        waiter = self._clock.make_waiter()

        def run() -> None:
            self._clock.sleep(caller_delay)
            outcome = entry_node.core.outbound(call)
            call.finish(True)
            self._clock.sleep(caller_delay)
            outcomes.append(outcome)
            waiter.notify()

        self._clock.spawn(run)
        waiter.wait(call.deadline - self._clock.now())
        if outcomes:
            return outcomes[0]
        call.cancellation.cancel()
        return Unknown(UnknownReason.TIMEOUT)

    def _forward(self, node: SimulatedNode, member: Member, call: Call) -> Outcome:
        target = self._nodes[member.node]
        source, destination = node.server.data_centre, target.server.data_centre
        lent_retries = call.retry_allowance.lend()
        if self._simulation.is_partitioned(source, destination) or target.server.down:
            failure_delay = CONNECT_TIMEOUT_SECONDS
            if target.server.down and not self._simulation.is_partitioned(
                source, destination
            ):
                failure_delay = 2 * self._simulation.get_one_way_delay(
                    source, destination
                )
            self._clock.sleep(
                min(failure_delay, max(0.0, call.deadline - self._clock.now()))
            )
            call.retry_allowance.reclaim(lent_retries, 0)
            return NotRun(NotRunReason.CONNECT_FAILED)
        inbound = self._make_inbound_call(call, lent_retries)
        outcomes: list[Outcome] = []
        waiter = self._clock.make_waiter()
        self._clock.spawn(self._deliver, node, target, inbound, outcomes, waiter)
        unsubscribe = call.cancellation.add(waiter.notify)
        waiter.wait(call.deadline - self._clock.now())
        unsubscribe()
        if not outcomes:
            # The peer detects the closed connection and cancels the call.
            inbound.cancellation.cancel()
            if call.cancellation.cancelled:
                return Unknown(UnknownReason.CANCELLED)
            return Unknown(UnknownReason.TIMEOUT)
        call.retry_allowance.reclaim(lent_retries, inbound.retry_allowance.spent)
        return outcomes[0]

    def _deliver(
        self,
        node: SimulatedNode,
        target: SimulatedNode,
        call: Call,
        outcomes: list[Outcome],
        waiter: Waiter,
    ) -> None:
        source, destination = node.server.data_centre, target.server.data_centre
        size_bytes = call.body.length or 0
        self._clock.sleep(self._simulation.transfer(source, destination, size_bytes))
        outcome = target.core.inbound(call)
        call.finish(True)
        size_bytes = 0
        if isinstance(outcome, Answered):
            size_bytes = outcome.body.length or 0
        self._clock.sleep(self._simulation.transfer(destination, source, size_bytes))
        if not self._simulation.is_partitioned(source, destination):
            outcomes.append(outcome)
            waiter.notify()

    def _make_inbound_call(self, call: Call, lent_retries: int) -> Call:
        inbound = Call(
            call.request,
            call.caller,
            call.service,
            call.method,
            call.target,
            call.headers,
            call.body,
            self._clock.now(),
            call.deadline,
            RetryAllowance(lent_retries),
        )
        inbound.rank = call.rank
        inbound.critical = call.critical
        inbound.classified = True
        inbound.key = call.key
        inbound.protected = call.protected
        inbound.expires_unix_seconds = call.expires_unix_seconds
        return inbound

    def _commit(self, shard: ObjectKey, change: OperationChange) -> CommitResult:
        return self._committer.commit(shard, change)

    def _make_nonce(self) -> Nonce:
        self._nonce_count += 1
        return Nonce(f"n{self._nonce_count}")
