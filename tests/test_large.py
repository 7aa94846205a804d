"""Large values: passed on as they come, in bounded memory, and never a spoilt one as whole."""

from random import Random

import pytest
from helpers import FakeTransport, ProxyHarness, encode_reply, encode_request

from calicofall.proxy import client_connection, clients, resp, upstream_connection
from calicofall.proxy.resp import MAX_VALUE_BYTES, STREAMING_THRESHOLD_BYTES, WITHHELD_TAIL_BYTES

PING = resp.encode_command([b"PING"])


def big(size: int = MAX_VALUE_BYTES, seed: int = 1) -> bytes:
    return Random(seed).randbytes(size)


def asked(
    harness: ProxyHarness, pause_after_bytes: int | None = None, **how: object
) -> tuple[FakeTransport, FakeTransport]:
    client = harness.client(pause_after_bytes)
    client.feed(encode_request(**how))
    return client, harness.connect_upstream()


def drain(transport: FakeTransport) -> bytes:
    """The peer takes all that was held back for it."""
    data = transport.take()
    while transport.stream.write_paused:
        transport.stream.resume_writing()
        data += transport.take()
    return data


def test_a_long_answer_is_passed_on_as_it_comes() -> None:
    """It was held whole before its first byte went out, and over 1 MiB it was called spoilt."""
    harness, value = ProxyHarness().with_high_limits(), big()
    client, upstream = asked(harness)
    data = encode_reply(value)
    upstream.feed(data[:20])
    assert client.sent.startswith(b"$%d\r\n" % MAX_VALUE_BYTES) and len(client.sent) > 10
    upstream.feed(data[20 : 1 << 20])
    assert (
        len(client.sent) > (1 << 20) - 100
        and len(upstream.stream.input.memory) <= STREAMING_THRESHOLD_BYTES + 2 * WITHHELD_TAIL_BYTES
    )
    upstream.feed(data[1 << 20 : -10])
    assert (
        len(client.sent) == len(resp.encode_bulk(value)) - WITHHELD_TAIL_BYTES - 2
    )  # the tail waits for the rest of the reply
    assert harness.proxy.metrics.totals()["completed"] == 0
    upstream.feed(data[-10:])
    assert client.sent == resp.encode_bulk(value) and harness.proxy.metrics.totals()["completed"] == 1
    assert not harness.proxy.active_requests and not harness.proxy.router.active_requests and upstream.open
    client.feed(encode_request())
    upstream.feed(encode_reply(b"next"))
    assert client.sent.endswith(b"$4\r\nnext\r\n")


@pytest.mark.parametrize("seed", range(4))
def test_long_and_short_answers_cut_anywhere_arrive_whole(seed: int) -> None:
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
        stream = next(stream for stream, _ in harness.loop.connect_requests if stream.pending)
        transport, data = stream.transport or FakeTransport(stream), encode_reply(value)
        while data:
            part = random_generator.choice([1, 2, 9, 1000, 1 << 16])
            transport.feed(data[:part])
            data = data[part:]
        assert client.take() == resp.encode_bulk(value)


def test_reading_from_the_cache_pauses_while_the_client_takes_no_more() -> None:
    """Others on the same cache go on meanwhile, on connections of their own."""
    harness, value = ProxyHarness(caches=1).with_high_limits(), big()
    client, upstream = asked(harness, pause_after_bytes=100_000)
    data = encode_reply(value)
    upstream.feed(data[:200_000])
    assert upstream.paused and client.stream.write_paused
    other = harness.client()
    other.feed(encode_request())
    assert len(harness.loop.connect_requests) == 2
    harness.connect_upstream(1).feed(encode_reply(b"meanwhile"))
    assert other.sent == b"$9\r\nmeanwhile\r\n"
    harness.loop.advance(1.5)  # past its RPC's time: it stands still for its client alone
    got, fed = drain(client), 200_000
    client.pause_after_bytes = None
    assert not upstream.paused
    upstream.feed(data[fed:])
    assert got + drain(client) == resp.encode_bulk(value)


def test_a_client_that_stops_reading_is_cut_and_its_cache_freed() -> None:
    harness = ProxyHarness(caches=1).with_high_limits()
    client, upstream = asked(harness, pause_after_bytes=100_000)
    upstream.feed(encode_reply(big())[:200_000])
    assert upstream.paused
    harness.loop.advance(clients.MIN_STALL_TIMEOUT_S + 0.1)
    assert (
        not client.open
        and not upstream.open
        and not harness.proxy.active_requests
        and not harness.proxy.router.active_requests
    )


