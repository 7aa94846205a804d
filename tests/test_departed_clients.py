"""Nothing begins for a client that has left: real sockets on loopback."""

import socket
import struct
from collections.abc import Iterator

import pytest
from helpers import encode_reply, encode_request
from test_endings import SocketHarness, close_client

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
