"""Build the fleet of the demonstration: servers, nodes and settings."""

import random
from dataclasses import dataclass, field
from typing import Final

import gevent

from .addresses import Address
from .clock import SystemClock
from .ids import DataCentre, NodeId, Region, ServiceName, SubtreePath, TeamName
from .load_generator import RequestShape
from .member_records import NodeLocation
from .node import Node, NodeState
from .operations.commits import make_nonce
from .options import NodeOptions
from .platform.client import make_platform_store
from .results import Err
from .settings.store import Proposal, apply_proposal, load_tree
from .standins.platform import PlatformStandin
from .standins.server import ChildCall, ServerPlan, ServerStandin

SERVICE_CHAIN: Final = ("registry", "lots", "archive", "quota")
DATA_CENTRES: Final = (("north-1", "north"), ("south-1", "south"))
ANSWER_BYTES: Final = 512
SERVER_SLOTS: Final = 16
# The last service of the chain is the bottleneck.
SLOWEST_SERVER_SLOTS: Final = 2
SERVICE_TIME_SECONDS: Final = 0.004
SLOWEST_SERVICE_TIME_SECONDS: Final = 0.08
RETRY_ALLOWANCE: Final = 2
IN_FORCE_TIMEOUT_SECONDS: Final = 7.0
CRITICAL_SHAPE: Final = "quota-check"

REQUEST_SHAPES: Final = (
    RequestShape(CRITICAL_SHAPE, 0.2, "GET", "/quota/7"),
    RequestShape("label-archive", 0.7, "GET", "/labels/7"),
    RequestShape("lot-certification", 0.1, "POST", "/lots/7", protected=True),
)
ROOT_SETTINGS: Final = f"""
[owner]
team = platform
[limits]
retry-allowance = {RETRY_ALLOWANCE}
retry-percent = 20
deadline-ms = 1000
[class critical]
priority = 0
[class normal]
priority = 3
[class bulk]
priority = 5
[class default]
priority = 4
"""
SERVICE_SETTINGS: Final = """
[owner]
team = {name}
[service {name}]
slots = {slots}
default-class = normal
[operation quota-check]
match = GET /quota/*
call-class = critical
idempotent = yes
[operation label-archive]
match = GET /labels/*
call-class = bulk
idempotent = yes
[operation lot-certification]
match = POST /lots/*
call-class = normal
protected = {protected}
"""


@dataclass(slots=True)
class DemoFleet:
    """Represent the servers, nodes and entry addresses of one demonstration."""

    servers: list[ServerStandin] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    entry_addresses: list[Address] = field(default_factory=list)


class PortAllocator:
    """Allocate consecutive ports on the loopback interface."""

    def __init__(self, base_port: int) -> None:
        self._last_port = base_port

    def take(self) -> Address:
        """Return the address with the next port."""
        self._last_port += 1
        return Address("127.0.0.1", self._last_port)


def make_server_plan(service: str, queues_calls: bool) -> ServerPlan:
    """Return the plan of a service's server; with `queues_calls` it never rejects."""
    slowest = service == SERVICE_CHAIN[-1]
    return ServerPlan(
        slots=SLOWEST_SERVER_SLOTS if slowest else SERVER_SLOTS,
        service_time=SLOWEST_SERVICE_TIME_SECONDS if slowest else SERVICE_TIME_SECONDS,
        answer_size=ANSWER_BYTES,
        rejects_when_full=not queues_calls,
    )


def start_fleet(ports: PortAllocator, platform: PlatformStandin) -> DemoFleet:
    """Start a server and a node for every service in every data centre."""
    fleet = DemoFleet()
    contacts = (ports.take(), ports.take())
    for (data_centre, region), contact in zip(DATA_CENTRES, contacts, strict=True):
        for index, service in enumerate(SERVICE_CHAIN):
            server_address = ports.take()
            options = NodeOptions(
                NodeLocation(
                    NodeId(f"{service}-{data_centre}"),
                    ServiceName(service),
                    DataCentre(data_centre),
                    Region(region),
                ),
                callers=ports.take(),
                mesh=ports.take(),
                egress=ports.take(),
                control=ports.take(),
                peers=contact if index == 0 else ports.take(),
                server=server_address,
                platform=platform.address,
                contacts=contacts,
            )
            _start_server_and_node(fleet, service, server_address, options)
    return fleet


def _start_server_and_node(
    fleet: DemoFleet, service: str, server_address: Address, options: NodeOptions
) -> None:
    plan = make_server_plan(service, queues_calls=False)
    next_position = SERVICE_CHAIN.index(service) + 1
    if next_position < len(SERVICE_CHAIN):
        next_service = ServiceName(SERVICE_CHAIN[next_position])
        plan.children = (ChildCall(next_service, "/quota/7", options.egress),)
    server = ServerStandin(server_address, plan)
    server.start()
    node = Node(options)
    node.start()
    fleet.servers.append(server)
    fleet.nodes.append(node)
    if next_position == 1:
        fleet.entry_addresses.append(options.callers)


def make_settings_texts(slots: int = SERVER_SLOTS) -> dict[SubtreePath, str]:
    """Return the settings tree of the fleet, as a text for each subtree."""
    texts = {SubtreePath(""): ROOT_SETTINGS}
    for service in SERVICE_CHAIN:
        server_slots = SLOWEST_SERVER_SLOTS if service == SERVICE_CHAIN[-1] else slots
        protected = "yes" if service == SERVICE_CHAIN[0] else "no"
        texts[SubtreePath(f"agency/{service}")] = SERVICE_SETTINGS.format(
            name=service, slots=server_slots, protected=protected
        )
    return texts


def apply_settings(
    platform: PlatformStandin, texts: dict[SubtreePath, str], team: TeamName
) -> list[str]:
    """Submit settings to the platform; return what failed."""
    clock = SystemClock()
    store = make_platform_store(platform.address, clock, random.Random(1))
    tree = load_tree(store)
    if isinstance(tree, Err):
        return [f"settings could not be read: {tree.error}"]
    proposal = Proposal(tree.value.snapshot.texts, texts, team)
    result = apply_proposal(clock, store, proposal, make_nonce)
    if isinstance(result, Err):
        return [f"settings were not accepted: {result.error}"]
    return []


def await_revision(fleet: DemoFleet, revision: int) -> list[str]:
    """Wait until a revision is in force on every node; return what failed."""
    clock = SystemClock()
    started = clock.now()
    while clock.now() - started < IN_FORCE_TIMEOUT_SECONDS:
        nodes = [n for n in fleet.nodes if n.state is not NodeState.STOPPED]
        if all(node.settings_replica.revision >= revision for node in nodes):
            seconds = clock.now() - started
            print(f"  revision {revision} in force everywhere after {seconds:.2f} s")
            gevent.sleep(0.1)
            return await_ready(fleet)
        gevent.sleep(0.02)
    return [f"revision {revision} not in force after {IN_FORCE_TIMEOUT_SECONDS} s"]


def await_ready(fleet: DemoFleet) -> list[str]:
    """Wait until every node has started; return what failed."""
    with gevent.Timeout(IN_FORCE_TIMEOUT_SECONDS, False):
        while any(node.state is NodeState.STARTING for node in fleet.nodes):
            gevent.sleep(0.02)
        return []
    return ["a node did not get ready in time"]
