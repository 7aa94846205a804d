"""Retries: decided by a request's side effects, the retry budget and recent failures.

Invariants: a request that must not take effect twice is not retried once it may have run.
"""

from collections.abc import Mapping
from math import inf
from random import Random
from typing import Any

from calicofall.routing.decisions import Fail, Reject
from calicofall.routing.latency import LatencyBaselines
from calicofall.routing.request import Attempt, AttemptOutcome, Request, RequestGroup, RetrySafety
from calicofall.routing.settings import MethodSettings, RoutingSettings
from calicofall.routing.sliding_window import SlidingWindow

# The allowance limits retries if the settings have no retry budget: all proxies together may make so many
# retries at once, and each request adds to the allowance of its proxy.
FLEET_ALLOWANCE = 30.0
ALLOWANCE_PER_REQUEST = 0.2
# A group counts as failing everywhere if a larger share of its retried requests failed again.
FAILING_GROUP_SHARE = 0.75
GROUP_SPAN_MS = 8_000.0  # failures of a group are counted over this time
GROUP_MIN_SAMPLES = 3
MAX_FAILING_GROUPS = 1024  # each takes half a kilobyte
TRIAL_PROBABILITY = 1 / 16  # of an attempt despite a known failure, which detects its end
OVER_QUOTA_BUDGET_FRACTION = 0.25  # of the retry budget, for requests beyond their tenant's quota
# Failures after which another attempt may succeed, even at the same endpoint.
TRANSIENT_FAILURES = frozenset(
    {AttemptOutcome.ERROR, AttemptOutcome.CORRUPT, AttemptOutcome.RESET, AttemptOutcome.UNCONNECTED}
)


class RetryBudget:
    """A retry budget: limits the further attempts of requests in any span of time.

    A fixed number of further attempts is allowed in each span, plus a ratio of the requests accepted in it.
    Rounding is conservative: an attempt counts for up to two buckets too long, a request for up to one bucket
    too short.
    """

    def __init__(self, rules: Mapping[str, Any]) -> None:
        """Reads `retry_span` (ms), `retry_spare` and `retry_ratio` from the rules of a deployment."""
        span_ms = rules.get("retry_span") or 1.0
        self.enabled = bool(rules.get("retry_span"))
        self.fixed_attempts: float = rules.get("retry_spare") or 0.0
        self.attempts_per_request: float = rules.get("retry_ratio") or 0.0
        self.requests = SlidingWindow(span_ms, 40)
        self.extra_attempts = SlidingWindow(span_ms * 1.05, 42)

    def allows(self, now: float, fraction: float) -> bool:
        """Returns whether this fraction of the budget allows one more attempt."""
        if not self.enabled:
            return True
        allowed = fraction * (self.fixed_attempts + self.attempts_per_request * self.requests.count(now))
        return self.extra_attempts.count(now) + 1.0 <= allowed

    def apply_settings(self, rules: Mapping[str, Any]) -> None:
        """Replaces the amounts; the span, and whether there is a budget, do not change."""
        self.fixed_attempts = rules.get("retry_spare") or 0.0
        self.attempts_per_request = rules.get("retry_ratio") or 0.0


def repeat_ends_at(method: MethodSettings, first_attempt: Attempt | None) -> float:
    """Returns the time from which another attempt could make a request take effect twice (ms).

    It is infinite if another attempt is always safe, and minus infinity if it never is.

    Args:
        method: Settings of the request's method.
        first_attempt: First attempt that may have run, if any.
    """
    if first_attempt is None or method.retry_safety == RetrySafety.IDEMPOTENT:
        return inf
    if method.retry_safety != RetrySafety.IDEMPOTENCY_KEY:
        return -inf
    return first_attempt.sent_at + method.idempotency_window_ms


def is_repeat_safe(now: float, method: MethodSettings, first_attempt: Attempt | None) -> bool:
    """Returns whether another attempt cannot make a request take effect twice; see `repeat_ends_at`."""
    return now < repeat_ends_at(method, first_attempt)


