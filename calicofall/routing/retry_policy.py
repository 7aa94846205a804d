"""Which requests are sent again: by their effect, by the retry budget, and by what failed lately.

Invariants: a request that must not have its effect twice is not sent again once it may have run.
"""

from collections.abc import Mapping
from random import Random
from typing import Any

from calicofall.routing.decisions import Fail, Reject
from calicofall.routing.latency import LatencyBaselines
from calicofall.routing.request import Attempt, AttemptOutcome, Request, RequestGroup, RetrySafety
from calicofall.routing.settings import MethodSettings, RoutingSettings
from calicofall.routing.sliding_window import SlidingWindow

FLEET_ALLOWANCE = 30.0  # retries that all proxies together may make at once without a budget in the settings
ALLOWANCE_PER_REQUEST = 0.2
FAILS_EVERYWHERE = 0.75  # of a group's requests that were sent again and failed again
GROUP_SPAN_MS = 8_000.0  # for how long the failures of a group are known
GROUP_MIN_SAMPLES = 3
TRIAL_PROBABILITY = 1 / 16  # of a try against what is known, by which one learns that it has passed
OVER_QUOTA_BUDGET = 0.25  # of the budget, for requests beyond their tenant's quota
# Failures by chance: another attempt, even at the same endpoint, may succeed.
TRANSIENT_FAILURES = frozenset(
    {AttemptOutcome.ERROR, AttemptOutcome.CORRUPT, AttemptOutcome.RESET, AttemptOutcome.UNCONNECTED}
)


class RetryBudget:
    """A retry budget: in any span `spare` attempts beyond requests' first, and `ratio` of the requests taken.

    Rounds against itself: an attempt counts up to two buckets too long, a request up to one too short.
    """

    def __init__(self, rules: Mapping[str, Any]) -> None:
        """Reads the rules of a deployment: `retry_span` (ms), `retry_spare` and `retry_ratio`."""
        span = rules.get("retry_span") or 1.0
        self.enabled = bool(rules.get("retry_span"))
        self.fixed_attempts: float = rules.get("retry_spare") or 0.0
        self.attempts_per_request: float = rules.get("retry_ratio") or 0.0
        self.requests = SlidingWindow(span, 40)
        self.extra_attempts = SlidingWindow(span * 1.05, 42)

    def allows(self, now: float, part: float) -> bool:
        """Whether one more may go, for who may use this part of what is allowed now."""
        if not self.enabled:
            return True
        allowed = part * (self.fixed_attempts + self.attempts_per_request * self.requests.count(now))
        return self.extra_attempts.count(now) + 1.0 <= allowed

    def apply_settings(self, rules: Mapping[str, Any]) -> None:
        """Takes other amounts; the span and whether there is a budget stay as they were."""
        self.fixed_attempts = rules.get("retry_spare") or 0.0
        self.attempts_per_request = rules.get("retry_ratio") or 0.0


def is_repeat_safe(now: float, method: MethodSettings, first: Attempt | None) -> bool:
    """Whether another attempt cannot have an effect twice.

    Args:
        now: The present (ms).
        method: The request's method.
        first: The first attempt that may have run, if any.
    """
    if first is None or method.retry_safety == RetrySafety.IDEMPOTENT:
        return True
    if method.retry_safety != RetrySafety.IDEMPOTENCY_KEY:
        return False
    return now < first.sent_at + method.idempotency_window_ms


