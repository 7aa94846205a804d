"""Canary: a settings version that some proxies try, with a measurement of failures, before it is published.

While a canary runs, the proxy acts on what the version in effect and the tried version both allow, so it
contradicts no other proxy. Of the binding fields, a canary therefore tests only what the tried version
forbids, not what it newly allows. The module performs no I/O: it is given the time in seconds and the counts
of requests that have ended since the process started.

States and transitions:
    trying: the initial state. It changes to
        failing as soon as the failure fraction of some method has grown by more than the tolerated increase,
            measured from the upper confidence bound of the baseline to the lower bound during the canary;
        well at the end of its duration, if there were at least `MIN_REQUESTS` requests;
        unmeasured at the end of its duration, if there were fewer requests, in total or for a method that had
            at least `MIN_REQUESTS` in the baseline, or if the method with the largest increase had fewer in
            the baseline, so that there is nothing to compare with; or when the canary is aborted because the
            lease was lost, another version arrived or another canary was started.
    failing, well, unmeasured: final. The proxy acts on the version in effect again.

Invariants:
    - A canary runs no longer than its duration, plus the time between two calls of `observe`.
    - A canary with too few requests never ends as well.
    - A canary has no influence on configuration agreement: the tried document is not a version yet.
    - Requests that ended during a canary are not part of the baseline of a later one.

A version that fails all requests of a method does so at a proxy until `MIN_REQUESTS` of them have ended, and
for up to `OBSERVATION_INTERVAL_S` more. Failures with another cause during that time halt a sound version; it
can be published again.

Reference: score interval of a proportion (Wilson 1927).
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import sqrt
from typing import NamedTuple

MIN_REQUESTS = 20  # fewest requests from which a failure fraction is computed
OBSERVATION_INTERVAL_S = 0.75  # longest time between two calls of `observe`
BASELINE_S = 60.0  # length of the period before the canary whose requests are the baseline
CONFIDENCE_Z = 2.58  # standard deviations of a 99% confidence interval

RequestCounts = dict[str, tuple[int, int]]  # by method: requests that ended, and those of them that failed
NO_REQUESTS = (0, 0)


class CanaryState(StrEnum):
    """The state of a canary; the values appear in metrics, logs and the output of the command line."""

    TRYING = "trying"
    WELL = "well"
    FAILING = "failing"
    UNMEASURED = "unmeasured"


class CanaryReport(NamedTuple):
    """The state and measurements of a canary; a request counts as failed if it was not completed.

    Attributes:
        version: the settings version that is tried.
        state: the state of the canary.
        reason: why the canary is unmeasured; empty in any other state.
        method: the method with the largest increase of failures; empty while none has enough requests.
        failed_fraction: fraction of that method's requests that failed during the canary.
        baseline_failed_fraction: fraction of that method's requests that failed in the baseline.
        request_count: number of that method's requests that have ended during the canary.
    """

    version: int
    state: CanaryState
    reason: str
    method: str
    failed_fraction: float
    baseline_failed_fraction: float
    request_count: int


@dataclass(frozen=True, slots=True)
class WorstMethod:
    """The method whose failure fraction has grown most.

    Attributes:
        name: name of the method; empty if no method has enough requests.
        increase: lower confidence bound of the failure fraction during the canary, minus the upper confidence
            bound in the baseline.
    """

    name: str
    increase: float


def wilson_interval(failed: int, total: int) -> tuple[float, float]:
    """Returns the 99% Wilson score interval of a failure fraction; (0, 1) if there were no requests."""
    if not total:
        return 0.0, 1.0
    fraction = failed / total
    scaled_z_squared = CONFIDENCE_Z * CONFIDENCE_Z / total
    center = (fraction + scaled_z_squared / 2.0) / (1.0 + scaled_z_squared)
    half_width = (
        CONFIDENCE_Z
        * sqrt(fraction * (1.0 - fraction) / total + scaled_z_squared / total / 4.0)
        / (1.0 + scaled_z_squared)
    )
    return center - half_width, center + half_width


def _ended_between(earlier: RequestCounts, later: RequestCounts) -> RequestCounts:
    """Returns the requests that ended between two counts."""
    difference = {}
    for method, (ended, failed) in later.items():
        ended_before, failed_before = earlier.get(method, NO_REQUESTS)
        difference[method] = (ended - ended_before, failed - failed_before)
    return difference


def _sum_counts(counts: RequestCounts, added: Mapping[str, tuple[int, int]]) -> RequestCounts:
    """Returns `counts` with `added` added to the methods that `counts` has."""
    total = {}
    for method, (ended, failed) in counts.items():
        ended_more, failed_more = added.get(method, NO_REQUESTS)
        total[method] = (ended + ended_more, failed + failed_more)
    return total


class Canary:
    """The canaries of one proxy, of which at most one runs at a time.

    Attributes:
        count_history: observations of the last `BASELINE_S`: time (s) and counts since the process started.
        report: report on the latest canary; None before the first.
        baseline: requests that ended within `BASELINE_S` before the canary started.
    """

    def __init__(self) -> None:
        self.count_history: deque[tuple[float, RequestCounts]] = deque()
        self.report: CanaryReport | None = None
        self.baseline: RequestCounts = {}
        self._started_at = 0.0
        self._ends_at = 0.0
        self._tolerated_increase = 0.0
        self._counts_at_start: RequestCounts = {}

    @property
    def is_trying(self) -> bool:
        """Whether a canary is running."""
        return self.report is not None and self.report.state == CanaryState.TRYING

    def begin(
        self, now: float, version: int, duration_s: float, max_increase: float, counts: RequestCounts
    ) -> None:
        """Starts a canary.

        Args:
            now: the time (s).
            version: the settings version that is tried.
            duration_s: how long the canary runs.
            max_increase: the tolerated increase of a method's failure fraction.
            counts: requests that have ended since the process started.
        """
        self.observe(now, counts)
        self._counts_at_start = counts
        self._started_at = now
        self._ends_at = now + duration_s
        self._tolerated_increase = max_increase
        self.baseline = _ended_between(self.count_history[0][1], counts)
        self.report = CanaryReport(version, CanaryState.TRYING, "", "", 0.0, 0.0, 0)

    def abort(self, reason: str) -> bool:
        """Ends a running canary as unmeasured; returns False if none is running."""
        if self.report is None or not self.is_trying:
            return False
        self._end(self.report._replace(state=CanaryState.UNMEASURED, reason=reason))
        return True

    def observe(self, now: float, counts: RequestCounts) -> bool:
        """Records the requests that have ended since the process started; returns whether a canary ended."""
        self.count_history.append((now, counts))
        while self.count_history[0][0] < now - BASELINE_S:
            self.count_history.popleft()
        if self.report is None or not self.is_trying:
            return False
        report = self._measure(now, self.report.version, _ended_between(self._counts_at_start, counts))
        if report.state == CanaryState.TRYING:
            self.report = report
            return False
        self._end(report)
        return True

    def _measure(self, now: float, version: int, during: RequestCounts) -> CanaryReport:
        """Returns the report on the canary, given the requests that ended during it."""
        worst = self._worst_method(during)
        state = CanaryState.TRYING
        reason = ""
        if worst.name and worst.increase > self._tolerated_increase:
            state = CanaryState.FAILING
        elif now >= self._ends_at:
            reason = self._reason_unmeasured(during, worst)
            state = CanaryState.UNMEASURED if reason else CanaryState.WELL
        ended, failed = during.get(worst.name, NO_REQUESTS)
        ended_before, failed_before = self.baseline.get(worst.name, NO_REQUESTS)
        return CanaryReport(
            version=version,
            state=state,
            reason=reason,
            method=worst.name,
            failed_fraction=failed / max(1, ended),
            baseline_failed_fraction=failed_before / max(1, ended_before),
            request_count=ended,
        )

    def _worst_method(self, during: RequestCounts) -> WorstMethod:
        worst = WorstMethod("", -1.0)
        for method, (ended, failed) in during.items():
            ended_before, failed_before = self.baseline.get(method, NO_REQUESTS)
            increase = wilson_interval(failed, ended)[0] - wilson_interval(failed_before, ended_before)[1]
            if ended >= MIN_REQUESTS and increase > worst.increase:
                worst = WorstMethod(method, increase)
        return worst

    def _reason_unmeasured(self, during: RequestCounts, worst: WorstMethod) -> str:
        """Returns why there were too few requests for a measurement; empty if there were enough."""
        for method, (ended_before, _) in self.baseline.items():
            if ended_before >= MIN_REQUESTS and during.get(method, NO_REQUESTS)[0] < MIN_REQUESTS:
                return f"under {MIN_REQUESTS} RPCs of {method}"
        if not worst.name:
            return f"under {MIN_REQUESTS} RPCs"
        if self.baseline.get(worst.name, NO_REQUESTS)[0] < MIN_REQUESTS:
            return f"under {MIN_REQUESTS} RPCs before"
        return ""

    def _end(self, report: CanaryReport) -> None:
        """Ends the canary, and removes the requests that ended during it from the baseline of the next one.

        Without this, a version that is tried after a failing one would be compared with the failures of that
        canary, and would pass however bad it was.
        """
        self.report = report
        last = self.count_history[-1]
        during = _ended_between(self._counts_at_start, last[1])
        baseline = [
            (at, _sum_counts(counts, during)) for at, counts in self.count_history if at <= self._started_at
        ]
        self.count_history = deque([*baseline, last])
