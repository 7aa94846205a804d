"""Membership: simulated fleets with faults, planted defects that are detected, and single instances."""

from collections.abc import Callable
from math import log2
from random import Random

import pytest
from helpers import FakeDatagramTransport, FakeEventLoop

from calicofall.fleet.membership import (
    INDIRECT_PROBERS,
    MAX_RELAYED_PROBES,
    MIN_FAILED_ROUNDS,
    PROBE_LIFETIME_S,
    ROUND_INTERVAL_S,
    SUSPECTS_PER_ROUND,
    SUSPICION_TIMEOUT_S,
    SUSPICIONS_PER_MESSAGE,
    Membership,
    MembershipProbe,
    ProbeKind,
)
from calicofall.proxy.gossip_transport import GossipTransport
from calicofall.startup import peer_messages
from calicofall.startup.contention import ContentionEstimate
from calicofall.testbed.membership_simulation import MembershipSimulation

NO_MEMBERS: frozenset[int] = frozenset()


# Planted defects


class TrustsPeerSuspicions(Membership):
    """Declares a member away because of a peer's suspicion."""

    def _on_suspicion(self, now: float, member: int, incarnation: int, suspected_by: int) -> None:
        super()._on_suspicion(now, member, incarnation, suspected_by)
        if member in self.peers and incarnation == self.peers[member].incarnation:
            self.peers[member].away_since = now


class CountsLateRounds(Membership):
    """Counts rounds that end late."""

    def _end_round(self, now: float) -> None:
        self.next_round_at = now
        super()._end_round(now)


class IgnoresOwnIsolation(Membership):
    """Declares others away while this proxy itself is isolated."""

    def is_isolated(self, now: float) -> bool:
        return False


class MixesIncarnations(Membership):
    """Applies suspicions of a former incarnation to the present one."""

    def _record_answer(self, member: int, incarnation: int, sent_at: float, via: int | None) -> None:
        peer = self.peers[member]
        if peer.incarnation and incarnation != peer.incarnation:
            incarnation = peer.incarnation
        if peer.away_since is None:
            super()._record_answer(member, incarnation, sent_at, via)


class NeverProbesIndirectly(Membership):
    """Never asks other members to probe."""

    def wake(self, now: float) -> tuple:
        self.indirect_probes_at = float("inf")
        return super().wake(now)


class SuspectsAllMembers(Membership):
    """Reports suspicions of all members."""

    def _message(
        self, kind: int, correlation_id: int, subject: int, subject_incarnation: int = 0
    ) -> MembershipProbe:
        message = super()._message(kind, correlation_id, subject, subject_incarnation)
        suspicions = [
            (member, peer.incarnation, self.proxy_number)
            for member, peer in self.peers.items()
            if peer.incarnation
        ]
        sampled = self.random_generator.sample(suspicions, min(4, len(suspicions)))
        return message._replace(suspicions=tuple(number for suspicion in sampled for number in suspicion))


# Fault scenarios


def connected_simulation(
    fleet: int, membership_class: type = Membership, **links: float
) -> MembershipSimulation:
    """Returns a simulation in which all members have probed each other."""
    simulation = MembershipSimulation(fleet, 1, membership_class, **links)
    simulation.run(2.0 * fleet * ROUND_INTERVAL_S + 5.0)
    return simulation


def one_is_stopped_repeatedly(membership_class: type) -> MembershipSimulation:
    """Stops one node four times for seven seconds, so that it reads its answers late."""
    simulation = connected_simulation(8, membership_class)
    for _ in range(4):
        simulation.stop(0, 7.0)
        simulation.run(simulation.now + 7.9)
    simulation.fleet = simulation.fleet[:1]  # its own view alone
    return simulation


def one_is_isolated(membership_class: type) -> MembershipSimulation:
    simulation = connected_simulation(8, membership_class)
    simulation.isolate(0, "both", 20.0)
    simulation.run(simulation.now + 20.0)
    simulation.fleet = simulation.fleet[:1]  # its own view alone
    return simulation


def one_link_is_cut(membership_class: type) -> MembershipSimulation:
    simulation = connected_simulation(8, membership_class)
    simulation.cut({(0, 1), (1, 0)})
    simulation.run(simulation.now + 30.0)
    return simulation


