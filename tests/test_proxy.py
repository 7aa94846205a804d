"""Requests through a proxy on fake transports and a fake clock: a small test for each kind of failure."""

import errno
import gc
import json
import os
import subprocess
import sys
import weakref
from pathlib import Path
from random import Random

import pytest
from click import ClickException
from click.testing import CliRunner
from helpers import CHUNKED_RESPONSE_HEAD, SETTINGS, ProxyHarness, encode_reply, encode_request, endpoint

from calicofall.cli.main import configuration, main
from calicofall.config.endpoint_list import parse_endpoint_list
from calicofall.config.settings import normalize_settings, parse_seed, validate_settings
from calicofall.proxy import resp
from calicofall.proxy.client_connection import MAX_CONSECUTIVE_ERRORS
from calicofall.proxy.client_protocol import parse_request_fields
from calicofall.proxy.clients import IDLE_BUDGET_DIVISOR
from calicofall.proxy.connection import ACCEPTS_PER_ITERATION, Listener
from calicofall.proxy.connection_pool import MIN_IDLE_CONNECTIONS
from calicofall.proxy.lingering_close import MAX_DISCARDED_BYTES
from calicofall.proxy.upstream_connection import REPLY_SETTLE_S
from calicofall.routing.request import Request
from calicofall.routing.router import Router
from calicofall.simulator_adapter import host


def test_read_is_sent_to_a_cache_and_its_answer_to_the_client() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    # `d`, the time left until the deadline (ms), is forwarded.
    assert b"d=900" in upstream.sent and upstream.take().startswith(b"*4\r\n$5\r\nC.GET\r\n")
    upstream.feed(encode_reply(b"fresh"))
    assert client.take() == b"$5\r\nfresh\r\n"
    harness.loop.clock += REPLY_SETTLE_S
    client.feed(encode_request())
    assert upstream.sent and len(harness.loop.connect_requests) == 1  # the connection is reused
    upstream.feed(b"-BUSY\r\n")
    assert len(harness.loop.connect_requests) == 2  # certain not to have run: sent to the next cache at once
    harness.connect_upstream().feed(encode_reply(b"other"))
    assert client.take() == b"$5\r\nother\r\n" and not harness.proxy.active_requests


@pytest.mark.parametrize(
    "data,answer",
    [
        (resp.encode_command([b"PING"]), b"+PONG\r\n"),
        (resp.encode_command([b"ping", b"x"]), b"$1\r\nx\r\n"),
        (resp.encode_command([b"HELLO", b"3"]), b"-ERR unknown command\r\n"),
        (b"*0\r\n", b"-ERR a command is"),
        (b":5\r\n", b"-ERR a command is"),
        (b"*1\r\n*0\r\n", b"-ERR a command is"),
        (resp.encode_command([b"C.GET", b"7"]), b"-ERR wrong number"),
        (encode_request(remaining_ms="x"), b"-ERR bad d"),
        (encode_request().replace(b"read", b"nope"), b"-ERR unknown m"),
        (encode_request().replace(b"acme", b"none"), b"-ERR unkno"),
    ],
)
def test_invalid_commands_are_answered_and_the_connection_stays_open(data: bytes, answer: bytes) -> None:
    client = ProxyHarness().client()
    client.feed(data)
    assert client.take().startswith(answer)
    client.feed(resp.encode_command([b"PING"]))
    assert client.take() == b"+PONG\r\n" and client.open


def test_invalid_framing_is_answered_and_the_connection_closed() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request() + b"GET / HTTP/1.1\r\n" + resp.encode_command([b"PING"]))
    assert not client.sent  # in order: the request before it is answered first
    harness.connect_upstream().feed(encode_reply(b"late"))
    assert client.sent == b"$4\r\nlate\r\n-ERR not RESP2\r\n"
    client.feed(bytes(100_000))
    harness.loop.advance(1.5)
    assert not client.open and client.sent.count(b"ERR") == 1


def test_answers_are_in_the_order_of_the_commands() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request(key=1) + encode_request(key=1) + resp.encode_command([b"PING"]))
    first, second = harness.connect_upstream(0), harness.connect_upstream(1)
    second.feed(encode_reply(b"second"))
    assert not client.sent
    first.feed(encode_reply(b"first"))
    assert client.sent == b"$5\r\nfirst\r\n$6\r\nsecond\r\n+PONG\r\n"


@pytest.mark.parametrize(
    "method,established,answer",
    [
        ("read", True, b"-BUSY"),
        ("order", True, b"-ERR errored"),
        ("order", False, b"-BUSY"),
        ("save", True, b"-BUSY"),
        ("save", False, b"-BUSY"),
    ],
)
def test_closed_connection_proves_that_a_command_has_not_run_only_before_it_was_established(
    method: str, established: bool, answer: bytes
) -> None:
    harness = ProxyHarness(caches=1)
    client = harness.client()
    client.feed(encode_request(method))
    if established:
        harness.connect_upstream().abort()
    else:
        harness.loop.connect_requests[0][0].abort()  # refused, or never established
    harness.loop.advance()
    assert client.sent.startswith(answer)


@pytest.mark.parametrize(("value_bytes", "answer"), [(50_000, b"-ERR errored"), (200_000, b"-BUSY ")])
def test_command_still_in_the_output_queue_has_not_run(value_bytes: int, answer: bytes) -> None:
    """Only bytes that are still queued behind a full socket prove that a command has not run."""
    harness = ProxyHarness(caches=1)
    harness.proxy.upstreams.set_max_connections(1)  # the second command waits for the first
    client, other = harness.client(), harness.client()
    client.feed(encode_request("order", key=1, value=bytes(value_bytes)))
    upstream = harness.connect_upstream(pause_after_bytes=100)
    other.feed(encode_request("order", key=2))
    assert len(harness.loop.connect_requests) == 1
    sent = upstream.take()
    upstream.abort()
    harness.loop.advance()
    assert client.sent.startswith(answer)
    assert sent.count(b"C.SET") == 1
    harness.connect_upstream().feed(encode_reply(b"second"))
    assert other.sent == b"$6\r\nsecond\r\n"


