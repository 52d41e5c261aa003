"""Build the controllers and transports of one node."""

import random
from collections.abc import Callable
from typing import Final

from .calls import Filter
from .chains import CoreParts, build_core
from .clock import SystemClock
from .controllers.bridging import Bridging, is_chosen, list_alive
from .controllers.contexts import Contexts
from .controllers.membership import Membership
from .controllers.registry import Registry
from .controllers.settings import SettingsKeeper
from .dispatch import make_dispatch
from .filters.claim import make_claim
from .filters.recording import make_recording
from .http.client import Pool, make_send
from .ids import Incarnation
from .member_records import Member, MemberState
from .mesh import make_remote
from .operations.answers import make_answer_store
from .operations.claims import Claims
from .operations.commits import GroupCommitter, make_nonce
from .operations.ownership import ShardOwners, choose_owner
from .operations.sweeping import SWEPT_KEY
from .operations.wiring import wire_operations
from .options import NodeOptions
from .outcomes import NotRunReason
from .peers.bus import PeerBus
from .peers.transport import PeerTransport
from .peers.wiring import wire_members
from .platform.client import make_no_platform, make_platform
from .settings.tree import build_policy
from .trace_lines import RequestLine
from .watching import SettingsWatch

# Nodes of a data centre that watch the settings, and that sync with other data centres.
WATCHERS: Final = 2
_MILLI: Final = 1000

FindRefusal = Callable[[], NotRunReason | None]
WriteTrace = Callable[[RequestLine], None]


class NodeParts:
    """Build and connect the controllers and transports of one node."""

    def __init__(
        self,
        options: NodeOptions,
        find_refusal: FindRefusal,
        write_trace: WriteTrace | None,
    ) -> None:
        self.options = options
        self.clock = SystemClock()
        self.chance = random.Random(f"{options.place.node}{self.clock.wall()}")
        self._find_refusal = find_refusal
        self._write_trace = write_trace
        self._build_peers()
        self._build_platform()
        self._build_operations()
        self._build_core()
        self._build_membership()

    def is_watcher(self) -> bool:
        """Return whether this node is to watch the settings."""
        return self._is_chosen("watch")

    def is_bridge(self) -> bool:
        """Return whether this node is to sync with other data centres."""
        return self._is_chosen("bridge")

    def _is_chosen(self, duty: str) -> bool:
        place, members = self.options.place, self.core.members.list_all()
        near = list_alive(members, place.data_centre)
        return is_chosen(place.node, near, duty, WATCHERS)

    def is_sweeper(self) -> bool:
        """Return whether this node is to delete expired shards of operations."""
        owner = choose_owner(
            SWEPT_KEY, self.core.members.list_all(), self.options.platform_region
        )
        return owner is not None and owner.node == self.options.place.node

    def _forget_dead(self, member: Member) -> None:
        if member.state is MemberState.DEAD:
            self.core.balancer.forget(member.node)
            self.pool.forget(member.mesh_address)

    def _build_peers(self) -> None:
        options = self.options
        self.bus = PeerBus(
            options.place,
            options.peers,
            lambda address, data: self.transport.send(address, data),
        )
        self.transport = PeerTransport(options.peers, self.bus.receive)

    def _build_platform(self) -> None:
        address = self.options.platform
        if address is None:
            self.platform = make_no_platform()
        else:
            self.platform = make_platform(address, self.clock, self.chance)

    def _build_operations(self) -> None:
        node = self.options.place.node
        committer = GroupCommitter(self.clock, node, self.platform)
        self._owners = ShardOwners(
            self.clock,
            node,
            committer,
            lambda: self.core.members.list_all(),
            self.bus.send,
            self.options.platform_region,
        )
        self.claims = Claims(
            self.clock,
            node,
            self._owners.commit,
            make_nonce,
            make_answer_store(self.clock, self.platform),
        )

    def _build_core(self) -> None:
        options = self.options
        self.pool = Pool()
        self.contexts = Contexts(options.place.node)
        send = make_send(self.pool, self.clock)
        parts = CoreParts(
            self.clock,
            options.place,
            self.chance,
            make_dispatch(self.clock, options.server, send, self.contexts),
            make_remote(self.clock, send),
            self._find_refusal,
            make_claim(self.clock, self.claims),
            self._make_recording(),
        )
        self.core = build_core(parts)
        self.keeper = SettingsKeeper(
            self.clock, build_policy, self.core.policies.put, self.bus.send
        )

    def _make_recording(self) -> Filter | None:
        if self._write_trace is None:
            return None
        return make_recording(self.clock, self.options.place, self._write_trace)

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
            Incarnation(int(self.clock.wall() * _MILLI)),
        )
        send = self.bus.send
        self.membership = Membership(self.clock, own, core.members, self.chance, send)
        self.bridging = Bridging(
            lambda: self.membership.own, core.members, self.chance, send
        )
        self.registry = Registry(
            self.clock, self.platform, core.members, lambda: self.membership.own
        )
        self.watch = SettingsWatch(
            self.clock, self.platform, self.keeper, self.is_watcher, self.chance
        )
        core.policies.listen(lambda policy: self.membership.push_news())
        core.members.listen(self._forget_dead)
        wire_members(self.bus, self.membership, self.bridging, self.keeper)
        wire_operations(self.bus, self._owners)
