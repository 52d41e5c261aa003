"""Measure the processor time of a call over two nodes."""

from gevent import monkey

monkey.patch_all()

import argparse
import cProfile
import json
import pstats
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any, Final

import gevent
import gevent.event
import gevent.socket
from gevent.fileobject import FileObject
from gevent.server import StreamServer

from fuchsiaspool.addresses import Address
from fuchsiaspool.clock import SystemClock
from fuchsiaspool.controllers.backend_server import ServerReport, ServerState
from fuchsiaspool.ids import DataCentre, InstanceId, NodeId, Region, ServiceName
from fuchsiaspool.member_records import NodeLocation
from fuchsiaspool.options import PlatformOptions
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.platform.configuration import CONFIGURATION_KEY
from fuchsiaspool.platform.wire import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    SIGNATURE_HEADER,
)
from fuchsiaspool.runtime import tune_garbage_collector
from fuchsiaspool.sidecar import NodeState, Sidecar
from fuchsiaspool.standins.platform import PlatformStandin

LOOPBACK: Final = "127.0.0.1"
SERVER_SLOTS: Final = 200
ANSWER_BYTES: Final = 1500
READY_TIMEOUT_SECONDS: Final = 5.0
PORTS_PER_NODE: Final = 8
_SERVICES: Final = ("edge", "deep")
_ROUTE: Final = {
    "name": "read",
    "pathPrefix": "/read/",
    "kind": "idempotent",
    "timeoutS": 5.0,
    "targetLatencyS": 1.0,
    "priority": 1,
    "service": "deep",
    "maxAttempts": 2,
}
_CONFIGURATION: Final = {
    "version": "00000001",
    "virtualHosts": [{"host": "h.example", "paths": [_ROUTE]}],
}


