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
LARGE = 200 * 1024 * 1024
PIECE = 64 * 1024
GROWTH_KB = 20 * 1024


def exchange(address, data, until=b""):
    """Send bytes, and read until the peer closes or `until` has come."""
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

    def read_refusal(self, received, status, reason):
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 %d " % status), head)
        self.assertEqual(msgspec.json.decode(body)["reason"], reason)

    def test_bad_input_gets_a_status_and_a_reason(self):
        node = self.start()
        callers, mesh = node.options.callers, node.options.mesh
        close = "connection: close"
        long = "x-pad: " + "y" * 40_000
        many = [f"x-{n}: 1" for n in range(200)]
        bad_length = "content-length: nine"
        cases = [
            (callers, encode_get("/", long), 431, "header-too-large"),
            (callers, encode_get("/", *many), 431, "header-too-large"),
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
                self.read_refusal(exchange(address, data), status, reason)
        received = exchange(callers, encode_get("/quota/1", close))
        self.assertTrue(received.startswith(b"HTTP/1.1 200"))

    def test_internal_headers_from_outside_are_dropped(self):
        seen = []

        def handle(request):
            seen.append(dict(request.head.headers))
            return Reply(Answered(200, [], Body(b"ok")), [], lambda whole: None)

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

    def test_pipelined_requests_get_their_own_answers_in_order(self):
        def handle(request):
            number = request.head.target[-1:]
            gevent.sleep(0.05 if number == b"1" else 0.0)
            return Reply(Answered(200, [], Body(number)), [], lambda whole: None)

        node = self.start(handle)
        data = encode_get("/quota/1") + encode_get("/quota/2") + encode_get("/quota/3")
        received = exchange(node.options.callers, data, b"\r\n\r\n3")
        bodies = [part[:1] for part in received.split(b"\r\n\r\n")[1:]]
        self.assertEqual(bodies, [b"1", b"2", b"3"])

    def test_answers_that_cross_reach_only_their_own_callers(self):
        def handle(request):
            number = int(request.head.target.rpartition(b"/")[2])
            gevent.sleep((number * 7 % 5) / 100)
            return Reply(Answered(200, [], Body(b"%d" % number)), [], lambda w: None)

        node = self.start(handle)

        def ask(number):
            line = f"/quota/{number}"
            data = encode_get(line, "connection: close", "x-timeout-ms: 4000")
            return exchange(node.options.callers, data).rpartition(b"\r\n\r\n")[2]

        tasks = [gevent.spawn(ask, number) for number in range(20)]
        gevent.joinall(tasks)
        self.assertEqual([t.value for t in tasks], [b"%d" % n for n in range(20)])

    def test_a_truncated_answer_is_never_passed_off_as_whole(self):
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

    def test_idle_and_trickling_connections_hold_no_slot(self):
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

    def test_a_caller_that_leaves_frees_its_slot_and_its_place_in_line(self):
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

    def start_two(self, handle=None, service_time=0.5):
        """Start a node of lots whose callers ask for quota, at the next node."""
        plan = ServerPlan(slots=4, service_time=service_time, answer_size=5)
        far = self.start(handle, plan, node="far")
        lots = SETTINGS_TEXTS[QUOTA_PATH].replace("quota]", "lots]")
        lots = lots.replace("team = quota", "team = lots")
        texts = {**SETTINGS_TEXTS, SubtreePath("agency/lots"): lots}
        options = make_options(
            allocate_address(), node="near", service=ServiceName("lots")
        )
        near = start_node(self, options, texts)
        near.core.members.merge(far.membership.local_member)
        return near, far

    def test_cancellation_and_deadline_travel_to_the_next_node(self):
        near, far = self.start_two()
        address = near.options.callers
        socket = gevent.socket.create_connection((address.host, address.port))
        socket.sendall(encode_get("/quota/1"))
        gevent.sleep(0.1)
        self.assertEqual(far.core.admission.in_flight, 1)
        socket.close()
        gevent.sleep(0.1)
        self.assertEqual(far.core.admission.in_flight, 0)
        received = exchange(
            address, encode_get("/quota/1", "connection: close", "x-timeout-ms: 60")
        )
        self.read_refusal(received, 504, "timeout")
        gevent.sleep(0.05)
        self.assertEqual(far.core.admission.in_flight, 0)

    def test_the_deadline_left_reaches_the_server_and_internal_headers_do_not(self):
        seen = []

        def handle(request):
            seen.append(dict(request.head.headers))
            return Reply(Answered(200, [], Body(b"ok")), [], lambda whole: None)

        near, _ = self.start_two(handle)
        lines = ("connection: close", "x-timeout-ms: 400", "x-request-id: r-7")
        received = exchange(near.options.callers, encode_get("/quota/1", *lines))
        self.assertTrue(received.endswith(b"ok"))
        self.assertIn(b"x-request-id: r-7", received)
        self.assertLessEqual(int(seen[0][b"fuchsiaspool-deadline-ms"]), 400)
        self.assertNotIn(b"fuchsiaspool-mesh", seen[0])

    def test_large_bodies_stream_both_ways_in_little_memory(self):
        received = []

        def handle(request):
            received.append(sum(map(len, request.body)))
            pieces = (b"x" * PIECE for _ in range(LARGE // PIECE))
            body = Body(b"", LARGE, pieces)
            return Reply(Answered(200, [], body), [], lambda whole: None)

        node = self.start(handle)
        address = node.options.callers
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        socket = gevent.socket.create_connection((address.host, address.port))
        head = "POST /labels/1 HTTP/1.1\r\nhost: quota\r\ntransfer-encoding: chunked"
        socket.sendall(f"{head}\r\n\r\n".encode())
        chunk = b"%x\r\n" % PIECE + b"y" * PIECE + b"\r\n"
        for _ in range(LARGE // PIECE):
            socket.sendall(chunk)
        socket.sendall(b"0\r\n\r\n")
        size = 0
        while size < LARGE:
            piece = socket.recv(1 << 18)
            self.assertTrue(piece)
            size += len(piece)
        socket.close()
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.assertEqual(received, [LARGE])
        self.assertLess(after - before, GROWTH_KB)

    def test_kept_alive_answers_do_not_wait_for_delayed_acknowledgements(self):
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