def test_late_reply_is_discarded() -> None:
    harness = ProxyHarness(caches=1)
    harness.proxy.upstreams.set_max_connections(1)
    client, other = harness.client(), harness.client()
    client.feed(encode_request(remaining_ms="100"))
    upstream = harness.connect_upstream()
    other.feed(encode_request(remaining_ms="900"))
    harness.loop.advance(0.2)
    # Replies carry no id: with the connection closed, the late one cannot pass for that of the next command.
    assert client.take().startswith(b"-BUSY")
    assert not upstream.open
    assert upstream.take().count(b"C.GET") == 1
    harness.connect_upstream().feed(encode_reply(b"fresh"))
    assert other.sent == b"$5\r\nfresh\r\n"
    assert not client.sent


def test_connection_with_an_overdue_answer_gets_no_new_command() -> None:
    """Open connections to an unresponsive machine used to be given request after request.

    If a command gets a new connection instead, and that fails, the command is certain not to have run.
    """
    harness = ProxyHarness(caches=1).with_high_limits()
    harness.proxy.upstreams.set_max_connections(2)
    clients = [harness.client() for _ in range(4)]
    for client, remaining_ms in zip(clients, ("100", "100", "900", "900"), strict=True):
        client.feed(encode_request("order", remaining_ms=remaining_ms))
    first, second = harness.connect_upstream(0), harness.connect_upstream(1)
    assert len(harness.loop.connect_requests) == 2  # one command on each; the others wait
    harness.loop.advance(0.09)
    assert first.open
    assert second.open
    harness.loop.advance(0.11)
    assert not first.open
    assert not second.open
    assert first.sent.count(b"C.SET") == second.sent.count(b"C.SET") == 1
    harness.connect_upstream(2).feed(encode_reply(b"fresh"))  # the cache responds again
    assert clients[2].sent == b"$5\r\nfresh\r\n"
    harness.loop.connect_requests[3][0].abort()  # not established
    harness.loop.advance()
    assert not clients[3].sent.startswith(b"-ERR")


def test_cancelled_command_is_sent_to_another_cache_and_is_in_flight_only_once() -> None:
    """With another command waiting, one stayed in flight while it was sent to another cache as well."""
    for is_awaited in (False, True):
        harness = ProxyHarness(caches=2).with_high_limits()
        harness.proxy.upstreams.set_max_connections(1)
        policy = harness.proxy.router.policy
        policy.timeouts.attempt_timeout_ms = lambda left, *_: 100.0
        client, other = harness.client(), harness.client()
        client.feed(encode_request(remaining_ms="400"))
        upstream = harness.connect_upstream()
        if is_awaited:
            other.feed(encode_request())
            assert len(harness.loop.connect_requests) == 1
        harness.loop.advance(0.11)
        assert not upstream.open
        assert upstream.sent.count(b"C.GET") == 1
        assert len(harness.loop.connect_requests) == 2
        upstreams = [
            harness.connect_upstream(number) for number in range(1, len(harness.loop.connect_requests))
        ]
        for upstream in upstreams:
            upstream.feed(encode_reply(b"one"))
        assert client.sent == b"$3\r\none\r\n"


def test_connections_are_opened_before_they_are_needed() -> None:
    """A busy cache does handshakes after its other work: first answers took two to four times as long."""
    harness = ProxyHarness(caches=1, connect_ahead=True).with_high_limits()
    assert len(harness.loop.connect_requests) == MIN_IDLE_CONNECTIONS
    upstreams = [harness.connect_upstream(number) for number in range(MIN_IDLE_CONNECTIONS)]
    client, other = harness.client(), harness.client()
    client.feed(encode_request(remaining_ms="100"))
    other.feed(encode_request())
    assert (
        all(upstream.sent for upstream in upstreams)
        and len(harness.loop.connect_requests) == 2 * MIN_IDLE_CONNECTIONS
    )
    harness.loop.advance(0.2)  # the command with 100 ms left times out and closes its connection
    assert (
        sum(upstream.open for upstream in upstreams) == MIN_IDLE_CONNECTIONS - 1
        and harness.proxy.upstreams.connection_count() == 2 * MIN_IDLE_CONNECTIONS - 1
    )
    for proxies in (8, 300):
        # Large fleets open no connections ahead.
        assert not ProxyHarness(caches=1, connect_ahead=True, balancers=proxies).loop.connect_requests


def test_timed_out_command_closes_its_connection() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request(remaining_ms="100"))
    upstream = harness.connect_upstream()
    harness.loop.advance(0.101)
    assert client.sent.startswith(b"-BUSY") and not upstream.open and not harness.proxy.active_requests


def test_command_that_times_out_before_its_connection_is_established_has_not_run() -> None:
    """Such a command was reported as timed out: a non-retriable request was errored, not exhausted."""
    harness = ProxyHarness(caches=1)
    client = harness.client()
    client.feed(encode_request("order", remaining_ms="100"))
    harness.loop.advance(0.101)
    assert client.sent.startswith(b"-BUSY") and not harness.proxy.router.policy.endpoints.caches["c1"].ejected


def test_read_ahead_is_limited_by_the_memory_of_buffered_commands() -> None:
    """Many clients that pipeline large values would use up the memory."""
    harness = ProxyHarness()
    harness.proxy.clients.memory.buffered_bytes = harness.proxy.clients.memory.read_ahead_bytes
    client = harness.client()
    client.feed(encode_request(key=1) + encode_request(key=1))
    assert len(client.stream.replies) == 1 and client.paused
    harness.connect_upstream(0).feed(encode_reply(b"one"))
    harness.loop.advance()
    harness.connect_upstream(0)
    assert client.sent == b"$3\r\none\r\n" and len(client.stream.replies) == 1


