"""Outlier consensus: simulations, planted defects, single instances, and a proxy that acts on decisions."""

from random import Random
from typing import Any

import pytest
from helpers import SETTINGS, ProxyHarness, make_request
from hypothesis import given
from hypothesis import strategies as st

from calicofall.config.settings import validate_settings
from calicofall.fleet.outlier_consensus import (
    ANSWER_TIMEOUT_S,
    DECISION_LIFETIME_S,
    HALF_LIFE_S,
    HEALTHY,
    MAX_EJECTED_FRACTION,
    MIN_ASKING_PEERS,
    MIN_VOTES,
    OVERLOADED,
    PEERS_PER_QUERY,
    QUERIES_PER_ROUND,
    REQUERY_AFTER_S,
    ROUND_INTERVAL_S,
    UNDECIDED,
    UNHEALTHY,
    UNITS_PER_REQUEST,
    UNREACHABLE_FROM_ZONE,
    EvidenceMessage,
    OutlierConsensus,
)
from calicofall.proxy.outlier_reports import LARGE_ANSWER_MIN_BYTES
from calicofall.routing.request import Attempt
from calicofall.startup import peer_messages
from calicofall.startup.peer_messages import name_digest
from calicofall.testbed.outlier_simulation import OWN_EJECTION_S, OutlierSimulation

NEVER_MS = 3_600_000


# Planted defects


class VouchesByOldSuccesses(OutlierConsensus):
    """Successes count for health however old they are."""

    def _make_message(self, now: float, asks: bool, mark: int, cache: int) -> EvidenceMessage:
        return super()._make_message(now, asks, mark, cache)._replace(last_success_age_ms=0)


class HasNoEjectionLimit(OutlierConsensus):
    """Ejects as many endpoints as there are decisions."""

    @staticmethod
    def may_eject(listed: int, aside: int) -> bool:
        return True


class TrustsEachPeer(OutlierConsensus):
    """One vote for unhealthy is enough."""

    def _decide(self, now: float, query: Any) -> None:
        super()._decide(now, query)
        if any(badly > well for _, well, badly, *_ in query.replies.values()):
            verdict = self.decisions[query.endpoint]._replace(health=UNHEALTHY)
            self.new_decisions.append((query.endpoint, verdict))


class ReportsFailuresOnly(OutlierConsensus):
    """Says that all requests fail at each endpoint."""

    def _make_message(self, now: float, asks: bool, mark: int, cache: int) -> EvidenceMessage:
        return super()._make_message(now, asks, mark, cache)._replace(successes=0, failures=10_000)


# Simulations


def healthy_avoided_fraction(
    speak: bool, fleet: int = 24, caches: int = 20, rate: float = 0.5, **links: float
) -> float:
    simulation = OutlierSimulation(
        fleet, caches, 1, rate=rate, communicates=speak, false_failure_fraction=0.02, **links
    )
    simulation.run(20.0)
    simulation.healthy_avoided = simulation.observations = 0
    simulation.run(60.0)
    return simulation.healthy_avoided / simulation.observations


def test_healthy_endpoints_suspected_by_one_proxy_are_reinstated() -> None:
    alone, together = healthy_avoided_fraction(False), healthy_avoided_fraction(True)
    assert together < alone / 3.0
    assert healthy_avoided_fraction(True, loss=0.1) < alone / 2.0


def test_healthy_endpoints_with_low_traffic_are_reinstated() -> None:
    assert healthy_avoided_fraction(True, 100, 20, 0.1) < healthy_avoided_fraction(False, 100, 20, 0.1) / 2.0


def sick(
    make: type = OutlierConsensus,
    zones: tuple[int, ...] = (0, 1),
    caches: tuple[int, ...] = (3,),
    **links: float,
) -> OutlierSimulation:
    simulation = OutlierSimulation(24, 20, 1, make, rate=0.5, false_failure_fraction=0.005, **links)
    simulation.run(20.0)
    simulation.unhealthy_zones = {cache: set(zones) for cache in caches}
    return simulation


