"""Share requests among weighted services exactly, not only on average."""

import random

from ..ids import RouteName, ServiceName
from ..routes import Route


class WeightedRoundRobin:
    """Take the part of a route that is furthest behind its share.

    A random draw would stray from the weights in a short span; this errs by at
    most one request a part and node.
    """

    def __init__(self, rng: random.Random) -> None:
        self._chance = rng
        self._credits: dict[RouteName, dict[ServiceName, float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Return the service for the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        credits = self._credits.get(route.name)
        if credits is None or set(credits) != {p.service for p in route.services}:
            # Nodes start at different points, so that few requests do not add up.
            credits = {
                p.service: self._chance.random() * p.weight for p in route.services
            }
            self._credits[route.name] = credits
        for part in route.services:
            credits[part.service] += part.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= sum(part.weight for part in route.services)
        return chosen

    def retain(self, names: set[RouteName]) -> None:
        """Drop the routes that are no longer in force."""
        for name in list(self._credits):
            if name not in names:
                del self._credits[name]
