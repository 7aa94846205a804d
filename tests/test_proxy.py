"""The life of RPCs on fake transports and time: a small test for each break looked for."""

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
from calicofall.proxy.connection import ACCEPTS_PER_TURN, MAX_DISCARDED_BYTES, Listener
from calicofall.proxy.connection_pool import MIN_IDLE_CONNECTIONS
from calicofall.routing.request import Request
from calicofall.routing.router import Router
from calicofall.simulator_adapter import host


def test_a_read_goes_to_a_cache_and_its_answer_to_the_client() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    assert b"d=900" in upstream.sent and upstream.take().startswith(b"*4\r\n$5\r\nC.GET\r\n")
    upstream.feed(encode_reply(b"fresh"))
    assert client.take() == b"$5\r\nfresh\r\n"
    client.feed(encode_request())
    assert upstream.sent and len(harness.loop.connect_requests) == 1  # the connection is used again
    upstream.feed(b"-BUSY\r\n")
    assert len(harness.loop.connect_requests) == 2  # proven not run: sent to the next at once
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
def test_bad_commands_are_answered_and_the_connection_goes_on(data: bytes, answer: bytes) -> None:
    client = ProxyHarness().client()
    client.feed(data)
    assert client.take().startswith(answer)
    client.feed(resp.encode_command([b"PING"]))
    assert client.take() == b"+PONG\r\n" and client.open


def test_lost_framing_is_answered_then_closed() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request() + b"GET / HTTP/1.1\r\n" + resp.encode_command([b"PING"]))
    assert not client.sent  # in order: the RPC before it is answered first
    harness.connect_upstream().feed(encode_reply(b"late"))
    assert client.sent == b"$4\r\nlate\r\n-ERR not RESP2\r\n"
    client.feed(bytes(100_000))
    harness.loop.advance(1.5)
    assert not client.open and client.sent.count(b"ERR") == 1


def test_answers_come_in_the_order_of_commands() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request(key=1) + encode_request(key=1) + resp.encode_command([b"PING"]))
    first, second = harness.connect_upstream(0), harness.connect_upstream(1)
    second.feed(encode_reply(b"second"))
    assert not client.sent
    first.feed(encode_reply(b"first"))
    assert client.sent == b"$5\r\nfirst\r\n$6\r\nsecond\r\n+PONG\r\n"


@pytest.mark.parametrize(
    "method,up,answer",
    [
        ("read", True, b"-BUSY"),
        ("order", True, b"-ERR errored"),
        ("order", False, b"-BUSY"),
        ("save", True, b"-BUSY"),
        ("save", False, b"-BUSY"),
    ],
)
def test_a_connection_that_broke_proves_not_run_only_before_it_was_up(
    method: str, up: bool, answer: bytes
) -> None:
    harness = ProxyHarness(caches=1)
    client = harness.client()
    client.feed(encode_request(method))
    if up:
        harness.connect_upstream().abort()
    else:
        harness.loop.connect_requests[0][0].abort()  # refused, or never came up
    harness.loop.advance()
    assert client.sent.startswith(answer)


def test_what_still_lay_in_our_buffer_has_not_run() -> None:
    """Bytes held back behind a full socket never left: only those count as proof."""
    harness = ProxyHarness(caches=1)
    harness.proxy.upstreams.max_connections_per_endpoint = 1  # the second is written behind the first
    client, other = harness.client(), harness.client()
    client.feed(encode_request("order", key=1, value=bytes(50_000)))
    upstream = harness.connect_upstream(pause_after_bytes=100)
    other.feed(encode_request("order", key=2))
    assert len(harness.loop.connect_requests) == 1
    upstream.abort()
    harness.loop.advance()
    assert client.sent.startswith(b"-ERR errored") and other.sent.startswith(b"-BUSY ")


def test_a_late_reply_is_matched_to_nothing() -> None:
    harness = ProxyHarness(caches=1)
    harness.proxy.upstreams.max_connections_per_endpoint = 1
    client, other = harness.client(), harness.client()
    client.feed(encode_request(remaining_ms="100"))
    upstream = harness.connect_upstream()
    other.feed(encode_request(remaining_ms="900"))
    harness.loop.advance(0.2)
    assert client.take().startswith(b"-BUSY") and upstream.open  # another still waits on the connection
    upstream.feed(encode_reply(b"late") + encode_reply(b"fresh"))
    assert other.sent == b"$5\r\nfresh\r\n" and not client.sent


