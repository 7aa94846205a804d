"""A value that breaks off ends its client's connection behind the whole answers that precede it.

What the proxy has passed on lies in its output queue, the transport's buffer and the kernel's send buffer. A
reset drops all three, and the close of a socket over unread input is a reset.
"""

import socket
import struct
import threading
import time
from collections.abc import Iterator
from contextlib import suppress

import pytest
from helpers import SETTINGS, FakeTransport, ProxyHarness, encode_reply, encode_request
from test_endings import SocketHarness, read_until_close, unread_bytes, wait_for_unread

from calicofall.proxy import resp
from calicofall.proxy.client_connection import MAX_PIPELINED_COMMANDS, ClientConnection, PendingReply
from calicofall.proxy.kernel_buffers import unacknowledged_bytes
from calicofall.proxy.lingering_close import LINGER_S, MAX_CLOSING_S, MAX_DISCARDED_BYTES, STALL_TIMEOUT_S

PING = resp.encode_command([b"PING"])
ANSWERS_IN_FRONT = 6
CLIENT_BUFFER_BYTES = 16_384
WHOLE_VALUE = bytes(60_000)
TRUNCATED_VALUE_BYTES = 400_000


@pytest.fixture
def socket_harness() -> Iterator[SocketHarness]:
    harness = SocketHarness()
    yield harness
    harness.close()


