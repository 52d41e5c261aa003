import os
import random
import signal
import unittest

import gevent

from fuchsiaspool.addresses import Address
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.commands.nodes import fetch_status
from fuchsiaspool.ids import SubtreePath, TeamName
from fuchsiaspool.load_generator import LoadPlan, OpenLoadGenerator, RequestShape
from fuchsiaspool.operations.commits import make_nonce
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.platform.objects import (
    Ambiguous,
    Applied,
    Conflict,
    ObjectKey,
    ReadFault,
    Unavailable,
)
from fuchsiaspool.platform.writes import ConditionalWrite, write_and_confirm
from fuchsiaspool.results import Err
from fuchsiaspool.settings.store import Proposal, apply_proposal, load_tree
from fuchsiaspool.standins.platform import (
    MAX_HISTORY_EVENTS,
    PlatformFaults,
    PlatformStandin,
)
from fuchsiaspool.standins.server import ServerPlan, ServerStandin

from .support import SETTINGS_TEXTS, allocate_address
from .test_stop import NodeProcess

KEY = ObjectKey("settings/x")
IN_FORCE_SECONDS = 7
CRASH_OUT_SECONDS = 10
SHAPES = (
    RequestShape("check", 0.7, "GET", "/quota/1"),
    RequestShape("certify", 0.3, "POST", "/lots/1", protected=True),
)


class PlatformClientTests(unittest.TestCase):
    def setUp(self):
        self.standin = PlatformStandin(Address("127.0.0.1", 0))
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.clock = SystemClock()
        self.client = make_platform_store(
            self.standin.address, self.clock, random.Random(1)
        )

    def set_faults(self, **faults):
        self.standin.faults = PlatformFaults(**faults)

    def test_conditional_writes(self):
        created = self.client.put(KEY, b"1", None)
        self.assertIsInstance(created, Applied)
        self.assertEqual(self.client.put(KEY, b"2", None), Conflict())
        updated = self.client.put(KEY, b"2", created.version)
        self.assertEqual(self.client.put(KEY, b"3", created.version), Conflict())
        self.assertEqual(self.client.get(KEY).value.value, b"2")
        self.assertIsInstance(self.client.delete(KEY, updated.version), Applied)
        self.assertEqual(self.client.get(KEY), Err(ReadFault.NOT_FOUND))

    def test_a_lost_answer_is_ambiguous_and_settled_by_one_effect(self):
        self.set_faults(lose_write_answers=1)
        self.assertIsInstance(self.client.put(KEY, b"1", None), Ambiguous)
        self.set_faults(lose_write_answers=1)
        version = self.client.get(KEY).value.version
        change = ConditionalWrite(KEY, b"2", version, lambda value: value == b"2")
        outcome = write_and_confirm(self.clock, self.client, change)
        self.assertEqual(outcome, Applied(version + 1))
        self.assertEqual(self.standin.store.version, version + 1)

    def test_a_slow_platform_is_ambiguous_for_writes_and_away_for_reads(self):
        self.client.put(KEY, b"1", None)
        self.set_faults(delay=5.0)
        self.assertIsInstance(self.client.put(KEY, b"2", 1), Ambiguous)
        self.set_faults(down=True)
        self.assertIsInstance(self.client.put(KEY, b"2", 1), Unavailable)
        self.assertEqual(self.client.get(KEY), Err(ReadFault.UNAVAILABLE))

    def test_a_cut_data_centre_is_cut_off_and_others_are_not(self):
        self.set_faults(cut_off=["127.0.0.9"])
        self.assertIsInstance(self.client.put(KEY, b"1", None), Applied)
        self.set_faults(cut_off=["127.0.0.1"])
        self.assertIsInstance(self.client.put(KEY, b"2", 1), Unavailable)
        self.assertEqual(self.client.get(KEY), Err(ReadFault.UNAVAILABLE))

    def test_nobody_listening_is_certainly_not_taken(self):
        nobody = make_platform_store(allocate_address(), self.clock, random.Random(1))
        self.assertIsInstance(nobody.put(KEY, b"1", None), Unavailable)

    def test_watches_wait_resume_and_say_when_they_cannot(self):
        first = self.client.put(KEY, b"1", None).version
        gevent.spawn_later(0.1, self.client.put, KEY, b"2", first)
        events = self.client.watch("settings/", first, 5.0).value
        self.assertEqual([e.value for e in events.items], [b"2"])
        self.assertEqual(self.client.watch("settings/", 2, 0.05).value.items, [])
        for number in range(MAX_HISTORY_EVENTS + 5):
            self.standin.store.put(ObjectKey(f"other/{number}"), b"", None)
        old = self.client.watch("settings/", first, 0.05)
        self.assertEqual(old, Err(ReadFault.VERSION_TOO_OLD))
        self.set_faults(cut_watches=True)
        cut = self.client.watch("settings/", 2, 0.05)
        self.assertEqual(cut, Err(ReadFault.UNAVAILABLE))


