"""Run one node: its listeners, its chains and its controllers."""

import logging
from collections.abc import Callable
from enum import Enum
from typing import Final

import gevent
import gevent.event

from .calls import Call
from .components import NodeComponents
from .control import (
    ControlServer,
    ControlSource,
    NodeStatus,
    SettingsExport,
)
from .controllers.anti_entropy import SYNC_PERIOD_SECONDS as BRIDGE_SECONDS
from .controllers.membership import PING_PERIOD_SECONDS
from .controllers.registry import LEASE_RENEWAL_SECONDS
from .http.server import HttpServer
from .operations.shard_sweeper import SWEEP_INTERVAL_SECONDS, ShardSweeper
from .options import NodeOptions
from .outcomes import NotRunReason
from .peers.messages import SettingsRequest
from .request_handlers import (
    make_caller_entrance,
    make_mesh_entrance,
    make_server_entrance,
)
from .status_reports import count_members_by_state, export_histograms, summarise_classes
from .trace_lines import RequestLine

_LOG = logging.getLogger(__name__)
JOIN_SECONDS: Final = 1.0
START_JITTER_SECONDS: Final = 1.0
QUIET_SECONDS: Final = 0.02
# Short, so that what is counted at once stays small and holds up no call.
FLUSH_SECONDS: Final = 0.05
# How long the last answers may take to leave once nothing is in flight.
LINGER_SECONDS: Final = 0.2


