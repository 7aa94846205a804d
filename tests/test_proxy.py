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
from helpers import HEAD, SETTINGS, Desk, ask, endpoint, reply

from calicofall.cli.main import configuration, main
from calicofall.config.endpoint_list import parse_endpoint_list
from calicofall.config.settings import normalize_settings, parse_seed, validate_settings
from calicofall.proxy import resp
from calicofall.proxy.client_connection import MAX_CONSECUTIVE_ERRORS
from calicofall.proxy.client_protocol import parse_request_fields
from calicofall.proxy.clients import IDLE_BUDGET_DIVISOR
from calicofall.proxy.connection import ACCEPTS_PER_ITERATION, MAX_DISCARDED_BYTES, Listener
from calicofall.proxy.connection_pool import MIN_IDLE_CONNECTIONS
from calicofall.routing.request import Request
from calicofall.routing.router import Router
from calicofall.simulator_adapter import host


def test_a_read_goes_to_a_cache_and_its_answer_to_the_client() -> None:
    desk = Desk()
    client = desk.client()
    client.feed(ask())
    line = desk.line()
    assert b"d=900" in line.sent and line.take().startswith(b"*4\r\n$5\r\nC.GET\r\n")
    line.feed(reply(b"fresh"))
    assert client.take() == b"$5\r\nfresh\r\n"
    client.feed(ask())
    assert line.sent and len(desk.loop.opened) == 1  # the connection is used again
    line.feed(b"-BUSY\r\n")
    assert len(desk.loop.opened) == 2  # proven not run: sent to the next at once
    desk.line().feed(reply(b"other"))
    assert client.take() == b"$5\r\nother\r\n" and not desk.proxy.active_requests


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
        (ask(patience="x"), b"-ERR bad d"),
        (ask().replace(b"read", b"nope"), b"-ERR unknown m"),
        (ask().replace(b"acme", b"none"), b"-ERR unkno"),
    ],
)
def test_bad_commands_are_answered_and_the_connection_goes_on(data: bytes, answer: bytes) -> None:
    client = Desk().client()
    client.feed(data)
    assert client.take().startswith(answer)
    client.feed(resp.encode_command([b"PING"]))
    assert client.take() == b"+PONG\r\n" and client.open


def test_lost_framing_is_answered_then_closed() -> None:
    desk = Desk()
    client = desk.client()
    client.feed(ask() + b"GET / HTTP/1.1\r\n" + resp.encode_command([b"PING"]))
    assert not client.sent  # in order: the RPC before it is answered first
    desk.line().feed(reply(b"late"))
    assert client.sent == b"$4\r\nlate\r\n-ERR not RESP2\r\n"
    client.feed(bytes(100_000))
    desk.loop.run(1.5)
    assert not client.open and client.sent.count(b"ERR") == 1


def test_answers_come_in_the_order_of_commands() -> None:
    desk = Desk()
    client = desk.client()
    client.feed(ask(key=1) + ask(key=1) + resp.encode_command([b"PING"]))
    first, second = desk.line(0), desk.line(1)
    second.feed(reply(b"second"))
    assert not client.sent
    first.feed(reply(b"first"))
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
    desk = Desk(caches=1)
    client = desk.client()
    client.feed(ask(method))
    if up:
        desk.line().abort()
    else:
        desk.loop.opened[0][0].abort()  # refused, or never came up
    desk.loop.run()
    assert client.sent.startswith(answer)


def test_what_still_lay_in_our_buffer_has_not_run() -> None:
    """Bytes held back behind a full socket never left: only those count as proof."""
    desk = Desk(caches=1)
    desk.proxy.upstreams.max_connections_per_endpoint = 1  # the second is written behind the first
    client, other = desk.client(), desk.client()
    client.feed(ask("order", key=1, value=bytes(50_000)))
    line = desk.line(room=100)
    other.feed(ask("order", key=2))
    assert len(desk.loop.opened) == 1
    line.abort()
    desk.loop.run()
    assert client.sent.startswith(b"-ERR errored") and other.sent.startswith(b"-BUSY ")


