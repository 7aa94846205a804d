"""Large values are forwarded as they arrive, in bounded memory, and a malformed one never as complete."""

from random import Random

import pytest
from helpers import FakeTransport, ProxyHarness, encode_reply, encode_request

from calicofall.proxy import client_connection, clients, resp, upstream_connection
from calicofall.proxy.lingering_close import LINGER_S
from calicofall.proxy.resp import MAX_VALUE_BYTES, STREAMING_THRESHOLD_BYTES, WITHHELD_TAIL_BYTES
from calicofall.proxy.upstream_connection import REPLY_SETTLE_S

PING = resp.encode_command([b"PING"])


def random_value(size: int = MAX_VALUE_BYTES, seed: int = 1) -> bytes:
    return Random(seed).randbytes(size)


def send_request(
    harness: ProxyHarness, pause_after_bytes: int | None = None, **arguments: object
) -> tuple[FakeTransport, FakeTransport]:
    client = harness.client(pause_after_bytes)
    client.feed(encode_request(**arguments))
    return client, harness.connect_upstream()


def drain(transport: FakeTransport) -> bytes:
    """Lets the peer read all output that was queued for it, and returns it."""
    data = transport.take()
    while transport.stream.write_paused:
        transport.stream.resume_writing()
        data += transport.take()
    return data


def test_long_answer_is_forwarded_as_it_arrives() -> None:
    """It was buffered completely before its first byte was sent, and above 1 MiB it counted as malformed."""
    harness, value = ProxyHarness().with_high_limits(), random_value()
    client, upstream = send_request(harness)
    data = encode_reply(value)
    upstream.feed(data[:20])
    assert client.sent.startswith(b"$%d\r\n" % MAX_VALUE_BYTES) and len(client.sent) > 10
    upstream.feed(data[20 : 1 << 20])
    assert (
        len(client.sent) > (1 << 20) - 100
        and len(upstream.stream.input.memory) <= STREAMING_THRESHOLD_BYTES + 2 * WITHHELD_TAIL_BYTES
    )
    upstream.feed(data[1 << 20 : -10])
    # The end is withheld until the rest of the reply is valid.
    assert len(client.sent) == len(resp.encode_bulk(value)) - WITHHELD_TAIL_BYTES - 2
    assert harness.proxy.metrics.totals()["completed"] == 0
    upstream.feed(data[-10:])
    assert client.sent == resp.encode_bulk(value) and harness.proxy.metrics.totals()["completed"] == 1
    assert not harness.proxy.active_requests and not harness.proxy.router.active_requests and upstream.open
    harness.loop.clock += REPLY_SETTLE_S
    client.feed(encode_request())
    upstream.feed(encode_reply(b"next"))
    assert client.sent.endswith(b"$4\r\nnext\r\n")


@pytest.mark.parametrize("seed", range(4))
def test_long_and_short_answers_split_anywhere_arrive_complete(seed: int) -> None:
    random_generator, harness = Random(seed), ProxyHarness().with_high_limits()
    client = harness.client()
    for number in range(20):
        value = random_generator.randbytes(
            random_generator.choice(
                [
                    0,
                    9,
                    STREAMING_THRESHOLD_BYTES,
                    STREAMING_THRESHOLD_BYTES + 1,
                    STREAMING_THRESHOLD_BYTES + WITHHELD_TAIL_BYTES,
                    300_000,
                ]
            )
        )
        client.feed(encode_request(key=number % 3))
        connection = next(connection for connection, _ in harness.loop.connect_requests if connection.command)
        transport, data = connection.transport or FakeTransport(connection), encode_reply(value)
        while data:
            size = random_generator.choice([1, 2, 9, 1000, 1 << 16])
            transport.feed(data[:size])
            data = data[size:]
        assert client.take() == resp.encode_bulk(value)


def test_reading_from_the_cache_pauses_while_the_client_does_not_read() -> None:
    """Other requests to the same cache continue meanwhile, on other connections."""
    harness, value = ProxyHarness(caches=1).with_high_limits(), random_value()
    client, upstream = send_request(harness, pause_after_bytes=100_000)
    data = encode_reply(value)
    upstream.feed(data[:200_000])
    assert upstream.paused and client.stream.write_paused
    other = harness.client()
    other.feed(encode_request())
    assert len(harness.loop.connect_requests) == 2
    harness.connect_upstream(1).feed(encode_reply(b"meanwhile"))
    assert other.sent == b"$9\r\nmeanwhile\r\n"
    harness.loop.advance(1.5)  # after the request's deadline: only its client delays it
    received, fed_bytes = drain(client), 200_000
    client.pause_after_bytes = None
    assert not upstream.paused
    upstream.feed(data[fed_bytes:])
    assert received + drain(client) == resp.encode_bulk(value)


