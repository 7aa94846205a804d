"""The requests that this proxy sends, and their even distribution over the endpoints."""

from calicofall.routing.endpoint import SENT_BUCKETS, SENT_SPAN_MS, Endpoint
from calicofall.routing.placement import Placement
from calicofall.routing.sliding_window import SlidingWindow

LOW_TRAFFIC_REQUESTS = 16.0  # per endpoint in SENT_SPAN_MS; with fewer, a proxy can measure little by itself
MIN_SAMPLES = 8
MAX_RELATIVE_LATENCY = 5.0  # longer ones count as this


class RelativeCapacity:
    """The capacity of each machine kind relative to its weight, measured by its latencies."""

    def __init__(self) -> None:
        """Starts with the same capacity for all kinds."""
        # Relative latencies by kind, as one proxy sends too few requests to a single endpoint.
        self.latencies: dict[str, SlidingWindow] = {}
        self.by_kind: dict[str, float] = {}

    def of(self, endpoint: Endpoint) -> float:
        """Returns the relative capacity of an endpoint's kind; 1 if it was not measured."""
        return self.by_kind.get(endpoint.kind, 1.0)

    def add(self, now: float, endpoint: Endpoint, relative_latency: float) -> None:
        """Adds the relative latency of an answer to those of the endpoint's kind."""
        window = self.latencies.setdefault(endpoint.kind, SlidingWindow(30_000.0, 10))
        window.add(now, min(relative_latency, MAX_RELATIVE_LATENCY))

    def update(self, now: float) -> None:
        """Updates the relative capacities."""
        means = {
            kind: window.recent_mean(now, MIN_SAMPLES, 30_000.0) for kind, window in self.latencies.items()
        }
        measured_means = [mean for mean in means.values() if mean]
        self.by_kind = {
            kind: sum(measured_means) / len(measured_means) / mean for kind, mean in means.items() if mean
        }


class Traffic:
    """The requests that this proxy sent, and whether they are too few for its own measurements."""

    def __init__(self, low: bool, placement: Placement, capacity: RelativeCapacity) -> None:
        """Starts without requests; `low` is whether low traffic is expected."""
        self._placement = placement
        self._capacity = capacity
        self.recent = SlidingWindow(10_000.0, 20)
        self.sent = SlidingWindow(SENT_SPAN_MS, SENT_BUCKETS)
        self.low = low  # whether each endpoint gets too few requests to be measured

    def add(self, now: float, endpoint: Endpoint) -> None:
        """Counts a request sent to an endpoint."""
        self.recent.add(now)
        self.sent.add(now)
        endpoint.sent.add(now)

    def sent_count(self, now: float) -> float:
        """Returns the requests sent to all endpoints over SENT_SPAN_MS."""
        return self.sent.count(now)

    def recent_count(self, now: float) -> float:
        """Returns the requests sent to all endpoints over 10 s."""
        return self.recent.count(now)

    def expected_count(self, now: float, endpoint: Endpoint) -> float:
        """Returns what an even distribution by weight and capacity would have sent to an endpoint."""
        return self.sent.count(now) * self._placement.share_of(endpoint) * self._capacity.of(endpoint)

    def update(self, now: float, proxies: int) -> None:
        """Updates whether traffic is low."""
        required_requests = LOW_TRAFFIC_REQUESTS * len(self._placement.usable) * max(1, proxies // 2 - 1)
        self.low = self.sent.count(now) < required_requests
