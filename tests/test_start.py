"""Tests of the decisions of a start without I/O, first one by one, then for a simulated large fleet."""

import asyncio
import json
import os
import time
from itertools import permutations, product
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner
from helpers import (
    CHUNKED_RESPONSE_HEAD,
    SETTINGS,
    FakeEventLoop,
    FakeTransport,
    ProxyHarness,
    encode_reply,
    encode_request,
    endpoint,
)

from calicofall.cli.main import main
from calicofall.config.endpoint_list import parse_endpoint_list
from calicofall.config.errors import ConfigurationError, InvalidFieldError
from calicofall.config.startup import parse_startup_settings
from calicofall.proxy.discovery import Discovery
from calicofall.proxy.gossip_transport import GossipTransport
from calicofall.proxy.server import Proxy
from calicofall.proxy.snapshot_store import SnapshotStore
from calicofall.startup import peer_messages, snapshot
from calicofall.startup.connection_quotas import ConnectionQuotas
from calicofall.startup.contention import ANSWER_TIMEOUT_S, MAX_SAMPLE_SIZE, ContentionEstimate, sample_size
from calicofall.startup.discovery_schedule import MAX_BACKOFF_S, DiscoverySchedule
from calicofall.startup.time_slots import TimeSlots
from calicofall.testbed.checker import max_count_in_window
from calicofall.testbed.startup_simulation import Span, StartupScenario, StartupSimulation

# Time slots


@pytest.mark.parametrize(("proxies", "rate"), [(1, 10.0), (3, 1.0), (200, 10.0), (1000, 33.0)])
def test_time_slots_of_a_whole_fleet_keep_the_rate(proxies: int, rate: float) -> None:
    """At most rate + 1 slots are due in any second, and each proxy has one per period, whenever it asks."""
    random = Random(proxies)
    taken = []
    for number in range(proxies):
        slots = TimeSlots(number, proxies, rate, 50.0, 7_000.3)
        now = 50.0 + random.uniform(0.0, 3.0)
        for _ in range(3):
            taken.append(slots.next_slot_at(now))
            assert now - 1e-9 <= taken[-1] < now + proxies / rate + 1e-9
            now = taken[-1] + 0.5 / rate
    for span in (1.0, 2.0):
        assert max_count_in_window(taken, span)[0] <= rate * span + 1


def test_time_slots_with_clock_differences_exceed_the_rate_by_the_difference_only() -> None:
    slots = TimeSlots(3, 100, 10.0, 50.0, 7_000.0)
    assert slots.next_slot_at(60.0) == slots.next_slot_at(60.0)  # the shared clock is read only once
    random = Random(1)
    rate = 10.0
    difference_s = 0.4
    taken = [
        TimeSlots(number, 200, rate, 0.0, 7_000.0 + random.uniform(0.0, difference_s)).next_slot_at(1.0)
        for number in range(200)
    ]
    assert max_count_in_window(taken)[0] <= rate * (1.0 + 2.0 * difference_s) + 1


def test_time_slot_of_a_stopped_process_is_expired() -> None:
    slots = TimeSlots(3, 100, 10.0, 50.0, 7_000.0)
    slot = slots.next_slot_at(51.0)
    assert not slots.is_expired(slot, slot + 0.2)
    assert slots.is_expired(slot, slot + 0.4)
    schedule = DiscoverySchedule(Random(1), 100, 5.0, slots)
    assert schedule.first_attempt_at(51.0) == slot
    assert schedule.postponed_until(slot + 0.01) is None
    schedule.first_attempt_at(51.0)
    later = schedule.postponed_until(slot + 3.0)  # after being stopped: in the next slot, not immediately
    assert later is not None
    assert later > slot + 3.0
    assert abs(later - slot - 10.0) < 1e-6
    assert schedule.postponed_until(later) is None


# The contention estimate


