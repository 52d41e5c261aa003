"""Test that a stop answers requests at each moment of their arrival."""

import os
import resource
import unittest

import gevent
import gevent.socket
import msgspec
from gevent.monkey import get_original

from fuchsiaspool.mesh import CONTEXT_HEADER, MeshContext, MeshOutcome
from fuchsiaspool.outcomes import NotRunReason

from .callers import make_request, receive_until
from .sidecar_case import ReceivedRequest, SidecarTestCase
from .support import ScriptedServer, make_options, start_node

BLOCKED_SECONDS = 0.05
SERVICE_SECONDS = 0.2
HEAD = (
    b"POST /read/1 HTTP/1.1\r\nHost: h.example\r\n"
    b"Fuchsiaspool-Attempt-Id: a1\r\nFuchsiaspool-Deadline-Ms: 900\r\n"
    b"Content-Length: 4\r\n"
)
BODY = b"\r\nbody"
REQUEST = HEAD + BODY
LARGE_BODY = b"x" * 8_000_000


def answer_slowly(request):
    gevent.sleep(SERVICE_SECONDS)
    return ReceivedRequest.answer(request)


def answer_for_long(request):
    gevent.sleep(0.4)
    return ReceivedRequest.answer(request)


class LostAtStopTests(SidecarTestCase):
    def setUp(self):
        super().setUp()
        self.start_pair(answer_slowly)
        self.address = self.edge.options.outbound

    def connect(self):
        address = (self.address.host, self.address.port)
        socket = gevent.socket.create_connection(address)
        self.addCleanup(socket.close)
        return socket

    def connect_kept(self):
        """Return a connection on which the node waits for a request."""
        socket = self.connect()
        gevent.sleep(BLOCKED_SECONDS)
        return socket

    def stop_node(self, before_close):
        """Stop the node up to its exit; act just before its listeners close."""
        close_listeners = self.edge.close_listeners

        def act_and_close():
            before_close()
            # What was sent arrives while the event loop does not run.
            get_original("time", "sleep")(BLOCKED_SECONDS)
            close_listeners()

        self.edge.close_listeners = act_and_close
        stopping = gevent.spawn(self.edge.stop)
        stopping.get(timeout=4)
        # The process exits now, which closes every connection.
        self.edge.abort()

    def check_answered(self, socket):
        socket.settimeout(1.0)
        self.assertIn(b"HTTP/1.1 200 OK", socket.recv(65536))

    def test_a_request_still_unread_as_the_listeners_close_is_lost(self):
        kept = []

        def send():
            kept[0].sendall(REQUEST)

        gevent.spawn_later(0.8, lambda: kept.append(self.connect()))
        self.stop_node(send)
        self.check_answered(kept[0])

    def test_a_request_in_the_accept_queue_is_lost(self):
        sockets = []

        def send():
            original = get_original("socket", "create_connection")
            sockets.append(original((self.address.host, self.address.port)))
            self.addCleanup(sockets[0].close)
            sockets[0].sendall(REQUEST)

        self.stop_node(send)
        self.check_answered(sockets[0])

    def test_a_request_on_a_connection_accepted_last_is_lost(self):
        sockets = []

        def send():
            original = get_original("socket", "create_connection")
            sockets.append(original((self.address.host, self.address.port)))
            self.addCleanup(sockets[0].close)
            gevent.spawn_later(0.05, sockets[0].sendall, REQUEST)

        self.stop_node(send)
        self.check_answered(sockets[0])

    def test_a_request_whose_head_is_half_read_is_lost(self):
        socket = self.connect_kept()
        socket.sendall(HEAD)
        gevent.sleep(BLOCKED_SECONDS)
        self.stop_node(lambda: gevent.spawn_later(0.1, socket.sendall, BODY))
        self.check_answered(socket)

    def test_a_request_whose_body_is_half_read_is_lost(self):
        socket = self.connect_kept()
        socket.sendall(HEAD + BODY[:4])
        gevent.sleep(BLOCKED_SECONDS)
        self.stop_node(lambda: gevent.spawn_later(0.1, socket.sendall, BODY[4:]))
        self.check_answered(socket)

    def test_a_call_of_a_peer_still_unread_as_the_listeners_close_is_lost(self):
        self.address = self.deep.options.inbound
        self.edge, self.deep = self.deep, self.edge
        kept = []
        gevent.spawn_later(0.8, lambda: kept.append(self.connect()))
        context = MeshContext("a1", "registry", "quota", 1.0, False, 900.0, 0)
        line = b"%b: %b\r\n" % (CONTEXT_HEADER, msgspec.json.encode(context))
        self.stop_node(lambda: kept[0].sendall(HEAD + line + BODY))
        self.check_answered(kept[0])


