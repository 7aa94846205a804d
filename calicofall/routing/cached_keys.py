"""What is known of keys: which endpoints hold them, how often they are asked for, what a miss costs.

Invariants: memory is bounded by what comes in two spans of time, since the older half is dropped whole.
"""

from collections.abc import Iterable

from calicofall.routing.sliding_window import SlidingWindow

HOLD_SPAN_MS = 10_000.0  # what was seen to be cached is believed for one to two of these
COUNT_SPAN_MS = 30_000.0  # requests of a key are counted over one to two of these
FETCH_SPAN_MS = 60_000.0
UNKNOWN_FETCH_LIKELIHOOD = 0.5
MIN_SAMPLES = 8


class RecentlyCachedKeys:
    """Keys that were seen to be cached, by endpoint."""

    def __init__(self, now: float) -> None:
        """Nothing is known to be cached."""
        self.holders: list[set[tuple[int | None, str]]] = [set(), set()]  # (key, endpoint); newer, older
        self.rotate_at = now + HOLD_SPAN_MS

    def holds(self, endpoint: str, key: int | None) -> bool:
        """Whether the endpoint was lately seen to hold the key."""
        held = (key, endpoint)
        newer, older = self.holders
        return held in newer or held in older

    def add(self, endpoint: str, key: int | None) -> None:
        """The endpoint holds the key."""
        self.holders[0].add((key, endpoint))

    def discard(self, endpoint: str, key: int | None) -> None:
        """The endpoint does not hold the key."""
        for held in self.holders:
            held.discard((key, endpoint))

    def invalidate(self, key: int | None, endpoints: Iterable[str]) -> None:
        """A write voided the key: none of these endpoints holds it."""
        gone = [(key, endpoint) for endpoint in endpoints]
        for held in self.holders:
            held.difference_update(gone)

    def rotate_if_due(self, now: float) -> bool:
        """Forgets what is older than a span; whether it was time to."""
        if now < self.rotate_at:
            return False
        self.holders = [set(), self.holders[0]]
        self.rotate_at = now + HOLD_SPAN_MS
        return True


class KeyRequestCounts:
    """How often keys were asked for lately."""

    def __init__(self, now: float) -> None:
        """Nothing was asked for."""
        self.counts: list[dict[int, int]] = [{}, {}]  # newer, older
        self.rotate_at = now + COUNT_SPAN_MS

    def add(self, key: int) -> None:
        """Counts a request for the key."""
        newer = self.counts[0]
        newer[key] = newer.get(key, 0) + 1

    def count(self, key: int | None) -> int:
        """How often the key was asked for over one to two spans."""
        if key is None:
            return 0
        newer, older = self.counts
        return newer.get(key, 0) + older.get(key, 0)

    def span_ms(self, now: float) -> float:
        """Over how long `count` counts."""
        return now - self.rotate_at + 2 * COUNT_SPAN_MS

    def rotate_if_due(self, now: float) -> None:
        """Forgets what is older than two spans."""
        if now >= self.rotate_at:
            self.counts = [{}, self.counts[0]]
            self.rotate_at = now + COUNT_SPAN_MS


class FetchLikelihood:
    """How likely an endpoint fetches a key from the origin that it was not seen to hold."""

    def __init__(self) -> None:
        """Even chances, until answers tell."""
        # Shares of fetches: at endpoints that are warm, at those that warm up.
        self.windows = SlidingWindow(FETCH_SPAN_MS, 24), SlidingWindow(FETCH_SPAN_MS, 24)
        self.likelihood = [UNKNOWN_FETCH_LIKELIHOOD, UNKNOWN_FETCH_LIKELIHOOD]

    def of(self, warming_up: bool) -> float:
        """The likelihood at an endpoint that is warm, or that warms up."""
        return self.likelihood[warming_up]

    def add(self, now: float, warming_up: bool, fetched: bool) -> None:
        """An answer for a key that the endpoint was not seen to hold took a fetch, or none."""
        self.windows[warming_up].add(now, fetched)

    def update(self, now: float) -> None:
        """Measures anew."""
        self.likelihood = [
            window.recent_mean(now, MIN_SAMPLES, 10_000.0) or UNKNOWN_FETCH_LIKELIHOOD
            for window in self.windows
        ]