def test_a_late_reply_is_matched_to_nothing() -> None:
    desk = Desk(caches=1)
    desk.proxy.upstreams.max_connections_per_endpoint = 1
    client, other = desk.client(), desk.client()
    client.feed(ask(patience="100"))
    line = desk.line()
    other.feed(ask(patience="900"))
    desk.loop.run(0.2)
    assert client.take().startswith(b"-BUSY") and line.open  # another still waits on the connection
    line.feed(reply(b"late") + reply(b"fresh"))
    assert other.sent == b"$5\r\nfresh\r\n" and not client.sent


def test_a_connection_whose_answer_is_overdue_takes_nothing_new() -> None:
    """A silent machine's open connections held RPC after RPC; a new one that fails proves them not run."""
    desk = Desk(caches=1).spacious()
    desk.proxy.upstreams.max_connections_per_endpoint = 2
    clients = [desk.client() for _ in range(5)]
    for client, patience in zip(clients[:4], ("100", "100", "900", "900"), strict=True):
        client.feed(ask(patience=patience))
    first, second = desk.line(0), desk.line(1)
    assert len(desk.loop.opened) == 2  # two have one each, the others share
    desk.loop.run(0.2)
    assert first.open and second.open
    desk.proxy.router.policy.endpoints.caches["c1"].reinstate()
    clients[4].feed(ask(patience="300"))
    assert len(desk.loop.opened) == 3
    first.feed(reply(b"late") + reply(b"fresh"))  # it speaks again
    assert clients[2].sent == b"$5\r\nfresh\r\n" and first.open
    clients[0].feed(ask())
    assert len(desk.loop.opened) == 3


def test_what_is_called_off_early_is_sent_elsewhere_and_out_only_once() -> None:
    """On a connection that others shared the first copy was still out while the second went elsewhere."""
    for shared in (False, True):
        desk = Desk(caches=2).spacious()
        desk.proxy.upstreams.max_connections_per_endpoint, policy = 1, desk.proxy.router.policy
        policy.timeouts.attempt_timeout_ms = lambda left, *_: 100.0
        client, other = desk.client(), desk.client()
        client.feed(ask(patience="400"))
        line = desk.line()
        if shared:
            other.feed(ask())
            assert len(desk.loop.opened) == 1
        desk.loop.run(0.11)
        assert line.open is shared and len(desk.loop.opened) == (1 if shared else 2)
        (line if shared else desk.line()).feed(reply(b"one"))
        assert client.sent == b"$3\r\none\r\n"


def test_connections_rest_ready_before_they_are_needed() -> None:
    """A busy cache does a handshake behind its other work: first answers took two to four times as long."""
    desk = Desk(caches=1, ahead=True).spacious()
    assert len(desk.loop.opened) == MIN_IDLE_CONNECTIONS
    lines = [desk.line(number) for number in range(MIN_IDLE_CONNECTIONS)]
    client, other = desk.client(), desk.client()
    client.feed(ask(patience="100"))
    other.feed(ask())
    assert all(line.sent for line in lines) and len(desk.loop.opened) == 2 * MIN_IDLE_CONNECTIONS
    desk.loop.run(0.2)
    assert (
        sum(line.open for line in lines) == MIN_IDLE_CONNECTIONS - 1
        and desk.proxy.upstreams.connection_count() == 2 * MIN_IDLE_CONNECTIONS - 1
    )
    for many in (8, 300):
        assert not Desk(caches=1, ahead=True, balancers=many).loop.opened  # together they pay for them


def test_a_transmission_given_up_closes_its_connection() -> None:
    desk = Desk()
    client = desk.client()
    client.feed(ask(patience="100"))
    line = desk.line()
    desk.loop.run(0.101)
    assert client.sent.startswith(b"-BUSY") and not line.open and not desk.proxy.active_requests


def test_time_that_is_up_before_a_connection_came_up_proves_not_run() -> None:
    """It was called a time-out, which may have run: a non-retriable RPC was errored, not exhausted."""
    desk = Desk(caches=1)
    client = desk.client()
    client.feed(ask("order", patience="100"))
    desk.loop.run(0.101)
    assert client.sent.startswith(b"-BUSY") and not desk.proxy.router.policy.endpoints.caches["c1"].ejected


