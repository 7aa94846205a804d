"""A command that was given up, or that may have run elsewhere, does not arrive whole later.

An endpoint begins a command when its last byte has come. These tests hold the endpoint's reading, so that the
command waits in the proxy's output queue or in the kernel's send buffer, and read all that comes afterwards.
"""

import socket
import struct
import time
from collections.abc import Callable, Iterator
from random import Random

import pytest
from helpers import SETTINGS, FakeEventLoop, ProxyHarness, encode_reply, encode_request
from test_endings import SocketHarness

from calicofall.proxy.bounded_delivery import HAND_OVER_MARGIN_S, WITHHELD_BYTES, BoundedDelivery, split_end

WINDOW_S = 0.6
AMPLE_WINDOW_S = 1.5  # in which a machine that is busy delivers the longest command twice
DEADLINE_S = 1.9
ENDPOINT_BUFFER_BYTES = 4096
# What the kernel's send buffer takes at once, and what it does not.
KERNEL_VALUE_BYTES, QUEUE_VALUE_BYTES = 100_000, 4_000_000


def methods_with_window(window_s: float) -> list[dict]:
    return [method | {"windowNs": int(window_s * 1e9)} for method in SETTINGS["methods"]]


class Endpoints:
    """The caches of a proxy on real sockets, whose kernels buffer little input."""

    def __init__(self, window_s: float = WINDOW_S, **settings: object) -> None:
        self.harness = SocketHarness(2, methods=methods_with_window(window_s), **settings)
        for listener in self.harness.cache_listeners:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, ENDPOINT_BUFFER_BYTES)
            listener.setblocking(False)
        self.client = self.harness.client()

    def accept(self) -> socket.socket:
        """Accepts the next connection to any of the caches."""
        accepted: list[socket.socket] = []

        def try_accept() -> bool:
            for listener in self.harness.cache_listeners:
                try:
                    accepted.append(listener.accept()[0])
                except BlockingIOError:
                    continue
            return bool(accepted)

        self.harness.run_until(try_accept)
        accepted[0].setblocking(False)
        self.harness.open_sockets.append(accepted[0])
        return accepted[0]

    def send_order(self, value_bytes: int, remaining_ms: str = f"{1000 * DEADLINE_S:.0f}") -> bytes:
        """Sends a client's order with an idempotency key, and returns its command."""
        command = encode_request("save", remaining_ms=remaining_ms, value=bytes(value_bytes))
        self.client.setblocking(False)
        sent = 0

        def send_more() -> bool:
            nonlocal sent
            try:
                sent += self.client.send(command[sent : sent + (1 << 18)])
            except BlockingIOError:
                return False
            return sent == len(command)

        self.harness.run_until(send_more)
        return command

    def read(self, endpoint: socket.socket, until: Callable[[bytes], object]) -> bytes:
        """Reads at an endpoint, while the event loop runs, until a condition holds or the connection ends."""
        data = bytearray()

        def read_more() -> bool:
            chunk = read_available(endpoint)
            data.extend(chunk or b"")
            return chunk is None or bool(until(bytes(data[-64:])))

        self.harness.run_until(read_more)
        return bytes(data)

    def run_first_attempt(self, value_bytes: int) -> int:
        """Lets the order run at one endpoint, then resets the connection; returns the command's length."""
        command = self.send_order(value_bytes)
        endpoint = self.accept()
        data = self.read_command(endpoint)
        # The field that tells the time left may be shorter than the client's.
        assert len(data) > len(command) - 5
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        endpoint.close()
        return len(data)

    def read_command(self, endpoint: socket.socket) -> bytes:
        """Reads an order's command as fast as it comes."""
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        return self.read(endpoint, lambda end: end.endswith(b"\0\0\r\n"))

    def answer(self) -> bytes:
        """Returns the client's answer."""
        data = b""

        def receive() -> bool:
            nonlocal data
            data += read_available(self.client) or b""
            return data.endswith(b"\r\n")

        self.harness.run_until(receive)
        return data


def read_available(sock: socket.socket) -> bytes | None:
    """Returns what has arrived; None once the connection has ended."""
    data = b""
    try:
        while received := sock.recv(1 << 16):
            data += received
    except BlockingIOError:
        return data
    except ConnectionError:
        return data or None
    return data or None


