"""Bytes without end from one server, held in the node's memory up to its limit."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import TROUBLE, Requester, Server, make_route, run_case

# `limits.memoryMb` of the settings of a process on these machines.
MEMORY_MB = 300
# What the server writes a second on one connection, until its caller closes.
BYTES_PER_S = 4_000_000
ENDLESS_SHARE = 0.5
RATE_PER_S = 300
TROUBLE_S = 6.0


class FaultyServer(Server):
    """Send bytes without end in place of some answers, until the caller closes."""

    faulty = False
    endless = 0

    async def run(self, attempt, path, head, body, reader, writer):
        if not (self.faulty and TROUBLE and self.rng.random() < ENDLESS_SHARE):
            return await super().run(attempt, path, head, body, reader, writer)
        self.endless += 1
        self.record("server", self.instance, "begins bytes without end for", attempt)
        writer.write(self.answer_head(attempt, None))
        piece = b"\x5a" * (BYTES_PER_S // 50)
        try:
            while not writer.is_closing() and not reader.at_eof():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.02)
        except OSError:
            pass
        return False


async def play(fleet):
    rng = random.Random(6)
    servers = [
        Server(fleet, "desk", seed=1),
        FaultyServer(fleet, "pressroom", slots=112, work_s=0.09, seed=2),
        Server(fleet, "pressroom", slots=112, work_s=0.09, seed=3),
    ]
    faulty = servers[1]
    await fleet.start(servers, [make_route("proof", "pressroom", "download")])
    node = fleet.nodes[1]
    peak = 0.0
    killed = False

    async def enforce_memory():
        """Kill a process over `memoryMb`, as the platform does."""
        nonlocal peak, killed
        while not killed:
            peak = max(peak, node.read_rss_mb())
            if peak > MEMORY_MB:
                fleet.record.say(f"{node.name}: {peak:.0f} MB, over {MEMORY_MB}: killed")
                node.signal(signal.SIGKILL)
                killed = True
            await asyncio.sleep(0.02)

    fleet.tasks.append(asyncio.create_task(enforce_memory()))
    pending = set()

    async def download(number):
        requester = Requester(fleet, fleet.nodes[0 if number % 2 else 1], rng)
        await requester.attempt("GET", f"/proof/{number}", deadline_s=6.0)
        requester.close()

    async def send_for(seconds, first):
        for number in range(first, first + int(seconds * RATE_PER_S)):
            task = asyncio.create_task(download(number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / RATE_PER_S)

    await send_for(3, 0)
    before = peak
    faulty.faulty = True
    await send_for(TROUBLE_S, 10_000)
    faulty.faulty = False
    await send_for(2, 20_000)
    await asyncio.wait(pending, timeout=8) if pending else None
    lost = sum(status is None for status, _, _ in fleet.answers.values())
    fleet.record.say(
        f"attempts {len(fleet.answers)}, answers without end {faulty.endless};",
        f"memory of {node.name}: {before:.0f} MB before, at most {peak:.0f} MB;",
        f"requests without any answer {lost}",
    )
    return killed


run_case(__file__, play)