def test_a_connection_whose_answer_is_overdue_takes_nothing_new() -> None:
    """A silent machine's open connections held RPC after RPC; a new one that fails proves them not run."""
    harness = ProxyHarness(caches=1).with_high_limits()
    harness.proxy.upstreams.max_connections_per_endpoint = 2
    clients = [harness.client() for _ in range(5)]
    for client, remaining_ms in zip(clients[:4], ("100", "100", "900", "900"), strict=True):
        client.feed(encode_request(remaining_ms=remaining_ms))
    first, second = harness.connect_upstream(0), harness.connect_upstream(1)
    assert len(harness.loop.connect_requests) == 2  # two have one each, the others share
    harness.loop.advance(0.2)
    assert first.open and second.open
    harness.proxy.router.policy.endpoints.caches["c1"].reinstate()
    clients[4].feed(encode_request(remaining_ms="300"))
    assert len(harness.loop.connect_requests) == 3
    first.feed(encode_reply(b"late") + encode_reply(b"fresh"))  # it speaks again
    assert clients[2].sent == b"$5\r\nfresh\r\n" and first.open
    clients[0].feed(encode_request())
    assert len(harness.loop.connect_requests) == 3


def test_what_is_called_off_early_is_sent_elsewhere_and_out_only_once() -> None:
    """On a connection that others shared the first copy was still out while the second went elsewhere."""
    for shared in (False, True):
        harness = ProxyHarness(caches=2).with_high_limits()
        harness.proxy.upstreams.max_connections_per_endpoint, policy = 1, harness.proxy.router.policy
        policy.timeouts.attempt_timeout_ms = lambda left, *_: 100.0
        client, other = harness.client(), harness.client()
        client.feed(encode_request(remaining_ms="400"))
        upstream = harness.connect_upstream()
        if shared:
            other.feed(encode_request())
            assert len(harness.loop.connect_requests) == 1
        harness.loop.advance(0.11)
        assert upstream.open is shared and len(harness.loop.connect_requests) == (1 if shared else 2)
        (upstream if shared else harness.connect_upstream()).feed(encode_reply(b"one"))
        assert client.sent == b"$3\r\none\r\n"


def test_connections_rest_ready_before_they_are_needed() -> None:
    """A busy cache does a handshake behind its other work: first answers took two to four times as long."""
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
    harness.loop.advance(0.2)
    assert (
        sum(upstream.open for upstream in upstreams) == MIN_IDLE_CONNECTIONS - 1
        and harness.proxy.upstreams.connection_count() == 2 * MIN_IDLE_CONNECTIONS - 1
    )
    for many in (8, 300):
        assert not ProxyHarness(
            caches=1, connect_ahead=True, balancers=many
        ).loop.connect_requests  # together they pay for them


def test_a_transmission_given_up_closes_its_connection() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request(remaining_ms="100"))
    upstream = harness.connect_upstream()
    harness.loop.advance(0.101)
    assert client.sent.startswith(b"-BUSY") and not upstream.open and not harness.proxy.active_requests


def test_time_that_is_up_before_a_connection_came_up_proves_not_run() -> None:
    """It was called a time-out, which may have run: a non-retriable RPC was errored, not exhausted."""
    harness = ProxyHarness(caches=1)
    client = harness.client()
    client.feed(encode_request("order", remaining_ms="100"))
    harness.loop.advance(0.101)
    assert client.sent.startswith(b"-BUSY") and not harness.proxy.router.policy.endpoints.caches["c1"].ejected


def test_little_is_read_ahead_once_much_is_in_hand() -> None:
    """Many clients that pipeline large values would fill the memory there is."""
    harness = ProxyHarness()
    harness.proxy.clients.buffered_bytes = harness.proxy.clients.read_ahead_bytes
    client = harness.client()
    client.feed(encode_request(key=1) + encode_request(key=1))
    assert len(client.stream.replies) == 1 and client.paused
    harness.connect_upstream(0).feed(encode_reply(b"one"))
    harness.loop.advance()
    harness.connect_upstream(0)
    assert client.sent == b"$3\r\none\r\n" and len(client.stream.replies) == 1


