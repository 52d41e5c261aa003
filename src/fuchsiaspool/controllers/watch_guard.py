"""Notice within a fixed time that no member of the region watches the store.

Handles the pattern in which all watchers vanish without a word: they lose power, are
frozen or cut off, or restart. Suspicion between members is too slow for that, and stays
within a data centre.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..addresses import Address, parse_address
from ..clock import Clock, Waiter
from ..ids import NodeId
from ..member_records import Member
from ..peers.messages import Envelope, WatchQuery, WatchReport
from .subsets import hash_pair
from .watch_duty import WatchDuty

# Time that a watcher has to report. New connections are established within 0.3 s.
REPORT_TIMEOUT_SECONDS: Final = 0.35
# A check asks this often before the node reads the store by itself.
MAX_ROUNDS: Final = 3
# From the decision to read the store until a change is in force, on a new connection.
READ_SECONDS: Final = 0.6
# Bounds of the pause between checks, whatever the time allowed for a change.
MIN_PERIOD_SECONDS: Final = 0.25
MAX_PERIOD_SECONDS: Final = 2.0
# Members that wait for the report of a node that has just taken the duty.
MAX_AWAITING: Final = 256


def compute_period(propagation_seconds: float) -> float:
    """Return the seconds between checks, given the time allowed for a change."""
    detection = MAX_ROUNDS * REPORT_TIMEOUT_SECONDS
    period = propagation_seconds - detection - READ_SECONDS
    return min(MAX_PERIOD_SECONDS, max(MIN_PERIOD_SECONDS, period))


@dataclass(frozen=True, slots=True)
class GuardActions:
    """Collect the functions that connect a guard to its node.

    has_configuration: whether this node has a configuration, so that it has met peers
    is_watching: whether this node watches, and has asked the store since it took that
        duty
    review_duty: makes the watch check its duty at once
    read_store: reads the configuration once, although this node does not watch
    renew_connection: sends further messages to an address over a new connection
    """

    has_configuration: Callable[[], bool]
    is_watching: Callable[[], bool]
    review_duty: Callable[[], None]
    read_store: Callable[[], None]
    renew_connection: Callable[[Address], None]


class WatchGuard:
    """Ask a watcher regularly; without a report, appoint others or read the store."""

    def __init__(
        self,
        clock: Clock,
        get_local_member: Callable[[], Member],
        duty: WatchDuty,
        send: Callable[[Address, WatchQuery | WatchReport], None],
        actions: GuardActions,
        rng: random.Random,
    ) -> None:
        self.period = MAX_PERIOD_SECONDS
        self._clock = clock
        self._get_local_member = get_local_member
        self._duty = duty
        self._send = send
        self._actions = actions
        self._rng = rng
        self._sequence = 0
        self._report_waiter: Waiter | None = None
        # The latest query of each member that has no report yet.
        self._awaiting: dict[Address, int] = {}

    def run(self) -> None:
        """Check the watchers again and again; never return."""
        self._clock.sleep(self.period * self._rng.random())
        while True:
            # A node that starts reads the store anyway if no peer helps it.
            if self._actions.has_configuration():
                self.check()
            self._clock.sleep(self.period)

    def check(self) -> None:
        """Ask a watcher; if none reports, appoint others or read the store."""
        local = self._get_local_member()
        watchers = self._duty.list_watchers()
        others = [member for member in watchers if member.node != local.node]
        if not others or self._ask([_choose_watcher(local.node, others)]):
            return
        if len(others) < len(watchers):
            # This node watches. The first that can has to probe the store.
            if not self._ask(others, is_repeated=True):
                self._duty.record_silent(others[0].node)
                self._actions.review_duty()
            return
        if self._ask(others, is_repeated=True):
            return
        stand_ins = self._duty.list_stand_ins()
        if any(member.node == local.node for member in stand_ins):
            self._duty.stand_in()
            self._actions.review_duty()
            return
        if not self._ask([*others, *stand_ins], is_repeated=True, stand_in=True):
            self._actions.read_store()

    def receive_query(self, message: WatchQuery, envelope: Envelope) -> None:
        """Report that this node watches, now or as soon as it does."""
        address = parse_address(envelope.address)
        if message.is_repeated:
            self._actions.renew_connection(address)
        if message.stand_in:
            self._duty.stand_in()
        if self._actions.is_watching():
            self._send(address, WatchReport(message.sequence))
            return
        if address in self._awaiting or len(self._awaiting) < MAX_AWAITING:
            self._awaiting[address] = message.sequence
        if self._duty.is_assigned():
            self._actions.review_duty()

    def receive_report(self, message: WatchReport, envelope: Envelope) -> None:
        """End the wait for a report."""
        if message.sequence == self._sequence and self._report_waiter is not None:
            self._report_waiter.notify()

    def report_watching(self) -> None:
        """Tell the members that have asked that this node watches."""
        awaiting, self._awaiting = self._awaiting, {}
        for address, sequence in awaiting.items():
            self._send(address, WatchReport(sequence))

    def _ask(
        self, members: list[Member], is_repeated: bool = False, stand_in: bool = False
    ) -> bool:
        """Return whether any of the members reports in time."""
        self._sequence += 1
        waiter = self._report_waiter = self._clock.make_waiter()
        for member in members:
            address = parse_address(member.peers)
            if is_repeated:
                # The connection may be silent for good.
                self._actions.renew_connection(address)
            self._send(address, WatchQuery(self._sequence, is_repeated, stand_in))
        return waiter.wait(REPORT_TIMEOUT_SECONDS)


def _choose_watcher(node: NodeId, watchers: list[Member]) -> Member:
    """Return the watcher that a node asks, so that all together ask each as often."""
    return min(watchers, key=lambda member: hash_pair(node, member.node))