@pytest.fixture
def endpoints() -> Iterator[Endpoints]:
    made = Endpoints()
    yield made
    made.harness.close()


@pytest.mark.parametrize("value_bytes", [KERNEL_VALUE_BYTES, QUEUE_VALUE_BYTES])
def test_repeat_that_is_still_being_written_at_the_end_of_its_window_never_arrives(
    endpoints: Endpoints, value_bytes: int
) -> None:
    """A repeat was begun in time, and its last byte arrived long after the first run was forgotten."""
    command_bytes = endpoints.run_first_attempt(value_bytes)
    repeat = endpoints.accept()
    began_at = time.monotonic()
    answer = endpoints.answer()  # meanwhile nothing is read
    assert time.monotonic() - began_at < 0.5 * DEADLINE_S  # at the end of the window, not of its time
    assert answer.startswith(b"-")
    data = endpoints.read(repeat, lambda _end: False)
    assert 0 < len(data) < command_bytes
    assert endpoints.harness.proxy.metrics.late_repeats == 1
    assert not endpoints.harness.proxy.router.active_requests


def test_repeat_does_not_arrive_late_though_the_process_is_stopped(endpoints: Endpoints) -> None:
    """The kernel goes on sending while the process is stopped over the end of the window."""
    command_bytes = endpoints.run_first_attempt(KERNEL_VALUE_BYTES)
    repeat = endpoints.accept()
    endpoints.harness.run_loop(0.02)
    data, stopped_until = b"", time.monotonic() + 2 * WINDOW_S
    while time.monotonic() < stopped_until:  # the event loop does not run
        data += read_available(repeat) or b""
        time.sleep(0.005)
    assert len(data) == command_bytes - WITHHELD_BYTES
    data += endpoints.read(repeat, lambda _end: False)
    assert len(data) == command_bytes - WITHHELD_BYTES
    assert endpoints.answer().startswith(b"-")


@pytest.mark.parametrize("value_bytes", [2, WITHHELD_BYTES, 10_000, KERNEL_VALUE_BYTES, QUEUE_VALUE_BYTES])
def test_repeat_that_arrives_in_time_is_answered(value_bytes: int) -> None:
    """A mend that never repeats long commands would serve less than before."""
    endpoints = Endpoints(AMPLE_WINDOW_S)
    try:
        answer_repeat_in_time(endpoints, value_bytes)
    finally:
        endpoints.harness.close()


def answer_repeat_in_time(endpoints: Endpoints, value_bytes: int) -> None:
    command_bytes = endpoints.run_first_attempt(value_bytes)
    repeat = endpoints.accept()
    data = endpoints.read_command(repeat)
    assert abs(len(data) - command_bytes) <= 3
    repeat.sendall(encode_reply(b"receipt"))
    assert endpoints.answer() == b"$7\r\nreceipt\r\n"
    assert endpoints.harness.proxy.metrics.late_repeats == 0


@pytest.mark.parametrize("value_bytes", [KERNEL_VALUE_BYTES, QUEUE_VALUE_BYTES])
def test_attempt_whose_time_is_up_never_arrives_later(endpoints: Endpoints, value_bytes: int) -> None:
    """The socket was closed in the usual way, and the kernel delivered what it held after the deadline."""
    command = endpoints.send_order(value_bytes, remaining_ms="200")
    endpoint = endpoints.accept()
    assert endpoints.answer().startswith(b"-")
    assert 0 < len(endpoints.read(endpoint, lambda _end: False)) < len(command) - 3


@pytest.mark.parametrize("cancel", [True, False])
def test_command_that_is_on_its_way_when_its_client_leaves_never_arrives_later(cancel: bool) -> None:
    """Where caches support no cancelling, the kernel delivered the command long after its client had left."""
    endpoints = Endpoints(caps=SETTINGS["caps"] | {"cancel": cancel})
    try:
        command = endpoints.send_order(KERNEL_VALUE_BYTES)
        endpoint = endpoints.accept()
        endpoints.harness.run_until(lambda: endpoints.harness.proxy.metrics.attempts_sent)
        endpoints.client.close()
        upstreams = endpoints.harness.proxy.upstreams
        endpoints.harness.run_until(lambda: not upstreams.connection_count())
        assert 0 < len(endpoints.read(endpoint, lambda _end: False)) < len(command) - 3
    finally:
        endpoints.harness.close()


