"""Bytes without end, as a flood and as a trickle, in a head and in a body."""

import gc
import resource
import unittest
from unittest import mock

import gevent
import gevent.socket
from gevent.server import StreamServer

from fuchsiaspool import health_probe
from fuchsiaspool.addresses import Address
from fuchsiaspool.bodies import Body, IncompleteBodyError
from fuchsiaspool.calls import Call
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.health_probe import make_health_probe
from fuchsiaspool.http import client
from fuchsiaspool.http.client import ConnectionPool, ExchangeRules, make_call_sender
from fuchsiaspool.ids import CallerId, RequestId, ServiceName
from fuchsiaspool.outcomes import Answered
from fuchsiaspool.platform import client as store_client
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.platform.endpoints import EndpointCallbacks, make_heartbeat_server
from fuchsiaspool.platform.interface import PLATFORM_INTERFACE
from fuchsiaspool.platform.objects import Ambiguous, ObjectKey
from fuchsiaspool.results import Err
from fuchsiaspool.retry_allowance import RetryAllowance

from .support import allocate_address

DEADLINE_SECONDS = 0.15
# What a caller is still answered in after its deadline.
LATE_SECONDS = 0.3
GROWTH_KB = 16 * 1024
TRICKLE_SECONDS = 0.02
OK = b"HTTP/1.1 200 OK\r\n"
FLOODS = {
    "one endless header": (OK + b"x: ", b"y" * 65536),
    "headers": (OK, b"x: y\r\n" * 8192),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "garbage": (b"", b"\x00\xff nonsense" * 4096),
    "a status line": (b"HTTP/1.1 200 ", b"k" * 65536),
}
BODIES = {
    "to the close": (OK + b"\r\n", b"z" * 65536),
    "chunks": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"z" * 65536 + b"\r\n",
    ),
    "a chunk extension": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n10000;",
        b"e" * 65536,
    ),
    "one endless trailer": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\nz\r\n0\r\nx: ",
        b"t" * 65536,
    ),
    "trailers": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"t: u\r\n" * 8192,
    ),
}
ALL = FLOODS | BODIES


class Endless:
    """Answer whatever comes with bytes that never end, until the caller closes."""

    def __init__(self, pattern, trickles):
        self._pattern = pattern
        self._trickles = trickles
        self.closed = gevent.event.Event()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = Address(*self._server.address)

    def _serve(self, socket, peer):
        first, repeated = self._pattern
        try:
            socket.recv(65536)
            socket.sendall(first)
            while True:
                if self._trickles:
                    gevent.sleep(TRICKLE_SECONDS)
                    socket.sendall(repeated[:7])
                else:
                    socket.sendall(repeated)
                    gevent.sleep(0)
        except OSError:
            self.closed.set()

    def stop(self):
        self._server.stop(timeout=0)


class EndlessCase(unittest.TestCase):
    def each(self, patterns):
        """Go through the patterns, and look at memory and the close after each."""
        for name, pattern in patterns.items():
            for trickles in (False, True):
                with self.subTest(pattern=name, trickles=trickles):
                    gc.collect()
                    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                    server = Endless(pattern, trickles)
                    self.addCleanup(server.stop)
                    yield server
                    server.closed.wait(timeout=3.0)
                    self.assertTrue(server.closed.is_set(), "still connected")
                    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                    self.assertLess(after - before, GROWTH_KB)

    def limit(self, seconds):
        error = AssertionError(f"not answered within {seconds} s")
        return gevent.Timeout(seconds, error)

    def make_call(self):
        now = SystemClock().now()
        return Call(
            RequestId("r"),
            CallerId("c"),
            ServiceName("s"),
            "GET",
            "/x",
            [],
            Body(),
            now,
            now + DEADLINE_SECONDS,
            RetryAllowance(0),
        )


