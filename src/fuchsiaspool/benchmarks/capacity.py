"""Measure the costs from which docs/CAPACITY.md computes the capacity."""

from gevent import monkey

monkey.patch_all()

import gc
import os
import random
import sys
import time
from dataclasses import dataclass
from typing import Final

import gevent

from ..addresses import Address
from ..clock import SystemClock, VirtualClock
from ..ids import NodeId, Nonce, Revision, SubtreePath
from ..member_records import MemberState
from ..operation_records import ClaimKey, StoreAnswer, StoredAnswer
from ..operations.commits import GroupCommitter, make_nonce
from ..operations.keys import find_shard_key, make_key
from ..peers.transport import PeerTransport
from ..settings.objects import SettingsSnapshot
from ..settings.tree import build_policy
from ..standins.memory_store import make_memory_store
from ..standins.network import StandinNetwork, StandinPeer
from ..standins.platform import ObjectStore
from .linear_fit import fit_line
from .memory import measure_memory

DATA_CENTRES: Final = (
    ("north-1", "north"),
    ("north-2", "north"),
    ("south-1", "south"),
    ("south-2", "south"),
)
FLEET_SIZES: Final = (92, 184, 368, 740)
TREE_SERVICE_COUNTS: Final = (28, 55, 110)
OPERATIONS_PER_SECOND: Final = (26, 260, 2600)
TARGET_NODES: Final = 740
TARGET_SERVICES: Final = 110
STEADY_STATE_SECONDS: Final = 30
SETTINGS_CHANGES_PER_DAY: Final = 1800
NODES_REPLACED_PER_DAY: Final = 95
SECONDS_PER_DAY: Final = 86_400
PLATFORM_WRITE_SECONDS: Final = 0.005
ANSWER_BYTES: Final = 300
MILLISECONDS_PER_SECOND: Final = 1000.0

SERVICE_SETTINGS_TEXT: Final = """[owner]
team = team-{number}
[service s{number}]
slots = 100
default-class = c{number}
[class c{number}]
priority = {priority}
[operation read]
match = GET /read/*
idempotent = yes
[operation write]
match = POST /write/*
deadline-ms = 3000
"""


@dataclass(frozen=True, slots=True)
class FleetCosts:
    """Represent the cost of one node's control traffic in a fleet of a given size."""

    nodes: int
    steady_bytes_per_second: float
    steady_messages_per_second: float
    bridge_bytes_per_second: float
    bytes_per_settings_change: float
    bytes_per_leave: float
    cpu_share: float


def main() -> int:
    """Run every measurement and print the tables."""
    gc.disable()
    _print_fleets()
    _print_trees()
    _print_operations()
    _print_transport()
    print("memory: a whole node, by members known")
    for number, members in enumerate((0, 185, 370, 740)):
        print(f"{members:5} members  {measure_memory(members, number):6.1f} MB")
    return 0


def _print_fleets() -> None:
    print("fleet: one node's control, real controllers and codec, counted bytes")
    print("nodes  steady B/s  messages/s  bridge B/s  B/change  B/leave  cpu %")
    all_costs = []
    for nodes in FLEET_SIZES:
        costs = _measure_fleet(nodes)
        all_costs.append(costs)
        print(
            f"{costs.nodes:5}  {costs.steady_bytes_per_second:10.0f}  "
            f"{costs.steady_messages_per_second:10.2f}  "
            f"{costs.bridge_bytes_per_second:10.0f}  "
            f"{costs.bytes_per_settings_change:8.0f}  {costs.bytes_per_leave:7.0f}  "
            f"{costs.cpu_share * 100:5.3f}",
            flush=True,
        )
        gc.collect()
    fit = fit_line([(f.nodes, f.steady_bytes_per_second) for f in all_costs])
    print(f"steady bytes/s: {fit.base:.0f} + {fit.slope:.3f} a node")
    largest = all_costs[-1]
    change_rate = (
        largest.bytes_per_settings_change * SETTINGS_CHANGES_PER_DAY / SECONDS_PER_DAY
    )
    leave_rate = largest.bytes_per_leave * 2 * NODES_REPLACED_PER_DAY / SECONDS_PER_DAY
    total = largest.steady_bytes_per_second + change_rate + leave_rate
    print(f"at {largest.nodes} nodes: {total:.0f} B/s sent by a node in all")
    print(
        "a bridging node: "
        f"{largest.bridge_bytes_per_second + change_rate + leave_rate:.0f} B/s sent"
    )


