"""Quota leases: the proxies together never exceed a limit, in simulations with faults and planted defects."""

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from calicofall.fleet.configuration_agreement import grant_duration
from calicofall.fleet.quota_leases import (
    MAX_BORROWED_LEASES,
    MAX_LENT_FRACTION,
    MIN_LEASE_UNITS,
    REQUESTS_PER_ROUND,
    ROUND_INTERVAL_S,
    UNITS,
    BorrowedLease,
    PendingRequest,
    QuotaLeaseMessage,
    QuotaLeases,
    RateQuotaLeases,
)
from calicofall.testbed.quota_simulation import QuotaSimulation, run_random_faults

LEASE_S, DRIFT = 3.0, 0.01


# Planted defects


class ForgetsLentLeases(QuotaLeases):
    """Drops the record of lent units at once, and lends them again."""

    def _grant(self, now: float, message: QuotaLeaseMessage) -> int:
        units = super()._grant(now, message)
        self.lent_leases.clear()
        return units


class UsesLentUnits(QuotaLeases):
    """Uses units that it has lent."""

    def units_lent(self, now: float) -> int:
        out = super().units_lent(now)
        return 0 if now >= self.started_at + self.grant_s else out


class IgnoresFormerIncarnation(QuotaLeases):
    """Uses all of its own units from the start, though a former incarnation may have lent some."""

    def __init__(self, *values: object) -> None:
        super().__init__(*values)
        self.started_at -= self.grant_s


class CountsLeaseFromAnswer(QuotaLeases):
    """Runs leases from the answer instead of the request."""

    def on_message(self, now: float, message: QuotaLeaseMessage) -> QuotaLeaseMessage | None:
        if not message.is_request and message.correlation_id in self.pending_requests:
            owner, units, times = self.pending_requests[message.correlation_id]
            self.pending_requests[message.correlation_id] = PendingRequest(
                owner, units, dict.fromkeys(times, now)
            )
        return super().on_message(now, message)


class TakesAnyAnswerForRenewal(QuotaLeases):
    """Accepts the answer to the first request of a lease as one to its renewal."""

    def on_message(self, now: float, message: QuotaLeaseMessage) -> QuotaLeaseMessage | None:
        if not message.is_request and message.correlation_id in self.pending_requests:
            message = message._replace(
                request_number=max(self.pending_requests[message.correlation_id].sent_at)
            )
        return super().on_message(now, message)


class AddsDuplicateAnswers(QuotaLeases):
    """Counts a duplicate answer as another lease."""

    def on_message(self, now: float, message: QuotaLeaseMessage) -> QuotaLeaseMessage | None:
        if not message.is_request and message.correlation_id in self.borrowed_leases:
            owner, units, expires_at = self.borrowed_leases[message.correlation_id]
            self.borrowed_leases[message.correlation_id] = BorrowedLease(
                owner, units + message.units, expires_at
            )
        return super().on_message(now, message)


class CachesUsableUnits(QuotaLeases):
    """Checks the usable units in each round only, and not before each use."""

    last_usable_units = 0

    def wake(self, now: float, reachable: list[int]) -> tuple:
        out = super().wake(now, reachable)
        self.last_usable_units = super().usable_units(now)
        return out

    def usable_units(self, now: float) -> int:
        return self.last_usable_units or super().usable_units(now)


# Fault scenarios


def demand_moves(leases_class: Callable[..., QuotaLeases]) -> QuotaSimulation:
    """Moves demand from some proxies to others."""
    simulation = QuotaSimulation(4, 1, leases_class)
    for few in ((0,), (1, 2), (3,), (0, 1, 2, 3)):
        simulation.demands = [UNITS if me in few else 0 for me in range(4)]
        simulation.run(simulation.now + 8.0)
    return simulation


