"""Test ways in which a whole request may end without a complete answer."""

import json
import signal
import subprocess
import sys
import tempfile

import gevent
import gevent.event
import gevent.socket
import urllib3
from gevent.monkey import get_original

from fuchsiaspool.bodies import Body
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.http.answer_format import DEFAULT_ANSWER_FORMAT, AnswerFormat
from fuchsiaspool.http.server import HttpServer, Reply
from fuchsiaspool.outcomes import Answered
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.platform.configuration import CONFIGURATION_KEY

from .callers import Load, make_request, receive_until
from .sidecar_case import CONFIGURATION, SidecarTestCase, StubServer
from .support import allocate_address
from .test_sidecar_process import SETTINGS

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE_BODY = b"x" * 8_000_000
block_event_loop = get_original("time", "sleep")


class ServerTests(SidecarTestCase):
    def setUp(self):
        """Start no platform."""
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


class NodeTests(SidecarTestCase):
    def connect(self, node=None):
        address = (node or self.edge).options.outbound
        socket = gevent.socket.create_connection((address.host, address.port))
        self.addCleanup(socket.close)
        return socket

    def exit_after_stop(self, node):
        started = node.clock.now()
        node.stop()
        node.abort()
        return node.clock.now() - started

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

    def test_a_stop_under_load_loses_no_request_that_was_passed_on(self):
        def answer(request):
            gevent.sleep(0.02)
            return request.answer()

        self.start_pair(answer)
        self.send_heartbeat(self.deep, sequence=2, slots=1000)
        load = Load(self.connect)
        gevent.sleep(0.3)
        self.exit_after_stop(self.edge)
        load.wait()
        lost = load.find_lost(self.server)
        print(f"\nunder load: {load.describe()}, {len(lost)} of these were passed on")
        self.assertEqual(lost, set())

    def test_a_peer_that_stops_under_load_leaves_no_request_unanswered(self):
        def answer(request):
            gevent.sleep(0.05)
            return request.answer()

        self.start_pair(answer)
        second = StubServer(answer)
        self.addCleanup(second.stop)
        other = self.start_node("deep2", "quota", second)
        for node, instance in ((self.deep, "i-1"), (other, "i-2")):
            self.send_heartbeat(node, sequence=2, slots=200, instance=instance)
        self.await_condition(lambda: len(self.edge.members.list_service("quota")) == 2)
        load = Load(self.connect)
        gevent.sleep(0.5)
        self.exit_after_stop(self.deep)
        gevent.sleep(0.3)
        self.exit_after_stop(self.edge)
        load.wait()
        print(f"\npeer stops: {load.describe()}, {dict(load.statuses)}")
        self.assertEqual(load.unanswered, [])
        self.assertEqual(load.statuses[502], 0)


class ProcessTests(SidecarTestCase):
    def test_a_process_that_stops_under_load_loses_no_request_that_was_passed_on(self):
        def answer(request):
            gevent.sleep(0.1)
            return request.answer()

        server = StubServer(answer)
        self.addCleanup(server.stop)
        names = ("outbound", "inbound", "readiness", "reports", "peers", "metrics")
        addresses = {name: allocate_address() for name in names}
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as settings:
            text = SETTINGS.format(
                platform=self.platform.address,
                server=server.address,
                grace=2.0,
                **addresses,
            )
            settings.write(text)
            settings.flush()
            command = [sys.executable, "-m", "fuchsiaspool.commands.sidecar"]
            process = subprocess.Popen(
                [*command, settings.name], stdout=subprocess.DEVNULL
            )
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            client = make_platform_store(self.platform.address, SystemClock(), None)
            client.put(CONFIGURATION_KEY, json.dumps(CONFIGURATION).encode(), None)
            body = {
                "address": str(server.address),
                "born": 100,
                "nodeInfo": {"service": "registry", "slots": 500},
                "status": {"state": "ready", "seq": 1, "coldRemainingS": 0},
            }
            url = f"http://{addresses['reports']}/-/instances/i-1"
            outbound = (addresses["outbound"].host, addresses["outbound"].port)

            def is_ready():
                try:
                    self.http.request("PUT", url, body=json.dumps(body))
                    with gevent.socket.create_connection(outbound) as socket:
                        socket.sendall(make_request(path="/front/1"))
                        return receive_until(socket, b"\r\n").startswith(
                            b"HTTP/1.1 200"
                        )
                except (OSError, urllib3.exceptions.HTTPError):
                    return False

            self.await_condition(is_ready)
            load = Load(lambda: gevent.socket.create_connection(outbound), "/front/1")
            gevent.sleep(0.5)
            process.send_signal(signal.SIGTERM)
            started = SystemClock().now()
            self.await_condition(lambda: process.poll() is not None)
            seconds = SystemClock().now() - started
            load.wait()
        lost = load.find_lost(server)
        print(f"\nprocess: {load.describe()}, {len(lost)} passed on, {seconds:.3f} s")
        self.assertEqual(lost, set())