def connect_slow_client(harness: SocketHarness, buffer_bytes: int = CLIENT_BUFFER_BYTES) -> socket.socket:
    """Connects a client whose kernel buffers little input, so that the proxy's kernel holds the rest."""
    before = len(harness.proxy.clients.connections)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.settimeout(5.0)
    sock.connect(harness.address)
    harness.open_sockets.append(sock)
    harness.run_until(lambda: len(harness.proxy.clients.connections) > before)
    return sock


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def truncate_behind_whole_answers(
    harness: SocketHarness, unread_input: bytes
) -> tuple[socket.socket, ClientConnection]:
    """Lets a value break off behind whole answers, while a client reads nothing and its input is unread."""
    sock = connect_slow_client(harness)
    connection = next(iter(harness.proxy.clients.connections))
    sock.sendall(b"".join(encode_request(key=1) for _ in range(MAX_PIPELINED_COMMANDS)))
    harness.run_until(lambda: harness.has_sent(MAX_PIPELINED_COMMANDS))
    caches = [harness.accept_cache_connection() for _ in range(MAX_PIPELINED_COMMANDS)]
    assert connection.reading_paused
    sock.sendall(unread_input)
    wait_for_unread(connection.transport.get_extra_info("socket"), min(len(unread_input), 20_000))
    for cache in caches[:ANSWERS_IN_FRONT]:
        cache.sendall(encode_reply(WHOLE_VALUE))
    caches[ANSWERS_IN_FRONT].sendall(encode_reply(bytes(TRUNCATED_VALUE_BYTES))[: TRUNCATED_VALUE_BYTES // 2])
    harness.run_until(lambda: connection.replies and connection.replies[0].head_sent)
    assert connection.unsent_kernel_bytes() > 0
    assert unread_bytes(connection.transport.get_extra_info("socket"))
    reset(caches[ANSWERS_IN_FRONT])
    harness.run_until(lambda: harness.proxy.metrics.truncated_values)
    return sock, connection


def read_slowly(harness: SocketHarness, sock: socket.socket) -> bytes:
    """Returns all bytes up to the proxy's close, read while its event loop runs; raises on a reset."""
    data = b""
    sock.setblocking(False)
    deadline = time.monotonic() + 10.0
    while time.monotonic() < deadline:
        harness.run_loop(0.002)
        try:
            received = sock.recv(1 << 14)
        except BlockingIOError:
            continue
        if not received:
            return data
        data += received
    raise AssertionError("the connection has not ended")


def assert_whole_answers_and_a_part(data: bytes) -> None:
    whole_answers = resp.encode_bulk(WHOLE_VALUE) * ANSWERS_IN_FRONT
    assert data.startswith(whole_answers)
    rest = data[len(whole_answers) :]
    # The client can tell that the value is incomplete, and nothing is written behind it.
    assert rest.startswith(b"$%d\r\n" % TRUNCATED_VALUE_BYTES)
    assert rest.count(b"\n") == 1
    assert len(rest) < TRUNCATED_VALUE_BYTES


@pytest.mark.parametrize("pause_s", [0.0, 3 * LINGER_S])
@pytest.mark.parametrize("unread_input", [PING * 1000, PING * 40_000], ids=["14 kB", "560 kB"])
def test_whole_answers_before_a_truncated_value_reach_a_slow_client(
    socket_harness: SocketHarness, pause_s: float, unread_input: bytes
) -> None:
    """The connection was reset over unread commands, and whole answers that the kernel held were lost."""
    sock, connection = truncate_behind_whole_answers(socket_harness, unread_input)
    assert not socket_harness.proxy.active_requests  # those behind it end as if their client had left
    socket_harness.run_loop(pause_s)
    assert_whole_answers_and_a_part(read_slowly(socket_harness, sock))
    sock.close()
    socket_harness.run_until(lambda: connection.closed)
    assert socket_harness.proxy.metrics.undelivered_closes == 0


def test_whole_answers_survive_the_end_of_the_process_over_unread_commands(
    socket_harness: SocketHarness,
) -> None:
    """A process that ended over unread commands reset connections with whole answers on their way."""
    sock = connect_slow_client(socket_harness)
    connection = next(iter(socket_harness.proxy.clients.connections))
    sock.sendall(b"".join(encode_request(key=1) for _ in range(MAX_PIPELINED_COMMANDS)))
    socket_harness.run_until(lambda: socket_harness.has_sent(MAX_PIPELINED_COMMANDS))
    server_socket = connection.transport.get_extra_info("socket")
    sock.sendall(PING * 1000)
    wait_for_unread(server_socket, len(PING) * 1000)
    socket_harness.accept_cache_connection().sendall(encode_reply(WHOLE_VALUE))
    socket_harness.run_until(lambda: socket_harness.proxy.metrics.totals()["completed"])
    assert connection.unsent_kernel_bytes() > 0
    assert not connection.write_paused
    assert unread_bytes(server_socket) > 0
    socket_harness.proxy.clients.discard_unread_input()
    connection.abort()  # the end of the process closes the socket in the same way
    socket_harness.run_loop()
    assert read_until_close(sock) == resp.encode_bulk(WHOLE_VALUE)


@pytest.mark.parametrize("is_reading", [True, False])
def test_only_a_client_that_accepts_nothing_counts_as_stalled(
    socket_harness: SocketHarness, monkeypatch: pytest.MonkeyPatch, is_reading: bool
) -> None:
    """A client that read slowly was cut, as the kernel refilled its buffer with as much as was read."""
    stall_timeout_s = 1.0
    monkeypatch.setattr(socket_harness.proxy.clients, "stall_timeout_s", stall_timeout_s)
    sock = connect_slow_client(socket_harness, buffer_bytes=4096)
    connection = next(iter(socket_harness.proxy.clients.connections))
    server_socket = connection.transport.get_extra_info("socket")
    server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CLIENT_BUFFER_BYTES)
    sock.sendall(encode_request(key=1))
    socket_harness.run_until(lambda: socket_harness.has_sent(1))
    cache = socket_harness.accept_cache_connection()
    threading.Thread(target=cache.sendall, args=[encode_reply(bytes(300_000))], daemon=True).start()
    socket_harness.run_until(lambda: connection.write_paused)
    sock.setblocking(False)
    received_bytes = 0
    ends_at = time.monotonic() + 3 * stall_timeout_s
    while time.monotonic() < ends_at and not connection.closed:
        socket_harness.run_loop(0.02)
        if is_reading:
            with suppress(BlockingIOError):
                received_bytes += len(sock.recv(300))
    assert connection.closed != is_reading
    assert connection.write_paused  # it is far from the end of the value
    assert (received_bytes > 10_000) == is_reading


def test_fin_that_is_not_acknowledged_is_no_output_that_is_due(socket_harness: SocketHarness) -> None:
    """The FIN counted as a byte for up to 40 ms, in which a newcomer found no connection to replace."""
    sock = socket_harness.client()
    sock.sendall(PING)
    socket_harness.run_until(lambda: socket_harness.proxy.clients.idle)
    connection = next(iter(socket_harness.proxy.clients.idle))
    socket_harness.run_until(lambda: not connection.unsent_kernel_bytes())
    connection.close()
    assert connection.lingering_close.is_shut_down
    assert unacknowledged_bytes(connection.transport) == 1  # the FIN
    assert not connection.has_due_output()


class ClosingClients:
    """Clients on fake transports that are closing, with output that their kernels have not acknowledged."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, count: int, sockets: int = 1024) -> None:
        self.harness = ProxyHarness(sockets=sockets)
        self.unacknowledged: dict[ClientConnection, int] = {}
        monkeypatch.setattr(
            ClientConnection, "unsent_kernel_bytes", lambda client: self.unacknowledged.get(client, 0)
        )
        self.transports = [self.harness.client() for _ in range(count)]
        for transport in self.transports:
            transport.feed(PING)
            self.unacknowledged[transport.stream] = 1_000_000
            transport.stream.close()

    def open_transports(self) -> list[FakeTransport]:
        return [transport for transport in self.transports if transport.open]


def test_close_waits_for_a_client_that_goes_on_reading(monkeypatch: pytest.MonkeyPatch) -> None:
    """The time of a close began when the transport was empty, while the kernel still held megabytes."""
    clients = ClosingClients(monkeypatch, 1)
    (stream,) = clients.unacknowledged
    for _ in range(4):
        clients.harness.loop.advance(STALL_TIMEOUT_S - 0.1)
        assert clients.open_transports()
        clients.unacknowledged[stream] -= 1000
    clients.unacknowledged[stream] = 0
    clients.harness.loop.advance(LINGER_S - 0.01)
    assert clients.open_transports()
    clients.harness.loop.advance(0.1)
    assert not clients.open_transports()
    assert clients.harness.proxy.metrics.undelivered_closes == 0


def test_close_ends_in_bounded_time_though_its_client_reads_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    clients = ClosingClients(monkeypatch, 3)
    clients.harness.loop.advance(STALL_TIMEOUT_S - 0.1)
    assert len(clients.open_transports()) == 3
    clients.harness.loop.advance(0.2)
    assert not clients.open_transports()
    assert not clients.harness.proxy.clients.connections
    assert clients.harness.proxy.metrics.undelivered_closes == 3


def test_close_ends_in_bounded_time_though_its_client_reads_hardly_anything(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clients = ClosingClients(monkeypatch, 1)
    (stream,) = clients.unacknowledged
    for _ in range(int(MAX_CLOSING_S)):
        assert clients.open_transports()
        clients.unacknowledged[stream] -= 1
        clients.harness.loop.advance(1.0)
    assert not clients.open_transports()


def test_newcomer_closes_no_connection_that_owes_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Closing connections were the first to be aborted for a new one, with what the kernel held for them."""
    clients = ClosingClients(monkeypatch, 8, sockets=40)  # eight connections fit
    assert clients.harness.client() is None
    assert len(clients.open_transports()) == 8
    delivered = clients.transports[5]
    clients.unacknowledged[delivered.stream] = 0
    assert clients.harness.client() is not None
    assert not delivered.open
    assert len(clients.open_transports()) == 7
    clients.harness.loop.advance(STALL_TIMEOUT_S + 0.1)
    assert not clients.open_transports()  # in bounded time there is room again


def test_lowered_limit_closes_connections_that_owe_answers_behind_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A lowered limit aborted connections with what the kernel held for them."""
    clients = ClosingClients(monkeypatch, 1)
    idle_transports = [clients.harness.client() for _ in range(2)]
    for transport in idle_transports:
        transport.feed(PING)
        clients.unacknowledged[transport.stream] = 1_000_000
    clients.harness.proxy.clients.set_max_connections(1)
    transports = [*clients.transports, *idle_transports]
    assert [transport.eof_written for transport in transports] == [True, True, False]
    assert all(transport.open for transport in transports)
    clients.unacknowledged.clear()
    clients.harness.loop.advance(STALL_TIMEOUT_S)
    assert [transport.open for transport in transports] == [False, False, True]


def test_input_of_a_closing_connection_is_read_at_a_bounded_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reading stopped for good after 128 KiB, and the close over the rest was a reset."""
    clients = ClosingClients(monkeypatch, 1)
    (transport,) = clients.transports
    for _ in range(5):
        transport.feed(bytes(MAX_DISCARDED_BYTES + 1))
        assert transport.paused
        assert not len(transport.stream.input)
        clients.harness.loop.advance(0.1)
        assert not transport.paused


def test_requests_behind_a_truncated_value_end_as_if_their_client_had_left() -> None:
    harness = ProxyHarness(methods=SETTINGS["methods"]).with_high_limits()
    client = harness.client()
    client.feed(encode_request(key=1) + encode_request("order", key=1) + encode_request(key=1))
    upstreams = [harness.connect_upstream(number) for number in range(3)]
    upstreams[0].feed(encode_reply(bytes(TRUNCATED_VALUE_BYTES))[:200_000])
    upstreams[2].feed(encode_reply(b"whole, but behind it"))
    upstreams[0].abort()
    assert client.eof_written
    assert b"whole" not in client.sent
    assert not upstreams[1].open  # nothing is sent for it any more
    assert not harness.proxy.active_requests
    assert not harness.proxy.router.active_requests
    assert not harness.proxy.clients.memory.buffered_bytes
    assert not harness.proxy.router.policy.fleet_limit.in_flight


def test_newcomer_closes_no_connection_with_half_a_command_to_which_a_reply_is_due() -> None:
    """A client that had begun its next command lost the answer to the one before to a newcomer."""
    harness = ProxyHarness(sockets=42).with_high_limits()
    transports = [harness.client() for _ in range(5)]
    for number, transport in enumerate(transports):
        transport.feed((encode_request(key=1) if number < 4 else b"") + encode_request(key=1)[:20])
    while harness.proxy.clients._has_capacity():
        transports.append(harness.client())
        transports[-1].feed(encode_request(key=1))
    assert all(transport.stream.replies for transport in transports[:4])
    newcomer = harness.client()
    newcomer.feed(encode_request(key=1))
    assert [transport.open for transport in transports[:5]] == [True, True, True, True, False]
    assert harness.client() is None


def test_error_in_a_callback_costs_only_the_command_that_caused_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """An exception while a command was processed aborted the connection with the answers in front of it."""
    harness = ProxyHarness().with_high_limits()
    client = harness.client()
    client.feed(encode_request(key=1))
    on_request = harness.proxy.clients.on_request

    def fail(reply: PendingReply, parts: list[bytes]) -> None:
        on_request(reply, parts)
        raise RuntimeError("planted")

    monkeypatch.setattr(harness.proxy.clients, "on_request", fail)
    client.feed(encode_request(key=1) + encode_request(key=1))
    assert client.open
    assert len(harness.proxy.active_requests) == 1
    harness.connect_upstream(0).feed(encode_reply(b"in front"))
    assert client.sent == b"$8\r\nin front\r\n-ERR internal error\r\n"
    assert client.eof_written
    assert not harness.proxy.active_requests


def test_error_outside_of_a_command_leaves_the_replies_due(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = ProxyHarness().with_high_limits()
    client = harness.client()
    client.feed(encode_request(key=1))

    def fail(_client: ClientConnection) -> None:
        raise RuntimeError("planted")

    monkeypatch.setattr(harness.proxy.clients, "on_first_byte", fail)
    client.feed(PING)
    harness.connect_upstream(0).feed(encode_reply(b"in front"))
    assert client.sent == b"$8\r\nin front\r\n-ERR internal error\r\n"
    assert client.eof_written