def test_little_is_read_ahead_once_much_is_in_hand() -> None:
    """Many clients that pipeline large values would fill the memory there is."""
    desk = Desk()
    desk.proxy.clients.buffered_bytes = desk.proxy.clients.read_ahead_bytes
    client = desk.client()
    client.feed(ask(key=1) + ask(key=1))
    assert len(client.stream.replies) == 1 and client.paused
    desk.line(0).feed(reply(b"one"))
    desk.loop.run()
    desk.line(0)
    assert client.sent == b"$3\r\none\r\n" and len(client.stream.replies) == 1


def test_a_client_that_leaves_has_its_rpc_called_off() -> None:
    desk = Desk()
    client = desk.client()
    client.feed(ask())
    line = desk.line()
    client.abort()
    assert not line.open and not desk.proxy.active_requests and not desk.proxy.router.active_requests


def test_a_client_that_leaves_while_a_connection_comes_up_sends_nothing() -> None:
    desk = Desk()
    client = desk.client()
    client.feed(ask())
    client.abort()
    assert not desk.line().sent and not desk.proxy.router.active_requests


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
    desk = Desk(caches=2)
    client, other = desk.client(), desk.client()
    client.feed(ask("order"))
    line = desk.line()
    line.feed(data)
    assert not line.open and client.sent == b"-ERR errored\r\n"
    other.feed(ask("read"))
    desk.line().feed(data)
    desk.line().feed(reply(b"elsewhere"))
    assert other.sent == b"$9\r\nelsewhere\r\n"
    assert not any(
        cache.admitted_fraction < 1.0 for cache in desk.proxy.router.policy.endpoints.caches.values()
    )


def test_an_answer_that_begins_and_does_not_end_is_spoilt() -> None:
    """It was waited for until the RPC's time was up."""
    desk = Desk(caches=2)
    client = desk.client()
    client.feed(ask())
    line = desk.line()
    for _ in range(3):
        line.feed(b"*3\r\n$500\r\nx"[:8] if line.stream.parser.array is None else b"1")
        desk.loop.run(0.05)
    assert line.open  # it goes on coming
    desk.loop.run(0.05)
    assert not line.open
    desk.line().feed(reply(b"elsewhere"))
    assert client.sent == b"$9\r\nelsewhere\r\n"


@pytest.mark.parametrize(
    "rest", [b"$9\r\n\xffx=,,1,=\r\n", b":5\r\n", b"\x00\x01", b"$99", b"$-7\r\n", b"$4\r\nabcdefg"]
)
def test_an_answer_whose_report_alone_cannot_be_read_is_good(rest: bytes) -> None:
    desk = Desk()
    client = desk.client()
    client.feed(ask("order"))
    line = desk.line()
    line.feed(reply(b"good")[:-5] + rest)
    desk.loop.run(0.3)
    assert client.sent == b"$4\r\ngood\r\n"


def test_values_of_hundreds_of_kilobytes_are_passed_on() -> None:
    """On a day of large values one answer in five was called too large, and its cache's connection cut."""
    desk = Desk().spacious()
    client, slow = desk.client(), desk.client(room=100_000)
    value = Random(1).randbytes(370_000)
    for peer in (client, slow):
        peer.feed(ask())
        desk.line().feed(reply(value))
    assert client.take() == resp.encode_bulk(value)
    slow.room = None
    slow.stream.resume_writing()
    assert slow.take() == resp.encode_bulk(value) and slow.open


@pytest.mark.parametrize("more", [reply(b"stray"), b"\xff", b"*"])
def test_a_good_answer_with_more_behind_it_is_completed_and_its_connection_closed(more: bytes) -> None:
    desk = Desk()
    client = desk.client()
    client.feed(ask())
    line = desk.line()
    line.feed(reply() + more)
    assert not line.open and client.sent == b"$5\r\nfresh\r\n"


def test_a_connection_that_has_rested_a_while_goes_first() -> None:
    """Some caches close right behind an answer: what was written there at once had perhaps run."""
    desk = Desk(caches=1).spacious()
    clients = [desk.client() for _ in range(3)]
    for client in clients[:2]:
        client.feed(ask())
    lines = [desk.line(0), desk.line(1)]
    lines[0].feed(reply())
    desk.loop.run(0.03)
    lines[1].feed(reply())
    sent = [len(line.sent) for line in lines]
    clients[2].feed(ask())
    assert len(lines[0].sent) > sent[0] and len(lines[1].sent) == sent[1]


