"""The retry budget, clocks that differ, slow readers, requests that fail wherever they go: the module
alone."""

from collections.abc import Callable

import pytest
from helpers import SETTINGS, deployment_settings, make_request, route_request

from calicofall.config.settings import normalize_settings, settings_on_sockets, validate_settings
from calicofall.routing.decisions import Decision, Fail, Forward, Reject
from calicofall.routing.policy import RoutingPolicy
from calicofall.routing.retry_policy import RetryBudget
from calicofall.routing.router import Router

TOLD = {"retry_span": 1000.0, "retry_spare": 2, "retry_ratio": 0.1}
BOX = [(f"c{i}", "z", "box", 0, "ready", None, 0.0) for i in range(8)]


def policy_of(
    caches: list[tuple] = BOX, caps: dict | None = None, aside: bool = False, **rules: float
) -> RoutingPolicy:
    known = deployment_settings(cache_aside=aside)
    policy = RoutingPolicy(
        known | {"rules": known["rules"] | rules, "caps": known["caps"] | (caps or {})}, 1, 0.0
    )
    policy.on_endpoint_list(0.0, "full", 1, caches)
    return policy


def failing(
    policy: RoutingPolicy,
    now: float,
    method: str = "read",
    outcome: str = "error",
    took: float = 5.0,
    key: int = 7,
) -> tuple[int, Decision]:
    """One request whose attempts all end like this: how many there were, and its last verdict."""
    request = make_request(method, key, now, now + 1500.0)
    decision = route_request(policy, now, request)
    while isinstance(decision, Forward):
        request.attempts[-1].outcome = outcome
        decision = policy.on_attempt_result(now, request, len(request.attempts) - 1, took, None, None)
    request.finished = True
    return len(request.attempts), decision


# The budget


def test_retries_stay_within_the_budget_from_the_start() -> None:
    """Nothing limited how often all together were sent again that caches had turned away."""
    policy = policy_of(**TOLD)
    sent = [failing(policy, float(now), "order", "full") for now in range(0, 200, 10)]
    assert sum(count - 1 for count, _ in sent) == 4  # 2 and a tenth of twenty
    assert isinstance(sent[-1][1], Reject)  # proven not run


def test_request_without_budget_is_rejected_or_failed_by_its_retry_safety() -> None:
    policy = policy_of(**TOLD | {"retry_spare": 0, "retry_ratio": 0.0})
    assert isinstance(failing(policy, 0.0)[1], Reject)
    assert failing(policy, 0.0, "order") == (1, Fail())
    assert isinstance(failing(policy, 0.0, "order", "full")[1], Reject)
    assert isinstance(failing(policy, 0.0, "save")[1], Reject)  # every cache drops its repeat


def test_retry_budget_counts_requests_within_the_window_only() -> None:
    budget = RetryBudget(TOLD)
    for now in range(20):
        budget.requests.add(float(now))
    assert [budget.allows(500.0, 1.0)] * 2 == [True, True]
    for _ in range(4):
        assert budget.allows(500.0, 1.0)
        budget.extra_attempts.add(500.0)
    assert not budget.allows(500.0, 1.0)
    assert not budget.allows(
        1400.0, 1.0
    )  # the requests have left the window, two of the four would be allowed
    assert budget.allows(1600.0, 1.0)


def test_retry_budget_is_spent_on_higher_priorities_first() -> None:
    """Reads come first and often: they may not take what a bid would need."""
    policy = policy_of(**TOLD | {"retry_spare": 10, "retry_ratio": 0.0})
    reads = sum(failing(policy, float(now), key=now)[0] - 1 for now in range(30))
    assert 4 <= reads <= 6
    assert failing(policy, 31.0, "order", "full")[0] > 1


def test_retry_budget_is_shared_by_two_processes() -> None:
    """While one replaces the other the rules see one proxy, and each process counts its own."""

    def spent(processes: int) -> int:
        each = [policy_of(**TOLD | {"retry_spare": 8}) for _ in range(processes)]
        for policy in each:
            policy.settings.process_count = processes
        return sum(
            failing(policy, float(now), "order", "full")[0] - 1 for now in range(20) for policy in each
        )

    assert 0 < spent(2) <= spent(1) + 2  # a tenth of forty requests, not of twenty


def test_miss_allows_one_more_attempt_beside_the_budget() -> None:
    origin = ("o", "z", "origin", 0, "ready", None, 0.0)
    policy = policy_of([*BOX, origin], aside=True, **TOLD | {"retry_spare": 0, "retry_ratio": 0.0})
    request = make_request("read", 7, 0.0, 900.0)
    route_request(policy, 0.0, request)
    request.attempts[0].outcome = "missed"
    assert policy.on_attempt_result(5.0, request, 0, 5.0, None, None).endpoint == "o"
    request.attempts[1].outcome = "error"
    assert isinstance(
        policy.on_attempt_result(9.0, request, 1, 4.0, None, None), Reject
    )  # one grant, one more


