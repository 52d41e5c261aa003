"""Inspect nodes and drain them."""

import argparse
import sys
from typing import Any, Final, TypeVar

import msgspec
import urllib3
from hdrh.histogram import HdrHistogram
from urllib3.exceptions import HTTPError

from ..addresses import Address
from ..clock import SystemClock
from ..control import HistogramExport, NodeStatus, QuarantineStatus
from ..plots import draw_bars, format_table
from .exits import ExitCode

REQUEST_TIMEOUT_SECONDS: Final = 3.0
DRAIN_TIMEOUT_SECONDS: Final = 60.0
POLL_INTERVAL_SECONDS: Final = 0.5
HTTP_OK: Final = 200

T = TypeVar("T")


def fetch_control_page(
    node: Address, path: str, kind: type[T], method: str = "GET"
) -> T | None:
    """Read one control page; return `None` after printing the error to stderr."""
    url = f"http://{node}{path}"
    try:
        answer = urllib3.request(
            method, url, timeout=REQUEST_TIMEOUT_SECONDS, retries=False
        )
    except HTTPError as error:
        print(f"{node}: unreachable: {error}", file=sys.stderr)
        return None
    if answer.status != HTTP_OK:
        print(f"{node}: status {answer.status}", file=sys.stderr)
        return None
    try:
        return msgspec.json.decode(answer.data, type=kind)
    except msgspec.DecodeError as error:
        print(f"{node}: not a valid answer of a node: {error}", file=sys.stderr)
        return None


def fetch_status(node: Address) -> NodeStatus | None:
    """Read the status of a node."""
    return fetch_control_page(node, "/status", NodeStatus)


def show_status(options: argparse.Namespace) -> int:
    """Print the status of each node."""
    code = ExitCode.DONE
    for node in options.node:
        status = fetch_status(node)
        if status is None:
            code = ExitCode.UNREACHABLE
            continue
        if options.json:
            print(msgspec.json.encode(status).decode())
        else:
            _print_status(status)
    return code


def show_quarantine(options: argparse.Namespace) -> int:
    """Print the requests that nodes on the platform refuse, with the crashes."""
    code = ExitCode.DONE
    for node in options.node:
        refused = fetch_control_page(node, "/quarantine", list[QuarantineStatus])
        if refused is None:
            code = ExitCode.UNREACHABLE
            continue
        if options.json:
            print(msgspec.json.encode(refused).decode())
            continue
        print(f"{node}: {len(refused)} requests refused")
        for request in refused:
            print(f"  {request.fingerprint}")
            for start, seconds in request.crashes.items():
                print(f"    {start} crashed {seconds:.1f} s ago")
    return code


def show_histograms(options: argparse.Namespace) -> int:
    """Print latency histograms, merged over the nodes that answered."""
    code = ExitCode.DONE
    merged: dict[str, Any] = {}
    for node in options.node:
        exports = fetch_control_page(node, "/histograms", list[HistogramExport])
        if exports is None:
            code = ExitCode.UNREACHABLE
            continue
        for export in exports:
            if export.kind == options.kind:
                _merge_histogram(merged, export)
    if options.json:
        encoded = {name: h.encode().decode() for name, h in sorted(merged.items())}
        print(msgspec.json.encode(encoded).decode())
        return code
    rows = sorted(merged.items())
    for line in format_table(rows):
        print(line)
    for name, histogram in rows if options.plot else ():
        for line in draw_bars(name, histogram):
            print(line)
    return code


def drain_nodes(options: argparse.Namespace) -> int:
    """Drain nodes and wait until no calls are in flight."""
    code = ExitCode.DONE
    for node in options.node:
        status = fetch_control_page(node, "/drain", NodeStatus, "POST")
        if status is None:
            code = ExitCode.UNREACHABLE
            continue
        remaining = _await_drained(node, status)
        if options.json:
            print(msgspec.json.encode({"node": str(node), "left": remaining}).decode())
        else:
            print(
                f"{node}: "
                f"{'drained' if not remaining else f'{remaining} still in flight'}"
            )
        if remaining:
            code = ExitCode.DIFFERENT
    return code


def _await_drained(node: Address, status: NodeStatus) -> int:
    clock = SystemClock()
    deadline = clock.now() + DRAIN_TIMEOUT_SECONDS
    while clock.now() < deadline:
        remaining = status.in_flight + status.queued
        print(f"{node}: {remaining} in flight", file=sys.stderr)
        clock.sleep(POLL_INTERVAL_SECONDS)
        if not remaining:
            return 0
        latest = fetch_status(node)
        if latest is None:
            # The node has stopped, which it does only with no calls in flight.
            return 0
        status = latest
    return status.in_flight + status.queued


def _merge_histogram(merged: dict[str, Any], export: HistogramExport) -> None:
    name = f"{export.measure} {export.name}"
    histogram = HdrHistogram.decode(export.encoded.encode())
    if name in merged:
        merged[name].add(histogram)
    else:
        merged[name] = histogram


def _print_status(status: NodeStatus) -> None:
    reachable = "reachable" if status.platform_reachable else "unreachable"
    print(
        f"{status.node} ({status.service}, {status.data_centre}): {status.state}, "
        f"platform {reachable}"
    )
    print(
        f"  settings revision {status.revision}, in force for "
        f"{status.settings_age:.0f} s"
    )
    if status.settings_fault:
        print(f"  settings not adopted: {status.settings_fault}")
    print(
        f"  in flight {status.in_flight} of {status.limit:.0f}, "
        f"queued {status.queued}, sheds above rank {status.threshold:.2f}"
    )
    members = ", ".join(f"{n} {s}" for s, n in sorted(status.members.items()))
    print(f"  members: {members}; operations to settle: {status.unsettled_operations}")
    for name, counts in sorted(status.classes.items()):
        refused = ", ".join(f"{n} {r}" for r, n in sorted(counts.not_run.items()))
        unknown = ", ".join(f"{n} {r}" for r, n in sorted(counts.unknown.items()))
        print(
            f"  {name}: answered {counts.answered}, failed {counts.failed}, "
            f"not run {refused or 0}, unknown {unknown or 0}, retries {counts.retries}"
        )
