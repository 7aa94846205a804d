"""Baseline latencies: of each method, of fetches from the origin, and of the way to each zone.

A baseline is the shortest mean that was measured over a minute, so that an overload does not raise it.
"""

from collections.abc import Iterable, Mapping
from math import inf

from calicofall.routing.endpoint import Endpoint
from calicofall.routing.sliding_window import SlidingWindow

WINDOW_MS = 60_000.0
WINDOW_BUCKETS = 24
MIN_SAMPLES = 8  # fewer answers make no measure: a few heavy requests are no overload
BASELINE_MIN_SAMPLES = 2 * MIN_SAMPLES
MIN_LATENCY_RATIO = 1 / 12  # of the latency objective: an answer as short as that is never slow
ZONE_FLOOR_RISE = 0.05  # how fast a zone's shortest latency rises towards what is measured


class LatencyBaselines:
    """Baseline latencies of methods (ms), and of fetches from the origin."""

    def __init__(self, methods: Iterable[str], latency_objective_ms: float) -> None:
        """No method has a baseline yet; a fetch is taken to last half of the latency objective."""
        # By method; None: of misses.
        self.windows: dict[str | None, SlidingWindow] = {
            name: SlidingWindow(WINDOW_MS, WINDOW_BUCKETS) for name in [*methods, None]
        }
        self.baselines: dict[str | None, float | None] = dict.fromkeys(self.windows)
        self.fetches = SlidingWindow(WINDOW_MS, WINDOW_BUCKETS)
        self.fetch_baseline_ms: float = latency_objective_ms / 2
        self.longest_baseline_ms = inf  # the longest baseline of a method

    def baseline_ms(self, method: str | None) -> float | None:
        """The baseline of a method; of misses for None. None where it was not measured yet."""
        return self.baselines.get(method)

    def measured(self) -> dict[str, float]:
        """All baselines that were measured, by method."""
        return {name: value for name, value in self.baselines.items() if name and value}

    def any_measured(self) -> bool:
        """Whether any baseline was measured."""
        return any(self.baselines.values())

    def add(self, now: float, method: str | None, latency_ms: float) -> None:
        """Measures an answer; a miss where the method is None."""
        self.windows[method].add(now, latency_ms)

    def add_fetch(self, now: float, latency_ms: float) -> None:
        """Measures an answer that took a fetch."""
        self.fetches.add(now, latency_ms)

    def relative_to_fetch(self, latency_ms: float) -> float:
        """A latency as a multiple of a fetch's baseline."""
        return latency_ms / max(self.fetch_baseline_ms, 1.0)

    def update(self, now: float, latency_objective_ms: float) -> None:
        """Measures the baselines anew."""
        for name, window in self.windows.items():
            self.baselines[name] = window.shortest_mean(now, BASELINE_MIN_SAMPLES, self.baselines[name])
        self.fetch_baseline_ms = self.fetches.shortest_mean(now, BASELINE_MIN_SAMPLES, self.fetch_baseline_ms)
        shortest = MIN_LATENCY_RATIO * latency_objective_ms
        self.longest_baseline_ms = max([1.0, *(max(one, shortest) for one in self.baselines.values() if one)])

    def restore(self, known: Mapping[str, float], fetch_baseline_ms: float | None) -> None:
        """Begins from baselines of a former life."""
        if fetch_baseline_ms is not None:
            self.fetch_baseline_ms = fetch_baseline_ms
        self.baselines.update({name: value for name, value in known.items() if name in self.baselines})

    def add_alias(self, method: str, alias: str) -> None:
        """A method is measured under another name, too."""
        self.windows[alias] = self.windows[method]
        self.baselines[alias] = self.baselines[method]

    def apply_methods(self, methods: Iterable[str]) -> None:
        """Other methods: those that are gone are forgotten."""
        names = list(methods)
        for name in [*self.windows]:
            if name is not None and name not in names:
                del self.windows[name], self.baselines[name]
        for name in names:
            self.windows.setdefault(name, SlidingWindow(WINDOW_MS, WINDOW_BUCKETS))
            self.baselines.setdefault(name, None)


class ZoneLatency:
    """How much longer the way to each zone is than to the nearest one."""

    def __init__(self) -> None:
        """Nothing is known of any zone."""
        self.floors: dict[str, tuple[float, int]] = {}  # by zone: shortest latency (ms), of how many answers
        self.extra: dict[str, float] | None = (
            None  # by zone, as it follows from the floors; None: to be computed
        )

    def add(self, zone: str, latency_ms: float) -> None:
        """Measures an answer from a zone."""
        floor, count = self.floors.get(zone, (latency_ms, 0))
        self.floors[zone] = min(latency_ms, floor + ZONE_FLOOR_RISE * (latency_ms - floor)), count + 1
        self.extra = None

    def extra_ms(self, endpoint: Endpoint | None) -> float:
        """How much longer the shortest answers of its zone take lately than those of the nearest zone."""
        if endpoint is None:
            return 0.0
        if self.extra is None:
            self.extra = self._extra_by_zone()
        return self.extra.get(endpoint.zone, 0.0)

    def _extra_by_zone(self) -> dict[str, float]:
        known = {zone: floor for zone, (floor, count) in self.floors.items() if count >= BASELINE_MIN_SAMPLES}
        if not known:
            return {}
        nearest = min(known.values())
        return {zone: floor - nearest for zone, floor in known.items()}
