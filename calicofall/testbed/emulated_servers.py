"""Sockets of the emulated cache nodes and discovery service, and relays for datagrams between proxies.

Bytes of each connection pass the emulated link between the proxy and the server in both directions. What a
server does is decided by its model in `server_models`.

Invariants:
    Bytes that a cut link holds back are not lost: they are delivered, in order, once the link works again.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

import orjson

from calicofall.proxy import resp
from calicofall.proxy.buffers import RingBuffer
from calicofall.proxy.command_parser import CommandParser
from calicofall.testbed.history import (
    DiscoveryCall,
    History,
    ListEvent,
    PausedReply,
    ServerExecution,
    UpstreamConnectionEvent,
    UpstreamSend,
)
from calicofall.testbed.network_faults import HEALTHY_LINK, LinkFaults, LinkState
from calicofall.testbed.scenario import LONG_REPLY_BYTES, SMALL_VALUE_BYTES
from calicofall.testbed.server_models import CacheModel, DiscoveryModel

LOOPBACK_DEVICE = b"lo\0"
IP_PKTINFO = 8
BREAK_DELAY_S = 0.02  # from the first half of a reply to the reset
SLOW_READER_BUFFER_BYTES = 4096  # of the kernel, for a cache node that reads slowly
DEDUPLICATED_METHOD = "save"
KEEPALIVE_INTERVAL_S = 2.0  # between two empty lines on a watch


def proxy_address(number: int) -> str:
    """Return the loopback address at which a proxy reaches all servers and peers.

    Each proxy has an address of its own, so that the local address of a connection identifies the caller.
    """
    return f"127.{64 + number // 62_500}.{number // 250 % 250}.{number % 250 + 1}"


def proxy_number(host: str) -> int | None:
    """Return the number of the proxy that has an address, or None for any other address."""
    first, second, third, fourth = map(int, host.split("."))
    return (second - 64) * 62_500 + third * 250 + fourth - 1 if first == 127 and second >= 64 else None


def loopback_socket(kind: int) -> socket.socket:
    """Open a non-blocking socket of a kind (SOCK_STREAM, SOCK_DGRAM) on all loopback addresses."""
    sock = socket.socket(socket.AF_INET, kind)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Where the system forbids this, connections to other addresses are aborted (see `proxy_number`).
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, LOOPBACK_DEVICE)
    sock.bind(("0.0.0.0", 0))
    if kind == socket.SOCK_STREAM:
        sock.listen(1024)
    sock.setblocking(False)
    return sock


class Runner(Protocol):
    """What emulated servers need of the scenario runner."""

    loop: asyncio.AbstractEventLoop
    links: LinkFaults
    history: History
    connections: set["EmulatedConnection"]


class LinkPipe:
    """One direction of a connection: the bytes that the link delays or holds back, in order.

    Args:
        connection: The connection.
        deliver: Called with the time at which the bytes were sent (s), the bytes and their tag.
        is_return: Whether this is the direction from the server to the proxy.
    """

    def __init__(
        self, connection: "EmulatedConnection", deliver: Callable[[float, bytes, Any], None], is_return: bool
    ) -> None:
        self.connection, self.deliver, self.is_return = connection, deliver, is_return
        self.queue: deque[tuple[float, bytes, Any]] = deque()
        self.free_at, self.timer = 0.0, None

    def enqueue(self, at: float, data: bytes, tag: Any = None) -> None:
        """Take bytes that were sent at a time (s), and deliver them as soon as the link lets them through."""
        link = self.connection.link()
        if link is HEALTHY_LINK and not self.queue:
            self.deliver(at, data, tag)
        else:
            self.queue.append((at, data, tag))
            self.deliver_due()

    def due_at(self, link: LinkState) -> float:
        """Return when the first bytes of the queue have passed the link (s)."""
        at, data, _ = self.queue[0]
        return max(at + link.delay, self.free_at) + (len(data) / link.rate if link.rate else 0.0)

    def deliver_due(self) -> None:
        """Deliver what has passed the link, and schedule the rest unless the link is cut."""
        loop = self.connection.runner.loop
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.queue and not self.connection.closed:
            link = self.connection.link()
            if link.cut_back if self.is_return else link.cut_to:
                return
            due_at = self.due_at(link)
            if due_at > loop.time():
                self.timer = loop.call_at(due_at, self.deliver_due)
                return
            self.free_at = due_at
            self.deliver(*self.queue.popleft())


class EmulatedConnection(asyncio.Protocol):
    """A connection that a proxy has opened to an emulated server.

    Attributes:
        proxy: Name of the proxy; empty until the connection is established.
        closed: Whether the connection is closed or half-closed by the proxy.
    """

    def __init__(self, runner: Runner, server_name: str) -> None:
        self.runner, self.server_name, self.proxy, self.closed = runner, server_name, "", False
        self.from_proxy, self.to_proxy = (
            LinkPipe(self, self.on_bytes, False),
            LinkPipe(self, self.write, True),
        )
        self.transport: Any = None

    def link(self) -> LinkState:
        """Return the present state of the link between the proxy and the server."""
        return self.runner.links.state_of(self.proxy, self.server_name)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Identify the proxy by the local address; abort where it is no proxy's or the link resets."""
        self.transport = transport
        number = proxy_number(transport.get_extra_info("sockname")[0])
        if number is None:
            transport.abort()
            return
        self.proxy = f"p{number}"
        if self.link().reset:
            transport.abort()
            return
        self.runner.connections.add(self)
        self.on_established()

    def data_received(self, data: bytes) -> None:
        """Pass bytes of the proxy to the link."""
        self.from_proxy.enqueue(self.runner.loop.time(), data)

    def send(self, data: bytes, tag: Any = None) -> None:
        """Send bytes to the proxy; `on_written` is called with the tag, if any, once they are written."""
        self.to_proxy.enqueue(self.runner.loop.time(), data, tag)

    def write(self, _at: float, data: bytes, tag: Any) -> None:
        """Write bytes that have passed the link to the socket."""
        if not self.closed and not self.transport.is_closing():
            self.transport.write(data)
            if tag is not None:
                self.on_written(tag)

    def eof_received(self) -> bool:
        """Treat a connection that the proxy has half-closed as closed.

        Otherwise it would count as open until what the server still has to write is written or refused.
        """
        self.connection_lost(None)
        return False

    def connection_lost(self, _reason: Exception | None) -> None:
        """Close the connection once, whether by end of file or by loss."""
        if not self.closed:
            self.closed = True
            self.runner.connections.discard(self)
            self.on_closed()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def on_faults_changed(self) -> None:
        """Apply a change of the faults in force: reset, or deliver what the link now lets through."""
        if self.link().reset:
            self.abort()
        else:
            self.from_proxy.deliver_due()
            self.to_proxy.deliver_due()

    def on_established(self) -> None:
        """Handle a connection that is established; for subclasses."""

    def on_bytes(self, at: float, data: bytes, _tag: Any) -> None:
        """Handle bytes that left the proxy at a time (s) and have passed the link; for subclasses."""

    def on_written(self, tag: Any) -> None:
        """Handle that bytes sent with a tag were written to the socket; for subclasses."""

    def on_closed(self) -> None:
        """Handle the end of the connection; for subclasses."""