def test_a_client_that_leaves_has_its_rpc_called_off() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    client.abort()
    assert (
        not upstream.open and not harness.proxy.active_requests and not harness.proxy.router.active_requests
    )


def test_a_client_that_leaves_while_a_connection_comes_up_sends_nothing() -> None:
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
def test_a_spoilt_answer_may_have_run_and_is_seen_at_once(data: bytes) -> None:
    """Lines that could be none were waited for until their end, and each cache was set aside for a reset."""
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


def test_an_answer_that_begins_and_does_not_end_is_spoilt() -> None:
    """It was waited for until the RPC's time was up."""
    harness = ProxyHarness(caches=2)
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    for _ in range(3):
        upstream.feed(b"*3\r\n$500\r\nx"[:8] if upstream.stream.parser.array is None else b"1")
        harness.loop.advance(0.05)
    assert upstream.open  # it goes on coming
    harness.loop.advance(0.05)
    assert not upstream.open
    harness.connect_upstream().feed(encode_reply(b"elsewhere"))
    assert client.sent == b"$9\r\nelsewhere\r\n"


@pytest.mark.parametrize(
    "rest", [b"$9\r\n\xffx=,,1,=\r\n", b":5\r\n", b"\x00\x01", b"$99", b"$-7\r\n", b"$4\r\nabcdefg"]
)
def test_an_answer_whose_report_alone_cannot_be_read_is_good(rest: bytes) -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request("order"))
    upstream = harness.connect_upstream()
    upstream.feed(encode_reply(b"good")[:-5] + rest)
    harness.loop.advance(0.3)
    assert client.sent == b"$4\r\ngood\r\n"


def test_values_of_hundreds_of_kilobytes_are_passed_on() -> None:
    """On a day of large values one answer in five was called too large, and its cache's connection cut."""
    harness = ProxyHarness().with_high_limits()
    client, slow = harness.client(), harness.client(pause_after_bytes=100_000)
    value = Random(1).randbytes(370_000)
    for peer in (client, slow):
        peer.feed(encode_request())
        harness.connect_upstream().feed(encode_reply(value))
    assert client.take() == resp.encode_bulk(value)
    slow.pause_after_bytes = None
    slow.stream.resume_writing()
    assert slow.take() == resp.encode_bulk(value) and slow.open


@pytest.mark.parametrize("more", [encode_reply(b"stray"), b"\xff", b"*"])
def test_a_good_answer_with_more_behind_it_is_completed_and_its_connection_closed(more: bytes) -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    upstream.feed(encode_reply() + more)
    assert not upstream.open and client.sent == b"$5\r\nfresh\r\n"


def test_a_connection_that_has_rested_a_while_goes_first() -> None:
    """Some caches close right behind an answer: what was written there at once had perhaps run."""
    harness = ProxyHarness(caches=1).with_high_limits()
    clients = [harness.client() for _ in range(3)]
    for client in clients[:2]:
        client.feed(encode_request())
    upstreams = [harness.connect_upstream(0), harness.connect_upstream(1)]
    upstreams[0].feed(encode_reply())
    harness.loop.advance(0.03)
    upstreams[1].feed(encode_reply())
    sent = [len(upstream.sent) for upstream in upstreams]
    clients[2].feed(encode_request())
    assert len(upstreams[0].sent) > sent[0] and len(upstreams[1].sent) == sent[1]


def test_a_copy_that_lies_unread_is_not_taken_for_the_next_answer() -> None:
    """A second copy that came apart from the first was matched to the next RPC on the connection."""
    harness = ProxyHarness(caches=1)
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    upstream.feed(encode_reply())
    upstream.stream.poller = type("Eye", (), {"poll": lambda self, wait: [(5, 1)]})()
    client.feed(encode_request())
    assert not upstream.open and upstream.sent.count(b"C.GET") == 1
    harness.connect_upstream().feed(encode_reply(b"other"))
    assert client.sent == b"$5\r\nfresh\r\n$5\r\nother\r\n"


