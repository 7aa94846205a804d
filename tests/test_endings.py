"""What is owed when something ends: on real sockets where the system's own order of events matters, on fake
transports and time elsewhere. Each test first shows that its crossing took place.

Owns a proxy on a loop of its own, with caches and an agent in the test's hand. Must never wait and hope.
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
from calicofall.proxy.clients import EXCESS_IDLE_TIMEOUT_S
from calicofall.proxy.connection import LINGER_S, BufferedConnection, Listener, open_connection
from calicofall.proxy.discovery import Discovery
from calicofall.proxy.server import Proxy
from calicofall.startup.discovery_schedule import DiscoverySchedule

ROOT = Path(__file__).parents[1]
SHORT = [method | {"hardDeadlineNs": 600_000_000} for method in SETTINGS["methods"]]
PING = resp.encode_command([b"PING"])


def at(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


def unread(sock: socket.socket) -> int:
    """Bytes that have come and have not been read."""
    return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)


def waits(sock: socket.socket, count: int) -> None:
    """Until so many bytes lie at a socket of ours: the system has carried them over."""
    end = time.monotonic() + 5.0
    while unread(sock) < count:
        assert time.monotonic() < end
        time.sleep(0.001)


class Live:
    """A proxy on real sockets; its loop turns only while told to."""

    def __init__(self, caches: int = 1, sockets: int = 1024, **settings: object) -> None:
        self.loop = asyncio.new_event_loop()
        self.caches = [socket.create_server(("127.0.0.1", 0)) for _ in range(caches)]
        node = ProxyHarness.node_file(0, sockets, **settings) | {
            "known": {
                "index": 1,
                "snapshot": True,
                "endpoints": [endpoint(f"c{i}", address=at(sock)) for i, sock in enumerate(self.caches)],
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
            shared=True,
        )
        self.place = self.proxy.listener.socket.getsockname()
        self.open_sockets: list[socket.socket] = []
        self.turn()

    def turn(self, span: float = 0.05) -> None:
        self.loop.run_until_complete(asyncio.sleep(span))

    def until(self, seen: Callable[[], object]) -> None:
        """Turns the loop until this is so."""
        end = time.monotonic() + 5.0
        while not seen():
            assert time.monotonic() < end
            self.turn(0.005)

    def client(self, accepted: bool = True) -> socket.socket:
        before, sock = len(self.proxy.clients.connections), socket.create_connection(self.place)
        sock.settimeout(5.0)
        self.open_sockets.append(sock)
        if accepted:
            self.until(lambda: len(self.proxy.clients.connections) > before)
        return sock

    def sent(self, count: int) -> bool:
        return self.proxy.metrics.attempts_sent == count

    def cache(self) -> socket.socket:
        """The next connection that comes to a cache."""
        self.caches[0].settimeout(5.0)
        sock = self.caches[0].accept()[0]
        sock.settimeout(5.0)
        self.open_sockets.append(sock)
        return sock

    def close(self) -> None:
        for sock in self.open_sockets + self.caches:
            sock.close()
        self.proxy.discovery.stop()
        self.proxy.upstreams.close()
        for client in list(self.proxy.clients.connections):
            client.abort()
        self.proxy.listener.close()
        self.turn()
        self.loop.close()


@pytest.fixture
def live() -> Iterator[Live]:
    one = Live()
    yield one
    one.close()


def gone(sock: socket.socket, stream: BufferedConnection) -> None:
    """A client leaves, and the system knows of it while the loop stands."""
    eye = poll()
    eye.register(stream.transport.get_extra_info("socket").fileno(), POLLRDHUP)
    sock.close()
    assert eye.poll(5000)


def whole(sock: socket.socket) -> bytes:
    """All that comes up to the peer's end; a reset raises."""
    data = b""
    while piece := sock.recv(1 << 16):
        data += piece
    return data


# The proxy closes a client's connection


def test_a_close_over_unread_bytes_takes_no_answer_with_it(live: Live) -> None:
    """A command came in the instant of the close: the reset that followed destroyed what was in flight."""
    sock = live.client()
    sock.sendall(PING)
    live.until(lambda: live.proxy.clients.idle)
    stream = next(iter(live.proxy.clients.idle))
    mine = stream.transport.get_extra_info("socket")
    sock.sendall(encode_request())
    waits(mine, 1)  # the loop has not turned: it is unread
    live.proxy.clients.close_idle()
    assert unread(mine) and stream.closing
    live.turn()
    assert whole(sock) == b"+PONG\r\n"  # and no reset
    assert (
        not live.proxy.active_requests and live.proxy.metrics.totals()["completed"] == 0
    )  # nor is it carried out
    sock.close()
    live.until(lambda: not live.proxy.clients.connections)  # its end is waited for no longer than it takes


