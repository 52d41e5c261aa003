"""Group the services that the same request may reach."""

from collections.abc import Iterable, Mapping

from ..ids import ServiceName
from ..routes import Route

_RouteKey = tuple[str, str]


class ServiceGroups:
    """Group services by the routes that are split among them or moved between them.

    Groups are transitive, so that all members of a group agree on it.
    """

    def __init__(self) -> None:
        # By host and path prefix, all services of a route since it was first seen.
        self._services_by_route: dict[_RouteKey, frozenset[ServiceName]] = {}
        self._groups: dict[ServiceName, frozenset[ServiceName]] = {}

    def adopt(self, hosts: Mapping[str, Iterable[Route]]) -> None:
        """Regroup the services by the routes of a changed configuration."""
        services_by_route = {}
        for host, routes in hosts.items():
            for route in routes:
                key = (host, route.path_prefix)
                services = frozenset(entry.service for entry in route.services)
                earlier = self._services_by_route.get(key, frozenset())
                services_by_route[key] = services | earlier
        self._services_by_route = services_by_route
        self._groups = {}
        for services in services_by_route.values():
            merged = services.union(*(self.find_group(name) for name in services))
            self._groups.update(dict.fromkeys(merged, merged))

    def find_group(self, service: ServiceName) -> frozenset[ServiceName]:
        """Return the services that requests for a service may reach, also itself."""
        return self._groups.get(service, frozenset((service,)))
