"""All decisions of a proxy: where a request goes, what follows an outcome, how long to wait.

The policy is deterministic in what it is handed and its seed; times are ms with fractions. Three calls lead
it: `decide` says where to forward a request, or that it waits, or that it is given up; `on_attempt_result`
takes an attempt's outcome and decides again; `next_wakeup`, after each batch, tells when it is to be called
next, and what it asks for beside. News comes by `on_endpoint_list`, `on_gossip` and `on_client_disconnected`.

Invariants: it touches no socket, clock or log, and forwards only to endpoints that the list has named.
"""

from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

from calicofall.routing.actions import Action, CloseConnections, Outbox
from calicofall.routing.attempt_observer import AttemptObserver
from calicofall.routing.cached_keys import FetchLikelihood, KeyRequestCounts, RecentlyCachedKeys
from calicofall.routing.concurrency_limit import UPDATE_INTERVAL_MS, ConcurrencyLimit
from calicofall.routing.decisions import Decision, Fail, Forward, Reject, Wait
from calicofall.routing.endpoint import Endpoint
from calicofall.routing.endpoint_table import EndpointTable, ListEntry
from calicofall.routing.gossip_exchange import GossipExchange
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.latency import MIN_SAMPLES, LatencyBaselines, ZoneLatency
from calicofall.routing.limits import Limits
from calicofall.routing.list_polling import ListPolling
from calicofall.routing.origin_protection import OriginProtection
from calicofall.routing.outlier_detection import OutlierDetector
from calicofall.routing.placement import Placement
from calicofall.routing.request import Attempt, AttemptOutcome, Request
from calicofall.routing.retry_policy import RetryPolicy
from calicofall.routing.selection import EndpointSelector
from calicofall.routing.settings import Deployment, MethodSettings, RawMethod, RoutingSettings, proxy_count
from calicofall.routing.slow_readers import SlowReaders
from calicofall.routing.slow_start import SlowStart
from calicofall.routing.tenant_quota import TenantQuotas, quota_shares
from calicofall.routing.timeouts import Timeouts
from calicofall.routing.traffic import RelativeCapacity, Traffic

MEASURE_INTERVAL_MS = 8 * UPDATE_INTERVAL_MS  # between two looks at what changes slowly
MIN_LEFT_MS = 2.0  # with less time left, no answer would come
HEAVY_WORK = 0.8  # of the latency objective: a request with more work is not answered by a cache in time
WAIT_MS = 15.0  # until a request that found no room is decided on again
MIN_LEFT_TO_WAIT_MS = 20.0
PATIENCE, RETRY_PATIENCE = 0.25, 0.5  # of the latency objective, in which a request waits for room
IDLE_CONNECTION_FACTOR = 100.0
FETCH = "fetch"  # the baseline of a fetch, among those of methods, in what is kept
# Outcomes after which a request is decided on again without a retry being paid for.
UNPAID_OUTCOMES = frozenset(
    {
        AttemptOutcome.MISSED,
        AttemptOutcome.FULL,
        AttemptOutcome.UNCONNECTED,
        AttemptOutcome.EXPIRED,
        AttemptOutcome.WITHHELD,
    }
)


