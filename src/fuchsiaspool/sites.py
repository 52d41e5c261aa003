"""Build the site of the demonstration: servers, nodes, settings."""

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

CHAIN: Final = ("registry", "lots", "archive", "quota")
CENTRES: Final = (("north-1", "north"), ("south-1", "south"))
ANSWER_SIZE: Final = 512
SLOTS: Final = 16
SLOWEST_SLOTS: Final = 2
SERVICE_SECONDS: Final = 0.004
SLOWEST_SECONDS: Final = 0.08
RETRIES: Final = 2
IN_FORCE_SECONDS: Final = 7.0
CRITICAL: Final = "quota-check"

SHAPES: Final = (
    RequestShape(CRITICAL, 0.2, "GET", "/quota/7"),
    RequestShape("label-archive", 0.7, "GET", "/labels/7"),
    RequestShape("lot-certification", 0.1, "POST", "/lots/7", protected=True),
)
ROOT_TEXT: Final = f"""
[owner]
team = platform
[limits]
retry-allowance = {RETRIES}
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
SERVICE_TEXT: Final = """
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
class Site:
    """Hold what runs in one demonstration."""

    servers: list[ServerStandin] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    entries: list[Address] = field(default_factory=list)


class Ports:
    """Hand out ports one by one."""

    def __init__(self, first: int) -> None:
        self._next = first

    def take(self) -> Address:
        """Return the next address on the loopback interface."""
        self._next += 1
        return Address("127.0.0.1", self._next)


def make_plan(name: str, waits: bool) -> ServerPlan:
    """Describe the server of a service; with `waits` it never refuses."""
    slowest = name == CHAIN[-1]
    return ServerPlan(
        slots=SLOWEST_SLOTS if slowest else SLOTS,
        service_time=SLOWEST_SECONDS if slowest else SERVICE_SECONDS,
        answer_size=ANSWER_SIZE,
        rejects_when_full=not waits,
    )


def start_nodes(ports: Ports, platform: PlatformStandin) -> Site:
    """Start a server and a node of every service in every data centre."""
    site = Site()
    contacts = (ports.take(), ports.take())
    for (centre, region), contact in zip(CENTRES, contacts, strict=True):
        for index, name in enumerate(CHAIN):
            server_address = ports.take()
            options = NodeOptions(
                NodeLocation(
                    NodeId(f"{name}-{centre}"),
                    ServiceName(name),
                    DataCentre(centre),
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
            _start_pair(site, name, server_address, options)
    return site


def _start_pair(
    site: Site, name: str, server_address: Address, options: NodeOptions
) -> None:
    plan = make_plan(name, waits=False)
    following = CHAIN.index(name) + 1
    if following < len(CHAIN):
        service = ServiceName(CHAIN[following])
        plan.children = (ChildCall(service, "/quota/7", options.egress),)
    server = ServerStandin(server_address, plan)
    server.start()
    node = Node(options)
    node.start()
    site.servers.append(server)
    site.nodes.append(node)
    if following == 1:
        site.entries.append(options.callers)


def make_texts(slots: int = SLOTS) -> dict[SubtreePath, str]:
    """Make the settings tree of the site."""
    texts = {SubtreePath(""): ROOT_TEXT}
    for name in CHAIN:
        count = SLOWEST_SLOTS if name == CHAIN[-1] else slots
        protected = "yes" if name == CHAIN[0] else "no"
        texts[SubtreePath(f"agency/{name}")] = SERVICE_TEXT.format(
            name=name, slots=count, protected=protected
        )
    return texts


def apply_settings(
    platform: PlatformStandin, texts: dict[SubtreePath, str], team: TeamName
) -> list[str]:
    """Get texts accepted; return what failed."""
    clock = SystemClock()
    client = make_platform_store(platform.address, clock, random.Random(1))
    tree = load_tree(client)
    if isinstance(tree, Err):
        return [f"settings could not be read: {tree.error}"]
    proposal = Proposal(tree.value.snapshot.texts, texts, team)
    accepted = apply_proposal(clock, client, proposal, make_nonce)
    if isinstance(accepted, Err):
        return [f"settings were not accepted: {accepted.error}"]
    return []


def await_revision(site: Site, revision: int) -> list[str]:
    """Wait until a revision is in force on every node; return what failed."""
    clock = SystemClock()
    started = clock.now()
    while clock.now() - started < IN_FORCE_SECONDS:
        nodes = [n for n in site.nodes if n.state is not NodeState.STOPPED]
        if all(node.settings_replica.revision >= revision for node in nodes):
            seconds = clock.now() - started
            print(f"  revision {revision} in force everywhere after {seconds:.2f} s")
            gevent.sleep(0.1)
            return await_ready(site)
        gevent.sleep(0.02)
    return [f"revision {revision} not in force after {IN_FORCE_SECONDS} s"]


def await_ready(site: Site) -> list[str]:
    """Wait until no node is starting; return what failed."""
    with gevent.Timeout(IN_FORCE_SECONDS, False):
        while any(node.state is NodeState.STARTING for node in site.nodes):
            gevent.sleep(0.02)
        return []
    return ["a node did not get ready"]
