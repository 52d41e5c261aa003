import random
import unittest

import gevent
import msgspec
import urllib3

from fuchsiaspool.addresses import Address
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.ids import Version
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.platform.objects import (
    Ambiguous,
    Applied,
    Conflict,
    ObjectKey,
    ReadFault,
    Unavailable,
)
from fuchsiaspool.results import Err
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

    def test_a_list_goes_on_over_pages(self):
        self.start(page_items=2)
        for name in "abcde":
            self.client.put(ObjectKey(f"members/{name}"), b"{}", None)
        first = self.fetch("/-/objects/members")
        self.assertTrue(first["hasMore"])
        self.assertEqual(len(first["items"]), 2)
        listing = self.client.list_prefix("members/").value
        self.assertEqual([item.key[-1] for item in listing.items], list("abcde"))

    def test_values_come_back_as_written(self):
        self.start()
        for value in (b'{"a":1}', b"[node]\nid = x", b"\x92\xff\x00", b"1"):
            key = ObjectKey(f"kind/{value.hex()}")
            self.assertIsInstance(self.client.put(key, value, None), Applied)
            self.assertEqual(self.client.get(key).value.value, value)

    def test_a_conflict_brings_the_object_as_it_is(self):
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

    def test_calls_over_the_rates_are_refused(self):
        self.start(writes_per_second=2.0)
        outcomes = [
            self.client.put(ObjectKey(f"kind/{number}"), b"{}", None)
            for number in range(6)
        ]
        self.assertTrue(any(isinstance(o, Unavailable) for o in outcomes))
        self.assertGreater(self.standin.request_counts.refused, 0)

    def test_a_late_write_takes_effect_after_its_answer_was_lost(self):
        self.start()
        self.standin.faults = PlatformFaults(late_writes=1, late_seconds=0.1)
        key = ObjectKey("kind/late")
        self.assertIsInstance(self.client.put(key, b"{}", None), Ambiguous)
        self.assertEqual(self.client.get(key), Err(ReadFault.NOT_FOUND))
        gevent.sleep(0.2)
        self.assertEqual(self.client.get(key).value.value, b"{}")

    def test_a_watch_ends_when_history_is_forgotten(self):
        self.start()
        version = self.client.put(ObjectKey("kind/a"), b"{}", None).version
        waiting = gevent.spawn(self.client.watch, "kind/", version, 5.0)
        gevent.sleep(0.1)
        self.standin.store.discard_history()
        self.assertEqual(waiting.get(timeout=3), Err(ReadFault.VERSION_TOO_OLD))
