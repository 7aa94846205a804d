"""The endpoints that the list has named: caches, and origins that the proxy sends to directly."""

from collections.abc import Iterable

from calicofall.routing.endpoint import Endpoint, EndpointState
from calicofall.routing.settings import Deployment, RoutingSettings

# (name, zone, kind, cell, state, weight, start in ms)
ListEntry = tuple[str, str, str, int, str, float | None, float]


class EndpointTable:
    """Endpoints by name, kept while they are listed or have requests in flight."""

    def __init__(self, settings: RoutingSettings, deployment: Deployment) -> None:
        """Creates an empty table."""
        self._settings = settings
        self._deployment = deployment
        self.caches: dict[str, Endpoint] = {}
        self.origins: dict[str, Endpoint] = {}
        self.direct_origin: Endpoint | None = None  # the origin that the proxy sends to

    def cache(self, name: str) -> Endpoint | None:
        """Returns a cache by its name."""
        return self.caches.get(name)

    def find(self, name: str) -> Endpoint | None:
        """Returns a cache or an origin by its name."""
        return self.caches.get(name) or self.origins.get(name)

    def ready_caches(self) -> list[Endpoint]:
        """Returns the caches that are listed as ready, in the order of the table."""
        return [endpoint for endpoint in self.caches.values() if endpoint.ready]

    def restarted(self, entries: Iterable[ListEntry]) -> list[str]:
        """Returns the known caches that a list says have started since it last named them."""
        starts = [(entry[0], entry[6]) for entry in entries]
        return [
            name for name, start in starts if name in self.caches and start > self.caches[name].listed_start
        ]

    def apply_list(self, now: float, partial: bool, entries: Iterable[ListEntry]) -> None:
        """Applies a full or partial list; endpoints that a full list does not name are gone."""
        former = [*self.caches.values(), *self.origins.values()]
        known = set(former)
        gone = [] if partial else [endpoint for endpoint in former if endpoint.ready]
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
        table = self.origins if origin_kind and kind == origin_kind else self.caches
        return table.get(name) or table.setdefault(name, Endpoint(name))

    def _update(self, now: float, endpoint: Endpoint, entry: ListEntry, known: bool) -> None:
        _, zone, kind, cell, state, weight, started = entry
        if started > endpoint.listed_start:  # a new process: the degradation of the old one does not apply
            endpoint.reinstate()
        if started != endpoint.listed_start:
            endpoint.listed_start = started
            # Clocks differ: the endpoint may have started later than listed, but not after the list arrived.
            latest_start = started + self._settings.start_error_ms
            endpoint.started_at = started and min(max(now, started), latest_start)
        endpoint.zone = zone
        endpoint.kind = kind
        endpoint.cell = cell
        # If weights follow the current load, keys would move with each list if weights could decrease.
        min_weight = endpoint.weight if self._settings.live_weights and known else 0.0
        endpoint.ready = state == EndpointState.READY
        endpoint.weight = max(min_weight, weight if weight and weight > 0 else 1.0)
        endpoint.draining = state == EndpointState.DRAINING or (
            endpoint.draining and state != EndpointState.READY
        )

    def _keep_unless_drained(self, gone: list[Endpoint], known_count: int) -> None:
        """Keeps missing endpoints if endpoints must drain first and the list calls most of them gone."""
        gone = [endpoint for endpoint in gone if not endpoint.ready and not endpoint.draining]
        for endpoint in gone:
            endpoint.ready = self._settings.removal_requires_draining and 2 * len(gone) > known_count
