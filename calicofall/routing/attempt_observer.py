"""What the outcome of an attempt at a cache teaches: baselines, outliers, limits and cached keys."""

from dataclasses import dataclass

from calicofall.routing.endpoint import Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.latency import MIN_LATENCY_RATIO
from calicofall.routing.limits import Limits
from calicofall.routing.outlier_detection import OutlierDetector
from calicofall.routing.request import AttemptOutcome, Request
from calicofall.routing.retry_policy import RetryPolicy
from calicofall.routing.slow_start import SlowStart

FETCHED, FETCHING = "fetched", "fetching"  # notes of answers: the origin was asked, or was being asked
MAX_RELATIVE_LATENCY = 10.0
FULL_RELATIVE_LATENCY = 5.0  # that a refusal counts as, at the fleet's limit
FAILED_FETCH_LATENCY = 6.0  # that a failed attempt which may have fetched counts as, at the origin's limit
CROWDED_LATENCY = 1.5  # relative to that of all: an endpoint with a queue of its own
HALF = 0.5  # an endpoint that is sent less tells nothing of the whole fleet
TIMED = frozenset({AttemptOutcome.COMPLETED, AttemptOutcome.MISSED, AttemptOutcome.TIMEOUT})
SERVICE_RATE_FIELD, QUEUE_FIELD = "served_ps", "pending"  # of a load report: how long requests wait


@dataclass(slots=True)
class AttemptResult:
    """An attempt at a cache that has ended."""

    request: Request
    endpoint: Endpoint
    outcome: AttemptOutcome
    latency_ms: float
    sent_at: float
    relative_latency: float  # to its method's baseline, without the way to its zone
    warming_up: bool
    fetched: bool  # the origin was asked for it
    origin_probability: float  # how likely that was when it was sent