def test_request_of_a_client_that_disconnects_is_cancelled() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    client.abort()
    assert (
        not upstream.open and not harness.proxy.active_requests and not harness.proxy.router.active_requests
    )


def test_nothing_is_sent_for_a_client_that_disconnects_while_a_connection_is_opened() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request())
    client.abort()
    assert not harness.connect_upstream().sent and not harness.proxy.router.active_requests


@pytest.mark.parametrize(
    "data",
    [
        b"*2",
        b"+",
        b"$",
        b"!",
        b":5\r\n",
        b"\xff\x00",
        b"-\xff",
        b"-x",
        b"-ERR " + b"x" * 300,
        b"*3\n",
        b"*3\r\n$-1\r\n",
        b"*3\r\n$-5",
        b"*3\r\n$3221225472",
        b"*3\r\n$5000000\r\n",
        b"*3\r\n:5",
        b"*3\r\n$2\r\nabc",
        b"*3\r\n$1\r\nx\r\n+hit",
    ],
)
def test_command_with_a_malformed_reply_may_have_run_and_fails_at_once(data: bytes) -> None:
    """Lines that were already invalid were read to their end, and the cache was ejected for a reset."""
    harness = ProxyHarness(caches=2)
    client, other = harness.client(), harness.client()
    client.feed(encode_request("order"))
    upstream = harness.connect_upstream()
    upstream.feed(data)
    assert not upstream.open and client.sent == b"-ERR errored\r\n"
    other.feed(encode_request("read"))
    harness.connect_upstream().feed(data)
    harness.connect_upstream().feed(encode_reply(b"elsewhere"))
    assert other.sent == b"$9\r\nelsewhere\r\n"
    assert not any(
        cache.admitted_fraction < 1.0 for cache in harness.proxy.router.policy.endpoints.caches.values()
    )


def test_reply_that_never_ends_is_had_elsewhere_in_time() -> None:
    """A pause does not end it: three quarters of the request's time have passed before it is given up."""
    harness = ProxyHarness(caches=2)
    client = harness.client()
    client.feed(encode_request(remaining_ms="900"))
    upstream = harness.connect_upstream()
    for _ in range(3):  # a length whose line does not end: first 500, then one more digit at a time
        upstream.feed(b"*3\r\n$500\r\nx"[:8] if upstream.stream.parser.array is None else b"1")
        harness.loop.advance(0.05)
    harness.loop.advance(0.5)
    assert upstream.open
    harness.loop.advance(0.03)
    assert not upstream.open
    harness.connect_upstream().feed(encode_reply(b"elsewhere"))
    assert client.sent == b"$9\r\nelsewhere\r\n"


def test_reply_that_still_arrives_when_another_attempt_could_begin_is_read_on() -> None:
    harness = ProxyHarness(caches=2)
    client = harness.client()
    client.feed(encode_request(remaining_ms="900"))
    upstream = harness.connect_upstream()
    for piece in [b"*3\r\n$16\r\n", *[b"x"] * 15]:
        upstream.feed(piece)
        harness.loop.advance(0.05)
    upstream.feed(b"x\r\n$3\r\nhit\r\n$-1\r\n")
    assert client.sent == resp.encode_bulk(b"x" * 16)


@pytest.mark.parametrize("method", ["order", "save", "read"])
def test_incomplete_reply_ends_with_one_answer_within_the_request_time(method: str) -> None:
    """A request that may not be repeated waits until its deadline; its reply may still end till then."""
    harness = ProxyHarness(caches=1)
    client = harness.client()
    client.feed(encode_request(method, remaining_ms="900"))
    upstream = harness.connect_upstream()
    upstream.feed(b"*3\r\n$500\r\nx")
    harness.loop.advance(0.6)
    assert upstream.open
    assert not client.sent
    if method == "order":
        harness.loop.advance(0.29)
        assert upstream.open
    harness.loop.advance(0.32)
    assert client.sent.count(b"\r\n") == 1
    assert client.sent.startswith(b"-ERR" if method == "order" else b"-")
    assert not harness.proxy.active_requests


def test_answer_whose_load_report_pauses_is_sent_at_once() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request("order"))
    upstream = harness.connect_upstream()
    upstream.feed(encode_reply(b"good")[:-5] + b"$40\r\nserved_ps=1")
    harness.loop.advance(0.1)
    assert client.sent == b"$4\r\ngood\r\n"


def test_reply_of_a_client_that_has_left_is_not_awaited_for_the_time_of_its_request() -> None:
    harness = ProxyHarness(caps=SETTINGS["caps"] | {"cancel": False})
    client = harness.client()
    client.feed(encode_request("order"))
    upstream = harness.connect_upstream()
    upstream.feed(b"*3\r\n$500\r\nx")
    client.stream.eof_received()
    harness.loop.advance(0.1)
    assert not upstream.open


@pytest.mark.parametrize(
    "rest", [b"$9\r\n\xffx=,,1,=\r\n", b":5\r\n", b"\x00\x01", b"$99", b"$-7\r\n", b"$4\r\nabcdefg"]
)
def test_reply_with_a_malformed_load_report_is_valid(rest: bytes) -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request("order"))
    upstream = harness.connect_upstream()
    upstream.feed(encode_reply(b"good")[:-5] + rest)
    harness.loop.advance(0.3)
    assert client.sent == b"$4\r\ngood\r\n"