def test_an_answer_owed_while_emptying_is_followed_by_an_end_and_no_reset(live: Live) -> None:
    """Seventeen commands at once: one lies unread as the sixteenth answer goes out and all ends."""
    sock = live.client()
    commands = b"".join(encode_request(key=1) for _ in range(MAX_PIPELINED_COMMANDS))
    sock.sendall(commands)
    live.until(lambda: live.sent(MAX_PIPELINED_COMMANDS))
    stream = next(iter(live.proxy.clients.connections))
    assert len(stream.replies) == MAX_PIPELINED_COMMANDS and stream.reading_paused
    live.proxy.shutdown.begin()
    caches = [live.cache() for _ in range(MAX_PIPELINED_COMMANDS)]
    sock.sendall(encode_request(key=1))
    waits(stream.transport.get_extra_info("socket"), 1)
    for cache in caches:
        cache.sendall(encode_reply(b"last"))
    live.until(lambda: live.proxy.metrics.totals()["completed"] == MAX_PIPELINED_COMMANDS)
    data = b""
    while len(data) < len(b"$4\r\nlast\r\n") * MAX_PIPELINED_COMMANDS:
        data += sock.recv(1 << 16)
    # What came before the shutdown is taken and answered; nothing else may be lost.
    live.turn()
    if not stream.closing:
        live.until(lambda: live.sent(MAX_PIPELINED_COMMANDS + 1))
        live.cache().sendall(encode_reply(b"last"))
        live.until(lambda: stream.closing)
    assert set((data + whole(sock)).split(b"$4\r\nlast\r\n")) == {b""}


def test_a_connection_that_is_reset_while_it_lingers_is_let_go(live: Live) -> None:
    """Its timer held it, and it the timer, until all that lives was looked through for what is out of use."""
    sock = live.client()
    sock.sendall(PING)
    live.until(lambda: live.proxy.clients.idle)
    known = weakref.ref(next(iter(live.proxy.clients.idle)))
    gc.disable()
    try:
        known().close()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        live.until(lambda: not live.proxy.clients.connections)
        live.turn(LINGER_S + 0.05)
        assert known() is None
    finally:
        gc.enable()


def test_a_lingering_connection_goes_for_the_next_and_ends_by_itself() -> None:
    harness = ProxyHarness(sockets=40)  # eight connections
    clients = [harness.client() for _ in range(8)]
    for client in clients:
        client.feed(PING)
    harness.proxy.clients.close_idle()
    assert all(client.eof_written and client.open for client in clients)
    assert harness.client() is not None and sum(client.open for client in clients) == 7
    harness.loop.advance(LINGER_S + 0.01)
    assert not any(client.open for client in clients)


def test_one_that_has_gone_is_not_kept_as_lingering() -> None:
    """It would stand first where room is wanted, and give none."""
    harness = ProxyHarness()
    client = harness.client()
    client.abort()
    client.stream.close()
    assert not harness.proxy.clients.closing and not harness.proxy.clients.connections


def test_a_command_that_comes_slowly_is_no_rest() -> None:
    """Where many rest, connections that rest close: clients that write slowly lost theirs in mid-command."""
    harness = ProxyHarness(sockets=48)
    clients, data = [harness.client() for _ in range(6)], encode_request()
    for client in clients:
        client.feed(data[:10])
    harness.proxy.upkeep()
    harness.loop.advance(4 * EXCESS_IDLE_TIMEOUT_S)
    assert all(client.open and not client.eof_written for client in clients)


# A client leaves


def test_a_departure_is_seen_while_reading_is_paused(live: Live) -> None:
    """A client sends much at once and goes: command after command was sent on for it."""
    sock = live.client()
    sock.sendall(b"".join(encode_request(key=1) for _ in range(4 * MAX_PIPELINED_COMMANDS)))
    live.until(lambda: live.sent(MAX_PIPELINED_COMMANDS))
    stream = next(iter(live.proxy.clients.connections))
    caches = [live.cache() for _ in range(MAX_PIPELINED_COMMANDS)]
    gone(sock, stream)
    assert stream.reading_paused and not stream.closed  # it has gone, and nothing tells the loop
    sent = live.proxy.metrics.attempts_sent
    for cache in caches:
        cache.sendall(encode_reply())
    live.until(lambda: not live.proxy.active_requests)
    live.turn()
    assert live.proxy.metrics.attempts_sent == sent
    live.proxy.clients.close_overdue()
    assert stream.closed


