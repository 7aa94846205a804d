"""A limit on the mean number of requests in flight, which follows the measured latency.

The limit is a gradient limit as in Netflix's concurrency-limits: it shrinks where answers take longer than
the baseline latency allows, and grows slowly while requests want for room.

Invariants: the limit is never below its floor.
"""

from math import sqrt
from random import Random

from calicofall.routing.sliding_window import SlidingWindow

MEAN_SPAN_MS = 2000.0  # the limit holds for the mean over this time
UPDATE_INTERVAL_MS = 250.0  # between two updates, while anything happens
LARGE_FLEET_PROXIES = 16.0  # with more proxies each has a small part of the fleet's limit
LATENCY_WINDOWS = 16  # relative latencies are kept over this many windows
LATENCY_BUCKETS = 32
BURST = 2.0  # requests at once beyond the limit, at most


class ConcurrencyLimit:
    """A limit on requests in flight that follows shortest over present latency."""

    __slots__ = (
        "decreased_at",
        "floor",
        "in_flight",
        "relative_latencies",
        "min_samples",
        "relative_growth",
        "root_growth",
        "capacity_denied",
        "unused_capacity",
        "tolerance",
        "next_start_at",
        "updated_at",
        "usage_updated_at",
        "value",
        "window_ms",
    )

    def __init__(self, now: float, proxies: int, min_samples: float, window_ms: float = 1000.0) -> None:
        """An empty limit of one request.

        Args:
            now: The present (ms).
            proxies: How many proxies share what this limit protects.
            min_samples: Latencies that a mean takes at the least.
            window_ms: The time in which an overload builds up; no two decreases follow in less.
        """
        self.min_samples = min_samples
        self.window_ms = window_ms
        self.relative_growth = 0.1 if proxies > LARGE_FLEET_PROXIES else 0.05
        self.value = 1.0
        self.floor = 1.0
        self.tolerance = 2.5  # relative latency above which the limit shrinks
        self.in_flight = 0.0  # requests in flight, each by the likelihood that it counts
        self.capacity_denied = False  # a request found no room since the last update
        self.root_growth = 0.5 / sqrt(proxies)  # all proxies together grow by half the root of what all have
        self.unused_capacity = 0.0  # lately unused (requests in flight times ms)
        self.usage_updated_at = now
        self.next_start_at = 0.0  # when the next request may go, where another part rations them
        self.relative_latencies = SlidingWindow(
            LATENCY_WINDOWS * window_ms, LATENCY_BUCKETS
        )  # relative to the baseline
        self.decreased_at = 0.0
        self.updated_at = 0.0

    def add_in_flight(self, now: float, count: float) -> None:
        """Counts so many requests as in flight from now on; a negative count releases them."""
        most = self.value * MEAN_SPAN_MS
        self.unused_capacity = max(
            -most,
            min(most, self.unused_capacity + (self.value - self.in_flight) * (now - self.usage_updated_at)),
        )
        self.in_flight += count
        self.usage_updated_at = now

    def has_capacity(self, now: float, fraction: float) -> bool:
        """Whether one more request fits into this fraction of the limit."""
        self.add_in_flight(now, 0.0)
        # Where few are in flight on average, two at once happen by chance and are no overload.
        most = max(1.0, self.value * fraction + min(self.value, BURST))
        return self.in_flight < most and self.unused_capacity > (1 - fraction) * self.value * MEAN_SPAN_MS

    def request_capacity(self, now: float, fraction: float) -> bool:
        """Whether one more fits, as `has_capacity`; one that does not is a reason to grow."""
        free = self.has_capacity(now, fraction)
        self.capacity_denied = not free or self.capacity_denied
        return free

    def may_start(self, now: float, fraction: float) -> bool:
        """Whether a request may start now: its turn has come, and there is capacity for it."""
        return now >= self.next_start_at and self.request_capacity(now, fraction)

    def start_from(self, value: float, random_generator: Random) -> None:
        """Begins from an estimated limit, with its burst unused; one below 1 has a random part of it."""
        self.value = value
        self.unused_capacity = value * MEAN_SPAN_MS * (1.0 if value >= 1 else random_generator.random())

    def update(self, now: float) -> None:
        """Shrinks the limit where latencies are too long, lets it grow where requests found no room."""
        mean = self.relative_latencies.recent_mean(now, self.min_samples, self.window_ms)
        since = now - self.decreased_at
        tolerance = self.tolerance
        before = self.value
        if mean is not None and mean > tolerance and since >= 0.9 * self.window_ms:
            self.value = self.value * max(0.5, tolerance / mean)
            self.decreased_at = now
            # Without this the same answers would shrink it again.
            self.relative_latencies = SlidingWindow(LATENCY_WINDOWS * self.window_ms, LATENCY_BUCKETS)
        elif self.capacity_denied and (
            mean <= tolerance if mean is not None else since >= 2.0 * self.window_ms
        ):
            # A proxy with a small part finds its place the faster, the shorter its answers are.
            step = self.root_growth * sqrt(self.value) + self.relative_growth * self.value * (
                tolerance / (mean or tolerance) - 1
            )
            self.value += step * min(4.0, (now - self.updated_at) / UPDATE_INTERVAL_MS)
        self.value = max(self.floor, self.value)
        # Without this a limit runs away: what it has grown by would itself look like a want of room.
        self.unused_capacity *= self.value / before
        self.capacity_denied = False
        self.updated_at = now
