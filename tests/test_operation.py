"""Where operators call, the figures, emptying: on fake transports and time."""

import json
import os
import socket
import subprocess
import sys
from collections import Counter
from pathlib import Path
from random import Random

import pytest
from helpers import SETTINGS, FakeTransport, ProxyHarness, encode_reply, encode_request, endpoint

from calicofall.proxy import graceful_shutdown, resp
from calicofall.proxy.management import CALL_TIMEOUT_S, MAX_LINE_BYTES, MAX_OPERATOR_CONNECTIONS
from calicofall.routing.decisions import Wait

PING = resp.encode_command([b"PING"])


def call(harness: ProxyHarness, data: bytes) -> bytes:
    caller = FakeTransport(harness.proxy.management.add_connection())
    caller.feed(data)
    return caller.sent


def figures(harness: ProxyHarness) -> dict[str, int]:
    first, *lines, last, end = call(harness, b"counters\n").decode().split("\n")
    assert (first, last, end) == ("+OK", ".", "")
    return {line.partition(":")[0]: int(line.partition(":")[2].partition("|")[0]) for line in lines}


@pytest.mark.parametrize(
    "data,said",
    [
        (b"health\n", b"+OK serving\n"),
        (b"health\r\n", b"+OK serving\n"),
        (b"quiesce\n", b"+OK emptying\n"),
        (b"resume\n", b"+OK serving\n"),
        (b"\n", b"-ERR unknown call"),
        (b"\r\n", b"-ERR unknown call"),
        (b"HEALTH\n", b"-ERR unknown call"),
        (b"health now\n", b"-ERR unknown call"),
        (b"\xff\xfe\n", b"-ERR not ASCII"),
        (b"x" * (MAX_LINE_BYTES + 1), b"-ERR a line too long"),
        (b"x" * 9000 + b"\n", b"-ERR a line too long"),
        (b"health\nquiesce\n", b"+OK serving\n"),
        (b"*1\r\n$4\r\nPING\r\n", b"-ERR unknown call"),
    ],
)
def test_one_line_has_one_answer_and_a_close(data: bytes, said: bytes) -> None:
    harness = ProxyHarness()
    caller = FakeTransport(harness.proxy.management.add_connection())
    caller.feed(data)
    assert caller.sent.startswith(said) and caller.sent.count(b"\n") == 1
    harness.loop.advance(0.3)
    assert not caller.open and not harness.proxy.management.connections
    assert (harness.proxy.shutdown.began_at is not None) is (data == b"quiesce\n")


def test_a_line_in_pieces_is_read_and_half_a_line_leaves_no_trace() -> None:
    harness = ProxyHarness()
    caller, half = (FakeTransport(harness.proxy.management.add_connection()) for _ in range(2))
    for piece in (b"hea", b"l", b"th\r", b"\n"):
        assert not caller.sent
        caller.feed(piece)
    assert caller.sent == b"+OK serving\n"
    half.feed(b"quie")
    half.stream.eof_received()
    assert not half.open and not half.sent and harness.proxy.shutdown.began_at is None


def test_callers_that_finish_no_call_hold_up_nobody() -> None:
    """They would have kept the descriptors there are, or the address to themselves."""
    harness = ProxyHarness()
    slow = []
    for _ in range(MAX_OPERATOR_CONNECTIONS):
        assert harness.proxy.management.ensure_capacity()
        slow.append(FakeTransport(harness.proxy.management.add_connection()))
        slow[-1].feed(b"coun")
    assert harness.proxy.management.ensure_capacity()
    assert not slow[0].open and all(caller.open for caller in slow[1:])  # the oldest goes for the next
    assert call(harness, b"health\n") == b"+OK serving\n"
    harness.loop.advance(4.5)
    assert all(caller.open for caller in slow[1:])
    slow[1].feed(b"ters\n")
    assert slow[1].sent.startswith(b"+OK\nproxy.")
    harness.loop.advance(CALL_TIMEOUT_S - 4.4)
    assert slow[2].sent == b"-ERR no call came\n"
    harness.loop.advance(0.3)
    assert not any(caller.open for caller in slow)


def test_health_is_no_before_the_proxy_serves() -> None:
    harness = ProxyHarness()
    harness.proxy.listener = None
    assert call(harness, b"health\n") == b"-ERR starting\n"
    assert call(harness, b"quiesce\n") == b"-ERR starting\n"


def test_all_figures_are_there_from_zero() -> None:
    harness = ProxyHarness()
    told = figures(harness)
    assert told == {
        f"proxy.{name}.{method}": 0
        for name in ("answered", "deferred", "errored")
        for method in ("read", "save", "order")
    } | {"proxy.sends": 0, "proxy.current": 0, "proxy.cluster_size": 3, "proxy.cluster_unhealthy": 0}
    harness.push_endpoint_list(endpoint("c1", "DRAINING"), endpoint("c2", "DELETED"), endpoint("c9"))
    assert figures(harness)["proxy.cluster_size"] == 3
    assert b"|c\n" in call(harness, b"counters\n") and b"proxy.current:0|g\n" in call(harness, b"counters\n")


