"""Test nodes while the platform's store comes back from an older copy."""

import json
import random
import unittest

import gevent

from fuchsiaspool.addresses import Address
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.controllers.anti_entropy import is_assigned
from fuchsiaspool.controllers.member_table import MemberTable
from fuchsiaspool.controllers.registry import (
    CONFIRM_PAUSE_SECONDS,
    MEMBERS_PREFIX,
    LeaseTimes,
    Registry,
    make_announcement_key,
)
from fuchsiaspool.controllers.watch_duty import WATCHERS_PER_REGION
from fuchsiaspool.member_records import MemberState
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.platform.configuration import CONFIGURATION_KEY
from fuchsiaspool.platform.objects import ObjectKey
from fuchsiaspool.sidecar import MEMBER_REREAD_PAUSES_SECONDS, NodeState
from fuchsiaspool.standins.platform import PlatformStandin, StoreCopy

from .sidecar_case import SidecarTestCase, StubServer, make_route
from .support import make_member

OUTAGE_SECONDS = 0.3
# Time in which a wrong configuration would be adopted, if it were.
SETTLING_SECONDS = 2.5
UNRELATED_KEY = ObjectKey("demo/counter")
LEASES = LeaseTimes(renewal=20.0, lease=60.0, expiry_grace=0.5)


def make_configuration(version):
    """Return a configuration whose only route is named after its version."""
    host = {"host": "h.example", "paths": [make_route(f"v{version}")]}
    return {"version": f"{version:08x}", "virtualHosts": [host]}


class RestoredStoreCase(SidecarTestCase):
    def setUp(self):
        super().setUp()
        self.store = self.platform.store
        # Ways to the store that only the nodes of these names use.
        self.fronts = {}

    def store_configuration(self, configuration=None):
        self.write_configuration(7)

    def put(self, key, value, revision=None):
        """Write an object as the operator does, if given at a certain revision."""
        if revision is not None:
            self.assertLess(self.store.version, revision)
            self.advance_revision(revision - 1)
        current = self.store.objects.get(key)
        self.store.put(key, value, current.version if current else None)

    def write_configuration(self, version, revision=None):
        value = json.dumps(make_configuration(version)).encode()
        self.put(CONFIGURATION_KEY, value, revision)

    def advance_revision(self, revision):
        while self.store.version < revision:
            self.put(UNRELATED_KEY, b"{}")

    def restore(self, copy):
        """Take the store away for a moment and bring it back from a copy."""
        self.platform.faults.down = True
        gevent.sleep(OUTAGE_SECONDS)
        self.platform.faults.down = False
        self.store.restore(copy)

    def add_front(self, *names):
        """Give some nodes a way to the same store that has faults of its own."""
        front = PlatformStandin(Address("127.0.0.1", 0))
        front.store = self.store
        front.start()
        self.addCleanup(front.stop)
        self.fronts |= dict.fromkeys(names, front)
        return front

    def start_node(self, name, service, server):
        default = self.platform
        self.platform = self.fronts.get(name, default)
        try:
            return super().start_node(name, service, server)
        finally:
            self.platform = default

    def start_idle_node(self, name):
        server = StubServer()
        self.addCleanup(server.stop)
        return self.start_node(name, "registry", server)

    def start_pair(self, *args):
        super().start_pair(*args)
        self.await_condition(lambda: self.deep.state is NodeState.READY)
        self.await_announcements(self.nodes)

    def list_announced(self):
        return {stored.key for stored in self.store.list_prefix(MEMBERS_PREFIX).items}

    def await_announcements(self, nodes):
        keys = {make_announcement_key(node.membership.local_member) for node in nodes}
        self.await_condition(lambda: keys <= self.list_announced())

    def serves(self, version, node):
        return self.send_request(f"/v{version}/x", node=node).status == 200

    def await_served(self, version, nodes):
        self.await_condition(lambda: all(self.serves(version, node) for node in nodes))

    def assert_served_throughout(self, version, nodes, seconds=SETTLING_SECONDS):
        clock = SystemClock()
        end = clock.now() + seconds
        while clock.now() < end:
            for node in nodes:
                self.assertTrue(self.serves(version, node), node.options.place.node)
            gevent.sleep(0.05)


