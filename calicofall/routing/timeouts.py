"""How long an answer has worth, and how long an attempt is waited for."""

from calicofall.routing.endpoint import Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.outlier_detection import OutlierDetector
from calicofall.routing.request import Request, RetrySafety
from calicofall.routing.retry_policy import RetryPolicy
from calicofall.routing.settings import MethodSettings

OBJECTIVE_MARGIN_MS = 5.0  # ahead of a latency objective
LATE_BASELINES = 3.0  # baselines after which a read may be called off, where endpoints are seldom met
FETCH_BASELINES = 1.3  # baselines of a fetch that an answer may need beside
SECOND_TRY_BASELINES = 2.0  # baselines that have to be left for another endpoint


class Timeouts:
    """Bounds on the time that a request is worked on."""

    def __init__(self, shared: SharedComponents, retries: RetryPolicy, outliers: OutlierDetector) -> None:
        """Holds no state of its own: the parts it is given do."""
        self._settings = shared.settings
        self._deployment = shared.deployment
        self._endpoints = shared.endpoints
        self._latency = shared.latency
        self._zone_latency = shared.zone_latency
        self._cached_keys = shared.cached_keys
        self._traffic = shared.traffic
        self._retries = retries
        self._slow_readers = shared.slow_readers
        self._outliers = outliers

    def remaining_ms(self, now: float, request: Request, method: MethodSettings) -> float:
        """How long an answer has worth, so that none is worked on for nothing where a late one has none.

        With few requests late answers are of use in the first seconds: the proxy learns from them.
        """
        ends = self._deployment.look_aside or (self._traffic.low and self._deployment.large_fleet)
        ends = ends and not method.late_value
        # Late answers are given up while slow readers fill the buffers: usual readers would wait behind them.
        ends = self._slow_readers.fill_buffers(now, method) or ends
        if ends and method.retry_safety == RetrySafety.IDEMPOTENT:
            objective = request.arrived_at + method.latency_objective_ms - OBJECTIVE_MARGIN_MS
            return min(request.expires_at, objective) - now
        return request.expires_at - now

    def attempt_timeout_ms(self, now: float, request: Request, endpoint: Endpoint) -> float:
        """How long an attempt is waited for: a read is called off while another endpoint can still help.

        Without that, requests that were sent to a machine that vanished would all be lost.
        """
        method = self._settings.by_method[request.method]
        usual = self._latency.baseline_ms(request.method)
        cached = self._cached_keys.holds(endpoint.name, request.key)
        look_aside = self._deployment.look_aside
        left = request.expires_at - now
        # A fetch that is called off is not stored: called off again and again, an overload would have no end.
        if cached or look_aside or self._slow_readers.fill_buffers(now, method):
            left = self.remaining_ms(now, request, method)
        if not usual or not self._traffic.low or not self._retries.has_allowance():
            return left
        if self._endpoints.cache(endpoint.name) is None:
            return left
        fetch = 0.0 if cached or look_aside else FETCH_BASELINES * self._latency.fetch_baseline_ms + usual
        late = LATE_BASELINES * usual * self._outliers.fleet_relative_latency + self._zone_latency.extra_ms(
            endpoint
        )
        soon = max(late, fetch)
        if method.retry_safety == RetrySafety.IDEMPOTENT and left - soon >= SECOND_TRY_BASELINES * usual:
            return soon
        return left