class RetryPolicy:
    """The retry budget, the allowance of retries, and groups of requests that fail everywhere."""

    def __init__(
        self, settings: RoutingSettings, latency: LatencyBaselines, proxies: int, random_generator: Random
    ) -> None:
        """Begins with a random part of the allowance, so that proxies of one start do not act in step."""
        self._settings = settings
        self._latency = latency
        self.max_allowance = max(1.0, FLEET_ALLOWANCE / proxies)
        self.allowance = self.max_allowance * random_generator.random()
        self.budget = RetryBudget(settings.rules)
        # By group, requests that failed again when sent again.
        self.failing_groups: dict[RequestGroup, SlidingWindow] = {}

    def on_request(self, now: float) -> None:
        """A request came: it adds to the allowance and the budget."""
        self.allowance = min(self.max_allowance, self.allowance + ALLOWANCE_PER_REQUEST)
        self.budget.requests.add(now)

    def on_forward(self, now: float, request: Request) -> None:
        """A request is forwarded: a further attempt is paid for, unless a miss allowed it."""
        if request.cache_miss_retries:
            request.cache_miss_retries -= 1
        elif request.attempts:
            self.budget.extra_attempts.add(now)

    def on_result(self, now: float, request: Request, number: int) -> None:
        """An attempt has ended: what it tells of the request's groups, where the one before it failed."""
        outcome = request.attempts[number].outcome
        if not number or outcome not in (AttemptOutcome.ERROR, AttemptOutcome.COMPLETED):
            return
        if request.attempts[number - 1].outcome != AttemptOutcome.ERROR:
            return
        failed = float(outcome == AttemptOutcome.ERROR)
        for group in request.groups():
            self.failing_groups.setdefault(group, SlidingWindow(GROUP_SPAN_MS, 4)).add(now, failed)

    def has_allowance(self) -> bool:
        """Whether a retry could be paid for from the allowance."""
        return self.allowance >= 1

    def may_send(self, now: float, request: Request, method: MethodSettings) -> bool:
        """Whether another attempt is within the budget, dear requests first, and has no effect twice."""
        attempts = request.attempts
        if not attempts:
            return True
        if not request.cache_miss_retries:
            part = OVER_QUOTA_BUDGET
            if request.within_quota:
                part = 0.5 + 0.5 * self._settings.priority[request.method]
            if not self.budget.allows(now, part / self._settings.process_count):
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
        """Whether a request whose attempt failed is to be sent again, and pays for it.

        Retries are a part of what comes in, not of what fails: else they would make an overload worse.
        """
        usual = self._latency.baseline_ms(request.method)
        # Requests that fail wherever they go would load every endpoint in turn; now and then one is tried.
        hopeless = outcome == AttemptOutcome.ERROR and self.fails_everywhere(
            now, request, now - request.attempts[-1].sent_at
        )
        if hopeless and random_generator.random() >= TRIAL_PROBABILITY:
            return False
        fine = (self.budget.enabled or self.allowance >= 1) and remaining_ms >= (usual or 0.0)
        if fine:  # what failed soon costs less
            self.allowance -= 0.5 if outcome in TRANSIENT_FAILURES else 1.0
        return fine

    def fails_everywhere(self, now: float, request: Request, latency_ms: float) -> bool:
        """Whether requests of one of its groups fail soon wherever they go, by those sent again lately."""
        if latency_ms >= self._latency.fetch_baseline_ms:  # an overloaded origin would pass for bad requests
            return False
        for group in request.groups():
            window = self.failing_groups.get(group)
            if window is None:
                continue
            if (window.recent_mean(now, GROUP_MIN_SAMPLES, GROUP_SPAN_MS / 4) or 0.0) > FAILS_EVERYWHERE:
                return True
        return False

    def give_up(self, request: Request, method: MethodSettings, random_generator: Random) -> Reject | Fail:
        """Rejects a request where a repeat by its client is harmless, and fails it where it might not be."""
        repeats = method.retry_safety
        if (
            repeats == RetrySafety.IDEMPOTENT
            or request.first_possibly_run() is None
            or (repeats == RetrySafety.IDEMPOTENCY_KEY and method.deduplication_group == "all")
        ):
            return Reject(self._settings.max_retry_after_ms * random_generator.uniform(0.3, 0.6))
        return Fail()

    def forget(self, now: float) -> None:
        """Drops groups of which nothing was seen lately."""
        self.failing_groups = {
            group: window for group, window in self.failing_groups.items() if window.count(now)
        }
