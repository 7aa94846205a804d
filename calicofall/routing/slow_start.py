"""Slow start and warm-up admission: an endpoint that has just started is sent less than it owns.

Its weight rises linearly over a ramp after its start. While it warms up, its caches are empty and its
requests expensive, so that requests to it are admitted by chance, up to a share of what warm ones carry.
"""

from math import inf
from random import Random

from calicofall.routing.concurrency_limit import UPDATE_INTERVAL_MS
from calicofall.routing.endpoint import WARMING_SPAN_MS, Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.sliding_window import SlidingWindow

MAX_RAMP_MS = 14_000.0  # of a weight after the listed start
RAMP_WARM_UPS = 5.0  # a ramp lasts at most so many times the time of warming up
RAMP_STEPS = 20.0  # times that weights are computed anew in a ramp
FIRST_WEIGHT = 0.1  # of the weight, at the start
CARRIED_SPAN_MS = 10_000.0
FORGET = 0.98  # of what was carried, at each update: the past counts for less and less
ADMITTED_PART = 0.6  # of what the rule lets an endpoint be sent that warms up
LOW_TRAFFIC_ADMITTED_PART = 1.0


class SlowStart:
    """The ramp of weights, and the chance of requests to endpoints that warm up."""

    def __init__(self, now: float, assigned_rate: float, shared: SharedComponents) -> None:
        """Nothing is known to be carried.

        Args:
            now: The present (ms).
            assigned_rate: This proxy's part of what an endpoint can serve, where told (requests a ms and
                unit of weight); else 0.
            shared: What the policy knows.
        """
        settings = shared.settings
        self._settings = settings
        self._deployment = shared.deployment
        self._placement = shared.placement
        self._traffic = shared.traffic
        self._key_counts = shared.key_counts
        # With a longer ramp, a fleet that warms in a second and is replaced every few seconds would never
        # have its whole weight.
        self.ramp_ms = min(MAX_RAMP_MS, RAMP_WARM_UPS * settings.warm_up_ms)
        self.created_at = now
        self.refresh_at = inf
        self.warm_weight: float = 0.0  # sum of the present weights of warm endpoints
        self.recent_warm_weight: float = 0.0
        self.warm_completions = SlidingWindow(CARRIED_SPAN_MS, 20)  # by warm endpoints
        self.warm_request_rate: float = 0.0  # by warm endpoints here, per ms and unit of weight
        self.assigned_rate = assigned_rate

    def weight(self, now: float, endpoint: Endpoint) -> float:
        """Its present weight: a part of the listed one on the ramp after its start."""
        if not endpoint.started_at:
            return float(endpoint.weight)
        age = max(0.0, now - endpoint.started_at)
        return endpoint.weight * min(1.0, FIRST_WEIGHT + (1.0 - FIRST_WEIGHT) * age / self.ramp_ms)

    def is_warming_up(self, now: float, endpoint: Endpoint) -> bool:
        """Whether it started so lately that its caches are empty."""
        started = endpoint.started_at
        return started > 0 and now - started < self._settings.warm_up_ms

    def on_refresh(self, now: float) -> None:
        """Weights were computed anew: when they are the next time."""
        warm = [one for one in self._placement.endpoints() if not self.is_warming_up(now, one)]
        self.warm_weight = sum(self._placement.weights[one.name] for one in warm)
        if any(self._is_on_ramp(now, one) for one in self._placement.endpoints()):
            self.refresh_at = now + self.ramp_ms / RAMP_STEPS
        elif self._placement.has_constrained_methods():
            self.refresh_at = now + 8 * UPDATE_INTERVAL_MS
        else:
            self.refresh_at = inf

    def _is_on_ramp(self, now: float, endpoint: Endpoint) -> bool:
        started = endpoint.started_at
        return bool(started) and now - started < self.ramp_ms or self.is_warming_up(now, endpoint)

    def is_refresh_due(self, now: float) -> bool:
        """Whether weights are to be computed anew."""
        return now >= self.refresh_at

    def on_completed(self, now: float, warming_up: bool) -> None:
        """An endpoint answered a request."""
        self.warm_completions.add(now, count=not warming_up)

    def update(self, now: float) -> None:
        """Measures anew what warm endpoints carry."""
        # Without this, after a mass restart, what all had carried would be put down to the few still warm.
        self.recent_warm_weight = max(self.warm_weight, self.recent_warm_weight * FORGET)
        if self.recent_warm_weight:
            rate = self.warm_completions.count(now) / self.recent_warm_weight / CARRIED_SPAN_MS
            self.warm_request_rate = max(rate, self.warm_request_rate * FORGET)

    def admits(self, now: float, key: int | None, endpoint: Endpoint, random_generator: Random) -> bool:
        """Whether a request may go to an endpoint that warms up: by chance, up to what the rule allows.

        The ramp of weights alone does not keep the rule where most of the fleet warms up, for spills, for
        retries and for a hot key.
        """
        settings = self._settings
        endpoint.warming_requests.add(now)
        share = settings.warm_up_share
        age = max(0.0, now - endpoint.started_at) / settings.warm_up_ms
        part = (share + (1 - share) * min(1.0, age)) * settings.overload_multiple
        rate = max(
            max(self.warm_request_rate, self.assigned_rate) * endpoint.weight,
            1.5 / settings.latency_objective_ms / self._deployment.proxies,
        )
        wanted = self._wanted_rate(now, key, endpoint)
        admitted = LOW_TRAFFIC_ADMITTED_PART if self._traffic.low else ADMITTED_PART
        return random_generator.random() * wanted < admitted * part * rate / settings.process_count

    def _wanted_rate(self, now: float, key: int | None, endpoint: Endpoint) -> float:
        """Requests a ms that would go there: by its weight, by the key, by what came; the most of them."""
        placement = self._placement
        seen = max(500.0, min(10_000.0, now - self.created_at))
        by_weight = (
            (self._traffic.recent_count(now) + 1)
            / seen
            * placement.weight_of(endpoint)
            / placement.total_weight
        )
        # Without the key's own count, a hot key whose owner warms up would be sent there by all proxies
        # together far too often, while each sends it seldom.
        asked = self._key_counts.count(key)
        span = min(now - self.created_at, self._key_counts.span_ms(now))
        came = endpoint.warming_requests.count(now)
        counted = (asked, span), (came, min(now - endpoint.started_at, WARMING_SPAN_MS))
        return max([by_weight, *(count / max(1000.0, over) for count, over in counted if count >= 2)])
