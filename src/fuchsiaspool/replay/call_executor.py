"""Execute calls on the simulated servers of a replay, with downstream calls."""

from ..bodies import Body
from ..calls import Call, CallHandler
from ..clock import Clock
from ..ids import CallerId, RequestId
from ..nested_calls import inherit_context
from ..outcomes import (
    NO_THRESHOLD,
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from ..retry_allowance import RetryAllowance
from ..trace_lines import CallTree
from .simulation import SimulatedServer, Simulation
from .tally import Tally

EMPTY_REQUEST_ID = RequestId("")
EMPTY_CALLER_ID = CallerId("")
HTTP_OK = 200
HTTP_SERVICE_UNAVAILABLE = 503


class CallExecutor:
    """Execute the calls that a node admits on its simulated backend server."""

    def __init__(
        self,
        simulation: Simulation,
        tally: Tally,
        server: SimulatedServer,
        outbound: CallHandler,
    ) -> None:
        self._simulation = simulation
        self._tally = tally
        self._clock = simulation.clock
        self._server = server
        self._outbound = outbound

    def dispatch(self, call: Call) -> Outcome:
        """Execute a call in a free slot, or reject it when there is none."""
        server = self._server
        tree = self._simulation.call_trees[(call.service, call.method, call.target)]
        if server.down:
            return NotRun(NotRunReason.CONNECT_FAILED)
        if server.busy >= server.slots:
            return NotRun(NotRunReason.SERVER_REFUSED)
        server.busy += 1
        try:
            return self._execute(tree, call)
        finally:
            server.busy -= 1

    def _execute(self, tree: CallTree, call: Call) -> Outcome:
        if call.protected and call.key is not None:
            self._tally.runs_by_key[call.key] += 1
        if not self._simulation.run_service_time(self._server, tree, call):
            if call.cancellation.cancelled:
                return Unknown(UnknownReason.CANCELLED)
            return Unknown(UnknownReason.RESET)
        status, threshold = HTTP_OK, NO_THRESHOLD
        outcomes = self._call_children(tree, call)
        for outcome in outcomes:
            threshold = min(threshold, outcome.threshold)
            if not isinstance(outcome, Answered) or outcome.status != HTTP_OK:
                status = HTTP_SERVICE_UNAVAILABLE
        if self._server.down:
            return Unknown(UnknownReason.RESET)
        body = Body()
        body.length = tree.answer_bytes
        return Answered(status, [], body, threshold=threshold)

    def _call_children(self, tree: CallTree, call: Call) -> list[Outcome]:
        outcomes: list[Outcome] = []
        if tree.parallel and len(tree.children) > 1:
            waiter = self._clock.make_waiter()

            def run_child(child: CallTree) -> None:
                outcomes.append(self._call_child(child, call))
                if len(outcomes) == len(tree.children):
                    waiter.notify()

            for child in tree.children:
                self._clock.spawn(run_child, child)
            waiter.wait()
            return outcomes
        for child in tree.children:
            outcome = self._call_child(child, call)
            outcomes.append(outcome)
            if not isinstance(outcome, Answered) or outcome.status != HTTP_OK:
                break
        return outcomes

    def _call_child(self, tree: CallTree, parent: Call) -> Outcome:
        remaining_seconds = parent.deadline - self._clock.now()
        call = make_call(self._clock, tree, remaining_seconds)
        lent_retries = inherit_context(call, parent)
        unsubscribe = parent.cancellation.add(call.cancellation.cancel)
        outcome = self._outbound(call)
        call.finish(True)
        unsubscribe()
        parent.retry_allowance.reclaim(lent_retries, call.retry_allowance.spent)
        return outcome


def make_call(clock: Clock, tree: CallTree, timeout_seconds: float) -> Call:
    """Make a call whose deadline is `timeout_seconds` from now."""
    now = clock.now()
    body = Body()
    body.length = tree.request_bytes
    return Call(
        EMPTY_REQUEST_ID,
        EMPTY_CALLER_ID,
        tree.service,
        tree.method,
        tree.target,
        [],
        body,
        now,
        now + timeout_seconds,
        RetryAllowance(0),
    )
