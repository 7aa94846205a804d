"""Shares of limits at a proxy: demand is measured, units are borrowed, lent and checked before each use."""

from random import Random
from typing import Any

import pytest
from helpers import SETTINGS, ProxyHarness, deployment_settings, encode_request

from calicofall.fleet.quota_leases import (
    MAX_LENT_FRACTION_OF_RATES,
    ROUND_INTERVAL_S,
    UNITS,
    QuotaLeaseMessage,
)
from calicofall.proxy.quota_enforcement import MAX_CLOCK_DRIFT, WARM_UP_LIMIT
from calicofall.routing.policy import RoutingPolicy
from calicofall.routing.tenant_quota import BURST_REQUESTS
from calicofall.startup import peer_messages
from calicofall.testbed.quota_simulation import QuotaSimulation

PEERS = [f"10.0.0.{one}:7946" for one in range(1, 5)]
RATE = peer_messages.name_digest("rate/acme")


class QuotaHarness(ProxyHarness):
    """A proxy of four; the test answers for the peers."""

    def __init__(self, **start: Any) -> None:
        self.start = {
            "fleet": "shop",
            "speak": PEERS[0],
            "peers": PEERS,
            "watchesPerS": 100.0,
            "lendS": 3.0,
            "cachePerS": 400.0,
        } | start
        super().__init__()
        self.enforcement, self.sent_messages = self.proxy.quotas, []
        if self.enforcement is not None:
            self.enforcement.send = lambda peer, message: self.sent_messages.append((peer, message))
            self.enforcement.alive_members = lambda: [1, 2, 3]

    def node_file(self, *values: int, **settings: object) -> dict:
        return ProxyHarness.node_file(*values, **settings) | {
            "start": self.start,
            "settings": SETTINGS | {"balancers": 4, "zone": "a"},
        }

    def tenant_rate_per_s(self) -> float:
        return self.proxy.router.policy.quotas.rates["acme"] * 1000.0

    def run_with_demand(self, rounds: int, requests_per_round: int) -> None:
        """Counts requests in each round; the peers lend all units that they are asked for."""
        for _ in range(rounds):
            for _ in range(requests_per_round):
                self.enforcement.count_request("acme")
            self.enforcement.timer and self.enforcement.timer.cancel()
            self.enforcement.wake()
            sent_messages, self.sent_messages = self.sent_messages, []
            for peer, message in sent_messages:
                self.enforcement.on_message(
                    QuotaLeaseMessage(
                        False,
                        peer,
                        40 + peer,
                        message.correlation_id,
                        message.limit_id,
                        message.units,
                        message.request_number,
                    )
                )
            self.loop.advance(ROUND_INTERVAL_S)


def test_new_incarnation_uses_only_units_that_a_former_one_cannot_have_lent() -> None:
    harness = QuotaHarness()
    assert harness.tenant_rate_per_s() == pytest.approx(
        500.0 / 4 * (1.0 - MAX_LENT_FRACTION_OF_RATES), rel=1e-3
    )
    harness.loop.advance(3.0 * (1.0 + MAX_CLOCK_DRIFT) ** 2 + 0.01)
    harness.enforcement.refresh_if_due()
    assert harness.tenant_rate_per_s() == pytest.approx(500.0 / 4, rel=1e-3)
    assert harness.proxy.router.policy.slow_start.assigned_rate * 1000.0 * 3.0 == pytest.approx(
        400.0 / 4, rel=1e-3
    )


def test_units_for_demand_are_borrowed_and_expire_with_their_leases() -> None:
    harness = QuotaHarness()
    harness.loop.advance(4.0)
    harness.run_with_demand(16, 60)  # 240 requests per second; the rate of all four proxies is 500
    assert harness.tenant_rate_per_s() > 240.0
    assert any(line.startswith("limit.rate/acme:part=0.") for line in harness.enforcement.format_lines())
    assert "limit.cold:" in harness.proxy.handle_call("limits")
    harness.enforcement.timer.cancel()  # no further rounds
    harness.loop.advance(3.1)
    # The shares are checked right before the next request.
    client = harness.client()
    client.feed(encode_request("read"))
    assert harness.tenant_rate_per_s() == pytest.approx(125.0, rel=1e-3)


def test_measured_demand_does_not_depend_on_the_number_of_limits() -> None:
    """A tenant sends 100 requests per second; the rates of five more tenants have rounds of their own."""
    realms = [{"name": name, "quotaPerS": 500.0, "share": 0.1} for name in ("acme", *"bcdef")]
    harness = QuotaHarness()
    harness.proxy.apply_settings(harness.proxy.node["settings"] | {"realms": realms})
    harness.enforcement.wake()
    demands = []
    for number in range(700):
        harness.enforcement.count_request("acme")
        harness.loop.advance(0.01)
        if number > 300:
            demands.append(harness.enforcement.leases[RATE].demand_units / UNITS * 500.0)
    assert min(demands) > 85.0 and max(demands) < 115.0


