"""Show one overload without and with the layer and check the guarantees.

The run with the layer also includes a platform outage, a settings change, a crash of
a node with its server and a planned stop of a node.
"""

from gevent import monkey

monkey.patch_all()

import logging
import sys
from collections import Counter
from typing import Final

import gevent

from .demo_fleet import (
    ANSWER_BYTES,
    CRITICAL_SHAPE,
    DATA_CENTRES,
    REQUEST_SHAPES,
    RETRY_ALLOWANCE,
    SERVER_SLOTS,
    SERVICE_CHAIN,
    DemoFleet,
    PortAllocator,
    apply_settings,
    await_revision,
    make_server_plan,
    make_settings_texts,
    start_fleet,
)
from .ids import NodeId, ServiceName, SubtreePath, TeamName
from .load_generator import LoadPlan, LoadReport, OpenLoadGenerator
from .node import Node
from .standins.platform import PlatformStandin
from .standins.server import ChildCall, ServerStandin

BASE_PORT: Final = 21_000
NORMAL_REQUESTS_PER_SECOND: Final = 20.0
OVERLOAD_FACTOR: Final = 6.0
PHASE_SECONDS: Final = (3, 7, 7)
RECOVERED_GOODPUT_SHARE: Final = 0.9
MIN_CRITICAL_WHOLE_SHARE: Final = 0.9


def main() -> int:
    """Run both parts, print the comparison, return 1 if a guarantee was broken."""
    logging.disable(logging.CRITICAL)
    print("1/2 the overload without the layer (callers resend three times)", flush=True)
    report_without_layer, runs_without_layer = _run_without_layer(
        PortAllocator(BASE_PORT)
    )
    print("2/2 the same overload with the layer, and four faults", flush=True)
    failures, report_with_layer, runs_with_layer = _run_with_layer(
        PortAllocator(BASE_PORT + 100)
    )
    _print_comparison(
        report_without_layer, runs_without_layer, report_with_layer, runs_with_layer
    )
    for failure in failures:
        print(f"BROKEN: {failure}")
    print("promises kept" if not failures else f"{len(failures)} promises broken")
    return 1 if failures else 0


def _run_without_layer(ports: PortAllocator) -> tuple[LoadReport, int]:
    fleet = DemoFleet()
    for _ in DATA_CENTRES:
        downstream: ServerStandin | None = None
        for service in reversed(SERVICE_CHAIN):
            server = ServerStandin(
                ports.take(), make_server_plan(service, queues_calls=True)
            )
            if downstream is not None:
                next_service = ServiceName(
                    SERVICE_CHAIN[SERVICE_CHAIN.index(service) + 1]
                )
                child = ChildCall(next_service, "/quota/7", downstream.address)
                server.plan.children = (child,)
            server.start()
            fleet.servers.append(server)
            downstream = server
        assert downstream is not None
        fleet.entry_addresses.append(downstream.address)
    report = _send_load(fleet, resends=3)
    for server in fleet.servers:
        server.stop()
    return report, sum(server.record.started for server in fleet.servers)


def _run_with_layer(ports: PortAllocator) -> tuple[list[str], LoadReport, int]:
    platform = PlatformStandin(ports.take())
    platform.start()
    fleet = start_fleet(ports, platform)
    failures = apply_settings(platform, make_settings_texts(), TeamName("platform"))
    failures += await_revision(fleet, 1)
    events = gevent.spawn(_inject_faults, fleet, platform)
    report = _send_load(fleet, resends=0)
    failures += events.get()
    for node in fleet.nodes:
        failures += _check_retries(node)
        gevent.spawn(node.stop)
    failures += _check_report(report, fleet)
    server_runs = sum(server.record.started for server in fleet.servers)
    gevent.joinall([gevent.spawn(n.stopped.wait, 5) for n in fleet.nodes])
    return failures, report, server_runs


def _send_load(fleet: DemoFleet, resends: int) -> LoadReport:
    plan = LoadPlan(
        fleet.entry_addresses,
        REQUEST_SHAPES,
        NORMAL_REQUESTS_PER_SECOND,
        float(sum(PHASE_SECONDS)),
        caller_resends=resends,
    )
    generator = OpenLoadGenerator(plan, ANSWER_BYTES, lambda: fleet.entry_addresses)
    gevent.spawn(_vary_rate, generator)
    return generator.run()


def _vary_rate(generator: OpenLoadGenerator) -> None:
    for seconds, factor in zip(PHASE_SECONDS, (1.0, OVERLOAD_FACTOR, 1.0), strict=True):
        generator.rate = NORMAL_REQUESTS_PER_SECOND * factor
        print(f"  {generator.rate:.0f} requests/s for {seconds} s", flush=True)
        gevent.sleep(seconds)


