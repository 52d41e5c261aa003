"""Show one overload without the layer and with it, and check the promises."""

from gevent import monkey

monkey.patch_all()

import logging
import sys
from collections import Counter
from typing import Final

import gevent

from .ids import NodeId, ServiceName, SubtreePath, TeamName
from .load_generator import LoadPlan, LoadReport, OpenLoadGenerator
from .node import Node
from .sites import (
    ANSWER_SIZE,
    CENTRES,
    CHAIN,
    CRITICAL,
    RETRIES,
    SHAPES,
    SLOTS,
    Ports,
    Site,
    apply_settings,
    await_revision,
    make_plan,
    make_texts,
    start_nodes,
)
from .standins.platform import PlatformStandin
from .standins.server import ChildCall, ServerStandin

FIRST_PORT: Final = 21_000
NORMAL_RATE: Final = 20.0
OVERLOAD: Final = 6.0
PHASES: Final = (3, 7, 7)
RECOVERED_SHARE: Final = 0.9
CRITICAL_FLOOR: Final = 0.9


def main() -> int:
    """Run both halves, print the table, and return 1 if a promise was broken."""
    logging.disable(logging.CRITICAL)
    print("1/2 the overload without the layer (clients retry three times)", flush=True)
    bare, bare_started = _run_bare(Ports(FIRST_PORT))
    print("2/2 the same overload with the layer, and four faults", flush=True)
    faults, layered, started = _run_layered(Ports(FIRST_PORT + 100))
    _print_table(bare, bare_started, layered, started)
    for fault in faults:
        print(f"BROKEN: {fault}")
    print("promises kept" if not faults else f"{len(faults)} promises broken")
    return 1 if faults else 0


def _run_bare(ports: Ports) -> tuple[LoadReport, int]:
    site = Site()
    for _ in CENTRES:
        below: ServerStandin | None = None
        for name in reversed(CHAIN):
            server = ServerStandin(ports.take(), make_plan(name, waits=True))
            if below is not None:
                following = ServiceName(CHAIN[CHAIN.index(name) + 1])
                child = ChildCall(following, "/quota/7", below.address)
                server.plan.children = (child,)
            server.start()
            site.servers.append(server)
            below = server
        assert below is not None
        site.entries.append(below.address)
    report = _apply_load(site, retries=3)
    for server in site.servers:
        server.stop()
    return report, sum(server.record.started for server in site.servers)


def _run_layered(ports: Ports) -> tuple[list[str], LoadReport, int]:
    platform = PlatformStandin(ports.take())
    platform.start()
    site = start_nodes(ports, platform)
    faults = apply_settings(platform, make_texts(), TeamName("platform"))
    faults += await_revision(site, 1)
    events = gevent.spawn(_cause_events, site, platform)
    report = _apply_load(site, retries=0)
    faults += events.get()
    for node in site.nodes:
        faults += _check_node(node)
        gevent.spawn(node.stop)
    faults += _check_report(report, site)
    started = sum(server.record.started for server in site.servers)
    gevent.joinall([gevent.spawn(n.stopped.wait, 5) for n in site.nodes])
    return faults, report, started


def _apply_load(site: Site, retries: int) -> LoadReport:
    plan = LoadPlan(
        site.entries, SHAPES, NORMAL_RATE, float(sum(PHASES)), caller_resends=retries
    )
    load = OpenLoadGenerator(plan, ANSWER_SIZE, lambda: site.entries)
    gevent.spawn(_vary_rate, load)
    return load.run()


def _vary_rate(load: OpenLoadGenerator) -> None:
    for seconds, rate in zip(PHASES, (1.0, OVERLOAD, 1.0), strict=True):
        load.rate = NORMAL_RATE * rate
        print(f"  {load.rate:.0f} requests/s for {seconds} s", flush=True)
        gevent.sleep(seconds)


def _cause_events(site: Site, platform: PlatformStandin) -> list[str]:
    gevent.sleep(4)
    print("  the platform goes down for 4 s", flush=True)
    platform.faults.down = True
    gevent.sleep(4)
    platform.faults.down = False
    gevent.sleep(1)
    print("  a team changes its settings", flush=True)
    change = {
        SubtreePath("agency/lots"): make_texts(SLOTS + 1)[SubtreePath("agency/lots")]
    }
    faults = apply_settings(platform, change, TeamName("lots"))
    faults += await_revision(site, 2)
    gevent.sleep(1)
    print("  the node and server of archive in north-1 crash", flush=True)
    crashed = _find(site, "archive-north-1")
    site.nodes[crashed].abort()
    site.servers[crashed].kill()
    gevent.sleep(2)
    print("  lots in south-1 stops as planned", flush=True)
    leaving = site.nodes[_find(site, "lots-south-1")]
    leaving.stop()
    if leaving.cut_off_calls:
        faults.append(f"planned stop cut off {leaving.cut_off_calls} calls")
    return faults


def _find(site: Site, name: str) -> int:
    names = [node.options.place.node for node in site.nodes]
    return names.index(NodeId(name))


def _check_node(node: Node) -> list[str]:
    faults = []
    for name, counts in node.core.counters.counts_by_class.items():
        if counts.most_retries > RETRIES:
            faults.append(f"{name}: {counts.most_retries} retries for one request")
    return faults


def _check_report(report: LoadReport, site: Site) -> list[str]:
    faults = []
    runs: Counter[str] = Counter()
    for server in site.servers[:: len(CHAIN)]:
        runs.update(server.record.idempotency_keys)
    doubled = [key for key, count in runs.items() if count > 1]
    if doubled:
        faults.append(f"{len(doubled)} protected operations ran twice")
    lied = [key for key in report.rejected_keys if key in runs]
    if lied:
        faults.append(f"{len(lied)} operations ran though their caller was told not")
    if report.wrong_size_answers:
        faults.append(f"{report.wrong_size_answers} answers were not whole")
    share = report.whole[CRITICAL] / max(1, report.offered[CRITICAL])
    if share < CRITICAL_FLOOR:
        faults.append(f"{CRITICAL}: only {share:.0%} answered")
    if _measure_recovery(report) is None:
        faults.append("goodput did not recover")
    return faults


def _measure_recovery(report: LoadReport) -> int | None:
    end = PHASES[0] + PHASES[1]
    for second in range(end, sum(PHASES)):
        offered = report.offered_by_second[second]
        if report.whole_by_second[second] >= RECOVERED_SHARE * offered:
            return second - end
    return None


def _print_table(
    bare: LoadReport, bare_started: int, layered: LoadReport, started: int
) -> None:
    print(f"{'':34}{'without':>10}{'with':>10}")
    rows: list[tuple[str, ...]] = []
    for shape in SHAPES:
        cells = [
            f"{report.whole[shape.name]}/{report.offered[shape.name]}"
            for report in (bare, layered)
        ]
        rows.append((f"{shape.name} whole/offered", *cells))
    for label, pick in (
        ("goodput of whole requests", lambda r: sum(r.whole.values())),
        ("told not run (shed)", lambda r: sum(r.shed.values())),
        ("failed or given up", lambda r: sum(r.failed.values())),
        ("recovery in s", _measure_recovery),
    ):
        rows.append((label, str(pick(bare)), str(pick(layered))))
    rows.append(
        (
            "server runs per whole request",
            f"{bare_started / max(1, sum(bare.whole.values())):.1f}",
            f"{started / max(1, sum(layered.whole.values())):.1f}",
        )
    )
    for label, left, right in rows:
        print(f"{label:34}{left:>10}{right:>10}")


if __name__ == "__main__":
    sys.exit(main())