def test_contention_estimate_counts_each_peer_once_in_every_order_with_loss_and_duplicates() -> None:
    """Whatever happens to three peers' answers, the fraction is not too small, and no peer counts twice."""
    fates = ("served", "waits", "lost", "repeated", "of another sample")
    for fate in product(fates, repeat=3):
        for order in permutations(range(3)):
            estimate = ContentionEstimate(0, 4, 4.0, Random(1))
            old_sample, _ = estimate.begin_sample(0.0)
            sample, peers = estimate.begin_sample(1.0)
            assert sorted(peers) == [1, 2, 3]
            for index in order:
                peer = peers[index]
                answer = fate[index]
                if answer in ("served", "waits", "repeated"):
                    estimate.count_answer(sample, peer, answer != "waits")
                if answer == "repeated":
                    assert not estimate.count_answer(sample, peer, True)
                if answer == "of another sample":
                    assert not estimate.count_answer(old_sample, peer, True)
            all_answered = all(answer in ("served", "waits", "repeated") for answer in fate)
            waiting = sum(answer in ("waits", "lost", "of another sample") for answer in fate) / 3
            assert (estimate.waiting_fraction(1.01) is not None) == all_answered
            assert estimate.waiting_fraction(1.0 + ANSWER_TIMEOUT_S) == pytest.approx(waiting)


def test_sample_size_grows_with_the_fleet_up_to_the_limit() -> None:
    assert [sample_size(n, 10.0) for n in (2, 3, 20, 200, 10_000)] == [1, 2, 8, 15, MAX_SAMPLE_SIZE]
    for proxies in (50, 200, 500):
        size = sample_size(proxies, 10.0)
        early_attempts = max(proxies * f / 1000 * (1 - f / 1000) ** size for f in range(1000))
        assert early_attempts <= 0.5 * 10.0 + 0.5  # proxies that ask immediately although others wait


# The discovery schedule


def test_discovery_schedule_asks_immediately_alone_and_in_its_slot_under_contention() -> None:
    schedule = DiscoverySchedule(Random(1), 200, 5.0, TimeSlots(7, 200, 10.0, 0.0, 7_000.0))
    assert schedule.first_attempt_at(5.0, 0.0) == 5.0
    assert 5.0 <= schedule.first_attempt_at(5.0, 0.05) <= 7.0
    assert 5.0 <= schedule.first_attempt_at(5.0, 1.0) <= 25.0
    small_fleet = DiscoverySchedule(Random(1), 4, 5.0, TimeSlots(3, 4, 10.0, 0.0, 7_000.0))
    assert not small_fleet.depends_on_contention()
    assert small_fleet.first_attempt_at(5.0, 1.0) == 5.0  # the service has capacity for all at once
    without_rate = DiscoverySchedule(Random(1), 200)
    assert without_rate.first_attempt_at(5.0, 1.0) == 5.0
    assert not without_rate.depends_on_contention()


def test_discovery_schedule_after_a_refusal_uses_a_slot_and_respects_retry_after() -> None:
    schedule = DiscoverySchedule(Random(1), 200, 5.0, TimeSlots(7, 200, 10.0, 0.0, 7_000.0))
    assert 5.0 < schedule.retry_at_after_refusal(5.0) <= 25.1
    assert schedule.retry_at_after_refusal(5.0, 30.0) >= 35.0
    without_rate = DiscoverySchedule(Random(1), 200)
    assert without_rate.retry_at_after_refusal(5.0, 3.5) >= 8.5
    # A list that is in use does not stay without updates for longer.
    assert without_rate.retry_at_after_refusal(5.0, 60.0) <= 5.0 + MAX_BACKOFF_S * 1.1


def test_discovery_schedule_spreads_first_backoffs_after_refusals() -> None:
    """Without the jitter, 200 proxies refused in one second retry in one second, again and again."""
    attempts = [DiscoverySchedule(Random(seed), 200).retry_at_after_refusal(0.0) for seed in range(200)]
    assert max_count_in_window(attempts, 0.5)[0] < 50
    assert max(attempts) <= 5.5


