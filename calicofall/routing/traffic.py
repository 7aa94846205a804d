"""How much this proxy sends, and to whom it would be sent evenly."""

from calicofall.routing.endpoint import SENT_BUCKETS, SENT_SPAN_MS, Endpoint
from calicofall.routing.placement import Placement
from calicofall.routing.sliding_window import SlidingWindow

LOW_TRAFFIC_REQUESTS = 16.0  # to an endpoint in SENT_SPAN_MS; with fewer a proxy learns little by itself
MIN_SAMPLES = 8
MAX_RELATIVE_LATENCY = 5.0


class RelativeCapacity:
    """What a kind of machine can be sent beside its weight, for answers as fast as other kinds'."""

    def __init__(self) -> None:
        """All kinds are alike, until answers tell."""
        self.latencies: dict[str, SlidingWindow] = {}  # by kind: one proxy meets an endpoint too seldom
        self.by_kind: dict[str, float] = {}

    def of(self, endpoint: Endpoint) -> float:
        """That of an endpoint's kind; 1 where it is not known."""
        return self.by_kind.get(endpoint.kind, 1.0)

    def add(self, now: float, endpoint: Endpoint, relative_latency: float) -> None:
        """Measures an answer of a kind of machine."""
        window = self.latencies.setdefault(endpoint.kind, SlidingWindow(30_000.0, 10))
        window.add(now, min(relative_latency, MAX_RELATIVE_LATENCY))

    def update(self, now: float) -> None:
        """Measures anew."""
        means = {
            kind: window.recent_mean(now, MIN_SAMPLES, 30_000.0) for kind, window in self.latencies.items()
        }
        known = [mean for mean in means.values() if mean]
        self.by_kind = {kind: sum(known) / len(known) / mean for kind, mean in means.items() if mean}


class Traffic:
    """Requests that this proxy sent, and whether they are too few to learn from."""

    def __init__(self, low: bool, placement: Placement, capacity: RelativeCapacity) -> None:
        """Nothing was sent; `low`: whether little is expected."""
        self._placement = placement
        self._capacity = capacity
        self.recent = SlidingWindow(10_000.0, 20)
        self.sent = SlidingWindow(SENT_SPAN_MS, SENT_BUCKETS)
        self.low = low  # too little goes to each endpoint to learn from

    def add(self, now: float, endpoint: Endpoint) -> None:
        """Counts a request that is sent to an endpoint."""
        self.recent.add(now)
        self.sent.add(now)
        endpoint.sent.add(now)

    def sent_count(self, now: float) -> float:
        """Requests sent to all endpoints over SENT_SPAN_MS."""
        return self.sent.count(now)

    def recent_count(self, now: float) -> float:
        """Requests sent to all endpoints over 10 s."""
        return self.recent.count(now)

    def expected_count(self, now: float, endpoint: Endpoint) -> float:
        """What an endpoint would have been sent over SENT_SPAN_MS, had all been sent alike."""
        return self.sent.count(now) * self._placement.share_of(endpoint) * self._capacity.of(endpoint)

    def update(self, now: float, proxies: int) -> None:
        """Looks anew whether traffic is low."""
        enough = LOW_TRAFFIC_REQUESTS * len(self._placement.usable) * max(1, proxies // 2 - 1)
        self.low = self.sent.count(now) < enough
