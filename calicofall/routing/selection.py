"""Which of a key's endpoints a request goes to: its owner, unless that one is crowded, slow or ejected.

Invariants: a request goes only to endpoints that the list has named, and to none where it was refused for
good.
"""

from random import Random

from calicofall.routing.endpoint import Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.origin_protection import OriginProtection
from calicofall.routing.outlier_detection import OutlierDetector
from calicofall.routing.request import Request, RetrySafety
from calicofall.routing.retry_policy import TRANSIENT_FAILURES, TRIAL_PROBABILITY
from calicofall.routing.slow_start import SlowStart

KEY_BITS = 52  # of a key that is drawn for a request without one
SPILL_REQUESTS = 2  # requests of this proxy in flight at an endpoint from which it spills
LONG_WAIT = 0.12  # of the latency objective: waits over which a key passes on to its next endpoint
FAR = 0.25  # of the latency objective: a way to a zone that is so much longer is slow
NEAR_COPY_CROSSINGS = 0.1  # crossings that a copy in this zone saves, by their price
TRIES_BEFORE_REUSE = 3  # attempts after which an endpoint that failed by chance is not tried again


class EndpointSelector:
    """Selects an endpoint for a request."""

    def __init__(
        self,
        shared: SharedComponents,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        origin_protection: OriginProtection,
    ) -> None:
        """Holds no state of its own: the parts it is given do."""
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
        """The endpoint that a request goes to now; None where none of its key's endpoints takes it."""
        # A request without a key has no owner: it draws one, so that load still follows the weights.
        key = request.key if request.key is not None else random_generator.getrandbits(KEY_BITS)
        candidates = self._candidates(now, request, key, random_generator)
        if not candidates:
            return self._origin_protection.spare_origin(now, request)
        admitted = [one for one in candidates if self._outliers.admits(now, one, random_generator)]
        if not admitted:
            # Without the origin's help, a key's one warm endpoint would get requests without end, of which
            # most time out.
            if self._traffic.low:
                return self._origin_protection.spare_origin(now, request)
            return max(candidates, key=lambda one: one.admitted_fraction)
        admitted = self._without_far(admitted, random_generator)
        # A neighbour that lacks the key has to fetch it: spills would fill a busy origin.
        busy = not request.attempts and self._origin_protection.is_busy(now)
        self._prefer_own_zone(admitted, key)
        return self._least_crowded(now, request, key, admitted, busy, random_generator)

    def _candidates(self, now: float, request: Request, key: int, random_generator: Random) -> list[Endpoint]:
        """The key's endpoints that may be sent the request, best first."""
        attempts = request.attempts
        tried = {
            one.endpoint
            for one in attempts
            if one.outcome not in TRANSIENT_FAILURES or len(attempts) < TRIES_BEFORE_REUSE
        }
        place = self._placement.constraints[request.method]
        candidates = [
            one
            for one in self._placement.ranking(key, place)
            if one.name not in tried and self._is_allowed(now, request, one, random_generator)
        ]
        # After a fall of its limit, spills that have to be fetched would fill the jammed origin.
        is_spill = self._deployment.look_aside and attempts and not self._traffic.low
        if is_spill and self._origin_protection.limit_shrank_recently(now):
            return [one for one in candidates if self._cached_keys.holds(one.name, key)]
        return candidates

    def _is_allowed(self, now: float, request: Request, endpoint: Endpoint, random_generator: Random) -> bool:
        """Whether a repeat is dropped there where it has to be, and a warm-up leaves room for it."""
        first = request.first_possibly_run() if request.attempts else None
        if first is not None:
            method = self._settings.by_method[request.method]
            if method.retry_safety == RetrySafety.IDEMPOTENCY_KEY and not self._shares_repeats(
                self._endpoints.cache(first.endpoint), endpoint, method.deduplication_group
            ):
                return False
        if not self._slow_start.is_warming_up(now, endpoint):
            return True
        return self._slow_start.admits(now, request.key, endpoint, random_generator)

    @staticmethod
    def _shares_repeats(first: Endpoint | None, endpoint: Endpoint, group: str | None) -> bool:
        """Whether an endpoint drops repeats of what the first one may have run."""
        if group == "all":
            return True
        if first is None:
            return False
        if group == "zone":
            return first.zone == endpoint.zone
        return group != "cell" or first.cell == endpoint.cell

    def _without_far(self, endpoints: list[Endpoint], random_generator: Random) -> list[Endpoint]:
        """Those to which the way is not slow, which is no endpoint's fault; sometimes all, as a trial."""
        far = FAR * self._settings.latency_objective_ms
        near = [one for one in endpoints if self._zone_latency.extra_ms(one) < far]
        if 0 < len(near) < len(endpoints) and random_generator.random() > TRIAL_PROBABILITY:
            return near
        return endpoints

    def _prefer_own_zone(self, endpoints: list[Endpoint], key: int) -> None:
        """Where crossings of a popular key cost more than a fetch, a copy in this zone serves it."""
        asked = self._key_counts.count(key)
        if self._deployment.look_aside and asked * self._deployment.cross_zone_cost > NEAR_COPY_CROSSINGS:
            own = self._deployment.zone
            endpoints.sort(key=lambda one: one.zone != own)

    def _least_crowded(
        self,
        now: float,
        request: Request,
        key: int,
        endpoints: list[Endpoint],
        busy: bool,
        random_generator: Random,
    ) -> Endpoint:
        """The first that is not crowded, of those that hold the key before the others."""
        owner, *others = endpoints
        if not self._is_crowded(now, owner, busy, random_generator):
            return owner
        look_aside = self._deployment.look_aside
        holds = self._cached_keys.holds
        others.sort(key=lambda one: not holds(one.name, key))  # a spill needs no fetch where the key is held
        for one in others:
            if self._is_crowded(now, one, busy, random_generator):
                continue
            if look_aside or not busy or holds(one.name, key):
                return one
        if busy and not look_aside:
            return owner
        weights = self._placement.weights
        return self._origin_protection.spare_origin(now, request) or min(
            endpoints,
            key=lambda one: (one.in_flight, one.mean_wait_ms(now), one.sent.count(now) / weights[one.name]),
        )

    def _is_crowded(self, now: float, endpoint: Endpoint, busy: bool, random_generator: Random) -> bool:
        """Whether it is over its spill threshold: in flight, in waits, or in what it was lately sent."""
        if self._gossip.peer_count:
            wait = endpoint.mean_wait_ms(now)
            most = LONG_WAIT * self._settings.latency_objective_ms
            if wait > most and random_generator.random() * wait > most:
                return True
        if endpoint.in_flight >= SPILL_REQUESTS or busy or not self._traffic.low:
            return endpoint.in_flight >= SPILL_REQUESTS
        # One of many proxies never has two in flight, while few keys may make most of the load.
        return endpoint.sent.count(now) > self._traffic.expected_count(now, endpoint)
