import unittest

import gevent

from fuchsiaspool.addresses import Address
from fuchsiaspool.bodies import Body, IncompleteBodyError
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.controllers.contexts import CallContexts
from fuchsiaspool.filters.routing import may_retry
from fuchsiaspool.http.client import ConnectionPool, make_call_sender
from fuchsiaspool.local_dispatch import make_local_dispatch
from fuchsiaspool.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)

from .support import ScriptedServer, allocate_address, make_call

OK = b"HTTP/1.1 200 OK\r\n"
# What the server sends after it has read the request, whether it then resets the
# connection, and the reason that is expected; None if it depends on the timing.
FAILURES_AFTER_SENDING = {
    "reset before the first byte": (b"", True, UnknownReason.RESET),
    "closed before the first byte": (b"", False, UnknownReason.RESET),
    "reset inside the head": (b"HTTP/1.1 200 O", True, None),
    "closed inside the head": (b"HTTP/1.1 200 O", False, UnknownReason.TRUNCATED),
    "body shorter than its length": (
        OK + b"content-length: 10\r\n\r\n12345",
        False,
        UnknownReason.TRUNCATED,
    ),
    "chunked body without its last chunk": (
        OK + b"transfer-encoding: chunked\r\n\r\n5\r\n12345\r\n",
        False,
        UnknownReason.TRUNCATED,
    ),
    "answer without a length": (OK + b"\r\nhello", False, UnknownReason.UNFRAMED),
    "answer that is no HTTP": (b"hello\r\n\r\n", False, UnknownReason.BAD_ANSWER),
    "length and chunks at once": (
        OK + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        False,
        UnknownReason.BAD_ANSWER,
    ),
}


class FailurePointTests(unittest.TestCase):
    def setUp(self):
        self.clock = SystemClock()
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close)

    def dispatch(self, address, **fields):
        send = make_call_sender(self.pool, self.clock)
        step = make_local_dispatch(self.clock, address, send, CallContexts("t"))
        call = make_call(self.clock, **fields)
        return step(call), call

    def start(self, *args, **fields):
        server = ScriptedServer(*args, **fields)
        self.addCleanup(server.stop)
        return server

    def test_failures_after_sending_are_never_reported_as_not_run(self):
        for name, (script, reset, reason) in FAILURES_AFTER_SENDING.items():
            with self.subTest(name):
                server = self.start(script, reset)
                outcome, _ = self.dispatch(server.address)
                self.assertIsInstance(outcome, Unknown)
                self.assertEqual(len(server.requests), 1)
                if reason is not None:
                    self.assertEqual(outcome.reason, reason)

    def test_refused_connection_is_not_run(self):
        outcome, _ = self.dispatch(allocate_address())
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(outcome.reason, NotRunReason.CONNECT_FAILED)

    def test_connect_timeout_leaves_time_for_another_attempt(self):
        listener = gevent.socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        self.addCleanup(listener.close)
        for _ in range(4):
            # While its accept queue is full, the listener drops new connections.
            filler = gevent.socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            self.addCleanup(filler.close)
        gevent.sleep(0.05)
        started_at = self.clock.now()
        outcome, call = self.dispatch(Address(*listener.getsockname()), seconds=1.0)
        self.assertEqual(outcome.reason, NotRunReason.CONNECT_FAILED)
        self.assertLess(self.clock.now() - started_at, 0.6)

    def test_timeout_after_sending_is_unknown(self):
        server = self.start(b"", hold=1.0)
        outcome, _ = self.dispatch(server.address, seconds=0.05)
        self.assertEqual(outcome.reason, UnknownReason.TIMEOUT)

    def test_expired_call_is_not_run_and_not_sent(self):
        server = self.start(b"")
        outcome, _ = self.dispatch(server.address, seconds=-1.0)
        self.assertEqual(outcome.reason, NotRunReason.DEADLINE)
        self.assertEqual(server.requests, [])

    def test_typed_rejection_by_the_server_is_not_run(self):
        script = b"HTTP/1.1 503 Busy\r\nfuchsiaspool-not-run: full\r\n"
        server = self.start(script + b"content-length: 0\r\n\r\n")
        outcome, _ = self.dispatch(server.address)
        self.assertEqual(outcome.reason, NotRunReason.SERVER_REFUSED)

    def test_plain_server_error_is_an_answer_since_it_may_have_run(self):
        script = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"
        outcome, _ = self.dispatch(self.start(script).address)
        self.assertIsInstance(outcome, Answered)

    def test_connect_time_is_subtracted_from_the_sent_deadline(self):
        class SlowPool(ConnectionPool):
            def connect(self, address, timeout):
                gevent.sleep(0.3)
                return super().connect(address, timeout)

        self.pool = SlowPool()
        server = self.start(OK + b"content-length: 2\r\n\r\nhi")
        self.dispatch(server.address, seconds=1.0)
        head = server.requests[0].lower()
        left = int(head.split(b"deadline-ms: ")[1].split(b"\r")[0])
        self.assertLessEqual(left, 700)
        outcome, _ = self.dispatch(server.address, seconds=0.2)
        self.assertEqual(outcome.reason, NotRunReason.DEADLINE)
        self.assertEqual(len(server.requests), 1)

    def test_cancellation_before_sending_is_not_run(self):
        server = self.start(b"")
        call = make_call(self.clock)
        call.cancellation.cancel()
        send = make_call_sender(self.pool, self.clock)
        step = make_local_dispatch(self.clock, server.address, send, CallContexts("t"))
        self.assertEqual(step(call).reason, NotRunReason.CANCELLED)

    def test_cancellation_after_sending_is_unknown(self):
        server = self.start(b"", hold=1.0)
        call = make_call(self.clock)
        send = make_call_sender(self.pool, self.clock)
        step = make_local_dispatch(self.clock, server.address, send, CallContexts("t"))
        # The loop's time is that of its last turn, which may be long ago in a test.
        gevent.get_hub().loop.update_now()
        gevent.spawn_later(0.05, call.cancellation.cancel)
        outcome = step(call)
        self.assertEqual(outcome.reason, UnknownReason.CANCELLED)

    def test_connection_closed_while_idle_is_not_reused(self):
        script = OK + b"content-length: 2\r\n\r\nhi"
        server = self.start(script)
        for _ in range(3):
            outcome, _ = self.dispatch(server.address)
            self.assertEqual(outcome.body.buffered, b"hi")
            gevent.sleep(0.02)
        self.assertEqual(len(server.requests), 3)

    def test_body_of_a_large_truncated_answer_raises_while_it_is_read(self):
        script = OK + b"content-length: 200000\r\n\r\n" + b"x" * 100_000
        outcome, _ = self.dispatch(self.start(script).address)
        self.assertFalse(outcome.body.fully_buffered)
        with self.assertRaises(IncompleteBodyError):
            list(outcome.body)

    def test_only_safe_outcomes_are_retried(self):
        now = self.clock.now()
        idempotent = make_call(self.clock, idempotent=True)
        other = make_call(self.clock)
        streamed = make_call(self.clock, body=Body(b"a", None, iter([b"b"])))
        streamed.body.started = True
        refused = NotRun(NotRunReason.CONNECT_FAILED)
        lost = Unknown(UnknownReason.RESET)
        shed = NotRun(NotRunReason.SHED)
        self.assertTrue(may_retry(other, refused, now))
        self.assertFalse(may_retry(other, shed, now))
        self.assertTrue(may_retry(idempotent, lost, now))
        self.assertFalse(may_retry(other, lost, now))
        self.assertFalse(may_retry(streamed, refused, now))
        self.assertFalse(may_retry(idempotent, lost, now + 60))
