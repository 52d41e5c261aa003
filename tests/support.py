"""Provide fakes and builders that the tests share."""

import socket
import struct
from socket import SO_LINGER, SOL_SOCKET

import gevent
from gevent.server import StreamServer

from fuchsiaspool.addresses import Address
from fuchsiaspool.bodies import Body
from fuchsiaspool.calls import Call
from fuchsiaspool.ids import (
    CallerId,
    DataCentre,
    Incarnation,
    NodeId,
    Region,
    RequestId,
    Revision,
    ServiceName,
    SubtreePath,
)
from fuchsiaspool.member_records import Member, MemberState, NodeLocation
from fuchsiaspool.node import Node, NodeState
from fuchsiaspool.options import NodeOptions
from fuchsiaspool.retry_allowance import RetryAllowance
from fuchsiaspool.settings.objects import SettingsSnapshot
from fuchsiaspool.settings.tree import build_policy

QUOTA_SERVICE = ServiceName("quota")
SETTINGS_TEXTS = {
    SubtreePath(""): """
[owner]
team = platform
[limits]
retry-allowance = 2
retry-percent = 20
deadline-ms = 5000
[class critical]
priority = 0
[class bulk]
priority = 5
""",
    SubtreePath("agency/quota"): """
[owner]
team = quota
[service quota]
slots = 4
default-class = bulk
[operation check]
match = GET /quota/*
call-class = critical
idempotent = yes
[operation certify]
match = POST /lots/*
call-class = bulk
protected = yes
""",
}


def make_policy(revision=1, settings_texts=SETTINGS_TEXTS):
    return build_policy(Revision(revision), settings_texts).value


def make_call(
    clock,
    request="r-1",
    service=QUOTA_SERVICE,
    method="GET",
    target="/quota/1",
    seconds=5.0,
    allowance=2,
    **fields,
):
    call = Call(
        RequestId(request),
        CallerId(fields.pop("caller", "kitchen")),
        service,
        method,
        target,
        fields.pop("headers", []),
        fields.pop("body", Body()),
        clock.now(),
        clock.now() + seconds,
        RetryAllowance(allowance),
    )
    for name, value in fields.items():
        setattr(call, name, value)
    return call


def make_location(
    node="a", service=QUOTA_SERVICE, data_centre="north-1", region="north"
):
    return NodeLocation(NodeId(node), service, DataCentre(data_centre), Region(region))


def make_member(
    node, service=QUOTA_SERVICE, data_centre="north-1", region="north", **fields
):
    return Member(
        NodeId(node),
        service,
        DataCentre(data_centre),
        Region(region),
        fields.get("mesh", "127.0.0.1:1"),
        fields.get("peers", "127.0.0.1:2"),
        Incarnation(fields.get("incarnation", 1)),
        fields.get("state", MemberState.ALIVE),
    )


class ScriptedServer:
    """Answer one request on each connection with fixed bytes, then close or reset."""

    def __init__(self, script, reset=False, hold=0.0):
        self.requests = []
        self._script = script
        self._reset = reset
        self._hold = hold
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = Address(*self._server.address)

    def _serve(self, socket, peer):
        data = socket.recv(65536)
        self.requests.append(data)
        gevent.sleep(self._hold)
        if self._script:
            socket.sendall(self._script)
        if self._reset:
            socket.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        socket.close()

    def stop(self):
        self._server.stop(timeout=0)


# Below the range of ports that the kernel uses for outgoing connections.
FIRST_PORT = 10_000
PORTS_PER_RUN = 2_400
MAX_TEST_RUNS = 8


def _claim_ports():
    """Claim a block of ports that no other test run on this instance uses."""
    for block in range(MAX_TEST_RUNS):
        first = FIRST_PORT + block * PORTS_PER_RUN
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        # The bound socket holds the claim until this process exits.
        return claim, iter(range(first, first + PORTS_PER_RUN))
    raise RuntimeError(f"no free block of ports: {MAX_TEST_RUNS} test runs at once")


_claim, _ports = _claim_ports()


def allocate_address():
    """Return an address that nothing else in this test run listens on."""
    return Address("127.0.0.1", next(_ports))


def allocate_ports(count):
    """Reserve consecutive ports for the caller to assign; return the first."""
    first = next(_ports)
    for _ in range(count - 1):
        next(_ports)
    return first


def make_options(
    server, node="a", service=QUOTA_SERVICE, data_centre="north-1", **fields
):
    return NodeOptions(
        make_location(node, service, data_centre, fields.pop("region", "north")),
        callers=allocate_address(),
        mesh=allocate_address(),
        egress=allocate_address(),
        control=allocate_address(),
        peers=allocate_address(),
        server=server,
        platform=fields.pop("platform", None),
        contacts=fields.pop("contacts", ()),
        **fields,
    )


def start_node(test, options, settings_texts=SETTINGS_TEXTS):
    """Start a node with settings in force; abort it after the test."""
    node = Node(options)
    test.addCleanup(node.abort)
    paths = {path: Revision(1) for path in settings_texts}
    node.settings_replica.adopt(
        SettingsSnapshot(Revision(1), dict(settings_texts), paths)
    )
    node.state = NodeState.READY
    node.start()
    return node