class AttemptObserver:
    """Tells the parts of the policy what each attempt teaches."""

    def __init__(
        self,
        shared: SharedComponents,
        limits: Limits,
        retries: RetryPolicy,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        """Holds no state of its own: the parts it is given do."""
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
        number: int,
        latency_ms: float,
        note: str | None,
        report: object,
    ) -> None:
        """Learns from an attempt that has ended.

        Args:
            now: The present (ms).
            request: The request; the attempt's outcome is in it.
            number: Which of its attempts; one at an endpoint that is no cache is left out.
            latency_ms: How long it took.
            note: What the cache noted of its answer, such as `fetched`.
            report: The load report that came with it, if it is a map.
        """
        attempt = request.attempts[number]
        outcome = attempt.outcome
        endpoint = self._endpoints.cache(attempt.endpoint)
        if outcome is None or endpoint is None:
            return
        usual = self._latency.baseline_ms(request.method)
        own = self._slow_readers.endpoint_latency(endpoint.name, outcome, latency_ms, note == FETCHED)
        if own is None:
            return
        # No endpoint is to blame for a slow way to its zone.
        there = max(1.0, own - self._zone_latency.extra_ms(endpoint))
        result = AttemptResult(
            request,
            endpoint,
            outcome,
            own,
            now - own,
            self._relative_latency(endpoint, there, usual),
            self._slow_start.is_warming_up(now, endpoint),
            note == FETCHED or (request.write and not self._deployment.look_aside),
            attempt.origin_probability,
        )
        self._learn_of_any(now, result)
        if outcome == AttemptOutcome.MISSED:
            usual = self._latency.baseline_ms(None)
        self._note_wait(now, result, there, usual, report)
        self._learn(now, result, note)

    def _learn_of_any(self, now: float, result: AttemptResult) -> None:
        """What any outcome teaches."""
        endpoint = result.endpoint
        self._outliers.on_outcome(now, endpoint, result.outcome, result.sent_at)
        # Where answers may take a fetch, a zone that fetches much would pass for a far one.
        if self._deployment.look_aside and result.outcome in TIMED:
            self._zone_latency.add(endpoint.zone, result.latency_ms)
        self._outliers.count_reset(now, result.outcome == AttemptOutcome.RESET)
        if result.outcome == AttemptOutcome.MISSED:
            self._cached_keys.discard(endpoint.name, result.request.key)
            self._latency.add(now, None, result.latency_ms)

    def _relative_latency(self, endpoint: Endpoint, latency_ms: float, usual: float | None) -> float:
        if not usual:
            return endpoint.relative_latency
        shortest = MIN_LATENCY_RATIO * self._settings.latency_objective_ms
        return min(latency_ms / max(usual, shortest), MAX_RELATIVE_LATENCY)

    def _note_wait(
        self, now: float, result: AttemptResult, there: float, usual: float | None, report: object
    ) -> None:
        """How long requests wait at the endpoint: by its load report, else by what is beyond the baseline."""
        served = queued = None
        if isinstance(report, dict):
            served = report.get(SERVICE_RATE_FIELD)
            queued = report.get(QUEUE_FIELD)
        if served and queued is not None:
            most = 2.0 * self._settings.latency_objective_ms
            self._gossip.record_wait(now, result.endpoint, max(0.0, min(1000.0 * queued / served, most)))
        elif result.outcome in TIMED and usual and not result.fetched:
            wait = max(0.0, there - usual / self._capacity.of(result.endpoint))
            self._gossip.record_wait(now, result.endpoint, wait)

    def _learn(self, now: float, result: AttemptResult, note: str | None) -> None:
        outcome = result.outcome
        if outcome == AttemptOutcome.COMPLETED:
            self._on_completed(now, result, note)
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

    def _on_completed(self, now: float, result: AttemptResult, note: str | None) -> None:
        request, endpoint = result.request, result.endpoint
        self._slow_start.on_completed(now, result.warming_up)
        if not request.write and not self._cached_keys.holds(endpoint.name, request.key):
            self._fetch_likelihood.add(now, result.warming_up, note in (FETCHED, FETCHING))
        if result.fetched:  # a slow origin is not the cache's fault: such an answer is measured apart
            self._latency.add_fetch(now, result.latency_ms)
            slow = self._latency.relative_to_fetch(result.latency_ms)
            most = 2 * self._limits.origin_limit.tolerance if self._traffic.low else MAX_RELATIVE_LATENCY
            self._on_origin_latency(now, endpoint, min(slow, most), 1.0)
        elif note != FETCHING:
            self._latency.add(now, request.method, result.latency_ms)
            self._on_latency(now, result)
        if request.write:
            self._cached_keys.invalidate(request.key, self._placement.possible_holders(request.key))
        elif request.key is not None:
            self._cached_keys.add(endpoint.name, request.key)

    def _on_failed(self, now: float, result: AttemptResult) -> None:
        """An error or a time-out."""
        request, endpoint = result.request, result.endpoint
        failed = result.outcome == AttemptOutcome.ERROR
        # What was cached and fails now was fetched; else no limit would count the load on the origin.
        if not request.write and not self._deployment.look_aside:
            if failed or not self._cached_keys.holds(endpoint.name, request.key):
                self._fetch_likelihood.add(now, result.warming_up, True)
            self._cached_keys.discard(endpoint.name, request.key)
        self._on_failed_fetch(now, result, failed)
        low = self._traffic.low
        if not failed and (low or not result.origin_probability or endpoint.admitted_fraction < HALF):
            self._on_latency(now, result, impatient=low)

    def _on_failed_fetch(self, now: float, result: AttemptResult, failed: bool) -> None:
        """Counts a failed attempt against the origin, by how likely it fetched.

        Slow endpoints would shrink the origin's limit: most of what may fetch does not.
        """
        probability = result.origin_probability
        if not probability:
            return
        low = self._traffic.low
        healthy = result.endpoint.admitted_fraction >= HALF
        if healthy and (result.request.write or not low or failed):
            self._on_origin_latency(now, result.endpoint, FAILED_FETCH_LATENCY, 1.0)
            return
        # Else, in a large fleet without a baseline, few endpoints' queues would tell most.
        known = self._latency.baseline_ms(result.request.method) or not self._deployment.large_fleet
        if low and known:
            self._on_origin_latency(now, result.endpoint, FAILED_FETCH_LATENCY, probability)

    def _on_origin_latency(self, now: float, endpoint: Endpoint, relative: float, probability: float) -> None:
        # An endpoint with a queue of its own would pass for a slow origin.
        if self._traffic.low and (
            endpoint.relative_latency > CROWDED_LATENCY * self._outliers.fleet_relative_latency
            or self._slow_start.is_warming_up(now, endpoint)
        ):
            return
        self._limits.origin_limit.relative_latencies.add(now, relative * probability, probability)

    def _on_latency(self, now: float, result: AttemptResult, impatient: bool = False) -> None:
        endpoint = result.endpoint
        # A few slow endpoints would shrink the limit for all.
        if endpoint.current_fraction(now) >= HALF:
            fleet = self._limits.fleet_limit
            fleet.relative_latencies.add(now, min(result.relative_latency, 2.0 * fleet.tolerance))
        self._outliers.on_latency(now, endpoint, result.relative_latency, result.sent_at, impatient)
