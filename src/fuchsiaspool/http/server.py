"""Serve HTTP connections and deliver each outcome to the caller it belongs to."""

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
from ..outcomes import Answered, NotRun, NotRunReason, Outcome
from .answer_format import DEFAULT_ANSWER_FORMAT, AnswerFormat
from .channels import Channel
from .messages import (
    LAST_CHUNK,
    ConnectionClosedError,
    Head,
    HeaderTooLargeError,
    MessageError,
    MessageReader,
    encode_head,
    frame_chunk,
    join_bare_head,
)
from .sockets import Peek

_LOG = logging.getLogger(__name__)
HEADER_SECONDS: Final = 5.0
STALL_SECONDS: Final = 5.0
BODY_SECONDS: Final = 30.0
_REASONS: Final = {s.value: s.phrase.encode() for s in HTTPStatus}


@dataclass(slots=True)
class Request:
    """Hold one request as it came from a connection."""

    head: Head
    body: Body
    peer_ip: str
    cancellation: Cancellation


@dataclass(slots=True)
class Reply:
    """Hold what goes back: an outcome, its extra headers, and what to do after."""

    outcome: Outcome
    headers: Headers
    finish: Callable[[bool], None]


RequestHandler = Callable[[Request], Reply]


class ErrorBody(msgspec.Struct, frozen=True):
    """Tell a caller in a body what became of its request."""

    outcome: str
    reason: str
    detail: str = ""


class HttpServer:
    """Accept connections on one address and hand requests to a function."""

    def __init__(
        self,
        address: Address,
        handle: RequestHandler,
        max_connections: int = 4096,
        answer_format: AnswerFormat = DEFAULT_ANSWER_FORMAT,
    ) -> None:
        self._handle = handle
        self._speech = answer_format
        self._server = StreamServer(
            (address.host, address.port),
            self._serve,
            spawn=max_connections,
            backlog=1024,
        )
        self._idle: set[Channel] = set()
        self.stopping = False

    def start(self) -> None:
        """Bind and accept."""
        self._server.start()

    @property
    def address(self) -> Address:
        """Return the bound address."""
        host, port = self._server.address[:2]
        return Address(host, port)

    def disable_keep_alive(self) -> None:
        """Close each connection with its next answer, so that none is cut idle."""
        self.stopping = True

    def stop_accepting(self) -> None:
        """Refuse new connections and close idle ones; requests go on."""
        self.stopping = True
        self._server.stop_accepting()
        self._accept_waiting()
        self._server.close()
        for channel in list(self._idle):
            # What has arrived but was not read yet is a request like any other.
            if channel.peek() is not Peek.DATA:
                self._idle.discard(channel)
                channel.abort()

    def _accept_waiting(self) -> None:
        # Connections that the kernel has taken would be reset with the listener,
        # whatever they have sent.
        if self._server.closed:
            return
        while (accepted := self._server.do_read()) is not None:
            self._server.do_handle(*accepted)

    def kill(self) -> None:
        """Cut every connection."""
        self.stopping = True
        self._server.stop(timeout=0)

    def _serve(self, socket: Any, peer: tuple[str, int]) -> None:
        channel = Channel(socket)
        reader = MessageReader(channel, for_requests=True)
        try:
            while self._serve_one(channel, reader, peer[0]):
                reader.advance()
        except (ConnectionClosedError, IncompleteBodyError, OSError):
            return
        finally:
            channel.close()

    def _serve_one(self, channel: Channel, reader: MessageReader, peer: str) -> bool:
        try:
            head = self._await_head(channel, reader)
        except HeaderTooLargeError as error:
            self._refuse(channel, NotRunReason.HEADER_TOO_LARGE, str(error))
            return False
        except MessageError as error:
            self._refuse(channel, NotRunReason.BAD_REQUEST, str(error))
            return False
        channel.limit_stalls(STALL_SECONDS)
        try:
            body = self._read_body(channel, reader, head)
        except TimeoutError:
            self._refuse(channel, NotRunReason.BODY_STALLED, "body stalled")
            return False
        except MessageError as error:
            self._refuse(channel, NotRunReason.BAD_REQUEST, str(error))
            return False
        request = Request(head, body, peer, Cancellation())
        return self._answer(channel, reader, request)

    def _await_head(self, channel: Channel, reader: MessageReader) -> Head:
        if not reader.has_started:
            self._idle.add(channel)
            try:
                channel.limit(self._speech.get_idle_timeout())
                reader.receive()
                if channel not in self._idle:
                    # It crossed the close: nobody could hear the answer.
                    raise ConnectionClosedError(mid_message=False)
            finally:
                self._idle.discard(channel)
        if reader.complete:
            return reader.read_head()
        # Idle time is generous; a header once begun has to come swiftly.
        with gevent.Timeout(HEADER_SECONDS, TimeoutError("header stalled")):
            return reader.read_head()

    def _read_body(self, channel: Channel, reader: MessageReader, head: Head) -> Body:
        if reader.complete:
            return Body(reader.read_body())
        for name, value in head.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                channel.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        with gevent.Timeout(BODY_SECONDS, TimeoutError("body stalled")):
            first = reader.read_body(MAX_BUFFERED_BYTES)
        if reader.complete:
            return Body(first)
        return Body(first, head.length, reader.iterate_rest())

    def _answer(
        self, channel: Channel, reader: MessageReader, request: Request
    ) -> bool:
        if request.body.fully_buffered and not reader.has_next:
            channel.watch(_make_notice(request.cancellation))
        reply = None
        delivered = False
        try:
            reply = self._handle(request)
            channel.unwatch()
            keep = request.head.keep_alive and not self.stopping and reader.complete
            delivered = _deliver(
                channel, request.head.method, reply, keep, self._speech
            )
            return keep and delivered
        finally:
            channel.unwatch()
            if reply is not None:
                reply.finish(delivered)

    def _refuse(self, channel: Channel, reason: NotRunReason, detail: str) -> None:
        _LOG.info("request refused", extra={"reason": reason.value, "detail": detail})
        outcome = NotRun(reason, detail)
        reply = Reply(outcome, [], lambda whole: None)
        _deliver(channel, "GET", reply, False, self._speech)


