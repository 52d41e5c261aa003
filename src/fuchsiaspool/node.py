"""Run one node: its listeners, its chains and its controllers."""

import logging
import random
from collections.abc import Callable
from enum import Enum
from typing import Final

import gevent
import gevent.event

from .calls import Call, Filter
from .chains import Core, CoreParts, build_core
from .clock import SystemClock
from .control import (
    ClassStatus,
    ControlServer,
    ControlSource,
    HistogramExport,
    NodeStatus,
    SettingsExport,
)
from .controllers.bridging import PERIOD_SECONDS as BRIDGE_SECONDS, Bridging, is_chosen
from .controllers.contexts import Contexts
from .controllers.members import Member, MemberState
from .controllers.membership import PERIOD_SECONDS, Membership
from .controllers.registry import RENEW_SECONDS, Registry
from .controllers.settings import SettingsKeeper
from .dispatch import make_dispatch
from .entrances import make_caller_entrance, make_mesh_entrance, make_server_entrance
from .filters.claim import make_claim
from .filters.recording import make_recording
from .http.client import Pool, make_send
from .http.server import HttpServer
from .ids import Incarnation
from .mesh import make_remote
from .operations.answers import make_answer_store
from .operations.claims import Claims
from .operations.commits import GroupCommitter, make_nonce
from .operations.ownership import ShardOwners, choose_owner
from .operations.sweeping import SWEEP_SECONDS, SWEPT_KEY, Sweeper
from .options import NodeOptions
from .outcomes import NotRunReason
from .peers.bus import PeerBus
from .peers.messages import SettingsAsk
from .peers.transport import PeerTransport
from .peers.wiring import wire_members, wire_operations
from .platform.client import make_no_platform, make_platform
from .replay.trace import RequestLine
from .watching import SettingsWatch

