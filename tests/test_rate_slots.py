"""Rate slot leases and in-flight quotas: simulations, planted defects and a single proxy."""

import time
from collections.abc import Callable
from random import Random

import pytest
from helpers import ProxyHarness, encode_request
from test_limits import QuotaHarness
from test_quota_leases import owners_restart

from calicofall.fleet.in_flight_quota import MAX_CREDIT_S, InFlightQuota
from calicofall.fleet.quota_leases import (
    MAX_BORROWED_LEASES,
    UNITS,
    BorrowedLease,
    PendingRequest,
    QuotaLeaseMessage,
)
from calicofall.fleet.rate_slots import SLOTS_PER_PROXY, OriginFetchSlots, RateSlots
from calicofall.proxy.quota_enforcement import HANDSHAKE_SLOTS, IN_FLIGHT_LIMIT, ORIGIN_FETCH_SLOTS
from calicofall.startup import peer_messages
from calicofall.startup.time_slots import SLOT_LATENESS_S, TimeSlots
from calicofall.testbed.checker import max_count_in_window
from calicofall.testbed.quota_simulation import run_random_faults
from calicofall.testbed.rate_slot_simulation import OriginFetchSimulation, RateSlotSimulation

# Planted defects


class UsesLentSlots(RateSlots):
    """Uses slots that it has lent."""

    def usable_slots(self, now: float) -> list:
        self.usable_units(now)
        return [
            *((self.proxy_number, slot) for slot in range(SLOTS_PER_PROXY)),
            *(
                (owner, self.borrowed_slots[lease_id])
                for lease_id, (owner, _, _) in self.borrowed_leases.items()
            ),
        ]


class LendsOneSlotTwice(RateSlots):
    """Lends the same slot in all leases."""

    def _choose_slot(self, message: QuotaLeaseMessage) -> int:
        return self.granted_slots.setdefault((message.sender, message.incarnation, message.correlation_id), 1)


class IgnoresFormerIncarnation(RateSlots):
    """Uses all of its own slots from the start, though a former incarnation may have lent some."""

    def __init__(self, *values: object) -> None:
        super().__init__(*values)
        self.started_at -= self.grant_s


class NeverChecksSlots(RateSlots):
    """Uses a slot without checking whether it is over or no longer its own."""

    def may_use(self, grid: TimeSlots, at: float, now: float) -> bool:
        return True


# Fault scenarios


def demand_moves(slots_class: Callable[..., RateSlots]) -> RateSlotSimulation:
    simulation = RateSlotSimulation(6, 1, slots_class)
    for few in ((0,), (1, 2), (3,), (0, 1, 2, 3, 4, 5)):
        simulation.demands = [UNITS if me in few else 0 for me in range(6)]
        simulation.run(simulation.now + 8.0)
    simulation.demands = [UNITS] * 6
    simulation.run(simulation.now + 4.0)
    return simulation


def owners_restart_slots(slots_class: Callable[..., RateSlots]) -> RateSlotSimulation:
    return owners_restart(slots_class, RateSlotSimulation)


def all_are_stopped(slots_class: Callable[..., RateSlots]) -> RateSlotSimulation:
    """Stops all proxies while they wait for their slots, and resumes them together."""
    simulation = RateSlotSimulation(40, 1, slots_class)
    simulation.demands = [UNITS] * 40
    simulation.run(6.0)
    for me in range(40):
        simulation.stop(me, 5.0)
    simulation.run(20.0)
    return simulation


SCENARIOS = [demand_moves, owners_restart_slots, all_are_stopped]


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_slots_under_each_fault_are_used_once_and_within_rate(scenario: Callable) -> None:
    simulation = scenario(RateSlots)
    assert simulation.slots_taken_twice == 0
    assert simulation.peak_slots_per_s <= simulation.slots_per_s * (1.0 + SLOT_LATENESS_S) + 1
    assert len(simulation.taken_at) > 200


