"""Share the evidence of crashes among the nodes that a request may reach."""

import random
from collections.abc import Callable
from typing import Final

from ..addresses import Address, parse_address
from ..clock import Clock
from ..ids import Fingerprint, NodeId, ServerStart, ServiceName
from ..member_records import Member, MemberState
from ..peers.messages import Clearance, CrashEvidence, Envelope, ServerCrash
from .member_table import MemberTable
from .quarantine import Quarantine
from .subsets import choose_subset

EXCHANGE_PERIOD_SECONDS: Final = 1.0
EXCHANGE_PEERS: Final = 2
# A message may be lost while its connection is being opened.
REPEAT_SECONDS: Final = 0.3
# Successes of suspects within this time are told together.
CLEARANCE_DELAY_SECONDS: Final = 0.1


class EvidenceExchange:
    """Tell crashes at once to all, and all evidence to some peers each period.

    The peers are the nodes beside the services of one group: those that `find_group`
    returns for the local service.
    """

    def __init__(
        self,
        clock: Clock,
        quarantine: Quarantine,
        table: MemberTable,
        get_local_member: Callable[[], Member],
        rng: random.Random,
        send: Callable[[Address, CrashEvidence], None],
        find_group: Callable[[ServiceName], frozenset[ServiceName]],
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._table = table
        self._get_local_member = get_local_member
        self._rng = rng
        self._send = send
        self._find_group = find_group
        self._cleared: list[Clearance] = []

    def report_crash(self, start: ServerStart, requests: list[Fingerprint]) -> None:
        """Record a crash of the local server, and tell it to all peers."""
        at = self._clock.now()
        accused = self._quarantine.record_crash(start, requests)
        if not accused:
            return

        def tell() -> None:
            age = self._clock.now() - at
            self._send_to_all(CrashEvidence([ServerCrash(start, age, accused)], []))

        tell()
        self._clock.call_later(REPEAT_SECONDS, tell)

    def report_success(self, request: Fingerprint) -> None:
        """Clear a request, and tell that if it was accused."""
        if not self._quarantine.record_success(request):
            return
        if not self._cleared:
            self._clock.call_later(CLEARANCE_DELAY_SECONDS, self._tell_clearances)
        self._cleared.append(Clearance(request, 0.0))

    def tick(self) -> None:
        """Send all evidence to some peers, so that cut-off and new nodes get it too."""
        self._quarantine.forget_old()
        evidence = self._quarantine.collect_evidence()
        if not evidence.crashes and not evidence.cleared:
            return
        peers = self._list_peers()
        for member in self._rng.sample(peers, min(EXCHANGE_PEERS, len(peers))):
            self._send(parse_address(member.peers), evidence)

    def send_to(self, member: Member) -> None:
        """Send all evidence to a member that has just begun to take work."""
        evidence = self._quarantine.collect_evidence()
        if evidence.crashes and self._is_peer(member):
            self._send(parse_address(member.peers), evidence)

    def send_to_services(self, services: frozenset[ServiceName]) -> None:
        """Send all evidence to the nodes of services that have become peers."""
        evidence = self._quarantine.collect_evidence()
        for member in self._list_peers() if evidence.crashes else ():
            if member.service in services:
                self._send(parse_address(member.peers), evidence)

    def receive(self, message: CrashEvidence, envelope: Envelope) -> None:
        """Merge the evidence of a peer, whose configuration may be newer."""
        self._quarantine.merge(message)

    def is_trial_node(self, request: Fingerprint) -> bool:
        """Return whether rendezvous hashing assigns a request to this node."""
        local = self._get_local_member()
        members = [m for m in self._list_peers() if m.state is MemberState.ALIVE]
        chosen = choose_subset(NodeId(f"{request:016x}"), [*members, local], 1)
        return chosen[0].node == local.node

    def _tell_clearances(self) -> None:
        cleared, self._cleared = self._cleared, []
        self._send_to_all(CrashEvidence([], cleared))

    def _send_to_all(self, evidence: CrashEvidence) -> None:
        for member in self._list_peers():
            self._send(parse_address(member.peers), evidence)

    def _list_peers(self) -> list[Member]:
        return [member for member in self._table.list_all() if self._is_peer(member)]

    def _is_peer(self, member: Member) -> bool:
        local = self._get_local_member()
        return (
            member.service in self._find_group(local.service)
            and member.node != local.node
            and member.state is not MemberState.DEAD
        )
