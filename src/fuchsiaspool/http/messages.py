"""Read HTTP messages from a socket through the parser library."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

import httptools

from ..bodies import MAX_BUFFERED_BYTES, Headers, IncompleteBodyError

RECEIVE_BYTES: Final = 65_536
HEADER_BYTES: Final = 32_768
HEADER_COUNT: Final = 128


class MessageError(Exception):
    """Tell that a peer sent something that is not a proper message."""


class HeaderTooLargeError(MessageError):
    """Tell that a header block is over the limit."""


class ConnectionClosedError(Exception):
    """Tell that the peer closed the connection; `began` if inside a message."""

    def __init__(self, mid_message: bool) -> None:
        super().__init__("connection closed")
        self.mid_message = mid_message


@dataclass(slots=True)
class Head:
    """Hold the start line and headers of a message."""

    headers: Headers
    target: bytes = b""
    method: str = ""
    status: int = 0
    keep_alive: bool = True
    length: int | None = None
    chunked: bool = False


class _Message:
    __slots__ = ("head", "headers", "target", "parts", "complete")

    def __init__(self) -> None:
        self.head: Head | None = None
        self.headers: Headers = []
        self.target = b""
        self.parts: list[bytes] = []
        self.complete = False


class MessageReader:
    """Turn bytes from one socket into messages, one after another."""

    def __init__(self, socket: Any, for_requests: bool) -> None:
        self.socket = socket
        self._for_requests = for_requests
        self._messages: deque[_Message] = deque()
        # Of the message that is being read: its headers, and at most how many bytes
        # have come since its start or its last piece of body.
        self._headers: Headers = []
        self._overhead = 0
        self._error: MessageError | None = None
        if for_requests:
            self._parser = httptools.HttpRequestParser(self)
        else:
            self._parser = httptools.HttpResponseParser(self)

    def advance(self) -> None:
        """Forget the first message and turn to the next one."""
        if self._messages:
            self._messages.popleft()

    @property
    def complete(self) -> bool:
        """Tell if the first message has come whole."""
        return bool(self._messages) and self._messages[0].complete

    @property
    def has_next(self) -> bool:
        """Tell if bytes beyond the first message have come."""
        return len(self._messages) > 1 or self._error is not None

    @property
    def has_started(self) -> bool:
        """Tell if any byte of a message has come."""
        return bool(self._messages) or self._error is not None

    def receive(self) -> None:
        """Read once; raise `ClosedError`, `MessageError` or `OSError`."""
        if self._error is not None:
            raise self._error
        data = self.socket.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionClosedError(self.has_started)
        self._feed(data)

    def read_head(self) -> Head:
        """Return the next head; raise `ClosedError` or `MessageError`."""
        while not self._messages or self._messages[0].head is None:
            self.receive()
        return self._messages[0].head

    def read_body(self, limit: int = MAX_BUFFERED_BYTES) -> bytes:
        """Return the body's bytes up to about `limit`; `complete` tells if all."""
        message = self._messages[0]
        while not message.complete and sum(map(len, message.parts)) < limit:
            self.receive()
        if message.complete and len(message.parts) == 1:
            return message.parts.pop()
        return self._take(message)

    def iterate_rest(self) -> Iterator[bytes]:
        """Yield what follows of the body; raise `BodyError` if it is cut."""
        message = self._messages[0]
        while True:
            piece = self._take(message)
            if piece:
                yield piece
            if message.complete:
                return
            try:
                self.receive()
            except (ConnectionClosedError, MessageError, OSError) as error:
                raise IncompleteBodyError(str(error)) from error

    def _take(self, message: _Message) -> bytes:
        data = b"".join(message.parts)
        message.parts.clear()
        return data

    def _feed(self, data: bytes) -> None:
        self._overhead += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error = MessageError("protocol upgrades are not served")
        except httptools.HttpParserError as error:
            cause = error.__context__
            known = isinstance(cause, MessageError)
            self._error = cause if known else MessageError(str(error))
        self._check_overhead()
        # Messages that came whole before the fault are still served.
        if self._error is not None and not self.complete:
            raise self._error

    def _check_overhead(self) -> None:
        # A head, the size line of a chunk or trailers may come without end.
        if self._overhead <= HEADER_BYTES or self._error is not None:
            return
        message = self._messages[-1] if self._messages else None
        if message is None or message.head is None:
            self._error = HeaderTooLargeError(f"header over {HEADER_BYTES} bytes")
        else:
            self._error = MessageError(f"over {HEADER_BYTES} bytes beside the body")

    # The parser library calls the methods below.

    def on_message_begin(self) -> None:
        """Open a new message."""
        message = _Message()
        self._headers = message.headers
        self._messages.append(message)

    def on_url(self, data: bytes) -> None:
        """Collect the request target."""
        self._messages[-1].target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header, or a trailer after a body in chunks."""
        headers = self._headers
        headers.append((name.lower(), value))
        if len(headers) > HEADER_COUNT:
            raise HeaderTooLargeError(f"over {HEADER_COUNT} headers")

    def on_headers_complete(self) -> None:
        """Build the head."""
        message = self._messages[-1]
        # The bytes that came with it tell cheaply that a block can't be too large.
        if self._overhead > HEADER_BYTES:
            self._check_block(message)
        head = Head(message.headers, message.target)
        head.keep_alive = self._parser.should_keep_alive()
        if self._for_requests:
            head.method = self._parser.get_method().decode()
        else:
            head.status = self._parser.get_status_code()
        for name, value in message.headers:
            if name == b"content-length":
                head.length = int(value)
            elif name == b"transfer-encoding":
                head.chunked = value.lower().endswith(b"chunked")
        message.head = head

    def _check_block(self, message: _Message) -> None:
        size = sum(len(name) + len(value) for name, value in message.headers)
        if size > HEADER_BYTES:
            raise HeaderTooLargeError(f"header over {HEADER_BYTES} bytes")

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self._overhead = 0
        self._messages[-1].parts.append(data)

    def on_message_complete(self) -> None:
        """Mark the message whole, unless it only announces another one."""
        message = self._messages[-1]
        if message.head is not None and 100 <= message.head.status < 200:
            self._messages.pop()
            return
        message.complete = True
        self._overhead = 0


_HOP_HEADERS: Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"expect",
    )
)

# Values of the connection header that name no other header.
_PLAIN_CONNECTIONS: Final = frozenset((b"close", b"keep-alive"))

INTERNAL_PREFIX: Final = b"fuchsiaspool-"


def drop_hop_headers(
    headers: Headers, besides: frozenset[bytes] = frozenset()
) -> Headers:
    """Drop the headers that concern one connection, also those it names itself.

    Those named in `besides` are dropped too.
    """
    kept: Headers = []
    for pair in headers:
        name, value = pair
        if name not in _HOP_HEADERS:
            if name not in besides:
                kept.append(pair)
        elif name == b"connection" and value.lower() not in _PLAIN_CONNECTIONS:
            own = {part.strip() for part in value.lower().split(b",")}
            rest = [other for other in headers if other is not pair]
            return drop_hop_headers(rest, besides | own)
    return kept


def keep_end_to_end_headers(headers: Headers) -> Headers:
    """Drop the headers that concern one connection, and all internal ones."""
    return [
        pair
        for pair in drop_hop_headers(headers)
        if not pair[0].startswith(INTERNAL_PREFIX)
    ]


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a lower-case header name."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def join_bare_head(start: bytes, headers: Headers) -> bytes:
    """Build the bytes of a head that no body follows."""
    lines = [b"%b: %b" % pair for pair in headers]
    return b"\r\n".join((start, *lines, b"\r\n"))


def encode_head(start: bytes, headers: Headers, length: int | None) -> bytes:
    """Build the bytes of a head; no `length` means chunks follow."""
    lines = [start, *[b"%b: %b" % pair for pair in headers]]
    if length is None:
        lines.append(b"transfer-encoding: chunked")
    else:
        lines.append(b"content-length: %d" % length)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def frame_chunk(data: bytes) -> bytes:
    """Build the bytes of one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK: Final = b"0\r\n\r\n"
