"""Measurements of keys: which endpoints hold them, how often they are requested, how likely a fetch is.

Invariants: memory is bounded by the keys of two spans of time, as the older generation is dropped as a whole,
and by a maximum number of keys in each generation: further keys are not noted until the next one begins.
"""

from collections.abc import Iterable

from calicofall.routing.sliding_window import SlidingWindow

HOLD_SPAN_MS = 10_000.0  # a key observed in a cache counts as cached for one to two of these spans
COUNT_SPAN_MS = 30_000.0  # requests of a key are counted over one to two of these spans
FETCH_SPAN_MS = 60_000.0  # fetches are counted over this time
UNKNOWN_FETCH_LIKELIHOOD = 0.5  # used until enough answers were measured
MIN_SAMPLES = 8
DEFAULT_MAX_KEYS = 1 << 16


class RecentlyCachedKeys:
    """Keys that were recently observed in a cache, by endpoint."""

    def __init__(self, now: float) -> None:
        """Starts without cached keys."""
        # (key, endpoint) in two generations: newer, older.
        self.holders: list[set[tuple[int | None, str]]] = [set(), set()]
        self.rotate_at = now + HOLD_SPAN_MS

    def holds(self, endpoint: str, key: int | None) -> bool:
        """Returns whether the endpoint was recently observed to hold the key."""
        holder = (key, endpoint)
        newer, older = self.holders
        return holder in newer or holder in older

    def add(self, endpoint: str, key: int | None, max_keys: int = DEFAULT_MAX_KEYS) -> None:
        """Notes that the endpoint holds the key, unless `max_keys` are noted."""
        if len(self.holders[0]) < max_keys:
            self.holders[0].add((key, endpoint))

    def discard(self, endpoint: str, key: int | None) -> None:
        """Notes that the endpoint does not hold the key."""
        for generation in self.holders:
            generation.discard((key, endpoint))

    def invalidate(self, key: int | None, endpoints: Iterable[str]) -> None:
        """Notes that a write invalidated the key at these endpoints."""
        invalidated = [(key, endpoint) for endpoint in endpoints]
        for generation in self.holders:
            generation.difference_update(invalidated)

    def forget_endpoint(self, endpoint: str) -> None:
        """Notes that the endpoint holds nothing: its process has been replaced."""
        self.holders = [
            {holder for holder in generation if holder[1] != endpoint} for generation in self.holders
        ]

    def rotate_if_due(self, now: float) -> bool:
        """Drops the older generation if a span has ended; returns whether it did."""
        if now < self.rotate_at:
            return False
        self.holders = [set(), self.holders[0]]
        self.rotate_at = now + HOLD_SPAN_MS
        return True


class KeyRequestCounts:
    """Recent numbers of requests by key."""

    def __init__(self, now: float) -> None:
        """Starts without requests."""
        self.counts: list[dict[int, int]] = [{}, {}]  # two generations: newer, older
        self.rotate_at = now + COUNT_SPAN_MS

    def add(self, key: int, max_keys: int = DEFAULT_MAX_KEYS) -> None:
        """Counts a request for the key, unless it is a further one than `max_keys`."""
        newer = self.counts[0]
        if key in newer or len(newer) < max_keys:
            newer[key] = newer.get(key, 0) + 1

    def count(self, key: int | None) -> int:
        """Returns the number of requests for the key over one to two spans."""
        if key is None:
            return 0
        newer, older = self.counts
        return newer.get(key, 0) + older.get(key, 0)

    def span_ms(self, now: float) -> float:
        """Returns the time over which `count` counts."""
        return now - self.rotate_at + 2 * COUNT_SPAN_MS

    def rotate_if_due(self, now: float) -> None:
        """Drops the older generation if a span has ended."""
        if now >= self.rotate_at:
            self.counts = [{}, self.counts[0]]
            self.rotate_at = now + COUNT_SPAN_MS


class FetchLikelihood:
    """The probability that an endpoint fetches a key that it was not observed to hold."""

    def __init__(self) -> None:
        """Starts with a probability of a half."""
        # Shares of fetches: at warm endpoints, at endpoints that warm up.
        self.windows = SlidingWindow(FETCH_SPAN_MS, 24), SlidingWindow(FETCH_SPAN_MS, 24)
        self.likelihood = [UNKNOWN_FETCH_LIKELIHOOD, UNKNOWN_FETCH_LIKELIHOOD]

    def of(self, warming_up: bool) -> float:
        """Returns the probability at a warm endpoint, or at one that warms up."""
        return self.likelihood[warming_up]

    def add(self, now: float, warming_up: bool, fetched: bool) -> None:
        """Counts an answer for a key not observed at the endpoint, and whether it took a fetch."""
        self.windows[warming_up].add(now, fetched)

    def update(self, now: float) -> None:
        """Updates the probabilities."""
        self.likelihood = [
            window.recent_mean(now, MIN_SAMPLES, 10_000.0) or UNKNOWN_FETCH_LIKELIHOOD
            for window in self.windows
        ]
