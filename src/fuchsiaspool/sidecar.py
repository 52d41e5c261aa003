"""Run one node on the platform, beside its backend server."""

import functools
import logging
import random
from collections.abc import Callable
from enum import Enum
from typing import Final

import gevent
import gevent.event

from .addresses import parse_address
from .calls import Call, compose
from .clock import SystemClock
from .configuration_watch import ConfigurationWatch, WatchDuty
from .controllers.admission import Admission
from .controllers.anti_entropy import (
    SYNC_PERIOD_SECONDS as BRIDGE_SECONDS,
    AntiEntropy,
    is_assigned,
)
from .controllers.availability import make_availability_updater
from .controllers.backend_server import BackendServer, ServerState
from .controllers.contexts import CallContexts
from .controllers.counters import OutcomeCounters
from .controllers.histograms import Histograms
from .controllers.member_table import MemberTable
from .controllers.membership import PING_PERIOD_SECONDS, Membership
from .controllers.placement import Placement
from .controllers.registry import LONG_LEASE_TIMES, Registry
from .controllers.resends import ResendSchedule
from .controllers.retries import RetryBudget
from .controllers.settings import SettingsReplica
from .controllers.threshold import LearnedThresholds
from .controllers.token_bucket import TokenBucket
from .controllers.weighted_round_robin import WeightedRoundRobin
from .filters.access_log import (
    LocalServerView,
    make_access_log_filter,
    make_server_log_filter,
)
from .filters.admission import make_admission_filter
from .filters.deadline import make_deadline_filter
from .filters.placement import make_placement_handler
from .filters.retry_after import make_retry_after_filter
from .filters.route_lookup import make_route_lookup_filter
from .filters.shedding import make_shedding_filter
from .filters.threshold_propagation import (
    learn_downstream_threshold,
    make_threshold_propagation_filter,
)
from .health_probe import make_health_probe
from .http.answer_format import AnswerFormat
from .http.client import ConnectionPool, ExchangeRules, make_call_sender
from .http.server import HttpServer
from .ids import Incarnation, RouteName
from .member_records import Member, MemberState
from .mesh import make_remote
from .metrics import format_metrics
from .node_load import NodeLoad
from .options import PlatformOptions, merge_options
from .outcomes import NotRunReason, Outcome
from .peers.bus import PeerBus
from .peers.transport import PeerTransport
from .peers.wiring import register_member_handlers
from .platform.client import make_platform_store
from .platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_PATH,
    build_routes,
)
from .platform.endpoints import (
    EndpointCallbacks,
    make_heartbeat_server,
    make_metrics_server,
    make_readiness_server,
)
from .platform.interface import PLATFORM_INTERFACE
from .platform_dispatch import make_belongs, make_serving
from .platform_request_handlers import (
    choose_platform_status,
    make_inbound_entrance,
    make_outbound_entrance,
)
from .routes import EMPTY_ROUTE_TABLE, RouteTable

_LOG = logging.getLogger(__name__)
# Nodes of a region that watch the store; the others hear from these. Two, so that one
# may be lost; a third would only add its calls.
WATCHERS: Final = 2
# Between questions to a server whose heartbeat has not come yet.
PROBE_PAUSE_SECONDS: Final = 0.25
# Seconds after a start at which the members are read once more: nodes that start at
# the same moment miss each other in a list that may lag by seconds.
LATER_READS: Final = (0.6, 2.0, 6.0)
# Pauses between tries to announce this node to a store that does not answer.
JOIN_SECONDS: Final = 0.5
LONGEST_JOIN_SECONDS: Final = 4.0
# Members asked for all that they know when a node starts.
JOIN_MEMBERS: Final = 6
# In force until the server tells its slots.
FIRST_SLOTS: Final = 16
# Servers may slow down when their last slots are taken.
ROOM_SHARE: Final = 0.95
QUEUE_TARGET_SECONDS: Final = 0.03
QUEUE_WAIT_SECONDS: Final = 0.5
SERVICE_SECONDS: Final = 0.05
# What an entrance learned of a level rises by this until it hears of it again: slower
# than the level itself, which is what finds out if there is room.
THRESHOLD_RISE_PER_SECOND: Final = 0.3
# Repeats that a node may make at once for a service, and the nodes among which the
# platform's slack is shared out.
RETRY_BURST: Final = 3.0
REPEATING_NODES: Final = 100
FLUSH_SECONDS: Final = 0.5
QUIET_SECONDS: Final = 0.02
# Callers are sent elsewhere after two misses of a question a second.
NOTICE_SECONDS: Final = 2.3
# Requests sent later than this after the signal to stop need not be taken.
CLOSING_SECONDS: Final = 2.8
# What is left of the grace for closing connections and exiting: calls that a server
# still works on in its last sixth are not held against a stop.
EXIT_SHARE: Final = 0.15
# A peer's answer is awaited this much longer than the deadline that it keeps.
PEER_GRACE_SECONDS: Final = 0.1
PEER_IDLE_SECONDS: Final = 60.0
SERVER_GRACE_SECONDS: Final = 0.05
# A node without a server, or that is being started anew, holds its duty.
_MAY_WATCH: Final = (MemberState.ALIVE, MemberState.LEAVING)
_MILLI: Final = 1000