class FleetTests(unittest.TestCase):
    def setUp(self):
        self.platform = PlatformStandin(Address("127.0.0.1", 0))
        self.platform.start()
        self.addCleanup(self.platform.stop)
        self.clock = SystemClock()
        self.client = make_platform_store(
            self.platform.address, self.clock, random.Random(1)
        )
        self.apply({**SETTINGS_TEXTS}, "platform")
        self.servers, self.nodes = [], []
        for name in "abc":
            server = ServerStandin(
                allocate_address(),
                ServerPlan(slots=4, service_time=0.02, answer_size=64),
            )
            server.start()
            self.addCleanup(server.kill)
            contacts = str(self.nodes[0].peers) if self.nodes else ""
            self.nodes.append(NodeProcess(self, name, self.platform, server, contacts))
            self.servers.append(server)
        for node in self.nodes:
            node.await_ready()
        self.await_members(3)

    def apply(self, texts, team):
        base = load_tree(self.client).value.snapshot.texts
        proposal = Proposal(base, texts, TeamName(team))
        return apply_proposal(self.clock, self.client, proposal, make_nonce)

    def await_members(self, count, seconds=CRASH_OUT_SECONDS):
        with gevent.Timeout(seconds):
            while True:
                alive = [n for n in self.nodes if n.process.poll() is None]
                found = [fetch_status(n.control) for n in alive]
                if all(s and s.members.get("alive") == count for s in found):
                    return found
                gevent.sleep(0.2)

    def load(self, seconds, entries, rate=30.0):
        addresses = [node.callers for node in entries]
        plan = LoadPlan(addresses, SHAPES, rate, seconds, timeout=3.0)
        load = OpenLoadGenerator(plan, 64)
        task = gevent.spawn(load.run)
        return load.report, task

    def check_promises(self, report):
        runs = [
            key for server in self.servers for key in server.record.idempotency_keys
        ]
        self.assertEqual(len(runs), len(set(runs)), "a protected operation ran twice")
        self.assertEqual(report.rejected_keys & set(runs), set())
        self.assertEqual(report.wrong_size_answers, 0)

    def test_a_killed_node_is_out_and_every_promise_is_kept(self):
        report, task = self.load(6.0, self.nodes[:2])
        gevent.sleep(2)
        os.kill(self.nodes[2].process.pid, signal.SIGKILL)
        self.servers[2].kill()
        self.await_members(2)
        task.join()
        self.check_promises(report)
        whole, offered = report.whole["check"], report.offered["check"]
        self.assertGreaterEqual(whole, 0.97 * offered)

    def test_a_frozen_node_comes_back_and_nothing_runs_twice(self):
        report, task = self.load(14.0, self.nodes, rate=20.0)
        gevent.sleep(1)
        os.kill(self.nodes[1].process.pid, signal.SIGSTOP)
        gevent.sleep(9)
        os.kill(self.nodes[1].process.pid, signal.SIGCONT)
        task.join()
        self.await_members(3)
        self.check_promises(report)

    def test_a_change_is_in_force_on_every_process_within_the_bound(self):
        path = SubtreePath("agency/quota")
        text = SETTINGS_TEXTS[path].replace("slots = 4", "slots = 3")
        accepted = self.apply({path: text}, "quota").value
        with gevent.Timeout(IN_FORCE_SECONDS):
            for node in self.nodes:
                while fetch_status(node.control).revision < accepted:
                    gevent.sleep(0.05)

    def test_an_outage_of_the_platform_leaves_calls_and_settings_alone(self):
        self.platform.faults.down = True
        report, task = self.load(4.0, self.nodes)
        task.join()
        self.assertEqual(report.whole["check"], report.offered["check"])
        self.assertEqual(report.shed["certify"], report.offered["certify"])
        self.check_promises(report)
        found = fetch_status(self.nodes[0].control)
        self.assertEqual(found.revision, 1)
