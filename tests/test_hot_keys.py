"""Hot key detection: simulations, planted defects, single instances, and a proxy."""

from random import Random

import pytest
from test_limits import Lending

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
    """The fraction of all requests at which a key has `times` the demand that makes it hot."""
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
    asked = sum(one.instance.query_messages_sent for one in simulation.fleet)
    assert asked / proxies / simulation.now <= 2 * 8 / 0.45
    simulation.key_fractions = {}
    simulation.run(simulation.now + 3 * COUNTING_WINDOW_S + HOT_LIFETIME_S)
    assert simulation.finding_fraction(1) == 0.0


def test_hot_key_with_messages_lost_is_found_later() -> None:
    simulation = HotKeySimulation(200, 1, {1: key_fraction(2.0, 200, 1.0)}, ENDPOINT_CAPACITY_PER_S, loss=0.3)
    simulation.run(40.0)
    assert simulation.finding_fraction(1) > 0.9


class ReportsHugeCounts(HotKeyDetector):
    """Says that it was asked for each key very often."""

    def _message(self, now: float, asks: bool, mark: int, key: int) -> KeyCountMessage:
        word = super()._message(now, asks, mark, key)
        return word if asks or self.own_id else word._replace(requests=10**9, counted_ms=1)


class KeepsHighestCount(HotKeyDetector):
    """Counts the highest answer, too: an even higher one is left out in its place."""

    def _decide(self, now: float, key: int, told: list[KeyCount]) -> None:
        super()._decide(now, key, [*told, KeyCount(10**10, 1)])


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
    detectors = [HotKeyDetector(me, 1, 50, ENDPOINT_CAPACITY_PER_S, 0.0, Random(me)) for me in range(50)]
    for _ in range(400):
        detectors[3].record_request(1.0, 9)
    for _ in range(MIN_OWN_REQUESTS):
        detectors[5].record_request(1.0, 9)
    asks, _ = detectors[5].wake(2.0, [3, *range(10, 17)])
    assert len(asks) == 8
    for whom, word in asks:
        detectors[5].on_message(2.1, detectors[whom].on_message(2.1, word))
    detectors[5].wake(2.2, [])
    assert not detectors[5].hot_keys
    assert detectors[5].queries == {}


def deliver_answers(one: HotKeyDetector, asks: list[tuple[int, KeyCountMessage]], *counts: int) -> None:
    for (whom, word), count in zip(asks, counts, strict=False):
        one.on_message(2.1, KeyCountMessage(False, whom, 1, word.correlation_id, word.key, count, 1000))


def test_key_with_too_few_valid_answers_is_not_hot() -> None:
    one = HotKeyDetector(0, 1, 100, ENDPOINT_CAPACITY_PER_S, 0.0, Random(1))
    for _ in range(MIN_OWN_REQUESTS):
        one.record_request(1.0, 9)
    assert one.wake(2.0, list(range(1, MIN_ANSWERS)))[0] == []
    asks, _ = one.wake(3.0, list(range(1, 9)))
    deliver_answers(one, asks[:2], MIN_SEEN_REQUESTS, MIN_SEEN_REQUESTS)
    deliver_answers(one, asks[:2], MIN_SEEN_REQUESTS, MIN_SEEN_REQUESTS)
    one.on_message(2.1, KeyCountMessage(False, asks[4][0], 1, asks[4][1].correlation_id + 1, 9, 99, 1000))
    one.on_message(2.1, KeyCountMessage(False, 77, 1, asks[4][1].correlation_id, 9, 99, 1000))
    one.wake(9.0, [])
    assert not one.hot_keys
    asks, _ = one.wake(12.0, list(range(1, 9)))
    deliver_answers(one, asks, *[MIN_SEEN_REQUESTS] * 8)
    one.wake(12.1, [])
    assert list(one.hot_keys) == [9]
    one.wake(12.2 + HOT_LIFETIME_S, [])
    assert not one.hot_keys


def test_counted_keys_are_bounded() -> None:
    one = HotKeyDetector(0, 1, 100, ENDPOINT_CAPACITY_PER_S, 0.0, Random(1))
    for key in range(10 * MAX_COUNTED_KEYS):
        one.record_request(1.0, key)
    assert len(one.counts[0]) == MAX_COUNTED_KEYS
    one.record_request(1.0 + COUNTING_WINDOW_S, 5)
    one.record_request(1.0 + 2 * COUNTING_WINDOW_S, 5)
    assert one.count(5) == 2


def test_proxy_counts_requests_answers_queries_and_reports_hot_keys(caplog: pytest.LogCaptureFixture) -> None:
    harness = Lending(witnesses=True)
    witnesses = harness.proxy.outliers
    assert witnesses.hot_keys is not None
    assert "popular.found:0" in harness.proxy.handle_call("verdicts")
    for _ in range(3):
        witnesses.on_request(7)
    said: list[tuple[int, KeyCountMessage]] = []
    witnesses.send = lambda peer, word: said.append((peer, word))
    witnesses.on_message(KeyCountMessage(True, 2, 9, 77, 7, 1, 1000))
    assert [(peer, word.requests) for peer, word in said] == [(2, 3)]
    witnesses.hot_keys.hot_keys[7] = HotKey(harness.loop.time() + 5.0, 250.0)
    witnesses.hot_keys.new_findings.append(7)
    with caplog.at_level("INFO", "calicofall"):
        witnesses.wake()
        witnesses.timer.cancel()
        witnesses.wake()
    assert [(r.key, r.per_s) for r in caplog.records if r.message == "popular key"] == [("7", 250)]
    assert "popular.7:per_s=250 ends_s=" in harness.proxy.handle_call("verdicts")
    untold = Lending(witnesses=True, cachePerS=None)
    assert untold.proxy.outliers.hot_keys is None
    untold.proxy.outliers.on_message(KeyCountMessage(True, 2, 9, 77, 7, 1, 1000))
