import random
import unittest

import msgspec

from fuchsiaspool.benchmarks.capacity import make_tree
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

CRASH_OUT_SECONDS = 10
IN_FORCE_SECONDS = 7
READS_A_SECOND = 2000
WRITES_A_SECOND = 300
CENTRES = (
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

    def grow(self, count, centres=CENTRES[:1]):
        peers = []
        for centre, region in centres:
            for number in range(count):
                contacts = peers[:1] + peers[-1:]
                name = f"{centre}-{number}"
                peers.append(self.network.add(name, centre, region, contacts))
        self.network.run(15)
        return peers

    def adopt(self, peer, revision):
        paths = {path: Revision(revision) for path in SETTINGS_TEXTS}
        peer.settings_replica.adopt(
            SettingsSnapshot(Revision(revision), dict(SETTINGS_TEXTS), paths)
        )

    def names(self, peers):
        return {peer.membership.local_member.node for peer in peers}


class MembershipTests(MembershipCase):
    def test_everyone_learns_of_everyone(self):
        peers = self.grow(8, CENTRES)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.names(peers))

    def test_a_new_server_gets_work_within_seconds(self):
        peers = self.grow(30)
        peers.append(self.network.add("new", contacts=peers[:1]))
        self.network.run(3)
        for peer in peers:
            self.assertIn("new", peer.find_nodes(ALIVE))

    def test_a_leaving_server_gets_no_work_within_two_seconds(self):
        peers = self.grow(20, CENTRES)
        peers[0].membership.leave()
        self.network.run(2)
        for peer in peers:
            services = peer.table.list_service(peers[0].membership.local_member.service)
            self.assertNotIn(
                peers[0].membership.local_member.node, {m.node for m in services}
            )

    def test_a_crashed_server_is_out_within_the_bound(self):
        peers = self.grow(30)
        self.network.remove(peers[3])
        self.network.run(CRASH_OUT_SECONDS)
        for peer in peers[:3] + peers[4:]:
            self.assertNotIn(
                peers[3].membership.local_member.node, peer.find_nodes(ALIVE)
            )
            self.assertEqual(len(peer.find_nodes(ALIVE)), 29)

    def test_a_rack_that_fails_is_out_and_the_rest_stays(self):
        peers = self.grow(40)
        for peer in peers[:8]:
            self.network.remove(peer)
        self.network.run(30)
        for peer in peers[8:]:
            self.assertEqual(peer.find_nodes(ALIVE), self.names(peers[8:]))

    def test_a_node_that_is_cut_off_condemns_nobody(self):
        peers = self.grow(20)
        alone = peers[0]
        self.network.is_partitioned = lambda a, b: alone in (a, b)
        self.network.run(60)
        services = alone.table.list_service(alone.membership.local_member.service)
        self.assertGreater(len(services), 0.5 * len(peers))
        self.network.is_partitioned = lambda a, b: False
        self.network.run(20)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.names(peers))

    def test_halves_of_a_split_data_centre_find_together_again(self):
        peers = self.grow(20)
        half = set(peers[::2])
        self.network.is_partitioned = lambda a, b: (a in half) != (b in half)
        self.network.run(120)
        self.network.is_partitioned = lambda a, b: False
        self.network.run(60)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.names(peers))

    def test_a_paused_node_takes_no_work_until_a_peer_answers(self):
        peers = self.grow(20)
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
            self.assertEqual(peer.find_nodes(ALIVE), self.names(peers))

    def test_an_hour_without_the_other_region_ends_with_the_right_members(self):
        peers = self.grow(6, CENTRES)
        region = {p: p.membership.local_member.region for p in peers}
        self.network.is_partitioned = lambda a, b: region[a] != region[b]
        self.network.run(600)
        crashed, peers = peers[0], peers[1:]
        self.network.remove(crashed)
        added = self.network.add("late", *CENTRES[3], contacts=peers[-1:])
        region[added] = "south"
        self.network.run(3000)
        south = [p for p in peers if region[p] == "south"]
        self.assertTrue(all(len(p.find_nodes(ALIVE)) >= 23 for p in south))
        self.network.is_partitioned = lambda a, b: False
        self.network.run(30)
        for peer in [*peers, added]:
            self.assertEqual(peer.find_nodes(ALIVE), self.names([*peers, added]))

    def test_a_day_of_replacements_ends_with_the_right_members(self):
        peers = self.grow(12, CENTRES)
        chance = random.Random(5)
        for number in range(95):
            gone = peers.pop(chance.randrange(len(peers)))
            own = gone.membership.local_member
            if chance.random() < 0.5:
                gone.membership.leave()
                self.network.run(1)
            self.network.remove(gone)
            contacts = [peers[0], peers[-1]]
            peers.append(
                self.network.add(f"r{number}", own.data_centre, own.region, contacts)
            )
            self.network.run(10)
        self.network.run(30)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.names(peers))

    def test_one_name_in_two_lives_keeps_the_later(self):
        table = MemberTable()
        table.merge(make_member("a", incarnation=5, mesh="127.0.0.1:5"))
        self.assertFalse(table.merge(make_member("a", incarnation=4)))
        dead = make_member("a", incarnation=5, state=DEAD)
        self.assertTrue(table.merge(dead))
        self.assertTrue(table.merge(make_member("a", incarnation=6)))
        self.assertEqual(table.find("a").state, ALIVE)


