"""Test how a node handles malformed, slow, aborted, crossing and large requests."""

import resource
import unittest

import gevent
import gevent.socket
import msgspec

from fuchsiaspool.bodies import Body
from fuchsiaspool.http.listeners import listen
from fuchsiaspool.http.server import HttpServer, Reply
from fuchsiaspool.ids import ServiceName, SubtreePath
from fuchsiaspool.outcomes import Answered
from fuchsiaspool.standins.server import ServerPlan, ServerStandin

from .support import (
    SETTINGS_TEXTS,
    ScriptedServer,
    allocate_address,
    make_options,
    start_node,
)

QUOTA_PATH = SubtreePath("agency/quota")
LARGE_BODY_BYTES = 200 * 1024 * 1024
PIECE_BYTES = 64 * 1024
MAX_MEMORY_GROWTH_KB = 20 * 1024


def exchange(address, data, until=b""):
    """Send bytes, and return what is received until a close or until `until`."""
    socket = gevent.socket.create_connection((address.host, address.port), 5)
    with socket:
        socket.sendall(data)
        received = b""
        while until not in received or not until:
            piece = socket.recv(65536)
            if not piece:
                break
            received += piece
    return received


def encode_get(path="/quota/1", *lines):
    return (
        "\r\n".join([f"GET {path} HTTP/1.1", "host: quota", *lines, "", ""])
    ).encode()


