"""Probe the health path of a backend server, for a node that starts beside one."""

from collections.abc import Callable
from typing import Final

from .addresses import Address
from .bodies import Body
from .calls import Call
from .clock import Clock
from .controllers.backend_server import ServerReport, ServerState
from .http.client import SendCall
from .http.messages import find_header
from .http_interface import HttpInterface
from .ids import CallerId, InstanceId, RequestId, ServiceName
from .outcomes import Answered
from .retry_allowance import RetryAllowance

PROBE_TIMEOUT_SECONDS: Final = 1.0
# Used when the server reports no slots.
DEFAULT_SLOTS: Final = 16
_OK_STATUS: Final = 200

HealthProbe = Callable[[Address, str], ServerReport | None]


def make_health_probe(
    clock: Clock, interface: HttpInterface, service: ServiceName, send: SendCall
) -> HealthProbe:
    """Return a function that probes the health path of the server at an address.

    It returns a report that every heartbeat supersedes, or `None` if the server is not
    ready or its answer has no instance id.
    """

    def probe(address: Address, path: str) -> ServerReport | None:
        now = clock.now()
        call = Call(
            RequestId("probe"),
            CallerId(service),
            service,
            "GET",
            path,
            [],
            Body(),
            now,
            now + PROBE_TIMEOUT_SECONDS,
            RetryAllowance(0),
        )
        answer = send(address, call, lambda: [(b"host", str(address).encode())])
        call.finish(False)
        if not isinstance(answer, Answered) or answer.status != _OK_STATUS:
            return None
        instance = find_header(answer.headers, interface.header_names.instance)
        if not instance:
            return None
        load = find_header(answer.headers, interface.header_names.load) or ""
        return ServerReport(
            InstanceId(instance),
            service,
            address,
            _parse_slots(load),
            ServerState.READY,
            sequence=0,
            born=0,
        )

    return probe


def _parse_slots(load: str) -> int:
    slots = load.rpartition(",")[2]
    return int(slots) if slots.isdigit() and int(slots) > 0 else DEFAULT_SLOTS