def test_a_paused_client_that_left_holds_nothing_for_long(live: Live) -> None:
    sock = live.client()
    sock.sendall(b"".join(encode_request(key=1) for _ in range(4 * MAX_PIPELINED_COMMANDS)))
    live.until(lambda: live.sent(MAX_PIPELINED_COMMANDS))
    stream = next(iter(live.proxy.clients.connections))
    gone(sock, stream)
    assert stream.reading_paused and not stream.closed
    live.proxy.upkeep()  # no answer has come from anywhere
    assert stream.closed and not live.proxy.active_requests and not live.proxy.clients.buffered_bytes


@pytest.mark.parametrize("cancel", [True, False])
def test_nothing_is_sent_for_a_client_that_left_before_a_connection_came_up(cancel: bool) -> None:
    """Where caches take no cancelling, the command went out with the connection, long after its client."""
    harness = ProxyHarness(caps=SETTINGS["caps"] | {"cancel": cancel}).with_high_limits()
    client = harness.client()
    client.feed(encode_request())
    assert (
        len(harness.loop.connect_requests) == 1 and harness.proxy.active_requests
    )  # decided; its connection is on the way
    client.abort()
    harness.loop.advance(0.15)
    assert not harness.proxy.active_requests
    for stream, _ in harness.loop.connect_requests:
        if not stream.closed:
            assert not FakeTransport(stream).sent
    assert not harness.proxy.router.active_requests and harness.proxy.metrics.attempts_sent == 0


# A connection to a cache comes up late


def test_what_a_late_command_tells_its_cache_is_what_is_left() -> None:
    """It told the time that was left when the connection was asked for, more than a second before."""
    harness = ProxyHarness(caps=SETTINGS["caps"] | {"dialTimeoutNs": 2_000_000_000}).with_high_limits()
    client = harness.client()
    client.feed(encode_request("order", remaining_ms="1500"))
    harness.loop.advance(1.2)
    upstream = harness.connect_upstream()
    told = int(upstream.sent.split(b"d=")[1].split(b",")[0])
    assert 290 <= told <= 300
    upstream.feed(encode_reply(b"late"))
    assert client.sent == b"$4\r\nlate\r\n"


def test_nothing_leaves_in_the_instant_in_which_its_time_is_over() -> None:
    """Both came due in one turn, and the connection was first."""
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


def test_a_repeat_whose_window_passed_on_the_way_is_not_sent() -> None:
    """Decided within 300 ms of the first transmission, it left when the connection came up, after them."""
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


