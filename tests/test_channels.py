"""A connection that is read when bytes are there, with one timer for its limits."""

import unittest

import gevent
import gevent.socket

from fuchsiaspool.http.channels import Channel
from fuchsiaspool.http.sockets import PeekResult

LIMIT_SECONDS = 0.05
LATE_SECONDS = 0.5
LARGE = b"x" * 4_000_000


class ChannelTests(unittest.TestCase):
    def setUp(self):
        listener = gevent.socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        self.peer = gevent.socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        listener.close()
        self.channel = Channel(accepted)
        self.addCleanup(self.peer.close)
        self.addCleanup(self.channel.close)

    def test_bytes_that_are_left_behind_are_read_without_waiting(self):
        self.peer.sendall(b"abcdef")
        self.assertEqual(self.channel.recv(4), b"abcd")
        with gevent.Timeout(LATE_SECONDS):
            self.assertEqual(self.channel.recv(4), b"ef")

    def test_a_limit_ends_a_wait_and_a_new_one_starts_afresh(self):
        self.channel.set_timeout(LIMIT_SECONDS)
        with gevent.Timeout(LATE_SECONDS), self.assertRaises(TimeoutError):
            self.channel.recv(10)
        with self.assertRaises(TimeoutError):
            self.channel.recv(10)
        self.channel.set_timeout(LATE_SECONDS)
        gevent.spawn_later(2 * LIMIT_SECONDS, self.peer.sendall, b"late")
        self.assertEqual(self.channel.recv(10), b"late")

    def test_what_comes_while_a_connection_rests_is_noted(self):
        for action in (lambda: self.peer.sendall(b"late"), self.peer.close):
            self.channel.mark_idle()
            gevent.sleep(0)
            self.assertFalse(self.channel.disturbed)
            action()
            with gevent.Timeout(LATE_SECONDS):
                while not self.channel.disturbed:
                    gevent.sleep(0.001)
            self.channel.peek()

    def test_bytes_that_come_while_sending_do_not_disturb_a_later_rest(self):
        gevent.spawn_later(LIMIT_SECONDS, self.peer.sendall, b"early")
        taken = gevent.spawn_later(2 * LIMIT_SECONDS, self.drain, len(LARGE))
        self.channel.send(LARGE)
        taken.get(timeout=5.0)
        self.assertEqual(self.channel.recv(10), b"early")
        self.channel.mark_idle()
        gevent.sleep(0.01)
        self.assertFalse(self.channel.disturbed)
        self.peer.sendall(b"late")
        gevent.sleep(0.01)
        self.assertTrue(self.channel.disturbed)

    def drain(self, size):
        while size:
            size -= len(self.peer.recv(1 << 16))

    def test_a_shorter_limit_replaces_a_longer_one(self):
        self.channel.set_timeout(60.0)
        self.channel.set_timeout(LIMIT_SECONDS)
        with gevent.Timeout(LATE_SECONDS), self.assertRaises(TimeoutError):
            self.channel.recv(10)

    def test_steady_progress_is_no_stall(self):
        def trickle():
            for _ in range(6):
                gevent.sleep(LIMIT_SECONDS / 2)
                self.peer.sendall(b"x")

        gevent.spawn(trickle)
        self.channel.set_stall_timeout(LIMIT_SECONDS)
        got = b"".join(self.channel.recv(10) for _ in range(6))
        self.assertEqual(got, b"x" * 6)
        with gevent.Timeout(LATE_SECONDS), self.assertRaises(TimeoutError):
            self.channel.recv(10)

    def test_a_peer_that_does_not_read_ends_a_write_at_the_limit(self):
        self.channel.set_stall_timeout(LIMIT_SECONDS)
        with gevent.Timeout(10 * LATE_SECONDS), self.assertRaises(TimeoutError):
            self.channel.send(LARGE)

    def test_a_slow_reader_gets_every_byte(self):
        sent = gevent.spawn(self.channel.send, LARGE)
        got = 0
        while got < len(LARGE):
            got += len(self.peer.recv(1_000_000))
            gevent.sleep(0)
        sent.get(timeout=LATE_SECONDS)

    def test_the_end_is_noticed_while_nobody_reads_once(self):
        found = []
        self.channel.watch_while_unread(found.append)
        gevent.sleep(0.01)
        self.assertEqual(found, [])
        self.peer.close()
        gevent.sleep(LIMIT_SECONDS)
        self.assertEqual(found, [PeekResult.CLOSED])
        self.assertEqual(self.channel.recv(10), b"")

    def test_bytes_that_come_while_nobody_reads_are_read_later(self):
        self.peer.sendall(b"next")
        gevent.sleep(0.01)
        self.channel.watch_while_unread(lambda found: None)
        gevent.sleep(0.01)
        self.channel.stop_watching()
        self.assertEqual(self.channel.recv(10), b"next")

    def test_a_cut_wakes_whoever_waits(self):
        waiting = gevent.spawn(self.channel.recv, 10)
        gevent.sleep(0.01)
        self.channel.abort()
        self.assertEqual(waiting.get(timeout=LATE_SECONDS), b"")
