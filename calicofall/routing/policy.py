"""The routing policy of a proxy: selects endpoints, decides on retries and sets waiting times.

The policy is deterministic: its decisions depend on its inputs and its seed alone. Times are in milliseconds,
with fractions. The caller uses three methods: `decide` returns a decision to forward, delay, reject or fail
a request, which the caller carries out; `on_attempt_result` takes the outcome of an attempt and decides
again; `next_wakeup`, called after each batch of events, returns when to call it next and the actions that the
caller has to carry out. `on_endpoint_list`, `on_gossip` and `on_client_disconnected` pass in external events.

Invariants: the policy uses no socket, clock or log, and forwards only to endpoints that an endpoint list has
named.
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

MEASUREMENT_INTERVAL_MS = 8 * UPDATE_INTERVAL_MS  # between two updates of slowly changing measurements
MIN_REMAINING_MS = 2.0  # if an answer is useful for no longer than this, none would arrive in time
# Fraction of the latency objective. A cache does not answer a request in time if the client's estimate of the
# work exceeds it: such a request goes to the origin, if that has spare capacity.
HEAVY_WORK_FRACTION = 0.8
CAPACITY_WAIT_MS = 15.0  # until the next decision on a request for which a limit had no capacity
# If an answer is useful for no longer than this, a request does not wait for capacity.
MIN_REMAINING_TO_WAIT_MS = 20.0
# Queueing time-outs of first attempts and of retries, as fractions of the latency objective: how long after
# its arrival a request may wait for capacity.
QUEUEING_TIMEOUT_FRACTION, RETRY_QUEUEING_TIMEOUT_FRACTION = 0.25, 0.5
# The idle connections to an endpoint are closed if this proxy sends it less than C / IDLE_CONNECTION_FACTOR
# times the mean number of requests per endpoint. C is the number of proxies times the cost of an open
# connection relative to that of a handshake.
IDLE_CONNECTION_FACTOR = 100.0
FETCH_KEY = "fetch"  # key of the fetch baseline among the baselines of methods, in the learned state
# Outcomes after which a request is decided on again without using the retry allowance. The retry budget
# limits these attempts too, except those after a cache miss.
FREE_RETRY_OUTCOMES = frozenset(
    {
        AttemptOutcome.MISSED,
        AttemptOutcome.FULL,
        AttemptOutcome.UNCONNECTED,
        AttemptOutcome.EXPIRED,
        AttemptOutcome.WITHHELD,
    }
)


class RoutingPolicy:
    """The routing policy of one proxy: combines its components into decisions."""

    def __init__(self, deployment: Mapping[str, Any], seed: int, now: float) -> None:
        """Creates a policy without endpoints.

        Args:
            deployment: Settings in the form that `config.settings` returns.
            seed: Seed of the random generator that all components share.
            now: Current time (ms).
        """
        self.random_generator = Random(seed)
        shared = self._create_shared_components(now, deployment)
        self._create_decision_components(now, deployment, shared)
        self.next_update_at = now
        self.next_measurement_at = now

    def _create_shared_components(self, now: float, deployment: Mapping[str, Any]) -> SharedComponents:
        """Creates the components that hold settings and measurements."""
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
        self, now: float, deployment: Mapping[str, Any], shared: SharedComponents
    ) -> None:
        """Creates the components that decide by the shared settings and measurements."""
        settings, deployed_fleet = self.settings, self.deployment
        self.limits = Limits(now, settings, deployed_fleet, self.latency)
        self.retries = RetryPolicy(settings, self.latency, deployed_fleet.proxies, self.random_generator)
        rates = quota_shares(deployment.get("tenants"), deployed_fleet.proxies)
        self.quotas = TenantQuotas(now, rates, deployed_fleet, self.random_generator)
        # `bears`: this proxy's share of the rate that a warm endpoint serves.
        self.slow_start = SlowStart(now, deployment.get("bears") or 0.0, shared)
        self.origin_protection = OriginProtection(shared, self.limits)
        self.outliers = OutlierDetector(shared, self.slow_start)
        self.timeouts = Timeouts(shared, self.retries, self.outliers)
        self.selector = EndpointSelector(shared, self.slow_start, self.outliers, self.origin_protection)
        self.observer = AttemptObserver(shared, self.limits, self.retries, self.slow_start, self.outliers)

    # Decisions

    def decide(self, now: float, request: Request) -> Decision | None:
        """Decides on a request; returns None if it is finished or its answer is being streamed."""
        if request.finished or request.streaming:
            return None
        method = self.settings.by_method[request.method]
        if request.within_quota is None:  # the first decision on this request
            self._on_new_request(now, request)
        if len(request.attempts) >= self.settings.max_attempts:
            return self._give_up(now, request, method)
        if self.timeouts.remaining_ms(now, request, method) <= MIN_REMAINING_MS:
            return self._give_up(now, request, method)
        if not self.retries.may_send(now, request, method):
            return self._give_up(now, request, method)
        if self.deployment.look_aside and (request.write or request.cache_missed):
            return self._decide_for_origin(now, request, method)
        return self._decide_for_cache(now, request, method)

    def _on_new_request(self, now: float, request: Request) -> None:
        request.within_quota = self.quotas.admit(now, request.tenant)
        # The deadline is by the client's clock, which differs from the proxy's by up to `clock_error_ms`. The
        # proxy therefore allows itself at least that time from now, or from a deadline that has passed by its
        # own clock: a final answer within it is in time, whichever clock is ahead.
        min_expires_at = min(now, request.expires_at) + self.settings.clock_error_ms
        request.expires_at = max(request.expires_at, min_expires_at)
        self.retries.on_request(now)
        self.placement.count_request(now, request.method)
        self.gossip.count_request(now, request.client_retry)
        if request.key is not None:
            self.key_counts.add(request.key, self.settings.max_keys)

    def _decide_for_origin(self, now: float, request: Request, method: MethodSettings) -> Decision:
        """Decides on a request that only the origin can answer."""
        origin = self.endpoints.direct_origin
        if origin is None or not self._has_capacity(now, self.limits.origin_limit, request):
            return self._wait_or_give_up(now, request, method)
        return self._forward(now, request, origin, 1.0)

    def _decide_for_cache(self, now: float, request: Request, method: MethodSettings) -> Decision:
        """Decides on a request that a cache may answer."""
        # The fleet limit applies to first attempts; the retry budget and allowance limit further ones.
        has_capacity = bool(request.attempts) or self._has_capacity(now, self.limits.fleet_limit, request)
        endpoint = None
        is_heavy = request.estimated_work_ms > HEAVY_WORK_FRACTION * self.settings.latency_objective_ms
        if is_heavy or not has_capacity:
            endpoint = self.origin_protection.spare_origin(now, request)
        if endpoint is None and has_capacity:
            endpoint = self.selector.select(now, request, self.random_generator)
        # With capacity but no endpoint that accepts the request, for example because all of them were tried,
        # a wait would not help.
        if endpoint is None:
            if has_capacity:
                return self._give_up(now, request, method)
            return self._wait_or_give_up(now, request, method)
        probability = self._origin_probability(now, request, endpoint)
        # A request that may need the origin waits for capacity there, so that fetches do not overload it.
        if probability and not self._has_capacity(now, self.limits.origin_limit, request):
            return self._wait_or_give_up(now, request, method)
        return self._forward(now, request, endpoint, probability)

    def _origin_probability(self, now: float, request: Request, endpoint: Endpoint) -> float:
        """Returns the probability that a request to this endpoint causes a request to the origin."""
        if not self.deployment.look_aside:
            if request.write:
                return 1.0
            if not self.cached_keys.holds(endpoint.name, request.key):
                return self.fetch_likelihood.of(self.slow_start.is_warming_up(now, endpoint))
        return float(endpoint is self.endpoints.direct_origin)

    def _has_capacity(self, now: float, limit: ConcurrencyLimit, request: Request) -> bool:
        return self.limits.admits(now, limit, request, self.traffic.low)

    def _forward(self, now: float, request: Request, endpoint: Endpoint, probability: float) -> Forward:
        origin_load = self.count_attempt(now, endpoint, probability)
        self.retries.on_forward(now, request)
        request.attempts.append(Attempt(endpoint.name, now, origin_load))
        if endpoint is not self.endpoints.direct_origin:
            return Forward(endpoint.name, self.timeouts.attempt_timeout_ms(now, request, endpoint))
        # A request to the origin may run until the deadline, although its client is answered as soon as an
        # answer is no longer useful. A cancelled fetch is not stored in a cache, so that the key would be
        # fetched again and an overload of the origin would not end.
        timeout_ms = request.expires_at - now
        answer_after_ms = self.timeouts.remaining_ms(now, request, self.settings.by_method[request.method])
        return Forward(endpoint.name, timeout_ms, answer_after_ms if answer_after_ms < timeout_ms else None)

    def count_attempt(self, now: float, endpoint: Endpoint, probability: float) -> float:
        """Counts an attempt as in flight; returns its load on the origin, in requests in flight."""
        if endpoint.in_flight <= 0:
            endpoint.last_heard_at = now  # an endpoint can be silent from its first attempt in flight on
        endpoint.in_flight += 1
        if self.endpoints.cache(endpoint.name) is not None:
            self.traffic.add(now, endpoint)
            self.limits.fleet_limit.add_in_flight(now, 1.0)
        origin_load = self.origin_protection.load_of(endpoint, probability)
        self.limits.origin_limit.add_in_flight(now, origin_load)
        return origin_load

    def _wait_or_give_up(self, now: float, request: Request, method: MethodSettings) -> Decision:
        """Waits while an answer within the latency objective is still likely, and gives up otherwise."""
        queueing_timeout_ms = 0.0
        if request.within_quota:
            queueing_timeout_ms = (
                RETRY_QUEUEING_TIMEOUT_FRACTION if request.attempts else QUEUEING_TIMEOUT_FRACTION
            ) * method.latency_objective_ms
        if now - request.arrived_at >= queueing_timeout_ms:
            return self._give_up(now, request, method)
        if self.timeouts.remaining_ms(now, request, method) <= MIN_REMAINING_TO_WAIT_MS:
            return self._give_up(now, request, method)
        return Wait(CAPACITY_WAIT_MS)

    def _give_up(self, now: float, request: Request, method: MethodSettings) -> Reject | Fail:
        return self.retries.give_up(now, request, method, self.random_generator)

    # Outcomes

    def on_attempt_result(
        self,
        now: float,
        request: Request,
        number: int,
        latency_ms: float,
        cache_status: str | None,
        load_report: object,
    ) -> Decision | None:
        """Updates measurements with an attempt's outcome, and decides again on a request without an answer.

        Args:
            now: Current time (ms).
            request: The request, which holds the outcome of the attempt.
            number: Index of the attempt in the request.
            latency_ms: How long the attempt took.
            cache_status: Cache status of the answer, such as `hit`.
            load_report: Load report that came with the answer, if any.

        Raises:
            ValueError: The attempt has no outcome.
        """
        attempt = request.attempts[number]
        outcome = attempt.outcome
        if outcome is None:
            raise ValueError(f"expected an outcome of attempt {number} of request {request.id}, found None")
        endpoint = self.endpoints.cache(attempt.endpoint)
        # An attempt whose answer is streamed has two results: one when the stream starts, after which it is
        # no load and counts as in flight no longer, and one when the stream ends.
        is_load = not attempt.response_started
        attempt.response_started = request.streaming
        self.limits.origin_limit.add_in_flight(now, -attempt.origin_probability * is_load)
        if endpoint is not None:
            self._release(now, endpoint, is_load)
            if outcome != AttemptOutcome.WITHHELD:  # it was never sent, and shows nothing of the endpoint
                if outcome != AttemptOutcome.TIMEOUT:
                    endpoint.last_heard_at = now
                self.observer.observe(now, request, number, latency_ms, cache_status, load_report)
            self._close_rarely_used_connections(now, endpoint)
        elif outcome != AttemptOutcome.RESPONSE_STARTED:
            self.origin_protection.on_direct_result(now, request, outcome, latency_ms)
        self.slow_readers.on_result(now, request, self.settings.by_method[request.method])
        self.retries.on_result(now, request, number)
        if request.finished or request.streaming:
            return None
        return self._decide_after(now, request, outcome, latency_ms, endpoint)

    def _release(self, now: float, endpoint: Endpoint, is_load: bool) -> None:
        self.limits.fleet_limit.add_in_flight(now, -is_load)
        endpoint.in_flight -= is_load

    def _close_rarely_used_connections(self, now: float, endpoint: Endpoint) -> None:
        """Closes connections to an endpoint that costs more to keep connected than to connect to again.

        Without this, each of hundreds of proxies would keep a connection that it used once until the idle
        time-out.
        """
        if endpoint.in_flight:
            return
        deployment = self.deployment
        cost = self.traffic.sent_count(now) * deployment.proxies * deployment.new_connection_cost
        if cost > IDLE_CONNECTION_FACTOR * len(self.placement.usable) * endpoint.sent.count(now):
            self.outbox.add(CloseConnections(endpoint.name))

    def _decide_after(
        self,
        now: float,
        request: Request,
        outcome: AttemptOutcome,
        latency_ms: float,
        endpoint: Endpoint | None,
    ) -> Decision | None:
        """Decides on a request after an attempt that did not answer it."""
        method = self.settings.by_method[request.method]
        if outcome == AttemptOutcome.MISSED:
            request.cache_missed = True
            request.cache_miss_retries += 1
        # `endpoint` is None for the origin. Without the wait, a stopped origin would be sent the same
        # requests over and over.
        if endpoint is None and outcome in (AttemptOutcome.FULL, AttemptOutcome.UNCONNECTED):
            return self._wait_or_give_up(now, request, method)
        if self._client_has_given_up(request, outcome, latency_ms):
            return self._give_up(now, request, method)
        if outcome in FREE_RETRY_OUTCOMES:
            return self.decide(now, request)
        remaining_ms = self.timeouts.remaining_ms(now, request, method)
        if self.retries.may_retry(now, request, outcome, remaining_ms, self.random_generator):
            return self.decide(now, request)
        return self._give_up(now, request, method)

    def _client_has_given_up(self, request: Request, outcome: AttemptOutcome, latency_ms: float) -> bool:
        """Returns whether the client stopped waiting by its own clock, which differs from the proxy's.

        Two outcomes show it: the endpoint found that the deadline had passed, or the attempt timed out more
        than 1 ms before the time-out that the proxy set.
        """
        if not self.settings.clock_error_ms:
            return False
        if outcome == AttemptOutcome.EXPIRED:
            return True
        return outcome == AttemptOutcome.TIMEOUT and latency_ms < request.timeout_ms - 1.0

    def on_client_disconnected(self, now: float, request: Request) -> list[int]:
        """Returns the indices of the attempts to cancel after the client disconnected."""
        del now
        if not self.settings.can_cancel:
            return []
        return [number for number, attempt in enumerate(request.attempts) if attempt.outcome is None]

    # External events

    def on_endpoint_list(
        self, now: float, kind: str, version: int | None, entries: Iterable[ListEntry]
    ) -> None:
        """Applies an event of the endpoint list.

        Args:
            now: Current time (ms).
            kind: `full`, `delta`, `cached` (a list that was stored earlier) or `failed` (no list arrived).
            version: Version of the list, if it has one.
            entries: Listed endpoints.
        """
        del version
        if kind == "failed":
            self.polling.on_failure(now, self.random_generator)
            return
        self.polling.on_list(kind == "cached")
        is_first = not self.endpoints.caches
        entries = list(entries)
        for name in self.endpoints.restarted(entries):
            self.cached_keys.forget_endpoint(name)
        self.endpoints.apply_list(now, kind == "delta", entries)
        self._refresh_weights(now)
        endpoint_count = len(self.placement.usable)
        self.limits.on_endpoint_count(endpoint_count)
        if is_first:
            self.limits.start(endpoint_count, self.random_generator)

    def on_gossip(self, now: float, peer: int, message: bytes) -> None:
        """Applies a hint from a peer, which may be late, duplicated, damaged or of unknown endpoints."""
        waits = self.gossip.receive(now, peer, message)
        if not waits:
            return
        endpoints = {one.gossip_id: one for one in self.endpoints.caches.values()}
        fleet_limit = self.limits.fleet_limit
        for gossip_id, wait_ms in waits:
            if gossip_id in endpoints:
                endpoints[gossip_id].record_wait(now, wait_ms)
                # A mean of twice the tolerance halves the limit, the largest decrease: no single wait counts
                # for more.
                relative_latency = min(
                    1.0 + wait_ms / self.latency.longest_baseline_ms, 2.0 * fleet_limit.tolerance
                )
                fleet_limit.relative_latencies.add(now, relative_latency)

    def _refresh_weights(self, now: float) -> None:
        ready = self.endpoints.ready_caches()
        self.placement.refresh(now, ready, {one.name: self.slow_start.weight(now, one) for one in ready})
        self.slow_start.on_refresh(now)

    # Timers

    def next_wakeup(self, now: float) -> tuple[float, list[Action]]:
        """Runs due updates; returns the time until the next call (ms) and the actions for the caller.

        An idle proxy needs no update: only the next poll of the endpoint list wakes it.
        """
        self.polling.poll_if_due(now, self.settings.poll_interval_ms)
        if now >= self.next_update_at:
            self._update(now)
            self.next_update_at = now + UPDATE_INTERVAL_MS
        self.gossip.send_if_due(now, self.random_generator)
        return max(1.0, self.polling.wait_ms(now)), self.outbox.drain()

    def _update(self, now: float) -> None:
        """Updates limits and measurements."""
        self.limits.update(now)
        fleet_limit = self.limits.fleet_limit
        self.outliers.update(
            fleet_limit.relative_latencies.recent_mean(now, MIN_SAMPLES, fleet_limit.window_ms)
        )
        self.slow_start.update(now)
        self.limits.log_overload(now, self.outliers.fleet_relative_latency, self.outbox)
        if self.slow_start.is_refresh_due(now):
            self._refresh_weights(now)
        self.quotas.update_share_scale(self.gossip.arrivals.count(now), self.gossip.peer_request_counts(now))
        if now >= self.next_measurement_at:
            self.next_measurement_at = now + MEASUREMENT_INTERVAL_MS
            self._measure(now)

    def _measure(self, now: float) -> None:
        """Updates slowly changing measurements and drops outdated state."""
        self.capacity.update(now)
        self.latency.update(now, self.settings.latency_objective_ms)
        self.limits.update_tolerances(self.traffic)
        self.traffic.update(now, self.deployment.proxies)
        self.fetch_likelihood.update(now)
        self.key_counts.rotate_if_due(now)
        if self.cached_keys.rotate_if_due(now):  # other state that would grow is dropped at the same interval
            self.placement.forget_rankings()
            self.retries.forget(now)
            self.slow_readers.forget()

    # Settings

    def apply_settings(
        self, now: float, deployment: Mapping[str, Any], methods: dict[str, RawMethod]
    ) -> None:
        """Replaces all settings.

        Args:
            now: Current time (ms).
            deployment: Settings in the form that `config.settings` returns.
            methods: The methods of the settings, and the merged methods that `Router.apply_settings` adds for
                the requests that are active now.
        """
        self.settings.apply(deployment, methods)
        self.retries.budget.apply_settings(self.settings.rules)
        self.latency.apply_methods(methods)
        self.placement.apply_settings(self.settings.placement_constraints())
        rates = quota_shares(deployment.get("tenants"), proxy_count(deployment))
        self.quotas.apply_settings(now, rates)
        self._refresh_weights(now)

    def set_quota_shares(self, quotas: Mapping[str, float], endpoint_rate: float | None) -> None:
        """Sets this proxy's shares of tenants' quotas and of endpoint capacity.

        Args:
            quotas: Shares of tenants' quotas (requests per ms).
            endpoint_rate: Share of the rate that a warm endpoint serves (requests per ms and unit of weight);
                None leaves it unchanged.
        """
        self.quotas.set_shares(quotas)
        if endpoint_rate is not None:
            self.slow_start.assigned_rate = endpoint_rate

    # Inspection, learned state and replay

    @property
    def fleet_limit(self) -> ConcurrencyLimit:
        """The concurrency limit of all caches together."""
        return self.limits.fleet_limit

    @property
    def origin_limit(self) -> ConcurrencyLimit:
        """The concurrency limit of the origin."""
        return self.limits.origin_limit

    def set_next_origin_slot(self, starts_at: float) -> None:
        """Sets the time (ms) before which no request that may need the origin is forwarded."""
        self.limits.origin_limit.next_start_at = starts_at

    def is_before_origin_slot(self, now: float) -> bool:
        """Returns whether requests that may need the origin have to wait for the next rate slot."""
        return now < self.limits.origin_limit.next_start_at

    def heavily_degraded_count(self, now: float) -> int:
        """Counts the ready endpoints that get at most an eighth of their share of the load."""
        return self.outliers.heavily_degraded_count(now)

    def rejection_cause(self, now: float, request: Request) -> str:
        """Returns why a request was given up; changes no state.

        The first cause that applies: the outcome of the last attempt, no usable endpoint, a rate slot in the
        future, a limit that has denied capacity since its last update, or the state of the key's endpoints.
        """
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
        """Returns limits, baselines (ms) and the fractions of degraded endpoints, to be stored."""
        caches = self.endpoints.caches.values()
        return {
            "limits": {"fleet": self.fleet_limit.value, "origin": self.origin_limit.value},
            "usual": self.latency.measured() | {FETCH_KEY: self.latency.fetch_baseline_ms},
            "parts": {
                one.name: one.current_fraction(now) for one in caches if one.current_fraction(now) < 1.0
            },
        }

    def restore_learned_state(self, now: float, learned: Mapping[str, Mapping[str, float]]) -> None:
        """Restores the state that an earlier incarnation learned; all endpoints in it must be known.

        A stored limit applies only if it is higher than the current one.
        """
        for name, limit in (("fleet", self.fleet_limit), ("origin", self.origin_limit)):
            limit.value = max(limit.value, learned["limits"].get(name, 0.0))
        self.latency.restore(learned["usual"], learned["usual"].get(FETCH_KEY))
        for name, fraction in learned["parts"].items():
            self.outliers.restore(now, self.endpoints.caches[name], fraction)

    def withdraw_attempt(self, now: float, request: Request, attempt: Attempt) -> None:
        """Undoes an attempt, for a replay that follows a record in which it was not made."""
        endpoint = self.endpoints.cache(attempt.endpoint)
        if endpoint is not None:
            self._release(now, endpoint, True)
        self.limits.origin_limit.add_in_flight(now, -attempt.origin_probability)
        request.attempts.remove(attempt)

    def force_attempt(self, now: float, request: Request, name: str) -> None:
        """Adds an attempt at a named endpoint, for a replay that follows a record in which it was made.

        The attempt counts as one that causes no request to the origin, except at the origin itself.
        """
        endpoint = self.endpoints.find(name)
        if endpoint is None:
            request.attempts.append(Attempt(name, now))
        else:
            self._forward(now, request, endpoint, 0.0)
