"""Baseline latencies of methods, of fetches from the origin, and of the network paths to zones.

The baseline of a method or of fetches is the shortest mean measured within a minute, so that a short overload
does not raise it.
"""

from collections.abc import Iterable, Mapping
from math import inf

from calicofall.routing.endpoint import Endpoint
from calicofall.routing.sliding_window import SlidingWindow

WINDOW_MS = 60_000.0  # latencies are kept for this time
WINDOW_BUCKETS = 24
MIN_SAMPLES = 8  # smallest number of answers of a mean: a few heavy requests are no overload
BASELINE_MIN_SAMPLES = 2 * MIN_SAMPLES
MIN_LATENCY_RATIO = 1 / 12  # of the latency objective: an answer within this time is never slow
ZONE_FLOOR_RISE = 0.05  # fraction by which a zone's shortest latency rises towards each higher measurement


class LatencyBaselines:
    """Baseline latencies of methods and of fetches from the origin (ms)."""

    def __init__(self, methods: Iterable[str], latency_objective_ms: float) -> None:
        """Starts without baselines of methods; the baseline of a fetch is half of the latency objective."""
        # By method; None: cache misses.
        self.windows: dict[str | None, SlidingWindow] = {
            name: SlidingWindow(WINDOW_MS, WINDOW_BUCKETS) for name in [*methods, None]
        }
        self.baselines: dict[str | None, float | None] = dict.fromkeys(self.windows)
        self.fetches = SlidingWindow(WINDOW_MS, WINDOW_BUCKETS)
        self.fetch_baseline_ms: float = latency_objective_ms / 2
        self.longest_baseline_ms = inf  # the longest baseline of a method

    def baseline_ms(self, method: str | None) -> float | None:
        """Returns the baseline of a method, or of cache misses for None; None before it is measured."""
        return self.baselines.get(method)

    def measured(self) -> dict[str, float]:
        """Returns the measured baselines by method."""
        return {name: value for name, value in self.baselines.items() if name and value}

    def any_measured(self) -> bool:
        """Returns whether any baseline was measured."""
        return any(self.baselines.values())

    def add(self, now: float, method: str | None, latency_ms: float) -> None:
        """Adds the latency of an answer, or of a cache miss if the method is None."""
        self.windows[method].add(now, latency_ms)

    def add_fetch(self, now: float, latency_ms: float) -> None:
        """Adds the latency of an answer that took a fetch."""
        self.fetches.add(now, latency_ms)

    def relative_to_fetch(self, latency_ms: float) -> float:
        """Returns a latency as a multiple of the baseline of a fetch."""
        return latency_ms / max(self.fetch_baseline_ms, 1.0)

    def update(self, now: float, latency_objective_ms: float) -> None:
        """Updates the baselines."""
        for name, window in self.windows.items():
            self.baselines[name] = window.shortest_mean(now, BASELINE_MIN_SAMPLES, self.baselines[name])
        self.fetch_baseline_ms = self.fetches.shortest_mean(now, BASELINE_MIN_SAMPLES, self.fetch_baseline_ms)
        min_baseline_ms = MIN_LATENCY_RATIO * latency_objective_ms
        self.longest_baseline_ms = max(
            [1.0, *(max(one, min_baseline_ms) for one in self.baselines.values() if one)]
        )

    def restore(self, baselines: Mapping[str, float], fetch_baseline_ms: float | None) -> None:
        """Restores the baselines of an earlier incarnation."""
        if fetch_baseline_ms is not None:
            self.fetch_baseline_ms = fetch_baseline_ms
        self.baselines.update({name: value for name, value in baselines.items() if name in self.baselines})

    def add_alias(self, method: str, alias: str) -> None:
        """Measures a method under another name too."""
        self.windows[alias] = self.windows[method]
        self.baselines[alias] = self.baselines[method]

    def apply_methods(self, methods: Iterable[str]) -> None:
        """Replaces the methods; measurements of removed ones are dropped."""
        names = list(methods)
        for name in [*self.windows]:
            if name is not None and name not in names:
                del self.windows[name], self.baselines[name]
        for name in names:
            self.windows.setdefault(name, SlidingWindow(WINDOW_MS, WINDOW_BUCKETS))
            self.baselines.setdefault(name, None)


class ZoneLatency:
    """The extra latency of each zone over the nearest one."""

    def __init__(self) -> None:
        """Starts without measurements."""
        self.floors: dict[str, tuple[float, int]] = {}  # by zone: shortest latency (ms), number of answers
        # Extra latency by zone (ms), derived from the floors; None if it has to be computed again.
        self.extra: dict[str, float] | None = None

    def add(self, zone: str, latency_ms: float) -> None:
        """Adds the latency of an answer from a zone."""
        floor, count = self.floors.get(zone, (latency_ms, 0))
        self.floors[zone] = min(latency_ms, floor + ZONE_FLOOR_RISE * (latency_ms - floor)), count + 1
        self.extra = None

    def extra_ms(self, endpoint: Endpoint | None) -> float:
        """Returns how much longer the shortest answers of its zone take than those of the nearest zone."""
        if endpoint is None:
            return 0.0
        if self.extra is None:
            self.extra = self._extra_by_zone()
        return self.extra.get(endpoint.zone, 0.0)

    def _extra_by_zone(self) -> dict[str, float]:
        floors = {
            zone: floor for zone, (floor, count) in self.floors.items() if count >= BASELINE_MIN_SAMPLES
        }
        if not floors:
            return {}
        nearest = min(floors.values())
        return {zone: floor - nearest for zone, floor in floors.items()}
