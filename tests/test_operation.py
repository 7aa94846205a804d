"""Operator calls, counters and graceful shutdown, on fake transports and a fake clock."""

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
from calicofall.proxy.close_cause import CLIENT_CAUSES, UPSTREAM_CAUSES, CloseCause
from calicofall.proxy.management import CALL_TIMEOUT_S, MAX_LINE_BYTES, MAX_OPERATOR_CONNECTIONS
from calicofall.routing.decisions import Wait

PING = resp.encode_command([b"PING"])


def call(harness: ProxyHarness, data: bytes) -> bytes:
    operator = FakeTransport(harness.proxy.management.add_connection())
    operator.feed(data)
    return operator.sent


def read_counters(harness: ProxyHarness) -> dict[str, int]:
    first, *lines, last, end = call(harness, b"counters\n").decode().split("\n")
    assert (first, last, end) == ("+OK", ".", "")
    return {line.partition(":")[0]: int(line.partition(":")[2].partition("|")[0]) for line in lines}


@pytest.mark.parametrize(
    "data,reply",
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
def test_an_operator_call_gets_one_reply_and_is_closed(data: bytes, reply: bytes) -> None:
    harness = ProxyHarness()
    operator = FakeTransport(harness.proxy.management.add_connection())
    operator.feed(data)
    assert operator.sent.startswith(reply) and operator.sent.count(b"\n") == 1
    harness.loop.advance(0.3)
    assert not operator.open and not harness.proxy.management.connections
    assert (harness.proxy.shutdown.began_at is not None) is (data == b"quiesce\n")


def test_a_call_in_pieces_is_read_and_an_incomplete_call_has_no_effect() -> None:
    harness = ProxyHarness()
    operator, incomplete = (FakeTransport(harness.proxy.management.add_connection()) for _ in range(2))
    for piece in (b"hea", b"l", b"th\r", b"\n"):
        assert not operator.sent
        operator.feed(piece)
    assert operator.sent == b"+OK serving\n"
    incomplete.feed(b"quie")
    incomplete.stream.eof_received()
    assert not incomplete.open and not incomplete.sent and harness.proxy.shutdown.began_at is None


def test_operators_that_complete_no_call_do_not_block_others() -> None:
    """Such connections could use up the file descriptors or block the address for other operators."""
    harness = ProxyHarness()
    operators = []
    for _ in range(MAX_OPERATOR_CONNECTIONS):
        assert harness.proxy.management.ensure_capacity()
        operators.append(FakeTransport(harness.proxy.management.add_connection()))
        operators[-1].feed(b"coun")
    assert harness.proxy.management.ensure_capacity()
    # The oldest connection is closed for a new one.
    assert not operators[0].open and all(operator.open for operator in operators[1:])
    assert call(harness, b"health\n") == b"+OK serving\n"
    harness.loop.advance(4.5)
    assert all(operator.open for operator in operators[1:])
    operators[1].feed(b"ters\n")
    assert operators[1].sent.startswith(b"+OK\nproxy.")
    harness.loop.advance(CALL_TIMEOUT_S - 4.4)
    assert operators[2].sent == b"-ERR no call came\n"
    harness.loop.advance(0.3)
    assert not any(operator.open for operator in operators)


def test_health_is_an_error_before_the_proxy_serves() -> None:
    harness = ProxyHarness()
    harness.proxy.listener = None
    assert call(harness, b"health\n") == b"-ERR starting\n"
    assert call(harness, b"quiesce\n") == b"-ERR starting\n"


def test_all_counters_are_listed_from_the_start() -> None:
    harness = ProxyHarness()
    counters = read_counters(harness)
    assert counters.pop("proxy.memory_mb") > 0
    assert counters.pop("proxy.upstream_closed_shutdown") == 6  # the harness closes what was opened ahead
    close_names = {f"proxy.client_closed_{cause}" for cause in CLIENT_CAUSES} | {
        f"proxy.upstream_closed_{cause}" for cause in UPSTREAM_CAUSES - {CloseCause.SHUTDOWN}
    }
    assert counters == dict.fromkeys(close_names, 0) | {"proxy.memory_limit_mb": 192} | {
        f"proxy.{name}.{method}": 0
        for name in ("answered", "deferred", "errored")
        for method in ("read", "save", "order")
    } | {
        "proxy.sends": 0,
        "proxy.connection_waits": 0,
        "proxy.second_copies": 0,
        "proxy.late_repeats": 0,
        "proxy.truncated_values": 0,
        "proxy.undelivered_closes": 0,
        "proxy.memory_waits": 0,
        "proxy.memory_wait_ms": 0,
        "proxy.memory_refusals": 0,
        "proxy.current": 0,
        "proxy.cluster_size": 3,
        "proxy.cluster_unhealthy": 0,
    }
    harness.push_endpoint_list(endpoint("c1", "DRAINING"), endpoint("c2", "DELETED"), endpoint("c9"))
    assert read_counters(harness)["proxy.cluster_size"] == 3
    assert b"|c\n" in call(harness, b"counters\n") and b"proxy.current:0|g\n" in call(harness, b"counters\n")


def test_cluster_unhealthy_counts_heavily_degraded_caches() -> None:
    harness = ProxyHarness(caches=4)
    policy, now = harness.proxy.router.policy, harness.proxy.now_ms()
    policy.outliers.eject(now, policy.endpoints.caches["c1"], 1 / 8, "")
    policy.outliers.eject(now, policy.endpoints.caches["c2"], 1 / 4, "")
    assert read_counters(harness)["proxy.cluster_unhealthy"] == 1
    harness.loop.advance(5.1)  # its fraction doubles without traffic: it is above an eighth
    assert read_counters(harness)["proxy.cluster_unhealthy"] == 0


@pytest.mark.parametrize("seed", range(4))
def test_counters_agree_with_an_independent_count(seed: int) -> None:
    """Clients disconnect; caches answer, reject, fail, and read only half of what is written to them."""
    random_generator, harness = Random(seed), ProxyHarness(caches=4)
    clients, upstreams, answer_counts, disconnected_count = (
        [harness.client() for _ in range(12)],
        [],
        Counter(),
        0,
    )

    def count_complete_commands(upstream: FakeTransport) -> int:
        """Counts the complete commands that a cache has received, without the program's own parser."""
        data, count = upstream.sent[: upstream.pause_after_bytes], 0  # a full socket accepts no more
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
            if upstream is not None and upstream.open and upstream.stream.command
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
            disconnected_count += 1
        harness.loop.advance(0.01)
        for client in [client for client in clients if client.sent]:
            answer = {b"$": "answered", b"-": "errored"}[client.sent[:1]]
            answer_counts["deferred" if client.sent.startswith(b"-BUSY") else answer, client.method] += 1
            client.take()
        counters = read_counters(harness)
        assert counters["proxy.current"] == sum(len(client.stream.replies) for client in clients)
    counters = read_counters(harness)
    for (answer, method), count in answer_counts.items():
        assert counters[f"proxy.{answer}.{method}"] == count
    assert disconnected_count and sum(answer_counts.values()) == sum(
        value for name, value in counters.items() if name.count(".") == 2
    )
    assert counters["proxy.sends"] == sum(
        map(count_complete_commands, [upstream for upstream in upstreams if upstream])
    )


def test_quiesce_rejects_ping_closes_after_answers_and_can_be_resumed() -> None:
    harness = ProxyHarness().with_high_limits()
    harness.proxy.upkeep()
    probe, busy, idle = harness.client(), harness.client(), harness.client()
    idle.feed(PING)
    assert idle.take() == b"+PONG\r\n"
    busy.feed(encode_request())
    assert call(harness, b"quiesce\n") == call(harness, b"quiesce\n") == b"+OK emptying\n"
    assert call(harness, b"health\n") == b"-ERR emptying\n"
    probe.feed(PING)
    assert probe.sent == b"-ERR emptying\r\n" and probe.eof_written
    harness.connect_upstream(0).feed(encode_reply(b"last"))
    assert busy.sent == b"$4\r\nlast\r\n" and busy.eof_written
    assert not idle.eof_written
    late = harness.client()  # the load balancer sends new clients for a while
    harness.loop.advance(0.2)
    late.feed(encode_request())
    harness.loop.advance(0.3)
    assert idle.eof_written and not late.eof_written  # it waits for its answer
    incomplete = harness.client()
    incomplete.feed(encode_request()[:20])
    assert call(harness, b"resume\n") == b"+OK serving\n" == call(harness, b"resume\n")
    assert call(harness, b"health\n") == b"+OK serving\n"
    harness.loop.connect_requests[-1][0].transport or harness.connect_upstream()
    for stream, _ in harness.loop.connect_requests:
        if stream.command:
            stream.transport.feed(encode_reply(b"kept"))
    assert late.take() == b"$4\r\nkept\r\n" and late.open  # no connection is closed after its answer
    late.feed(PING)
    assert late.sent == b"+PONG\r\n"
    harness.loop.advance(1.0)
    assert late.open and incomplete.open


def test_late_requests_keep_no_connection_four_seconds_after_quiesce() -> None:
    """Late requests, incomplete commands and silent connections are all answered and closed in time."""
    harness = ProxyHarness(
        methods=[
            method | {"hardDeadlineNs": 9_000_000_000}
            for method in ProxyHarness().proxy.node["settings"]["methods"]
        ]
    ).with_high_limits()
    harness.proxy.upkeep()
    early = harness.client()
    early.feed(encode_request(remaining_ms="9000"))  # sent before: it keeps its deadline
    call(harness, b"quiesce\n")
    late_clients = []
    for step in range(39):
        harness.loop.advance(0.1)
        late_clients.append(harness.client())
        late_clients[-1].feed([encode_request(remaining_ms="9000"), encode_request()[:30], b""][step % 3])
    harness.loop.advance(0.1)
    still_open = [client for client in late_clients if client.open and not client.eof_written]
    assert all(client in late_clients[-3:] for client in still_open) and early.open
    assert all(client.sent.startswith(b"-BUSY") for client in late_clients[:-3:3])
    assert all(client.sent.startswith(b"-ERR") for client in late_clients[1:-3:3])
    harness.loop.advance(0.6)
    assert not any(client.open for client in late_clients) and early.open and not early.sent


def test_a_request_that_waits_in_the_router_is_answered_after_quiesce() -> None:
    harness = ProxyHarness()
    policy = harness.proxy.router.policy
    policy.decide, original_decide = (lambda now, request: Wait(15.0)), policy.decide
    client = harness.client()
    client.feed(encode_request() + PING)
    call(harness, b"quiesce\n")
    harness.loop.advance(0.1)
    policy.decide = original_decide
    harness.loop.advance(0.1)
    harness.connect_upstream().feed(encode_reply(b"late"))
    assert client.sent == b"$4\r\nlate\r\n+PONG\r\n" and client.eof_written


def test_sigterm_after_quiesce_stops_the_proxy_and_cannot_be_resumed() -> None:
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


def test_quiesce_after_resume_waits_its_full_delay() -> None:
    """A timer left over from the first quiesce would close connections too early in the second."""
    harness = ProxyHarness()
    call(harness, b"quiesce\n")
    harness.loop.advance(graceful_shutdown.IDLE_CLOSE_DELAY_S - 0.1)
    call(harness, b"resume\n")
    idle = harness.client()
    idle.feed(PING)
    call(harness, b"quiesce\n")
    harness.loop.advance(graceful_shutdown.IDLE_CLOSE_DELAY_S - 0.1)
    assert not idle.eof_written
    harness.loop.advance(0.2)
    assert idle.eof_written


def test_an_address_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    """For either address, no file is left behind and the line names the address that is in use."""
    with (
        socket.create_server(("127.0.0.1", 0)) as used_socket,
        socket.create_server(("127.0.0.1", 0)) as free_socket,
    ):
        addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in (used_socket, free_socket)]
        free_socket.close()
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
            environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
            environment |= {"PROXY_CONFIG": str(path), "PROXY_MGMT": mgmt, "TMPDIR": str(tmp_path)}
            result = subprocess.run(
                [sys.executable, "-m", "calicofall", "serve", "--log-level", "ERROR"],
                env=environment,
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert result.returncode == 1
            assert result.stderr == f"Error: {addresses[0]}: Address already in use\n"
            assert [file.name for file in tmp_path.iterdir()] == ["node.json"]


def test_an_operator_that_does_not_read_its_reply_is_disconnected() -> None:
    harness = ProxyHarness()
    operator = FakeTransport(harness.proxy.management.add_connection(), pause_after_bytes=10)
    operator.feed(b"counters\n")
    harness.loop.advance(CALL_TIMEOUT_S + 0.1)
    assert not operator.open and not harness.proxy.management.connections