def main(arguments: list[str] | None = None) -> int:
    """Run the benchmark and print its result, or run its child process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=20_000)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--world", type=int, nargs="*", help=argparse.SUPPRESS)
    parsed = parser.parse_args(arguments)
    if parsed.world:
        _run_child(parsed.world, parsed.calls, parsed.callers)
        return 0
    _measure(parsed.calls, parsed.callers, parsed.profile)
    return 0


def _measure(calls: int, callers: int, profile: bool) -> None:
    ports = list(_choose_ports(2 * PORTS_PER_NODE))
    options = ["--calls", str(calls), "--callers", str(callers)]
    child = subprocess.Popen(
        [sys.executable, "-m", __spec__.name, *options, "--world", *map(str, ports)],
        stdout=subprocess.PIPE,
        stdin=subprocess.PIPE,
        text=True,
    )
    assert child.stdout is not None and child.stdin is not None
    child.stdout.readline()
    nodes = [Sidecar(_make_options(ports, index)) for index in range(2)]
    for node in nodes:
        node.start()
    _report_server(nodes[1])
    _await_ready(nodes)
    tune_garbage_collector()
    profiler = cProfile.Profile() if profile else None
    for name in ("warm", "measured"):
        child.stdin.write(name + "\n")
        child.stdin.flush()
        started = time.process_time()
        if profiler is not None and name == "measured":
            profiler.enable()
        result = json.loads(child.stdout.readline())
        if profiler is not None:
            profiler.disable()
        spent = time.process_time() - started
    print(
        f"{spent / calls * 1e6:.0f} us of processor time a call over two nodes; "
        f"{result['whole']} of {calls} whole, {result['seconds']:.1f} s"
    )
    if profiler is not None:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(45)
    child.terminate()
    child.wait()
    for node in nodes:
        node.abort()


def _choose_ports(count: int) -> Iterator[int]:
    sockets = []
    for _ in range(count):
        socket = gevent.socket.socket()
        socket.bind((LOOPBACK, 0))
        sockets.append(socket)
    for socket in sockets:
        yield socket.getsockname()[1]
        socket.close()


def _make_options(ports: list[int], index: int) -> PlatformOptions:
    addresses = [
        Address(LOOPBACK, port)
        for port in ports[index * PORTS_PER_NODE :][:PORTS_PER_NODE]
    ]
    name = _SERVICES[index]
    place = NodeLocation(
        NodeId(name), ServiceName(name), DataCentre("north-1"), Region("north")
    )
    return PlatformOptions(
        place,
        addresses[0],
        outbound=addresses[1],
        inbound=addresses[2],
        readiness=addresses[3],
        reports=addresses[4],
        peers=addresses[5],
        metrics=addresses[6],
        platform=Address(LOOPBACK, ports[PORTS_PER_NODE - 1]),
        contacts=(),
        grace=2.0,
        heartbeat=1.5,
        retry_window=10.0,
        retry_slack=100.0,
        link_rate=1e6,
    )


def _report_server(node: Sidecar) -> None:
    # Reports the server as its first heartbeat would, without an HTTP request.
    node.server.handle_report(
        ServerReport(
            InstanceId("i-1"),
            ServiceName(_SERVICES[1]),
            node.options.server,
            SERVER_SLOTS,
            ServerState.READY,
            sequence=1,
            born=1,
        )
    )


def _await_ready(nodes: list[Sidecar]) -> None:
    with gevent.Timeout(READY_TIMEOUT_SECONDS, TimeoutError("nodes are not ready")):
        while not all(
            node.state is NodeState.READY
            and node.members.list_service(ServiceName(_SERVICES[1]))
            for node in nodes
        ):
            gevent.sleep(0.02)


# The child process, which runs the platform, the server and the callers.


def _run_child(ports: list[int], calls: int, callers: int) -> None:
    store = Address(LOOPBACK, ports[PORTS_PER_NODE - 1])
    PlatformStandin(store).start()
    client = make_platform_store(store, SystemClock(), None)  # type: ignore[arg-type]
    client.put(CONFIGURATION_KEY, json.dumps(_CONFIGURATION).encode(), None)
    StreamServer((LOOPBACK, ports[PORTS_PER_NODE]), _serve_connection).start()
    commands = FileObject(sys.stdin)
    print("up", flush=True)
    for _ in range(2):
        commands.readline()
        started = time.monotonic()
        tasks = [
            gevent.spawn(_send_calls, ports[1], calls // callers)
            for _ in range(callers)
        ]
        gevent.joinall(tasks)
        whole = sum(task.value for task in tasks)
        seconds = time.monotonic() - started
        print(json.dumps({"whole": whole, "seconds": seconds}), flush=True)
    gevent.sleep(READY_TIMEOUT_SECONDS)


def _serve_connection(socket: Any, peer: object) -> None:
    body = b"x" * ANSWER_BYTES
    while True:
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = socket.recv(65536)
            if not chunk:
                return
            data += chunk
        attempt = data.partition(ATTEMPT_ID_HEADER + b": ")[2].partition(b"\r\n")[0]
        head = b"HTTP/1.1 200 OK\r\n%b: %b\r\n%b: s\r\ncontent-length: %d\r\n\r\n"
        socket.sendall(
            head % (ATTEMPT_ID_HEADER, attempt, SIGNATURE_HEADER, ANSWER_BYTES) + body
        )


def _send_calls(port: int, calls: int) -> int:
    socket = gevent.socket.create_connection((LOOPBACK, port))
    whole = 0
    for number in range(calls):
        socket.sendall(
            b"GET /read/x HTTP/1.1\r\nhost: h.example\r\n%b: a%x-%d\r\n%b: 4000\r\n"
            b"user-agent: callers\r\naccept: */*\r\n\r\n"
            % (ATTEMPT_ID_HEADER, id(socket), number, DEADLINE_HEADER)
        )
        data = b""
        while len(data) < ANSWER_BYTES or b"\r\n\r\n" not in data:
            chunk = socket.recv(65536)
            if not chunk:
                return whole
            data += chunk
            _, _, body = data.partition(b"\r\n\r\n")
            if len(body) >= ANSWER_BYTES or not data.startswith(b"HTTP/1.1 200"):
                break
        whole += data.startswith(b"HTTP/1.1 200")
    return whole


if __name__ == "__main__":
    sys.exit(main())
