import os
import random
import signal
import subprocess
import sys
import tempfile
import unittest

import gevent
import msgspec

from fuchsiaspool.addresses import Address
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.http.messages import MessageReader
from fuchsiaspool.ids import SubtreePath
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.settings.store import Proposal, apply_proposal
from fuchsiaspool.standins.platform import PlatformStandin
from fuchsiaspool.standins.server import ServerPlan, ServerStandin

from .support import SETTINGS_TEXTS, allocate_address
from .test_edges import encode_get, exchange

SETTINGS = """
[node]
id = {name}
service = quota
data-centre = north-1
region = north
callers = {callers}
mesh = {mesh}
egress = {egress}
control = {control}
peers = {peers}
server = {server}
platform = {platform}
contacts = {contacts}
grace-ms = {grace}
"""


class NodeProcess:
    """Run a node as a process of its own."""

    def __init__(self, test, name, platform, server, contacts="", grace=10_000):
        self.callers, self.control, self.peers = (allocate_address() for _ in range(3))
        text = SETTINGS.format(
            name=name,
            callers=self.callers,
            mesh=allocate_address(),
            egress=allocate_address(),
            control=self.control,
            peers=self.peers,
            server=server.address,
            platform=platform.address,
            contacts=contacts,
            grace=grace,
        )
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        path = os.path.join(folder.name, "node.ini")
        with open(path, "w") as file:
            file.write(text)
        self.log = os.path.join(folder.name, "log")
        with open(self.log, "w") as log:
            command = [sys.executable, "-m", "fuchsiaspool.commands.node", path]
            self.process = subprocess.Popen(command, stderr=log)
        test.addCleanup(self.process.wait)
        test.addCleanup(self.process.kill)

    def await_ready(self):
        with gevent.Timeout(30):
            while True:
                try:
                    answer = exchange(
                        self.callers, encode_get("/x", "connection: close")
                    )
                    if answer.startswith(b"HTTP/1.1 200"):
                        return
                except OSError:
                    pass
                gevent.sleep(0.1)

    def read_log(self):
        with open(self.log) as file:
            return [msgspec.json.decode(line) for line in file]


class StopTests(unittest.TestCase):
    def start(self, service_time, **fields):
        platform = PlatformStandin(Address("127.0.0.1", 0))
        platform.start()
        self.addCleanup(platform.stop)
        clock = SystemClock()
        client = make_platform_store(platform.address, clock, random.Random(1))
        quota = SubtreePath("agency/quota")
        texts = {
            **SETTINGS_TEXTS,
            quota: SETTINGS_TEXTS[quota].replace("slots = 4", "slots = 100"),
        }
        proposal = Proposal({}, texts, "platform")
        apply_proposal(clock, client, proposal, lambda: "n1")
        plan = ServerPlan(slots=100, service_time=service_time, answer_size=5)
        self.server = ServerStandin(allocate_address(), plan)
        self.server.start()
        self.addCleanup(self.server.kill)
        process = NodeProcess(self, "a", platform, self.server, **fields)
        process.await_ready()
        return process

    def test_a_planned_stop_under_load_cuts_off_no_request(self):
        process = self.start(0.3)
        ended = []

        def ask():
            address = process.callers
            try:
                socket = gevent.socket.create_connection((address.host, address.port))
            except OSError:
                return
            socket.sendall(encode_get("/quota/1", "connection: close"))
            head = MessageReader(socket, for_requests=False).read_head()
            ended.append(head.status)

        tasks = []
        for number in range(60):
            tasks.append(gevent.spawn(ask))
            if number == 30:
                process.process.send_signal(signal.SIGTERM)
            gevent.sleep(0.02)
        gevent.joinall(tasks, raise_error=True)
        with gevent.Timeout(20):
            while process.process.poll() is None:
                gevent.sleep(0.05)
        self.assertEqual(process.process.returncode, 0)
        # Every call admitted before the stop was answered; later ones told so.
        self.assertGreaterEqual(ended.count(200), 30)
        self.assertEqual(set(ended) - {200, 503}, set())
        self.assertEqual(self.server.record.started, ended.count(200) + 1)
        cut = [
            line for line in process.read_log() if line["message"].startswith("call")
        ]
        self.assertEqual(cut, [])

    def test_a_second_signal_logs_what_it_cuts_off(self):
        process = self.start(3.0)
        address = process.callers
        socket = gevent.socket.create_connection((address.host, address.port))
        socket.sendall(encode_get("/quota/1", "x-request-id: long-one"))
        gevent.sleep(0.2)
        process.process.send_signal(signal.SIGTERM)
        gevent.sleep(0.2)
        process.process.send_signal(signal.SIGTERM)
        with gevent.Timeout(10):
            while process.process.poll() is None:
                gevent.sleep(0.05)
        cut = [line for line in process.read_log() if line["message"] == "call cut off"]
        self.assertEqual([line["request"] for line in cut], ["long-one"])
