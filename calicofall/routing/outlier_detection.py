"""Outlier detection: slow, silent or unreachable endpoints are ejected, and recover on a ramp.

An endpoint's share of the load is the part of all requests that its weight gives it. An ejected endpoint
gets a small fraction of its share, which doubles at intervals as long as no outcome counts against the
endpoint (as in the outlier ejection of Envoy, but by degrees).

Invariants: no endpoint gets less than its minimal fraction, so that its recovery can be detected.
"""

from dataclasses import dataclass
from random import Random
from typing import Any

from calicofall.routing.endpoint import RECOVERY_DOUBLING_MS, Endpoint
from calicofall.routing.knowledge import SharedComponents
from calicofall.routing.request import AttemptOutcome
from calicofall.routing.sliding_window import SlidingWindow
from calicofall.routing.slow_start import SlowStart

EJECTED_FRACTION = 0.25  # an endpoint that gets at most this fraction of its share counts as ejected
HEAVILY_DEGRADED_FRACTION = 0.125  # the same for heavily degraded endpoints
# Fraction of its share that an endpoint gets right after it was ejected on the evidence of other proxies.
CONSENSUS_FRACTION = 1 / 8
# Factor by which the fraction of a silent endpoint is multiplied. In a lost zone, an endpoint that was
# already reduced to this fraction or less is not reduced again.
SILENT_FRACTION = 1 / 16
SILENT_ENDPOINTS = 4  # so many silent endpoints without an answer between them mean that their zone is lost
# Share of attempts that are reset: above it the network resets connections of healthy endpoints too, so that
# a reset does not count against an endpoint.
NETWORK_RESET_SHARE = 0.05
RESET_MIN_SAMPLES = 8  # attempts; with fewer recent ones, the share of resets is unknown and taken for 0
MAX_RECOVERY_FACTOR = 8.0  # the recovery ramp takes at most so many times RECOVERY_DOUBLING_MS per doubling
SMOOTHING_FACTOR = 0.15  # weight of one answer in the smoothed relative latency of an endpoint
DEGRADED_SMOOTHING_FACTOR = 0.3  # the same for a degraded endpoint
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
    """When an endpoint is ejected, and how far its fraction is reduced.

    Latencies are relative to the baseline; factors apply to the fraction that the endpoint got before.
    """

    eject_above: float  # relative latency
    recover_below: float  # relative latency
    min_fraction: float  # of the endpoint's share
    reset_factor: float  # after a connection reset; 1: a reset reduces nothing
    unconnected_factor: float  # after a failed connection attempt


NORMAL_TRAFFIC = Thresholds(2.5, 1.5, 1 / 64, reset_factor=1.0, unconnected_factor=1 / 2)
LOW_TRAFFIC = Thresholds(4.0, 2.0, 1 / 16, reset_factor=1 / 16, unconnected_factor=1 / 16)