class ServerAnswerTests(EndlessCase):
    def test_a_call_ends_in_its_time_whatever_a_server_or_node_answers(self):
        for by_close in (True, False):
            send = make_call_sender(
                ConnectionPool(),
                SystemClock(),
                ExchangeRules(allow_close_delimited=by_close),
            )
            for server in self.each(ALL):
                call = self.make_call()
                patch = mock.patch.object(client, "ENDLESS_SECONDS", 0.1)
                with patch, self.limit(DEADLINE_SECONDS + 0.1 + LATE_SECONDS):
                    outcome = send(server.address, call, lambda: [(b"host", b"h")])
                    if (
                        isinstance(outcome, Answered)
                        and not outcome.body.fully_buffered
                    ):
                        with self.assertRaises(IncompleteBodyError):
                            for _ in outcome.body:
                                gevent.sleep(0)
                call.finish(False)

    def test_an_answer_that_nobody_reads_is_cut_when_its_call_is_finished(self):
        send = make_call_sender(ConnectionPool(), SystemClock())
        for server in self.each({"chunks": BODIES["chunks"]}):
            call = self.make_call()
            send(server.address, call, lambda: [(b"host", b"h")])
            call.finish(False)

    def test_a_probe_ends_in_its_time(self):
        send = make_call_sender(
            ConnectionPool(), SystemClock(), ExchangeRules(allow_close_delimited=True)
        )
        probe = make_health_probe(
            SystemClock(), PLATFORM_INTERFACE, ServiceName("s"), send
        )
        for server in self.each(ALL):
            patch = mock.patch.object(
                health_probe, "PROBE_TIMEOUT_SECONDS", DEADLINE_SECONDS
            )
            with patch, self.limit(DEADLINE_SECONDS + LATE_SECONDS):
                self.assertIsNone(probe(server.address, "/health"))


class StoreAnswerTests(EndlessCase):
    def patch_store(self):
        return mock.patch.object(
            store_client, "REQUEST_TIMEOUT_SECONDS", DEADLINE_SECONDS
        )

    def test_a_call_to_the_store_ends_in_its_time(self):
        for server in self.each(ALL):
            store = make_platform_store(
                server.address, SystemClock(), None, max_attempts=1
            )
            with self.patch_store(), self.limit(1.0):
                self.assertIsInstance(store.list_prefix("members/"), Err)

    def test_a_write_whose_answer_never_ends_may_have_taken_effect(self):
        for server in self.each({"chunks": BODIES["chunks"]}):
            store = make_platform_store(
                server.address, SystemClock(), None, max_attempts=1
            )
            with self.patch_store(), self.limit(1.0):
                outcome = store.put(ObjectKey("kind/a"), b"{}", None)
            self.assertIsInstance(outcome, Ambiguous)


class HeartbeatTests(EndlessCase):
    def test_a_heartbeat_without_end_is_not_held_and_its_connection_is_cut(self):
        address = allocate_address()
        source = EndpointCallbacks(lambda: True, self.fail, self.fail, str)
        page = make_heartbeat_server(address, source)
        page.start()
        self.addCleanup(page.stop, 0)
        head = b"PUT /-/instances/i HTTP/1.1\r\nHost: h\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        patterns = {
            "chunks": (head + chunked, b"10000\r\n" + b"z" * 65536 + b"\r\n"),
            "length": (head + b"Content-Length: 9999999999\r\n\r\n", b"z" * 65536),
        }
        for name, (first, repeated) in patterns.items():
            for pause in (0.0, TRICKLE_SECONDS):
                with self.subTest(pattern=name, pause=pause):
                    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                    target = (address.host, address.port)
                    with gevent.socket.create_connection(target) as peer:
                        peer.sendall(first)
                        piece = repeated[:7] if pause else repeated
                        with self.limit(5.0), self.assertRaises(OSError):
                            while True:
                                peer.sendall(piece)
                                gevent.sleep(pause)
                    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                    self.assertLess(after - before, GROWTH_KB)


if __name__ == "__main__":
    unittest.main()
