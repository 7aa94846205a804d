"""Hot key detection: simulations, planted defects, single instances and a proxy."""

from random import Random

import pytest
from test_limits import QuotaHarness

from calicofall.fleet.hot_keys import (
    COUNTING_WINDOW_S,
    HOT_FRACTION,
    HOT_LIFETIME_S,
    MAX_COUNTED_KEYS,
    MIN_ANSWERS,
    MIN_OWN_REQUESTS,
    MIN_SEEN_REQUESTS,
    HotKey,
    HotKeyDetector,
    KeyCount,
    KeyCountMessage,
)
from calicofall.testbed.hot_key_simulation import HotKeySimulation

ENDPOINT_CAPACITY_PER_S = 200.0


def key_fraction(times: float, proxies: int, rate: float) -> float:
    """Returns the fraction of all requests at which a key has `times` the lowest rate of a hot key."""
    return times * HOT_FRACTION * ENDPOINT_CAPACITY_PER_S / (proxies * rate)


@pytest.mark.parametrize(("proxies", "rate"), [(200, 1.0), (100, 2.0)])
def test_hot_key_is_found_by_all_within_seconds_and_others_are_not(proxies: int, rate: float) -> None:
    simulation = HotKeySimulation(
        proxies,
        1,
        {1: key_fraction(1.5, proxies, rate), 2: key_fraction(0.25, proxies, rate)},
        ENDPOINT_CAPACITY_PER_S,
        rate=rate,
    )
    simulation.run(15.0)
    assert simulation.finding_fraction(1) > 0.95
    assert simulation.finding_fraction(2) == 0.0
    messages_sent = sum(node.instance.query_messages_sent for node in simulation.fleet)
    assert messages_sent / proxies / simulation.now <= 2 * 8 / 0.45
    simulation.key_fractions = {}
    simulation.run(simulation.now + 3 * COUNTING_WINDOW_S + HOT_LIFETIME_S)
    assert simulation.finding_fraction(1) == 0.0


def test_hot_key_with_messages_lost_is_found_later() -> None:
    simulation = HotKeySimulation(200, 1, {1: key_fraction(2.0, 200, 1.0)}, ENDPOINT_CAPACITY_PER_S, loss=0.3)
    simulation.run(40.0)
    assert simulation.finding_fraction(1) > 0.9


class ReportsHugeCounts(HotKeyDetector):
    """Reports a huge count for every key."""

    def _message(self, now: float, is_query: bool, correlation_id: int, key: int) -> KeyCountMessage:
        message = super()._message(now, is_query, correlation_id, key)
        return message if is_query or self.proxy_number else message._replace(requests=10**9, counted_ms=1)


class KeepsHighestCount(HotKeyDetector):
    """Counts the highest answer, too, since a higher one is added that is left out in its place."""

    def _decide(self, now: float, key: int, answers: list[KeyCount]) -> None:
        super()._decide(now, key, [*answers, KeyCount(10**10, 1)])


class ReportsHugeCountsAndKeepsHighest(ReportsHugeCounts, KeepsHighestCount):
    pass


def test_lying_member_makes_no_key_hot_unless_highest_count_is_kept() -> None:
    keys = {1: key_fraction(0.25, 24, 2.0)}
    with_liar = HotKeySimulation(24, 1, keys, ENDPOINT_CAPACITY_PER_S, ReportsHugeCounts, rate=2.0)
    with_liar.run(60.0)
    assert not with_liar.first_found_at.get(1, {}).keys() - {0}
    with_defect = HotKeySimulation(
        24, 1, keys, ENDPOINT_CAPACITY_PER_S, ReportsHugeCountsAndKeepsHighest, rate=2.0
    )
    with_defect.run(60.0)
    assert with_defect.first_found_at[1].keys() - {0}


def test_key_with_demand_at_one_member_alone_is_not_hot() -> None:
    detectors = [
        HotKeyDetector(proxy_number, 1, 50, ENDPOINT_CAPACITY_PER_S, 0.0, Random(proxy_number))
        for proxy_number in range(50)
    ]
    for _ in range(400):
        detectors[3].record_request(1.0, 9)
    for _ in range(MIN_OWN_REQUESTS):
        detectors[5].record_request(1.0, 9)
    queries, _ = detectors[5].wake(2.0, [3, *range(10, 17)])
    assert len(queries) == 8
    for receiver, message in queries:
        detectors[5].on_message(2.1, detectors[receiver].on_message(2.1, message))
    detectors[5].wake(2.2, [])
    assert not detectors[5].hot_keys
    assert detectors[5].queries == {}


