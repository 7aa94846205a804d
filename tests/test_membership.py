"""Membership: simulated fleets with faults, planted defects that are found, and single instances."""

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
    """A peer's suspicion makes a member away."""

    def _on_suspicion(self, now: float, member: int, incarnation: int, suspected_by: int) -> None:
        super()._on_suspicion(now, member, incarnation, suspected_by)
        if member in self.peers and incarnation == self.peers[member].incarnation:
            self.peers[member].away_since = now


class BlamesOthersWhenLate(Membership):
    """A round that ends late counts."""

    def _end_round(self, now: float) -> None:
        self.next_round_at = now
        super()._end_round(now)


class BlamesOthersWhenIsolated(Membership):
    """Suspects others while it is isolated itself."""

    def is_isolated(self, now: float) -> bool:
        return False


class ConfusesIncarnations(Membership):
    """Holds against an incarnation what was said of a former one."""

    def _record_answer(self, member: int, incarnation: int, asked: float, by: int | None) -> None:
        peer = self.peers[member]
        if peer.incarnation and incarnation != peer.incarnation:
            incarnation = peer.incarnation
        if peer.away_since is None:
            super()._record_answer(member, incarnation, asked, by)


class NeverProbesIndirectly(Membership):
    """Never asks others to probe."""

    def wake(self, now: float) -> tuple:
        self.indirect_probes_at = float("inf")
        return super().wake(now)


class SuspectsEverybody(Membership):
    """Tells others that it suspects everybody."""

    def _message(self, what: int, mark: int, about: int, its: int = 0) -> MembershipProbe:
        word = super()._message(what, mark, about, its)
        suspicions = [
            (member, peer.incarnation, self.own_id) for member, peer in self.peers.items() if peer.incarnation
        ]
        told = self.rng.sample(suspicions, min(4, len(suspicions)))
        return word._replace(suspicions=tuple(number for suspicion in told for number in suspicion))


# Fault scenarios


def connected_simulation(
    fleet: int, membership_class: type = Membership, **links: float
) -> MembershipSimulation:
    """A simulation in which all members have probed each other."""
    simulation = MembershipSimulation(fleet, 1, membership_class, **links)
    simulation.run(2.0 * fleet * ROUND_INTERVAL_S + 5.0)
    return simulation


def one_is_stopped_repeatedly(membership_class: type) -> MembershipSimulation:
    """One node is stopped for long, four times, and reads its answers late."""
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


def one_suspects_everybody(membership_class: type) -> MembershipSimulation:
    makes = iter([SuspectsEverybody, *[membership_class] * 7])
    simulation = connected_simulation(8, lambda *values: next(makes)(*values))
    simulation.run(simulation.now + 30.0)
    return simulation


def some_restart(membership_class: type) -> MembershipSimulation:
    simulation = connected_simulation(8, membership_class)
    for me in (1, 2, 3):
        simulation.kill({me})
        simulation.run(simulation.now + 15.0)
        simulation.restart_killed(me)
        simulation.run(simulation.now + 20.0)
    return simulation


