import contextlib
import io
import logging
import os
import random
import tempfile
import unittest
from pathlib import Path

import gevent
import msgspec

from fuchsiaspool.addresses import Address
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.commands import ctl, load, node as node_command
from fuchsiaspool.commands.exits import ExitCode
from fuchsiaspool.ids import NodeId, SubtreePath
from fuchsiaspool.logs import JsonFormatter
from fuchsiaspool.node import Node, NodeState
from fuchsiaspool.operation_records import ClaimKey
from fuchsiaspool.operations.commits import GroupCommitter
from fuchsiaspool.operations.keys import find_shard_key, make_key
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.replay.trace import make_trace_writer, read_trace
from fuchsiaspool.settings.files import write_settings_folder
from fuchsiaspool.settings.reference import write_reference
from fuchsiaspool.standins.platform import PlatformStandin
from fuchsiaspool.standins.server import ServerPlan, ServerStandin

from .support import (
    SETTINGS_TEXTS,
    allocate_address,
    make_options,
    make_policy,
    start_node,
)
from .test_stop import SETTINGS

ROOT = Path(__file__).parent.parent


class CommandCase(unittest.TestCase):
    def setUp(self):
        self.platform = PlatformStandin(Address("127.0.0.1", 0))
        self.platform.start()
        self.addCleanup(self.platform.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        write_settings_folder(self.folder, SETTINGS_TEXTS)

    def run_ctl(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                code = ctl.main([str(argument) for argument in arguments])
            except SystemExit as stop:
                code = stop.code
        return code, out.getvalue(), err.getvalue()

    def run_settings(self, action, *arguments):
        platform_option = ("--platform", self.platform.address)
        return self.run_ctl("settings", action, *arguments, *platform_option)


class SettingsCommandTests(CommandCase):
    def test_check_diff_apply_history_and_show_of_a_change(self):
        check = self.run_ctl("settings", "check", self.folder)
        self.assertEqual(check[0], ExitCode.DONE)
        self.assertEqual(self.run_settings("diff", self.folder)[0], ExitCode.DIFFERENT)
        code, out, _ = self.run_settings("apply", self.folder, "--team", "platform")
        self.assertEqual((code, out.split(":")[0]), (0, "accepted as revision 1"))
        self.assertEqual(self.run_settings("diff", self.folder)[0], ExitCode.DONE)
        code, out, _ = self.run_settings("history", "--json")
        entry = msgspec.json.decode(out)[0]
        self.assertEqual((entry["revision"], entry["team"]), (1, "platform"))
        code, out, _ = self.run_settings("show")
        self.assertIn("slots = 4", out)

    def test_check_error_names_file_section_and_option(self):
        file = self.folder / "agency" / "quota.ini"
        file.write_text(file.read_text().replace("slots = 4", "slots = many"))
        code, _, err = self.run_ctl("settings", "check", self.folder)
        self.assertEqual(code, ExitCode.USAGE)
        for expected in ("agency/quota", "[service quota]", "slots", "int"):
            self.assertIn(expected, err)

    def test_apply_rejects_other_teams_and_conflicting_changes(self):
        self.run_settings("apply", self.folder, "--team", "platform")
        base = self.folder / "base"
        write_settings_folder(base, SETTINGS_TEXTS)
        path = SubtreePath("agency/quota")
        for name, team, code in (
            ("first", "other", ExitCode.REFUSED),
            ("first", "quota", ExitCode.DONE),
            ("second", "quota", ExitCode.REFUSED),
        ):
            changed_folder = self.folder / name
            text = SETTINGS_TEXTS[path].replace("slots = 4", f"slots = {len(name)}")
            write_settings_folder(changed_folder, {**SETTINGS_TEXTS, path: text})
            result = self.run_settings(
                "apply", changed_folder, "--team", team, "--base", base
            )
            self.assertEqual(result[0], code, result)

    def test_apply_reports_an_unreachable_platform(self):
        self.platform.faults.down = True
        code, _, err = self.run_settings("apply", self.folder, "--team", "platform")
        self.assertEqual(code, ExitCode.UNREACHABLE)
        self.assertIn("platform unreachable", err)

    def test_committed_settings_reference_is_current(self):
        committed = (ROOT / "docs" / "SETTINGS.md").read_text()
        self.assertEqual(committed, write_reference())

    def test_example_trees_are_valid(self):
        for folder in sorted((ROOT / "examples").iterdir()):
            if folder.is_dir():
                code, _, err = self.run_ctl("settings", "check", folder)
                self.assertEqual((code, err), (0, ""))


class NodeCommandTests(CommandCase):
    def start_node_with_server(self, **fields):
        plan = ServerPlan(slots=4, service_time=0.0, answer_size=5)
        server = ServerStandin(allocate_address(), plan)
        server.start()
        self.addCleanup(server.kill)
        return start_node(self, make_options(server.address, **fields))

    def send_load(self, node, count=20):
        target = f"here={node.options.callers}"
        rate = ("--rate", "100", "--seconds", str(count / 100), "--json")
        shape = ("--shape", "check:1:GET:/quota/1")
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            load.main(["--target", target, *rate, *shape])
        return msgspec.json.decode(out.getvalue())

    def test_status_and_histograms_work_without_the_platform(self):
        node = self.start_node_with_server()
        sent = self.send_load(node)
        code, out, _ = self.run_ctl("status", node.options.control, "--json")
        status = msgspec.json.decode(out)
        self.assertEqual(code, 0)
        self.assertEqual(
            status["classes"]["critical"]["answered"], sent["whole"]["check"]
        )
        self.assertEqual(status["revision"], 1)
        self.assertFalse(status["platform_reachable"])
        self.assertIn("in force for", self.run_ctl("status", node.options.control)[1])
        code, out, _ = self.run_ctl("histograms", node.options.control, "--plot")
        self.assertIn("latency critical", out)
        self.assertIn("queue-delay critical", out)
        self.assertIn("#", out)
        _, out, _ = self.run_ctl("histograms", node.options.control, "--kind", "caller")
        self.assertIn("kitchen", out)

    def test_status_reports_an_unreachable_node(self):
        code, _, err = self.run_ctl("status", allocate_address())
        self.assertEqual(code, ExitCode.UNREACHABLE)
        self.assertIn("unreachable", err)

    def test_drain_stops_the_node(self):
        node = self.start_node_with_server()
        code, out, _ = self.run_ctl("drain", node.options.control)
        self.assertEqual(code, 0, out)
        self.assertTrue(node.stopped.wait(5))
        self.assertEqual(node.state.value, "stopped")

    def test_settings_show_prints_those_in_force_on_a_node(self):
        node = self.start_node_with_server()
        code, out, _ = self.run_ctl("settings", "show", "--node", node.options.control)
        self.assertEqual(code, 0)
        self.assertIn("# revision 1", out)

    def test_node_check_reports_invalid_options(self):
        file = self.folder / "node.ini"
        values = dict.fromkeys(
            ("callers", "mesh", "egress", "control", "peers", "server", "platform"),
            "127.0.0.1:1",
        )
        text = SETTINGS.format(name="a", contacts="", grace=1, **values)
        cases = [
            (text, 0, "ok"),
            (text.replace("callers = 127.0.0.1:1", "callers = here:1"), 2, "IP:port"),
            (text.replace("id = a", ""), 2, "id"),
            (text.replace("grace-ms = 1", "grace-ms = soon"), 2, "grace-ms"),
            ("", 2, "section is missing"),
        ]
        for content, code, expected_output in cases:
            file.write_text(content)
            out = io.StringIO()
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
                exit_code = node_command.main([str(file), "--check"])
            self.assertEqual(exit_code, code)
            self.assertIn(expected_output, out.getvalue())

    def test_recorded_trace_can_be_read_for_replay(self):
        file = self.folder / "recorded.jsonl"
        plan = ServerPlan(slots=4, service_time=0.0, answer_size=5)
        server = ServerStandin(allocate_address(), plan)
        server.start()
        self.addCleanup(server.kill)
        with open(file, "wb", buffering=0) as stream:
            write = make_trace_writer(stream, "a")
            node = Node(make_options(server.address), write)
            self.addCleanup(node.abort)
            node.core.policies.put(make_policy())
            node.state = NodeState.READY
            node.start()
            sent = self.send_load(node)
        header, *request_lines = file.read_text().splitlines()
        system_lines = [
            '{"kind":"data-centre","name":"north-1","region":"north"}',
            '{"kind":"service","name":"quota","servers":{"north-1":1},"slots":4}',
            '{"kind":"operation","name":"check","call-class":"critical",'
            '"tree":{"service":"quota","target":"/quota/1"}}',
        ]
        file.write_text("\n".join([header, *system_lines, *request_lines]))
        trace = read_trace(file).value
        self.assertEqual(len(trace.requests), sent["offered"]["check"])
        self.assertEqual(trace.requests[0].outcome, "answered 200")
        self.assertEqual(trace.requests[0].answer_bytes, 5)


class OperationCommandTests(CommandCase):
    def test_key_in_doubt_is_shown_and_resolved(self):
        clock = SystemClock()
        store = make_platform_store(self.platform.address, clock, random.Random(1))
        committer = GroupCommitter(clock, NodeId("a"), store)
        key = make_key(clock.wall(), 5)
        shard = find_shard_key(key, clock.wall()).value
        platform_option = ("--platform", self.platform.address)
        claim = ClaimKey(key, "c", NodeId("a"), "f", clock.wall() + 0.2)
        committer.commit(shard, claim)
        resolve = ("operations", "resolve", key, "--ran", "no", *platform_option)
        self.assertEqual(self.run_ctl(*resolve)[0], ExitCode.DIFFERENT)
        gevent.sleep(0.25)
        _, out, _ = self.run_ctl("operations", "show", key, *platform_option)
        self.assertIn("state claimed, held by a", out)
        self.assertEqual(self.run_ctl(*resolve)[0], ExitCode.DONE)
        _, out, _ = self.run_ctl("operations", "show", key, *platform_option)
        self.assertIn("did not run", out)
        invalid_key = self.run_ctl("operations", "show", "abc", *platform_option)
        self.assertEqual(invalid_key[0], ExitCode.USAGE)


class LogTests(unittest.TestCase):
    def test_log_line_is_json_with_extra_fields(self):
        record = logging.makeLogRecord({"msg": "not-run", "request": "r-1"})
        record.created = 5.0
        line = msgspec.json.decode(JsonFormatter().format(record))
        self.assertEqual((line["message"], line["request"]), ("not-run", "r-1"))
        self.assertNotIn(os.linesep, JsonFormatter().format(record))
