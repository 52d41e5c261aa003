"""Send calls over kept-alive connections and classify their outcomes."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import gevent.socket

from ..addresses import Address
from ..bodies import MAX_BUFFERED_BYTES, Body, Headers, IncompleteBodyError
from ..calls import Call
from ..clock import Clock, read_boot_time
from ..outcomes import Answered, NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from .buffer_budget import BufferBudget, Holding
from .channels import Channel
from .messages import (
    LAST_CHUNK,
    ConnectionClosedError,
    Head,
    MessageError,
    MessageReader,
    encode_bodiless_head,
    encode_chunk,
    encode_head,
    find_header,
)
from .sockets import CONNECT_TIMEOUT_SECONDS, PeekResult

STALL_TIMEOUT_SECONDS: Final = 15.0
MAX_IDLE_CONNECTIONS: Final = 32
# A connection idle for longer is not reused, because the peer may be about to close it.
MAX_IDLE_SECONDS: Final = 30.0
# Share of the timeout in the peer's keep-alive header for which a connection is reused.
KEEP_ALIVE_TIMEOUT_SHARE: Final = 0.7
# Sendings of one attempt to the same server follow each other closely.
MAX_REMEMBERED_ATTEMPTS: Final = 8
# Late answers to earlier requests that are skipped before the exchange fails.
MAX_MISMATCHED_ANSWERS: Final = 2
# An answer without a length is buffered whole until its connection closes.
MAX_CLOSE_DELIMITED_BYTES: Final = 8_388_608
# A connection used this recently is reused without peeking at the socket: peers close
# idle connections only after seconds, and the event loop reports a close. Calls that
# must not be retried peek anyway, as the peer may have closed since the last poll.
UNCHECKED_REUSE_SECONDS: Final = 0.1
# An answer of unstated length may continue for this long after the call's deadline,
# the same time as the server's stall timeout. Without a limit it might never end.
UNSIZED_ANSWER_GRACE_SECONDS: Final = 5.0
# Builds a call's headers once connected, because some state the time remaining.
MakeHeaders = Callable[[], Headers]
# Gets a call that is about to be sent, and a function that ends the wait for its answer
# with an outcome; returns a function to call when the wait is over.
TrackSent = Callable[[Call, Callable[[Outcome], None]], Callable[[], None]]
_METHODS_WITHOUT_BODY: Final = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))


class _ExchangeEndedError(Exception):
    """Signal that the wait for an answer was ended from outside."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__("ended from outside")
        self.outcome = outcome


def _track_nothing(call: Call, end: Callable[[Outcome], None]) -> Callable[[], None]:
    return lambda: None


@dataclass(frozen=True, slots=True)
class ExchangeRules:
    """Define how answers of a peer are matched, delimited and awaited.

    `matches_call` returns whether an answer is for the call, and `names_call` whether
    it says so; after one that does not, a connection is not used again, and on a
    connection that was used before, one that does not is skipped. With
    `allow_close_delimited` an answer without a length ends when the connection
    closes. The peer enforces the deadline itself, so an answer is awaited `grace`
    seconds beyond it. `track_sent` may end the wait sooner.
    """

    matches_call: Callable[[Call, Head], bool] = lambda call, head: True
    names_call: Callable[[Call, Head], bool] = lambda call, head: True
    allow_close_delimited: bool = False
    grace: float = 0.0
    track_sent: TrackSent = _track_nothing


DEFAULT_EXCHANGE_RULES: Final = ExchangeRules()


class Connection:
    """Represent one connection and its reader; times as of `read_boot_time`."""

    __slots__ = ("channel", "reader", "expires", "used_at", "attempts")

    def __init__(self, socket: Any) -> None:
        self.channel = Channel(socket)
        self.reader = MessageReader(self.channel, for_requests=False)
        self.expires = 0.0
        self.used_at = 0.0
        # The latest attempts that were sent; a second answer to one may still come.
        self.attempts: deque[str] = deque(maxlen=MAX_REMEMBERED_ATTEMPTS)

    def is_stale(self, peek_before: float) -> bool:
        """Return whether the server closed the connection or sent unexpected bytes.

        The socket is peeked at only if the connection was last used before
        `peek_before`; otherwise the events that the event loop has seen decide.
        """
        if self.channel.disturbed:
            return True
        if self.used_at > peek_before:
            return False
        return self.channel.peek() is not PeekResult.NO_DATA

    def close(self) -> None:
        """Close the connection, and drop what was received on it."""
        self.channel.close()
        self.reader.discard()