@pytest.mark.parametrize(
    ("slots_class", "scenario"),
    [
        (UsesLentSlots, demand_moves),
        (LendsOneSlotTwice, demand_moves),
        (IgnoresFormerIncarnation, owners_restart_slots),
        (NeverChecksSlots, all_are_stopped),
    ],
)
def test_fault_scenarios_with_planted_defect_find_it(slots_class: type, scenario: Callable) -> None:
    simulation = scenario(slots_class)
    assert (
        simulation.slots_taken_twice
        or simulation.peak_slots_per_s > simulation.slots_per_s * (1.0 + SLOT_LATENESS_S) + 1
    )


@pytest.mark.parametrize(("fleet", "count"), [(3, 6), (12, 4), (40, 2)])
def test_slots_under_random_faults_are_used_once_and_within_rate(fleet: int, count: int) -> None:
    for seed in range(count):
        simulation = RateSlotSimulation(fleet, seed, loss=0.1, double=0.1, stuck=0.1)
        run_random_faults(simulation, 40.0)
        assert simulation.slots_taken_twice == 0, seed
        assert simulation.peak_slots_per_s <= simulation.slots_per_s * (1.0 + SLOT_LATENESS_S) + 1, seed


class IgnoresGainedAt(OriginFetchSlots):
    """Uses slots that another proxy had at their time."""

    def due_at(self, now: float) -> float:
        self.rate_slots.gained_at = -1e9
        return super().due_at(now)


def test_origin_slots_with_changing_leases_are_used_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def simulate() -> list[OriginFetchSimulation]:
        out = []
        for seed in range(4):
            out.append(OriginFetchSimulation(8, seed, loss=0.1, double=0.1, stuck=0.1))
            run_random_faults(out[-1], 40.0)
        return out

    for simulation in simulate():
        assert simulation.slots_taken_twice == 0
        assert simulation.peak_slots_per_s <= simulation.slots_per_s * (1.0 + SLOT_LATENESS_S) + 1
        assert len(simulation.taken_at) > 300
    monkeypatch.setattr("calicofall.testbed.rate_slot_simulation.OriginFetchSlots", IgnoresGainedAt)
    assert any(simulation.slots_taken_twice for simulation in simulate())


def test_slots_with_clock_skew_exceed_rate_by_twice_the_skew_at_most() -> None:
    simulation = RateSlotSimulation(24, 1, skew=0.2)
    simulation.demands = [UNITS] * 24
    simulation.run(20.0)
    assert simulation.peak_slots_per_s <= simulation.slots_per_s * (1.0 + 2 * 0.2 + SLOT_LATENESS_S) + 1