def test_idle_connections_are_retired_before_the_caches_close_them() -> None:
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


def test_a_drained_cache_gets_nothing_new() -> None:
    """What waited for a connection to it is sent elsewhere, what is out is finished."""
    harness = ProxyHarness(caches=2)
    client, other = harness.client(), harness.client()
    client.feed(encode_request(key=5))
    owner = next(name for name, pool in harness.proxy.upstreams.pools.items() if pool.connections)
    upstream = harness.connect_upstream()
    other.feed(encode_request(key=5))
    harness.push_endpoint_list(endpoint(owner, "DRAINING"))
    assert harness.loop.connect_requests[1][0].closed and len(harness.loop.connect_requests) == 3
    upstream.feed(encode_reply(b"done"))
    assert client.sent == b"$4\r\ndone\r\n" and not upstream.open
    harness.connect_upstream(2).feed(encode_reply(b"elsewhere"))
    assert other.sent == b"$9\r\nelsewhere\r\n"


def test_an_address_changes_under_one_name() -> None:
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
    assert not upstream.open  # what was out is finished, and nothing more goes to the old address


def test_connections_are_capped_within_the_descriptors() -> None:
    harness = ProxyHarness(
        caches=2, sockets=64
    ).with_high_limits()  # 32 for both, twelve of them for caches at most
    clients = [harness.client() for _ in range(20)]
    for number, client in enumerate(clients):
        client.feed(encode_request(key=number) + encode_request(key=number + 100))
    assert harness.proxy.upstreams.connection_count() == 12 and len(harness.proxy.active_requests) == 40
    assert harness.client() is None  # none is idle: who comes has to wait
    assert all(client.open for client in clients)


def test_who_comes_takes_the_place_of_one_that_says_nothing_or_is_idle_longest() -> None:
    """A crowd of silent connections put out those of clients that ask, and the newcomers themselves."""
    harness = ProxyHarness(sockets=64).with_high_limits()
    usual = [harness.client() for _ in range(16)]
    for client in usual:
        client.feed(resp.encode_command([b"PING"]))
    mute = [harness.client() for _ in range(16)]
    harness.loop.advance(0.5)
    come = [harness.client() for _ in range(16)]
    assert all(client.open for client in usual + come) and not any(client.open for client in mute)
    late = harness.client()  # those without a byte have only just come: the idle one goes
    assert not usual[0].open and all(client.open for client in [*usual[1:], *come, late])


def test_connections_that_ask_once_and_stay_are_closed_where_many_rest() -> None:
    """Clients share a third of the descriptors: 128 that stayed idle left none to ask with."""
    harness = ProxyHarness(sockets=384)
    harness.proxy.upkeep()
    busy, kept = harness.client(), harness.client()
    kept.feed(resp.encode_command([b"PING"]))
    busy.feed(encode_request(remaining_ms="2000"))
    stay = [harness.client() for _ in range(120)]
    for client in stay:
        client.feed(resp.encode_command([b"PING"]))
    assert all(client.open for client in stay)
    harness.loop.advance(0.5)
    rest = 352 // IDLE_BUDGET_DIVISOR
    assert [client.open for client in stay] == [False] * (120 - rest) + [True] * rest and busy.open


@pytest.mark.parametrize(
    "data", [b"", b"*", b"*4\r\n$5\r\nC.GET\r\n", encode_request("save", value=bytes(9000))[:5000]]
)
def test_half_a_command_is_waited_for_two_to_three_seconds(data: bytes) -> None:
    """Connections that said nothing, or never ended a command, were kept for good."""
    harness = ProxyHarness()
    harness.proxy.upkeep()
    client, usual = harness.client(), harness.client()
    usual.feed(resp.encode_command([b"PING"]))
    client.feed(data)
    harness.loop.advance(1.9)
    assert client.open and not client.sent
    harness.loop.advance(1.1)
    assert not client.open and client.sent.startswith(b"-ERR" if data else b"") and usual.open


def test_a_command_in_pieces_is_taken_as_long_as_each_ends_in_time() -> None:
    harness = ProxyHarness()
    harness.proxy.upkeep()
    client, data = harness.client(), resp.encode_command([b"PING"])
    for number in range(20):
        client.feed(data[5:] + data[:5] if number else data[:5])
        harness.loop.advance(0.9)
    assert client.open and client.sent == b"+PONG\r\n" * 19


