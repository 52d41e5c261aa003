"""A small deployment on loopback addresses: nodes as processes, the rest as stand-ins.

The nodes run with the command of `deploy/system.toml` and with settings filled in from
`deploy/node.ini`. The store is the project's own stand-in, as a process. Servers and
requesters are small stand-ins in the process of the script. Only the standard library
is used here.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
BOUNDS = {"gracePeriodS": 6, "retryWindowS": 10, "retryBudgetSlack": 49}
HEARTBEAT_S = 1.5
NOT_RUN_STATUSES = (408, 421, 429, 503)


class CouldNotRun(Exception):
    """The case could not be set up."""


_ports = random.SystemRandom().sample(range(16_000, 32_000), 2_000)


def free_port():
    """Return a port that is free, below those that outgoing connections get."""
    while True:
        port = _ports.pop()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """Write what was sent, answered and run to `record.txt` of the case."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._start = time.monotonic()

    def __call__(self, *words):
        seconds = time.monotonic() - self._start
        self._file.write(f"{seconds:8.3f} " + " ".join(map(str, words)) + "\n")

    def say(self, *words):
        self("--", *words)
        print(*words, flush=True)

    def close(self):
        self._file.close()


class Head:
    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_body(reader, head):
    """Return a body with a length, in chunks, or up to the close."""
    if "chunked" in head.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    length = head.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    if head.first.startswith("HTTP/"):
        return await reader.read()
    return b""


