"""A limit on the mean number of requests in flight, which follows the measured latency.

It is a gradient limit as in Netflix's concurrency-limits: it shrinks while answers take longer than the
baseline latency allows, and grows slowly while requests are denied capacity.

Invariants: the limit is never below its floor.
"""

from math import sqrt
from random import Random

from calicofall.routing.sliding_window import SlidingWindow

MEAN_SPAN_MS = 2000.0  # the limit applies to the mean over this time
UPDATE_INTERVAL_MS = 250.0  # shortest time between two updates; an idle proxy makes none
LARGE_FLEET_PROXIES = 16.0  # with more proxies, each has a small share of the total limit
LATENCY_WINDOWS = 16  # relative latencies are kept for so many windows
LATENCY_BUCKETS = 32
MAX_BURST_REQUESTS = 2.0  # requests in flight beyond the limit, at most


class ConcurrencyLimit:
    """A limit on requests in flight that follows the ratio of baseline latency to current latency."""

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
        """Creates a limit of one request, with none in flight.

        Args:
            now: Current time (ms).
            proxies: Number of proxies that share the protected servers.
            min_samples: Smallest number of latencies that make a mean.
            window_ms: Time in which an overload builds up; decreases are about this far apart, or further.
        """
        self.min_samples = min_samples
        self.window_ms = window_ms
        self.relative_growth = 0.1 if proxies > LARGE_FLEET_PROXIES else 0.05
        self.value = 1.0
        self.floor = 1.0
        self.tolerance = 2.5  # mean relative latency above which the limit shrinks
        self.in_flight = 0.0  # requests, each weighted by the probability that it loads the protected servers
        self.capacity_denied = False  # whether a request was denied capacity since the last update
        self.root_growth = 0.5 / sqrt(proxies)  # the sum of all proxies' limits grows by half its square root
        self.unused_capacity = 0.0  # recently unused part of the limit (requests in flight times ms)
        self.usage_updated_at = now
        self.next_start_at = 0.0  # when the next request may start (ms), if rate slots apply
        # Latencies relative to the baseline.
        self.relative_latencies = SlidingWindow(LATENCY_WINDOWS * window_ms, LATENCY_BUCKETS)
        self.decreased_at = 0.0
        self.updated_at = 0.0

    def add_in_flight(self, now: float, count: float) -> None:
        """Adds requests in flight; a negative count releases them."""
        max_unused = self.value * MEAN_SPAN_MS
        self.unused_capacity = max(
            -max_unused,
            min(
                max_unused,
                self.unused_capacity + (self.value - self.in_flight) * (now - self.usage_updated_at),
            ),
        )
        self.in_flight += count
        self.usage_updated_at = now

    def has_capacity(self, now: float, fraction: float) -> bool:
        """Returns whether one more request fits into this fraction of the limit.

        `unused_capacity` is a credit: it grows while fewer requests are in flight than the limit allows, up
        to MEAN_SPAN_MS times the limit, and is used up while more are. A smaller fraction requires more
        credit: while it falls, requests with small fractions are denied capacity first, and the rest of it
        serves those with higher fractions.
        """
        self.add_in_flight(now, 0.0)
        # With a low mean, two requests are in flight at once by coincidence, which is no overload.
        max_in_flight = max(1.0, self.value * fraction + min(self.value, MAX_BURST_REQUESTS))
        return (
            self.in_flight < max_in_flight
            and self.unused_capacity > (1 - fraction) * self.value * MEAN_SPAN_MS
        )

    def request_capacity(self, now: float, fraction: float) -> bool:
        """Returns the same as `has_capacity`, and notes a denial, after which the limit may grow."""
        has_capacity = self.has_capacity(now, fraction)
        self.capacity_denied = not has_capacity or self.capacity_denied
        return has_capacity

    def may_start(self, now: float, fraction: float) -> bool:
        """Returns whether a request may start now, by the next rate slot and the capacity."""
        return now >= self.next_start_at and self.request_capacity(now, fraction)

    def start_from(self, value: float, random_generator: Random) -> None:
        """Starts from an estimated limit with its burst unused; a limit below 1 gets a random part of it."""
        self.value = value
        self.unused_capacity = value * MEAN_SPAN_MS * (1.0 if value >= 1 else random_generator.random())

    def update(self, now: float) -> None:
        """Decreases the limit if latencies are too long; increases it if requests were denied capacity."""
        mean = self.relative_latencies.recent_mean(now, self.min_samples, self.window_ms)
        since_decrease_ms = now - self.decreased_at
        tolerance = self.tolerance
        old_value = self.value
        if mean is not None and mean > tolerance and since_decrease_ms >= 0.9 * self.window_ms:
            self.value = self.value * max(0.5, tolerance / mean)
            self.decreased_at = now
            # Without this, the same latencies would decrease the limit again.
            self.relative_latencies = SlidingWindow(LATENCY_WINDOWS * self.window_ms, LATENCY_BUCKETS)
        elif self.capacity_denied and (
            mean <= tolerance if mean is not None else since_decrease_ms >= 2.0 * self.window_ms
        ):
            # The shorter its latencies are, the faster a proxy with a small limit reaches its share.
            step = self.root_growth * sqrt(self.value) + self.relative_growth * self.value * (
                tolerance / (mean or tolerance) - 1
            )
            self.value += step * min(4.0, (now - self.updated_at) / UPDATE_INTERVAL_MS)
        self.value = max(self.floor, self.value)
        # Without this, the limit would grow without bound: its growth itself would appear as used capacity.
        self.unused_capacity *= self.value / old_value
        self.capacity_denied = False
        self.updated_at = now