@pytest.mark.parametrize("data", [b"x", b"GET / HT", b"*1\r\n$60000000\r\n", b"*1\r\n$-3\r\n", b"\x00"])
def test_what_is_no_command_is_refused_at_its_first_impossible_byte_and_not_read_on(data: bytes) -> None:
    """60 MB were read for a second and thrown away, while all others waited."""
    harness = ProxyHarness()
    client = harness.client()
    client.feed(data)
    assert client.sent.startswith(b"-ERR") and not client.paused
    client.feed(
        bytes(MAX_DISCARDED_BYTES + 1)
    )  # what is on its way is read, lest a reset takes the answer with it
    assert client.paused and not len(client.stream.input)  # and no more than that
    harness.loop.advance(0.5)
    assert not client.open


def test_halves_of_large_commands_stay_within_the_memory_told() -> None:
    """Hundreds of clients that stop in the middle of 64 KiB would have taken more than 32 MB."""
    harness, half = ProxyHarness(), encode_request("save", value=bytes(60_000))[:40_000]
    harness.proxy.clients.read_ahead_bytes = 2 << 20
    clients = [harness.client() for _ in range(200)]
    for client in clients:
        client.feed(half)
    assert sum(len(client.stream.input.memory) for client in clients) <= 3 << 20
    assert clients[0].sent.startswith(b"-ERR") and not clients[-1].sent
    for client in clients:
        client.abort()
    assert harness.proxy.clients.partial_command_bytes == 0 and harness.proxy.clients.buffered_bytes == 0


def test_wrong_commands_without_end_close_the_connection() -> None:
    harness = ProxyHarness()
    client = harness.client()
    client.feed(resp.encode_command([b"HELLO"]) * 300)
    assert client.sent.count(b"-ERR") == MAX_CONSECUTIVE_ERRORS and client.eof_written
    client.feed(bytes(MAX_DISCARDED_BYTES + 1))
    assert client.paused
    harness.loop.advance(0.5)
    assert not client.open


def test_the_id_of_an_rpc_in_hand_is_wrong_and_free_again_after_it() -> None:
    """A bad client's RPC under another's id reached the caches."""
    harness = ProxyHarness().with_high_limits()
    client, other, data = harness.client(), harness.client(), encode_request()
    client.feed(data)
    other.feed(data)
    assert other.take().startswith(b"-ERR the id") and len(harness.proxy.active_requests) == 1
    harness.connect_upstream().feed(encode_reply())
    assert client.take() == b"$5\r\nfresh\r\n"
    other.feed(data)
    other.abort()
    assert not harness.proxy.active_client_ids and not harness.proxy.active_requests


def test_the_door_takes_few_a_turn_and_waits_when_no_descriptor_is_left() -> None:
    """At its last descriptor asyncio's server said so 512 times, then took nobody for a second."""
    harness, taken, watched = ProxyHarness(), [], []
    door = Listener.__new__(Listener)
    door.loop, door.has_capacity, door.make_connection = harness.loop, lambda: True, lambda: None
    door.has_pending_connection = lambda: True
    door.socket = type("Plug", (), {"fileno": lambda self: 9, "accept": lambda self: (None, None)})()
    harness.loop.add_reader = lambda fileno, call: watched.append(call)
    harness.loop.remove_reader = lambda fileno: watched.clear()
    door._start = lambda plug, stream: taken.append(stream)
    door.resume_accepting()
    watched[0]()
    assert len(taken) == ACCEPTS_PER_TURN and watched

    def full(_plug: object) -> None:
        raise OSError(errno.EMFILE, "too many")

    type(door.socket).accept = full
    watched[0]()
    assert not watched and len(taken) == ACCEPTS_PER_TURN
    harness.loop.advance(0.1)
    assert watched


