"""Soak node processes under overlapping faults, and check what servers state is kept.

    python -m tests.soak --seeds 1..50 --seconds 12 --nodes 8

Real nodes run as processes beside servers that name limits, leave and start again,
while the nodes are stopped, killed, paused and reloaded and the store fails. Times and
arrivals are recorded at the callers and servers only.
"""

import argparse
import contextlib
import functools
import http.client
import itertools
import json
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from dataclasses import dataclass, field

import gevent
import urllib3
from gevent.pool import Group
from gevent.server import StreamServer

from fuchsiaspool.addresses import Address
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.ids import Version
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.platform.configuration import CONFIGURATION_KEY
from fuchsiaspool.standins.platform import PlatformStandin

from .sidecar_case import make_route
from .support import allocate_address
from .test_sidecar_process import SETTINGS

# The platform counts in windows of 4 s, from 4 s after a limit is named and 2.5 s after
# a server is known to leave; these times are stricter.
LIMIT_WINDOW_SECONDS = 2.0
LIMIT_GRACE_SECONDS = 1.0
DRAIN_SECONDS = 0.6
TOLD_SECONDS = 0.5
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
HEARTBEAT_SECONDS = 0.4
START_SECONDS = 4.0
START_SECONDS_PER_NODE = 0.25
CLIENTS_PER_NODE = 3
MAX_CLIENT_PAUSE_SECONDS = 0.12
FAULT_PAUSES_SECONDS = (0.05, 0.5)
ADDRESS_NAMES = (
    "server",
    "outbound",
    "inbound",
    "readiness",
    "reports",
    "peers",
    "metrics",
)
SERVICES = ("front", "deep", "deep")


@functools.cache
def allocate_addresses(number):
    """Return the addresses of a machine, the same for each seed."""
    return {name: allocate_address() for name in ADDRESS_NAMES}


@dataclass
class ServerStart:
    """Record one start of a server; times in seconds since the soak began."""

    name: str
    instance: str
    born: int
    # Limits as (named at, requests a second or None).
    limits: list = field(default_factory=list)
    # Arrivals as (time, attempt id).
    arrivals: list = field(default_factory=list)
    leaving: bool = False
    ended: bool = False


