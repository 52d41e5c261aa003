"""Measure the latency and CPU time that each forwarding path adds to a call."""

from gevent import monkey

monkey.patch_all()

import argparse
import random
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from operator import sub
from pathlib import Path
from statistics import median
from typing import Any, Final

import gevent

from ..addresses import Address
from ..bodies import Body
from ..calls import Call
from ..clock import SystemClock
from ..controllers.histograms import make_histogram
from ..http.client import ConnectionPool, SendCall, make_call_sender
from ..ids import CallerId, RequestId, ServiceName, SubtreePath, TeamName
from ..operations.commits import make_nonce
from ..outcomes import Answered
from ..platform.client import make_platform_store
from ..retry_allowance import RetryAllowance
from ..runtime import tune_garbage_collector
from ..settings.store import Proposal, apply_proposal
from ..standins.platform import PlatformStandin

HOST: Final = "127.0.0.1"
FIRST_PORT: Final = 23_000
PORTS_PER_PROCESS: Final = 10
CALL_TIMEOUT_SECONDS: Final = 30.0
WARM_UP_CALLS: Final = 200
# The median over blocks excludes disturbances by other processes on the machine.
BLOCK_COUNT: Final = 10
READY_TIMEOUT_SECONDS: Final = 20.0
HTTP_OK: Final = 200
_MICROSECONDS_PER_SECOND: Final = 1_000_000
_MICROSECONDS_PER_MILLISECOND: Final = 1000.0
_NANOSECONDS_PER_MILLISECOND: Final = 1_000_000

SETTINGS: Final = {
    SubtreePath(""): "[limits]\nretry-allowance = 2\n[class normal]\npriority = 3\n",
    SubtreePath("quota"): "[service quota]\nslots = 130\ndefault-class = normal\n",
    SubtreePath("lots"): "[service lots]\nslots = 130\ndefault-class = normal\n",
}


@dataclass(slots=True)
class ForwardingPath:
    """Represent one forwarding path with its processes and measured figures.

    `block_medians` and `block_p99s` are latencies in milliseconds.
    """

    name: str
    entry_address: Address
    host: str
    process_ids: list[int]
    latencies_microseconds: Any = field(default_factory=make_histogram)
    cpu_milliseconds: float = 0.0
    call_count: int = 0
    block_medians: list[float] = field(default_factory=list)
    block_p99s: list[float] = field(default_factory=list)


def main() -> int:
    """Measure all paths interleaved and print a row for each."""
    parser = argparse.ArgumentParser(
        description="Measure what forwarding adds to latency and CPU time."
    )
    parser.add_argument("--calls", type=int, default=4000, help="calls on each path")
    parser.add_argument("--rate", type=float, default=61.0, help="calls/s on each path")
    options = parser.parse_args()
    tune_garbage_collector()
    with _start_paths() as paths:
        send = make_call_sender(ConnectionPool(), SystemClock())
        for path in paths:
            _wait_until_ready(send, path)
        for burst in (1, 10):
            for path in paths:
                path.cpu_milliseconds, path.call_count = 0.0, 0
                path.block_medians.clear()
                path.block_p99s.clear()
            for _ in range(BLOCK_COUNT):
                _measure_block(send, paths, options, burst)
            _print_rows(paths, options.rate * burst)
    return 0


@contextmanager
def _start_paths() -> Iterator[list[ForwardingPath]]:
    platform = PlatformStandin(Address(HOST, FIRST_PORT))
    platform.start()
    _write_settings(platform.address)
    names = ("server", "bottle", "wsgi", "parser", "node", "calling-node")
    addresses = [
        Address(HOST, FIRST_PORT + PORTS_PER_PROCESS * (index + 1))
        for index in range(len(names))
    ]
    processes = [
        _start_process(name, address, addresses[0], platform.address)
        for name, address in zip(names, addresses, strict=True)
    ]
    process_ids = [process.pid for process in processes]
    egress = Address(HOST, addresses[5].port + 2)
    try:
        yield [
            ForwardingPath("direct", addresses[0], "quota", []),
            ForwardingPath("bottle + urllib3", addresses[1], "quota", [process_ids[1]]),
            ForwardingPath("wsgi + urllib3", addresses[2], "quota", [process_ids[2]]),
            ForwardingPath(
                "parser, no filters", addresses[3], "quota", [process_ids[3]]
            ),
            ForwardingPath("one node", addresses[4], "quota", [process_ids[4]]),
            ForwardingPath(
                "two nodes", egress, "quota", [process_ids[4], process_ids[5]]
            ),
        ]
    finally:
        for process in processes:
            process.kill()
            process.wait()
        platform.stop()