def start_discovery(
    proxies: int, rate: float, peers_have_watch: bool
) -> tuple[FakeEventLoop, list, Discovery]:
    """Starts a proxy's discovery on a simulated loop; returns both, and the list of reported phases.

    All peers of the proxy have a watch already, or none has.
    """
    loop = FakeEventLoop()
    phases = []
    slots = TimeSlots(proxies // 2, proxies, rate, loop.time(), 7_000.0)
    schedule = DiscoverySchedule(Random(1), proxies, 5.0, slots)
    discovery = Discovery(
        loop, loop.open, "10.2.0.1:8500", None, schedule, lambda *event: None, lambda: None, phases.append
    )
    discovery.estimate_contention = lambda callback: callback(0.0 if peers_have_watch else 1.0)
    discovery.start()
    return loop, phases, discovery


def test_discovery_under_contention_waits_for_its_slot_and_retries_once_a_period() -> None:
    def run_until_next_attempt() -> float:
        """Runs the loop until the next attempt; returns how long it took, in seconds."""
        attempts = len(loop.connect_requests)
        started_at = loop.time()
        while len(loop.connect_requests) == attempts and loop.time() < started_at + 20.0:
            loop.advance(0.05)
        assert len(loop.connect_requests) == attempts + 1
        return loop.time() - started_at

    loop, phases, discovery = start_discovery(100, 10.0, peers_have_watch=False)
    run_until_next_attempt()
    transport = FakeTransport(loop.connect_requests[0][0])
    assert phases == ["list asked"]
    transport.feed(CHUNKED_RESPONSE_HEAD + b"2\r\n\n\n\r\n")
    assert phases == ["list asked", "list heard", "list heard"]
    assert discovery.is_live
    transport.abort()
    assert not discovery.is_live
    run_until_next_attempt()
    for _ in range(5):  # without an answer: once per period, not twice per second
        loop.connect_requests[-1][0].abort()
        assert run_until_next_attempt() > 9.8


def test_discovery_alone_asks_immediately_and_respects_retry_after() -> None:
    loop, _, _ = start_discovery(100, 10.0, peers_have_watch=True)
    assert len(loop.connect_requests) == 1
    FakeTransport(loop.connect_requests[0][0]).feed(b"HTTP/1.1 503 No\r\nRetry-After: 12\r\n")
    loop.advance(0.5)
    assert len(loop.connect_requests) == 1
    assert not loop.connect_requests[0][0].closed  # the header is not complete
    loop.connect_requests[0][0].buffer_updated(0)
    FakeTransport.feed(loop.connect_requests[0][0].transport, b"\r\n")
    assert loop.connect_requests[0][0].closed
    loop.advance(11.9)
    assert len(loop.connect_requests) == 1
    loop.advance(10.1)
    assert len(loop.connect_requests) == 2


# Simulations of a large fleet


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("proxies", "rate", "changes"),
    [
        pytest.param(1, 10.0, {}, id="one proxy"),
        pytest.param(20, 10.0, {}, id="small fleet"),
        pytest.param(300, 10.0, {}, id="large fleet"),
        pytest.param(300, 10.0, {"peer_messages": False}, id="no peer messages"),
        pytest.param(300, 10.0, {"starts_within_s": 8.0}, id="starts within 8 s"),
        pytest.param(300, 10.0, {"lost_fraction": 0.1}, id="a tenth of datagrams lost"),
        pytest.param(300, 10.0, {"lost_fraction": 1.0}, id="all datagrams lost"),
        pytest.param(1000, 33.0, {}, id="very large fleet"),
        pytest.param(300, 10.0, {"stopped": Span(2.0, 18.0), "stopped_every": 3}, id="a third stopped"),
    ],
)
def test_start_of_a_whole_fleet_keeps_rate_and_time_bounds(
    proxies: int, rate: float, changes: dict, seed: int
) -> None:
    """Attempts stay under 1.5 times the rate; the last proxy has its list within 1.3 times proxies / rate."""
    scenario = StartupScenario(proxies=proxies, rate_per_s=rate, seed=seed, **changes)
    result = StartupSimulation(scenario).run()
    last_start_s = scenario.starts_within_s + scenario.stopped.end
    assert result.peak <= 1.5 * rate
    assert len(result.list_times) == proxies
    assert max(result.list_times) <= last_start_s + 1.3 * proxies / rate + ANSWER_TIMEOUT_S + 0.1


def test_restart_of_some_proxies_of_a_small_fleet_keeps_the_rate() -> None:
    """Four of ten proxies restart, at a service that begins three watches per second.

    A sample of three peers would be too small: on average one of the four would see none of the others and
    ask immediately.
    """
    scenarios = [StartupScenario(proxies=10, rate_per_s=3.0, seed=seed, starting=4) for seed in range(60)]
    results = [StartupSimulation(scenario).run() for scenario in scenarios]
    assert max(result.peak for result in results) <= 1.5 * 3
    assert sum(asked_at < ANSWER_TIMEOUT_S for result in results for asked_at in result.attempt_times) <= 20


@pytest.mark.parametrize("starting", [1, 10, 40, 100, 210, 300])
def test_restart_of_some_proxies_keeps_the_rate_and_does_not_delay_a_single_proxy(
    starting: int,
) -> None:
    peaks = []
    last_lists_at = []
    for seed in range(8):
        scenario = StartupScenario(proxies=300, rate_per_s=10.0, seed=seed, starting=starting)
        result = StartupSimulation(scenario).run()
        assert len(result.list_times) == starting
        peaks.append(result.peak)
        last_lists_at.append(max(result.list_times))
    assert sum(peaks) / 8 <= 15.0
    assert max(peaks) <= 20
    assert max(last_lists_at) <= (0.01 if starting == 1 else 1.3 * 300 / 10.0)


