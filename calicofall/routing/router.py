"""The routing policy as a small blocking library: route, report an attempt, tick.

The router holds the requests in hand and those that wait. A call returns the endpoint that a request goes to
now, or None: a request that has had its final answer carries it in `answer`; one with neither waits.

Invariants: the router decides nothing itself and knows no socket; callers do not see the policy's decisions.
"""

from heapq import heappop, heappush
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
)
from calicofall.routing.retry_policy import is_repeat_safe
from calicofall.routing.settings import RawMethod
from calicofall.startup import snapshot

UNFETCHED = frozenset({"hit", "fetching"})  # notes of answers for which the origin was not asked
COMPLETED, REJECTED, FAILED = "completed", "exhausted", "errored"  # final answers, as records hold them
WAIT_TOLERANCE_MS = 0.01  # ms; a wait that ends within it has ended


class Router:
    """The requests in hand of one proxy, and the policy that decides on them."""

    def __init__(self, deployment: dict[str, Any], seed: int, now: float) -> None:
        """A router that knows no endpoint yet.

        Args:
            deployment: Settings, as `config.settings` gives them out.
            seed: Of all random draws.
            now: The present (ms).
        """
        self.policy = RoutingPolicy(deployment, seed, now)
        self.bind_policy()
        self.active_requests: dict[str, Request] = {}
        self.waiting: list[tuple[float, int, Request]] = []  # when it is due, number, request
        self.wait_count = 0  # waits so far
        self.settings_count = 0  # settings so far
        self.log_lines: list[str] = []  # what the policy has to say, for the log
        self.actions: list[Action] = []  # what the policy asks of the caller
        self.origin_slots: OriginFetchSlots | None = None  # our turns at the origin, where they are told
        self.slot_clock_offset_ms = 0.0  # from the turns' clock to ours

    def bind_policy(self) -> None:
        """Takes over those calls of the policy that need nothing of the router."""
        self.on_endpoint_list = self.policy.on_endpoint_list
        self.on_gossip = self.policy.on_gossip
        self.heavily_degraded_count = self.policy.outliers.heavily_degraded_count

    # Requests

    def route(self, now: float, request: Request) -> str | None:
        """Takes a request in hand, or looks again at one whose wait has ended.

        Returns:
            The endpoint to send it to now.
        """
        self.active_requests[request.id] = request
        self._look_up_slot(now)
        return self._carry_out(now, request, self.policy.decide(now, request))

    def report_attempt(  # noqa: PLR0913  # the call as records hold it: an event of kind `end`
        self,
        now: float,
        request: Request,
        number: int,
        outcome: str,
        took: float,
        note: str | None = None,
        load: object = None,
        over: bool = False,
    ) -> str | None:
        """What became of an attempt.

        Args:
            now: The present (ms).
            request: The request.
            number: Which of its attempts.
            outcome: An `AttemptOutcome`.
            took: How long it took (ms).
            note: What the cache noted of its answer, such as `hit`.
            load: The load report that came with it, if any.
            over: The request is over, whatever the outcome.

        Returns:
            The endpoint to send the request to next.

        Raises:
            KeyError: There is no such outcome.
        """
        attempt = request.attempts[number]
        attempt.outcome = OUTCOME_BY_NAME[outcome]
        if outcome == AttemptOutcome.COMPLETED and not request.finished:
            request.answer = COMPLETED
        request.finished = request.finished or over or outcome == AttemptOutcome.COMPLETED
        if outcome in OUTCOMES_NEVER_RUN or note in UNFETCHED:
            self._give_slots_back(now, attempt)
        self._look_up_slot(now)
        decision = self.policy.on_attempt_result(now, request, number, took, note, load)
        endpoint = None if request.finished else self._carry_out(now, request, decision)
        self._drop_if_done(request)
        return endpoint

    def on_response_started(self, now: float, request: Request, number: int) -> None:
        """The answer of an attempt has begun to be passed on: the request is bound to it."""
        request.streaming = True
        attempt = request.attempts[number]
        attempt.outcome = AttemptOutcome.RESPONSE_STARTED
        self.policy.on_attempt_result(now, request, number, 0.0, None, None)
        attempt.outcome = None  # still to come

    def on_client_disconnected(self, now: float, request: Request) -> list[int]:
        """The client has left: the numbers of the attempts to call off."""
        if request.finished:
            return []
        request.finished = True
        numbers = self.policy.on_client_disconnected(now, request)
        self._drop_if_done(request)
        return numbers

    def next_due_request(self, now: float) -> Request | None:
        """The first request whose wait has ended: to be routed again."""
        while self.waiting and self.waiting[0][0] <= now + WAIT_TOLERANCE_MS:
            request = heappop(self.waiting)[2]
            if not request.finished:
                return request
        return None

    def tick(self, now: float) -> float:
        """After what happened at one time: gathers log lines and actions; ms until the next tick."""
        wait, actions = self.policy.next_wakeup(now)
        for action in actions:
            if isinstance(action, LogLine):
                self.log_lines.append(action.text)
            else:
                self.actions.append(action)
        return min(wait, max(0.0, self.waiting[0][0] - now)) if self.waiting else wait

    def _carry_out(self, now: float, request: Request, decision: Decision | None) -> str | None:
        if decision is None:
            return None
        if self.origin_slots is not None:
            self._count_slots(now, request, decision, self.origin_slots)
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
        self._drop_if_done(request)
        return None

    def _schedule_wait(self, now: float, request: Request, wait: float) -> None:
        self.wait_count += 1
        heappush(self.waiting, (now + wait, self.wait_count, request))

    def _drop_if_done(self, request: Request) -> None:
        if request.finished and all(attempt.outcome for attempt in request.attempts):
            self.active_requests.pop(request.id, None)

    # Turns at the origin

    def _slot_time_s(self, now: float) -> float:
        return (now - self.slot_clock_offset_ms) / 1000.0

    def _look_up_slot(self, now: float) -> None:
        """Before each decision: from when on the next request that may need the origin may be sent."""
        if self.origin_slots is not None:
            due = self.origin_slots.due_at(self._slot_time_s(now))
            self.policy.set_next_origin_slot(due * 1000.0 + self.slot_clock_offset_ms)

    def _give_slots_back(self, now: float, attempt: Attempt) -> None:
        """An attempt did not ask the origin after all."""
        if self.origin_slots is not None:
            for slot in attempt.rate_slots:
                self.origin_slots.return_slot(self._slot_time_s(now), slot)

    def _count_slots(
        self, now: float, request: Request, decision: Decision, origin_slots: OriginFetchSlots
    ) -> None:
        """After each decision: a turn is used, or one more was wished for."""
        at = self._slot_time_s(now)
        if isinstance(decision, Forward):
            if request.attempts[-1].origin_probability:
                # A write voids the key for others, too, and one more request fetches it again.
                slots = tuple(origin_slots.take(at) for _ in range(1 + request.write))
                request.attempts[-1].rate_slots = slots
                self._look_up_slot(now)
        elif self.policy.is_before_origin_slot(now) and now - request.arrived_at < WAIT_TOLERANCE_MS:
            origin_slots.demand.add(at)

    # Settings and what other parts of the proxy know

    def set_process_count(self, count: int) -> None:
        """How many processes this proxy has now, each with one such part."""
        self.policy.settings.process_count = count

    def set_quota_shares(self, quotas: dict[str, float], endpoint_rate: float | None) -> None:
        """Our parts now.

        Args:
            quotas: Of tenants' rates (requests a ms).
            endpoint_rate: Of what an endpoint can serve (requests a ms and unit of weight); None where it is
                not told.
        """
        self.policy.set_quota_shares(quotas, endpoint_rate)

    def apply_settings(self, now: float, deployment: dict[str, Any]) -> None:
        """Takes other settings from here on, whole.

        Requests in hand end under rules that both allow: each stands under a method of its own from now on,
        until it is over.
        """
        self.settings_count += 1
        methods: dict[str, RawMethod] = {method["name"]: method for method in deployment["methods"]}
        aliases: dict[str, str] = {}
        for request in self.active_requests.values():
            former = request.method
            if former not in aliases:
                version = f"{self.settings_count}.{len(aliases)}"
                aliases[former] = f"{request.name}{SETTINGS_VERSION_SEPARATOR}{version}"
            alias = aliases[former]
            if alias not in methods:
                before = self.policy.settings.methods[former]
                after = methods.get(request.name) or before | {
                    "zones_open": [settings_compatibility.CLOSED_PLACE]
                }
                methods[alias] = settings_compatibility.combine_methods(before, after) | {"name": alias}
                self.policy.latency.add_alias(former, alias)
            request.method = alias
        self.policy.apply_settings(now, deployment, methods)

    def learned_state(self, now: float) -> dict[str, dict[str, float]]:
        """What this life has found out: limits, baselines (ms), fractions of degraded endpoints."""
        return self.policy.learned_state(now)

    def restore_learned_state(self, now: float, learned: dict[str, dict[str, float]]) -> None:
        """Begins from what a former life found out, as startup/snapshot.py lets it count."""
        if learned:
            names = set(self.policy.endpoints.caches)
            self.policy.restore_learned_state(now, snapshot.restorable_state(learned, names))

    def reinstate(self, now: float, name: str) -> None:
        """Other proxies found an endpoint to be fine that was ejected here on little."""
        del now
        endpoint = self.policy.endpoints.cache(name)
        if endpoint is not None:
            endpoint.reinstate()

    def eject_on_evidence(self, now: float, name: str) -> None:
        """Other proxies found an endpoint to be an outlier.

        It is sent an eighth, and more while nothing speaks against it.
        """
        endpoint = self.policy.endpoints.cache(name)
        if endpoint is not None:
            self.policy.outliers.eject_on_evidence(now, endpoint)

    # What is seen

    def degraded_endpoints(self, now: float) -> set[str]:
        """Endpoints that are sent less than they own."""
        return self.policy.outliers.degraded(now)

    def ejected_endpoints(self, now: float) -> list[str]:
        """Endpoints that get a quarter of what they own at most."""
        return self.policy.outliers.ejected(now)

    def rejection_cause(self, now: float, request: Request) -> str:
        """What held back a request that was given up, for the account of a loss. Changes nothing."""
        return self.policy.rejection_cause(now, request)

    def has_alternative(self, now: float, request: Request) -> bool:
        """Whether another of its key's endpoints would take a request, for what is known here."""
        if request.key is None or len(request.attempts) != 1:
            return False
        tried = request.attempts[0].endpoint
        return any(
            endpoint.name != tried
            and endpoint.current_fraction(now) >= 1.0
            and not self.policy.slow_start.is_warming_up(now, endpoint)
            for endpoint in self.ranking(request)
        )

    def ranking(self, request: Request) -> list[Endpoint]:
        """The endpoints of a request's key, best first; none for a request without a key."""
        if request.key is None:
            return []
        placement = self.policy.placement
        return placement.ranking(request.key, placement.constraints[request.method])

    def is_still_allowed(self, now: float, request: Request, number: int) -> bool:
        """Whether an attempt that was decided on is still allowed, right before it leaves."""
        attempt = request.attempts[number]
        endpoint = self.policy.endpoints.cache(attempt.endpoint)
        if endpoint is None:
            return True
        if not endpoint.satisfies(self.policy.placement.constraints[request.method]):
            return False
        first = request.first_possibly_run()
        method = self.policy.settings.by_method[request.method]
        return first is attempt or is_repeat_safe(now, method, first)

    def latency_objective(self, request: Request) -> float:
        """A request's latency objective (ms)."""
        return self.policy.settings.by_method[request.method].latency_objective_ms

    def baseline_latency(self, method: str) -> float | None:
        """The baseline of a method's answers (ms); None where it was not measured yet."""
        return self.policy.latency.baseline_ms(method)

    def has_baselines(self) -> bool:
        """Whether the limits rest on baselines that were measured."""
        return self.policy.latency.any_measured()

    def overload_multiple(self) -> float:
        """How much more than its share an endpoint that warms up may be sent."""
        return self.policy.settings.overload_multiple

    def limits_in_use(self) -> dict[str, str]:
        """Of each limit, how much is in flight, and its value, for the log."""
        limits = {"fleet": self.policy.fleet_limit, "origin": self.policy.origin_limit}
        return {name: f"{limit.in_flight:.1f}/{limit.value:.2f}" for name, limit in limits.items()}
