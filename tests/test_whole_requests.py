"""Test that each whole request gets an answer, whatever callers and servers send."""

import itertools
import unittest

import gevent
import gevent.socket

from fuchsiaspool.clock import SystemClock
from fuchsiaspool.http.client import ConnectionPool, make_call_sender

from .callers import make_request, receive_until
from .sidecar_case import CONFIGURATION, SidecarTestCase, StubServer
from .support import make_call


class AnswerTests(SidecarTestCase):
    def connect(self, node=None):
        address = (node or self.edge).options.outbound
        socket = gevent.socket.create_connection((address.host, address.port))
        self.addCleanup(socket.close)
        return socket

    def test_an_odd_keep_alive_header_of_the_local_server_leaves_the_answer_whole(self):
        self.start_pair()
        self.assertEqual(self.send_heartbeat(self.edge), 200)
        self.await_condition(lambda: self.edge.members.list_service("registry"))
        extra = b"Fuchsiaspool-Server-Signature: s\r\nKeep-Alive: timeout=\xb2\r\n"
        self.other.script = lambda request: request.answer(extra=extra)
        socket = self.connect()
        socket.sendall(make_request(path="/front/1"))
        received = receive_until(socket, b"\r\n\r\n")
        self.assertEqual(len(self.other.requests), 1)
        self.assertIn(b"HTTP/1.1 ", received)

    def test_odd_requests_end_with_an_answer(self):
        self.start_pair()
        odd_values = ("nan", "inf", "-1", "1e400", "", "x", "\u0669", "1_0", "0")
        cases = [{"Fuchsiaspool-Deadline-Ms": value} for value in odd_values]
        odd_values = ("", ".", "a.", "..", "a1.b", "\u00e9\u4e2d", "a" * 9000, "a b")
        cases += [{"Fuchsiaspool-Attempt-Id": value} for value in odd_values]
        odd_values = ("", "[::1]:80", "h.example:", ":", "\u00e9", "H.EXAMPLE:1")
        cases += [{"Host": value} for value in odd_values]
        cases += [
            {"Connection": "x, close, , fuchsiaspool-mesh"},
            {"Expect": "100-continue", "Content-Length": "0"},
            {"Fuchsiaspool-Mesh": "[]", "Fuchsiaspool-Outcome": "{"},
            {"Content-Length": "0", "Cookie": "\u00ff"},
        ]
        targets = ("/read/1", "*", "//", "/read/%zz", "http://h.example/read/1")
        targets += ("/read/\u00e9", "/read/1?a=%00#b", "/read/../certify/1", "?")
        lines = [(f"GET {target}", {}) for target in targets]
        lines += [(f"{m} /read/1", {}) for m in ("OPTIONS", "TRACE", "HEAD", "PURGE")]
        lines += [("GET /read/1", case) for case in cases]
        unanswered = []
        for line, case in lines:
            fields = {"Host": "h.example", "Fuchsiaspool-Attempt-Id": "a1"} | case
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            socket = self.connect()
            socket.sendall(f"{line} HTTP/1.1\r\n{head}\r\n".encode())
            received = receive_until(socket, b"\r\n\r\n", 1.5)
            if not received.startswith(b"HTTP/1.1 "):
                unanswered.append((line, str(case)[:60], received))
            socket.close()
        self.assertEqual(unanswered, [])

    def test_odd_answers_of_a_server_end_with_an_answer(self):
        signed = b"Fuchsiaspool-Server-Signature: s\r\n"
        answers = [
            b"HTTP/1.1 %b X\r\n%bContent-Length: 2\r\n\r\nab" % (status, signed)
            for status in (b"100", b"101", b"199", b"204", b"304", b"299", b"999", b"0")
        ]
        odd_headers = (
            b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            b"Content-Length: -1\r\n\r\n",
            b"Content-Length: 99999999999999999999999\r\n\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: 1\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"Transfer-Encoding: gzip\r\n\r\nab",
            b"Fuchsiaspool-Load-Limit: \xff\r\nContent-Length: 2\r\n\r\nab",
            b"Keep-Alive: timeout=\xb2\r\nContent-Length: 2\r\n\r\nab",
            b"Keep-Alive: timeout=" + b"9" * 5000 + b"\r\nContent-Length: 2\r\n\r\nab",
            b"Connection: upgrade\r\nUpgrade: x\r\nContent-Length: 2\r\n\r\nab",
            b": x\r\nContent-Length: 2\r\n\r\nab",
        )
        answers += [b"HTTP/1.1 200 X\r\n" + signed + header for header in odd_headers]
        answers += [b"\0", b"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", b"\r\n" * 9]
        self.start_pair(lambda request: next(script))
        unanswered = []
        for answer in answers:
            script = itertools.repeat(answer)
            socket = self.connect()
            socket.sendall(make_request(path="/quick/1"))
            received = receive_until(socket, b"\r\n\r\n", 2.5)
            if not received.startswith(b"HTTP/1.1 "):
                unanswered.append((answer[:90], received))
            socket.close()
        self.assertEqual(unanswered, [])

    def test_a_caller_that_shuts_down_its_sending_side_gets_an_answer(self):
        def answer(request):
            gevent.sleep(0.2)
            return request.answer()

        self.start_pair(answer)
        socket = self.connect()
        socket.sendall(make_request())
        gevent.sleep(0.05)
        socket.shutdown(gevent.socket.SHUT_WR)
        received = receive_until(socket, b"fine")
        print(f"\nhalf-closed: {received[:60]!r}")
        self.assertIn(b"HTTP/1.1 ", received)

    def test_a_peer_that_exits_during_an_exchange_leaves_an_answer(self):
        self.start_pair(lambda request: None)
        for path, method in (("/read/1", "GET"), ("/certify/1", "POST")):
            socket = self.connect()
            request = make_request(method=method, path=path)
            if method == "POST":
                request = request[:-2] + b"Content-Length: 0\r\n\r\n"
            socket.sendall(request)
        gevent.sleep(0.2)
        self.assertEqual(len(self.server.requests), 2)
        self.deep.abort()
        received = receive_until(socket, b"}")
        print(f"\npeer exits: {received.splitlines()[0]!r}")
        self.assertIn(b"HTTP/1.1 50", received)

    def test_a_configuration_that_drops_a_route_cuts_no_request_on_it(self):
        def answer(request):
            gevent.sleep(0.5)
            return request.answer()

        self.start_pair(answer)
        socket = self.connect()
        socket.sendall(make_request())
        gevent.sleep(0.1)
        host = CONFIGURATION["virtualHosts"][0]
        changed = CONFIGURATION | {
            "version": "0000000d",
            "virtualHosts": [host | {"paths": host["paths"][1:]}],
            "limits": {"idleTimeoutS": 0.2},
        }
        self.store_configuration(changed)
        self.assertIn(b"fine", receive_until(socket, b"fine"))


class ExchangeTests(unittest.TestCase):
    def test_an_error_in_an_exchange_closes_its_connection(self):
        def fail():
            raise KeyError("a fault of the program")

        server = StubServer()
        self.addCleanup(server.stop)
        clock = SystemClock()
        send = make_call_sender(ConnectionPool(), clock)
        with self.assertRaises(KeyError) as context:
            send(server.address, make_call(clock), fail)
        self.assertTrue(server.closed.wait(1.0), context.exception)