def test_values_of_hundreds_of_kilobytes_are_forwarded() -> None:
    """With large values, one answer in five was rejected as too large and its connection closed."""
    harness = ProxyHarness().with_high_limits()
    client, slow_client = harness.client(), harness.client(pause_after_bytes=100_000)
    value = Random(1).randbytes(370_000)
    for receiver in (client, slow_client):
        receiver.feed(encode_request())
        harness.connect_upstream().feed(encode_reply(value))
    assert client.take() == resp.encode_bulk(value)
    slow_client.pause_after_bytes = None
    slow_client.stream.resume_writing()
    assert slow_client.take() == resp.encode_bulk(value) and slow_client.open


@pytest.mark.parametrize("more", [encode_reply(b"stray"), b"\xff", b"*"])
def test_valid_reply_followed_by_more_input_is_completed_and_its_connection_closed(more: bytes) -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    upstream.feed(encode_reply() + more)
    assert not upstream.open and client.sent == b"$5\r\nfresh\r\n"


def test_connection_that_has_been_idle_for_a_while_is_preferred() -> None:
    """Some caches close a connection right after an answer: a command written to it at once may have run."""
    harness = ProxyHarness(caches=1).with_high_limits()
    clients = [harness.client() for _ in range(3)]
    for client in clients[:2]:
        client.feed(encode_request())
    upstreams = [harness.connect_upstream(0), harness.connect_upstream(1)]
    upstreams[0].feed(encode_reply())
    harness.loop.advance(REPLY_SETTLE_S)
    upstreams[1].feed(encode_reply())
    sent = [len(upstream.sent) for upstream in upstreams]
    clients[2].feed(encode_request())
    assert len(upstreams[0].sent) > sent[0] and len(upstreams[1].sent) == sent[1]


def test_unread_duplicate_reply_is_not_matched_to_the_next_command() -> None:
    """A duplicate reply that arrived separately was matched to the next request on the connection."""
    harness = ProxyHarness(caches=1)
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    upstream.feed(encode_reply())
    harness.loop.advance(REPLY_SETTLE_S)
    upstream.stream.poller = type("FakePoller", (), {"poll": lambda self, wait: [(5, 1)]})()
    client.feed(encode_request())
    assert not upstream.open and upstream.sent.count(b"C.GET") == 1
    harness.connect_upstream().feed(encode_reply(b"other"))
    assert client.sent == b"$5\r\nfresh\r\n$5\r\nother\r\n"


def test_idle_connections_are_closed_before_the_caches_close_them() -> None:
    harness = ProxyHarness()
    harness.client().feed(encode_request())
    upstream = harness.connect_upstream()
    upstream.feed(encode_reply())
    harness.loop.advance(26.0)
    harness.proxy.upstreams.close_expired_idle()
    assert upstream.open
    harness.loop.advance(2.0)
    harness.proxy.upstreams.close_expired_idle()
    assert not upstream.open


def test_draining_cache_gets_no_new_command() -> None:
    """A request that waits for a connection to it is sent to another cache; one in flight is finished."""
    harness = ProxyHarness(caches=2)
    client, other = harness.client(), harness.client()
    client.feed(encode_request(key=5))
    cache = next(name for name, pool in harness.proxy.upstreams.pools.items() if pool.connections)
    upstream = harness.connect_upstream()
    other.feed(encode_request(key=5))
    harness.push_endpoint_list(endpoint(cache, "DRAINING"))
    assert harness.loop.connect_requests[1][0].closed and len(harness.loop.connect_requests) == 3
    upstream.feed(encode_reply(b"done"))
    assert client.sent == b"$4\r\ndone\r\n" and not upstream.open
    harness.connect_upstream(2).feed(encode_reply(b"elsewhere"))
    assert other.sent == b"$9\r\nelsewhere\r\n"


def test_endpoint_changes_its_address() -> None:
    harness = ProxyHarness(caches=1)
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    upstream.feed(encode_reply())
    harness.push_endpoint_list(endpoint("c1", address="10.9.9.9:7000"))
    assert not upstream.open
    client.feed(encode_request())
    assert harness.loop.connect_requests[-1][1] == ("10.9.9.9", 7000)
    upstream = harness.connect_upstream()
    harness.push_endpoint_list(endpoint("c1", address="10.9.9.10:7000"))
    upstream.feed(encode_reply())
    assert not upstream.open  # the command in flight is finished, and no other is sent to the old address


def test_connections_are_limited_by_the_descriptors() -> None:
    # There are 32 connections for clients and caches, at most twelve of them for caches.
    harness = ProxyHarness(caches=2, sockets=64).with_high_limits()
    clients = [harness.client() for _ in range(20)]
    for number, client in enumerate(clients):
        client.feed(encode_request(key=number) + encode_request(key=number + 100))
    assert harness.proxy.upstreams.connection_count() == 12 and len(harness.proxy.active_requests) == 40
    assert harness.client() is None  # no connection is idle: a new client has to wait
    assert all(client.open for client in clients)


def test_new_client_displaces_a_silent_connection_or_the_longest_idle_one() -> None:
    """Many silent connections used to displace those of active clients, and even the new ones."""
    harness = ProxyHarness(sockets=64).with_high_limits()
    active_clients = [harness.client() for _ in range(16)]
    for client in active_clients:
        client.feed(resp.encode_command([b"PING"]))
    silent_clients = [harness.client() for _ in range(16)]
    harness.loop.advance(0.5)
    new_clients = [harness.client() for _ in range(16)]
    assert all(client.open for client in active_clients + new_clients) and not any(
        client.open for client in silent_clients
    )
    last_client = harness.client()  # those without input are still fresh, so the idle one is closed
    assert not active_clients[0].open and all(
        client.open for client in [*active_clients[1:], *new_clients, last_client]
    )