def _start_process(
    name: str, address: Address, server: Address, platform: Address
) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "fuchsiaspool.benchmarks.forwarding_paths", name]
    return subprocess.Popen([*command, str(address), str(server), str(platform)])


def _write_settings(address: Address) -> None:
    clock = SystemClock()
    store = make_platform_store(address, clock, random.Random(1))
    proposal = Proposal({}, SETTINGS, TeamName(""))
    apply_proposal(clock, store, proposal, make_nonce)


def _wait_until_ready(send: SendCall, path: ForwardingPath) -> None:
    with gevent.Timeout(READY_TIMEOUT_SECONDS):
        while not _send_call(send, path):
            gevent.sleep(0.1)
    for _ in range(WARM_UP_CALLS):
        _send_call(send, path)


def _send_call(send: SendCall, path: ForwardingPath) -> bool:
    clock = SystemClock()
    started = clock.now()
    call = Call(
        RequestId(""),
        CallerId(""),
        ServiceName(path.host),
        "GET",
        "/quota/7",
        [],
        Body(),
        started,
        started + CALL_TIMEOUT_SECONDS,
        RetryAllowance(0),
    )
    outcome = send(path.entry_address, call, lambda: [(b"host", path.host.encode())])
    path.latencies_microseconds.record_value(
        max(1, int((clock.now() - started) * _MICROSECONDS_PER_SECOND))
    )
    path.call_count += 1
    return isinstance(outcome, Answered) and outcome.status == HTTP_OK


def _measure_paths(
    send: SendCall, paths: list[ForwardingPath], calls: int, rate: float, burst: int
) -> None:
    clock = SystemClock()
    rng = random.Random(1)
    block_calls = max(1, burst * 4) if burst > 1 else 1
    for _ in range(max(1, calls // block_calls)):
        started = clock.now()
        # Random order: the first path of a round pays for waking the idle processors.
        for path in rng.sample(paths, len(paths)):
            cpu_before = _read_cpu_milliseconds(path.process_ids)
            for _ in range(block_calls):
                next_call_at = clock.now() + 1.0 / (rate * burst) if burst > 1 else 0.0
                _send_call(send, path)
                if burst > 1:
                    gevent.sleep(max(0.0, next_call_at - clock.now()))
            path.cpu_milliseconds += (
                _read_cpu_milliseconds(path.process_ids) - cpu_before
            )
        if burst == 1:
            gevent.sleep(max(0.0, started + 1.0 / rate - clock.now()))


def _measure_block(
    send: SendCall, paths: list[ForwardingPath], options: argparse.Namespace, burst: int
) -> None:
    for path in paths:
        path.latencies_microseconds = make_histogram()
    _measure_paths(send, paths, options.calls // BLOCK_COUNT, options.rate, burst)
    for path in paths:
        path.block_medians.append(
            path.latencies_microseconds.get_value_at_percentile(50)
            / _MICROSECONDS_PER_MILLISECOND
        )
        path.block_p99s.append(
            path.latencies_microseconds.get_value_at_percentile(99)
            / _MICROSECONDS_PER_MILLISECOND
        )


def _read_cpu_milliseconds(process_ids: list[int]) -> float:
    total_nanoseconds = 0.0
    for pid in process_ids:
        total_nanoseconds += int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
    return total_nanoseconds / _NANOSECONDS_PER_MILLISECOND


def _print_rows(paths: list[ForwardingPath], rate: float) -> None:
    direct = paths[0]
    print(
        f"at {rate:.0f} calls/s a rung, "
        f"{direct.call_count} calls each in {BLOCK_COUNT} blocks"
    )
    print(
        f"direct: p50 {median(direct.block_medians):.2f} ms, "
        f"p99 {median(direct.block_p99s):.2f} ms"
    )
    for path in paths[1:]:
        added_p50 = median(map(sub, path.block_medians, direct.block_medians))
        added_p99s = sorted(map(sub, path.block_p99s, direct.block_p99s))
        print(
            f"{path.name}: added p50 {added_p50:.2f} ms, "
            f"added p99 {median(added_p99s):.2f} ms "
            f"(blocks {added_p99s[0]:.2f} to {added_p99s[-1]:.2f}), "
            f"cpu {path.cpu_milliseconds / path.call_count:.2f} ms"
        )


if __name__ == "__main__":
    sys.exit(main())
