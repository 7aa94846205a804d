"""Counts and means over a sliding window of time.

Invariants: memory is constant; a window is accurate to one bucket.
"""

from typing import TypeVar

Default = TypeVar("Default")


class SlidingWindow:
    """Counts and sums over the last `span_ms`, in a ring of time buckets."""

    __slots__ = ("counts", "bucket_numbers", "sums", "bucket_ms")

    def __init__(self, span_ms: float, buckets: int = 8) -> None:
        """Creates an empty window."""
        self.bucket_ms = span_ms / buckets
        # The bucket of a time t has the number t // bucket_ms, and is stored at that number modulo `buckets`.
        self.bucket_numbers = [-1] * buckets
        self.counts = [0.0] * buckets
        self.sums = [0.0] * buckets

    def add(self, now: float, value: float = 0.0, count: float = 1.0) -> None:
        """Adds a value, or the sum of `count` values."""
        bucket_number = int(now // self.bucket_ms)
        index = bucket_number % len(self.bucket_numbers)
        if self.bucket_numbers[index] != bucket_number:
            self.bucket_numbers[index] = bucket_number
            self.counts[index] = 0.0
            self.sums[index] = 0.0
        self.counts[index] += count
        self.sums[index] += value

    def live_buckets(self, now: float) -> list[int]:
        """Returns the indices of the buckets within the span."""
        newest_expired = int(now // self.bucket_ms) - len(self.bucket_numbers)
        return [
            index for index, bucket_number in enumerate(self.bucket_numbers) if bucket_number > newest_expired
        ]

    def count(self, now: float) -> float:
        """Returns the count within the span."""
        newest_expired = int(now // self.bucket_ms) - len(self.bucket_numbers)
        return sum(
            [
                count
                for bucket_number, count in zip(self.bucket_numbers, self.counts, strict=True)
                if bucket_number > newest_expired
            ]
        )

    def recent_mean(self, now: float, min_count: float, min_span_ms: float = 1000.0) -> float | None:
        """Returns the mean over the shortest recent time that meets both minima.

        Args:
            now: Current time (ms).
            min_count: Smallest number of values.
            min_span_ms: Shortest time.

        Returns:
            The mean, over the whole window if only `min_count` is met; None if the window has fewer values.
        """
        newest = int(now // self.bucket_ms)
        count = total = 0.0
        for age in range(len(self.bucket_numbers)):
            index = (newest - age) % len(self.bucket_numbers)
            if self.bucket_numbers[index] == newest - age:
                count += self.counts[index]
                total += self.sums[index]
            if count >= min_count and (age + 1) * self.bucket_ms >= min_span_ms:
                return total / count
        return total / count if count >= min_count else None

    def shortest_mean(self, now: float, min_count: float, default: Default) -> float | Default:
        """Returns the smallest mean of successive buckets that together hold at least `min_count` values."""
        means: list[float] = []
        count = total = 0.0
        for index in sorted(self.live_buckets(now), key=self.bucket_numbers.__getitem__):
            count += self.counts[index]
            total += self.sums[index]
            if count >= min_count:  # the mean of few values may be low by coincidence
                means.append(total / count)
                count = total = 0.0
        return min(means, default=default)
