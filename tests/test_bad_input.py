"""Every request gets one answer in time, whatever a large fleet is told and whatever becomes of connections.

Endpoint lists and connections are scripted, on a loop with simulated time: no clock and no network.
"""

from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random

import pytest
from helpers import FakeTransport, ProxyHarness, encode_reply, encode_request, endpoint

from calicofall.config.endpoint_list import parse_endpoint_list

MAX_DESCRIPTORS = 256
STEPS = 600
STEP_S = 0.02
LAST_REQUEST_STEP = 560


def endpoints(first: int, last: int) -> list[dict]:
    """Entries of a list, from number `first` up to, but without, `last`."""
    return [
        endpoint(f"c{number}", address=f"10.1.{number // 200}.{number % 200 + 1}:6379")
        for number in range(first, last)
    ]


def tell_list(harness: ProxyHarness, version: int, entries: list[dict]) -> None:
    harness.proxy.on_list_event(
        *parse_endpoint_list({"index": version, "snapshot": True, "endpoints": entries})
    )


def tell_changes(harness: ProxyHarness, version: int, entries: list[dict]) -> None:
    harness.proxy.on_list_event(
        *parse_endpoint_list({"index": version, "snapshot": False, "endpoints": entries})
    )


# What the discovery service tells


def list_empty_for_a_while(harness: ProxyHarness, step: int) -> None:
    if step == 200:
        tell_list(harness, 2, [])
    elif step == 400:
        tell_list(harness, 3, endpoints(1, 61))


def fleet_triples(harness: ProxyHarness, step: int) -> None:
    if step == 200:
        tell_list(harness, 2, endpoints(1, 181))


def drains_without_end(harness: ProxyHarness, step: int) -> None:
    """Endpoints that drain and are never deleted, and entries that lack most fields."""
    if step % 100 == 50:
        draining = endpoint(f"c{step // 100 + 1}", "DRAINING")
        tell_changes(harness, step, [draining, {"name": f"x{step}"}])


def addresses_used_again(harness: ProxyHarness, step: int) -> None:
    """An endpoint goes, and another one comes up at its address."""
    if step % 100 == 50:
        number = step // 100 + 1
        new = endpoint(f"n{number}", address=f"10.1.0.{number + 1}:6379")
        deleted = endpoint(f"c{number}", "DELETED")
        tell_changes(harness, step, [deleted, new | {"since_ms": harness.proxy.now_ms()}])


def nothing_told(_desk: ProxyHarness, _step: int) -> None:
    """The first list holds for the whole minute."""


# What becomes of connections


class AnsweringEndpoint(FakeTransport):
    """An endpoint that answers each command after a while."""

    def __init__(self, harness: ProxyHarness, stream: object, random: Random) -> None:
        self.harness = harness
        self.random = random
        super().__init__(stream)

    def write(self, data: bytes) -> None:
        for _ in range(bytes(data).count(b"C.")):
            self.harness.loop.call_later(self.random.uniform(0.005, 0.1), self.reply)

    def reply(self) -> None:
        if self.open:
            self.feed(encode_reply())


def connects(harness: ProxyHarness, stream: object, random: Random) -> None:
    harness.loop.call_later(0.001, lambda: stream.closed or AnsweringEndpoint(harness, stream, random))


def refused(harness: ProxyHarness, stream: object, _random: Random) -> None:
    harness.loop.call_later(0.0005, stream.abort)


def never_connects(_desk: ProxyHarness, _stream: object, _random: Random) -> None:
    """A connection that never comes up."""


def any_of_these(harness: ProxyHarness, stream: object, random: Random) -> None:
    random.choice([refused, never_connects, connects])(harness, stream, random)


def take_answer(client: FakeTransport) -> str:
    """What a client got, which has to be one answer: a value or a rejection."""
    is_value = client.sent.startswith(b"$")
    assert client.sent.count(b"\r\n") == (2 if is_value else 1)
    client.take()
    return "value" if is_value else "rejected"


@pytest.mark.parametrize(
    ("proxies", "caches", "quotas"),
    [
        pytest.param(40, 60, True, id="large fleet, tenant quotas"),
        pytest.param(40, 60, False, id="large fleet"),
        pytest.param(1, 1, True, id="one endpoint, tenant quotas"),
        pytest.param(1, 1, False, id="one endpoint"),
    ],
)
@pytest.mark.parametrize(
    ("news", "connection"),
    [
        (list_empty_for_a_while, connects),
        (fleet_triples, connects),
        (drains_without_end, connects),
        (addresses_used_again, connects),
        (nothing_told, connects),
        (nothing_told, refused),
        (nothing_told, never_connects),
        (fleet_triples, any_of_these),
    ],
    ids=lambda call: call.__name__,
)
def test_requests_are_answered_once_in_time_whatever_is_told(
    proxies: int, caches: int, quotas: bool, news: Callable, connection: Callable
) -> None:
    random = Random(3)
    settings = {"balancers": proxies} if quotas else {"balancers": proxies, "realms": []}
    harness = ProxyHarness(0, MAX_DESCRIPTORS, **settings)
    harness.proxy.upstreams.open_connection = lambda _loop, stream, _place, _patience: connection(
        harness, stream, random
    )
    harness.proxy.discovery.open_connection = lambda _loop, stream, _place, _patience: None
    harness.proxy.discovery.start()
    tell_list(harness, 1, endpoints(1, caches + 1))
    clients = [harness.client() for _ in range(20)]
    answer_due = {}
    keys = count()
    answers = Counter()
    calls_before = harness.loop.scheduled_count
    for step in range(STEPS):
        news(harness, step)
        for client in clients:
            if client.sent:
                assert harness.loop.time() <= answer_due.pop(client) + 0.05
                answers[take_answer(client)] += 1
        free = [client for client in clients if client not in answer_due]
        if free and step < LAST_REQUEST_STEP:
            client = random.choice(free)
            patience_ms = random.randrange(80, 400)
            method = random.choice(["read", "read", "save"])
            client.feed(encode_request(method, next(keys) % 50, str(patience_ms)))
            answer_due[client] = harness.loop.time() + patience_ms / 1000.0
        harness.loop.advance(STEP_S)
        assert (
            harness.proxy.upstreams.connection_count() + len(harness.proxy.clients.connections)
            <= MAX_DESCRIPTORS
        )
    assert not answer_due
    assert not harness.proxy.active_requests
    assert not harness.proxy.router.active_requests
    assert harness.loop.scheduled_count - calls_before < 60_000  # the loop does not spin
    if connection is connects and caches > 1:
        if news is list_empty_for_a_while:
            assert answers["value"] > answers["rejected"]
        else:
            assert answers["value"] > 4 * answers["rejected"]
    elif connection in (refused, never_connects):
        assert answers["value"] == 0
        assert answers["rejected"] > 100