class RestoredConfigurationTests(RestoredStoreCase):
    def restore_from_version_9_to_7(self):
        """Let nodes serve version 9 of revision 40; restore version 7, revision 30."""
        self.start_pair()
        self.advance_revision(30)
        copy = self.store.take_copy()
        self.write_configuration(9, revision=40)
        self.await_served(9, self.nodes)
        self.restore(copy)

    def test_a_configuration_at_a_lower_revision_than_before_is_adopted(self):
        self.restore_from_version_9_to_7()
        self.write_configuration(9, revision=31)
        self.write_configuration(11, revision=32)
        self.await_served(11, self.nodes)

    def test_a_configuration_at_the_same_revision_as_before_is_adopted(self):
        self.restore_from_version_9_to_7()
        self.write_configuration(9, revision=39)
        self.write_configuration(11, revision=40)
        self.await_served(11, self.nodes)

    def test_a_configuration_is_adopted_after_each_of_several_restores(self):
        self.restore_from_version_9_to_7()
        copy = self.store.take_copy()
        for version in (11, 13):
            self.write_configuration(version, revision=32)
            self.await_served(version, self.nodes)
            self.restore(copy)
        self.write_configuration(15, revision=31)
        self.await_served(15, self.nodes)

    def test_a_restored_older_configuration_is_not_adopted(self):
        self.restore_from_version_9_to_7()
        self.assert_served_throughout(9, self.nodes)

    def test_an_older_configuration_written_again_is_not_adopted(self):
        # The operator repeats its writes, at revisions above those before the restore.
        self.restore_from_version_9_to_7()
        self.write_configuration(8, revision=45)
        self.assert_served_throughout(9, self.nodes)
        self.write_configuration(9)
        self.assert_served_throughout(9, self.nodes, seconds=0.5)
        self.write_configuration(10)
        self.await_served(10, self.nodes)

    def change_while_watches_are_on_their_way(self):
        """Restore the store and write version 11 before it sees watches from 40."""
        self.start_pair()
        self.advance_revision(30)
        copy = self.store.take_copy()
        self.await_condition(lambda: self.platform.request_counts.watches >= 2)
        watches = self.platform.request_counts.watches
        self.platform.faults.delay = 1.0
        self.write_configuration(9, revision=40)
        self.await_served(9, self.nodes)
        self.await_condition(
            lambda: self.platform.request_counts.watches == watches + 2
        )
        self.store.restore(copy)
        self.write_configuration(11, revision=33)

    def test_a_watch_from_a_revision_of_the_earlier_era_misses_no_change(self):
        self.change_while_watches_are_on_their_way()
        # The answer to these watches is not empty, but lacks the change.
        self.put(ObjectKey("config/other"), b"{}", revision=44)
        self.advance_revision(45)
        self.platform.faults.delay = 0.0
        self.await_served(11, self.nodes)

    def test_a_watch_that_waits_for_a_revision_of_the_earlier_era_misses_no_change(
        self,
    ):
        self.change_while_watches_are_on_their_way()
        # The store has the revision again and nothing to tell, so no answer comes.
        self.advance_revision(45)
        self.platform.faults.delay = 0.0
        gevent.sleep(1.2)
        # Another node tells of the restore.
        self.start_idle_node("late")
        self.await_served(11, self.nodes)

    def test_a_node_cut_off_during_the_restore_adopts_the_newest_configuration(self):
        self.start_pair()
        self.advance_revision(30)
        copy = self.store.take_copy()
        self.write_configuration(9, revision=40)
        self.await_served(9, self.nodes)
        self.platform.faults.down = True
        self.store.restore(copy)
        self.write_configuration(11, revision=34)
        self.advance_revision(45)
        gevent.sleep(OUTAGE_SECONDS)
        self.platform.faults.down = False
        self.await_served(11, self.nodes)

    def start_beside_a_cut_off_pair(self, version, revision):
        """Start a node after a restore, beside two that still have version 9 of 40."""
        front = self.add_front("edge", "deep")
        self.start_pair()
        self.advance_revision(30)
        copy = self.store.take_copy()
        self.write_configuration(9, revision=40)
        self.await_served(9, self.nodes)
        front.faults.down = True
        self.restore(copy)
        self.write_configuration(version, revision)
        # A watcher reads the store at its start, and not only with its first poll.
        others = [node.options.place.node for node in self.nodes]
        late = next(
            name
            for name in (f"late-{number}" for number in range(100))
            if is_assigned(name, [*others, name], "watch", WATCHERS_PER_REGION)
        )
        return self.start_idle_node(late)

    def test_a_newer_configuration_at_a_lower_revision_wins_among_peers(self):
        self.start_beside_a_cut_off_pair(11, revision=32)
        self.await_served(11, self.nodes)
        self.assert_served_throughout(11, self.nodes)

    def test_an_older_configuration_at_a_higher_revision_loses_among_peers(self):
        late = self.start_beside_a_cut_off_pair(8, revision=45)
        self.assert_served_throughout(9, [self.edge, self.deep])
        self.await_served(9, [late])
        self.assert_served_throughout(9, self.nodes)


