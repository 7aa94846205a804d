"""Outlier detection: endpoints that are slow, silent or unreachable are ejected, and recover on a ramp.

An ejected endpoint is sent a small fraction of what it owns, which doubles while nothing speaks against it
(as the outlier ejection of Envoy, but by degrees).

Invariants: no endpoint is sent less than its minimal fraction, so that its recovery is found out.
"""

from dataclasses import dataclass
from random import Random
from typing import Any

from calicofall.routing.endpoint import RECOVERY_DOUBLING_MS, Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.request import AttemptOutcome
from calicofall.routing.sliding_window import SlidingWindow
from calicofall.routing.slow_start import SlowStart

EJECTED_FRACTION = 0.25  # an endpoint that is sent so much or less counts as ejected
HEAVILY_DEGRADED_FRACTION = 0.125
CONSENSUS_FRACTION = 1 / 8  # of what an endpoint owns, that it is sent at first on other proxies' evidence
SILENT_FRACTION = 1 / 16
SILENT_ENDPOINTS = 4  # of a zone, in a row, by which the zone is found to be lost
USUAL_RESETS = 0.05  # a larger part of resets befalls healthy endpoints, too
RESET_MIN_SAMPLES = 8
MAX_RECOVERY_FACTOR = 8.0
SMOOTHING = 0.15  # of the relative latency, by each answer
DEGRADED_SMOOTHING = 0.3
SILENT_OUTCOMES = frozenset(
    {
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.UNCONNECTED,
        AttemptOutcome.EXPIRED,
        AttemptOutcome.CANCELLED,
    }
)


@dataclass(frozen=True, slots=True)
class Thresholds:
    """What an endpoint is ejected by, and what is left to it."""

    eject_above: float  # relative latency
    recover_below: float  # relative latency
    min_fraction: float
    reset_factor: float  # of what it was sent before
    unconnected_factor: float


FREQUENT = Thresholds(2.5, 1.5, 1 / 64, reset_factor=1.0, unconnected_factor=1 / 2)
LOW_TRAFFIC = Thresholds(4.0, 2.0, 1 / 16, reset_factor=1 / 16, unconnected_factor=1 / 16)