def test_a_resting_connection_goes_for_one_that_is_needed() -> None:
    """At the cap a healthy cache without a connection looked like one that could not be reached."""
    harness = ProxyHarness(caches=2)
    harness.proxy.upstreams.max_connections = 1
    keys = {harness.proxy.router.policy.placement.ranking(key)[0].name: key for key in range(20)}
    client = harness.client()
    for key in keys.values():
        client.feed(encode_request(key=key))
        harness.connect_upstream().feed(encode_reply(b"fresh"))
    assert client.sent == b"$5\r\nfresh\r\n" * 2 and harness.proxy.upstreams.connection_count() == 1


def test_nothing_leaves_for_an_rpc_whose_time_is_up() -> None:
    """Its bytes lay behind a full socket, and would have gone to the cache after the final answer."""
    harness = ProxyHarness(caches=1)
    harness.proxy.upstreams.max_connections_per_endpoint = 1
    client, other = harness.client(), harness.client()
    client.feed(encode_request("save", value=bytes(50_000)))
    upstream = harness.connect_upstream(pause_after_bytes=100)
    other.feed(encode_request(remaining_ms="100"))
    harness.loop.advance(0.2)
    assert other.sent.startswith(b"-BUSY") and not upstream.open


def test_a_fault_in_the_decisions_is_an_errored_rpc() -> None:
    harness = ProxyHarness()
    client = harness.client()
    harness.proxy.router.policy.decide = lambda now, request: 1 // 0
    client.feed(encode_request())
    assert client.sent == b"-ERR errored\r\n" and client.open and not harness.proxy.active_requests


def test_a_fault_in_the_decisions_after_a_wait_is_an_errored_rpc() -> None:
    """Only first looks and outcomes were guarded: an RPC that had waited was left without an answer."""
    harness = ProxyHarness()
    client = harness.client()
    harness.proxy.router.policy.decide = lambda now, request: ("wait", 15.0)
    client.feed(encode_request())
    harness.loop.advance(0.01)
    harness.proxy.router.policy.decide = lambda now, request: 1 // 0
    harness.loop.advance(0.01)
    assert client.sent == b"-ERR errored\r\n" and client.open and not harness.proxy.active_requests


def test_a_client_that_does_not_read_is_cut_in_the_end() -> None:
    harness = ProxyHarness()
    client = harness.client(pause_after_bytes=1000)
    client.feed(encode_request(key=1))
    harness.connect_upstream().feed(encode_reply(bytes(60_000)))
    for _ in range(30):
        client.feed(encode_request(key=1))
    assert client.paused and len(harness.proxy.active_requests) == 0  # nothing more is begun for it
    harness.loop.advance(3.0)
    assert not client.open


def test_sigterm_lets_all_in_hand_finish() -> None:
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


def test_sigterm_loses_nothing_that_a_client_sent_ahead() -> None:
    """A connection closed after the answer it owed, with whole commands already read from it."""
    harness = ProxyHarness().with_high_limits()
    client = harness.client()
    client.feed(b"".join(encode_request(key=1) for _ in range(18)))  # two more than are read ahead
    harness.sigterm()
    for number in range(20):
        for opened in range(len(harness.loop.connect_requests)):
            stream = harness.loop.connect_requests[opened][0]
            upstream = stream.transport or harness.connect_upstream(opened)
            upstream.feed(encode_reply(b"%d" % number) * len(stream.pending))
        harness.loop.advance()
    assert client.sent.count(b"$") == 18 and client.eof_written


def test_sigterm_answers_what_cannot_finish_before_the_kill() -> None:
    harness = ProxyHarness(methods=[SETTINGS["methods"][0] | {"hardDeadlineNs": 9_000_000_000}])
    client = harness.client()
    client.feed(encode_request(remaining_ms="9000"))
    harness.connect_upstream()
    harness.sigterm()
    harness.loop.advance(3.5)
    assert client.sent.startswith(b"-BUSY") and not harness.proxy.active_requests


def test_events_within_a_few_ms_share_a_tick() -> None:
    """Each event had a tick of its own: a tenth of a core at a thousand RPCs a second."""
    harness, ticks = ProxyHarness().with_high_limits(), []
    client, tick = harness.client(), harness.proxy.router.tick
    harness.loop.advance(1.0)
    harness.proxy.router.tick = lambda now: ticks.append(now) or tick(now)
    for _ in range(10):
        client.feed(encode_request())
    harness.loop.advance(0.01)
    assert len(ticks) == 1