def test_unhealthy_endpoint_is_avoided_sooner_and_healthy_ones_less() -> None:
    avoided, wrongs = {}, {}
    for speak in (False, True):
        parts, wrongs[speak] = [], 0.0
        for seed in range(3):
            simulation = OutlierSimulation(
                24, 20, seed, rate=0.5, false_failure_fraction=0.005, communicates=speak
            )
            simulation.run(20.0)
            simulation.unhealthy_zones, simulation.healthy_avoided, simulation.observations = (
                {3: {0, 1}},
                0,
                0,
            )
            while simulation.now < 35.0:
                simulation.run(simulation.now + 0.5)
                parts.append(simulation.avoiding_fraction(3))
            wrongs[speak] += simulation.healthy_avoided / simulation.observations
        avoided[speak] = sum(parts) / len(parts)
    assert avoided[True] >= avoided[False]
    assert wrongs[True] < wrongs[False] / 3.0


def test_ejection_without_new_evidence_ends() -> None:
    simulation = sick()
    simulation.run(30.0)
    assert simulation.avoiding_fraction(3) >= 0.9
    simulation.unhealthy_zones.clear()
    simulation.run(30.0 + DECISION_LIFETIME_S + 3.0 * HALF_LIFE_S + REQUERY_AFTER_S + OWN_EJECTION_S)
    assert not any(simulation.now < table.get(3, 0.0) for table in simulation.peer_ejections)


def test_endpoint_unreachable_from_one_zone_is_ejected_there_alone() -> None:
    simulation = sick(zones=(0,))
    simulation.run(23.0)
    before = simulation.healthy_avoided, simulation.observations
    simulation.run(40.0)
    assert simulation.avoiding_fraction(3) >= 0.6
    assert (simulation.healthy_avoided - before[0]) / (simulation.observations - before[1]) < 0.02
    assert not any(3 in simulation.peer_ejections[me] for me in range(1, 24, 2))


def with_lying_member(make: type) -> OutlierSimulation:
    makes = iter([ReportsFailuresOnly, *[make] * 23])
    simulation = OutlierSimulation(
        24, 20, 1, lambda *values: next(makes)(*values), rate=0.5, false_failure_fraction=0.02
    )
    simulation.run(60.0)
    return simulation


def test_lying_member_ejects_no_healthy_endpoint() -> None:
    assert all(not table for table in with_lying_member(OutlierConsensus).peer_ejections[1:])
    assert any(with_lying_member(TrustsEachPeer).peer_ejections[1:])


def test_ejections_on_peer_evidence_stay_within_stated_fraction() -> None:
    many = tuple(range(10))
    for make, most in (
        (OutlierConsensus, max(1, int(MAX_EJECTED_FRACTION * 20)) / 20),
        (HasNoEjectionLimit, 1.0),
    ):
        simulation = sick(make, caches=many)
        simulation.run(35.0)
        assert simulation.peak_ejected_fraction <= most
        assert make is OutlierConsensus or simulation.peak_ejected_fraction > 0.2


def test_endpoint_that_begins_to_fail_is_not_healthy_by_earlier_successes() -> None:
    lifted = {}
    for make in (OutlierConsensus, VouchesByOldSuccesses):
        simulation = sick(make)
        simulation.run(21.5)
        lifted[make] = simulation.avoiding_fraction(3)
    assert lifted[OutlierConsensus] > lifted[VouchesByOldSuccesses] + 0.1


def test_ejections_without_answers_are_as_without_messages() -> None:
    simulation, alone = sick(), sick(communicates=False)
    simulation.loss = 1.0
    simulation.peer_ejections = [{} for _ in simulation.fleet]
    for one in (simulation, alone):
        one.run(40.0)
    assert not any(simulation.peer_ejections)
    assert not any(
        verdict.health != UNDECIDED for one in simulation.fleet for verdict in one.instance.decisions.values()
    )
    assert abs(simulation.avoiding_fraction(3) - alone.avoiding_fraction(3)) < 0.2


def test_queries_are_bounded_and_none_without_suspicion() -> None:
    calm = OutlierSimulation(24, 20, 1, rate=0.5, false_failure_fraction=0.0)
    calm.run(30.0)
    assert calm.sent == 0
    worst = OutlierSimulation(24, 20, 1, rate=0.5, false_failure_fraction=0.3)
    worst.run(30.0)
    asks = sum(one.instance.query_messages_sent for one in worst.fleet) / 24 / 30.0
    assert 0.0 < asks <= QUERIES_PER_ROUND * PEERS_PER_QUERY / (0.9 * ROUND_INTERVAL_S) + 1.0


# Single instances


