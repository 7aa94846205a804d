"""Whose reply is it: connections to caches that drop commands, answer late, or send a reply twice.

Replies carry no id. Every value names the command that it was made for, so that a reply that reaches another
command is found.
"""

from collections import deque

import pytest
from helpers import FakeTransport, ProxyHarness, encode_reply, encode_request, endpoint
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from calicofall.proxy.buffers import RingBuffer
from calicofall.proxy.command_parser import CommandParser
from calicofall.proxy.reply_distinctness import MIN_DISTINCT_REPLIES
from calicofall.proxy.resp import INCOMPLETE
from calicofall.proxy.upstream_connection import REPLY_SETTLE_S, UpstreamConnection

CLIENTS = 4
MAX_COPY_DELAY_S = 0.06  # of a second copy after the reply
KEY = 7  # of all requests, so that they share the connections to one cache


def request_id(command: bytes) -> bytes:
    """Returns the id in an encoded request."""
    return command.split(b"\r\n")[6]


class FakeCache:
    """The cache at the other end of one connection: it begins commands when their last byte has arrived."""

    def __init__(self, transport: FakeTransport) -> None:
        self.transport = transport
        self.ring = RingBuffer()
        self.parser = CommandParser(self.ring)
        self.unanswered: deque[bytes] = deque()  # ids
        self.received: list[tuple[bytes, bytes]] = []  # command name and id of each complete command
        self.rejected: list[bytes] = []  # ids of the commands that were answered with -BUSY
        self.last_reply: bytes | None = None  # a second copy of it may still be sent
        self.last_reply_at = 0.0
        self.copy_on_its_way: bytes | None = None

    def receive(self) -> None:
        """Reads what the proxy has written."""
        data = self.transport.take()
        while data:
            self.ring.write(data[:1000])
            data = data[1000:]
            while (command := self.parser.read()) is not INCOMPLETE:
                self.unanswered.append(command[2])
                self.received.append((command[0], command[2]))

    def reply(self, data: bytes) -> None:
        """Sends a reply; a second copy of the last one that is on its way arrives before it."""
        self.deliver_copy()
        if self.transport.open:
            self.transport.feed(data)
        self.last_reply = data
        self.last_reply_at = self.transport.stream.loop.time()

    def answer(self) -> None:
        """Answers the first command with a value that names it."""
        self.reply(encode_reply(b"for-" + self.unanswered.popleft()))

    def reject(self) -> None:
        """Answers the first command with -BUSY: it has not run."""
        self.rejected.append(self.unanswered.popleft())
        self.reply(b"-BUSY\r\n")

    def send_copy(self) -> None:
        """Sends a second copy of a reply that was sent a moment ago, if nothing has arrived since."""
        now = self.transport.stream.loop.time()
        nothing_arrived = not self.unanswered and not self.parser.has_partial_message()
        if self.last_reply is not None and nothing_arrived and now < self.last_reply_at + MAX_COPY_DELAY_S:
            self.copy_on_its_way = self.last_reply
            self.last_reply = None

    def deliver_copy(self) -> None:
        """Lets a second copy that is on its way arrive; commands may have been written meanwhile."""
        data, self.copy_on_its_way = self.copy_on_its_way, None
        if data is not None and self.transport.open:
            self.transport.feed(data)

    def drop(self, index: int) -> None:
        """Drops a command without a reply."""
        del self.unanswered[index % len(self.unanswered)]


