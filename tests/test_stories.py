import contextlib
import io
import json
import logging
import os
import tempfile
import unittest
from pathlib import Path

import gevent

from fuchsiaspool.commands import ctl
from fuchsiaspool.commands.exits import ExitCode
from fuchsiaspool.logs import MAX_QUEUED_LINES, JsonFormatter, QueueHandler

LINES = (
    {
        "time": 2.0,
        "message": "call ended",
        "node": "edge",
        "request": "r1",
        "trail": ["deep not-run queue-full", "gone unknown reset"],
    },
    {"time": 1.0, "message": "call at server", "node": "deep", "request": "r1"},
    {"time": 1.5, "message": "call ended", "node": "deep", "request": "r1.c2"},
    {"time": 1.2, "message": "call ended", "node": "edge", "request": "r10"},
)


class ExplainTests(unittest.TestCase):
    def explain(self, request, *texts):
        with tempfile.TemporaryDirectory() as folder:
            names = []
            for number, text in enumerate(texts):
                path = Path(folder, f"{number}.log")
                path.write_text(text)
                names.append(str(path))
            out, err = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                code = ctl.main(["explain", request, *names])
        return code, out.getvalue().splitlines(), err.getvalue()

    def test_explain_lists_lines_of_all_nodes_in_time_order(self):
        text = "\n".join(json.dumps(line) for line in LINES)
        code, lines, errors = self.explain("r1", text)
        self.assertEqual(code, ExitCode.DONE)
        self.assertEqual(len(lines), 3)
        self.assertIn("call at server", lines[0])
        self.assertIn("trail", lines[2])
        self.assertIn("gone: was sent the call, but its log is not here", errors)

    def test_unreadable_lines_are_counted_and_skipped(self):
        text = "{half\n" + json.dumps(LINES[1]) + "\n[1]\n"
        code, lines, errors = self.explain("r1", text)
        self.assertEqual((code, len(lines)), (ExitCode.DONE, 1))
        self.assertIn("2 lines are no log lines", errors)

    def test_lines_may_have_a_collector_prefix(self):
        text = "   8.04 deep-1 " + json.dumps(LINES[1])
        self.assertEqual(len(self.explain("r1", text)[1]), 1)

    def test_lines_without_prefix_are_headed_by_the_file_instead_of_their_node(self):
        _, lines, errors = self.explain("r1", json.dumps(LINES[0]))
        self.assertTrue(lines[0].startswith("2.000 edge: "), lines[0])
        _, lines, errors = self.explain("r1", *(json.dumps(line) for line in LINES))
        self.assertNotIn("deep: was sent the call", errors)
        self.assertIn("gone: was sent the call", errors)

    def test_explain_reports_an_unknown_request(self):
        code, lines, errors = self.explain("r9", json.dumps(LINES[0]))
        self.assertEqual((code, lines), (ExitCode.DIFFERENT, []))
        self.assertIn("in none of the logs", errors)


class QueuedLogTests(unittest.TestCase):
    def make_handler(self, write):
        handler = QueueHandler(write)
        handler.setFormatter(JsonFormatter("n-1"))
        return handler

    def log(self, handler, message="line", **fields):
        handler.emit(logging.makeLogRecord({"msg": message, **fields}))

    def test_logging_does_not_block_on_a_full_pipe(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        os.set_blocking(writing, False)
        handler = self.make_handler(lambda data: os.write(writing, data))
        task = gevent.spawn(handler.run)
        self.addCleanup(task.kill)
        with gevent.Timeout(5, AssertionError("blocked")):
            for number in range(3 * MAX_QUEUED_LINES):
                self.log(handler, number=number, filler="x" * 200)
                if number % 500 == 0:
                    gevent.sleep(0)
        self.assertGreater(handler.dropped, 0)

    def test_count_of_dropped_lines_is_logged(self):
        written = []

        def write(data):
            written.append(data)
            return len(data)

        handler = self.make_handler(write)
        for number in range(MAX_QUEUED_LINES + 7):
            self.log(handler, number=number)
        while handler.write_batch() and len(written) < 20:
            continue
        lines = [json.loads(line) for line in b"".join(written).splitlines()]
        self.assertEqual(lines[0]["node"], "n-1")
        dropped = [line["count"] for line in lines if "count" in line]
        self.assertEqual(dropped, [7])

    def test_partially_written_batch_is_completed(self):
        written = []

        def write(data):
            written.append(data[:10])
            return min(10, len(data))

        handler = self.make_handler(write)
        self.log(handler, "one line that is longer than ten bytes")
        for _ in range(40):
            handler.write_batch()
        line = json.loads(b"".join(written).strip())
        self.assertEqual(line["message"], "one line that is longer than ten bytes")