def test_idle_connections_are_closed_while_too_many_are_idle() -> None:
    """When clients shared a third of the descriptors, 128 idle connections left none for active clients."""
    harness = ProxyHarness(sockets=384)
    harness.proxy.upkeep()
    busy, oldest_idle = harness.client(), harness.client()
    oldest_idle.feed(resp.encode_command([b"PING"]))
    busy.feed(encode_request(remaining_ms="2000"))
    idle_clients = [harness.client() for _ in range(120)]
    for client in idle_clients:
        client.feed(resp.encode_command([b"PING"]))
    assert all(client.open for client in idle_clients)
    harness.loop.advance(0.5)
    max_idle = 352 // IDLE_BUDGET_DIVISOR  # of 384 descriptors, 32 are reserved
    assert [client.open for client in idle_clients] == [False] * (120 - max_idle) + [
        True
    ] * max_idle and busy.open


@pytest.mark.parametrize(
    "data", [b"", b"*", b"*4\r\n$5\r\nC.GET\r\n", encode_request("save", value=bytes(9000))[:5000]]
)
def test_incomplete_command_times_out_after_two_to_three_seconds(data: bytes) -> None:
    """Connections without input, or with a command that was never completed, used to stay open forever."""
    harness = ProxyHarness()
    harness.proxy.upkeep()
    client, other = harness.client(), harness.client()
    other.feed(resp.encode_command([b"PING"]))
    client.feed(data)
    harness.loop.advance(1.9)
    assert client.open and not client.sent
    harness.loop.advance(1.1)
    assert not client.open and client.sent.startswith(b"-ERR" if data else b"") and other.open


def test_commands_in_parts_are_processed_if_each_is_complete_in_time() -> None:
    harness = ProxyHarness()
    harness.proxy.upkeep()
    client, data = harness.client(), resp.encode_command([b"PING"])
    for number in range(20):
        client.feed(data[5:] + data[:5] if number else data[:5])
        harness.loop.advance(0.9)
    assert client.open and client.sent == b"+PONG\r\n" * 19


@pytest.mark.parametrize("data", [b"x", b"GET / HT", b"*1\r\n$60000000\r\n", b"*1\r\n$-3\r\n", b"\x00"])
def test_invalid_command_is_rejected_at_its_first_invalid_byte_and_not_read_further(data: bytes) -> None:
    """60 MB used to be read and discarded for a second, while all other clients waited."""
    harness = ProxyHarness()
    client = harness.client()
    client.feed(data)
    assert client.sent.startswith(b"-ERR") and not client.paused
    # Input in flight is read and discarded, since a reset would discard the reply.
    client.feed(bytes(MAX_DISCARDED_BYTES + 1))
    assert client.paused and not len(client.stream.input)  # and no more than the maximum is discarded
    harness.loop.advance(0.5)
    assert not client.open


def test_incomplete_large_commands_stay_within_the_memory_limit() -> None:
    """Hundreds of clients that stall in the middle of a command of 64 KiB would have used more than 32 MB."""
    harness = ProxyHarness()
    memory = harness.proxy.clients.memory
    memory.read_ahead_bytes = 2 << 20
    harness.proxy.upkeep()
    clients = [harness.client() for _ in range(200)]
    unsent = {client: encode_request("save", value=bytes(60_000))[:40_000] for client in clients}

    def write_what_is_read() -> None:
        for client in clients:
            while unsent[client] and client.open and not client.paused:
                client.feed(unsent[client][:4096])
                unsent[client] = unsent[client][4096:]
            assert memory.partial_command_bytes <= 4 << 20
        assert sum(len(client.stream.input.memory) for client in clients) <= 3 << 20

    for _ in range(80):
        write_what_is_read()
        harness.loop.advance(0.05)
    assert all(client.sent.startswith((b"-ERR", b"-BUSY")) for client in clients)
    for client in clients:
        client.abort()
    assert (
        harness.proxy.clients.memory.partial_command_bytes == 0
        and harness.proxy.clients.memory.buffered_bytes == 0
    )


def test_many_invalid_commands_close_the_connection() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(resp.encode_command([b"HELLO"]) * 300)
    assert client.sent.count(b"-ERR") == MAX_CONSECUTIVE_ERRORS and client.eof_written
    client.feed(bytes(MAX_DISCARDED_BYTES + 1))
    assert client.paused
    harness.loop.advance(0.5)
    assert not client.open


def test_id_of_a_request_in_flight_is_rejected_and_free_again_after_it() -> None:
    """A faulty client's request under the id of another one used to reach the caches."""
    harness = ProxyHarness().with_high_limits()
    client, other, data = harness.client(), harness.client(), encode_request()
    client.feed(data)
    other.feed(data)
    assert other.take().startswith(b"-ERR the id") and len(harness.proxy.active_requests) == 1
    harness.connect_upstream().feed(encode_reply())
    assert client.take() == b"$5\r\nfresh\r\n"
    other.feed(data)
    other.abort()
    assert not harness.proxy.requests.active_client_ids and not harness.proxy.active_requests


def test_listener_accepts_few_connections_per_iteration_and_pauses_without_descriptors() -> None:
    """At its last descriptor asyncio's server logged 512 errors and then accepted nothing for a second."""
    harness, accepted, readers = ProxyHarness(), [], []
    listener = Listener.__new__(Listener)
    listener.loop, listener.has_capacity, listener.make_connection = harness.loop, lambda: True, lambda: None
    listener.has_pending_connection = lambda: True
    listener.awaits_release = lambda: False
    listener.socket = type(
        "FakeSocket", (), {"fileno": lambda self: 9, "accept": lambda self: (None, None)}
    )()
    harness.loop.add_reader = lambda fileno, callback: readers.append(callback)
    harness.loop.remove_reader = lambda fileno: readers.clear()
    listener._start = lambda _socket, connection: accepted.append(connection)
    listener.resume_accepting()
    readers[0]()
    assert len(accepted) == ACCEPTS_PER_ITERATION and readers

    def fail_accept(_socket: object) -> None:
        raise OSError(errno.EMFILE, "too many")

    type(listener.socket).accept = fail_accept
    readers[0]()
    assert not readers and len(accepted) == ACCEPTS_PER_ITERATION
    harness.loop.advance(0.1)
    assert readers


