"""A call that a server makes gets half an answer, as a whole one, once its requester left."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import TROUBLE, Requester, Server, make_route, run_case

# Requesters leave within half the objective (`targetLatencyS` 1.0) in `give_up`.
LEAVE_AFTER_S = 0.5
HALF_BYTES = 2_000
HALF_PAUSE_S = 0.8
GIVE_UP_SHARE = 0.3
RATE_PER_S = 10
SECONDS = 10


class CallingServer(Server):
    """Answer /part/ without a length in two halves; /whole/ after a call of /part/."""

    async def run(self, attempt, path, head, body, reader, writer):
        if path.startswith("/part/"):
            half = path.rpartition("/")[2].encode().ljust(HALF_BYTES, b".")
            self.fleet.bodies[attempt] = half + half
            writer.write(self.answer_head(attempt, None) + half)
            await writer.drain()
            await asyncio.sleep(HALF_PAUSE_S)
            writer.write(half)
            await writer.drain()
            return False
        # It goes on when its own requester has left, as some servers do.
        caller = Requester(self.fleet, self.node, self.rng)
        child = f"{attempt}.1"
        _, status, _ = await caller.attempt(
            "GET", f"/part/{attempt}", deadline_s=4.0, attempt=child
        )
        caller.close()
        data = f"used part {status}".encode()
        try:
            writer.write(self.answer_head(attempt, len(data)) + data)
            await writer.drain()
        except OSError:
            return False
        return True


async def play(fleet):
    rng = random.Random(10)
    fleet.bodies = {}
    servers = [CallingServer(fleet, "lexicon", slots=75, work_s=0.05, seed=2)]
    routes = [make_route("part", "lexicon"), make_route("whole", "lexicon")]
    await fleet.start(servers, routes)
    pending = set()

    async def send(number, leaves):
        requester = Requester(fleet, fleet.nodes[0], rng)
        deadline = LEAVE_AFTER_S if leaves else 4.0
        await requester.attempt("GET", f"/whole/{number}", deadline_s=deadline)
        requester.close()

    for number in range(RATE_PER_S * SECONDS):
        leaves = TROUBLE and rng.random() < GIVE_UP_SHARE
        task = asyncio.create_task(send(number, leaves))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.wait(pending, timeout=8)
    await asyncio.sleep(2)
    cut = [
        (attempt, len(data), len(fleet.bodies[attempt]))
        for attempt, (status, signed, data) in fleet.answers.items()
        if attempt in fleet.bodies and status == 200 and data != fleet.bodies[attempt]
    ]
    for attempt, got, whole in cut:
        fleet.record("MIXED: got", got, "of", whole, "bytes in a complete 200:", attempt)
    fleet.record.say(f"calls {len(fleet.bodies)}, cut answers that look complete: {len(cut)}")
    return bool(cut)


run_case(__file__, play)
