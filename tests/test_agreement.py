"""Configuration agreement: pairs of faults, random walks through faults, and planted defects."""

import os
from collections.abc import Callable
from typing import Any, TypeVar

import pytest

from calicofall.fleet.configuration_agreement import (
    AgreementMessage,
    ConfigurationAgreement,
    LeaseStatus,
    grant_duration,
)
from calicofall.testbed.agreement_simulation import (
    CHECK_INTERVAL_S,
    AgreementSimulation,
    LinkFaults,
    agreement_of,
    run_random_walk,
    run_schedule,
    schedules,
)

# Every SCHEDULE_STRIDE-th schedule is run; 1 runs all of them, which takes some minutes.
SCHEDULE_STRIDE = int(os.environ.get("SCHEDULES", "12"))

Result = TypeVar("Result")
MakeAgreement = type[ConfigurationAgreement]
Scenario = Callable[[MakeAgreement], AgreementSimulation]

# Planted defects


class LeaseCheckedOnEventsOnly(ConfigurationAgreement):
    """Checks the lease in rounds only, not before each send, and so ignores a pause of the process."""

    last_status = LeaseStatus((), False)

    def lease_status(self, now: float) -> LeaseStatus:
        return self.last_status

    def wake(self, now: float) -> tuple[list[tuple[int, AgreementMessage]], float]:
        messages = super().wake(now)
        self.last_status = super().lease_status(now)
        return messages


class AcknowledgementsKeptOverRestart(ConfigurationAgreement):
    """Keeps a peer's acknowledgement after the peer's restart."""

    def on_response(self, now: float, message: AgreementMessage) -> bool:
        peer = self.peers.get(message.sender)
        if peer is not None:
            message = message._replace(
                incarnation=peer.incarnation, highest_held=max(message.highest_held, peer.highest_held)
            )
        return super().on_response(now, message)


class MajorityOfFormerVoters(ConfigurationAgreement):
    """Counts majorities over the voters of the version in effect only."""

    def with_former_voters(self, action: Callable[[], Result]) -> Result:
        held = self.held_versions
        in_effect = held.get(self.effective_version)
        if in_effect is not None:
            self.held_versions = {
                version: document._replace(voters=in_effect.voters) for version, document in held.items()
            }
        try:
            return action()
        finally:
            self.held_versions = {version: held[version] for version in self.held_versions}

    def leased_until(self, now: float) -> float:
        return self.with_former_voters(lambda: super(MajorityOfFormerVoters, self).leased_until(now))

    def _advance(self, now: float) -> None:
        self.with_former_voters(lambda: super(MajorityOfFormerVoters, self)._advance(now))


