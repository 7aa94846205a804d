"""Clients that read their answers slowly, while answers wait for them in a bounded number of buffers.

Their time must not pass for the endpoints', and buffers must not all be held for answers that are late.
"""

from calicofall.routing.request import AttemptOutcome, Request
from calicofall.routing.settings import MethodSettings, RoutingSettings
from calicofall.routing.sliding_window import SlidingWindow

LATE_SPAN_MS = 4_000.0
SLOWER = 0.8  # of a latency: a last one that is less speaks against the reader
OBJECTIVE_MARGIN_MS = 10.0


class SlowReaders:
    """How many requests end late, and the last latencies by endpoint."""

    def __init__(self, settings: RoutingSettings) -> None:
        """None is known."""
        self._settings = settings
        self.late_requests = SlidingWindow(LATE_SPAN_MS, 8)  # requests that ended past the latency objective
        self.last_latencies: dict[str | None, float] = {}  # by endpoint (ms); None: whichever fetched last

    def on_result(self, now: float, request: Request, method: MethodSettings) -> None:
        """An attempt has ended: counted where it is late."""
        late = method.latency_objective_ms - OBJECTIVE_MARGIN_MS
        if self._settings.answer_buffers and now - request.arrived_at >= late:
            self.late_requests.add(now)

    def fill_buffers(self, now: float, method: MethodSettings) -> bool:
        """Whether slow readers would fill half of the buffers, were they waited for to the end."""
        rest = method.deadline_ms - method.latency_objective_ms
        # Without any buffers none is counted.
        return 0 < self._settings.answer_buffers < 2.0 * self.late_requests.count(now) / LATE_SPAN_MS * rest

    def endpoint_latency(
        self, endpoint: str, outcome: AttemptOutcome, latency_ms: float, fetched: bool
    ) -> float | None:
        """The part of a latency that may be the endpoint's; None where it is likely to be the reader's.

        Of two answers in a row the sooner counts, so that one slow reader does not blame an endpoint. An
        endpoint that turns slow is known an answer later.
        """
        if not self._settings.answer_buffers:
            return latency_ms
        if outcome not in (AttemptOutcome.COMPLETED, AttemptOutcome.TIMEOUT):
            return latency_ms
        of = None if fetched else endpoint
        last = self.last_latencies.get(of, latency_ms)
        if outcome == AttemptOutcome.COMPLETED:
            self.last_latencies[of] = latency_ms
        elif max(last, self.last_latencies.get(None, latency_ms)) < SLOWER * latency_ms:
            return None
        return min(latency_ms, last)

    def forget(self) -> None:
        """Drops the last latencies, so that those of endpoints that are gone take no memory."""
        self.last_latencies = {}
