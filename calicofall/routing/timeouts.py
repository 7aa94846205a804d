"""Time limits: how long an answer is useful, and time-outs of attempts."""

from calicofall.routing.endpoint import Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.outlier_detection import OutlierDetector
from calicofall.routing.request import Request, RetrySafety
from calicofall.routing.retry_policy import RetryPolicy, is_repeat_safe
from calicofall.routing.settings import MethodSettings

OBJECTIVE_MARGIN_MS = 5.0  # work on an answer ends so long before its latency objective
# Factors of baseline latencies: a read with low traffic times out after so many baselines of its method, or
# after so many baselines of a fetch (plus one of its method) if it may need one; and so many baselines of its
# method must remain for another endpoint.
READ_TIMEOUT_BASELINES = 3.0
FETCH_TIMEOUT_BASELINES = 1.3
SECOND_ATTEMPT_BASELINES = 2.0
# Time kept for another attempt while an incomplete reply is awaited: at least so long, but no more than this
# fraction of the request's time.
MIN_SECOND_ATTEMPT_MS = 100.0
MAX_SECOND_ATTEMPT_FRACTION = 0.25


class Timeouts:
    """Limits on the time spent on a request."""

    def __init__(self, shared: SharedComponents, retries: RetryPolicy, outliers: OutlierDetector) -> None:
        """Keeps no state of its own: its components do."""
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
        """Returns how long an answer is useful, so that no work is spent on late answers without value.

        An answer is useful until OBJECTIVE_MARGIN_MS before the latency objective (or until the deadline, if
        that is earlier) if the request is idempotent and one of these applies:

        - its method gives late answers no value, and the deployment is look-aside, or the fleet is large and
          traffic is low;
        - slow readers fill the buffers of answers, whatever the value of late answers.

        Any other answer is useful until the deadline: a proxy needs late answers for its first measurements.
        """
        ends_at_objective = self._deployment.look_aside or (
            self._traffic.low and self._deployment.large_fleet
        )
        ends_at_objective = ends_at_objective and not method.late_value
        # While slow readers fill the buffers, late answers are dropped: other clients would wait behind them.
        ends_at_objective = self._slow_readers.fill_buffers(now, method) or ends_at_objective
        if ends_at_objective and method.retry_safety == RetrySafety.IDEMPOTENT:
            objective_at = request.arrived_at + method.latency_objective_ms - OBJECTIVE_MARGIN_MS
            return min(request.expires_at, objective_at) - now
        return request.expires_at - now

    def incomplete_reply_due_at(self, request: Request) -> float:
        """Returns until when an incomplete reply is awaited (ms).

        A pause within a reply says nothing of its endpoint. The reply is awaited while another endpoint could
        still answer in its place, or until the deadline if there may be no other attempt.
        """
        method = self._settings.by_method[request.method]
        baseline_ms = self._latency.baseline_ms(request.method)
        kept_ms = MAX_SECOND_ATTEMPT_FRACTION * (request.expires_at - request.arrived_at)
        if baseline_ms:
            kept_ms = min(kept_ms, max(MIN_SECOND_ATTEMPT_MS, SECOND_ATTEMPT_BASELINES * baseline_ms))
        due_at = request.expires_at - kept_ms
        may_repeat = len(request.attempts) < self._settings.max_attempts and is_repeat_safe(
            due_at, method, request.first_possibly_run()
        )
        return due_at if may_repeat else request.expires_at

    def attempt_timeout_ms(self, now: float, request: Request, endpoint: Endpoint) -> float:
        """Returns the time-out of an attempt: a read times out while another endpoint can still answer.

        Without this, all requests that were sent to a failed machine would be lost.
        """
        method = self._settings.by_method[request.method]
        baseline_ms = self._latency.baseline_ms(request.method)
        is_cached = self._cached_keys.holds(endpoint.name, request.key)
        look_aside = self._deployment.look_aside
        remaining_ms = request.expires_at - now
        # A cancelled fetch is not stored: with repeated cancellations, an overload would not end.
        if is_cached or look_aside or self._slow_readers.fill_buffers(now, method):
            remaining_ms = self.remaining_ms(now, request, method)
        if not baseline_ms or not self._traffic.low or not self._retries.has_allowance():
            return remaining_ms
        if self._endpoints.cache(endpoint.name) is None:
            return remaining_ms
        fetch_timeout_ms = (
            0.0
            if is_cached or look_aside
            else FETCH_TIMEOUT_BASELINES * self._latency.fetch_baseline_ms + baseline_ms
        )
        read_timeout_ms = (
            READ_TIMEOUT_BASELINES * baseline_ms * self._outliers.fleet_relative_latency
            + self._zone_latency.extra_ms(endpoint)
        )
        timeout_ms = max(read_timeout_ms, fetch_timeout_ms)
        if (
            method.retry_safety == RetrySafety.IDEMPOTENT
            and remaining_ms - timeout_ms >= SECOND_ATTEMPT_BASELINES * baseline_ms
        ):
            return timeout_ms
        return remaining_ms