class RoutingPolicy:
    """The routing policy of one proxy: an outline over the parts that know something."""

    def __init__(self, deployment: Mapping[str, Any], seed: int, now: float) -> None:
        """A policy that knows no endpoint yet.

        Args:
            deployment: Settings, as `config.settings` gives them out.
            seed: Of all its random draws.
            now: The present (ms).
        """
        self.random_generator = Random(seed)
        known = self._create_shared_components(now, deployment)
        self._create_decision_components(now, deployment, known)
        self.next_update_at = now
        self.next_measurement_at = now

    def _create_shared_components(self, now: float, deployment: Mapping[str, Any]) -> SharedComponents:
        """The parts that hold settings and measures."""
        self.settings = RoutingSettings(deployment)
        self.deployment = Deployment(deployment)
        self.outbox = Outbox()
        self.polling = ListPolling(now, deployment.get("discovery") == "ask", self.outbox)
        self.endpoints = EndpointTable(self.settings, self.deployment)
        self.placement = Placement(self.settings.placement_constraints())
        self.latency = LatencyBaselines(self.settings.methods, self.settings.latency_objective_ms)
        self.zone_latency = ZoneLatency()
        self.gossip = GossipExchange(now, deployment, self.outbox)
        self.cached_keys = RecentlyCachedKeys(now)
        self.key_counts = KeyRequestCounts(now)
        self.fetch_likelihood = FetchLikelihood()
        self.capacity = RelativeCapacity()
        self.traffic = Traffic(self.deployment.large_fleet, self.placement, self.capacity)
        self.slow_readers = SlowReaders(self.settings)
        return SharedComponents(
            self.settings,
            self.deployment,
            self.outbox,
            self.endpoints,
            self.placement,
            self.latency,
            self.zone_latency,
            self.gossip,
            self.cached_keys,
            self.key_counts,
            self.fetch_likelihood,
            self.capacity,
            self.traffic,
            self.slow_readers,
        )

    def _create_decision_components(
        self, now: float, deployment: Mapping[str, Any], known: SharedComponents
    ) -> None:
        """The parts that judge by what is known."""
        settings, fleet = self.settings, self.deployment
        self.limits = Limits(now, settings, fleet, self.latency)
        self.retries = RetryPolicy(settings, self.latency, fleet.proxies, self.random_generator)
        rates = quota_shares(deployment.get("tenants"), fleet.proxies)
        self.quotas = TenantQuotas(now, rates, fleet, self.random_generator)
        self.slow_start = SlowStart(now, deployment.get("bears") or 0.0, known)
        self.origin_protection = OriginProtection(known, self.limits)
        self.outliers = OutlierDetector(known, self.slow_start)
        self.timeouts = Timeouts(known, self.retries, self.outliers)
        self.selector = EndpointSelector(known, self.slow_start, self.outliers, self.origin_protection)
        self.observer = AttemptObserver(known, self.limits, self.retries, self.slow_start, self.outliers)

    # Decisions

    def decide(self, now: float, request: Request) -> Decision | None:
        """What becomes of a request now; None for one that needs no decision any more."""
        if request.finished or request.streaming:
            return None
        method = self.settings.by_method[request.method]
        if request.within_quota is None:
            self._on_new_request(now, request)
        if len(request.attempts) >= self.settings.max_attempts:
            return self._give_up(request, method)
        if self.timeouts.remaining_ms(now, request, method) <= MIN_LEFT_MS:
            return self._give_up(request, method)
        if not self.retries.may_send(now, request, method):
            return self._give_up(request, method)
        if self.deployment.look_aside and (request.write or request.cache_missed):
            return self._decide_for_origin(now, request, method)
        return self._decide_for_cache(now, request, method)

    def _on_new_request(self, now: float, request: Request) -> None:
        request.within_quota = self.quotas.admit(now, request.tenant)
        # Clocks differ: this end is in time for a final answer, whichever is ahead.
        latest = min(now, request.expires_at) + self.settings.clock_error_ms
        request.expires_at = max(request.expires_at, latest)
        self.retries.on_request(now)
        self.placement.count_request(now, request.method)
        self.gossip.count_request(now, request.client_retry)
        if request.key is not None:
            self.key_counts.add(request.key)

    def _decide_for_origin(self, now: float, request: Request, method: MethodSettings) -> Decision:
        """A request that only the origin can answer."""
        origin = self.endpoints.direct_origin
        if origin is None or not self._has_room(now, self.limits.origin_limit, request):
            return self._wait_or_give_up(now, request, method)
        return self._forward(now, request, origin, 1.0)

    def _decide_for_cache(self, now: float, request: Request, method: MethodSettings) -> Decision:
        """A request that a cache may answer."""
        has_room = bool(request.attempts) or self._has_room(now, self.limits.fleet_limit, request)
        endpoint = None
        is_heavy = request.estimated_work_ms > HEAVY_WORK * self.settings.latency_objective_ms
        if is_heavy or not has_room:
            endpoint = self.origin_protection.spare_origin(now, request)
        if endpoint is None and has_room:
            endpoint = self.selector.select(now, request, self.random_generator)
        if endpoint is None:  # where there is room, waiting would not change what was tried
            if has_room:
                return self._give_up(request, method)
            return self._wait_or_give_up(now, request, method)
        probability = self._origin_probability(now, request, endpoint)
        # What is likely to need the origin waits for room there, so that fetches do not overload it.
        if probability and not self._has_room(now, self.limits.origin_limit, request):
            return self._wait_or_give_up(now, request, method)
        return self._forward(now, request, endpoint, probability)

    def _origin_probability(self, now: float, request: Request, endpoint: Endpoint) -> float:
        """How likely the origin is asked, where the request goes to this endpoint."""
        if not self.deployment.look_aside:
            if request.write:
                return 1.0
            if not self.cached_keys.holds(endpoint.name, request.key):
                return self.fetch_likelihood.of(self.slow_start.is_warming_up(now, endpoint))
        return float(endpoint is self.endpoints.direct_origin)

    def _has_room(self, now: float, limit: ConcurrencyLimit, request: Request) -> bool:
        return self.limits.admits(now, limit, request, self.traffic.low)

    def _forward(self, now: float, request: Request, endpoint: Endpoint, probability: float) -> Forward:
        probability = self.count_attempt(now, endpoint, probability)
        self.retries.on_forward(now, request)
        request.attempts.append(Attempt(endpoint.name, now, probability))
        if endpoint is not self.endpoints.direct_origin:
            return Forward(endpoint.name, self.timeouts.attempt_timeout_ms(now, request, endpoint))
        # The client is answered while the fetch goes on: one that is called off is not stored, and an
        # overload of the origin would not end.
        left = request.expires_at - now
        answered = self.timeouts.remaining_ms(now, request, self.settings.by_method[request.method])
        return Forward(endpoint.name, left, answered if answered < left else None)

    def count_attempt(self, now: float, endpoint: Endpoint, probability: float) -> float:
        """Counts an attempt as in flight; returns how much of the origin it takes."""
        if endpoint.in_flight <= 0:
            endpoint.last_heard_at = now
        endpoint.in_flight += 1
        if self.endpoints.cache(endpoint.name) is not None:
            self.traffic.add(now, endpoint)
            self.limits.fleet_limit.add_in_flight(now, 1.0)
        probability = self.origin_protection.load_of(endpoint, probability)
        self.limits.origin_limit.add_in_flight(now, probability)
        return probability

    def _wait_or_give_up(self, now: float, request: Request, method: MethodSettings) -> Decision:
        """Not yet, while an answer within the latency objective is likely; else never."""
        patience = 0.0
        if request.within_quota:
            patience = (RETRY_PATIENCE if request.attempts else PATIENCE) * method.latency_objective_ms
        if now - request.arrived_at >= patience:
            return self._give_up(request, method)
        if self.timeouts.remaining_ms(now, request, method) <= MIN_LEFT_TO_WAIT_MS:
            return self._give_up(request, method)
        return Wait(WAIT_MS)

    def _give_up(self, request: Request, method: MethodSettings) -> Reject | Fail:
        return self.retries.give_up(request, method, self.random_generator)

    # Outcomes

    def on_attempt_result(
        self, now: float, request: Request, number: int, took: float, note: str | None, report: object
    ) -> Decision | None:
        """Learns from an attempt's outcome, and decides on the request again where it has no answer.

        Args:
            now: The present (ms).
            request: The request; the attempt's outcome is in it.
            number: Which of its attempts.
            took: How long it took (ms).
            note: What the cache noted of its answer, such as `hit`.
            report: The load report that came with it, if any.
        """
        attempt = request.attempts[number]
        outcome = attempt.outcome
        if outcome is None:
            raise ValueError(f"attempt {number} of request {request.id} has no outcome")
        endpoint = self.endpoints.cache(attempt.endpoint)
        # An answer that is passed on to a slow client is no load any more.
        load = not attempt.response_started
        attempt.response_started = request.streaming
        self.limits.origin_limit.add_in_flight(now, -attempt.origin_probability * load)
        if endpoint is not None:
            self._release(now, endpoint, load)
            if outcome != AttemptOutcome.WITHHELD:  # no endpoint is to blame for what the quota held back
                if outcome != AttemptOutcome.TIMEOUT:
                    endpoint.last_heard_at = now
                self.observer.observe(now, request, number, took, note, report)
            self._close_if_seldom_used(now, endpoint)
        elif outcome != AttemptOutcome.RESPONSE_STARTED:
            self.origin_protection.on_direct_result(now, request, outcome, took)
        self.slow_readers.on_result(now, request, self.settings.by_method[request.method])
        self.retries.on_result(now, request, number)
        if request.finished or request.streaming:
            return None
        return self._decide_after(now, request, outcome, took, endpoint)

    def _release(self, now: float, endpoint: Endpoint, load: bool) -> None:
        self.limits.fleet_limit.add_in_flight(now, -load)
        endpoint.in_flight -= load

    def _close_if_seldom_used(self, now: float, endpoint: Endpoint) -> None:
        """Without this, hundreds of proxies would each keep a connection, used once, until it goes idle."""
        if endpoint.in_flight:
            return
        fleet = self.deployment
        cost = self.traffic.sent_count(now) * fleet.proxies * fleet.new_connection_cost
        if cost > IDLE_CONNECTION_FACTOR * len(self.placement.usable) * endpoint.sent.count(now):
            self.outbox.add(CloseConnections(endpoint.name))

    def _decide_after(
        self,
        now: float,
        request: Request,
        outcome: AttemptOutcome,
        took: float,
        endpoint: Endpoint | None,
    ) -> Decision | None:
        """What becomes of a request after an attempt that did not answer it."""
        method = self.settings.by_method[request.method]
        if outcome == AttemptOutcome.MISSED:
            request.cache_missed = True
            request.cache_miss_retries += 1
        # A stopped origin would be sent requests over and over.
        if endpoint is None and outcome in (AttemptOutcome.FULL, AttemptOutcome.UNCONNECTED):
            return self._wait_or_give_up(now, request, method)
        if self._client_has_given_up(request, outcome, took):
            return self._give_up(request, method)
        if outcome in UNPAID_OUTCOMES:
            return self.decide(now, request)
        left = self.timeouts.remaining_ms(now, request, method)
        if self.retries.may_retry(now, request, outcome, left, self.random_generator):
            return self.decide(now, request)
        return self._give_up(request, method)

    def _client_has_given_up(self, request: Request, outcome: AttemptOutcome, took: float) -> bool:
        """Whether the client ended this request's wait by its own clock, which differs from ours."""
        if not self.settings.clock_error_ms:
            return False
        if outcome == AttemptOutcome.EXPIRED:
            return True
        return outcome == AttemptOutcome.TIMEOUT and took < request.timeout_ms - 1.0

    def on_client_disconnected(self, now: float, request: Request) -> list[int]:
        """The client has left: the numbers of the attempts to call off."""
        del now
        if not self.settings.can_cancel:
            return []
        return [number for number, attempt in enumerate(request.attempts) if attempt.outcome is None]

    # News

    def on_endpoint_list(
        self, now: float, kind: str, version: int | None, entries: Iterable[ListEntry]
    ) -> None:
        """Takes the list of endpoints.

        Args:
            now: The present (ms).
            kind: `full`, `delta`, `cached` (one that was kept from before) or `failed` (none came).
            version: The list's, where it has one.
            entries: The endpoints.
        """
        del version
        if kind == "failed":
            self.polling.on_failure(now, self.random_generator)
            return
        self.polling.on_list(kind == "cached")
        is_first = not self.endpoints.caches
        self.endpoints.apply_list(now, kind == "delta", entries)
        self._refresh_weights(now)
        count = len(self.placement.usable)
        self.limits.on_endpoint_count(count)
        if is_first:
            self.limits.start(count, self.random_generator)

    def on_gossip(self, now: float, peer: int, message: bytes) -> None:
        """A hint from a peer: it may be late, lost, doubled or mangled, and names no endpoint for us."""
        waits = self.gossip.receive(now, peer, message)
        if not waits:
            return
        endpoints = {one.gossip_id: one for one in self.endpoints.caches.values()}
        fleet = self.limits.fleet_limit
        for gossip_id, wait in waits:
            if gossip_id in endpoints:
                endpoints[gossip_id].record_wait(now, wait)
                relative = min(1.0 + wait / self.latency.longest_baseline_ms, 2.0 * fleet.tolerance)
                fleet.relative_latencies.add(now, relative)

    def _refresh_weights(self, now: float) -> None:
        ready = self.endpoints.ready_caches()
        self.placement.refresh(now, ready, {one.name: self.slow_start.weight(now, one) for one in ready})
        self.slow_start.on_refresh(now)

    # Time

    def next_wakeup(self, now: float) -> tuple[float, list[Action]]:
        """Does what is due; how long until the next call (ms), and what is asked of the caller.

        An idle proxy needs no update: nothing but the next poll of the list wakes it.
        """
        self.polling.poll_if_due(now, self.settings.poll_interval_ms)
        if now >= self.next_update_at:
            self._update(now)
            self.next_update_at = now + UPDATE_INTERVAL_MS
        self.gossip.send_if_due(now, self.random_generator)
        return max(1.0, self.polling.wait_ms(now)), self.outbox.drain()

    def _update(self, now: float) -> None:
        """Fits limits and measures to what happened."""
        self.limits.update(now)
        fleet = self.limits.fleet_limit
        self.outliers.update(fleet.relative_latencies.recent_mean(now, MIN_SAMPLES, fleet.window_ms))
        self.slow_start.update(now)
        self.limits.log_overload(now, self.outliers.fleet_relative_latency, self.outbox)
        if self.slow_start.is_refresh_due(now):
            self._refresh_weights(now)
        self.quotas.update_share_scale(self.gossip.arrivals.count(now), self.gossip.peer_request_counts(now))
        if now >= self.next_measurement_at:
            self.next_measurement_at = now + MEASURE_INTERVAL_MS
            self._measure(now)

    def _measure(self, now: float) -> None:
        """Measures anew what changes slowly, and forgets what is old."""
        self.capacity.update(now)
        self.latency.update(now, self.settings.latency_objective_ms)
        self.limits.update_tolerances(self.traffic)
        self.traffic.update(now, self.deployment.proxies)
        self.fetch_likelihood.update(now)
        self.key_counts.rotate_if_due(now)
        if self.cached_keys.rotate_if_due(now):
            self.placement.forget_rankings()
            self.retries.forget(now)
            self.slow_readers.forget()

    # Settings

    def apply_settings(
        self, now: float, deployment: Mapping[str, Any], methods: dict[str, RawMethod]
    ) -> None:
        """Takes other settings, whole.

        Args:
            now: The present (ms).
            deployment: The settings, as `config.settings` gives them out.
            methods: Their methods, and those under which requests in hand end.
        """
        self.settings.apply(deployment, methods)
        self.retries.budget.apply_settings(self.settings.rules)
        self.latency.apply_methods(methods)
        self.placement.apply_settings(self.settings.placement_constraints())
        rates = quota_shares(deployment.get("tenants"), proxy_count(deployment))
        self.quotas.apply_settings(now, rates)
        self._refresh_weights(now)

    def set_quota_shares(self, quotas: Mapping[str, float], endpoint_rate: float | None) -> None:
        """This proxy's parts of tenants' rates (requests a ms), and of an endpoint's rate, where told."""
        self.quotas.set_shares(quotas)
        if endpoint_rate is not None:
            self.slow_start.assigned_rate = endpoint_rate

    # What is seen, and kept

    @property
    def fleet_limit(self) -> ConcurrencyLimit:
        """The limit on requests in flight at all caches."""
        return self.limits.fleet_limit

    @property
    def origin_limit(self) -> ConcurrencyLimit:
        """The limit on requests in flight at the origin."""
        return self.limits.origin_limit

    def set_next_origin_slot(self, at: float) -> None:
        """No request that may need the origin goes before this time (ms)."""
        self.limits.origin_limit.next_start_at = at

    def is_before_origin_slot(self, now: float) -> bool:
        """Whether requests that may need the origin have to wait for their turn."""
        return now < self.limits.origin_limit.next_start_at

    def heavily_degraded_count(self, now: float) -> int:
        """How many ready endpoints get an eighth of what they own at most."""
        return self.outliers.heavily_degraded_count(now)

    def rejection_cause(self, now: float, request: Request) -> str:
        """What held back a request that was given up. Changes nothing."""
        ranking: list[Endpoint] = []
        if request.key is not None:
            ranking = self.placement.ranking(request.key, self.placement.constraints[request.method])
        if request.attempts:
            return request.attempts[-1].outcome or "out"
        if not self.placement.usable:
            return "no list"
        if self.is_before_origin_slot(now):
            return "turn"
        for name, limit in (("fleet", self.fleet_limit), ("origin", self.origin_limit)):
            if limit.capacity_denied:
                return name if request.within_quota else f"{name}, over its share"
        if ranking and all(self.slow_start.is_warming_up(now, endpoint) for endpoint in ranking):
            return "cold"
        return (
            "aside"
            if ranking and all(endpoint.current_fraction(now) < 1.0 for endpoint in ranking)
            else "none open"
        )

    def learned_state(self, now: float) -> dict[str, dict[str, float]]:
        """What this life has found out: limits, baselines (ms), fractions of degraded endpoints."""
        caches = self.endpoints.caches.values()
        return {
            "limits": {"fleet": self.fleet_limit.value, "origin": self.origin_limit.value},
            "usual": self.latency.measured() | {FETCH: self.latency.fetch_baseline_ms},
            "parts": {
                one.name: one.current_fraction(now) for one in caches if one.current_fraction(now) < 1.0
            },
        }

    def restore_learned_state(self, now: float, learned: Mapping[str, Mapping[str, float]]) -> None:
        """Begins from what a former life found out; all endpoints in it are known."""
        for name, limit in (("fleet", self.fleet_limit), ("origin", self.origin_limit)):
            limit.value = max(limit.value, learned["limits"].get(name, 0.0))
        self.latency.restore(learned["usual"], learned["usual"].get(FETCH))
        for name, fraction in learned["parts"].items():
            self.outliers.restore(now, self.endpoints.caches[name], fraction)

    def withdraw_attempt(self, now: float, request: Request, attempt: Attempt) -> None:
        """An attempt was never made: a replay goes on as the record does."""
        endpoint = self.endpoints.cache(attempt.endpoint)
        if endpoint is not None:
            self._release(now, endpoint, True)
        self.limits.origin_limit.add_in_flight(now, -attempt.origin_probability)
        request.attempts.remove(attempt)

    def force_attempt(self, now: float, request: Request, name: str) -> None:
        """An attempt was made at an endpoint of that name: a replay goes on as the record does."""
        endpoint = self.endpoints.find(name)
        if endpoint is None:
            request.attempts.append(Attempt(name, now))
        else:
            self._forward(now, request, endpoint, 0.0)