def querying_proxy(
    own: list[bool] = (), zone: int = 1
) -> tuple[OutlierConsensus, dict[int, EvidenceMessage]]:
    """A proxy that suspects endpoint 9 and has asked; its queries by member."""
    one = OutlierConsensus(0, 5, zone, Random(1))
    one.set_endpoints({9})
    for well in own:
        one.record_result(0.0, 9, well)
    asks, _ = one.wake(0.1, list(range(1, 1 + PEERS_PER_QUERY)), {9})
    return one, dict(asks)


def answer_to(
    ask: EvidenceMessage,
    who: int,
    well: float,
    badly: float,
    zone: int = 1,
    age: int = 0,
    met: float = 0.0,
    even: float = 0.0,
) -> EvidenceMessage:
    return EvidenceMessage(
        False,
        who,
        40 + who,
        ask.correlation_id,
        ask.endpoint,
        zone,
        round(well * UNITS_PER_REQUEST),
        round(badly * UNITS_PER_REQUEST),
        age,
        round(met * UNITS_PER_REQUEST),
        round(even * UNITS_PER_REQUEST),
    )


def decide_by(one: OutlierConsensus, asks: dict[int, EvidenceMessage], answers: list[tuple]) -> str:
    for who, *rest in answers:
        one.on_message(0.2, answer_to(asks[who], who, *rest))
    one.wake(0.1 + ANSWER_TIMEOUT_S + 0.01, [], set())
    return one.decisions[9].health


FAILING, SUCCEEDING = (0.0, 2.0), (2.0, 0.0)


@pytest.mark.parametrize(
    ("own", "answers", "what"),
    [
        ([False], [(who, *FAILING, who % 2) for who in range(1, 6)], UNHEALTHY),
        ([False], [(who, *SUCCEEDING, who % 2) for who in range(1, 6)], HEALTHY),
        (
            [False],
            [
                (1, *FAILING, 1),
                (2, *FAILING, 1),
                (3, *SUCCEEDING, 2),
                (4, *SUCCEEDING, 2),
                (5, *SUCCEEDING, 2),
                (6, *SUCCEEDING, 2),
            ],
            UNREACHABLE_FROM_ZONE,
        ),
        (
            [False],
            [(1, *FAILING, 1), (2, *FAILING, 1), (3, *FAILING, 1), (4, *FAILING, 1), (5, *SUCCEEDING, 2)],
            UNDECIDED,
        ),
        (
            [],
            [(1, *SUCCEEDING, 1), (6, *FAILING, 1), *((who, *FAILING, 2) for who in range(2, 6))],
            UNDECIDED,
        ),
        ([False], [(1, *FAILING), (2, *SUCCEEDING)], UNDECIDED),
        ([], [], UNDECIDED),
        ([], [(who, *FAILING) for who in range(1, MIN_VOTES)], UNDECIDED),
        ([], [(who, *FAILING) for who in range(1, MIN_VOTES + 1)], UNHEALTHY),
        ([False] * 6, [(who, *SUCCEEDING, 1) for who in range(1, 8)], UNDECIDED),
        ([False], [(who, *SUCCEEDING, 1, NEVER_MS) for who in range(1, 8)], UNDECIDED),
        ([False], [(who, 0.1, 0.0) for who in range(1, 8)], UNDECIDED),
    ],
    ids=[
        "all-unhealthy",
        "all-healthy",
        "unhealthy-in-own-zone-healthy-elsewhere",
        "unhealthy-in-own-zone-one-healthy-elsewhere",
        "unhealthy-elsewhere-healthy-in-own-zone",
        "two-members-disagree",
        "no-votes",
        "too-few-votes",
        "just-enough-votes",
        "peers-healthy-but-much-own-failure",
        "successes-before-own-failure",
        "too-little-evidence",
    ],
)
def test_decision_by_votes(own: list, answers: list, what: str) -> None:
    one, asks = querying_proxy(own)
    assert decide_by(one, asks, answers) == what


def overload_answers(ages: list[int], met: float = 4.0, even: float = 1.0) -> list[tuple]:
    """Answers of members to which it is unhealthy and is sent so much; ages of their last successes (ms)."""
    return [(who, *FAILING, who % 2, age, met, even) for who, age in enumerate(ages, 1)]