def test_a_copy_that_lies_unread_is_not_taken_for_the_next_answer() -> None:
    """A second copy that came apart from the first was matched to the next RPC on the connection."""
    desk = Desk(caches=1)
    client = desk.client()
    client.feed(ask())
    line = desk.line()
    line.feed(reply())
    line.stream.poller = type("Eye", (), {"poll": lambda self, wait: [(5, 1)]})()
    client.feed(ask())
    assert not line.open and line.sent.count(b"C.GET") == 1
    desk.line().feed(reply(b"other"))
    assert client.sent == b"$5\r\nfresh\r\n$5\r\nother\r\n"


def test_idle_connections_are_retired_before_the_caches_close_them() -> None:
    desk = Desk()
    desk.client().feed(ask())
    line = desk.line()
    line.feed(reply())
    desk.loop.run(26.0)
    desk.proxy.upstreams.close_expired_idle()
    assert line.open
    desk.loop.run(2.0)
    desk.proxy.upstreams.close_expired_idle()
    assert not line.open


def test_a_drained_cache_gets_nothing_new() -> None:
    """What waited for a connection to it is sent elsewhere, what is out is finished."""
    desk = Desk(caches=2)
    client, other = desk.client(), desk.client()
    client.feed(ask(key=5))
    owner = next(name for name, pool in desk.proxy.upstreams.pools.items() if pool.connections)
    line = desk.line()
    other.feed(ask(key=5))
    desk.list(endpoint(owner, "DRAINING"))
    assert desk.loop.opened[1][0].closed and len(desk.loop.opened) == 3
    line.feed(reply(b"done"))
    assert client.sent == b"$4\r\ndone\r\n" and not line.open
    desk.line(2).feed(reply(b"elsewhere"))
    assert other.sent == b"$9\r\nelsewhere\r\n"


def test_an_address_changes_under_one_name() -> None:
    desk = Desk(caches=1)
    client = desk.client()
    client.feed(ask())
    line = desk.line()
    line.feed(reply())
    desk.list(endpoint("c1", address="10.9.9.9:7000"))
    assert not line.open
    client.feed(ask())
    assert desk.loop.opened[-1][1] == ("10.9.9.9", 7000)
    line = desk.line()
    desk.list(endpoint("c1", address="10.9.9.10:7000"))
    line.feed(reply())
    assert not line.open  # what was out is finished, and nothing more goes to the old address


def test_connections_are_capped_within_the_descriptors() -> None:
    desk = Desk(caches=2, sockets=64).spacious()  # 32 for both, twelve of them for caches at most
    clients = [desk.client() for _ in range(20)]
    for number, client in enumerate(clients):
        client.feed(ask(key=number) + ask(key=number + 100))
    assert desk.proxy.upstreams.connection_count() == 12 and len(desk.proxy.active_requests) == 40
    assert desk.client() is None  # none is idle: who comes has to wait
    assert all(client.open for client in clients)


def test_who_comes_takes_the_place_of_one_that_says_nothing_or_is_idle_longest() -> None:
    """A crowd of silent connections put out those of clients that ask, and the newcomers themselves."""
    desk = Desk(sockets=64).spacious()
    usual = [desk.client() for _ in range(16)]
    for client in usual:
        client.feed(resp.encode_command([b"PING"]))
    mute = [desk.client() for _ in range(16)]
    desk.loop.run(0.5)
    come = [desk.client() for _ in range(16)]
    assert all(client.open for client in usual + come) and not any(client.open for client in mute)
    late = desk.client()  # those without a byte have only just come: the idle one goes
    assert not usual[0].open and all(client.open for client in [*usual[1:], *come, late])