def _make_notice(cancellation: Cancellation) -> Callable[[Peek], None]:
    def notice(found: Peek) -> None:
        if found is Peek.CLOSED:
            cancellation.cancel()

    return notice


def _deliver(
    channel: Channel, method: str, reply: Reply, keep: bool, speech: AnswerFormat
) -> bool:
    outcome = reply.outcome
    if isinstance(outcome, Answered):
        status, body = outcome.status, outcome.body
        headers = speech.filter_answer_headers(outcome.headers)
    else:
        status = speech.choose_status(outcome)
        tag = "not-run" if isinstance(outcome, NotRun) else "unknown"
        refusal = ErrorBody(tag, outcome.reason.value, outcome.detail)
        body = Body(msgspec.json.encode(refusal))
        headers = [(b"content-type", b"application/json")]
        if status == 503 and isinstance(outcome, NotRun):
            headers.append((b"retry-after", speech.format_retry_after(outcome)))
    headers = headers + reply.headers
    if not keep:
        headers.append((b"connection", b"close"))
    start = b"HTTP/1.1 %d %b" % (status, _REASONS.get(status, b""))
    channel.limit_stalls(STALL_SECONDS)
    if status in (204, 304):
        channel.send(join_bare_head(start, headers))
        return True
    data = encode_head(start, headers, body.length)
    if body.fully_buffered:
        if method != "HEAD":
            data += body.buffered
        channel.send(data)
        return True
    return _stream(channel, data, body)


def _stream(channel: Channel, data: bytes, body: Body) -> bool:
    # A cut body ends the connection without the last chunk or the full length,
    # so that no caller can take a truncated answer for a whole one.
    channel.send(data)
    sent = 0
    for piece in body:
        sent += len(piece)
        channel.send(frame_chunk(piece) if body.length is None else piece)
    if body.length is None:
        channel.send(LAST_CHUNK)
        return True
    return sent == body.length
