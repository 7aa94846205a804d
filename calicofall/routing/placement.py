"""Placement of keys on endpoints by weighted rendezvous hashing.

The endpoints of a key are those with the smallest -ln(1 - h) / w, where h is the hash of key and endpoint in
[0, 1) and w the endpoint's weight (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005): a
changed weight moves the smallest possible number of keys.
"""

from collections.abc import Iterable, Mapping
from heapq import nsmallest
from math import log

from calicofall.routing.endpoint import UNCONSTRAINED, Endpoint, PlacementConstraint
from calicofall.routing.rendezvous import HASH_MODULUS, hash_point
from calicofall.routing.sliding_window import SlidingWindow

REPLICAS = 3  # number of endpoints of a key
# Fraction of an endpoint's weight that is left for unconstrained methods, if constrained ones use the rest.
MIN_REMAINING_WEIGHT_FRACTION = 0.1
MIN_REQUESTS = 16  # with fewer recent requests, the share of constrained methods is not used

MAX_RANKINGS = 1 << 12  # that are cached

Candidate = tuple[int, float, Endpoint]  # (salt, -weight, endpoint)


def _demand_window() -> SlidingWindow:
    return SlidingWindow(20_000.0, 10)


class Placement:
    """The usable endpoints with their current weights, and the rankings of endpoints by key."""

    def __init__(self, constraints: dict[str, PlacementConstraint]) -> None:
        """Starts without usable endpoints; `constraints` are the placement constraints by method."""
        self.usable: list[Candidate] = []
        self.constraints = constraints
        self.candidates: dict[PlacementConstraint, list[Candidate]] = {
            constraint: [] for constraint in (UNCONSTRAINED, *constraints.values())
        }
        # Recent requests by constraint.
        self.demand = {constraint: _demand_window() for constraint in self.candidates}
        self.weights: dict[str, float] = {}
        self.total_weight: float = 0.0
        self.rankings: dict[tuple[int, PlacementConstraint], list[Endpoint]] = {}
        self.ranking = self.rank  # recording and replay replace it by a wrapper

    def rank(self, key: int, constraint: PlacementConstraint = UNCONSTRAINED) -> list[Endpoint]:
        """Returns the endpoints of a key under a constraint, best first; cached until a weight changes."""
        ranking = self.rankings.get((key, constraint))
        if ranking is None:
            point = hash_point(key.to_bytes(8))
            candidates = self.candidates[constraint]
            scores = [
                (log(1.0 - point * salt % HASH_MODULUS / HASH_MODULUS) / weight, number)
                for number, (salt, weight, _) in enumerate(candidates)
            ]
            ranking = [candidates[number][2] for _, number in nsmallest(REPLICAS, scores)]
            if len(self.rankings) >= MAX_RANKINGS:
                self.rankings.clear()
            self.rankings[key, constraint] = ranking
        return ranking

    def endpoints(self) -> list[Endpoint]:
        """Returns the usable endpoints."""
        return [endpoint for *_, endpoint in self.usable]

    def possible_holders(self, key: int | None) -> list[str]:
        """Returns the names of the endpoints that may hold the key, under any constraint."""
        return [
            endpoint.name for constraint in self.candidates for endpoint in self.ranking(key or 0, constraint)
        ]

    def weight_of(self, endpoint: Endpoint) -> float:
        """Returns the current weight of an endpoint; 0 if it is not usable."""
        return self.weights.get(endpoint.name, 0.0)

    def share_of(self, endpoint: Endpoint) -> float:
        """Returns an endpoint's share of the total weight."""
        return self.weights.get(endpoint.name, 0.0) / max(1e-9, self.total_weight)

    def count_request(self, now: float, method: str) -> None:
        """Counts a request of a method."""
        self.demand[self.constraints[method]].add(now)

    def has_constrained_methods(self) -> bool:
        """Returns whether any method has a placement constraint."""
        return len(self.candidates) > 1

    def forget_rankings(self) -> None:
        """Drops cached rankings, so that keys that are no longer requested take no memory."""
        self.rankings = {}

    def refresh(self, now: float, endpoints: Iterable[Endpoint], weights: Mapping[str, float]) -> None:
        """Replaces the usable endpoints, which are those that are ready, and their weights by name."""
        self.weights = dict(weights)
        self.usable = [(one.salt, -self.weights[one.name], one) for one in endpoints]
        self.total_weight = sum(self.weights.values())
        # Without this, requests of unconstrained methods would fill the only endpoints that constrained ones
        # may use. Unconstrained rankings use the fraction of an endpoint's even load that constrained methods
        # leave, in tenths, so that few keys move.
        request_count = sum(window.count(now) for window in self.demand.values())
        remaining_fractions = dict.fromkeys(self.weights, 1.0)
        for constraint, window in self.demand.items():
            candidates = [candidate for candidate in self.usable if candidate[2].satisfies(constraint)]
            self.candidates[constraint] = candidates
            weight = sum(self.weights[endpoint.name] for *_, endpoint in candidates)
            if constraint != UNCONSTRAINED and request_count >= MIN_REQUESTS and weight:
                for *_, endpoint in candidates:
                    used_fraction = round(window.count(now) / request_count * self.total_weight / weight, 1)
                    remaining_fractions[endpoint.name] -= used_fraction
        self.candidates[UNCONSTRAINED] = [
            (salt, weight * max(MIN_REMAINING_WEIGHT_FRACTION, remaining_fractions[endpoint.name]), endpoint)
            for salt, weight, endpoint in self.usable
        ]
        self.rankings.clear()

    def apply_settings(self, constraints: dict[str, PlacementConstraint]) -> None:
        """Replaces the constraints of methods; the caller must call `refresh` afterwards."""
        self.constraints = constraints
        self.candidates = {constraint: [] for constraint in (UNCONSTRAINED, *constraints.values())}
        self.demand = {
            constraint: self.demand.get(constraint) or _demand_window() for constraint in self.candidates
        }