@dataclass(frozen=True)
class ReplyFaults:
    """Faults of a cache node's replies.

    Attributes:
        copies: Share of the replies that are sent a second time, if nothing has arrived since.
        copy_delay_s: Time from a reply to its second copy.
        drops: Share of the commands with little time left that get no reply and are not executed.
        drops_below_ms: What little time is.
        breaks: Share of the long replies that a reset breaks off in the middle.
        resets: Share of the deduplicated writes whose connection is reset in place of the reply.
        pauses: Share of the replies that are written in pieces, with pauses between them.
        longest_pause_s: All pauses of such a reply together, at most.
        random_generator: Draws which replies and commands are affected.
    """

    copies: float = 0.0
    copy_delay_s: float = 0.0
    drops: float = 0.0
    drops_below_ms: float = 0.0
    breaks: float = 0.0
    resets: float = 0.0
    random_generator: Random = field(default_factory=lambda: Random(0))
    pauses: float = 0.0
    longest_pause_s: float = 0.0

    def drops_command(self, time_left_ms: float) -> bool:
        """Return whether a command with this time left gets no reply."""
        return time_left_ms < self.drops_below_ms and self.random_generator.random() < self.drops

    def breaks_reply(self, size: int) -> bool:
        """Return whether a reply of a size (bytes) breaks off in the middle."""
        return size > LONG_REPLY_BYTES and self.random_generator.random() < self.breaks

    def draw_pieces(self, reply: bytes) -> list[tuple[float, bytes]]:
        """Return a reply's pieces, each with the time (s) after the first one at which it is written."""
        draw = self.random_generator
        if draw.random() >= self.pauses:
            return [(0.0, reply)]
        head = reply.index(b"\r\n", 4) + 2  # behind the length of the value
        places = [2, head - 1, head, head + 1, len(reply) // 2, len(reply) - 9, len(reply) - 2]
        cuts = sorted(draw.sample(sorted({place for place in places if 0 < place < len(reply)}), 2))
        delays = sorted(draw.uniform(0.0, self.longest_pause_s) for _ in cuts)
        begins = [0, *cuts]
        ends = [*cuts, len(reply)]
        return [
            (delay, reply[begin:end]) for delay, begin, end in zip([0.0, *delays], begins, ends, strict=True)
        ]

    def resets_write(self, method: str) -> bool:
        """Return whether a command's connection is reset in place of its reply."""
        return method == DEDUPLICATED_METHOD and self.random_generator.random() < self.resets


class CacheEmulator:
    """An emulated cache node, which listens on its socket.

    Args:
        runner: The scenario runner.
        name: Name of the endpoint.
        model: What the node does and when.
        value_size: Returns the size (bytes) of a key's value.
        sends_load_reports: Whether answers carry the node's load.
        reply_faults: Faults of its replies.
        sock: The socket of the node that it replaces; None: it gets one of its own.
    """

    def __init__(  # noqa: PLR0913 - parts of one node, passed once
        self,
        runner: Runner,
        name: str,
        model: CacheModel,
        value_size: Callable[[str], int],
        sends_load_reports: bool,
        reply_faults: ReplyFaults | None = None,
        sock: socket.socket | None = None,
    ) -> None:
        self.reply_faults = reply_faults or ReplyFaults()
        self.runner, self.name, self.model, self.value_size, self.sends_load_reports = (
            runner,
            name,
            model,
            value_size,
            sends_load_reports,
        )
        self.read_bytes_per_s: float | None = None  # None: as fast as bytes come
        self.successor: CacheEmulator | None = None  # the node that has this one's address now
        self.sock = loopback_socket(socket.SOCK_STREAM) if sock is None else sock
        self.port = self.sock.getsockname()[1]

    def read_slowly(self, bytes_per_s: float) -> None:
        """Read commands at a rate, with little space in the kernel; called before any connection."""
        self.read_bytes_per_s = bytes_per_s
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_BYTES)

    async def open(self) -> None:
        """Accept connections."""
        await self.runner.loop.create_server(
            lambda: CacheConnection(self.runner, self.latest()), sock=self.sock
        )

    def latest(self) -> "CacheEmulator":
        """Return the node that has this one's address now."""
        return self if self.successor is None else self.successor.latest()