async def call_http(port, method, path, body=None, headers=None, timeout=2.0):
    """Send one request of the platform, an operator or a server; return the status."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: 127.0.0.1:{port}"]
            lines += ["Content-Type: application/json", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            lines += [f"Content-Length: {len(data)}", "", ""]
            writer.write("\r\n".join(lines).encode() + data)
            head = await read_head(reader)
            return int(head.first.split()[1]), await read_body(reader, head)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Server:
    """An application server: runs requests in slots, reports to the node beside it."""

    idle_close_s = 10.0

    def __init__(self, fleet, service, slots=100, work_s=0.1, seed=1):
        self.fleet, self.record = fleet, fleet.record
        self.service, self.slots, self.work_s = service, slots, work_s
        self.instance = f"i-{random.Random(f'{service}{seed}').getrandbits(32):08x}"
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.rng = random.Random(seed)
        self.seq = 0
        self.running = 0
        self.state = "ready"
        self.node = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20, backlog=512
        )

    async def report(self):
        """Send one status report; return whether it was acknowledged."""
        self.seq += 1
        body = {
            "address": f"127.0.0.1:{self.port}",
            "born": self.born,
            "nodeInfo": {
                "service": self.service,
                "version": "v1",
                "zone": self.node.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "seq": self.seq, "coldRemainingS": 0},
        }
        path = f"/-/instances/{self.instance}"
        try:
            status, _ = await call_http(
                self.node.ports["controlPlane"], "PUT", path, body, timeout=1.0
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return status // 100 == 2

    async def report_forever(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def answer_head(self, attempt, length):
        lines = ["HTTP/1.1 200 OK", f"Fuchsiaspool-Attempt-Id: {attempt}"]
        lines.append(f"Fuchsiaspool-Server-Signature: s.{self.instance}.{attempt}")
        lines.append(f"Fuchsiaspool-Server-Load: {self.running},0,{self.slots}")
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await asyncio.wait_for(read_head(reader), self.idle_close_s)
                body = await read_body(reader, head)
                if not await self._handle(head, body, reader, writer):
                    return
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.LimitOverrunError):
            return
        finally:
            writer.close()

    async def _handle(self, head, body, reader, writer):
        path = head.first.split()[1]
        if path == "/health":
            writer.write(
                f"HTTP/1.1 200 OK\r\nFuchsiaspool-Instance-Id: {self.instance}\r\n"
                f"Fuchsiaspool-Server-Load: {self.running},0,{self.slots}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        attempt = head.get("fuchsiaspool-attempt-id")
        expected = head.get("fuchsiaspool-expected-instance", self.instance)
        if expected != self.instance:
            self.record("server", self.instance, "says 421 to", attempt)
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nFuchsiaspool-Attempt-Id: "
                + f"{attempt}\r\nFuchsiaspool-Instance-Id: {self.instance}\r\n".encode()
                + b"Content-Length: 0\r\n\r\n"
            )
            return True
        if self.running >= self.slots:
            self.record("server", self.instance, "is full, refuses", attempt)
            writer.write(
                f"HTTP/1.1 503 Service Unavailable\r\nFuchsiaspool-Attempt-Id: {attempt}"
                "\r\nFuchsiaspool-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        self.running += 1
        self.fleet.runs.setdefault(attempt, []).append((self.instance, path, body))
        self.record("server", self.instance, "runs", attempt, head.first)
        try:
            return await self.run(attempt, path, head, body, reader, writer)
        finally:
            self.running -= 1

    async def run(self, attempt, path, head, body, reader, writer):
        """Work on a request and answer it; return whether to keep the connection."""
        await asyncio.sleep(self.work_s)
        data = f"done {attempt}".encode()
        writer.write(self.answer_head(attempt, len(data)) + data)
        await writer.drain()
        return True


class Node:
    """One node as a process, with its settings file."""

    def __init__(self, fleet, name, server, zone="osu", region="accra"):
        self.fleet, self.name, self.server = fleet, name, server
        self.zone, self.region = zone, region
        server.node = self
        names = ("outbound", "inbound", "readinessAddress", "controlPlane")
        self.ports = {key: free_port() for key in names}
        self.internal = [free_port(), free_port()]
        self.process = None

    def write_settings(self):
        values = {
            "nodeName": self.name,
            "service": self.server.service,
            "zone": self.zone,
            "region": self.region,
            "applicationAddress": f"127.0.0.1:{self.server.port}",
            "ip": "127.0.0.1",
            "internalPortRange.0": self.internal[0],
            "internalPortRange.1": self.internal[1],
            "platformSettings.address": f"127.0.0.1:{self.fleet.platform_port}",
            "heartbeatIntervalS": HEARTBEAT_S,
        }
        values |= {f"listenAddresses.{k}": f"127.0.0.1:{p}" for k, p in self.ports.items()}
        values |= {f"bounds.{k}": v for k, v in BOUNDS.items()}
        text = (ROOT / "deploy/node.ini").read_text()
        text = re.sub(r"\{\{([^}]+)\}\}", lambda m: str(values[m.group(1)]), text)
        self.path = self.fleet.folder / f"{self.name}.ini"
        self.path.write_text(text)

    def start(self):
        self.write_settings()
        self.log = (self.fleet.folder / f"{self.name}.log").open("ab")
        environ = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environ |= {
            "FUCHSIASPOOL_NODE_FILE": str(self.path),
            "FUCHSIASPOOL_LOG_LEVEL": "INFO",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = subprocess.Popen(
            ["python3", "-m", "fuchsiaspool.commands.sidecar"],
            cwd=ROOT, env=environ, stdout=self.log, stderr=self.log,
        )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def read_rss_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found.group(1)) / 1024 if found else 0.0

    async def is_ready(self, timeout=1.0):
        try:
            port = self.ports["readinessAddress"]
            status, _ = await call_http(port, "GET", "/-/readiness", timeout=timeout)
        except (OSError, asyncio.TimeoutError, EOFError):
            return False
        return status == 200


class Fleet:
    """All of a case: store, nodes, servers; what ran and what was answered."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.platform_port = free_port()
        self.nodes, self.servers, self.tasks = [], [], []
        self.platform = None
        # By attempt id: runs as (server, path, body), and answers as (status, signed).
        self.runs, self.answers = {}, {}

    async def start(self, servers, routes, zones=None):
        if not (ROOT / "target/deps/fuchsiaspool").is_dir():
            raise CouldNotRun("run review/build.sh first")
        environ = dict(os.environ, PYTHONPATH=str(ROOT / "target/deps"))
        self.platform = subprocess.Popen(
            ["python3", "-m", "fuchsiaspool.commands.standin", "platform",
             f"127.0.0.1:{self.platform_port}"],
            cwd=ROOT, env=environ, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        )
        for number, server in enumerate(servers):
            zone, region = (zones or {}).get(number, ("osu", "accra"))
            await server.start()
            node = Node(self, f"side-{number}", server, zone, region)
            self.nodes.append(node)
            self.servers.append(server)
        await self.write_manifest(routes)
        for node in self.nodes:
            node.start()
        for server in self.servers:
            self.tasks.append(asyncio.create_task(server.report_forever()))
        deadline = time.monotonic() + 25
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > deadline:
                raise CouldNotRun("nodes not ready in time")
            await asyncio.sleep(0.2)
        # Members, reports and the manifest spread.
        await asyncio.sleep(6)
        if any(node.process.poll() is not None for node in self.nodes):
            raise CouldNotRun("a node has ended")

    async def write_manifest(self, routes, version=12):
        manifest = {
            "version": f"{version:08x}",
            "virtualHosts": [{"host": "h.example", "paths": routes}],
            "services": [
                {"name": name, "healthPath": "/health", "connectionLimit": 550}
                for name in sorted({server.service for server in self.servers})
            ],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                "headerTimeoutS": 3, "idleTimeoutS": 15,
            },
        }
        body = {"metadata": {"name": "main"}, "specification": manifest}
        for _ in range(100):
            try:
                status, _ = await call_http(
                    self.platform_port, "POST", "/-/objects/config", body
                )
            except (OSError, EOFError):
                await asyncio.sleep(0.1)
                continue
            if status // 100 == 2:
                return
            raise CouldNotRun(f"store answered {status}")
        raise CouldNotRun("store not reachable")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        processes = [node.process for node in self.nodes] + [self.platform]
        for process in processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                pathlib.Path(keep, f"{node.name}.log").write_bytes(
                    (self.folder / f"{node.name}.log").read_bytes()
                )
        self._temporary.cleanup()