class NoGrantDuration(ConfigurationAgreement):
    """Brings a version into effect as soon as a majority holds it."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.grant_duration_s = 0.0


class LeaseFromResponse(ConfigurationAgreement):
    """Runs leases from the response instead of the request."""

    def on_response(self, now: float, message: AgreementMessage) -> bool:
        if message.correlation_id in self.requested_at:
            self.requested_at[message.correlation_id] = now
        return super().on_response(now, message)


class ReplayedResponsesAccepted(ConfigurationAgreement):
    """Counts responses that belong to no request."""

    def on_response(self, now: float, message: AgreementMessage) -> bool:
        self.requested_at.setdefault(message.correlation_id, now)
        return super().on_response(now, message)


class MissedVersionIgnored(ConfigurationAgreement):
    """Acts on two versions although it has missed one between them."""

    def lease_status(self, now: float) -> LeaseStatus:
        return LeaseStatus(
            tuple(sorted(self.held_versions)),
            self.effective_version in self.held_versions and now < self.leased_until(now),
        )


# Scenarios, each of which reveals one of the defects


def agreed_simulation(fleet: int, make: MakeAgreement, voters: int | None = None) -> AgreementSimulation:
    """Returns a fleet that has agreed on version 1."""
    simulation = AgreementSimulation(fleet, 1, make=make, voters=voters)
    simulation.run(5.0)
    assert simulation.agreed()
    return simulation


def stopped_past_its_lease(make: MakeAgreement) -> AgreementSimulation:
    """A proxy is stopped for longer than its lease while a version is published."""
    simulation = agreed_simulation(3, make)
    simulation.stop(0, 8.0)
    simulation.run(5.5)
    simulation.publish()
    simulation.run(20.0)
    return simulation


def all_voters_but_one_restarted(make: MakeAgreement, alone: float = 0.9) -> AgreementSimulation:
    """A majority holds version 2; then all voters but one restart, and the source has version 1 again."""
    simulation = agreed_simulation(5, make)
    simulation.isolate(3, "in", 1.5)
    simulation.isolate(4, "in", 1.5)
    simulation.publish()
    simulation.run(5.0 + alone)
    simulation.isolate(0, "both", 5.5 - alone)
    simulation.run(6.0)
    simulation.source = 1
    for member in range(1, 5):
        simulation.restart(member)
    simulation.run(10.4)
    simulation.isolate(3, "both", 6.0)  # has a lease on version 1, granted by voters that lost version 2
    simulation.run(20.0)
    return simulation


def late_responses(make: MakeAgreement) -> AgreementSimulation:
    """Responses reach a proxy late, the last ones just before a version of which it cannot learn."""
    simulation = agreed_simulation(3, make)
    simulation.extra_link_delay_s = {(1, 0): 2.7, (2, 0): 2.7}
    simulation.run(12.0)
    simulation.cut({(-1, 0), (0, -1)})
    simulation.run(12.3)
    simulation.cut({(0, 1), (0, 2)})
    simulation.run(12.5)
    simulation.cut({(1, 0), (2, 0)})
    simulation.publish()
    simulation.run(22.0)
    return simulation


def replayed_responses(make: MakeAgreement) -> AgreementSimulation:
    """An isolated proxy receives old responses again and again."""
    simulation = agreed_simulation(3, make)
    node = simulation.fleet[0]
    replayed = [
        agreement_of(simulation.fleet[peer]).on_request(
            1e9,
            AgreementMessage(
                is_request=True,
                sender=0,
                incarnation=0,
                correlation_id=4711 + peer,
                highest_known=1,
                highest_held=1,
                effective_version=1,
                grants_leases=True,
            ),
        )
        for peer in (1, 2)
    ]
    simulation.isolate(0, "both", 30.0)
    simulation.publish()
    for step in range(200):
        simulation.run(5.0 + step * 0.05)
        for message in replayed:
            agreement_of(node).on_response(node.clock(simulation.now), message)
    return simulation


def missed_version(make: MakeAgreement) -> AgreementSimulation:
    """A proxy receives version 3 without version 2 before it."""
    simulation = agreed_simulation(3, make)
    node = simulation.fleet[0]
    simulation.cut({(-1, 0), (0, -1)})
    simulation.publish()
    simulation.run(11.0)
    simulation.cut({(-1, 1), (1, -1), (-1, 2), (2, -1)})
    simulation.publish()
    agreement_of(node).on_document(node.clock(simulation.now), simulation.documents[3])
    simulation.run(13.0)
    return simulation


def voters_restarted_at_once(make: MakeAgreement) -> AgreementSimulation:
    """A proxy acts on version 2, and the voters that granted its lease restart and grant one on version 1."""
    simulation = agreed_simulation(3, make)
    simulation.isolate(2, "both", 8.2)
    simulation.publish()
    simulation.run(12.5)
    simulation.source = 1
    simulation.cut({(0, 1), (1, 0), (0, 2), (2, 0), (0, -1), (-1, 0)})
    simulation.restart(1)
    simulation.run(20.0)
    return simulation


def isolated_member(make: MakeAgreement) -> AgreementSimulation:
    """A proxy is isolated while a version is published."""
    simulation = agreed_simulation(3, make)
    simulation.isolate(0, "both", 9.0)
    simulation.publish()
    simulation.run(20.0)
    return simulation


def changed_voters(make: MakeAgreement) -> AgreementSimulation:
    """The voters change, and the new ones agree on a third version while links are cut.

    Two of the former voters are cut off, and one of them receives the second version late.
    """
    simulation = agreed_simulation(5, make, voters=3)
    node = simulation.fleet[0]
    simulation.cut({(-1, 0), (0, -1)})
    simulation.publish(voters=frozenset({2, 3, 4}))
    simulation.run(8.6)
    simulation.split({0, 1}, 9.0)
    simulation.cut({(-1, 1), (1, -1)})
    simulation.publish()
    simulation.run(12.0)
    agreement_of(node).on_document(node.clock(simulation.now), simulation.documents[2])
    simulation.run(16.0)
    return simulation


SCENARIOS = (
    stopped_past_its_lease,
    all_voters_but_one_restarted,
    late_responses,
    replayed_responses,
    missed_version,
    voters_restarted_at_once,
    isolated_member,
    changed_voters,
)


def violates_agreement(simulation: AgreementSimulation) -> bool:
    """Returns whether proxies contradicted each other, or one acted on a version alone for too long."""
    return (
        simulation.longest_contradiction_s > 0.0
        or simulation.longest_stale_s > simulation.bound + 2 * CHECK_INTERVAL_S
    )


@pytest.mark.parametrize("alone", [0.5, 0.6, 0.7, 0.8, 0.9, 0.95])
def test_version_in_effect_is_confirmed_again_after_voters_lost_it(alone: float) -> None:
    """A proxy loses its lease on version 2, and renews it with voters that have granted version 1 since."""
    assert not violates_agreement(all_voters_but_one_restarted(ConfigurationAgreement, alone))


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scenario_with_correct_agreement_has_no_contradiction(scenario: Scenario) -> None:
    simulation = scenario(ConfigurationAgreement)

    assert not violates_agreement(simulation)
    assert simulation.checks > 100


@pytest.mark.parametrize(
    ("make", "scenario"),
    [
        (LeaseCheckedOnEventsOnly, stopped_past_its_lease),
        (AcknowledgementsKeptOverRestart, all_voters_but_one_restarted),
        (LeaseFromResponse, late_responses),
        (ReplayedResponsesAccepted, replayed_responses),
        (MissedVersionIgnored, missed_version),
        (NoGrantDuration, isolated_member),
        (MajorityOfFormerVoters, changed_voters),
    ],
)
def test_scenario_with_a_planted_defect_shows_a_violation(make: MakeAgreement, scenario: Scenario) -> None:
    assert violates_agreement(scenario(make))


def test_three_proxies_with_any_two_faults_never_contradict_and_agree_in_the_end() -> None:
    chosen_schedules = schedules()[::SCHEDULE_STRIDE]

    for schedule in chosen_schedules:
        simulation = run_schedule(schedule)
        assert not violates_agreement(simulation), schedule
        assert simulation.agreed(), schedule

    assert len(chosen_schedules) > 300


@pytest.mark.parametrize(
    ("fleet", "seeds"),
    [
        pytest.param(3, range(40), id="3 proxies"),
        pytest.param(5, range(12), id="5 proxies"),
        pytest.param(50, range(1), id="50 proxies"),
    ],
)
def test_random_walk_through_faults_never_contradicts_and_agrees_in_the_end(fleet: int, seeds: range) -> None:
    """Faults are lost, duplicate and late messages, pauses, restarts, cuts, and older source versions."""
    links = LinkFaults(lost=0.1, duplicated=0.1, stuck=0.05)
    for seed in seeds:
        simulation = AgreementSimulation(fleet, seed, voters=min(fleet, 7), links=links)
        run_random_walk(simulation, 30.0 if fleet < 50 else 12.0)
        assert not violates_agreement(simulation), seed
        assert simulation.agreed(), seed


def test_published_version_is_in_effect_soon_and_within_the_bound_when_one_member_is_stopped() -> None:
    simulation = agreed_simulation(7, ConfigurationAgreement)
    simulation.publish()
    simulation.run(6.5)
    assert simulation.agreed()

    simulation.stop(6, 30.0)
    simulation.publish()
    simulation.run(6.5 + 0.8 + simulation.bound + 0.5)

    running = simulation.fleet[:6]
    assert all(simulation.lease_status(node) == ((3,), True) for node in running)


def test_lease_without_the_source_goes_on_with_a_majority_and_ends_with_a_minority() -> None:
    simulation = agreed_simulation(5, ConfigurationAgreement)
    simulation.source_up = False
    simulation.split({0, 1}, 20.0)

    simulation.run(5.0 + simulation.bound + 0.1)

    leased = [simulation.lease_status(node).leased for node in simulation.fleet]
    assert leased == [False, False, True, True, True]
    simulation.run(40.0)
    assert simulation.agreed()


def test_message_rate_while_nothing_changes_does_not_grow_with_the_fleet() -> None:
    def messages_per_second(fleet: int) -> float:
        simulation = agreed_simulation(fleet, ConfigurationAgreement, voters=7)
        before = simulation.sent
        simulation.run(11.0)
        return (simulation.sent - before) / fleet / 6.0

    assert messages_per_second(40) < 1.3 * messages_per_second(10) < 30.0


def test_response_to_no_request_changes_nothing() -> None:
    simulation = agreed_simulation(3, ConfigurationAgreement)
    node = simulation.fleet[0]
    now = node.clock(simulation.now)
    to_unknown_request = AgreementMessage(False, 1, 9, 12345, 1, 1, 1, True)
    from_itself = AgreementMessage(False, 0, 9, agreement_of(node).request_id, 9, 9, 9, True)

    for message in (to_unknown_request, from_itself):
        assert not agreement_of(node).on_response(now, message)

    assert agreement_of(node).lease_status(now) == ((1,), True)
    assert agreement_of(node).highest_known == 1


def test_grant_duration_follows_the_formula() -> None:
    assert grant_duration(3.0, 0.0) == 3.0
    assert grant_duration(3.0, 0.01) == pytest.approx(3.0603)
