"""Measure the resident memory of a node by the number of members it knows."""

import subprocess
import sys
import time
from pathlib import Path
from typing import Final

import gevent

from ..addresses import Address
from ..ids import DataCentre, Incarnation, NodeId, Region, Revision, ServiceName
from ..member_records import Member
from ..peers.messages import Envelope, Sync, encode_envelope
from ..peers.transport import PeerTransport

FIRST_PORT: Final = 25_100
PEERS_PORT_OFFSET: Final = 4
SETTLE_SECONDS: Final = 2.0
MEMBERS_PER_MESSAGE: Final = 100
# Milliseconds in a second, kilobytes in a megabyte.
KILO: Final = 1000.0


def measure_memory(members: int, run_number: int) -> float:
    """Return the resident megabytes of a node that knows `members` members.

    Each `run_number` uses its own range of ports.
    """
    node_address = Address("127.0.0.1", FIRST_PORT + 20 * run_number)
    unreachable_address = "127.0.0.1:9"
    command = [sys.executable, "-m", "fuchsiaspool.benchmarks.forwarding_paths", "node"]
    process = subprocess.Popen(
        [*command, str(node_address), unreachable_address, unreachable_address]
    )
    sender = Address("127.0.0.1", node_address.port + 10)
    transport = PeerTransport(sender, lambda data: None)
    try:
        gevent.sleep(SETTLE_SECONDS)
        target = Address(node_address.host, node_address.port + PEERS_PORT_OFFSET)
        member_records = [_make_member(n) for n in range(members)]
        for start in range(0, members, MEMBERS_PER_MESSAGE):
            sync = Sync(member_records[start : start + MEMBERS_PER_MESSAGE])
            transport.send(target, _encode_sync(sync, sender))
            gevent.sleep(0.1)
        gevent.sleep(SETTLE_SECONDS)
        return _read_resident_megabytes(process.pid)
    finally:
        transport.stop()
        process.kill()
        process.wait()


def _make_member(number: int) -> Member:
    # In another data centre, so that the node does not ping it.
    return Member(
        NodeId(f"node-{number}"),
        ServiceName(f"s{number % 110}"),
        DataCentre(f"south-{number % 3}"),
        Region("south"),
        "127.0.0.1:9",
        "127.0.0.1:9",
        Incarnation(int(time.time() * KILO)),
    )


def _encode_sync(sync: Sync, sender: Address) -> bytes:
    data_centre = DataCentre("south-1")
    envelope = Envelope(NodeId("x"), str(sender), data_centre, Revision(0), [], sync)
    return encode_envelope(envelope)


def _read_resident_megabytes(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / KILO
    return 0.0
