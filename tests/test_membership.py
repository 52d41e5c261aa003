import random
import unittest

import msgspec

from fuchsiaspool.benchmarks.capacity import make_settings_tree
from fuchsiaspool.clock import VirtualClock
from fuchsiaspool.controllers.member_table import MemberTable
from fuchsiaspool.controllers.registry import (
    DEAD_REMOVAL_DELAY_SECONDS,
    EXPIRY_GRACE_SECONDS,
    LEASE_RENEWAL_SECONDS,
    LEASE_SECONDS,
    MEMBERS_PREFIX,
    Registry,
    make_announcement_key,
)
from fuchsiaspool.controllers.settings import SettingsReplica
from fuchsiaspool.ids import Incarnation, Nonce, Revision, TeamName
from fuchsiaspool.member_records import MemberState
from fuchsiaspool.node import START_JITTER_SECONDS
from fuchsiaspool.peers.messages import SettingsUpdate
from fuchsiaspool.settings.objects import SettingsSnapshot
from fuchsiaspool.settings.store import Proposal, apply_proposal
from fuchsiaspool.settings.tree import build_policy
from fuchsiaspool.settings_watch import SettingsWatch
from fuchsiaspool.standins.network import StandinNetwork

from .fakes import FakePlatform, Fault
from .support import SETTINGS_TEXTS, make_member

CRASH_DETECTION_SECONDS = 10
DEPARTURE_DETECTION_SECONDS = 10
SETTINGS_SPREAD_SECONDS = 7
MAX_READS_PER_SECOND = 2000
MAX_WRITES_PER_SECOND = 300
DATA_CENTRES = (
    ("north-1", "north"),
    ("north-2", "north"),
    ("south-1", "south"),
    ("south-2", "south"),
)
ALIVE, DEAD = MemberState.ALIVE, MemberState.DEAD
LEAVING, SUSPECT = MemberState.LEAVING, MemberState.SUSPECT


class MembershipCase(unittest.TestCase):
    def setUp(self):
        random.seed(1)
        self.clock = VirtualClock()
        self.network = StandinNetwork(self.clock)

    def add_peers(self, count, data_centres=DATA_CENTRES[:1]):
        peers = []
        for data_centre, region in data_centres:
            for number in range(count):
                contacts = peers[:1] + peers[-1:]
                name = f"{data_centre}-{number}"
                peers.append(self.network.add(name, data_centre, region, contacts))
        self.network.run(15)
        return peers

    def adopt(self, peer, revision):
        paths = {path: Revision(revision) for path in SETTINGS_TEXTS}
        peer.settings_replica.adopt(
            SettingsSnapshot(Revision(revision), dict(SETTINGS_TEXTS), paths)
        )

    def record_deaths(self, peers):
        """Return a list that gets each record of a dead member that a peer stores."""
        deaths = []
        for peer in peers:
            peer.table.add_listener(
                lambda member: member.state is DEAD and deaths.append(member)
            )
        return deaths

    def list_node_ids(self, peers):
        return {peer.membership.local_member.node for peer in peers}


