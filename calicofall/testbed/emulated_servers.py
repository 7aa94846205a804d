"""Sockets of the stand-ins, each behind the link that the stage holds.

Owns a connection's bytes on their way through the link. Must never decide what a stand-in does, or lose bytes
that a cut holds back: silence ends with what was held.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

import orjson

from calicofall.proxy import resp
from calicofall.proxy.buffers import RingBuffer
from calicofall.proxy.command_parser import CommandParser
from calicofall.testbed.history import (
    DiscoveryCall,
    History,
    ListEvent,
    ServerExecution,
    UpstreamConnectionEvent,
    UpstreamSend,
)
from calicofall.testbed.network_faults import HEALTHY_LINK, LinkFaults, LinkState
from calicofall.testbed.scenario import SMALL
from calicofall.testbed.server_models import CacheModel, DiscoveryModel

LOOPBACK_DEVICE = b"lo\0"
IP_PKTINFO = 8
KEEPALIVE_INTERVAL_S = 2.0  # s between two empty lines of a watch


def proxy_address(number: int) -> str:
    """The loopback address under which proxy `number` sees the others: the stage tells by it who calls."""
    return f"127.{64 + number // 62_500}.{number // 250 % 250}.{number % 250 + 1}"


def proxy_number(host: str) -> int | None:
    first, second, third, fourth = map(int, host.split("."))
    return (second - 64) * 62_500 + third * 250 + fourth - 1 if first == 127 and second >= 64 else None


def loopback_socket(kind: int) -> socket.socket:
    """A socket on all loopback addresses and no others."""
    sock = socket.socket(socket.AF_INET, kind)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with suppress(OSError):  # elsewhere who calls from outside is cut, as the number of an address tells
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, LOOPBACK_DEVICE)
    sock.bind(("0.0.0.0", 0))
    if kind == socket.SOCK_STREAM:
        sock.listen(1024)
    sock.setblocking(False)
    return sock


class Runner(Protocol):
    """What wires need of the stage."""

    loop: asyncio.AbstractEventLoop
    links: LinkFaults
    records: History
    connections: set["EmulatedConnection"]


class LinkPipe:
    """One direction of a connection: what waits for the link, in order."""

    def __init__(
        self, connection: "EmulatedConnection", deliver: Callable[[float, bytes, Any], None], back: bool
    ) -> None:
        self.connection, self.deliver, self.back = connection, deliver, back
        self.held: deque[tuple[float, bytes, Any]] = deque()
        self.free_at, self.timer = 0.0, None

    def enqueue(self, at: float, data: bytes, note: Any = None) -> None:
        link = self.connection.link()
        if link is HEALTHY_LINK and not self.held:
            self.deliver(at, data, note)
        else:
            self.held.append((at, data, note))
            self.deliver_due()

    def due_at(self, link: LinkState) -> float:
        at, data, _ = self.held[0]
        return max(at + link.delay, self.free_at) + (len(data) / link.rate if link.rate else 0.0)

    def deliver_due(self) -> None:
        loop = self.connection.runner.loop
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.held and not self.connection.closed:
            link = self.connection.link()
            if link.cut_back if self.back else link.cut_to:
                return
            due_at = self.due_at(link)
            if due_at > loop.time():
                self.timer = loop.call_at(due_at, self.deliver_due)
                return
            self.free_at = due_at
            self.deliver(*self.held.popleft())


class EmulatedConnection(asyncio.Protocol):
    """A connection that a proxy has opened to a stand-in."""

    def __init__(self, runner: Runner, server_name: str) -> None:
        self.runner, self.server_name, self.proxy, self.closed = runner, server_name, "", False
        self.from_proxy, self.to_proxy = (
            LinkPipe(self, self.bytes_received, False),
            LinkPipe(self, self.write_bytes, True),
        )
        self.transport: Any = None

    def link(self) -> LinkState:
        return self.runner.links.state_of(self.proxy, self.server_name)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
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
        self.from_proxy.enqueue(self.runner.loop.time(), data)

    def send(self, data: bytes, note: Any = None) -> None:
        self.to_proxy.enqueue(self.runner.loop.time(), data, note)

    def write_bytes(self, _at: float, data: bytes, note: Any) -> None:
        if not self.closed and not self.transport.is_closing():
            self.transport.write(data)
            if note is not None:
                self.on_written(note)

    def eof_received(self) -> bool:
        """The proxy has shut it.

        Guards against its passing for open until what the stage has to say on it is written or refused.
        """
        self.connection_lost(None)
        return False

    def connection_lost(self, _reason: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            self.runner.connections.discard(self)
            self.on_closed()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def on_faults_changed(self) -> None:
        """The faults in force are others."""
        if self.link().reset:
            self.abort()
        else:
            self.from_proxy.deliver_due()
            self.to_proxy.deliver_due()

    def on_established(self) -> None:
        """The connection is up."""

    def bytes_received(self, at: float, data: bytes, _note: Any) -> None:
        """Bytes that left the proxy at a time have come."""

    def on_written(self, note: Any) -> None:
        """Bytes that were noted are handed to the system."""

    def on_closed(self) -> None:
        """The connection is over."""


class CacheEmulator:
    """A cache on its socket."""

    def __init__(
        self,
        runner: Runner,
        name: str,
        model: CacheModel,
        value_size: Callable[[str], int],
        sends_load_reports: bool,
    ) -> None:
        self.runner, self.name, self.model, self.value_size, self.sends_load_reports = (
            runner,
            name,
            model,
            value_size,
            sends_load_reports,
        )
        self.sock = loopback_socket(socket.SOCK_STREAM)
        self.port = self.sock.getsockname()[1]

    async def open(self) -> None:
        await self.runner.loop.create_server(lambda: CacheConnection(self.runner, self), sock=self.sock)


class CacheConnection(EmulatedConnection):
    def __init__(self, runner: Runner, emulator: CacheEmulator) -> None:
        super().__init__(runner, emulator.name)
        self.emulator, self.receive_buffer, self.established_at = emulator, RingBuffer(), None
        self.parser = CommandParser(self.receive_buffer)
        self.replies_by_send: dict[
            int, bytes | None
        ] = {}  # places of sends that are out, in order; their replies

    def on_established(self) -> None:
        now = self.runner.loop.time()
        self.established_at = self.emulator.model.handshake(now)
        if self.established_at is None:
            self.abort()
        else:
            self.runner.records.hands.append(UpstreamConnectionEvent(now, self.proxy, self.server_name, True))

    def bytes_received(self, at: float, data: bytes, _note: Any) -> None:
        self.receive_buffer.write(data)
        try:
            while not self.closed and (command := self.parser.read()) is not resp.INCOMPLETE:
                self.command(at, command)
        except (resp.ProtocolError, KeyError, ValueError, IndexError, TypeError):
            self.abort()

    def command(self, at: float, parts: list[bytes]) -> None:
        now, records = self.runner.loop.time(), self.runner.records
        arguments = dict(pair.split(b"=", 1) for pair in parts[3].split(b","))
        name, method, idempotency_key = (
            parts[2].decode(),
            arguments[b"c"].decode(),
            arguments.get(b"k", b"").decode(),
        )
        send_index, write = len(records.sends), parts[0] == b"C.SET"
        key = parts[1].decode()
        records.sends.append(
            UpstreamSend(
                at, self.proxy, self.server_name, name, method, idempotency_key, float(arguments[b"d"]), key
            )
        )
        self.replies_by_send[send_index] = None
        begins = max(now, self.established_at)
        size = self.emulator.value_size(key)
        answer = self.emulator.model.command(begins, key, write, size > SMALL)
        if not answer.executed:
            self.reply(send_index, b"-BUSY\r\n")
            return
        records.runs.append(ServerExecution(begins, self.server_name, name, method, idempotency_key))
        value = b"of " + parts[2]
        value += b"." * (0 if write else size - len(value))
        note = (
            b"$%d\r\n%b\r\n" % (len(answer.cache_status), answer.cache_status.encode())
            if answer.cache_status
            else b"$-1\r\n"
        )
        report = self.emulator.model.report(now) if self.emulator.sends_load_reports else None
        load = b"$%d\r\n%b\r\n" % (len(report), report) if report else b"$-1\r\n"
        data = b"*3\r\n$%d\r\n%b\r\n%b%b" % (len(value), value, note, load)
        self.runner.loop.call_at(answer.at, self.reply, send_index, data)

    def reply(self, send_index: int, data: bytes) -> None:
        """Replies go out in the order of the commands."""
        if self.closed:
            return
        self.replies_by_send[send_index] = data
        for first, held in list(self.replies_by_send.items()):
            if held is None:
                return
            if held:
                self.replies_by_send[first] = b""  # on its way
                self.send(held, first + 1)

    def on_written(self, note: int) -> None:
        self.replies_by_send.pop(note - 1, None)
        self.runner.records.outs[note - 1] = self.runner.loop.time()

    def on_closed(self) -> None:
        now = self.runner.loop.time()
        for send_index in self.replies_by_send:
            self.runner.records.outs[send_index] = now
        if self.established_at is not None:
            self.emulator.model.ended()
            self.runner.records.hands.append(
                UpstreamConnectionEvent(now, self.proxy, self.server_name, False)
            )


class DiscoveryEmulator:
    """The list service on its socket, under an address for each proxy."""

    def __init__(
        self, runner: Runner, model: DiscoveryModel, cache_ports: Callable[[], dict[str, int]]
    ) -> None:
        self.runner, self.model, self.cache_ports = runner, model, cache_ports
        self.sock = loopback_socket(socket.SOCK_STREAM)
        self.port = self.sock.getsockname()[1]
        self.watches: set[DiscoveryConnection] = set()
        self.documents: list[dict] = []  # of the settings, by version
        self.down = self.silent = False
        self.has_agents, self.watch_delay_s = False, 0.0  # an agent a proxy; s that a watch takes to begin
        self.send_keepalives()

    async def open(self) -> None:
        await self.runner.loop.create_server(lambda: DiscoveryConnection(self.runner, self), sock=self.sock)

    def send_keepalives(self) -> None:
        """An empty line to every watch while nothing changes."""
        if not self.silent:
            for watch in self.watches:
                watch.send_chunk(b"\n", None)  # also on those on settings
        self.runner.loop.call_later(KEEPALIVE_INTERVAL_S, self.send_keepalives)

    def encode_list_event(self, proxy: str, message: dict) -> bytes:
        host, cache_ports = proxy_address(int(proxy[1:])), self.cache_ports()
        entries = [
            entry | {"address": f"{host}:{cache_ports[entry['name']]}"} for entry in message["endpoints"]
        ]
        return orjson.dumps(message | {"endpoints": entries}) + b"\n"

    def publish_entries(self, *entries: dict) -> None:
        """What becomes of caches, told to all watches at once, or late."""
        message = {"endpoints": list(entries), "snapshot": False}
        for entry in entries:
            message["index"] = self.model.put(entry)
        self.runner.loop.call_later(self.model.event_delay_s, self.broadcast_list_event, message)

    def broadcast_list_event(self, message: dict) -> None:
        for watch in [watch for watch in self.watches if not watch.watches_settings]:
            watch.send_list_event(message)

    def publish_document(self, document: dict) -> None:
        self.documents.append(document)
        for watch in [watch for watch in self.watches if watch.watches_settings]:
            watch.send_document(document)

    def hand_out_canary(self, document: dict) -> None:
        """A document to be tried: told to the watches that are open, and kept nowhere."""
        for watch in [watch for watch in self.watches if watch.watches_settings]:
            watch.send_chunk(orjson.dumps(document) + b"\n", None)

    def go_down(self) -> None:
        if self.has_agents:  # they live on, and have nothing to say
            self.silent = True
            return
        self.down = True
        for connection in [
            connection for connection in self.runner.connections if connection.server_name == "list"
        ]:
            connection.abort()

    def end_silence(self) -> None:
        """Silence is over: who waits is heard."""
        self.silent = False
        for connection in [
            connection
            for connection in self.runner.connections
            if isinstance(connection, DiscoveryConnection)
        ]:
            connection.proceed()


class DiscoveryConnection(EmulatedConnection):
    def __init__(self, runner: Runner, emulator: DiscoveryEmulator) -> None:
        super().__init__(runner, "list")
        self.emulator, self.received, self.from_version, self.watch_begun = emulator, b"", None, False
        self.watches_settings = False  # a watch on the settings, not on the list
        self.withheld: list[dict] = []  # news while the service is silent

    def on_established(self) -> None:
        if self.emulator.down:
            self.abort()

    def bytes_received(self, at: float, data: bytes, _note: Any) -> None:
        self.received += data
        if self.received.startswith(b"POST"):
            self.handle_post()
        elif b"\r\n\r\n" in self.received and self.from_version is None:
            path = self.received.split(b" ")[1].decode()
            since = path.partition("since=")[2].partition("&")[0]
            self.watches_settings = path.startswith("/api/settings")
            self.from_version = int(since) if since.isdigit() else -1
            if not self.watches_settings:
                self.runner.records.asked.append(DiscoveryCall(at, self.proxy, "asked"))
            self.proceed()

    def handle_post(self) -> None:
        """A document is published: the one that follows the latest is taken."""
        received, ended, body = self.received.partition(b"\r\n\r\n")
        size = int(received.lower().partition(b"content-length:")[2].split(b"\r\n")[0] or 0)
        if ended and len(body) >= size:
            document, latest = orjson.loads(body), self.emulator.documents[-1:]
            taken = document["after"] == (latest[0]["version"] if latest else 0) and not self.emulator.silent
            if taken and self.received.split(b" ")[1].endswith(b"/trial"):
                self.emulator.hand_out_canary(document)
            elif taken:
                self.emulator.publish_document(document)
            status_line = b"200 OK" if taken else b"409 Conflict"
            self.send(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status_line)
            self.transport.close()

    def proceed(self) -> None:
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
        begins = self.emulator.model.request_watch(now)
        if begins is None:
            self.runner.records.asked.append(DiscoveryCall(now, self.proxy, "refused"))
            after = self.emulator.model.retry_after_s
            status_line = b"Retry-After: %d\r\n" % after if after is not None else b""
            self.send(b"HTTP/1.1 503 No Room\r\n%bContent-Length: 0\r\n\r\n" % status_line)
            self.transport.close()
        else:
            self.watch_begun = True
            self.runner.loop.call_at(begins + self.emulator.watch_delay_s, self.begin_watch)

    def begin_watch(self) -> None:
        if self.closed:
            return
        if not self.watches_settings:
            self.runner.records.asked.append(DiscoveryCall(self.runner.loop.time(), self.proxy, "begun"))
        self.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.emulator.watches.add(self)
        if self.watches_settings:
            for document in self.emulator.documents:
                if document["version"] > self.from_version:
                    self.send_document(document)
            return
        self.send_list_event(self.emulator.model.since(self.from_version if self.from_version >= 0 else None))

    def send_list_event(self, message: dict) -> None:
        if self.emulator.silent:
            self.withheld.append(message)
            return
        states = tuple((entry["name"], entry["status"]) for entry in message["endpoints"])
        self.send_chunk(self.emulator.encode_list_event(self.proxy, message), (states, message["snapshot"]))

    def send_document(self, document: dict) -> None:
        self.send_chunk(orjson.dumps(document) + b"\n", document["version"])

    def send_chunk(self, data: bytes, note: Any) -> None:
        self.send(b"%x\r\n%b\r\n" % (len(data), data), note)

    def on_written(self, note: tuple | int) -> None:
        if isinstance(note, int):
            self.runner.records.documents.append((self.runner.loop.time(), self.proxy, note))
            return
        self.runner.records.told.append(ListEvent(self.runner.loop.time(), self.proxy, *note))

    def on_closed(self) -> None:
        self.emulator.watches.discard(self)
        if self.watch_begun and not self.watches_settings and not self.emulator.has_agents:
            self.emulator.model.ended()


class DatagramRelay:
    """Datagrams between proxies: each sends to the stage, which hands them on over the pair's link."""

    def __init__(self, runner: Runner, number: int, to: Callable[[int], tuple["DatagramRelay", int]]) -> None:
        self.runner, self.number, self.to = runner, number, to
        self.sock = loopback_socket(socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        self.port = self.sock.getsockname()[1]
        runner.loop.add_reader(self.sock.fileno(), self.receive_datagrams)

    def receive_datagrams(self) -> None:
        for _ in range(32):
            try:
                data, notes, _, _ = self.sock.recvmsg(2048, 64)
            except OSError:
                return
            for _, kind, info in notes:
                peer = proxy_number(socket.inet_ntoa(info[8:12])) if kind == IP_PKTINFO else None
                if peer is not None:
                    self.forward(peer, data)

    def forward(self, peer: int, data: bytes) -> None:
        links = self.runner.links
        self.runner.records.datagrams.append((self.runner.loop.time(), len(data)))
        link = links.state_of(f"p{self.number}", f"p{peer}")
        if not links.loses_datagram(link):
            self.runner.loop.call_later(link.delay, self.deliver, peer, data)

    def deliver(self, peer: int, data: bytes) -> None:
        relay, port = self.to(peer)
        info = struct.pack("I4s4s", 0, socket.inet_aton(proxy_address(self.number)), bytes(4))
        with suppress(OSError):
            relay.sock.sendmsg([data], [(socket.IPPROTO_IP, IP_PKTINFO, info)], 0, ("127.0.0.1", port))

    def close(self) -> None:
        self.runner.loop.remove_reader(self.sock.fileno())
        self.sock.close()