def test_retry_budget_without_settings_is_always_free() -> None:
    assert policy_of().retries.budget.allows(0.0, 0.0)


# Clocks


def test_request_with_too_little_time_by_another_clock_is_forwarded() -> None:
    """kaiku-catchup: requests came with up to 1,500 ms less than they had, and were given up unsent."""
    policy = policy_of(clock_error=1500.0)
    for left in (400.0, 1.0, -200.0):
        request = make_request("read", 7, 1000.0, 1000.0 + left)
        decision = route_request(policy, 1000.0, request)
        assert isinstance(decision, Forward)
        assert decision.timeout_ms >= 1300.0
        assert request.expires_at <= max(1000.0, 1000.0 + left) + 1500.0


def test_request_whose_client_gave_up_by_its_own_clock_is_rejected() -> None:
    policy = policy_of(clock_error=1500.0)
    for outcome in ("timeout", "moot"):
        request = make_request("read", 7, 0.0, 300.0)
        request.timeout_ms = route_request(policy, 0.0, request).timeout_ms
        request.attempts[0].outcome = outcome
        assert isinstance(policy.on_attempt_result(300.0, request, 0, 300.0, None, None), Reject)


@pytest.mark.parametrize(("error", "told_at"), [(0.0, 0.0), (4000.0, 5000.0), (4000.0, 2000.0)])
def test_warm_up_of_an_endpoint_with_an_early_listed_start_lasts_its_whole_time(
    error: float, told_at: float
) -> None:
    """A stamp may be too early by the stated span, but nothing starts after it was told of."""
    policy = policy_of(start_error=error)
    policy.on_endpoint_list(told_at, "delta", 2, [("n", "z", "box", 0, "ready", None, 1000.0)])
    started = policy.endpoints.caches["n"].started_at
    assert started == min(1000.0 + error, max(told_at, 1000.0))
    policy.on_endpoint_list(told_at + 9000.0, "delta", 3, [("n", "z", "box", 0, "ready", 2.0, 1000.0)])
    assert policy.endpoints.caches["n"].started_at == started  # told again, it did not start again
    assert policy.slow_start.is_warming_up(started + 19_000.0, policy.endpoints.caches["n"])
    assert not policy.slow_start.is_warming_up(started + 20_001.0, policy.endpoints.caches["n"])


# Slow readers


def reading(policy: RoutingPolicy, slow: Callable[[int, int], bool], spans: int = 1500) -> tuple[int, float]:
    """Reads every 10 ms, answered after 40 ms; slow ones are out till they time out."""
    # Returns: endpoints that are degraded in the end, and the limit of the fleet.
    out: list[tuple[float, object, str]] = []
    for number in range(spans):
        now = 10.0 * number
        for due, request, outcome in [one for one in out if one[0] <= now]:
            out.remove((due, request, outcome))
            request.attempts[0].outcome, request.finished = outcome, True
            policy.on_attempt_result(
                now, request, 0, now - request.arrived_at, "hit" if outcome == "completed" else None, None
            )
        request = make_request("read", number % 40, now, now + 1900.0)
        decision = route_request(policy, now, request)
        if isinstance(decision, Forward):
            late = slow(number, int(request.attempts[0].endpoint[1:]))
            took = min(decision.timeout_ms, 1500.0) if late else 40.0
            out.append(
                (now + took, request, "timeout" if late and decision.timeout_ms < 1500.0 else "completed")
            )
        policy.next_wakeup(now)
    return sum(
        cache.current_fraction(now) < 1.0 for cache in policy.endpoints.caches.values()
    ), policy.fleet_limit.value


def seventh(number: int, _cache: int) -> bool:
    return number % 7 == 0


def test_slow_readers_degrade_no_endpoint() -> None:
    plain = reading(policy_of(), lambda number, cache: False)
    assert reading(policy_of(caps={"buffers": 10}), seventh)[0] == 0 == plain[0]
    assert reading(policy_of(), seventh)[0] > 0  # without the setting they are the caches'


def test_slow_endpoint_among_slow_readers_is_degraded() -> None:
    policy = policy_of(caps={"buffers": 10})
    reading(policy, lambda number, cache: cache == 3 or number % 7 == 0)
    assert policy.endpoints.caches["c3"].current_fraction(15_000.0) < 1.0


