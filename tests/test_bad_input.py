"""Each request gets one answer in time, whatever happens to the endpoint list and to connections.

Endpoint lists and connections are scripted on a loop with simulated time, without a clock and a network.
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
    """Returns the list entries from number `first` up to, but excluding, `last`."""
    return [
        endpoint(f"c{number}", address=f"10.1.{number // 200}.{number % 200 + 1}:6379")
        for number in range(first, last)
    ]


def send_list(harness: ProxyHarness, version: int, entries: list[dict]) -> None:
    harness.proxy.on_list_event(
        *parse_endpoint_list({"index": version, "snapshot": True, "endpoints": entries})
    )


def send_changes(harness: ProxyHarness, version: int, entries: list[dict]) -> None:
    harness.proxy.on_list_event(
        *parse_endpoint_list({"index": version, "snapshot": False, "endpoints": entries})
    )


# Behaviour of the discovery service


def list_empty_temporarily(harness: ProxyHarness, step: int) -> None:
    if step == 200:
        send_list(harness, 2, [])
    elif step == 400:
        send_list(harness, 3, endpoints(1, 61))


def fleet_triples(harness: ProxyHarness, step: int) -> None:
    if step == 200:
        send_list(harness, 2, endpoints(1, 181))


def drains_without_deletion(harness: ProxyHarness, step: int) -> None:
    """Endpoints that drain but are never deleted, and entries without most fields."""
    if step % 100 == 50:
        draining = endpoint(f"c{step // 100 + 1}", "DRAINING")
        send_changes(harness, step, [draining, {"name": f"x{step}"}])


def addresses_reused(harness: ProxyHarness, step: int) -> None:
    """An endpoint is deleted, and another one starts at its address."""
    if step % 100 == 50:
        number = step // 100 + 1
        new = endpoint(f"n{number}", address=f"10.1.0.{number + 1}:6379")
        deleted = endpoint(f"c{number}", "DELETED")
        send_changes(harness, step, [deleted, new | {"since_ms": harness.proxy.now_ms()}])


def list_unchanged(_harness: ProxyHarness, _step: int) -> None:
    """The first list stays valid for the whole run."""


# Behaviour of connections


class AnsweringEndpoint(FakeTransport):
    """An endpoint that answers each command after a delay."""

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


def never_connects(_harness: ProxyHarness, _stream: object, _random: Random) -> None:
    """A connection that is never established."""


def random_behaviour(harness: ProxyHarness, stream: object, random: Random) -> None:
    random.choice([refused, never_connects, connects])(harness, stream, random)


def take_answer(client: FakeTransport) -> str:
    """Takes the one answer that a client received; returns whether it is a value or a rejection."""
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
    ("list_behaviour", "connection"),
    [
        (list_empty_temporarily, connects),
        (fleet_triples, connects),
        (drains_without_deletion, connects),
        (addresses_reused, connects),
        (list_unchanged, connects),
        (list_unchanged, refused),
        (list_unchanged, never_connects),
        (fleet_triples, random_behaviour),
    ],
    ids=lambda call: call.__name__,
)
def test_requests_are_answered_once_in_time_with_any_list_and_connections(
    proxies: int, caches: int, quotas: bool, list_behaviour: Callable, connection: Callable
) -> None:
    random = Random(3)
    settings = {"balancers": proxies} if quotas else {"balancers": proxies, "realms": []}
    harness = ProxyHarness(0, MAX_DESCRIPTORS, **settings)
    harness.proxy.upstreams.open_connection = lambda _loop, stream, _address, _timeout_s: connection(
        harness, stream, random
    )
    harness.proxy.discovery.open_connection = lambda _loop, stream, _address, _timeout_s: None
    harness.proxy.discovery.start()
    send_list(harness, 1, endpoints(1, caches + 1))
    clients = [harness.client() for _ in range(20)]
    answer_due = {}
    keys = count()
    answers = Counter()
    calls_before = harness.loop.scheduled_count
    for step in range(STEPS):
        list_behaviour(harness, step)
        for client in clients:
            if client.sent:
                assert harness.loop.time() <= answer_due.pop(client) + 0.05
                answers[take_answer(client)] += 1
        idle_clients = [client for client in clients if client not in answer_due]
        if idle_clients and step < LAST_REQUEST_STEP:
            client = random.choice(idle_clients)
            remaining_ms = random.randrange(80, 400)
            method = random.choice(["read", "read", "save"])
            client.feed(encode_request(method, next(keys) % 50, str(remaining_ms)))
            answer_due[client] = harness.loop.time() + remaining_ms / 1000.0
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
        if list_behaviour is list_empty_temporarily:
            assert answers["value"] > answers["rejected"]
        else:
            assert answers["value"] > 4 * answers["rejected"]
    elif connection in (refused, never_connects):
        assert answers["value"] == 0
        assert answers["rejected"] > 100
