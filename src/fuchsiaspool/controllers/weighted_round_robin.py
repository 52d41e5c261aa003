"""Distribute requests among weighted services exactly, not only on average."""

import random

from ..ids import RouteName, ServiceName
from ..routes import Route


class WeightedRoundRobin:
    """Choose the service of a route that is furthest behind its share.

    A random choice deviates from the weights over a short time; this one deviates by
    at most one request for each service and node.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[RouteName, dict[ServiceName, float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Return the service for the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        credits = self._credits.get(route.name)
        if credits is None or set(credits) != {
            weighted.service for weighted in route.services
        }:
            # Nodes start at different points, so that their deviations do not add up.
            credits = {
                weighted.service: self._rng.random() * weighted.weight
                for weighted in route.services
            }
            self._credits[route.name] = credits
        for weighted in route.services:
            credits[weighted.service] += weighted.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= sum(weighted.weight for weighted in route.services)
        return chosen

    def retain(self, names: set[RouteName]) -> None:
        """Drop the state of all routes but the named ones."""
        for name in list(self._credits):
            if name not in names:
                del self._credits[name]