class MembershipTests(MembershipCase):
    def test_every_node_learns_of_every_member(self):
        peers = self.add_peers(8, DATA_CENTRES)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.list_node_ids(peers))

    def test_a_new_server_gets_work_within_seconds(self):
        peers = self.add_peers(30)
        peers.append(self.network.add("new", contacts=peers[:1]))
        self.network.run(3)
        for peer in peers:
            self.assertIn("new", peer.find_nodes(ALIVE))

    def test_a_leaving_server_gets_no_work_after_two_seconds(self):
        peers = self.add_peers(20, DATA_CENTRES)
        peers[0].membership.leave()
        self.network.run(2)
        for peer in peers:
            services = peer.table.list_service(peers[0].membership.local_member.service)
            self.assertNotIn(
                peers[0].membership.local_member.node,
                {member.node for member in services},
            )

    def test_a_crashed_server_is_removed_in_time(self):
        peers = self.add_peers(30)
        self.network.remove(peers[3])
        self.network.run(CRASH_DETECTION_SECONDS)
        for peer in peers[:3] + peers[4:]:
            self.assertNotIn(
                peers[3].membership.local_member.node, peer.find_nodes(ALIVE)
            )
            self.assertEqual(len(peer.find_nodes(ALIVE)), 29)

    def test_leaving_members_that_fall_silent_are_dead_for_all_in_time(self):
        for count, departures in ((3, 1), (6, 2), (18, 2), (40, 3)):
            with self.subTest(nodes=count, departures=departures):
                self.setUp()
                peers = self.add_peers(count)
                gone, rest = peers[:departures], peers[departures:]
                for peer in gone:
                    peer.membership.leave()
                self.network.run(2)
                for peer in gone:
                    self.network.remove(peer)
                self.network.run(DEPARTURE_DETECTION_SECONDS)
                for peer in rest:
                    self.assertEqual(peer.find_nodes(DEAD), self.list_node_ids(gone))
                    self.assertEqual(peer.find_nodes(ALIVE), self.list_node_ids(rest))

    def test_departure_of_most_members_is_detected(self):
        peers = self.add_peers(6)
        gone, rest = peers[:4], peers[4:]
        for peer in gone:
            peer.membership.leave()
        self.network.run(2)
        for peer in gone:
            self.network.remove(peer)
        # The silence of several in a row first looks like an isolation of the judge.
        self.network.run(2 * DEPARTURE_DETECTION_SECONDS)
        for peer in rest:
            self.assertEqual(peer.find_nodes(DEAD), self.list_node_ids(gone))

    def test_leaving_member_that_answers_is_never_declared_dead(self):
        peers = self.add_peers(20)
        leaving = peers[5]
        leaving.membership.leave()
        deaths = self.record_deaths(peers)
        rng = random.Random(3)
        self.network.is_partitioned = lambda a, b: rng.random() < 0.05
        self.network.run(300)
        self.assertNotIn("north-1-5", {member.node for member in deaths})
        self.network.is_partitioned = lambda a, b: False
        self.network.run(10)
        for peer in peers:
            self.assertEqual(peer.find_nodes(LEAVING), {"north-1-5"})

    def test_relayed_ack_ends_the_silence_of_a_leaving_member(self):
        peers = self.add_peers(3)
        judge, leaving = peers[:2]
        leaving.membership.leave()
        self.network.run(2)
        self.network.is_partitioned = lambda a, b: leaving in (a, b)
        self.network.run(3)
        self.network.is_partitioned = lambda a, b: {a, b} == {judge, leaving}
        deaths = self.record_deaths(peers)
        self.network.run(60)
        self.assertEqual(deaths, [])
        for peer in peers:
            self.assertEqual(peer.find_nodes(LEAVING), {"north-1-1"})

    def test_leaving_member_that_restarts_soon_is_never_declared_dead(self):
        peers = self.add_peers(18)
        peers[5].membership.leave()
        self.network.run(2)
        self.network.remove(peers[5])
        self.network.run(3)
        restarted = self.network.add("north-1-5", contacts=peers[:2])
        # As a node starts: its server has not reported yet.
        restarted.membership.leave()
        peers[5] = restarted
        deaths = self.record_deaths(peers)
        self.network.run(15)
        self.assertEqual(deaths, [])
        restarted.membership.mark_available()
        self.network.run(3)
        for peer in peers:
            self.assertIn("north-1-5", peer.find_nodes(ALIVE))

    def test_leaving_member_that_was_declared_dead_returns_as_leaving(self):
        peers = self.add_peers(10)
        cut_off = peers[4]
        cut_off.membership.leave()
        self.network.run(2)
        self.network.is_partitioned = lambda a, b: cut_off in (a, b)
        self.network.run(DEPARTURE_DETECTION_SECONDS)
        for peer in peers[:4] + peers[5:]:
            self.assertEqual(peer.find_nodes(DEAD), {"north-1-4"})
        self.network.is_partitioned = lambda a, b: False
        self.network.run(10)
        for peer in peers:
            self.assertEqual(peer.find_nodes(LEAVING), {"north-1-4"})

    def test_isolated_node_declares_no_leaving_member_dead(self):
        peers = self.add_peers(12)
        isolated = peers[0]
        for peer in peers[1:]:
            peer.membership.leave()
        self.network.run(3)
        deaths = self.record_deaths(peers[:1])
        self.network.is_partitioned = lambda a, b: isolated in (a, b)
        self.network.run(60)
        # The first peer that is heard again proves nothing about the others.
        self.network.is_partitioned = lambda a, b: (
            isolated in (a, b) and peers[1] not in (a, b)
        )
        while isolated.membership.isolated:
            self.network.run(1)
        self.network.run(2)
        self.network.is_partitioned = lambda a, b: False
        self.network.run(20)
        self.assertEqual(deaths, [])

    def test_only_the_members_of_a_failed_rack_are_removed(self):
        peers = self.add_peers(40)
        for peer in peers[:8]:
            self.network.remove(peer)
        self.network.run(30)
        for peer in peers[8:]:
            self.assertEqual(peer.find_nodes(ALIVE), self.list_node_ids(peers[8:]))

    def test_an_isolated_node_declares_no_peer_dead(self):
        peers = self.add_peers(20)
        isolated = peers[0]
        self.network.is_partitioned = lambda a, b: isolated in (a, b)
        self.network.run(60)
        services = isolated.table.list_service(isolated.membership.local_member.service)
        self.assertGreater(len(services), 0.5 * len(peers))
        self.network.is_partitioned = lambda a, b: False
        self.network.run(20)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.list_node_ids(peers))

    def test_the_halves_of_a_partitioned_data_centre_rejoin(self):
        peers = self.add_peers(20)
        first_half = set(peers[::2])
        self.network.is_partitioned = lambda a, b: (
            (a in first_half) != (b in first_half)
        )
        self.network.run(120)
        self.network.is_partitioned = lambda a, b: False
        self.network.run(60)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.list_node_ids(peers))

    def test_a_paused_node_takes_no_work_until_a_peer_answers(self):
        peers = self.add_peers(20)
        paused = peers[4]
        before = paused.membership.local_member.incarnation
        paused.suspended = True
        self.network.run(30)
        self.assertNotIn(
            paused.membership.local_member.node, peers[0].find_nodes(ALIVE)
        )
        self.network.is_partitioned = lambda a, b: paused in (a, b)
        paused.suspended = False
        self.network.run(2)
        self.assertTrue(paused.membership.rejoining)
        self.network.is_partitioned = lambda a, b: False
        self.network.run(10)
        self.assertFalse(paused.membership.rejoining)
        self.assertGreater(paused.membership.local_member.incarnation, before)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.list_node_ids(peers))

    def test_members_are_right_after_an_hour_without_the_other_region(self):
        peers = self.add_peers(6, DATA_CENTRES)
        region = {peer: peer.membership.local_member.region for peer in peers}
        self.network.is_partitioned = lambda a, b: region[a] != region[b]
        self.network.run(600)
        crashed, peers = peers[0], peers[1:]
        self.network.remove(crashed)
        added = self.network.add("late", *DATA_CENTRES[3], contacts=peers[-1:])
        region[added] = "south"
        self.network.run(3000)
        south = [peer for peer in peers if region[peer] == "south"]
        self.assertTrue(all(len(peer.find_nodes(ALIVE)) >= 23 for peer in south))
        self.network.is_partitioned = lambda a, b: False
        self.network.run(30)
        for peer in [*peers, added]:
            self.assertEqual(
                peer.find_nodes(ALIVE), self.list_node_ids([*peers, added])
            )

    def test_members_are_right_after_a_day_of_replacements(self):
        peers = self.add_peers(12, DATA_CENTRES)
        rng = random.Random(5)
        for number in range(95):
            gone = peers.pop(rng.randrange(len(peers)))
            departed = gone.membership.local_member
            if rng.random() < 0.5:
                gone.membership.leave()
                self.network.run(1)
            self.network.remove(gone)
            contacts = [peers[0], peers[-1]]
            peers.append(
                self.network.add(
                    f"r{number}", departed.data_centre, departed.region, contacts
                )
            )
            self.network.run(10)
        self.network.run(30)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.list_node_ids(peers))

    def test_the_later_incarnation_of_a_node_is_kept(self):
        table = MemberTable()
        table.merge(make_member("a", incarnation=5, mesh="127.0.0.1:5"))
        self.assertFalse(table.merge(make_member("a", incarnation=4)))
        dead = make_member("a", incarnation=5, state=DEAD)
        self.assertTrue(table.merge(dead))
        self.assertTrue(table.merge(make_member("a", incarnation=6)))
        self.assertEqual(table.find("a").state, ALIVE)


