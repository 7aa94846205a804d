"""Tests of the components of the routing policy, each alone."""

from math import inf
from random import Random
from typing import Any

import pytest
from helpers import deployment_settings, make_request

from calicofall.routing.actions import (
    Action,
    CloseConnections,
    LogLine,
    Outbox,
    PollEndpointList,
    SendGossip,
    action_from_stored,
    stored_action,
)
from calicofall.routing.cached_keys import FetchLikelihood, KeyRequestCounts, RecentlyCachedKeys
from calicofall.routing.decisions import Fail, Reject
from calicofall.routing.endpoint import UNCONSTRAINED, Endpoint
from calicofall.routing.endpoint_table import EndpointTable
from calicofall.routing.latency import LatencyBaselines, ZoneLatency
from calicofall.routing.list_polling import ListPolling
from calicofall.routing.placement import Placement
from calicofall.routing.request import Attempt, AttemptOutcome, RetrySafety
from calicofall.routing.retry_policy import RetryPolicy, is_repeat_safe
from calicofall.routing.settings import Deployment, MethodSettings, RoutingSettings
from calicofall.routing.tenant_quota import BURST_REQUESTS, TenantQuotas, quota_shares

READ, SAVE, ORDER = (MethodSettings.of(method) for method in deployment_settings()["methods"])


def entry(name: str, state: str = "ready", started: float = 0.0, zone: str = "a") -> tuple[Any, ...]:
    """Returns an entry of the endpoint list."""
    return name, zone, "box", 0, state, None, started


def table_of(**rules: Any) -> EndpointTable:
    """Returns an empty endpoint table."""
    deployment = deployment_settings()
    deployment["rules"] |= rules
    return EndpointTable(RoutingSettings(deployment), Deployment(deployment))


# Actions


@pytest.mark.parametrize(
    ("action", "stored"),
    [
        pytest.param(LogLine("limit"), ("log", "limit"), id="log"),
        pytest.param(PollEndpointList(), ("follow",), id="poll"),
        pytest.param(CloseConnections("c1"), ("close", "c1"), id="close"),
        pytest.param(SendGossip(3, b"m"), ("tell", 3, b"m"), id="gossip"),
    ],
)
def test_stored_action_and_back_returns_the_action(action: Action, stored: tuple[Any, ...]) -> None:
    assert stored_action(action) == stored
    assert action_from_stored(stored) == action


def test_action_from_stored_of_an_unknown_name_raises_value_error() -> None:
    with pytest.raises(ValueError, match="expected a stored action"):
        action_from_stored(("list",))


def test_outbox_drain_returns_actions_in_order_and_empties() -> None:
    outbox = Outbox()
    outbox.log("first")
    outbox.add(PollEndpointList())

    assert outbox.drain() == [LogLine("first"), PollEndpointList()]
    assert outbox.drain() == []


# List polling


def test_list_polling_after_failures_backs_off_and_logs_once() -> None:
    outbox, random_generator = Outbox(), Random(1)
    polling = ListPolling(0.0, True, outbox)

    waits = []
    for _ in range(6):
        polling.on_failure(0.0, random_generator)
        waits.append(polling.wait_ms(0.0))

    for wait, backoff in zip(waits, (250.0, 500.0, 1000.0, 2000.0, 4000.0, 4000.0), strict=True):
        assert 0.5 * backoff <= wait <= 1.5 * backoff
    assert len(outbox.drain()) == 1


def test_list_polling_after_a_list_stops_unless_the_list_is_a_cached_one() -> None:
    polling = ListPolling(0.0, True, Outbox())

    polling.on_list(cached=True)
    assert polling.wait_ms(0.0) == 0.0
    polling.on_list(cached=False)
    assert polling.wait_ms(0.0) == inf


def test_list_polling_without_an_answer_polls_again_after_half_of_the_interval() -> None:
    outbox = Outbox()
    polling = ListPolling(0.0, True, outbox)

    polling.poll_if_due(0.0, 10_000.0)

    assert outbox.drain() == [PollEndpointList()]
    assert polling.wait_ms(0.0) == 5000.0


# Tenant quota


def test_tenant_quota_beyond_its_burst_refuses_until_tokens_come_back() -> None:
    quotas = TenantQuotas(0.0, {"a": 0.01}, Deployment(deployment_settings()), Random(1))
    quotas.buckets["a"][0] = 2.0

    assert [quotas.admit(0.0, "a") for _ in range(3)] == [True, True, False]
    assert quotas.admit(100.0, "a")


