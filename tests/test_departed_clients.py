"""Nothing begins for a client that has left, and its id is not run again: real sockets on loopback."""

import socket
import struct
from collections.abc import Iterator

import pytest
from helpers import ProxyHarness, encode_reply, encode_request
from test_endings import SocketHarness, close_client

from calicofall.proxy import client_connection, resp
from calicofall.proxy.client_connection import MAX_PIPELINED_COMMANDS
from calicofall.proxy.upstream_connection import REPLY_SETTLE_S

COMMANDS = 400
OPEN_CONNECTIONS = 4


@pytest.fixture
def socket_harness() -> Iterator[SocketHarness]:
    harness = SocketHarness()
    yield harness
    harness.close()


def open_connections_to_the_cache(harness: SocketHarness) -> None:
    """Leaves idle connections on which a command can be sent at once."""
    sock = harness.client()
    sock.sendall(b"".join(encode_request() for _ in range(OPEN_CONNECTIONS)))
    harness.run_until(lambda: harness.has_sent(OPEN_CONNECTIONS))
    for _ in range(OPEN_CONNECTIONS):
        cache = harness.accept_cache_connection()
        cache.recv(1 << 16)
        cache.sendall(encode_reply())
    harness.run_until(lambda: not harness.proxy.active_requests)
    harness.run_loop(REPLY_SETTLE_S)
    (pool,) = harness.proxy.upstreams.pools.values()
    assert sum(connection.is_idle for connection in pool.connections) == OPEN_CONNECTIONS
    sock.close()
    harness.run_until(lambda: not harness.proxy.clients.connections)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@pytest.mark.parametrize("method", ["save", "order", "read"])
@pytest.mark.parametrize("ending", ["close", "reset", "half-close"])
def test_unread_commands_of_a_client_that_has_left_are_not_sent(
    socket_harness: SocketHarness, method: str, ending: str
) -> None:
    """Its commands and its close are in the kernel before the proxy reads the first of them."""
    open_connections_to_the_cache(socket_harness)
    sock = socket_harness.client()
    (connection,) = socket_harness.proxy.clients.connections
    sock.sendall(b"".join(encode_request(method) for _ in range(COMMANDS)))
    if ending == "close":
        close_client(sock, connection)
    elif ending == "reset":
        reset(sock)
    else:
        sock.shutdown(socket.SHUT_WR)
    socket_harness.run_until(lambda: not socket_harness.proxy.clients.connections)
    socket_harness.run_loop(0.1)
    assert socket_harness.has_sent(OPEN_CONNECTIONS)
    assert not socket_harness.proxy.active_requests


def test_close_behind_input_that_does_not_fit_into_the_kernel_is_noticed(
    socket_harness: SocketHarness,
) -> None:
    """The client's close is sent only once what precedes it has been read, and no reply comes meanwhile."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    sock.connect(socket_harness.address)
    socket_harness.run_until(lambda: socket_harness.proxy.clients.connections)
    (connection,) = socket_harness.proxy.clients.connections
    connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.sendall(b"".join(encode_request("save") for _ in range(COMMANDS)))
    sock.close()
    assert not connection.peer_has_closed()
    socket_harness.run_loop(0.1)
    assert connection.closed
    assert not socket_harness.proxy.active_requests
    assert socket_harness.proxy.clients.memory.held_bytes == 0


@pytest.mark.parametrize("crowded_looks", range(8))
def test_command_that_waited_for_a_close_is_sent_although_no_more_input_comes(
    socket_harness: SocketHarness, monkeypatch: pytest.MonkeyPatch, crowded_looks: int
) -> None:
    """The kernel's buffer empties between two looks at it, when reading has just been paused."""
    looks = iter([True] * crowded_looks)
    monkeypatch.setattr(client_connection, "is_receive_buffer_crowded", lambda _: next(looks, False))
    sock = socket_harness.client()
    sock.sendall(b"".join(encode_request() for _ in range(2 * MAX_PIPELINED_COMMANDS)).ljust(4096, b"*"))
    socket_harness.run_loop(0.2)
    assert socket_harness.proxy.metrics.attempts_sent >= MAX_PIPELINED_COMMANDS


