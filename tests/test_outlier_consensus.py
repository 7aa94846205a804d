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


class ReportsOldSuccessesAsRecent(OutlierConsensus):
    """Reports successes as recent however old they are."""

    def _make_message(
        self, now: float, is_query: bool, correlation_id: int, endpoint: int
    ) -> EvidenceMessage:
        return super()._make_message(now, is_query, correlation_id, endpoint)._replace(last_success_age_ms=0)


class HasNoEjectionLimit(OutlierConsensus):
    """Sets no limit on ejected endpoints."""

    @staticmethod
    def may_eject(listed: int, ejected: int) -> bool:
        return True


class TrustsEachPeer(OutlierConsensus):
    """Decides for unhealthy by one vote."""

    def _decide(self, now: float, query: Any) -> None:
        super()._decide(now, query)
        if any(failures > successes for _, successes, failures, *_ in query.replies.values()):
            decision = self.decisions[query.endpoint]._replace(health=UNHEALTHY)
            self.new_decisions.append((query.endpoint, decision))


class ReportsFailuresOnly(OutlierConsensus):
    """Reports that all requests fail at every endpoint."""

    def _make_message(
        self, now: float, is_query: bool, correlation_id: int, endpoint: int
    ) -> EvidenceMessage:
        return (
            super()
            ._make_message(now, is_query, correlation_id, endpoint)
            ._replace(successes=0, failures=10_000)
        )


# Simulations


