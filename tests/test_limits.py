"""Parts of limits in effect at a proxy: measured, asked for, lent, looked at right before they are used."""

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


class Lending(ProxyHarness):
    """A proxy of four, its peers by hand."""

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
        self.limits, self.said = self.proxy.quotas, []
        if self.limits is not None:
            self.limits.send = lambda peer, word: self.said.append((peer, word))
            self.limits.live_members = lambda: [1, 2, 3]

    def node_file(self, *values: int, **settings: object) -> dict:
        return ProxyHarness.node_file(*values, **settings) | {
            "start": self.start,
            "settings": SETTINGS | {"balancers": 4, "zone": "a"},
        }

    def quota(self) -> float:
        return self.proxy.router.policy.quotas.rates["acme"] * 1000.0

    def busy(self, rounds: int, per_round: int) -> None:
        """So many RPCs in each round; peers lend all they are asked for."""
        for _ in range(rounds):
            for _ in range(per_round):
                self.limits.count_request("acme")
            self.limits.timer and self.limits.timer.cancel()
            self.limits.wake()
            said, self.said = self.said, []
            for peer, word in said:
                self.limits.on_message(
                    QuotaLeaseMessage(
                        False,
                        peer,
                        40 + peer,
                        word.correlation_id,
                        word.limit_id,
                        word.units,
                        word.request_number,
                    )
                )
            self.loop.advance(ROUND_INTERVAL_S)


def test_a_proxy_begins_with_what_a_former_incarnation_cannot_have_lent_and_has_its_own_later() -> None:
    harness = Lending()
    assert harness.quota() == pytest.approx(500.0 / 4 * (1.0 - MAX_LENT_FRACTION_OF_RATES), rel=1e-3)
    harness.loop.advance(3.0 * (1.0 + MAX_CLOCK_DRIFT) ** 2 + 0.01)
    harness.limits.refresh_if_due()
    assert harness.quota() == pytest.approx(500.0 / 4, rel=1e-3)
    assert harness.proxy.router.policy.slow_start.assigned_rate * 1000.0 * 3.0 == pytest.approx(
        400.0 / 4, rel=1e-3
    )


def test_what_comes_here_is_asked_for_and_lapses_with_its_loan() -> None:
    harness = Lending()
    harness.loop.advance(4.0)
    harness.busy(16, 60)  # 240 a second, of 500 for four
    assert harness.quota() > 240.0
    assert any(line.startswith("limit.rate/acme:part=0.") for line in harness.limits.format_lines())
    assert "limit.cold:" in harness.proxy.handle_call("limits")
    harness.limits.timer.cancel()  # nothing wakes it any more
    harness.loop.advance(3.1)
    # Right before the next RPC it is looked at.
    client = harness.client()
    client.feed(encode_request("read"))
    assert harness.quota() == pytest.approx(125.0, rel=1e-3)


def test_demand_is_told_by_time_however_many_limits_wake_a_proxy() -> None:
    """A hundred RPCs a second of a tenant, five tenants' rates beside it, timers left alone."""
    realms = [{"name": name, "quotaPerS": 500.0, "share": 0.1} for name in ("acme", *"bcdef")]
    harness = Lending()
    harness.proxy.apply_settings(harness.proxy.node["settings"] | {"realms": realms})
    harness.limits.wake()
    told = []
    for number in range(700):
        harness.limits.count_request("acme")
        harness.loop.advance(0.01)
        if number > 300:
            told.append(harness.limits.leases[RATE].demand_units / UNITS * 500.0)
    assert min(told) > 85.0 and max(told) < 115.0