def test_client_that_stops_reading_is_disconnected_and_its_cache_connection_closed() -> None:
    harness = ProxyHarness(caches=1).with_high_limits()
    client, upstream = send_request(harness, pause_after_bytes=100_000)
    upstream.feed(encode_reply(random_value())[:200_000])
    assert upstream.paused
    harness.loop.advance(clients.MIN_STALL_TIMEOUT_S + 0.1)
    assert (
        not client.open
        and not upstream.open
        and not harness.proxy.active_requests
        and not harness.proxy.router.active_requests
    )


def test_client_that_reads_slowly_is_not_treated_as_stalled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel reports free space in large steps: 52 of 500 long answers were aborted while being read."""
    harness, unsent = ProxyHarness(caches=1).with_high_limits(), [1_000_000]
    monkeypatch.setattr(client_connection.ClientConnection, "unsent_kernel_bytes", lambda self: unsent[0])
    client, upstream = send_request(harness, pause_after_bytes=100_000)
    upstream.feed(encode_reply(random_value())[:200_000])
    for _ in range(5):
        unsent[0] -= 1000
        harness.loop.advance(clients.MIN_STALL_TIMEOUT_S)
    assert client.open and upstream.open
    harness.loop.advance(2 * clients.MIN_STALL_TIMEOUT_S + 0.1)
    assert not client.open


def test_slowly_forwarded_answer_counts_neither_as_load_nor_as_silence() -> None:
    """Values for slow clients used up the concurrency limit, and their caches were ejected as silent."""
    harness = ProxyHarness(caches=1)
    policy = harness.proxy.router.policy
    client, upstream = send_request(harness)
    assert policy.fleet_limit.in_flight == 1.0 == policy.endpoints.caches["c1"].in_flight
    data = encode_reply(random_value(300_000), b"miss")
    upstream.feed(data[:100_000])
    assert (
        policy.fleet_limit.in_flight
        == 0.0
        == policy.endpoints.caches["c1"].in_flight
        == policy.origin_limit.in_flight
    )
    harness.loop.advance(2.0)
    upstream.feed(data[100_000:])
    assert client.sent.endswith(b"\r\n")
    assert (
        len(policy.cached_keys.holders[0]) == 1 and policy.latency.fetches.count(harness.proxy.now_ms()) == 1
    )
    assert (
        policy.fleet_limit.in_flight
        == 0.0
        == policy.endpoints.caches["c1"].in_flight
        == policy.origin_limit.in_flight
    )


def test_long_answer_behind_another_one_waits_in_bounded_memory() -> None:
    harness, value = ProxyHarness().with_high_limits(), random_value()
    client = harness.client()
    client.feed(encode_request(key=1, remaining_ms="1900") + encode_request(key=1, remaining_ms="300"))
    first, second = harness.connect_upstream(0), harness.connect_upstream(1)
    data, fed_bytes = encode_reply(value), 0
    while not second.paused:
        second.feed(data[fed_bytes : fed_bytes + 1000])
        fed_bytes += 1000
    assert fed_bytes < 10_000 and not client.sent
    harness.loop.advance(1.0)  # its timeout does not end an answer that the cache is still sending
    first.feed(encode_reply(b"first"))
    assert client.sent.startswith(b"$5\r\nfirst\r\n$%d\r\n" % MAX_VALUE_BYTES) and not second.paused
    second.feed(data[fed_bytes:])
    assert client.sent == b"$5\r\nfirst\r\n" + resp.encode_bulk(value)


def test_no_timeout_ends_an_answer_that_the_cache_is_still_sending() -> None:
    """From the first byte of the answer on, no other attempt is sent and none is cancelled."""
    harness, value = ProxyHarness().with_high_limits(), random_value(STREAMING_THRESHOLD_BYTES * 4)
    client, upstream = send_request(harness, remaining_ms="300")
    data = encode_reply(value)
    for offset in range(0, len(data), 20_000):
        upstream.feed(data[offset : offset + 20_000])
        harness.loop.advance(0.3)
    assert client.sent == resp.encode_bulk(value) and len(harness.loop.connect_requests) == 1


def test_stalled_answer_is_aborted_and_the_client_can_detect_it() -> None:
    harness = ProxyHarness().with_high_limits()
    client, upstream = send_request(harness)
    upstream.feed(encode_reply(random_value())[:500_000])
    harness.loop.advance(upstream_connection.STREAM_STALL_TIMEOUT_S - 0.1)
    assert upstream.open and client.open
    harness.loop.advance(0.2)
    assert not upstream.open and client.eof_written and len(client.sent) < MAX_VALUE_BYTES
    harness.loop.advance(LINGER_S)
    assert not client.open and len(client.sent) < MAX_VALUE_BYTES
    assert harness.proxy.metrics.totals() == {"completed": 0, "exhausted": 0, "errored": 1}
    assert not harness.proxy.active_requests and len(harness.loop.connect_requests) == 1  # no second attempt


def test_head_of_a_value_alone_is_not_an_answer() -> None:
    harness = ProxyHarness().with_high_limits()
    client, upstream = send_request(harness)
    upstream.feed(b"*3\r\n$1000000\r\n")
    harness.loop.advance(0.6)
    assert upstream.open
    harness.loop.advance(0.1)
    assert not upstream.open and not client.sent
    harness.connect_upstream().feed(encode_reply(b"elsewhere"))
    assert client.sent == b"$9\r\nelsewhere\r\n"


@pytest.mark.parametrize("rest", [b"x\r\n$3\r\nhit\r\n$-1\r\n", b"\r\n+hit\r\n$-1\r\n", b"\r\n:7\r\n", None])
def test_invalid_end_of_a_reply_reaches_the_client_as_a_truncated_value(rest: bytes | None) -> None:
    harness, value = ProxyHarness().with_high_limits(), random_value(200_000)
    client, upstream = send_request(harness)
    data = encode_reply(value)
    upstream.feed(data[: data.index(value) + len(value)])
    upstream.feed(rest) if rest is not None else upstream.abort()
    assert client.eof_written and not upstream.open and len(client.sent) < len(resp.encode_bulk(value))
    harness.loop.advance(LINGER_S)
    assert not client.open
    assert harness.proxy.metrics.totals()["errored"] == 1 and not harness.proxy.active_requests


def test_request_whose_reply_fails_before_it_is_next_in_the_order_is_sent_to_another_cache() -> None:
    harness = ProxyHarness().with_high_limits()
    client = harness.client()
    client.feed(encode_request(key=1) + encode_request(key=1))
    harness.connect_upstream(1).feed(b"*3\r\n$200000\r\nabc")
    harness.loop.connect_requests[1][0].transport.abort()
    assert len(harness.loop.connect_requests) == 3
    harness.connect_upstream(2).feed(encode_reply(b"second"))
    harness.connect_upstream(0).feed(encode_reply(b"first"))
    assert client.sent == b"$5\r\nfirst\r\n$6\r\nsecond\r\n" and client.open


def test_client_that_disconnects_during_an_answer_frees_the_cache() -> None:
    harness = ProxyHarness(caches=1).with_high_limits()
    client, upstream = send_request(harness)
    upstream.feed(encode_reply(random_value())[:500_000])
    client.abort()
    assert (
        not upstream.open and not harness.proxy.active_requests and not harness.proxy.router.active_requests
    )


def test_value_announced_as_too_large_is_malformed_at_its_head() -> None:
    harness = ProxyHarness().with_high_limits()
    client, upstream = send_request(harness)
    upstream.feed(b"*3\r\n$3221225472\r\nabc")
    assert not upstream.open and not client.sent
    upstream = harness.connect_upstream()
    upstream.feed(b"*3\r\n$%d\r\nabc" % (MAX_VALUE_BYTES + 1))
    assert not upstream.open and not client.sent


def test_latency_of_a_long_value_is_that_of_its_first_bytes() -> None:
    """A value that takes seconds to forward would otherwise have its cache ejected as slow."""
    harness, latencies_ms = ProxyHarness().with_high_limits(), []
    observer = harness.proxy.router.policy.observer
    observe = observer.observe
    observer.observe = lambda *arguments: latencies_ms.append(arguments[3]) or observe(*arguments)
    client, upstream = send_request(harness)
    data = encode_reply(random_value(300_000))
    harness.loop.advance(0.05)
    for offset in range(0, len(data), 100_000):
        upstream.feed(data[offset : offset + 100_000])
        harness.loop.advance(1.0)
    assert 45.0 < latencies_ms[-1] < 55.0 and client.sent.endswith(b"\r\n")


def test_shutdown_waits_for_a_partly_forwarded_value() -> None:
    harness, value = ProxyHarness().with_high_limits(), random_value()
    client, upstream = send_request(harness)
    data = encode_reply(value)
    upstream.feed(data[:500_000])
    harness.proxy.upkeep()
    harness.sigterm()
    harness.loop.advance(1.0)
    assert client.open and not harness.proxy.stopped.done()
    upstream.feed(data[500_000:])
    assert client.sent == resp.encode_bulk(value) and client.eof_written
    client.receive_eof()
    harness.loop.advance(0.1)
    assert harness.proxy.stopped.done()


def test_large_command_is_sent_uncopied_and_again_if_it_has_not_run() -> None:
    harness, value = ProxyHarness(caches=2).with_high_limits(), random_value()
    client = harness.client()
    data = encode_request("save", value=value)
    for offset in range(0, len(data), 10_000):
        client.feed(data[offset : offset + 10_000])
    upstream = harness.connect_upstream(pause_after_bytes=100_000)
    assert upstream.stream.write_paused and sum(map(len, upstream.stream.output.chunks)) > 3 << 20
    upstream.abort()  # closed before the last byte was sent
    upstream = harness.connect_upstream()
    assert upstream.sent.endswith(value + b"\r\n") and upstream.sent.count(b"C.SET") == 1
    upstream.feed(encode_reply(b"stored"))
    assert client.sent == b"$6\r\nstored\r\n" and harness.proxy.clients.memory.buffered_bytes == 0


def test_large_commands_wait_for_memory_and_all_arrive() -> None:
    """Six at once would exceed the memory: two or three are read at a time."""
    harness, value = ProxyHarness(caches=2).with_high_limits(), random_value(1 << 20)
    harness.proxy.upkeep()
    harness.proxy.clients.memory.read_ahead_bytes = 2 << 20
    commands = [(harness.client(), encode_request("save", number, "2000", value)) for number in range(6)]
    unsent, max_partial_bytes, paused_count = dict(commands), 0, 0
    for _ in range(400):
        for client, data in list(unsent.items()):
            if not client.paused:
                client.feed(data[:120_000])
                unsent[client] = data[120_000:]
                if not unsent[client]:
                    del unsent[client]
            paused_count += client.paused
        max_partial_bytes = max(max_partial_bytes, harness.proxy.clients.memory.partial_command_bytes)
        for connection in [
            connection for connection, _ in harness.loop.connect_requests if connection.command
        ]:
            (connection.transport or FakeTransport(connection)).feed(encode_reply(b"stored"))
        harness.loop.advance(0.01)
    # The maximum is the memory limit and one command.
    assert not unsent and paused_count and max_partial_bytes < 3.1 * (1 << 20)
    assert all(client.sent == b"$6\r\nstored\r\n" for client, _ in commands)


def test_large_command_that_stalls_is_rejected_and_one_that_progresses_is_not() -> None:
    harness = ProxyHarness().with_high_limits()
    harness.proxy.upkeep()
    data = encode_request("save", value=random_value(1 << 20))
    stalled, progressing = harness.client(), harness.client()
    stalled.feed(data[:100_000])
    for offset in range(0, 500_000, 100_000):
        progressing.feed(data[offset : offset + 100_000])
        harness.loop.advance(0.7)
    assert stalled.sent.startswith(b"-ERR") and not stalled.open
    progressing.feed(data[500_000:])
    harness.connect_upstream().feed(encode_reply(b"stored"))
    assert progressing.sent == b"$6\r\nstored\r\n"


def test_short_command_that_takes_two_seconds_is_processed() -> None:
    harness = ProxyHarness().with_high_limits()
    harness.proxy.upkeep()
    client, data = harness.client(), encode_request()
    for offset in range(0, len(data), len(data) // 8 + 1):
        client.feed(data[offset : offset + len(data) // 8 + 1])
        harness.loop.advance(0.27)
    harness.connect_upstream().feed(encode_reply())
    assert client.sent == b"$5\r\nfresh\r\n"
    assert clients.COMMAND_TIMEOUT_S + 0.25 < 3.0