def make_route(name, service, kind="idempotent", **fields):
    route = {
        "name": name, "pathPrefix": f"/{name}/", "kind": kind, "timeoutS": 2.0,
        "targetLatencyS": 1.0, "priority": 1, "service": service, "maxAttempts": 2,
    }
    return route | fields


class Requester:
    """A requester beside one node, with one connection that it keeps."""

    def __init__(self, fleet, node, rng):
        self.fleet, self.node, self.rng = fleet, node, rng
        self._streams = None

    def new_attempt(self):
        return f"{self.rng.getrandbits(64):016x}"

    async def attempt(self, method, path, body=b"", deadline_s=6.0, attempt=None):
        """Send one attempt; return its id, and the status or `None` if it got none."""
        attempt = attempt or self.new_attempt()
        record = self.fleet.record
        record("requester sends", attempt, method, path)
        answer = None
        try:
            answer = await asyncio.wait_for(
                self._exchange(method, path, body, deadline_s, attempt), deadline_s
            )
        except (OSError, EOFError, asyncio.TimeoutError, ValueError) as error:
            record("requester has no answer to", attempt, type(error).__name__)
            self.close()
        if answer is None:
            self.fleet.answers[attempt] = (None, False, b"")
            return attempt, None, None
        head, data = answer
        status = int(head.first.split()[1])
        signed = head.get("fuchsiaspool-server-signature") is not None
        self.fleet.answers[attempt] = (status, signed, data)
        record("requester gets", attempt, status, "signed" if signed else "unsigned")
        if "close" in head.get("connection", ""):
            self.close()
        return attempt, status, head

    async def _exchange(self, method, path, body, deadline_s, attempt):
        if self._streams is None:
            port = self.node.ports["outbound"]
            self._streams = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        reader, writer = self._streams
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example"]
        lines.append(f"Fuchsiaspool-Attempt-Id: {attempt}")
        lines.append(f"Fuchsiaspool-Deadline-Ms: {int(deadline_s * 1000)}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await self.write_body(writer, body)
        head = await read_head(reader)
        return head, await read_body(reader, head)

    async def write_body(self, writer, body):
        writer.write(body)
        await writer.drain()

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def run_case(case_file, play):
    """Run a case; `play(fleet)` returns whether the rule was broken."""

    async def run():
        fleet = Fleet(pathlib.Path(case_file).resolve().parent)
        try:
            broken = await asyncio.wait_for(play(fleet), 105)
            fleet.record.say("rule broken" if broken else "rule held")
            return BROKEN if broken else HELD
        except Exception as error:
            fleet.record.say("could not run:", repr(error))
            return COULD_NOT_RUN
        finally:
            await fleet.stop()
            fleet.record.close()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    sys.exit(asyncio.run(run()))