def test_what_is_lent_is_not_used_here_before_the_answer_leaves() -> None:
    harness, quotas = Lending(), []
    harness.loop.advance(4.0)
    harness.limits.send = lambda peer, word: quotas.append((word, harness.quota()))
    harness.limits.on_message(QuotaLeaseMessage(True, 2, 9, 77, RATE, UNITS // 8))
    ((answer, quota),) = quotas
    assert answer.units == UNITS // 8 and quota == pytest.approx(500.0 / 8, rel=1e-3)
    harness.limits.on_message(
        QuotaLeaseMessage(True, 2, 9, 78, peer_messages.name_digest("rate/other"), UNITS // 8)
    )
    assert len(quotas) == 1  # of a limit that it does not know


def test_a_version_with_another_quota_keeps_the_parts() -> None:
    harness = Lending()
    harness.loop.advance(4.0)
    parts = harness.limits.leases[RATE]
    harness.limits.on_message(QuotaLeaseMessage(True, 2, 9, 77, RATE, UNITS // 8))
    harness.proxy.apply_settings(
        harness.proxy.node["settings"] | {"realms": [{"name": "acme", "quotaPerS": 100.0, "share": 1.0}]}
    )
    assert harness.limits.leases[RATE] is parts and harness.quota() == pytest.approx(100.0 / 8, rel=1e-3)
    assert peer_messages.name_digest(WARM_UP_LIMIT) in harness.limits.leases


def test_a_pinned_limit_lends_and_borrows_no_more_and_what_runs_lapses() -> None:
    harness = Lending()
    harness.loop.advance(4.0)
    harness.busy(16, 60)
    assert harness.quota() > 200.0
    harness.proxy.apply_settings(harness.proxy.node["settings"] | {"pins": {"limits": ["rate/acme"]}})
    harness.busy(16, 60)
    assert harness.quota() == pytest.approx(125.0, rel=1e-3)
    harness.limits.on_message(QuotaLeaseMessage(True, 2, 9, 77, RATE, UNITS // 8))
    assert harness.said[-1][1].units == 0 and any(
        line.endswith(" pinned") for line in harness.limits.format_lines()
    )


def test_without_lending_parts_are_fixed_and_nothing_is_asked() -> None:
    harness = Lending()
    del harness.start["lendS"]
    fixed = ProxyHarness.__new__(Lending)
    fixed.start = harness.start
    ProxyHarness.__init__(fixed)
    assert fixed.proxy.quotas is None and "limits" not in fixed.proxy.handle_call("limits")
    assert fixed.quota() == pytest.approx(125.0)


@pytest.mark.parametrize("few", [(0,), (1, 4), tuple(range(8))])
def test_all_proxies_together_let_a_tenant_have_no_more_than_its_rate(few: tuple) -> None:
    """Eight modules; demand of five times the quota at a few, then at others."""
    quota, span = 80.0, 12.0
    sums = QuotaSimulation(8, 1)
    told = deployment_settings(proxies=8, tenants=[{"name": "acme", "quota": quota}])
    policies = [RoutingPolicy(told, 1, 0.0) for _ in range(8)]
    random_generator, within, began = Random(3), 0, 6.0
    while sums.now < began + span:
        sums.run(sums.now + 0.005)
        here = few if sums.now < began + span / 2 else tuple((me + 3) % 8 for me in few)
        sums.wants = [5 * UNITS // len(here) if me in here else 0 for me in range(8)]
        if sums.now < began:
            continue
        for _ in range(2):  # 400 a second
            me = random_generator.choice(here)
            policies[me].quotas.rates["acme"] = (
                quota / 1000.0 * sums.fleet[me].instance.usable_units(sums.fleet[me].clock(sums.now)) / UNITS
            )
            within += policies[me].quotas.admit(sums.now * 1000.0, "acme")
    assert within <= quota * (span + 1.0) + 8 * BURST_REQUESTS
    assert within >= 0.7 * quota * span and sums.over == 0.0


def test_whatever_members_say_nothing_raises_and_nothing_grows() -> None:
    """Words of the right form with any numbers in them, from members and others, in any order."""
    harness, random_generator = Lending(witnesses=True), Random(5)
    peers, limits = harness.proxy.gossip, harness.limits
    peers.transport = type(
        "Air", (), {"sendto": lambda self, data, place: None, "is_closing": lambda self: False}
    )()
    limits.send = peers.send
    harness.proxy.outliers.wake()

    def number_of() -> int:
        return random_generator.choice(
            [0, 1, 2, 3, RATE, random_generator.getrandbits(4), random_generator.getrandbits(50)]
        )

    for _ in range(4000):
        kind = random_generator.choice(peer_messages.MESSAGE_TYPES)
        values = [
            random_generator.random() < 0.5
            if field is bool
            else number_of()
            if field is int
            else tuple(number_of() for _ in range(random_generator.randint(0, 12)))
            for field in kind.__annotations__.values()
        ]
        word = kind(*values)._replace(sender=random_generator.randint(0, 5))
        if random_generator.random() < 0.3 and hasattr(word, "correlation_id"):  # a mark that is open here
            marks = [
                *peers.membership.outstanding_probes,
                *limits.leases[RATE].pending_requests,
                *harness.proxy.outliers.consensus.queries,
            ]
            word = word._replace(correlation_id=random_generator.choice(marks)) if marks else word
        peers.datagram_received(peer_messages.encode_message("shop", word), ("x", 1))
        if random_generator.random() < 0.1:
            limits.count_request(f"made up {random_generator.random()}")
            harness.loop.advance(0.1)
    parts = limits.leases[RATE]
    assert (
        parts.usable_units(harness.loop.time()) <= UNITS
        and len(parts.lent_leases) < 4096
        and len(limits.request_windows) <= 2
    )
    assert len(peers.membership.queued_suspicions) <= 64 and len(peers.membership.peers) == 3
    assert set(harness.proxy.outliers.consensus.peer_queries) <= {
        peer_messages.name_digest(name) for name in ("c1", "c2", "c3")
    }
