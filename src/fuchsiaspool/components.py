"""Build the controllers and transports of one node."""

import functools
import random
from collections.abc import Callable
from typing import Final

from .calls import Filter
from .chains import CoreDependencies, build_core
from .clock import SystemClock
from .controllers.anti_entropy import AntiEntropy, is_assigned, list_alive_nodes
from .controllers.contexts import CallContexts
from .controllers.membership import Membership
from .controllers.registry import Registry
from .controllers.settings import SettingsReplica
from .controllers.store_contact import StoreContact
from .controllers.store_era import StoreEra
from .filters.claim import make_claim_filter
from .filters.trace_recording import make_trace_recording_filter
from .http.client import ConnectionPool, make_call_sender
from .ids import Incarnation
from .local_dispatch import make_local_dispatch
from .member_records import Member, MemberState
from .mesh import make_peer_sender
from .operations.answers import make_answer_store
from .operations.claims import ClaimManager
from .operations.commits import GroupCommitter, make_nonce
from .operations.ownership import ShardCommitRouter, choose_owner
from .operations.shard_sweeper import SWEEP_MARK_KEY
from .operations.wiring import register_operation_handlers
from .options import NodeOptions
from .outcomes import NotRunReason
from .peers.bus import PeerBus
from .peers.transport import PeerTransport
from .peers.wiring import register_member_handlers
from .platform.client import make_platform_store, make_unavailable_store
from .settings.tree import build_policy
from .settings_watch import SettingsWatch
from .trace_lines import RequestLine

# Number of nodes of each data centre that watch the settings, and of those that sync
# with other data centres.
NODES_PER_DUTY: Final = 2
_MILLISECONDS_PER_SECOND: Final = 1000

FindRejectionReason = Callable[[], NotRunReason | None]
WriteTrace = Callable[[RequestLine], None]


class NodeComponents:
    """Build and connect the controllers and transports of one node."""

    def __init__(
        self,
        options: NodeOptions,
        find_rejection_reason: FindRejectionReason,
        write_trace: WriteTrace | None,
    ) -> None:
        self.options = options
        self.clock = SystemClock()
        self.rng = random.Random(f"{options.place.node}{self.clock.wall()}")
        self._find_rejection_reason = find_rejection_reason
        self._write_trace = write_trace
        self._build_peers()
        self._build_store()
        self._build_operations()
        self._build_core()
        self._build_membership()

    def is_watcher(self) -> bool:
        """Return whether this node is to watch the settings."""
        return self._is_assigned("watch")

    def is_bridge(self) -> bool:
        """Return whether this node is to sync with other data centres."""
        return self._is_assigned("bridge")

    def _is_assigned(self, duty: str) -> bool:
        location, members = self.options.place, self.core.members.list_all()
        alive = list_alive_nodes(members, location.data_centre)
        return is_assigned(location.node, alive, duty, NODES_PER_DUTY)

    def is_sweeper(self) -> bool:
        """Return whether this node is to delete expired shards of operations."""
        owner = choose_owner(
            SWEEP_MARK_KEY, self.core.members.list_all(), self.options.platform_region
        )
        return owner is not None and owner.node == self.options.place.node

    def _remove_dead(self, member: Member) -> None:
        if member.state is MemberState.DEAD:
            self.core.balancer.remove_node(member.node)
            self.pool.close_idle(member.mesh_address)

    def _build_peers(self) -> None:
        options = self.options
        self.bus = PeerBus(
            options.place,
            options.peers,
            lambda address, data: self.transport.send(address, data),
        )
        self.transport = PeerTransport(
            options.peers, functools.partial(self.clock.tasks.run, self.bus.receive)
        )

    def _build_store(self) -> None:
        address = self.options.platform
        self.store_era = StoreEra()
        self.store_contact = StoreContact(self.clock)
        if address is None:
            self.store = make_unavailable_store()
        else:
            self.store = make_platform_store(
                address, self.clock, self.rng, observe_era=self.store_era.observe
            )

    def _build_operations(self) -> None:
        node = self.options.place.node
        committer = GroupCommitter(self.clock, node, self.store)
        self.store_era.add_listener(committer.handle_restore)
        self._commit_router = ShardCommitRouter(
            self.clock,
            node,
            committer,
            lambda: self.core.members.list_all(),
            self.bus.send,
            self.options.platform_region,
        )
        self.claims = ClaimManager(
            self.clock,
            node,
            self._commit_router.commit,
            make_nonce,
            make_answer_store(self.clock, self.store),
        )

    def _build_core(self) -> None:
        options = self.options
        self.pool = ConnectionPool()
        self.contexts = CallContexts(options.place.node)
        send = make_call_sender(self.pool, self.clock)
        dependencies = CoreDependencies(
            self.clock,
            options.place,
            self.rng,
            make_local_dispatch(self.clock, options.server, send, self.contexts),
            make_peer_sender(self.clock, send),
            self._find_rejection_reason,
            make_claim_filter(self.clock, self.claims),
            self._make_recording_filter(),
        )
        self.core = build_core(dependencies)
        self.settings_replica = SettingsReplica(
            self.clock, build_policy, self.core.policies.put, self.bus.send
        )

    def _make_recording_filter(self) -> Filter | None:
        if self._write_trace is None:
            return None
        return make_trace_recording_filter(
            self.clock, self.options.place, self._write_trace
        )

    def _build_membership(self) -> None:
        options, core = self.options, self.core
        location = options.place
        local_member = Member(
            location.node,
            location.service,
            location.data_centre,
            location.region,
            str(options.mesh),
            str(options.peers),
            Incarnation(int(self.clock.wall() * _MILLISECONDS_PER_SECOND)),
        )
        send = self.bus.send
        self.membership = Membership(
            self.clock, local_member, core.members, self.rng, send
        )
        self.anti_entropy = AntiEntropy(
            lambda: self.membership.local_member, core.members, self.rng, send
        )
        self.registry = Registry(
            self.clock,
            self.store,
            core.members,
            lambda: self.membership.local_member,
            get_era=lambda: self.store_era.current,
        )
        self.watch = SettingsWatch(
            self.clock,
            self.store,
            self.settings_replica,
            self.is_watcher,
            self.rng,
            self.store_era,
            make_nonce,
        )
        core.policies.add_listener(lambda policy: self.membership.push_gossip())
        core.members.add_listener(self._remove_dead)
        register_member_handlers(
            self.bus,
            self.membership,
            self.anti_entropy,
            self.settings_replica,
            self.store_era,
            self.store_contact,
        )
        register_operation_handlers(self.bus, self._commit_router)
