"""A new process at the address of one that has gone is not taken for it."""

import pytest
from helpers import ProxyHarness, encode_reply, encode_request, endpoint

from calicofall.config.endpoint_list import parse_endpoint_list

ADDRESS = "10.1.0.1:6379"
KEYS = 40
OLD = endpoint("c1", address=ADDRESS)


def new_endpoint(harness: ProxyHarness) -> dict:
    return endpoint("c9", address=ADDRESS) | {"since_ms": harness.proxy.now_ms()}


def push_full_list(harness: ProxyHarness, *entries: dict) -> None:
    message = {"index": 2, "snapshot": True, "endpoints": list(entries)}
    harness.proxy.on_list_event(*parse_endpoint_list(message))


def send_keys(harness: ProxyHarness) -> None:
    for key in range(KEYS):
        harness.client().feed(encode_request(key=key))


@pytest.mark.parametrize(
    "order", ["new one first", "old one again", "one list, new first", "one list, old first"]
)
def test_endpoint_whose_address_a_later_one_has_is_gone(order: str) -> None:
    harness = ProxyHarness(caches=2).with_high_limits()
    new, other = new_endpoint(harness), endpoint("c2")
    if order == "new one first":
        harness.push_endpoint_list(new)
    elif order == "old one again":
        harness.push_endpoint_list(new)
        harness.push_endpoint_list(OLD | {"weight": 2.0}, index=3)
    elif order == "one list, new first":
        push_full_list(harness, new, OLD, other)
    else:
        push_full_list(harness, OLD, other, new)
    send_keys(harness)
    assert "c1" not in harness.proxy.upstreams.endpoint_names
    streams = [stream for stream, _ in harness.loop.connect_requests]
    assert {stream.pool.name for stream in streams} <= {"c2", "c9"}
    assert "c1" not in {one.name for one in harness.proxy.router.policy.endpoints.ready_caches()}


def test_endpoints_of_one_address_that_started_long_ago_are_both_kept() -> None:
    harness = ProxyHarness(caches=2)
    harness.push_endpoint_list(endpoint("c9", address=ADDRESS))
    assert harness.proxy.upstreams.endpoint_names == {"c1", "c2", "c9"}


def test_address_that_its_owner_has_left_belongs_to_the_next_one() -> None:
    harness = ProxyHarness(caches=2)
    harness.push_endpoint_list(new_endpoint(harness))
    harness.push_endpoint_list(endpoint("c9", "DELETED", ADDRESS), index=3)
    harness.push_endpoint_list(endpoint("c1", address=ADDRESS), index=4)
    assert harness.proxy.upstreams.endpoint_names == {"c1", "c2"}
    moved = endpoint("c1", address="10.1.0.77:6379") | {"since_ms": harness.proxy.now_ms()}
    harness.push_endpoint_list(moved, index=5)
    harness.push_endpoint_list(endpoint("c8", address=ADDRESS), index=6)
    assert harness.proxy.upstreams.endpoint_names == {"c1", "c2", "c8"}


def test_connections_to_the_former_process_are_not_used_after_a_restart() -> None:
    """A process that vanished without a reset leaves connections on which commands would be lost."""
    harness = ProxyHarness(caches=1).with_high_limits()
    harness.client().feed(encode_request())
    former = harness.connect_upstream()
    former.feed(encode_reply())
    harness.loop.advance(1.0)
    assert former.stream.is_idle
    restarted = endpoint("c1") | {"since_ms": harness.proxy.now_ms()}
    harness.loop.advance(1.0)
    harness.push_endpoint_list(restarted)
    assert not former.open
    harness.client().feed(encode_request("order"))
    fresh = harness.connect_upstream()
    harness.loop.advance(0.1)
    fresh.feed(encode_reply())
    harness.push_endpoint_list(restarted | {"weight": 2.0}, index=3)
    assert fresh.open


@pytest.mark.parametrize("step_ms", [3_600_000.0, -3_600_000.0])
def test_start_that_a_stepped_clock_tells_costs_no_connection_later(step_ms: float) -> None:
    """An hour in the future would close each connection of that hour behind its first reply."""
    harness = ProxyHarness(caches=1).with_high_limits()
    restarted = endpoint("c1") | {"since_ms": harness.proxy.now_ms() + step_ms}
    harness.push_endpoint_list(restarted)
    harness.loop.advance(0.1)
    while not harness.loop.connect_requests:  # a cold cache is admitted few requests
        harness.client().feed(encode_request())
    upstream = harness.connect_upstream()
    upstream.feed(encode_reply())
    harness.push_endpoint_list(restarted | {"weight": 2.0}, index=3)
    harness.loop.advance(1.0)
    assert upstream.open
    assert upstream.stream.is_idle


def test_keys_that_the_former_process_held_are_not_taken_for_cached() -> None:
    harness = ProxyHarness(caches=1).with_high_limits()
    harness.client().feed(encode_request(key=5))
    harness.connect_upstream().feed(encode_reply())
    cached_keys = harness.proxy.router.policy.cached_keys
    assert cached_keys.holds("c1", 5)
    harness.push_endpoint_list(endpoint("c1") | {"since_ms": harness.proxy.now_ms()})
    assert not cached_keys.holds("c1", 5)