def test_connections_that_ask_once_and_stay_are_closed_where_many_rest() -> None:
    """Clients share a third of the descriptors: 128 that stayed idle left none to ask with."""
    desk = Desk(sockets=384)
    desk.proxy.upkeep()
    busy, kept = desk.client(), desk.client()
    kept.feed(resp.encode_command([b"PING"]))
    busy.feed(ask(patience="2000"))
    stay = [desk.client() for _ in range(120)]
    for client in stay:
        client.feed(resp.encode_command([b"PING"]))
    assert all(client.open for client in stay)
    desk.loop.run(0.5)
    rest = 352 // IDLE_BUDGET_DIVISOR
    assert [client.open for client in stay] == [False] * (120 - rest) + [True] * rest and busy.open


@pytest.mark.parametrize("data", [b"", b"*", b"*4\r\n$5\r\nC.GET\r\n", ask("save", value=bytes(9000))[:5000]])
def test_half_a_command_is_waited_for_two_to_three_seconds(data: bytes) -> None:
    """Connections that said nothing, or never ended a command, were kept for good."""
    desk = Desk()
    desk.proxy.upkeep()
    client, usual = desk.client(), desk.client()
    usual.feed(resp.encode_command([b"PING"]))
    client.feed(data)
    desk.loop.run(1.9)
    assert client.open and not client.sent
    desk.loop.run(1.1)
    assert not client.open and client.sent.startswith(b"-ERR" if data else b"") and usual.open


def test_a_command_in_pieces_is_taken_as_long_as_each_ends_in_time() -> None:
    desk = Desk()
    desk.proxy.upkeep()
    client, data = desk.client(), resp.encode_command([b"PING"])
    for number in range(20):
        client.feed(data[5:] + data[:5] if number else data[:5])
        desk.loop.run(0.9)
    assert client.open and client.sent == b"+PONG\r\n" * 19


@pytest.mark.parametrize("data", [b"x", b"GET / HT", b"*1\r\n$60000000\r\n", b"*1\r\n$-3\r\n", b"\x00"])
def test_what_is_no_command_is_refused_at_its_first_impossible_byte_and_not_read_on(data: bytes) -> None:
    """60 MB were read for a second and thrown away, while all others waited."""
    desk = Desk()
    client = desk.client()
    client.feed(data)
    assert client.sent.startswith(b"-ERR") and not client.paused
    client.feed(
        bytes(MAX_DISCARDED_BYTES + 1)
    )  # what is on its way is read, lest a reset takes the answer with it
    assert client.paused and not len(client.stream.input)  # and no more than that
    desk.loop.run(0.5)
    assert not client.open


def test_halves_of_large_commands_stay_within_the_memory_told() -> None:
    """Hundreds of clients that stop in the middle of 64 KiB would have taken more than 32 MB."""
    desk, half = Desk(), ask("save", value=bytes(60_000))[:40_000]
    desk.proxy.clients.read_ahead_bytes = 2 << 20
    clients = [desk.client() for _ in range(200)]
    for client in clients:
        client.feed(half)
    assert sum(len(client.stream.input.memory) for client in clients) <= 3 << 20
    assert clients[0].sent.startswith(b"-ERR") and not clients[-1].sent
    for client in clients:
        client.abort()
    assert desk.proxy.clients.partial_command_bytes == 0 and desk.proxy.clients.buffered_bytes == 0


def test_wrong_commands_without_end_close_the_connection() -> None:
    desk = Desk()
    client = desk.client()
    client.feed(resp.encode_command([b"HELLO"]) * 300)
    assert client.sent.count(b"-ERR") == MAX_CONSECUTIVE_ERRORS and client.ended
    client.feed(bytes(MAX_DISCARDED_BYTES + 1))
    assert client.paused
    desk.loop.run(0.5)
    assert not client.open


def test_the_id_of_an_rpc_in_hand_is_wrong_and_free_again_after_it() -> None:
    """A bad client's RPC under another's id reached the caches."""
    desk = Desk().spacious()
    client, other, data = desk.client(), desk.client(), ask()
    client.feed(data)
    other.feed(data)
    assert other.take().startswith(b"-ERR the id") and len(desk.proxy.active_requests) == 1
    desk.line().feed(reply())
    assert client.take() == b"$5\r\nfresh\r\n"
    other.feed(data)
    other.abort()
    assert not desk.proxy.open_ids and not desk.proxy.active_requests


