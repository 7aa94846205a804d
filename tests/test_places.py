"""Methods that are bound to some zones or kinds of machine."""

from collections import Counter

import pytest
from helpers import SETTINGS, deployment_settings, make_request, route_request

from calicofall.config.settings import normalize_settings, validate_settings
from calicofall.routing.decisions import Forward, Reject, Wait
from calicofall.routing.policy import RoutingPolicy

METHODS, READ = deployment_settings()["methods"], SETTINGS["methods"][0]


def bound(aside: bool = False, zones: list | None = None, kinds: list | None = None) -> dict:
    """Reads are bound, all else is free."""
    read = METHODS[0] | {"zones_open": zones, "kinds_open": kinds}
    return deployment_settings(aside, methods=[read, *METHODS[1:]])


def entries(state: str = "ready", started: float = 0.0) -> list[tuple]:
    """Six caches each in zones a, b and c, half of them of kind box. What is said holds in zone a."""
    return [
        (
            f"{zone}{i}",
            zone,
            "tub" if i % 2 else "box",
            0,
            state if zone == "a" else "ready",
            None,
            started if zone == "a" else 0.0,
        )
        for zone in "abc"
        for i in range(6)
    ]


def test_method_bound_to_a_zone_goes_nowhere_else_at_any_attempt() -> None:
    """ljubljana-main, standard day rough-1: placement at 0.03 s, drawing went to a cache of room-b."""
    policy = RoutingPolicy(bound(zones=["a"]), 1, 0.0)
    policy.on_endpoint_list(0.0, "full", 1, entries())
    for key in range(200):
        request, now = make_request("read", key, key * 50.0, key * 50.0 + 900.0), key * 50.0
        decision = route_request(policy, now, request)
        while decision and isinstance(decision, Forward):
            request.attempts[-1].outcome = "full"
            decision = policy.on_attempt_result(now, request, len(request.attempts) - 1, 1.0, None, None)
        assert request.attempts
        assert all(attempt.endpoint.startswith("a") for attempt in request.attempts)
        policy.next_wakeup(now)


@pytest.mark.parametrize(
    ("zones", "kinds", "wanted"),
    [(["a"], ["box"], {"a0", "a2", "a4"}), (None, ["tub"], {f"{z}{i}" for z in "abc" for i in (1, 3, 5)})],
)
def test_ranking_of_a_bound_method_is_that_among_its_endpoints(zones: list, kinds: list, wanted: set) -> None:
    policy, free = (
        RoutingPolicy(bound(zones=zones, kinds=kinds), 1, 0.0),
        RoutingPolicy(deployment_settings(), 1, 0.0),
    )
    policy.on_endpoint_list(0.0, "full", 1, entries())
    free.on_endpoint_list(0.0, "full", 1, [entry for entry in entries() if entry[0] in wanted])
    place = policy.placement.constraints["read"]
    for key in range(300):
        names = [cache.name for cache in policy.placement.ranking(key, place)]
        assert names == [cache.name for cache in free.placement.ranking(key)]
    shares = Counter(policy.placement.ranking(key, place)[0].name for key in range(3000))
    assert set(shares) == wanted
    assert min(shares.values()) > 0.8 * 3000 / len(wanted)


@pytest.mark.parametrize(("state", "started"), [("draining", 0.0), ("gone", 0.0), ("ready", 49_990.0)])
@pytest.mark.parametrize("aside", [False, True])
def test_method_without_a_usable_endpoint_waits_or_is_rejected(
    state: str, started: float, aside: bool
) -> None:
    """Also while all of them drain, have gone, or are cold: the origin alone is open besides."""
    policy = RoutingPolicy(bound(aside, zones=["a"]), 1, 0.0)
    policy.on_endpoint_list(
        0.0, "full", 1, [*entries(), *([("o", "z", "origin", 0, "ready", None, 0.0)] * aside)]
    )
    policy.on_endpoint_list(
        50_000.0, "delta", 2, [entry for entry in entries(state, started) if entry[1] == "a"]
    )
    sent = Counter()
    for key in range(200):
        now = 50_300.0 + key
        request = make_request("read", key, now, now + 900.0)
        decision = route_request(policy, now, request)
        assert type(decision) in (Forward, Wait, Reject)
        sent.update(decision.endpoint[0] for _ in [0] if isinstance(decision, Forward))
    assert set(sent) <= ({"a"} if state == "ready" else set()) | ({"o"} if aside else set())


def test_ranking_of_a_bound_method_follows_the_list() -> None:
    policy = RoutingPolicy(bound(zones=["a"]), 1, 0.0)
    policy.on_endpoint_list(0.0, "full", 1, entries())
    policy.on_endpoint_list(10.0, "delta", 2, [("a0", "b", "box", 0, "ready", None, 0.0)])  # moved
    policy.on_endpoint_list(20.0, "delta", 3, [("a9", "a", "box", 0, "ready", None, 0.0)])
    opened = {
        cache.name
        for key in range(300)
        for cache in policy.placement.ranking(key, policy.placement.constraints["read"])
    }
    assert opened == {"a1", "a2", "a3", "a4", "a5", "a9"}


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"methods": [READ | {"kindsOpen": ["lorry"]}]}, "settings.methods[0].kindsOpen"),
        ({"methods": [READ | {"kindsOpen": []}]}, "settings.methods[0].kindsOpen"),
        ({"methods": [READ | {"failureDomainsOnly": "a"}]}, "settings.methods[0].failureDomainsOnly"),
        ({"blend": {"slowEnd": True}}, "settings.blend.slowEnd"),
        ({"blend": {"missAllowed": 1.5}}, "settings.blend.missAllowed"),
        ({"blend": [1]}, "settings.blend"),
        ({"rules": SETTINGS["rules"] | {"removalNotBinding": 1}}, "settings.rules.removalNotBinding"),
    ],
)
def test_validate_settings_with_a_wrong_place_names_the_field(change: dict, field: str) -> None:
    with pytest.raises(ValueError) as told:
        validate_settings(SETTINGS | {"failureDomains": ["a", "b"]} | change)
    assert str(told.value).startswith(field + " is ")


def test_normalize_settings_with_and_without_places_returns_them() -> None:
    methods = [READ | {"kindsOpen": ["box"], "failureDomainsOnly": ["a"]}]
    settings = SETTINGS | {"failureDomains": ["a"], "methods": methods, "blend": {"slowEnd": 0.4}}
    validate_settings(settings)
    validate_settings(SETTINGS)
    assert normalize_settings(settings)["methods"][0]["zones_open"] == ["a"]
    assert RoutingPolicy(normalize_settings(SETTINGS), 1, 0.0).placement.candidates == {(None, None): []}