@pytest.mark.parametrize(
    ("tenant", "admitted"),
    [
        pytest.param(None, True, id="no tenant"),
        pytest.param("unknown", True, id="unknown tenant"),
        pytest.param("zero", False, id="tenant without a quota"),
    ],
)
def test_tenant_quota_without_a_bucket_admits_all_but_those_of_zero(
    tenant: str | None, admitted: bool
) -> None:
    quotas = TenantQuotas(0.0, {"zero": 0.0}, Deployment(deployment_settings()), Random(1))

    assert quotas.admit(0.0, tenant) is admitted


def test_tenant_quota_apply_settings_keeps_buckets_and_starts_new_ones_empty() -> None:
    quotas = TenantQuotas(0.0, {"a": 0.01}, Deployment(deployment_settings()), Random(1))
    quotas.buckets["a"] = [BURST_REQUESTS, 0.0]

    quotas.apply_settings(500.0, quota_shares([{"name": "a", "quota": 10.0}, {"name": "b"}], 2))

    assert quotas.rates == {"a": 0.005, "b": 0.0}
    assert quotas.buckets == {"a": [BURST_REQUESTS, 0.0], "b": [0.0, 500.0]}


# Keys


def test_recently_cached_keys_are_forgotten_after_two_spans() -> None:
    keys = RecentlyCachedKeys(0.0)
    keys.add("c1", 7)

    assert not keys.rotate_if_due(9_999.0)
    assert keys.rotate_if_due(10_000.0)
    assert keys.holds("c1", 7)
    assert keys.rotate_if_due(20_000.0)
    assert not keys.holds("c1", 7)


def test_recently_cached_keys_invalidate_drops_the_key_at_the_named_endpoints() -> None:
    keys = RecentlyCachedKeys(0.0)
    for endpoint in ("c1", "c2", "c3"):
        keys.add(endpoint, 7)
    keys.add("c1", 8)

    keys.invalidate(7, ["c1", "c2"])

    assert [keys.holds(endpoint, 7) for endpoint in ("c1", "c2", "c3")] == [False, False, True]
    assert keys.holds("c1", 8)


def test_key_request_counts_cover_one_to_two_spans() -> None:
    counts = KeyRequestCounts(0.0)
    counts.add(7)
    counts.rotate_if_due(30_000.0)
    counts.add(7)

    assert (counts.count(7), counts.count(8), counts.count(None)) == (2, 0, 0)
    assert counts.span_ms(30_000.0) == 30_000.0
    counts.rotate_if_due(60_000.0)
    assert counts.count(7) == 1


def test_fetch_likelihood_is_measured_separately_for_warming_up_endpoints() -> None:
    likelihood = FetchLikelihood()
    for number in range(20):
        likelihood.add(100.0, False, number % 4 == 0)
        likelihood.add(100.0, True, True)

    likelihood.update(100.0)

    assert (likelihood.of(False), likelihood.of(True)) == (0.25, 1.0)


# Latency


def test_latency_baselines_take_the_shortest_mean_and_keep_it_while_nothing_is_measured() -> None:
    baselines = LatencyBaselines(["read"], 500.0)
    for now, latency in ((1000.0, 40.0), (9000.0, 90.0)):
        for _ in range(16):
            baselines.add(now, "read", latency)

    assert baselines.baseline_ms("read") is None
    baselines.update(9000.0, 500.0)
    assert baselines.baseline_ms("read") == 40.0
    baselines.update(500_000.0, 500.0)
    assert baselines.baseline_ms("read") == 40.0
    assert baselines.measured() == {"read": 40.0}


def test_latency_baselines_apply_methods_drops_removed_methods() -> None:
    baselines = LatencyBaselines(["read", "save"], 500.0)
    baselines.add_alias("read", "read-1")

    baselines.apply_methods(["read-1", "order"])

    assert set(baselines.windows) == {"read-1", "order", None}
    assert set(baselines.baselines) == {"read-1", "order", None}


def test_zone_latency_is_relative_to_the_nearest_zone_after_enough_answers() -> None:
    zones, far = ZoneLatency(), Endpoint("c1")
    far.zone = "b"
    for _ in range(15):
        zones.add("a", 10.0)
        zones.add("b", 60.0)

    assert zones.extra_ms(far) == 0.0
    zones.add("a", 10.0)
    zones.add("b", 60.0)
    assert zones.extra_ms(far) == 50.0
    assert zones.extra_ms(None) == 0.0
    zones.add("b", 12.0)
    assert zones.extra_ms(far) == 2.0


# Endpoints and placement


