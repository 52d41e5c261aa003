"""Wrap messages in envelopes and hand received ones to whom they concern."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..addresses import Address, AddressError, parse_address
from ..ids import Revision
from ..member_records import Member, NodeLocation
from .messages import (
    Envelope,
    PeerMessage,
    PeerMessageError,
    decode_envelope,
    encode_envelope,
)

_LOG = logging.getLogger(__name__)

Handler = Callable[[Any, Envelope], None]


@dataclass(frozen=True, slots=True)
class Piggyback:
    """Offer what rides on every message."""

    collect_updates: Callable[[], list[Member]]
    receive_updates: Callable[[list[Member]], None]
    get_revision: Callable[[], Revision]
    receive_revision: Callable[[Revision, Address], None]


class PeerBus:
    """Send typed messages and dispatch received ones by their type."""

    def __init__(
        self,
        place: NodeLocation,
        own: Address,
        transmit: Callable[[Address, bytes], None],
    ) -> None:
        self._place = place
        self._own = own
        self._transmit = transmit
        self._handlers: dict[type, Handler] = {}
        self._piggyback: Piggyback | None = None

    def set_piggyback(self, piggyback: Piggyback) -> None:
        """Set what rides on every message."""
        self._piggyback = piggyback

    def register_handler(self, kind: type, handler: Handler) -> None:
        """Hand messages of one type to a function."""
        self._handlers[kind] = handler

    def send(self, address: Address, body: PeerMessage) -> None:
        """Send one message without waiting."""
        assert self._piggyback is not None
        envelope = Envelope(
            self._place.node,
            str(self._own),
            self._place.data_centre,
            self._piggyback.get_revision(),
            self._piggyback.collect_updates(),
            body,
        )
        self._transmit(address, encode_envelope(envelope))

    def receive(self, data: bytes) -> None:
        """Take in one message as it came."""
        assert self._piggyback is not None
        try:
            envelope = decode_envelope(data)
            sender = parse_address(envelope.address)
        except (PeerMessageError, AddressError) as error:
            _LOG.warning("peer message refused", extra={"detail": str(error)})
            return
        self._piggyback.receive_updates(envelope.updates)
        self._piggyback.receive_revision(envelope.revision, sender)
        handler = self._handlers.get(type(envelope.body))
        if handler is not None:
            handler(envelope.body, envelope)
