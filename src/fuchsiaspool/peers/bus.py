"""Wrap messages in envelopes and dispatch received ones to their handlers."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..addresses import Address, AddressError, parse_address
from ..ids import Era, Revision
from ..member_records import Member, NodeLocation
from .messages import (
    Envelope,
    PeerMessage,
    PeerMessageError,
    decode_envelope,
    encode_envelope,
)

_LOG = logging.getLogger(__name__)

MessageHandler = Callable[[Any, Envelope], None]


@dataclass(frozen=True, slots=True)
class Piggyback:
    """Provide the gossip that is piggybacked on every message, and receive it."""

    collect_updates: Callable[[], list[Member]]
    receive_updates: Callable[[list[Member]], None]
    get_revision: Callable[[], Revision]
    receive_revision: Callable[[Revision, Address], None]
    get_store_era: Callable[[], Era]
    receive_store_era: Callable[[Era], None]
    get_contact_age: Callable[[], float]
    receive_contact_age: Callable[[float], None]


class PeerBus:
    """Send typed messages and dispatch received ones by their type."""

    def __init__(
        self,
        location: NodeLocation,
        local_address: Address,
        transmit: Callable[[Address, bytes], None],
    ) -> None:
        self._location = location
        self._local_address = local_address
        self._transmit = transmit
        self._handlers: dict[type, MessageHandler] = {}
        self._piggyback: Piggyback | None = None

    def set_piggyback(self, piggyback: Piggyback) -> None:
        """Set the source and receiver of piggybacked gossip."""
        self._piggyback = piggyback

    def register_handler(self, message_type: type, handler: MessageHandler) -> None:
        """Register the handler of messages of one type."""
        self._handlers[message_type] = handler

    def send(self, address: Address, body: PeerMessage) -> None:
        """Send one message without waiting for its delivery."""
        assert self._piggyback is not None
        envelope = Envelope(
            self._location.node,
            str(self._local_address),
            self._location.data_centre,
            self._piggyback.get_revision(),
            self._piggyback.collect_updates(),
            body,
            self._piggyback.get_store_era(),
            self._piggyback.get_contact_age(),
        )
        self._transmit(address, encode_envelope(envelope))

    def receive(self, data: bytes) -> None:
        """Decode one message and pass it to its handler."""
        assert self._piggyback is not None
        try:
            envelope = decode_envelope(data)
            sender = parse_address(envelope.address)
        except (PeerMessageError, AddressError) as error:
            _LOG.warning("peer message refused", extra={"detail": str(error)})
            return
        self._piggyback.receive_updates(envelope.updates)
        self._piggyback.receive_revision(envelope.revision, sender)
        self._piggyback.receive_store_era(envelope.store_era)
        self._piggyback.receive_contact_age(envelope.contact_age)
        handler = self._handlers.get(type(envelope.body))
        if handler is not None:
            handler(envelope.body, envelope)
