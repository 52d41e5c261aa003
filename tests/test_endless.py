"""Test that endless messages are cut off in time and in bounded memory.

A peer that sends a head or body without end, fast or slowly, could otherwise occupy
a task indefinitely or exhaust the memory.
"""

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
# Time after the deadline within which an exchange has to end.
GRACE_SECONDS = 0.3
MAX_MEMORY_GROWTH_KB = 16 * 1024
TRICKLE_PERIOD_SECONDS = 0.02
OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
ENDLESS_HEADS = {
    "one endless header": (OK_STATUS_LINE + b"x: ", b"y" * 65536),
    "headers": (OK_STATUS_LINE, b"x: y\r\n" * 8192),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "garbage": (b"", b"\x00\xff nonsense" * 4096),
    "a status line": (b"HTTP/1.1 200 ", b"k" * 65536),
}
ENDLESS_BODIES = {
    "to the close": (OK_STATUS_LINE + b"\r\n", b"z" * 65536),
    "chunks": (
        OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"z" * 65536 + b"\r\n",
    ),
    "a chunk extension": (
        OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n10000;",
        b"e" * 65536,
    ),
    "one endless trailer": (
        OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n1\r\nz\r\n0\r\nx: ",
        b"t" * 65536,
    ),
    "trailers": (
        OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"t: u\r\n" * 8192,
    ),
}
ENDLESS_ANSWERS = ENDLESS_HEADS | ENDLESS_BODIES


class EndlessServer:
    """Answer any request with endless bytes until the peer closes."""

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
                    gevent.sleep(TRICKLE_PERIOD_SECONDS)
                    socket.sendall(repeated[:7])
                else:
                    socket.sendall(repeated)
                    gevent.sleep(0)
        except OSError:
            self.closed.set()

    def stop(self):
        self._server.stop(timeout=0)


class EndlessCase(unittest.TestCase):
    def start_servers(self, patterns):
        """Yield a server for each pattern, and check memory and the close after it."""
        for name, pattern in patterns.items():
            for trickles in (False, True):
                with self.subTest(pattern=name, trickles=trickles):
                    gc.collect()
                    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                    server = EndlessServer(pattern, trickles)
                    self.addCleanup(server.stop)
                    yield server
                    server.closed.wait(timeout=3.0)
                    self.assertTrue(server.closed.is_set(), "connection still open")
                    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                    self.assertLess(after - before, MAX_MEMORY_GROWTH_KB)

    def limit_time(self, seconds):
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
    def test_call_ends_in_time_despite_an_endless_answer(self):
        for by_close in (True, False):
            send = make_call_sender(
                ConnectionPool(),
                SystemClock(),
                ExchangeRules(allow_close_delimited=by_close),
            )
            for server in self.start_servers(ENDLESS_ANSWERS):
                call = self.make_call()
                patch = mock.patch.object(client, "UNSIZED_ANSWER_GRACE_SECONDS", 0.1)
                with patch, self.limit_time(DEADLINE_SECONDS + 0.1 + GRACE_SECONDS):
                    outcome = send(server.address, call, lambda: [(b"host", b"h")])
                    if (
                        isinstance(outcome, Answered)
                        and not outcome.body.fully_buffered
                    ):
                        with self.assertRaises(IncompleteBodyError):
                            for _ in outcome.body:
                                gevent.sleep(0)
                call.finish(False)

    def test_finishing_a_call_closes_its_unread_answer(self):
        send = make_call_sender(ConnectionPool(), SystemClock())
        for server in self.start_servers({"chunks": ENDLESS_BODIES["chunks"]}):
            call = self.make_call()
            send(server.address, call, lambda: [(b"host", b"h")])
            call.finish(False)

    def test_probe_ends_in_time_despite_an_endless_answer(self):
        send = make_call_sender(
            ConnectionPool(), SystemClock(), ExchangeRules(allow_close_delimited=True)
        )
        probe = make_health_probe(
            SystemClock(), PLATFORM_INTERFACE, ServiceName("s"), send
        )
        for server in self.start_servers(ENDLESS_ANSWERS):
            patch = mock.patch.object(
                health_probe, "PROBE_TIMEOUT_SECONDS", DEADLINE_SECONDS
            )
            with patch, self.limit_time(DEADLINE_SECONDS + GRACE_SECONDS):
                self.assertIsNone(probe(server.address, "/health"))


class StoreAnswerTests(EndlessCase):
    def patch_store(self):
        return mock.patch.object(
            store_client, "REQUEST_TIMEOUT_SECONDS", DEADLINE_SECONDS
        )

    def test_store_request_ends_in_time_despite_an_endless_answer(self):
        for server in self.start_servers(ENDLESS_ANSWERS):
            store = make_platform_store(
                server.address, SystemClock(), None, max_attempts=1
            )
            with self.patch_store(), self.limit_time(1.0):
                self.assertIsInstance(store.list_prefix("members/"), Err)

    def test_write_with_an_endless_answer_is_ambiguous(self):
        for server in self.start_servers({"chunks": ENDLESS_BODIES["chunks"]}):
            store = make_platform_store(
                server.address, SystemClock(), None, max_attempts=1
            )
            with self.patch_store(), self.limit_time(1.0):
                outcome = store.put(ObjectKey("kind/a"), b"{}", None)
            self.assertIsInstance(outcome, Ambiguous)


class HeartbeatTests(EndlessCase):
    def test_endless_heartbeat_is_not_buffered_and_its_connection_is_closed(self):
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
            for pause in (0.0, TRICKLE_PERIOD_SECONDS):
                with self.subTest(pattern=name, pause=pause):
                    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                    target = (address.host, address.port)
                    with gevent.socket.create_connection(target) as peer:
                        peer.sendall(first)
                        piece = repeated[:7] if pause else repeated
                        with self.limit_time(5.0), self.assertRaises(OSError):
                            while True:
                                peer.sendall(piece)
                                gevent.sleep(pause)
                    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                    self.assertLess(after - before, MAX_MEMORY_GROWTH_KB)


if __name__ == "__main__":
    unittest.main()