def test_closed_transports_are_let_go() -> None:
    """They are cycles, and collections of the youngest objects alone kept each until the process ended."""
    harness, kept = ProxyHarness(), type("Transport", (), {})()
    kept.itself, seen = kept, weakref.ref(kept)
    gc.collect()
    del kept
    harness.proxy.upkeep()
    harness.loop.advance(1.0)
    assert seen() is not None
    harness.loop.advance(5.0)
    assert seen() is None


def test_sighup_moves_the_watch_and_keeps_all_else() -> None:
    """The proxy ended on SIGHUP; and PROXY_DISCOVERY would have named the agent of the start for good."""
    harness = ProxyHarness()
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    harness.proxy.discovery.start()
    old = harness.connect_upstream()
    old.feed(CHUNKED_RESPONSE_HEAD + b"1\r\n\n\r\n")
    node = harness.proxy.node | {"discovery": "10.2.0.9:8500"}
    harness.proxy.on_sighup(lambda: 1 // 0)
    assert old.open and len(harness.loop.connect_requests) == 2  # an unreadable file changes nothing
    harness.proxy.on_sighup(lambda: node)
    assert (
        not old.open
        and harness.loop.connect_requests[-1][1] == ("10.2.0.9", 8500)
        and upstream.open
        and client.open
    )
    new = harness.connect_upstream()
    assert b"since=" not in new.sent  # versions are an agent's own
    listed = json.dumps({"index": 1, "snapshot": True, "endpoints": [endpoint("c1")]}).encode() + b"\n"
    new.feed(CHUNKED_RESPONSE_HEAD + b"%x\r\n%b\r\n" % (len(listed), listed))
    assert sum(pool.accepts_requests for pool in harness.proxy.upstreams.pools.values()) == 1
    upstream.feed(encode_reply(b"kept"))
    assert client.sent == b"$4\r\nkept\r\n"
    harness.loop.advance(2.0)
    assert len(harness.loop.connect_requests) == 3  # one watch, not one for each that ended
    harness.proxy.on_sighup(lambda: node)
    assert new.open and len(harness.loop.connect_requests) == 3  # the same agent is not asked anew


def test_a_configuration_read_again_goes_before_what_was_told_at_the_start(
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
def test_every_rpc_has_one_answer_on_generated_days(seed: int) -> None:
    """Caches answer, turn away, break, say nothing, leave the list; clients leave; nothing is lost."""
    random_generator, harness = Random(seed), ProxyHarness(caches=4)
    clients, upstreams, asked = [harness.client() for _ in range(12)], [], 0
    for step in range(2500):
        while len(upstreams) < len(harness.loop.connect_requests):
            stream = harness.loop.connect_requests[len(upstreams)][0]
            if stream.closed or random_generator.random() < 0.05:
                stream.abort()
                upstreams.append(None)
            else:
                upstreams.append(harness.connect_upstream(len(upstreams)))
        for upstream in [
            upstream
            for upstream in upstreams[-40:]
            if upstream is not None and upstream.open and upstream.stream.pending
        ]:
            what = random_generator.random()
            if what < 0.3:
                upstream.feed(
                    encode_reply(
                        b"x" * random_generator.randrange(2000),
                        random_generator.choice([b"hit", b"miss", None]),
                    )
                )
            elif what < 0.36:
                upstream.feed(random_generator.choice([b"-BUSY\r\n", b"-ERR failed\r\n", b"?\r\n"]))
            elif what < 0.38:
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
            asked += 1
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
        late = [
            call
            for call in harness.proxy.active_requests.values()
            if harness.proxy.now_ms() > call.request.expires_at + 1.0
        ]
        assert not late
    harness.loop.advance(2.1)
    assert asked > 500 and not harness.proxy.active_requests and not harness.proxy.router.active_requests
    assert all(not client.stream.replies for client in clients)
    assert sum(harness.proxy.metrics.totals().values()) <= asked


def test_same_inputs_give_the_simulators_decisions() -> None:
    """The adapter and the proxy's facade, given the same settings, seed, list and keys, send alike."""
    random_generator, out, said = Random(5), [], []
    wired = host.Proxy(0, parse_seed("8c1f30d27a5be964"), SETTINGS, 0.0, out)
    wired.on_endpoint_list(0.0, 2, 1, [[f"c{i}", "a", "box", 0, 2, 1.0 + i % 2, 0] for i in range(6)])
    plain = Router(normalize_settings(json.loads(json.dumps(SETTINGS))), parse_seed("8c1f30d27a5be964"), 0.0)
    listed = {"snapshot": True, "endpoints": [endpoint(f"c{i}") | {"weight": 1.0 + i % 2} for i in range(6)]}
    plain.on_endpoint_list(0.0, "cached", 1, parse_endpoint_list(listed)[2])

    def act(request: Request, cache: str | None) -> None:
        if cache is not None:
            said.append(["PassOn", request.id, cache])
            going.append((now + random_generator.uniform(5.0, 400.0), request))
        elif request.answer in ("exhausted", "errored"):
            said.append(["NotNow" if request.answer == "exhausted" else "Surrender", request.id])

    going: list[tuple] = []
    for number in range(2000):
        now, key, method = (
            number * 5.0,
            random_generator.randrange(40),
            random_generator.choice(["read", "save"]),
        )
        pairs = f"c={method},t=acme,d=700,k=5c0f".encode()
        fields = parse_request_fields(
            [b"C.GET", b"%x" % key, b"1", pairs], plain.policy.settings.methods, {"acme"}
        )
        write, until = method == "save", now + fields["patience"]
        request = Request(f"{number:016x}", method, "acme", fields["key"], write, now, until)
        act(request, plain.route(now, request))
        wired.on_request(now, request.id, method, round(until * 1e6), 4 * write, "acme", None, None, key)
        for due in [due for due in going if due[0] <= now]:
            going.remove(due)
            rc, outcome = random_generator.choice([(0, "completed")] * 9 + [(13, "error"), (8, "full")])
            attempt = len(due[1].attempts) - 1
            wired.on_attempt_ended(
                now, due[1].id, attempt, due[1].attempts[-1].endpoint, rc, 40_000_000, rc == 0, 1, None
            )
            act(due[1], plain.report_attempt(now, due[1], attempt, outcome, 40.0, "hit"))
        while (woken := plain.next_due_request(now)) is not None:
            act(woken, plain.route(now, woken))
        wired.on_timer(now, 0)
        plain.tick(now)
        wired.end_batch(now)
    told = [
        [line[0], *line[2:4]] for line in map(json.loads, out) if line[0] in ("PassOn", "NotNow", "Surrender")
    ]
    assert [line[: len(want)] for line, want in zip(told, said, strict=True)] == said
    assert len(said) > 2000 and len({line[0] for line in said}) == 2


@pytest.mark.parametrize(
    "change,said",
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
def test_a_wrong_configuration_is_one_line(tmp_path: Path, change: dict | None, said: str) -> None:
    node = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "1f",
        "settings": SETTINGS,
    }
    path = tmp_path / "node.json"
    path.write_text(json.dumps(node | (change or {})))
    told = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    told |= {"PROXY_CONFIG": str(path)} if change else {}
    ended = subprocess.run(
        [sys.executable, "-m", "calicofall", "serve"], env=told, capture_output=True, text=True, timeout=30
    )
    assert ended.returncode != 0 and said in ended.stderr and ended.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "change,said",
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
def test_a_wrong_place_in_the_fleet_is_one_line(tmp_path: Path, change: dict, said: str) -> None:
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
    with pytest.raises(ClickException) as fault:
        configuration(str(path))
    assert said in fault.value.message and "\n" not in fault.value.message


def test_messages_between_proxies_are_not_carried_on_sockets(tmp_path: Path) -> None:
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
    ended = CliRunner().invoke(main, ["check", "--config", str(path)])
    assert ended.exit_code == 0 and "settings.caps.peerMessages is not carried on sockets" in ended.output


def test_a_place_in_the_fleet_that_is_wrong_on_reload_changes_nothing() -> None:
    harness = ProxyHarness()
    moved = []
    harness.proxy.discovery.change_address = moved.append

    def reread() -> dict:
        validate_settings(SETTINGS | {"me": 9})
        return harness.proxy.node

    harness.proxy.on_sighup(reread)
    assert not moved