def test_what_the_module_avoids_is_said_by_its_own_state() -> None:
    harness = ProxyHarness(caches=4)
    policy, now = harness.proxy.router.policy, harness.proxy.now_ms()
    policy.outliers.eject(now, policy.endpoints.caches["c1"], 1 / 8, "")
    policy.outliers.eject(now, policy.endpoints.caches["c2"], 1 / 4, "")
    assert figures(harness)["proxy.cluster_unhealthy"] == 1
    harness.loop.advance(5.1)  # its part doubles in silence: an eighth no more
    assert figures(harness)["proxy.cluster_unhealthy"] == 0


@pytest.mark.parametrize("seed", range(4))
def test_figures_agree_with_an_independent_count(seed: int) -> None:
    """Clients leave, caches answer, turn away, break, and take half of what is written to them."""
    random_generator, harness = Random(seed), ProxyHarness(caches=4)
    clients, upstreams, seen, left = [harness.client() for _ in range(12)], [], Counter(), 0

    def whole(upstream: FakeTransport) -> int:
        """Commands that a cache has got whole, read by the protocol's page and nothing of ours."""
        data, count = upstream.sent[: upstream.pause_after_bytes], 0  # a full socket has taken no more
        while data.startswith(b"*"):
            members, _, data = data.partition(b"\r\n")
            for _ in range(int(members[1:])):
                size, _, data = data.partition(b"\r\n")
                if len(data) < int(size[1:]) + 2:
                    return count
                data = data[int(size[1:]) + 2 :]
            count += 1
        return count

    for _ in range(1500):
        while len(upstreams) < len(harness.loop.connect_requests):
            stream = harness.loop.connect_requests[len(upstreams)][0]
            pause_after_bytes = random_generator.choice([None, None, 30_000])
            upstreams.append(
                None if stream.closed else harness.connect_upstream(len(upstreams), pause_after_bytes)
            )
        for upstream in [
            upstream
            for upstream in upstreams[-40:]
            if upstream is not None and upstream.open and upstream.stream.pending
        ]:
            if upstream.pause_after_bytes is not None and len(upstream.sent) > upstream.pause_after_bytes:
                if random_generator.random() < 0.3:
                    upstream.pause_after_bytes = None
                    upstream.stream.resume_writing()
            elif random_generator.random() < 0.3:
                upstream.feed(
                    random_generator.choice(
                        [encode_reply(), encode_reply(), b"-BUSY\r\n", b"-ERR failed\r\n", b"?\r\n"]
                    )
                )
            elif random_generator.random() < 0.05:
                upstream.abort()
        client = random_generator.choice(clients)
        if client.open and not client.stream.replies and not client.sent:
            client.method = random_generator.choice(["read", "save", "order"])
            remaining_ms = str(random_generator.randrange(50, 900))
            client.feed(
                encode_request(client.method, random_generator.randrange(9), remaining_ms, bytes(50_000))
            )
        elif random_generator.random() < 0.03 and client.stream.replies:
            clients[clients.index(client)] = harness.client()
            client.abort()
            left += 1
        harness.loop.advance(0.01)
        for client in [client for client in clients if client.sent]:
            kind = {b"$": "answered", b"-": "errored"}[client.sent[:1]]
            seen["deferred" if client.sent.startswith(b"-BUSY") else kind, client.method] += 1
            client.take()
        told = figures(harness)
        assert told["proxy.current"] == sum(len(client.stream.replies) for client in clients)
    told = figures(harness)
    for (kind, method), count in seen.items():
        assert told[f"proxy.{kind}.{method}"] == count
    assert left and sum(seen.values()) == sum(n for name, n in told.items() if name.count(".") == 2)
    assert told["proxy.sends"] == sum(map(whole, [upstream for upstream in upstreams if upstream]))


def test_emptying_says_no_closes_behind_answers_and_comes_back() -> None:
    harness = ProxyHarness().with_high_limits()
    harness.proxy.upkeep()
    probe, busy, resting = harness.client(), harness.client(), harness.client()
    resting.feed(PING)
    assert resting.take() == b"+PONG\r\n"
    busy.feed(encode_request())
    assert call(harness, b"quiesce\n") == call(harness, b"quiesce\n") == b"+OK emptying\n"
    assert call(harness, b"health\n") == b"-ERR emptying\n"
    probe.feed(PING)
    assert probe.sent == b"-ERR emptying\r\n" and probe.eof_written
    harness.connect_upstream(0).feed(encode_reply(b"last"))
    assert busy.sent == b"$4\r\nlast\r\n" and busy.eof_written
    assert not resting.eof_written
    late = harness.client()  # the front goes on sending for a while
    harness.loop.advance(0.2)
    late.feed(encode_request())
    harness.loop.advance(0.3)
    assert resting.eof_written and not late.eof_written  # it is owed an answer
    kept = harness.client()
    kept.feed(encode_request()[:20])
    assert call(harness, b"resume\n") == b"+OK serving\n" == call(harness, b"resume\n")
    assert call(harness, b"health\n") == b"+OK serving\n"
    harness.loop.connect_requests[-1][0].transport or harness.connect_upstream()
    for opened, _ in harness.loop.connect_requests:
        if opened.pending:
            opened.transport.feed(encode_reply(b"kept"))
    assert late.take() == b"$4\r\nkept\r\n" and late.open  # nothing is marked to close
    late.feed(PING)
    assert late.sent == b"+PONG\r\n"
    harness.loop.advance(1.0)
    assert late.open and kept.open