@pytest.mark.parametrize(
    ("answers", "what"),
    [
        (overload_answers([500, 500, *[NEVER_MS] * 4]), OVERLOADED),
        (overload_answers([NEVER_MS] * 6), UNHEALTHY),
        (overload_answers([500] * 6, met=1.4), UNHEALTHY),
        (
            [*overload_answers([500] * 5, met=1.4), (6, *FAILING, 0, 500, 1000.0, 0.0)],
            UNHEALTHY,
        ),
        ([*overload_answers([500] * 5), (6, *FAILING, 0, 500, 0.0, 1000.0)], OVERLOADED),
    ],
    ids=[
        "high-load-two-of-six-saw-success",
        "answers-nobody",
        "load-little-above-mean",
        "one-overstates-its-load",
        "one-overstates-the-mean-load",
    ],
)
def test_overloaded_endpoint_is_not_unhealthy(answers: list, what: str) -> None:
    one, asks = querying_proxy([False])
    assert decide_by(one, asks, answers) == what
    assert bool(one.take_new_decisions()) is True


def test_mean_load_is_counted_separately_for_large_answers() -> None:
    one = OutlierConsensus(0, 5, 1, Random(1))
    one.set_endpoints({1, 2, 3, 4}, large_answer_ids={3, 4})
    for cache, count in ((1, 6), (2, 2), (3, 1)):
        for _ in range(count):
            one.record_result(0.0, cache, True)
    assert one.recent_load(0.0, 1) == (6.0, 4.0)
    assert one.recent_load(0.0, 3) == (1.0, 0.5)
    assert one.recent_load(0.0, 4) == (0.0, 0.5)
    assert one.recent_load(HALF_LIFE_S, 1) == pytest.approx((3.0, 2.0), abs=1e-3)


def test_member_counts_once_and_only_in_its_query() -> None:
    one, asks = querying_proxy([False])
    for _ in range(5):
        one.on_message(0.2, answer_to(asks[1], 1, *FAILING))
    one.on_message(0.2, answer_to(asks[1], 30, *FAILING))  # was not asked
    one.on_message(0.2, answer_to(asks[1], 2, *FAILING)._replace(correlation_id=asks[1].correlation_id + 1))
    one.on_message(0.2, answer_to(asks[1], 3, *FAILING)._replace(endpoint=8))
    assert decide_by(one, asks, []) == UNDECIDED
    assert one.decisions[9].votes == 2


@given(
    st.permutations(
        [(who, *(FAILING if who % 3 else SUCCEEDING), who % 2) for who in range(1, 1 + PEERS_PER_QUERY)]
    ),
    st.integers(0, 3),
)
def test_decision_with_reordered_or_duplicate_answers_is_equal(answers: list, doubled: int) -> None:
    one, asks = querying_proxy([False])
    first = decide_by(*querying_proxy([False]), sorted(answers))
    assert decide_by(one, asks, [*answers, *answers[:doubled]]) == first


def test_two_failures_in_a_row_void_earlier_successes() -> None:
    one = OutlierConsensus(0, 5, 1, Random(1))
    for well in [True] * 9 + [False]:
        one.record_result(0.0, 9, well)
    assert one.recent_results(0.0, 9) == (9.0, 1.0)
    one.record_result(0.0, 9, False)
    assert one.recent_results(0.0, 9) == (0.0, 2.0)


def test_evidence_decays_and_is_dropped_for_unlisted_endpoints() -> None:
    one = OutlierConsensus(0, 5, 1, Random(1))
    one.set_endpoints({8, 9})
    one.record_result(0.0, 9, False)
    one.record_result(0.0, 8, True)
    assert one.recent_results(HALF_LIFE_S, 9) == pytest.approx((0.0, 0.5), abs=1e-3)
    one.on_message(
        0.0, answer_to(EvidenceMessage(True, 1, 1, 1, 9, 1, 0, 0, 0), 1, *FAILING)._replace(is_query=True)
    )
    one.set_endpoints({8})
    assert not one.peer_queries
    assert set(one.evidence) == {8}
    for cache in range(1000):
        one.on_message(0.0, EvidenceMessage(True, 1, 1, 1, cache, 1, 0, 0, 0))
    assert set(one.peer_queries) == {8}  # whatever one asks about


def test_proxy_asked_by_several_members_queries_itself() -> None:
    one = OutlierConsensus(0, 5, 1, Random(1))
    one.set_endpoints({9})
    for who in range(1, 3):
        answer = one.on_message(0.0, EvidenceMessage(True, who, 40, 7, 9, 1, 0, 16, NEVER_MS))
        assert answer.correlation_id == 7
        assert (answer.successes, answer.failures) == (0, 0)
        asks, _ = one.wake(0.1 * who + who, [1, 2, 3], set())
        assert bool(asks) is (who == MIN_ASKING_PEERS)


