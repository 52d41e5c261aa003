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
from ..replay.trace import make_writer
from ..results import Err
from ..runtime import tune_garbage_collector

_LOG = logging.getLogger(__name__)
EXIT_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Check the settings, run until told to stop, and return the exit code."""
    parsed = _make_parser().parse_args(arguments)
    configure_logs(parsed.log_level)
    try:
        text = Path(parsed.settings).read_text()
    except OSError as error:
        print(f"{parsed.settings}: {error.strerror}", file=sys.stderr)
        return EXIT_SETTINGS
    options = read_options(parsed.settings, text)
    if isinstance(options, Err):
        print(options.error, file=sys.stderr)
        return EXIT_SETTINGS
    if parsed.check:
        print(f"{parsed.settings}: ok")
        return 0
    if parsed.record is None:
        _run(Node(options.value))
        return 0
    with open(parsed.record, "wb", buffering=0) as file:
        _run(Node(options.value, make_writer(file, options.value.place.node)))
    return 0


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-node",
        description="Admit the calls of one backend server and route those it makes.",
    )
    parser.add_argument("settings", help="INI file that places this node")
    parser.add_argument("--check", action="store_true", help="check and exit")
    parser.add_argument(
        "--record", metavar="FILE", help="write a trace of what callers ask"
    )
    parser.add_argument("--log-level", default="INFO", help="least level to log")
    return parser


def _run(node: Node) -> None:
    stops = 0

    def stop() -> None:
        nonlocal stops
        stops += 1
        # The first signal stops gracefully; a second one cuts off what is left.
        gevent.spawn(node.stop if stops == 1 else node.abort)

    gevent.signal_handler(signal.SIGTERM, stop)
    gevent.signal_handler(signal.SIGINT, stop)
    node.start()
    tune_garbage_collector()
    node.stopped.wait()
    _LOG.info("stopped")


if __name__ == "__main__":
    sys.exit(main())
