"""Access of recording and replay to a router beyond its public methods, collected in one module.

Pseudonyms hash differently from the keys that they replace, so rankings of endpoints are recorded and the
replay uses the recorded ones. A replay that continues after a difference puts the router into the state that
the recorded decision would have led to.
"""

from collections.abc import Callable, Mapping
from typing import Any

from calicofall.recording.events import RecordedDecision
from calicofall.routing.endpoint import UNCONSTRAINED, Endpoint, PlacementConstraint
from calicofall.routing.request import Request
from calicofall.routing.router import Router

WAIT_AFTER_DIFFERENCE_MS = 15.0  # wait of a request that waits in the record, but not in the replay


def observe_rankings(router: Router, observe: Callable[[int, PlacementConstraint, list[str]], None]) -> None:
    """Calls `observe` with key, constraint and endpoint names whenever the router computes a new ranking."""
    placement = router.policy.placement
    ranking = placement.ranking

    def observed(key: int, constraint: PlacementConstraint = UNCONSTRAINED) -> list[Endpoint]:
        is_new = (key, constraint) not in placement.rankings
        found = ranking(key, constraint)
        if is_new:
            observe(key, constraint, [endpoint.name for endpoint in found])
        return found

    placement.ranking = observed


def use_rankings(
    router: Router, recorded: Mapping[tuple[int | None, PlacementConstraint], list[str]]
) -> None:
    """Makes a router use recorded rankings: endpoint names by key and constraint, which may be extended."""
    endpoints = router.policy.endpoints
    placement = router.policy.placement
    ranking = placement.ranking

    def recalled(key: int, constraint: PlacementConstraint = UNCONSTRAINED) -> list[Endpoint]:
        names = recorded.get((key, constraint))
        if (key, constraint) not in placement.rankings and names is not None:
            known = [endpoints.caches[name] for name in names if name in endpoints.caches]
            placement.rankings[key, constraint] = known
        return ranking(key, constraint)

    placement.ranking = recalled


def follow_decision(router: Router, now: float, request: Request, decision: RecordedDecision) -> None:
    """Puts a router into the state that a recorded decision would have led to.

    The following events of the record are consequences of that decision; the consequences of another decision
    are unknown.
    """
    endpoint = decision.endpoint
    attempt = request.attempts[-1] if request.attempts and request.attempts[-1].outcome is None else None
    if attempt is not None and endpoint != attempt.endpoint:
        router.policy.withdraw_attempt(now, request, attempt)
    if endpoint is not None and (attempt is None or attempt.endpoint != endpoint):
        router.policy.force_attempt(now, request, endpoint)
    request.finished = decision.answer is not None
    request.answer = decision.answer
    if request.finished:
        router.active_requests.pop(request.id, None)
        return
    router.active_requests[request.id] = request
    if endpoint is None:
        router._schedule_wait(now, request, WAIT_AFTER_DIFFERENCE_MS)


def forget_waits(router: Router, request: Request) -> None:
    """Removes all pending waits of a request."""
    router.waiting = [wait for wait in router.waiting if wait[2] is not request]


def describe_router(router: Router) -> dict[str, Any]:
    """Returns key figures of a router; for each limit, the requests in flight and the limit itself."""
    policy = router.policy
    return {
        "fleet": [round(policy.fleet_limit.in_flight, 3), round(policy.fleet_limit.value, 3)],
        "origin": [round(policy.origin_limit.in_flight, 3), round(policy.origin_limit.value, 3)],
        "caches": len(policy.placement.usable),
        "in_hand": len(router.active_requests),
    }


def describe_ranking(router: Router, now: float, request: Request) -> dict[str, float] | None:
    """Returns the admitted fraction of each endpoint in a key's ranking; None if the request has no key."""
    if request.key is None:
        return None
    return {endpoint.name: round(endpoint.current_fraction(now), 4) for endpoint in router.ranking(request)}
