"""Ends of connections, requests, watches and processes, and the replies that are due then.

The tests run on real sockets where the kernel's order of events matters, and on fake transports and a fake
clock elsewhere. Each test first asserts that the race that it tests has occurred. Tests wait for conditions,
never for a fixed time in the hope that a condition holds by then. The event loop runs for a fixed time only
to show that nothing else happens, or that a timeout has passed.
"""

import asyncio
import errno
import fcntl
import gc
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import termios
import time
import weakref
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from select import POLLRDHUP, poll

import pytest
from helpers import (
    CHUNKED_RESPONSE_HEAD,
    SETTINGS,
    FakeEventLoop,
    FakeTransport,
    ProxyHarness,
    encode_reply,
    encode_request,
    endpoint,
)

from calicofall.proxy import resp
from calicofall.proxy.client_connection import MAX_PIPELINED_COMMANDS
from calicofall.proxy.clients import EXCESS_IDLE_TIMEOUT_S, MAX_RELEASING_DESCRIPTORS
from calicofall.proxy.connection import BufferedConnection, Listener, open_connection
from calicofall.proxy.discovery import Discovery
from calicofall.proxy.lingering_close import LINGER_S
from calicofall.proxy.process_limits import RESERVED_DESCRIPTORS
from calicofall.proxy.server import Proxy
from calicofall.startup.discovery_schedule import DiscoverySchedule

ROOT = Path(__file__).parents[1]
SHORT_DEADLINE_METHODS = [method | {"hardDeadlineNs": 600_000_000} for method in SETTINGS["methods"]]
PING = resp.encode_command([b"PING"])


def address_of(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


def unread_bytes(sock: socket.socket) -> int:
    """Returns the number of received bytes that have not been read."""
    return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)


def wait_for_unread(sock: socket.socket, count: int) -> None:
    """Waits until the kernel has delivered `count` bytes to a socket."""
    deadline = time.monotonic() + 5.0
    while unread_bytes(sock) < count:
        assert time.monotonic() < deadline
        time.sleep(0.001)


class SocketHarness:
    """A proxy on real sockets; its event loop runs only during calls of this class."""

    def __init__(self, caches: int = 1, sockets: int = 1024, **settings: object) -> None:
        self.loop = asyncio.new_event_loop()
        self.cache_listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(caches)]
        node = ProxyHarness.node_file(0, sockets, **settings) | {
            "known": {
                "index": 1,
                "snapshot": True,
                "endpoints": [
                    endpoint(f"c{i}", address=address_of(sock)) for i, sock in enumerate(self.cache_listeners)
                ],
            }
        }
        self.proxy = Proxy(node, self.loop)
        for limit in (self.proxy.router.policy.fleet_limit, self.proxy.router.policy.origin_limit):
            limit.value, limit.unused_capacity = 1000.0, 2_000_000.0
        self.proxy.upstreams.preconnect_enabled = False
        self.proxy.upstreams.close()
        self.proxy.listener = Listener(
            self.loop,
            ("127.0.0.1", 0),
            self.proxy.clients.ensure_capacity,
            self.proxy.clients.add_client,
            self.proxy.clients.awaits_release,
            shared=True,
        )
        self.address = self.proxy.listener.socket.getsockname()
        self.open_sockets: list[socket.socket] = []
        self.run_loop()

    def run_loop(self, duration_s: float = 0.05) -> None:
        self.loop.run_until_complete(asyncio.sleep(duration_s))

    def run_until(self, condition: Callable[[], object]) -> None:
        """Runs the event loop until a condition holds."""
        deadline = time.monotonic() + 5.0
        while not condition():
            assert time.monotonic() < deadline
            self.run_loop(0.005)

    def client(self, accepted: bool = True) -> socket.socket:
        before, sock = len(self.proxy.clients.connections), socket.create_connection(self.address)
        sock.settimeout(5.0)
        self.open_sockets.append(sock)
        if accepted:
            self.run_until(lambda: len(self.proxy.clients.connections) > before)
        return sock

    def has_sent(self, count: int) -> bool:
        return self.proxy.metrics.attempts_sent == count

    def accept_cache_connection(self) -> socket.socket:
        """Accepts the next connection to the first cache."""
        self.cache_listeners[0].settimeout(5.0)
        sock = self.cache_listeners[0].accept()[0]
        sock.settimeout(5.0)
        self.open_sockets.append(sock)
        return sock

    def close(self) -> None:
        for sock in self.open_sockets + self.cache_listeners:
            sock.close()
        self.proxy.discovery.stop()
        self.proxy.upstreams.close()
        for client in list(self.proxy.clients.connections):
            client.abort()
        self.proxy.listener.close()
        self.run_loop()
        self.loop.close()


