"""The endpoints that the list has named: caches, and origins that are addressed directly."""

from collections.abc import Iterable

from calicofall.routing.endpoint import Endpoint, EndpointState
from calicofall.routing.settings import Deployment, RoutingSettings

# name, zone, kind, cell, state, weight, start (ms)
ListEntry = tuple[str, str, str, int, str, float | None, float]


class EndpointTable:
    """Endpoints by name, kept while they are listed or have requests in flight."""

    def __init__(self, settings: RoutingSettings, deployment: Deployment) -> None:
        """No endpoint is known."""
        self._settings = settings
        self._deployment = deployment
        self.caches: dict[str, Endpoint] = {}
        self.origins: dict[str, Endpoint] = {}
        self.direct_origin: Endpoint | None = None  # the origin that is asked directly

    def cache(self, name: str) -> Endpoint | None:
        """A cache by its name."""
        return self.caches.get(name)

    def find(self, name: str) -> Endpoint | None:
        """A cache or an origin by its name."""
        return self.caches.get(name) or self.origins.get(name)

    def ready_caches(self) -> list[Endpoint]:
        """The caches that the list calls ready, in its order."""
        return [endpoint for endpoint in self.caches.values() if endpoint.ready]

    def apply_list(self, now: float, partial: bool, entries: Iterable[ListEntry]) -> None:
        """Takes a list, whole or partial; what a whole one does not name is gone."""
        before = [*self.caches.values(), *self.origins.values()]
        known = set(before)
        gone = [] if partial else [endpoint for endpoint in before if endpoint.ready]
        for endpoint in gone:
            endpoint.ready = False
        for entry in entries:
            endpoint = self._endpoint_of(entry)
            state = entry[4]
            if state == EndpointState.GONE and endpoint in known and endpoint.ready:
                gone.append(endpoint)
            self._update(now, endpoint, entry, endpoint in known)
        self._keep_unless_drained(gone, len(known))
        self.caches = {name: one for name, one in self.caches.items() if one.ready or one.in_flight}
        self.direct_origin = next((origin for origin in self.origins.values() if origin.ready), None)

    def _endpoint_of(self, entry: ListEntry) -> Endpoint:
        name, _, kind, *_ = entry
        origin_kind = self._deployment.origin_kind
        among = self.origins if origin_kind and kind == origin_kind else self.caches
        return among.get(name) or among.setdefault(name, Endpoint(name))

    def _update(self, now: float, endpoint: Endpoint, entry: ListEntry, known: bool) -> None:
        _, zone, kind, cell, state, weight, started = entry
        if started > endpoint.listed_start:  # a new process: what was held against the old one is void
            endpoint.reinstate()
        if started != endpoint.listed_start:
            endpoint.listed_start = started
            # Clocks differ: it may have begun later than listed, but not after it was told of.
            latest = started + self._settings.start_error_ms
            endpoint.started_at = started and min(max(now, started), latest)
        endpoint.zone = zone
        endpoint.kind = kind
        endpoint.cell = cell
        # Where weights follow the load of the moment, keys would move with each list if weights fell.
        least = endpoint.weight if self._settings.live_weights and known else 0.0
        endpoint.ready = state == EndpointState.READY
        endpoint.weight = max(least, weight if weight and weight > 0 else 1.0)
        endpoint.draining = state == EndpointState.DRAINING or (
            endpoint.draining and state != EndpointState.READY
        )

    def _keep_unless_drained(self, gone: list[Endpoint], known: int) -> None:
        """Where draining alone takes endpoints out, a list that calls most of them gone is not believed."""
        gone = [endpoint for endpoint in gone if not endpoint.ready and not endpoint.draining]
        for endpoint in gone:
            endpoint.ready = self._settings.removal_requires_draining and 2 * len(gone) > known
