"""Serve calls as a backend server would, in slots and with downstream calls."""

from dataclasses import dataclass, field

import gevent
import gevent.lock

from ..addresses import Address
from ..bodies import Body, Headers
from ..calls import Call
from ..clock import SystemClock
from ..http.client import ConnectionPool, make_call_sender
from ..http.messages import find_header
from ..http.server import HttpServer, Reply, Request
from ..ids import CallerId, RequestId, ServiceName
from ..local_dispatch import CONTEXT_TOKEN_HEADER, NOT_RUN_HEADER
from ..outcomes import Answered, Outcome
from ..retry_allowance import RetryAllowance

CHILD_CALL_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class ChildCall:
    """Describe a downstream call that a stand-in makes while it serves a call."""

    service: ServiceName
    target: str
    address: Address


@dataclass(slots=True)
class ServerPlan:
    """Configure the behaviour of a stand-in; times in seconds, sizes in bytes.

    While all slots are taken, further calls are rejected if `rejects_when_full` is
    set, and otherwise wait in an unbounded queue.
    """

    slots: int = 20
    service_time: float = 0.01
    answer_size: int = 64
    children: tuple[ChildCall, ...] = ()
    rejects_when_full: bool = True


@dataclass(slots=True)
class ServerRecord:
    """Count the calls of a stand-in; list the idempotency keys of those started."""

    started: int = 0
    refused: int = 0
    cancelled: int = 0
    idempotency_keys: list[str] = field(default_factory=list)


class ServerStandin:
    """Serve calls in a fixed number of slots, and make their downstream calls."""

    def __init__(self, address: Address, plan: ServerPlan) -> None:
        self.plan = plan
        self.record = ServerRecord()
        self._clock = SystemClock()
        self._pool = ConnectionPool()
        self._send = make_call_sender(self._pool, self._clock)
        self._slots = gevent.lock.BoundedSemaphore(plan.slots)
        self._server = HttpServer(address, self._handle)

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self._server.address

    def start(self) -> None:
        """Start accepting requests."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections; requests in progress continue."""
        self._server.stop_accepting()
        self._pool.close()

    def kill(self) -> None:
        """Close all connections immediately."""
        self._server.kill()
        self._pool.close()

    def _handle(self, request: Request) -> Reply:
        if not self._slots.acquire(blocking=not self.plan.rejects_when_full):
            self.record.refused += 1
            return _make_reply(503, b"", [(NOT_RUN_HEADER, b"full")])
        try:
            return self._serve(request)
        finally:
            self._slots.release()

    def _serve(self, request: Request) -> Reply:
        self.record.started += 1
        key = find_header(request.head.headers, b"idempotency-key")
        if key is not None:
            self.record.idempotency_keys.append(key)
        for _ in request.body:
            continue
        gevent.sleep(self.plan.service_time)
        for child in self.plan.children:
            if request.cancellation.cancelled:
                self.record.cancelled += 1
                return _make_reply(503, b"cancelled", [])
            outcome = self._call_child(request, child)
            if not isinstance(outcome, Answered) or outcome.status != 200:
                return _make_reply(503, b"child failed", [])
        return _make_reply(200, b"x" * self.plan.answer_size, [])

    def _call_child(self, request: Request, child: ChildCall) -> Outcome:
        token = find_header(request.head.headers, CONTEXT_TOKEN_HEADER) or ""
        headers: Headers = [
            (b"host", child.service.encode()),
            (CONTEXT_TOKEN_HEADER, token.encode()),
        ]
        now = self._clock.now()
        call = Call(
            RequestId(""),
            CallerId(""),
            child.service,
            "GET",
            child.target,
            headers,
            Body(),
            now,
            now + CHILD_CALL_TIMEOUT_SECONDS,
            RetryAllowance(0),
            cancellation=request.cancellation,
        )
        return self._send(child.address, call, lambda: headers)


def _make_reply(status: int, body: bytes, headers: Headers) -> Reply:
    # Internal headers are passed separately: those in the answer itself are removed.
    return Reply(Answered(status, [], Body(body)), headers, lambda whole: None)