def test_lent_units_are_no_longer_used_when_the_answer_is_sent() -> None:
    harness, quotas = QuotaHarness(), []
    harness.loop.advance(4.0)
    harness.enforcement.send = lambda peer, message: quotas.append((message, harness.tenant_rate_per_s()))
    harness.enforcement.on_message(QuotaLeaseMessage(True, 2, 9, 77, RATE, UNITS // 8))
    ((answer, quota),) = quotas
    assert answer.units == UNITS // 8 and quota == pytest.approx(500.0 / 8, rel=1e-3)
    harness.enforcement.on_message(
        QuotaLeaseMessage(True, 2, 9, 78, peer_messages.name_digest("rate/other"), UNITS // 8)
    )
    assert len(quotas) == 1  # the second request is for a limit that the proxy does not have


def test_settings_version_with_another_quota_keeps_the_leases() -> None:
    harness = QuotaHarness()
    harness.loop.advance(4.0)
    leases = harness.enforcement.leases[RATE]
    harness.enforcement.on_message(QuotaLeaseMessage(True, 2, 9, 77, RATE, UNITS // 8))
    harness.proxy.apply_settings(
        harness.proxy.node["settings"] | {"realms": [{"name": "acme", "quotaPerS": 100.0, "share": 1.0}]}
    )
    assert harness.enforcement.leases[RATE] is leases and harness.tenant_rate_per_s() == pytest.approx(
        100.0 / 8, rel=1e-3
    )
    assert peer_messages.name_digest(WARM_UP_LIMIT) in harness.enforcement.leases


def test_pinned_limit_grants_and_borrows_no_leases_and_running_ones_expire() -> None:
    harness = QuotaHarness()
    harness.loop.advance(4.0)
    harness.run_with_demand(16, 60)
    assert harness.tenant_rate_per_s() > 200.0
    harness.proxy.apply_settings(harness.proxy.node["settings"] | {"pins": {"limits": ["rate/acme"]}})
    harness.run_with_demand(16, 60)
    assert harness.tenant_rate_per_s() == pytest.approx(125.0, rel=1e-3)
    harness.enforcement.on_message(QuotaLeaseMessage(True, 2, 9, 77, RATE, UNITS // 8))
    assert harness.sent_messages[-1][1].units == 0 and any(
        line.endswith(" pinned") for line in harness.enforcement.format_lines()
    )


def test_shares_without_leases_are_fixed() -> None:
    harness = QuotaHarness()
    del harness.start["lendS"]
    fixed = ProxyHarness.__new__(QuotaHarness)
    fixed.start = harness.start
    ProxyHarness.__init__(fixed)
    assert fixed.proxy.quotas is None and "limits" not in fixed.proxy.handle_call("limits")
    assert fixed.tenant_rate_per_s() == pytest.approx(125.0)


@pytest.mark.parametrize("few", [(0,), (1, 4), tuple(range(8))])
def test_admitted_requests_of_a_tenant_over_all_proxies_stay_within_its_rate(few: tuple) -> None:
    """Some of eight proxies have demand for five times the quota, and later others."""
    quota, duration_s = 80.0, 12.0
    simulation = QuotaSimulation(8, 1)
    settings = deployment_settings(proxies=8, tenants=[{"name": "acme", "quota": quota}])
    policies = [RoutingPolicy(settings, 1, 0.0) for _ in range(8)]
    random_generator, admitted, started_at = Random(3), 0, 6.0
    while simulation.now < started_at + duration_s:
        simulation.run(simulation.now + 0.005)
        active = few if simulation.now < started_at + duration_s / 2 else tuple((me + 3) % 8 for me in few)
        simulation.demands = [5 * UNITS // len(active) if me in active else 0 for me in range(8)]
        if simulation.now < started_at:
            continue
        for _ in range(2):  # 400 requests per second
            me = random_generator.choice(active)
            policies[me].quotas.rates["acme"] = (
                quota
                / 1000.0
                * simulation.fleet[me].instance.usable_units(simulation.fleet[me].clock(simulation.now))
                / UNITS
            )
            admitted += policies[me].quotas.admit(simulation.now * 1000.0, "acme")
    assert admitted <= quota * (duration_s + 1.0) + 8 * BURST_REQUESTS
    assert admitted >= 0.7 * quota * duration_s and simulation.peak_excess_fraction == 0.0


def test_messages_with_random_fields_raise_no_error_and_memory_stays_bounded() -> None:
    """Messages of a valid form with random numbers arrive in random order, from members and other senders."""
    harness, random_generator = QuotaHarness(witnesses=True), Random(5)
    gossip, enforcement = harness.proxy.gossip, harness.enforcement
    gossip.transport = type(
        "Air", (), {"sendto": lambda self, data, place: None, "is_closing": lambda self: False}
    )()
    enforcement.send = gossip.send
    harness.proxy.outliers.wake()

    def draw_number() -> int:
        return random_generator.choice(
            [0, 1, 2, 3, RATE, random_generator.getrandbits(4), random_generator.getrandbits(50)]
        )

    for _ in range(4000):
        kind = random_generator.choice(peer_messages.MESSAGE_TYPES)
        values = [
            random_generator.random() < 0.5
            if field is bool
            else draw_number()
            if field is int
            else tuple(draw_number() for _ in range(random_generator.randint(0, 12)))
            for field in kind.__annotations__.values()
        ]
        message = kind(*values)._replace(sender=random_generator.randint(0, 5))
        if random_generator.random() < 0.3 and hasattr(
            message, "correlation_id"
        ):  # one of a pending exchange
            correlation_ids = [
                *gossip.membership.outstanding_probes,
                *enforcement.leases[RATE].pending_requests,
                *harness.proxy.outliers.consensus.queries,
            ]
            message = (
                message._replace(correlation_id=random_generator.choice(correlation_ids))
                if correlation_ids
                else message
            )
        gossip.datagram_received(peer_messages.encode_message("shop", message), ("x", 1))
        if random_generator.random() < 0.1:
            enforcement.count_request(f"made up {random_generator.random()}")
            harness.loop.advance(0.1)
    leases = enforcement.leases[RATE]
    assert (
        leases.usable_units(harness.loop.time()) <= UNITS
        and len(leases.lent_leases) < 4096
        and len(enforcement.request_windows) <= 2
    )
    assert len(gossip.membership.queued_suspicions) <= 64 and len(gossip.membership.peers) == 3
    assert set(harness.proxy.outliers.consensus.peer_queries) <= {
        peer_messages.name_digest(name) for name in ("c1", "c2", "c3")
    }