def test_what_comes_late_holds_no_connection_four_seconds_after_the_call() -> None:
    """New requests, half commands and silent connections until the end: all gone in time, all answered."""
    harness = ProxyHarness(
        methods=[
            method | {"hardDeadlineNs": 9_000_000_000}
            for method in ProxyHarness().proxy.node["settings"]["methods"]
        ]
    ).with_high_limits()
    harness.proxy.upkeep()
    begun = harness.client()
    begun.feed(encode_request(remaining_ms="9000"))  # in hand before: it keeps its deadline
    call(harness, b"quiesce\n")
    asked = []
    for step in range(39):
        harness.loop.advance(0.1)
        asked.append(harness.client())
        asked[-1].feed([encode_request(remaining_ms="9000"), encode_request()[:30], b""][step % 3])
    harness.loop.advance(0.1)
    held = [client for client in asked if client.open and not client.eof_written]  # no close is under way
    assert all(client in asked[-3:] for client in held) and begun.open
    assert all(client.sent.startswith(b"-BUSY") for client in asked[:-3:3])
    assert all(client.sent.startswith(b"-ERR") for client in asked[1:-3:3])
    harness.loop.advance(0.6)
    assert not any(client.open for client in asked) and begun.open and not begun.sent


def test_an_rpc_that_waits_in_the_module_is_answered_while_emptying() -> None:
    harness = ProxyHarness()
    policy = harness.proxy.router.policy
    policy.decide, where = (lambda now, request: Wait(15.0)), policy.decide
    client = harness.client()
    client.feed(encode_request() + PING)
    call(harness, b"quiesce\n")
    harness.loop.advance(0.1)
    policy.decide = where
    harness.loop.advance(0.1)
    harness.connect_upstream().feed(encode_reply(b"late"))
    assert client.sent == b"$4\r\nlate\r\n+PONG\r\n" and client.eof_written


def test_sigterm_while_emptying_ends_and_has_no_way_back() -> None:
    harness = ProxyHarness()
    harness.proxy.upkeep()
    call(harness, b"quiesce\n")
    harness.loop.advance(10.0)
    assert not harness.proxy.stopped.done()  # the proxy does not exit
    harness.sigterm()
    assert call(harness, b"resume\n") == b"-ERR terminating\n"
    assert call(harness, b"health\n") == b"-ERR emptying\n"
    harness.loop.advance(1.0)
    assert harness.proxy.stopped.done()


def test_emptying_again_after_resume_takes_its_whole_time() -> None:
    """A step that was left to come from the first time would close connections of the second."""
    harness = ProxyHarness()
    call(harness, b"quiesce\n")
    harness.loop.advance(graceful_shutdown.IDLE_CLOSE_DELAY_S - 0.1)
    call(harness, b"resume\n")
    resting = harness.client()
    resting.feed(PING)
    call(harness, b"quiesce\n")
    harness.loop.advance(graceful_shutdown.IDLE_CLOSE_DELAY_S - 0.1)
    assert not resting.eof_written
    harness.loop.advance(0.2)
    assert resting.eof_written


def test_an_address_taken_by_somebody_else_is_one_line(tmp_path: Path) -> None:
    """Both addresses; nothing is left behind, and the line names the one that is taken."""
    with socket.create_server(("127.0.0.1", 0)) as taken, socket.create_server(("127.0.0.1", 0)) as free:
        addresses = [f"127.0.0.1:{plug.getsockname()[1]}" for plug in (taken, free)]
        free.close()
        for listen, mgmt in (addresses, reversed(addresses)):
            path = tmp_path / "node.json"
            path.write_text(
                json.dumps(
                    {
                        "name": "n0",
                        "listen": listen,
                        "discovery": "127.0.0.1:9",
                        "seed": "1f",
                        "settings": SETTINGS,
                    }
                )
            )
            told = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
            told |= {"PROXY_CONFIG": str(path), "PROXY_MGMT": mgmt, "TMPDIR": str(tmp_path)}
            ended = subprocess.run(
                [sys.executable, "-m", "calicofall", "serve", "--log-level", "ERROR"],
                env=told,
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert ended.returncode == 1
            assert ended.stderr == f"Error: {addresses[0]}: Address already in use\n"
            assert [file.name for file in tmp_path.iterdir()] == ["node.json"]


def test_a_caller_that_does_not_read_its_answer_is_cut() -> None:
    harness = ProxyHarness()
    caller = FakeTransport(harness.proxy.management.add_connection(), pause_after_bytes=10)
    caller.feed(b"counters\n")
    harness.loop.advance(CALL_TIMEOUT_S + 0.1)
    assert not caller.open and not harness.proxy.management.connections