@pytest.fixture
def socket_harness() -> Iterator[SocketHarness]:
    harness = SocketHarness()
    yield harness
    harness.close()


def close_client(sock: socket.socket, connection: BufferedConnection) -> None:
    """Closes a client's socket, and waits until the kernel reports it, without running the event loop."""
    poller = poll()
    poller.register(connection.transport.get_extra_info("socket").fileno(), POLLRDHUP)
    sock.close()
    assert poller.poll(5000)


def read_until_close(sock: socket.socket) -> bytes:
    """Returns all bytes up to the peer's close; raises on a reset."""
    data = b""
    while received := sock.recv(1 << 16):
        data += received
    return data


# The proxy closes a client's connection


def test_client_that_has_closed_unnoticed_costs_no_other_client_its_connection(
    socket_harness: SocketHarness,
) -> None:
    """Its system resets what it is sent; the error of the shutdown was taken for one of the other client."""
    clients = socket_harness.proxy.clients
    leaving, writing = socket_harness.client(), socket_harness.client()
    leaving.sendall(encode_request()[:40])
    socket_harness.run_until(lambda: len(clients.partial_commands) == 1)
    (connection,) = clients.partial_commands
    writing.sendall(encode_request()[:40])
    socket_harness.run_until(lambda: len(clients.partial_commands) == 2)
    other = next(client for client in clients.partial_commands if client is not connection)
    clients.memory.read_ahead_bytes = other.partial_bytes[0]
    close_client(leaving, connection)
    clients.update_partial_command(other, True)  # as its input does, while the other's close is unread
    assert connection.closed
    assert not other.ignores_input


def test_close_with_unread_input_discards_no_answer(socket_harness: SocketHarness) -> None:
    """A command arrived during the close, and the reset that followed discarded the reply in flight."""
    sock = socket_harness.client()
    sock.sendall(PING)
    socket_harness.run_until(lambda: socket_harness.proxy.clients.idle)
    connection = next(iter(socket_harness.proxy.clients.idle))
    server_socket = connection.transport.get_extra_info("socket")
    sock.sendall(encode_request())
    wait_for_unread(server_socket, 1)  # the event loop has not run: the command is unread
    socket_harness.proxy.clients.close_idle()
    assert unread_bytes(server_socket) and connection.closing
    socket_harness.run_loop()
    assert read_until_close(sock) == b"+PONG\r\n"  # and no reset
    # The command is not processed.
    assert (
        not socket_harness.proxy.active_requests and socket_harness.proxy.metrics.totals()["completed"] == 0
    )
    sock.close()
    # The connection ends with the client's close.
    socket_harness.run_until(lambda: not socket_harness.proxy.clients.connections)


def test_answer_due_during_a_shutdown_is_followed_by_a_close_and_no_reset(
    socket_harness: SocketHarness,
) -> None:
    """Of seventeen commands, one is unread when the sixteenth answer is sent during a shutdown."""
    sock = socket_harness.client()
    commands = b"".join(encode_request(key=1) for _ in range(MAX_PIPELINED_COMMANDS))
    sock.sendall(commands)
    socket_harness.run_until(lambda: socket_harness.has_sent(MAX_PIPELINED_COMMANDS))
    connection = next(iter(socket_harness.proxy.clients.connections))
    assert len(connection.replies) == MAX_PIPELINED_COMMANDS and connection.reading_paused
    socket_harness.proxy.shutdown.begin()
    caches = [socket_harness.accept_cache_connection() for _ in range(MAX_PIPELINED_COMMANDS)]
    sock.sendall(encode_request(key=1))
    wait_for_unread(connection.transport.get_extra_info("socket"), 1)
    for cache in caches:
        cache.sendall(encode_reply(b"last"))
    socket_harness.run_until(
        lambda: socket_harness.proxy.metrics.totals()["completed"] == MAX_PIPELINED_COMMANDS
    )
    data = b""
    while len(data) < len(b"$4\r\nlast\r\n") * MAX_PIPELINED_COMMANDS:
        data += sock.recv(1 << 16)
    # Commands received before the shutdown are processed and answered; nothing else may be lost.
    socket_harness.run_loop()
    if not connection.closing:
        socket_harness.run_until(lambda: socket_harness.has_sent(MAX_PIPELINED_COMMANDS + 1))
        socket_harness.accept_cache_connection().sendall(encode_reply(b"last"))
        socket_harness.run_until(lambda: connection.closing)
    assert set((data + read_until_close(sock)).split(b"$4\r\nlast\r\n")) == {b""}