_LOG = logging.getLogger(__name__)
WATCHERS: Final = 2
JOIN_SECONDS: Final = 1.0
START_SPREAD_SECONDS: Final = 1.0
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
        self._write_trace = write_trace
        self.state = NodeState.STARTING
        self.stopped = gevent.event.Event()
        self.cut_calls = 0
        self._active: dict[int, Call] = {}
        self._tasks: list[gevent.Greenlet] = []
        self._clock = SystemClock()
        self._chance = random.Random(f"{options.place.node}{self._clock.wall()}")
        self._build_peers()
        self._build_platform()
        self._build_operations()
        self._build_core()
        self._build_membership()
        self._build_listeners()

    def start(self) -> None:
        """Listen, join, take the newest settings, then serve."""
        self._transport.start()
        for server in (self._callers, self._mesh, self._egress):
            server.start()
        self._control.start()
        self._spawn(self._join_loop)
        self._spawn(self._repeat, PERIOD_SECONDS, self.membership.tick)
        self._spawn(self._repeat, BRIDGE_SECONDS, self._bridging.tick)
        self._spawn(self._repeat, FLUSH_SECONDS, self.core.histograms.flush)
        self._spawn(self._registry_loop)
        self._spawn(self._watch.loop)
        self._spawn(self._sweep_loop)

    def stop(self) -> None:
        """Take no new work, let all in flight finish, then stop; block meanwhile."""
        if self.state in (NodeState.LEAVING, NodeState.STOPPED):
            return
        self.state = NodeState.LEAVING
        _LOG.info("leaving", extra={"in_flight": len(self._active)})
        self.membership.leave()
        gevent.spawn(self._registry.withdraw)
        deadline = self._clock.now() + self.options.grace
        self._await_quiet(deadline)
        for server in (self._callers, self._mesh):
            server.stop_accepting()
        self._await_quiet(deadline)
        self._egress.stop_accepting()
        gevent.sleep(LINGER_SECONDS)
        self._close()

    def cut(self) -> None:
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
        self._transport.stop()
        self._control.stop()
        self._pool.close()
        self.stopped.set()

    def _await_quiet(self, deadline: float) -> None:
        while self._active or self.claims.unsettled:
            if self._clock.now() >= deadline:
                self._log_cut()
                return
            gevent.sleep(QUIET_SECONDS)

    def _log_cut(self) -> None:
        for call in self._active.values():
            self.cut_calls += 1
            _LOG.error("call cut off", extra={"request": call.request})

    # Construction, one layer after the other.

    def _build_peers(self) -> None:
        options = self.options
        self.bus = PeerBus(
            options.place,
            options.peers,
            lambda address, data: self._transport.send(address, data),
        )
        self._transport = PeerTransport(options.peers, self.bus.receive)

    def _build_platform(self) -> None:
        address = self.options.platform
        if address is None:
            self._platform = make_no_platform()
        else:
            self._platform = make_platform(address, self._clock, self._chance)

    def _build_operations(self) -> None:
        node = self.options.place.node
        committer = GroupCommitter(self._clock, node, self._platform)
        self._owners = ShardOwners(
            self._clock,
            node,
            committer,
            lambda: self.core.members.list_all(),
            self.bus.send,
            self.options.platform_region,
        )
        self.claims = Claims(
            self._clock,
            node,
            self._owners.commit,
            make_nonce,
            make_answer_store(self._clock, self._platform),
        )

    def _build_core(self) -> None:
        options = self.options
        self._pool = Pool()
        self._contexts = Contexts(options.place.node)
        send = make_send(self._pool, self._clock)
        parts = CoreParts(
            self._clock,
            options.place,
            self._chance,
            make_dispatch(self._clock, options.server, send, self._contexts),
            make_remote(self._clock, send),
            self._find_refusal,
            make_claim(self._clock, self.claims),
            self._make_recording(),
        )
        self.core: Core = build_core(parts)
        self.keeper = SettingsKeeper(self._clock, self.core.policies.put, self.bus.send)

    def _make_recording(self) -> Filter | None:
        if self._write_trace is None:
            return None
        return make_recording(self._clock, self.options.place, self._write_trace)

    def _build_membership(self) -> None:
        options, core = self.options, self.core
        place = options.place
        own = Member(
            place.node,
            place.service,
            place.data_centre,
            place.region,
            str(options.mesh),
            str(options.peers),
            Incarnation(int(self._clock.wall() * 1000)),
        )
        send = self.bus.send
        self.membership = Membership(self._clock, own, core.members, self._chance, send)
        self._bridging = Bridging(
            lambda: self.membership.own, core.members, self._chance, send
        )
        self._registry = Registry(
            self._clock, self._platform, core.members, lambda: self.membership.own
        )
        self._watch = SettingsWatch(
            self._clock, self._platform, self.keeper, self._is_watcher, self._chance
        )
        core.policies.listen(lambda policy: self.membership.push_news())
        core.members.listen(self._forget_dead)
        wire_members(self.bus, self.membership, self._bridging, self.keeper)
        wire_operations(self.bus, self._owners)

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
                clock, core.outbound, self._contexts, self._track, own
            ),
        )
        source = ControlSource(
            self.make_status,
            self._export_histograms,
            lambda: SettingsExport(self.keeper.revision, self.keeper.bundle.texts),
            lambda: list(core.members.list_all()),
            # Not one of the tasks that the stop itself ends.
            lambda: gevent.spawn(self.stop),
        )
        self._control = ControlServer(options.control, source)

    # What runs beside the calls.

    def _join_loop(self) -> None:
        # A whole data centre may be starting: nobody reads at the same moment.
        gevent.sleep(START_SPREAD_SECONDS * self._chance.random())
        self._registry.read_members()
        self._watch.load()
        while True:
            self.membership.join(self.options.contacts)
            for address in self.options.contacts:
                self.bus.send(address, SettingsAsk(self.keeper.revision))
            gevent.sleep(JOIN_SECONDS)
            if self.keeper.revision > 0:
                break
            self._watch.load()
            _LOG.info("no settings yet")
        if self.state is NodeState.STARTING:
            self.state = NodeState.READY
            _LOG.info("ready", extra={"revision": self.keeper.revision})

    def _registry_loop(self) -> None:
        while True:
            held = self.state is NodeState.LEAVING or self._registry.announce()
            if self._is_bridge():
                self._registry.read_members()
            pause = RENEW_SECONDS if held else RENEW_SECONDS / 10
            gevent.sleep(pause * self._chance.uniform(0.8, 1.2))

    def _sweep_loop(self) -> None:
        sweeper = Sweeper(self._clock, self._platform)
        while True:
            gevent.sleep(SWEEP_SECONDS * self._chance.uniform(0.8, 1.2))
            if self._is_sweeper():
                sweeper.sweep()

    def _repeat(self, seconds: float, action: Callable[[], None]) -> None:
        gevent.sleep(seconds * self._chance.random())
        while True:
            started = self._clock.now()
            action()
            gevent.sleep(max(0.0, started + seconds - self._clock.now()))

    def _spawn(self, action: Callable[..., object], *args: object) -> None:
        self._tasks.append(gevent.spawn(action, *args))

    def _is_watcher(self) -> bool:
        place, members = self.options.place, self.core.members.list_all()
        return is_chosen(place.node, place.data_centre, members, "watch", WATCHERS)

    def _is_bridge(self) -> bool:
        place, members = self.options.place, self.core.members.list_all()
        return is_chosen(place.node, place.data_centre, members, "bridge", WATCHERS)

    def _is_sweeper(self) -> bool:
        owner = choose_owner(
            SWEPT_KEY, self.core.members.list_all(), self.options.platform_region
        )
        return owner is not None and owner.node == self.options.place.node

    def _forget_dead(self, member: Member) -> None:
        if member.state is MemberState.DEAD:
            self.core.balancer.forget(member.node)
            self._pool.forget(member.mesh_address)

    def _find_refusal(self) -> NotRunReason | None:
        if self.state is NodeState.LEAVING:
            return NotRunReason.LEAVING
        if self.state is not NodeState.READY or self.membership.paused:
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
        states: dict[str, int] = {}
        for member in core.members.list_all():
            name = member.state.name.lower()
            states[name] = states.get(name, 0) + 1
        return NodeStatus(
            place.node,
            place.service,
            place.data_centre,
            place.region,
            self.state.value,
            self.keeper.revision,
            self._clock.now() - self.keeper.adopted_at,
            self.keeper.fault,
            self._registry.reachable,
            core.admission.in_flight,
            core.admission.queued,
            core.admission.limit.value,
            core.admission.threshold,
            self.claims.unsettled,
            states,
            self._count_classes(),
            self._transport.sent_bytes,
            self._transport.received_bytes,
        )

    def _count_classes(self) -> dict[str, ClassStatus]:
        return {
            name: ClassStatus(
                counts.answered,
                counts.failed,
                dict(counts.not_run),
                dict(counts.unknown),
                counts.retries,
            )
            for name, counts in self.core.counters.classes.items()
        }

    def _export_histograms(self) -> list[HistogramExport]:
        return [
            HistogramExport(measure.value, kind, name, data.decode())
            for (measure, kind, name), data in self.core.histograms.export().items()
        ]
