"""Freshness of endpoint lists: messages of peers cause polls of the service, but never provide a list."""

from math import log2
from random import Random
from typing import Any

import pytest
from helpers import (
    CHUNKED_RESPONSE_HEAD,
    FakeDatagramTransport,
    FakeEventLoop,
    FakeTransport,
    ProxyHarness,
    endpoint,
)

from calicofall.fleet.list_freshness import (
    DIFFERENCE_REPORTED_AFTER_S,
    PEER_FORGOTTEN_AFTER_S,
    PEERS_PER_ROUND,
    POLL_DELAY_S,
    REPOLL_AFTER_S,
    ROUND_INTERVAL_S,
    ListDigestMessage,
    ListFreshness,
    list_digest,
)
from calicofall.proxy.discovery import Discovery
from calicofall.proxy.gossip_transport import GossipTransport
from calicofall.startup import peer_messages
from calicofall.startup.contention import ContentionEstimate
from calicofall.startup.discovery_schedule import DiscoverySchedule
from calicofall.startup.time_slots import TimeSlots

OLD_LIST = {"c1": "ready", "c2": "ready"}
NEW_LIST = {"c1": "ready", "c2": "draining"}


def make_fleet(size: int) -> list[ListFreshness]:
    """Returns proxies that all use the old list, version 7."""
    fleet = [ListFreshness(me, me + 100, size, Random(me)) for me in range(size)]
    for proxy in fleet:
        proxy.set_own_list(0.0, 7, OLD_LIST)
    return fleet


class Rounds:
    """Rounds of a fleet, one proxy after the other, over links that lose a fraction of the messages.

    Attributes:
        polled_at: By proxy, when it first polled the service (s), which answers each poll with the new list.
        sent: Number of messages so far, requests and responses.
    """

    def __init__(self, size: int, lost: float) -> None:
        self.fleet = make_fleet(size)
        self.random_generator = Random(1)
        self.lost = lost
        self.next_round_at = {
            proxy.proxy_number: self.random_generator.uniform(0.0, ROUND_INTERVAL_S) for proxy in self.fleet
        }
        self.polled_at = {0: 0.0}
        self.sent = 0
        self.fleet[0].set_own_list(0.0, 8, NEW_LIST)

    def next_round(self) -> float:
        """Runs the next round of a proxy; returns its time (s)."""
        me = min(self.next_round_at, key=self.next_round_at.__getitem__)
        proxy = self.fleet[me]
        now = self.next_round_at[me]
        receivers, request = proxy.begin_round(now)
        self.next_round_at[me] = now + ROUND_INTERVAL_S
        for receiver in receivers:
            self.sent += 2
            if self.random_generator.random() >= self.lost:
                self.fleet[receiver].on_message(now, request)
                proxy.on_message(now, self.fleet[receiver].make_message(now, False, request.correlation_id))
        if proxy.claim_poll(now) is not None:
            self.polled_at.setdefault(me, now)
            proxy.set_own_list(now, 8, NEW_LIST)
        return now


def test_digest_of_names_and_states_does_not_depend_on_their_order() -> None:
    assert list_digest(OLD_LIST) == list_digest(dict(reversed(OLD_LIST.items()))) != list_digest(NEW_LIST)
    assert list_digest({}) != list_digest(OLD_LIST)


