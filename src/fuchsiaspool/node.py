"""Run one node: its listeners, filter chains and controllers."""

import logging
from collections.abc import Callable
from enum import Enum
from typing import Final

import gevent
import gevent.event

from .calls import Call
from .components import NodeComponents
from .control import (
    ControlCallbacks,
    ControlServer,
    NodeStatus,
    SettingsExport,
)
from .controllers.anti_entropy import SYNC_PERIOD_SECONDS
from .controllers.membership import PING_PERIOD_SECONDS
from .controllers.registry import LEASE_RENEWAL_SECONDS
from .http.server import HttpServer
from .operations.shard_sweeper import SWEEP_INTERVAL_SECONDS, ShardSweeper
from .options import NodeOptions
from .outcomes import NotRunReason
from .peers.messages import SettingsRequest
from .request_handlers import (
    make_caller_handler,
    make_egress_handler,
    make_mesh_handler,
)
from .status_reports import count_members_by_state, export_histograms, summarise_classes
from .trace_lines import RequestLine

_LOG = logging.getLogger(__name__)
JOIN_INTERVAL_SECONDS: Final = 1.0
START_JITTER_SECONDS: Final = 1.0
DRAIN_CHECK_SECONDS: Final = 0.02
# Short, so that each batch of samples is small and delays no call.
HISTOGRAM_FLUSH_SECONDS: Final = 0.05