SCENARIOS = [
    one_is_stopped_repeatedly,
    one_is_isolated,
    one_link_is_cut,
    one_suspects_everybody,
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
        (BlamesOthersWhenIsolated, one_is_isolated),
        (NeverProbesIndirectly, one_link_is_cut),
        (TrustsPeerSuspicions, one_suspects_everybody),
        (ConfusesIncarnations, some_restart),
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
    lost = frozenset(range(1, 1 + dead))
    simulation.kill(lost)
    # Twice the average time until the first probe, and a round at the end of which it counts; no loss.
    bound = (
        ROUND_INTERVAL_S * (2 * 2.6 + log2(fleet) + 1 + MIN_FAILED_ROUNDS * -(-dead // SUSPECTS_PER_ROUND))
        + SUSPICION_TIMEOUT_S
    )
    took = simulation.time_until_views_equal(lost, 60.0)
    assert took is not None
    assert SUSPICION_TIMEOUT_S < took <= bound * (1.0 if not loss else 2.0)
    for me in sorted(lost):
        simulation.restart_killed(me)
    assert simulation.time_until_views_equal(NO_MEMBERS, 2.0 * fleet * ROUND_INTERVAL_S) is not None


def test_messages_per_proxy_in_larger_fleets_do_not_grow() -> None:
    said = {}
    for fleet in (10, 40, 160):
        simulation = connected_simulation(fleet)
        before, since = simulation.sent, simulation.now
        simulation.run(since + 10.0)
        said[fleet] = (simulation.sent - before) / 10.0 / fleet
    assert max(said.values()) <= 1.2 * min(said.values()) <= 3.0  # a probe and an answer every 0.95 s


def test_suspicions_with_tenth_of_messages_lost_do_not_multiply() -> None:
    """Each suspicion makes others probe; a probe that is lost must not raise more than one suspicion."""
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
            what, me = random_generator.randrange(5), random_generator.randrange(10)
            if what == 0:
                simulation.stop(me, random_generator.uniform(0.5, 9.0))
            elif what == 1 and me not in simulation.dead:
                simulation.kill({me})
            elif what == 2 and simulation.dead:
                simulation.restart_killed(min(simulation.dead))
            elif what == 3:
                simulation.isolate(
                    me, random_generator.choice(["in", "out", "both"]), random_generator.uniform(1.0, 9.0)
                )
            elif what == 4:
                simulation.split(
                    set(random_generator.sample(range(10), 5)), random_generator.uniform(1.0, 9.0)
                )
        simulation.run(simulation.now + 10.0)
        assert simulation.time_until_views_equal(frozenset(simulation.dead), 40.0) is not None, seed


# A single instance


def new_membership(fleet: int = 4) -> Membership:
    return Membership(0, 77, frozenset(range(fleet)), 0.0, Random(1))


def deliver_answer(member: Membership, ask: MembershipProbe, of: int, incarnation: int, now: float) -> None:
    member.on_message(
        now, MembershipProbe(ProbeKind.PROBE_ANSWER, of, incarnation, ask.correlation_id, of, 0, ())
    )


def test_answer_to_own_probe_counts_once_and_others_are_ignored() -> None:
    me = new_membership()
    ((to, ask),) = me.wake(0.0)[0]
    assert (
        me.on_message(0.1, MembershipProbe(ProbeKind.PROBE_ANSWER, to, 5, ask.correlation_id + 1, to, 0, ()))
        == []
    )
    assert me.state(to) == "unmet"
    other = next(member for member in (1, 2, 3) if member != to)
    deliver_answer(me, ask, other, 5, 0.1)
    assert me.state(other) == "unmet"  # it was not probed
    deliver_answer(me, ask, to, 5, 0.2)
    assert me.state(to) == "here"
    assert me.peers[to].incarnation == 5
    deliver_answer(me, ask, to, 6, 0.3)  # a duplicate, by another incarnation
    assert me.peers[to].incarnation == 5


@pytest.mark.parametrize(
    ("membership_class", "suspects"), [(Membership, False), (BlamesOthersWhenLate, True)]
)
def test_round_that_ends_late_suspects_nobody(membership_class: type, suspects: bool) -> None:
    """A proxy that was stopped runs its timers before it has read the answers in its socket."""
    me = membership_class(0, 77, frozenset(range(4)), 0.0, Random(1))
    ((to, _),) = me.wake(0.0)[0]
    me.wake(me.next_round_at + 2.0)
    assert (me.peers[to].suspected_since is not None) is suspects


def test_late_answer_of_former_incarnation_is_ignored() -> None:
    me = new_membership(2)
    ((_, first),) = me.wake(0.0)[0]
    ((_, second),) = me.wake(me.next_round_at)[0]
    deliver_answer(me, second, 1, 6, 1.1)
    deliver_answer(me, first, 1, 5, 1.2)
    assert me.peers[1].incarnation == 6


def test_suspicion_of_former_incarnation_is_ignored_and_of_unknown_one_causes_probe() -> None:
    me = new_membership()
    me.peers[1].incarnation, me.peers[1].former_incarnations, me.peers[1].last_answered_at = 9, [8], 0.0
    me.on_message(0.1, MembershipProbe(ProbeKind.PROBE, 2, 5, 1, 2, 0, (1, 8, 2)))
    assert 1 not in me.probe_queue
    assert not me.peers[1].suspecting_peers
    me.on_message(0.1, MembershipProbe(ProbeKind.PROBE, 2, 5, 1, 2, 0, (1, 10, 2)))
    assert 1 in me.probe_queue
    assert not me.peers[1].suspecting_peers


def test_proxy_that_is_no_member_is_neither_probed_nor_heard() -> None:
    me = new_membership()
    me.set_members(frozenset({0, 1}))
    assert me.on_message(0.1, MembershipProbe(ProbeKind.PROBE, 3, 5, 1, 3, 0, (1, 0, 3))) == []
    asked = {to for at in range(8) for to, _ in me.wake(float(at))[0]}
    assert asked == {1}
    assert me.state(3) == "no member"
    me.set_members(frozenset({0, 1, 3}))
    assert me.state(3) == "unmet"


def test_indirect_probes_are_relayed_bounded_and_expire() -> None:
    me = new_membership(6)
    out = []
    for mark in range(MAX_RELAYED_PROBES + 5):
        out += me.on_message(0.0, MembershipProbe(ProbeKind.INDIRECT_PROBE, 1, 5, mark, 2, 0, ()))
    assert len(out) == MAX_RELAYED_PROBES
    assert all(to == 2 and word.kind == ProbeKind.PROBE for to, word in out)
    ((whom, told),) = me.on_message(
        0.1, MembershipProbe(ProbeKind.PROBE_ANSWER, 2, 6, out[0][1].correlation_id, 2, 0, ())
    )
    assert (whom, told.kind, told.subject, told.subject_incarnation, told.correlation_id) == (
        1,
        ProbeKind.INDIRECT_ANSWER,
        2,
        6,
        0,
    )
    me.wake(0.0)
    me.wake(PROBE_LIFETIME_S + 1.0)
    assert not me.relayed_probes


def test_probes_in_a_round_with_all_suspected_stay_within_stated_number() -> None:
    me = new_membership(50)
    for member in range(1, 50):
        me.peers[member].incarnation = member
        me.probe_queue[member] = None
    asks, at = me.wake(0.0)
    assert len(asks) <= 1 + SUSPECTS_PER_ROUND
    helps, _ = me.wake(at)
    assert len(helps) <= INDIRECT_PROBERS * (1 + SUSPECTS_PER_ROUND)


def test_probe_survives_encoding_and_invalid_one_is_dropped() -> None:
    word = MembershipProbe(ProbeKind.PROBE, 1, 2, 3, 1, 0, (4, 5, 6))
    assert peer_messages.decode_message(peer_messages.encode_message("shop", word), "shop", 8) == word
    for wrong in (("x",), (-1,), tuple(range(40)), (1.5,), "abc"):
        with pytest.raises(peer_messages.InvalidMessageError):
            peer_messages.decode_message(
                peer_messages.encode_message("shop", word._replace(suspicions=wrong)), "shop", 8
            )
    largest = MembershipProbe(3, 999, 2**48, 2**48, 999, 2**48, (999, 2**48, 999) * SUSPICIONS_PER_MESSAGE)
    assert len(peer_messages.encode_message("f" * 60, largest)) <= peer_messages.MAX_DATAGRAM_BYTES


def test_gossip_transport_answers_probes_and_logs_members_away(caplog: pytest.LogCaptureFixture) -> None:
    loop = FakeEventLoop()
    peers = GossipTransport(
        loop, ContentionEstimate(0, 3, 10.0, Random(1)), "shop", 77, [("10.0.0.1", 1)] * 3, lambda: True
    )
    peers.connection_made(air := FakeDatagramTransport())
    air.sent.clear()
    peers.datagram_received(
        peer_messages.encode_message("shop", MembershipProbe(ProbeKind.PROBE, 1, 5, 33, 1, 0, ())), ("x", 1)
    )
    answer = peer_messages.decode_message(air.sent[0], "shop", 3)
    assert (answer.kind, answer.correlation_id, answer.sender, answer.incarnation) == (
        ProbeKind.PROBE_ANSWER,
        33,
        0,
        77,
    )
    with caplog.at_level("INFO", "calicofall"):
        for _ in range(20):  # member 1 answers, member 2 never does
            air.sent.clear()
            loop.advance(0.5)
            for word in [peer_messages.decode_message(data, "shop", 3) for data in air.sent]:
                if isinstance(word, MembershipProbe) and word.kind == ProbeKind.PROBE:
                    marks = peers.membership.outstanding_probes
                    if word.correlation_id in marks and marks[word.correlation_id][0] == 1:
                        back = MembershipProbe(ProbeKind.PROBE_ANSWER, 1, 5, word.correlation_id, 1, 0, ())
                        peers.datagram_received(peer_messages.encode_message("shop", back), ("x", 1))
    assert [record.who for record in caplog.records if record.message == "members away"] == ["2"]
    lines = peers.membership.format_lines(loop.time())
    assert any(line.startswith("member.2:away life=000000000000") for line in lines)
    assert peers.list_freshness.begin_round(loop.time(), peers.membership.away_members())[0] == [1]
