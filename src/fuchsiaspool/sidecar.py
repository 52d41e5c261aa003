"""Run one node on the platform, beside its backend server."""

import functools
import logging
import random
from collections.abc import Callable
from enum import Enum
from typing import Final

import gevent
import gevent.event
import msgspec

from .addresses import parse_address
from .bodies import Headers
from .calls import Call, compose
from .clock import SystemClock
from .configuration_watch import ConfigurationWatch, FleetView
from .control import QuarantineStatus
from .controllers.admission import Admission
from .controllers.anti_entropy import (
    SYNC_PERIOD_SECONDS,
    AntiEntropy,
)
from .controllers.availability import make_availability_updater
from .controllers.backend_server import BackendServer, ServerReport, ServerState
from .controllers.contexts import CallContexts
from .controllers.counters import OutcomeCounters
from .controllers.crash_detector import CrashDetector
from .controllers.delivery_check import CHECK_PERIOD_SECONDS, DeliveryCheck
from .controllers.evidence_exchange import EXCHANGE_PERIOD_SECONDS, EvidenceExchange
from .controllers.histograms import Histograms
from .controllers.member_table import MemberTable
from .controllers.membership import PING_PERIOD_SECONDS, Membership
from .controllers.peer_notices import PeerNotices
from .controllers.placement import Placement
from .controllers.quarantine import Quarantine
from .controllers.received_attempts import ReceivedAttempts
from .controllers.registry import LONG_LEASE_TIMES, Registry
from .controllers.resends import ResendSchedule
from .controllers.retries import RetryBudget
from .controllers.server_notices import LocalServerNotices
from .controllers.service_groups import ServiceGroups
from .controllers.settings import SettingsReplica
from .controllers.store_contact import StoreContact
from .controllers.store_era import FIRST_ERA, StoreEra
from .controllers.threshold import LearnedThresholds
from .controllers.token_bucket import TokenBucket
from .controllers.watch_duty import WatchDuty
from .controllers.watch_guard import GuardActions, WatchGuard, compute_period
from .controllers.weighted_round_robin import WeightedRoundRobin
from .filters.access_log import (
    LocalServerView,
    make_access_log_filter,
    make_server_log_filter,
)
from .filters.admission import make_admission_filter
from .filters.deadline import make_deadline_filter
from .filters.placement import make_placement_handler
from .filters.quarantine import make_quarantine_filter
from .filters.retry_after import make_retry_after_filter
from .filters.route_lookup import make_route_lookup_filter
from .filters.shedding import make_shedding_filter
from .filters.threshold_propagation import (
    learn_downstream_threshold,
    make_threshold_propagation_filter,
)
from .health_probe import make_health_probe
from .http.answer_format import AnswerFormat
from .http.buffer_budget import BufferBudget
from .http.client import ConnectionPool, ExchangeRules, make_call_sender
from .http.messages import make_header_limits
from .http.server import HttpServer, Reply, Request, RequestHandler
from .http.sockets import is_connection_refused
from .ids import Incarnation, InstanceId, RouteName, ServerStart
from .member_records import Member, MemberState
from .mesh import (
    OUTCOME_HEADER,
    NoticeExchange,
    encode_outcome,
    make_peer_sender,
)
from .metrics import format_metrics
from .node_load import NodeLoad
from .options import PlatformOptions, merge_options
from .outcomes import NotRun, NotRunReason, Outcome
from .peers.bus import PeerBus
from .peers.messages import (
    AttemptQuery,
    AttemptReport,
    CallsWithdrawn,
    CrashEvidence,
    StoreLost,
    WatchQuery,
    WatchReport,
    WatchRequest,
)
from .peers.transport import PeerTransport
from .peers.wiring import register_member_handlers
from .platform.client import make_platform_store
from .platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_PATH,
    build_routes,
    read_revision,
)
from .platform.endpoints import (
    EndpointCallbacks,
    make_heartbeat_server,
    make_metrics_server,
    make_readiness_server,
)
from .platform.interface import PLATFORM_INTERFACE
from .platform_dispatch import (
    make_answer_matcher,
    make_answer_namer,
    make_platform_dispatch,
)
from .platform_request_handlers import (
    choose_platform_status,
    make_inbound_handler,
    make_outbound_handler,
)
from .routes import EMPTY_ROUTE_TABLE, RouteTable