def test_a_connection_that_our_own_want_keeps_from_opening_says_so(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process at its last descriptor took its own want for a cache that cannot be reached."""
    closed = socket.create_server(("127.0.0.1", 0))
    place = closed.getsockname()
    closed.close()  # refuses from now on

    def opened() -> BufferedConnection:
        async def run() -> BufferedConnection:
            stream = BufferedConnection(asyncio.get_running_loop())
            open_connection(stream.loop, stream, place, 1.0)
            while not stream.closed:
                await asyncio.sleep(0.001)
            return stream

        return asyncio.run(run())

    assert not opened().lacked_local_resources
    plain = socket.socket

    def none_left(*kind: object, **more: object) -> socket.socket:
        if kind[:2] == (socket.AF_INET, socket.SOCK_STREAM):
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return plain(*kind, **more)

    monkeypatch.setattr("calicofall.proxy.connection.socket.socket", none_left)
    stream = opened()
    assert stream.lacked_local_resources and stream.close_reason == os.strerror(errno.EMFILE)


@pytest.mark.parametrize("starved", [True, False])
def test_a_want_of_our_own_descriptors_speaks_against_no_cache(starved: bool) -> None:
    harness = ProxyHarness().with_high_limits()
    client = harness.client()
    client.feed(encode_request())
    before = len(harness.loop.connect_requests)
    stream, _ = harness.loop.connect_requests[-1]
    stream.lacked_local_resources = starved
    stream.abort()
    name = stream.pool.name
    assert (harness.proxy.router.policy.endpoints.caches[name].admitted_fraction == 1.0) is starved
    assert (
        len(harness.loop.connect_requests) == before + 1 and not client.sent
    )  # the key's next cache is tried


# SIGTERM


def test_what_waits_in_the_backlog_is_taken_and_answered(live: Live) -> None:
    """The listener closed with connections that the system had accepted: they were reset with their RPCs."""
    open_sockets = [live.client(accepted=False) for _ in range(5)]
    for sock in open_sockets:
        sock.sendall(encode_request(key=1))
    assert not live.proxy.clients.connections  # none is taken yet
    live.proxy.shutdown.begin()
    live.proxy.stop_listening()
    live.until(lambda: live.sent(len(open_sockets)))
    for _ in open_sockets:
        live.cache().sendall(encode_reply(b"last"))
    live.until(lambda: live.proxy.metrics.totals()["completed"] == len(open_sockets))
    assert [whole(sock) for sock in open_sockets] == [b"$4\r\nlast\r\n"] * 5
    with pytest.raises(ConnectionRefusedError):
        live.client(accepted=False)


def test_no_room_is_made_for_nobody() -> None:
    """Behind the last that waited, one more idle client was put out."""
    live = Live(sockets=64)
    try:
        for _ in range(live.proxy.clients.max_connections):
            live.client()
        live.turn(0.3)  # none is new any more
        assert len(live.proxy.clients.connections) == live.proxy.clients.max_connections
    finally:
        live.close()


def test_a_crowd_in_the_backlog_takes_no_descriptors_beyond_the_budget() -> None:
    """All that waited was taken, room or not: a crowd of idle clients took what RPCs in hand go by."""
    live = Live(sockets=64)
    try:
        most = live.proxy.clients.max_connections
        for _ in range(3 * most):
            live.client(accepted=False)
        live.proxy.shutdown.begin()
        live.proxy.stop_listening()
        assert (
            most == 32
            and len(live.proxy.clients.connections) + live.proxy.upstreams.connection_count() == most
        )
    finally:
        live.close()


def test_half_a_command_at_the_end_of_rest_gets_its_answer(live: Live) -> None:
    sock, data = live.client(), encode_request(key=1)
    sock.sendall(data[:30])
    live.until(lambda: live.proxy.clients.partial_commands)
    live.proxy.shutdown.begin()
    live.proxy.clients.close_idle()
    sock.sendall(data[30:])
    live.until(lambda: live.sent(1))
    live.cache().sendall(encode_reply(b"last"))
    live.until(lambda: live.proxy.metrics.totals()["completed"] == 1)
    assert whole(sock) == b"$4\r\nlast\r\n"


def test_all_is_answered_before_a_kill_that_comes_early_where_deadlines_are_short() -> None:
    """SIGKILL comes 0.7 s behind the longest deadline: at 1.3 s here, while emptying took 3.6 s."""
    harness = ProxyHarness(methods=SHORT).with_high_limits()
    harness.proxy.upkeep()
    late, slow = harness.client(), harness.client()
    late.feed(encode_request()[:30])  # never whole
    data = encode_request(remaining_ms="600")
    slow.feed(data[:30])
    harness.sigterm()
    harness.loop.advance(0.75)
    slow.feed(data[30:])
    harness.connect_upstream()  # a cache that says nothing
    assert harness.proxy.active_requests and not late.sent
    harness.loop.advance(0.4)
    assert slow.sent.startswith(b"-") and late.sent.startswith(b"-ERR") and not harness.proxy.active_requests
    harness.loop.advance(0.12)
    assert harness.proxy.stopped.done()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_before_there_is_an_answer_to_it_ends_no_start_by_force(
    number: int,
    tmp_path: Path,
) -> None:
    """SIGHUP on the way up killed the process: by default it ends one."""
    with socket.create_server(("127.0.0.1", 0)) as agent:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            listen = at(sock)
        node = ProxyHarness.node_file(0) | {"listen": listen, "discovery": at(agent)}
        (tmp_path / "node.json").write_text(json.dumps(node))
        process = subprocess.Popen(
            [sys.executable, "-m", "calicofall", "serve"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env=os.environ | {"PROXY_CONFIG": str(tmp_path / "node.json"), "TMPDIR": str(tmp_path)},
        )
        try:
            masks, end = {}, time.monotonic() + 10.0
            while not int(masks.get("SigBlk", "0"), 16) >> (number - 1) & 1:
                assert process.poll() is None and time.monotonic() < end
                masks = dict(
                    line.split(":\t")
                    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines()
                    if "Sig" in line
                )
            process.send_signal(number)
            assert not int(masks["SigCgt"], 16) >> (number - 1) & 1  # nothing there would have caught it
            agent.settimeout(10.0)
            if number == signal.SIGHUP:
                agent.accept()[0].close()  # it has come as far as asking for the list
                process.send_signal(signal.SIGTERM)
            said = process.communicate(timeout=20.0)[1].decode()
            assert process.returncode == 0, said
            assert ("configuration reread" in said) is (number == signal.SIGHUP)
        finally:
            process.kill()
            process.wait()


# A watch ends


LISTED = b'{"index": %d, "snapshot": true, "endpoints": []}\n'


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def watching() -> tuple[FakeEventLoop, Discovery, list]:
    loop, told = FakeEventLoop(), []
    discovery = Discovery(
        loop,
        loop.open,
        "10.2.0.1:8500",
        41,
        DiscoverySchedule(Random(1)),
        lambda *news: told.append(news[1]),
        lambda: None,
        lambda phase: None,
    )
    discovery.start()
    return loop, discovery, told


@pytest.mark.parametrize("piece", [1, 7, 4096])
def test_a_list_may_come_indented(piece: int) -> None:
    """Each line of it was taken for a message, and the watch opened anew without end."""
    loop, discovery, told = watching()
    news = json.dumps(
        {"index": 42, "snapshot": True, "endpoints": [endpoint('c1"{['), endpoint("c2")]}, indent=2
    ).encode()
    data = CHUNKED_RESPONSE_HEAD + b"".join(
        map(chunk, (news + b"\n", b"\n", LISTED % 43, news.replace(b"42", b"44") + b"\n"))
    )
    transport = FakeTransport(loop.connect_requests[-1][0])
    while data:
        transport.feed(data[:piece])
        data = data[piece:]
    assert told == [42, 43, 44] and transport.open and len(loop.connect_requests) == 1


def test_half_a_message_swallows_nothing_that_comes_behind_it() -> None:
    loop, discovery, told = watching()
    transport = FakeTransport(loop.connect_requests[-1][0])
    transport.feed(CHUNKED_RESPONSE_HEAD + chunk(b'{"index": 42, "endpoints": [\n'))
    assert transport.open and not told
    transport.feed(chunk(b"\n"))  # the sign of life of a watch that has nothing more to say
    assert not transport.open and discovery.is_down


def test_a_former_watch_says_nothing_behind_a_later_one() -> None:
    """Old bytes of a watch that was replaced: its list would stand until the next change."""
    loop, discovery, told = watching()
    old = loop.connect_requests[-1][0]
    FakeTransport(old).feed(CHUNKED_RESPONSE_HEAD + chunk(LISTED % 42))
    discovery.watch = None  # as while the next one is opened
    discovery.attempt()
    assert loop.connect_requests[-1][0] is not old and not old.closed
    old.transport.feed(chunk(LISTED % 7))
    assert told == [42] and discovery.version == 42


def test_a_service_that_comes_back_is_heard_within_the_grace() -> None:
    """Pauses between two tries grew to half a second: what it tells at its return binds after 0.25 s."""
    loop, discovery, _ = watching()
    gaps, last = [], 0.0
    for _ in range(6):  # it takes connections, and says nothing
        transport = FakeTransport(loop.connect_requests[-1][0])
        tried = len(loop.connect_requests)
        while transport.open:
            loop.advance(0.01)
        last = loop.time()
        while len(loop.connect_requests) == tried:
            loop.advance(0.01)
        gaps.append(loop.time() - last)
    assert max(gaps) < 0.15


# A cache's answer breaks off


def test_an_answer_that_breaks_off_is_told_to_the_module() -> None:
    """Suspected of being kept from it; found sound."""
    harness, value = ProxyHarness().with_high_limits(), Random(1).randbytes(100_000)
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    policy = harness.proxy.router.policy
    upstream.feed(encode_reply(value)[:60_000])
    assert client.sent.startswith(b"$100000\r\n") and not sum(policy.outliers.resets.sums)
    upstream.abort()
    assert sum(policy.outliers.resets.sums) == 1.0 and not policy.fleet_limit.in_flight
    assert not client.open and not harness.proxy.active_requests and not harness.proxy.router.active_requests


# A fault of our own


def test_a_fault_in_one_round_of_upkeep_does_not_end_it() -> None:
    """The next round was asked for last: silent clients and half commands would have been kept for good."""
    harness, silent = ProxyHarness(), None
    sweep, harness.proxy.clients.close_overdue = harness.proxy.clients.close_overdue, lambda: 1 / 0
    with pytest.raises(ZeroDivisionError):
        harness.proxy.upkeep()
    harness.proxy.clients.close_overdue, silent = sweep, harness.client()
    harness.loop.advance(3.0)
    assert not silent.open
