"""Commands that a client pipelines beyond those that are read ahead: their time counts from their arrival."""

import time

import pytest
from helpers import ProxyHarness, encode_reply, encode_request
from hypothesis import given
from hypothesis import strategies as st
from test_endings import SocketHarness

from calicofall.proxy.client_connection import MAX_PIPELINED_COMMANDS
from calicofall.proxy.held_input import HeldInput

FURTHER_COMMANDS = 8
ANSWER_SLACK_S = 0.15  # of an answer, after the client's time is up


def test_commands_beyond_those_read_ahead_end_when_their_clients_time_is_up() -> None:
    """Guards against commands that get their whole time again after they have waited for those before."""
    harness = ProxyHarness().with_high_limits()
    client = harness.client()
    total = MAX_PIPELINED_COMMANDS + FURTHER_COMMANDS
    client.feed(b"".join(encode_request(key=number, remaining_ms="400") for number in range(total)))
    harness.loop.advance(0.401)
    assert client.take().count(b"\r\n") == total
    assert not harness.proxy.active_requests


def test_command_that_waited_for_those_before_is_sent_with_the_time_that_is_left() -> None:
    """Guards against an endpoint that is given more time than the client waits."""
    harness = ProxyHarness(1).with_high_limits()
    client = harness.client()
    client.feed(b"".join(encode_request(remaining_ms="400") for _ in range(MAX_PIPELINED_COMMANDS + 1)))
    upstreams = [harness.connect_upstream(request) for request in range(MAX_PIPELINED_COMMANDS)]
    harness.loop.advance(0.3)
    for upstream in upstreams:
        upstream.take()
        upstream.feed(encode_reply())
    harness.loop.advance(0.08)
    (active_request,) = harness.proxy.active_requests.values()
    assert active_request.request.expires_at - active_request.request.arrived_at == pytest.approx(100.0)


def test_time_of_commands_that_lie_in_the_kernels_buffer_counts_from_the_pause() -> None:
    """Guards against commands that get their whole time again, as they were unread when reading resumed."""
    socket_harness = SocketHarness()
    try:
        sock = socket_harness.client()
        sent_at = time.monotonic()
        half = MAX_PIPELINED_COMMANDS // 2
        sock.sendall(b"".join(encode_request(remaining_ms="300") for _ in range(half)))
        socket_harness.run_until(lambda: socket_harness.has_sent(half))
        sock.sendall(b"".join(encode_request(remaining_ms="300") for _ in range(half)))
        socket_harness.run_until(lambda: socket_harness.has_sent(MAX_PIPELINED_COMMANDS))
        (connection,) = socket_harness.proxy.clients.connections
        assert connection.reading_paused
        # Less time than the first ones have, of which some arrived before reading was paused.
        sock.sendall(b"".join(encode_request(remaining_ms="200") for _ in range(FURTHER_COMMANDS)))
        total = MAX_PIPELINED_COMMANDS + FURTHER_COMMANDS
        socket_harness.run_until(lambda: sum(socket_harness.proxy.metrics.totals().values()) == total)
        assert time.monotonic() - sent_at < 0.3 + ANSWER_SLACK_S
        assert socket_harness.has_sent(MAX_PIPELINED_COMMANDS)
    finally:
        socket_harness.close()


@given(
    st.lists(st.tuples(st.integers(1, 50), st.floats(0.0, 1.0)), min_size=1, max_size=20),
    st.lists(st.integers(1, 80), min_size=1, max_size=20),
)
def test_wait_is_the_time_since_the_arrival_of_a_commands_last_byte(
    arrivals: list[tuple[int, float]], command_sizes: list[int]
) -> None:
    held_input, now, end_offset, arrived_at = HeldInput(), 0.0, 0, {}
    for size, pause_s in arrivals:
        now += pause_s
        arrived_at |= dict.fromkeys(range(end_offset + 1, end_offset + size + 1), now)
        end_offset += size
        held_input.hold(end_offset, now)
    command_end = 0
    for size in command_sizes:
        command_end += size
        wait_s = held_input.take_wait_s(command_end, now)
        assert wait_s == (now - arrived_at[command_end] if command_end <= end_offset else 0.0)
