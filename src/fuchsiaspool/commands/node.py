"""Run a node from its settings file."""

from gevent import monkey

monkey.patch_all()

import argparse
import logging
import signal
import sys
from pathlib import Path

import gevent

from ..logs import configure_logs
from ..node import Node
from ..options import read_options
from ..replay.trace import make_trace_writer
from ..results import Err
from ..runtime import tune_garbage_collector

_LOG = logging.getLogger(__name__)
EXIT_INVALID_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Read the settings, run the node until a stop signal, return the exit code."""
    parsed = _make_parser().parse_args(arguments)
    configure_logs(parsed.log_level)
    try:
        text = Path(parsed.settings).read_text()
    except OSError as error:
        print(f"{parsed.settings}: {error.strerror}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    options = read_options(parsed.settings, text)
    if isinstance(options, Err):
        print(options.error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if parsed.check:
        print(f"{parsed.settings}: ok")
        return 0
    if parsed.record is None:
        _run_until_stopped(Node(options.value))
        return 0
    with open(parsed.record, "wb", buffering=0) as file:
        _run_until_stopped(
            Node(options.value, make_trace_writer(file, options.value.place.node))
        )
    return 0


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-node",
        description="Admit the calls of one backend server and route those it makes.",
    )
    parser.add_argument("settings", help="INI file of this node")
    parser.add_argument("--check", action="store_true", help="check the file and exit")
    parser.add_argument(
        "--record", metavar="FILE", help="write a trace of what callers send"
    )
    parser.add_argument("--log-level", default="INFO", help="minimum level to log")
    return parser


def _run_until_stopped(node: Node) -> None:
    stop_signals = 0

    def handle_stop_signal() -> None:
        nonlocal stop_signals
        stop_signals += 1
        # The first signal stops gracefully; a later one aborts the calls in flight.
        gevent.spawn(node.stop if stop_signals == 1 else node.abort)

    gevent.signal_handler(signal.SIGTERM, handle_stop_signal)
    gevent.signal_handler(signal.SIGINT, handle_stop_signal)
    node.start()
    tune_garbage_collector()
    node.stopped.wait()
    _LOG.info("stopped")


if __name__ == "__main__":
    sys.exit(main())
