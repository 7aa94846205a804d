"""The two limits on requests in flight of a proxy: at the whole fleet of caches, and at the origin."""

from random import Random

from calicofall.routing.actions import Outbox
from calicofall.routing.concurrency_limit import UPDATE_INTERVAL_MS, ConcurrencyLimit
from calicofall.routing.latency import LatencyBaselines
from calicofall.routing.request import Request
from calicofall.routing.settings import Deployment, RoutingSettings
from calicofall.routing.traffic import Traffic

MIN_SAMPLES = 8
LOOK_ASIDE_ORIGIN_MIN_SAMPLES = 2  # where the origin is asked directly, each answer tells more
MAX_WINDOW_MS = 1000.0
OVERLOAD_SPAN_MS = 4000.0  # an overload is over when the fleet's limit did not shrink for so long
FLEET_FLOOR = 2.5  # requests in flight to each endpoint, of all proxies together, that no overload takes away
ORIGIN_FLOOR = 0.5
FLEET_START = 6.0  # requests in flight to each endpoint that a proxy begins with
ORIGIN_START = 3.0
FIRST_FETCHES = 3.0  # of a proxy at the most, unless its part of one for each endpoint is more
MIN_FLOOR_PART = 8.0  # of the origin's floor, while fetches are too late
FLOOR_FALL, FLOOR_RISE = 0.7, 1.02  # of the origin's floor, at each update


class Limits:
    """The concurrency limits, and what they begin from and never fall below."""

    def __init__(
        self, now: float, settings: RoutingSettings, deployment: Deployment, latency: LatencyBaselines
    ) -> None:
        """Limits of one request each, until a list tells of endpoints."""
        self._settings = settings
        self._deployment = deployment
        self._latency = latency
        window = min(MAX_WINDOW_MS, 2.0 * settings.latency_objective_ms)  # in which an overload builds up
        origin_samples = LOOK_ASIDE_ORIGIN_MIN_SAMPLES if deployment.look_aside else MIN_SAMPLES
        self.fleet_limit = ConcurrencyLimit(now, deployment.proxies, MIN_SAMPLES, window)
        self.origin_limit = ConcurrencyLimit(now, deployment.proxies, origin_samples, window)
        self.max_origin_floor = 0.0
        self.overloaded = False

    def on_endpoint_count(self, count: int) -> None:
        """So many endpoints are usable now: floors follow, by this proxy's part.

        Without the division, all proxies' floors together would be more than an endpoint can bear.
        """
        share = self._share(count)
        floor = ORIGIN_FLOOR * share
        self.origin_limit.floor = min(self.origin_limit.floor, floor) if self.max_origin_floor else floor
        self.fleet_limit.floor = FLEET_FLOOR * share
        self.max_origin_floor = floor

    def start(self, count: int, random_generator: Random) -> None:
        """Begins from so many endpoints, before anything was measured."""
        share = self._share(count)
        # Without this bound, all proxies' first fetches together would overload the origin behind the caches.
        bound = ORIGIN_START * share if self._deployment.look_aside else max(share, FIRST_FETCHES)
        self.fleet_limit.start_from(FLEET_START * share, random_generator)
        self.origin_limit.start_from(min(ORIGIN_START * share, bound), random_generator)

    def _share(self, count: int) -> float:
        return max(1, count) / self._deployment.proxies

    def admits(self, now: float, limit: ConcurrencyLimit, request: Request, low_traffic: bool) -> bool:
        """Whether this request finds room: over its quota first out, then by least priority."""
        part = 0.8 if low_traffic else 0.5
        if request.within_quota:
            part = 0.75 + 0.25 * self._settings.priority[request.method]
        return limit.may_start(now, part)

    def update(self, now: float) -> None:
        """Fits both limits to the latencies of late."""
        self.fleet_limit.update(now)
        # Floors of all proxies may add up to an overload, in which all fetches come too late.
        latency = (
            self.origin_limit.relative_latencies.recent_mean(now, 2, UPDATE_INTERVAL_MS) or 0.0
        ) * self._latency.fetch_baseline_ms
        late = latency > self._settings.latency_objective_ms
        change = FLOOR_FALL if late and self._deployment.look_aside else FLOOR_RISE
        floor = max(self.max_origin_floor / MIN_FLOOR_PART, self.origin_limit.floor * change)
        self.origin_limit.floor = min(self.max_origin_floor, floor)
        self.origin_limit.update(now)

    def log_overload(self, now: float, relative_latency: float, outbox: Outbox) -> None:
        """Tells in the log when an overload begins, and when it is over."""
        if self.overloaded == (0.0 < self.fleet_limit.decreased_at > now - OVERLOAD_SPAN_MS):
            return
        self.overloaded = not self.overloaded
        outbox.log(
            f"overload {'begins' if self.overloaded else 'over'}: limit "
            f"{self.fleet_limit.value:.2f}, answers {relative_latency:.1f} of usual"
        )

    def update_tolerances(self, traffic: Traffic) -> None:
        """Fits the tolerated latencies to the baselines, which may have been found in an overload.

        Answers and fetches have to leave time within the latency objective.
        """
        objective = self._settings.latency_objective_ms
        slowest = self._latency.longest_baseline_ms
        self.fleet_limit.tolerance = min(max(1.6, objective / 4.0 / slowest), 0.6 * objective / slowest)
        least, part = 1.6 if traffic.low else 1.2, 0.8
        if self._deployment.look_aside:
            least, part = 0.2, 0.5
        useful = part * self._settings.max_useful_fetch_ms / self._latency.fetch_baseline_ms
        self.origin_limit.tolerance = min(2.5, max(least, useful))