class RequestDuringStopTests(SidecarTestCase):
    def test_a_connection_made_after_the_signal_stays_open_while_listening(self):
        self.start_pair()
        gevent.spawn(self.edge.stop)
        gevent.sleep(0.1)
        socket = self.connect()
        # The listeners close 1.0 s after the signal, this request comes 0.3 s before.
        gevent.sleep(0.6)
        socket.sendall(make_request())
        self.assertIn(b"fine", receive_until(socket, b"fine"))

    def test_a_slow_head_after_the_signal_is_served_while_listening(self):
        self.start_pair()
        gevent.spawn(self.edge.stop)
        gevent.sleep(0.1)
        socket = self.connect()
        request = make_request()
        socket.sendall(request[:40])
        gevent.sleep(0.3)
        socket.sendall(request[40:60])
        gevent.sleep(0.3)
        socket.sendall(request[60:])
        self.assertIn(b"fine", receive_until(socket, b"fine"))

    def complete_late(self, name, script, address, pause, extra=b""):
        """Return what a caller gets whose request ends `pause` seconds into a stop."""
        self.start_pair(script)
        node = getattr(self, name)
        target = getattr(node.options, address)
        socket = gevent.socket.create_connection((target.host, target.port))
        self.addCleanup(socket.close)
        request = make_request()[:-2] + extra + b"\r\n"
        gevent.sleep(0.05)
        stopping = gevent.spawn(self.exit_after_stop, node)
        gevent.sleep(0.5)
        socket.sendall(request[:-2])
        gevent.sleep(pause - 0.5)
        socket.sendall(request[-2:])
        received = receive_until(socket, b"}")
        stopping.get(timeout=3)
        return received

    def check_refused(self, received):
        # Nobody ran it, and the caller may send it again at once.
        self.assertEqual(self.server.requests, [])
        self.assertIn(b"HTTP/1.1 503 ", received)
        self.assertIn(b"\r\nretry-after: ", received)
        self.assertIn(b"\r\nconnection: close", received)

    def test_a_request_completed_late_in_a_stop_is_refused(self):
        # The listeners close after 1.0 s; the stop waits until 1.7 s, and the server
        # works for 0.4 s.
        received = self.complete_late("edge", answer_for_long, "outbound", 1.5)
        self.check_refused(received)
        self.assertNotIn(b"fuchsiaspool-outcome", received)

    def test_a_call_of_a_peer_completed_late_in_a_stop_is_refused(self):
        context = MeshContext("a1", "registry", "quota", 1.0, False, 900.0, 0)
        line = b"%b: %b\r\n" % (CONTEXT_HEADER, msgspec.json.encode(context))
        received = self.complete_late("deep", answer_for_long, "inbound", 1.5, line)
        self.check_refused(received)
        head, _, _ = received.partition(b"\r\n\r\n")
        _, _, values = head.partition(b"fuchsiaspool-outcome: ")
        outcome = msgspec.json.decode(values.partition(b"\r\n")[0], type=MeshOutcome)
        self.assertEqual(outcome.not_run, NotRunReason.LEAVING)

    def test_a_stop_without_free_descriptors_ends(self):
        self.start_pair()
        stopping = gevent.spawn(self.edge.stop)
        gevent.sleep(0.9)
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        spare = os.open("/dev/null", os.O_RDONLY)
        os.close(spare)
        resource.setrlimit(resource.RLIMIT_NOFILE, (spare, limits[1]))
        try:
            gevent.sleep(0.3)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        stopping.join(2.0)
        self.assertIsNone(stopping.exception)
        self.assertTrue(self.edge.stopped.is_set())

    def test_a_head_without_end_prolongs_a_stop_no_longer_than_the_grace(self):
        self.start_pair()
        socket = self.connect()
        socket.sendall(make_request()[:-2])
        gevent.sleep(0.1)
        seconds = self.exit_after_stop(self.edge)
        print(f"\nstop with half a head: {seconds:.3f} s of a grace of 2 s")
        self.assertLess(seconds, 2.0)

    def test_a_caller_that_does_not_read_prolongs_a_stop_within_the_grace(self):
        self.start_pair(lambda request: request.answer(body=LARGE_BODY))
        socket = self.connect()
        socket.sendall(make_request())
        gevent.sleep(0.3)
        seconds = self.exit_after_stop(self.edge)
        print(f"\nstop with a caller that does not read: {seconds:.3f} s")
        self.assertLess(seconds, 2.0)

    def test_many_connections_without_a_request_delay_a_stop_by_half_a_second(self):
        self.start_pair()
        sockets = [self.connect() for _ in range(200)]
        gevent.sleep(0.1)
        seconds = self.exit_after_stop(self.edge)
        print(f"\nstop with {len(sockets)} silent connections: {seconds:.3f} s")
        self.assertLess(seconds, 1.7)

    def test_a_stop_with_nothing_open_takes_no_longer(self):
        self.start_pair()
        self.assertEqual(self.send_request().status, 200)
        seconds = self.exit_after_stop(self.edge)
        print(f"\nstop with one idle connection: {seconds:.3f} s")
        self.assertLess(seconds, 1.2)

    def test_a_second_stop_signal_does_not_cut_a_request(self):
        def answer(request):
            gevent.sleep(0.4)
            return request.answer()

        self.start_pair(answer)
        socket = self.connect()
        gevent.sleep(0.05)
        gevent.spawn(self.exit_after_stop, self.edge)
        gevent.sleep(0.8)
        socket.sendall(make_request())
        gevent.sleep(0.1)
        self.edge.stop()
        self.assertIn(b"fine", receive_until(socket, b"fine"))

    def test_a_pooled_connection_that_a_leaving_peer_just_closed_gives_an_answer(self):
        self.start_pair()
        self.assertEqual(self.send_request().status, 200)
        self.deep.close_listeners()
        received = []
        for path, method in (("/read/1", "GET"), ("/certify/1", "POST")):
            answer = self.send_request(path, method)
            received.append((method, answer.status, answer.data))
        print(f"\nclosed by a leaving peer: {received}")
        self.assertTrue(all(status >= 500 for _, status, _ in received))


class LostAtStopOfNodeTests(unittest.TestCase):
    def test_a_request_half_sent_as_the_listeners_close_gets_no_answer(self):
        server = ScriptedServer(b"")
        self.addCleanup(server.stop)
        node = start_node(self, make_options(server.address))
        address = node.options.callers
        socket = gevent.socket.create_connection((address.host, address.port))
        self.addCleanup(socket.close)
        socket.sendall(b"GET /quota/1 HTTP/1.1\r\n")
        gevent.sleep(BLOCKED_SECONDS)
        gevent.spawn_later(0.4, socket.sendall, b"host: quota\r\n\r\n")
        node.stop()
        # The process exits now, which closes every connection.
        node.abort()
        socket.settimeout(1.0)
        # No other node serves the request.
        self.assertIn(b"HTTP/1.1 503 ", socket.recv(65536))
