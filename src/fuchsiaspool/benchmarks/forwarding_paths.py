"""Run one process of a forwarding path, from a minimal proxy to the whole node."""

from gevent import monkey

monkey.patch_all()

import random
import sys
from typing import Any, Final

import bottle
import gevent
import urllib3
from gevent.pywsgi import WSGIServer

from ..addresses import Address, parse_address
from ..calls import Call
from ..clock import SystemClock
from ..http.client import ConnectionPool, make_call_sender
from ..http.listeners import listen
from ..http.messages import keep_end_to_end_headers
from ..http.server import HttpServer, Reply, Request
from ..ids import CallerId, DataCentre, NodeId, Region, RequestId, ServiceName
from ..member_records import NodeLocation
from ..node import Node
from ..options import NodeOptions
from ..retry_allowance import RetryAllowance
from ..runtime import tune_garbage_collector
from ..standins.server import ServerPlan, ServerStandin

CALL_TIMEOUT_SECONDS: Final = 30.0
POOL_SIZE: Final = 32
CALLED_SERVICE: Final = ServiceName("quota")
CALLING_SERVICE: Final = ServiceName("lots")
PORTS_PER_NODE: Final = 5


def run_server(address: Address, server: Address, platform: Address) -> None:
    """Run the backend server of every path, which answers at once."""
    plan = ServerPlan(slots=1000, service_time=0.0, answer_size=256)
    ServerStandin(address, plan).start()


def run_bottle(address: Address, server: Address, platform: Address) -> None:
    """Forward through bottle and a urllib3 pool."""
    pool = urllib3.HTTPConnectionPool(server.host, server.port, maxsize=POOL_SIZE)
    app = bottle.Bottle()

    def forward(path: str) -> bytes:
        answer = pool.request("GET", f"/{path}", retries=False)
        bottle.response.status = answer.status
        return answer.data

    app.get("/<path:path>", callback=forward)
    WSGIServer(listen(address), app, log=None).start()


def run_wsgi(address: Address, server: Address, platform: Address) -> None:
    """Forward through plain WSGI and a urllib3 pool."""
    pool = urllib3.HTTPConnectionPool(server.host, server.port, maxsize=POOL_SIZE)

    def forward(environ: dict[str, Any], start: Any) -> list[bytes]:
        answer = pool.request("GET", environ["PATH_INFO"], retries=False)
        length = str(len(answer.data))
        start(f"{answer.status} {answer.reason}", [("Content-Length", length)])
        return [answer.data]

    WSGIServer(listen(address), forward, log=None).start()


def run_parser(address: Address, server: Address, platform: Address) -> None:
    """Forward with the node's HTTP server and client, without any filter."""
    clock = SystemClock()
    send = make_call_sender(ConnectionPool(), clock)

    def handle(request: Request) -> Reply:
        head = request.head
        now = clock.now()
        call = Call(
            RequestId(""),
            CallerId(""),
            CALLED_SERVICE,
            head.method,
            head.target.decode(),
            head.headers,
            request.body,
            now,
            now + CALL_TIMEOUT_SECONDS,
            RetryAllowance(0),
        )
        outcome = send(server, call, lambda: keep_end_to_end_headers(head.headers))
        return Reply(outcome, [], call.finish)

    HttpServer(address, handle).start()


def run_node(address: Address, server: Address, platform: Address) -> None:
    """Run the node beside the backend server."""
    _make_node(NodeId("one"), CALLED_SERVICE, address, server, platform).start()


def run_calling_node(address: Address, server: Address, platform: Address) -> None:
    """Run the node of another service, whose server makes the calls."""
    node = _make_node(NodeId("two"), CALLING_SERVICE, address, server, platform)
    node.start()


def _make_node(
    node_id: NodeId,
    service: ServiceName,
    address: Address,
    server: Address,
    platform: Address,
) -> Node:
    mesh, egress, control, peers = (
        Address(address.host, address.port + offset)
        for offset in range(1, PORTS_PER_NODE)
    )
    location = NodeLocation(node_id, service, DataCentre("north-1"), Region("north"))
    return Node(
        NodeOptions(
            location, address, mesh, egress, control, peers, server, platform, ()
        )
    )


PROCESSES: Final = {
    "server": run_server,
    "bottle": run_bottle,
    "wsgi": run_wsgi,
    "parser": run_parser,
    "node": run_node,
    "calling-node": run_calling_node,
}


def main() -> None:
    """Run the process that the command line names, until killed."""
    random.seed(1)
    name, address, server, platform = sys.argv[1:5]
    PROCESSES[name](
        parse_address(address), parse_address(server), parse_address(platform)
    )
    tune_garbage_collector()
    gevent.wait()


if __name__ == "__main__":
    main()