def test_a_client_that_reads_slowly_is_not_taken_for_one_that_stands_still(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The system tells of room in large steps: 52 of 500 long answers were cut while their clients read."""
    harness, left = ProxyHarness(caches=1).with_high_limits(), [1_000_000]
    monkeypatch.setattr(client_connection.ClientConnection, "unsent_kernel_bytes", lambda self: left[0])
    client, upstream = asked(harness, pause_after_bytes=100_000)
    upstream.feed(encode_reply(big())[:200_000])
    for _ in range(5):
        left[0] -= 1000
        harness.loop.advance(clients.MIN_STALL_TIMEOUT_S)
    assert client.open and upstream.open
    harness.loop.advance(2 * clients.MIN_STALL_TIMEOUT_S + 0.1)
    assert not client.open


def test_a_long_answer_that_is_passed_on_slowly_is_no_load_and_no_silence() -> None:
    """Values that slow clients read filled the limit, and their caches were set aside as silent."""
    harness = ProxyHarness(caches=1)
    policy = harness.proxy.router.policy
    client, upstream = asked(harness)
    assert policy.fleet_limit.in_flight == 1.0 == policy.endpoints.caches["c1"].in_flight
    data = encode_reply(big(300_000), b"miss")
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


def test_a_long_answer_behind_another_turn_waits_in_bounded_memory() -> None:
    harness, value = ProxyHarness().with_high_limits(), big()
    client = harness.client()
    client.feed(encode_request(key=1, remaining_ms="1900") + encode_request(key=1, remaining_ms="300"))
    first, second = harness.connect_upstream(0), harness.connect_upstream(1)
    data, fed = encode_reply(value), 0
    while not second.paused:
        second.feed(data[fed : fed + 1000])
        fed += 1000
    assert fed < 10_000 and not client.sent
    harness.loop.advance(1.0)  # its time-out does not end what the cache still gives
    first.feed(encode_reply(b"first"))
    assert client.sent.startswith(b"$5\r\nfirst\r\n$%d\r\n" % MAX_VALUE_BYTES) and not second.paused
    second.feed(data[fed:])
    assert client.sent == b"$5\r\nfirst\r\n" + resp.encode_bulk(value)


def test_no_time_out_cuts_what_the_cache_still_gives() -> None:
    """From its first byte on the RPC is answered: nothing is sent elsewhere, nothing called off."""
    harness, value = ProxyHarness().with_high_limits(), big(STREAMING_THRESHOLD_BYTES * 4)
    client, upstream = asked(harness, remaining_ms="300")
    data = encode_reply(value)
    for at in range(0, len(data), 20_000):
        upstream.feed(data[at : at + 20_000])
        harness.loop.advance(0.3)
    assert client.sent == resp.encode_bulk(value) and len(harness.loop.connect_requests) == 1


def test_a_cache_that_stands_still_is_given_up_and_the_client_can_tell() -> None:
    harness = ProxyHarness().with_high_limits()
    client, upstream = asked(harness)
    upstream.feed(encode_reply(big())[:500_000])
    harness.loop.advance(upstream_connection.STREAM_STALL_TIMEOUT_S - 0.1)
    assert upstream.open and client.open
    harness.loop.advance(0.2)
    assert not upstream.open and not client.open and len(client.sent) < MAX_VALUE_BYTES
    assert harness.proxy.metrics.totals() == {"completed": 0, "exhausted": 0, "errored": 1}
    assert (
        not harness.proxy.active_requests and len(harness.loop.connect_requests) == 1
    )  # no second transmission


def test_a_head_alone_is_no_answer_yet() -> None:
    harness = ProxyHarness().with_high_limits()
    client, upstream = asked(harness)
    upstream.feed(b"*3\r\n$1000000\r\n")
    harness.loop.advance(0.1)
    assert not upstream.open and not client.sent
    harness.connect_upstream().feed(encode_reply(b"elsewhere"))
    assert client.sent == b"$9\r\nelsewhere\r\n"


@pytest.mark.parametrize("rest", [b"x\r\n$3\r\nhit\r\n$-1\r\n", b"\r\n+hit\r\n$-1\r\n", b"\r\n:7\r\n", None])
def test_a_wrong_end_reaches_the_client_as_a_value_cut_short(rest: bytes | None) -> None:
    harness, value = ProxyHarness().with_high_limits(), big(200_000)
    client, upstream = asked(harness)
    data = encode_reply(value)
    upstream.feed(data[: data.index(value) + len(value)])
    upstream.feed(rest) if rest is not None else upstream.abort()
    assert not client.open and not upstream.open and len(client.sent) < len(resp.encode_bulk(value))
    assert harness.proxy.metrics.totals()["errored"] == 1 and not harness.proxy.active_requests


def test_what_was_spoilt_before_its_turn_came_is_sent_elsewhere() -> None:
    harness = ProxyHarness().with_high_limits()
    client = harness.client()
    client.feed(encode_request(key=1) + encode_request(key=1))
    harness.connect_upstream(1).feed(b"*3\r\n$200000\r\nabc")
    harness.loop.connect_requests[1][0].transport.abort()
    assert len(harness.loop.connect_requests) == 3
    harness.connect_upstream(2).feed(encode_reply(b"second"))
    harness.connect_upstream(0).feed(encode_reply(b"first"))
    assert client.sent == b"$5\r\nfirst\r\n$6\r\nsecond\r\n" and client.open


def test_a_client_that_leaves_in_the_middle_frees_the_cache() -> None:
    harness = ProxyHarness(caches=1).with_high_limits()
    client, upstream = asked(harness)
    upstream.feed(encode_reply(big())[:500_000])
    client.abort()
    assert (
        not upstream.open and not harness.proxy.active_requests and not harness.proxy.router.active_requests
    )


def test_what_is_said_to_be_huge_is_spoilt_at_its_head() -> None:
    harness = ProxyHarness().with_high_limits()
    client, upstream = asked(harness)
    upstream.feed(b"*3\r\n$3221225472\r\nabc")
    assert not upstream.open and not client.sent
    upstream = harness.connect_upstream()
    upstream.feed(b"*3\r\n$%d\r\nabc" % (MAX_VALUE_BYTES + 1))
    assert not upstream.open and not client.sent


def test_the_answer_time_of_a_long_value_is_that_of_its_first_bytes() -> None:
    """A value that takes seconds to pass on would set its cache aside as slow."""
    harness, took = ProxyHarness().with_high_limits(), []
    observer = harness.proxy.router.policy.observer
    observe = observer.observe
    observer.observe = lambda *values: took.append(values[3]) or observe(*values)
    client, upstream = asked(harness)
    data = encode_reply(big(300_000))
    harness.loop.advance(0.05)
    for at in range(0, len(data), 100_000):
        upstream.feed(data[at : at + 100_000])
        harness.loop.advance(1.0)
    assert 45.0 < took[-1] < 55.0 and client.sent.endswith(b"\r\n")


def test_emptying_waits_for_a_value_that_is_half_passed_on() -> None:
    harness, value = ProxyHarness().with_high_limits(), big()
    client, upstream = asked(harness)
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


def test_a_large_command_goes_to_the_cache_uncopied_and_again_if_proven_not_run() -> None:
    harness, value = ProxyHarness(caches=2).with_high_limits(), big()
    client = harness.client()
    data = encode_request("save", value=value)
    for at in range(0, len(data), 10_000):
        client.feed(data[at : at + 10_000])
    upstream = harness.connect_upstream(pause_after_bytes=100_000)
    assert upstream.stream.write_paused and sum(map(len, upstream.stream.output.chunks)) > 3 << 20
    upstream.abort()  # it broke before the last byte had left
    upstream = harness.connect_upstream()
    assert upstream.sent.endswith(value + b"\r\n") and upstream.sent.count(b"C.SET") == 1
    upstream.feed(encode_reply(b"stored"))
    assert client.sent == b"$6\r\nstored\r\n" and harness.proxy.clients.buffered_bytes == 0


def test_large_commands_wait_for_memory_and_all_arrive() -> None:
    """Six at once would take more than there is: they come two or three at a time."""
    harness, value = ProxyHarness(caches=2).with_high_limits(), big(1 << 20)
    harness.proxy.upkeep()
    harness.proxy.clients.read_ahead_bytes = 2 << 20
    pairs = [(harness.client(), encode_request("save", key=number, value=value)) for number in range(6)]
    left, most, waited = dict(pairs), 0, 0
    for _ in range(400):
        for client, data in list(left.items()):
            if not client.paused:
                client.feed(data[:30_000])
                left[client] = data[30_000:]
                if not left[client]:
                    del left[client]
            waited += client.paused
        most = max(most, harness.proxy.clients.partial_command_bytes)
        for stream in [stream for stream, _ in harness.loop.connect_requests if stream.pending]:
            (stream.transport or FakeTransport(stream)).feed(encode_reply(b"stored"))
        harness.loop.advance(0.01)
    assert not left and waited and most < 3.1 * (1 << 20)  # the memory told, and one command
    assert all(client.sent == b"$6\r\nstored\r\n" for client, _ in pairs)


def test_a_large_command_that_stands_still_is_refused_in_time_and_one_that_goes_on_is_not() -> None:
    harness = ProxyHarness().with_high_limits()
    harness.proxy.upkeep()
    data = encode_request("save", value=big(1 << 20))
    still, going = harness.client(), harness.client()
    still.feed(data[:100_000])
    for at in range(0, 500_000, 100_000):
        going.feed(data[at : at + 100_000])
        harness.loop.advance(0.7)
    assert still.sent.startswith(b"-ERR") and not still.open
    going.feed(data[500_000:])
    harness.connect_upstream().feed(encode_reply(b"stored"))
    assert going.sent == b"$6\r\nstored\r\n"


def test_a_head_that_takes_two_seconds_is_taken() -> None:
    harness = ProxyHarness().with_high_limits()
    harness.proxy.upkeep()
    client, data = harness.client(), encode_request()
    for at in range(0, len(data), len(data) // 8 + 1):
        client.feed(data[at : at + len(data) // 8 + 1])
        harness.loop.advance(0.27)
    harness.connect_upstream().feed(encode_reply())
    assert client.sent == b"$5\r\nfresh\r\n"
    assert clients.COMMAND_TIMEOUT_S + 0.25 < 3.0