def test_idle_connection_is_closed_for_one_that_is_needed() -> None:
    """At the maximum of connections a healthy cache without a connection seemed to be unreachable."""
    harness = ProxyHarness(caches=2)
    harness.proxy.upstreams.max_connections = 1
    keys = {harness.proxy.router.policy.placement.ranking(key)[0].name: key for key in range(20)}
    client = harness.client()
    for key in keys.values():
        client.feed(encode_request(key=key))
        harness.connect_upstream().feed(encode_reply(b"fresh"))
    assert client.sent == b"$5\r\nfresh\r\n" * 2 and harness.proxy.upstreams.connection_count() == 1


def test_nothing_is_sent_for_a_request_after_its_deadline() -> None:
    """Bytes queued behind a full socket would have been sent after their request's final answer."""
    harness = ProxyHarness(caches=1)
    harness.proxy.upstreams.set_max_connections(1)
    client, other = harness.client(), harness.client()
    client.feed(encode_request("save", value=bytes(200_000), remaining_ms="100"))
    upstream = harness.connect_upstream(pause_after_bytes=100)
    other.feed(encode_request(remaining_ms="100"))
    harness.loop.advance(0.2)
    assert client.sent.startswith(b"-BUSY") and other.sent.startswith(b"-BUSY") and not upstream.open
    assert not upstream.sent.count(b"C.GET")


def test_exception_in_a_decision_gives_an_errored_request() -> None:
    harness = ProxyHarness()
    client = harness.client()
    harness.proxy.router.policy.decide = lambda now, request: 1 // 0
    client.feed(encode_request())
    assert client.sent == b"-ERR errored\r\n" and client.open and not harness.proxy.active_requests


def test_exception_in_a_decision_after_a_wait_gives_an_errored_request() -> None:
    """Only first decisions and outcomes were guarded: a request that had waited got no answer."""
    harness = ProxyHarness()
    client = harness.client()
    harness.proxy.router.policy.decide = lambda now, request: ("wait", 15.0)
    client.feed(encode_request())
    harness.loop.advance(0.01)
    harness.proxy.router.policy.decide = lambda now, request: 1 // 0
    harness.loop.advance(0.01)
    assert client.sent == b"-ERR errored\r\n" and client.open and not harness.proxy.active_requests


def test_client_that_does_not_read_is_disconnected() -> None:
    harness = ProxyHarness()
    client = harness.client(pause_after_bytes=1000)
    client.feed(encode_request(key=1))
    harness.connect_upstream().feed(encode_reply(bytes(60_000)))
    for _ in range(30):
        client.feed(encode_request(key=1))
    assert client.paused and len(harness.proxy.active_requests) == 0  # no further command is processed
    harness.loop.advance(3.0)
    assert not client.open


def test_requests_in_flight_finish_after_sigterm() -> None:
    harness = ProxyHarness()
    busy, idle = harness.client(), harness.client()
    busy.feed(encode_request(remaining_ms="2000"))
    upstream = harness.connect_upstream()
    harness.proxy.upkeep()
    harness.sigterm()
    harness.loop.advance(1.0)
    assert not idle.open and not busy.eof_written and not harness.proxy.stopped.done()
    upstream.feed(encode_reply(b"last"))
    assert busy.sent == b"$4\r\nlast\r\n" and busy.eof_written
    busy.receive_eof()
    harness.loop.advance(0.1)
    assert harness.proxy.stopped.done()


def test_pipelined_commands_are_answered_after_sigterm() -> None:
    """A connection was closed after its next reply, despite complete commands already read from it."""
    harness = ProxyHarness().with_high_limits()
    client = harness.client()
    client.feed(b"".join(encode_request(key=1) for _ in range(18)))  # two more than MAX_PIPELINED_COMMANDS
    harness.sigterm()
    for number in range(20):
        for index in range(len(harness.loop.connect_requests)):
            connection = harness.loop.connect_requests[index][0]
            upstream = connection.transport or harness.connect_upstream(index)
            upstream.feed(encode_reply(b"%d" % number) * (connection.command is not None))
        harness.loop.advance()
    assert client.sent.count(b"$") == 18 and client.eof_written


def test_request_that_cannot_finish_before_the_kill_is_answered_after_sigterm() -> None:
    """A process is killed soon after its SIGTERM, maybe before the deadline of a request in flight."""
    harness = ProxyHarness(methods=[SETTINGS["methods"][0] | {"hardDeadlineNs": 9_000_000_000}])
    client = harness.client()
    client.feed(encode_request(remaining_ms="9000"))
    harness.connect_upstream()
    harness.sigterm()
    harness.loop.advance(3.5)
    assert client.sent.startswith(b"-BUSY") and not harness.proxy.active_requests


def test_events_within_a_few_ms_share_a_tick() -> None:
    """A tick for each event took a tenth of a core at a thousand requests a second."""
    harness, ticks = ProxyHarness().with_high_limits(), []
    client, tick = harness.client(), harness.proxy.router.tick
    harness.loop.advance(1.0)
    harness.proxy.router.tick = lambda now: ticks.append(now) or tick(now)
    for _ in range(10):
        client.feed(encode_request())
    harness.loop.advance(0.01)
    assert len(ticks) == 1


def test_closed_transports_are_freed() -> None:
    """They are reference cycles, which collections of the youngest generation alone never freed."""
    harness, cycle = ProxyHarness(), type("Transport", (), {})()
    cycle.itself, reference = cycle, weakref.ref(cycle)
    gc.collect()
    del cycle
    harness.proxy.upkeep()
    harness.loop.advance(1.0)
    assert reference() is not None
    harness.loop.advance(5.0)
    assert reference() is None


