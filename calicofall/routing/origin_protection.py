"""Protection of the origin, and use of one that is addressed directly where it has room to spare."""

from calicofall.routing.endpoint import Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.limits import Limits
from calicofall.routing.request import AttemptOutcome, Request, RetrySafety

SPARE_PART = 0.5  # of the origin's limit, for reads that no cache takes
FAILED_RELATIVE_LATENCY = 4.0  # that a failure of the origin counts as
MAX_RELATIVE_LATENCY = 10.0
RECENT_DECREASE_MS = 2_000.0
LEARNING_ATTEMPTS = 2  # the first attempts of a request, whose caches are told of what they missed


class OriginProtection:
    """Decides when the origin is asked directly, and learns from its answers."""

    def __init__(self, shared: SharedComponents, limits: Limits) -> None:
        """Holds no state of its own: the parts it is given do."""
        self._settings = shared.settings
        self._endpoints = shared.endpoints
        self._limits = limits
        self._latency = shared.latency
        self._zone_latency = shared.zone_latency
        self._cached_keys = shared.cached_keys
        self._placement = shared.placement

    def spare_origin(self, now: float, request: Request) -> Endpoint | None:
        """The origin for a request that no cache takes, while the origin has room to spare.

        Serves where caches are slow or crowded together. Only idempotent requests within quota go there.
        """
        if not request.within_quota:
            return None
        if self._settings.by_method[request.method].retry_safety != RetrySafety.IDEMPOTENT:
            return None
        return (
            self._endpoints.direct_origin if self._limits.origin_limit.has_capacity(now, SPARE_PART) else None
        )

    def is_busy(self, now: float) -> bool:
        """Whether half of the origin's limit is in use."""
        return not self._limits.origin_limit.has_capacity(now, SPARE_PART)

    def limit_shrank_recently(self, now: float) -> bool:
        """Whether the origin's limit fell a moment ago, so that an overload there is not over."""
        return 0.0 < self._limits.origin_limit.decreased_at > now - RECENT_DECREASE_MS

    def load_of(self, endpoint: Endpoint, probability: float) -> float:
        """How much of the origin an attempt takes: on a slow way to it, most of the time it is no load."""
        if endpoint is not self._endpoints.direct_origin:
            return probability
        fetch = self._latency.fetch_baseline_ms
        return fetch / (fetch + self._zone_latency.extra_ms(endpoint))

    def on_direct_result(
        self, now: float, request: Request, outcome: AttemptOutcome, latency_ms: float
    ) -> None:
        """The origin itself answered, or failed to."""
        origin = self._limits.origin_limit
        # A slow way to the origin, on which a part is lost, would else shrink its limit while it idles.
        latency_ms = max(1.0, latency_ms - self._zone_latency.extra_ms(self._endpoints.direct_origin))
        if outcome == AttemptOutcome.COMPLETED:
            relative = self._latency.relative_to_fetch(latency_ms)
            origin.relative_latencies.add(now, min(relative, MAX_RELATIVE_LATENCY))
            self._on_fetched(now, request, latency_ms)
        elif outcome == AttemptOutcome.TIMEOUT:
            relative = self._latency.relative_to_fetch(latency_ms)
            origin.relative_latencies.add(now, min(relative, 2.0 * origin.tolerance))
        elif outcome != AttemptOutcome.CANCELLED:
            origin.relative_latencies.add(now, FAILED_RELATIVE_LATENCY)

    def _on_fetched(self, now: float, request: Request, latency_ms: float) -> None:
        self._latency.add_fetch(now, latency_ms)
        if request.write:
            self._cached_keys.invalidate(request.key, self._placement.possible_holders(request.key))
            return
        for attempt in request.attempts[:LEARNING_ATTEMPTS]:
            if attempt.outcome == AttemptOutcome.MISSED:  # what the origin answered is stored there
                self._cached_keys.add(attempt.endpoint, request.key)
