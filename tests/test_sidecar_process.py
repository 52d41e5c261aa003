"""Test the command of a node on the platform in a separate process."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

import gevent
import urllib3

from fuchsiaspool.addresses import Address
from fuchsiaspool.standins.platform import PlatformStandin

from .support import allocate_address

START_TIMEOUT_SECONDS = 15.0
EXIT_TIMEOUT_SECONDS = 5.0
SETTINGS = """
[node]
id = edge
service = registry
data-centre = north-1
region = north
server = {server}
outbound = {outbound}
inbound = {inbound}
readiness = {readiness}
reports = {reports}
peers = {peers}
metrics = {metrics}
platform = {platform}
grace-seconds = {grace}
"""


class SidecarProcessTests(unittest.TestCase):
    def setUp(self):
        self.platform = PlatformStandin(Address("127.0.0.1", 0))
        self.platform.start()
        self.addCleanup(self.platform.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = pathlib.Path(folder.name) / "node.ini"
        self.log = pathlib.Path(folder.name) / "log"
        names = ("server", "outbound", "inbound", "readiness", "reports", "peers")
        self.addresses = {name: allocate_address() for name in (*names, "metrics")}
        self.write_settings(grace=2.0)
        module = "fuchsiaspool.commands.sidecar"
        with self.log.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, str(self.settings)], stdout=output
            )
        self.addCleanup(self.kill_process)
        self.await_log_line("started")

    def kill_process(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def write_settings(self, **fields):
        text = SETTINGS.format(
            platform=self.platform.address, **self.addresses, **fields
        )
        self.settings.write_text(text)

    def await_log_line(self, message):
        with gevent.Timeout(
            START_TIMEOUT_SECONDS, AssertionError(f"no log line {message!r}")
        ):
            while True:
                for line in self.log.read_text().splitlines():
                    found = json.loads(line)
                    if found["message"] == message:
                        return found
                gevent.sleep(0.02)

    def get_page(self, name, path):
        url = f"http://{self.addresses[name]}{path}"
        return urllib3.request("GET", url, retries=False)

    def test_a_signal_reloads_changed_settings(self):
        self.write_settings(grace=0.4)
        self.process.send_signal(signal.SIGHUP)
        line = self.await_log_line("settings reloaded")
        self.assertEqual((line["taken"], line["at_next_start"]), (["grace"], []))
        self.process.send_signal(signal.SIGTERM)
        self.assertLess(self.await_log_line("stopped")["seconds"], 0.5)

    def test_a_changed_file_is_reloaded_without_a_signal(self):
        self.addresses["metrics"] = allocate_address()
        self.write_settings(grace=3.0)
        line = self.await_log_line("settings reloaded")
        self.assertEqual(line["taken"], ["grace"])
        self.assertEqual(line["at_next_start"], ["metrics"])

    def test_invalid_settings_are_not_reloaded(self):
        self.settings.write_text("[node]\nid = \n")
        self.process.send_signal(signal.SIGHUP)
        self.await_log_line("settings not reloaded")
        self.assertEqual(self.get_page("metrics", "/metrics").status, 200)

    def test_a_stop_ends_the_process_in_time(self):
        self.assertEqual(self.get_page("readiness", "/-/readiness").status, 503)
        self.process.send_signal(signal.SIGTERM)
        self.await_log_line("leaving")
        with gevent.Timeout(
            EXIT_TIMEOUT_SECONDS, AssertionError("process still running")
        ):
            while self.process.poll() is None:
                gevent.sleep(0.02)
        self.assertEqual(self.process.returncode, 0)
