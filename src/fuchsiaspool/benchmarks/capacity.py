"""Measure the slopes that docs/CAPACITY.md works the target out from."""

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
from .fit import fit_line
from .memory import measure_memory

CENTRES: Final = (
    ("north-1", "north"),
    ("north-2", "north"),
    ("south-1", "south"),
    ("south-2", "south"),
)
FLEETS: Final = (92, 184, 368, 740)
TREES: Final = (28, 55, 110)
RATES: Final = (26, 260, 2600)
TARGET_NODES: Final = 740
TARGET_SERVICES: Final = 110
STEADY_SECONDS: Final = 30
CHANGES_A_DAY: Final = 1800
REPLACED_A_DAY: Final = 95
DAY_SECONDS: Final = 86_400
PLATFORM_SECONDS: Final = 0.005
ANSWER_BYTES: Final = 300
KILO: Final = 1000.0

SERVICE_TEXT: Final = """[owner]
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
class FleetFigures:
    """Hold what one node's control costs in a fleet of one size."""

    nodes: int
    steady_bytes: float
    steady_messages: float
    bridge_bytes: float
    change_bytes: float
    leave_bytes: float
    cpu_share: float


def main() -> int:
    """Print every table."""
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
    found = []
    for nodes in FLEETS:
        figures = _measure_fleet(nodes)
        found.append(figures)
        print(
            f"{figures.nodes:5}  {figures.steady_bytes:10.0f}  "
            f"{figures.steady_messages:10.2f}  {figures.bridge_bytes:10.0f}  "
            f"{figures.change_bytes:8.0f}  {figures.leave_bytes:7.0f}  "
            f"{figures.cpu_share * 100:5.3f}",
            flush=True,
        )
        gc.collect()
    line = fit_line([(f.nodes, f.steady_bytes) for f in found])
    print(f"steady bytes/s: {line.base:.0f} + {line.slope:.3f} a node")
    last = found[-1]
    changes = last.change_bytes * CHANGES_A_DAY / DAY_SECONDS
    leaves = last.leave_bytes * 2 * REPLACED_A_DAY / DAY_SECONDS
    total = last.steady_bytes + changes + leaves
    print(f"at {last.nodes} nodes: {total:.0f} B/s sent by a node in all")
    print(f"a bridging node: {last.bridge_bytes + changes + leaves:.0f} B/s sent")