_LOG = logging.getLogger(__name__)
# Pause between probes of a server that has not sent a heartbeat yet.
PROBE_PAUSE_SECONDS: Final = 0.25
# Pauses before further reads of the members after a start: nodes that start at the same
# time are missing from each other's list, which may lag by seconds.
MEMBER_REREAD_PAUSES_SECONDS: Final = (0.6, 2.0, 6.0)
# Backoff between attempts to announce this node in a store that does not answer.
MIN_ANNOUNCE_BACKOFF_SECONDS: Final = 0.5
MAX_ANNOUNCE_BACKOFF_SECONDS: Final = 4.0
# Time for which a starting node waits for the members that a peer knows before it
# admits calls.
JOIN_WAIT_SECONDS: Final = 1.0
JOIN_CHECK_SECONDS: Final = 0.02
# Members from which a starting node requests a full sync.
JOIN_PEERS: Final = 6
# Headers that nodes add to a call between them.
MESH_HEADER_BYTES: Final = 4_096
# Used until the server reports its slots.
INITIAL_SLOTS: Final = 16
# Servers may slow down when their last slots are in use.
CONCURRENCY_LIMIT_SHARE: Final = 0.95
QUEUE_TARGET_SECONDS: Final = 0.03
MAX_QUEUE_WAIT_SECONDS: Final = 0.5
# Rise of a learned shedding threshold until the next report of it. It is slower than
# the rise of the threshold at the server's node, which probes for free concurrency.
THRESHOLD_RISE_PER_SECOND: Final = 0.3
# Burst of retries that a node may send for one service.
RETRY_BURST: Final = 3.0
# Number of nodes that share the platform's retry slack.
RETRYING_NODES: Final = 100
HISTOGRAM_FLUSH_SECONDS: Final = 0.5
DRAIN_CHECK_SECONDS: Final = 0.02
# From a message to peers until it is transmitted; an acknowledgement may take 1 s.
LEFT_START_SPREAD_SECONDS: Final = 0.1
# The platform checks readiness each second and sends callers elsewhere after two
# failures.
READINESS_NOTICE_SECONDS: Final = 2.3
# Requests sent later than this after the signal to stop need not be accepted.
MAX_ACCEPT_SECONDS: Final = 2.8
# Time for a request that is under way as the listeners close. What is complete later
# might not end before the grace does, and is refused.
LATE_REQUEST_SECONDS: Final = 0.2
# Share of the grace that is kept for closing connections and exiting. A stop may cut
# off calls that are still running in the last sixth of the grace.
EXIT_GRACE_SHARE: Final = 0.15
# Share of the grace, before the exit, in which calls that still wait for a server end
# as not run; the messages are repeated, as one may be lost.
WITHDRAW_GRACE_SHARE: Final = 0.1
WITHDRAW_REPEAT_SECONDS: Final = 0.15
# Time beyond the deadline to wait for a peer's answer; the peer enforces the deadline.
PEER_DEADLINE_GRACE_SECONDS: Final = 0.1
PEER_IDLE_TIMEOUT_SECONDS: Final = 60.0
SERVER_DEADLINE_GRACE_SECONDS: Final = 0.05
# Memory of a process without messages, its members and routes included.
RESERVED_MEMORY_MB: Final = 90.0
# Share of the rest for messages: some are copied while they are sent.
BUFFER_SHARE: Final = 0.5
MIN_BUFFER_MB: Final = 16.0
BYTES_PER_MB: Final = 1_000_000
_MILLISECONDS_PER_SECOND: Final = 1000