def deliver_answers(
    detector: HotKeyDetector, queries: list[tuple[int, KeyCountMessage]], *counts: int
) -> None:
    for (receiver, message), count in zip(queries, counts, strict=False):
        detector.on_message(
            2.1, KeyCountMessage(False, receiver, 1, message.correlation_id, message.key, count, 1000)
        )


def test_key_with_too_few_valid_answers_is_not_hot() -> None:
    detector = HotKeyDetector(0, 1, 100, ENDPOINT_CAPACITY_PER_S, 0.0, Random(1))
    for _ in range(MIN_OWN_REQUESTS):
        detector.record_request(1.0, 9)
    assert detector.wake(2.0, list(range(1, MIN_ANSWERS)))[0] == []
    queries, _ = detector.wake(3.0, list(range(1, 9)))
    deliver_answers(detector, queries[:2], MIN_SEEN_REQUESTS, MIN_SEEN_REQUESTS)
    deliver_answers(detector, queries[:2], MIN_SEEN_REQUESTS, MIN_SEEN_REQUESTS)
    detector.on_message(
        2.1, KeyCountMessage(False, queries[4][0], 1, queries[4][1].correlation_id + 1, 9, 99, 1000)
    )
    detector.on_message(2.1, KeyCountMessage(False, 77, 1, queries[4][1].correlation_id, 9, 99, 1000))
    detector.wake(9.0, [])
    assert not detector.hot_keys
    queries, _ = detector.wake(12.0, list(range(1, 9)))
    deliver_answers(detector, queries, *[MIN_SEEN_REQUESTS] * 8)
    detector.wake(12.1, [])
    assert list(detector.hot_keys) == [9]
    detector.wake(12.2 + HOT_LIFETIME_S, [])
    assert not detector.hot_keys


def test_counted_keys_are_bounded() -> None:
    detector = HotKeyDetector(0, 1, 100, ENDPOINT_CAPACITY_PER_S, 0.0, Random(1))
    for key in range(10 * MAX_COUNTED_KEYS):
        detector.record_request(1.0, key)
    assert len(detector.counts[0]) == MAX_COUNTED_KEYS
    detector.record_request(1.0 + COUNTING_WINDOW_S, 5)
    detector.record_request(1.0 + 2 * COUNTING_WINDOW_S, 5)
    assert detector.count(5) == 2


def test_proxy_counts_requests_answers_queries_and_reports_hot_keys(caplog: pytest.LogCaptureFixture) -> None:
    harness = QuotaHarness(witnesses=True)
    outlier_reports = harness.proxy.outliers
    assert outlier_reports.hot_keys is not None
    assert "popular.found:0" in harness.proxy.handle_call("verdicts")
    for _ in range(3):
        outlier_reports.on_request(7)
    sent_messages: list[tuple[int, KeyCountMessage]] = []
    outlier_reports.send = lambda peer, message: sent_messages.append((peer, message))
    outlier_reports.on_message(KeyCountMessage(True, 2, 9, 77, 7, 1, 1000))
    assert [(peer, message.requests) for peer, message in sent_messages] == [(2, 3)]
    outlier_reports.hot_keys.hot_keys[7] = HotKey(harness.loop.time() + 5.0, 250.0)
    outlier_reports.hot_keys.new_findings.append(7)
    with caplog.at_level("INFO", "calicofall"):
        outlier_reports.wake()
        outlier_reports.timer.cancel()
        outlier_reports.wake()
    assert [(record.key, record.per_s) for record in caplog.records if record.message == "popular key"] == [
        ("7", 250)
    ]
    assert "popular.7:per_s=250 ends_s=" in harness.proxy.handle_call("verdicts")
    without_capacity = QuotaHarness(witnesses=True, cachePerS=None)
    assert without_capacity.proxy.outliers.hot_keys is None
    without_capacity.proxy.outliers.on_message(KeyCountMessage(True, 2, 9, 77, 7, 1, 1000))
