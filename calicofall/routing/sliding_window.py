"""Counts and means over a sliding window of time.

Invariants: memory is fixed; a window is exact to one bucket.
"""

from typing import TypeVar

Default = TypeVar("Default")


class SlidingWindow:
    """Counts and sums over the last `span` ms, in fixed buckets of time that are used again."""

    __slots__ = ("counts", "bucket_numbers", "sums", "bucket_ms")

    def __init__(self, span: float, buckets: int = 8) -> None:
        """An empty window of `span` ms."""
        self.bucket_ms = span / buckets  # of a bucket (ms)
        self.bucket_numbers = [-1] * buckets  # which interval of time a bucket is for
        self.counts = [0.0] * buckets
        self.sums = [0.0] * buckets

    def add(self, now: float, value: float = 0.0, count: float = 1.0) -> None:
        """Counts a value, or `count` of them that sum up to it."""
        mark = int(now // self.bucket_ms)
        i = mark % len(self.bucket_numbers)
        if self.bucket_numbers[i] != mark:
            self.bucket_numbers[i] = mark
            self.counts[i] = 0.0
            self.sums[i] = 0.0
        self.counts[i] += count
        self.sums[i] += value

    def live_buckets(self, now: float) -> list[int]:
        """The numbers of the buckets that are within the span."""
        oldest = int(now // self.bucket_ms) - len(self.bucket_numbers)
        return [i for i, mark in enumerate(self.bucket_numbers) if mark > oldest]

    def count(self, now: float) -> float:
        """How many were counted within the span."""
        oldest = int(now // self.bucket_ms) - len(self.bucket_numbers)
        return sum(
            [count for mark, count in zip(self.bucket_numbers, self.counts, strict=True) if mark > oldest]
        )

    def recent_mean(self, now: float, least: float, span: float = 1000.0) -> float | None:
        """The mean over at least `span` ms, further back until enough was seen; None if it never was."""
        mark = int(now // self.bucket_ms)
        count = total = 0.0
        for back in range(len(self.bucket_numbers)):
            i = (mark - back) % len(self.bucket_numbers)
            if self.bucket_numbers[i] == mark - back:
                count += self.counts[i]
                total += self.sums[i]
            if count >= least and (back + 1) * self.bucket_ms >= span:
                return total / count
        return total / count if count >= least else None

    def shortest_mean(self, now: float, least: float, default: Default) -> float | Default:
        """The least mean of successive buckets that together saw enough to have one."""
        means: list[float] = []
        count = total = 0.0
        for i in sorted(self.live_buckets(now), key=self.bucket_numbers.__getitem__):
            count += self.counts[i]
            total += self.sums[i]
            if count >= least:  # few answers make it too short by chance
                means.append(total / count)
                count = total = 0.0
        return min(means, default=default)
