"""Clients that read their answers slowly, while answers wait for them in a limited number of buffers.

The time of slow readers must not count as latency of endpoints, and late answers must not use all buffers.
"""

from calicofall.routing.request import AttemptOutcome, Request
from calicofall.routing.settings import MethodSettings, RoutingSettings
from calicofall.routing.sliding_window import SlidingWindow

LATE_SPAN_MS = 4_000.0  # late requests are counted over this time
# A time-out counts against the reader if the last latency was below this fraction of it.
READER_LATENCY_RATIO = 0.8
OBJECTIVE_MARGIN_MS = 10.0  # a request counts as late from so long before its latency objective


class SlowReaders:
    """The number of late requests, and the last latencies by endpoint."""

    def __init__(self, settings: RoutingSettings) -> None:
        """Starts without late requests."""
        self._settings = settings
        self.late_requests = SlidingWindow(LATE_SPAN_MS, 8)  # attempts that ended after the latency objective
        # Latency of the last answer by endpoint (ms); None: of the last answer that took a fetch.
        self.last_latencies: dict[str | None, float] = {}

    def on_result(self, now: float, request: Request, method: MethodSettings) -> None:
        """Counts an attempt that ended late."""
        late_after_ms = method.latency_objective_ms - OBJECTIVE_MARGIN_MS
        if self._settings.answer_buffers and now - request.arrived_at >= late_after_ms:
            self.late_requests.add(now)

    def fill_buffers(self, now: float, method: MethodSettings) -> bool:
        """Returns whether late answers, kept until their deadlines, would use half of the buffers."""
        late_span_ms = method.deadline_ms - method.latency_objective_ms
        # Without a limit on buffers, no late request is counted.
        return (
            0
            < self._settings.answer_buffers
            < 2.0 * self.late_requests.count(now) / LATE_SPAN_MS * late_span_ms
        )

    def endpoint_latency(
        self, endpoint: str, outcome: AttemptOutcome, latency_ms: float, fetched: bool
    ) -> float | None:
        """Returns the latency that counts as the endpoint's; None if the reader probably caused it.

        The shorter latency of two successive answers counts, so that one slow reader does not count against
        an endpoint. An endpoint that becomes slow is detected one answer later.
        """
        if not self._settings.answer_buffers:
            return latency_ms
        if outcome not in (AttemptOutcome.COMPLETED, AttemptOutcome.TIMEOUT):
            return latency_ms
        measured = None if fetched else endpoint
        last_latency_ms = self.last_latencies.get(measured, latency_ms)
        if outcome == AttemptOutcome.COMPLETED:
            self.last_latencies[measured] = latency_ms
        elif (
            max(last_latency_ms, self.last_latencies.get(None, latency_ms))
            < READER_LATENCY_RATIO * latency_ms
        ):
            return None
        return min(latency_ms, last_latency_ms)

    def forget(self) -> None:
        """Drops the last latencies, so that endpoints that are gone take no memory."""
        self.last_latencies = {}
