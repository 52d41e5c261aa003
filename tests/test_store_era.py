"""Test announcements after a restore of the store, and eras that are wrong."""

import contextlib
import random
import unittest

import gevent

from fuchsiaspool.clock import SystemClock
from fuchsiaspool.controllers.member_table import MemberTable
from fuchsiaspool.controllers.registry import Registry, make_announcement_key
from fuchsiaspool.ids import Era, Revision
from fuchsiaspool.peers.messages import Ack, Envelope, encode_envelope
from fuchsiaspool.platform.client import make_platform_store

from .support import make_member
from .test_restored_store import LEASES, RestoredStoreCase

CONFIGURATION_TEXT = '{"version": "0000000b", "virtualHosts": []}'


class LeavingNodeTests(RestoredStoreCase):
    def get_key(self, node):
        return make_announcement_key(node.membership.local_member)

    def test_a_node_that_stops_while_it_announces_itself_leaves_no_trace(
        self,
    ):
        self.start_pair()
        copy = self.store.take_copy()
        del copy.objects[self.get_key(self.edge)]
        writes = self.platform.request_counts.writes
        self.restore(copy)
        self.platform.faults.delay = 0.4
        # The write that announces the node again is on its way.
        self.await_condition(lambda: self.platform.request_counts.writes > writes)
        self.edge.stop()
        self.assertNotIn(self.get_key(self.edge), self.list_announced())

    def test_a_leaving_node_withdraws_again_what_a_restore_brought_back(self):
        self.start_pair()
        copy = self.store.take_copy()
        stop = gevent.spawn(self.edge.stop)
        self.await_condition(
            lambda: self.get_key(self.edge) not in self.list_announced()
        )
        self.store.restore(copy)
        # It learns of the restore and runs on while it drains.
        self.edge.store_era.observe(Era(2))
        stop.join()
        gevent.sleep(0.5)
        self.assertNotIn(self.get_key(self.edge), self.list_announced())


class AnnouncementTests(RestoredStoreCase):
    def make_registry(self, get_era=lambda: Era(0), **fields):
        member = make_member("a", **fields)
        clock = SystemClock()
        client = make_platform_store(self.platform.address, clock, random.Random(1))
        table = MemberTable()
        return Registry(clock, client, table, lambda: member, LEASES, get_era)

    def test_a_restarted_node_trusts_no_stale_copy_from_before_a_restore(self):
        copy = self.store.take_copy()
        self.assertTrue(self.make_registry().announce())
        # The copy that lags has the announcement; its answers state the present era.
        self.assertTrue(self.make_registry(incarnation=2).read_members(True))
        self.restore(copy)
        self.platform.faults.stale_lists = True
        restarted = self.make_registry(incarnation=3)
        restarted.read_members(allow_stale=True)
        self.assertEqual(restarted.announced, bool(self.list_announced()))

    def test_a_list_of_an_earlier_era_still_shows_members(self):
        # A node that starts after a restore reads copies that lag; it knows the era
        # from the answer to its own announcement.
        self.assertTrue(self.make_registry().announce())
        local = make_member("late")
        clock, table = SystemClock(), MemberTable()
        client = make_platform_store(self.platform.address, clock, random.Random(1))
        late = Registry(clock, client, table, lambda: local, LEASES, lambda: Era(2))
        late.read_members(allow_stale=True)
        self.assertIsNotNone(table.find("a"))


class WrongEraTests(RestoredStoreCase):
    def receive_era(self, node, era):
        envelope = Envelope(
            "broken", "127.0.0.1:9", "north-1", Revision(0), [], Ack(0), Era(era)
        )
        node.bus.receive(encode_envelope(envelope))

    def test_a_configuration_is_adopted_after_an_era_beyond_64_bits(self):
        self.start_pair()
        self.store.era = 10**20
        self.write_configuration(9)
        self.await_served(9, self.nodes)

    def test_a_node_pings_its_peers_after_an_era_beyond_64_bits(self):
        self.start_pair()
        self.store.era = 10**20
        gevent.sleep(0.1)
        with contextlib.suppress(OverflowError):
            self.edge.registry.ensure_announced()
        sent = self.edge.transport.sent_bytes
        gevent.sleep(3.0)
        self.assertGreater(self.edge.transport.sent_bytes, sent)

    def test_a_configuration_is_adopted_after_an_era_of_many_digits(self):
        self.start_pair()
        self.store.era = "9" * 5000
        self.write_configuration(9)
        gevent.sleep(0.5)
        self.store.era = 2
        self.write_configuration(11)
        self.await_served(11, self.nodes)

    def test_members_are_read_although_a_peer_stated_a_wrong_era(self):
        self.start_pair()
        self.receive_era(self.edge, 2**40)
        gevent.sleep(0.5)
        self.assertTrue(self.edge.registry.read_members())

    def test_members_are_read_from_a_store_that_states_no_era_any_more(self):
        self.start_pair()
        self.store.era = ""
        self.assertTrue(self.edge.registry.read_members())

    def test_rising_eras_of_a_peer_cause_few_calls_to_the_store(self):
        self.start_pair()
        # Without the reads of nodes that have just started.
        gevent.sleep(12.0)
        reads = self.platform.request_counts.reads
        for era in range(2, 52):
            self.receive_era(self.edge, era)
        gevent.sleep(1.0)
        self.assertLessEqual(self.platform.request_counts.reads - reads, 10)
        self.assertLess(len(self.edge._tasks), 20)


if __name__ == "__main__":
    unittest.main()
