"""Long commands and the memory of the proxy: who waits for room, how long, and what wakes those that wait."""

import pytest
from helpers import FakeTransport, ProxyHarness, encode_reply, encode_request
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from calicofall.proxy import resp
from calicofall.proxy.client_connection import ClientConnection
from calicofall.proxy.clients import COMMAND_TIMEOUT_S
from calicofall.proxy.command_memory import MAX_WAIT_FRACTION, CommandMemory

VALUE_BYTES = 1 << 20
PIECE_BYTES = 1 << 16
READ_AHEAD_BYTES = 2 << 20
TIME_S = 2.0  # of each request


class WritingClient:
    """A client that writes a long command in pieces while the proxy reads."""

    def __init__(self, harness: ProxyHarness, key: int, value_bytes: int = VALUE_BYTES) -> None:
        self.harness = harness
        self.transport = harness.client()
        ms = f"{TIME_S * 1000.0:.0f}"
        self.unsent = encode_request("save", key, ms, bytes(value_bytes))

    @property
    def connection(self) -> ClientConnection:
        return self.transport.stream

    def write(self, count: int = PIECE_BYTES) -> None:
        """Writes a piece, unless the proxy does not read."""
        if not self.transport.paused and self.transport.open:
            self.transport.feed(self.unsent[:count])
            self.unsent = self.unsent[count:]

    def write_all(self) -> None:
        """Writes the rest, as far as the proxy reads."""
        while self.unsent and not self.transport.paused and self.transport.open:
            self.write()


def memory_harness() -> ProxyHarness:
    """Returns a proxy with room for one command of VALUE_BYTES, incomplete, and for as much in hand."""
    harness = ProxyHarness(caches=2).with_high_limits()
    harness.proxy.upkeep()
    harness.proxy.clients.memory.set_read_ahead(READ_AHEAD_BYTES)
    return harness


def memory_of(harness: ProxyHarness) -> CommandMemory:
    return harness.proxy.clients.memory


def answer_all(harness: ProxyHarness) -> None:
    """Lets the caches answer all commands that were sent to them."""
    for connection, _ in harness.loop.connect_requests:
        if connection.closed:
            continue
        transport = connection.transport or FakeTransport(connection)
        if connection.command is not None:
            transport.feed(encode_reply(b"stored"))


def write_and_answer(harness: ProxyHarness, clients: list[WritingClient], rounds: int) -> None:
    """Lets clients write while the proxy reads, and the caches answer at once."""
    for _ in range(rounds):
        for client in clients:
            client.write()
        answer_all(harness)
        harness.loop.advance(0.005)


def test_long_commands_written_at_once_are_all_answered_in_time() -> None:
    """Guards against long commands that wait for memory that nothing frees, each a piece over the limit."""
    harness = memory_harness()
    clients = [WritingClient(harness, number) for number in range(12)]
    peak_bytes = 0
    for _ in range(200):
        for client in clients:
            client.write()
        answer_all(harness)
        memory = memory_of(harness)
        peak_bytes = max(peak_bytes, memory.buffered_bytes + memory.partial_command_bytes)
        harness.loop.advance(0.005)
    assert all(client.transport.sent == b"$6\r\nstored\r\n" for client in clients)
    assert peak_bytes <= 2 * READ_AHEAD_BYTES
    assert memory_of(harness).metrics.memory_waits > 0


def test_complete_long_commands_in_hand_stay_within_the_memory() -> None:
    """Guards against whole long commands that take the process over its limit while caches are slow."""
    harness = memory_harness()
    clients = [WritingClient(harness, number) for number in range(12)]
    for _ in range(40):
        for client in clients:
            client.write()
        harness.loop.advance(0.005)
    memory = memory_of(harness)
    assert memory.buffered_bytes + memory.partial_command_bytes <= 2 * READ_AHEAD_BYTES
    assert len(memory.waiting) >= 8
    answer_all(harness)  # room is released by answers
    write_and_answer(harness, clients, 200)
    assert all(client.transport.sent == b"$6\r\nstored\r\n" for client in clients)


