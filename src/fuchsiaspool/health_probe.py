"""Ask a backend server who it is, for a node that starts beside a running one."""

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
# Taken for the slots of a server that does not tell them.
LEAST_SLOTS: Final = 16
_OK: Final = 200

Probe = Callable[[Address, str], ServerReport | None]


def make_health_probe(
    clock: Clock, interface: HttpInterface, service: ServiceName, send: SendCall
) -> Probe:
    """Return a function that asks the health path of a server at an address.

    The report it returns is older than any heartbeat, which replaces it; there is
    none where the server is not ready or does not say who it is.
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
        if not isinstance(answer, Answered) or answer.status != _OK:
            return None
        instance = find_header(answer.headers, interface.header_names.instance)
        if not instance:
            return None
        load = find_header(answer.headers, interface.header_names.load) or ""
        return ServerReport(
            InstanceId(instance),
            service,
            address,
            _read_slots(load),
            ServerState.READY,
            sequence=0,
            born=0,
        )

    return probe


def _read_slots(load: str) -> int:
    slots = load.rpartition(",")[2]
    return int(slots) if slots.isdigit() and int(slots) > 0 else LEAST_SLOTS
