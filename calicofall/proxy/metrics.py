"""The metrics that operators read: requests by final answer, attempts sent, requests in flight.

Counters are incremented where the counted event happens; gauges are computed when they are read.
"""

from collections.abc import Callable, Iterable

from calicofall.proxy.close_cause import CLIENT_CAUSES, UPSTREAM_CAUSES, CloseCause

# The final answers of the router, and their names in metrics.
METRIC_NAMES = {"completed": "answered", "exhausted": "deferred", "errored": "errored"}


class Metrics:
    """Counters since the start of the process, and gauges."""

    def __init__(self, methods: Iterable[str], gauges: dict[str, Callable[[], int]]) -> None:
        self.answer_counts = {answer: dict.fromkeys(methods, 0) for answer in METRIC_NAMES}
        self.gauges = gauges
        self.attempts_sent = 0
        self.second_copies = 0  # second copies of replies that crossed the next command on its connection
        self.memory_waits = 0  # long commands that waited for memory before their value was read
        self.memory_wait_ms = 0  # how long these waited, in total
        self.memory_refusals = 0  # of these, refused since their time was running out
        self.late_repeats = 0  # repeats given up, as they could not arrive while the first run is remembered
        self.truncated_values = 0  # values that broke off after a part of them was sent to the client
        self.undelivered_closes = 0  # clients' connections that ended before the client had all output
        self.connection_waits = 0  # attempts that found no free connection and waited for one

        self.client_closes = dict.fromkeys(sorted(CLIENT_CAUSES), 0)
        self.upstream_closes = dict.fromkeys(sorted(UPSTREAM_CAUSES), 0)

    def count_client_close(self, cause: CloseCause | None) -> None:
        """Counts the end of a client's connection."""
        self.client_closes[cause if cause in self.client_closes else CloseCause.OTHER] += 1

    def count_upstream_close(self, cause: CloseCause | None) -> None:
        """Counts the end of a connection to an endpoint."""
        self.upstream_closes[cause if cause in self.upstream_closes else CloseCause.OTHER] += 1

    def total_closes(self) -> int:
        """Returns how many connections have ended."""
        return sum(self.client_closes.values()) + sum(self.upstream_closes.values())

    def count_answer(self, answer: str, method: str) -> None:
        """Counts the final answer of one request."""
        counts = self.answer_counts[answer]
        counts[method] = counts.get(method, 0) + 1

    def totals(self) -> dict[str, int]:
        """Returns the number of requests by final answer, over all methods."""
        return {answer: sum(counts.values()) for answer, counts in self.answer_counts.items()}

    def finished_by_method(self) -> dict[str, tuple[int, int]]:
        """Returns by method: how many requests have finished, and how many of them were not completed."""
        finished: dict[str, tuple[int, int]] = {}
        methods = dict.fromkeys(method for counts in self.answer_counts.values() for method in counts)
        for method in methods:
            total = sum(counts.get(method, 0) for counts in self.answer_counts.values())
            completed = self.answer_counts["completed"].get(method, 0)
            finished[method] = (total, total - completed)
        return finished

    def format_lines(self) -> list[str]:
        """Returns all metrics as statsd lines; `|c` marks a counter, `|g` a gauge."""
        counter_lines = [
            f"proxy.{METRIC_NAMES[answer]}.{method}:{count}|c"
            for answer, counts in self.answer_counts.items()
            for method, count in counts.items()
        ]
        gauge_lines = [f"proxy.{name}:{read()}|g" for name, read in self.gauges.items()]
        attempt_lines = [
            f"proxy.sends:{self.attempts_sent}|c",
            f"proxy.connection_waits:{self.connection_waits}|c",
            f"proxy.second_copies:{self.second_copies}|c",
            f"proxy.late_repeats:{self.late_repeats}|c",
            f"proxy.truncated_values:{self.truncated_values}|c",
            f"proxy.undelivered_closes:{self.undelivered_closes}|c",
            f"proxy.memory_waits:{self.memory_waits}|c",
            f"proxy.memory_wait_ms:{self.memory_wait_ms}|c",
            f"proxy.memory_refusals:{self.memory_refusals}|c",
        ]
        close_lines = [
            f"proxy.{side}_closed_{cause}:{count}|c"
            for side, closes in (("client", self.client_closes), ("upstream", self.upstream_closes))
            for cause, count in closes.items()
        ]
        return [*counter_lines, *attempt_lines, *close_lines, *gauge_lines]