class EdgeTests(unittest.TestCase):
    def start(self, handle=None, plan=None, **fields):
        address = allocate_address()
        if handle is not None:
            server = HttpServer(address, handle)
        else:
            plan = plan or ServerPlan(slots=4, service_time=0.0, answer_size=5)
            server = ServerStandin(address, plan)
        server.start()
        self.addCleanup(server.kill)
        self.server = server
        return start_node(self, make_options(address, **fields))

    def check_error(self, received, status, reason):
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 %d " % status), head)
        self.assertEqual(msgspec.json.decode(body)["reason"], reason)

    def test_malformed_requests_get_a_status_and_a_reason(self):
        node = self.start()
        callers, mesh = node.options.callers, node.options.mesh
        close = "connection: close"
        long_header = "x-pad: " + "y" * 40_000
        many_headers = [f"x-{n}: 1" for n in range(200)]
        bad_length = "content-length: nine"
        cases = [
            (callers, encode_get("/", long_header), 431, "header-too-large"),
            (callers, encode_get("/", *many_headers), 431, "header-too-large"),
            (callers, b"nonsense\r\n\r\n", 400, "bad-request"),
            (callers, encode_get("/", bad_length), 400, "bad-request"),
            (callers, encode_get("/", close, "x-timeout-ms: soon"), 400, "bad-request"),
            (
                callers,
                encode_get("/", close, "x-request-attempt: 0"),
                400,
                "bad-request",
            ),
            (mesh, encode_get("/", close), 400, "bad-context"),
            (mesh, encode_get("/", close, "fuchsiaspool-mesh: {"), 400, "bad-context"),
            (mesh, encode_get("/", close, "fuchsiaspool-mesh: []"), 400, "bad-context"),
            (
                node.options.egress,
                encode_get("/", close).replace(b"host: quota", b"host: nowhere"),
                404,
                "unknown-service",
            ),
        ]
        for address, data, status, reason in cases:
            with self.subTest(reason=reason, data=data[:60]):
                self.check_error(exchange(address, data), status, reason)
        received = exchange(callers, encode_get("/quota/1", close))
        self.assertTrue(received.startswith(b"HTTP/1.1 200"))

    def test_drops_internal_headers_from_callers(self):
        seen = []

        def handle(request):
            seen.append(dict(request.head.headers))
            return Reply(Answered(200, [], Body(b"ok")), [], lambda delivered: None)

        node = self.start(handle)
        forged = 'fuchsiaspool-mesh: {"allowance":99}'
        forged_token = "fuchsiaspool-context: a-1"
        exchange(
            node.options.callers,
            encode_get("/quota/1", forged, forged_token),
            b"\r\n\r\nok",
        )
        self.assertNotIn(b"fuchsiaspool-mesh", seen[0])
        self.assertEqual(seen[0][b"fuchsiaspool-context"], b"a-1")

    def test_answers_pipelined_requests_in_order(self):
        def handle(request):
            number = request.head.target[-1:]
            gevent.sleep(0.05 if number == b"1" else 0.0)
            return Reply(Answered(200, [], Body(number)), [], lambda delivered: None)

        node = self.start(handle)
        data = encode_get("/quota/1") + encode_get("/quota/2") + encode_get("/quota/3")
        received = exchange(node.options.callers, data, b"\r\n\r\n3")
        bodies = [part[:1] for part in received.split(b"\r\n\r\n")[1:]]
        self.assertEqual(bodies, [b"1", b"2", b"3"])

    def test_concurrent_answers_reach_their_own_callers(self):
        def handle(request):
            number = int(request.head.target.rpartition(b"/")[2])
            gevent.sleep((number * 7 % 5) / 100)
            return Reply(
                Answered(200, [], Body(b"%d" % number)), [], lambda delivered: None
            )

        node = self.start(handle)

        def send_get(number):
            path = f"/quota/{number}"
            data = encode_get(path, "connection: close", "x-timeout-ms: 4000")
            return exchange(node.options.callers, data).rpartition(b"\r\n\r\n")[2]

        tasks = [gevent.spawn(send_get, number) for number in range(20)]
        gevent.joinall(tasks)
        self.assertEqual([t.value for t in tasks], [b"%d" % n for n in range(20)])

    def test_truncated_answer_is_not_relayed_as_complete(self):
        for size in (1_000, 500_000):
            for framing in ("sized", "chunked"):
                with self.subTest(size=size, framing=framing):
                    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (size + 9)
                    body = b"x" * size
                    if framing == "chunked":
                        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                        body = b"%x\r\n%b\r\n" % (size, body)
                    server = ScriptedServer(head + body)
                    self.addCleanup(server.stop)
                    options = make_options(server.address)
                    node = start_node(self, options)
                    received = exchange(
                        node.options.callers,
                        encode_get("/labels/1", "connection: close"),
                    )
                    self.assertNotEqual(received[-5:], b"0\r\n\r\n")
                    sized = framing == "sized"
                    if sized and received.startswith(b"HTTP/1.1 200"):
                        whole = received.partition(b"\r\n\r\n")[2]
                        self.assertLess(len(whole), size + 9)

    def test_idle_and_slow_connections_use_no_slot(self):
        node = self.start(plan=ServerPlan(slots=1, service_time=0.0, answer_size=5))
        address = node.options.callers
        sockets = []
        for number in range(60):
            socket = gevent.socket.create_connection((address.host, address.port))
            socket.sendall((b"", b"GET /quota/1 HTT", encode_get()[:-2])[number % 3])
            sockets.append(socket)
        upload = b"POST /x HTTP/1.1\r\nhost: quota\r\ncontent-length: 99\r\n\r\nabc"
        sockets[0].sendall(upload)
        received = exchange(address, encode_get("/quota/1", "connection: close"))
        self.assertTrue(received.startswith(b"HTTP/1.1 200"))
        self.assertEqual(node.core.admission.in_flight, 0)
        for socket in sockets:
            socket.close()

    def test_disconnect_of_a_caller_frees_its_slot_and_queue_position(self):
        node = self.start(plan=ServerPlan(slots=4, service_time=0.5))
        address = node.options.callers
        sockets = []
        for _ in range(10):
            socket = gevent.socket.create_connection((address.host, address.port))
            socket.sendall(encode_get("/quota/1"))
            sockets.append(socket)
        gevent.sleep(0.1)
        self.assertEqual(node.core.admission.in_flight, 4)
        for socket in sockets:
            socket.close()
        gevent.sleep(0.1)
        self.assertEqual(node.core.admission.in_flight, 0)
        self.assertEqual(node.core.admission.queued, 0)
        self.assertEqual(self.server.record.started, 4)

    def start_two_nodes(self, handle=None, service_time=0.5):
        """Start a node of service lots and the node of service quota that it calls."""
        plan = ServerPlan(slots=4, service_time=service_time, answer_size=5)
        next_node = self.start(handle, plan, node="far")
        lots_text = SETTINGS_TEXTS[QUOTA_PATH].replace("quota]", "lots]")
        lots_text = lots_text.replace("team = quota", "team = lots")
        texts = {**SETTINGS_TEXTS, SubtreePath("agency/lots"): lots_text}
        options = make_options(
            allocate_address(), node="near", service=ServiceName("lots")
        )
        calling_node = start_node(self, options, texts)
        calling_node.core.members.merge(next_node.membership.local_member)
        return calling_node, next_node

    def test_propagates_cancellation_and_deadline_to_the_next_node(self):
        calling_node, next_node = self.start_two_nodes()
        address = calling_node.options.callers
        socket = gevent.socket.create_connection((address.host, address.port))
        socket.sendall(encode_get("/quota/1"))
        gevent.sleep(0.1)
        self.assertEqual(next_node.core.admission.in_flight, 1)
        socket.close()
        gevent.sleep(0.1)
        self.assertEqual(next_node.core.admission.in_flight, 0)
        received = exchange(
            address, encode_get("/quota/1", "connection: close", "x-timeout-ms: 60")
        )
        self.check_error(received, 504, "timeout")
        gevent.sleep(0.05)
        self.assertEqual(next_node.core.admission.in_flight, 0)

    def test_server_receives_the_remaining_time_but_no_internal_headers(self):
        seen = []

        def handle(request):
            seen.append(dict(request.head.headers))
            return Reply(Answered(200, [], Body(b"ok")), [], lambda delivered: None)

        calling_node, _ = self.start_two_nodes(handle)
        lines = ("connection: close", "x-timeout-ms: 400", "x-request-id: r-7")
        received = exchange(
            calling_node.options.callers, encode_get("/quota/1", *lines)
        )
        self.assertTrue(received.endswith(b"ok"))
        self.assertIn(b"x-request-id: r-7", received)
        self.assertLessEqual(int(seen[0][b"fuchsiaspool-deadline-ms"]), 400)
        self.assertNotIn(b"fuchsiaspool-mesh", seen[0])

    def test_streams_large_bodies_both_ways_in_bounded_memory(self):
        received = []

        def handle(request):
            received.append(sum(map(len, request.body)))
            pieces = (
                b"x" * PIECE_BYTES for _ in range(LARGE_BODY_BYTES // PIECE_BYTES)
            )
            body = Body(b"", LARGE_BODY_BYTES, pieces)
            return Reply(Answered(200, [], body), [], lambda delivered: None)

        node = self.start(handle)
        address = node.options.callers
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        socket = gevent.socket.create_connection((address.host, address.port))
        head = "POST /labels/1 HTTP/1.1\r\nhost: quota\r\ntransfer-encoding: chunked"
        socket.sendall(f"{head}\r\n\r\n".encode())
        chunk = b"%x\r\n" % PIECE_BYTES + b"y" * PIECE_BYTES + b"\r\n"
        for _ in range(LARGE_BODY_BYTES // PIECE_BYTES):
            socket.sendall(chunk)
        socket.sendall(b"0\r\n\r\n")
        size = 0
        while size < LARGE_BODY_BYTES:
            piece = socket.recv(1 << 18)
            self.assertTrue(piece)
            size += len(piece)
        socket.close()
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.assertEqual(received, [LARGE_BODY_BYTES])
        self.assertLess(after - before, MAX_MEMORY_GROWTH_KB)

    def test_sockets_do_not_wait_for_delayed_acknowledgements(self):
        # Without TCP_NODELAY the second write of an answer on a kept-alive connection
        # waits until the peer acknowledges the first one.
        node = self.start()
        address = node.options.callers
        socket = gevent.socket.create_connection((address.host, address.port))
        self.addCleanup(socket.close)
        option = gevent.socket.TCP_NODELAY
        socket.sendall(encode_get())
        socket.recv(65536)
        nodelay = [
            connection.channel.socket.getsockopt(gevent.socket.IPPROTO_TCP, option)
            for idle in node.components.pool._idle.values()
            for connection in idle
        ]
        self.assertEqual(set(nodelay), {1})
        listening = listen(allocate_address())
        self.addCleanup(listening.close)
        self.assertEqual(listening.getsockopt(gevent.socket.IPPROTO_TCP, option), 1)
