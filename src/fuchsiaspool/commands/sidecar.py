"""Run a node on the platform from the settings file that the platform fills in."""

from gevent import monkey

# What the store's client and the pages need; each further module takes start time.
monkey.patch_time()
monkey.patch_thread()
monkey.patch_socket()

import argparse
import logging
import os
import signal
import sys
from pathlib import Path
from typing import NoReturn

import gevent

from ..logs import configure_queued_logs
from ..options import PlatformOptions, read_platform_options
from ..results import Err
from ..runtime import tune_garbage_collector
from ..sidecar import Sidecar

_LOG = logging.getLogger(__name__)
EXIT_SETTINGS = 2
SETTINGS_VARIABLE = "FUCHSIASPOOL_NODE_FILE"
LEVEL_VARIABLE = "FUCHSIASPOOL_LOG_LEVEL"
# How often the settings file is looked at, should it change without a signal.
LOOK_SECONDS = 2.0


def main(arguments: list[str] | None = None) -> int:
    """Check the settings, run until told to stop, and return the exit code."""
    parsed = _make_parser().parse_args(arguments)
    path = Path(parsed.settings)
    options = _read(path)
    if isinstance(options, str):
        print(options, file=sys.stderr)
        return EXIT_SETTINGS
    if parsed.check:
        print(f"{path}: ok")
        return 0
    return _run(path, options, parsed.log_level)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-sidecar",
        description="Admit the calls of one backend server on the platform.",
    )
    parser.add_argument(
        "settings",
        nargs="?",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        help=f"INI file that places this node (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument("--check", action="store_true", help="check and exit")
    parser.add_argument(
        "--log-level",
        default=os.environ.get(LEVEL_VARIABLE, "INFO"),
        help="least level to log",
    )
    return parser


def _read(path: Path) -> PlatformOptions | str:
    try:
        text = path.read_text()
    except OSError as error:
        return f"{path}: {error.strerror}"
    options = read_platform_options(str(path), text)
    return str(options.error) if isinstance(options, Err) else options.value


def _run(path: Path, options: PlatformOptions, level: str) -> NoReturn:
    handler = configure_queued_logs(level, sys.stdout.fileno(), options.place.node)
    gevent.spawn(handler.run)
    node = Sidecar(options)
    known = path.read_bytes()

    def reload() -> None:
        nonlocal known
        known = path.read_bytes()
        found = _read(path)
        if isinstance(found, str):
            _LOG.error("settings not reloaded", extra={"detail": found})
            return
        node.reload(found)

    def look() -> None:
        while True:
            gevent.sleep(LOOK_SECONDS)
            if path.read_bytes() != known:
                reload()

    gevent.signal_handler(signal.SIGTERM, gevent.spawn, node.stop)
    gevent.signal_handler(signal.SIGINT, gevent.spawn, node.stop)
    gevent.signal_handler(signal.SIGHUP, gevent.spawn, reload)
    node.start()
    gevent.spawn(look)
    tune_garbage_collector()
    node.stopped.wait()
    handler.write_remaining()
    # The grace may be all but over: unwinding the interpreter and the peers' library
    # takes time, and leaves nothing that the system does not close at once.
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