def _inject_faults(fleet: DemoFleet, platform: PlatformStandin) -> list[str]:
    gevent.sleep(4)
    print("  the platform goes down for 4 s", flush=True)
    platform.faults.down = True
    gevent.sleep(4)
    platform.faults.down = False
    gevent.sleep(1)
    print("  a team changes its settings", flush=True)
    new_texts = {
        SubtreePath("agency/lots"): make_settings_texts(SERVER_SLOTS + 1)[
            SubtreePath("agency/lots")
        ]
    }
    failures = apply_settings(platform, new_texts, TeamName("lots"))
    failures += await_revision(fleet, 2)
    gevent.sleep(1)
    print("  the node and server of archive in north-1 crash", flush=True)
    crashed_index = _find_node_index(fleet, "archive-north-1")
    fleet.nodes[crashed_index].abort()
    fleet.servers[crashed_index].kill()
    gevent.sleep(2)
    print("  lots in south-1 stops as planned", flush=True)
    stopping_node = fleet.nodes[_find_node_index(fleet, "lots-south-1")]
    stopping_node.stop()
    if stopping_node.cut_off_calls:
        failures.append(f"planned stop cut off {stopping_node.cut_off_calls} calls")
    return failures


def _find_node_index(fleet: DemoFleet, node_id: str) -> int:
    node_ids = [node.options.place.node for node in fleet.nodes]
    return node_ids.index(NodeId(node_id))


def _check_retries(node: Node) -> list[str]:
    failures = []
    for class_name, counts in node.core.counters.counts_by_class.items():
        if counts.most_retries > RETRY_ALLOWANCE:
            failures.append(
                f"{class_name}: {counts.most_retries} retries for one request"
            )
    return failures


def _check_report(report: LoadReport, fleet: DemoFleet) -> list[str]:
    failures = []
    runs_by_key: Counter[str] = Counter()
    # Protected operations run on the servers of the first service in the chain.
    for server in fleet.servers[:: len(SERVICE_CHAIN)]:
        runs_by_key.update(server.record.idempotency_keys)
    keys_run_twice = [key for key, count in runs_by_key.items() if count > 1]
    if keys_run_twice:
        failures.append(f"{len(keys_run_twice)} protected operations ran twice")
    ran_after_rejection = [key for key in report.rejected_keys if key in runs_by_key]
    if ran_after_rejection:
        failures.append(
            f"{len(ran_after_rejection)} operations ran though their caller "
            "was told not"
        )
    if report.wrong_size_answers:
        failures.append(f"{report.wrong_size_answers} answers were not whole")
    whole_share = report.whole[CRITICAL_SHAPE] / max(1, report.offered[CRITICAL_SHAPE])
    if whole_share < MIN_CRITICAL_WHOLE_SHARE:
        failures.append(f"{CRITICAL_SHAPE}: only {whole_share:.0%} answered")
    if _measure_recovery(report) is None:
        failures.append("goodput did not recover")
    return failures


def _measure_recovery(report: LoadReport) -> int | None:
    overload_end = PHASE_SECONDS[0] + PHASE_SECONDS[1]
    for second in range(overload_end, sum(PHASE_SECONDS)):
        offered = report.offered_by_second[second]
        if report.whole_by_second[second] >= RECOVERED_GOODPUT_SHARE * offered:
            return second - overload_end
    return None


def _print_comparison(
    without_layer: LoadReport,
    runs_without_layer: int,
    with_layer: LoadReport,
    runs_with_layer: int,
) -> None:
    print(f"{'':34}{'without':>10}{'with':>10}")
    rows: list[tuple[str, ...]] = []
    for shape in REQUEST_SHAPES:
        cells = [
            f"{report.whole[shape.name]}/{report.offered[shape.name]}"
            for report in (without_layer, with_layer)
        ]
        rows.append((f"{shape.name} whole/offered", *cells))
    for label, measure in (
        ("goodput of whole requests", lambda r: sum(r.whole.values())),
        ("told not run (shed)", lambda r: sum(r.shed.values())),
        ("failed or given up", lambda r: sum(r.failed.values())),
        ("recovery in s", _measure_recovery),
    ):
        rows.append((label, str(measure(without_layer)), str(measure(with_layer))))
    rows.append(
        (
            "server runs per whole request",
            f"{runs_without_layer / max(1, sum(without_layer.whole.values())):.1f}",
            f"{runs_with_layer / max(1, sum(with_layer.whole.values())):.1f}",
        )
    )
    for label, left, right in rows:
        print(f"{label:34}{left:>10}{right:>10}")


if __name__ == "__main__":
    sys.exit(main())