class SettingsSpreadTests(MembershipCase):
    def test_settings_are_in_force_on_every_node_in_time(self):
        peers = self.add_peers(40, DATA_CENTRES)
        self.adopt(peers[7], 1)
        self.network.run(SETTINGS_SPREAD_SECONDS)
        self.assertEqual({peer.settings_replica.revision for peer in peers}, {1})

    def test_a_data_centre_restarted_during_an_outage_adopts_the_newest_settings(self):
        peers = self.add_peers(6, DATA_CENTRES)
        self.adopt(peers[0], 1)
        self.network.run(10)
        self.adopt(peers[0], 2)
        self.network.run(10)
        old, rest = peers[:6], peers[6:]
        for peer in old:
            self.network.remove(peer)
        replacements = [
            self.network.add(f"fresh-{n}", *DATA_CENTRES[0], contacts=rest[:2])
            for n in range(6)
        ]
        self.network.run(5)
        self.assertEqual({peer.settings_replica.revision for peer in replacements}, {2})

    def test_a_peer_with_old_settings_reverts_no_other_peer(self):
        peers = self.add_peers(10)
        self.adopt(peers[0], 3)
        self.network.run(10)
        stale = self.network.add("stale", contacts=peers[:1])
        self.adopt(stale, 2)
        self.network.run(10)
        self.assertEqual(
            {peer.settings_replica.revision for peer in [*peers, stale]}, {3}
        )

    def test_only_the_changed_texts_are_sent(self):
        peers = self.add_peers(2)
        self.adopt(peers[0], 1)
        self.network.run(5)
        paths = {path: Revision(1) for path in SETTINGS_TEXTS}
        changed = "agency/quota"
        paths[changed] = Revision(2)
        texts = {**SETTINGS_TEXTS, changed: SETTINGS_TEXTS[changed] + "\n# a remark\n"}
        updates = []
        settings_replica = peers[1].settings_replica
        receive = settings_replica.receive_update
        peers[1].bus.register_handler(
            SettingsUpdate,
            lambda message, envelope: (
                updates.append(message),
                receive(message, envelope),
            ),
        )
        peers[0].settings_replica.adopt(SettingsSnapshot(Revision(2), texts, paths))
        self.network.run(5)
        self.assertEqual(settings_replica.revision, 2)
        self.assertEqual(
            {path for update in updates for path in update.texts}, {changed}
        )


