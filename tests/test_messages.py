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
CHOPS = st.lists(st.integers(1, 40), min_size=1, max_size=30)


class Chopped:
    """Give out bytes in pieces of set sizes, then the end."""

    def __init__(self, data, sizes):
        self._data = data
        self._sizes = list(sizes)

    def recv(self, limit):
        size = self._sizes.pop(0) if self._sizes else limit
        piece, self._data = self._data[:size], self._data[size:]
        return piece


def read_all(reader):
    """Return the bodies of all whole messages, until a typed error."""
    bodies = []
    try:
        while True:
            reader.read_head()
            bodies.append(reader.read_body())
            reader.advance()
    except (ConnectionClosedError, MessageError):
        return bodies


class MessageTests(unittest.TestCase):
    @given(BODIES, CHOPS)
    def test_messages_are_read_whole_however_they_are_cut(self, bodies, sizes):
        start = b"POST /x HTTP/1.1"
        data = b"".join(encode_head(start, [], len(b)) + b for b in bodies)
        reader = MessageReader(Chopped(data, sizes), for_requests=True)
        self.assertEqual(read_all(reader), bodies)

    @given(st.binary(max_size=400), CHOPS, st.booleans())
    def test_any_bytes_end_in_a_typed_error(self, data, sizes, for_requests):
        reader = MessageReader(Chopped(data, sizes), for_requests)
        self.assertIsInstance(read_all(reader), list)

    @given(BODIES, st.integers(0, 200))
    def test_a_message_that_was_cut_is_never_whole(self, bodies, cut):
        start = b"HTTP/1.1 200 OK"
        data = b"".join(encode_head(start, [], len(b)) + b for b in bodies)
        reader = MessageReader(Chopped(data[:cut], []), for_requests=False)
        found = read_all(reader)
        self.assertEqual(found, bodies[: len(found)])

    @given(st.binary(max_size=200))
    def test_any_context_is_read_or_refused(self, data):
        with self.assertRaises(ContextError):
            decode_context([(CONTEXT_HEADER, data)])

    @given(st.binary(max_size=200))
    def test_any_peer_message_is_refused(self, data):
        with self.assertRaises(PeerMessageError):
            decode_envelope(data)

    def test_headers_of_one_connection_and_internal_ones_are_dropped(self):
        headers = [(b"connection", b"close"), (b"fuchsiaspool-x", b"1"), (b"a", b"b")]
        self.assertEqual(keep_end_to_end_headers(headers), [(b"a", b"b")])