class NodeState(Enum):
    """Enumerate the states in the life of a node."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Sidecar:
    """Run the components of one node on the platform from start to stop."""

    def __init__(self, options: PlatformOptions) -> None:
        self.options = options
        self.state = NodeState.STARTING
        self.stopped = gevent.event.Event()
        self.clock = SystemClock()
        self.rng = random.Random(f"{options.place.node}{self.clock.wall()}")
        self.route_table: RouteTable = EMPTY_ROUTE_TABLE
        self._header_limits = make_header_limits(0)
        self._calls_in_flight: dict[int, Call] = {}
        # Calls in flight to other nodes.
        self._placed_calls: dict[int, tuple[Call, Member]] = {}
        self._has_withdrawn = False
        self._join_until = self.clock.now() + JOIN_WAIT_SECONDS
        self._tasks: list[gevent.Greenlet] = []
        self._watch_task = gevent.Greenlet()
        self._repair_task = gevent.Greenlet()
        self.histograms = Histograms()
        self.counters = OutcomeCounters()
        self.members = MemberTable()
        self.server = BackendServer(options.place.service, options.server)
        self.notices = LocalServerNotices(
            self.clock, self.server, lambda limit: self.admission.set_rate(limit)
        )
        self._build_peers()
        self._build_quarantine()
        self._build_chains()
        self._build_delivery_check()
        self._build_listeners()

    # Requests that crash servers.

    def _build_quarantine(self) -> None:
        clock, server = self.clock, self.server
        self.service_groups = ServiceGroups()
        self.quarantine = Quarantine(
            clock,
            self.options.quarantine_crashes,
            lambda request: self.evidence.is_trial_node(request),
        )
        self.evidence = EvidenceExchange(
            clock,
            self.quarantine,
            self.members,
            lambda: self.membership.local_member,
            self.rng,
            self.bus.send,
            self.service_groups.find_group,
        )
        self.bus.register_handler(CrashEvidence, self.evidence.receive)
        self.bus.register_handler(
            CallsWithdrawn,
            lambda message, envelope: self.admission.withdraw(message.attempts),
        )
        self.crash_detector = CrashDetector(
            clock, server, is_connection_refused, self.evidence.report_crash
        )

    # Filter chains, in the order in which a call passes the filters.

    def _build_chains(self) -> None:
        options, clock = self.options, self.clock
        interface = PLATFORM_INTERFACE
        self.admission = Admission(
            clock,
            INITIAL_SLOTS,
            QUEUE_TARGET_SECONDS,
            MAX_QUEUE_WAIT_SECONDS,
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
            _compute_retry_slack_rate(options),
        )
        self.learned_thresholds = LearnedThresholds(clock, THRESHOLD_RISE_PER_SECOND)
        self.downstream_thresholds = LearnedThresholds(clock, THRESHOLD_RISE_PER_SECOND)
        self.contexts = CallContexts(options.place.node)
        self.budget = BufferBudget(_compute_buffer_bytes(options))
        self.pool = ConnectionPool(budget=self.budget)
        server_exchange_rules = ExchangeRules(
            make_answer_matcher(interface),
            make_answer_namer(interface),
            allow_close_delimited=True,
            grace=SERVER_DEADLINE_GRACE_SECONDS,
        )
        peer_exchange_rules = ExchangeRules(
            grace=PEER_DEADLINE_GRACE_SECONDS,
            track_sent=lambda call, end: self.delivery_check.track(
                call, self._placed_calls[id(call)][1], end
            ),
        )
        server_view = LocalServerView(
            self.find_load,
            lambda: self.admission.threshold,
            lambda: self.server.current.instance if self.server.current else "",
        )
        self._inbound = compose(
            [
                make_server_log_filter(clock, server_view),
                make_threshold_propagation_filter(self.downstream_thresholds),
                make_deadline_filter(clock),
                make_admission_filter(
                    clock, self.admission, self._find_rejection_reason
                ),
                make_quarantine_filter(
                    self.quarantine, self.crash_detector, self.evidence.report_success
                ),
            ],
            make_platform_dispatch(
                clock,
                self.server,
                interface,
                self.contexts,
                make_call_sender(self.pool, clock, server_exchange_rules),
                self.notices,
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
        peer_notices = PeerNotices()
        send_to_peer = make_peer_sender(
            clock,
            make_call_sender(self.pool, clock, peer_exchange_rules),
            interface.filter_request_headers,
            self.placement.update_load,
            NoticeExchange(peer_notices.find, peer_notices.learn),
        )

        def send_attempt(member: Member, call: Call) -> Outcome:
            if member.node == options.place.node:
                return self._inbound(call)
            self._placed_calls[id(call)] = (call, member)
            try:
                return send_to_peer(member, call)
            finally:
                del self._placed_calls[id(call)]

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
            make_placement_handler(
                clock,
                self.placement,
                self.retry_budget,
                send_attempt,
                lambda: not self._has_withdrawn,
            ),
        )

    def _build_delivery_check(self) -> None:
        renew_connection = self.transport.renew
        self.received_attempts = ReceivedAttempts(
            self.clock, self.admission.withdraw, self.bus.send, renew_connection
        )
        self.bus.register_handler(AttemptQuery, self.received_attempts.receive_query)
        self.delivery_check = DeliveryCheck(
            self.clock, self.bus.send, renew_connection, self.pool.close_idle
        )
        self.bus.register_handler(AttemptReport, self.delivery_check.receive_report)

    def _build_listeners(self) -> None:
        options, clock = self.options, self.clock
        local_service, interface = options.place.service, PLATFORM_INTERFACE
        caller_answer_format = AnswerFormat(
            interface.filter_answer_headers,
            choose_platform_status,
            interface.format_retry_after,
            lambda: self.route_table.limits.idle_timeout,
        )
        self._outbound_server = HttpServer(
            options.outbound,
            make_outbound_handler(
                clock,
                interface,
                local_service,
                self._outbound,
                self.contexts,
                functools.partial(
                    learn_downstream_threshold, self.downstream_thresholds
                ),
                self._track,
            ),
            answer_format=caller_answer_format,
            budget=self.budget,
            get_header_limits=lambda: self._header_limits,
        )
        peer_answer_format = AnswerFormat(
            interface.filter_answer_headers,
            choose_platform_status,
            interface.format_retry_after,
            lambda: PEER_IDLE_TIMEOUT_SECONDS,
        )
        self._inbound_server = HttpServer(
            options.inbound,
            make_inbound_handler(
                clock,
                interface,
                local_service,
                self._inbound,
                self._track_received,
                self.find_load,
                self.notices,
            ),
            answer_format=peer_answer_format,
            budget=self.budget,
            get_header_limits=lambda: self._header_limits,
        )
        callbacks = EndpointCallbacks(
            lambda: self.state is NodeState.READY,
            self._handle_report,
            self._handle_departure,
            self.format_metrics,
            self.format_quarantine,
        )
        self._endpoint_servers = [
            make_readiness_server(options.readiness, callbacks),
            make_heartbeat_server(options.reports, callbacks),
            make_metrics_server(options.metrics, callbacks),
        ]

    # Members and configuration.

    def _build_peers(self) -> None:
        options, clock = self.options, self.clock
        location = options.place
        # Each user of the store retries by itself, at a rate that the store can serve.
        self.store_era = StoreEra()
        self.store_contact = StoreContact(clock)
        self.store = make_platform_store(
            options.platform,
            clock,
            self.rng,
            max_attempts=1,
            observe_era=self.store_era.observe,
        )
        self.bus = PeerBus(
            location,
            options.peers,
            lambda address, data: self.transport.send(address, data),
        )
        self.transport = PeerTransport(
            options.peers, functools.partial(clock.tasks.run, self.bus.receive)
        )
        local_member = Member(
            location.node,
            location.service,
            location.data_centre,
            location.region,
            str(options.inbound),
            str(options.peers),
            Incarnation(int(clock.wall() * _MILLISECONDS_PER_SECOND)),
            MemberState.LEAVING,
        )
        self.membership = Membership(
            clock,
            local_member,
            self.members,
            self.rng,
            self.bus.send,
            lambda start: self.server.restore_left(
                start, clock.wall() * _MILLISECONDS_PER_SECOND
            ),
        )
        self.anti_entropy = AntiEntropy(
            lambda: self.membership.local_member, self.members, self.rng, self.bus.send
        )
        self.settings_replica: SettingsReplica[RouteTable] = SettingsReplica(
            clock, build_routes, self._adopt_routes, self.bus.send
        )
        register_member_handlers(
            self.bus,
            self.membership,
            self.anti_entropy,
            self.settings_replica,
            self.store_era,
            self.store_contact,
        )
        self.registry = Registry(
            clock,
            self.store,
            self.members,
            lambda: self.membership.local_member,
            LONG_LEASE_TIMES,
            lambda: self.store_era.current,
        )
        self.watch_duty = WatchDuty(
            clock,
            lambda: self.membership.local_member,
            self.members,
            self.bus.send,
            lambda: self.watch.review_duty(),
            self.store_contact.get_age,
        )
        self.bus.register_handler(StoreLost, self.watch_duty.receive_lost)
        self.bus.register_handler(WatchRequest, self.watch_duty.receive_request)
        self.watch_guard = WatchGuard(
            clock,
            lambda: self.membership.local_member,
            self.watch_duty,
            self.bus.send,
            GuardActions(
                lambda: self.settings_replica.revision > 0,
                lambda: self._is_watcher() and self.watch.watching,
                lambda: self.watch.review_duty(),
                lambda: self.watch.read_once(),
                lambda address: self.transport.renew(address),
            ),
            self.rng,
        )
        self.watch_guard.period = compute_period(options.propagation)
        self.bus.register_handler(WatchQuery, self.watch_guard.receive_query)
        self.bus.register_handler(WatchReport, self.watch_guard.receive_report)
        self.watch = ConfigurationWatch(
            clock,
            self.store,
            CONFIGURATION_KEY,
            CONFIGURATION_PATH,
            read_revision,
            self.settings_replica,
            FleetView(
                self._is_watcher,
                self.members.count_live,
                self._push_to_region,
                self.watch_duty.report_lost,
                self.watch_duty.is_first,
                self.store_contact.get_age,
                self.store_contact.note,
                self.watch_guard.report_watching,
            ),
            self.rng,
        )
        self._update_availability = make_availability_updater(
            self.server,
            self.membership,
            lambda: self._is_stopping() or self._is_joining(),
        )
        self.server.add_listener(self._update_availability)
        self.server.add_listener(self._apply_reported_slots)
        self.members.add_listener(self._handle_member_change)
        self.store_era.add_listener(self._handle_store_restore)
        self.store_era.add_hint_listener(self._repair_announcement)

    def start(self) -> None:
        """Listen, join the fleet, adopt the newest configuration, then serve."""
        for endpoint in self._endpoint_servers:
            endpoint.start()
        self.transport.start()
        self._outbound_server.start()
        self._inbound_server.start()
        self._spawn(self.clock.tasks.keep_running, self._join_loop)
        self._spawn(self._announce_once_joined)
        self._spawn(self._probe_server)
        self._watch_task = gevent.spawn(self.clock.tasks.keep_running, self.watch.run)
        self._spawn(self.clock.tasks.keep_running, self.watch_guard.run)
        self._spawn(self._run_periodically, PING_PERIOD_SECONDS, self.membership.tick)
        self._spawn(self._run_periodically, SYNC_PERIOD_SECONDS, self.anti_entropy.tick)
        self._spawn(self._run_periodically, EXCHANGE_PERIOD_SECONDS, self.evidence.tick)
        self._spawn(
            self._run_periodically, CHECK_PERIOD_SECONDS, self.delivery_check.tick
        )
        self._spawn(
            self._run_periodically, HISTOGRAM_FLUSH_SECONDS, self.histograms.flush
        )
        _LOG.info("started", extra={"node": self.options.place.node})

    def stop(self) -> None:
        """Accept no new work, wait for open connections, then stop; this blocks.

        What is still running or half read near the end of the grace is cut off.
        """
        if self._is_stopping():
            return
        self.state = NodeState.LEAVING
        _LOG.info("leaving", extra={"in_flight": len(self._calls_in_flight)})
        started = self.clock.now()
        drain_deadline = started + self.options.grace * (1 - EXIT_GRACE_SHARE)
        # Whatever fails here, the node has to go on stopping.
        self.clock.tasks.run(self.membership.leave)
        # It goes on watching until it exits; the others are to watch before that.
        self.clock.tasks.run(self.watch_duty.report_lost, True)
        if self.server.state is not ServerState.READY:
            # The server has gone, and its instance with it. With a ready server this
            # node only restarts: peers know that it leaves, and will find it again.
            self.clock.spawn(self.registry.withdraw)
        self._inbound_server.disable_keep_alive()
        self._outbound_server.disable_keep_alive()
        # Callers still arrive until the platform notices that this node is not ready,
        # and calls running on the local server may still make calls. Later arrivals are
        # rejected.
        gevent.sleep(min(READINESS_NOTICE_SECONDS, self.options.grace / 2))
        accept_until = started + min(MAX_ACCEPT_SECONDS, self.options.grace / 2)
        while self.admission.in_flight and self.clock.now() < accept_until:
            gevent.sleep(DRAIN_CHECK_SECONDS)
        self.close_listeners()
        refuse_from = max(accept_until, self.clock.now()) + LATE_REQUEST_SECONDS
        refusing = gevent.spawn_later(
            refuse_from - self.clock.now(), self._refuse_requests
        )
        # A request is a call only once its handler runs; a connection counts from the
        # moment it is accepted.
        withdraw_at = drain_deadline - self.options.grace * WITHDRAW_GRACE_SHARE
        while self._count_open_connections() and self.clock.now() < drain_deadline:
            gevent.sleep(DRAIN_CHECK_SECONDS)
            if self.clock.now() >= withdraw_at:
                self._withdraw_waiting_calls()
                withdraw_at += WITHDRAW_REPEAT_SECONDS
        refusing.kill(block=False)
        for call in self._calls_in_flight.values():
            _LOG.error("call cut off", extra={"request": call.request})
        self.state = NodeState.STOPPED
        self._kill_tasks()
        _LOG.info(
            "stopped",
            extra={
                "seconds": self.clock.now() - started,
                "open_connections": self._count_open_connections(),
            },
        )
        self.stopped.set()

    def close_listeners(self) -> None:
        """Accept no more connections; requests sent already are still answered."""
        listeners = (
            ("inbound", self._inbound_server),
            ("outbound", self._outbound_server),
        )
        for name, server in listeners:
            closed = server.stop_accepting()
            _LOG.info(
                "listener closed",
                extra={
                    "listener": name,
                    "accepted": closed.accepted,
                    "idle": closed.idle,
                    "unread": closed.unread,
                    "open_connections": server.open_connections,
                    "in_flight": len(self._calls_in_flight),
                },
            )

    def _refuse_requests(self) -> None:
        outcome = NotRun(NotRunReason.LEAVING, "completed too late in a stop")
        # Without this header a peer could not tell that the request did not run.
        peer_headers = [(OUTCOME_HEADER, encode_outcome(outcome, 0))]
        self._inbound_server.replace_handler(_make_refusal(outcome, peer_headers))
        self._outbound_server.replace_handler(_make_refusal(outcome, []))

    def _withdraw_waiting_calls(self) -> None:
        """Let calls that no server has begun end as not run while there is time."""
        if not self._has_withdrawn:
            self._has_withdrawn = True
            _LOG.info(
                "waiting calls withdrawn", extra={"queued": self.admission.queued}
            )
            self.admission.close()
            for server in (self._inbound_server, self._outbound_server):
                server.interrupt_uploads()
        attempts_by_peer: dict[str, list[str]] = {}
        for call, member in self._placed_calls.values():
            if call.attempt:
                attempts_by_peer.setdefault(member.peers, []).append(call.attempt)
        for peer, attempts in attempts_by_peer.items():
            self.bus.send(parse_address(peer), CallsWithdrawn(attempts))

    def _count_open_connections(self) -> int:
        servers = (self._inbound_server, self._outbound_server)
        return sum(server.open_connections for server in servers)

    def abort(self) -> None:
        """Stop at once; calls in flight are cut off."""
        self.state = NodeState.STOPPED
        self._kill_tasks()
        for server in (self._outbound_server, self._inbound_server):
            server.kill()
        for endpoint in self._endpoint_servers:
            endpoint.stop(timeout=0)
        self.transport.stop()
        self.pool.close()
        self.stopped.set()

    def _kill_tasks(self) -> None:
        tasks = [*self._tasks, self._watch_task, self._repair_task]
        gevent.killall(tasks, block=False)

    def reload(self, options: PlatformOptions) -> None:
        """Adopt changed settings; addresses and location change only at a restart."""
        result = merge_options(self.options, options)
        self.options = result.options
        self.retry_budget.configure(_compute_retry_slack_rate(self.options))
        self.quarantine.threshold = self.options.quarantine_crashes
        self.link.configure(self.options.link_rate, self.options.link_rate)
        _LOG.info(
            "settings reloaded",
            extra={"taken": result.taken, "at_next_start": result.held},
        )

    # Background tasks.

    def _join_loop(self) -> None:
        self._read_members()
        is_known = self.registry.announced and self.members.count_live() > 1
        self._announce()
        # Peers know this node if an announcement from before a restart is still valid.
        for seconds in () if is_known else MEMBER_REREAD_PAUSES_SECONDS:
            gevent.sleep(seconds * self.rng.uniform(0.7, 1.3))
            self._read_members()
        while True:
            gevent.sleep(LONG_LEASE_TIMES.renewal * self.rng.uniform(0.8, 1.2))
            self.registry.announced = False
            self._announce()
            self._read_members()

    def _announce(self) -> None:
        backoff = MIN_ANNOUNCE_BACKOFF_SECONDS
        # An announcement from before a restart is not seen in a list that may lag.
        was_restored = self.store_era.current > FIRST_ERA
        announce = (
            self.registry.ensure_announced if was_restored else self.registry.announce
        )
        while not self.registry.announced and not announce():
            gevent.sleep(backoff * self.rng.uniform(0.7, 1.3))
            backoff = min(2 * backoff, MAX_ANNOUNCE_BACKOFF_SECONDS)
            if self.members.count_live() <= 1:
                self._read_members()

    def _read_members(self) -> None:
        known_version = self.members.version
        if not self.registry.read_members(allow_stale=True):
            return
        if self.members.count_live() <= 1:
            # Nobody knows more.
            self.membership.has_joined = True
        if self.members.version != known_version or self.settings_replica.revision == 0:
            self._join_peers()

    def _probe_server(self) -> None:
        # The server may still be running from before a restart of this node.
        probe_until = self.clock.now() + 2 * self.options.heartbeat
        while (
            self.server.state is ServerState.ABSENT and self.clock.now() < probe_until
        ):
            gevent.sleep(PROBE_PAUSE_SECONDS)
            path = self.route_table.health_paths.get(self.options.place.service)
            if path is None or self.server.state is not ServerState.ABSENT:
                continue
            report = self._probe(self.options.server, path)
            if report is not None and self.server.state is ServerState.ABSENT:
                self.server.handle_report(report)

    def _join_peers(self) -> None:
        # Each answer contains all members, and cross-region traffic is paid by volume.
        location = self.options.place
        others = [m for m in self.members.list_all() if m.node != location.node]
        same_region = [m for m in others if m.region == location.region]
        others = same_region or others
        chosen = self.rng.sample(others, min(JOIN_PEERS, len(others)))
        self.membership.join(tuple(parse_address(m.peers) for m in chosen))

    def _handle_report(self, report: ServerReport) -> bool:
        known_start = self.server.left_start
        is_applied = self.server.handle_report(report)
        self._spread_left_start(known_start)
        return is_applied

    def _handle_departure(self, instance: InstanceId, born: int) -> None:
        known_start = self.server.left_start
        self.server.handle_departure(instance, born)
        self._spread_left_start(known_start)

    def _spread_left_start(self, known_start: ServerStart) -> None:
        # Once a leave is acknowledged it binds this node, also after a crash, for which
        # its peers have to know of it.
        if self.server.left_start != known_start:
            gevent.sleep(LEFT_START_SPREAD_SECONDS)

    def _adopt_routes(self, route_table: RouteTable) -> bool:
        self.route_table = route_table
        names = {r.name for routes in route_table.hosts.values() for r in routes}
        self.weighted_round_robin.retain({RouteName(name) for name in names})
        self._regroup_services(route_table)
        max_bytes = route_table.limits.max_header_bytes + MESH_HEADER_BYTES
        self._header_limits = make_header_limits(max_bytes)
        self.membership.push_gossip()
        if self.state is NodeState.STARTING:
            self.state = NodeState.READY
            _LOG.info("ready", extra={"revision": route_table.revision})
        return True

    def _regroup_services(self, route_table: RouteTable) -> None:
        service = self.options.place.service
        known = self.service_groups.find_group(service)
        self.service_groups.adopt(route_table.hosts)
        added = self.service_groups.find_group(service) - known
        if added:
            self.evidence.send_to_services(added)

    def _apply_reported_slots(self) -> None:
        current = self.server.current
        if current is not None:
            self.admission.configure(
                max(1, int(current.slots * CONCURRENCY_LIMIT_SHARE)),
                QUEUE_TARGET_SECONDS,
                MAX_QUEUE_WAIT_SECONDS,
            )

    def _handle_member_change(self, member: Member) -> None:
        if member.state is MemberState.DEAD:
            self.placement.remove_node(member.node)
            self.pool.close_idle(member.mesh_address)
            if member.data_centre == self.options.place.data_centre:
                # Not in `_tasks`, which a stop kills: it ends by itself.
                self.clock.spawn(self.registry.remove_dead, member.node)
        elif member.state is MemberState.ALIVE:
            self.placement.readmit(member.node)
            self.evidence.send_to(member)

    def _handle_store_restore(self) -> None:
        self._restart_watch()
        # Most nodes do not read the store by themselves for a long time.
        self.membership.push_gossip()
        self.membership.push_gossip_to_region()
        self._repair_announcement()

    def _repair_announcement(self) -> None:
        if self._repair_task.started and not self._repair_task.dead:
            return
        repair = self.registry.repair_announcement
        self._repair_task = gevent.spawn(self.clock.tasks.run, repair, self.rng)

    def _restart_watch(self) -> None:
        # A watch sent before the restore may wait for a revision of the earlier era.
        if gevent.getcurrent() is self._watch_task or self.state is NodeState.STOPPED:
            return
        self._watch_task.kill(block=False)
        self._watch_task = gevent.spawn(self.clock.tasks.keep_running, self.watch.run)

    def _push_to_region(self) -> None:
        self.membership.push_gossip_to_region()
        self.membership.push_gossip_to_all_in_region()

    def _is_watcher(self) -> bool:
        # A node that receives nothing from peers has to read the store itself.
        return self.membership.isolated or self.watch_duty.is_assigned()

    def _run_periodically(self, seconds: float, action: Callable[[], None]) -> None:
        gevent.sleep(seconds * self.rng.random())
        while True:
            self.clock.tasks.run(action)
            gevent.sleep(seconds)

    def _spawn(self, action: Callable[..., object], *args: object) -> None:
        self._tasks.append(gevent.spawn(self.clock.tasks.run, action, *args))

    def _find_rejection_reason(self) -> NotRunReason | None:
        self._wait_until_joined()
        if self.server.state is ServerState.DRAINING:
            return NotRunReason.LEAVING
        return None

    def _is_stopping(self) -> bool:
        return self.state in (NodeState.LEAVING, NodeState.STOPPED)

    def _is_joining(self) -> bool:
        # Peers may know that the server leaves, from before a restart of this node.
        return not self.membership.has_joined and self.clock.now() < self._join_until

    def _wait_until_joined(self) -> None:
        while self._is_joining():
            gevent.sleep(JOIN_CHECK_SECONDS)

    def _announce_once_joined(self) -> None:
        self._wait_until_joined()
        self._update_availability()

    def _track(self, call: Call) -> Callable[[], None]:
        self._calls_in_flight[id(call)] = call
        return lambda: self._untrack(call)

    def _track_received(self, call: Call) -> Callable[[], None]:
        untrack = self._track(call)
        if not call.attempt:
            return untrack
        end = self.received_attempts.begin(call.attempt)

        def finish() -> None:
            end()
            untrack()

        return finish

    def _untrack(self, call: Call) -> None:
        self._calls_in_flight.pop(id(call), None)

    # Load and metrics.

    def find_load(self) -> NodeLoad:
        """Return the load of the local server."""
        return self.admission.find_load()

    def format_metrics(self) -> str:
        """Return counters and latencies as text, one value per line."""
        return format_metrics(
            self.admission,
            self.settings_replica.revision,
            self.store_era.current,
            self.counters,
            self.histograms,
            self.notices,
            self.clock.tasks.failures,
            self.crash_detector.crashes,
            self.quarantine,
        )

    def format_quarantine(self) -> str:
        """Return the requests that are refused as servers crashed, as JSON."""
        now = self.clock.now()
        refused = [
            QuarantineStatus(
                f"{request:016x}",
                {start: now - at for start, at in suspect.crashed_at.items()},
            )
            for request, suspect in self.quarantine.list_blocked().items()
        ]
        return msgspec.json.encode(refused).decode()


def _make_refusal(outcome: NotRun, headers: Headers) -> RequestHandler:
    def refuse(request: Request) -> Reply:
        _LOG.info("request refused", extra={"reason": outcome.reason.value})
        return Reply(outcome, headers, lambda delivered: None)

    return refuse


def _compute_buffer_bytes(options: PlatformOptions) -> int:
    """Return the bytes of messages that all connections together may hold."""
    free_mb = max(0.0, options.memory_mb - RESERVED_MEMORY_MB)
    return int(max(MIN_BUFFER_MB, free_mb * BUFFER_SHARE) * BYTES_PER_MB)


def _compute_retry_slack_rate(options: PlatformOptions) -> float:
    """Return the retries per second that a node may send beyond its share."""
    # Every node may add its part: half of the slack, divided by the size of a large
    # fleet.
    return options.retry_slack / options.retry_window / 2 / RETRYING_NODES
