"""Remember which attempts other nodes have sent here, and answer questions about them.

Handles the pattern in which a connection between two nodes falls silent: the calling
node can't tell an attempt that waits or runs here from one that never arrived.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ..addresses import Address, parse_address
from ..clock import Clock
from ..peers.messages import AttemptQuery, AttemptReport, Envelope

# Longer than most calls take; nothing is reported about older ones.
REMEMBERED_SECONDS: Final = 15.0
MAX_REMEMBERED_ATTEMPTS: Final = 20_000


@dataclass(slots=True)
class _ReceivedAttempt:
    received_at: float
    ended: bool = False


class ReceivedAttempts:
    """Record the attempts of the last seconds, and report which never arrived.

    `withdraw` makes attempts end as not run if they arrive later, and
    `renew_connection` sends further messages to an address over a new connection.
    """

    def __init__(
        self,
        clock: Clock,
        withdraw: Callable[[Iterable[str]], None],
        send: Callable[[Address, AttemptReport], None],
        renew_connection: Callable[[Address], None],
    ) -> None:
        self._clock = clock
        self._withdraw = withdraw
        self._send = send
        self._renew_connection = renew_connection
        self._attempts: OrderedDict[str, _ReceivedAttempt] = OrderedDict()
        # Every attempt that was received since then is known.
        self._complete_since = clock.now()

    def begin(self, attempt: str) -> Callable[[], None]:
        """Record that an attempt has arrived; return a function to record its end."""
        now = self._clock.now()
        received = self._attempts[attempt] = _ReceivedAttempt(now)
        self._attempts.move_to_end(attempt)
        self._forget_old(now)

        def end() -> None:
            received.ended = True

        return end

    def receive_query(self, message: AttemptQuery, envelope: Envelope) -> None:
        """Report which attempts have ended, and refuse those that never arrived."""
        absent, ended = [], []
        for attempt in message.attempts:
            received = self._attempts.get(attempt)
            if received is None:
                absent.append(attempt)
            elif received.ended:
                ended.append(attempt)
        if absent:
            self._withdraw(absent)
        address = parse_address(envelope.address)
        if message.is_repeated:
            self._renew_connection(address)
        known_seconds = self._clock.now() - self._complete_since
        self._send(
            address, AttemptReport(message.attempts, absent, ended, known_seconds)
        )

    def _forget_old(self, now: float) -> None:
        while self._attempts:
            oldest = next(iter(self._attempts.values()))
            is_full = len(self._attempts) > MAX_REMEMBERED_ATTEMPTS
            if now - oldest.received_at <= REMEMBERED_SECONDS and not is_full:
                return
            self._attempts.popitem(last=False)
            self._complete_since = max(self._complete_since, oldest.received_at)
