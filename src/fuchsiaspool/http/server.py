"""Serve HTTP connections and send each outcome to its caller."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

import gevent
import gevent.socket
import msgspec
from gevent.server import StreamServer

from ..addresses import Address
from ..bodies import MAX_BUFFERED_BYTES, Body, Headers, IncompleteBodyError
from ..calls import Cancellation
from ..outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from .answer_format import DEFAULT_ANSWER_FORMAT, AnswerFormat
from .buffer_budget import BufferBudget
from .channels import Channel
from .messages import (
    DEFAULT_HEADER_LIMITS,
    LAST_CHUNK,
    RECEIVE_BUFFER_BYTES,
    BufferLimitError,
    ConnectionClosedError,
    Head,
    HeaderLimits,
    HeaderTooLargeError,
    MessageError,
    MessageReader,
    encode_bodiless_head,
    encode_chunk,
    encode_head,
)
from .sockets import PeekResult

_LOG = logging.getLogger(__name__)
HEADER_TIMEOUT_SECONDS: Final = 5.0
STALL_TIMEOUT_SECONDS: Final = 5.0
BODY_TIMEOUT_SECONDS: Final = 30.0
# Wait for the first byte on a connection still open once the listener has closed: its
# caller has usually sent it already.
CLOSED_LISTENER_IDLE_TIMEOUT_SECONDS: Final = 0.5
# Bounds on what is read and dropped after the last answer on a connection.
LINGER_SECONDS: Final = 1.0
MAX_LINGER_BYTES: Final = 8_388_608
# Pause between checks whether the caller of an unfinished upload has left.
CLOSE_CHECK_SECONDS: Final = 0.2
_REASON_PHRASES: Final = {s.value: s.phrase.encode() for s in HTTPStatus}


@dataclass(slots=True)
class Request:
    """Represent a request received on a connection."""

    head: Head
    body: Body
    peer_ip: str
    cancellation: Cancellation


@dataclass(slots=True)
class Reply:
    """Represent a reply: an outcome, extra headers and a callback for its end.

    `finish` is called with whether the whole answer was sent.
    """

    outcome: Outcome
    headers: Headers
    finish: Callable[[bool], None]


RequestHandler = Callable[[Request], Reply]


@dataclass(frozen=True, slots=True)
class CloseSummary:
    """Count the connections that a server found when it stopped listening.

    accepted: taken from the kernel's queue at that moment
    idle: closed, as no request had arrived
    unread: kept, as a request had arrived but was not read yet
    """

    accepted: int = 0
    idle: int = 0
    unread: int = 0


class ErrorBody(msgspec.Struct, frozen=True):
    """Represent the JSON body that reports a not-run or unknown outcome."""

    outcome: str
    reason: str
    detail: str = ""


class HttpServer:
    """Accept connections on one address and pass each request to a handler."""

    def __init__(
        self,
        address: Address,
        handle: RequestHandler,
        max_connections: int = 4096,
        answer_format: AnswerFormat = DEFAULT_ANSWER_FORMAT,
        budget: BufferBudget | None = None,
        get_header_limits: Callable[[], HeaderLimits] = lambda: DEFAULT_HEADER_LIMITS,
    ) -> None:
        self._handle = handle
        self._get_header_limits = get_header_limits
        self._budget = budget
        self._answer_format = answer_format
        self._server = StreamServer(
            (address.host, address.port),
            self._serve,
            spawn=max_connections,
            backlog=1024,
        )
        # Connections on which no request has arrived since their last answer, and those
        # on which none has arrived yet.
        self._idle_channels: set[Channel] = set()
        self._new_channels: set[Channel] = set()
        self._uploading_channels: set[Channel] = set()
        self._keep_alive_disabled = False
        self._listener_closed = False

    def start(self) -> None:
        """Bind the address and accept connections."""
        self._server.start()

    @property
    def address(self) -> Address:
        """Return the bound address."""
        host, port = self._server.address[:2]
        return Address(host, port)

    @property
    def open_connections(self) -> int:
        """Return the number of connections, with and without a request."""
        return len(self._server.pool)

    def disable_keep_alive(self) -> None:
        """Close each connection after its next answer.

        A later stop then finds fewer idle connections to close, on which a request
        may just be arriving.
        """
        self._keep_alive_disabled = True

    def replace_handler(self, handle: RequestHandler) -> None:
        """Pass the requests that are complete from now on to another handler."""
        self._handle = handle

    def interrupt_uploads(self) -> None:
        """End the requests that a handler has begun and that are not complete yet."""
        for channel in self._uploading_channels:
            channel.interrupt(IncompleteBodyError("not complete in time for a stop"))

    def stop_accepting(self) -> CloseSummary:
        """Stop listening and close idle connections; running requests continue.

        Every connection ends after its next answer: once `open_connections` is zero,
        the process may exit. A connection ends without a request after
        `CLOSED_LISTENER_IDLE_TIMEOUT_SECONDS`, or, if its head has begun, after
        `HEADER_TIMEOUT_SECONDS`. A caller that does not read its answer is cut off
        after `STALL_TIMEOUT_SECONDS`.
        """
        self._keep_alive_disabled = True
        self._listener_closed = True
        self._server.stop_accepting()
        idle = unread = 0
        for channel in list(self._idle_channels):
            # A request that has arrived but was not read yet is still served.
            if channel.peek() is PeekResult.DATA:
                unread += 1
                continue
            idle += 1
            self._idle_channels.discard(channel)
            channel.abort()
        accepted = self._accept_waiting()
        self._server.close()
        for channel in self._new_channels | self._idle_channels:
            channel.set_timeout(CLOSED_LISTENER_IDLE_TIMEOUT_SECONDS)
        return CloseSummary(accepted, idle, unread)

    def _accept_waiting(self) -> int:
        # Closing the listener resets the connections in the kernel's accept queue,
        # even those that have already sent a request.
        count = 0
        if self._server.closed:
            return count
        try:
            # With all places taken, serving one more would wait for a free place.
            while (
                not self._server.full()
                and (accepted := self._server.do_read()) is not None
            ):
                self._server.do_handle(*accepted)
                count += 1
        except OSError as error:
            # Without a free descriptor, for example, a stop goes on all the same.
            _LOG.warning("not all connections accepted", extra={"detail": str(error)})
        return count

    def kill(self) -> None:
        """Stop listening and close every connection immediately."""
        self._keep_alive_disabled = True
        self._listener_closed = True
        self._server.stop(timeout=0)

    def _serve(self, socket: Any, peer_address: tuple[str, int]) -> None:
        channel = Channel(socket)
        reader = MessageReader(channel, for_requests=True)
        self._new_channels.add(channel)
        try:
            while self._serve_one(channel, reader, peer_address[0]):
                reader.advance()
            if not reader.complete or channel.peek() is PeekResult.DATA:
                _linger(channel)
        except (ConnectionClosedError, IncompleteBodyError, OSError):
            return
        finally:
            self._new_channels.discard(channel)
            channel.close()
            reader.discard()

    def _serve_one(self, channel: Channel, reader: MessageReader, peer_ip: str) -> bool:
        reader.header_limits = self._get_header_limits()
        if self._budget is None:
            return self._receive_and_answer(channel, reader, peer_ip)
        holding = reader.holding = self._budget.open(channel.interrupt)
        try:
            return self._receive_and_answer(channel, reader, peer_ip)
        finally:
            holding.close()
            channel.clear_interruption()

    def _receive_and_answer(
        self, channel: Channel, reader: MessageReader, peer_ip: str
    ) -> bool:
        try:
            head = self._await_head(channel, reader)
        except BufferLimitError as error:
            self._reject(channel, NotRunReason.OUT_OF_MEMORY, str(error))
            return False
        except HeaderTooLargeError as error:
            self._reject(channel, NotRunReason.HEADER_TOO_LARGE, str(error))
            return False
        except MessageError as error:
            self._reject(channel, NotRunReason.BAD_REQUEST, str(error))
            return False
        channel.set_stall_timeout(STALL_TIMEOUT_SECONDS)
        try:
            body = self._read_body(channel, reader, head)
        except TimeoutError:
            self._reject(channel, NotRunReason.BODY_STALLED, "body stalled")
            return False
        except BufferLimitError as error:
            self._reject(channel, NotRunReason.OUT_OF_MEMORY, str(error))
            return False
        except MessageError as error:
            self._reject(channel, NotRunReason.BAD_REQUEST, str(error))
            return False
        if reader.complete and reader.holding is not None:
            reader.holding.settle()
        request = Request(head, body, peer_ip, Cancellation())
        if reader.complete:
            return self._answer(channel, reader, request)
        self._uploading_channels.add(channel)
        closing = gevent.spawn(_cancel_once_closed, channel, request.cancellation)
        try:
            return self._answer(channel, reader, request)
        finally:
            self._uploading_channels.discard(channel)
            closing.kill(block=False)

    def _await_head(self, channel: Channel, reader: MessageReader) -> Head:
        if not reader.has_started:
            self._await_first_byte(channel, reader)
        if not reader.complete:
            # Replaces the idle timeout, which may be nearly over or much longer.
            channel.set_timeout(HEADER_TIMEOUT_SECONDS)
        return reader.read_head()

    def _await_first_byte(self, channel: Channel, reader: MessageReader) -> None:
        is_new = channel in self._new_channels
        if not is_new:
            self._idle_channels.add(channel)
        try:
            channel.set_timeout(self._find_idle_timeout())
            # Empty lines before a request begin none.
            while not reader.has_started:
                reader.receive()
            if not is_new and channel not in self._idle_channels:
                # The request arrived while the idle connection was being closed, so
                # its answer could not be sent.
                raise ConnectionClosedError(mid_message=False)
        finally:
            self._new_channels.discard(channel)
            self._idle_channels.discard(channel)

    def _find_idle_timeout(self) -> float:
        idle_timeout = self._answer_format.get_idle_timeout()
        if not self._listener_closed:
            return idle_timeout
        return min(idle_timeout, CLOSED_LISTENER_IDLE_TIMEOUT_SECONDS)

    def _read_body(self, channel: Channel, reader: MessageReader, head: Head) -> Body:
        if reader.complete:
            return Body(reader.read_body())
        for name, value in head.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                channel.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        with gevent.Timeout(BODY_TIMEOUT_SECONDS, TimeoutError("body stalled")):
            first = reader.read_body(MAX_BUFFERED_BYTES)
        if reader.complete:
            return Body(first)
        return Body(first, head.length, reader.iterate_rest())

    def _answer(
        self, channel: Channel, reader: MessageReader, request: Request
    ) -> bool:
        if request.body.fully_buffered and not reader.has_next:
            channel.watch_while_unread(_make_cancel_on_close(request.cancellation))
        reply = None
        delivered = False
        try:
            try:
                reply = self._handle(request)
                channel.stop_watching()
                keep_alive = (
                    request.head.keep_alive
                    and reader.complete
                    # A pipelined request that was read still gets its answer.
                    and (not self._keep_alive_disabled or reader.has_next)
                )
                is_chunked = request.head.knows_chunks
                if not is_chunked and _has_unknown_length(reply):
                    # Only the close can end this answer.
                    keep_alive = False
                data, stream = _encode_reply(
                    request.head.method,
                    reply,
                    keep_alive,
                    self._answer_format,
                    is_chunked,
                )
            except Exception:
                # Nothing has been sent to the caller yet, but the server may have run
                # the request.
                _LOG.exception("request failed")
                outcome = Unknown(UnknownReason.RESET, "internal error")
                self._send_error(channel, request.head.method, outcome)
                return False
            delivered = _send(channel, data, stream, is_chunked)
            return keep_alive and delivered
        finally:
            channel.stop_watching()
            if reply is not None:
                reply.finish(delivered)

    def _reject(self, channel: Channel, reason: NotRunReason, detail: str) -> None:
        _LOG.info("request refused", extra={"reason": reason.value, "detail": detail})
        self._send_error(channel, "GET", NotRun(reason, detail))

    def _send_error(self, channel: Channel, method: str, outcome: Outcome) -> None:
        reply = Reply(outcome, [], lambda delivered: None)
        _send(channel, *_encode_reply(method, reply, False, self._answer_format))


def _linger(channel: Channel) -> None:
    # Closing a socket with unread bytes resets the connection, which destroys the end
    # of an answer that the caller has not received yet.
    channel.end_sending()
    channel.set_timeout(LINGER_SECONDS)
    dropped_bytes = 0
    while dropped_bytes < MAX_LINGER_BYTES:
        data = channel.recv(RECEIVE_BUFFER_BYTES)
        if not data:
            return
        dropped_bytes += len(data)


def _cancel_once_closed(channel: Channel, cancellation: Cancellation) -> None:
    # While a body is unread, no read event tells of the close behind it.
    while not channel.has_peer_closed():
        gevent.sleep(CLOSE_CHECK_SECONDS)
    cancellation.cancel()


def _make_cancel_on_close(cancellation: Cancellation) -> Callable[[PeekResult], None]:
    def cancel_on_close(result: PeekResult) -> None:
        if result is PeekResult.CLOSED:
            cancellation.cancel()

    return cancel_on_close


def _has_unknown_length(reply: Reply) -> bool:
    outcome = reply.outcome
    return isinstance(outcome, Answered) and outcome.body.length is None


def _encode_reply(
    method: str,
    reply: Reply,
    keep_alive: bool,
    answer_format: AnswerFormat,
    is_chunked: bool = True,
) -> tuple[bytes, Body | None]:
    """Return the first bytes of an answer, and its body if that is not among them.

    A body of unknown length ends with the connection unless `is_chunked` is set.
    """
    outcome = reply.outcome
    if isinstance(outcome, Answered):
        status, body = outcome.status, outcome.body
        headers = answer_format.filter_answer_headers(outcome.headers)
    else:
        status = answer_format.choose_status(outcome)
        outcome_name = "not-run" if isinstance(outcome, NotRun) else "unknown"
        error_body = ErrorBody(outcome_name, outcome.reason.value, outcome.detail)
        body = Body(msgspec.json.encode(error_body))
        headers = [(b"content-type", b"application/json")]
        if status == 503 and isinstance(outcome, NotRun):
            headers.append((b"retry-after", answer_format.format_retry_after(outcome)))
    headers = headers + reply.headers
    if not keep_alive:
        headers.append((b"connection", b"close"))
    start = b"HTTP/1.1 %d %b" % (status, _REASON_PHRASES.get(status, b""))
    if status in (204, 304):
        return encode_bodiless_head(start, headers), None
    if body.length is None and not is_chunked:
        return encode_bodiless_head(start, headers), body
    data = encode_head(start, headers, body.length)
    if not body.fully_buffered or len(body.buffered) > MAX_BUFFERED_BYTES:
        # A long body is sent as it is, not copied behind the head.
        return data, (None if method == "HEAD" else body)
    return (data if method == "HEAD" else data + body.buffered), None


def _send(
    channel: Channel, data: bytes, stream: Body | None, is_chunked: bool = True
) -> bool:
    channel.set_stall_timeout(STALL_TIMEOUT_SECONDS)
    channel.send(data)
    return stream is None or _stream_body(channel, stream, is_chunked)


def _stream_body(channel: Channel, body: Body, is_chunked: bool) -> bool:
    # A truncated body closes the connection without the last chunk or the full
    # length, so that the caller can detect it.
    if body.length is None and not is_chunked:
        return _stream_to_close(channel, body)
    sent_bytes = 0
    for piece in body:
        sent_bytes += len(piece)
        channel.send(encode_chunk(piece) if body.length is None else piece)
    if body.length is None:
        channel.send(LAST_CHUNK)
        return True
    return sent_bytes == body.length


def _stream_to_close(channel: Channel, body: Body) -> bool:
    is_whole = False
    try:
        for piece in body:
            channel.send(piece)
        is_whole = True
    finally:
        if not is_whole:
            # A caller would take an orderly close for the end of the answer.
            channel.reset_on_close()
    return is_whole
