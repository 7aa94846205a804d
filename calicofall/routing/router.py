"""The routing policy as a small synchronous library: `route`, `report_attempt`, `tick`.

The router holds the active requests and a queue of those that wait. `route` and `report_attempt` return the
endpoint to forward a request to now, or None: a finished request has its final answer in `answer`, and one
without an answer waits.

Invariants: the router makes no decision itself and uses no socket; callers do not see the policy's decisions.
"""

from heapq import heappop, heappush
from math import inf
from typing import Any

from calicofall.fleet import settings_compatibility
from calicofall.fleet.rate_slots import OriginFetchSlots
from calicofall.routing.actions import Action, LogLine
from calicofall.routing.decisions import Decision, Forward, Reject, Wait
from calicofall.routing.endpoint import Endpoint
from calicofall.routing.policy import RoutingPolicy
from calicofall.routing.request import (
    OUTCOME_BY_NAME,
    OUTCOMES_NEVER_RUN,
    SETTINGS_VERSION_SEPARATOR,
    Attempt,
    AttemptOutcome,
    Request,
    RetrySafety,
)
from calicofall.routing.retry_policy import repeat_ends_at
from calicofall.routing.settings import RawMethod
from calicofall.startup import snapshot

NOT_FETCHED = frozenset({"hit", "fetching"})  # cache statuses of answers that caused no request to the origin
COMPLETED, REJECTED, FAILED = "completed", "exhausted", "errored"  # final answers, as records spell them
WAIT_TOLERANCE_MS = 0.01  # a wait that ends within this time counts as ended