def _measure_fleet(nodes: int) -> FleetCosts:
    clock = VirtualClock()
    network = StandinNetwork(clock)
    peers = _make_fleet(network, nodes)
    bytes_before, messages_before = _count_sent(peers)
    started = time.process_time()
    network.run(STEADY_STATE_SECONDS)
    cpu_share = (time.process_time() - started) / STEADY_STATE_SECONDS / nodes
    bytes_after, messages_after = _count_sent(peers)
    rates = sorted(
        (bytes_after[p] - bytes_before[p]) / STEADY_STATE_SECONDS for p in bytes_after
    )
    median_rate = rates[len(rates) // 2]
    change_bytes = _measure_change(network, peers, median_rate)
    leave_bytes = _measure_leave(network, peers, median_rate)
    message_rate = (messages_after - messages_before) / STEADY_STATE_SECONDS / nodes
    return FleetCosts(
        nodes,
        median_rate,
        message_rate,
        rates[-1],
        change_bytes,
        leave_bytes,
        cpu_share,
    )


def _make_fleet(network: StandinNetwork, nodes: int) -> list[StandinPeer]:
    # Every node knows all others at the start: joining is not measured here.
    peers = []
    for data_centre, region in DATA_CENTRES:
        for number in range(nodes // len(DATA_CENTRES)):
            peers.append(network.add(f"{data_centre}-{number}", data_centre, region))
    for peer in peers:
        for other in peers:
            peer.table.merge(other.membership.local_member)
        peer.membership.gossip.clear()
    texts = make_settings_tree(TARGET_SERVICES)
    changed = dict.fromkeys(texts, Revision(1))
    for peer in peers:
        peer.settings_replica.snapshot = SettingsSnapshot(Revision(1), texts, changed)
    network.run(3)
    return peers


def _measure_change(
    network: StandinNetwork, peers: list[StandinPeer], steady_rate: float
) -> float:
    """Return the bytes that a node sends for one change of the settings."""
    texts = make_settings_tree(TARGET_SERVICES)
    path = SubtreePath("team-5")
    texts[path] += "# one more line\n"
    changed = dict.fromkeys(texts, Revision(1))
    changed[path] = Revision(2)
    bytes_before, _ = _count_sent(peers)
    peers[0].settings_replica.adopt(SettingsSnapshot(Revision(2), texts, changed))
    seconds = 7
    network.run(seconds)
    if any(peer.settings_replica.revision < 2 for peer in peers):
        print("  a settings change was not applied on every node within 7 s")
    return _compute_extra_bytes(bytes_before, peers, seconds, steady_rate)


def _measure_leave(
    network: StandinNetwork, peers: list[StandinPeer], steady_rate: float
) -> float:
    """Return the bytes that a node sends when one member leaves."""
    bytes_before, _ = _count_sent(peers)
    leaving = peers[1].membership.local_member.node
    peers[1].membership.leave()
    seconds = 20
    network.run(seconds)
    unaware = [
        p
        for p in peers
        if p.table.find(leaving).state is not MemberState.LEAVING  # type: ignore[union-attr]
    ]
    if unaware:
        print(f"  {len(unaware)} nodes did not receive the state of a leaving node")
    return _compute_extra_bytes(bytes_before, peers, seconds, steady_rate)


def _compute_extra_bytes(
    bytes_before: dict[Address, int],
    peers: list[StandinPeer],
    seconds: int,
    steady_rate: float,
) -> float:
    bytes_after, _ = _count_sent(peers)
    sent_per_node = sum(bytes_after[p] - bytes_before[p] for p in bytes_after) / len(
        peers
    )
    return max(0.0, sent_per_node - steady_rate * seconds)


def _count_sent(peers: list[StandinPeer]) -> tuple[dict[Address, int], int]:
    messages = sum(peer.sent_messages for peer in peers)
    return {peer.address: peer.sent_bytes for peer in peers}, messages


def make_settings_tree(services: int) -> dict[SubtreePath, str]:
    """Make a settings tree with a subtree for each service."""
    texts = {SubtreePath(""): "[limits]\nretry-allowance = 2\n"}
    for number in range(services):
        text = SERVICE_SETTINGS_TEXT.format(number=number, priority=number % 8)
        texts[SubtreePath(f"team-{number}")] = text
    return texts


def _print_trees() -> None:
    print("settings: checking and compiling a whole tree")
    timings = []
    for services in TREE_SERVICE_COUNTS:
        texts = make_settings_tree(services)
        started = time.process_time()
        for _ in range(5):
            build_policy(Revision(1), texts)
        seconds = (time.process_time() - started) / 5
        size = sum(map(len, texts.values()))
        timings.append((float(services), seconds))
        print(
            f"{services:5} services  {size:7} bytes  "
            f"{seconds * MILLISECONDS_PER_SECOND:7.1f} ms"
        )
    fit = fit_line(timings)
    share = (
        (fit.base + fit.slope * TARGET_SERVICES)
        * SETTINGS_CHANGES_PER_DAY
        / SECONDS_PER_DAY
    )
    print(
        f"{fit.slope * MILLISECONDS_PER_SECOND:.2f} ms a service; "
        f"{share * 100:.3f}% of a core a day"
    )


def _print_operations() -> None:
    print("operations: claim and answer, one platform write takes 5 ms")
    print("ops/s  writes/s grouped  added ms p50  p99  largest B  cpu ms/op  per key")
    for rate in OPERATIONS_PER_SECOND:
        _measure_operations(rate)


def _measure_operations(rate: int) -> None:
    clock = VirtualClock()
    object_store = ObjectStore()
    store = make_memory_store(
        clock, object_store, PLATFORM_WRITE_SECONDS, lambda: False
    )
    owners = [
        GroupCommitter(clock, NodeId(f"owner-{n}"), store, make_nonce) for n in range(8)
    ]
    rng = random.Random(1)
    latencies: list[float] = []
    answer = StoredAnswer(200, [], b"x" * ANSWER_BYTES)

    def run_operation(number: int) -> None:
        key = make_key(clock.wall(), rng.getrandbits(74))
        shard = find_shard_key(key, clock.wall()).value  # type: ignore[union-attr]
        owner = owners[int(shard.rpartition("/")[2])]
        claim = Nonce(f"c{number}")
        claim_started = clock.now()
        expires = clock.wall() + 30.0
        owner.commit(shard, ClaimKey(key, claim, NodeId("a"), "f" * 32, expires))
        latencies.append(clock.now() - claim_started)
        clock.sleep(0.2)
        owner.commit(shard, StoreAnswer(key, claim, answer))

    seconds = 20
    started = time.process_time()
    for number in range(rate * seconds):
        clock.advance(rng.expovariate(rate))
        clock.spawn(run_operation, number)
    clock.advance(10.0)
    cpu_seconds = (time.process_time() - started) / (rate * seconds)
    latencies.sort()
    largest_bytes = max(len(stored.value) for stored in object_store.objects.values())
    writes_per_second = sum(owner.writes for owner in owners) / seconds
    print(
        f"{rate:5}  {writes_per_second:16.0f}  "
        f"{latencies[len(latencies) // 2] * MILLISECONDS_PER_SECOND:12.0f}  "
        f"{latencies[int(len(latencies) * 0.99)] * MILLISECONDS_PER_SECOND:3.0f}"
        f"  {largest_bytes:9}  "
        f"{cpu_seconds * MILLISECONDS_PER_SECOND:9.2f}  {2 * rate:7} writes/s at 10 ms",
        flush=True,
    )


def _print_transport() -> None:
    received: list[bytes] = []
    sender = PeerTransport(Address("127.0.0.1", 25_001), received.append)
    receiver = PeerTransport(Address("127.0.0.1", 25_002), received.append)
    sender.start()
    receiver.start()
    data = b"x" * 200
    for _ in range(100):
        sender.send(Address("127.0.0.1", 25_002), data)
        gevent.sleep(0.001)
    clock = SystemClock()
    count, cpu_before = 2000, _read_cpu_seconds()
    for _ in range(count):
        sender.send(Address("127.0.0.1", 25_002), data)
        gevent.sleep(0.0005)
    with gevent.Timeout(5, False):
        while len(received) < count + 100:
            clock.sleep(0.01)
    cpu_seconds = (_read_cpu_seconds() - cpu_before) / count
    print(
        f"transport: {cpu_seconds * MILLISECONDS_PER_SECOND:.3f} ms "
        "of processor a message, both ends"
    )
    sender.stop()
    receiver.stop()


def _read_cpu_seconds() -> float:
    # Includes the threads of the transport library.
    times = os.times()
    return times.user + times.system


if __name__ == "__main__":
    sys.exit(main())
