"""Run one forwarding path, from the plainest to the node as shipped."""

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

LONG_SECONDS: Final = 30.0
POOL_SIZE: Final = 32
SERVICE: Final = ServiceName("quota")
OTHER: Final = ServiceName("lots")
NODE_PORTS: Final = 5


def run_server(own: Address, server: Address, platform: Address) -> None:
    """Answer at once, as the backend server of every rung."""
    plan = ServerPlan(slots=1000, service_time=0.0, answer_size=256)
    ServerStandin(own, plan).start()


def run_bottle(own: Address, server: Address, platform: Address) -> None:
    """Forward through bottle and a urllib3 pool."""
    pool = urllib3.HTTPConnectionPool(server.host, server.port, maxsize=POOL_SIZE)
    app = bottle.Bottle()

    def forward(path: str) -> bytes:
        answer = pool.request("GET", f"/{path}", retries=False)
        bottle.response.status = answer.status
        return answer.data

    app.get("/<path:path>", callback=forward)
    WSGIServer(listen(own), app, log=None).start()


def run_wsgi(own: Address, server: Address, platform: Address) -> None:
    """Forward through plain WSGI and a urllib3 pool."""
    pool = urllib3.HTTPConnectionPool(server.host, server.port, maxsize=POOL_SIZE)

    def forward(environ: dict[str, Any], start: Any) -> list[bytes]:
        answer = pool.request("GET", environ["PATH_INFO"], retries=False)
        length = str(len(answer.data))
        start(f"{answer.status} {answer.reason}", [("Content-Length", length)])
        return [answer.data]

    WSGIServer(listen(own), forward, log=None).start()


def run_parser(own: Address, server: Address, platform: Address) -> None:
    """Forward through the parser library on both sides, without any filter."""
    clock = SystemClock()
    send = make_call_sender(ConnectionPool(), clock)

    def handle(request: Request) -> Reply:
        head = request.head
        now = clock.now()
        call = Call(
            RequestId(""),
            CallerId(""),
            SERVICE,
            head.method,
            head.target.decode(),
            head.headers,
            request.body,
            now,
            now + LONG_SECONDS,
            RetryAllowance(0),
        )
        outcome = send(server, call, lambda: keep_end_to_end_headers(head.headers))
        return Reply(outcome, [], call.finish)

    HttpServer(own, handle).start()


def run_node(own: Address, server: Address, platform: Address) -> None:
    """Run the node of the server, as shipped."""
    _make_node(NodeId("one"), SERVICE, own, server, platform).start()


def run_far_node(own: Address, server: Address, platform: Address) -> None:
    """Run the node of another service, whose server calls through it."""
    node = _make_node(NodeId("two"), OTHER, own, server, platform)
    node.start()


def _make_node(
    name: NodeId,
    service: ServiceName,
    own: Address,
    server: Address,
    platform: Address,
) -> Node:
    mesh, egress, control, peers = (
        Address(own.host, own.port + offset) for offset in range(1, NODE_PORTS)
    )
    place = NodeLocation(name, service, DataCentre("north-1"), Region("north"))
    return Node(
        NodeOptions(place, own, mesh, egress, control, peers, server, platform, ())
    )


RUNGS: Final = {
    "server": run_server,
    "bottle": run_bottle,
    "wsgi": run_wsgi,
    "parser": run_parser,
    "node": run_node,
    "far-node": run_far_node,
}


def main() -> None:
    """Run the rung that the command line names, until killed."""
    random.seed(1)
    name, own, server, platform = sys.argv[1:5]
    RUNGS[name](parse_address(own), parse_address(server), parse_address(platform))
    tune_garbage_collector()
    gevent.wait()


if __name__ == "__main__":
    main()