def owners_restart(
    leases_class: Callable[..., QuotaLeases], simulation_class: type[QuotaSimulation] = QuotaSimulation
) -> QuotaSimulation:
    """Lets one proxy borrow from all others, and restarts those while the leases run."""
    simulation = simulation_class(4, 1, leases_class)
    simulation.demands = [UNITS, 0, 0, 0]
    simulation.run(8.0)
    simulation.demands = [UNITS] * 4
    for me in (1, 2, 3):
        simulation.restart_killed(me)
    simulation.run(20.0)
    return simulation


def answers_are_slow(leases_class: Callable[..., QuotaLeases]) -> QuotaSimulation:
    simulation = QuotaSimulation(3, 1, leases_class)
    simulation.run(4.0)
    for other in (1, 2):
        simulation.extra_link_delay_s[other, 0] = 2.5
    simulation.demands = [UNITS, 0, 0]
    simulation.run(6.8)
    simulation.demands = [UNITS] * 3  # the owners need their units, so the leases are not renewed
    simulation.cut({(0, 1), (0, 2)})
    simulation.run(20.0)
    return simulation


def messages_are_duplicated(leases_class: Callable[..., QuotaLeases]) -> QuotaSimulation:
    simulation = QuotaSimulation(4, 1, leases_class, double=1.0)
    simulation.demands = [UNITS, 0, 0, UNITS]
    simulation.run(30.0)
    return simulation


def borrower_is_stopped(leases_class: Callable[..., QuotaLeases]) -> QuotaSimulation:
    """Stops a proxy that has borrowed until its leases have expired, and resumes it."""
    simulation = QuotaSimulation(4, 1, leases_class)
    simulation.demands = [UNITS, 0, 0, 0]
    simulation.run(8.0)
    simulation.demands = [UNITS] * 4
    simulation.stop(0, 9.0)
    simulation.run(25.0)
    return simulation


def late_duplicates_and_lost_renewals(leases_class: Callable[..., QuotaLeases]) -> QuotaSimulation:
    """Duplicates all messages, delays some by up to 9 s, and loses renewals."""
    simulation = QuotaSimulation(3, 1, leases_class, double=1.0, stuck=0.3)
    simulation.run(4.0)
    for _ in range(12):
        simulation.demands = [UNITS, 0, 0]
        simulation.run(simulation.now + 1.0)
        simulation.cut({(0, 1), (0, 2)}, 6.0)
        simulation.run(simulation.now + 2.0)
        simulation.demands = [UNITS] * 3
        simulation.run(simulation.now + 6.0)
    return simulation


SCENARIOS = [
    demand_moves,
    owners_restart,
    answers_are_slow,
    late_duplicates_and_lost_renewals,
    messages_are_duplicated,
    borrower_is_stopped,
]


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_usable_units_under_each_fault_never_exceed_limit(scenario: Callable) -> None:
    simulation = scenario(QuotaLeases)
    assert simulation.peak_excess_fraction == 0.0
    assert simulation.observations > 300
    assert simulation.peak_units > UNITS // 2


@pytest.mark.parametrize(
    ("leases_class", "scenario"),
    [
        (ForgetsLentLeases, demand_moves),
        (UsesLentUnits, demand_moves),
        (IgnoresFormerIncarnation, owners_restart),
        (CountsLeaseFromAnswer, answers_are_slow),
        (TakesAnyAnswerForRenewal, late_duplicates_and_lost_renewals),
        (AddsDuplicateAnswers, messages_are_duplicated),
        (CachesUsableUnits, borrower_is_stopped),
    ],
)
def test_fault_scenarios_with_planted_defect_find_it(leases_class: type, scenario: Callable) -> None:
    assert scenario(leases_class).peak_excess_fraction > 0.01


@pytest.mark.parametrize(("fleet", "count"), [(3, 8), (8, 8), (24, 3)])
def test_usable_units_under_random_faults_never_exceed_limit(fleet: int, count: int) -> None:
    most = 0
    for seed in range(count):
        simulation = QuotaSimulation(fleet, seed, loss=0.1, double=0.1, stuck=0.1)
        run_random_faults(simulation, 60.0)
        assert simulation.peak_excess_fraction == 0.0, seed
        most = max(most, simulation.peak_units)
    assert most > 0.8 * UNITS  # most of the limit was in use at some time


