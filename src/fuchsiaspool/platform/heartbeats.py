"""Translate a backend server's heartbeats into reports."""

import msgspec

from ..addresses import AddressError, parse_address
from ..controllers.backend_server import ServerReport, ServerState
from ..ids import InstanceId, ServiceName
from ..results import Err, Ok, Result
from .wire import decode_beat

_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


class _Departure(msgspec.Struct, frozen=True):
    born: int = 0


_decode_departure = msgspec.json.Decoder(_Departure).decode


def parse_heartbeat(instance: str, body: bytes) -> Result[ServerReport, str]:
    """Decode a heartbeat; the error says what can't be used."""
    try:
        beat = decode_beat(body)
        address = parse_address(beat.address)
    except (msgspec.DecodeError, AddressError, ValueError) as error:
        return Err(str(error))
    state = _STATES.get(beat.status.state)
    if state is None:
        return Err(f"unknown state {beat.status.state!r}")
    return Ok(
        ServerReport(
            InstanceId(instance),
            ServiceName(beat.node_info.service),
            address,
            beat.node_info.slots,
            state,
            beat.status.seq,
            beat.born,
            beat.status.cold_remaining,
        )
    )


def parse_departure(body: bytes) -> int:
    """Return the Unix millisecond of the leaving server's start, 0 if not told."""
    try:
        return _decode_departure(body).born if body else 0
    except msgspec.DecodeError:
        return 0
