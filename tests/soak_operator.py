"""Change the configuration of the soak as an operator does."""

import contextlib
import json
from dataclasses import dataclass

import gevent
from gevent.lock import BoundedSemaphore

from fuchsiaspool.clock import SystemClock
from fuchsiaspool.ids import Version
from fuchsiaspool.platform.client import make_platform_store
from fuchsiaspool.platform.configuration import CONFIGURATION_KEY
from fuchsiaspool.platform.objects import Applied

from .sidecar_case import make_route

# A version adds a route to the service front, the next moves it to deep, and the one
# after this many drops it.
ROUTE_VERSIONS = 3
MAX_INCREMENT = 40
CHANGE_PAUSES_SECONDS = (0.3, 1.2)
REWRITE_PAUSE_SECONDS = 0.1


@dataclass
class ConfigurationVersion:
    """Record one version; times in seconds since the soak began."""

    number: int
    sent_at: float
    acked_at: float = float("inf")


class Operator:
    """Write versions of the configuration, and name those that explain an answer."""

    def __init__(self, soak):
        self.soak = soak
        self.store = make_platform_store(
            soak.platform.address, SystemClock(), soak.rng, max_attempts=1
        )
        self.versions = [ConfigurationVersion(1, 0.0, 0.0)]
        # Held while a version is being written or the store is to be restored.
        self.lock = BoundedSemaphore()
        self.store.put(CONFIGURATION_KEY, self.make_configuration(0), None)

    def make_configuration(self, index):
        routes = [make_route(name, service=name) for name in ("front", "deep")]
        routes.append(make_route("once", service="deep", kind="non_idempotent"))
        for age in range(min(index + 1, ROUTE_VERSIONS)):
            service = "deep" if age else "front"
            routes.append(make_route(f"m{index - age}", service=service))
        hosts = [{"host": "h.example", "paths": routes}]
        version = f"{self.versions[index].number:08x}"
        return json.dumps({"version": version, "virtualHosts": hosts}).encode()

    def change(self):
        """Write the next version; without an ack it is never required."""
        with self.lock:
            number = self.versions[-1].number + self.soak.rng.randint(1, MAX_INCREMENT)
            self.versions.append(ConfigurationVersion(number, self.soak.now()))
            self.write(len(self.versions) - 1)

    def change_until(self, until):
        while self.soak.now() < until:
            gevent.sleep(self.soak.rng.uniform(*CHANGE_PAUSES_SECONDS))
            self.change()

    def rewrite(self):
        """Write the last acknowledged version again; the caller holds the lock."""
        index = self.find_required(self.soak.now())
        while not self.write(index):
            gevent.sleep(REWRITE_PAUSE_SECONDS)

    def write(self, index):
        text = self.make_configuration(index)
        outcome = None
        with contextlib.suppress(AttributeError):
            stored = self.store.get(CONFIGURATION_KEY).value
            outcome = self.store.put(CONFIGURATION_KEY, text, Version(stored.version))
        now, version = self.soak.now(), self.versions[index]
        if not isinstance(outcome, Applied):
            self.soak.note(f"version {index} is not acknowledged: {outcome}")
            return False
        self.soak.note(f"version {index} is acknowledged, {outcome}")
        version.acked_at = min(version.acked_at, now)
        return True

    def choose_path(self):
        """Return the path of a route of the last versions, the dropped one included."""
        age = self.soak.rng.randint(0, ROUTE_VERSIONS)
        return f"/m{max(0, len(self.versions) - 1 - age)}/"

    def find_required(self, acked_before):
        """Return the last version that was acknowledged by a time."""
        for index in range(len(self.versions) - 1, 0, -1):
            if self.versions[index].acked_at <= acked_before:
                return index
        return 0

    def find_handling(self, exchange):
        """Return the first and last version that explain an answer, or None."""
        if exchange.ended_at is None or not exchange.path.startswith("/m"):
            return None
        added = int(exchange.path.strip("/m"))
        dropped = added + ROUTE_VERSIONS
        if exchange.status == 200:
            is_front = self.soak.starts[exchange.server].service == "front"
            return (added, added) if is_front else (added + 1, dropped - 1)
        if exchange.status != 404:
            return None
        # Not added yet, unless the version that drops it was sent by then.
        last = len(self.versions) - 1
        while self.versions[last].sent_at > exchange.ended_at:
            last -= 1
        return (0, last if last >= dropped else added - 1)