def test_connection_that_is_reset_while_it_lingers_is_freed(socket_harness: SocketHarness) -> None:
    """The connection and its timer referenced each other, and stayed until a full garbage collection."""
    sock = socket_harness.client()
    sock.sendall(PING)
    socket_harness.run_until(lambda: socket_harness.proxy.clients.idle)
    reference = weakref.ref(next(iter(socket_harness.proxy.clients.idle)))
    gc.disable()
    try:
        reference().close()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        socket_harness.run_until(lambda: not socket_harness.proxy.clients.connections)
        socket_harness.run_loop(LINGER_S + 0.05)
        assert reference() is None
    finally:
        gc.enable()


def test_lingering_connection_is_closed_for_a_new_one_or_by_its_timer() -> None:
    harness = ProxyHarness(sockets=40)  # eight connections
    clients = [harness.client() for _ in range(8)]
    for client in clients:
        client.feed(PING)
    harness.proxy.clients.close_idle()
    assert all(client.eof_written and client.open for client in clients)
    assert harness.client() is not None and sum(client.open for client in clients) == 7
    harness.loop.advance(LINGER_S + 0.01)
    assert not any(client.open for client in clients)


def test_closed_connection_is_not_kept_as_lingering() -> None:
    """It would be the first to be closed for a new connection, and closing it would free nothing."""
    harness = ProxyHarness()
    client = harness.client()
    client.abort()
    client.stream.close()
    assert not harness.proxy.clients.closing and not harness.proxy.clients.connections


def test_client_that_sends_a_command_slowly_is_not_idle() -> None:
    """While too many connections were idle, clients that wrote slowly lost theirs during a command."""
    harness = ProxyHarness(sockets=48)
    clients, data = [harness.client() for _ in range(6)], encode_request()
    for client in clients:
        client.feed(data[:10])
    harness.proxy.upkeep()
    harness.loop.advance(4 * EXCESS_IDLE_TIMEOUT_S)
    assert all(client.open and not client.eof_written for client in clients)


def test_descriptors_stay_within_their_limit_while_many_clients_connect() -> None:
    """Guards against closed connections that still have a descriptor when others are accepted for them."""
    socket_harness = SocketHarness(sockets=64)
    try:
        listener, accepted_at = socket_harness.proxy.listener, []
        make_connection = listener.make_connection

        def observe_descriptors() -> BufferedConnection:
            accepted_at.append(len(os.listdir("/proc/self/fd")))
            return make_connection()

        listener.make_connection = observe_descriptors
        clients = [socket.create_connection(socket_harness.address) for _ in range(300)]
        socket_harness.open_sockets += clients
        before = len(os.listdir("/proc/self/fd"))
        socket_harness.run_until(lambda: len(accepted_at) == len(clients))
        assert max(accepted_at) - before <= 64 - RESERVED_DESCRIPTORS + MAX_RELEASING_DESCRIPTORS
    finally:
        socket_harness.close()


# A client disconnects