class CacheConnection(EmulatedConnection):
    """A connection to an emulated cache node. Replies are sent in the order of the commands."""

    def __init__(self, runner: Runner, emulator: CacheEmulator) -> None:
        super().__init__(runner, emulator.name)
        self.emulator, self.receive_buffer, self.established_at = emulator, RingBuffer(), None
        self.parser = CommandParser(self.receive_buffer)
        # By index of a send in the history, in order: its reply. None: not ready; empty: being written.
        self.replies_by_send: dict[int, bytes | None] = {}
        self.pieces_received = 0
        self.paused_ids: set[str] = set()  # attempts whose reply has been written in part

    def on_established(self) -> None:
        """Perform the handshake, or abort where the node accepts no more connections."""
        now = self.runner.loop.time()
        self.established_at = self.emulator.model.handshake(now)
        if self.established_at is None:
            self.abort()
        else:
            self.runner.history.connection_events.append(
                UpstreamConnectionEvent(now, self.proxy, self.server_name, True)
            )

    def data_received(self, data: bytes) -> None:
        """Pass bytes of the proxy to the link, and read no more for the time that a slow node takes."""
        if self.emulator.read_bytes_per_s is not None:
            self.transport.pause_reading()
            pause_s = len(data) / self.emulator.read_bytes_per_s
            self.runner.loop.call_later(pause_s, self.resume_reading)
        super().data_received(data)

    def resume_reading(self) -> None:
        """Read on, unless the connection is closed."""
        if not self.closed and not self.transport.is_closing():
            self.transport.resume_reading()

    def on_bytes(self, at: float, data: bytes, _tag: Any) -> None:
        """Execute the commands that are complete; abort the connection after one that is malformed."""
        self.pieces_received += 1
        self.receive_buffer.write(data)
        try:
            while not self.closed and (command := self.parser.read()) is not resp.INCOMPLETE:
                self.execute_command(at, command)
        except (resp.ProtocolError, KeyError, ValueError, IndexError, TypeError):
            self.abort()

    def execute_command(self, at: float, words: list[bytes]) -> None:
        """Record a command that left the proxy at a time (s), execute it, and schedule its reply."""
        now, history = self.runner.loop.time(), self.runner.history
        arguments = dict(pair.split(b"=", 1) for pair in words[3].split(b","))
        name, method, idempotency_key = (
            words[2].decode(),
            arguments[b"c"].decode(),
            arguments.get(b"k", b"").decode(),
        )
        send_index, write = len(history.upstream_sends), words[0] == b"C.SET"
        key = words[1].decode()
        history.upstream_sends.append(
            UpstreamSend(
                at, self.proxy, self.server_name, name, method, idempotency_key, float(arguments[b"d"]), key
            )
        )
        if self.emulator.reply_faults.drops_command(float(arguments[b"d"])):
            history.dropped_commands += 1
            history.send_ended_at[send_index] = now
            return
        self.replies_by_send[send_index] = None
        begins_at = max(now, self.established_at)
        size = self.emulator.value_size(key)
        answer = self.emulator.model.command(begins_at, key, write, size > SMALL_VALUE_BYTES)
        if not answer.executed:
            self.reply(send_index, b"-BUSY\r\n")
            return
        history.executions.append(ServerExecution(begins_at, self.server_name, name, method, idempotency_key))
        if self.emulator.reply_faults.resets_write(method):
            history.reset_writes += 1
            self.runner.loop.call_at(answer.at, self.abort)
            return
        value = b"of " + words[2]
        value += b"." * (0 if write else size - len(value))
        status = (
            b"$%d\r\n%b\r\n" % (len(answer.cache_status), answer.cache_status.encode())
            if answer.cache_status
            else b"$-1\r\n"
        )
        report = self.emulator.model.report(now) if self.emulator.sends_load_reports else None
        load_report = b"$%d\r\n%b\r\n" % (len(report), report) if report else b"$-1\r\n"
        data = b"*3\r\n$%d\r\n%b\r\n%b%b" % (len(value), value, status, load_report)
        self.runner.loop.call_at(answer.at, self.reply, send_index, data)

    def reply(self, send_index: int, data: bytes) -> None:
        """Store the reply of a send, and send all replies that no earlier command delays."""
        if self.closed:
            return
        self.replies_by_send[send_index] = data
        for index, reply in list(self.replies_by_send.items()):
            if reply is None:
                return
            if reply:
                self.replies_by_send[index] = b""  # being written
                attempt_id = self.runner.history.upstream_sends[index].id
                if self.emulator.reply_faults.breaks_reply(len(reply)):
                    self.break_off(attempt_id, reply)
                    return
                pieces = self.emulator.reply_faults.draw_pieces(reply)
                if len(pieces) > 1:
                    self.send_pieces(index, pieces)
                    return
                self.runner.history.whole_replies.add(attempt_id)
                self.send(reply, index + 1)
                self.schedule_copy(reply)

    def send_pieces(self, index: int, pieces: list[tuple[float, bytes]]) -> None:
        """Write the reply of a send in pieces."""
        loop, history = self.runner.loop, self.runner.history
        attempt_id = history.upstream_sends[index].id
        begins_at = loop.time()
        paused = PausedReply(begins_at, begins_at + pieces[-1][0])
        history.paused_replies.setdefault(attempt_id, []).append(paused)
        self.paused_ids.add(attempt_id)
        for delay_s, piece in pieces[:-1]:
            loop.call_at(begins_at + delay_s, self.send, piece)
        loop.call_at(paused.ends_at, self.send_last_piece, index, pieces[-1][1])

    def send_last_piece(self, index: int, piece: bytes) -> None:
        """Write the last piece of the reply of a send."""
        self.paused_ids.discard(self.runner.history.upstream_sends[index].id)
        self.send(piece, index + 1)

    def die(self) -> None:
        """End as the connection of a process that dies: a reply that has begun breaks off."""
        for attempt_id in self.paused_ids:
            del self.runner.history.paused_replies[attempt_id]
            self.runner.history.broken_replies.add(attempt_id)
        self.abort()

    def break_off(self, attempt_id: str, reply: bytes) -> None:
        """Send the first half of a reply, then reset the connection."""
        self.runner.history.broken_replies.add(attempt_id)
        self.send(reply[: len(reply) // 2])
        self.runner.loop.call_later(BREAK_DELAY_S, self.abort)

    def schedule_copy(self, reply: bytes) -> None:
        """Schedule a second copy of some replies."""
        faults = self.emulator.reply_faults
        if faults.copies and faults.random_generator.random() < faults.copies:
            self.runner.loop.call_later(faults.copy_delay_s, self.send_copy, reply, self.pieces_received)

    def send_copy(self, reply: bytes, pieces_received: int) -> None:
        """Send a second copy of a reply, unless something has arrived since or waits for a reply."""
        if not self.closed and not self.replies_by_send and self.pieces_received == pieces_received:
            self.runner.history.second_copies += 1
            self.send(reply)

    def on_written(self, tag: int) -> None:
        """Record that a send is no longer in flight; the tag is its index plus 1."""
        self.replies_by_send.pop(tag - 1, None)
        self.runner.history.send_ended_at[tag - 1] = self.runner.loop.time()

    def on_closed(self) -> None:
        """Record that nothing is in flight any more and that the connection is closed."""
        now = self.runner.loop.time()
        for send_index in self.replies_by_send:
            self.runner.history.send_ended_at[send_index] = now
        if self.established_at is not None:
            self.emulator.model.ended()
            self.runner.history.connection_events.append(
                UpstreamConnectionEvent(now, self.proxy, self.server_name, False)
            )


class DiscoveryEmulator:
    """The emulated discovery service, which each proxy reaches at an address of its own.

    Attributes:
        watches: Watches that have begun.
        documents: Published settings documents, by version.
        down: Whether new connections are aborted.
        silent: Whether connections stay open without any bytes being sent.
        has_agents: Whether each proxy reaches the service through a local agent, which responds at once and
            falls silent while the service is down.
        watch_delay_s: Delay of the beginning of a watch (s).
    """

    def __init__(
        self, runner: Runner, model: DiscoveryModel, cache_ports: Callable[[], dict[str, int]]
    ) -> None:
        self.runner, self.model, self.cache_ports = runner, model, cache_ports
        self.sock = loopback_socket(socket.SOCK_STREAM)
        self.port = self.sock.getsockname()[1]
        self.watches: set[DiscoveryConnection] = set()
        self.documents: list[dict] = []
        self.down = self.silent = False
        self.has_agents, self.watch_delay_s = False, 0.0
        self.send_keepalives()

    async def open(self) -> None:
        """Accept connections."""
        await self.runner.loop.create_server(lambda: DiscoveryConnection(self.runner, self), sock=self.sock)

    def send_keepalives(self) -> None:
        """Send an empty line on all watches, those of the list and those of the settings, periodically."""
        if not self.silent:
            for watch in self.watches:
                watch.send_chunk(b"\n", None)
        self.runner.loop.call_later(KEEPALIVE_INTERVAL_S, self.send_keepalives)

    def encode_list_event(self, proxy: str, message: dict) -> bytes:
        """Return a list event as a line, with the endpoints' addresses as the proxy reaches them."""
        host, cache_ports = proxy_address(int(proxy[1:])), self.cache_ports()
        entries = [
            entry | {"address": f"{host}:{cache_ports[entry['name']]}"} for entry in message["endpoints"]
        ]
        return orjson.dumps(message | {"endpoints": entries}) + b"\n"

    def publish_entries(self, *entries: dict) -> None:
        """Publish changed endpoints on all watches, at once or after the delay of the model."""
        message = {"endpoints": list(entries), "snapshot": False}
        for entry in entries:
            message["index"] = self.model.put(entry)
        self.runner.loop.call_later(self.model.event_delay_s, self.broadcast_list_event, message)

    def broadcast_list_event(self, message: dict) -> None:
        """Send a list event on all watches of the list."""
        for watch in [watch for watch in self.watches if not watch.watches_settings]:
            watch.send_list_event(message)

    def publish_document(self, document: dict) -> None:
        """Store a settings document, and send it on all watches of the settings."""
        self.documents.append(document)
        for watch in [watch for watch in self.watches if watch.watches_settings]:
            watch.send_document(document)

    def hand_out_canary(self, document: dict) -> None:
        """Send a canary document on the watches of the settings that are open; it is not stored."""
        for watch in [watch for watch in self.watches if watch.watches_settings]:
            watch.send_chunk(orjson.dumps(document) + b"\n", None)

    def go_down(self) -> None:
        """Abort all connections and refuse new ones; local agents keep theirs open and send nothing."""
        if self.has_agents:
            self.silent = True
            return
        self.down = True
        for connection in [
            connection for connection in self.runner.connections if connection.server_name == "list"
        ]:
            connection.abort()

    def end_silence(self) -> None:
        """Respond again, first to the requests and watches that wait."""
        self.silent = False
        for connection in [
            connection
            for connection in self.runner.connections
            if isinstance(connection, DiscoveryConnection)
        ]:
            connection.proceed()


class DiscoveryConnection(EmulatedConnection):
    """A connection to the emulated discovery service: a watch, or a document that is published."""

    def __init__(self, runner: Runner, emulator: DiscoveryEmulator) -> None:
        super().__init__(runner, "list")
        self.emulator, self.received, self.from_version, self.watch_begun = emulator, b"", None, False
        self.watches_settings = False  # False: a watch of the endpoint list
        self.withheld: list[dict] = []  # list events that came while the service is silent

    def on_established(self) -> None:
        """Abort while the service is down."""
        if self.emulator.down:
            self.abort()

    def on_bytes(self, at: float, data: bytes, _tag: Any) -> None:
        """Read a POST, or the request of a watch, which is recorded once its headers are complete."""
        self.received += data
        if self.received.startswith(b"POST"):
            self.handle_post()
        elif b"\r\n\r\n" in self.received and self.from_version is None:
            path = self.received.split(b" ")[1].decode()
            since = path.partition("since=")[2].partition("&")[0]
            self.watches_settings = path.startswith("/api/settings")
            self.from_version = int(since) if since.isdigit() else -1
            if not self.watches_settings:
                self.runner.history.discovery_calls.append(DiscoveryCall(at, self.proxy, "asked"))
            self.proceed()

    def handle_post(self) -> None:
        """Accept a settings document that follows the latest one; answer 409 to any other."""
        headers, separator, body = self.received.partition(b"\r\n\r\n")
        size = int(headers.lower().partition(b"content-length:")[2].split(b"\r\n")[0] or 0)
        if separator and len(body) >= size:
            document, latest = orjson.loads(body), self.emulator.documents[-1:]
            accepted = (
                document["after"] == (latest[0]["version"] if latest else 0) and not self.emulator.silent
            )
            if accepted and self.received.split(b" ")[1].endswith(b"/trial"):
                self.emulator.hand_out_canary(document)
            elif accepted:
                self.emulator.publish_document(document)
            status = b"200 OK" if accepted else b"409 Conflict"
            self.send(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status)
            self.transport.close()

    def proceed(self) -> None:
        """Begin a watch that was requested, or send what a watch is owed, unless the service is silent."""
        if self.emulator.silent or self.closed or self.from_version is None:
            return
        if self.watch_begun:
            for message in self.withheld:
                self.send_list_event(message)
            self.withheld.clear()
            return
        now = self.runner.loop.time()
        if self.watches_settings or self.emulator.has_agents:
            self.watch_begun = True
            self.begin_watch()
            return
        begins_at = self.emulator.model.request_watch(now)
        if begins_at is None:
            self.runner.history.discovery_calls.append(DiscoveryCall(now, self.proxy, "refused"))
            retry_after_s = self.emulator.model.retry_after_s
            header = b"Retry-After: %d\r\n" % retry_after_s if retry_after_s is not None else b""
            self.send(b"HTTP/1.1 503 No Room\r\n%bContent-Length: 0\r\n\r\n" % header)
            self.transport.close()
        else:
            self.watch_begun = True
            self.runner.loop.call_at(begins_at + self.emulator.watch_delay_s, self.begin_watch)

    def begin_watch(self) -> None:
        """Send the headers and the first events of a watch."""
        if self.closed:
            return
        if not self.watches_settings:
            self.runner.history.discovery_calls.append(
                DiscoveryCall(self.runner.loop.time(), self.proxy, "begun")
            )
        self.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.emulator.watches.add(self)
        if self.watches_settings:
            for document in self.emulator.documents:
                if document["version"] > self.from_version:
                    self.send_document(document)
            return
        self.send_list_event(self.emulator.model.since(self.from_version if self.from_version >= 0 else None))

    def send_list_event(self, message: dict) -> None:
        """Send a list event, or withhold it while the service is silent."""
        if self.emulator.silent:
            self.withheld.append(message)
            return
        states = tuple((entry["name"], entry["status"]) for entry in message["endpoints"])
        self.send_chunk(self.emulator.encode_list_event(self.proxy, message), (states, message["snapshot"]))

    def send_document(self, document: dict) -> None:
        """Send a settings document, tagged with its version."""
        self.send_chunk(orjson.dumps(document) + b"\n", document["version"])

    def send_chunk(self, data: bytes, tag: Any) -> None:
        """Send a chunk of the response."""
        self.send(b"%x\r\n%b\r\n" % (len(data), data), tag)

    def on_written(self, tag: tuple | int) -> None:
        """Record a settings document (tag: its version) or a list event that was handed to the proxy."""
        if isinstance(tag, int):
            self.runner.history.document_deliveries.append((self.runner.loop.time(), self.proxy, tag))
            return
        self.runner.history.list_events.append(ListEvent(self.runner.loop.time(), self.proxy, *tag))

    def on_closed(self) -> None:
        """Forget the watch."""
        self.emulator.watches.discard(self)
        if self.watch_begun and not self.watches_settings and not self.emulator.has_agents:
            self.emulator.model.ended()


class DatagramRelay:
    """The socket that one proxy sends its datagrams to; they are forwarded over the links to its peers.

    Args:
        runner: The scenario runner.
        number: Number of the proxy.
        relay_of: Returns the relay of a peer, and the port at which the peer receives datagrams.
    """

    def __init__(
        self, runner: Runner, number: int, relay_of: Callable[[int], tuple["DatagramRelay", int]]
    ) -> None:
        self.runner, self.number, self.relay_of = runner, number, relay_of
        self.sock = loopback_socket(socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        self.port = self.sock.getsockname()[1]
        runner.loop.add_reader(self.sock.fileno(), self.receive_datagrams)

    def receive_datagrams(self) -> None:
        """Forward the datagrams that have arrived, a bounded number per call.

        The destination address, which IP_PKTINFO yields, identifies the peer.
        """
        for _ in range(32):
            try:
                data, control_messages, _, _ = self.sock.recvmsg(2048, 64)
            except OSError:
                return
            for _, kind, packet_info in control_messages:
                peer = proxy_number(socket.inet_ntoa(packet_info[8:12])) if kind == IP_PKTINFO else None
                if peer is not None:
                    self.forward(peer, data)

    def forward(self, peer: int, data: bytes) -> None:
        """Record a datagram, and deliver it to a peer after the delay of the link unless it is lost there."""
        links = self.runner.links
        self.runner.history.datagrams.append((self.runner.loop.time(), len(data)))
        link = links.state_of(f"p{self.number}", f"p{peer}")
        if not links.loses_datagram(link):
            self.runner.loop.call_later(link.delay, self.deliver, peer, data)

    def deliver(self, peer: int, data: bytes) -> None:
        """Send a datagram to a peer, from the address at which the peer reaches this proxy."""
        relay, port = self.relay_of(peer)
        packet_info = struct.pack("I4s4s", 0, socket.inet_aton(proxy_address(self.number)), bytes(4))
        with suppress(OSError):
            relay.sock.sendmsg([data], [(socket.IPPROTO_IP, IP_PKTINFO, packet_info)], 0, ("127.0.0.1", port))

    def close(self) -> None:
        """Close the socket."""
        self.runner.loop.remove_reader(self.sock.fileno())
        self.sock.close()