def test_evidence_message_survives_encoding() -> None:
    word = EvidenceMessage(True, 1, 2**48, 2**48, 2**48 - 1, 2**48 - 1, 16, 0, NEVER_MS)
    assert peer_messages.decode_message(peer_messages.encode_message("shop", word), "shop", 8) == word


# A proxy


PEERS = [f"10.0.0.{one}:7946" for one in range(1, 10)]


class ReportingHarness(ProxyHarness):
    """One proxy of nine, for which the test answers as the other members."""

    def __init__(self, caches: int = 3, **start: Any) -> None:
        self.start = {
            "fleet": "shop",
            "speak": PEERS[0],
            "peers": PEERS,
            "watchesPerS": 100.0,
            "witnesses": True,
        } | start
        super().__init__(caches)
        self.witnesses, self.said = self.proxy.outliers, []
        self.witnesses.send = lambda peer, word: self.said.append((peer, word))
        self.witnesses.live_members = lambda: list(range(1, 9))
        self.witnesses.wake()  # it knows the list
        self.witnesses.timer.cancel()
        self.loop.advance(0.6)

    def node_file(self, *values: int, **settings: object) -> dict:
        return ProxyHarness.node_file(*values, **settings) | {
            "start": self.start,
            "settings": SETTINGS | {"balancers": 9, "zone": "a"},
        }

    def answer(self, well: float, badly: float, zone: str = "b") -> None:
        """All members that were asked answer so."""
        self.witnesses.timer and self.witnesses.timer.cancel()
        self.witnesses.wake()
        said, self.said = self.said, []
        for peer, word in said:
            self.witnesses.on_message(
                EvidenceMessage(
                    False,
                    peer,
                    40,
                    word.correlation_id,
                    word.endpoint,
                    name_digest(zone),
                    round(well * UNITS_PER_REQUEST),
                    round(badly * UNITS_PER_REQUEST),
                    0,
                )
            )
        self.loop.advance(ANSWER_TIMEOUT_S + 0.05)
        self.witnesses.timer.cancel()
        self.witnesses.wake()

    def part(self, name: str) -> float:
        return min(1.0, self.proxy.router.policy.endpoints.caches[name].current_fraction(self.proxy.now_ms()))


def test_endpoint_ejected_by_one_proxy_alone_is_reinstated(caplog: pytest.LogCaptureFixture) -> None:
    harness = ReportingHarness()
    harness.proxy.router.eject_on_evidence(harness.proxy.now_ms(), "c2")
    harness.witnesses.on_result("c2", make_request("read"), "timeout", 900.0, 0)
    assert harness.part("c2") == 0.125
    harness.loop.advance(0.1)
    with caplog.at_level("INFO", "calicofall"):
        harness.answer(3.0, 0.0)
    assert harness.part("c2") == 1.0
    assert harness.witnesses.reinstated_count == 1
    assert [(r.cache, r.verdict) for r in caplog.records if r.message == "witnesses"] == [("c2", HEALTHY)]
    assert any(line.startswith("verdict.c2:fine sick=1 of=9") for line in harness.witnesses.format_lines())
    assert "verdict.c2" in harness.proxy.handle_call("verdicts")


def test_endpoints_unhealthy_to_peers_are_ejected_up_to_limit() -> None:
    harness = ReportingHarness()
    for name in ("c1", "c2"):
        for who in (5, 6):
            harness.witnesses.on_message(
                EvidenceMessage(True, who, 40, 7, name_digest(name), name_digest("b"), 0, 32, NEVER_MS)
            )
    harness.answer(0.0, 3.0)
    # A tenth of three: at least one.
    assert sorted(round(harness.part(name), 1) for name in ("c1", "c2", "c3")) == [0.1, 1.0, 1.0]
    assert harness.witnesses.ejected_count == 1
    assert harness.witnesses.refused_ejection_count == 1
    aside = min(("c1", "c2"), key=harness.part)
    # Where a time-out is as long as a fetch, the router itself takes the endpoint for fine.
    harness.proxy.router.policy.endpoints.caches[aside].admitted_fraction = 1.0
    harness.witnesses.on_result(aside, make_request("read"), "timeout", 50.0, 0)
    assert harness.part(aside) == 0.125  # our own failure confirms the decision
    harness.loop.advance(DECISION_LIFETIME_S + 20.0)
    harness.witnesses.on_result(aside, make_request("read"), "timeout", 50.0, 0)
    assert harness.part("c1") == harness.part("c2") == 1.0  # decisions by peers expire


