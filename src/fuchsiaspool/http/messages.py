"""Parse HTTP messages from a socket, filter headers and encode heads."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final, Protocol

import httptools

from ..bodies import MAX_BUFFERED_BYTES, Headers, IncompleteBodyError

RECEIVE_BUFFER_BYTES: Final = 65_536
# Read at a time from a peer that sends many small chunks: parsing takes time by the
# chunk, and other connections wait meanwhile.
SMALL_CHUNKS_BUFFER_BYTES: Final = 2_048
MAX_CHUNKS_AT_ONCE: Final = 128
# Beyond its text, each header takes about this much memory.
HEADER_OBJECT_BYTES: Final = 120
# The shortest header line has a name of one byte, a colon and a line end.
MIN_HEADER_LINE_BYTES: Final = 4


class MessageError(Exception):
    """Signal that a peer sent a malformed HTTP message."""


class HeaderTooLargeError(MessageError):
    """Signal that a header block is over the size or count limit."""


class BufferLimitError(MessageError):
    """Signal that a message was given up to bound the memory of the process."""


class ConnectionClosedError(Exception):
    """Signal that the peer closed the connection; `mid_message` if inside a message."""

    def __init__(self, mid_message: bool) -> None:
        super().__init__("connection closed")
        self.mid_message = mid_message


@dataclass(slots=True)
class Head:
    """Represent the start line and headers of a message.

    `knows_chunks` is false for a request of HTTP/1.0, whose answer must not be chunked.
    """

    headers: Headers
    target: bytes = b""
    method: str = ""
    status: int = 0
    keep_alive: bool = True
    length: int | None = None
    chunked: bool = False
    knows_chunks: bool = True


@dataclass(frozen=True, slots=True)
class HeaderLimits:
    """Bound the headers of a message: the bytes of its head, and their number."""

    max_bytes: int = 32_768
    max_count: int = 128


DEFAULT_HEADER_LIMITS: Final = HeaderLimits()


def make_header_limits(max_bytes: int) -> HeaderLimits:
    """Return limits that admit any head of up to `max_bytes`, and no smaller ones."""
    max_bytes = max(max_bytes, DEFAULT_HEADER_LIMITS.max_bytes)
    return HeaderLimits(max_bytes, max_bytes // MIN_HEADER_LINE_BYTES)


class Holding(Protocol):
    """Count the bytes that a reader holds."""

    def resize(self, held_bytes: int) -> None:
        """Count the bytes that are held now; raise `BufferLimitError`."""

    def settle(self) -> None:
        """Exempt a message from revocation, as it is complete."""


class _Message:
    __slots__ = ("head", "headers", "target", "pieces", "body_bytes", "complete")

    def __init__(self) -> None:
        self.head: Head | None = None
        self.headers: Headers = []
        self.target = b""
        # Pieces of the body that were not taken yet, and their bytes.
        self.pieces: list[bytes | bytearray] = []
        self.body_bytes = 0
        self.complete = False

    def add(self, data: bytes) -> None:
        """Add a piece of the body; small ones, which take more memory, are joined."""
        self.body_bytes += len(data)
        pieces = self.pieces
        if not pieces or len(pieces[-1]) + len(data) > RECEIVE_BUFFER_BYTES:
            pieces.append(data)
            return
        last = pieces[-1]
        if isinstance(last, bytes):
            pieces[-1] = last = bytearray(last)
        last += data

    def take(self) -> bytes:
        """Return and drop the pieces of the body."""
        pieces, self.pieces, self.body_bytes = self.pieces, [], 0
        if len(pieces) == 1 and isinstance(pieces[0], bytes):
            return pieces[0]
        return b"".join(pieces)


class MessageReader:
    """Parse the bytes of one socket into messages, in order."""

    def __init__(self, socket: Any, for_requests: bool) -> None:
        self.socket = socket
        self._for_requests = for_requests
        self._messages: deque[_Message] = deque()
        # Of the message being parsed: its headers, and an upper bound on the bytes
        # received since its start or the last piece of its body.
        self._headers: Headers = []
        self._non_body_bytes = 0
        self._error: MessageError | None = None
        self.header_limits = DEFAULT_HEADER_LIMITS
        self.holding: Holding | None = None
        self._held_bytes = 0
        self._receive_bytes = RECEIVE_BUFFER_BYTES
        self._chunks = 0
        if for_requests:
            self._parser = httptools.HttpRequestParser(self)
        else:
            self._parser = httptools.HttpResponseParser(self)

    def advance(self) -> None:
        """Drop the first message, so that the next one is read."""
        self._held_bytes = 0
        if self._messages:
            self._messages.popleft()

    def discard(self) -> None:
        """Drop all that was received; nothing can be read any more.

        Reader and parser refer to each other, so that the memory would stay in use
        until the next garbage collection.
        """
        self._messages.clear()
        self._headers = []

    @property
    def complete(self) -> bool:
        """Return whether the first message is complete."""
        return bool(self._messages) and self._messages[0].complete

    @property
    def has_next(self) -> bool:
        """Return whether bytes beyond the first message were received."""
        return len(self._messages) > 1 or self._error is not None

    @property
    def has_started(self) -> bool:
        """Return whether any byte of a message was received."""
        return bool(self._messages) or self._error is not None

    def receive(self) -> None:
        """Receive and parse once.

        Raise `ConnectionClosedError`, `MessageError` or `OSError`.
        """
        if self._error is not None:
            raise self._error
        data = self.socket.recv(self._receive_bytes)
        if not data:
            raise ConnectionClosedError(self.has_started)
        self._chunks = 0
        self._feed(data)
        if self._chunks > MAX_CHUNKS_AT_ONCE:
            self._receive_bytes = SMALL_CHUNKS_BUFFER_BYTES
        self._held_bytes += len(data)
        if self.holding is not None:
            self.holding.resize(self._held_bytes)

    def read_head(self) -> Head:
        """Return the next head; raise as `receive` does."""
        while not self._messages or self._messages[0].head is None:
            self.receive()
        return self._messages[0].head

    def read_body(self, limit: int = MAX_BUFFERED_BYTES) -> bytes:
        """Return the body up to about `limit` bytes; see `complete` for whether all."""
        self.receive_body(limit)
        return self.take_body()

    def receive_body(self, limit: int) -> None:
        """Receive the body up to about `limit` bytes, and keep it."""
        message = self._messages[0]
        while not message.complete and message.body_bytes < limit:
            self.receive()

    def take_body(self) -> bytes:
        """Return what was received of the body and not yet returned."""
        return self._messages[0].take()

    def iterate_rest(self) -> Iterator[bytes]:
        """Yield the rest of the body; raise `IncompleteBodyError` if it ends early."""
        message = self._messages[0]
        while True:
            piece = self.take_body()
            # It is copied into a chunk while it is sent.
            self._held_bytes = 2 * len(piece)
            if piece:
                yield piece
            if message.complete:
                return
            try:
                self.receive()
            except (ConnectionClosedError, MessageError, OSError) as error:
                raise IncompleteBodyError(str(error)) from error

    def _feed(self, data: bytes) -> None:
        self._non_body_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error = MessageError("protocol upgrades are not served")
        except httptools.HttpParserError as error:
            cause = error.__context__
            raised_here = isinstance(cause, MessageError)
            self._error = cause if raised_here else MessageError(str(error))
        self._check_non_body_bytes()
        # Complete messages before the malformed one are still served.
        if self._error is not None and not self.complete:
            raise self._error

    def _check_non_body_bytes(self) -> None:
        # A peer could send an endless head, chunk extension or trailer section.
        limit = self.header_limits.max_bytes
        if self._non_body_bytes <= limit or self._error is not None:
            return
        message = self._messages[-1] if self._messages else None
        if message is None or message.head is None:
            self._error = HeaderTooLargeError(f"header over {limit} bytes")
        else:
            self._error = MessageError(f"over {limit} bytes beside the body")

    # The methods below are callbacks of the parser library.

    def on_message_begin(self) -> None:
        """Start a new message."""
        message = _Message()
        self._headers = message.headers
        self._messages.append(message)

    def on_url(self, data: bytes) -> None:
        """Collect the request target."""
        self._messages[-1].target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header, or one trailer after a chunked body."""
        headers = self._headers
        headers.append((name.lower(), value))
        self._held_bytes += HEADER_OBJECT_BYTES
        if len(headers) > self.header_limits.max_count:
            raise HeaderTooLargeError(f"over {self.header_limits.max_count} headers")

    def on_headers_complete(self) -> None:
        """Build the head of the message."""
        message = self._messages[-1]
        # A header block is measured only if the upper bound on its size is over the
        # limit, which is rare.
        if self._non_body_bytes > self.header_limits.max_bytes:
            self._check_header_block(message)
        head = Head(message.headers, message.target)
        head.keep_alive = self._parser.should_keep_alive()
        if self._for_requests:
            head.method = self._parser.get_method().decode()
            head.knows_chunks = self._parser.get_http_version() != "1.0"
        else:
            head.status = self._parser.get_status_code()
        for name, value in message.headers:
            if name == b"content-length":
                head.length = int(value)
            elif name == b"transfer-encoding":
                head.chunked = value.lower().endswith(b"chunked")
        message.head = head

    def _check_header_block(self, message: _Message) -> None:
        size = sum(len(name) + len(value) for name, value in message.headers)
        limit = self.header_limits.max_bytes
        if size > limit:
            raise HeaderTooLargeError(f"header over {limit} bytes")

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self._non_body_bytes = 0
        self._chunks += 1
        self._messages[-1].add(data)

    def on_message_complete(self) -> None:
        """Mark the message complete; drop an interim (1xx) answer."""
        message = self._messages[-1]
        if message.head is not None and 100 <= message.head.status < 200:
            self._messages.pop()
            return
        message.complete = True
        self._non_body_bytes = 0