def test_timeout_while_slow_readers_fill_the_buffers_is_the_latency_objective() -> None:
    for buffers, most in ((10, 500.0), (1000, 2000.0)):
        policy = policy_of(caps={"buffers": buffers})
        reading(policy, seventh)
        patience = route_request(policy, 15_000.0, make_request("read", 7, 15_000.0, 16_900.0)).timeout_ms
        assert most - 500.0 < patience <= most
    policy = policy_of(caps={"buffers": 10})
    reading(policy, seventh)
    assert route_request(policy, 15_000.0, make_request("order", 7, 15_000.0, 16_900.0)).timeout_ms == 1900.0


# Requests that fail wherever they go


@pytest.mark.parametrize("sort", ["key", "tenant", "method", "none"])
def test_requests_of_a_failing_group_cost_one_attempt(sort: str) -> None:
    policy, sent = policy_of(), []
    for number in range(120):
        now = 50.0 * number
        request = make_request(
            "read",
            7 if sort == "key" else number,
            now,
            now + 1500.0,
            "t" if sort == "tenant" else f"t{number}",
        )
        decision = route_request(policy, now, request)
        while isinstance(decision, Forward):
            request.attempts[-1].outcome = "error"
            decision = policy.on_attempt_result(now, request, len(request.attempts) - 1, 5.0, None, None)
        request.finished = True
        sent.append(len(request.attempts))
        policy.next_wakeup(now)
    assert sum(sent[20:]) <= 1.25 * len(sent[20:])
    assert not any(cache.current_fraction(now) < 1.0 for cache in policy.endpoints.caches.values())


def test_failing_group_is_forgotten_and_others_do_not_suffer() -> None:
    policy = policy_of()
    for number in range(60):
        failing(policy, 50.0 * number, key=7)
    good = make_request("read", 8, 3000.0, 4500.0)
    assert policy.retries.fails_everywhere(3000.0, make_request("read", 7, 3000.0), 5.0)
    assert isinstance(route_request(policy, 3000.0, good), Forward)
    assert not policy.retries.fails_everywhere(13_000.0, make_request("read", 7, 13_000.0), 5.0)


def test_endpoint_that_fails_alone_makes_no_group_fail() -> None:
    policy = policy_of()
    for number in range(200):
        now = 20.0 * number
        request = make_request("read", number, now, now + 1500.0)
        decision = route_request(policy, now, request)
        while decision and isinstance(decision, Forward):
            request.attempts[-1].outcome = "error" if decision.endpoint == "c3" else "completed"
            request.finished = request.attempts[-1].outcome == "completed"
            decision = policy.on_attempt_result(now, request, len(request.attempts) - 1, 30.0, "hit", None)
        policy.next_wakeup(now)
    assert not policy.retries.fails_everywhere(4000.0, make_request("read", 3, 4000.0), 5.0)


# The settings


def test_apply_settings_replaces_all_that_follows_from_the_former_ones() -> None:
    """They are versions: nothing derived from the former ones may survive."""
    before = deployment_settings()
    router = Router(before | {"rules": before["rules"] | TOLD}, 1, 0.0)
    told = {"retry_spare": 0, "retry_ratio": 0.5, "clock_error": 700.0, "start_error": 40.0}
    after = before | {
        "rules": before["rules"] | TOLD | told,
        "caps": before["caps"] | {"buffers": 6, "most_transmissions": 2},
    }
    router.apply_settings(0.0, after)
    policy, fresh = router.policy, RoutingPolicy(after, 1, 0.0)
    assert vars(policy.settings) == vars(fresh.settings)
    assert policy.placement.constraints == fresh.placement.constraints
    assert policy.quotas.rates == fresh.quotas.rates
    assert (
        policy.retries.budget.fixed_attempts,
        policy.retries.budget.attempts_per_request,
        policy.settings.clock_error_ms,
        policy.settings.answer_buffers,
    ) == (0, 0.5, 700.0, 6)


@pytest.mark.parametrize(
    ("part", "name", "value"),
    [
        ("caps", "responseRoom", 0),
        ("caps", "responseRoom", 2.5),
        ("caps", "responseRoom", True),
        ("rules", "spareAttempts", -1),
        ("rules", "spareAttempts", "3"),
        ("rules", "repeatRatio", float("nan")),
        ("rules", "resendSpanNs", 0),
        ("rules", "resendSpanNs", None),
        ("rules", "leftOffNs", -5),
        ("rules", "bootStampErrorNs", [1]),
    ],
)
def test_validate_settings_with_a_wrong_value_names_the_field(part: str, name: str, value: object) -> None:
    told = {"spareAttempts": 5, "repeatRatio": 0.1, "resendSpanNs": 5_000_000_000}
    settings = SETTINGS | {"rules": SETTINGS["rules"] | told}
    validate_settings(settings)
    with pytest.raises(ValueError, match=f"settings.{part}.{name} is "):
        validate_settings(settings | {part: settings[part] | {name: value}})