@pytest.mark.parametrize(("fleet", "few"), [(8, 2), (24, 2), (200, 4)])
def test_slots_follow_demand_and_return(fleet: int, few: int) -> None:
    simulation = RateSlotSimulation(fleet, 1, slots_per_s=400.0)
    simulation.run(7.0)
    simulation.demands = [UNITS // few if me < few else 0 for me in range(fleet)]
    simulation.run(14.0)
    slots_per_s = sum(at >= 11.0 for at in simulation.taken_at) / 3.0
    most = min(
        400.0,
        few * 400.0 / fleet * (1.0 + min(MAX_BORROWED_LEASES / SLOTS_PER_PROXY, 0.75 * (fleet - few) / few)),
    )
    assert slots_per_s >= 0.9 * most
    simulation.demands = [UNITS // fleet] * fleet
    simulation.run(24.0)
    assert sum(at >= 22.0 for at in simulation.taken_at) / 2.0 >= 0.95 * 400.0
    assert simulation.slots_taken_twice == 0


def test_first_slot_is_never_lent_and_invalid_lease_of_it_is_ignored() -> None:
    rate_slots = RateSlots(0, 0, 5, 4, 0.0, 3.0, 0.01, Random(1))
    rate_slots.set_demand(rate_slots.total)
    (owner, request), *_ = rate_slots.wake(4.0, [1, 2, 3])[0]
    for slot in (0, SLOTS_PER_PROXY):
        rate_slots.on_message(
            4.1,
            QuotaLeaseMessage(False, owner, 9, request.correlation_id, 0, 1, request.request_number, slot),
        )
        assert len(rate_slots.usable_slots(4.1)) == SLOTS_PER_PROXY
        rate_slots.pending_requests[request.correlation_id] = PendingRequest(
            owner, 1, {request.request_number: 4.0}
        )
    rate_slots.on_message(
        4.1, QuotaLeaseMessage(False, owner, 9, request.correlation_id, 0, 1, request.request_number, 2)
    )
    assert (owner, 2) in rate_slots.usable_slots(4.1)
    owner_slots = RateSlots(0, 1, 6, 4, 0.0, 3.0, 0.01, Random(1))
    answers = [
        owner_slots.on_message(4.0, QuotaLeaseMessage(True, 0, 5, lease_id, 0, 3)) for lease_id in range(5)
    ]
    assert [(message.units, message.slot) for message in answers] == [(1, 1), (1, 2), (1, 3), (0, 0), (0, 0)]
    assert owner_slots.usable_slots(4.0) == {(1, 0)}


def test_origin_slots_not_used_expire_and_fleet_stays_within_rate() -> None:
    """Thirty proxies send whenever they may, and again after a pause that ends for all at one time."""
    sent: list[float] = []
    fleet_slots = [
        OriginFetchSlots(RateSlots(0, me, 1, 30, 0.0, 0.0, 0.0, Random(me)), 60.0, 50.0, 7_000.0)
        for me in range(30)
    ]
    for step in range(4000):
        now = 50.0 + step * 0.003
        for origin_slots in fleet_slots if now < 54.0 or now > 60.0 else ():
            if origin_slots.due_at(now) <= now:
                origin_slots.take(now)
                sent.append(now)
    assert max_count_in_window(sent)[0] <= 60.0 * (1.0 + SLOT_LATENESS_S) + 1
    assert len([at for at in sent if at < 54.0]) >= 0.9 * 60.0 * 4.0


# Requests in flight


def test_in_flight_requests_never_exceed_quota_and_on_average_for_quota_under_one() -> None:
    random_generator = Random(4)
    quota, end_times = InFlightQuota(3.9, random_generator), []
    for step in range(3000):
        now = step * 0.01
        end_times = [end for end in end_times if end > now or quota.end(now, "c1")]
        while quota.try_begin(now, "c1"):
            end_times.append(now + random_generator.uniform(0.01, 0.5))
        assert len(end_times) == 3 == quota.max_in_flight()
    assert quota.demand(30.0) > 3.9
    small_quota, in_flight_s, ends_at = InFlightQuota(0.2, random_generator), 0.0, 0.0
    for step in range(6000):
        now = step * 0.01
        if ends_at and now >= ends_at:
            small_quota.end(now, "c1")
            ends_at = 0.0
        if not ends_at and small_quota.try_begin(now, "c1"):
            ends_at = now + random_generator.uniform(0.01, 0.2)
        in_flight_s += 0.01 * bool(ends_at)
    assert 0.15 * 60.0 <= in_flight_s <= 0.2 * (60.0 + MAX_CREDIT_S) + 0.2


def test_endpoint_with_exhausted_quota_is_not_degraded_and_next_one_is_used() -> None:
    harness = QuotaHarness(inFlight=4.0, lendS=None).with_high_limits()
    assert harness.proxy.upstreams.in_flight_quota.share == 1.0
    client = harness.client()
    for _ in range(6):
        client.feed(encode_request("read", key=7))
    harness.loop.advance(0.05)
    counts = [usage.in_flight for usage in harness.proxy.upstreams.in_flight_quota.endpoints.values()]
    assert max(counts) == 1
    assert sum(counts) == 3
    assert not harness.proxy.router.degraded_endpoints(harness.proxy.now_ms())


def test_cancelled_request_is_in_flight_until_its_connection_is_closed() -> None:
    harness = QuotaHarness(inFlight=400.0).with_high_limits()
    client = harness.client()
    client.feed(encode_request("read"))
    harness.loop.advance(0.05)
    quota = harness.proxy.upstreams.in_flight_quota
    assert quota.max_in_flight() == 1
    client.abort()
    harness.loop.advance(3.0)
    assert quota.max_in_flight() == 0


def test_lease_that_ends_before_a_request_may_does_not_count() -> None:
    harness = QuotaHarness(inFlight=64.0).with_high_limits()
    harness.loop.advance(4.0)
    enforcement, quota, limit_id = (
        harness.enforcement,
        harness.proxy.upstreams.in_flight_quota,
        peer_messages.name_digest(IN_FLIGHT_LIMIT),
    )
    enforcement.refresh()
    own_share = quota.share
    assert own_share == pytest.approx(16.0)
    leases = enforcement.leases[limit_id]
    leases.borrowed_leases[7] = BorrowedLease(
        1, UNITS // 8, harness.loop.time() + enforcement.longest_request_s + 0.5
    )
    enforcement.refresh()
    assert quota.share == pytest.approx(24.0)
    harness.loop.advance(0.6)
    enforcement.refresh()
    assert quota.share == pytest.approx(16.0)
    assert leases.usable_units(harness.loop.time()) > UNITS // 4


def test_units_in_flight_are_not_lent() -> None:
    harness = QuotaHarness(inFlight=8.0).with_high_limits()
    harness.loop.advance(4.0)
    client = harness.client()
    for key in range(40):
        client.feed(encode_request("read", key=key))
    harness.loop.advance(0.02)
    assert harness.proxy.upstreams.in_flight_quota.max_in_flight() == 2
    harness.enforcement.on_message(
        QuotaLeaseMessage(True, 2, 9, 77, peer_messages.name_digest(IN_FLIGHT_LIMIT), UNITS // 8)
    )
    assert harness.sent_messages[-1][1].units == 0


def test_slots_and_in_flight_quota_are_shown_to_operators_and_requested() -> None:
    harness = QuotaHarness(handshakesPerS=4.0, fetchesPerS=2.0, inFlight=64.0).with_high_limits()
    lines = harness.proxy.handle_call("limits")
    assert all(
        f"limit.{name}:part=" in lines for name in (HANDSHAKE_SLOTS, ORIGIN_FETCH_SLOTS, IN_FLIGHT_LIMIT)
    )
    harness.loop.advance(4.0)
    client = harness.client()
    for key in range(30):
        client.feed(encode_request("read", key=key))
    harness.loop.advance(0.01)
    harness.enforcement.wake()
    requested_limits = {message.limit_id for _, message in harness.sent_messages}
    assert peer_messages.name_digest(ORIGIN_FETCH_SLOTS) in requested_limits


@pytest.mark.parametrize("phase_s", [0.0, 0.25, 0.5, 0.75])
def test_requests_that_may_need_origin_wait_for_slots(
    phase_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Slots are at whole seconds of the wall clock here. Without a fixed clock, the last assertions could fall
    # into the milliseconds between a slot and the tick in which a waiting request takes it.
    monkeypatch.setattr(time, "time", lambda: 1_796_371_114.0 + phase_s)
    harness = QuotaHarness(fetchesPerS=4.0, lendS=None)  # one request per second at this proxy
    client = harness.client()
    harness.loop.advance(2.0)
    sends = harness.proxy.metrics.attempts_sent
    for _ in range(8):
        client.feed(encode_request("read", key=5))
    harness.loop.advance(0.05)
    policy = harness.proxy.router.policy
    assert policy.origin_limit.next_start_at > harness.proxy.now_ms()
    assert len([c for c in harness.proxy.active_requests.values() if c.command is not None]) <= 1
    assert harness.proxy.metrics.attempts_sent - sends <= 1
    without_limit = ProxyHarness()
    assert without_limit.proxy.router.origin_slots is None
    assert without_limit.proxy.router.policy.origin_limit.next_start_at == 0.0
