"""Selection of one of a key's endpoints: its owner, unless that one is crowded, slow or ejected.

The owner of a key is the endpoint that ranks first for it. A spill is a request that goes to another endpoint
of the key because the owner is crowded.

Invariants: a request goes only to endpoints that the list has named, and to none at which an attempt failed
in a way that another attempt there would repeat.
"""

from random import Random

from calicofall.routing.endpoint import Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.origin_protection import OriginProtection
from calicofall.routing.outlier_detection import OutlierDetector
from calicofall.routing.request import Request, RetrySafety
from calicofall.routing.retry_policy import TRANSIENT_FAILURES, TRIAL_PROBABILITY
from calicofall.routing.slow_start import SlowStart

KEY_BITS = 52  # of the random key that a request without a key gets
SPILL_REQUESTS = 2  # an endpoint with so many requests of this proxy in flight is crowded
# Fraction of the latency objective: with longer mean waits at an endpoint its requests spill.
SPILL_WAIT_FRACTION = 0.12
# Fraction of the latency objective: a zone whose answers take so much longer than the nearest zone's is far.
FAR_ZONE_FRACTION = 0.25
# Requests of a key, times the price of a zone crossing, above which a copy in the own zone is worth a fetch.
LOCAL_COPY_CROSSING_COST = 0.1
# A request with fewer attempts than this gets no endpoint twice. With as many or more, it may get an endpoint
# again at which all of its attempts failed transiently: by then, it may have tried all endpoints of its key
# (placement.REPLICAS).
ATTEMPTS_BEFORE_REUSE = 3


