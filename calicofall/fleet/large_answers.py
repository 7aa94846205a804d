"""Statistics of large answers: how long they usually take, and for which keys to expect them.

The latency of a large answer depends on its size, so it is no evidence on how fast the endpoint serves small
ones. Outlier detection therefore counts large answers as separate evidence. The module performs no I/O.

Invariants:
- The size class of at most MAX_KNOWN_KEYS keys is kept.
"""

from calicofall.routing.sliding_window import SlidingWindow

LARGE_ANSWER_BYTES = 4096  # smallest size of a large answer
SLOW_FACTOR = 4.0  # an answer that takes longer than this multiple of the baseline latency is a failure
MIN_LARGE_ANSWERS = 8  # fewest large answers from which a baseline is computed
MAX_KNOWN_KEYS = 1000
WINDOW_MS = 60_000.0
WINDOW_BUCKETS = 24


class LargeAnswerStatistics:
    """Statistics of the large answers of all endpoints; points in time are in seconds."""

    def __init__(self) -> None:
        self.ms_per_byte = SlidingWindow(WINDOW_MS, WINDOW_BUCKETS)  # of large answers
        self.answers = SlidingWindow(WINDOW_MS, WINDOW_BUCKETS)  # of any size
        self.baseline_ms_per_byte: float | None = None
        self.large_by_key: dict[int, bool] = {}  # whether a key's last answer was large; most recent key last

    def record_answer(self, now: float, key: int | None, took_ms: float, size_bytes: int) -> bool | None:
        """Records an answer; returns whether a large one was fast enough.

        The limit is SLOW_FACTOR times the baseline time per byte, which is the lowest recent mean over all
        endpoints. Returns None if the answer is not large, or there is no baseline yet.
        """
        is_large = size_bytes >= LARGE_ANSWER_BYTES
        if key is not None:
            self._remember_key(key, is_large)
        now_ms = now * 1000.0
        self.answers.add(now_ms)
        if not is_large:
            return None
        self.ms_per_byte.add(now_ms, took_ms / size_bytes)
        baseline = self.ms_per_byte.shortest_mean(now_ms, MIN_LARGE_ANSWERS, self.baseline_ms_per_byte)
        self.baseline_ms_per_byte = baseline
        return took_ms <= SLOW_FACTOR * baseline * size_bytes if baseline else None

    def _remember_key(self, key: int, is_large: bool) -> None:
        self.large_by_key.pop(key, None)
        self.large_by_key[key] = is_large
        if len(self.large_by_key) > MAX_KNOWN_KEYS:
            del self.large_by_key[next(iter(self.large_by_key))]

    def large_probability(self, now: float, key: int | None) -> float:
        """Returns the probability that a missing answer for a key would have been large."""
        if key in self.large_by_key:
            return float(self.large_by_key[key])
        now_ms = now * 1000.0
        return self.ms_per_byte.count(now_ms) / max(1.0, self.answers.count(now_ms))
