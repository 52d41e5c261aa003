"""Find the route of a request by its host and path."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

from .ids import Revision, RouteName, ServiceName


class RouteKind(Enum):
    """Say what may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Name one of the services that share a route, and its share."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Say where requests go and how they are treated; times in seconds.

    `attempts` bounds the servers to which one request may be sent.
    """

    name: RouteName
    path_prefix: str
    kind: RouteKind
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int
    services: tuple[WeightedService, ...]

    @property
    def idempotent(self) -> bool:
        """Tell if a request may run again after an unknown outcome."""
        return self.kind is not RouteKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bound what callers may send; times in seconds, sizes in bytes."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Hold one accepted configuration, compiled for look-up."""

    revision: Revision
    version: str
    hosts: Mapping[str, tuple[Route, ...]]
    health_paths: Mapping[ServiceName, str]
    limits: RequestLimits

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        path = target.partition("?")[0]
        for route in self.hosts.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


EMPTY_ROUTE_TABLE: Final = RouteTable(Revision(0), "", {}, {}, RequestLimits())


def sort_routes(hosts: Mapping[str, list[Route]]) -> dict[str, tuple[Route, ...]]:
    """Order the routes of each host by the length of their prefix, longest first."""
    return {
        host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
        for host, routes in hosts.items()
    }