def test_start_while_the_service_does_not_answer_keeps_the_rate_when_it_returns() -> None:
    for seed in range(3):
        scenario = StartupScenario(proxies=300, rate_per_s=10.0, seed=seed, service_silent=Span(0.0, 10.0))
        result = StartupSimulation(scenario).run()
        assert result.peak <= 15
        assert max(result.list_times) <= 10.0 + 1.3 * 30.0 + 3.0


def test_start_of_ten_thousand_proxies_keeps_the_bounds() -> None:
    result = StartupSimulation(StartupScenario(proxies=10_000, rate_per_s=100.0, seed=1)).run()
    assert result.peak <= 150
    assert max(result.list_times) <= 1.3 * 100.0
    assert len(result.list_times) == 10_000


def test_simulation_detects_injected_faults_in_slots_and_schedule() -> None:
    """The faults: stopped processes use their expired slots, and the schedule never waits."""
    start = StartupScenario(proxies=300, rate_per_s=10.0, seed=1)
    start_with_stops = StartupScenario(
        proxies=300, rate_per_s=10.0, seed=1, stopped=Span(2.0, 18.0), stopped_every=3
    )
    is_expired = TimeSlots.is_expired
    first_attempt_at = DiscoverySchedule.first_attempt_at
    try:
        TimeSlots.is_expired = lambda self, slot, now: False
        assert StartupSimulation(start_with_stops).run().peak > 15
        TimeSlots.is_expired = is_expired
        DiscoverySchedule.first_attempt_at = lambda self, now, waiting_fraction=1.0: now
        assert StartupSimulation(start).run().peak > 15
    finally:
        TimeSlots.is_expired = is_expired
        DiscoverySchedule.first_attempt_at = first_attempt_at


def test_time_slots_with_half_the_number_of_proxies_configured_double_the_rate_at_most() -> None:
    """Each number belongs to two proxies, so that the rate at the service doubles at most."""
    slots = [TimeSlots(number % 100, 100, 10.0, 0.0, 7_000.0).next_slot_at(1.0) for number in range(200)]
    assert max_count_in_window(slots)[0] <= 2 * (10 + 1)


# Peer messages


def test_decode_message_rejects_damaged_and_foreign_datagrams_with_the_reason() -> None:
    message = peer_messages.StartupMessage(True, 3, 77, 99, False)
    data = peer_messages.encode_message("shop", message)
    random = Random(5)
    assert peer_messages.decode_message(data, "shop", 4) == message
    for invalid, reason in (
        (peer_messages.encode_message("else", message), "fleet"),
        (data[:-1], "digest"),
        (b"", "digest"),
        (data + b"x", "digest"),
        (peer_messages.encode_message("shop", message._replace(sender=9)), "form"),
        (peer_messages.encode_message("shop", peer_messages.StartupMessage("x", -1, None, 2, 3)), "form"),
    ):
        with pytest.raises(peer_messages.InvalidMessageError, match=reason):
            peer_messages.decode_message(invalid, "shop", 4)
    for _ in range(300):
        index = random.randrange(len(data))
        changed_byte = bytes([data[index] ^ random.randrange(1, 256)])
        with pytest.raises(peer_messages.InvalidMessageError):
            peer_messages.decode_message(data[:index] + changed_byte + data[index + 1 :], "shop", 4)
        noise = random.randbytes(random.randrange(600))
        with pytest.raises(peer_messages.InvalidMessageError):
            peer_messages.decode_message(noise, "shop", 4)