class NodeState(Enum):
    """Enumerate the states in the life of a node."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Node:
    """Run the components of one node from start to stop."""

    def __init__(
        self,
        options: NodeOptions,
        write_trace: Callable[[RequestLine], None] | None = None,
    ) -> None:
        self.options = options
        self.state = NodeState.STARTING
        self.stopped = gevent.event.Event()
        self.cut_off_calls = 0
        self._calls_in_flight: dict[int, Call] = {}
        self._tasks: list[gevent.Greenlet] = []
        self._repair_task = gevent.Greenlet()
        self.components = NodeComponents(
            options, self._find_rejection_reason, write_trace
        )
        self._clock = self.components.clock
        self._rng = self.components.rng
        self.core = self.components.core
        self.settings_replica = self.components.settings_replica
        self.membership = self.components.membership
        self.claims = self.components.claims
        self._build_listeners()
        self.components.store_era.add_listener(self._handle_store_restore)
        self.components.store_era.add_hint_listener(self._repair_announcement)

    def start(self) -> None:
        """Listen, join the fleet, adopt the newest settings, then serve."""
        self.components.transport.start()
        for server in (self._caller_server, self._mesh_server, self._egress_server):
            server.start()
        self._control_server.start()
        self._spawn(self._clock.tasks.keep_running, self._join_loop)
        self._spawn(self._run_periodically, PING_PERIOD_SECONDS, self.membership.tick)
        self._spawn(
            self._run_periodically,
            SYNC_PERIOD_SECONDS,
            self.components.anti_entropy.tick,
        )
        self._spawn(
            self._run_periodically, HISTOGRAM_FLUSH_SECONDS, self.core.histograms.flush
        )
        self._spawn(self._clock.tasks.keep_running, self._registry_loop)
        self._spawn(self._clock.tasks.keep_running, self.components.watch.run)
        self._spawn(self._clock.tasks.keep_running, self._sweep_loop)

    def stop(self) -> None:
        """Accept no new work, wait for open connections, then stop; this blocks."""
        if self.state in (NodeState.LEAVING, NodeState.STOPPED):
            return
        self.state = NodeState.LEAVING
        _LOG.info("leaving", extra={"in_flight": len(self._calls_in_flight)})
        self.membership.leave()
        for server in (self._caller_server, self._mesh_server):
            server.disable_keep_alive()
        gevent.spawn(self.components.registry.withdraw)
        deadline = self._clock.now() + self.options.grace
        self._await_drained(deadline)
        # Calls that run on the local server may still make calls.
        self._drain_listeners(deadline, self._caller_server, self._mesh_server)
        self._drain_listeners(deadline, self._egress_server)
        self._close()

    def abort(self) -> None:
        """Stop at once; log the calls that are cut off."""
        self._log_cut_off_calls()
        for server in (self._caller_server, self._mesh_server, self._egress_server):
            server.kill()
        self._close()

    def _close(self) -> None:
        self.state = NodeState.STOPPED
        for server in (self._caller_server, self._mesh_server, self._egress_server):
            server.stop_accepting()
        gevent.killall([*self._tasks, self._repair_task], block=False)
        self.components.transport.stop()
        self._control_server.stop()
        self.components.pool.close()
        self.stopped.set()

    def _drain_listeners(self, deadline: float, *servers: HttpServer) -> None:
        for server in servers:
            server.stop_accepting()
        self._await_drained(deadline, *servers)

    def _await_drained(self, deadline: float, *closed_servers: HttpServer) -> None:
        while (
            self._calls_in_flight
            or self.claims.unsettled
            or any(server.open_connections for server in closed_servers)
        ):
            if self._clock.now() >= deadline:
                self._log_cut_off_calls()
                return
            gevent.sleep(DRAIN_CHECK_SECONDS)

    def _log_cut_off_calls(self) -> None:
        for call in self._calls_in_flight.values():
            self.cut_off_calls += 1
            _LOG.error("call cut off", extra={"request": call.request})

    # Listeners.

    def _build_listeners(self) -> None:
        options, core, clock = self.options, self.core, self._clock
        local_service = options.place.service
        self._caller_server = HttpServer(
            options.callers,
            make_caller_handler(
                clock,
                local_service,
                core.outbound,
                lambda service: service in core.policies.current.services,
                self._track,
            ),
        )
        self._mesh_server = HttpServer(
            options.mesh,
            make_mesh_handler(clock, local_service, core.inbound, self._track),
        )
        self._egress_server = HttpServer(
            options.egress,
            make_egress_handler(
                clock,
                core.outbound,
                self.components.contexts,
                self._track,
                local_service,
            ),
        )
        callbacks = ControlCallbacks(
            self.make_status,
            lambda: export_histograms(core),
            lambda: SettingsExport(
                self.settings_replica.revision, self.settings_replica.snapshot.texts
            ),
            lambda: list(core.members.list_all()),
            # A separate greenlet, since stop kills those in `_tasks`.
            lambda: gevent.spawn(self.stop),
        )
        self._control_server = ControlServer(options.control, callbacks)

    # Background tasks.

    def _join_loop(self) -> None:
        # A whole data centre may start at once; jitter spreads the reads of its nodes.
        gevent.sleep(START_JITTER_SECONDS * self._rng.random())
        read_task = gevent.spawn(self._read_store)
        while True:
            self._contact_peers()
            gevent.sleep(JOIN_INTERVAL_SECONDS)
            if self.settings_replica.revision > 0:
                break
            _LOG.info("no settings yet")
            if read_task.dead:
                read_task = gevent.spawn(self._read_store)
        if self.state is NodeState.STARTING:
            self.state = NodeState.READY
            _LOG.info("ready", extra={"revision": self.settings_replica.revision})

    def _read_store(self) -> None:
        self.components.registry.read_members()
        self.components.watch.load()

    def _contact_peers(self) -> None:
        self.membership.join(self.options.contacts)
        for address in self.options.contacts:
            self.components.bus.send(
                address, SettingsRequest(self.settings_replica.revision)
            )

    def _registry_loop(self) -> None:
        while True:
            announced = (
                self.state is NodeState.LEAVING or self.components.registry.announce()
            )
            if self.components.is_bridge():
                self.components.registry.read_members()
            pause = LEASE_RENEWAL_SECONDS if announced else LEASE_RENEWAL_SECONDS / 10
            gevent.sleep(pause * self._rng.uniform(0.8, 1.2))

    def _handle_store_restore(self) -> None:
        self.membership.push_gossip()
        self._repair_announcement()

    def _repair_announcement(self) -> None:
        if self._repair_task.started and not self._repair_task.dead:
            return
        repair = self.components.registry.repair_announcement
        self._repair_task = gevent.spawn(repair, self._rng)

    def _sweep_loop(self) -> None:
        sweeper = ShardSweeper(self._clock, self.components.store)
        while True:
            gevent.sleep(SWEEP_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))
            if self.components.is_sweeper():
                sweeper.sweep()

    def _run_periodically(self, seconds: float, action: Callable[[], None]) -> None:
        gevent.sleep(seconds * self._rng.random())
        while True:
            started = self._clock.now()
            self._clock.tasks.run(action)
            gevent.sleep(max(0.0, started + seconds - self._clock.now()))

    def _spawn(self, action: Callable[..., object], *args: object) -> None:
        self._tasks.append(gevent.spawn(self._clock.tasks.run, action, *args))

    def _find_rejection_reason(self) -> NotRunReason | None:
        if self.state is NodeState.LEAVING:
            return NotRunReason.LEAVING
        if self.state is not NodeState.READY or self.membership.rejoining:
            return NotRunReason.NOT_READY
        return None

    def _track(self, call: Call) -> Callable[[], None]:
        self._calls_in_flight[id(call)] = call
        return lambda: self._untrack(call)

    def _untrack(self, call: Call) -> None:
        self._calls_in_flight.pop(id(call), None)

    # Status.

    def make_status(self) -> NodeStatus:
        """Return the current status of the node."""
        core, location = self.core, self.options.place
        return NodeStatus(
            location.node,
            location.service,
            location.data_centre,
            location.region,
            self.state.value,
            self.settings_replica.revision,
            self._clock.now() - self.settings_replica.adopted_at,
            self.settings_replica.last_error,
            self.components.registry.reachable,
            core.admission.in_flight,
            core.admission.queued,
            core.admission.limit.value,
            core.admission.threshold,
            self.claims.unsettled,
            count_members_by_state(core.members),
            summarise_classes(core.counters),
            self.components.transport.sent_bytes,
            self.components.transport.received_bytes,
        )