class Router:
    """The active requests of one proxy, and the policy that decides on them."""

    def __init__(self, deployment: dict[str, Any], seed: int, now: float) -> None:
        """Creates a router without endpoints.

        Args:
            deployment: Settings in the form that `config.settings` returns.
            seed: Seed of the policy's random generator.
            now: Current time (ms).
        """
        self.policy = RoutingPolicy(deployment, seed, now)
        self.bind_policy()
        self.active_requests: dict[str, Request] = {}
        self.waiting: list[tuple[float, int, Request]] = []  # heap of (end of the wait, number, request)
        self.wait_count = 0  # waits so far; numbers them
        self.settings_count = 0  # how often settings were replaced
        self.log_lines: list[str] = []  # the policy's messages for the log
        self.actions: list[Action] = []  # what the caller has to carry out
        # This proxy's rate slots at the origin, if it has any.
        self.origin_slots: OriginFetchSlots | None = None
        self.slot_clock_offset_ms = 0.0  # from the clock of the rate slots to that of the router

    def bind_policy(self) -> None:
        """Makes the policy's methods that need no state of the router available as the router's own."""
        self.on_endpoint_list = self.policy.on_endpoint_list
        self.on_gossip = self.policy.on_gossip
        self.heavily_degraded_count = self.policy.outliers.heavily_degraded_count

    # Requests

    def route(self, now: float, request: Request) -> str | None:
        """Routes a new request, or one whose wait has ended.

        Returns:
            The endpoint to forward the request to now; None if the request waits or is finished.
        """
        self.active_requests[request.id] = request
        self._update_next_slot(now)
        return self._apply_decision(now, request, self.policy.decide(now, request))

    def report_attempt(  # noqa: PLR0913  # the fields of a recorded event of kind `end`
        self,
        now: float,
        request: Request,
        attempt_index: int,
        outcome: str,
        latency_ms: float,
        cache_status: str | None = None,
        load_report: object = None,
        is_final: bool = False,
    ) -> str | None:
        """Reports the outcome of an attempt.

        Args:
            now: Current time (ms).
            request: The request.
            attempt_index: Index of the attempt in the request.
            outcome: Value of an `AttemptOutcome`.
            latency_ms: How long the attempt took.
            cache_status: Cache status of the answer, such as `hit`.
            load_report: Load report that came with the answer, if any.
            is_final: Whether the request is finished, whatever the outcome.

        Returns:
            The endpoint to forward the request to next; None if the request waits or is finished.

        Raises:
            KeyError: `outcome` is no value of `AttemptOutcome`.
        """
        attempt = request.attempts[attempt_index]
        attempt.outcome = OUTCOME_BY_NAME[outcome]
        if outcome == AttemptOutcome.COMPLETED and not request.finished:
            request.answer = COMPLETED
        request.finished = request.finished or is_final or outcome == AttemptOutcome.COMPLETED
        if outcome in OUTCOMES_NEVER_RUN or cache_status in NOT_FETCHED:
            self._return_slots(now, attempt)
        self._update_next_slot(now)
        decision = self.policy.on_attempt_result(
            now, request, attempt_index, latency_ms, cache_status, load_report
        )
        endpoint = None if request.finished else self._apply_decision(now, request, decision)
        self._remove_if_done(request)
        return endpoint

    def on_response_started(self, now: float, request: Request, attempt_index: int) -> None:
        """Notes that the answer of an attempt is being streamed: the request gets no other attempt."""
        request.streaming = True
        attempt = request.attempts[attempt_index]
        attempt.outcome = AttemptOutcome.RESPONSE_STARTED
        self.policy.on_attempt_result(now, request, attempt_index, 0.0, None, None)
        attempt.outcome = None  # set again when the stream ends

    def on_client_disconnected(self, now: float, request: Request) -> list[int]:
        """Finishes the request of a disconnected client; returns the indices of the attempts to cancel."""
        if request.finished:
            return []
        request.finished = True
        attempt_indices = self.policy.on_client_disconnected(now, request)
        self._remove_if_done(request)
        return attempt_indices

    def next_due_request(self, now: float) -> Request | None:
        """Returns the first request whose wait has ended, to be routed again, and removes it."""
        while self.waiting and self.waiting[0][0] <= now + WAIT_TOLERANCE_MS:
            request = heappop(self.waiting)[2]
            if not request.finished:
                return request
        return None

    def tick(self, now: float) -> float:
        """Collects log lines and actions after a batch of events; returns the ms until the next call."""
        wait_ms, actions = self.policy.next_wakeup(now)
        for action in actions:
            if isinstance(action, LogLine):
                self.log_lines.append(action.text)
            else:
                self.actions.append(action)
        return min(wait_ms, max(0.0, self.waiting[0][0] - now)) if self.waiting else wait_ms

    def _apply_decision(self, now: float, request: Request, decision: Decision | None) -> str | None:
        if decision is None:
            return None
        if self.origin_slots is not None:
            self._use_slots(now, request, decision, self.origin_slots)
        if isinstance(decision, Forward):
            request.timeout_ms = decision.timeout_ms
            if decision.decide_again_after_ms is not None:
                self._schedule_wait(now, request, decision.decide_again_after_ms)
            return decision.endpoint
        if isinstance(decision, Wait):
            self._schedule_wait(now, request, decision.delay_ms)
            return None
        request.finished = True
        request.answer = REJECTED if isinstance(decision, Reject) else FAILED
        request.retry_after_ms = decision.retry_after_ms if isinstance(decision, Reject) else 0.0
        self._remove_if_done(request)
        return None

    def _schedule_wait(self, now: float, request: Request, wait_ms: float) -> None:
        self.wait_count += 1
        heappush(self.waiting, (now + wait_ms, self.wait_count, request))

    def _remove_if_done(self, request: Request) -> None:
        if request.finished and all(attempt.outcome for attempt in request.attempts):
            self.active_requests.pop(request.id, None)

    # Rate slots at the origin

    def _slot_time_s(self, now: float) -> float:
        return (now - self.slot_clock_offset_ms) / 1000.0

    def _update_next_slot(self, now: float) -> None:
        """Sets, before each decision, when the next request that may need the origin may start."""
        if self.origin_slots is not None:
            due_s = self.origin_slots.due_at(self._slot_time_s(now))
            self.policy.set_next_origin_slot(due_s * 1000.0 + self.slot_clock_offset_ms)

    def _return_slots(self, now: float, attempt: Attempt) -> None:
        """Returns the rate slots of an attempt that caused no request to the origin."""
        if self.origin_slots is not None:
            for slot in attempt.rate_slots:
                self.origin_slots.return_slot(self._slot_time_s(now), slot)

    def _use_slots(
        self, now: float, request: Request, decision: Decision, origin_slots: OriginFetchSlots
    ) -> None:
        """Takes rate slots for a decision, or counts unmet demand if the request has to wait for one."""
        slot_time_s = self._slot_time_s(now)
        if isinstance(decision, Forward):
            if request.attempts[-1].origin_probability:
                # A write invalidates the key in other caches too: one more request has to fetch it again.
                slots = tuple(origin_slots.take(slot_time_s) for _ in range(1 + request.write))
                request.attempts[-1].rate_slots = slots
                self._update_next_slot(now)
        elif self.policy.is_before_origin_slot(now) and now - request.arrived_at < WAIT_TOLERANCE_MS:
            origin_slots.demand.add(slot_time_s)

    # Input from other components of the proxy

    def set_process_count(self, count: int) -> None:
        """Sets the number of processes of this proxy, each of which may use an equal share of its limits."""
        self.policy.settings.process_count = count

    def set_quota_shares(self, quotas: dict[str, float], endpoint_rate: float | None) -> None:
        """Sets this proxy's shares of tenants' quotas and of endpoint capacity.

        Args:
            quotas: Shares of tenants' quotas (requests per ms).
            endpoint_rate: Share of the rate that a warm endpoint serves (requests per ms and unit of weight);
                None leaves it unchanged.
        """
        self.policy.set_quota_shares(quotas, endpoint_rate)

    def apply_settings(self, now: float, deployment: dict[str, Any]) -> None:
        """Replaces all settings.

        Active requests end under settings that are compatible with both: the methods of active requests are
        kept under an alias with merged settings.
        """
        self.settings_count += 1
        methods: dict[str, RawMethod] = {method["name"]: method for method in deployment["methods"]}
        aliases: dict[str, str] = {}
        for request in self.active_requests.values():
            former_method = request.method
            if former_method not in aliases:
                version = f"{self.settings_count}.{len(aliases)}"
                aliases[former_method] = f"{request.name}{SETTINGS_VERSION_SEPARATOR}{version}"
            alias = aliases[former_method]
            if alias not in methods:
                old_settings = self.policy.settings.methods[former_method]
                new_settings = methods.get(request.name) or old_settings | {
                    "zones_open": [settings_compatibility.CLOSED_PLACE]
                }
                methods[alias] = settings_compatibility.combine_methods(old_settings, new_settings) | {
                    "name": alias
                }
                self.policy.latency.add_alias(former_method, alias)
            request.method = alias
        self.policy.apply_settings(now, deployment, methods)

    def learned_state(self, now: float) -> dict[str, dict[str, float]]:
        """Returns limits, baselines (ms) and the fractions of degraded endpoints, to be stored."""
        return self.policy.learned_state(now)

    def restore_learned_state(self, now: float, learned: dict[str, dict[str, float]]) -> None:
        """Restores what startup/snapshot.py accepts of the state that an earlier incarnation learned."""
        if learned:
            names = set(self.policy.endpoints.caches)
            self.policy.restore_learned_state(now, snapshot.restorable_state(learned, names))

    def reinstate(self, now: float, name: str) -> None:
        """Ends the ejection of an endpoint that other proxies found healthy, ejected here on few samples."""
        del now
        endpoint = self.policy.endpoints.cache(name)
        if endpoint is not None:
            endpoint.reinstate()

    def eject_on_evidence(self, now: float, name: str) -> None:
        """Ejects an endpoint that other proxies found to be an outlier.

        It gets an eighth of its share of the load, and more as long as it shows no failure.
        """
        endpoint = self.policy.endpoints.cache(name)
        if endpoint is not None:
            self.policy.outliers.eject_on_evidence(now, endpoint)

    # Inspection

    def degraded_endpoints(self, now: float) -> set[str]:
        """Returns the endpoints that get less than their share of the load."""
        return self.policy.outliers.degraded(now)

    def ejected_endpoints(self, now: float) -> list[str]:
        """Returns the endpoints that get at most a quarter of their share of the load."""
        return self.policy.outliers.ejected(now)

    def rejection_cause(self, now: float, request: Request) -> str:
        """Returns why a request was given up, for the analysis of losses; changes no state."""
        return self.policy.rejection_cause(now, request)

    def has_alternative(self, now: float, request: Request) -> bool:
        """Returns whether another endpoint of the request's key is neither degraded nor warming up."""
        if request.key is None or len(request.attempts) != 1:
            return False
        tried_endpoint = request.attempts[0].endpoint
        return any(
            endpoint.name != tried_endpoint
            and endpoint.current_fraction(now) >= 1.0
            and not self.policy.slow_start.is_warming_up(now, endpoint)
            for endpoint in self.ranking(request)
        )

    def ranking(self, request: Request) -> list[Endpoint]:
        """Returns the endpoints of a request's key, best first; none for a request without a key."""
        if request.key is None:
            return []
        placement = self.policy.placement
        return placement.ranking(request.key, placement.constraints[request.method])

    def is_still_allowed(self, now: float, request: Request, attempt_index: int) -> bool:
        """Returns whether an attempt is still allowed, checked right before it is sent."""
        attempt = request.attempts[attempt_index]
        endpoint = self.policy.endpoints.cache(attempt.endpoint)
        if endpoint is None:
            return True
        if not endpoint.satisfies(self.policy.placement.constraints[request.method]):
            return False
        return now < self.repeat_ends_at(request, attempt_index)

    def has_effect(self, request: Request) -> bool:
        """Returns whether a request may take effect twice if it runs twice."""
        method = self.policy.settings.by_method[request.method]
        return method.retry_safety != RetrySafety.IDEMPOTENT

    def incomplete_reply_due_at(self, request: Request) -> float:
        """Returns until when an incomplete reply to a request is awaited (ms)."""
        return self.policy.timeouts.incomplete_reply_due_at(request)

    def repeat_ends_at(self, request: Request, attempt_index: int) -> float:
        """Returns when the last byte of an attempt has to have arrived, so that it takes no second effect.

        Returns:
            A time (ms, the proxy's clock); infinite if the attempt is no repeat, or its request idempotent.
        """
        first = request.first_possibly_run()
        if first is request.attempts[attempt_index]:
            return inf
        return repeat_ends_at(self.policy.settings.by_method[request.method], first)

    def latency_objective(self, request: Request) -> float:
        """Returns the latency objective of a request (ms)."""
        return self.policy.settings.by_method[request.method].latency_objective_ms

    def baseline_latency(self, method: str) -> float | None:
        """Returns the baseline latency of a method (ms), or None if it has not been measured yet."""
        return self.policy.latency.baseline_ms(method)

    def has_baselines(self) -> bool:
        """Returns whether the limits are based on measured baselines."""
        return self.policy.latency.any_measured()

    def overload_multiple(self) -> float:
        """Returns the factor by which a warming endpoint may be sent more than its share."""
        return self.policy.settings.overload_multiple

    def limits_in_use(self) -> dict[str, str]:
        """Returns the requests in flight and the value of each limit, for the log."""
        limits = {"fleet": self.policy.fleet_limit, "origin": self.policy.origin_limit}
        return {name: f"{limit.in_flight:.1f}/{limit.value:.2f}" for name, limit in limits.items()}