_HOP_BY_HOP_HEADERS: Final = frozenset(
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

# Values of the `connection` header that don't name another header.
_CONNECTION_OPTIONS_WITHOUT_HEADER: Final = frozenset((b"close", b"keep-alive"))

INTERNAL_HEADER_PREFIX: Final = b"fuchsiaspool-"


def drop_hop_by_hop_headers(
    headers: Headers, also_dropped: frozenset[bytes] = frozenset()
) -> Headers:
    """Drop hop-by-hop headers, those that `connection` names, and `also_dropped`."""
    kept: Headers = []
    for pair in headers:
        name, value = pair
        if name not in _HOP_BY_HOP_HEADERS:
            if name not in also_dropped:
                kept.append(pair)
        elif (
            name == b"connection"
            and value.lower() not in _CONNECTION_OPTIONS_WITHOUT_HEADER
        ):
            named = {part.strip() for part in value.lower().split(b",")}
            others = [other for other in headers if other is not pair]
            return drop_hop_by_hop_headers(others, also_dropped | named)
    return kept


def keep_end_to_end_headers(headers: Headers) -> Headers:
    """Drop hop-by-hop headers and all headers internal to fuchsiaspool."""
    return [
        pair
        for pair in drop_hop_by_hop_headers(headers)
        if not pair[0].startswith(INTERNAL_HEADER_PREFIX)
    ]


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header by its lower-case name, or `None`."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def encode_bodiless_head(start: bytes, headers: Headers) -> bytes:
    """Encode a head without a body."""
    lines = [b"%b: %b" % pair for pair in headers]
    return b"\r\n".join((start, *lines, b"\r\n"))


def encode_head(start: bytes, headers: Headers, length: int | None) -> bytes:
    """Encode the head of a message with a body; without a `length` it is chunked."""
    lines = [start, *[b"%b: %b" % pair for pair in headers]]
    if length is None:
        lines.append(b"transfer-encoding: chunked")
    else:
        lines.append(b"content-length: %d" % length)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK: Final = b"0\r\n\r\n"