class RetryPolicy:
    """The retry budget, the retry allowance, and groups of requests that fail at every endpoint."""

    def __init__(
        self, settings: RoutingSettings, latency: LatencyBaselines, proxies: int, random_generator: Random
    ) -> None:
        """Starts with a random part of the allowance, so that proxies started together do not synchronize."""
        self._settings = settings
        self._latency = latency
        self.max_allowance = max(1.0, FLEET_ALLOWANCE / proxies)
        self.allowance = self.max_allowance * random_generator.random()
        self.budget = RetryBudget(settings.rules)
        # By group: 1 for each retried request that failed again, 0 for each that did not.
        self.failing_groups: dict[RequestGroup, SlidingWindow] = {}

    def on_request(self, now: float) -> None:
        """Adds to the allowance and the budget for a new request."""
        self.allowance = min(self.max_allowance, self.allowance + ALLOWANCE_PER_REQUEST)
        self.budget.requests.add(now)

    def on_forward(self, now: float, request: Request) -> None:
        """Counts a further attempt against the budget, unless a cache miss allowed it."""
        if request.cache_miss_retries:
            request.cache_miss_retries -= 1
        elif request.attempts:
            self.budget.extra_attempts.add(now)

    def on_result(self, now: float, request: Request, attempt_index: int) -> None:
        """Updates the request's groups with the outcome of a retry after an error."""
        outcome = request.attempts[attempt_index].outcome
        if not attempt_index or outcome not in (AttemptOutcome.ERROR, AttemptOutcome.COMPLETED):
            return
        if request.attempts[attempt_index - 1].outcome != AttemptOutcome.ERROR:
            return
        failed = float(outcome == AttemptOutcome.ERROR)
        for group in request.groups():
            if group not in self.failing_groups and len(self.failing_groups) >= MAX_FAILING_GROUPS:
                continue
            self.failing_groups.setdefault(group, SlidingWindow(GROUP_SPAN_MS, 4)).add(now, failed)

    def has_allowance(self) -> bool:
        """Returns whether the allowance permits a retry."""
        return self.allowance >= 1

    def may_send(self, now: float, request: Request, method: MethodSettings) -> bool:
        """Returns whether the budget permits another attempt, by priority, and a repeat is safe."""
        attempts = request.attempts
        if not attempts:
            return True
        if not request.cache_miss_retries:
            budget_fraction = OVER_QUOTA_BUDGET_FRACTION
            if request.within_quota:
                budget_fraction = 0.5 + 0.5 * self._settings.priority[request.method]
            if not self.budget.allows(now, budget_fraction / self._settings.process_count):
                return False
        if any(attempt.outcome is None for attempt in attempts):
            return False
        return is_repeat_safe(now, method, request.first_possibly_run())

    def may_retry(
        self,
        now: float,
        request: Request,
        outcome: AttemptOutcome,
        remaining_ms: float,
        random_generator: Random,
    ) -> bool:
        """Returns whether to retry a request whose attempt failed; a retry is deducted from the allowance.

        Retries are limited to a ratio of incoming requests, not of failures: otherwise they would amplify an
        overload.
        """
        baseline_ms = self._latency.baseline_ms(request.method)
        # Requests that fail at every endpoint would load all of them in turn; a few are tried nevertheless.
        fails_everywhere = outcome == AttemptOutcome.ERROR and self.fails_everywhere(
            now, request, now - request.attempts[-1].sent_at
        )
        if fails_everywhere and random_generator.random() >= TRIAL_PROBABILITY:
            return False
        may_retry = (self.budget.enabled or self.allowance >= 1) and remaining_ms >= (baseline_ms or 0.0)
        if may_retry:  # a transient failure ends sooner and costs less
            self.allowance -= 0.5 if outcome in TRANSIENT_FAILURES else 1.0
        return may_retry

    def fails_everywhere(self, now: float, request: Request, latency_ms: float) -> bool:
        """Returns whether retried requests of one of its groups recently failed fast at every endpoint."""
        if latency_ms >= self._latency.fetch_baseline_ms:  # a slow failure may be an overload of the origin
            return False
        for group in request.groups():
            window = self.failing_groups.get(group)
            if window is None:
                continue
            if (window.recent_mean(now, GROUP_MIN_SAMPLES, GROUP_SPAN_MS / 4) or 0.0) > FAILING_GROUP_SHARE:
                return True
        return False

    def give_up(
        self, now: float, request: Request, method: MethodSettings, random_generator: Random
    ) -> Reject | Fail:
        """Rejects a request that its client may safely repeat when it is told to, and fails any other."""
        first_attempt = request.first_possibly_run()
        # Which endpoint gets the client's repeat is not known.
        is_any_endpoint_safe = (
            first_attempt is None
            or method.retry_safety == RetrySafety.IDEMPOTENT
            or method.deduplication_group == "all"
        )
        if is_any_endpoint_safe and is_repeat_safe(now, method, first_attempt):
            retry_after_ms = self._settings.max_retry_after_ms * random_generator.uniform(0.3, 0.6)
            if is_repeat_safe(now + retry_after_ms, method, first_attempt):
                return Reject(retry_after_ms)
        return Fail()

    def forget(self, now: float) -> None:
        """Drops groups without recent retries."""
        self.failing_groups = {
            group: window for group, window in self.failing_groups.items() if window.count(now)
        }