class EndpointSelector:
    """Selects an endpoint for a request."""

    def __init__(
        self,
        shared: SharedComponents,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        origin_protection: OriginProtection,
    ) -> None:
        """Keeps no state of its own: its components do."""
        self._settings = shared.settings
        self._deployment = shared.deployment
        self._endpoints = shared.endpoints
        self._placement = shared.placement
        self._slow_start = slow_start
        self._outliers = outliers
        self._origin_protection = origin_protection
        self._cached_keys = shared.cached_keys
        self._key_counts = shared.key_counts
        self._traffic = shared.traffic
        self._zone_latency = shared.zone_latency
        self._gossip = shared.gossip

    def select(self, now: float, request: Request, random_generator: Random) -> Endpoint | None:
        """Returns the endpoint to forward a request to; None if none of its key's accepts it."""
        # A request without a key gets a random key, so that load follows the weights.
        key = request.key if request.key is not None else random_generator.getrandbits(KEY_BITS)
        candidates = self._candidates(now, request, key, random_generator)
        if not candidates:
            return self._origin_protection.spare_origin(now, request)
        admitted = [one for one in candidates if self._outliers.admits(now, one, random_generator)]
        if not admitted:
            # Without the origin, the only warm endpoint of a key would get an unbounded rate of requests,
            # most of which would time out.
            if self._traffic.low:
                return self._origin_protection.spare_origin(now, request)
            return max(candidates, key=lambda one: one.admitted_fraction)
        admitted = self._without_far_zones(admitted, random_generator)
        # An endpoint that lacks the key has to fetch it: spills would overload a busy origin.
        is_origin_busy = not request.attempts and self._origin_protection.is_busy(now)
        self._prefer_own_zone(admitted, key)
        return self._least_crowded(now, request, key, admitted, is_origin_busy, random_generator)

    def _candidates(self, now: float, request: Request, key: int, random_generator: Random) -> list[Endpoint]:
        """Returns the endpoints of the key that may get the request, best first."""
        attempts = request.attempts
        excluded = {
            one.endpoint
            for one in attempts
            if one.outcome not in TRANSIENT_FAILURES or len(attempts) < ATTEMPTS_BEFORE_REUSE
        }
        constraint = self._placement.constraints[request.method]
        candidates = [
            one
            for one in self._placement.ranking(key, constraint)
            if one.name not in excluded and self._is_allowed(now, request, one, random_generator)
        ]
        # After the limit of the origin shrank, spills that need a fetch would prolong its overload.
        is_spill = self._deployment.look_aside and attempts and not self._traffic.low
        if is_spill and self._origin_protection.limit_shrank_recently(now):
            return [one for one in candidates if self._cached_keys.holds(one.name, key)]
        return candidates

    def _is_allowed(self, now: float, request: Request, endpoint: Endpoint, random_generator: Random) -> bool:
        """Returns whether an endpoint may get a request: by deduplication and by warm-up admission."""
        first_attempt = request.first_possibly_run() if request.attempts else None
        if first_attempt is not None:
            method = self._settings.by_method[request.method]
            if method.retry_safety == RetrySafety.IDEMPOTENCY_KEY and not self._shares_deduplication(
                self._endpoints.cache(first_attempt.endpoint), endpoint, method.deduplication_group
            ):
                return False
        if not self._slow_start.is_warming_up(now, endpoint):
            return True
        return self._slow_start.admits(now, request.key, endpoint, random_generator)

    @staticmethod
    def _shares_deduplication(first_endpoint: Endpoint | None, endpoint: Endpoint, group: str | None) -> bool:
        """Returns whether an endpoint drops duplicates of a request that the first one may have run."""
        if group == "all":
            return True
        if first_endpoint is None:
            return False
        if group == "zone":
            return first_endpoint.zone == endpoint.zone
        return group != "cell" or first_endpoint.cell == endpoint.cell

    def _without_far_zones(self, endpoints: list[Endpoint], random_generator: Random) -> list[Endpoint]:
        """Returns the endpoints outside far zones; sometimes all, to measure the far zones again."""
        far_ms = FAR_ZONE_FRACTION * self._settings.latency_objective_ms
        near = [one for one in endpoints if self._zone_latency.extra_ms(one) < far_ms]
        if 0 < len(near) < len(endpoints) and random_generator.random() > TRIAL_PROBABILITY:
            return near
        return endpoints

    def _prefer_own_zone(self, endpoints: list[Endpoint], key: int) -> None:
        """Prefers endpoints of the own zone if zone crossings of a hot key cost more than a fetch."""
        key_requests = self._key_counts.count(key)
        if (
            self._deployment.look_aside
            and key_requests * self._deployment.cross_zone_cost > LOCAL_COPY_CROSSING_COST
        ):
            own_zone = self._deployment.zone
            endpoints.sort(key=lambda one: one.zone != own_zone)

    def _least_crowded(
        self,
        now: float,
        request: Request,
        key: int,
        endpoints: list[Endpoint],
        is_origin_busy: bool,
        random_generator: Random,
    ) -> Endpoint:
        """Returns the owner, or the first endpoint that is not crowded, holders of the key first."""
        owner, *others = endpoints
        if not self._is_crowded(now, owner, is_origin_busy, random_generator):
            return owner
        look_aside = self._deployment.look_aside
        holds = self._cached_keys.holds
        others.sort(key=lambda one: not holds(one.name, key))  # a spill to a holder of the key needs no fetch
        for one in others:
            if self._is_crowded(now, one, is_origin_busy, random_generator):
                continue
            if look_aside or not is_origin_busy or holds(one.name, key):
                return one
        if is_origin_busy and not look_aside:
            return owner
        weights = self._placement.weights
        return self._origin_protection.spare_origin(now, request) or min(
            endpoints,
            key=lambda one: (one.in_flight, one.mean_wait_ms(now), one.sent.count(now) / weights[one.name]),
        )

    def _is_crowded(
        self, now: float, endpoint: Endpoint, is_origin_busy: bool, random_generator: Random
    ) -> bool:
        """Returns whether an endpoint is over a spill threshold: of waits, requests in flight or sent."""
        if self._gossip.peer_count:
            wait_ms = endpoint.mean_wait_ms(now)
            max_wait_ms = SPILL_WAIT_FRACTION * self._settings.latency_objective_ms
            if wait_ms > max_wait_ms and random_generator.random() * wait_ms > max_wait_ms:
                return True
        if endpoint.in_flight >= SPILL_REQUESTS or is_origin_busy or not self._traffic.low:
            return endpoint.in_flight >= SPILL_REQUESTS
        # Each of many proxies rarely has two requests in flight at an endpoint, although few keys may cause
        # most of the load: requests sent are compared instead.
        return endpoint.sent.count(now) > self._traffic.expected_count(now, endpoint)