class FakeDatagramTransport:
    """Records the datagrams that are sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple]] = []

    def sendto(self, data: bytes, address: tuple) -> None:
        self.sent.append((data, address))

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        pass


def test_gossip_transport_answers_requests_and_drops_unrequested_answers() -> None:
    loop = FakeEventLoop()
    fractions = []
    addresses = [(f"10.0.0.{i}", 7946) for i in range(4)]
    estimate = ContentionEstimate(0, 4, 4.0, Random(1))
    gossip = GossipTransport(loop, estimate, "shop", 5, addresses, lambda: True)
    gossip.transport = FakeDatagramTransport()
    gossip.datagram_received(
        peer_messages.encode_message("shop", peer_messages.StartupMessage(True, 2, 8, 123, False)),
        ("10.9.9.9", 1),
    )
    data, address = gossip.transport.sent.pop()
    answer = peer_messages.StartupMessage(False, 0, 5, 123, True)
    assert address == addresses[2]
    assert peer_messages.decode_message(data, "shop", 4) == answer
    gossip.estimate_contention(fractions.append)
    samples = {
        peer_messages.decode_message(data, "shop", 4).correlation_id for data, _ in gossip.transport.sent
    }
    assert len(gossip.transport.sent) == 3
    assert len(samples) == 1
    assert not fractions
    for sender, sample in ((1, 4711), (1, *samples), (1, *samples), (2, *samples)):
        gossip.datagram_received(
            peer_messages.encode_message(
                "shop", peer_messages.StartupMessage(False, sender, 9, sample, sender == 1)
            ),
            ("x", 1),
        )
    assert not fractions
    assert gossip.dropped == {"unasked": 2}
    loop.advance(ANSWER_TIMEOUT_S + 0.01)
    assert fractions == [pytest.approx(2 / 3)]
    gossip.datagram_received(b"nonsense", ("x", 1))
    assert gossip.dropped["digest"] == 1


# Connection quotas


def test_handshakes_of_all_proxies_together_keep_the_configured_rate() -> None:
    """Fifty proxies open as many connections to one endpoint as they can."""
    opened_at = []
    for number in range(50):
        quotas = ConnectionQuotas(number, 50, 25.0, 200)
        now = 100.0 + number * 0.003
        while now < 110.0:
            now = quotas.take_slot("c1", 12345, now, now + 7_000.0)
            opened_at.append(now)
        assert quotas.max_connections == 4
    assert max_count_in_window(opened_at)[0] <= 26
    assert len(opened_at) > 240


def test_returned_handshake_slot_is_taken_again_and_no_slot_twice() -> None:
    quotas = ConnectionQuotas(3, 10, 10.0, None)
    first = quotas.take_slot("c1", 1, 50.0, 7_000.0)
    quotas.return_slot("c1", first)
    assert quotas.take_slot("c1", 1, 50.0, 7_000.0) == pytest.approx(first)
    assert quotas.take_slot("c1", 1, 50.0, 7_000.0) == pytest.approx(first + 1.0)
    unlimited = ConnectionQuotas(3, 10)
    assert unlimited.take_slot("c1", 1, 50.0, 7_000.0) == 50.0
    assert unlimited.max_connections is None


def harness_with_start_settings(caches: int = 3, **start: object) -> ProxyHarness:
    """Returns a proxy on a simulated loop with a configuration that has these `start` settings."""

    class HarnessWithStartSettings(ProxyHarness):
        @staticmethod
        def node_file(*values: int, **settings: object) -> dict:
            return ProxyHarness.node_file(*values, **settings) | {"start": start}

    return HarnessWithStartSettings(caches)


def test_connection_waits_for_its_slot_within_the_latency_objective_or_the_request_is_rejected() -> None:
    """Each of two proxies has a handshake every 2 s. A late slot does not count against the endpoint."""
    harness = harness_with_start_settings(caches=1, handshakesPerS=1.0).with_high_limits()
    client = harness.client()
    now = harness.loop.time()
    harness.proxy.connection_quotas.take_slot(
        "c1",
        harness.proxy.upstreams.pools["c1"].order_offset,
        now,
        now + harness.proxy.upstreams.common_clock_offset_s,
    )
    client.feed(encode_request())  # the slot has just been taken, and the next is in two seconds
    harness.loop.advance(0.01)
    assert client.take().startswith(b"-BUSY")
    assert not harness.loop.connect_requests
    cache = harness.proxy.router.policy.endpoints.caches["c1"]
    assert cache.admitted_fraction == 1.0
    assert not cache.ejected
    slots = harness.proxy.connection_quotas.slots_by_endpoint["c1"]
    slot = slots.last_taken_at_s + slots.time_slots.gap_s
    harness.loop.advance(slot - harness.loop.time() - 0.1)
    client.feed(encode_request())
    assert not harness.loop.connect_requests
    harness.loop.advance(0.2)
    assert len(harness.loop.connect_requests) == 1
    harness.connect_upstream().feed(encode_reply(b"fresh"))
    assert client.take() == b"$5\r\nfresh\r\n"


def test_connection_of_a_stopped_process_takes_the_next_slot() -> None:
    harness = harness_with_start_settings(caches=1, handshakesPerS=1.0).with_high_limits()
    pool = harness.proxy.upstreams.pools["c1"]
    now = harness.loop.time()
    slot = harness.proxy.connection_quotas.take_slot(
        "c1", pool.order_offset, now, now + harness.proxy.upstreams.common_clock_offset_s
    )
    harness.proxy.connection_quotas.return_slot("c1", slot)
    connection = pool.add_connection(5.0)
    assert connection is not None
    assert connection.opens_at >= now
    harness.loop.calls = [call for call in harness.loop.calls if call.callback != pool.open_when_due]
    harness.loop.clock = connection.opens_at + 0.7  # the process was stopped until its slot had expired
    pool.open_when_due(connection)
    assert not harness.loop.connect_requests
    assert connection.opens_at > harness.loop.clock
    harness.loop.advance(2.1)
    assert len(harness.loop.connect_requests) == 1


def test_connections_to_an_endpoint_stay_within_the_quota_of_the_proxy() -> None:
    harness = harness_with_start_settings(caches=1, connections=4).with_high_limits()
    clients = [harness.client() for _ in range(5)]
    for number, client in enumerate(clients):
        client.feed(encode_request(key=number))
    assert len(harness.loop.connect_requests) == 2  # four for two proxies; the other requests share these


def test_endpoints_warming_up_get_more_requests_where_their_capacity_is_configured() -> None:
    """Without it, a completely new fleet sends each endpoint only three requests per second in total."""

    def count_forwarded(**start: object) -> int:
        harness = harness_with_start_settings(caches=3, **start)
        now = harness.proxy.now_ms()
        harness.push_endpoint_list(*(endpoint(f"c{i}") | {"since_ms": now} for i in range(1, 4)))
        harness.with_high_limits()
        count = 0
        for number in range(200):
            client = harness.client()
            client.feed(encode_request(key=number))
            harness.loop.advance(0.01)
            count += not client.take().startswith(b"-BUSY")
            client.abort()
        return count

    assert count_forwarded() < 40 < 150 < count_forwarded(cachePerS=1000.0)


# The listener


def test_listener_stays_closed_without_an_endpoint_list_and_opens_with_one() -> None:
    """If a refusal opened it, proxies would accept clients without any endpoint for their requests."""

    async def start_with_refusal_then_list() -> tuple[bool, bool]:
        loop = asyncio.get_running_loop()
        node = ProxyHarness.node_file() | {"known": None, "listen": "127.0.0.1:6399"}
        proxy = Proxy(node, loop, lambda *values: None)
        proxy.discovery.answered_or_refused.set()  # by a refusal
        wait_task = asyncio.create_task(proxy.wait_for_list())
        await asyncio.sleep(0.05)
        opened_before_list = wait_task.done()
        proxy.discovery.on_endpoint_list(
            *parse_endpoint_list({"index": 4, "snapshot": True, "endpoints": [endpoint("c1")]})
        )
        await asyncio.wait_for(wait_task, 1.0)
        return opened_before_list, proxy.discovery.has_answered

    assert asyncio.run(start_with_refusal_then_list()) == (False, True)


# Snapshots

ENDPOINT_LIST = {"index": 7, "snapshot": True, "endpoints": [endpoint("c1"), endpoint("c2", "DRAINING")]}
LEARNED = {
    "limits": {"fleet": 12.0, "origin": 4.0},
    "usual": {"read": 8.0, "fetch": 30.0},
    "parts": {"c1": 0.125, "c9": 0.5},
}


def test_snapshot_within_its_age_is_read_as_it_was_written() -> None:
    data = snapshot.encode_snapshot("n0", 1000.0, ENDPOINT_LIST, LEARNED)
    assert snapshot.decode_snapshot(data, "n0", 1020.0, 30.0) == (ENDPOINT_LIST, LEARNED, 20.0)
    for owner, wall_clock_s, reason in (
        ("n1", 1000.0, "another proxy"),
        ("n0", 1031.0, "old"),
        ("n0", 990.0, "future"),
    ):
        with pytest.raises(snapshot.UnusableSnapshotError, match=reason):
            snapshot.decode_snapshot(data, owner, wall_clock_s, 30.0)
    with pytest.raises(snapshot.UnusableSnapshotError, match="version 2"):
        snapshot.decode_snapshot(data.replace(b"snapshot 1 ", b"snapshot 2 "), "n0", 1000.0, 30.0)


def test_snapshot_truncated_anywhere_or_changed_in_any_byte_is_unusable() -> None:
    data = snapshot.encode_snapshot("n0", 1000.0, ENDPOINT_LIST, LEARNED)
    for index in range(len(data)):
        for damaged in (data[:index], data[:index] + bytes([data[index] ^ 0x41]) + data[index + 1 :]):
            with pytest.raises(snapshot.UnusableSnapshotError):
                snapshot.decode_snapshot(damaged, "n0", 1000.0, 30.0)
    for body in (b"[]", b"{}", b'{"proxy":"n0","at":"x","known":3,"learned":[]}', b"\xff"):
        with pytest.raises(snapshot.UnusableSnapshotError):
            snapshot.decode_snapshot(
                snapshot.MAGIC + b"1 " + snapshot.body_digest(body) + b"\n" + body, "n0", 1000.0, 30.0
            )


def test_restorable_state_has_only_safe_values() -> None:
    assert snapshot.restorable_state(LEARNED, {"c1"}) == {
        "limits": {"fleet": 6.0, "origin": 2.0},
        "usual": LEARNED["usual"],
        "parts": {"c1": 0.125},
    }
    out_of_range = {"limits": {"fleet": -1, "origin": 1e99}, "usual": "x", "parts": {"c1": 7.0, "c2": None}}
    assert snapshot.restorable_state(out_of_range, {"c1", "c2"}) == {"limits": {}, "usual": {}, "parts": {}}


def test_proxy_with_a_snapshot_starts_from_the_learned_state(tmp_path: Path) -> None:
    first = harness_with_start_settings(snapshot=str(tmp_path)).proxy
    policy = first.router.policy
    policy.fleet_limit.value = 40.0
    policy.latency.baselines["read"] = 9.0
    policy.endpoints.caches["c1"].admitted_fraction = 0.125
    policy.endpoints.caches["c1"].fraction_set_at = first.now_ms()
    assert first.encode_snapshot() is None  # no snapshot before the service has confirmed the list
    first.discovery.has_answered = True
    first.snapshot_store.write(first.encode_snapshot())
    second = harness_with_start_settings(snapshot=str(tmp_path)).proxy
    restored = second.router.policy
    assert restored.fleet_limit.value == 20.0
    assert restored.latency.baselines["read"] == 9.0
    assert restored.endpoints.caches["c1"].ejected
    assert second.upstreams.endpoint_names == first.upstreams.endpoint_names
    assert second.upstreams.pools["c2"].address == ("10.1.0.2", 6379)
    (tmp_path / "n0.snapshot").write_bytes(b"half")
    assert (
        harness_with_start_settings(snapshot=str(tmp_path)).proxy.router.policy.latency.baselines["read"]
        is None
    )
    assert not list(tmp_path.glob(".snapshot-*"))


def test_proxy_with_other_settings_or_discovery_address_ignores_the_snapshot(tmp_path: Path) -> None:
    """Two proxies of the same name may share a folder, and a proxy's settings may change between starts."""
    first = harness_with_start_settings(snapshot=str(tmp_path)).proxy
    first.router.policy.latency.baselines["read"] = 9.0
    first.discovery.has_answered = True
    first.snapshot_store.write(first.encode_snapshot())
    assert (
        harness_with_start_settings(snapshot=str(tmp_path)).proxy.router.policy.latency.baselines["read"]
        == 9.0
    )
    first.discovery.change_address("10.2.0.9:8500")  # from here on, its list is that of another service
    first.discovery.has_answered = True
    first.snapshot_store.write(first.encode_snapshot())
    assert (
        harness_with_start_settings(snapshot=str(tmp_path)).proxy.router.policy.latency.baselines["read"]
        is None
    )
    node = first.node["settings"]
    assert snapshot.snapshot_owner("n0", node, "a:1") != snapshot.snapshot_owner(
        "n0", node | {"me": 1}, "a:1"
    )
    assert snapshot.snapshot_owner("n0", node, "a:1") == snapshot.snapshot_owner(
        "n0", dict(reversed(node.items())), "a:1"
    )


