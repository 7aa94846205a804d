"""Protection of the origin, and direct use of an origin that has spare capacity."""

from calicofall.routing.endpoint import Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.limits import Limits
from calicofall.routing.request import AttemptOutcome, Request, RetrySafety

SPARE_LIMIT_FRACTION = 0.5  # of the origin limit, for reads that no cache accepts
FAILED_RELATIVE_LATENCY = 4.0  # a failure of the origin counts as this relative latency
MAX_RELATIVE_LATENCY = 10.0  # longer ones count as this
RECENT_DECREASE_MS = 2_000.0  # the origin counts as overloaded for so long after a decrease of its limit
LEARNING_ATTEMPTS = 2  # caches missed by the first attempts of a request store the answer of the origin


class OriginProtection:
    """Decides when to use the origin directly, and updates measurements by its answers."""

    def __init__(self, shared: SharedComponents, limits: Limits) -> None:
        """Keeps no state of its own: its components do."""
        self._settings = shared.settings
        self._endpoints = shared.endpoints
        self._limits = limits
        self._latency = shared.latency
        self._zone_latency = shared.zone_latency
        self._cached_keys = shared.cached_keys
        self._placement = shared.placement

    def spare_origin(self, now: float, request: Request) -> Endpoint | None:
        """Returns the origin for a request that no cache accepts, if the origin has spare capacity.

        It serves while all caches of a key are slow or crowded. Only idempotent requests within their quota
        are sent there.
        """
        if not request.within_quota:
            return None
        if self._settings.by_method[request.method].retry_safety != RetrySafety.IDEMPOTENT:
            return None
        return (
            self._endpoints.direct_origin
            if self._limits.origin_limit.has_capacity(now, SPARE_LIMIT_FRACTION)
            else None
        )

    def is_busy(self, now: float) -> bool:
        """Returns whether at least half of the origin limit is in use."""
        return not self._limits.origin_limit.has_capacity(now, SPARE_LIMIT_FRACTION)

    def limit_shrank_recently(self, now: float) -> bool:
        """Returns whether the origin limit decreased recently, so that an overload may still last."""
        return 0.0 < self._limits.origin_limit.decreased_at > now - RECENT_DECREASE_MS

    def load_of(self, endpoint: Endpoint, probability: float) -> float:
        """Returns the load of an attempt on the origin: while it travels to a far zone, it is no load."""
        if endpoint is not self._endpoints.direct_origin:
            return probability
        fetch_baseline_ms = self._latency.fetch_baseline_ms
        return fetch_baseline_ms / (fetch_baseline_ms + self._zone_latency.extra_ms(endpoint))

    def on_direct_result(
        self, now: float, request: Request, outcome: AttemptOutcome, latency_ms: float
    ) -> None:
        """Updates measurements by an answer or a failure of the origin."""
        origin_limit = self._limits.origin_limit
        # Without this, a slow network path to the origin that loses some packets would decrease the limit of
        # an idle origin.
        latency_ms = max(1.0, latency_ms - self._zone_latency.extra_ms(self._endpoints.direct_origin))
        if outcome == AttemptOutcome.COMPLETED:
            relative_latency = self._latency.relative_to_fetch(latency_ms)
            origin_limit.relative_latencies.add(now, min(relative_latency, MAX_RELATIVE_LATENCY))
            self._on_fetched(now, request, latency_ms)
        elif outcome == AttemptOutcome.TIMEOUT:
            relative_latency = self._latency.relative_to_fetch(latency_ms)
            origin_limit.relative_latencies.add(now, min(relative_latency, 2.0 * origin_limit.tolerance))
        elif outcome != AttemptOutcome.CANCELLED:
            origin_limit.relative_latencies.add(now, FAILED_RELATIVE_LATENCY)

    def _on_fetched(self, now: float, request: Request, latency_ms: float) -> None:
        self._latency.add_fetch(now, latency_ms)
        if request.write:
            self._cached_keys.invalidate(request.key, self._placement.possible_holders(request.key))
            return
        for attempt in request.attempts[:LEARNING_ATTEMPTS]:
            if attempt.outcome == AttemptOutcome.MISSED:  # the answer is stored in that cache
                self._cached_keys.add(attempt.endpoint, request.key, self._settings.max_keys)