class ConnectionPool:
    """Pool idle connections by address; the newest is reused first."""

    def __init__(
        self,
        max_idle: int = MAX_IDLE_CONNECTIONS,
        budget: BufferBudget | None = None,
    ) -> None:
        self.budget = budget
        self._idle: dict[Address, list[Connection]] = {}
        self._max_idle = max_idle

    def acquire(
        self, address: Address, retryable: bool = False, attempt: str = ""
    ) -> Connection | None:
        """Return a usable idle connection, or `None`.

        A call that is `retryable` skips the peek at a recently used connection. One
        that `attempt` was sent on before is closed: a second copy of its first answer
        would be taken for the answer to the second sending.
        """
        idle = self._idle.get(address)
        now = read_boot_time()
        peek_before = now - UNCHECKED_REUSE_SECONDS if retryable else now
        while idle:
            connection = idle.pop()
            is_usable = connection.expires > now and attempt not in connection.attempts
            if is_usable and not connection.is_stale(peek_before):
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
        idle_seconds: float = MAX_IDLE_SECONDS,
    ) -> None:
        """Return a connection to the pool, for at most `idle_seconds`."""
        idle = self._idle.setdefault(address, [])
        now = read_boot_time()
        connection.expires = now + idle_seconds
        connection.used_at = now
        # The newest are reused first, so the oldest may expire unused.
        while idle and idle[0].expires <= now:
            idle.pop(0).close()
        if len(idle) >= self._max_idle:
            connection.close()
            return
        connection.reader.advance()
        connection.reader.holding = None
        connection.channel.mark_idle()
        connection.channel.watch_while_unread(
            lambda found: self._close_disturbed(address, connection)
        )
        idle.append(connection)

    def _close_disturbed(self, address: Address, connection: Connection) -> None:
        # Unread bytes would stay with the kernel for as long as it is idle.
        idle = self._idle.get(address, [])
        if connection in idle:
            idle.remove(connection)
            connection.close()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)


