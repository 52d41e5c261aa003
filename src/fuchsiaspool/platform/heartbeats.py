"""Parse heartbeats of a backend server into reports."""

import msgspec

from ..addresses import AddressError, parse_address
from ..controllers.backend_server import ServerReport, ServerState
from ..decoding import DecodingError, make_json_decoder
from ..ids import InstanceId, ServiceName
from ..results import Err, Ok, Result
from .wire import StartTime, decode_heartbeat

_SERVER_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


class _Departure(msgspec.Struct, frozen=True):
    born: StartTime = 0


_decode_departure = make_json_decoder(_Departure)


def parse_heartbeat(instance: str, body: bytes) -> Result[ServerReport, str]:
    """Decode a heartbeat; the error says why it is invalid."""
    try:
        heartbeat = decode_heartbeat(body)
        address = parse_address(heartbeat.address)
    except (DecodingError, AddressError) as error:
        return Err(str(error))
    state = _SERVER_STATES.get(heartbeat.status.state)
    if state is None:
        return Err(f"unknown state {heartbeat.status.state!r}")
    return Ok(
        ServerReport(
            InstanceId(instance),
            ServiceName(heartbeat.node_info.service),
            address,
            heartbeat.node_info.slots,
            state,
            heartbeat.status.seq,
            heartbeat.born,
            heartbeat.status.cold_remaining,
        )
    )


def parse_departure(body: bytes) -> int:
    """Return when the leaving server started, in Unix ms, or 0 if not stated."""
    try:
        return _decode_departure(body).born if body else 0
    except DecodingError:
        return 0