def test_input_that_is_held_is_bounded_and_its_commands_are_answered(socket_harness: SocketHarness) -> None:
    memory = socket_harness.proxy.clients.memory
    memory.set_read_ahead(1 << 17)
    sock = socket_harness.client()
    (connection,) = socket_harness.proxy.clients.connections
    sock.setblocking(False)
    sent = sock.send(b"".join(encode_request(remaining_ms="300") for _ in range(4 * COMMANDS)))
    socket_harness.run_loop(0.1)
    assert 0 < memory.held_bytes <= 1 << 17
    assert connection.reading_paused
    commands = sent // len(encode_request(remaining_ms="300"))
    metrics = socket_harness.proxy.metrics
    socket_harness.run_until(lambda: sum(metrics.totals().values()) + metrics.memory_refusals >= commands)
    assert memory.held_bytes == 0


@pytest.mark.parametrize("method", ["save", "order", "read"])
def test_client_that_leaves_between_its_commands_and_their_attempts_causes_none(
    socket_harness: SocketHarness, method: str
) -> None:
    """The commands wait for a connection to the cache, which opens after the client has left."""
    sock = socket_harness.client()
    (connection,) = socket_harness.proxy.clients.connections
    sock.sendall(b"".join(encode_request(method) for _ in range(MAX_PIPELINED_COMMANDS // 2)))
    while not socket_harness.proxy.active_requests:
        socket_harness.run_loop(0.0)
    assert socket_harness.proxy.metrics.attempts_sent == 0
    close_client(sock, connection)
    socket_harness.run_loop(0.1)
    assert socket_harness.proxy.metrics.attempts_sent == 0


def test_read_that_is_retried_for_a_client_that_has_left_is_not_sent_again() -> None:
    harness = SocketHarness(caches=1)
    try:
        sock = harness.client()
        (connection,) = harness.proxy.clients.connections
        sock.sendall(encode_request())
        harness.run_until(lambda: harness.has_sent(1))
        cache = harness.accept_cache_connection()
        cache.recv(1 << 16)
        cache.sendall(b"-ERR failed\r\n")
        close_client(sock, connection)
        harness.run_loop(0.1)
        assert harness.has_sent(1)
    finally:
        harness.close()


# Its id


def send_id(harness: ProxyHarness, method: str, request_id: bytes) -> object:
    client = harness.client()
    parts = encode_request(method).split(b"\r\n")
    parts[6] = request_id
    client.feed(b"\r\n".join(parts))
    return client


@pytest.mark.parametrize(("method", "may_come_again"), [("order", False), ("save", False), ("read", True)])
@pytest.mark.parametrize("can_cancel", [True, False])
def test_id_of_a_client_that_has_left_is_not_run_again(
    method: str, may_come_again: bool, can_cancel: bool
) -> None:
    harness = ProxyHarness(caps={"mostTransmissions": 4, "cancel": can_cancel, "streamsPerConn": 8})
    first = send_id(harness, method, b"00000000000000ab")
    harness.connect_upstream()
    assert harness.proxy.metrics.attempts_sent == 1
    first.abort()
    second = send_id(harness, method, b"00000000000000ab")
    for stream, _ in harness.loop.connect_requests[1:]:
        assert stream.closed or may_come_again
    assert second.sent.startswith(b"-ERR") != may_come_again


def test_id_of_a_client_that_left_before_anything_was_sent_may_come_again() -> None:
    harness = ProxyHarness()
    send_id(harness, "order", b"00000000000000ab").abort()
    second = send_id(harness, "order", b"00000000000000ab")
    harness.connect_upstream().feed(encode_reply(b"done"))
    assert second.sent == resp.encode_bulk(b"done")


def test_ids_of_clients_that_have_left_take_bounded_memory() -> None:
    harness = ProxyHarness().with_high_limits()
    for number in range(5000):
        departed = harness.proxy.requests.departed
        departed.add(b"%016x" % number, harness.loop.time())
    assert len(departed) <= 2048
    assert departed.may_have_run(b"%016x" % 4999, harness.loop.time())
    assert not departed.may_have_run(b"%016x" % 4999, harness.loop.time() + 3600.0)
