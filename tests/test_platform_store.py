"""Test the object store client against the platform stand-in."""

import random
import unittest

import gevent
import msgspec
import urllib3

from fuchsiaspool.addresses import Address
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.ids import Era, Version
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.platform.objects import (
    Ambiguous,
    Applied,
    Conflict,
    ObjectKey,
    Position,
    ReadFault,
    Unavailable,
    WatchBatch,
    WatchEvent,
)
from fuchsiaspool.results import Err, Ok
from fuchsiaspool.standins.platform import PlatformFaults, PlatformStandin


class StoreProtocolTests(unittest.TestCase):
    def start(self, **options):
        self.standin = PlatformStandin(Address("127.0.0.1", 0), **options)
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.client = make_platform_store(
            self.standin.address, SystemClock(), random.Random(1)
        )

    def fetch(self, path):
        answer = urllib3.request("GET", f"http://{self.standin.address}{path}")
        return msgspec.json.decode(answer.data)

    def test_list_reads_all_pages(self):
        self.start(max_page_objects=2)
        for name in "abcde":
            self.client.put(ObjectKey(f"members/{name}"), b"{}", None)
        first = self.fetch("/-/objects/members")
        self.assertTrue(first["hasMore"])
        self.assertEqual(len(first["items"]), 2)
        listing = self.client.list_prefix("members/").value
        self.assertEqual([item.key[-1] for item in listing.items], list("abcde"))

    def test_values_are_read_as_written(self):
        self.start()
        for value in (b'{"a":1}', b"[node]\nid = x", b"\x92\xff\x00", b"1"):
            key = ObjectKey(f"kind/{value.hex()}")
            self.assertIsInstance(self.client.put(key, value, None), Applied)
            self.assertEqual(self.client.get(key).value.value, value)

    def test_conflict_answer_contains_the_current_object(self):
        self.start()
        key = ObjectKey("config/main")
        self.client.put(key, b'{"version":"1"}', None)
        body = b'{"metadata":{"name":"main"},"specification":{}}'
        answer = urllib3.request(
            "POST", f"http://{self.standin.address}/-/objects/config", body=body
        )
        self.assertEqual(answer.status, 409)
        found = msgspec.json.decode(answer.data)
        self.assertEqual(found["specification"], {"version": "1"})
        self.assertEqual(self.client.put(key, b"{}", Version(99)), Conflict())

    def test_rejects_calls_over_the_rate_limit(self):
        self.start(writes_per_second=2.0)
        outcomes = [
            self.client.put(ObjectKey(f"kind/{number}"), b"{}", None)
            for number in range(6)
        ]
        self.assertTrue(any(isinstance(o, Unavailable) for o in outcomes))
        self.assertGreater(self.standin.request_counts.refused, 0)

    def test_delayed_write_takes_effect_after_its_answer_was_lost(self):
        self.start()
        self.standin.faults = PlatformFaults(late_writes=1, late_seconds=0.1)
        key = ObjectKey("kind/late")
        self.assertIsInstance(self.client.put(key, b"{}", None), Ambiguous)
        self.assertEqual(self.client.get(key), Err(ReadFault.NOT_FOUND))
        gevent.sleep(0.2)
        self.assertEqual(self.client.get(key).value.value, b"{}")

    def test_watch_fails_if_its_version_left_the_history(self):
        self.start()
        version = self.client.put(ObjectKey("kind/a"), b"{}", None).version
        position = Position(version, self.standin.store.era)
        waiting = gevent.spawn(self.client.watch, "kind/", position, 5.0)
        gevent.sleep(0.1)
        self.standin.store.discard_history()
        self.assertEqual(waiting.get(timeout=3), Err(ReadFault.VERSION_TOO_OLD))


