"""Send calls over kept-alive connections and tag how each ended."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import gevent.socket

from ..addresses import Address
from ..bodies import MAX_BUFFERED_BYTES, Body, Headers, IncompleteBodyError
from ..calls import Call
from ..clock import Clock, read_boot_time
from ..outcomes import Answered, NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from .channels import Channel
from .messages import (
    LAST_CHUNK,
    ConnectionClosedError,
    Head,
    MessageError,
    MessageReader,
    encode_head,
    find_header,
    frame_chunk,
    join_bare_head,
)
from .sockets import Peek

# Five times the way there and back between regions: a call whose node has gone has to
# have time left for another one.
CONNECT_TIMEOUT_SECONDS: Final = 0.3
STALL_SECONDS: Final = 15.0
IDLE_CONNECTIONS: Final = 32
# A connection that the peer may be about to close is not used again.
IDLE_SECONDS: Final = 30.0
KEEP_ALIVE_SHARE: Final = 0.7
# Answers to earlier requests that are passed over while one is awaited.
FOREIGN_ANSWERS: Final = 2
# Longest answer without a length that is held until its connection ends.
UNFRAMED_BYTES: Final = 8_388_608
# For so long after its last answer a connection is taken for sound unless an event on
# it was seen: peers forget idle connections after seconds, and the loop polls. Calls
# that may not be repeated look all the same: an end may have come since the last poll.
FRESH_SECONDS: Final = 0.1
# An answer that states no length may go on for so long after its call's deadline: as
# long as a stalled reader is waited for. One without end would never stop otherwise.
ENDLESS_SECONDS: Final = 5.0
# Makes a call's headers when a connection stands, since some tell what time is left.
MakeHeaders = Callable[[], Headers]
_BODILESS_METHODS: Final = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))


@dataclass(frozen=True, slots=True)
class ExchangeRules:
    """Say what a peer's answers look like; `grace` in seconds.

    `belongs` tells if an answer is that of the call. With `by_close` an answer
    without a length ends with its connection. An answer is awaited for `grace`
    longer than the call's deadline, which the peer keeps itself.
    """

    matches_call: Callable[[Call, Head], bool] = lambda call, head: True
    allow_close_delimited: bool = False
    grace: float = 0.0


DEFAULT_EXCHANGE_RULES: Final = ExchangeRules()


class Connection:
    """Hold one connection and its reader; moments in steady seconds."""

    __slots__ = ("channel", "reader", "expires", "used")

    def __init__(self, socket: Any) -> None:
        self.channel = Channel(socket)
        self.reader = MessageReader(self.channel, for_requests=False)
        self.expires = 0.0
        self.used = 0.0

    def is_stale(self, fresh_since: float) -> bool:
        """Tell if the server closed the connection or sent bytes unasked.

        One used after `fresh_since` is judged by what the loop has seen on it.
        """
        if self.channel.disturbed:
            return True
        if self.used > fresh_since:
            return False
        return self.channel.peek() is not Peek.QUIET

    def close(self) -> None:
        """Close the connection."""
        self.channel.close()


class ConnectionPool:
    """Keep idle connections to each address, newest first."""

    def __init__(self, max_idle: int = IDLE_CONNECTIONS) -> None:
        self._idle: dict[Address, list[Connection]] = {}
        self._idle_limit = max_idle

    def acquire(self, address: Address, repeatable: bool = False) -> Connection | None:
        """Return a fresh idle connection for a call, if there is one."""
        idle = self._idle.get(address)
        now = read_boot_time()
        fresh_since = now - FRESH_SECONDS if repeatable else now
        while idle:
            connection = idle.pop()
            if connection.expires > now and not connection.is_stale(fresh_since):
                return connection
            connection.close()
        return None

    def connect(self, address: Address, timeout: float) -> Connection:
        """Open a connection; raise `OSError`."""
        socket = gevent.socket.create_connection(
            (address.host, address.port), min(CONNECT_TIMEOUT_SECONDS, timeout)
        )
        return Connection(socket)

    def release(
        self,
        address: Address,
        connection: Connection,
        idle_seconds: float = IDLE_SECONDS,
    ) -> None:
        """Keep a connection for the next call, for so long at most."""
        idle = self._idle.setdefault(address, [])
        now = read_boot_time()
        connection.expires = now + idle_seconds
        connection.used = now
        # The oldest are used last: close those that have expired unused.
        while idle and idle[0].expires <= now:
            idle.pop(0).close()
        if len(idle) >= self._idle_limit:
            connection.close()
            return
        connection.reader.advance()
        connection.channel.rest()
        idle.append(connection)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)


class _Exchange:
    """Run one call over one connection."""

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Clock,
        rules: ExchangeRules,
        address: Address,
        call: Call,
        make_headers: MakeHeaders,
    ) -> None:
        self._rules = rules
        self._pool = pool
        self._clock = clock
        self._address = address
        self._call = call
        self._make_headers = make_headers
        self._handed_over = False
        self._foreign = False
        self._streamed = False
        self._connection: Connection | None = None

    def run(self) -> Outcome:
        call = self._call
        remaining = call.deadline - self._clock.now()
        if remaining <= 0:
            return NotRun(NotRunReason.DEADLINE)
        connection = self._pool.acquire(self._address, call.idempotent)
        if connection is None:
            try:
                connection = self._pool.connect(self._address, remaining)
            except OSError as error:
                return NotRun(NotRunReason.CONNECT_FAILED, str(error))
        self._connection = connection
        forget = call.cancellation.add(connection.channel.abort)
        try:
            outcome = self._exchange(connection)
        except TimeoutError:
            outcome = self._fail(UnknownReason.TIMEOUT, "no answer in time")
        except ConnectionClosedError as error:
            reason = (
                UnknownReason.TRUNCATED if error.mid_message else UnknownReason.RESET
            )
            outcome = self._fail(reason, str(error))
        except MessageError as error:
            outcome = self._fail(UnknownReason.BAD_ANSWER, str(error))
        except IncompleteBodyError as error:
            outcome = self._fail(UnknownReason.CANCELLED, str(error))
        except OSError as error:
            outcome = self._fail(UnknownReason.RESET, str(error))
        if not isinstance(outcome, Answered) or outcome.body.fully_buffered:
            forget()
        else:
            call.completion_callbacks.append(
                lambda fully_buffered: self._end_stream(connection, forget)
            )
        return outcome

    def _end_stream(self, connection: Connection, forget: Callable[[], None]) -> None:
        forget()
        if not self._streamed:
            # Nobody has read the answer to its end, or at all.
            connection.close()

    def _exchange(self, connection: Connection) -> Outcome:
        if self._call.cancellation.cancelled:
            connection.close()
            return NotRun(NotRunReason.CANCELLED)
        if self._call.deadline <= self._clock.now():
            # Connecting took what was left.
            self._pool.release(self._address, connection)
            return NotRun(NotRunReason.DEADLINE)
        self._send(connection)
        reader = connection.reader
        for _ in range(FOREIGN_ANSWERS + 1):
            connection.channel.limit(self._remaining())
            head = reader.read_head()
            if self._rules.matches_call(self._call, head):
                return self._receive(connection, head)
            self._skip_answer(connection)
        return self._fail(UnknownReason.BAD_ANSWER, "answers to other requests only")

    def _skip_answer(self, connection: Connection) -> None:
        # A second answer to an earlier request: it belongs to nobody here.
        self._foreign = True
        while not connection.reader.complete:
            connection.reader.read_body()
        connection.reader.advance()

    def _remaining(self) -> float:
        left = self._call.deadline + self._rules.grace - self._clock.now()
        return max(left, 0.001)

    def _send(self, connection: Connection) -> None:
        call = self._call
        body = call.body
        channel = connection.channel
        channel.limit(self._remaining())
        start = f"{call.method} {call.target} HTTP/1.1".encode("latin-1")
        headers = self._make_headers()
        if (
            body.fully_buffered
            and not body.buffered
            and call.method in _BODILESS_METHODS
        ):
            self._handed_over = True
            channel.send(join_bare_head(start, headers))
            return
        data = encode_head(start, headers, body.length)
        self._handed_over = True
        if body.fully_buffered:
            body.started = True
            channel.send(data + body.buffered)
            return
        try:
            self._stream(channel, data, body)
        except (BrokenPipeError, ConnectionResetError):
            # The server may have answered early; its answer is read next.
            return

    def _stream(self, channel: Channel, data: bytes, body: Body) -> None:
        # The deadline bounds the wait for an answer; a long upload is bounded
        # by its progress instead.
        span = self._remaining()
        channel.limit_stalls(STALL_SECONDS)
        channel.send(data)
        for piece in body:
            channel.send(frame_chunk(piece) if body.length is None else piece)
        if body.length is None:
            channel.send(LAST_CHUNK)
        self._call.deadline = max(self._call.deadline, self._clock.now() + span)

    def _receive(self, connection: Connection, head: Head) -> Outcome:
        reader = connection.reader
        if self._call.method == "HEAD":
            # The parser would wait for a body that a HEAD answer only announces.
            connection.close()
            return Answered(head.status, head.headers, Body(b""))
        if head.length is None and not head.chunked and not reader.complete:
            if not self._rules.allow_close_delimited:
                return self._fail(UnknownReason.UNFRAMED, "answer has no length")
            return self._receive_to_close(connection, head)
        first = reader.read_body(MAX_BUFFERED_BYTES)
        if reader.complete:
            self._release(connection, head)
            return Answered(head.status, head.headers, Body(first))
        rest = self._iterate(connection, head)
        return Answered(head.status, head.headers, Body(first, head.length, rest))

    def _receive_to_close(self, connection: Connection, head: Head) -> Outcome:
        pieces: list[bytes] = []
        try:
            while True:
                pieces.append(connection.reader.read_body(1))
                if sum(map(len, pieces)) > UNFRAMED_BYTES:
                    return self._fail(UnknownReason.UNFRAMED, "too long to hold")
        except ConnectionClosedError:
            connection.close()
        return Answered(head.status, head.headers, Body(b"".join(pieces)))

    def _iterate(self, connection: Connection, head: Head) -> Iterator[bytes]:
        done = False
        connection.channel.limit_stalls(STALL_SECONDS)
        last = self._call.deadline + ENDLESS_SECONDS
        try:
            for piece in connection.reader.iterate_rest():
                yield piece
                if head.length is None and self._clock.now() > last:
                    raise IncompleteBodyError("no end in sight after the deadline")
            done = True
        finally:
            self._streamed = True
            if done:
                self._release(connection, head)
            else:
                connection.close()

    def _release(self, connection: Connection, head: Head) -> None:
        idle_seconds = _read_idle_seconds(head)
        reusable = head.keep_alive and not connection.reader.has_next
        if reusable and not self._foreign and idle_seconds > 0:
            self._pool.release(self._address, connection, idle_seconds)
        else:
            connection.close()

    def _fail(self, reason: UnknownReason, detail: str) -> Outcome:
        assert self._connection is not None
        self._connection.close()
        if not self._handed_over:
            return NotRun(NotRunReason.CONNECT_FAILED, detail)
        if self._call.cancellation.cancelled:
            return Unknown(UnknownReason.CANCELLED, detail)
        return Unknown(reason, detail)


SendCall = Callable[[Address, Call, MakeHeaders], Outcome]


def make_call_sender(
    pool: ConnectionPool, clock: Clock, rules: ExchangeRules = DEFAULT_EXCHANGE_RULES
) -> SendCall:
    """Return a function that sends a call to an address and tags its outcome."""

    def send(address: Address, call: Call, make_headers: MakeHeaders) -> Outcome:
        return _Exchange(pool, clock, rules, address, call, make_headers).run()

    return send


def _read_idle_seconds(head: Head) -> float:
    text = find_header(head.headers, b"keep-alive")
    if text is None:
        return IDLE_SECONDS
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(IDLE_SECONDS, int(value) * KEEP_ALIVE_SHARE)
    return IDLE_SECONDS
