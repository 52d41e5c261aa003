"""Send calls at a set rate, whether answers come or not, and judge each answer."""

import random
import uuid
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import gevent

from .addresses import Address
from .bodies import Body, Headers, IncompleteBodyError
from .calls import Call
from .clock import SystemClock
from .controllers.histograms import make_histogram
from .http.client import ConnectionPool, make_call_sender
from .http.messages import find_header
from .ids import CallerId, RequestId, ServiceName
from .mesh import OUTCOME_HEADER
from .operations.keys import make_key
from .outcomes import Answered, NotRun, Outcome
from .retry_allowance import RetryAllowance

HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class RequestShape:
    """Describe one kind of request: its name, weight and line."""

    name: str
    weight: float
    method: str
    target: str
    protected: bool = False


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Say what to send, at how many requests a second, for how long."""

    addresses: Sequence[Address]
    shapes: Sequence[RequestShape]
    rate: float
    seconds: float
    timeout: float = 1.0
    caller_resends: int = 0
    seed: int = 1


@dataclass(slots=True)
class LoadReport:
    """Count requests by how they ended, and by the second they began in."""

    offered: Counter[str] = field(default_factory=Counter)
    whole: Counter[str] = field(default_factory=Counter)
    shed: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    whole_by_second: Counter[int] = field(default_factory=Counter)
    offered_by_second: Counter[int] = field(default_factory=Counter)
    rejected_keys: set[str] = field(default_factory=set)
    wrong_size_answers: int = 0
    latency: object = field(default_factory=make_histogram)


class OpenLoadGenerator:
    """Send an open load; latencies count from when a request was due."""

    def __init__(
        self,
        plan: LoadPlan,
        answer_size: int | None = None,
        get_addresses: Callable[[], Sequence[Address]] | None = None,
    ) -> None:
        self.report = LoadReport()
        self._plan = plan
        self._answer_size = answer_size
        self._get_addresses = get_addresses or (lambda: plan.addresses)
        self._clock = SystemClock()
        self._pool = ConnectionPool(max_idle=256)
        self._send = make_call_sender(self._pool, self._clock)
        self._chance = random.Random(plan.seed)
        self.rate = plan.rate

    def run(self) -> LoadReport:
        """Send for the planned time and wait for the last answers."""
        start = self._clock.now()
        due = start
        running = []
        while due < start + self._plan.seconds:
            due += self._chance.expovariate(self.rate)
            gevent.sleep(max(0.0, due - self._clock.now()))
            shape = self._choose_shape()
            running.append(gevent.spawn(self._request, shape, due, due - start))
            if len(running) > 1000:
                running = [task for task in running if not task.dead]
        gevent.joinall(running, timeout=self._plan.timeout * 5)
        self._pool.close()
        return self.report

    def _choose_shape(self) -> RequestShape:
        shapes = self._plan.shapes
        return self._chance.choices(shapes, [s.weight for s in shapes])[0]

    def _request(self, shape: RequestShape, due: float, second: float) -> None:
        report = self.report
        report.offered[shape.name] += 1
        report.offered_by_second[int(second)] += 1
        key = ""
        if shape.protected:
            key = make_key(self._clock.wall(), self._chance.getrandbits(74))
        for attempt in range(self._plan.caller_resends + 1):
            if attempt:
                gevent.sleep(0.1 * 2**attempt * self._chance.uniform(0.5, 1.5))
            outcome = self._attempt(shape, key, attempt)
            if _is_whole(outcome):
                break
        self._judge(shape, key, outcome, due, second)

    def _attempt(self, shape: RequestShape, key: str, attempt: int) -> Outcome:
        address = self._chance.choice(list(self._get_addresses()))
        headers: Headers = [
            (b"host", str(address).encode()),
            (b"x-caller-id", b"kitchen-%d" % self._chance.randrange(20)),
            (b"x-timeout-ms", b"%d" % int(self._plan.timeout * 1000)),
            (b"x-request-attempt", b"%d" % (attempt + 1)),
        ]
        if key:
            headers.append((b"idempotency-key", key.encode()))
        now = self._clock.now()
        call = Call(
            RequestId(uuid.uuid4().hex),
            CallerId(""),
            ServiceName(""),
            shape.method,
            shape.target,
            headers,
            Body(),
            now,
            now + self._plan.timeout,
            RetryAllowance(0),
        )
        outcome = self._send(address, call, lambda: headers)
        call.finish(True)
        return outcome

    def _judge(
        self, shape: RequestShape, key: str, outcome: Outcome, due: float, second: float
    ) -> None:
        report = self.report
        if not _is_whole(outcome):
            refused = _is_refusal(outcome)
            (report.shed if refused else report.failed)[shape.name] += 1
            if refused and key:
                report.rejected_keys.add(key)
            return
        assert isinstance(outcome, Answered)
        try:
            size = sum(map(len, outcome.body))
        except IncompleteBodyError:
            report.failed[shape.name] += 1
            return
        if self._answer_size is not None and size != self._answer_size:
            report.wrong_size_answers += 1
        report.whole[shape.name] += 1
        report.whole_by_second[int(second)] += 1
        latency = max(1, int((self._clock.now() - due) * 1e6))
        report.latency.record_value(latency)  # type: ignore[attr-defined]


def _is_whole(outcome: Outcome) -> bool:
    return isinstance(outcome, Answered) and outcome.status == HTTP_OK


def _is_refusal(outcome: Outcome) -> bool:
    if isinstance(outcome, Answered):
        return find_header(outcome.headers, OUTCOME_HEADER) == "not-run"
    return isinstance(outcome, NotRun)
