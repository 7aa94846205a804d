"""Which endpoints a key belongs to: weighted rendezvous hashing.

A key's endpoints are those with the least -ln(1 - h) / w, h the hash of key and endpoint in [0, 1) and w the
endpoint's weight (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005): a changed weight
moves only the keys that it has to.
"""

from collections.abc import Iterable, Mapping
from heapq import nsmallest
from math import log

from calicofall.routing.endpoint import UNCONSTRAINED, Endpoint, PlacementConstraint
from calicofall.routing.rendezvous import HASH_MODULUS, hash_point
from calicofall.routing.sliding_window import SlidingWindow

REPLICAS = 3  # endpoints that a key may go to
MIN_WEIGHT_LEFT = 0.1  # of a weight at the least, where methods that are bound to a place fill it
MIN_REQUESTS = 16  # before the share of bound methods counts

Candidate = tuple[int, float, Endpoint]  # salt, -weight, endpoint


def _demand_window() -> SlidingWindow:
    return SlidingWindow(20_000.0, 10)


class Placement:
    """The usable endpoints with their present weights, and the rankings that follow from them."""

    def __init__(self, places: dict[str, PlacementConstraint]) -> None:
        """No endpoint is usable yet; `places`: the place that each method is bound to."""
        self.usable: list[Candidate] = []
        self.constraints = places
        self.candidates: dict[PlacementConstraint, list[Candidate]] = {
            place: [] for place in (UNCONSTRAINED, *places.values())
        }
        self.demand = {place: _demand_window() for place in self.candidates}  # requests by place
        self.weights: dict[str, float] = {}
        self.total_weight: float = 0.0
        self.rankings: dict[tuple[int, PlacementConstraint], list[Endpoint]] = {}
        self.ranking = self.rank  # recording and replay wrap it

    def rank(self, key: int, place: PlacementConstraint = UNCONSTRAINED) -> list[Endpoint]:
        """The key's best endpoints in a place, best first; kept until a weight changes."""
        ranking = self.rankings.get((key, place))
        if ranking is None:
            point = hash_point(key.to_bytes(8))
            within = self.candidates[place]
            scores = [
                (log(1.0 - point * salt % HASH_MODULUS / HASH_MODULUS) / weight, number)
                for number, (salt, weight, _) in enumerate(within)
            ]
            ranking = [within[number][2] for _, number in nsmallest(REPLICAS, scores)]
            self.rankings[key, place] = ranking
        return ranking

    def endpoints(self) -> list[Endpoint]:
        """All that are usable."""
        return [endpoint for *_, endpoint in self.usable]

    def possible_holders(self, key: int | None) -> list[str]:
        """The names of all endpoints that the key may have been sent to, in any place."""
        return [endpoint.name for place in self.candidates for endpoint in self.ranking(key or 0, place)]

    def weight_of(self, endpoint: Endpoint) -> float:
        """Its present weight; 0 where it is not usable."""
        return self.weights.get(endpoint.name, 0.0)

    def share_of(self, endpoint: Endpoint) -> float:
        """Its part of all weights."""
        return self.weights.get(endpoint.name, 0.0) / max(1e-9, self.total_weight)

    def count_request(self, now: float, method: str) -> None:
        """Counts a request of a method."""
        self.demand[self.constraints[method]].add(now)

    def has_constrained_methods(self) -> bool:
        """Whether any method is bound to a place."""
        return len(self.candidates) > 1

    def forget_rankings(self) -> None:
        """Drops kept rankings, so that those of keys that are no longer asked for take no memory."""
        self.rankings = {}

    def refresh(self, now: float, endpoints: Iterable[Endpoint], weights: Mapping[str, float]) -> None:
        """Takes new weights: `endpoints` are those that are ready, `weights` by their names."""
        self.weights = dict(weights)
        self.usable = [(one.salt, -self.weights[one.name], one) for one in endpoints]
        self.total_weight = sum(self.weights.values())
        # Without this, bound methods find their endpoints full of requests that could go elsewhere: free ones
        # are ranked by what those leave of an endpoint's even load, in tenths, so that few keys move.
        requests = sum(window.count(now) for window in self.demand.values())
        left = dict.fromkeys(self.weights, 1.0)
        for place, window in self.demand.items():
            here = [candidate for candidate in self.usable if candidate[2].satisfies(place)]
            self.candidates[place] = here
            weight = sum(self.weights[endpoint.name] for *_, endpoint in here)
            if place != UNCONSTRAINED and requests >= MIN_REQUESTS and weight:
                for *_, endpoint in here:
                    taken = round(window.count(now) / requests * self.total_weight / weight, 1)
                    left[endpoint.name] -= taken
        self.candidates[UNCONSTRAINED] = [
            (salt, weight * max(MIN_WEIGHT_LEFT, left[endpoint.name]), endpoint)
            for salt, weight, endpoint in self.usable
        ]
        self.rankings.clear()

    def apply_settings(self, places: dict[str, PlacementConstraint]) -> None:
        """Other methods, bound to other places; `refresh` has to follow."""
        self.constraints = places
        self.candidates = {place: [] for place in (UNCONSTRAINED, *places.values())}
        self.demand = {place: self.demand.get(place) or _demand_window() for place in self.candidates}
