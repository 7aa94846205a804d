"""Slow start and warm-up admission: a newly started endpoint gets less than its share of the load.

Its weight rises linearly on a ramp after its start. While it warms up, its cache is empty and requests to it
are expensive, so that only a random part of them is admitted, up to a share of the rate of warm endpoints.
"""

from math import inf
from random import Random

from calicofall.routing.concurrency_limit import UPDATE_INTERVAL_MS
from calicofall.routing.endpoint import WARMING_SPAN_MS, Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.sliding_window import SlidingWindow

MAX_RAMP_MS = 14_000.0  # longest time from an endpoint's listed start until it has its whole weight
MAX_RAMP_WARM_UPS = 5.0  # a ramp lasts at most so many times the warm-up time
RAMP_STEPS = 20.0  # number of times that weights are computed during a ramp
INITIAL_WEIGHT_FRACTION = 0.1  # fraction of its weight that an endpoint has at its start
WARM_RATE_SPAN_MS = 10_000.0  # the request rate of warm endpoints is measured over this time
DECAY_PER_UPDATE = 0.98  # of the warm request rate and weight, so that older measurements count for less
# Fraction of the rate that the settings permit an endpoint during warm-up, used as the limit of admission.
ADMITTED_FRACTION = 0.6
LOW_TRAFFIC_ADMITTED_FRACTION = 1.0


class SlowStart:
    """The ramp of weights, and the admission of requests to endpoints that warm up."""

    def __init__(self, now: float, assigned_rate: float, shared: SharedComponents) -> None:
        """Starts without a measured rate.

        Args:
            now: Current time (ms).
            assigned_rate: This proxy's share of the rate that a warm endpoint serves (requests per ms and
                unit of weight); 0 if it is not known.
            shared: Settings and measurements of the policy.
        """
        settings = shared.settings
        self._settings = settings
        self._deployment = shared.deployment
        self._placement = shared.placement
        self._traffic = shared.traffic
        self._key_counts = shared.key_counts
        # With a longer ramp, a fleet that warms up in a second and is replaced every few seconds would never
        # reach its whole weight.
        self.ramp_ms = min(MAX_RAMP_MS, MAX_RAMP_WARM_UPS * settings.warm_up_ms)
        self.created_at = now
        self.refresh_at = inf
        self.warm_weight: float = 0.0  # sum of the current weights of warm endpoints
        self.recent_warm_weight: float = 0.0  # highest recent value of it, which decays
        self.warm_completions = SlidingWindow(WARM_RATE_SPAN_MS, 20)  # requests that warm endpoints answered
        self.warm_request_rate: float = 0.0  # measured here, per ms and unit of weight
        self.assigned_rate = assigned_rate

    def weight(self, now: float, endpoint: Endpoint) -> float:
        """Returns the current weight: on the ramp after its start a fraction of the listed one."""
        if not endpoint.started_at:
            return float(endpoint.weight)
        age = max(0.0, now - endpoint.started_at)
        return endpoint.weight * min(
            1.0, INITIAL_WEIGHT_FRACTION + (1.0 - INITIAL_WEIGHT_FRACTION) * age / self.ramp_ms
        )

    def is_warming_up(self, now: float, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint started so recently that its cache is still cold."""
        started = endpoint.started_at
        return started > 0 and now - started < self._settings.warm_up_ms

    def on_refresh(self, now: float) -> None:
        """Schedules the next computation of weights, after weights were computed."""
        warm_endpoints = [one for one in self._placement.endpoints() if not self.is_warming_up(now, one)]
        self.warm_weight = sum(self._placement.weights[one.name] for one in warm_endpoints)
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
        """Returns whether weights have to be computed."""
        return now >= self.refresh_at

    def on_completed(self, now: float, warming_up: bool) -> None:
        """Counts a request that an endpoint answered."""
        self.warm_completions.add(now, count=not warming_up)

    def update(self, now: float) -> None:
        """Updates the request rate of warm endpoints."""
        # Without this, after a mass restart, the requests that all endpoints answered before it would be
        # attributed to the few that are still warm.
        self.recent_warm_weight = max(self.warm_weight, self.recent_warm_weight * DECAY_PER_UPDATE)
        if self.recent_warm_weight:
            rate = self.warm_completions.count(now) / self.recent_warm_weight / WARM_RATE_SPAN_MS
            self.warm_request_rate = max(rate, self.warm_request_rate * DECAY_PER_UPDATE)

    def admits(self, now: float, key: int | None, endpoint: Endpoint, random_generator: Random) -> bool:
        """Returns whether a request may go to an endpoint that warms up, by a random draw.

        The expected rate of admitted requests stays below the limit on the load of warming endpoints. The
        ramp of weights alone does not keep that limit if most of the fleet warms up, nor for spills, retries
        and hot keys.
        """
        settings = self._settings
        endpoint.warming_requests.add(now)
        share = settings.warm_up_share
        warm_up_progress = max(0.0, now - endpoint.started_at) / settings.warm_up_ms
        permitted_share = (share + (1 - share) * min(1.0, warm_up_progress)) * settings.overload_multiple
        warm_rate = max(
            max(self.warm_request_rate, self.assigned_rate) * endpoint.weight,
            1.5 / settings.latency_objective_ms / self._deployment.proxies,
        )
        wanted_rate = self._wanted_rate(now, key, endpoint)
        admitted_fraction = LOW_TRAFFIC_ADMITTED_FRACTION if self._traffic.low else ADMITTED_FRACTION
        return (
            random_generator.random() * wanted_rate
            < admitted_fraction * permitted_share * warm_rate / settings.process_count
        )

    def _wanted_rate(self, now: float, key: int | None, endpoint: Endpoint) -> float:
        """Estimates the requests per ms that would go to an endpoint without admission control.

        The highest of three estimates is used: by the endpoint's weight, by the requests of the key, and by
        the requests that asked to be admitted.
        """
        placement = self._placement
        observed_ms = max(500.0, min(10_000.0, now - self.created_at))
        by_weight = (
            (self._traffic.recent_count(now) + 1)
            / observed_ms
            * placement.weight_of(endpoint)
            / placement.total_weight
        )
        # Without the key's own count, all proxies together would send a hot key far too often to its owner
        # that warms up, although each of them sends it rarely.
        key_requests = self._key_counts.count(key)
        key_span_ms = min(now - self.created_at, self._key_counts.span_ms(now))
        admission_requests = endpoint.warming_requests.count(now)
        counted = (
            (key_requests, key_span_ms),
            (admission_requests, min(now - endpoint.started_at, WARMING_SPAN_MS)),
        )
        return max([by_weight, *(count / max(1000.0, span_ms) for count, span_ms in counted if count >= 2)])
