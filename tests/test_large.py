"""Large values: passed on as they come, in bounded memory, and never a spoilt one as whole."""

from random import Random

import pytest
from helpers import Desk, Wire, ask, reply

from calicofall.proxy import client_connection, clients, resp, upstream_connection
from calicofall.proxy.resp import MAX_VALUE_BYTES, STREAMING_THRESHOLD_BYTES, WITHHELD_TAIL_BYTES

PING = resp.encode_command([b"PING"])


def big(size: int = MAX_VALUE_BYTES, seed: int = 1) -> bytes:
    return Random(seed).randbytes(size)


def asked(desk: Desk, room: int | None = None, **how: object) -> tuple[Wire, Wire]:
    client = desk.client(room)
    client.feed(ask(**how))
    return client, desk.line()


def drain(wire: Wire) -> bytes:
    """The peer takes all that was held back for it."""
    data = wire.take()
    while wire.stream.write_paused:
        wire.stream.resume_writing()
        data += wire.take()
    return data


def test_a_long_answer_is_passed_on_as_it_comes() -> None:
    """It was held whole before its first byte went out, and over 1 MiB it was called spoilt."""
    desk, value = Desk().spacious(), big()
    client, line = asked(desk)
    data = reply(value)
    line.feed(data[:20])
    assert client.sent.startswith(b"$%d\r\n" % MAX_VALUE_BYTES) and len(client.sent) > 10
    line.feed(data[20 : 1 << 20])
    assert (
        len(client.sent) > (1 << 20) - 100
        and len(line.stream.input.memory) <= STREAMING_THRESHOLD_BYTES + 2 * WITHHELD_TAIL_BYTES
    )
    line.feed(data[1 << 20 : -10])
    assert (
        len(client.sent) == len(resp.encode_bulk(value)) - WITHHELD_TAIL_BYTES - 2
    )  # the tail waits for the rest of the reply
    assert desk.proxy.metrics.totals()["completed"] == 0
    line.feed(data[-10:])
    assert client.sent == resp.encode_bulk(value) and desk.proxy.metrics.totals()["completed"] == 1
    assert not desk.proxy.active_requests and not desk.proxy.router.active_requests and line.open
    client.feed(ask())
    line.feed(reply(b"next"))
    assert client.sent.endswith(b"$4\r\nnext\r\n")