def test_command_that_gets_no_room_in_time_is_refused_and_its_value_not_kept() -> None:
    """Guards against a wait for memory that is longer than the time of the request."""
    harness = memory_harness()
    holder, waiting = WritingClient(harness, 1), WritingClient(harness, 2)
    holder.write()
    waiting.write()
    assert waiting.connection in memory_of(harness).waiting
    assert waiting.transport.paused
    for _ in range(10):  # the holder makes progress, but not enough
        harness.loop.advance(MAX_WAIT_FRACTION * TIME_S / 10)
        holder.write(20_000)
    harness.loop.advance(0.01)
    assert not waiting.transport.paused
    reserved_bytes = memory_of(harness).reserved_bytes
    waiting.write_all()
    assert waiting.transport.sent == b"-BUSY\r\n"
    assert memory_of(harness).reserved_bytes <= reserved_bytes
    assert memory_of(harness).metrics.memory_refusals == 1
    waiting.transport.take()
    waiting.transport.feed(resp.encode_command([b"PING"]))
    assert waiting.transport.sent == b"+PONG\r\n"
    holder.write_all()
    answer_all(harness)
    assert holder.transport.sent == b"$6\r\nstored\r\n"


def test_time_spent_waiting_for_memory_counts_as_time_of_the_request() -> None:
    """Guards against an answer that comes later than the client waits, as its last byte lay unread."""
    harness = memory_harness()
    holder, waiting = WritingClient(harness, 1), WritingClient(harness, 2)
    holder.write()
    waiting.write()
    harness.loop.advance(0.8)
    holder.write_all()
    answer_all(harness)
    harness.loop.advance()
    waiting.write_all()
    (active_request,) = harness.proxy.active_requests.values()
    request = active_request.request
    assert request.expires_at - request.arrived_at == pytest.approx((TIME_S - 0.8) * 1000.0, abs=1.0)


def test_room_of_a_client_that_leaves_goes_to_the_next_one() -> None:
    """Guards against a wait for the room of a client that has gone, and for one that has gone itself."""
    harness = memory_harness()
    holder, leaving, waiting = (WritingClient(harness, number) for number in range(3))
    for client in (holder, leaving, waiting):
        client.write()
    leaving.transport.abort()
    assert leaving.connection not in memory_of(harness).waiting
    holder.transport.abort()
    harness.loop.advance()
    assert not memory_of(harness).waiting
    waiting.write_all()
    answer_all(harness)
    assert waiting.transport.sent == b"$6\r\nstored\r\n"
    assert memory_of(harness).partial_command_bytes == memory_of(harness).buffered_bytes == 0


def test_command_that_never_sends_its_value_gives_its_room_back() -> None:
    """Guards against room that is held for good by a length that no value follows."""
    harness = memory_harness()
    lying, waiting = WritingClient(harness, 1), WritingClient(harness, 2)
    lying.write(200)
    harness.loop.advance(COMMAND_TIMEOUT_S - 0.5)
    waiting.write()
    harness.loop.advance(0.9)
    assert lying.transport.sent.startswith(b"-ERR")
    waiting.write_all()
    answer_all(harness)
    assert waiting.transport.sent == b"$6\r\nstored\r\n"


def test_value_larger_than_all_memory_for_commands_is_read_if_it_is_alone() -> None:
    """Guards against a value that never fits."""
    harness = memory_harness()
    client = WritingClient(harness, 1, 4 << 20)
    client.write_all()
    answer_all(harness)
    assert client.transport.sent == b"$6\r\nstored\r\n"


def test_value_larger_than_all_memory_for_commands_is_read_after_it_has_waited() -> None:
    """Guards against a large value that never fits, as those that wait count as being read."""
    harness = memory_harness()
    holder, large, other = (
        WritingClient(harness, 1),
        WritingClient(harness, 2, 4 << 20),
        WritingClient(harness, 3),
    )
    for client in (holder, large, other):
        client.write()
    harness.loop.advance(0.1)
    for client in (holder, large, other):
        client.write_all()
        answer_all(harness)
        harness.loop.advance(0.01)
        client.write_all()
        answer_all(harness)
        harness.loop.advance(0.01)
        assert client.transport.sent == b"$6\r\nstored\r\n"