def _measure_fleet(nodes: int) -> FleetFigures:
    clock = VirtualClock()
    network = StandinNetwork(clock)
    peers = _grow(network, nodes)
    before, messages = _count(peers)
    started = time.process_time()
    network.run(STEADY_SECONDS)
    cpu = (time.process_time() - started) / STEADY_SECONDS / nodes
    after, more = _count(peers)
    steady = sorted((after[p] - before[p]) / STEADY_SECONDS for p in after)
    ordinary = steady[len(steady) // 2]
    change = _measure_change(network, peers, ordinary)
    leave = _measure_leave(network, peers, ordinary)
    rate = (more - messages) / STEADY_SECONDS / nodes
    return FleetFigures(nodes, ordinary, rate, steady[-1], change, leave, cpu)


def _grow(network: StandinNetwork, nodes: int) -> list[StandinPeer]:
    # Everyone knows everyone at once: growth is not what is measured here.
    peers = []
    for centre, region in CENTRES:
        for number in range(nodes // len(CENTRES)):
            peers.append(network.add(f"{centre}-{number}", centre, region))
    for peer in peers:
        for other in peers:
            peer.table.merge(other.membership.local_member)
        peer.membership.gossip.clear()
    texts = make_tree(TARGET_SERVICES)
    changed = dict.fromkeys(texts, Revision(1))
    for peer in peers:
        peer.settings_replica.snapshot = SettingsSnapshot(Revision(1), texts, changed)
    network.run(3)
    return peers


def _measure_change(
    network: StandinNetwork, peers: list[StandinPeer], steady: float
) -> float:
    """Return the bytes a node sends for one change of settings."""
    texts = make_tree(TARGET_SERVICES)
    path = SubtreePath("team-5")
    texts[path] += "# one more line\n"
    changed = dict.fromkeys(texts, Revision(1))
    changed[path] = Revision(2)
    before, _ = _count(peers)
    peers[0].settings_replica.adopt(SettingsSnapshot(Revision(2), texts, changed))
    seconds = 7
    network.run(seconds)
    if any(peer.settings_replica.revision < 2 for peer in peers):
        print("  a change was not in force everywhere within 7 s")
    return _find_extra(before, peers, seconds, steady)


def _measure_leave(
    network: StandinNetwork, peers: list[StandinPeer], steady: float
) -> float:
    """Return the bytes a node sends for one member that leaves."""
    before, _ = _count(peers)
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
        print(f"  {len(unaware)} nodes did not hear of a leaving one")
    return _find_extra(before, peers, seconds, steady)


def _find_extra(
    before: dict[Address, int], peers: list[StandinPeer], seconds: int, steady: float
) -> float:
    after, _ = _count(peers)
    sent = sum(after[p] - before[p] for p in after) / len(peers)
    return max(0.0, sent - steady * seconds)


def _count(peers: list[StandinPeer]) -> tuple[dict[Address, int], int]:
    messages = sum(peer.sent_messages for peer in peers)
    return {peer.address: peer.sent_bytes for peer in peers}, messages


def make_tree(services: int) -> dict[SubtreePath, str]:
    """Make a tree with a subtree for each service."""
    texts = {SubtreePath(""): "[limits]\nretry-allowance = 2\n"}
    for number in range(services):
        text = SERVICE_TEXT.format(number=number, priority=number % 8)
        texts[SubtreePath(f"team-{number}")] = text
    return texts


def _print_trees() -> None:
    print("settings: checking and compiling a whole tree")
    found = []
    for services in TREES:
        texts = make_tree(services)
        started = time.process_time()
        for _ in range(5):
            build_policy(Revision(1), texts)
        seconds = (time.process_time() - started) / 5
        size = sum(map(len, texts.values()))
        found.append((float(services), seconds))
        print(f"{services:5} services  {size:7} bytes  {seconds * KILO:7.1f} ms")
    line = fit_line(found)
    share = (line.base + line.slope * TARGET_SERVICES) * CHANGES_A_DAY / DAY_SECONDS
    print(f"{line.slope * KILO:.2f} ms a service; {share * 100:.3f}% of a core a day")


def _print_operations() -> None:
    print("operations: claim and answer, one platform write takes 5 ms")
    print("ops/s  writes/s grouped  added ms p50  p99  largest B  cpu ms/op  per key")
    for rate in RATES:
        _measure_operations(rate)


def _measure_operations(rate: int) -> None:
    clock = VirtualClock()
    store = ObjectStore()
    platform = make_memory_store(clock, store, PLATFORM_SECONDS, lambda: False)
    owners = [
        GroupCommitter(clock, NodeId(f"owner-{n}"), platform, make_nonce)
        for n in range(8)
    ]
    chance = random.Random(1)
    added: list[float] = []
    answer = StoredAnswer(200, [], b"x" * ANSWER_BYTES)

    def operate(number: int) -> None:
        key = make_key(clock.wall(), chance.getrandbits(74))
        shard = find_shard_key(key, clock.wall()).value  # type: ignore[union-attr]
        owner = owners[int(shard.rpartition("/")[2])]
        claim = Nonce(f"c{number}")
        began = clock.now()
        expires = clock.wall() + 30.0
        owner.commit(shard, ClaimKey(key, claim, NodeId("a"), "f" * 32, expires))
        added.append(clock.now() - began)
        clock.sleep(0.2)
        owner.commit(shard, StoreAnswer(key, claim, answer))

    seconds = 20
    started = time.process_time()
    for number in range(rate * seconds):
        clock.advance(chance.expovariate(rate))
        clock.spawn(operate, number)
    clock.advance(10.0)
    cpu = (time.process_time() - started) / (rate * seconds)
    added.sort()
    largest = max(len(stored.value) for stored in store.objects.values())
    writes = sum(owner.writes for owner in owners) / seconds
    print(
        f"{rate:5}  {writes:16.0f}  {added[len(added) // 2] * KILO:12.0f}  "
        f"{added[int(len(added) * 0.99)] * KILO:3.0f}  {largest:9}  "
        f"{cpu * KILO:9.2f}  {2 * rate:7} writes/s at 10 ms",
        flush=True,
    )


def _print_transport() -> None:
    received: list[bytes] = []
    first = PeerTransport(Address("127.0.0.1", 25_001), received.append)
    second = PeerTransport(Address("127.0.0.1", 25_002), received.append)
    first.start()
    second.start()
    data = b"x" * 200
    for _ in range(100):
        first.send(Address("127.0.0.1", 25_002), data)
        gevent.sleep(0.001)
    clock = SystemClock()
    count, before = 2000, _read_cpu()
    for _ in range(count):
        first.send(Address("127.0.0.1", 25_002), data)
        gevent.sleep(0.0005)
    with gevent.Timeout(5, False):
        while len(received) < count + 100:
            clock.sleep(0.01)
    cpu = (_read_cpu() - before) / count
    print(f"transport: {cpu * KILO:.3f} ms of processor a message, both ends")
    first.stop()
    second.stop()


def _read_cpu() -> float:
    # The transport library works in threads of its own.
    times = os.times()
    return times.user + times.system


if __name__ == "__main__":
    sys.exit(main())
