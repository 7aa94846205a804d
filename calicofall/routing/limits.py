"""The two concurrency limits of a proxy: of the whole fleet of caches, and of the origin."""

from random import Random

from calicofall.routing.actions import Outbox
from calicofall.routing.concurrency_limit import UPDATE_INTERVAL_MS, ConcurrencyLimit
from calicofall.routing.latency import LatencyBaselines
from calicofall.routing.request import Request
from calicofall.routing.settings import Deployment, RoutingSettings
from calicofall.routing.traffic import Traffic

MIN_SAMPLES = 8  # smallest number of latencies by which a limit changes
LOOK_ASIDE_ORIGIN_MIN_SAMPLES = 2  # if the proxy sends to the origin itself, each answer tells more
MAX_WINDOW_MS = 1000.0  # longest time in which an overload is assumed to build up
OVERLOAD_SPAN_MS = 4000.0  # an overload is over when the fleet limit has not decreased for so long
# Floors and initial values of the limits: requests in flight per endpoint, of all proxies together.
FLEET_FLOOR = 2.5
ORIGIN_FLOOR = 0.5
INITIAL_FLEET_LIMIT = 6.0
INITIAL_ORIGIN_LIMIT = 3.0
# Highest initial origin limit of a proxy (requests in flight), unless its share of one per endpoint is more.
MAX_INITIAL_FETCHES = 3.0
MAX_FLOOR_DIVISOR = 8.0  # late fetches reduce the origin's floor at most to its usual value / this
FLOOR_FALL, FLOOR_RISE = 0.7, 1.02  # factors of the origin's floor at each update


class Limits:
    """The concurrency limits, with their initial values and floors."""

    def __init__(
        self, now: float, settings: RoutingSettings, deployment: Deployment, latency: LatencyBaselines
    ) -> None:
        """Creates limits of one request each, until the endpoint list arrives."""
        self._settings = settings
        self._deployment = deployment
        self._latency = latency
        window_ms = min(MAX_WINDOW_MS, 2.0 * settings.latency_objective_ms)  # an overload builds up in it
        origin_min_samples = LOOK_ASIDE_ORIGIN_MIN_SAMPLES if deployment.look_aside else MIN_SAMPLES
        self.fleet_limit = ConcurrencyLimit(now, deployment.proxies, MIN_SAMPLES, window_ms)
        self.origin_limit = ConcurrencyLimit(now, deployment.proxies, origin_min_samples, window_ms)
        self.max_origin_floor = 0.0  # the origin's floor while fetches are in time; 0: no list yet
        self.overloaded = False

    def on_endpoint_count(self, count: int) -> None:
        """Sets the floors by this proxy's share of the usable endpoints.

        Without the division by the number of proxies, the sum of their floors would overload the endpoints.
        """
        share = self._share(count)
        floor = ORIGIN_FLOOR * share
        self.origin_limit.floor = min(self.origin_limit.floor, floor) if self.max_origin_floor else floor
        self.fleet_limit.floor = FLEET_FLOOR * share
        self.max_origin_floor = floor

    def start(self, count: int, random_generator: Random) -> None:
        """Sets initial limits for a number of endpoints, before any measurement."""
        share = self._share(count)
        # Without this bound, the first fetches of all proxies would overload the origin behind the caches.
        max_initial = (
            INITIAL_ORIGIN_LIMIT * share if self._deployment.look_aside else max(share, MAX_INITIAL_FETCHES)
        )
        self.fleet_limit.start_from(INITIAL_FLEET_LIMIT * share, random_generator)
        self.origin_limit.start_from(min(INITIAL_ORIGIN_LIMIT * share, max_initial), random_generator)

    def _share(self, count: int) -> float:
        return max(1, count) / self._deployment.proxies

    def admits(self, now: float, limit: ConcurrencyLimit, request: Request, low_traffic: bool) -> bool:
        """Returns whether a request may start, by its tenant's quota and its method's priority.

        A request beyond the quota may use half of the limit, or 0.8 of it with low traffic. A request within
        the quota may use from 0.75 to all of it, the more, the closer its priority is to the highest one.
        """
        limit_fraction = 0.8 if low_traffic else 0.5
        if request.within_quota:
            limit_fraction = 0.75 + 0.25 * self._settings.priority[request.method]
        return limit.may_start(now, limit_fraction)

    def update(self, now: float) -> None:
        """Updates both limits by recent latencies."""
        self.fleet_limit.update(now)
        # The sum of all proxies' floors may overload the origin, so that all fetches are too late.
        fetch_latency_ms = (
            self.origin_limit.relative_latencies.recent_mean(now, 2, UPDATE_INTERVAL_MS) or 0.0
        ) * self._latency.fetch_baseline_ms
        are_fetches_late = fetch_latency_ms > self._settings.latency_objective_ms
        change = FLOOR_FALL if are_fetches_late and self._deployment.look_aside else FLOOR_RISE
        floor = max(self.max_origin_floor / MAX_FLOOR_DIVISOR, self.origin_limit.floor * change)
        self.origin_limit.floor = min(self.max_origin_floor, floor)
        self.origin_limit.update(now)

    def log_overload(self, now: float, relative_latency: float, outbox: Outbox) -> None:
        """Logs when an overload begins and when it is over."""
        if self.overloaded == (0.0 < self.fleet_limit.decreased_at > now - OVERLOAD_SPAN_MS):
            return
        self.overloaded = not self.overloaded
        outbox.log(
            f"overload {'begins' if self.overloaded else 'over'}: limit "
            f"{self.fleet_limit.value:.2f}, answers {relative_latency:.1f} of usual"
        )

    def update_tolerances(self, traffic: Traffic) -> None:
        """Sets the tolerated relative latencies by the baselines, which an overload may have raised.

        Answers and fetches must be fast enough to leave time within the latency objective.
        """
        objective_ms = self._settings.latency_objective_ms
        baseline_ms = self._latency.longest_baseline_ms
        # An answer may take 1.6 times the longest baseline, or a quarter of the latency objective if that is
        # longer, but at most 0.6 of the objective.
        self.fleet_limit.tolerance = min(
            max(1.6, objective_ms / 4.0 / baseline_ms), 0.6 * objective_ms / baseline_ms
        )
        # A fetch may take `useful_fraction` of the longest time for which a fetch is useful, but at least
        # `min_tolerance` times and at most 2.5 times its baseline.
        min_tolerance, useful_fraction = 1.6 if traffic.low else 1.2, 0.8
        if self._deployment.look_aside:
            min_tolerance, useful_fraction = 0.2, 0.5
        useful_latency = (
            useful_fraction * self._settings.max_useful_fetch_ms / self._latency.fetch_baseline_ms
        )
        self.origin_limit.tolerance = min(2.5, max(min_tolerance, useful_latency))