def test_the_door_takes_few_a_turn_and_waits_when_no_descriptor_is_left() -> None:
    """At its last descriptor asyncio's server said so 512 times, then took nobody for a second."""
    desk, taken, watched = Desk(), [], []
    door = Listener.__new__(Listener)
    door.loop, door.has_capacity, door.make_connection = desk.loop, lambda: True, lambda: None
    door.has_pending_connection = lambda: True
    door.socket = type("Plug", (), {"fileno": lambda self: 9, "accept": lambda self: (None, None)})()
    desk.loop.add_reader = lambda fileno, call: watched.append(call)
    desk.loop.remove_reader = lambda fileno: watched.clear()
    door._start = lambda plug, stream: taken.append(stream)
    door.resume_accepting()
    watched[0]()
    assert len(taken) == ACCEPTS_PER_ITERATION and watched

    def full(_plug: object) -> None:
        raise OSError(errno.EMFILE, "too many")

    type(door.socket).accept = full
    watched[0]()
    assert not watched and len(taken) == ACCEPTS_PER_ITERATION
    desk.loop.run(0.1)
    assert watched


def test_a_resting_connection_goes_for_one_that_is_needed() -> None:
    """At the cap a healthy cache without a connection looked like one that could not be reached."""
    desk = Desk(caches=2)
    desk.proxy.upstreams.max_connections = 1
    keys = {desk.proxy.router.policy.placement.ranking(key)[0].name: key for key in range(20)}
    client = desk.client()
    for key in keys.values():
        client.feed(ask(key=key))
        desk.line().feed(reply(b"fresh"))
    assert client.sent == b"$5\r\nfresh\r\n" * 2 and desk.proxy.upstreams.connection_count() == 1


def test_nothing_leaves_for_an_rpc_whose_time_is_up() -> None:
    """Its bytes lay behind a full socket, and would have gone to the cache after the final answer."""
    desk = Desk(caches=1)
    desk.proxy.upstreams.max_connections_per_endpoint = 1
    client, other = desk.client(), desk.client()
    client.feed(ask("save", value=bytes(50_000)))
    line = desk.line(room=100)
    other.feed(ask(patience="100"))
    desk.loop.run(0.2)
    assert other.sent.startswith(b"-BUSY") and not line.open


def test_a_fault_in_the_decisions_is_an_errored_rpc() -> None:
    desk = Desk()
    client = desk.client()
    desk.proxy.router.policy.decide = lambda now, rpc: 1 // 0
    client.feed(ask())
    assert client.sent == b"-ERR errored\r\n" and client.open and not desk.proxy.active_requests


def test_a_fault_in_the_decisions_after_a_wait_is_an_errored_rpc() -> None:
    """Only first looks and outcomes were guarded: an RPC that had waited was left without an answer."""
    desk = Desk()
    client = desk.client()
    desk.proxy.router.policy.decide = lambda now, rpc: ("wait", 15.0)
    client.feed(ask())
    desk.loop.run(0.01)
    desk.proxy.router.policy.decide = lambda now, rpc: 1 // 0
    desk.loop.run(0.01)
    assert client.sent == b"-ERR errored\r\n" and client.open and not desk.proxy.active_requests


def test_a_client_that_does_not_read_is_cut_in_the_end() -> None:
    desk = Desk()
    client = desk.client(room=1000)
    client.feed(ask(key=1))
    desk.line().feed(reply(bytes(60_000)))
    for _ in range(30):
        client.feed(ask(key=1))
    assert client.paused and len(desk.proxy.active_requests) == 0  # nothing more is begun for it
    desk.loop.run(3.0)
    assert not client.open


def test_sigterm_lets_all_in_hand_finish() -> None:
    desk = Desk()
    busy, idle = desk.client(), desk.client()
    busy.feed(ask(patience="2000"))
    line = desk.line()
    desk.proxy.upkeep()
    desk.sigterm()
    desk.loop.run(1.0)
    assert not idle.open and not busy.ended and not desk.proxy.stopped.done()
    line.feed(reply(b"last"))
    assert busy.sent == b"$4\r\nlast\r\n" and busy.ended
    busy.end()
    desk.loop.run(0.1)
    assert desk.proxy.stopped.done()


