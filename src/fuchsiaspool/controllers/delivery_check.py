"""Ask other nodes whether the attempts that they leave unanswered have arrived.

Handles the pattern in which connections fall silent without a reset: what was sent into
one is neither read nor refused, and would be awaited until its deadline.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..addresses import Address, parse_address
from ..calls import Call
from ..clock import Clock
from ..member_records import Member
from ..outcomes import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from ..peers.messages import MAX_QUERIED_ATTEMPTS, AttemptQuery, AttemptReport, Envelope

_LOG = logging.getLogger(__name__)
CHECK_PERIOD_SECONDS: Final = 0.25
# Most calls are answered sooner than this.
QUERY_AGE_SECONDS: Final = 0.3
# Longest pause between queries that get no report, as from a node that is frozen.
MAX_QUERY_PAUSE_SECONDS: Final = 2.0
# Pause before the next query for an attempt that has arrived.
ARRIVED_PAUSE_SECONDS: Final = 1.0
# Time for an answer to arrive once its attempt is reported to have ended.
ANSWER_SECONDS: Final = 0.5

EndAttempt = Callable[[Outcome], None]


@dataclass(slots=True, eq=False)
class _SentAttempt:
    call: Call
    member: Member
    sent_at: float
    end: EndAttempt
    query_at: float
    # Since the last report about it.
    unanswered_queries: int = 0
    ended_at: float | None = None


class DeliveryCheck:
    """Track the attempts at other nodes, and end those that never arrived there.

    `close_idle` closes the idle connections to an address, as those may be silent too.
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Address, AttemptQuery], None],
        renew_connection: Callable[[Address], None],
        close_idle: Callable[[Address], None],
    ) -> None:
        self._clock = clock
        self._send = send
        self._renew_connection = renew_connection
        self._close_idle = close_idle
        self._sent: dict[int, _SentAttempt] = {}

    def track(self, call: Call, member: Member, end: EndAttempt) -> Callable[[], None]:
        """Record that a call is being sent; return a function to call at its answer.

        `end` ends the wait for the answer with an outcome.
        """
        if not call.attempt:
            return lambda: None
        now = self._clock.now()
        key = id(call)
        self._sent[key] = _SentAttempt(call, member, now, end, now + QUERY_AGE_SECONDS)
        return lambda: self._untrack(key)

    def tick(self) -> None:
        """Ask about the attempts that have waited for long."""
        now = self._clock.now()
        due_by_peer: dict[str, list[_SentAttempt]] = {}
        for sent in self._sent.values():
            if now >= sent.query_at:
                due_by_peer.setdefault(sent.member.peers, []).append(sent)
        for peer, due in due_by_peer.items():
            due = due[:MAX_QUERIED_ATTEMPTS]
            address = parse_address(peer)
            is_repeated = any(sent.unanswered_queries for sent in due)
            if is_repeated:
                # The connection for messages may be silent as well.
                self._renew_connection(address)
            for sent in due:
                sent.unanswered_queries += 1
                pause = CHECK_PERIOD_SECONDS * sent.unanswered_queries
                sent.query_at = now + min(pause, MAX_QUERY_PAUSE_SECONDS)
            attempts = [sent.call.attempt for sent in due]
            self._send(address, AttemptQuery(attempts, is_repeated))

    def receive_report(self, message: AttemptReport, envelope: Envelope) -> None:
        """End the attempts that never arrived, or whose answer must be lost."""
        now = self._clock.now()
        asked, absent = set(message.attempts), set(message.absent)
        ended = set(message.ended)
        never_arrived, lost = [], []
        for sent in self._sent.values():
            attempt = sent.call.attempt
            if sent.member.node != envelope.sender or attempt not in asked:
                continue
            if message.known_seconds <= now - sent.sent_at:
                # The node may have forgotten it, or have restarted since.
                continue
            if attempt in absent:
                never_arrived.append(sent)
                continue
            sent.unanswered_queries = 0
            sent.query_at = now + ARRIVED_PAUSE_SECONDS
            if attempt in ended and self._is_answer_lost(sent, now):
                lost.append(sent)
        if not never_arrived and not lost:
            return
        _LOG.info(
            "silent connection",
            extra={
                "peer": envelope.sender,
                "not_received": [sent.call.request for sent in never_arrived],
                "answers_lost": [sent.call.request for sent in lost],
            },
        )
        for sent in never_arrived:
            self._end(sent, NotRun(NotRunReason.NOT_RECEIVED, "silent connection"))
        for sent in lost:
            self._end(sent, Unknown(UnknownReason.RESET, "silent connection"))

    def _is_answer_lost(self, sent: _SentAttempt, now: float) -> bool:
        sent.query_at = now + ANSWER_SECONDS
        if sent.ended_at is None:
            sent.ended_at = now
            return False
        # A call that may not be repeated gains nothing by an earlier end.
        return sent.call.idempotent and now - sent.ended_at >= ANSWER_SECONDS

    def _end(self, sent: _SentAttempt, outcome: Outcome) -> None:
        self._untrack(id(sent.call))
        self._close_idle(sent.member.mesh_address)
        sent.end(outcome)

    def _untrack(self, key: int) -> None:
        self._sent.pop(key, None)
