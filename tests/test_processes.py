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
    Position,
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

OBJECT_KEY = ObjectKey("settings/x")
SETTINGS_PROPAGATION_SECONDS = 7
CRASH_DETECTION_SECONDS = 10
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
        created = self.client.put(OBJECT_KEY, b"1", None)
        self.assertIsInstance(created, Applied)
        self.assertEqual(self.client.put(OBJECT_KEY, b"2", None), Conflict())
        updated = self.client.put(OBJECT_KEY, b"2", created.version)
        self.assertEqual(self.client.put(OBJECT_KEY, b"3", created.version), Conflict())
        self.assertEqual(self.client.get(OBJECT_KEY).value.value, b"2")
        self.assertIsInstance(self.client.delete(OBJECT_KEY, updated.version), Applied)
        self.assertEqual(self.client.get(OBJECT_KEY), Err(ReadFault.NOT_FOUND))

    def test_a_write_with_a_lost_answer_is_ambiguous_and_applied_once(self):
        self.set_faults(lose_write_answers=1)
        self.assertIsInstance(self.client.put(OBJECT_KEY, b"1", None), Ambiguous)
        self.set_faults(lose_write_answers=1)
        version = self.client.get(OBJECT_KEY).value.version
        change = ConditionalWrite(
            OBJECT_KEY, b"2", version, lambda value: value == b"2"
        )
        outcome = write_and_confirm(self.clock, self.client, change)
        self.assertEqual(outcome, Applied(version + 1))
        self.assertEqual(self.standin.store.version, version + 1)

    def test_a_slow_platform_makes_writes_ambiguous_and_reads_unavailable(self):
        self.client.put(OBJECT_KEY, b"1", None)
        self.set_faults(delay=5.0)
        self.assertIsInstance(self.client.put(OBJECT_KEY, b"2", 1), Ambiguous)
        self.set_faults(down=True)
        self.assertIsInstance(self.client.put(OBJECT_KEY, b"2", 1), Unavailable)
        self.assertEqual(self.client.get(OBJECT_KEY), Err(ReadFault.UNAVAILABLE))

    def test_only_the_cut_off_data_centre_is_unavailable(self):
        self.set_faults(cut_off=["127.0.0.9"])
        self.assertIsInstance(self.client.put(OBJECT_KEY, b"1", None), Applied)
        self.set_faults(cut_off=["127.0.0.1"])
        self.assertIsInstance(self.client.put(OBJECT_KEY, b"2", 1), Unavailable)
        self.assertEqual(self.client.get(OBJECT_KEY), Err(ReadFault.UNAVAILABLE))

    def test_a_refused_connection_applies_nothing(self):
        unreachable = make_platform_store(
            allocate_address(), self.clock, random.Random(1)
        )
        self.assertIsInstance(unreachable.put(OBJECT_KEY, b"1", None), Unavailable)

    def watch(self, version, seconds=0.05):
        position = Position(version, self.standin.store.era)
        return self.client.watch("settings/", position, seconds)

    def test_watches_wait_and_resume_and_report_failures(self):
        first = self.client.put(OBJECT_KEY, b"1", None).version
        gevent.spawn_later(0.1, self.client.put, OBJECT_KEY, b"2", first)
        events = self.watch(first, 5.0).value
        self.assertEqual([e.value for e in events.items], [b"2"])
        self.assertEqual(self.watch(2).value.items, [])
        for number in range(MAX_HISTORY_EVENTS + 5):
            self.standin.store.put(ObjectKey(f"other/{number}"), b"", None)
        old = self.watch(first)
        self.assertEqual(old, Err(ReadFault.VERSION_TOO_OLD))
        self.set_faults(cut_watches=True)
        cut = self.watch(2)
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
        self.apply_settings({**SETTINGS_TEXTS}, "platform")
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

    def apply_settings(self, texts, team):
        base = load_tree(self.client).value.snapshot.texts
        proposal = Proposal(base, texts, TeamName(team))
        return apply_proposal(self.clock, self.client, proposal, make_nonce)

    def await_members(self, count, seconds=CRASH_DETECTION_SECONDS):
        with gevent.Timeout(seconds):
            while True:
                alive = [n for n in self.nodes if n.process.poll() is None]
                found = [fetch_status(n.control) for n in alive]
                if all(s and s.members.get("alive") == count for s in found):
                    return found
                gevent.sleep(0.2)

    def start_load(self, seconds, entry_nodes, rate=30.0):
        addresses = [node.callers for node in entry_nodes]
        plan = LoadPlan(addresses, SHAPES, rate, seconds, timeout=3.0)
        load_generator = OpenLoadGenerator(plan, 64)
        task = gevent.spawn(load_generator.run)
        return load_generator.report, task

    def check_guarantees(self, report):
        runs = [
            key for server in self.servers for key in server.record.idempotency_keys
        ]
        self.assertEqual(len(runs), len(set(runs)), "a protected operation ran twice")
        self.assertEqual(report.rejected_keys & set(runs), set())
        self.assertEqual(report.wrong_size_answers, 0)

    def test_a_killed_node_is_removed_and_guarantees_hold(self):
        report, task = self.start_load(6.0, self.nodes[:2])
        gevent.sleep(2)
        os.kill(self.nodes[2].process.pid, signal.SIGKILL)
        self.servers[2].kill()
        self.await_members(2)
        task.join()
        self.check_guarantees(report)
        whole, offered = report.whole["check"], report.offered["check"]
        self.assertGreaterEqual(whole, 0.97 * offered)

    def test_a_suspended_node_returns_and_nothing_runs_twice(self):
        report, task = self.start_load(14.0, self.nodes, rate=20.0)
        gevent.sleep(1)
        os.kill(self.nodes[1].process.pid, signal.SIGSTOP)
        gevent.sleep(9)
        os.kill(self.nodes[1].process.pid, signal.SIGCONT)
        task.join()
        self.await_members(3)
        self.check_guarantees(report)

    def test_a_change_takes_effect_on_every_node_in_time(self):
        path = SubtreePath("agency/quota")
        text = SETTINGS_TEXTS[path].replace("slots = 4", "slots = 3")
        accepted = self.apply_settings({path: text}, "quota").value
        with gevent.Timeout(SETTINGS_PROPAGATION_SECONDS):
            for node in self.nodes:
                while fetch_status(node.control).revision < accepted:
                    gevent.sleep(0.05)

    def test_a_platform_outage_rejects_only_protected_calls(self):
        self.platform.faults.down = True
        report, task = self.start_load(4.0, self.nodes)
        task.join()
        self.assertEqual(report.whole["check"], report.offered["check"])
        self.assertEqual(report.shed["certify"], report.offered["certify"])
        self.check_guarantees(report)
        found = fetch_status(self.nodes[0].control)
        self.assertEqual(found.revision, 1)