class SettingsSpreadTests(MembershipCase):
    def test_settings_are_in_force_everywhere_within_the_bound(self):
        peers = self.grow(40, CENTRES)
        self.adopt(peers[7], 1)
        self.network.run(IN_FORCE_SECONDS)
        self.assertEqual({p.settings_replica.revision for p in peers}, {1})

    def test_a_data_centre_restarted_during_an_outage_takes_the_newest(self):
        peers = self.grow(6, CENTRES)
        self.adopt(peers[0], 1)
        self.network.run(10)
        self.adopt(peers[0], 2)
        self.network.run(10)
        old, rest = peers[:6], peers[6:]
        for peer in old:
            self.network.remove(peer)
        fresh = [
            self.network.add(f"fresh-{n}", *CENTRES[0], contacts=rest[:2])
            for n in range(6)
        ]
        self.network.run(5)
        self.assertEqual({p.settings_replica.revision for p in fresh}, {2})

    def test_a_peer_with_old_settings_reverts_nobody(self):
        peers = self.grow(10)
        self.adopt(peers[0], 3)
        self.network.run(10)
        stale = self.network.add("stale", contacts=peers[:1])
        self.adopt(stale, 2)
        self.network.run(10)
        self.assertEqual({p.settings_replica.revision for p in [*peers, stale]}, {3})

    def test_only_the_changed_texts_are_sent(self):
        peers = self.grow(2)
        self.adopt(peers[0], 1)
        self.network.run(5)
        paths = {path: Revision(1) for path in SETTINGS_TEXTS}
        changed = "agency/quota"
        paths[changed] = Revision(2)
        texts = {**SETTINGS_TEXTS, changed: SETTINGS_TEXTS[changed] + "\n# a remark\n"}
        told = []
        settings_replica = peers[1].settings_replica
        receive = settings_replica.receive_update
        peers[1].bus.register_handler(
            SettingsUpdate,
            lambda body, envelope: (told.append(body), receive(body, envelope)),
        )
        peers[0].settings_replica.adopt(SettingsSnapshot(Revision(2), texts, paths))
        self.network.run(5)
        self.assertEqual(settings_replica.revision, 2)
        self.assertEqual({path for tell in told for path in tell.texts}, {changed})


