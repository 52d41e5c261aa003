import unittest

from hypothesis import given, strategies as st

from fuchsiaspool.http.messages import (
    ConnectionClosedError,
    MessageError,
    MessageReader,
    encode_head,
    keep_end_to_end_headers,
)
from fuchsiaspool.mesh import CONTEXT_HEADER, ContextError, decode_context
from fuchsiaspool.peers.messages import PeerMessageError, decode_envelope

BODIES = st.lists(st.binary(max_size=50), min_size=1, max_size=5)
PIECE_SIZES = st.lists(st.integers(1, 40), min_size=1, max_size=30)


class SplitSource:
    """Return bytes in pieces of given sizes, then the end of the stream."""

    def __init__(self, data, sizes):
        self._data = data
        self._sizes = list(sizes)

    def recv(self, limit):
        size = self._sizes.pop(0) if self._sizes else limit
        piece, self._data = self._data[:size], self._data[size:]
        return piece


def read_all(reader):
    """Return the bodies of all complete messages up to the first typed error."""
    bodies = []
    try:
        while True:
            reader.read_head()
            bodies.append(reader.read_body())
            reader.advance()
    except (ConnectionClosedError, MessageError):
        return bodies


class MessageTests(unittest.TestCase):
    @given(BODIES, PIECE_SIZES)
    def test_messages_are_read_whole_however_they_are_split(self, bodies, sizes):
        start = b"POST /x HTTP/1.1"
        data = b"".join(encode_head(start, [], len(b)) + b for b in bodies)
        reader = MessageReader(SplitSource(data, sizes), for_requests=True)
        self.assertEqual(read_all(reader), bodies)

    @given(st.binary(max_size=400), PIECE_SIZES, st.booleans())
    def test_arbitrary_bytes_end_in_a_typed_error(self, data, sizes, for_requests):
        reader = MessageReader(SplitSource(data, sizes), for_requests)
        self.assertIsInstance(read_all(reader), list)

    @given(BODIES, st.integers(0, 200))
    def test_truncated_message_is_never_read_as_complete(self, bodies, cut):
        start = b"HTTP/1.1 200 OK"
        data = b"".join(encode_head(start, [], len(b)) + b for b in bodies)
        reader = MessageReader(SplitSource(data[:cut], []), for_requests=False)
        found = read_all(reader)
        self.assertEqual(found, bodies[: len(found)])

    @given(st.binary(max_size=200))
    def test_arbitrary_context_is_rejected(self, data):
        with self.assertRaises(ContextError):
            decode_context([(CONTEXT_HEADER, data)])

    @given(st.binary(max_size=200))
    def test_arbitrary_peer_message_is_rejected(self, data):
        with self.assertRaises(PeerMessageError):
            decode_envelope(data)

    def test_drops_hop_by_hop_and_internal_headers(self):
        headers = [(b"connection", b"close"), (b"fuchsiaspool-x", b"1"), (b"a", b"b")]
        self.assertEqual(keep_end_to_end_headers(headers), [(b"a", b"b")])