class Machine:
    """Run a server in this process and the node beside it as a process of its own."""

    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.service = SERVICES[number % len(SERVICES)]
        self.addresses = allocate_addresses(number)
        self.settings = soak.folder / f"{number}.ini"
        self.log = soak.folder / f"{number}.log"
        self.http = urllib3.PoolManager(retries=False, timeout=1.0)
        self.sequence = itertools.count(1)
        self.node_process = None
        self.is_busy = False
        address = self.addresses["server"]
        self.listener = StreamServer((address.host, address.port), self.serve)
        self.listener.start()
        self.start_server(f"i-{number}-0")

    def start_server(self, instance):
        born = int(time.time() * 1000)
        name = f"{self.number}/{len(self.soak.starts)}"
        self.current = ServerStart(name, instance, born)
        self.soak.starts[name] = self.current

    def start_node(self):
        text = SETTINGS.format(
            platform=self.soak.platform.address, grace=2.0, **self.addresses
        )
        text = text.replace("id = edge", f"id = n{self.number}")
        text = text.replace("service = registry", f"service = {self.service}")
        self.settings.write_text(text + "heartbeat-seconds = 1\n")
        module = "fuchsiaspool.commands.sidecar"
        with self.log.open("ab") as output:
            self.node_process = subprocess.Popen(
                [sys.executable, "-m", module, str(self.settings)],
                stdout=output,
                stderr=output,
            )

    def beat(self):
        while True:
            gevent.sleep(HEARTBEAT_SECONDS)
            start = self.current
            if start.ended:
                continue
            body = {
                "address": str(self.addresses["server"]),
                "born": start.born,
                "nodeInfo": {"service": self.service, "slots": 50},
                # As some servers do, it never says that it is draining.
                "status": {"state": "ready", "seq": next(self.sequence)},
            }
            self.report("PUT", start, json.dumps(body))

    def report(self, method, start, body):
        url = f"http://{self.addresses['reports']}/-/instances/{start.instance}"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self.http.request(method, url, body=body)

    def serve(self, socket, peer):
        file = socket.makefile("rb")
        with contextlib.suppress(OSError):
            while True:
                line = file.readline()
                if not line:
                    return
                headers = {}
                while (header := file.readline()) not in (b"\r\n", b""):
                    key, _, value = header.decode().partition(":")
                    headers[key.strip().lower()] = value.strip()
                file.read(int(headers.get("content-length", 0)))
                socket.sendall(self.answer(line.decode(), headers))

    def answer(self, line, headers):
        start, attempt = self.current, headers.get("fuchsiaspool-attempt-id", "")
        head = [f"Fuchsiaspool-Attempt-Id: {attempt}"]
        expected = headers.get("fuchsiaspool-expected-instance")
        if start.ended or expected not in (None, start.instance):
            head += ["Fuchsiaspool-Not-Executed: 1", "Content-Length: 0"]
            return self.encode(421, head, "")
        start.arrivals.append((self.soak.now(), attempt))
        gevent.sleep(self.soak.rng.uniform(0.002, 0.06))
        if "/front/" in line:
            self.call_deep(attempt)
        limit = start.limits[-1][1] if start.limits else None
        if limit is not None:
            head.append(f"Server-Limit: {limit:g}")
        if start.leaving:
            head.append("Server-Leaving: 1")
        head.append(f"Fuchsiaspool-Server-Signature: {start.name}")
        head.append(f"Content-Length: {len(attempt)}")
        return self.encode(200, head, attempt)

    def encode(self, status, head, body):
        return "\r\n".join([f"HTTP/1.1 {status} X", *head, "", body]).encode()

    def call_deep(self, attempt):
        connection = self.soak.connect(self)
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.soak.send(connection, self, f"{attempt}.", "/deep/", 400)
        connection.close()

    def kill(self):
        if self.node_process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.node_process.send_signal(signal.SIGCONT)
                self.node_process.kill()
            self.node_process.wait()