def test_snapshot_store_on_an_unwritable_disk_keeps_the_old_file(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / "file").write_bytes(b"")
    failing_store = SnapshotStore(FakeEventLoop(), str(tmp_path / "file" / "folder"), "n0", lambda: b"data")
    with caplog.at_level("WARNING", "calicofall"):
        for _ in range(3):
            failing_store.write(b"data")  # the folder cannot be created
    assert len([record for record in caplog.records if record.message == "snapshot not written"]) <= 1
    assert failing_store.load("n0", time.time(), 30.0) is None
    store = SnapshotStore(FakeEventLoop(), str(tmp_path), "n0", lambda: b"data")
    store.write(b"old")
    replace = os.replace
    try:
        os.replace = lambda *_: (_ for _ in ()).throw(OSError(28, "No space left on device"))
        store.write(b"new")
    finally:
        os.replace = replace
    assert (tmp_path / "n0.snapshot").read_bytes() == b"old"
    assert not list(tmp_path.glob(".snapshot-*"))


# Settings and phases


@pytest.mark.parametrize(
    ("start", "field"),
    [
        ([], "start is"),
        ({"watches": 3}, "one of watchesPerS"),
        ({"watchesPerS": 0}, "start.watchesPerS"),
        ({"watchesPerS": True}, "start.watchesPerS"),
        ({"connections": 1}, "start.connections"),
        ({"handshakesPerS": "x"}, "start.handshakesPerS"),
        ({"cachePerS": -1}, "start.cachePerS"),
        ({"speak": "10.0.0.1:1"}, "start.fleet"),
        ({"fleet": "x", "speak": "10.0.0.1:1"}, "start.watchesPerS"),
        ({"fleet": "x", "speak": "10.0.0.1:1", "watchesPerS": 5, "peers": ["10.0.0.1:1"]}, "start.peers"),
        ({"fleet": "x", "speak": "y", "watchesPerS": 5, "peers": ["10.0.0.1:1", "10.0.0.2:1"]}, "no address"),
        ({"snapshot": 3}, "start.snapshot"),
        ({"snapshotAgeS": -3}, "start.snapshotAgeS"),
    ],
)
def test_check_with_invalid_start_settings_prints_one_line(start: object, field: str, tmp_path: Path) -> None:
    file = tmp_path / "node.json"
    file.write_text(json.dumps(ProxyHarness.node_file() | {"start": start}))
    result = CliRunner().invoke(main, ["check", "--config", str(file)])
    assert result.exit_code == 1
    assert field in result.output
    assert result.output.count("\n") == 1


