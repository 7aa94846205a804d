"""Updates baselines, outliers, limits and cached keys with the outcomes of attempts at caches."""

from dataclasses import dataclass

from calicofall.routing.endpoint import Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.latency import MIN_LATENCY_RATIO
from calicofall.routing.limits import Limits
from calicofall.routing.outlier_detection import OutlierDetector
from calicofall.routing.request import AttemptOutcome, Request
from calicofall.routing.retry_policy import RetryPolicy
from calicofall.routing.slow_start import SlowStart

# Cache statuses of answers: the origin was asked, or was already being asked for another request.
FETCHED, FETCHING = "fetched", "fetching"
MAX_RELATIVE_LATENCY = 10.0  # longer ones count as this
FULL_RELATIVE_LATENCY = 5.0  # relative latency as which the fleet limit counts a refusal
# Relative latency as which the origin limit counts a failed attempt that may have caused a fetch.
FAILED_FETCH_LATENCY = 6.0
# An endpoint that is slower than the fleet by this factor has a queue of its own.
CROWDED_LATENCY_FACTOR = 1.5
# The latency of an endpoint with a smaller admitted fraction does not represent the fleet.
MIN_REPRESENTATIVE_FRACTION = 0.5
OUTCOMES_WITH_LATENCY = frozenset({AttemptOutcome.COMPLETED, AttemptOutcome.MISSED, AttemptOutcome.TIMEOUT})
# Fields of a load report that give the queueing time: requests served per second, and requests queued.
SERVICE_RATE_FIELD, QUEUE_FIELD = "served_ps", "pending"


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt at a cache."""

    request: Request
    endpoint: Endpoint
    outcome: AttemptOutcome
    latency_ms: float
    sent_at: float
    relative_latency: float  # to its method's baseline, without the extra latency of its zone
    warming_up: bool
    fetched: bool  # the origin was asked for it
    origin_probability: float  # probability of that when the attempt was sent


class AttemptObserver:
    """Updates the components of the policy with the result of each attempt."""

    def __init__(
        self,
        shared: SharedComponents,
        limits: Limits,
        retries: RetryPolicy,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        """Keeps no state of its own: its components do."""
        self._settings = shared.settings
        self._deployment = shared.deployment
        self._endpoints = shared.endpoints
        self._placement = shared.placement
        self._slow_start = slow_start
        self._outliers = outliers
        self._limits = limits
        self._latency = shared.latency
        self._zone_latency = shared.zone_latency
        self._cached_keys = shared.cached_keys
        self._fetch_likelihood = shared.fetch_likelihood
        self._capacity = shared.capacity
        self._traffic = shared.traffic
        self._retries = retries
        self._slow_readers = shared.slow_readers
        self._gossip = shared.gossip

    def observe(
        self,
        now: float,
        request: Request,
        attempt_index: int,
        latency_ms: float,
        cache_status: str | None,
        load_report: object,
    ) -> None:
        """Updates measurements with an attempt that has ended.

        Args:
            now: Current time (ms).
            request: The request, which holds the outcome of the attempt.
            attempt_index: Index of the attempt in the request; an attempt at no known cache is ignored.
            latency_ms: How long the attempt took.
            cache_status: Cache status of the answer, such as `fetched`.
            load_report: Load report that came with the answer; ignored if it is no map.
        """
        attempt = request.attempts[attempt_index]
        outcome = attempt.outcome
        endpoint = self._endpoints.cache(attempt.endpoint)
        if outcome is None or endpoint is None:
            return
        baseline_ms = self._latency.baseline_ms(request.method)
        endpoint_latency_ms = self._slow_readers.endpoint_latency(
            endpoint.name, outcome, latency_ms, cache_status == FETCHED
        )
        if endpoint_latency_ms is None:
            return
        # The latency of the network path to a zone does not count against its endpoints.
        service_time_ms = max(1.0, endpoint_latency_ms - self._zone_latency.extra_ms(endpoint))
        result = AttemptResult(
            request,
            endpoint,
            outcome,
            endpoint_latency_ms,
            now - endpoint_latency_ms,
            self._relative_latency(endpoint, service_time_ms, baseline_ms),
            self._slow_start.is_warming_up(now, endpoint),
            cache_status == FETCHED or (request.write and not self._deployment.look_aside),
            attempt.origin_probability,
        )
        self._apply_any_outcome(now, result)
        if outcome == AttemptOutcome.MISSED:
            baseline_ms = self._latency.baseline_ms(None)
        self._record_wait(now, result, service_time_ms, baseline_ms, load_report)
        self._apply_outcome(now, result, cache_status)

    def _apply_any_outcome(self, now: float, result: AttemptResult) -> None:
        """Applies the updates that all outcomes have in common."""
        endpoint = result.endpoint
        self._outliers.on_outcome(now, endpoint, result.outcome, result.sent_at)
        # If caches fetch from the origin themselves, a zone with many fetches would appear to be far.
        if self._deployment.look_aside and result.outcome in OUTCOMES_WITH_LATENCY:
            self._zone_latency.add(endpoint.zone, result.latency_ms)
        self._outliers.count_reset(now, result.outcome == AttemptOutcome.RESET)
        if result.outcome == AttemptOutcome.MISSED:
            self._cached_keys.discard(endpoint.name, result.request.key)
            self._latency.add(now, None, result.latency_ms)

    def _relative_latency(self, endpoint: Endpoint, latency_ms: float, baseline_ms: float | None) -> float:
        if not baseline_ms:
            return endpoint.relative_latency
        min_baseline_ms = MIN_LATENCY_RATIO * self._settings.latency_objective_ms
        return min(latency_ms / max(baseline_ms, min_baseline_ms), MAX_RELATIVE_LATENCY)

    def _record_wait(
        self,
        now: float,
        result: AttemptResult,
        service_time_ms: float,
        baseline_ms: float | None,
        load_report: object,
    ) -> None:
        """Records the queueing time at an endpoint, by its load report or the excess over the baseline."""
        served_per_s = queued = None
        if isinstance(load_report, dict):
            served_per_s = load_report.get(SERVICE_RATE_FIELD)
            queued = load_report.get(QUEUE_FIELD)
        if served_per_s and queued is not None:
            max_wait_ms = 2.0 * self._settings.latency_objective_ms
            self._gossip.record_wait(
                now, result.endpoint, max(0.0, min(1000.0 * queued / served_per_s, max_wait_ms))
            )
        elif result.outcome in OUTCOMES_WITH_LATENCY and baseline_ms and not result.fetched:
            wait_ms = max(0.0, service_time_ms - baseline_ms / self._capacity.of(result.endpoint))
            self._gossip.record_wait(now, result.endpoint, wait_ms)

    def _apply_outcome(self, now: float, result: AttemptResult, cache_status: str | None) -> None:
        outcome = result.outcome
        if outcome == AttemptOutcome.COMPLETED:
            self._on_completed(now, result, cache_status)
        elif outcome == AttemptOutcome.FULL:
            self._limits.fleet_limit.relative_latencies.add(now, FULL_RELATIVE_LATENCY)
            self._gossip.record_wait(now, result.endpoint, self._settings.latency_objective_ms)
        elif outcome == AttemptOutcome.ERROR:
            if not self._retries.fails_everywhere(now, result.request, result.latency_ms):
                self._on_failed(now, result)
        elif outcome == AttemptOutcome.TIMEOUT:
            self._on_failed(now, result)
        elif outcome in (AttemptOutcome.RESET, AttemptOutcome.UNCONNECTED):
            self._outliers.on_connection_lost(now, result.endpoint, outcome)

    def _on_completed(self, now: float, result: AttemptResult, cache_status: str | None) -> None:
        request, endpoint = result.request, result.endpoint
        self._slow_start.on_completed(now, result.warming_up)
        if not request.write and not self._cached_keys.holds(endpoint.name, request.key):
            self._fetch_likelihood.add(now, result.warming_up, cache_status in (FETCHED, FETCHING))
        if result.fetched:  # measured separately: the origin may have been slow, not the cache
            self._latency.add_fetch(now, result.latency_ms)
            relative_latency = self._latency.relative_to_fetch(result.latency_ms)
            max_latency = (
                2 * self._limits.origin_limit.tolerance if self._traffic.low else MAX_RELATIVE_LATENCY
            )
            self._on_origin_latency(now, endpoint, min(relative_latency, max_latency), 1.0)
        elif cache_status != FETCHING:
            self._latency.add(now, request.method, result.latency_ms)
            self._on_latency(now, result)
        if request.write:
            self._cached_keys.invalidate(request.key, self._placement.possible_holders(request.key))
        elif request.key is not None:
            self._cached_keys.add(endpoint.name, request.key, self._settings.max_keys)

    def _on_failed(self, now: float, result: AttemptResult) -> None:
        """Applies an error or a time-out."""
        request, endpoint = result.request, result.endpoint
        is_error = result.outcome == AttemptOutcome.ERROR
        # An error of a key that was cached means that the key was fetched; otherwise no limit would count the
        # load on the origin.
        if not request.write and not self._deployment.look_aside:
            if is_error or not self._cached_keys.holds(endpoint.name, request.key):
                self._fetch_likelihood.add(now, result.warming_up, True)
            self._cached_keys.discard(endpoint.name, request.key)
        self._on_failed_fetch(now, result, is_error)
        low_traffic = self._traffic.low
        if not is_error and (
            low_traffic
            or not result.origin_probability
            or endpoint.admitted_fraction < MIN_REPRESENTATIVE_FRACTION
        ):
            self._on_latency(now, result, timed_out=low_traffic)

    def _on_failed_fetch(self, now: float, result: AttemptResult, is_error: bool) -> None:
        """Counts a failed attempt against the origin, weighted by the probability that it caused a fetch.

        Without the weight, slow endpoints would decrease the origin limit: most attempts that may cause a
        fetch do not.
        """
        probability = result.origin_probability
        if not probability:
            return
        low_traffic = self._traffic.low
        is_healthy = result.endpoint.admitted_fraction >= MIN_REPRESENTATIVE_FRACTION
        if is_healthy and (result.request.write or not low_traffic or is_error):
            self._on_origin_latency(now, result.endpoint, FAILED_FETCH_LATENCY, 1.0)
            return
        # Without a baseline, the queues of few endpoints would dominate the origin limit in a large fleet.
        is_reliable = self._latency.baseline_ms(result.request.method) or not self._deployment.large_fleet
        if low_traffic and is_reliable:
            self._on_origin_latency(now, result.endpoint, FAILED_FETCH_LATENCY, probability)

    def _on_origin_latency(
        self, now: float, endpoint: Endpoint, relative_latency: float, probability: float
    ) -> None:
        # An endpoint with a queue of its own would appear as a slow origin.
        if self._traffic.low and (
            endpoint.relative_latency > CROWDED_LATENCY_FACTOR * self._outliers.fleet_relative_latency
            or self._slow_start.is_warming_up(now, endpoint)
        ):
            return
        self._limits.origin_limit.relative_latencies.add(now, relative_latency * probability, probability)

    def _on_latency(self, now: float, result: AttemptResult, timed_out: bool = False) -> None:
        endpoint = result.endpoint
        # Otherwise a few slow endpoints would decrease the limit of the whole fleet.
        if endpoint.current_fraction(now) >= MIN_REPRESENTATIVE_FRACTION:
            fleet_limit = self._limits.fleet_limit
            fleet_limit.relative_latencies.add(now, min(result.relative_latency, 2.0 * fleet_limit.tolerance))
        self._outliers.on_latency(now, endpoint, result.relative_latency, result.sent_at, timed_out)