class Soak:
    """Run one seed and collect the promises that were broken."""

    def __init__(self, seed, nodes, folder):
        self.rng = random.Random(seed)
        self.folder = folder
        self.starts = {}
        self.began = time.monotonic()
        self.numbers = itertools.count(1)
        self.sent_at = {}
        self.refused = set()
        # By node and server start: when an answer with that statement was passed on.
        self.told_limit, self.told_leaving = {}, {}
        self.answers = defaultdict(int)
        self.broken = []
        self.tasks = Group()
        self.platform = PlatformStandin(Address("127.0.0.1", 0))
        self.platform.start()
        store = make_platform_store(self.platform.address, SystemClock(), self.rng)
        store.put(CONFIGURATION_KEY, self.make_configuration(1), None)
        self.store = store
        self.machines = [Machine(self, number) for number in range(nodes)]

    def now(self):
        return time.monotonic() - self.began

    def make_configuration(self, version):
        routes = [make_route(name, service=name) for name in ("front", "deep")]
        routes.append(make_route("once", service="deep", kind="non_idempotent"))
        routes.append(make_route(f"new{version}", service="deep"))
        hosts = [{"host": "h.example", "paths": routes}]
        text = {"version": f"{version:08x}", "virtualHosts": hosts}
        return json.dumps(text).encode()

    def connect(self, machine):
        address = machine.addresses["outbound"]
        return http.client.HTTPConnection(address.host, address.port, timeout=3.0)

    def send(self, connection, machine, prefix, path, deadline_ms):
        """Send a request that begins at a machine; record what its answer states."""
        attempt = f"{prefix}{next(self.numbers)}n{machine.number}"
        headers = {
            "Host": "h.example",
            "Fuchsiaspool-Attempt-Id": attempt,
            "Fuchsiaspool-Deadline-Ms": str(deadline_ms),
        }
        self.sent_at[attempt] = self.now()
        connection.request("GET", f"{path}{attempt}", headers=headers)
        answer = connection.getresponse()
        body = answer.read().decode()
        self.answers[answer.status] += 1
        if answer.status in (429, 503):
            self.refused.add(attempt)
        if answer.status != 200:
            return
        start = answer.headers.get("Fuchsiaspool-Server-Signature")
        if body != attempt or start is None:
            self.broken.append(f"{attempt} got the answer {body!r} of {start}")
        key = (machine.number, start)
        if answer.headers.get("Server-Limit"):
            self.told_limit.setdefault(key, self.now())
        if answer.headers.get("Server-Leaving"):
            self.told_leaving.setdefault(key, self.now())

    def run_client(self, machine):
        connection = self.connect(machine)
        while True:
            gevent.sleep(self.rng.uniform(0.0, MAX_CLIENT_PAUSE_SECONDS))
            path = self.rng.choice(("/front/", "/deep/", "/deep/", "/once/"))
            try:
                self.send(connection, machine, "", path, 900)
            except (OSError, http.client.HTTPException):
                self.answers["connection"] += 1
                connection.close()
                connection = self.connect(machine)

    def excuse(self, machine):
        """Forget what a node has passed on, as it restarts or was paused."""
        for told in (self.told_limit, self.told_leaving):
            for key in [key for key in told if key[0] == machine.number]:
                del told[key]

    # Faults; each runs in a task of its own, so that they overlap.

    def restart_node(self, machine, how):
        machine.is_busy = True
        machine.node_process.send_signal(how)
        with contextlib.suppress(gevent.Timeout), gevent.Timeout(3.0):
            while machine.node_process.poll() is None:
                gevent.sleep(0.02)
        machine.kill()
        self.excuse(machine)
        gevent.sleep(self.rng.uniform(0.0, 0.4))
        machine.start_node()
        machine.is_busy = False

    def pause_node(self, machine):
        machine.is_busy = True
        machine.node_process.send_signal(signal.SIGSTOP)
        gevent.sleep(self.rng.uniform(0.2, 2.0))
        machine.node_process.send_signal(signal.SIGCONT)
        self.excuse(machine)
        machine.is_busy = False

    def name_limit(self, machine):
        start = machine.current
        start.limits.append((self.now(), self.rng.choice((0.0, 1.0, 3.5, 8.0, 20.0))))
        gevent.sleep(self.rng.uniform(2.5, 7.0))
        start.limits.append((self.now(), None))

    def replace_server(self, machine):
        start = machine.current
        start.leaving = True
        gevent.sleep(self.rng.uniform(1.5, 4.0))
        if machine.current is not start:
            return
        start.ended = True
        machine.report("DELETE", start, json.dumps({"born": start.born}))
        gevent.sleep(self.rng.uniform(0.2, 1.0))
        same = self.rng.random() < 0.5
        machine.start_server(start.instance if same else f"{start.instance}x")

    def fail_store(self):
        faults = self.platform.faults
        faults.down = self.rng.random() < 0.5
        faults.cut_watches = self.rng.random() < 0.5
        gevent.sleep(self.rng.uniform(0.3, 2.5))
        faults.down = faults.cut_watches = False

    def change_configuration(self):
        stored = self.store.get(CONFIGURATION_KEY)
        with contextlib.suppress(AttributeError):
            version = stored.value.version
            text = self.make_configuration(2 + int(self.now() * 10))
            self.store.put(CONFIGURATION_KEY, text, Version(version))

    def inject_faults(self, until):
        while self.now() < until:
            gevent.sleep(self.rng.uniform(*FAULT_PAUSES_SECONDS))
            machine = self.rng.choice(self.machines)
            kind = self.rng.randrange(9)
            if kind < 3 and not machine.is_busy:
                how = (signal.SIGTERM, signal.SIGKILL, signal.SIGTERM)[kind]
                self.tasks.spawn(self.restart_node, machine, how)
            elif kind == 3 and not machine.is_busy:
                self.tasks.spawn(self.pause_node, machine)
            elif kind == 4 and not machine.is_busy:
                machine.node_process.send_signal(signal.SIGHUP)
            elif kind in (5, 6):
                self.tasks.spawn(self.name_limit, machine)
            elif kind == 7 and not machine.current.leaving:
                self.tasks.spawn(self.replace_server, machine)
            elif kind == 8:
                self.tasks.spawn(
                    self.rng.choice((self.fail_store, self.change_configuration))
                )

    def run(self, seconds):
        """Run the faults for some seconds; return the broken promises."""
        try:
            for machine in self.machines:
                machine.start_node()
                self.tasks.spawn(machine.beat)
            gevent.sleep(START_SECONDS + START_SECONDS_PER_NODE * len(self.machines))
            for machine in self.machines * CLIENTS_PER_NODE:
                self.tasks.spawn(self.run_client, machine)
            self.inject_faults(self.now() + seconds)
            gevent.sleep(1.0)
        finally:
            self.tasks.kill()
            for machine in self.machines:
                machine.kill()
                machine.listener.stop(timeout=0)
            self.platform.stop()
        self.check_arrivals()
        return self.broken

    # Checks of what callers and servers saw. What a node has passed on is known for the
    # last life of the node only, so that an excused one is not judged.

    def check_arrivals(self):
        runs = defaultdict(int)
        for start in self.starts.values():
            for when, attempt in start.arrivals:
                runs[attempt] += 1
                if attempt in self.refused:
                    self.broken.append(f"{attempt} was refused and ran at {start.name}")
                node = int(attempt.rpartition("n")[2])
                told = self.told_leaving.get((node, start.name))
                if told is not None and self.sent_at[attempt] > told + DRAIN_SECONDS:
                    self.broken.append(
                        f"{attempt} at {when:.2f} s reached {start.name},"
                        f" known to n{node} to leave since {told:.2f} s"
                    )
            self.check_limits(start)

    def check_limits(self, start):
        ends = [at for at, _ in start.limits[1:]] + [float("inf")]
        for (named_at, limit), end in zip(start.limits, ends, strict=False):
            if limit is None:
                continue
            counted = [
                when
                for when, attempt in start.arrivals
                if named_at + LIMIT_GRACE_SECONDS <= when < end
                and self.was_told(start, attempt, when)
            ]
            allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
            for first in counted:
                most = sum(first <= t < first + LIMIT_WINDOW_SECONDS for t in counted)
                if most > allowed:
                    self.broken.append(
                        f"{start.name} got {most} requests from {first:.2f} s, allowed"
                        f" {allowed:g}, limit {limit:g} since {named_at:.2f} s"
                    )
                    break

    def was_told(self, start, attempt, when):
        told = self.told_limit.get((int(attempt.rpartition("n")[2]), start.name))
        return told is not None and told + TOLD_SECONDS <= when


def run_seed(seed, seconds, nodes):
    """Run one seed; return the broken promises and a summary of the answers."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, nodes, pathlib.Path(folder))
        broken = soak.run(seconds)
        arrivals = sum(len(start.arrivals) for start in soak.starts.values())
        return broken, f"{arrivals} arrivals, answers {dict(soak.answers)}"


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seeds", default="1..3", help="first and last, as 1..50")
    parser.add_argument("--seconds", type=float, default=12.0, help="of faults a seed")
    parser.add_argument("--nodes", type=int, default=8, help="processes")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("..")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        broken, summary = run_seed(seed, options.seconds, options.nodes)
        failed += bool(broken)
        print(f"seed {seed}: {len(broken)} broken, {summary}", flush=True)
        for line in broken[:5]:
            print(f"    {line}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