class ReplyModel:
    """Clients with one request each at a time, a proxy with few connections, and caches that misbehave."""

    def __init__(self, caches: int, connections: int, replies_are_distinct: bool = False) -> None:
        self.harness = ProxyHarness(caches).with_high_limits()
        self.harness.proxy.upstreams.set_max_connections(connections)
        if replies_are_distinct:
            self.harness.proxy.upstreams.reply_distinctness.distinct_in_a_row = MIN_DISTINCT_REPLIES
        self.clients = [self.harness.client() for _ in range(CLIENTS)]
        self.request_ids: list[bytes | None] = [None] * CLIENTS  # of the request that each client waits for
        self.order_ids: set[bytes] = set()
        self.caches: list[FakeCache] = []
        self.opened_count = 0

    def open_connections(self, pause_after_bytes: int | None = None) -> None:
        """Establishes the connections that the proxy has begun to open."""
        requests = self.harness.loop.connect_requests
        for connection, _ in requests[self.opened_count :]:
            if not connection.closed:
                self.caches.append(FakeCache(FakeTransport(connection, pause_after_bytes)))
        self.opened_count = len(requests)

    def open_caches(self) -> list[FakeCache]:
        """Returns the caches whose connection is open, after they have read what was written."""
        for cache in self.caches:
            cache.receive()
        return [cache for cache in self.caches if cache.transport.open]

    def send(self, number: int, method: str, remaining_ms: int, value_bytes: int) -> None:
        """Lets a client send a request, unless it waits for the reply to another one."""
        if self.request_ids[number] is not None:
            return
        command = encode_request(method, KEY, str(remaining_ms), bytes(value_bytes))
        self.request_ids[number] = request_id(command)
        if method == "order":
            self.order_ids.add(request_id(command))
        self.clients[number].feed(command)

    def disconnect(self, number: int) -> None:
        """Disconnects a client; another one takes its place."""
        self.clients[number].abort()
        self.clients[number] = self.harness.client()
        self.request_ids[number] = None

    def advance(self, duration_s: float) -> None:
        """Lets time pass; second copies arrive before they are late."""
        for cache in self.caches:
            if self.harness.loop.time() + duration_s > cache.last_reply_at + MAX_COPY_DELAY_S:
                cache.deliver_copy()
        self.harness.loop.advance(duration_s)

    def accept_output(self) -> None:
        """Lets the caches read all that the proxy still has to write."""
        for cache in self.open_caches():
            cache.transport.pause_after_bytes = None
            if cache.transport.stream.write_paused:
                cache.transport.stream.resume_writing()

    def check(self) -> None:
        """Checks each reply that a client got, and that no order may have run twice."""
        self.open_caches()
        for number, client in enumerate(self.clients):
            reply = client.take()
            if reply.startswith(b"$"):
                assert reply.split(b"\r\n")[1] == b"for-%b" % self.request_ids[number]
            if reply:
                self.request_ids[number] = None
        received = [command for cache in self.caches for command in cache.received]
        rejected = [rejected_id for cache in self.caches for rejected_id in cache.rejected]
        for order_id in self.order_ids:
            assert received.count((b"C.SET", order_id)) - rejected.count(order_id) <= 1

    def step(self, action: str, number: int) -> None:
        """Executes one step; `number` chooses among clients, connections, times and sizes."""
        if action == "send":
            method = ("read", "order", "save")[number // CLIENTS % 3]
            remaining_ms = (10, 60, 900)[number // 12 % 3]
            self.send(number % CLIENTS, method, remaining_ms, (1, 150_000)[number // 36 % 2])
        elif action == "open":
            self.open_connections(None if number % 2 else 100_000)
        elif action == "advance":
            self.advance((0.001, 0.011, 0.03, 0.2)[number % 4])
        elif action == "disconnect":
            self.disconnect(number % CLIENTS)
        elif action == "accept":
            self.accept_output()
        elif caches := self.open_caches():
            self.step_of_cache(action, caches[number % len(caches)], number)
        self.harness.loop.advance()
        self.check()

    def step_of_cache(self, action: str, cache: FakeCache, number: int) -> None:
        """Executes one step of a cache."""
        if action == "send copy":
            cache.send_copy()
        elif action == "deliver copy":
            cache.deliver_copy()
        elif cache.unanswered:
            if action == "drop":
                cache.drop(number)
            elif action == "reject":
                cache.reject()
            else:
                cache.answer()

    def finish(self) -> None:
        """Lets the time of all requests pass: each client that stayed has its final answer."""
        self.advance(3.0)
        self.check()
        assert self.request_ids == [None] * CLIENTS
        assert not self.harness.proxy.active_requests
        assert not any(pool.waiting for pool in self.harness.proxy.upstreams.pools.values())


ACTIONS = (
    *("send", "send", "send", "open", "advance", "answer", "answer"),
    *("drop", "reject", "disconnect", "accept", "send copy", "deliver copy"),
)


@hypothesis_settings(max_examples=400)
@given(
    st.booleans(),
    st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 71)), min_size=20, max_size=80),
)
def test_no_command_gets_a_reply_made_for_another(
    replies_are_distinct: bool, steps: list[tuple[str, int]]
) -> None:
    """Guards against replies that pass for another command's: after drops, time-outs, departures, copies."""
    model = ReplyModel(2, 2, replies_are_distinct)
    for action, number in steps:
        model.step(action, number)
    model.finish()


def connected_model(remaining_ms: int) -> ReplyModel:
    """Returns a model with one connection, on which two clients have sent a request each."""
    model = ReplyModel(caches=1, connections=1)
    model.send(0, "read", remaining_ms, 1)
    model.open_connections()
    model.send(1, "order", 900, 1)
    return model


@pytest.mark.parametrize("answered_after_s", [0.005, 0.05])
def test_dropped_command_does_not_shift_the_reply_behind_it(answered_after_s: float) -> None:
    """Guards against a foreign reply when a cache drops a command, before and after that has timed out."""
    model = connected_model(remaining_ms=10)
    model.open_caches()[0].drop(0)
    model.harness.loop.advance(answered_after_s)
    model.open_connections()
    for cache in model.open_caches():
        if cache.unanswered:
            cache.answer()
    model.check()
    model.harness.loop.advance(0.1)
    model.open_connections()
    for cache in model.open_caches():
        if cache.unanswered:
            cache.answer()
    model.check()
    assert model.request_ids[:2] == [None, None]
    assert [name for cache in model.caches for name, _ in cache.received] == [b"C.GET", b"C.SET"]


def test_busy_for_another_command_is_no_proof_that_an_order_has_not_run() -> None:
    """Guards against an order that runs twice, since -BUSY for the command behind it passed for its own."""
    model = ReplyModel(caches=2, connections=2)
    model.send(0, "order", 60, 1)
    model.open_connections()
    model.send(1, "read", 900, 1)
    model.open_connections()
    model.open_caches()[0].drop(0)  # it has run, and its answer is lost
    for cache in model.open_caches():
        if cache.unanswered:
            cache.reject()
    model.open_connections()
    model.harness.loop.advance(0.1)
    model.check()
    assert model.request_ids[0] is None


def test_commands_that_wait_for_a_connection_are_sent_in_order_when_it_is_free() -> None:
    model = connected_model(remaining_ms=900)
    model.send(2, "read", 900, 1)
    assert model.harness.proxy.metrics.connection_waits == 2
    ids = list(model.request_ids[:3])
    for _ in range(3):
        (cache,) = model.open_caches()
        assert len(cache.unanswered) == 1
        cache.answer()
        model.advance(REPLY_SETTLE_S)
        model.check()
    assert [received_id for _, received_id in model.caches[0].received] == ids


def test_command_of_a_client_that_left_while_it_waited_is_not_sent() -> None:
    """Guards against a command that is sent for a client that has disconnected."""
    model = connected_model(remaining_ms=900)
    model.disconnect(1)
    model.open_caches()[0].answer()
    model.harness.loop.advance(1.0)
    model.open_caches()
    assert [name for name, _ in model.caches[0].received] == [b"C.GET"]
    assert not model.harness.proxy.active_requests


def test_command_that_waits_is_sent_on_a_new_connection_when_the_busy_one_closes() -> None:
    """Guards against commands that wait for a connection that is gone."""
    model = connected_model(remaining_ms=900)
    model.caches[0].transport.abort()
    model.harness.loop.advance()
    model.open_connections()
    assert [name for cache in model.open_caches() for name, _ in cache.received][0] == b"C.SET"


def test_command_that_waits_has_not_run_when_its_cache_drains() -> None:
    """Guards against a command that is sent to a draining cache because it waited for a connection to it."""
    model = connected_model(remaining_ms=900)
    model.harness.push_endpoint_list(endpoint("c1", "DRAINING"))
    model.harness.loop.advance()
    model.open_caches()[0].answer()
    model.harness.loop.advance(1.0)
    model.check()
    assert [name for name, _ in model.caches[0].received] == [b"C.GET"]
    assert model.request_ids[:2] == [None, None]


def test_wait_for_a_connection_ends_with_the_time_of_its_request() -> None:
    """Guards against a request that waits behind a cache that does not answer for longer than it has."""
    model = connected_model(remaining_ms=900)
    model.send(2, "order", 100, 1)
    model.harness.loop.advance(0.101)
    assert model.clients[2].take().startswith(b"-BUSY")
    assert model.open_caches()


def answered_model(replies_are_distinct: bool) -> tuple[ReplyModel, FakeCache]:
    """Returns a model with one connection, on which a second copy of a reply is on its way."""
    model = ReplyModel(1, 1, replies_are_distinct)
    model.send(0, "read", 900, 1)
    model.open_connections()
    (cache,) = model.open_caches()
    cache.answer()
    cache.send_copy()
    model.check()
    return model, cache


@pytest.mark.parametrize("replies_are_distinct", [False, True])
def test_second_copy_that_crosses_the_next_command_is_not_its_reply(replies_are_distinct: bool) -> None:
    """Guards against a second copy, milliseconds late, that passes for the next command's reply."""
    model, cache = answered_model(replies_are_distinct)
    model.send(1, "order", 900, 1)
    model.harness.loop.advance(0.004)
    cache.deliver_copy()
    model.check()
    model.harness.loop.advance(REPLY_SETTLE_S)
    model.open_connections()
    (cache,) = model.open_caches()
    assert len(model.caches) == (1 if replies_are_distinct else 2)
    cache.answer()
    model.check()
    assert model.request_ids[1] is None
    assert model.harness.proxy.metrics.second_copies == replies_are_distinct


def test_second_copy_that_arrives_while_a_long_command_is_half_written_is_not_its_reply() -> None:
    """Guards against a receipt for a write of which the cache does not have the last byte yet."""
    model = ReplyModel(1, 1, True)
    model.send(0, "read", 900, 1)
    model.open_connections(pause_after_bytes=100_000)
    (cache,) = model.open_caches()
    cache.answer()
    model.check()
    model.send(1, "order", 900, 200_000)
    assert cache.transport.stream.write_paused
    cache.transport.feed(encode_reply(b"another"))
    model.harness.loop.advance()
    assert not cache.transport.open
    assert model.clients[1].take().startswith(b"-BUSY")  # certain not to have run
    assert model.harness.proxy.metrics.attempts_sent == 1


def test_second_copy_that_is_read_after_the_process_was_held_up_is_not_the_next_reply() -> None:
    """Guards against a second copy that lay unread until after the time in which copies arrive."""
    model, cache = answered_model(replies_are_distinct=True)
    model.send(1, "order", 900, 1)
    model.harness.loop.clock += 0.15
    cache.deliver_copy()
    model.check()
    assert model.harness.proxy.metrics.second_copies == 1
    model.open_caches()[0].answer()
    model.check()
    assert model.request_ids[1] is None


@pytest.mark.parametrize("load_report", [b"$5\r\nbusy=\r\n", b"?"])
def test_second_copy_with_another_load_report_is_not_the_reply_to_the_next_command(
    load_report: bytes,
) -> None:
    """Guards against a second copy whose load report differs or cannot be read."""
    model = ReplyModel(1, 1, True)
    model.send(0, "read", 900, 1)
    model.open_connections()
    (cache,) = model.open_caches()
    data = encode_reply(b"for-" + cache.unanswered.popleft())
    cache.transport.feed(data)
    model.check()
    model.send(1, "read", 900, 1)
    cache.transport.feed(data.removesuffix(b"$-1\r\n") + load_report)
    model.check()


def test_connection_is_not_used_again_at_once_after_a_long_reply_that_nobody_waited_for() -> None:
    """Guards against the second copy of a long reply, which would be forwarded before it can be compared."""
    model = ReplyModel(1, 1, True)
    model.harness.proxy.upstreams.find_sink = lambda *_: None
    model.send(0, "read", 900, 1)
    model.open_connections()
    (cache,) = model.open_caches()
    cache.unanswered.clear()
    cache.transport.feed(encode_reply(bytes(100_000)))
    model.harness.loop.advance()
    assert cache.transport.open
    model.send(1, "read", 900, 1)
    model.open_caches()
    assert not cache.unanswered


def test_replies_that_are_equal_by_themselves_are_served_after_the_time_for_second_copies() -> None:
    """Guards against deployments with constant values or receipts that would lose all their answers."""
    model = ReplyModel(1, 1, True)
    client = model.clients[0]
    client.feed(encode_request("order"))
    upstream = model.harness.connect_upstream()
    upstream.feed(encode_reply(b"stored"))
    assert client.take() == b"$6\r\nstored\r\n"
    client.feed(encode_request("order", remaining_ms="300"))
    upstream.feed(encode_reply(b"stored"))
    model.harness.loop.advance(0.301)  # it may have been a second copy: whether the order has run is unknown
    assert client.take().startswith(b"-ERR")
    for _ in range(3):
        client.feed(encode_request("order"))
        model.harness.loop.advance(REPLY_SETTLE_S)
        connection = model.harness.loop.connect_requests[-1][0]
        (connection.transport or FakeTransport(connection)).feed(encode_reply(b"stored"))
        assert client.take() == b"$6\r\nstored\r\n"
    assert len(model.harness.loop.connect_requests) == 2


def test_attempt_that_follows_one_that_failed_at_once_is_withdrawn_with_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an attempt that is not known to its request: it was left out when its client left."""
    model = ReplyModel(caches=2, connections=2)
    write = UpstreamConnection.write

    def fail_once(connection: UpstreamConnection, data: bytes) -> None:
        monkeypatch.setattr(UpstreamConnection, "write", write)
        connection.abort()

    for _ in range(2):  # so that there is a connection to each cache
        model.send(0, "read", 900, 1)
        model.open_connections()
        for cache in model.open_caches():
            if cache.unanswered:
                cache.answer()
        model.check()
        model.advance(REPLY_SETTLE_S)
    monkeypatch.setattr(UpstreamConnection, "write", fail_once)
    model.send(0, "read", 900, 1)
    model.open_connections()
    (active_request,) = model.harness.proxy.active_requests.values()
    assert len(active_request.request.attempts) == 2
    assert active_request.command is not None
    assert active_request.command.attempt_index == 1
    model.disconnect(0)
    model.open_connections()
    assert not any(cache.unanswered for cache in model.open_caches())


def test_receipts_that_recur_among_distinct_replies_are_not_taken_for_second_copies() -> None:
    """Guards against an order that is served, and ends as failed since its receipt equals the one before."""
    model = ReplyModel(1, 1)
    client = model.clients[0]
    answers = []
    for number in range(20 * (MIN_DISTINCT_REPLIES + 4)):
        is_receipt = number % (MIN_DISTINCT_REPLIES + 4) >= MIN_DISTINCT_REPLIES + 2
        client.feed(encode_request("order", remaining_ms="300"))
        model.open_connections()
        if not model.open_caches()[0].unanswered:  # the connection rests
            model.harness.loop.advance(REPLY_SETTLE_S)
        (cache,) = model.open_caches()
        cache.unanswered.clear()
        cache.reply(encode_reply(b"stored" if is_receipt else b"%d" % number))
        model.harness.loop.advance()
        answers.append(client.take())
        if not answers[-1]:
            model.harness.loop.advance(0.301)
            answers[-1] = client.take()
    # The first receipt is not known to recur.
    assert sum(answer.startswith(b"-ERR") for answer in answers) <= 1
    assert sum(answer.startswith(b"$") for answer in answers) >= len(answers) - 1


def test_connection_is_not_used_again_at_once_after_an_error() -> None:
    """Guards against a second copy of -BUSY that passes for the proof that an order never ran."""
    model = ReplyModel(1, 1, True)
    model.send(0, "read", 900, 1)
    model.open_connections()
    (cache,) = model.open_caches()
    cache.reject()
    model.harness.loop.advance()
    model.send(1, "order", 900, 1)
    model.open_caches()
    assert not cache.unanswered