class RestoredAnnouncementTests(RestoredStoreCase):
    def restore_without_announcements(self):
        """Bring the store back from a copy that is older than all announcements."""
        copy = self.store.take_copy()
        objects = {
            key: stored
            for key, stored in copy.objects.items()
            if not key.startswith(MEMBERS_PREFIX)
        }
        self.restore(StoreCopy(objects, copy.version))

    def await_end_of_rereads(self):
        # Nodes that have just started read the members again a few times.
        gevent.sleep(1.3 * sum(MEMBER_REREAD_PAUSES_SECONDS) + 1.0)

    def test_nodes_whose_announcements_were_lost_announce_themselves_again(self):
        self.start_pair()
        self.restore_without_announcements()
        self.await_announcements(self.nodes)

    def test_announcements_lost_by_a_second_restore_are_written_again(self):
        self.start_pair()
        for _ in range(2):
            self.restore_without_announcements()
            gevent.sleep(1.0)
        # A repair is followed by a pause.
        gevent.sleep(CONFIRM_PAUSE_SECONDS)
        self.await_announcements(self.nodes)

    def test_nodes_that_do_not_watch_announce_themselves_again(self):
        self.start_pair()
        # With so many nodes the polls of five are not all due within the bound.
        for number in range(5):
            self.start_idle_node(f"more-{number}")
        self.await_announcements(self.nodes)
        self.await_condition(
            lambda: all(node.members.count_live() == 7 for node in self.nodes)
        )
        self.await_end_of_rereads()
        self.restore_without_announcements()
        self.await_announcements(self.nodes)

    def test_a_node_started_after_a_restore_finds_its_peers(self):
        self.start_pair()
        self.await_end_of_rereads()
        self.restore_without_announcements()
        late = self.start_idle_node("late")
        self.await_condition(lambda: late.members.count_live() == 3)
        self.await_served(7, [late])

    def test_a_node_that_stops_after_a_restore_removes_its_announcement(self):
        self.start_pair()
        copy = self.store.take_copy()
        self.assertTrue(self.edge.registry.announce())
        self.restore(copy)
        # Its server has gone, so it doesn't come back.
        self.edge.stop()
        gevent.sleep(OUTAGE_SECONDS)
        key = make_announcement_key(self.edge.membership.local_member)
        self.assertNotIn(key, self.list_announced())


class RestoredRegistryTests(RestoredStoreCase):
    def make_registry(self, name, data_centre="north-1", leases=LEASES, **fields):
        member = make_member(name, data_centre=data_centre, **fields)
        clock, table = SystemClock(), MemberTable()
        client = make_platform_store(self.platform.address, clock, random.Random(1))
        return Registry(clock, client, table, lambda: member, leases), table

    def start_reading(self):
        """Return a registry that has read the announcements once, and its table."""
        near, table = self.make_registry("near")
        table.merge(make_member("near"))
        self.assertTrue(near.announce())
        self.assertTrue(near.read_members())
        return near, table

    def wait_for_grace(self):
        gevent.sleep(1.2 * LEASES.expiry_grace)

    def test_a_member_whose_announcement_was_lost_is_not_dead_at_once(self):
        near, table = self.start_reading()
        copy = self.store.take_copy()
        far, _ = self.make_registry("far", "south-1")
        self.assertTrue(far.announce())
        self.assertTrue(near.read_members())
        self.wait_for_grace()
        self.restore(copy)
        self.assertTrue(near.read_members())
        self.assertEqual(table.find("far").state, MemberState.ALIVE)
        # It had the grace to announce itself again.
        self.wait_for_grace()
        self.assertTrue(near.read_members())
        self.assertEqual(table.find("far").state, MemberState.DEAD)

    def test_a_member_whose_renewal_was_lost_is_not_dead_at_once(self):
        near, table = self.start_reading()
        short = LeaseTimes(renewal=0.1, lease=0.3, expiry_grace=0.5)
        self.assertTrue(self.make_registry("far", "south-1", short)[0].announce())
        copy = self.store.take_copy()
        self.assertTrue(self.make_registry("far", "south-1")[0].announce())
        self.assertTrue(near.read_members())
        self.wait_for_grace()
        self.restore(copy)
        self.assertTrue(near.read_members())
        self.assertEqual(table.find("far").state, MemberState.ALIVE)

    def test_the_age_of_an_announcement_does_not_count_from_before_a_restore(self):
        near, _ = self.start_reading()
        copy = self.store.take_copy()
        far, _ = self.make_registry("far", "south-1")
        key = make_announcement_key(make_member("far", data_centre="south-1"))
        self.assertTrue(far.announce())
        revision = self.store.objects[key].version
        self.assertTrue(near.read_members())
        self.restore(copy)
        self.assertTrue(far.announce())
        self.assertEqual(self.store.objects[key].version, revision)
        self.wait_for_grace()
        self.assertTrue(near.read_members())
        self.assertIn(key, self.list_announced())

    def test_an_announcement_at_an_earlier_revision_is_withdrawn(self):
        registry, _ = self.make_registry("a")
        self.assertTrue(registry.announce())
        copy = self.store.take_copy()
        self.assertTrue(registry.announce())
        self.restore(copy)
        registry.withdraw()
        self.assertEqual(self.list_announced(), set())

    def test_a_withdrawal_keeps_the_announcement_of_a_later_process(self):
        earlier, _ = self.make_registry("a")
        self.assertTrue(earlier.announce())
        copy = self.store.take_copy()
        later, _ = self.make_registry("a", incarnation=2)
        self.assertTrue(later.announce())
        self.restore(copy)
        self.assertTrue(later.announce())
        earlier.withdraw()
        self.assertEqual(len(self.list_announced()), 1)


if __name__ == "__main__":
    unittest.main()