def test_normalize_settings_translates_names_and_sockets_leave_out_some() -> None:
    rules = {
        "spareAttempts": 5,
        "repeatRatio": 0.1,
        "resendSpanNs": 5_000_000_000,
        "leftOffNs": 1_500_000_000,
        "bootStampErrorNs": 2_000_000,
    }
    settings = SETTINGS | {"rules": SETTINGS["rules"] | rules, "caps": SETTINGS["caps"] | {"responseRoom": 9}}
    policy = RoutingPolicy(normalize_settings(settings), 1, 0.0)
    assert (
        policy.retries.budget.fixed_attempts,
        policy.retries.budget.attempts_per_request,
        policy.settings.clock_error_ms,
        policy.settings.start_error_ms,
        policy.settings.answer_buffers,
    ) == (
        5,
        0.1,
        1500.0,
        2.0,
        9,
    )
    on_sockets, lines = settings_on_sockets(settings)
    policy = RoutingPolicy(normalize_settings(on_sockets), 1, 0.0)
    assert (
        policy.retries.budget.fixed_attempts,
        policy.settings.clock_error_ms,
        policy.settings.start_error_ms,
        policy.settings.answer_buffers,
    ) == (5, 0.0, 2.0, 0)
    assert len(lines) == 2
    assert "responseRoom" in lines[0]
    assert "leftOffNs" in lines[1]


# Weights of the moment, and a start behind caches


def test_live_weights_that_fall_move_no_key() -> None:
    """gulf-exchange: each list moved keys, and each move was a fetch."""

    def owners(live: bool) -> list[list[str]]:
        policy = RoutingPolicy(deployment_settings() | {"weights": "live" if live else "nominal"}, 1, 0.0)
        out = []
        for version, loads in enumerate(([1.0] * 8, [1.0, 0.4, 0.7, 0.3, 1.0, 0.5, 0.8, 0.6], [0.6] * 8)):
            policy.on_endpoint_list(
                700.0 * version,
                "delta" if version else "full",
                version,
                [(f"c{i}", "z", "box", 0, "ready", weight, 0.0) for i, weight in enumerate(loads)],
            )
            out.append([policy.placement.ranking(key)[0].name for key in range(200)])
        return out

    first, *later = owners(live=True)
    assert later == [first, first]
    assert owners(live=False)[1] != first


@pytest.mark.parametrize(
    ("proxies", "caches", "starts"), [(5, 20, 4.0), (5, 10, 3.0), (40, 20, 1.5), (200, 4, 0.06)]
)
def test_first_list_starts_the_origin_limit_from_a_bounded_value(
    proxies: int, caches: int, starts: float
) -> None:
    """All proxies began with three fetches a cache each, and clients left before the first came."""
    for aside in (False, True):
        policy = RoutingPolicy(deployment_settings(cache_aside=aside, proxies=proxies), 1, 0.0)
        policy.on_endpoint_list(
            0.0, "full", 1, [(f"c{i}", "z", "box", 0, "ready", None, 0.0) for i in range(caches)]
        )
        assert policy.origin_limit.value == pytest.approx(3.0 * caches / proxies if aside else starts)


@pytest.mark.parametrize(("late", "useful"), [(0.0, 500.0), (0.25, 875.0)])
def test_useful_time_of_a_fetch_includes_the_value_of_late_answers(late: float, useful: float) -> None:
    methods = [method | {"late_gain": late} for method in deployment_settings()["methods"]]
    assert RoutingPolicy(deployment_settings(methods=methods), 1, 0.0).settings.max_useful_fetch_ms == useful
    assert (
        RoutingPolicy(
            deployment_settings(cache_aside=True, methods=methods), 1, 0.0
        ).settings.max_useful_fetch_ms
        == 500.0
    )


# Rule 4 in a mass restart


def test_carried_rate_after_a_mass_restart_does_not_rise() -> None:
    """kaiku-catchup, overloaded, health checks: a cold cache was sent 4.4 times what it could do, of 3."""
    policy = policy_of()
    for number in range(1300):
        now = 10.0 * number
        if number == 1200:
            before = policy.slow_start.warm_request_rate
            policy.on_endpoint_list(
                now, "delta", 2, [(f"c{i}", "z", "box", 0, "ready", None, now) for i in range(6)]
            )
        request = make_request("read", number % 40, now, now + 900.0)
        if isinstance(route_request(policy, now, request), Forward):
            request.attempts[0].outcome, request.finished = "completed", True
            policy.on_attempt_result(now + 5.0, request, 0, 5.0, "hit", None)
        policy.next_wakeup(now)
    assert 0.0 < policy.slow_start.warm_request_rate <= 1.1 * before
