"""Print what each forwarding path adds to a call, all measured in one run."""

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
PORT_STEP: Final = 10
LONG_SECONDS: Final = 30.0
WARM_CALLS: Final = 200
# The machine is shared: the median over blocks keeps one bad moment out.
BLOCKS: Final = 10
READY_SECONDS: Final = 20.0
HTTP_OK: Final = 200
_MICRO: Final = 1_000_000
_MILLI: Final = 1000.0
_NANO_PER_MILLI: Final = 1_000_000

SETTINGS: Final = {
    SubtreePath(""): "[limits]\nretry-allowance = 2\n[class normal]\npriority = 3\n",
    SubtreePath("quota"): "[service quota]\nslots = 130\ndefault-class = normal\n",
    SubtreePath("lots"): "[service lots]\nslots = 130\ndefault-class = normal\n",
}


@dataclass(slots=True)
class Rung:
    """Hold one path: where it is entered, its processes, and its latencies."""

    name: str
    entry: Address
    host: str
    processes: list[int]
    latencies: Any = field(default_factory=make_histogram)
    cpu: float = 0.0
    calls: int = 0
    medians: list[float] = field(default_factory=list)
    tails: list[float] = field(default_factory=list)


def main() -> int:
    """Measure every rung interleaved and print a row each."""
    parser = argparse.ArgumentParser(description="Measure what forwarding adds.")
    parser.add_argument("--calls", type=int, default=4000, help="calls a rung")
    parser.add_argument("--rate", type=float, default=61.0, help="calls/s a rung")
    options = parser.parse_args()
    tune_garbage_collector()
    with _start_all() as rungs:
        send = make_call_sender(ConnectionPool(), SystemClock())
        for rung in rungs:
            _await_ready(send, rung)
        for burst in (1, 10):
            for rung in rungs:
                rung.cpu, rung.calls = 0.0, 0
                rung.medians.clear()
                rung.tails.clear()
            for _ in range(BLOCKS):
                _measure_block(send, rungs, options, burst)
            _print_rows(rungs, options.rate * burst)
    return 0


@contextmanager
def _start_all() -> Iterator[list[Rung]]:
    platform = PlatformStandin(Address(HOST, FIRST_PORT))
    platform.start()
    _write_settings(platform.address)
    names = ("server", "bottle", "wsgi", "parser", "node", "far-node")
    addresses = [
        Address(HOST, FIRST_PORT + PORT_STEP * (index + 1))
        for index in range(len(names))
    ]
    processes = [
        _start(name, address, addresses[0], platform.address)
        for name, address in zip(names, addresses, strict=True)
    ]
    pids = [process.pid for process in processes]
    egress = Address(HOST, addresses[5].port + 2)
    try:
        yield [
            Rung("direct", addresses[0], "quota", []),
            Rung("bottle + urllib3", addresses[1], "quota", [pids[1]]),
            Rung("wsgi + urllib3", addresses[2], "quota", [pids[2]]),
            Rung("parser, no filters", addresses[3], "quota", [pids[3]]),
            Rung("one node", addresses[4], "quota", [pids[4]]),
            Rung("two nodes", egress, "quota", [pids[4], pids[5]]),
        ]
    finally:
        for process in processes:
            process.kill()
            process.wait()
        platform.stop()


def _start(
    name: str, own: Address, server: Address, platform: Address
) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "fuchsiaspool.benchmarks.rungs", name]
    return subprocess.Popen([*command, str(own), str(server), str(platform)])


def _write_settings(address: Address) -> None:
    clock = SystemClock()
    platform = make_platform_store(address, clock, random.Random(1))
    proposal = Proposal({}, SETTINGS, TeamName(""))
    apply_proposal(clock, platform, proposal, make_nonce)


def _await_ready(send: SendCall, rung: Rung) -> None:
    with gevent.Timeout(READY_SECONDS):
        while not _call(send, rung):
            gevent.sleep(0.1)
    for _ in range(WARM_CALLS):
        _call(send, rung)


def _call(send: SendCall, rung: Rung) -> bool:
    clock = SystemClock()
    started = clock.now()
    call = Call(
        RequestId(""),
        CallerId(""),
        ServiceName(rung.host),
        "GET",
        "/quota/7",
        [],
        Body(),
        started,
        started + LONG_SECONDS,
        RetryAllowance(0),
    )
    outcome = send(rung.entry, call, lambda: [(b"host", rung.host.encode())])
    rung.latencies.record_value(max(1, int((clock.now() - started) * _MICRO)))
    rung.calls += 1
    return isinstance(outcome, Answered) and outcome.status == HTTP_OK


def _measure(
    send: SendCall, rungs: list[Rung], calls: int, rate: float, burst: int
) -> None:
    clock = SystemClock()
    chance = random.Random(1)
    block = max(1, burst * 4) if burst > 1 else 1
    for _ in range(max(1, calls // block)):
        started = clock.now()
        # No rung may always be the one that wakes the processors.
        for rung in chance.sample(rungs, len(rungs)):
            before = _read_cpu(rung.processes)
            for _ in range(block):
                due = clock.now() + 1.0 / (rate * burst) if burst > 1 else 0.0
                _call(send, rung)
                if burst > 1:
                    gevent.sleep(max(0.0, due - clock.now()))
            rung.cpu += _read_cpu(rung.processes) - before
        if burst == 1:
            gevent.sleep(max(0.0, started + 1.0 / rate - clock.now()))


def _measure_block(
    send: SendCall, rungs: list[Rung], options: argparse.Namespace, burst: int
) -> None:
    for rung in rungs:
        rung.latencies = make_histogram()
    _measure(send, rungs, options.calls // BLOCKS, options.rate, burst)
    for rung in rungs:
        rung.medians.append(rung.latencies.get_value_at_percentile(50) / _MILLI)
        rung.tails.append(rung.latencies.get_value_at_percentile(99) / _MILLI)


def _read_cpu(processes: list[int]) -> float:
    total = 0.0
    for pid in processes:
        total += int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
    return total / _NANO_PER_MILLI


def _print_rows(rungs: list[Rung], rate: float) -> None:
    direct = rungs[0]
    print(f"at {rate:.0f} calls/s a rung, {direct.calls} calls each in {BLOCKS} blocks")
    print(
        f"direct: p50 {median(direct.medians):.2f} ms, "
        f"p99 {median(direct.tails):.2f} ms"
    )
    for rung in rungs[1:]:
        added50 = median(map(sub, rung.medians, direct.medians))
        tails = sorted(map(sub, rung.tails, direct.tails))
        print(
            f"{rung.name}: added p50 {added50:.2f} ms, "
            f"added p99 {median(tails):.2f} ms "
            f"(blocks {tails[0]:.2f} to {tails[-1]:.2f}), "
            f"cpu {rung.cpu / rung.calls:.2f} ms"
        )


if __name__ == "__main__":
    sys.exit(main())
