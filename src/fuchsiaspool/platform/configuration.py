"""Translate the operators' configuration into a route table."""

import re
from collections.abc import Mapping
from typing import Final

from ..decoding import DecodingError
from ..ids import Revision, RouteName, ServiceName, SubtreePath
from ..results import Err, Ok, Result
from ..routes import (
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    WeightedService,
    sort_routes,
)
from .objects import ObjectKey
from .wire import (
    Configuration,
    PathEntry,
    decode_configuration,
    decode_configuration_version,
)

CONFIGURATION_KEY: Final = ObjectKey("config/main")
CONFIGURATION_PATH: Final = SubtreePath("config/main")
_VERSION_BASE: Final = 16
# Longer versions do not fit the messages between nodes.
_VERSION_PATTERN: Final = re.compile(r"[0-9a-fA-F]{1,15}")

_ROUTE_KINDS: Final = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "download": RouteKind.DOWNLOAD,
}


def read_revision(value: bytes) -> Result[Revision, str]:
    """Return the number by which the operator orders configurations.

    The revision of the stored object is no such order: a store that was restored gives
    revisions out again.
    """
    try:
        return _parse_version(decode_configuration_version(value).version)
    except DecodingError as error:
        return Err(str(error))


def build_routes(
    revision: Revision, texts: Mapping[SubtreePath, str]
) -> Result[RouteTable, str]:
    """Compile a configuration; the error says why it is invalid."""
    try:
        configuration = decode_configuration(texts[CONFIGURATION_PATH].encode())
    except KeyError:
        return Err("the configuration object is missing")
    except DecodingError as error:
        return Err(str(error))
    version = _parse_version(configuration.version)
    if isinstance(version, Err):
        return version
    if version.value != revision:
        return Err(f"version {configuration.version} sent as revision {revision}")
    return Ok(_compile_routes(revision, configuration))


def _parse_version(text: str) -> Result[Revision, str]:
    if not _VERSION_PATTERN.fullmatch(text):
        return Err(f"version {text[:40]!r} is not hexadecimal")
    number = int(text, _VERSION_BASE)
    # A node without a configuration is at zero.
    return Ok(Revision(number)) if number > 0 else Err(f"version {text!r} is zero")


def _compile_routes(revision: Revision, configuration: Configuration) -> RouteTable:
    hosts: dict[str, list[Route]] = {}
    for entry in configuration.virtual_hosts:
        routes = hosts.setdefault(entry.host.lower(), [])
        routes.extend(_make_route(path) for path in entry.paths)
    limits = RequestLimits(
        configuration.limits.header_bytes,
        configuration.limits.body_bytes,
        configuration.limits.header_timeout,
        configuration.limits.idle_timeout,
    )
    health_paths = {
        ServiceName(service.name): service.health_path
        for service in configuration.services
    }
    return RouteTable(
        revision, configuration.version, sort_routes(hosts), health_paths, limits
    )


def _make_route(path: PathEntry) -> Route:
    services = tuple(
        WeightedService(ServiceName(entry.service), entry.weight)
        for entry in path.weighted
        if entry.weight > 0
    )
    return Route(
        RouteName(path.name),
        path.prefix,
        # A kind from a later protocol version is treated as not safe to retry.
        _ROUTE_KINDS.get(path.kind, RouteKind.NON_IDEMPOTENT),
        path.timeout,
        path.target_latency or path.timeout,
        path.priority,
        max(1, path.attempts),
        services or (WeightedService(ServiceName(path.service), 1.0),),
    )