@hypothesis_settings(max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.integers(0, 2),
            st.sampled_from([0.0, 0.2, 1.0, 3.1]),
            st.sampled_from(["carry", "double", "lose", "later", "restart", "want"]),
        ),
        max_size=60,
    )
)
def test_usable_units_in_any_order_of_messages_never_exceed_limit(steps: list) -> None:
    """Each message between three proxies is delivered, duplicated, lost or delayed as drawn."""
    now, in_transit = 0.0, []
    fleet = [QuotaLeases(0, me, 50 + me, 3, 0.0, LEASE_S, 0.0, Random(me)) for me in range(3)]
    for me, demand, delay_s, action in steps:
        now += delay_s
        if action == "restart":
            incarnation = 100 + round(now * 1000) * 3 + me
            fleet[me] = QuotaLeases(0, me, incarnation, 3, now, LEASE_S, 0.0, Random(incarnation))
        fleet[me].set_demand(demand * UNITS // 2)
        in_transit += fleet[me].wake(now, [0, 1, 2])[0]
        if in_transit and action != "want":
            to, message = in_transit.pop(0) if action != "later" else in_transit[0]
            for _ in range({"lose": 0, "double": 2}.get(action, 1)):
                answer = fleet[to].on_message(now, message)
                if answer is not None:
                    in_transit.append((message.sender, answer))
        assert sum(leases.usable_units(now) for leases in fleet) <= UNITS


@pytest.mark.parametrize(("fleet", "few"), [(8, 1), (8, 2), (24, 2), (200, 4)])
def test_units_follow_demand_within_stated_time_and_return(fleet: int, few: int) -> None:
    simulation = QuotaSimulation(fleet, 1)
    simulation.run(2 * grant_duration(LEASE_S, DRIFT))
    simulation.demands = [UNITS // few if me < few else 0 for me in range(fleet)]
    times = min(
        MAX_BORROWED_LEASES, (fleet - few) / few
    )  # multiple of its own units that each proxy with demand may borrow
    simulation.run(
        simulation.now
        + (times / MAX_LENT_FRACTION) / REQUESTS_PER_ROUND * ROUND_INTERVAL_S * 2.0
        + 2 * ROUND_INTERVAL_S
    )
    own = UNITS // fleet
    mean_units = sum(units for me, units in simulation.usable_units().items() if me < few) / few
    assert mean_units >= 0.9 * own * (1.0 + MAX_LENT_FRACTION * times)
    simulation.demands = [0 if me < few else own for me in range(fleet)]
    simulation.run(simulation.now + LEASE_S / 2.0 + grant_duration(LEASE_S, DRIFT) + ROUND_INTERVAL_S)
    assert min(units for me, units in simulation.usable_units().items() if me >= few) == own
    assert simulation.peak_excess_fraction == 0.0


@pytest.mark.parametrize(("fleet", "few", "most"), [(8, 1, 0.07), (24, 3, 0.06), (24, 24, 0.06)])
def test_rate_units_with_uneven_demand_are_mostly_used(fleet: int, few: int, most: float) -> None:
    """Some proxies have demand for five times the rate, or all of them, unevenly, for 1.2 times the rate."""
    simulation, random_generator = QuotaSimulation(fleet, 1, RateQuotaLeases), Random(2)
    simulation.run(7.0)
    weights = [
        random_generator.paretovariate(1.1) if few == fleet or me < few else 0.0 for me in range(fleet)
    ]
    times = 1.2 if few == fleet else 5.0
    simulation.demands = [int(times * UNITS * weight / sum(weights)) for weight in weights]
    simulation.run(simulation.now + 4.0)
    unused_fractions = []
    for _ in range(40):
        simulation.run(simulation.now + 0.25)
        unused_fractions.append(simulation.unusable_demand_fraction)
    assert sum(unused_fractions) / len(unused_fractions) < most
    assert simulation.peak_excess_fraction == 0.0


def test_rate_units_with_tenth_of_messages_lost_are_mostly_used() -> None:
    """Unanswered requests are resent; otherwise leases would expire because of one lost message."""
    simulation = QuotaSimulation(50, 1, RateQuotaLeases, loss=0.1)
    simulation.run(7.0)
    simulation.demands = [UNITS // 5 if me < 5 else 0 for me in range(50)]
    simulation.run(simulation.now + 3.0)
    unused_fractions = []
    for _ in range(60):
        simulation.run(simulation.now + 0.25)
        unused_fractions.append(simulation.unusable_demand_fraction)
    assert sum(unused_fractions) / len(unused_fractions) < 0.12
    assert simulation.peak_excess_fraction == 0.0


def test_isolated_proxy_has_floor_at_once_and_own_units_after_grant_time() -> None:
    simulation = QuotaSimulation(8, 1)
    simulation.demands = [UNITS, *[0] * 7]
    simulation.run(8.0)
    simulation.demands = [0, *[UNITS] * 7]
    simulation.cut({(a, b) for a in range(8) for b in range(8)})
    assert min(simulation.usable_units().values()) >= int((1.0 - MAX_LENT_FRACTION) * (UNITS // 8))
    simulation.run(simulation.now + grant_duration(LEASE_S, DRIFT) + 0.1)
    assert set(simulation.usable_units().values()) == {UNITS // 8}


def test_owner_with_own_demand_does_not_lend_what_it_needs() -> None:
    simulation = QuotaSimulation(4, 1)
    simulation.run(4.0)
    simulation.demands = [UNITS, UNITS // 4, 0, 0]
    simulation.run(8.0)
    assert simulation.usable_units()[1] >= UNITS // 4 < simulation.usable_units()[0]


def test_lease_in_fleet_of_five_thousand_is_granted() -> None:
    borrower, owner = (QuotaLeases(0, me, 5 + me, 5000, 0.0, LEASE_S, DRIFT, Random(me)) for me in range(2))
    borrower.set_demand(10 * borrower.own_units)
    (_, request), *_ = borrower.wake(5.0, [1])[0]
    before = borrower.usable_units(5.0)
    borrower.on_message(5.1, owner.on_message(5.05, request))
    assert borrower.usable_units(5.1) >= before + 0.7 * owner.own_units
    assert owner.usable_units(5.1) < 0.3 * owner.own_units


def test_answer_to_no_request_or_with_more_than_requested_is_ignored() -> None:
    leases = QuotaLeases(0, 0, 5, 4, 0.0, LEASE_S, DRIFT, Random(1))
    leases.set_demand(UNITS)
    requests, _ = leases.wake(0.0, [1, 2, 3])
    to, request = requests[0]
    before = leases.usable_units(0.0)
    leases.on_message(
        0.1,
        QuotaLeaseMessage(
            False, to, 9, request.correlation_id + 1, 0, MIN_LEASE_UNITS, request.request_number
        ),
    )
    leases.on_message(
        0.1,
        QuotaLeaseMessage(
            False, (to + 1) % 4, 9, request.correlation_id, 0, MIN_LEASE_UNITS, request.request_number
        ),
    )
    leases.on_message(
        0.1,
        QuotaLeaseMessage(
            False, to, 9, request.correlation_id, 0, MIN_LEASE_UNITS, request.request_number + 1
        ),
    )
    assert leases.usable_units(0.1) == before
    leases.on_message(
        0.1,
        QuotaLeaseMessage(False, to, 9, request.correlation_id, 0, request.units * 2, request.request_number),
    )
    assert leases.usable_units(0.1) == before
    assert not leases.borrowed_leases