def test_sighup_moves_the_watch_and_keeps_everything_else() -> None:
    """SIGHUP used to end the proxy, and PROXY_DISCOVERY would have kept the discovery agent of the start."""
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    harness.proxy.discovery.start()
    old_watch = harness.connect_upstream()
    old_watch.feed(CHUNKED_RESPONSE_HEAD + b"1\r\n\n\r\n")
    node = harness.proxy.node | {"discovery": "10.2.0.9:8500"}
    harness.proxy.on_sighup(lambda: 1 // 0)
    assert old_watch.open and len(harness.loop.connect_requests) == 2  # an unreadable file changes nothing
    harness.proxy.on_sighup(lambda: node)
    assert (
        not old_watch.open
        and harness.loop.connect_requests[-1][1] == ("10.2.0.9", 8500)
        and upstream.open
        and client.open
    )
    new_watch = harness.connect_upstream()
    assert b"since=" not in new_watch.sent  # the indexes of two agents are not comparable
    list_message = json.dumps({"index": 1, "snapshot": True, "endpoints": [endpoint("c1")]}).encode() + b"\n"
    new_watch.feed(CHUNKED_RESPONSE_HEAD + b"%x\r\n%b\r\n" % (len(list_message), list_message))
    assert sum(pool.accepts_requests for pool in harness.proxy.upstreams.pools.values()) == 1
    upstream.feed(encode_reply(b"kept"))
    assert client.sent == b"$4\r\nkept\r\n"
    harness.loop.advance(2.0)
    assert len(harness.loop.connect_requests) == 3  # one watch, not one for each that ended
    harness.proxy.on_sighup(lambda: node)
    assert new_watch.open and len(harness.loop.connect_requests) == 3  # an unchanged address keeps its watch


def test_reread_configuration_takes_precedence_over_the_environment_of_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "node.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:3",
                "seed": "1f",
                "settings": SETTINGS,
            }
        )
    )
    monkeypatch.setenv("PROXY_DISCOVERY", "127.0.0.1:2")
    assert configuration(str(path))["discovery"] == "127.0.0.1:2"
    assert configuration(str(path), again=True)["discovery"] == "127.0.0.1:3"


@pytest.mark.parametrize("seed", range(4))
def test_every_request_has_one_answer_with_random_events(seed: int) -> None:
    """Caches answer, reject, disconnect, stay silent or leave the list, clients leave: no request is lost."""
    random_generator, harness = Random(seed), ProxyHarness(caches=4)
    clients, upstreams, request_count = [harness.client() for _ in range(12)], [], 0
    for step in range(2500):
        while len(upstreams) < len(harness.loop.connect_requests):
            connection = harness.loop.connect_requests[len(upstreams)][0]
            if connection.closed or random_generator.random() < 0.05:
                connection.abort()
                upstreams.append(None)
            else:
                upstreams.append(harness.connect_upstream(len(upstreams)))
        for upstream in [
            upstream
            for upstream in upstreams[-40:]
            if upstream is not None and upstream.open and upstream.stream.command
        ]:
            draw = random_generator.random()
            if draw < 0.3:
                upstream.feed(
                    encode_reply(
                        b"x" * random_generator.randrange(2000),
                        random_generator.choice([b"hit", b"miss", None]),
                    )
                )
            elif draw < 0.36:
                upstream.feed(random_generator.choice([b"-BUSY\r\n", b"-ERR failed\r\n", b"?\r\n"]))
            elif draw < 0.38:
                upstream.abort()
        client = random_generator.choice(clients)
        if client.open and not client.stream.replies:
            client.take()
            client.feed(
                encode_request(
                    random_generator.choice(["read", "read", "save", "order"]),
                    random_generator.randrange(9),
                    str(random_generator.randrange(50, 900)),
                )
            )
            request_count += 1
        elif random_generator.random() < 0.02:
            clients[clients.index(client)] = harness.client()
            client.abort()
        if step % 200 == 0:
            harness.push_endpoint_list(
                endpoint(
                    f"c{random_generator.randrange(1, 5)}",
                    random_generator.choice(["SERVING"] * 2 + ["DRAINING"]),
                )
            )
        harness.loop.advance(0.01)
        overdue = [
            active_request
            for active_request in harness.proxy.active_requests.values()
            if harness.proxy.now_ms() > active_request.request.expires_at + 1.0
        ]
        assert not overdue
    harness.loop.advance(2.1)
    assert (
        request_count > 500 and not harness.proxy.active_requests and not harness.proxy.router.active_requests
    )
    assert all(not client.stream.replies for client in clients)
    assert sum(harness.proxy.metrics.totals().values()) <= request_count