def test_waiting_commands_are_read_when_the_limit_is_raised() -> None:
    """Guards against a wait that outlasts the second process with which the memory was shared."""
    harness = memory_harness()
    holder, waiting = WritingClient(harness, 1), WritingClient(harness, 2)
    holder.write()
    waiting.write()
    memory_of(harness).set_read_ahead(READ_AHEAD_BYTES // 2)
    assert waiting.connection in memory_of(harness).waiting
    memory_of(harness).set_read_ahead(2 * READ_AHEAD_BYTES)
    assert not memory_of(harness).waiting


@pytest.mark.parametrize("is_final", [True, False])
def test_commands_that_wait_when_a_shutdown_begins_are_answered(is_final: bool) -> None:
    """Guards against commands that are left without an answer at SIGTERM or `quiesce` as they wait."""
    harness = memory_harness()
    clients = [WritingClient(harness, number) for number in range(4)]
    for client in clients:
        client.write()
    if is_final:
        harness.sigterm()
    else:
        harness.proxy.shutdown.begin()
    write_and_answer(harness, clients, 150)
    assert all(client.transport.sent == b"$6\r\nstored\r\n" for client in clients)


def test_long_command_that_has_begun_is_answered_if_an_earlier_reply_falls_due_in_a_shutdown() -> None:
    """Guards against a long command that is cut in the middle at SIGTERM."""
    harness = memory_harness()
    client = WritingClient(harness, 1)
    client.unsent = encode_request("save", 2) + client.unsent
    client.write(300_000)
    harness.sigterm()
    answer_all(harness)
    assert client.transport.sent == b"$6\r\nstored\r\n"
    assert not client.transport.eof_written
    harness.loop.advance(0.1)
    client.write_all()
    answer_all(harness)
    harness.loop.advance(0.1)
    answer_all(harness)
    assert client.transport.sent == b"$6\r\nstored\r\n" * 2
    assert client.transport.eof_written


def test_client_that_stops_half_way_gets_its_error_in_time_although_it_waited_for_memory() -> None:
    """Guards against a wait for memory that counts as progress of the command."""
    harness = memory_harness()
    holder, stopping = WritingClient(harness, 1), WritingClient(harness, 2)
    holder.write()
    stopping.write()
    assert stopping.connection in memory_of(harness).waiting
    for _ in range(8):
        harness.loop.advance(0.1)
        holder.write(1000)
    holder.write_all()
    answer_all(harness)
    assert stopping.connection not in memory_of(harness).waiting
    harness.loop.advance(3.0 - 0.8)
    assert stopping.transport.sent.startswith(b"-ERR")


def test_newcomer_closes_no_connection_whose_command_waits_for_memory() -> None:
    """Guards against a request that has been read and gets no answer, as others have no connection left."""
    harness = memory_harness()
    holder, waiting = WritingClient(harness, 1), WritingClient(harness, 2)
    holder.write()
    waiting.write()
    harness.proxy.clients.set_max_connections(len(harness.proxy.clients.connections))
    assert harness.client() is None
    harness.proxy.clients.set_max_connections(1000)
    for client in (holder, waiting):
        client.write_all()
        answer_all(harness)
        harness.loop.advance(0.1)
        answer_all(harness)
        assert client.transport.sent == b"$6\r\nstored\r\n"


ACTIONS = ("write", "write", "write", "rest", "answer", "advance", "leave")


@hypothesis_settings(max_examples=100)
@given(st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 9)), min_size=10, max_size=60))
def test_nobody_waits_for_memory_without_an_end(steps: list[tuple[str, int]]) -> None:
    """Guards against waits that nothing ends, and against a sum of memory over its bound."""
    harness = memory_harness()
    memory = memory_of(harness)
    sizes = (100_000, 300_000, VALUE_BYTES, 2 << 20)
    clients = [WritingClient(harness, number, sizes[number % 4]) for number in range(10)]
    for action, number in steps:
        if action == "write":
            clients[number].write(200_000)
        elif action == "rest":
            clients[number].write_all()
        elif action == "answer":
            answer_all(harness)
        elif action == "advance":
            harness.loop.advance((0.01, 0.2)[number % 2])
        else:
            clients[number].transport.abort()
            clients[number] = WritingClient(harness, number, sizes[number % 4])
        harness.loop.advance()
        assert memory.buffered_bytes + memory.partial_command_bytes <= 2 * READ_AHEAD_BYTES + max(sizes)
        now = harness.loop.time()
        assert all(now - wait.began_at <= MAX_WAIT_FRACTION * TIME_S for wait in memory.waiting.values())
    for _ in range(int(2.5 * TIME_S / 0.05)):
        for client in clients:
            client.write_all()
        answer_all(harness)
        harness.loop.advance(0.05)
    assert not memory.waiting
    assert all(not client.unsent or not client.transport.open for client in clients)
    assert not harness.proxy.active_requests
    assert memory.buffered_bytes == memory.partial_command_bytes == 0