class ReplacedCentreTests(MembershipCase):
    def register(self, peers, platform):
        """Give every peer its announcement; all of them read who else did."""
        own = {}
        for peer in peers:
            own[peer] = Registry(
                self.clock,
                platform,
                peer.table,
                lambda peer=peer: peer.membership.local_member,
            )
        return own

    def run_minutes(self, minutes, registries):
        for _ in range(minutes):
            for peer, registry in registries.items():
                if peer.address in self.network.peers:
                    self.clock.spawn(registry.announce)
                    self.clock.spawn(registry.read_members)
            self.network.run(60)

    def test_a_data_centre_replaced_whole_ends_with_the_right_members(self):
        platform = FakePlatform(self.clock).connect()
        peers = self.grow(3, CENTRES)
        registries = self.register(peers, platform)
        self.run_minutes(2, registries)
        lost, rest = peers[:3], peers[3:]
        for peer in lost:
            self.network.remove(peer)
        fresh = [
            self.network.add(f"fresh-{n}", *CENTRES[0], contacts=rest[:2])
            for n in range(3)
        ]
        registries.update(self.register(fresh, platform))
        self.network.run(10)
        for peer in rest:
            self.assertTrue(self.names(fresh) <= peer.find_nodes(ALIVE))
        minutes = int((LEASE_SECONDS + EXPIRY_GRACE_SECONDS) / 60) + 2
        self.run_minutes(minutes, registries)
        for peer in [*rest, *fresh]:
            self.assertEqual(peer.find_nodes(ALIVE), self.names([*rest, *fresh]))

    def test_an_outage_of_hours_ends_with_the_right_members(self):
        down = []
        fake = FakePlatform(self.clock)
        platform = fake.connect(lambda: Fault.DOWN if down else Fault.NONE)
        peers = self.grow(3, CENTRES)
        registries = self.register(peers, platform)
        self.run_minutes(2, registries)
        down.append(True)
        self.run_minutes(60, registries)
        gone, peers = peers[0], peers[1:]
        self.network.remove(gone)
        self.run_minutes(60, registries)
        down.clear()
        self.run_minutes(10, registries)
        for peer in peers:
            self.assertEqual(peer.find_nodes(ALIVE), self.names(peers))


class RegistryTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.fake = FakePlatform(self.clock)

    def make(self, name, centre="north-1", faults=None, incarnation=1):
        own = make_member(name, data_centre=centre, incarnation=incarnation)
        table = MemberTable()
        faults = faults if faults is not None else []
        platform = self.fake.connect(lambda: faults.pop(0) if faults else Fault.NONE)
        return Registry(self.clock, platform, table, lambda: own), table

    def announce(self, registry):
        return self.clock.run(registry.announce)

    def test_announcements_are_found_by_others(self):
        first, _ = self.make("a")
        second, table = self.make("b")
        self.assertTrue(self.announce(first))
        self.assertTrue(self.announce(first))
        self.clock.run(second.read_members)
        self.assertEqual(table.find("a").state, ALIVE)

    def test_a_lost_answer_or_an_earlier_life_does_not_lock_the_name(self):
        first, _ = self.make("a", faults=[Fault.LOST_ANSWER])
        self.announce(first)
        self.assertTrue(self.announce(first))
        replaced, _ = self.make("a", incarnation=2)
        self.assertTrue(self.announce(replaced))

    def test_withdrawn_announcements_are_gone(self):
        first, _ = self.make("a")
        self.announce(first)
        self.clock.run(first.withdraw)
        self.assertEqual(self.fake.store.list_prefix(MEMBERS_PREFIX).items, [])

    def test_an_abandoned_announcement_is_removed_by_one_who_saw_it_age(self):
        gone, _ = self.make("gone", "south-1")
        self.announce(gone)
        near, table = self.make("near")
        self.announce(near)
        table.merge(make_member("near"))
        for _ in range(int(2 * EXPIRY_GRACE_SECONDS / LEASE_RENEWAL_SECONDS)):
            self.clock.run(near.read_members)
            self.announce(near)
            self.clock.advance(LEASE_RENEWAL_SECONDS)
        kept = [
            stored.key for stored in self.fake.store.list_prefix(MEMBERS_PREFIX).items
        ]
        self.assertEqual(kept, [make_announcement_key(make_member("near"))])

    def test_an_outage_makes_no_announcement_look_abandoned(self):
        far, _ = self.make("far", "south-1")
        self.announce(far)
        near, table = self.make("near")
        table.merge(make_member("near"))
        self.clock.run(near.read_members)
        working = near._platform
        near._platform = self.fake.connect(lambda: Fault.DOWN)
        self.clock.advance(2 * EXPIRY_GRACE_SECONDS)
        self.clock.run(near.read_members)
        near._platform = working
        self.clock.run(near.read_members)
        self.assertEqual(len(self.fake.store.list_prefix(MEMBERS_PREFIX).items), 1)

    def test_a_lapsed_lease_buries_only_after_the_platform_was_there_long(self):
        far, _ = self.make("far", "south-1")
        self.announce(far)
        near, table = self.make("near")
        self.clock.run(near.read_members)
        # An outage: nobody can renew, and every lease lapses.
        self.clock.advance(LEASE_SECONDS * 3)
        down, down_table = near, table
        near._platform = self.fake.connect(lambda: Fault.DOWN)
        self.clock.run(down.read_members)
        near._platform = self.fake.connect()
        self.clock.run(near.read_members)
        self.assertEqual(down_table.find("far").state, ALIVE)
        self.clock.advance(EXPIRY_GRACE_SECONDS)
        self.clock.run(near.read_members)
        self.assertEqual(table.find("far").state, DEAD)

    def test_a_cold_start_of_a_data_centre_stays_within_the_platforms_rates(self):
        platform = self.fake.connect()
        proposal = Proposal({}, make_tree(110), TeamName(""))
        nonce = iter(range(9)).__next__
        self.clock.run(
            apply_proposal, self.clock, platform, proposal, lambda: Nonce(f"{nonce()}")
        )
        chance, ready = random.Random(1), []
        self.fake.requests.clear()

        def start(number):
            self.clock.sleep(START_JITTER_SECONDS * chance.random())
            registry, table = self.make(f"n{number}", incarnation=number)
            registry.read_members()
            settings_replica = SettingsReplica(
                self.clock, build_policy, lambda p: True, lambda to, body: None
            )
            SettingsWatch(
                self.clock, platform, settings_replica, lambda: False, chance
            ).load()
            registry.announce()
            ready.append(settings_replica.revision)

        for number in range(185):
            self.clock.spawn(start, number)
        self.clock.advance(10.0)
        self.assertEqual(ready, [1] * 185)
        self.assertLessEqual(max(self.fake.requests["read"].values()), READS_A_SECOND)
        self.assertLessEqual(max(self.fake.requests["write"].values()), WRITES_A_SECOND)

    def test_the_announcement_of_an_earlier_life_holds_without_a_write(self):
        earlier, _ = self.make("a")
        self.announce(earlier)
        self.fake.requests.clear()
        later, _ = self.make("a", incarnation=2)
        self.clock.run(later.read_members, True)
        self.assertTrue(later.announced)
        self.assertEqual(self.fake.requests["write"], {})

    def test_an_announcement_that_names_another_address_does_not_hold(self):
        earlier, _ = self.make("a")
        self.announce(earlier)
        later, _ = self.make("a", incarnation=2)
        own = later._get_own()
        moved = msgspec.structs.replace(own, mesh="127.0.0.9:1")
        later._get_own = lambda: moved
        self.clock.run(later.read_members)
        self.assertFalse(later.announced)
        self.assertTrue(self.announce(later))

    def test_one_of_the_living_removes_what_a_dead_member_announced(self):
        gone, _ = self.make("gone")
        self.announce(gone)
        living = [self.make(name) for name in ("a", "b", "c")]
        for registry, table in living:
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

    def test_a_member_that_returned_meanwhile_keeps_its_announcement(self):
        cut, _ = self.make("cut")
        self.announce(cut)
        near, table = self.make("near")
        table.merge(make_member("near"))
        table.merge(make_member("cut", state=DEAD))
        self.clock.spawn(near.remove_dead, "cut")
        self.clock.advance(DEAD_REMOVAL_DELAY_SECONDS / 2)
        table.merge(make_member("cut", incarnation=Incarnation(2)))
        self.clock.advance(DEAD_REMOVAL_DELAY_SECONDS)
        self.assertEqual(len(self.fake.store.list_prefix(MEMBERS_PREFIX).items), 1)

    def test_a_platform_that_is_down_is_said_to_be(self):
        first, _ = self.make("a", faults=[Fault.DOWN] * 9)
        self.assertFalse(self.announce(first))
        self.assertFalse(first.reachable)

    def test_incarnations_order_lives(self):
        older = make_member("a", incarnation=Incarnation(1))
        newer = make_member("a", incarnation=Incarnation(2), state=SUSPECT)
        self.assertTrue(newer.supersedes(older))
        self.assertTrue(make_member("a", state=LEAVING).supersedes(older))