def test_endpoint_table_full_list_removes_what_it_does_not_name() -> None:
    table = table_of()
    table.apply_list(0.0, False, [entry("c1"), entry("c2")])
    table.caches["c2"].in_flight = 1  # a request is in flight there

    table.apply_list(10.0, False, [entry("c3")])

    assert list(table.caches) == ["c2", "c3"]
    assert [one.name for one in table.ready_caches()] == ["c3"]


def test_endpoint_table_partial_list_with_a_new_start_ends_the_degradation_of_the_old_process() -> None:
    table = table_of(start_error=500.0)
    table.apply_list(0.0, False, [entry("c1")])
    table.caches["c1"].degrade(0.0, 1 / 8, 1 / 4)

    table.apply_list(5000.0, True, [entry("c1", started=4900.0)])

    assert table.caches["c1"].admitted_fraction == 1.0
    assert table.caches["c1"].started_at == 5000.0


def test_placement_rank_moves_only_keys_of_the_removed_endpoint() -> None:
    endpoints = [Endpoint(f"c{number}") for number in range(6)]
    placement = Placement({})
    placement.refresh(0.0, endpoints, {one.name: 1.0 for one in endpoints})
    before = {key: placement.rank(key)[0].name for key in range(500)}

    placement.refresh(0.0, endpoints[:-1], {one.name: 1.0 for one in endpoints[:-1]})

    moved = {key for key, owner in before.items() if placement.rank(key, UNCONSTRAINED)[0].name != owner}
    assert moved == {key for key, owner in before.items() if owner == "c5"}


def test_endpoint_current_fraction_doubles_with_time_up_to_one() -> None:
    endpoint = Endpoint("c1")
    endpoint.degrade(1000.0, 1 / 4, 1 / 4)

    assert endpoint.ejected
    assert [endpoint.current_fraction(1000.0 + age_ms) for age_ms in (0.0, 5000.0, 10_000.0)] == [
        0.25,
        0.5,
        1.0,
    ]


# Retries


@pytest.mark.parametrize(
    ("method", "first_sent_at", "safe"),
    [
        pytest.param(READ, 0.0, True, id="idempotent"),
        pytest.param(SAVE, 1000.0, True, id="idempotency key, within its window"),
        pytest.param(SAVE, -5000.0, False, id="idempotency key, past its window"),
        pytest.param(ORDER, 1000.0, False, id="not idempotent"),
        pytest.param(ORDER, None, True, id="never ran"),
    ],
)
def test_is_repeat_safe_by_retry_safety_and_first_attempt(
    method: MethodSettings, first_sent_at: float | None, safe: bool
) -> None:
    first_attempt = None if first_sent_at is None else Attempt("c1", first_sent_at)

    assert is_repeat_safe(1000.0, method, first_attempt) is safe


@pytest.mark.parametrize(
    ("method", "outcome", "now", "decision"),
    [
        pytest.param(READ, AttemptOutcome.TIMEOUT, 9000.0, Reject, id="idempotent"),
        pytest.param(SAVE, AttemptOutcome.TIMEOUT, 3799.0, Reject, id="idempotency key in a group of all"),
        pytest.param(SAVE, AttemptOutcome.TIMEOUT, 4400.0, Fail, id="idempotency key, to come back too late"),
        pytest.param(SAVE, AttemptOutcome.TIMEOUT, 5000.0, Fail, id="idempotency key, after its window"),
        pytest.param(SAVE, AttemptOutcome.FULL, 9000.0, Reject, id="idempotency key, never ran"),
        pytest.param(ORDER, AttemptOutcome.TIMEOUT, 1.0, Fail, id="not idempotent, may have run"),
        pytest.param(ORDER, AttemptOutcome.FULL, 1.0, Reject, id="not idempotent, never ran"),
    ],
)
def test_give_up_rejects_only_requests_that_are_safe_to_repeat(
    method: MethodSettings, outcome: AttemptOutcome, now: float, decision: type[Reject | Fail]
) -> None:
    """A deduped request that may have run was rejected though its client would repeat it after its window."""
    settings = RoutingSettings(deployment_settings())
    retries = RetryPolicy(settings, LatencyBaselines([], 500.0), 1, Random(1))
    request = make_request("read")
    request.attempts.append(Attempt("c1", 0.0, outcome=outcome))

    result = retries.give_up(now, request, method, Random(2))

    assert type(result) is decision
    if isinstance(result, Reject):
        assert 0.3 * 2000.0 <= result.retry_after_ms <= 0.6 * 2000.0


def test_retry_safety_values_are_those_of_the_settings() -> None:
    assert [method.retry_safety for method in (READ, SAVE, ORDER)] == [
        RetrySafety.IDEMPOTENT,
        RetrySafety.IDEMPOTENCY_KEY,
        RetrySafety.NON_IDEMPOTENT,
    ]