def test_command_that_has_arrived_goes_on_when_its_client_leaves_if_caches_do_not_cancel() -> None:
    endpoints = Endpoints(caps=SETTINGS["caps"] | {"cancel": False})
    try:
        endpoints.send_order(1000)
        endpoint = endpoints.accept()
        endpoints.read_command(endpoint)
        endpoints.client.close()
        endpoints.harness.run_loop(0.15)
        assert read_available(endpoint) == b""  # the connection is open
    finally:
        endpoints.harness.close()


@pytest.mark.parametrize("left_s", [0.0, HAND_OVER_MARGIN_S - 0.001])
def test_repeat_is_not_begun_if_hardly_any_of_its_window_is_left(left_s: float) -> None:
    harness = ProxyHarness(
        methods=methods_with_window(WINDOW_S), caps=SETTINGS["caps"] | {"dialTimeoutNs": 2_000_000_000}
    ).with_high_limits()
    client = harness.client()
    client.feed(encode_request("save"))
    harness.connect_upstream().feed(b"-ERR failed\r\n")  # it may have run
    harness.loop.advance(WINDOW_S - left_s)
    assert not harness.connect_upstream().sent
    harness.loop.advance(0.02)
    assert client.sent.startswith(b"-")
    assert not harness.proxy.active_requests


class FakeConnection:
    """A connection whose endpoint acknowledges output when the test says so."""

    def __init__(self, loop: FakeEventLoop) -> None:
        self.loop, self.closed = loop, False
        self.written, self.acknowledged_bytes, self.written_at = b"", 0, 0.0

    def write(self, data: bytes | memoryview) -> None:
        self.written += data
        self.written_at = self.loop.time()

    def has_undelivered_output(self) -> bool:
        return self.acknowledged_bytes < len(self.written)


def test_bounded_delivery_passes_the_last_byte_on_in_time_or_never() -> None:
    """Draws lengths, rates and windows; the end is written behind acknowledged bytes alone."""
    outcomes = [deliver_by_chance(Random(seed)) for seed in range(200)]
    assert 20 < sum(outcomes) < 180  # both kinds were played


def deliver_by_chance(random: Random) -> bool:
    """Delivers one drawn command, and returns whether it arrived."""
    loop = FakeEventLoop()
    connection, failures = FakeConnection(loop), []
    command = random.randbytes(random.choice([1, 500, WITHHELD_BYTES, 5000, 60_000]))
    ends_at = loop.time() + random.uniform(0.011, 0.4)
    rate = 10 ** random.uniform(4, 7)
    cut = random.randrange(len(command))
    BoundedDelivery(
        connection,
        [command[:cut], command[cut:]],
        ends_at,
        lambda: True,
        lambda: failures.append(loop.time()),
    )
    while loop.time() < ends_at + 0.1:
        had_acknowledged, had_written = connection.acknowledged_bytes, len(connection.written)
        loop.advance(0.001)
        if len(connection.written) > had_written:
            assert had_acknowledged == had_written
        if not failures:
            acknowledged_bytes = connection.acknowledged_bytes + int(rate * 0.001)
            connection.acknowledged_bytes = min(len(connection.written), acknowledged_bytes)
    has_arrived = connection.acknowledged_bytes == len(command)
    if connection.written == command:
        assert connection.written_at <= ends_at - HAND_OVER_MARGIN_S
    else:
        assert connection.written == command[:-WITHHELD_BYTES]
    assert len(failures) == (not has_arrived)
    return has_arrived


@pytest.mark.parametrize("sizes", [[0, 10], [5, 5], [100], [2000, 3], [0, 0, 1024], [1024, 1]])
def test_split_end_loses_no_byte(sizes: list[int]) -> None:
    chunks = [Random(index).randbytes(size) for index, size in enumerate(sizes)]
    beginning, end = split_end(chunks, WITHHELD_BYTES)
    assert b"".join(beginning) + end == b"".join(chunks)
    assert len(end) == min(WITHHELD_BYTES, sum(sizes))
