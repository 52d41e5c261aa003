"""A server leaves by DELETE soon after the node beside it was stopped and started."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import BOUNDS, TROUBLE, CouldNotRun, Requester, Server, call_http, make_route, run_case

DRAIN_S = 2.5
STABILITY_WINDOW_S = 4.0
# "It continues serving for `drainS` after the ack and a little longer (at times many
# seconds)"; the site's day holds such a server for 16 s.
STAYS_S = 14.0
RATE_PER_S = 40


class LeavingServer(Server):
    """A server that leaves by DELETE, without a report that it is draining."""

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.probed = asyncio.Event()
        self.arrivals = []
        self.leaving = False

    async def _handle(self, head, body, reader, writer):
        if head.first.split()[1] != "/health":
            self.arrivals.append(time.monotonic())
            return await super()._handle(head, body, reader, writer)
        self.record("server", self.instance, "answers a health check")
        if self.leaving:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return True
        kept = await super()._handle(head, body, reader, writer)
        self.probed.set()
        return kept

    async def leave(self):
        """Say that it is gone; return when that was acknowledged."""
        self.leaving = True
        status, _ = await call_http(
            self.node.ports["controlPlane"], "DELETE", f"/-/instances/{self.instance}",
            {"born": self.born}, timeout=1.0,
        )
        self.record.say(f"DELETE of {self.instance}: answered {status}")
        if status // 100 != 2:
            raise CouldNotRun("the DELETE was not acknowledged")
        return time.monotonic()


async def play(fleet):
    rng = random.Random(7)
    servers = [
        Server(fleet, "desk", seed=1),
        LeavingServer(fleet, "lexicon", slots=75, work_s=0.05, seed=2),
        Server(fleet, "lexicon", slots=75, work_s=0.05, seed=3),
    ]
    leaver = servers[1]
    await fleet.start(servers, [make_route("lookup", "lexicon")])
    node = fleet.nodes[1]
    reports = fleet.tasks[1]
    pending = set()
    going = True

    async def send():
        number = 0
        while going:
            number += 1
            requester = Requester(fleet, fleet.nodes[0], rng)

            async def lookup(requester=requester, number=number):
                await requester.attempt("GET", f"/lookup/{number}", deadline_s=3.0)
                requester.close()

            task = asyncio.create_task(lookup())
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / RATE_PER_S)

    sender = asyncio.create_task(send())
    await asyncio.sleep(2)
    in_touch_at = 0.0
    if TROUBLE:
        # Planned: the node is stopped and started again on its own.
        fleet.record.say("SIGTERM of", node.name)
        node.signal(signal.SIGTERM)
        await asyncio.to_thread(node.process.wait, BOUNDS["gracePeriodS"])
        leaver.probed.clear()
        node.start()
        in_touch_at = time.monotonic() + STABILITY_WINDOW_S
        fleet.record.say("start of", node.name)
        # The server's reports fail while the node is down. The node asks for its health.
        reports.cancel()
        reports = asyncio.create_task(report_when_up(leaver, node))
        fleet.tasks.append(reports)
        await asyncio.wait_for(leaver.probed.wait(), 20)
        await asyncio.sleep(0.2)
    reports.cancel()
    acknowledged_at = await leaver.leave()
    await asyncio.sleep(STAYS_S)
    leaver._server.close()
    going = False
    await sender
    await asyncio.wait(pending, timeout=5) if pending else None
    # By machines in touch only, and later than drainS after the ack.
    bound = max(acknowledged_at + DRAIN_S, in_touch_at)
    late = [at - acknowledged_at for at in leaver.arrivals if at > bound]
    fleet.record.say(
        f"requests that reached {leaver.instance} later than {DRAIN_S} s after the ack,",
        f"by machines in touch: {len(late)}",
        f"({late[0]:.2f} to {late[-1]:.2f} s after it)" if late else "",
    )
    return bool(late)


async def report_when_up(server, node):
    """Go on with reports at their times; one that fails is sent again at the next."""
    await asyncio.sleep(1.5)
    while True:
        await server.report()
        await asyncio.sleep(1.5)


run_case(__file__, play)