class OutlierDetector:
    """Finds outliers among the endpoints, and decides by chance whether they are sent what they own."""

    def __init__(self, shared: SharedComponents, slow_start: SlowStart) -> None:
        """Nothing is known of any endpoint."""
        self._settings = shared.settings
        self._deployment = shared.deployment
        self._endpoints = shared.endpoints
        self._placement = shared.placement
        self._traffic = shared.traffic
        self._capacity = shared.capacity
        self._slow_start = slow_start
        self._latency = shared.latency
        self._outbox = shared.outbox
        self.fleet_relative_latency = 1.0  # relative latency of all endpoints together
        self.resets = SlidingWindow(10_000.0, 10)  # the share of attempts that were reset
        # By zone: when it was last heard of, and the endpoints that were silent since.
        self.zone_silence: dict[str, list[Any]] = {}

    def thresholds(self) -> Thresholds:
        """Those for the present traffic: with little of it, single answers have to do."""
        return LOW_TRAFFIC if self._traffic.low else FREQUENT

    def heavily_degraded_count(self, now: float) -> int:
        """How many ready endpoints get an eighth of what they own at most."""
        return sum(
            one.current_fraction(now) <= HEAVILY_DEGRADED_FRACTION for one in self._placement.endpoints()
        )

    def degraded(self, now: float) -> set[str]:
        """Endpoints that are sent less than they own."""
        return {one.name for one in self._placement.endpoints() if one.current_fraction(now) < 1.0}

    def ejected(self, now: float) -> list[str]:
        """Endpoints that get a quarter of what they own at most, in order of name."""
        ejected = (
            one for one in self._placement.endpoints() if one.current_fraction(now) <= EJECTED_FRACTION
        )
        return sorted(one.name for one in ejected)

    def eject(self, now: float, endpoint: Endpoint, factor: float, reason: str) -> None:
        """Sends an endpoint this part of what it was sent before; the reason goes to the log."""
        even = 1.0
        if self._deployment.large_fleet and self._traffic.low:
            # Without this, hundreds of proxies would each try a crowded endpoint again so soon that it
            # answers none of them in time.
            even = endpoint.sent.count(now) / max(1.0, self._traffic.expected_count(now, endpoint))
        if self._slow_start.is_warming_up(now, endpoint):
            endpoint.recovery_doubling_ms = RECOVERY_DOUBLING_MS
        else:
            endpoint.recovery_doubling_ms = RECOVERY_DOUBLING_MS * min(MAX_RECOVERY_FACTOR, max(1.0, even))
        fraction = min(1.0, endpoint.current_fraction(now)) * factor
        endpoint.admitted_fraction = max(self.thresholds().min_fraction, fraction)
        endpoint.fraction_set_at = now
        if endpoint.admitted_fraction <= EJECTED_FRACTION and not endpoint.ejected:
            endpoint.ejected = True
            if reason:
                self._outbox.log(
                    f"set aside {endpoint.name}: {reason}, peers {self.fleet_relative_latency:.1f}"
                )

    def eject_on_evidence(self, now: float, endpoint: Endpoint) -> None:
        """Other proxies found it to be an outlier: it is sent little at first."""
        if endpoint.current_fraction(now) > CONSENSUS_FRACTION:
            endpoint.degrade(now, CONSENSUS_FRACTION, EJECTED_FRACTION)

    def restore(self, now: float, endpoint: Endpoint, fraction: float) -> None:
        """A former life of this proxy sent it this fraction of what it owns."""
        endpoint.degrade(now, fraction, EJECTED_FRACTION)

    def admits(self, now: float, endpoint: Endpoint, random_generator: Random) -> bool:
        """Whether an endpoint is sent what it owns: by chance, where something speaks against it."""
        # An endpoint that keeps what it gets and says nothing is found long before time-outs tell.
        waiting = endpoint.in_flight
        if waiting:
            silent = now - endpoint.last_heard_at
            patience = (
                3.0 + 5.0 / waiting
            ) * self._latency.fetch_baseline_ms  # one slow answer is no silence
            if silent > max(self._settings.latency_objective_ms, patience):
                self.eject(now, endpoint, SILENT_FRACTION, f"silent for {silent:.0f} ms")
        fraction = endpoint.current_fraction(now)
        if endpoint.admitted_fraction < 1.0 <= fraction:
            endpoint.reinstate()
        return fraction >= 1.0 or random_generator.random() < fraction

    def on_latency(
        self, now: float, endpoint: Endpoint, relative: float, sent_at: float, impatient: bool = False
    ) -> None:
        """An answer came, or did not in time.

        Args:
            now: The present (ms).
            endpoint: Where it came from.
            relative: Its latency, relative to the baseline.
            sent_at: When the attempt was sent (ms).
            impatient: It did not come in time: clients may be less patient than a slow endpoint is told by.
        """
        low = self._traffic.low
        thresholds = self.thresholds()
        fraction = endpoint.current_fraction(now)
        self._capacity.add(now, endpoint, relative)
        # A healthy endpoint has a slow answer now and then, and a sick one a fast answer.
        smoothing = 1.0
        if not low:
            smoothing = SMOOTHING if fraction >= 1.0 else DEGRADED_SMOOTHING
        endpoint.relative_latency += (relative - endpoint.relative_latency) * smoothing
        most = FREQUENT.eject_above if impatient else thresholds.eject_above * self.fleet_relative_latency
        # What was sent before the last change belongs to one queue, which speaks once.
        if endpoint.relative_latency > most and sent_at >= endpoint.fraction_set_at:
            if low or self._few_are_slow_beside(endpoint):
                reason = f"pace {endpoint.relative_latency:.1f}"
                self.eject(now, endpoint, 1 / 4 if impatient else 1 / 2, reason)
        elif (
            fraction < 1.0
            and endpoint.relative_latency < thresholds.recover_below * self.fleet_relative_latency
        ):
            endpoint.admitted_fraction = fraction * 2
            endpoint.fraction_set_at = now

    def _few_are_slow_beside(self, endpoint: Endpoint) -> bool:
        """Where a third is slow it is nobody's fault: load would only go in circles."""
        others = (one for one in self._placement.endpoints() if one != endpoint)
        return 3 * sum(one.admitted_fraction < 0.5 for one in others) < len(self._placement.usable)

    def on_outcome(self, now: float, endpoint: Endpoint, outcome: AttemptOutcome, sent_at: float) -> None:
        """Looks for a lost zone: its endpoints say nothing, and each is met too seldom to learn it."""
        zone = self.zone_silence.setdefault(endpoint.zone, [0.0, set()])
        if outcome not in SILENT_OUTCOMES:
            zone[:] = now, set()
            return
        heard_at, silent = zone
        if not self._traffic.low or outcome == AttemptOutcome.CANCELLED:
            return
        if sent_at <= heard_at or endpoint.name in silent:
            return
        silent.add(endpoint.name)
        if len(silent) == SILENT_ENDPOINTS and any(
            heard > sent_at for heard, _ in self.zone_silence.values()
        ):
            self._outbox.log(f"zone {endpoint.zone} silent for {now - heard_at:.0f} ms")
            for other in self._endpoints.caches.values():
                if other.zone == endpoint.zone and other.admitted_fraction > SILENT_FRACTION:
                    self.eject(now, other, SILENT_FRACTION, "")

    def count_reset(self, now: float, was_reset: bool) -> None:
        """Counts an attempt by whether it was reset: networks reset healthy endpoints' connections, too."""
        self.resets.add(now, float(was_reset))

    def on_connection_lost(self, now: float, endpoint: Endpoint, outcome: AttemptOutcome) -> None:
        """An attempt was reset, or found no connection."""
        thresholds = self.thresholds()
        if outcome == AttemptOutcome.UNCONNECTED:
            self.eject(now, endpoint, thresholds.unconnected_factor, outcome)
        elif (self.resets.recent_mean(now, RESET_MIN_SAMPLES) or 0.0) < USUAL_RESETS:
            self.eject(now, endpoint, thresholds.reset_factor, outcome)

    def update(self, mean_relative_latency: float | None) -> None:
        """Takes the mean relative latency of all endpoints together, where it was measured."""
        self.fleet_relative_latency = max(1.0, mean_relative_latency or self.fleet_relative_latency)