def test_disconnect_is_detected_while_reading_is_paused(socket_harness: SocketHarness) -> None:
    """A client pipelined many commands and disconnected: they were forwarded one after the other."""
    sock = socket_harness.client()
    sock.sendall(b"".join(encode_request(key=1) for _ in range(4 * MAX_PIPELINED_COMMANDS)))
    socket_harness.run_until(lambda: socket_harness.has_sent(MAX_PIPELINED_COMMANDS))
    connection = next(iter(socket_harness.proxy.clients.connections))
    caches = [socket_harness.accept_cache_connection() for _ in range(MAX_PIPELINED_COMMANDS)]
    close_client(sock, connection)
    assert connection.reading_paused and not connection.closed  # the event loop is not notified of the close
    sent = socket_harness.proxy.metrics.attempts_sent
    for cache in caches:
        cache.sendall(encode_reply())
    socket_harness.run_until(lambda: not socket_harness.proxy.active_requests)
    socket_harness.run_loop()
    assert socket_harness.proxy.metrics.attempts_sent == sent
    socket_harness.proxy.clients.close_overdue()
    assert connection.closed


def test_paused_client_that_disconnected_is_removed_by_the_next_upkeep(socket_harness: SocketHarness) -> None:
    sock = socket_harness.client()
    sock.sendall(b"".join(encode_request(key=1) for _ in range(4 * MAX_PIPELINED_COMMANDS)))
    socket_harness.run_until(lambda: socket_harness.has_sent(MAX_PIPELINED_COMMANDS))
    connection = next(iter(socket_harness.proxy.clients.connections))
    close_client(sock, connection)
    assert connection.reading_paused and not connection.closed
    socket_harness.proxy.upkeep()  # no cache has answered
    assert (
        connection.closed
        and not socket_harness.proxy.active_requests
        and not socket_harness.proxy.clients.memory.buffered_bytes
    )


@pytest.mark.parametrize("cancel", [True, False])
def test_nothing_is_sent_for_a_client_that_left_before_a_connection_was_established(cancel: bool) -> None:
    """Without `cancel`, the command was sent when the connection opened, long after its client had left."""
    harness = ProxyHarness(caps=SETTINGS["caps"] | {"cancel": cancel}).with_high_limits()
    client = harness.client()
    client.feed(encode_request())
    # The request is decided, and its connection is being opened.
    assert len(harness.loop.connect_requests) == 1 and harness.proxy.active_requests
    client.abort()
    harness.loop.advance(0.15)
    assert not harness.proxy.active_requests
    for connection, _ in harness.loop.connect_requests:
        if not connection.closed:
            assert not FakeTransport(connection).sent
    assert not harness.proxy.router.active_requests and harness.proxy.metrics.attempts_sent == 0


# A connection to a cache is established late


def test_late_command_contains_the_time_left_when_it_is_sent() -> None:
    """It contained the time left when the connection was requested, more than a second earlier."""
    harness = ProxyHarness(caps=SETTINGS["caps"] | {"dialTimeoutNs": 2_000_000_000}).with_high_limits()
    client = harness.client()
    client.feed(encode_request("order", remaining_ms="1500"))
    harness.loop.advance(1.2)
    upstream = harness.connect_upstream()
    remaining_ms = int(upstream.sent.split(b"d=")[1].split(b",")[0])
    assert 290 <= remaining_ms <= 300
    upstream.feed(encode_reply(b"late"))
    assert client.sent == b"$4\r\nlate\r\n"


def test_nothing_is_sent_at_the_moment_of_the_deadline() -> None:
    """Both became due in one iteration of the event loop, and the connection was first."""
    harness = ProxyHarness(caps=SETTINGS["caps"] | {"dialTimeoutNs": 2_000_000_000}).with_high_limits()
    client = harness.client()
    client.feed(encode_request("order", remaining_ms="1500"))
    harness.loop.clock += 1.5  # the timer is due and has not fired
    upstream = harness.connect_upstream()
    assert not upstream.sent and not client.sent
    harness.loop.advance(0.01)
    assert (
        client.sent.startswith(b"-BUSY")
        and client.sent.count(b"\r\n") == 1
        and not harness.proxy.active_requests
    )