def test_endpoint_pinned_by_operator_is_reinstated_and_stays() -> None:
    harness = ReportingHarness()
    for who in (5, 6):
        harness.witnesses.on_message(
            EvidenceMessage(True, who, 40, 7, name_digest("c1"), name_digest("b"), 0, 32, NEVER_MS)
        )
    harness.answer(0.0, 3.0)
    assert harness.part("c1") < 0.2
    pins = harness.proxy.node["settings"] | {"pins": {"caches": ["c1"]}}
    harness.proxy.apply_settings(pins)
    assert harness.part("c1") == 1.0
    harness.witnesses.timer.cancel()
    harness.loop.advance(REQUERY_AFTER_S)
    for who in (5, 6):
        harness.witnesses.on_message(
            EvidenceMessage(True, who, 40, 7, name_digest("c1"), name_digest("b"), 0, 32, NEVER_MS)
        )
    harness.answer(0.0, 3.0)
    assert harness.part("c1") == 1.0
    assert harness.witnesses.consensus.decisions[name_digest("c1")].health == UNHEALTHY
    with pytest.raises(ValueError, match="settings.pins"):
        validate_settings(SETTINGS | {"pins": {"hosts": ["x"]}})
    with pytest.raises(ValueError, match="settings.pins.caches"):
        validate_settings(SETTINGS | {"pins": {"caches": "c1"}})


def test_outcomes_that_tell_nothing_about_health_are_no_evidence() -> None:
    harness = ReportingHarness()
    harness.proxy.router.policy.latency.baselines["read"] = 10.0
    for outcome, took, size in (
        ("full", 1.0, 0),
        ("cancelled", 1.0, 0),
        ("completed", 500.0, LARGE_ANSWER_MIN_BYTES),
    ):
        harness.witnesses.on_result("c1", make_request("read"), outcome, took, size)
    assert not harness.witnesses.consensus.evidence
    harness.witnesses.on_result("c1", make_request("read"), "completed", 39.0, 10)
    harness.witnesses.on_result("c1", make_request("read"), "completed", 41.0, 10)
    assert harness.witnesses.consensus.recent_results(harness.loop.time(), name_digest("c1")) == (1.0, 1.0)


def test_outlier_reports_without_setting_are_off() -> None:
    harness = ReportingHarness.__new__(ReportingHarness)
    harness.start = {"fleet": "shop", "speak": PEERS[0], "peers": PEERS, "watchesPerS": 100.0}
    ProxyHarness.__init__(harness)
    assert harness.proxy.outliers is None
    assert "verdict" not in harness.proxy.handle_call("verdicts")


def decisions_of(harness: ProxyHarness, witnesses: Any) -> list[str | None]:
    """Decisions of the router for the same requests, answers, timeouts and a failing endpoint."""
    router, random_generator, out = harness.proxy.router, Random(4), []
    if harness.proxy.quotas is not None:  # its life is older than what a former one may have lent
        harness.loop.advance(4.0)
        harness.proxy.quotas.refresh()
    began = harness.proxy.now_ms()
    for step in range(400):
        now = began + step * 40.0
        request = make_request("read", random_generator.randrange(30), now, now + 900.0, "acme")
        cache = router.route(now, request)
        out.append(cache)
        if cache is None:
            continue
        ill = cache == "c2" and step > 150 and random_generator.random() < 0.8
        took = 300.0 if ill else random_generator.uniform(2.0, 9.0)
        if witnesses is not None:
            witnesses.on_result(cache, make_request("read"), "timeout" if ill else "completed", took, 10)
            witnesses.timer and witnesses.timer.cancel()
            witnesses.wake()
        out.append(
            router.report_attempt(now + took, request, 0, "timeout" if ill else "completed", took, "hit")
        )
        harness.loop.advance(0.04)
    return out


def test_routing_without_answers_of_peers_is_unchanged() -> None:
    plain, deaf = ReportingHarness.__new__(ReportingHarness), ReportingHarness(lendS=3.0)
    plain.start = {name: value for name, value in deaf.start.items() if name not in ("witnesses", "lendS")}
    ProxyHarness.__init__(plain)
    plain.loop.advance(4.6)
    alone = decisions_of(plain, None)
    assert decisions_of(deaf, deaf.witnesses) == alone
    assert len(set(alone)) > 2
    assert deaf.said
    assert not deaf.witnesses.ejected_on_evidence