def test_sigterm_loses_nothing_that_a_client_sent_ahead() -> None:
    """A connection closed after the answer it owed, with whole commands already read from it."""
    desk = Desk().spacious()
    client = desk.client()
    client.feed(b"".join(ask(key=1) for _ in range(18)))  # two more than are read ahead
    desk.sigterm()
    for number in range(20):
        for opened in range(len(desk.loop.opened)):
            stream = desk.loop.opened[opened][0]
            line = stream.transport or desk.line(opened)
            line.feed(reply(b"%d" % number) * len(stream.pending))
        desk.loop.run()
    assert client.sent.count(b"$") == 18 and client.ended


def test_sigterm_answers_what_cannot_finish_before_the_kill() -> None:
    desk = Desk(methods=[SETTINGS["methods"][0] | {"hardDeadlineNs": 9_000_000_000}])
    client = desk.client()
    client.feed(ask(patience="9000"))
    desk.line()
    desk.sigterm()
    desk.loop.run(3.5)
    assert client.sent.startswith(b"-BUSY") and not desk.proxy.active_requests


def test_events_within_a_few_ms_share_a_tick() -> None:
    """Each event had a tick of its own: a tenth of a core at a thousand RPCs a second."""
    desk, ticks = Desk().spacious(), []
    client, tick = desk.client(), desk.proxy.router.tick
    desk.loop.run(1.0)
    desk.proxy.router.tick = lambda now: ticks.append(now) or tick(now)
    for _ in range(10):
        client.feed(ask())
    desk.loop.run(0.01)
    assert len(ticks) == 1


def test_closed_transports_are_let_go() -> None:
    """They are cycles, and collections of the youngest objects alone kept each until the process ended."""
    desk, kept = Desk(), type("Transport", (), {})()
    kept.itself, seen = kept, weakref.ref(kept)
    gc.collect()
    del kept
    desk.proxy.upkeep()
    desk.loop.run(1.0)
    assert seen() is not None
    desk.loop.run(5.0)
    assert seen() is None