class RestoreTests(unittest.TestCase):
    start = StoreProtocolTests.start

    def setUp(self):
        self.start()
        self.store = self.standin.store

    def put(self, name):
        return self.client.put(ObjectKey(f"kind/{name}"), b"{}", None).version

    def watch(self, version, seconds=0.1):
        """Watch from a version of the present era."""
        position = Position(version, self.store.era)
        return self.client.watch("kind/", position, seconds)

    def list_names(self):
        listing = self.client.list_prefix("kind/").value
        return listing.version, "".join(item.key[-1] for item in listing.items)

    def test_a_restore_undoes_changes_and_gives_their_revisions_out_again(self):
        kept = self.put("a")
        copy = self.store.take_copy()
        lost = self.put("b")
        self.client.delete(ObjectKey("kind/a"), kept)
        self.store.restore(copy)
        self.assertEqual(self.list_names(), (kept, "a"))
        self.assertEqual(self.put("c"), lost)
        outcome = self.client.put(ObjectKey("kind/b"), b"{}", lost)
        self.assertEqual(outcome, Conflict())

    def test_a_copy_can_be_restored_again(self):
        copy = self.store.take_copy()
        for era in (2, 3):
            self.put("a")
            self.store.restore(copy)
            self.assertEqual(self.list_names(), (copy.version, ""))
            self.assertEqual(self.store.era, era)

    def test_a_watch_from_a_revision_above_the_restored_ones_gets_410(self):
        first = self.put("a")
        copy = self.store.take_copy()
        lost = self.put("b")
        self.store.restore(copy)
        result = self.watch(lost)
        self.assertEqual(result, Err(ReadFault.VERSION_TOO_OLD))
        result = self.watch(first)
        self.assertEqual(result, Ok(WatchBatch(first, [], Era(2))))

    def test_a_restore_ends_waiting_watches(self):
        version = self.put("a")
        waiting = gevent.spawn(self.watch, version, 5.0)
        gevent.sleep(0.1)
        self.store.restore(self.store.take_copy())
        self.assertEqual(waiting.get(timeout=3), Err(ReadFault.VERSION_TOO_OLD))

    def test_a_watch_from_a_revision_given_out_twice_sees_only_what_followed(self):
        copy = self.store.take_copy()
        seen = [self.put("a"), self.put("b")][-1]
        self.store.restore(copy)
        self.assertEqual([self.put("c"), self.put("d")][-1], seen)
        last = self.put("e")
        event = WatchEvent(ObjectKey("kind/e"), last, b"{}")
        result = self.watch(seen)
        self.assertEqual(result, Ok(WatchBatch(last, [event], Era(2))))

    def test_a_watch_from_an_earlier_era_misses_changes(self):
        copy = self.store.take_copy()
        seen = Position([self.put("a"), self.put("b")][-1], self.store.era)
        self.store.restore(copy)
        for name in ("c", "d", "e"):
            self.put(name)
        result = self.client.watch("kind/", seen, 0.1)
        self.assertEqual(result, Err(ReadFault.VERSION_TOO_OLD))

    def test_history_before_the_copy_is_kept_and_later_history_is_gone(self):
        start = self.store.version
        kept = self.put("a")
        copy = self.store.take_copy()
        self.put("b")
        self.store.restore(copy)
        event = WatchEvent(ObjectKey("kind/a"), kept, b"{}")
        result = self.watch(start)
        self.assertEqual(result, Ok(WatchBatch(kept, [event], Era(2))))

    def send(self, method, path, body=None):
        url = f"http://{self.standin.address}{path}"
        return urllib3.request(method, url, body=body, retries=False)

    def test_all_answers_contain_the_era_of_the_store(self):
        created = b'{"metadata":{"name":"a"},"specification":{}}'
        outdated = b'{"metadata":{"name":"a","revision":99},"specification":{}}'
        objects = "/-/objects/kind"
        requests = [
            ({}, 200, "POST", objects, created),
            ({}, 200, "GET", objects, None),
            ({}, 200, "GET", f"{objects}/a", None),
            ({}, 200, "GET", f"{objects}?watch=0&waitMs=100", None),
            ({}, 404, "GET", f"{objects}/missing", None),
            ({}, 404, "DELETE", f"{objects}/missing?revision=1", None),
            ({}, 404, "GET", "/nowhere", None),
            ({}, 405, "PATCH", objects, None),
            ({}, 409, "POST", objects, created),
            ({}, 409, "PUT", f"{objects}/a", outdated),
            ({}, 410, "GET", f"{objects}?watch=99&waitMs=100", None),
            ({}, 413, "POST", objects, b" " * 1_000_001),
            ({"lose_writes": 1}, 500, "POST", objects, created),
            ({"cut_watches": True}, 500, "GET", f"{objects}?watch=0&waitMs=100", None),
            ({"down": True}, 503, "GET", objects, None),
            ({"cut_off": ["127.0.0.1"]}, 503, "GET", objects, None),
        ]
        copy = self.store.take_copy()
        for era in ("1", "2"):
            for faults, status, method, path, body in requests:
                with self.subTest(era=era, status=status, method=method, path=path):
                    self.standin.faults = PlatformFaults(**faults)
                    answer = self.send(method, path, body)
                    self.assertEqual(answer.status, status)
                    self.assertEqual(answer.headers["Store-Era"], era)
            self.store.restore(copy)

    def test_an_answer_over_the_rate_limit_contains_the_era(self):
        self.start(reads_per_second=1.0)
        answers = [self.send("GET", "/-/objects/kind") for _ in range(3)]
        self.assertEqual(answers[-1].status, 429)
        self.assertEqual({a.headers["Store-Era"] for a in answers}, {"1"})
