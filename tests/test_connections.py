"""Test a listener's connections: timeouts, errors, pipelining and closing."""

import unittest

import gevent
import gevent.event
import gevent.socket
from gevent.monkey import get_original

from fuchsiaspool.bodies import Body
from fuchsiaspool.http.answer_format import DEFAULT_ANSWER_FORMAT, AnswerFormat
from fuchsiaspool.http.server import HttpServer, Reply
from fuchsiaspool.outcomes import Answered

from .callers import receive_until
from .support import allocate_address

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
block_event_loop = get_original("time", "sleep")


class ConnectionTests(unittest.TestCase):
    def setUp(self):
        self.handled = []

    def start_server(self, handle=None, idle_timeout=60.0, **fields):
        def answer(request):
            self.handled.append(request.head.target)
            return Reply(Answered(200, [], Body(b"done")), [], lambda delivered: None)

        answer_format = AnswerFormat(
            DEFAULT_ANSWER_FORMAT.filter_answer_headers,
            DEFAULT_ANSWER_FORMAT.choose_status,
            DEFAULT_ANSWER_FORMAT.format_retry_after,
            lambda: idle_timeout,
        )
        self.server = HttpServer(
            allocate_address(), handle or answer, answer_format=answer_format, **fields
        )
        self.server.start()
        self.addCleanup(self.server.kill)

    def connect(self, plain=False):
        module = get_original("socket", "create_connection") if plain else None
        connect = module or gevent.socket.create_connection
        socket = connect((self.server.address.host, self.server.address.port))
        self.addCleanup(socket.close)
        return socket

    def test_the_idle_timeout_does_not_cut_a_head_that_has_begun(self):
        self.start_server(idle_timeout=0.3)
        socket = self.connect()
        socket.sendall(REQUEST)
        receive_until(socket, b"done")
        gevent.sleep(0.22)
        socket.sendall(REQUEST[:10])
        gevent.sleep(0.15)
        socket.sendall(REQUEST[10:])
        self.assertIn(b"done", receive_until(socket, b"done"))

    def test_the_short_timeout_of_a_stop_does_not_cut_a_head_that_has_begun(self):
        self.start_server()
        socket = self.connect(plain=True)
        self.server.stop_accepting()
        socket.sendall(REQUEST[:10])
        gevent.sleep(0.6)
        try:
            socket.sendall(REQUEST[10:])
        except OSError as error:
            self.fail(f"closed: {error!r}")
        kept = gevent.socket.socket(fileno=socket.detach())
        self.addCleanup(kept.close)
        self.assertIn(b"done", receive_until(kept, b"done"))

    def test_an_error_in_a_handler_is_answered(self):
        def fail(request):
            raise KeyError("a fault of the program")

        self.start_server(fail)
        socket = self.connect()
        socket.sendall(REQUEST)
        self.assertIn(b"HTTP/1.1 50", receive_until(socket, b"\r\n\r\n"))

    def test_an_idle_timeout_does_not_close_if_a_request_has_arrived(self):
        self.start_server(idle_timeout=0.3)
        socket = self.connect()
        socket.sendall(REQUEST)
        self.assertIn(b"done", receive_until(socket, b"done"))
        gevent.sleep(0.2)
        # Four fifths of the limit at most: sent 0.24 s after the answer.
        block_event_loop(0.03)
        socket.sendall(REQUEST)
        block_event_loop(0.15)
        self.assertIn(b"done", receive_until(socket, b"done"))

    def test_a_stop_does_not_wait_for_a_free_place_in_a_full_pool(self):
        self.start_server(max_connections=1)
        self.connect()
        gevent.sleep(0.05)
        self.connect()
        gevent.sleep(0.05)
        with gevent.Timeout(1.0, AssertionError("stop_accepting still waits")):
            self.server.stop_accepting()

    def test_a_stop_answers_a_pipelined_request_that_was_read(self):
        started = gevent.event.Event()

        def answer(request):
            started.set()
            gevent.sleep(0.2)
            return Reply(
                Answered(200, [], Body(request.head.target)), [], lambda delivered: None
            )

        self.start_server(answer)
        socket = self.connect()
        socket.sendall(REQUEST + REQUEST.replace(b"/x", b"/second"))
        started.wait()
        self.server.stop_accepting()
        self.assertIn(b"/second", receive_until(socket, b"/second"))