def one_suspects_all_members(membership_class: type) -> MembershipSimulation:
    classes = iter([SuspectsAllMembers, *[membership_class] * 7])
    simulation = connected_simulation(8, lambda *values: next(classes)(*values))
    simulation.run(simulation.now + 30.0)
    return simulation


def some_restart(membership_class: type) -> MembershipSimulation:
    simulation = connected_simulation(8, membership_class)
    for member in (1, 2, 3):
        simulation.kill({member})
        simulation.run(simulation.now + 15.0)
        simulation.restart_killed(member)
        simulation.run(simulation.now + 20.0)
    return simulation


SCENARIOS = [
    one_is_stopped_repeatedly,
    one_is_isolated,
    one_link_is_cut,
    one_suspects_all_members,
    some_restart,
]


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_members_under_each_fault_that_run_are_never_away(
    scenario: Callable[[type], MembershipSimulation],
) -> None:
    assert set(scenario(Membership).away_views()) == {NO_MEMBERS}


@pytest.mark.parametrize(
    ("membership_class", "scenario"),
    [
        (IgnoresOwnIsolation, one_is_isolated),
        (NeverProbesIndirectly, one_link_is_cut),
        (TrustsPeerSuspicions, one_suspects_all_members),
        (MixesIncarnations, some_restart),
    ],
)
def test_fault_scenarios_with_planted_defect_find_it(
    membership_class: type, scenario: Callable[[type], MembershipSimulation]
) -> None:
    assert set(scenario(membership_class).away_views()) != {NO_MEMBERS}