class ReplacedDataCentreTests(MembershipCase):
    def make_registries(self, peers, store):
        """Return a registry of each peer on one platform store."""
        registries = {}
        for peer in peers:
            registries[peer] = Registry(
                self.clock,
                store,
                peer.table,
                lambda peer=peer: peer.membership.local_member,
            )
        return registries

    def run_minutes(self, minutes, registries):
        for _ in range(minutes):
            for peer, registry in registries.items():
                if peer.address in self.network.peers:
                    self.clock.spawn(registry.announce)
                    self.clock.spawn(registry.read_members)
            self.network.run(60)

    def test_members_are_right_after_a_data_centre_is_replaced(self):
        store = FakePlatform(self.clock).connect()
        peers = self.add_peers(3, DATA_CENTRES)
        registries = self.make_registries(peers, store)
        self.run_minutes(2, registries)
        lost, rest = peers[:3], peers[3:]
        for peer in lost:
            self.network.remove(peer)
        replacements = [
            self.network.add(f"fresh-{n}", *DATA_CENTRES[0], contacts=rest[:2])
            for n in range(3)
        ]
        registries.update(self.make_registries(replacements, store))
        self.network.run(10)
        for peer in rest:
            self.assertTrue(self.list_node_ids(replacements) <= peer.find_nodes(ALIVE))
        minutes = int((LEASE_SECONDS + EXPIRY_GRACE_SECONDS) / 60) + 2
        self.run_minutes(minutes, registries)
        for peer in [*rest, *replacements]:
            self.assertEqual(
                peer.find_nodes(ALIVE), self.list_node_ids([*rest, *replacements])
            )

    def test_members_are_right_after_an_outage_of_hours(self):
        down = []
        fake = FakePlatform(self.clock)
        store = fake.connect(lambda: Fault.DOWN if down else Fault.NONE)
        peers = self.add_peers(3, DATA_CENTRES)
        registries = self.make_registries(peers, store)
        self.run_minutes(2, registries)
        down.append(True)
        self.run_minutes(60, registries)
        gone, peers = peers[0], peers[1:]
        self.network.remove(gone)
        self.run_minutes(60, registries)
        down.clear()
        self.run_minutes(10, registries)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.list_node_ids(peers))


class RegistryTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.fake = FakePlatform(self.clock)

    def make(self, name, data_centre="north-1", faults=None, incarnation=1):
        member = make_member(name, data_centre=data_centre, incarnation=incarnation)
        table = MemberTable()
        faults = faults if faults is not None else []
        store = self.fake.connect(lambda: faults.pop(0) if faults else Fault.NONE)
        return Registry(self.clock, store, table, lambda: member), table

    def announce(self, registry):
        return self.clock.run(registry.announce)

    def test_announcements_are_read_by_other_nodes(self):
        first, _ = self.make("a")
        second, table = self.make("b")
        self.assertTrue(self.announce(first))
        self.assertTrue(self.announce(first))
        self.clock.run(second.read_members)
        self.assertEqual(table.find("a").state, ALIVE)

    def test_a_lost_answer_or_a_restart_does_not_block_the_announcement(self):
        first, _ = self.make("a", faults=[Fault.LOST_ANSWER])
        self.announce(first)
        self.assertTrue(self.announce(first))
        replaced, _ = self.make("a", incarnation=2)
        self.assertTrue(self.announce(replaced))

    def test_withdrawn_announcements_are_deleted(self):
        first, _ = self.make("a")
        self.announce(first)
        self.clock.run(first.withdraw)
        self.assertEqual(self.fake.store.list_prefix(MEMBERS_PREFIX).items, [])

    def test_a_node_that_saw_an_abandoned_announcement_age_removes_it(self):
        gone, _ = self.make("gone", "south-1")
        self.announce(gone)
        nearby, table = self.make("near")
        self.announce(nearby)
        table.merge(make_member("near"))
        for _ in range(int(2 * EXPIRY_GRACE_SECONDS / LEASE_RENEWAL_SECONDS)):
            self.clock.run(nearby.read_members)
            self.announce(nearby)
            self.clock.advance(LEASE_RENEWAL_SECONDS)
        kept = [
            stored.key for stored in self.fake.store.list_prefix(MEMBERS_PREFIX).items
        ]
        self.assertEqual(kept, [make_announcement_key(make_member("near"))])

    def test_an_outage_makes_no_announcement_look_abandoned(self):
        distant, _ = self.make("far", "south-1")
        self.announce(distant)
        nearby, table = self.make("near")
        table.merge(make_member("near"))
        self.clock.run(nearby.read_members)
        working = nearby._store
        nearby._store = self.fake.connect(lambda: Fault.DOWN)
        self.clock.advance(2 * EXPIRY_GRACE_SECONDS)
        self.clock.run(nearby.read_members)
        nearby._store = working
        self.clock.run(nearby.read_members)
        self.assertEqual(len(self.fake.store.list_prefix(MEMBERS_PREFIX).items), 1)

    def test_an_expired_lease_marks_a_member_dead_only_after_the_grace_time(self):
        distant, _ = self.make("far", "south-1")
        self.announce(distant)
        nearby, table = self.make("near")
        self.clock.run(nearby.read_members)
        # During an outage no node can renew, so every lease expires.
        self.clock.advance(LEASE_SECONDS * 3)
        down, nearby_table = nearby, table
        nearby._store = self.fake.connect(lambda: Fault.DOWN)
        self.clock.run(down.read_members)
        nearby._store = self.fake.connect()
        self.clock.run(nearby.read_members)
        self.assertEqual(nearby_table.find("far").state, ALIVE)
        self.clock.advance(EXPIRY_GRACE_SECONDS)
        self.clock.run(nearby.read_members)
        self.assertEqual(table.find("far").state, DEAD)

    def test_a_cold_start_of_a_data_centre_respects_the_rate_limits_of_the_platform(
        self,
    ):
        store = self.fake.connect()
        proposal = Proposal({}, make_settings_tree(110), TeamName(""))
        nonce = iter(range(9)).__next__
        self.clock.run(
            apply_proposal, self.clock, store, proposal, lambda: Nonce(f"{nonce()}")
        )
        rng, ready = random.Random(1), []
        self.fake.requests.clear()

        def start(number):
            self.clock.sleep(START_JITTER_SECONDS * rng.random())
            registry, table = self.make(f"n{number}", incarnation=number)
            registry.read_members()
            settings_replica = SettingsReplica(
                self.clock, build_policy, lambda peer: True, lambda to, message: None
            )
            SettingsWatch(
                self.clock, store, settings_replica, lambda: False, rng
            ).load()
            registry.announce()
            ready.append(settings_replica.revision)

        for number in range(185):
            self.clock.spawn(start, number)
        self.clock.advance(10.0)
        self.assertEqual(ready, [1] * 185)
        self.assertLessEqual(
            max(self.fake.requests["read"].values()), MAX_READS_PER_SECOND
        )
        self.assertLessEqual(
            max(self.fake.requests["write"].values()), MAX_WRITES_PER_SECOND
        )

    def test_an_announcement_from_before_a_restart_stays_valid_without_a_write(self):
        earlier, _ = self.make("a")
        self.announce(earlier)
        self.fake.requests.clear()
        later, _ = self.make("a", incarnation=2)
        self.clock.run(later.read_members, True)
        self.assertTrue(later.announced)
        self.assertEqual(self.fake.requests["write"], {})

    def test_an_announcement_with_another_address_is_replaced(self):
        earlier, _ = self.make("a")
        self.announce(earlier)
        later, _ = self.make("a", incarnation=2)
        local_member = later._get_local_member()
        moved = msgspec.structs.replace(local_member, mesh="127.0.0.9:1")
        later._get_local_member = lambda: moved
        self.clock.run(later.read_members)
        self.assertFalse(later.announced)
        self.assertTrue(self.announce(later))

    def test_one_alive_node_removes_the_announcement_of_a_dead_member(self):
        gone, _ = self.make("gone")
        self.announce(gone)
        alive_nodes = [self.make(name) for name in ("a", "b", "c")]
        for registry, table in alive_nodes:
            self.announce(registry)
            for name in ("a", "b", "c"):
                table.merge(make_member(name))
            table.merge(make_member("gone", state=DEAD))
            self.clock.spawn(registry.remove_dead, "gone")
        self.fake.requests.clear()
        self.clock.advance(DEAD_REMOVAL_DELAY_SECONDS + 1.0)
        kept = {
            stored.key for stored in self.fake.store.list_prefix(MEMBERS_PREFIX).items
        }
        self.assertEqual(
            kept, {make_announcement_key(make_member(n)) for n in ("a", "b", "c")}
        )
        self.assertEqual(sum(self.fake.requests["write"].values()), 1)

    def test_a_member_that_returns_keeps_its_announcement(self):
        cut_off, _ = self.make("cut")
        self.announce(cut_off)
        nearby, table = self.make("near")
        table.merge(make_member("near"))
        table.merge(make_member("cut", state=DEAD))
        self.clock.spawn(nearby.remove_dead, "cut")
        self.clock.advance(DEAD_REMOVAL_DELAY_SECONDS / 2)
        table.merge(make_member("cut", incarnation=Incarnation(2)))
        self.clock.advance(DEAD_REMOVAL_DELAY_SECONDS)
        self.assertEqual(len(self.fake.store.list_prefix(MEMBERS_PREFIX).items), 1)

    def test_an_unreachable_platform_is_reported(self):
        first, _ = self.make("a", faults=[Fault.DOWN] * 9)
        self.assertFalse(self.announce(first))
        self.assertFalse(first.reachable)

    def test_a_record_of_a_later_incarnation_replaces_earlier_ones(self):
        older = make_member("a", incarnation=Incarnation(1))
        newer = make_member("a", incarnation=Incarnation(2), state=SUSPECT)
        self.assertTrue(newer.supersedes(older))
        self.assertTrue(make_member("a", state=LEAVING).supersedes(older))