class _Exchange:
    """Represent the exchange of one call over one connection."""

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
        self._send_started = False
        self._skipped_answer = False
        self._stream_closed = False
        self._connection: Connection | None = None
        self._holding: Holding | None = None
        self._is_reused = False
        self._end_error: _ExchangeEndedError | None = None

    def run(self) -> Outcome:
        call = self._call
        remaining = call.deadline - self._clock.now()
        if remaining <= 0:
            return NotRun(NotRunReason.DEADLINE)
        connection = self._pool.acquire(self._address, call.idempotent, call.attempt)
        self._is_reused = connection is not None
        if connection is None:
            try:
                connection = self._pool.connect(self._address, remaining)
            except OSError as error:
                return NotRun(NotRunReason.CONNECT_FAILED, str(error))
        self._connection = connection
        if call.attempt:
            connection.attempts.append(call.attempt)
        if self._pool.budget is not None:
            self._holding = self._pool.budget.open(connection.channel.interrupt)
            connection.reader.holding = self._holding
        remove_abort = call.cancellation.add(connection.channel.abort)
        try:
            outcome = self._send_and_receive(connection)
        except _ExchangeEndedError as error:
            # What is still unsent must not arrive later.
            connection.channel.reset_on_close()
            connection.close()
            outcome = error.outcome
        except TimeoutError:
            outcome = self._close_with_failure(
                UnknownReason.TIMEOUT, "no answer in time"
            )
        except ConnectionClosedError as error:
            reason = (
                UnknownReason.TRUNCATED if error.mid_message else UnknownReason.RESET
            )
            outcome = self._close_with_failure(reason, str(error))
        except MessageError as error:
            outcome = self._close_with_failure(UnknownReason.BAD_ANSWER, str(error))
        except IncompleteBodyError as error:
            outcome = self._close_with_failure(UnknownReason.CANCELLED, str(error))
        except OSError as error:
            outcome = self._close_with_failure(UnknownReason.RESET, str(error))
        except BaseException:
            remove_abort()
            self._drop_holding()
            connection.close()
            raise
        if not isinstance(outcome, Answered):
            remove_abort()
            self._drop_holding()
        elif outcome.body.fully_buffered:
            remove_abort()
            self._keep_holding()
        else:
            call.completion_callbacks.append(
                lambda delivered: self._end_stream(connection, remove_abort)
            )
        return outcome

    def _end_stream(
        self, connection: Connection, remove_abort: Callable[[], None]
    ) -> None:
        remove_abort()
        self._drop_holding()
        if not self._stream_closed:
            # The body was not read to its end, or not at all.
            connection.close()

    def _keep_holding(self) -> None:
        # The answer is held until the caller has it.
        if self._holding is not None and self._holding.size:
            holding = self._holding
            holding.settle()
            self._call.completion_callbacks.append(lambda delivered: holding.close())

    def _drop_holding(self) -> None:
        if self._holding is not None:
            self._holding.close()

    def _send_and_receive(self, connection: Connection) -> Outcome:
        if self._call.cancellation.cancelled:
            connection.close()
            return NotRun(NotRunReason.CANCELLED)
        if self._call.deadline <= self._clock.now():
            # Connecting used up the remaining time.
            self._pool.release(self._address, connection)
            return NotRun(NotRunReason.DEADLINE)
        # Before the first byte, as the other end may begin the call before the last.
        stop_tracking = self._rules.track_sent(
            self._call, lambda outcome: self._end_wait(connection, outcome)
        )
        try:
            self._send(connection)
            return self._receive_answer(connection)
        finally:
            stop_tracking()
            if self._end_error is not None:
                # The answer came at the same moment; its body is still to be read.
                connection.channel.withdraw_interruption(self._end_error)

    def _end_wait(self, connection: Connection, outcome: Outcome) -> None:
        self._end_error = _ExchangeEndedError(outcome)
        connection.channel.interrupt(self._end_error)

    def _receive_answer(self, connection: Connection) -> Outcome:
        reader = connection.reader
        for _ in range(MAX_MISMATCHED_ANSWERS + 1):
            connection.channel.set_timeout(self._calculate_remaining())
            head = reader.read_head()
            if self._is_answer(head):
                return self._receive(connection, head)
            self._skip_answer(connection)
        return self._close_with_failure(
            UnknownReason.BAD_ANSWER, "answers to other requests only"
        )

    def _is_answer(self, head: Head) -> bool:
        if not self._rules.matches_call(self._call, head):
            return False
        # Earlier answers on this connection named their calls, so this one is extra.
        return not self._is_reused or self._rules.names_call(self._call, head)

    def _skip_answer(self, connection: Connection) -> None:
        # A second answer to an earlier request: no caller waits for it any more.
        self._skipped_answer = True
        while not connection.reader.complete:
            connection.reader.read_body()
        connection.reader.advance()

    def _calculate_remaining(self) -> float:
        remaining = self._call.deadline + self._rules.grace - self._clock.now()
        return max(remaining, 0.001)

    def _send(self, connection: Connection) -> None:
        call = self._call
        body = call.body
        channel = connection.channel
        channel.set_timeout(self._calculate_remaining())
        start = f"{call.method} {call.target} HTTP/1.1".encode("latin-1")
        headers = self._make_headers()
        if (
            body.fully_buffered
            and not body.buffered
            and call.method in _METHODS_WITHOUT_BODY
        ):
            self._send_started = True
            channel.send(encode_bodiless_head(start, headers))
            return
        data = encode_head(start, headers, body.length)
        self._send_started = True
        if body.fully_buffered:
            body.started = True
            channel.send(data + body.buffered)
            return
        try:
            self._stream_body(channel, data, body)
        except (BrokenPipeError, ConnectionResetError):
            # The server may have answered before reading the whole request. That
            # answer is read next.
            return

    def _stream_body(self, channel: Channel, data: bytes, body: Body) -> None:
        # The deadline bounds the wait for the answer. An upload may take longer, and
        # is bounded by the stall timeout instead.
        remaining = self._calculate_remaining()
        channel.set_stall_timeout(STALL_TIMEOUT_SECONDS)
        channel.send(data)
        for piece in body:
            channel.send(encode_chunk(piece) if body.length is None else piece)
        if body.length is None:
            channel.send(LAST_CHUNK)
        self._call.deadline = max(self._call.deadline, self._clock.now() + remaining)

    def _receive(self, connection: Connection, head: Head) -> Outcome:
        reader = connection.reader
        if self._call.method == "HEAD":
            # An answer to HEAD states a length but has no body; the parser would wait.
            connection.close()
            return Answered(head.status, head.headers, Body(b""))
        if head.length is None and not head.chunked and not reader.complete:
            if not self._rules.allow_close_delimited:
                return self._close_with_failure(
                    UnknownReason.UNFRAMED, "answer has no length"
                )
            return self._receive_until_close(connection, head)
        first = reader.read_body(MAX_BUFFERED_BYTES)
        if reader.complete:
            self._release_connection(connection, head)
            return Answered(head.status, head.headers, Body(first))
        rest = self._iterate_body(connection, head)
        return Answered(head.status, head.headers, Body(first, head.length, rest))

    def _receive_until_close(self, connection: Connection, head: Head) -> Outcome:
        reader = connection.reader
        try:
            reader.receive_body(MAX_CLOSE_DELIMITED_BYTES)
        except ConnectionClosedError:
            body = Body(reader.take_body())
            connection.close()
            return Answered(head.status, head.headers, body)
        return self._close_with_failure(UnknownReason.UNFRAMED, "too long to hold")

    def _iterate_body(self, connection: Connection, head: Head) -> Iterator[bytes]:
        complete = False
        connection.channel.set_stall_timeout(STALL_TIMEOUT_SECONDS)
        latest_end = self._call.deadline + UNSIZED_ANSWER_GRACE_SECONDS
        try:
            for piece in connection.reader.iterate_rest():
                yield piece
                if head.length is None and self._clock.now() > latest_end:
                    raise IncompleteBodyError("no end in sight after the deadline")
            complete = True
        finally:
            self._stream_closed = True
            if complete:
                self._release_connection(connection, head)
            else:
                connection.close()

    def _release_connection(self, connection: Connection, head: Head) -> None:
        idle_seconds = _read_idle_seconds(head)
        reusable = head.keep_alive and not connection.reader.has_next
        reusable = reusable and self._rules.names_call(self._call, head)
        if reusable and not self._skipped_answer and idle_seconds > 0:
            self._pool.release(self._address, connection, idle_seconds)
        else:
            connection.close()

    def _close_with_failure(self, reason: UnknownReason, detail: str) -> Outcome:
        assert self._connection is not None
        self._connection.close()
        if not self._send_started:
            return NotRun(NotRunReason.CONNECT_FAILED, detail)
        if self._call.cancellation.cancelled:
            return Unknown(UnknownReason.CANCELLED, detail)
        return Unknown(reason, detail)


SendCall = Callable[[Address, Call, MakeHeaders], Outcome]


def make_call_sender(
    pool: ConnectionPool, clock: Clock, rules: ExchangeRules = DEFAULT_EXCHANGE_RULES
) -> SendCall:
    """Return a function that sends a call to an address and returns its outcome."""

    def send(address: Address, call: Call, make_headers: MakeHeaders) -> Outcome:
        return _Exchange(pool, clock, rules, address, call, make_headers).run()

    return send


def _read_idle_seconds(head: Head) -> float:
    text = find_header(head.headers, b"keep-alive")
    if text is None:
        return MAX_IDLE_SECONDS
    for parameter in text.split(","):
        name, _, value = parameter.strip().partition("=")
        # A float may have any number of digits, an int may not.
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return min(MAX_IDLE_SECONDS, float(value) * KEEP_ALIVE_TIMEOUT_SHARE)
    return MAX_IDLE_SECONDS