def healthy_avoided_fraction(
    communicates: bool, fleet: int = 24, endpoints: int = 20, rate: float = 0.5, **links: float
) -> float:
    simulation = OutlierSimulation(
        fleet, endpoints, 1, rate=rate, communicates=communicates, false_failure_fraction=0.02, **links
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


def with_unhealthy_endpoints(
    make: type = OutlierConsensus,
    zones: tuple[int, ...] = (0, 1),
    endpoints: tuple[int, ...] = (3,),
    **links: float,
) -> OutlierSimulation:
    simulation = OutlierSimulation(24, 20, 1, make, rate=0.5, false_failure_fraction=0.005, **links)
    simulation.run(20.0)
    simulation.unhealthy_zones = {endpoint: set(zones) for endpoint in endpoints}
    return simulation


def test_unhealthy_endpoint_is_avoided_sooner_and_healthy_ones_less() -> None:
    avoided, healthy_avoided = {}, {}
    for communicates in (False, True):
        fractions, healthy_avoided[communicates] = [], 0.0
        for seed in range(3):
            simulation = OutlierSimulation(
                24, 20, seed, rate=0.5, false_failure_fraction=0.005, communicates=communicates
            )
            simulation.run(20.0)
            simulation.unhealthy_zones, simulation.healthy_avoided, simulation.observations = (
                {3: {0, 1}},
                0,
                0,
            )
            while simulation.now < 35.0:
                simulation.run(simulation.now + 0.5)
                fractions.append(simulation.avoiding_fraction(3))
            healthy_avoided[communicates] += simulation.healthy_avoided / simulation.observations
        avoided[communicates] = sum(fractions) / len(fractions)
    assert avoided[True] >= avoided[False]
    assert healthy_avoided[True] < healthy_avoided[False] / 3.0


def test_ejection_without_new_evidence_ends() -> None:
    simulation = with_unhealthy_endpoints()
    simulation.run(30.0)
    assert simulation.avoiding_fraction(3) >= 0.9
    simulation.unhealthy_zones.clear()
    simulation.run(30.0 + DECISION_LIFETIME_S + 3.0 * HALF_LIFE_S + REQUERY_AFTER_S + OWN_EJECTION_S)
    assert not any(simulation.now < table.get(3, 0.0) for table in simulation.peer_ejections)


def test_endpoint_unreachable_from_one_zone_is_ejected_there_alone() -> None:
    simulation = with_unhealthy_endpoints(zones=(0,))
    simulation.run(23.0)
    before = simulation.healthy_avoided, simulation.observations
    simulation.run(40.0)
    assert simulation.avoiding_fraction(3) >= 0.6
    assert (simulation.healthy_avoided - before[0]) / (simulation.observations - before[1]) < 0.02
    assert not any(3 in simulation.peer_ejections[me] for me in range(1, 24, 2))


def with_lying_member(make: type) -> OutlierSimulation:
    classes = iter([ReportsFailuresOnly, *[make] * 23])
    simulation = OutlierSimulation(
        24, 20, 1, lambda *values: next(classes)(*values), rate=0.5, false_failure_fraction=0.02
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
        simulation = with_unhealthy_endpoints(make, endpoints=many)
        simulation.run(35.0)
        assert simulation.peak_ejected_fraction <= most
        assert make is OutlierConsensus or simulation.peak_ejected_fraction > 0.2


def test_endpoint_that_begins_to_fail_is_not_healthy_by_earlier_successes() -> None:
    avoiding = {}
    for make in (OutlierConsensus, ReportsOldSuccessesAsRecent):
        simulation = with_unhealthy_endpoints(make)
        simulation.run(21.5)
        avoiding[make] = simulation.avoiding_fraction(3)
    assert avoiding[OutlierConsensus] > avoiding[ReportsOldSuccessesAsRecent] + 0.1


def test_ejections_without_answers_are_as_without_messages() -> None:
    simulation, alone = with_unhealthy_endpoints(), with_unhealthy_endpoints(communicates=False)
    simulation.loss = 1.0
    simulation.peer_ejections = [{} for _ in simulation.fleet]
    for fleet in (simulation, alone):
        fleet.run(40.0)
    assert not any(simulation.peer_ejections)
    assert not any(
        decision.health != UNDECIDED
        for node in simulation.fleet
        for decision in node.instance.decisions.values()
    )
    assert abs(simulation.avoiding_fraction(3) - alone.avoiding_fraction(3)) < 0.2


def test_queries_are_bounded_and_none_without_suspicion() -> None:
    healthy = OutlierSimulation(24, 20, 1, rate=0.5, false_failure_fraction=0.0)
    healthy.run(30.0)
    assert healthy.sent == 0
    failing = OutlierSimulation(24, 20, 1, rate=0.5, false_failure_fraction=0.3)
    failing.run(30.0)
    queries = sum(node.instance.query_messages_sent for node in failing.fleet) / 24 / 30.0
    assert 0.0 < queries <= QUERIES_PER_ROUND * PEERS_PER_QUERY / (0.9 * ROUND_INTERVAL_S) + 1.0


# Single instances


def querying_proxy(
    own: list[bool] = (), zone: int = 1
) -> tuple[OutlierConsensus, dict[int, EvidenceMessage]]:
    """Returns a proxy that suspects endpoint 9 and has sent queries, and the queries by member."""
    consensus = OutlierConsensus(0, 5, zone, Random(1))
    consensus.set_endpoints({9})
    for succeeded in own:
        consensus.record_result(0.0, 9, succeeded)
    queries, _ = consensus.wake(0.1, list(range(1, 1 + PEERS_PER_QUERY)), {9})
    return consensus, dict(queries)


def answer_to(
    query: EvidenceMessage,
    member: int,
    successes: float,
    failures: float,
    zone: int = 1,
    age: int = 0,
    requests: float = 0.0,
    mean_requests: float = 0.0,
) -> EvidenceMessage:
    return EvidenceMessage(
        False,
        member,
        40 + member,
        query.correlation_id,
        query.endpoint,
        zone,
        round(successes * UNITS_PER_REQUEST),
        round(failures * UNITS_PER_REQUEST),
        age,
        round(requests * UNITS_PER_REQUEST),
        round(mean_requests * UNITS_PER_REQUEST),
    )


def decide_by(consensus: OutlierConsensus, queries: dict[int, EvidenceMessage], answers: list[tuple]) -> str:
    for member, *rest in answers:
        consensus.on_message(0.2, answer_to(queries[member], member, *rest))
    consensus.wake(0.1 + ANSWER_TIMEOUT_S + 0.01, [], set())
    return consensus.decisions[9].health


FAILING, SUCCEEDING = (0.0, 2.0), (2.0, 0.0)


@pytest.mark.parametrize(
    ("own", "answers", "what"),
    [
        ([False], [(member, *FAILING, member % 2) for member in range(1, 6)], UNHEALTHY),
        ([False], [(member, *SUCCEEDING, member % 2) for member in range(1, 6)], HEALTHY),
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
            [(1, *SUCCEEDING, 1), (6, *FAILING, 1), *((member, *FAILING, 2) for member in range(2, 6))],
            UNDECIDED,
        ),
        ([False], [(1, *FAILING), (2, *SUCCEEDING)], UNDECIDED),
        ([], [], UNDECIDED),
        ([], [(member, *FAILING) for member in range(1, MIN_VOTES)], UNDECIDED),
        ([], [(member, *FAILING) for member in range(1, MIN_VOTES + 1)], UNHEALTHY),
        ([False] * 6, [(member, *SUCCEEDING, 1) for member in range(1, 8)], UNDECIDED),
        ([False], [(member, *SUCCEEDING, 1, NEVER_MS) for member in range(1, 8)], UNDECIDED),
        ([False], [(member, 0.1, 0.0) for member in range(1, 8)], UNDECIDED),
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
    consensus, queries = querying_proxy(own)
    assert decide_by(consensus, queries, answers) == what


def overload_answers(ages: list[int], requests: float = 4.0, mean_requests: float = 1.0) -> list[tuple]:
    """Returns answers of members to which the endpoint is unhealthy.

    `ages` holds the time since the last success of each member (ms), the others are its counts of requests.
    """
    return [
        (member, *FAILING, member % 2, age, requests, mean_requests) for member, age in enumerate(ages, 1)
    ]


@pytest.mark.parametrize(
    ("answers", "what"),
    [
        (overload_answers([500, 500, *[NEVER_MS] * 4]), OVERLOADED),
        (overload_answers([NEVER_MS] * 6), UNHEALTHY),
        (overload_answers([500] * 6, requests=1.4), UNHEALTHY),
        (
            [*overload_answers([500] * 5, requests=1.4), (6, *FAILING, 0, 500, 1000.0, 0.0)],
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
    consensus, queries = querying_proxy([False])
    assert decide_by(consensus, queries, answers) == what
    assert bool(consensus.take_new_decisions()) is True


def test_mean_load_is_counted_separately_for_large_answers() -> None:
    consensus = OutlierConsensus(0, 5, 1, Random(1))
    consensus.set_endpoints({1, 2, 3, 4}, large_answer_ids={3, 4})
    for endpoint, count in ((1, 6), (2, 2), (3, 1)):
        for _ in range(count):
            consensus.record_result(0.0, endpoint, True)
    assert consensus.recent_load(0.0, 1) == (6.0, 4.0)
    assert consensus.recent_load(0.0, 3) == (1.0, 0.5)
    assert consensus.recent_load(0.0, 4) == (0.0, 0.5)
    assert consensus.recent_load(HALF_LIFE_S, 1) == pytest.approx((3.0, 2.0), abs=1e-3)


def test_member_counts_once_and_only_in_its_query() -> None:
    consensus, queries = querying_proxy([False])
    for _ in range(5):
        consensus.on_message(0.2, answer_to(queries[1], 1, *FAILING))
    consensus.on_message(0.2, answer_to(queries[1], 30, *FAILING))  # from a member that was not queried
    consensus.on_message(
        0.2, answer_to(queries[1], 2, *FAILING)._replace(correlation_id=queries[1].correlation_id + 1)
    )
    consensus.on_message(0.2, answer_to(queries[1], 3, *FAILING)._replace(endpoint=8))
    assert decide_by(consensus, queries, []) == UNDECIDED
    assert consensus.decisions[9].votes == 2


@given(
    st.permutations(
        [
            (member, *(FAILING if member % 3 else SUCCEEDING), member % 2)
            for member in range(1, 1 + PEERS_PER_QUERY)
        ]
    ),
    st.integers(0, 3),
)
def test_decision_with_reordered_or_duplicate_answers_is_equal(answers: list, doubled: int) -> None:
    consensus, queries = querying_proxy([False])
    first = decide_by(*querying_proxy([False]), sorted(answers))
    assert decide_by(consensus, queries, [*answers, *answers[:doubled]]) == first


def test_two_failures_in_a_row_void_earlier_successes() -> None:
    consensus = OutlierConsensus(0, 5, 1, Random(1))
    for succeeded in [True] * 9 + [False]:
        consensus.record_result(0.0, 9, succeeded)
    assert consensus.recent_results(0.0, 9) == (9.0, 1.0)
    consensus.record_result(0.0, 9, False)
    assert consensus.recent_results(0.0, 9) == (0.0, 2.0)


def test_evidence_decays_and_is_dropped_for_unlisted_endpoints() -> None:
    consensus = OutlierConsensus(0, 5, 1, Random(1))
    consensus.set_endpoints({8, 9})
    consensus.record_result(0.0, 9, False)
    consensus.record_result(0.0, 8, True)
    assert consensus.recent_results(HALF_LIFE_S, 9) == pytest.approx((0.0, 0.5), abs=1e-3)
    consensus.on_message(
        0.0, answer_to(EvidenceMessage(True, 1, 1, 1, 9, 1, 0, 0, 0), 1, *FAILING)._replace(is_query=True)
    )
    consensus.set_endpoints({8})
    assert not consensus.peer_queries
    assert set(consensus.evidence) == {8}
    for endpoint in range(1000):
        consensus.on_message(0.0, EvidenceMessage(True, 1, 1, 1, endpoint, 1, 0, 0, 0))
    assert set(consensus.peer_queries) == {8}  # queries about unlisted endpoints are not recorded


def test_proxy_asked_by_several_members_queries_itself() -> None:
    consensus = OutlierConsensus(0, 5, 1, Random(1))
    consensus.set_endpoints({9})
    for member in range(1, 3):
        answer = consensus.on_message(0.0, EvidenceMessage(True, member, 40, 7, 9, 1, 0, 16, NEVER_MS))
        assert answer.correlation_id == 7
        assert (answer.successes, answer.failures) == (0, 0)
        queries, _ = consensus.wake(0.1 * member + member, [1, 2, 3], set())
        assert bool(queries) is (member == MIN_ASKING_PEERS)


def test_evidence_message_survives_encoding() -> None:
    message = EvidenceMessage(True, 1, 2**48, 2**48, 2**48 - 1, 2**48 - 1, 16, 0, NEVER_MS)
    assert peer_messages.decode_message(peer_messages.encode_message("shop", message), "shop", 8) == message


# A proxy


PEERS = [f"10.0.0.{number}:7946" for number in range(1, 10)]


class ReportingHarness(ProxyHarness):
    """A proxy of nine; the test answers for the other members."""

    def __init__(self, endpoints: int = 3, **start: Any) -> None:
        self.start = {
            "fleet": "shop",
            "speak": PEERS[0],
            "peers": PEERS,
            "watchesPerS": 100.0,
            "witnesses": True,
        } | start
        super().__init__(endpoints)
        self.outlier_reports, self.sent_messages = self.proxy.outliers, []
        self.outlier_reports.send = lambda peer, message: self.sent_messages.append((peer, message))
        self.outlier_reports.alive_members = lambda: list(range(1, 9))
        self.outlier_reports.wake()  # learns the endpoint list
        self.outlier_reports.timer.cancel()
        self.loop.advance(0.6)

    def node_file(self, *values: int, **settings: object) -> dict:
        return ProxyHarness.node_file(*values, **settings) | {
            "start": self.start,
            "settings": SETTINGS | {"balancers": 9, "zone": "a"},
        }

    def answer_queries(self, successes: float, failures: float, zone: str = "b") -> None:
        """Lets all queried members answer with these numbers of requests."""
        self.outlier_reports.timer and self.outlier_reports.timer.cancel()
        self.outlier_reports.wake()
        sent_messages, self.sent_messages = self.sent_messages, []
        for peer, message in sent_messages:
            self.outlier_reports.on_message(
                EvidenceMessage(
                    False,
                    peer,
                    40,
                    message.correlation_id,
                    message.endpoint,
                    name_digest(zone),
                    round(successes * UNITS_PER_REQUEST),
                    round(failures * UNITS_PER_REQUEST),
                    0,
                )
            )
        self.loop.advance(ANSWER_TIMEOUT_S + 0.05)
        self.outlier_reports.timer.cancel()
        self.outlier_reports.wake()

    def admitted_fraction(self, name: str) -> float:
        return min(1.0, self.proxy.router.policy.endpoints.caches[name].current_fraction(self.proxy.now_ms()))


def test_endpoint_ejected_by_one_proxy_alone_is_reinstated(caplog: pytest.LogCaptureFixture) -> None:
    harness = ReportingHarness()
    harness.proxy.router.eject_on_evidence(harness.proxy.now_ms(), "c2")
    harness.outlier_reports.on_result("c2", make_request("read"), "timeout", 900.0, 0)
    assert harness.admitted_fraction("c2") == 0.125
    harness.loop.advance(0.1)
    with caplog.at_level("INFO", "calicofall"):
        harness.answer_queries(3.0, 0.0)
    assert harness.admitted_fraction("c2") == 1.0
    assert harness.outlier_reports.reinstated_count == 1
    assert [(record.cache, record.verdict) for record in caplog.records if record.message == "witnesses"] == [
        ("c2", HEALTHY)
    ]
    assert any(
        line.startswith("verdict.c2:fine sick=1 of=9") for line in harness.outlier_reports.format_lines()
    )
    assert "verdict.c2" in harness.proxy.handle_call("verdicts")


def test_endpoints_unhealthy_to_peers_are_ejected_up_to_limit() -> None:
    harness = ReportingHarness()
    for name in ("c1", "c2"):
        for member in (5, 6):
            harness.outlier_reports.on_message(
                EvidenceMessage(True, member, 40, 7, name_digest(name), name_digest("b"), 0, 32, NEVER_MS)
            )
    harness.answer_queries(0.0, 3.0)
    # A tenth of three endpoints, but at least one.
    assert sorted(round(harness.admitted_fraction(name), 1) for name in ("c1", "c2", "c3")) == [0.1, 1.0, 1.0]
    assert harness.outlier_reports.ejected_count == 1
    assert harness.outlier_reports.refused_ejection_count == 1
    ejected = min(("c1", "c2"), key=harness.admitted_fraction)
    # If a timeout takes as long as an origin fetch, the router alone considers the endpoint healthy.
    harness.proxy.router.policy.endpoints.caches[ejected].admitted_fraction = 1.0
    harness.outlier_reports.on_result(ejected, make_request("read"), "timeout", 50.0, 0)
    assert harness.admitted_fraction(ejected) == 0.125  # the proxy's own failure confirms the decision
    harness.loop.advance(DECISION_LIFETIME_S + 20.0)
    harness.outlier_reports.on_result(ejected, make_request("read"), "timeout", 50.0, 0)
    assert (
        harness.admitted_fraction("c1") == harness.admitted_fraction("c2") == 1.0
    )  # decisions by peers expire


def test_endpoint_pinned_by_operator_is_reinstated_and_stays() -> None:
    harness = ReportingHarness()
    for member in (5, 6):
        harness.outlier_reports.on_message(
            EvidenceMessage(True, member, 40, 7, name_digest("c1"), name_digest("b"), 0, 32, NEVER_MS)
        )
    harness.answer_queries(0.0, 3.0)
    assert harness.admitted_fraction("c1") < 0.2
    pins = harness.proxy.node["settings"] | {"pins": {"caches": ["c1"]}}
    harness.proxy.apply_settings(pins)
    assert harness.admitted_fraction("c1") == 1.0
    harness.outlier_reports.timer.cancel()
    harness.loop.advance(REQUERY_AFTER_S)
    for member in (5, 6):
        harness.outlier_reports.on_message(
            EvidenceMessage(True, member, 40, 7, name_digest("c1"), name_digest("b"), 0, 32, NEVER_MS)
        )
    harness.answer_queries(0.0, 3.0)
    assert harness.admitted_fraction("c1") == 1.0
    assert harness.outlier_reports.consensus.decisions[name_digest("c1")].health == UNHEALTHY
    with pytest.raises(ValueError, match="settings.pins"):
        validate_settings(SETTINGS | {"pins": {"hosts": ["x"]}})
    with pytest.raises(ValueError, match="settings.pins.caches"):
        validate_settings(SETTINGS | {"pins": {"caches": "c1"}})


def test_outcomes_that_tell_nothing_about_health_are_no_evidence() -> None:
    harness = ReportingHarness()
    harness.proxy.router.policy.latency.baselines["read"] = 10.0
    for outcome, latency_ms, size in (
        ("full", 1.0, 0),
        ("cancelled", 1.0, 0),
        ("completed", 500.0, LARGE_ANSWER_MIN_BYTES),
    ):
        harness.outlier_reports.on_result("c1", make_request("read"), outcome, latency_ms, size)
    assert not harness.outlier_reports.consensus.evidence
    harness.outlier_reports.on_result("c1", make_request("read"), "completed", 39.0, 10)
    harness.outlier_reports.on_result("c1", make_request("read"), "completed", 41.0, 10)
    assert harness.outlier_reports.consensus.recent_results(harness.loop.time(), name_digest("c1")) == (
        1.0,
        1.0,
    )


def test_outlier_reports_without_setting_are_off() -> None:
    harness = ReportingHarness.__new__(ReportingHarness)
    harness.start = {"fleet": "shop", "speak": PEERS[0], "peers": PEERS, "watchesPerS": 100.0}
    ProxyHarness.__init__(harness)
    assert harness.proxy.outliers is None
    assert "verdict" not in harness.proxy.handle_call("verdicts")


def route_requests(harness: ProxyHarness, outlier_reports: Any) -> list[str | None]:
    """Routes the same requests with the same results and one failing endpoint; returns the decisions."""
    router, random_generator, out = harness.proxy.router, Random(4), []
    if harness.proxy.quotas is not None:  # until leases of a former incarnation have expired
        harness.loop.advance(4.0)
        harness.proxy.quotas.refresh()
    began = harness.proxy.now_ms()
    for step in range(400):
        now = began + step * 40.0
        request = make_request("read", random_generator.randrange(30), now, now + 900.0, "acme")
        endpoint = router.route(now, request)
        out.append(endpoint)
        if endpoint is None:
            continue
        fails = endpoint == "c2" and step > 150 and random_generator.random() < 0.8
        latency_ms = 300.0 if fails else random_generator.uniform(2.0, 9.0)
        if outlier_reports is not None:
            outlier_reports.on_result(
                endpoint, make_request("read"), "timeout" if fails else "completed", latency_ms, 10
            )
            outlier_reports.timer and outlier_reports.timer.cancel()
            outlier_reports.wake()
        out.append(
            router.report_attempt(
                now + latency_ms, request, 0, "timeout" if fails else "completed", latency_ms, "hit"
            )
        )
        harness.loop.advance(0.04)
    return out


def test_routing_without_answers_of_peers_is_unchanged() -> None:
    plain, without_answers = ReportingHarness.__new__(ReportingHarness), ReportingHarness(lendS=3.0)
    plain.start = {
        name: value for name, value in without_answers.start.items() if name not in ("witnesses", "lendS")
    }
    ProxyHarness.__init__(plain)
    plain.loop.advance(4.6)
    alone = route_requests(plain, None)
    assert route_requests(without_answers, without_answers.outlier_reports) == alone
    assert len(set(alone)) > 2
    assert without_answers.sent_messages
    assert not without_answers.outlier_reports.ejected_on_evidence


class LargeAnswersHarness(ReportingHarness):
    """A proxy that has received large answers before."""

    def __init__(self) -> None:
        super().__init__()
        self.proxy.router.policy.latency.baselines["read"] = 10.0
        for index in range(16):
            self.answer_large("c1", 20.0, key=index)
        self.loop.advance(3.0)

    def answer_large(self, endpoint: str, latency_ms: float, key: int = 7) -> None:
        self.outlier_reports.on_result(endpoint, make_request("read", key), "completed", latency_ms, 20_000)


def test_endpoint_slow_for_large_answers_alone_keeps_small_ones() -> None:
    harness = LargeAnswersHarness()
    for _ in range(3):
        harness.answer_large("c2", 400.0)
    evidence = harness.outlier_reports.consensus.evidence
    assert name_digest("c2") not in evidence
    assert evidence[name_digest("c2\0large")].failures > 2.9
    harness.answer_queries(0.0, 3.0)
    assert harness.admitted_fraction("c2") == 1.0
    assert set(harness.outlier_reports.slow_for_large) == {"c2"}
    assert "verdict.c2/large:sick" in harness.proxy.handle_call("verdicts")
    # The router gets the baseline latency for large answers, and the measured latency for others.
    assert harness.outlier_reports.fair_latency("c2", "read", 400.0, 20_000) == 10.0
    assert harness.outlier_reports.fair_latency("c2", "read", 400.0, 200) == 400.0
    assert harness.outlier_reports.fair_latency("c1", "read", 400.0, 20_000) == 400.0
    harness.loop.advance(DECISION_LIFETIME_S + 1.0)
    harness.outlier_reports.timer.cancel()
    harness.outlier_reports.wake()
    assert not harness.outlier_reports.slow_for_large


def test_large_keys_avoid_slow_endpoint_but_for_an_eighth() -> None:
    harness = LargeAnswersHarness()
    harness.outlier_reports.slow_for_large["c2"] = harness.loop.time() + 60.0
    avoided_count = 0
    for index in range(800):
        request = make_request("read", 7 if index % 2 else 9_999)
        request.attempts.append(Attempt("c2", 0.0))
        avoids = harness.outlier_reports.avoids(request)
        avoided_count += avoids
        assert not avoids or request.key == 7
    assert 0.8 * 400 < avoided_count < 0.95 * 400
    # A key is not moved if none of its other endpoints is available.
    for name in ("c1", "c3"):
        harness.proxy.router.eject_on_evidence(harness.proxy.now_ms(), name)
    request = make_request("read", 7)
    request.attempts += [Attempt("c2", 0.0)]
    assert not any(harness.outlier_reports.avoids(request) for _ in range(50))


def test_endpoints_slow_for_large_answers_need_peer_evidence_and_are_limited() -> None:
    harness = LargeAnswersHarness()
    for name in ("c1", "c2", "c3"):
        for _ in range(6):
            harness.answer_large(name, 400.0)
    harness.answer_queries(3.0, 0.0)
    assert not harness.outlier_reports.slow_for_large
    harness.loop.advance(3.0)
    for name in ("c1", "c2", "c3"):
        harness.answer_large(name, 400.0)
        harness.answer_large(name, 400.0)
    for _ in range(9):  # each endpoint is queried once in 2 s
        harness.answer_queries(0.0, 3.0)
    assert len(harness.outlier_reports.slow_for_large) == 1
    assert harness.outlier_reports.refused_ejection_count >= 1


def test_healthy_endpoints_with_half_of_members_isolated_are_avoided_less_than_alone() -> None:
    """Compares fleets without messages, with half of the members isolated, and with all connected."""

    def healthy_avoided_fraction(cut: float) -> float:
        simulation = OutlierSimulation(24, 12, 2, false_failure_fraction=0.02, communicates=cut < 1.0)
        isolated = set(range(int(24 * cut)))
        simulation.cut(
            {(a, b) for a in isolated for b in range(24)} | {(b, a) for a in isolated for b in range(24)}
        )
        simulation.run(40.0)
        return simulation.healthy_avoided / simulation.observations

    alone, half, connected = (
        healthy_avoided_fraction(1.0),
        healthy_avoided_fraction(0.5),
        healthy_avoided_fraction(0.0),
    )
    assert connected < half < alone
    assert connected < 0.5 * alone