def test_sighup_moves_the_watch_and_keeps_all_else() -> None:
    """The proxy ended on SIGHUP; and PROXY_DISCOVERY would have named the agent of the start for good."""
    desk = Desk()
    client = desk.client()
    client.feed(ask())
    line = desk.line()
    desk.proxy.discovery.start()
    old = desk.line()
    old.feed(HEAD + b"1\r\n\n\r\n")
    node = desk.proxy.node | {"discovery": "10.2.0.9:8500"}
    desk.proxy.on_sighup(lambda: 1 // 0)
    assert old.open and len(desk.loop.opened) == 2  # an unreadable file changes nothing
    desk.proxy.on_sighup(lambda: node)
    assert not old.open and desk.loop.opened[-1][1] == ("10.2.0.9", 8500) and line.open and client.open
    new = desk.line()
    assert b"since=" not in new.sent  # versions are an agent's own
    listed = json.dumps({"index": 1, "snapshot": True, "endpoints": [endpoint("c1")]}).encode() + b"\n"
    new.feed(HEAD + b"%x\r\n%b\r\n" % (len(listed), listed))
    assert sum(pool.accepts_requests for pool in desk.proxy.upstreams.pools.values()) == 1
    line.feed(reply(b"kept"))
    assert client.sent == b"$4\r\nkept\r\n"
    desk.loop.run(2.0)
    assert len(desk.loop.opened) == 3  # one watch, not one for each that ended
    desk.proxy.on_sighup(lambda: node)
    assert new.open and len(desk.loop.opened) == 3  # the same agent is not asked anew


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
    chance, desk = Random(seed), Desk(caches=4)
    clients, lines, asked = [desk.client() for _ in range(12)], [], 0
    for step in range(2500):
        while len(lines) < len(desk.loop.opened):
            stream = desk.loop.opened[len(lines)][0]
            if stream.closed or chance.random() < 0.05:
                stream.abort()
                lines.append(None)
            else:
                lines.append(desk.line(len(lines)))
        for line in [line for line in lines[-40:] if line is not None and line.open and line.stream.pending]:
            what = chance.random()
            if what < 0.3:
                line.feed(reply(b"x" * chance.randrange(2000), chance.choice([b"hit", b"miss", None])))
            elif what < 0.36:
                line.feed(chance.choice([b"-BUSY\r\n", b"-ERR failed\r\n", b"?\r\n"]))
            elif what < 0.38:
                line.abort()
        client = chance.choice(clients)
        if client.open and not client.stream.replies:
            client.take()
            client.feed(
                ask(
                    chance.choice(["read", "read", "save", "order"]),
                    chance.randrange(9),
                    str(chance.randrange(50, 900)),
                )
            )
            asked += 1
        elif chance.random() < 0.02:
            clients[clients.index(client)] = desk.client()
            client.abort()
        if step % 200 == 0:
            desk.list(endpoint(f"c{chance.randrange(1, 5)}", chance.choice(["SERVING"] * 2 + ["DRAINING"])))
        desk.loop.run(0.01)
        late = [
            call
            for call in desk.proxy.active_requests.values()
            if desk.proxy.now_ms() > call.request.expires_at + 1.0
        ]
        assert not late
    desk.loop.run(2.1)
    assert asked > 500 and not desk.proxy.active_requests and not desk.proxy.router.active_requests
    assert all(not client.stream.replies for client in clients)
    assert sum(desk.proxy.metrics.totals().values()) <= asked


def test_same_inputs_give_the_simulators_decisions() -> None:
    """The adapter and the proxy's facade, given the same settings, seed, list and keys, send alike."""
    chance, out, said = Random(5), [], []
    wired = host.Proxy(0, parse_seed("8c1f30d27a5be964"), SETTINGS, 0.0, out)
    wired.registry(0.0, 2, 1, [[f"c{i}", "a", "box", 0, 2, 1.0 + i % 2, 0] for i in range(6)])
    plain = Router(normalize_settings(json.loads(json.dumps(SETTINGS))), parse_seed("8c1f30d27a5be964"), 0.0)
    listed = {"snapshot": True, "endpoints": [endpoint(f"c{i}") | {"weight": 1.0 + i % 2} for i in range(6)]}
    plain.on_endpoint_list(0.0, "cached", 1, parse_endpoint_list(listed)[2])

    def act(rpc: Request, cache: str | None) -> None:
        if cache is not None:
            said.append(["PassOn", rpc.id, cache])
            going.append((now + chance.uniform(5.0, 400.0), rpc))
        elif rpc.answer in ("exhausted", "errored"):
            said.append(["NotNow" if rpc.answer == "exhausted" else "Surrender", rpc.id])

    going: list[tuple] = []
    for number in range(2000):
        now, key, method = number * 5.0, chance.randrange(40), chance.choice(["read", "save"])
        pairs = f"c={method},t=acme,d=700,k=5c0f".encode()
        fields = parse_request_fields(
            [b"C.GET", b"%x" % key, b"1", pairs], plain.policy.settings.methods, {"acme"}
        )
        write, until = method == "save", now + fields["patience"]
        rpc = Request(f"{number:016x}", method, "acme", fields["key"], write, now, until)
        act(rpc, plain.route(now, rpc))
        wired.knock(now, rpc.id, method, round(until * 1e6), 4 * write, "acme", None, None, key)
        for due in [due for due in going if due[0] <= now]:
            going.remove(due)
            rc, outcome = chance.choice([(0, "completed")] * 9 + [(13, "error"), (8, "full")])
            attempt = len(due[1].attempts) - 1
            wired.reply(
                now, due[1].id, attempt, due[1].attempts[-1].endpoint, rc, 40_000_000, rc == 0, 1, None
            )
            act(due[1], plain.report_attempt(now, due[1], attempt, outcome, 40.0, "hit"))
        while (woken := plain.next_due_request(now)) is not None:
            act(woken, plain.route(now, woken))
        wired.timeoutfired(now, 0)
        plain.tick(now)
        wired.settle(now)
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
    desk = Desk(caps=caps)
    assert desk.proxy.router.policy.gossip.peers == 0
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
    desk = Desk()
    moved = []
    desk.proxy.discovery.change_address = moved.append

    def reread() -> dict:
        validate_settings(SETTINGS | {"me": 9})
        return desk.proxy.node

    desk.proxy.on_sighup(reread)
    assert not moved
