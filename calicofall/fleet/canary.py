"""A canary: a version tried at a part of the fleet before it is published, and what it does to requests here.

A proxy that tries a version acts as the version in effect and the tried one allow together, so it contradicts
nobody. Of what binds, only what the tried version forbids is tried, not what it allows beyond. The module
does no I/O: it is handed the time (s) and the counts of requests that have ended since the process began.

States, and what moves between them:
    trying: from the start. Left for
        failing as soon as, for some method, the part of requests that were not completed exceeds the part
            before the canary by more than is tolerated, both at the bounds of their confidence intervals;
        well at the end of its duration, with `MIN_REQUESTS` seen;
        unmeasured at the end with fewer, in all or of a method that had as many before; or when it is cut
            short: the lease was lost, another version was heard, another canary was started.
    failing, well, unmeasured: final; the proxy acts as before. Without `MIN_REQUESTS` of the worst method
        before the canary there is nothing to compare it with: unmeasured.

Invariants:
    - A canary does not outlast its duration, but for the time between two calls.
    - None is called well that has had too few requests.
    - A canary takes no part in agreement: what is tried is no version yet.
    - What ended during a canary does not count as "before" for a later one.

A version that fails all requests of a method does so at a proxy until `MIN_REQUESTS` of them have ended, and
for `LOOK` more. What fails for another reason meanwhile halts a version that is sound; it can be published
again.

Source: score interval of a proportion (Wilson 1927).
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import sqrt
from typing import NamedTuple

MIN_REQUESTS = 20  # from which a part of requests is a measure
OBSERVATION_INTERVAL_S = 0.75  # s between two calls of `look` at most
BASELINE_S = 60.0  # requests that ended so long before the canary are what it is compared with
CONFIDENCE_Z = 2.58  # standard deviations: 99%

RequestCounts = dict[str, tuple[int, int]]  # by method: requests that ended, and of them not completed
NO_REQUESTS = (0, 0)


class CanaryState(StrEnum):
    """State of a canary, as operators read it."""

    TRYING = "trying"
    WELL = "well"
    FAILING = "failing"
    UNMEASURED = "unmeasured"


class CanaryReport(NamedTuple):
    """What is said of a canary; parts are of the method that did worst.

    Attributes:
        version: the version that is tried.
        word: its state.
        why: why it is unmeasured; else empty.
        method: the method that did worst; empty while there is none with enough requests.
        part: part of its requests that were not completed.
        before: the same part before the canary.
        of: how many of its requests have ended during the canary.
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
    """The method whose part not completed grew most, at the bounds of the intervals, and by how much.

    Attributes:
        name: of the method; empty if none has enough requests.
        increase: lower bound of the part during the canary, less the upper bound before it.
    """

    name: str
    increase: float


def wilson_interval(failed: int, of: int) -> tuple[float, float]:
    """Wilson's interval of a proportion, at 99%: from 0 to 1 where nothing was counted."""
    if not of:
        return 0.0, 1.0
    part = failed / of
    square = CONFIDENCE_Z * CONFIDENCE_Z / of
    middle = (part + square / 2.0) / (1.0 + square)
    width = CONFIDENCE_Z * sqrt(part * (1.0 - part) / of + square / of / 4.0) / (1.0 + square)
    return middle - width, middle + width


def _ended_between(earlier: RequestCounts, later: RequestCounts) -> RequestCounts:
    """What ended between two counts."""
    difference = {}
    for method, (ended, failed) in later.items():
        ended_before, failed_before = earlier.get(method, NO_REQUESTS)
        difference[method] = (ended - ended_before, failed - failed_before)
    return difference


def _sum_counts(counts: RequestCounts, added: Mapping[str, tuple[int, int]]) -> RequestCounts:
    """Counts with others added, of the methods that they have."""
    total = {}
    for method, (ended, failed) in counts.items():
        ended_more, failed_more = added.get(method, NO_REQUESTS)
        total[method] = (ended + ended_more, failed + failed_more)
    return total


class Canary:
    """The canaries of one proxy, one after the other.

    Attributes:
        told: what is said of the last one; None before the first.
        seen: times (s) and counts of the last `BASELINE_S`.
        before: what had ended before the canary, within `BASELINE_S`.
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
        """Whether a version is tried now."""
        return self.report is not None and self.report.state == CanaryState.TRYING

    def begin(
        self, now: float, version: int, duration: float, increase: float, counts: RequestCounts
    ) -> None:
        """Starts a canary.

        Args:
            now: the time (s).
            version: the version that is tried.
            duration: for how long (s).
            increase: by how much the part of requests that are not completed may grow.
            counts: what has ended since the process began.
        """
        self.observe(now, counts)
        self._counts_at_start = counts
        self._started_at = now
        self._ends_at = now + duration
        self._tolerated_increase = increase
        self.baseline = _ended_between(self.count_history[0][1], counts)
        self.report = CanaryReport(version, CanaryState.TRYING, "", "", 0.0, 0.0, 0)

    def abort(self, reason: str) -> bool:
        """Ends the canary without a measure; False if there is none."""
        if self.report is None or not self.is_trying:
            return False
        self._end(self.report._replace(state=CanaryState.UNMEASURED, reason=reason))
        return True

    def observe(self, now: float, counts: RequestCounts) -> bool:
        """Takes what has ended since the process began; whether the canary is over by it."""
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
        """What is said of the canary by what has ended during it."""
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
        """Why there were too few requests; empty if there were enough."""
        for method, (ended_before, _) in self.baseline.items():
            if ended_before >= MIN_REQUESTS and during.get(method, NO_REQUESTS)[0] < MIN_REQUESTS:
                return f"under {MIN_REQUESTS} RPCs of {method}"
        if not worst.name:
            return f"under {MIN_REQUESTS} RPCs"
        if self.baseline.get(worst.name, NO_REQUESTS)[0] < MIN_REQUESTS:
            return f"under {MIN_REQUESTS} RPCs before"
        return ""

    def _end(self, report: CanaryReport) -> None:
        """Ends the canary, and removes what ended during it from the counts before.

        Without this, a sound version that follows a failing one would be compared with the failures of the
        other, and pass however bad it was.
        """
        self.report = report
        last = self.count_history[-1]
        during = _ended_between(self._counts_at_start, last[1])
        baseline = [
            (at, _sum_counts(counts, during)) for at, counts in self.count_history if at <= self._started_at
        ]
        self.count_history = deque([*baseline, last])
