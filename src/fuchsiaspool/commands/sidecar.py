"""Run a node on the platform from the settings file that the platform writes."""

import signal

# By default a reload would end a process that is still starting. One that is missed is
# made up for, as the settings file is compared once the node runs.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey

# Only the modules that the store client and the HTTP endpoints need: patching more
# modules lengthens the start.
monkey.patch_time()
monkey.patch_thread()
monkey.patch_socket()

import argparse
import dataclasses
import logging
import os
import sys
from pathlib import Path
from typing import NoReturn

import gevent

from ..logs import configure_queued_logs
from ..options import (
    DEFAULT_MEMORY_MB,
    DEFAULT_PROPAGATION_SECONDS,
    PlatformOptions,
    read_platform_options,
)
from ..results import Err
from ..runtime import tune_garbage_collector
from ..sidecar import Sidecar

_LOG = logging.getLogger(__name__)
EXIT_INVALID_SETTINGS = 2
SETTINGS_PATH_VARIABLE = "FUCHSIASPOOL_NODE_FILE"
LOG_LEVEL_VARIABLE = "FUCHSIASPOOL_LOG_LEVEL"
# Finds changes of the settings file that come without SIGHUP.
SETTINGS_POLL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Collect the options that are not in the settings file; see `PlatformOptions`."""

    propagation: float
    memory_mb: float


def main(arguments: list[str] | None = None) -> int:
    """Read the settings, run the node until a stop signal, return the exit code."""
    parsed = _make_parser().parse_args(arguments)
    path = Path(parsed.settings)
    limits = ProcessLimits(parsed.propagation_seconds, parsed.memory_mb)
    try:
        content = path.read_bytes()
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    options = _parse_options(path, content, limits)
    if isinstance(options, str):
        print(options, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if parsed.check:
        print(f"{path}: ok")
        return 0
    return _run_until_stopped(path, content, options, limits, parsed.log_level)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fuchsiaspool-sidecar",
        description="Admit the calls of one backend server on the platform.",
    )
    parser.add_argument(
        "settings",
        nargs="?",
        default=os.environ.get(SETTINGS_PATH_VARIABLE, ""),
        help=f"INI file of this node (default: ${SETTINGS_PATH_VARIABLE})",
    )
    parser.add_argument("--check", action="store_true", help="check the file and exit")
    parser.add_argument(
        "--log-level",
        default=os.environ.get(LOG_LEVEL_VARIABLE, "INFO"),
        help="minimum level to log",
    )
    parser.add_argument(
        "--propagation-seconds",
        type=float,
        default=DEFAULT_PROPAGATION_SECONDS,
        help="time within which a new configuration has to be in force everywhere",
    )
    parser.add_argument(
        "--memory-mb",
        type=float,
        default=DEFAULT_MEMORY_MB,
        help="memory at which the platform ends the process",
    )
    return parser


def _parse_options(
    path: Path, content: bytes, limits: ProcessLimits
) -> PlatformOptions | str:
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        return f"{path}: {error}"
    options = read_platform_options(str(path), text)
    if isinstance(options, Err):
        return str(options.error)
    return dataclasses.replace(
        options.value, propagation=limits.propagation, memory_mb=limits.memory_mb
    )


def _read_content(path: Path) -> bytes:
    # The file may be missing for a moment while it is replaced.
    try:
        return path.read_bytes()
    except OSError:
        return b""


def _run_until_stopped(
    path: Path,
    last_content: bytes,
    options: PlatformOptions,
    limits: ProcessLimits,
    level: str,
) -> NoReturn:
    log_handler = configure_queued_logs(level, sys.stdout.fileno(), options.place.node)
    gevent.spawn(log_handler.run)
    node = Sidecar(options)

    def reload_settings() -> None:
        nonlocal last_content
        last_content = _read_content(path)
        reloaded = _parse_options(path, last_content, limits)
        if isinstance(reloaded, str):
            _LOG.error("settings not reloaded", extra={"detail": reloaded})
            return
        node.reload(reloaded)

    def poll_settings_file() -> None:
        while True:
            gevent.sleep(SETTINGS_POLL_SECONDS)
            if _read_content(path) != last_content:
                reload_settings()

    gevent.signal_handler(signal.SIGTERM, gevent.spawn, node.stop)
    gevent.signal_handler(signal.SIGINT, gevent.spawn, node.stop)
    gevent.signal_handler(signal.SIGHUP, gevent.spawn, reload_settings)
    node.start()
    gevent.spawn(poll_settings_file)
    tune_garbage_collector()
    node.stopped.wait()
    log_handler.write_remaining()
    # The grace period may be nearly over: shutting down the interpreter and pynng
    # takes time, and the operating system closes everything anyway.
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