class NodeState(Enum):
    """Say what a node is doing."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Sidecar:
    """Hold the parts of one node on the platform and their life."""

    def __init__(self, options: PlatformOptions) -> None:
        self.options = options
        self.state = NodeState.STARTING
        self.stopped = gevent.event.Event()
        self.clock = SystemClock()
        self.rng = random.Random(f"{options.place.node}{self.clock.wall()}")
        self.route_table: RouteTable = EMPTY_ROUTE_TABLE
        self._active: dict[int, Call] = {}
        self._tasks: list[gevent.Greenlet] = []
        self.histograms = Histograms()
        self.counters = OutcomeCounters()
        self.members = MemberTable()
        self.server = BackendServer(options.place.service, options.server)
        self._build_peers()
        self._build_chains()
        self._build_listeners()

    # What decides about calls, in the order in which a call meets it.

    def _build_chains(self) -> None:
        options, clock = self.options, self.clock
        interface = PLATFORM_INTERFACE
        self.admission = Admission(
            clock,
            FIRST_SLOTS,
            QUEUE_TARGET_SECONDS,
            QUEUE_WAIT_SECONDS,
            learns_limit=False,
        )
        self.link = TokenBucket(clock, options.link_rate, options.link_rate)
        self.placement = Placement(
            clock,
            options.place,
            self.members.list_service,
            self.link,
            self.find_load,
            self.rng,
        )
        self.weighted_round_robin = WeightedRoundRobin(self.rng)
        self.retry_budget = RetryBudget(
            clock,
            RETRY_BURST,
            _share_slack(options),
        )
        self.learned_thresholds = LearnedThresholds(clock, THRESHOLD_RISE_PER_SECOND)
        self.downstream_thresholds = LearnedThresholds(clock, THRESHOLD_RISE_PER_SECOND)
        self.contexts = CallContexts(options.place.node)
        self.pool = ConnectionPool()
        to_server = ExchangeRules(
            make_belongs(interface),
            allow_close_delimited=True,
            grace=SERVER_GRACE_SECONDS,
        )
        to_peer = ExchangeRules(grace=PEER_GRACE_SECONDS)
        view = LocalServerView(
            self.find_load,
            lambda: self.admission.threshold,
            lambda: self.server.current.instance if self.server.current else "",
        )
        self._inbound = compose(
            [
                make_server_log_filter(clock, view),
                make_threshold_propagation_filter(self.downstream_thresholds),
                make_deadline_filter(clock),
                make_admission_filter(clock, self.admission, self._find_refusal),
            ],
            make_serving(
                clock,
                self.server,
                interface,
                self.contexts,
                make_call_sender(self.pool, clock, to_server),
            ),
        )
        self._probe = make_health_probe(
            clock,
            interface,
            options.place.service,
            make_call_sender(
                self.pool, clock, ExchangeRules(allow_close_delimited=True)
            ),
        )
        remote = make_remote(
            clock,
            make_call_sender(self.pool, clock, to_peer),
            interface.filter_request_headers,
            self.placement.update_load,
        )

        def forward(member: Member, call: Call) -> Outcome:
            if member.node == options.place.node:
                return self._inbound(call)
            return remote(member, call)

        self._outbound = compose(
            [
                make_access_log_filter(
                    clock, self.histograms, self.counters, lambda: self.route_table
                ),
                make_route_lookup_filter(
                    lambda: self.route_table, self.weighted_round_robin
                ),
                make_deadline_filter(clock),
                make_retry_after_filter(clock, ResendSchedule(clock, self.rng)),
                make_shedding_filter(
                    self.learned_thresholds, learn_from_local_outcomes=False
                ),
            ],
            make_placement_handler(clock, self.placement, self.retry_budget, forward),
        )

    def _build_listeners(self) -> None:
        options, clock = self.options, self.clock
        own, interface = options.place.service, PLATFORM_INTERFACE
        to_callers = AnswerFormat(
            interface.filter_answer_headers,
            choose_platform_status,
            interface.format_retry_after,
            lambda: self.route_table.limits.idle_timeout,
        )
        self._outbound_server = HttpServer(
            options.outbound,
            make_outbound_entrance(
                clock,
                interface,
                own,
                self._outbound,
                self.contexts,
                functools.partial(
                    learn_downstream_threshold, self.downstream_thresholds
                ),
                self._track,
            ),
            answer_format=to_callers,
        )
        to_peers = AnswerFormat(
            interface.filter_answer_headers,
            choose_platform_status,
            interface.format_retry_after,
            lambda: PEER_IDLE_SECONDS,
        )
        self._inbound_server = HttpServer(
            options.inbound,
            make_inbound_entrance(
                clock, interface, own, self._inbound, self._track, self.find_load
            ),
            answer_format=to_peers,
        )
        source = EndpointCallbacks(
            lambda: self.state is NodeState.READY,
            self.server.handle_report,
            self.server.handle_departure,
            self.format_metrics,
        )
        self._pages = [
            make_readiness_server(options.readiness, source),
            make_heartbeat_server(options.reports, source),
            make_metrics_server(options.metrics, source),
        ]

    # Who else is there, and what is in force.

    def _build_peers(self) -> None:
        options, clock = self.options, self.clock
        place = options.place
        # Whoever asks here asks again by itself, at a pace that the store bears.
        self.platform = make_platform_store(
            options.platform, clock, self.rng, max_attempts=1
        )
        self.bus = PeerBus(
            place,
            options.peers,
            lambda address, data: self.transport.send(address, data),
        )
        self.transport = PeerTransport(options.peers, self.bus.receive)
        own = Member(
            place.node,
            place.service,
            place.data_centre,
            place.region,
            str(options.inbound),
            str(options.peers),
            Incarnation(int(clock.wall() * _MILLI)),
            MemberState.LEAVING,
        )
        self.membership = Membership(clock, own, self.members, self.rng, self.bus.send)
        self.anti_entropy = AntiEntropy(
            lambda: self.membership.local_member, self.members, self.rng, self.bus.send
        )
        self.settings_replica: SettingsReplica[RouteTable] = SettingsReplica(
            clock, build_routes, self._put_table, self.bus.send
        )
        register_member_handlers(
            self.bus, self.membership, self.anti_entropy, self.settings_replica
        )
        self.registry = Registry(
            clock,
            self.platform,
            self.members,
            lambda: self.membership.local_member,
            LONG_LEASE_TIMES,
        )
        self.watch = ConfigurationWatch(
            clock,
            self.platform,
            CONFIGURATION_KEY,
            CONFIGURATION_PATH,
            self.settings_replica,
            WatchDuty(
                self._is_watcher,
                self.members.count_live,
                self.membership.push_gossip_to_region,
            ),
            self.rng,
        )
        self.server.add_listener(
            make_availability_updater(
                self.server,
                self.membership,
                lambda: self.state in (NodeState.LEAVING, NodeState.STOPPED),
            )
        )
        self.server.add_listener(self._take_slots)
        self.members.add_listener(self._note_member)

    def start(self) -> None:
        """Listen, join, take the newest configuration, then serve."""
        for page in self._pages:
            page.start()
        self.transport.start()
        self._outbound_server.start()
        self._inbound_server.start()
        self._spawn(self._join_loop)
        self._spawn(self._find_server)
        self._spawn(self.watch.loop)
        self._spawn(self._repeat, PING_PERIOD_SECONDS, self.membership.tick)
        self._spawn(self._repeat, BRIDGE_SECONDS, self.anti_entropy.tick)
        self._spawn(self._repeat, FLUSH_SECONDS, self.histograms.flush)
        _LOG.info("started", extra={"node": self.options.place.node})

    def stop(self) -> None:
        """Take no new work, let all in flight finish, then stop; block meanwhile."""
        if self.state in (NodeState.LEAVING, NodeState.STOPPED):
            return
        self.state = NodeState.LEAVING
        _LOG.info("leaving", extra={"in_flight": len(self._active)})
        started = self.clock.now()
        last = started + self.options.grace * (1 - EXIT_SHARE)
        self.membership.leave()
        if self.server.state is not ServerState.READY:
            # The server has gone, and its instance with it. Otherwise this node is
            # only started anew: peers know that it leaves, and will find it again.
            gevent.spawn(self.registry.withdraw)
        self._inbound_server.disable_keep_alive()
        self._outbound_server.disable_keep_alive()
        # Callers still come until the platform has noticed, and what the own server
        # is working on may still make calls; whoever comes later is turned away.
        gevent.sleep(min(NOTICE_SECONDS, self.options.grace / 2))
        closing = started + min(CLOSING_SECONDS, self.options.grace / 2)
        while self.admission.in_flight and self.clock.now() < closing:
            gevent.sleep(QUIET_SECONDS)
        self.close_listeners()
        while self._active and self.clock.now() < last:
            gevent.sleep(QUIET_SECONDS)
        for call in self._active.values():
            _LOG.error("call cut off", extra={"request": call.request})
        self.state = NodeState.STOPPED
        gevent.killall(self._tasks, block=False)
        _LOG.info("stopped", extra={"seconds": self.clock.now() - started})
        self.stopped.set()

    def close_listeners(self) -> None:
        """Take no more connections; what has been sent already is still answered."""
        self._inbound_server.stop_accepting()
        self._outbound_server.stop_accepting()

    def abort(self) -> None:
        """Stop at once, whatever is in flight."""
        self.state = NodeState.STOPPED
        gevent.killall(self._tasks, block=False)
        for server in (self._outbound_server, self._inbound_server):
            server.kill()
        for page in self._pages:
            page.stop(timeout=0)
        self.transport.stop()
        self.pool.close()
        self.stopped.set()

    def reload(self, options: PlatformOptions) -> None:
        """Take changed settings; addresses and the place hold until the next start."""
        reload = merge_options(self.options, options)
        self.options = reload.options
        self.retry_budget.configure(_share_slack(self.options))
        self.link.rate = self.link.capacity = self.options.link_rate
        _LOG.info(
            "settings reloaded",
            extra={"taken": reload.taken, "at_next_start": reload.held},
        )

    # What runs beside the calls.

    def _join_loop(self) -> None:
        self._read_members()
        known = self.registry.announced and self.members.count_live() > 1
        self._announce()
        # Where an announcement of an earlier life holds, peers know this node.
        for seconds in () if known else LATER_READS:
            gevent.sleep(seconds * self.rng.uniform(0.7, 1.3))
            self._read_members()
        while True:
            gevent.sleep(LONG_LEASE_TIMES.renewal * self.rng.uniform(0.8, 1.2))
            self.registry.announced = False
            self._announce()
            self._read_members()

    def _announce(self) -> None:
        pause = JOIN_SECONDS
        while not self.registry.announced and not self.registry.announce():
            gevent.sleep(pause * self.rng.uniform(0.7, 1.3))
            pause = min(2 * pause, LONGEST_JOIN_SECONDS)
            if self.members.count_live() <= 1:
                self._read_members()

    def _read_members(self) -> None:
        known = self.members.version
        if not self.registry.read_members(allow_stale=True):
            return
        if self.members.version != known or self.settings_replica.revision == 0:
            self._join_some()

    def _find_server(self) -> None:
        # An earlier process of this node may have left a server that is running.
        last = self.clock.now() + 2 * self.options.heartbeat
        while self.server.state is ServerState.ABSENT and self.clock.now() < last:
            gevent.sleep(PROBE_PAUSE_SECONDS)
            path = self.route_table.health_paths.get(self.options.place.service)
            if path is None or self.server.state is not ServerState.ABSENT:
                continue
            report = self._probe(self.options.server, path)
            if report is not None and self.server.state is ServerState.ABSENT:
                self.server.handle_report(report)

    def _join_some(self) -> None:
        # Every answer holds all members: between regions those are paid by volume.
        place = self.options.place
        others = [m for m in self.members.list_all() if m.node != place.node]
        near = [m for m in others if m.region == place.region]
        others = near or others
        chosen = self.rng.sample(others, min(JOIN_MEMBERS, len(others)))
        self.membership.join(tuple(parse_address(m.peers) for m in chosen))

    def _put_table(self, route_table: RouteTable) -> bool:
        self.route_table = route_table
        names = {r.name for routes in route_table.hosts.values() for r in routes}
        self.weighted_round_robin.retain({RouteName(name) for name in names})
        self.membership.push_gossip()
        if self.state is NodeState.STARTING:
            self.state = NodeState.READY
            _LOG.info("ready", extra={"revision": route_table.revision})
        return True

    def _take_slots(self) -> None:
        current = self.server.current
        if current is not None:
            self.admission.configure(
                max(1, int(current.slots * ROOM_SHARE)),
                QUEUE_TARGET_SECONDS,
                QUEUE_WAIT_SECONDS,
            )

    def _note_member(self, member: Member) -> None:
        if member.state is MemberState.DEAD:
            self.placement.remove_node(member.node)
            self.pool.close_idle(member.mesh_address)
            if member.data_centre == self.options.place.data_centre:
                # It ends by itself, so it is not among the tasks that a stop ends.
                gevent.spawn(self.registry.remove_dead, member.node)
        elif member.state is MemberState.ALIVE:
            self.placement.readmit(member.node)

    def _is_watcher(self) -> bool:
        place = self.options.place
        nodes = [
            member.node
            for member in self.members.list_all()
            if member.region == place.region and member.state in _MAY_WATCH
        ]
        # Whoever hears from no peer has to look itself.
        return self.membership.isolated or is_assigned(
            place.node, nodes, "watch", WATCHERS
        )

    def _repeat(self, seconds: float, action: Callable[[], None]) -> None:
        gevent.sleep(seconds * self.rng.random())
        while True:
            action()
            gevent.sleep(seconds)

    def _spawn(self, action: Callable[..., object], *args: object) -> None:
        self._tasks.append(gevent.spawn(action, *args))

    def _find_refusal(self) -> NotRunReason | None:
        if self.server.state is ServerState.DRAINING:
            return NotRunReason.LEAVING
        return None

    def _track(self, call: Call) -> Callable[[], None]:
        self._active[id(call)] = call
        return lambda: self._untrack(call)

    def _untrack(self, call: Call) -> None:
        self._active.pop(id(call), None)

    # What others see.

    def find_load(self) -> NodeLoad:
        """Describe how loaded the own server is."""
        admission = self.admission
        return NodeLoad(
            float(admission.in_flight + admission.queued),
            admission.limit.value,
            admission.mean_service_seconds or SERVICE_SECONDS,
        )

    def format_metrics(self) -> str:
        """Return counters and latencies as text, one figure a line."""
        return format_metrics(
            self.admission,
            self.settings_replica.revision,
            self.counters,
            self.histograms,
        )


def _share_slack(options: PlatformOptions) -> float:
    """Return the repeats a second that one node may add to its share."""
    # Every node may add its part: half the slack, shared by a large fleet.
    return options.retry_slack / options.retry_window / 2 / REPEATING_NODES