class NodeState(Enum):
    """Say what a node is doing."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Node:
    """Hold the parts of one node and their life from start to stop."""

    def __init__(
        self,
        options: NodeOptions,
        write_trace: Callable[[RequestLine], None] | None = None,
    ) -> None:
        self.options = options
        self.state = NodeState.STARTING
        self.stopped = gevent.event.Event()
        self.cut_off_calls = 0
        self._active: dict[int, Call] = {}
        self._tasks: list[gevent.Greenlet] = []
        self.components = NodeComponents(options, self._find_refusal, write_trace)
        self._clock = self.components.clock
        self._chance = self.components.rng
        self.core = self.components.core
        self.settings_replica = self.components.settings_replica
        self.membership = self.components.membership
        self.claims = self.components.claims
        self._build_listeners()

    def start(self) -> None:
        """Listen, join, take the newest settings, then serve."""
        self.components.transport.start()
        for server in (self._callers, self._mesh, self._egress):
            server.start()
        self._control.start()
        self._spawn(self._join_loop)
        self._spawn(self._repeat, PING_PERIOD_SECONDS, self.membership.tick)
        self._spawn(self._repeat, BRIDGE_SECONDS, self.components.anti_entropy.tick)
        self._spawn(self._repeat, FLUSH_SECONDS, self.core.histograms.flush)
        self._spawn(self._registry_loop)
        self._spawn(self.components.watch.loop)
        self._spawn(self._sweep_loop)

    def stop(self) -> None:
        """Take no new work, let all in flight finish, then stop; block meanwhile."""
        if self.state in (NodeState.LEAVING, NodeState.STOPPED):
            return
        self.state = NodeState.LEAVING
        _LOG.info("leaving", extra={"in_flight": len(self._active)})
        self.membership.leave()
        for server in (self._callers, self._mesh):
            server.disable_keep_alive()
        gevent.spawn(self.components.registry.withdraw)
        deadline = self._clock.now() + self.options.grace
        self._await_quiet(deadline)
        for server in (self._callers, self._mesh):
            server.stop_accepting()
        self._await_quiet(deadline)
        self._egress.stop_accepting()
        gevent.sleep(LINGER_SECONDS)
        self._close()

    def abort(self) -> None:
        """Stop at once; log what is cut off."""
        self._log_cut()
        for server in (self._callers, self._mesh, self._egress):
            server.kill()
        self._close()

    def _close(self) -> None:
        self.state = NodeState.STOPPED
        for server in (self._callers, self._mesh, self._egress):
            server.stop_accepting()
        gevent.killall(self._tasks, block=False)
        self.components.transport.stop()
        self._control.stop()
        self.components.pool.close()
        self.stopped.set()

    def _await_quiet(self, deadline: float) -> None:
        while self._active or self.claims.unsettled:
            if self._clock.now() >= deadline:
                self._log_cut()
                return
            gevent.sleep(QUIET_SECONDS)

    def _log_cut(self) -> None:
        for call in self._active.values():
            self.cut_off_calls += 1
            _LOG.error("call cut off", extra={"request": call.request})

    # Where work comes in.

    def _build_listeners(self) -> None:
        options, core, clock = self.options, self.core, self._clock
        own = options.place.service
        self._callers = HttpServer(
            options.callers,
            make_caller_entrance(
                clock,
                own,
                core.outbound,
                lambda service: service in core.policies.current.services,
                self._track,
            ),
        )
        self._mesh = HttpServer(
            options.mesh, make_mesh_entrance(clock, own, core.inbound, self._track)
        )
        self._egress = HttpServer(
            options.egress,
            make_server_entrance(
                clock, core.outbound, self.components.contexts, self._track, own
            ),
        )
        source = ControlSource(
            self.make_status,
            lambda: export_histograms(core),
            lambda: SettingsExport(
                self.settings_replica.revision, self.settings_replica.snapshot.texts
            ),
            lambda: list(core.members.list_all()),
            # Not one of the tasks that the stop itself ends.
            lambda: gevent.spawn(self.stop),
        )
        self._control = ControlServer(options.control, source)

    # What runs beside the calls.

    def _join_loop(self) -> None:
        # A whole data centre may be starting: nobody reads at the same moment.
        gevent.sleep(START_JITTER_SECONDS * self._chance.random())
        reading = gevent.spawn(self._read_platform)
        while True:
            self._ask_contacts()
            gevent.sleep(JOIN_SECONDS)
            if self.settings_replica.revision > 0:
                break
            _LOG.info("no settings yet")
            if reading.dead:
                reading = gevent.spawn(self._read_platform)
        if self.state is NodeState.STARTING:
            self.state = NodeState.READY
            _LOG.info("ready", extra={"revision": self.settings_replica.revision})

    def _read_platform(self) -> None:
        self.components.registry.read_members()
        self.components.watch.load()

    def _ask_contacts(self) -> None:
        self.membership.join(self.options.contacts)
        for address in self.options.contacts:
            self.components.bus.send(
                address, SettingsRequest(self.settings_replica.revision)
            )

    def _registry_loop(self) -> None:
        while True:
            held = (
                self.state is NodeState.LEAVING or self.components.registry.announce()
            )
            if self.components.is_bridge():
                self.components.registry.read_members()
            pause = LEASE_RENEWAL_SECONDS if held else LEASE_RENEWAL_SECONDS / 10
            gevent.sleep(pause * self._chance.uniform(0.8, 1.2))

    def _sweep_loop(self) -> None:
        sweeper = ShardSweeper(self._clock, self.components.platform)
        while True:
            gevent.sleep(SWEEP_INTERVAL_SECONDS * self._chance.uniform(0.8, 1.2))
            if self.components.is_sweeper():
                sweeper.sweep()

    def _repeat(self, seconds: float, action: Callable[[], None]) -> None:
        gevent.sleep(seconds * self._chance.random())
        while True:
            started = self._clock.now()
            action()
            gevent.sleep(max(0.0, started + seconds - self._clock.now()))

    def _spawn(self, action: Callable[..., object], *args: object) -> None:
        self._tasks.append(gevent.spawn(action, *args))

    def _find_refusal(self) -> NotRunReason | None:
        if self.state is NodeState.LEAVING:
            return NotRunReason.LEAVING
        if self.state is not NodeState.READY or self.membership.rejoining:
            return NotRunReason.NOT_READY
        return None

    def _track(self, call: Call) -> Callable[[], None]:
        self._active[id(call)] = call
        return lambda: self._untrack(call)

    def _untrack(self, call: Call) -> None:
        self._active.pop(id(call), None)

    # What operators see.

    def make_status(self) -> NodeStatus:
        """Describe the node as it is now."""
        core, place = self.core, self.options.place
        return NodeStatus(
            place.node,
            place.service,
            place.data_centre,
            place.region,
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
