"""Serve a replay with the filter chain and controllers as shipped."""

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
from .backends import HTTP_OK, Backend, make_call
from .system import Submission
from .tally import Ending, Tally
from .world import MILLI, Server, World

CONNECT_SECONDS = 1.0
# What heartbeats among peers take, by their own tests.
NEWS_SECONDS = 0.5
CRASH_OUT_SECONDS = 6.0


class SimNode:
    """Hold one node's core beside its server."""

    def __init__(self, treatment: "Treatment", server: Server) -> None:
        self.server = server
        self.core: Core = treatment.build(self)

    @property
    def member(self) -> Member:
        """Return the record that others hold of it."""
        server = self.server
        state = MemberState.LEAVING if server.leaving else MemberState.ALIVE
        place = self.core.place
        return Member(
            place.node,
            place.service,
            place.data_centre,
            place.region,
            "",
            "",
            Incarnation(server.life),
            state,
        )


class Treatment:
    """Run one node beside each server of a world."""

    name = "fuchsiaspool"

    def __init__(self, world: World, tally: Tally, policy: Policy) -> None:
        self._world = world
        self._clock = world.clock
        self._tally = tally
        self._policy = policy
        self._nonces = 0
        delay = world.trace.link.platform_ms / MILLI
        platform = make_memory_store(
            self._clock, ObjectStore(), delay, lambda: world.platform_down
        )
        self._answers = make_answer_store(self._clock, platform)
        owner = NodeId("owner")
        self._committer = GroupCommitter(self._clock, owner, platform, self._nonce)
        self._nodes = {
            server.node: SimNode(self, server) for server in world.servers.values()
        }
        for node in self._nodes.values():
            for other in self._nodes.values():
                node.core.members.merge(other.member)
            node.core.policies.put(policy)

    def build(self, node: SimNode) -> Core:
        """Build the core of one node."""
        server = node.server
        claims = ClaimManager(
            self._clock, server.node, self._commit, self._nonce, self._answers
        )
        region = self._world.trace.centres[server.centre]
        place = NodeLocation(server.node, server.service, server.centre, region)
        backend = Backend(
            self._world, self._tally, server, lambda call: node.core.outbound(call)
        )
        return build_core(
            CoreDependencies(
                self._clock,
                place,
                self._world.chance,
                backend.dispatch,
                lambda member, call: self._forward(node, member, call),
                lambda: NotRunReason.LEAVING if server.leaving else None,
                make_claim_filter(self._clock, claims),
            )
        )

    def submit(self, submission: Submission) -> Ending:
        """Serve one attempt; block until its caller has its ending."""
        arrival, world = submission.arrival, self._world
        tree = arrival.operation.tree
        call = make_call(self._clock, tree, arrival.deadline)
        call.request = arrival.request
        call.caller = arrival.caller
        call.key = arrival.key
        call.external = True
        call.resend = submission.attempt > 0
        runs = self._tally.runs[call.key] if call.key is not None else 0
        client = world.trace.link.client_ms / MILLI
        entry = self._nodes[submission.entry.node]
        outcome = self._exchange(entry, call, client)
        retries = call.retry_allowance.spent
        self._tally.attempts += retries
        self._tally.most_retries = max(self._tally.most_retries, retries)
        if isinstance(outcome, NotRun):
            if call.key is not None and self._tally.runs[call.key] > runs:
                self._tally.false_not_run += 1
            return Ending.SHED
        if isinstance(outcome, Unknown):
            return Ending.UNKNOWN
        return Ending.WHOLE if outcome.status == HTTP_OK else Ending.FAILED

    def notice(self, event: EventLine, servers: list[Server], begins: bool) -> None:
        """Let servers crash, drain or come back, and let the news travel."""
        for server in servers:
            if event.what is EventKind.COLD_START:
                server.cold_left = server.line.cold_answers
            elif not begins:
                server.start()
                self._tell(server, NEWS_SECONDS)
            elif event.what is EventKind.CRASH:
                server.crash()
                self._tell(server, CRASH_OUT_SECONDS)
            else:
                server.leaving = True
                self._tell(server, NEWS_SECONDS)

    def _tell(self, server: Server, seconds: float) -> None:
        member = self._nodes[server.node].member
        if server.down:
            member = msgspec.structs.replace(member, state=MemberState.DEAD)

        def tell() -> None:
            for node in self._nodes.values():
                if not self._world.is_cut(node.server.centre, server.centre):
                    node.core.members.merge(member)

        self._clock.call_later(seconds, tell)

    def _exchange(self, entry: SimNode, call: Call, delay: float) -> Outcome:
        """Carry a caller's request to its entry and the answer back."""
        answer: list[Outcome] = []
        waiter = self._clock.make_waiter()

        def run() -> None:
            self._clock.sleep(delay)
            outcome = entry.core.outbound(call)
            call.finish(True)
            self._clock.sleep(delay)
            answer.append(outcome)
            waiter.notify()

        self._clock.spawn(run)
        waiter.wait(call.deadline - self._clock.now())
        if answer:
            return answer[0]
        call.cancellation.cancel()
        return Unknown(UnknownReason.TIMEOUT)

    def _forward(self, node: SimNode, member: Member, call: Call) -> Outcome:
        target = self._nodes[member.node]
        here, there = node.server.centre, target.server.centre
        lent = call.retry_allowance.lend()
        if self._world.is_cut(here, there) or target.server.down:
            wait = CONNECT_SECONDS
            if target.server.down and not self._world.is_cut(here, there):
                wait = 2 * self._world.find_delay(here, there)
            self._clock.sleep(min(wait, max(0.0, call.deadline - self._clock.now())))
            call.retry_allowance.reclaim(lent, 0)
            return NotRun(NotRunReason.CONNECT_FAILED)
        inbound = self._relay(call, lent)
        answer: list[Outcome] = []
        waiter = self._clock.make_waiter()
        self._clock.spawn(self._carry, node, target, inbound, answer, waiter)
        forget = call.cancellation.add(waiter.notify)
        waiter.wait(call.deadline - self._clock.now())
        forget()
        if not answer:
            # The peer sees the connection close, and stops its own work.
            inbound.cancellation.cancel()
            if call.cancellation.cancelled:
                return Unknown(UnknownReason.CANCELLED)
            return Unknown(UnknownReason.TIMEOUT)
        call.retry_allowance.reclaim(lent, inbound.retry_allowance.spent)
        return answer[0]

    def _carry(
        self,
        node: SimNode,
        target: SimNode,
        call: Call,
        answer: list[Outcome],
        waiter: Waiter,
    ) -> None:
        here, there = node.server.centre, target.server.centre
        size = call.body.length or 0
        self._clock.sleep(self._world.transfer(here, there, size))
        outcome = target.core.inbound(call)
        call.finish(True)
        size = 0
        if isinstance(outcome, Answered):
            size = outcome.body.length or 0
        self._clock.sleep(self._world.transfer(there, here, size))
        if not self._world.is_cut(here, there):
            answer.append(outcome)
            waiter.notify()

    def _relay(self, call: Call, lent: int) -> Call:
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
            RetryAllowance(lent),
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

    def _nonce(self) -> Nonce:
        self._nonces += 1
        return Nonce(f"n{self._nonces}")