class OutlierDetector:
    """Finds outliers among the endpoints, and admits a random part of the requests to them."""

    def __init__(self, shared: SharedComponents, slow_start: SlowStart) -> None:
        """Starts without measurements."""
        self._settings = shared.settings
        self._deployment = shared.deployment
        self._endpoints = shared.endpoints
        self._placement = shared.placement
        self._traffic = shared.traffic
        self._capacity = shared.capacity
        self._slow_start = slow_start
        self._latency = shared.latency
        self._outbox = shared.outbox
        self.fleet_relative_latency = 1.0  # mean relative latency of all endpoints, at least 1
        self.resets = SlidingWindow(10_000.0, 10)  # 1 for each attempt that was reset, 0 for each other
        # By zone: [when it last answered (ms), names of the endpoints that have been silent since].
        self.zone_silence: dict[str, list[Any]] = {}

    def thresholds(self) -> Thresholds:
        """Returns the thresholds for the current traffic; with low traffic they apply to single answers."""
        return LOW_TRAFFIC if self._traffic.low else NORMAL_TRAFFIC

    def heavily_degraded_count(self, now: float) -> int:
        """Counts the ready endpoints that get at most an eighth of their share of the load."""
        return sum(
            one.current_fraction(now) <= HEAVILY_DEGRADED_FRACTION for one in self._placement.endpoints()
        )

    def degraded(self, now: float) -> set[str]:
        """Returns the endpoints that get less than their share of the load."""
        return {one.name for one in self._placement.endpoints() if one.current_fraction(now) < 1.0}

    def ejected(self, now: float) -> list[str]:
        """Returns the endpoints that get at most a quarter of their share of the load, sorted by name."""
        ejected = (
            one for one in self._placement.endpoints() if one.current_fraction(now) <= EJECTED_FRACTION
        )
        return sorted(one.name for one in ejected)

    def eject(self, now: float, endpoint: Endpoint, factor: float, reason: str) -> None:
        """Multiplies the fraction of an endpoint by `factor`.

        The endpoint is ejected when its fraction falls to EJECTED_FRACTION or less; this is logged with the
        reason, unless that is empty.
        """
        load_ratio = 1.0
        if self._deployment.large_fleet and self._traffic.low:
            # A proxy that sent an endpoint more than an even part of its requests lets it recover more
            # slowly. Without this, hundreds of proxies would each retry a crowded endpoint so soon that it
            # would answer none of them in time.
            load_ratio = endpoint.sent.count(now) / max(1.0, self._traffic.expected_count(now, endpoint))
        if self._slow_start.is_warming_up(now, endpoint):
            endpoint.recovery_doubling_ms = RECOVERY_DOUBLING_MS
        else:
            endpoint.recovery_doubling_ms = RECOVERY_DOUBLING_MS * min(
                MAX_RECOVERY_FACTOR, max(1.0, load_ratio)
            )
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
        """Ejects an endpoint that other proxies found to be an outlier, unless it gets less already."""
        if endpoint.current_fraction(now) > CONSENSUS_FRACTION:
            endpoint.degrade(now, CONSENSUS_FRACTION, EJECTED_FRACTION)

    def restore(self, now: float, endpoint: Endpoint, fraction: float) -> None:
        """Restores the fraction that an earlier incarnation of this proxy stored for an endpoint."""
        endpoint.degrade(now, fraction, EJECTED_FRACTION)

    def admits(self, now: float, endpoint: Endpoint, random_generator: Random) -> bool:
        """Returns whether a request may go to an endpoint; a degraded one admits a random part."""
        # An endpoint that accepts requests but answers none is detected long before their time-outs end.
        in_flight = endpoint.in_flight
        if in_flight:
            silent_ms = now - endpoint.last_heard_at
            # With few requests in flight the limit is longer: one slow answer is no silence.
            max_silent_ms = (3.0 + 5.0 / in_flight) * self._latency.fetch_baseline_ms
            if silent_ms > max(self._settings.latency_objective_ms, max_silent_ms):
                self.eject(now, endpoint, SILENT_FRACTION, f"silent for {silent_ms:.0f} ms")
        fraction = endpoint.current_fraction(now)
        if endpoint.admitted_fraction < 1.0 <= fraction:
            endpoint.reinstate()
        return fraction >= 1.0 or random_generator.random() < fraction

    def on_latency(
        self,
        now: float,
        endpoint: Endpoint,
        relative_latency: float,
        sent_at: float,
        timed_out: bool = False,
    ) -> None:
        """Updates an endpoint with the latency of an answer, or of an attempt that timed out.

        Args:
            now: Current time (ms).
            endpoint: Endpoint of the attempt.
            relative_latency: Latency relative to the baseline.
            sent_at: When the attempt was sent (ms).
            timed_out: Whether the attempt timed out. Then the threshold of normal traffic applies, whatever
                the traffic and the latency of the fleet: clients may set time-outs that are shorter than the
                usual threshold, so that no attempt at a slow endpoint would exceed it.
        """
        low_traffic = self._traffic.low
        thresholds = self.thresholds()
        fraction = endpoint.current_fraction(now)
        self._capacity.add(now, endpoint, relative_latency)
        # A healthy endpoint has an occasional slow answer, and an unhealthy one an occasional fast answer.
        smoothing = 1.0
        if not low_traffic:
            smoothing = SMOOTHING_FACTOR if fraction >= 1.0 else DEGRADED_SMOOTHING_FACTOR
        endpoint.relative_latency += (relative_latency - endpoint.relative_latency) * smoothing
        eject_above = (
            NORMAL_TRAFFIC.eject_above if timed_out else thresholds.eject_above * self.fleet_relative_latency
        )
        # Requests sent before the endpoint's fraction last changed waited in the queue that caused the
        # change, and the same queue counts once.
        if endpoint.relative_latency > eject_above and sent_at >= endpoint.fraction_set_at:
            if low_traffic or self._few_others_are_slow(endpoint):
                # A slow answer halves the fraction, a time-out quarters it.
                reason = f"pace {endpoint.relative_latency:.1f}"
                self.eject(now, endpoint, 1 / 4 if timed_out else 1 / 2, reason)
        elif (
            fraction < 1.0
            and endpoint.relative_latency < thresholds.recover_below * self.fleet_relative_latency
        ):
            endpoint.admitted_fraction = fraction * 2
            endpoint.fraction_set_at = now

    def _few_others_are_slow(self, endpoint: Endpoint) -> bool:
        """Returns whether less than a third of the endpoints, not counting this one, got below half a share.

        Otherwise no single endpoint is the cause, and an ejection would only move load around.
        """
        others = (one for one in self._placement.endpoints() if one != endpoint)
        return 3 * sum(one.admitted_fraction < 0.5 for one in others) < len(self._placement.usable)

    def on_outcome(self, now: float, endpoint: Endpoint, outcome: AttemptOutcome, sent_at: float) -> None:
        """Detects a lost zone, with low traffic, by several silent endpoints.

        With low traffic each endpoint gets too few requests to be found silent by its own.
        """
        zone = self.zone_silence.setdefault(endpoint.zone, [0.0, set()])
        if outcome not in SILENT_OUTCOMES:
            zone[:] = now, set()
            return
        last_answer_at, silent_endpoints = zone
        if not self._traffic.low or outcome == AttemptOutcome.CANCELLED:
            return
        if sent_at <= last_answer_at or endpoint.name in silent_endpoints:
            return
        silent_endpoints.add(endpoint.name)
        # An answer from another zone since this attempt was sent shows that this proxy is not cut off itself.
        if len(silent_endpoints) == SILENT_ENDPOINTS and any(
            other_answer_at > sent_at for other_answer_at, _ in self.zone_silence.values()
        ):
            self._outbox.log(f"zone {endpoint.zone} silent for {now - last_answer_at:.0f} ms")
            for other in self._endpoints.caches.values():
                if other.zone == endpoint.zone and other.admitted_fraction > SILENT_FRACTION:
                    self.eject(now, other, SILENT_FRACTION, "")

    def count_reset(self, now: float, was_reset: bool) -> None:
        """Counts an attempt, and whether it was reset, in the share compared with NETWORK_RESET_SHARE."""
        self.resets.add(now, float(was_reset))

    def on_connection_lost(self, now: float, endpoint: Endpoint, outcome: AttemptOutcome) -> None:
        """Reduces the fraction of an endpoint that reset an attempt or did not accept a connection."""
        thresholds = self.thresholds()
        if outcome == AttemptOutcome.UNCONNECTED:
            self.eject(now, endpoint, thresholds.unconnected_factor, outcome)
        elif (self.resets.recent_mean(now, RESET_MIN_SAMPLES) or 0.0) < NETWORK_RESET_SHARE:
            self.eject(now, endpoint, thresholds.reset_factor, outcome)

    def update(self, mean_relative_latency: float | None) -> None:
        """Sets the mean relative latency of all endpoints, at least 1; None leaves it unchanged."""
        self.fleet_relative_latency = max(1.0, mean_relative_latency or self.fleet_relative_latency)