@pytest.mark.parametrize(
    ("size", "lost"),
    [
        pytest.param(3, 0.0, id="3 proxies"),
        pytest.param(50, 0.0, id="50 proxies"),
        pytest.param(200, 0.0, id="200 proxies"),
        pytest.param(200, 0.1, id="200 proxies, a tenth lost"),
    ],
)
def test_new_list_at_one_proxy_reaches_all_as_a_reason_to_poll(size: int, lost: float) -> None:
    """The service answers each poll; no proxy takes the list from a peer."""
    rounds = Rounds(size, lost)

    while len(rounds.polled_at) < size:
        assert rounds.next_round() < 20.0

    half_polled_at = sorted(rounds.polled_at.values())[size // 2]
    assert (
        half_polled_at
        <= ROUND_INTERVAL_S * (log2(size) / log2(1 + 2 * PEERS_PER_ROUND) + 2)
        + POLL_DELAY_S
        + ROUND_INTERVAL_S
    )
    assert rounds.sent <= 2 * PEERS_PER_ROUND * size * (max(rounds.polled_at.values()) / ROUND_INTERVAL_S + 2)


def test_message_with_a_later_version_causes_one_poll_and_no_new_list() -> None:
    proxy = make_fleet(3)[0]
    later = ListDigestMessage(True, 1, 101, 5, 8, list_digest(NEW_LIST), 10)
    older = later._replace(index=6)
    own_message = later._replace(sender=0)
    same_list_of_another_version = later._replace(index=99, digest=list_digest(OLD_LIST))

    for message in (older, own_message, same_list_of_another_version):
        proxy.on_message(1.0, message)
        assert proxy.claim_poll(9.0) is None

    proxy.on_message(10.0, later)
    assert proxy.claim_poll(10.0 + POLL_DELAY_S / 2) is None  # its own watch may be about to receive the list
    assert proxy.claim_poll(10.0 + POLL_DELAY_S) == 0.0
    assert proxy.claim_poll(11.0) is None

    proxy.on_message(11.0, later._replace(sender=2, index=7, digest=list_digest(OLD_LIST)))
    # One of the two peers is behind as well, so that the poll has to wait for a time slot.
    assert proxy.claim_poll(10.0 + POLL_DELAY_S + REPOLL_AFTER_S) == 0.5
    assert proxy.index == 7
    assert proxy.digest == list_digest(OLD_LIST)

    proxy.set_own_list(13.0, 8, NEW_LIST)
    assert proxy.claim_poll(99.0) is None


def test_lists_that_differ_for_long_are_reported_once_until_they_agree() -> None:
    proxy = make_fleet(3)[0]
    other = ListDigestMessage(False, 2, 102, 5, 6, list_digest(NEW_LIST), 10)

    proxy.on_message(1.0, other)
    # The peer may have received the list since then.
    assert not proxy.claim_difference_report(1.0 + DIFFERENCE_REPORTED_AFTER_S)

    proxy.on_message(1.0 + DIFFERENCE_REPORTED_AFTER_S, other)
    assert proxy.claim_difference_report(1.0 + DIFFERENCE_REPORTED_AFTER_S)
    assert not proxy.claim_difference_report(2.0 + DIFFERENCE_REPORTED_AFTER_S)
    assert [(differing.peer, differing.message.index) for differing in proxy.differing_peers(5.0)] == [(2, 6)]

    proxy.on_message(6.0, other._replace(digest=list_digest(OLD_LIST)))
    assert not proxy.differing_peers(60.0)
    assert not proxy.claim_difference_report(60.0)

    proxy.on_message(61.0, other)
    # The peer has sent nothing since then, so it may be gone.
    proxy.begin_round(61.0 + PEER_FORGOTTEN_AFTER_S + 1.0)
    assert not proxy.differing_peers(99.0)


# In a proxy


def test_gossip_transport_with_a_message_of_a_later_list_answers_polls_and_logs_the_difference(
    caplog: pytest.LogCaptureFixture,
) -> None:
    loop: Any = FakeEventLoop()  # a test double for asyncio's loop
    polls: list[float] = []
    addresses = [("10.0.0.1", 1)] * 3
    gossip = GossipTransport(
        loop, ContentionEstimate(0, 3, 10.0, Random(1)), "shop", 5, addresses, lambda: True
    )
    gossip.reopen_watch = polls.append
    gossip.list_freshness.set_own_list(loop.time(), 7, OLD_LIST)

    transport: Any = FakeDatagramTransport()  # a test double for asyncio's transport
    gossip.connection_made(transport)
    decoded = [peer_messages.decode_message(data, "shop", 3) for data in transport.sent]
    assert len([message for message in decoded if isinstance(message, ListDigestMessage)]) == 2

    transport.sent.clear()
    later = ListDigestMessage(True, 1, 9, 55, 8, list_digest(NEW_LIST), 3)
    gossip.datagram_received(peer_messages.encode_message("shop", later), ("x", 1))
    answer = peer_messages.decode_message(transport.sent[0], "shop", 3)
    assert isinstance(answer, ListDigestMessage)
    assert (answer.is_request, answer.correlation_id, answer.index, answer.digest) == (
        False,
        55,
        7,
        list_digest(OLD_LIST),
    )

    loop.advance(0.6)
    assert polls == [0.0]

    response = peer_messages.encode_message("shop", later._replace(is_request=False))
    with caplog.at_level("WARNING", "calicofall"):
        for _ in range(8):
            loop.advance(0.9)
            gossip.datagram_received(response, ("x", 1))
    assert [record.message for record in caplog.records] == ["lists differ"]
    assert any(line.startswith("list.differs:1 index=8") for line in gossip.format_lines())


def test_reopen_with_a_live_watch_polls_again_and_keeps_the_list() -> None:
    harness = ProxyHarness()
    discovery = harness.proxy.discovery
    discovery.start()
    watch = discovery.watch
    assert watch is not None
    attempts = len(harness.loop.connect_requests)

    discovery.reopen(0.0)
    # The first poll has not been answered yet, so there is no second one.
    assert len(harness.loop.connect_requests) == attempts

    FakeTransport(watch).feed(CHUNKED_RESPONSE_HEAD + b"1\r\n\n\r\n")
    discovery.reopen(0.0)
    assert watch.closed
    assert len(harness.loop.connect_requests) == attempts + 1
    assert harness.proxy.upstreams.endpoint_names == {"c1", "c2", "c3"}
    harness.push_endpoint_list(endpoint("c1", "DRAINING"))
    assert harness.proxy.upstreams.endpoint_states()["c1"] == "draining"


def test_reopen_while_waiting_for_a_time_slot_keeps_the_slot() -> None:
    """If each message of a later list moved the slot, some of 300 starting proxies would never get a list."""
    loop: Any = FakeEventLoop()  # a test double for asyncio's loop
    slots = TimeSlots(299, 300, 10.0, 1000.0, 7_000.0)
    schedule = DiscoverySchedule(Random(1), 300, 5.0, slots)
    discovery = Discovery(
        loop,
        loop.open,
        "10.2.0.1:8500",
        None,
        schedule,
        lambda *event: None,
        lambda: None,
        lambda phase: None,
    )
    discovery.estimate_contention = lambda callback: callback(1.0)
    loop.clock = 1025.0  # its first slot is over, and the next is at 1049.9

    discovery.start()
    while not loop.connect_requests and loop.time() < 1060.0:
        loop.advance(0.1)
        fractions = [number / 50 for number in range(1, 50)]  # that peers' messages may lead to
        latest = max(fractions, key=lambda fraction: slots.next_slot_at(loop.time(), 2.0 * fraction))
        discovery.reopen(latest)

    assert len(loop.connect_requests) == 1
    assert loop.time() < 1050.2
