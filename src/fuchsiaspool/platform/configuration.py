"""Translate the operator's configuration into a table of routes."""

from collections.abc import Mapping
from typing import Final

import msgspec

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
from .wire import Configuration, PathEntry, decode_configuration

CONFIGURATION_KEY: Final = ObjectKey("config/main")
CONFIGURATION_PATH: Final = SubtreePath("config/main")

_KINDS: Final = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "download": RouteKind.DOWNLOAD,
}


def build_routes(
    revision: Revision, texts: Mapping[SubtreePath, str]
) -> Result[RouteTable, str]:
    """Compile a configuration; the error says what can't be used."""
    try:
        found = decode_configuration(texts[CONFIGURATION_PATH].encode())
    except KeyError:
        return Err("the configuration object is missing")
    except msgspec.DecodeError as error:
        return Err(str(error))
    return Ok(_compile(revision, found))


def _compile(revision: Revision, found: Configuration) -> RouteTable:
    hosts: dict[str, list[Route]] = {}
    for entry in found.virtual_hosts:
        routes = hosts.setdefault(entry.host.lower(), [])
        routes.extend(_make_route(path) for path in entry.paths)
    limits = RequestLimits(
        found.limits.header_bytes,
        found.limits.body_bytes,
        found.limits.header_timeout,
        found.limits.idle_timeout,
    )
    health = {
        ServiceName(service.name): service.health_path for service in found.services
    }
    return RouteTable(revision, found.version, sort_routes(hosts), health, limits)


def _make_route(path: PathEntry) -> Route:
    parts = tuple(
        WeightedService(ServiceName(part.service), part.weight)
        for part in path.weighted
        if part.weight > 0
    )
    return Route(
        RouteName(path.name),
        path.prefix,
        # A kind of a later protocol is treated as what may not be repeated.
        _KINDS.get(path.kind, RouteKind.NON_IDEMPOTENT),
        path.timeout,
        path.target_latency or path.timeout,
        path.priority,
        max(1, path.attempts),
        parts or (WeightedService(ServiceName(path.service), 1.0),),
    )