def test_invalid_startup_settings_raise_an_error_with_field_value_and_expectation() -> None:
    node = {"settings": SETTINGS, "start": {"handshakesPerS": "x"}}
    with pytest.raises(InvalidFieldError) as raised:
        parse_startup_settings(node)
    error = raised.value
    assert (error.field, error.value, error.expected) == ("start.handshakesPerS", "x", "a number over 0")
    assert str(error) == "start.handshakesPerS is 'x': a number over 0 would be right"
    assert isinstance(error, ConfigurationError)
    assert isinstance(error, ValueError)  # callers in other packages catch it as a ValueError


def test_testbed_command_is_a_hidden_alias_of_stage() -> None:
    runner = CliRunner()
    program_help = runner.invoke(main, ["--help"]).output
    assert "stage " in program_help
    assert "testbed " not in program_help
    stage_help = runner.invoke(main, ["stage", "--help"])
    testbed_help = runner.invoke(main, ["testbed", "--help"])
    assert stage_help.exit_code == testbed_help.exit_code == 0
    assert testbed_help.output.partition("\n")[2] == stage_help.output.partition("\n")[2]


def test_proxy_without_start_settings_has_no_peers_snapshot_or_quotas() -> None:
    proxy = ProxyHarness().proxy
    assert proxy.gossip is None
    assert proxy.snapshot_store is None
    assert proxy.discovery.schedule.time_slots is None
    assert proxy.connection_quotas.handshakes_per_s is None
    assert proxy.connection_quotas.max_connections is None
    assert proxy.router.policy.slow_start.assigned_rate == 0.0
    assert parse_startup_settings({"settings": SETTINGS}) == {}


def test_each_phase_is_reported_once_with_its_time() -> None:
    harness = ProxyHarness()
    assert "start.first_RPC:-" in harness.proxy.handle_call("phases")
    client = harness.client()
    for _ in range(2):
        harness.loop.advance(0.2)
        client.feed(encode_request())
        harness.connect_upstream().feed(encode_reply(b"fresh"))
    assert "start.first_RPC:200" in harness.proxy.handle_call("phases")
    assert harness.proxy.handle_call("phases").endswith("\n.")
