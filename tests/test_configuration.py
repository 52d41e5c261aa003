"""What nodes ask of the platform for the configuration, on the paused clock."""

import random
import unittest
from collections import Counter

from fuchsiaspool.clock import VirtualClock
from fuchsiaspool.configuration_watch import ConfigurationWatch, WatchDuty
from fuchsiaspool.ids import SubtreePath, Version
from fuchsiaspool.platform.objects import (
    ObjectKey,
    PlatformStore,
    ReadFault,
    WatchBatch,
)
from fuchsiaspool.results import Err, Ok
from fuchsiaspool.standins.platform import ObjectStore

KEY = ObjectKey("config/main")
PATH = SubtreePath("main")
# The users' bound on a change of the configuration, on the smallest deployments, and
# what it is stretched by while the platform turns nodes away.
IN_FORCE_SECONDS = 2.5 + 5.0


class Keeper:
    """Hold what was adopted, and hand it to peers when told to."""

    def __init__(self):
        self.revision = 0

    def adopt(self, bundle):
        newer = bundle.revision > self.revision
        self.revision = max(self.revision, bundle.revision)
        return newer


class Fleet:
    """Run the watches of many nodes against one store that counts calls."""

    def __init__(self, count, watchers, known_at=0.0):
        self.known_at = known_at
        self.clock = VirtualClock()
        self.chance = random.Random(1)
        self.store = ObjectStore()
        self.calls = Counter()
        self.down = set()
        self.watchers = set(watchers)
        self.keepers = [Keeper() for _ in range(count)]
        for node in range(count):
            watch = ConfigurationWatch(
                self.clock,
                self.connect(node),
                KEY,
                PATH,
                self.keepers[node],
                WatchDuty(
                    lambda node=node: self.is_watcher(node),
                    lambda: count if self.clock.now() >= self.known_at else 1,
                    lambda node=node: self.tell(node),
                ),
                self.chance,
            )
            self.clock.spawn(watch.loop)

    def is_watcher(self, node):
        # Whoever knows of nobody takes itself for the only one.
        return node in self.watchers or self.clock.now() < self.known_at

    def tell(self, node):
        def reach():
            for settings_replica in self.keepers:
                settings_replica.revision = max(
                    settings_replica.revision, self.keepers[node].revision
                )

        self.clock.call_later(0.1, reach)

    def connect(self, node):
        def is_down():
            return node in self.down

        def list_all(kind):
            def read(prefix):
                self.calls[kind] += 1
                self.clock.sleep(0.004)
                if is_down():
                    return Err(ReadFault.UNAVAILABLE)
                return Ok(self.store.list_prefix(prefix))

            return read

        def watch(key, version, seconds):
            self.calls["watch"] += 1
            last = self.clock.now() + seconds
            while self.clock.now() < last:
                self.clock.sleep(0.1)
                if is_down():
                    return Err(ReadFault.UNAVAILABLE)
                if self.store.version > version:
                    changed = self.store.objects[KEY]
                    return Ok(WatchBatch(changed.version, [changed]))
            return Ok(WatchBatch(Version(self.store.version), []))

        return PlatformStore(
            None, None, None, list_all("list"), list_all("stale"), watch
        )

    def accept(self):
        stored = self.store.objects.get(KEY)
        self.store.put(KEY, b"{}", stored.version if stored else None)
        return self.store.objects[KEY].version

    def count_current(self):
        return sum(k.revision == self.store.version for k in self.keepers)


class FleetTests(unittest.TestCase):
    def start(self, count, watchers=(0, 1), **fields):
        fleet = Fleet(count, watchers, **fields)
        fleet.accept()
        return fleet

    def test_a_change_reaches_every_node_through_the_watchers_alone(self):
        for count in (40, 195, 740):
            with self.subTest(nodes=count):
                fleet = self.start(count)
                fleet.clock.advance(5.0)
                fleet.calls.clear()
                for _ in range(10):
                    fleet.accept()
                    fleet.clock.advance(1.0)
                    self.assertEqual(fleet.count_current(), count)
                # One call a change and watcher; the fleet's turns besides.
                self.assertLessEqual(fleet.calls["watch"], 2 * 11)
                self.assertLessEqual(fleet.calls["list"], 2)

    def test_what_all_nodes_ask_at_rest_does_not_grow_with_their_number(self):
        for count in (40, 195, 740):
            with self.subTest(nodes=count):
                fleet = self.start(count)
                fleet.clock.advance(600.0)
                fleet.calls.clear()
                fleet.clock.advance(600.0)
                # Two watchers a region, each anew every 28 s; a stale read costs a
                # tenth of a call.
                calls = fleet.calls["watch"] + fleet.calls["list"]
                calls += 0.1 * fleet.calls["stale"]
                self.assertLessEqual(calls, 2 * 600 / 28 + 0.1 * 600 / 2 * 1.5)

    def test_where_all_start_at_once_the_watchers_read_for_all(self):
        fleet = self.start(195)
        fleet.clock.advance(1.0)
        self.assertEqual(fleet.count_current(), 195)
        self.assertEqual(fleet.calls["list"], 2)

    def test_nodes_that_start_for_the_first_time_find_each_other_before_they_read(self):
        fleet = self.start(195, known_at=0.7)
        fleet.clock.advance(2.0)
        self.assertEqual(fleet.count_current(), 195)
        self.assertEqual(fleet.calls["list"], 2)

    def test_a_node_that_is_alone_reads_for_itself(self):
        fleet = self.start(1, watchers=(), known_at=100.0)
        fleet.clock.advance(3.0)
        self.assertEqual(fleet.count_current(), 1)

    def test_where_no_watcher_can_read_the_others_do_within_a_second(self):
        fleet = self.start(195)
        fleet.down |= {0, 1}
        fleet.clock.advance(1.5)
        self.assertEqual(fleet.count_current(), 195)
        self.assertLessEqual(fleet.calls["list"], 0.5 * 195)

    def test_nodes_in_reach_of_the_platform_stand_in_for_watchers_that_are_not(self):
        fleet = self.start(40)
        fleet.clock.advance(60.0)
        fleet.down |= {0, 1}
        fleet.clock.advance(1.0)
        fleet.accept()
        fleet.clock.advance(IN_FORCE_SECONDS)
        self.assertEqual(fleet.count_current(), 40)

    def test_another_node_watches_soon_after_a_watcher_has_gone(self):
        fleet = self.start(195)
        fleet.clock.advance(60.0)
        fleet.watchers = {7}
        fleet.down |= {0, 1}
        fleet.clock.advance(3.0)
        fleet.accept()
        fleet.clock.advance(1.0)
        self.assertEqual(fleet.count_current(), 195)

    def test_a_platform_that_is_away_is_asked_by_watchers_at_growing_pauses(self):
        fleet = self.start(195)
        fleet.clock.advance(60.0)
        fleet.down |= set(range(195))
        fleet.clock.advance(5.0)
        fleet.calls.clear()
        fleet.clock.advance(60.0)
        watchers = fleet.calls["list"] + fleet.calls["watch"]
        self.assertLessEqual(watchers, 2 * 60 / 1.0)
        self.assertLessEqual(fleet.calls["stale"], 60 / 2 * 1.5)
        fleet.down.clear()
        fleet.accept()
        fleet.clock.advance(3.5)
        self.assertEqual(fleet.count_current(), 195)


if __name__ == "__main__":
    unittest.main()