class LargeAnswersHarness(ReportingHarness):
    """A proxy that has seen large answers before."""

    def __init__(self) -> None:
        super().__init__()
        self.proxy.router.policy.latency.baselines["read"] = 10.0
        for number_ in range(16):
            self.large("c1", 20.0, key=number_)
        self.loop.advance(3.0)

    def large(self, cache: str, took: float, key: int = 7) -> None:
        self.witnesses.on_result(cache, make_request("read", key), "completed", took, 20_000)


def test_endpoint_slow_for_large_answers_alone_keeps_small_ones() -> None:
    harness = LargeAnswersHarness()
    for _ in range(3):
        harness.large("c2", 400.0)
    evidence = harness.witnesses.consensus.evidence
    assert name_digest("c2") not in evidence
    assert evidence[name_digest("c2\0large")].failures > 2.9
    harness.answer(0.0, 3.0)
    assert harness.part("c2") == 1.0
    assert set(harness.witnesses.slow_for_large) == {"c2"}
    assert "verdict.c2/large:sick" in harness.proxy.handle_call("verdicts")
    # The module is told of large answers as if they had taken the usual time, of others the truth.
    assert harness.witnesses.fair_latency("c2", "read", 400.0, 20_000) == 10.0
    assert harness.witnesses.fair_latency("c2", "read", 400.0, 200) == 400.0
    assert harness.witnesses.fair_latency("c1", "read", 400.0, 20_000) == 400.0
    harness.loop.advance(DECISION_LIFETIME_S + 1.0)
    harness.witnesses.timer.cancel()
    harness.witnesses.wake()
    assert not harness.witnesses.slow_for_large


def test_large_keys_avoid_slow_endpoint_but_for_an_eighth() -> None:
    harness = LargeAnswersHarness()
    harness.witnesses.slow_for_large["c2"] = harness.loop.time() + 60.0
    shunned = 0
    for number_ in range(800):
        request = make_request("read", 7 if number_ % 2 else 9_999)
        request.attempts.append(Attempt("c2", 0.0))
        shuns = harness.witnesses.avoids(request)
        shunned += shuns
        assert not shuns or request.key == 7
    assert 0.8 * 400 < shunned < 0.95 * 400
    # Never where no other cache of the key is there, nor for what is not known to be large, nor twice.
    for name in ("c1", "c3"):
        harness.proxy.router.eject_on_evidence(harness.proxy.now_ms(), name)
    again = make_request("read", 7)
    again.attempts += [Attempt("c2", 0.0)]
    assert not any(harness.witnesses.avoids(again) for _ in range(50))


def test_endpoints_slow_for_large_answers_need_peer_evidence_and_are_limited() -> None:
    harness = LargeAnswersHarness()
    for name in ("c1", "c2", "c3"):
        for _ in range(6):
            harness.large(name, 400.0)
    harness.answer(3.0, 0.0)
    assert not harness.witnesses.slow_for_large
    harness.loop.advance(3.0)
    for name in ("c1", "c2", "c3"):
        harness.large(name, 400.0)
        harness.large(name, 400.0)
    for _ in range(9):  # each is asked about once in 2 s
        harness.answer(0.0, 3.0)
    assert len(harness.witnesses.slow_for_large) == 1
    assert harness.witnesses.refused_ejection_count >= 1


def test_healthy_endpoints_with_half_of_members_isolated_are_avoided_less_than_alone() -> None:
    """Healthy endpoints avoided: without messages, with half of the members isolated, with all."""

    def healthy_avoided_fraction(cut: float) -> float:
        simulation = OutlierSimulation(24, 12, 2, false_failure_fraction=0.02, communicates=cut < 1.0)
        lone = set(range(int(24 * cut)))
        simulation.cut({(a, b) for a in lone for b in range(24)} | {(b, a) for a in lone for b in range(24)})
        simulation.run(40.0)
        return simulation.healthy_avoided / simulation.observations

    alone, half, all_ = (
        healthy_avoided_fraction(1.0),
        healthy_avoided_fraction(0.5),
        healthy_avoided_fraction(0.0),
    )
    assert all_ < half < alone
    assert all_ < 0.5 * alone
