"""Distribute requests among weighted services exactly, not only on average."""

import random

from ..ids import RouteName, ServiceName
from ..routes import Route


class Rotation:
    """Choose the service of a route that is furthest behind its share.

    A random choice deviates from the weights over a short time; this one deviates by
    at most one request for each service and node.
    """

    def __init__(self, chance: random.Random) -> None:
        self._rng = chance
        self._credits: dict[RouteName, dict[ServiceName, float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credits = self._credits.get(route.name)
        if credits is None or set(credits) != {
            weighted.service for weighted in route.parts
        }:
            # Nodes start at different points, so that their deviations do not add up.
            credits = {
                weighted.service: self._rng.random() * weighted.weight
                for weighted in route.parts
            }
            self._credits[route.name] = credits
        for weighted in route.parts:
            credits[weighted.service] += weighted.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= sum(weighted.weight for weighted in route.parts)
        return chosen

    def forget(self, names: set[RouteName]) -> None:
        """Drop the state of all routes but the named ones."""
        for name in list(self._credits):
            if name not in names:
                del self._credits[name]