def test_repeat_is_not_sent_if_its_window_passed_while_the_connection_was_opened() -> None:
    """It was decided within 300 ms of the first attempt, but sent when its connection opened, after them."""
    methods = [method | {"windowNs": 300_000_000} for method in SETTINGS["methods"]]
    harness = ProxyHarness(
        methods=methods, caps=SETTINGS["caps"] | {"dialTimeoutNs": 2_000_000_000}
    ).with_high_limits()
    client = harness.client()
    client.feed(encode_request("save"))
    harness.connect_upstream().feed(b"-ERR failed\r\n")  # it may have run
    assert len(harness.loop.connect_requests) == 2  # the repeat is decided
    harness.loop.advance(0.35)
    assert not harness.connect_upstream().sent
    harness.loop.advance(0.01)
    assert (
        client.sent.count(b"\r\n") == 1
        and not client.sent.startswith(b"$")
        and not harness.proxy.active_requests
    )


# Descriptors run out


def test_connection_that_lacks_local_resources_reports_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process without free descriptors took its own failure for an unreachable cache."""
    closed = socket.create_server(("127.0.0.1", 0))
    address = closed.getsockname()
    closed.close()  # the address refuses connections from now on

    def open_to_closed_port() -> BufferedConnection:
        async def run() -> BufferedConnection:
            connection = BufferedConnection(asyncio.get_running_loop())
            open_connection(connection.loop, connection, address, 1.0)
            while not connection.closed:
                await asyncio.sleep(0.001)
            return connection

        return asyncio.run(run())

    assert not open_to_closed_port().lacked_local_resources
    create_socket = socket.socket

    def fail_without_descriptors(*arguments: object, **options: object) -> socket.socket:
        if arguments[:2] == (socket.AF_INET, socket.SOCK_STREAM):
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return create_socket(*arguments, **options)

    monkeypatch.setattr("calicofall.proxy.connection.socket.socket", fail_without_descriptors)
    connection = open_to_closed_port()
    assert connection.lacked_local_resources and connection.close_reason == os.strerror(errno.EMFILE)


@pytest.mark.parametrize("starved", [True, False])
def test_lack_of_local_descriptors_counts_against_no_cache(starved: bool) -> None:
    harness = ProxyHarness().with_high_limits()
    client = harness.client()
    client.feed(encode_request())
    before = len(harness.loop.connect_requests)
    connection, _ = harness.loop.connect_requests[-1]
    connection.lacked_local_resources = starved
    connection.abort()
    name = connection.pool.name
    assert (harness.proxy.router.policy.endpoints.caches[name].admitted_fraction == 1.0) is starved
    # The key's next cache is tried.
    assert len(harness.loop.connect_requests) == before + 1 and not client.sent


# SIGTERM


def test_connections_in_the_backlog_are_accepted_and_answered(socket_harness: SocketHarness) -> None:
    """The listener closed with connections in its backlog, which were reset with their requests."""
    open_sockets = [socket_harness.client(accepted=False) for _ in range(5)]
    for sock in open_sockets:
        sock.sendall(encode_request(key=1))
    assert not socket_harness.proxy.clients.connections  # none is accepted yet
    socket_harness.proxy.shutdown.begin()
    socket_harness.proxy.stop_listening()
    socket_harness.run_until(lambda: socket_harness.has_sent(len(open_sockets)))
    for _ in open_sockets:
        socket_harness.accept_cache_connection().sendall(encode_reply(b"last"))
    socket_harness.run_until(lambda: socket_harness.proxy.metrics.totals()["completed"] == len(open_sockets))
    assert [read_until_close(sock) for sock in open_sockets] == [b"$4\r\nlast\r\n"] * 5
    with pytest.raises(ConnectionRefusedError):
        socket_harness.client(accepted=False)


def test_no_connection_is_closed_without_a_pending_one() -> None:
    """After the last pending connection, one more idle client was disconnected."""
    socket_harness = SocketHarness(sockets=64)
    try:
        for _ in range(socket_harness.proxy.clients.max_connections):
            socket_harness.client()
        socket_harness.run_loop(0.3)  # no connection is fresh any more
        assert len(socket_harness.proxy.clients.connections) == socket_harness.proxy.clients.max_connections
    finally:
        socket_harness.close()


def test_connections_in_the_backlog_do_not_exceed_the_budget() -> None:
    """All pending connections were accepted, and took the descriptors that requests in flight need."""
    socket_harness = SocketHarness(sockets=64)
    try:
        max_connections = socket_harness.proxy.clients.max_connections
        for _ in range(3 * max_connections):
            socket_harness.client(accepted=False)
        socket_harness.proxy.shutdown.begin()
        socket_harness.proxy.stop_listening()
        assert (
            max_connections == 32
            and len(socket_harness.proxy.clients.connections)
            + socket_harness.proxy.upstreams.connection_count()
            == max_connections
        )
    finally:
        socket_harness.close()


def test_command_that_is_incomplete_when_idle_connections_close_gets_its_answer(
    socket_harness: SocketHarness,
) -> None:
    sock, data = socket_harness.client(), encode_request(key=1)
    sock.sendall(data[:30])
    socket_harness.run_until(lambda: socket_harness.proxy.clients.partial_commands)
    socket_harness.proxy.shutdown.begin()
    socket_harness.proxy.clients.close_idle()
    sock.sendall(data[30:])
    socket_harness.run_until(lambda: socket_harness.has_sent(1))
    socket_harness.accept_cache_connection().sendall(encode_reply(b"last"))
    socket_harness.run_until(lambda: socket_harness.proxy.metrics.totals()["completed"] == 1)
    assert read_until_close(sock) == b"$4\r\nlast\r\n"


def test_all_requests_are_answered_before_an_early_kill_when_deadlines_are_short() -> None:
    """SIGKILL is sent 0.7 s after the longest deadline, here at 1.3 s, while the shutdown took 3.6 s."""
    harness = ProxyHarness(methods=SHORT_DEADLINE_METHODS).with_high_limits()
    harness.proxy.upkeep()
    incomplete, slow_client = harness.client(), harness.client()
    incomplete.feed(encode_request()[:30])  # never complete
    data = encode_request(remaining_ms="600")
    slow_client.feed(data[:30])
    harness.sigterm()
    harness.loop.advance(0.75)
    slow_client.feed(data[30:])
    harness.connect_upstream()  # an unresponsive cache
    assert harness.proxy.active_requests and not incomplete.sent
    harness.loop.advance(0.4)
    assert (
        slow_client.sent.startswith(b"-")
        and incomplete.sent.startswith(b"-ERR")
        and not harness.proxy.active_requests
    )
    harness.loop.advance(0.12)
    assert harness.proxy.stopped.done()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_before_its_handler_is_set_does_not_kill_a_starting_process(
    number: int,
    tmp_path: Path,
) -> None:
    """SIGHUP during the start killed the process, which is the signal's default action."""
    with socket.create_server(("127.0.0.1", 0)) as agent:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            listen = address_of(sock)
        node = ProxyHarness.node_file(0) | {"listen": listen, "discovery": address_of(agent)}
        (tmp_path / "node.json").write_text(json.dumps(node))
        process = subprocess.Popen(
            [sys.executable, "-m", "calicofall", "serve"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env=os.environ | {"PROXY_CONFIG": str(tmp_path / "node.json"), "TMPDIR": str(tmp_path)},
        )
        try:
            masks, deadline = {}, time.monotonic() + 10.0
            while not int(masks.get("SigBlk", "0"), 16) >> (number - 1) & 1:
                assert process.poll() is None and time.monotonic() < deadline
                masks = dict(
                    line.split(":\t")
                    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines()
                    if "Sig" in line
                )
            process.send_signal(number)
            assert not int(masks["SigCgt"], 16) >> (number - 1) & 1  # no handler would have caught it
            agent.settimeout(10.0)
            if number == signal.SIGHUP:
                agent.accept()[0].close()  # the process requests the list now
                process.send_signal(signal.SIGTERM)
            log_output = process.communicate(timeout=20.0)[1].decode()
            assert process.returncode == 0, log_output
            assert ("configuration reread" in log_output) is (number == signal.SIGHUP)
        finally:
            process.kill()
            process.wait()


# A watch ends


LIST_MESSAGE = b'{"index": %d, "snapshot": true, "endpoints": []}\n'


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def start_watch() -> tuple[FakeEventLoop, Discovery, list]:
    loop, indexes = FakeEventLoop(), []
    discovery = Discovery(
        loop,
        loop.open,
        "10.2.0.1:8500",
        41,
        DiscoverySchedule(Random(1)),
        lambda *event: indexes.append(event[1]),
        lambda: None,
        lambda phase: None,
    )
    discovery.start()
    return loop, discovery, indexes


@pytest.mark.parametrize("piece", [1, 7, 4096])
def test_list_may_be_indented_json(piece: int) -> None:
    """Each of its lines was taken for a message, and the watch was reopened endlessly."""
    loop, discovery, indexes = start_watch()
    list_message = json.dumps(
        {"index": 42, "snapshot": True, "endpoints": [endpoint('c1"{['), endpoint("c2")]}, indent=2
    ).encode()
    data = CHUNKED_RESPONSE_HEAD + b"".join(
        map(
            encode_chunk,
            (list_message + b"\n", b"\n", LIST_MESSAGE % 43, list_message.replace(b"42", b"44") + b"\n"),
        )
    )
    transport = FakeTransport(loop.connect_requests[-1][0])
    while data:
        transport.feed(data[:piece])
        data = data[piece:]
    assert indexes == [42, 43, 44] and transport.open and len(loop.connect_requests) == 1


def test_incomplete_message_does_not_swallow_later_input() -> None:
    loop, discovery, indexes = start_watch()
    transport = FakeTransport(loop.connect_requests[-1][0])
    transport.feed(CHUNKED_RESPONSE_HEAD + encode_chunk(b'{"index": 42, "endpoints": [\n'))
    assert transport.open and not indexes
    transport.feed(encode_chunk(b"\n"))  # the keepalive of a watch without further messages
    assert not transport.open and discovery.is_down


def test_replaced_watch_is_ignored() -> None:
    """A list in late bytes of a replaced watch would stay in force until the next change."""
    loop, discovery, indexes = start_watch()
    old_watch = loop.connect_requests[-1][0]
    FakeTransport(old_watch).feed(CHUNKED_RESPONSE_HEAD + encode_chunk(LIST_MESSAGE % 42))
    discovery.watch = None  # as while the next watch is opened
    discovery.attempt()
    assert loop.connect_requests[-1][0] is not old_watch and not old_watch.closed
    old_watch.transport.feed(encode_chunk(LIST_MESSAGE % 7))
    assert indexes == [42] and discovery.version == 42


def test_returning_service_is_reached_within_the_grace_period() -> None:
    """Pauses between attempts grew to half a second; the list of a returning service binds after 0.25 s."""
    loop, discovery, _ = start_watch()
    pauses_s, closed_at = [], 0.0
    for _ in range(6):  # the service accepts connections and sends nothing
        transport = FakeTransport(loop.connect_requests[-1][0])
        attempt_count = len(loop.connect_requests)
        while transport.open:
            loop.advance(0.01)
        closed_at = loop.time()
        while len(loop.connect_requests) == attempt_count:
            loop.advance(0.01)
        pauses_s.append(loop.time() - closed_at)
    assert max(pauses_s) < 0.15


# A cache's answer is truncated


def test_truncated_answer_is_reported_to_the_router() -> None:
    """A suspected fault that was not found: the router might not have learned of the failure."""
    harness, value = ProxyHarness().with_high_limits(), Random(1).randbytes(100_000)
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    policy = harness.proxy.router.policy
    upstream.feed(encode_reply(value)[:60_000])
    assert client.sent.startswith(b"$100000\r\n") and not sum(policy.outliers.resets.sums)
    upstream.abort()
    assert sum(policy.outliers.resets.sums) == 1.0 and not policy.fleet_limit.in_flight
    assert (
        client.eof_written and not harness.proxy.active_requests and not harness.proxy.router.active_requests
    )
    harness.loop.advance(LINGER_S)
    assert not client.open


# An exception in the proxy itself


def test_exception_in_one_round_of_upkeep_does_not_end_it() -> None:
    """The next round was scheduled last: silent clients and incomplete commands would have stayed forever."""
    harness, silent = ProxyHarness(), None
    close_overdue, harness.proxy.clients.close_overdue = harness.proxy.clients.close_overdue, lambda: 1 / 0
    with pytest.raises(ZeroDivisionError):
        harness.proxy.upkeep()
    harness.proxy.clients.close_overdue, silent = close_overdue, harness.client()
    harness.loop.advance(3.0)
    assert not silent.open