def test_router_and_simulator_adapter_decide_alike_on_the_same_inputs() -> None:
    """The simulator adapter and the router decide alike, given the same settings, seed, list and keys."""
    random_generator, adapter_output, router_decisions = Random(5), [], []
    adapter = host.Proxy(0, parse_seed("8c1f30d27a5be964"), SETTINGS, 0.0, adapter_output)
    adapter.on_endpoint_list(0.0, 2, 1, [[f"c{i}", "a", "box", 0, 2, 1.0 + i % 2, 0] for i in range(6)])
    router = Router(normalize_settings(json.loads(json.dumps(SETTINGS))), parse_seed("8c1f30d27a5be964"), 0.0)
    endpoint_list = {
        "snapshot": True,
        "endpoints": [endpoint(f"c{i}") | {"weight": 1.0 + i % 2} for i in range(6)],
    }
    router.on_endpoint_list(0.0, "cached", 1, parse_endpoint_list(endpoint_list)[2])

    def record_decision(request: Request, cache: str | None) -> None:
        if cache is not None:
            router_decisions.append(["PassOn", request.id, cache])
            in_flight.append((now + random_generator.uniform(5.0, 400.0), request))
        elif request.answer in ("exhausted", "errored"):
            router_decisions.append(["NotNow" if request.answer == "exhausted" else "Surrender", request.id])

    in_flight: list[tuple] = []
    for number in range(2000):
        now, key, method = (
            number * 5.0,
            random_generator.randrange(40),
            random_generator.choice(["read", "save"]),
        )
        pairs = f"c={method},t=acme,d=700,k=5c0f".encode()
        fields = parse_request_fields(
            [b"C.GET", b"%x" % key, b"1", pairs], router.policy.settings.methods, {"acme"}
        )
        write, until = method == "save", now + fields.patience_ms
        request = Request(f"{number:016x}", method, "acme", fields.key, write, now, until)
        record_decision(request, router.route(now, request))
        adapter.on_request(now, request.id, method, round(until * 1e6), 4 * write, "acme", None, None, key)
        for due in [due for due in in_flight if due[0] <= now]:
            in_flight.remove(due)
            status, outcome = random_generator.choice([(0, "completed")] * 9 + [(13, "error"), (8, "full")])
            attempt = len(due[1].attempts) - 1
            adapter.on_attempt_ended(
                now,
                due[1].id,
                attempt,
                due[1].attempts[-1].endpoint,
                status,
                40_000_000,
                status == 0,
                1,
                None,
            )
            record_decision(due[1], router.report_attempt(now, due[1], attempt, outcome, 40.0, "hit"))
        while (due_request := router.next_due_request(now)) is not None:
            record_decision(due_request, router.route(now, due_request))
        adapter.on_timer(now, 0)
        router.tick(now)
        adapter.end_batch(now)
    adapter_decisions = [
        [message[0], *message[2:4]]
        for message in map(json.loads, adapter_output)
        if message[0] in ("PassOn", "NotNow", "Surrender")
    ]
    assert [
        message[: len(expected)]
        for message, expected in zip(adapter_decisions, router_decisions, strict=True)
    ] == router_decisions
    # Requests were forwarded and rejected; with this seed, a rejection is always of the kind "NotNow".
    assert len(router_decisions) > 2000 and len({message[0] for message in router_decisions}) == 2


@pytest.mark.parametrize(
    "change,expected_message",
    [
        ({"listen": "nowhere"}, "no address"),
        ({"settings": {}}, "settings is missing"),
        ({"seed": "xyz"}, "invalid"),
        ({"settings": {"methods": [{"name": "read"}]}}, "repeats is missing"),
        ({"known": {"endpoints": 5}}, "no list"),
        ({"limits": {"sockets": 5}}, "sockets is under 64"),
        ({"limits": {"memory_mb": 8}}, "memory_mb is under 32"),
        ({"mgmt": "nowhere"}, "no address"),
        ({"mgmt": 9901}, "mgmt is 9901: an address would be right"),
        ({"mgmt": "127.0.0.1:1"}, "the same as listen: another port would be right"),
        (None, "PROXY_CONFIG is missing"),
    ],
)
def test_invalid_configuration_gives_one_line(
    tmp_path: Path, change: dict | None, expected_message: str
) -> None:
    node = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "1f",
        "settings": SETTINGS,
    }
    path = tmp_path / "node.json"
    path.write_text(json.dumps(node | (change or {})))
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    environment |= {"PROXY_CONFIG": str(path)} if change else {}
    result = subprocess.run(
        [sys.executable, "-m", "calicofall", "serve"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode != 0 and expected_message in result.stderr and result.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "change,expected_message",
    [
        ({"me": 2}, "settings.me is 2: a whole number from 0 to 1"),
        ({"me": "0"}, "settings.me is '0'"),
        ({"balancers": 0}, "settings.balancers is 0: a whole number from 1"),
        ({"balancers": True}, "settings.balancers is True"),
        ({"caps": 7}, "settings.caps is 7: an object"),
        ({"caps": {"peerMessages": "yes"}}, "settings.caps.peerMessages is 'yes': true or false"),
        ({"caps": {"probes": 1}}, "settings.caps.probes is 1: true or false"),
        ({"stats": {"how": "sometimes"}}, "settings.stats.how is 'sometimes': one of inline, on_probe, off"),
        ({"stats": {"fields": "pending"}}, "settings.stats.fields is 'pending': a list"),
    ],
)
def test_invalid_fleet_settings_give_one_line(tmp_path: Path, change: dict, expected_message: str) -> None:
    path = tmp_path / "node.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:3",
                "seed": "1f",
                "settings": SETTINGS | change,
            }
        )
    )
    with pytest.raises(ClickException) as error_info:
        configuration(str(path))
    assert expected_message in error_info.value.message and "\n" not in error_info.value.message


def test_messages_between_proxies_are_not_supported_on_sockets(tmp_path: Path) -> None:
    caps = SETTINGS["caps"] | {"peerMessages": True}
    harness = ProxyHarness(caps=caps)
    assert harness.proxy.router.policy.gossip.peer_count == 0
    path = tmp_path / "node.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:3",
                "seed": "1f",
                "settings": SETTINGS | {"caps": caps},
            }
        )
    )
    result = CliRunner().invoke(main, ["check", "--config", str(path)])
    assert result.exit_code == 0 and "settings.caps.peerMessages is not carried on sockets" in result.output


def test_invalid_fleet_settings_on_reload_change_nothing() -> None:
    harness = ProxyHarness()
    new_addresses = []
    harness.proxy.discovery.change_address = new_addresses.append

    def reread() -> dict:
        validate_settings(SETTINGS | {"me": 9})
        return harness.proxy.node

    harness.proxy.on_sighup(reread)
    assert not new_addresses