@pytest.mark.parametrize("seed", range(4))
def test_long_and_short_answers_cut_anywhere_arrive_whole(seed: int) -> None:
    chance, desk = Random(seed), Desk().spacious()
    client = desk.client()
    for number in range(20):
        value = chance.randbytes(
            chance.choice(
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
        client.feed(ask(key=number % 3))
        line = next(stream for stream, _ in desk.loop.opened if stream.pending)
        wire, data = line.transport or Wire(line), reply(value)
        while data:
            part = chance.choice([1, 2, 9, 1000, 1 << 16])
            wire.feed(data[:part])
            data = data[part:]
        assert client.take() == resp.encode_bulk(value)


def test_reading_from_the_cache_pauses_while_the_client_takes_no_more() -> None:
    """Others on the same cache go on meanwhile, on connections of their own."""
    desk, value = Desk(caches=1).spacious(), big()
    client, line = asked(desk, room=100_000)
    data = reply(value)
    line.feed(data[:200_000])
    assert line.paused and client.stream.write_paused
    other = desk.client()
    other.feed(ask())
    assert len(desk.loop.opened) == 2
    desk.line(1).feed(reply(b"meanwhile"))
    assert other.sent == b"$9\r\nmeanwhile\r\n"
    desk.loop.run(1.5)  # past its RPC's time: it stands still for its client alone
    got, fed = drain(client), 200_000
    client.room = None
    assert not line.paused
    line.feed(data[fed:])
    assert got + drain(client) == resp.encode_bulk(value)


def test_a_client_that_stops_reading_is_cut_and_its_cache_freed() -> None:
    desk = Desk(caches=1).spacious()
    client, line = asked(desk, room=100_000)
    line.feed(reply(big())[:200_000])
    assert line.paused
    desk.loop.run(clients.MIN_STALL_TIMEOUT_S + 0.1)
    assert (
        not client.open
        and not line.open
        and not desk.proxy.active_requests
        and not desk.proxy.router.active_requests
    )


def test_a_client_that_reads_slowly_is_not_taken_for_one_that_stands_still(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The system tells of room in large steps: 52 of 500 long answers were cut while their clients read."""
    desk, left = Desk(caches=1).spacious(), [1_000_000]
    monkeypatch.setattr(client_connection.ClientConnection, "unsent_kernel_bytes", lambda self: left[0])
    client, line = asked(desk, room=100_000)
    line.feed(reply(big())[:200_000])
    for _ in range(5):
        left[0] -= 1000
        desk.loop.run(clients.MIN_STALL_TIMEOUT_S)
    assert client.open and line.open
    desk.loop.run(2 * clients.MIN_STALL_TIMEOUT_S + 0.1)
    assert not client.open


def test_a_long_answer_that_is_passed_on_slowly_is_no_load_and_no_silence() -> None:
    """Values that slow clients read filled the limit, and their caches were set aside as silent."""
    desk = Desk(caches=1)
    policy = desk.proxy.router.policy
    client, line = asked(desk)
    assert policy.fleet.held == 1.0 == policy.endpoints.caches["c1"].held
    data = reply(big(300_000), b"miss")
    line.feed(data[:100_000])
    assert policy.fleet.held == 0.0 == policy.endpoints.caches["c1"].held == policy.origin.held
    desk.loop.run(2.0)
    line.feed(data[100_000:])
    assert client.sent.endswith(b"\r\n")
    assert len(policy.cached_keys.holders[0]) == 1 and policy.latency.fetches.count(desk.proxy.now_ms()) == 1
    assert policy.fleet.held == 0.0 == policy.endpoints.caches["c1"].held == policy.origin.held


def test_a_long_answer_behind_another_turn_waits_in_bounded_memory() -> None:
    desk, value = Desk().spacious(), big()
    client = desk.client()
    client.feed(ask(key=1, patience="1900") + ask(key=1, patience="300"))
    first, second = desk.line(0), desk.line(1)
    data, fed = reply(value), 0
    while not second.paused:
        second.feed(data[fed : fed + 1000])
        fed += 1000
    assert fed < 10_000 and not client.sent
    desk.loop.run(1.0)  # its time-out does not end what the cache still gives
    first.feed(reply(b"first"))
    assert client.sent.startswith(b"$5\r\nfirst\r\n$%d\r\n" % MAX_VALUE_BYTES) and not second.paused
    second.feed(data[fed:])
    assert client.sent == b"$5\r\nfirst\r\n" + resp.encode_bulk(value)


def test_no_time_out_cuts_what_the_cache_still_gives() -> None:
    """From its first byte on the RPC is answered: nothing is sent elsewhere, nothing called off."""
    desk, value = Desk().spacious(), big(STREAMING_THRESHOLD_BYTES * 4)
    client, line = asked(desk, patience="300")
    data = reply(value)
    for at in range(0, len(data), 20_000):
        line.feed(data[at : at + 20_000])
        desk.loop.run(0.3)
    assert client.sent == resp.encode_bulk(value) and len(desk.loop.opened) == 1


def test_a_cache_that_stands_still_is_given_up_and_the_client_can_tell() -> None:
    desk = Desk().spacious()
    client, line = asked(desk)
    line.feed(reply(big())[:500_000])
    desk.loop.run(upstream_connection.STREAM_STALL_TIMEOUT_S - 0.1)
    assert line.open and client.open
    desk.loop.run(0.2)
    assert not line.open and not client.open and len(client.sent) < MAX_VALUE_BYTES
    assert desk.proxy.metrics.totals() == {"completed": 0, "exhausted": 0, "errored": 1}
    assert not desk.proxy.active_requests and len(desk.loop.opened) == 1  # no second transmission


def test_a_head_alone_is_no_answer_yet() -> None:
    desk = Desk().spacious()
    client, line = asked(desk)
    line.feed(b"*3\r\n$1000000\r\n")
    desk.loop.run(0.1)
    assert not line.open and not client.sent
    desk.line().feed(reply(b"elsewhere"))
    assert client.sent == b"$9\r\nelsewhere\r\n"


@pytest.mark.parametrize("rest", [b"x\r\n$3\r\nhit\r\n$-1\r\n", b"\r\n+hit\r\n$-1\r\n", b"\r\n:7\r\n", None])
def test_a_wrong_end_reaches_the_client_as_a_value_cut_short(rest: bytes | None) -> None:
    desk, value = Desk().spacious(), big(200_000)
    client, line = asked(desk)
    data = reply(value)
    line.feed(data[: data.index(value) + len(value)])
    line.feed(rest) if rest is not None else line.abort()
    assert not client.open and not line.open and len(client.sent) < len(resp.encode_bulk(value))
    assert desk.proxy.metrics.totals()["errored"] == 1 and not desk.proxy.active_requests


def test_what_was_spoilt_before_its_turn_came_is_sent_elsewhere() -> None:
    desk = Desk().spacious()
    client = desk.client()
    client.feed(ask(key=1) + ask(key=1))
    desk.line(1).feed(b"*3\r\n$200000\r\nabc")
    desk.loop.opened[1][0].transport.abort()
    assert len(desk.loop.opened) == 3
    desk.line(2).feed(reply(b"second"))
    desk.line(0).feed(reply(b"first"))
    assert client.sent == b"$5\r\nfirst\r\n$6\r\nsecond\r\n" and client.open


def test_a_client_that_leaves_in_the_middle_frees_the_cache() -> None:
    desk = Desk(caches=1).spacious()
    client, line = asked(desk)
    line.feed(reply(big())[:500_000])
    client.abort()
    assert not line.open and not desk.proxy.active_requests and not desk.proxy.router.active_requests


def test_what_is_said_to_be_huge_is_spoilt_at_its_head() -> None:
    desk = Desk().spacious()
    client, line = asked(desk)
    line.feed(b"*3\r\n$3221225472\r\nabc")
    assert not line.open and not client.sent
    line = desk.line()
    line.feed(b"*3\r\n$%d\r\nabc" % (MAX_VALUE_BYTES + 1))
    assert not line.open and not client.sent


def test_the_answer_time_of_a_long_value_is_that_of_its_first_bytes() -> None:
    """A value that takes seconds to pass on would set its cache aside as slow."""
    desk, took = Desk().spacious(), []
    observer = desk.proxy.router.policy.observer
    observe = observer.observe
    observer.observe = lambda *values: took.append(values[3]) or observe(*values)
    client, line = asked(desk)
    data = reply(big(300_000))
    desk.loop.run(0.05)
    for at in range(0, len(data), 100_000):
        line.feed(data[at : at + 100_000])
        desk.loop.run(1.0)
    assert 45.0 < took[-1] < 55.0 and client.sent.endswith(b"\r\n")


def test_emptying_waits_for_a_value_that_is_half_passed_on() -> None:
    desk, value = Desk().spacious(), big()
    client, line = asked(desk)
    data = reply(value)
    line.feed(data[:500_000])
    desk.proxy.upkeep()
    desk.sigterm()
    desk.loop.run(1.0)
    assert client.open and not desk.proxy.stopped.done()
    line.feed(data[500_000:])
    assert client.sent == resp.encode_bulk(value) and client.ended
    client.end()
    desk.loop.run(0.1)
    assert desk.proxy.stopped.done()


def test_a_large_command_goes_to_the_cache_uncopied_and_again_if_proven_not_run() -> None:
    desk, value = Desk(caches=2).spacious(), big()
    client = desk.client()
    data = ask("save", value=value)
    for at in range(0, len(data), 10_000):
        client.feed(data[at : at + 10_000])
    line = desk.line(room=100_000)
    assert line.stream.write_paused and sum(map(len, line.stream.output.chunks)) > 3 << 20
    line.abort()  # it broke before the last byte had left
    line = desk.line()
    assert line.sent.endswith(value + b"\r\n") and line.sent.count(b"C.SET") == 1
    line.feed(reply(b"stored"))
    assert client.sent == b"$6\r\nstored\r\n" and desk.proxy.clients.buffered_bytes == 0


def test_large_commands_wait_for_memory_and_all_arrive() -> None:
    """Six at once would take more than there is: they come two or three at a time."""
    desk, value = Desk(caches=2).spacious(), big(1 << 20)
    desk.proxy.upkeep()
    desk.proxy.clients.read_ahead_bytes = 2 << 20
    pairs = [(desk.client(), ask("save", key=number, value=value)) for number in range(6)]
    left, most, waited = dict(pairs), 0, 0
    for _ in range(400):
        for client, data in list(left.items()):
            if not client.paused:
                client.feed(data[:30_000])
                left[client] = data[30_000:]
                if not left[client]:
                    del left[client]
            waited += client.paused
        most = max(most, desk.proxy.clients.partial_command_bytes)
        for stream in [stream for stream, _ in desk.loop.opened if stream.pending]:
            (stream.transport or Wire(stream)).feed(reply(b"stored"))
        desk.loop.run(0.01)
    assert not left and waited and most < 3.1 * (1 << 20)  # the memory told, and one command
    assert all(client.sent == b"$6\r\nstored\r\n" for client, _ in pairs)


def test_a_large_command_that_stands_still_is_refused_in_time_and_one_that_goes_on_is_not() -> None:
    desk = Desk().spacious()
    desk.proxy.upkeep()
    data = ask("save", value=big(1 << 20))
    still, going = desk.client(), desk.client()
    still.feed(data[:100_000])
    for at in range(0, 500_000, 100_000):
        going.feed(data[at : at + 100_000])
        desk.loop.run(0.7)
    assert still.sent.startswith(b"-ERR") and not still.open
    going.feed(data[500_000:])
    desk.line().feed(reply(b"stored"))
    assert going.sent == b"$6\r\nstored\r\n"


def test_a_head_that_takes_two_seconds_is_taken() -> None:
    desk = Desk().spacious()
    desk.proxy.upkeep()
    client, data = desk.client(), ask()
    for at in range(0, len(data), len(data) // 8 + 1):
        client.feed(data[at : at + len(data) // 8 + 1])
        desk.loop.run(0.27)
    desk.line().feed(reply())
    assert client.sent == b"$5\r\nfresh\r\n"
    assert clients.COMMAND_TIMEOUT_S + 0.25 < 3.0