@pytest.mark.parametrize(
    ("fleet", "dead", "loss"), [(3, 1, 0.0), (8, 1, 0.0), (50, 1, 0.0), (50, 12, 0.0), (50, 1, 0.1)]
)
def test_failed_members_are_away_to_all_within_stated_time(fleet: int, dead: int, loss: float) -> None:
    simulation = connected_simulation(fleet, loss=loss)
    failed = frozenset(range(1, 1 + dead))
    simulation.kill(failed)
    # Twice the average time until the first probe without loss, plus the round at whose end it counts.
    bound = (
        ROUND_INTERVAL_S * (2 * 2.6 + log2(fleet) + 1 + MIN_FAILED_ROUNDS * -(-dead // SUSPECTS_PER_ROUND))
        + SUSPICION_TIMEOUT_S
    )
    elapsed_s = simulation.time_until_views_equal(failed, 60.0)
    assert elapsed_s is not None
    assert SUSPICION_TIMEOUT_S < elapsed_s <= bound * (1.0 if not loss else 2.0)
    for member in sorted(failed):
        simulation.restart_killed(member)
    assert simulation.time_until_views_equal(NO_MEMBERS, 2.0 * fleet * ROUND_INTERVAL_S) is not None


def test_messages_per_proxy_in_larger_fleets_do_not_grow() -> None:
    messages_per_proxy_s = {}
    for fleet in (10, 40, 160):
        simulation = connected_simulation(fleet)
        before, since = simulation.sent, simulation.now
        simulation.run(since + 10.0)
        messages_per_proxy_s[fleet] = (simulation.sent - before) / 10.0 / fleet
    assert (
        max(messages_per_proxy_s.values()) <= 1.2 * min(messages_per_proxy_s.values()) <= 3.0
    )  # one probe and one answer every 0.95 s


def test_suspicions_with_tenth_of_messages_lost_do_not_multiply() -> None:
    """Each suspicion causes probes by other members; a lost probe must not cause more than one suspicion."""
    simulation = MembershipSimulation(200, 1, loss=0.1)
    simulation.run(30.0)
    before = simulation.sent
    simulation.run(45.0)
    assert (simulation.sent - before) / 15.0 / 200 <= 16.0
    assert set(simulation.away_views()) == {NO_MEMBERS}


def test_membership_after_random_faults_converges_to_truth() -> None:
    for seed in range(6):
        simulation = MembershipSimulation(10, seed, loss=0.05, double=0.1, stuck=0.05)
        simulation.run(20.0)
        random_generator = Random(seed)
        while simulation.now < 60.0:
            simulation.run(simulation.now + random_generator.uniform(0.2, 2.0))
            fault, member = random_generator.randrange(5), random_generator.randrange(10)
            if fault == 0:
                simulation.stop(member, random_generator.uniform(0.5, 9.0))
            elif fault == 1 and member not in simulation.dead:
                simulation.kill({member})
            elif fault == 2 and simulation.dead:
                simulation.restart_killed(min(simulation.dead))
            elif fault == 3:
                simulation.isolate(
                    member, random_generator.choice(["in", "out", "both"]), random_generator.uniform(1.0, 9.0)
                )
            elif fault == 4:
                simulation.split(
                    set(random_generator.sample(range(10), 5)), random_generator.uniform(1.0, 9.0)
                )
        simulation.run(simulation.now + 10.0)
        assert simulation.time_until_views_equal(frozenset(simulation.dead), 40.0) is not None, seed


# A single instance


def new_membership(fleet: int = 4) -> Membership:
    return Membership(0, 77, frozenset(range(fleet)), 0.0, Random(1))


def deliver_answer(
    membership: Membership, probe: MembershipProbe, responder: int, incarnation: int, now: float
) -> None:
    membership.on_message(
        now,
        MembershipProbe(
            ProbeKind.PROBE_ANSWER, responder, incarnation, probe.correlation_id, responder, 0, ()
        ),
    )


def test_answer_to_own_probe_counts_once_and_others_are_ignored() -> None:
    membership = new_membership()
    ((to, probe),) = membership.wake(0.0)[0]
    assert (
        membership.on_message(
            0.1, MembershipProbe(ProbeKind.PROBE_ANSWER, to, 5, probe.correlation_id + 1, to, 0, ())
        )
        == []
    )
    assert membership.state(to) == "unmet"
    other = next(member for member in (1, 2, 3) if member != to)
    deliver_answer(membership, probe, other, 5, 0.1)
    assert membership.state(other) == "unmet"  # this member was not probed
    deliver_answer(membership, probe, to, 5, 0.2)
    assert membership.state(to) == "here"
    assert membership.peers[to].incarnation == 5
    deliver_answer(membership, probe, to, 6, 0.3)  # a duplicate, by another incarnation
    assert membership.peers[to].incarnation == 5


@pytest.mark.parametrize(("membership_class", "suspects"), [(Membership, False), (CountsLateRounds, True)])
def test_round_that_ends_late_causes_no_suspicion(membership_class: type, suspects: bool) -> None:
    """A proxy that was stopped runs its timers before it reads the answers in its socket."""
    membership = membership_class(0, 77, frozenset(range(4)), 0.0, Random(1))
    ((to, _),) = membership.wake(0.0)[0]
    membership.wake(membership.next_round_at + 2.0)
    assert (membership.peers[to].suspected_since is not None) is suspects


def test_late_answer_of_former_incarnation_is_ignored() -> None:
    membership = new_membership(2)
    ((_, first),) = membership.wake(0.0)[0]
    ((_, second),) = membership.wake(membership.next_round_at)[0]
    deliver_answer(membership, second, 1, 6, 1.1)
    deliver_answer(membership, first, 1, 5, 1.2)
    assert membership.peers[1].incarnation == 6


def test_suspicion_of_former_incarnation_is_ignored_and_of_unknown_one_causes_probe() -> None:
    membership = new_membership()
    (
        membership.peers[1].incarnation,
        membership.peers[1].former_incarnations,
        membership.peers[1].last_answered_at,
    ) = 9, [8], 0.0
    membership.on_message(0.1, MembershipProbe(ProbeKind.PROBE, 2, 5, 1, 2, 0, (1, 8, 2)))
    assert 1 not in membership.probe_queue
    assert not membership.peers[1].suspecting_peers
    membership.on_message(0.1, MembershipProbe(ProbeKind.PROBE, 2, 5, 1, 2, 0, (1, 10, 2)))
    assert 1 in membership.probe_queue
    assert not membership.peers[1].suspecting_peers


def test_proxy_that_is_no_member_is_neither_probed_nor_answered() -> None:
    membership = new_membership()
    membership.set_members(frozenset({0, 1}))
    assert membership.on_message(0.1, MembershipProbe(ProbeKind.PROBE, 3, 5, 1, 3, 0, (1, 0, 3))) == []
    probed = {to for at in range(8) for to, _ in membership.wake(float(at))[0]}
    assert probed == {1}
    assert membership.state(3) == "no member"
    membership.set_members(frozenset({0, 1, 3}))
    assert membership.state(3) == "unmet"


def test_indirect_probes_are_relayed_bounded_and_expire() -> None:
    membership = new_membership(6)
    messages = []
    for correlation_id in range(MAX_RELAYED_PROBES + 5):
        messages += membership.on_message(
            0.0, MembershipProbe(ProbeKind.INDIRECT_PROBE, 1, 5, correlation_id, 2, 0, ())
        )
    assert len(messages) == MAX_RELAYED_PROBES
    assert all(to == 2 and message.kind == ProbeKind.PROBE for to, message in messages)
    ((receiver, answer),) = membership.on_message(
        0.1, MembershipProbe(ProbeKind.PROBE_ANSWER, 2, 6, messages[0][1].correlation_id, 2, 0, ())
    )
    assert (receiver, answer.kind, answer.subject, answer.subject_incarnation, answer.correlation_id) == (
        1,
        ProbeKind.INDIRECT_ANSWER,
        2,
        6,
        0,
    )
    membership.wake(0.0)
    membership.wake(PROBE_LIFETIME_S + 1.0)
    assert not membership.relayed_probes


def test_probes_in_a_round_with_all_suspected_stay_within_stated_number() -> None:
    membership = new_membership(50)
    for member in range(1, 50):
        membership.peers[member].incarnation = member
        membership.probe_queue[member] = None
    probes, at = membership.wake(0.0)
    assert len(probes) <= 1 + SUSPECTS_PER_ROUND
    indirect_probes, _ = membership.wake(at)
    assert len(indirect_probes) <= INDIRECT_PROBERS * (1 + SUSPECTS_PER_ROUND)


def test_probe_survives_encoding_and_invalid_one_is_dropped() -> None:
    message = MembershipProbe(ProbeKind.PROBE, 1, 2, 3, 1, 0, (4, 5, 6))
    assert peer_messages.decode_message(peer_messages.encode_message("shop", message), "shop", 8) == message
    for invalid in (("x",), (-1,), tuple(range(40)), (1.5,), "abc"):
        with pytest.raises(peer_messages.InvalidMessageError):
            peer_messages.decode_message(
                peer_messages.encode_message("shop", message._replace(suspicions=invalid)), "shop", 8
            )
    largest = MembershipProbe(3, 999, 2**48, 2**48, 999, 2**48, (999, 2**48, 999) * SUSPICIONS_PER_MESSAGE)
    assert len(peer_messages.encode_message("f" * 60, largest)) <= peer_messages.MAX_DATAGRAM_BYTES


def test_gossip_transport_answers_probes_and_logs_members_away(caplog: pytest.LogCaptureFixture) -> None:
    loop = FakeEventLoop()
    gossip = GossipTransport(
        loop, ContentionEstimate(0, 3, 10.0, Random(1)), "shop", 77, [("10.0.0.1", 1)] * 3, lambda: True
    )
    gossip.connection_made(transport := FakeDatagramTransport())
    transport.sent.clear()
    gossip.datagram_received(
        peer_messages.encode_message("shop", MembershipProbe(ProbeKind.PROBE, 1, 5, 33, 1, 0, ())), ("x", 1)
    )
    answer = peer_messages.decode_message(transport.sent[0], "shop", 3)
    assert (answer.kind, answer.correlation_id, answer.sender, answer.incarnation) == (
        ProbeKind.PROBE_ANSWER,
        33,
        0,
        77,
    )
    with caplog.at_level("INFO", "calicofall"):
        for _ in range(20):  # member 1 answers, member 2 never does
            transport.sent.clear()
            loop.advance(0.5)
            for message in [peer_messages.decode_message(data, "shop", 3) for data in transport.sent]:
                if isinstance(message, MembershipProbe) and message.kind == ProbeKind.PROBE:
                    outstanding = gossip.membership.outstanding_probes
                    if message.correlation_id in outstanding and outstanding[message.correlation_id][0] == 1:
                        answer = MembershipProbe(
                            ProbeKind.PROBE_ANSWER, 1, 5, message.correlation_id, 1, 0, ()
                        )
                        gossip.datagram_received(peer_messages.encode_message("shop", answer), ("x", 1))
    assert [record.who for record in caplog.records if record.message == "members away"] == ["2"]
    lines = gossip.membership.format_lines(loop.time())
    assert any(line.startswith("member.2:away life=000000000000") for line in lines)
    assert gossip.list_freshness.begin_round(loop.time(), gossip.membership.away_members())[0] == [1]
