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
from calicofall.testbed.scenario import SMALL_VALUE_BYTES
from calicofall.testbed.server_models import CacheModel, DiscoveryModel

LOOPBACK = b"lo\0"
IP_PKTINFO = 8
BEAT = 2.0  # s between two empty lines of a watch


def address(number: int) -> str:
    """The loopback address under which proxy `number` sees the others: the stage tells by it who calls."""
    return f"127.{64 + number // 62_500}.{number // 250 % 250}.{number % 250 + 1}"


def number_of(host: str) -> int | None:
    first, second, third, fourth = map(int, host.split("."))
    return (second - 64) * 62_500 + third * 250 + fourth - 1 if first == 127 and second >= 64 else None


def listener(kind: int) -> socket.socket:
    """A socket on all loopback addresses and no others."""
    plug = socket.socket(socket.AF_INET, kind)
    plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with suppress(OSError):  # elsewhere who calls from outside is cut, as the number of an address tells
        plug.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, LOOPBACK)
    plug.bind(("0.0.0.0", 0))
    if kind == socket.SOCK_STREAM:
        plug.listen(1024)
    plug.setblocking(False)
    return plug


class Stage(Protocol):
    """What wires need of the stage."""

    loop: asyncio.AbstractEventLoop
    links: LinkFaults
    history: History
    connections: set["EmulatedConnection"]


class LinkPipe:
    """One direction of a connection: what waits for the link, in order."""

    def __init__(
        self, wire: "EmulatedConnection", hand: Callable[[float, bytes, Any], None], back: bool
    ) -> None:
        self.wire, self.hand, self.back = wire, hand, back
        self.held: deque[tuple[float, bytes, Any]] = deque()
        self.free, self.timer = 0.0, None

    def take(self, at: float, data: bytes, note: Any = None) -> None:
        link = self.wire.link()
        if link is HEALTHY_LINK and not self.held:
            self.hand(at, data, note)
        else:
            self.held.append((at, data, note))
            self.pump()

    def due(self, link: LinkState) -> float:
        at, data, _ = self.held[0]
        return max(at + link.delay, self.free) + (len(data) / link.rate if link.rate else 0.0)

    def pump(self) -> None:
        loop = self.wire.stage.loop
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.held and not self.wire.over:
            link = self.wire.link()
            if link.cut_back if self.back else link.cut_to:
                return
            due = self.due(link)
            if due > loop.time():
                self.timer = loop.call_at(due, self.pump)
                return
            self.free = due
            self.hand(*self.held.popleft())


class EmulatedConnection(asyncio.Protocol):
    """A connection that a proxy has opened to a stand-in."""

    def __init__(self, stage: Stage, other: str) -> None:
        self.stage, self.other, self.proxy, self.over = stage, other, "", False
        self.inward, self.outward = LinkPipe(self, self.took, False), LinkPipe(self, self.wrote, True)
        self.transport: Any = None

    def link(self) -> LinkState:
        return self.stage.links.of(self.proxy, self.other)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        number = number_of(transport.get_extra_info("sockname")[0])
        if number is None:
            transport.abort()
            return
        self.proxy = f"p{number}"
        if self.link().reset:
            transport.abort()
            return
        self.stage.connections.add(self)
        self.made()

    def data_received(self, data: bytes) -> None:
        self.inward.take(self.stage.loop.time(), data)

    def say(self, data: bytes, note: Any = None) -> None:
        self.outward.take(self.stage.loop.time(), data, note)

    def wrote(self, _at: float, data: bytes, note: Any) -> None:
        if not self.over and not self.transport.is_closing():
            self.transport.write(data)
            if note is not None:
                self.departed(note)

    def eof_received(self) -> bool:
        """The proxy has shut it.

        Guards against its passing for open until what the stage has to say on it is written or refused.
        """
        self.connection_lost(None)
        return False

    def connection_lost(self, _reason: Exception | None) -> None:
        if not self.over:
            self.over = True
            self.stage.connections.discard(self)
            self.lost()

    def cut(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def changed(self) -> None:
        """The faults in force are others."""
        if self.link().reset:
            self.cut()
        else:
            self.inward.pump()
            self.outward.pump()

    def made(self) -> None:
        """The connection is up."""

    def took(self, at: float, data: bytes, _note: Any) -> None:
        """Bytes that left the proxy at a time have come."""

    def departed(self, note: Any) -> None:
        """Bytes that were noted are handed to the system."""

    def lost(self) -> None:
        """The connection is over."""


class CacheEmulator:
    """A cache on its socket."""

    def __init__(
        self, stage: Stage, name: str, model: CacheModel, sizes: Callable[[str], int], reports: bool
    ) -> None:
        self.stage, self.name, self.model, self.sizes, self.reports = stage, name, model, sizes, reports
        self.plug = listener(socket.SOCK_STREAM)
        self.port = self.plug.getsockname()[1]

    async def open(self) -> None:
        await self.stage.loop.create_server(lambda: CacheConnection(self.stage, self), sock=self.plug)


class CacheConnection(EmulatedConnection):
    def __init__(self, stage: Stage, stand: CacheEmulator) -> None:
        super().__init__(stage, stand.name)
        self.stand, self.ring, self.up_at = stand, RingBuffer(), None
        self.parser = CommandParser(self.ring)
        self.outs: dict[int, bytes | None] = {}  # places of sends that are out, in order; their replies

    def made(self) -> None:
        now = self.stage.loop.time()
        self.up_at = self.stand.model.handshake(now)
        if self.up_at is None:
            self.cut()
        else:
            self.stage.history.connection_events.append(
                UpstreamConnectionEvent(now, self.proxy, self.other, True)
            )

    def took(self, at: float, data: bytes, _note: Any) -> None:
        self.ring.write(data)
        try:
            while not self.over and (command := self.parser.read()) is not resp.INCOMPLETE:
                self.command(at, command)
        except (resp.ProtocolError, KeyError, ValueError, IndexError, TypeError):
            self.cut()

    def command(self, at: float, parts: list[bytes]) -> None:
        now, records = self.stage.loop.time(), self.stage.history
        pairs = dict(pair.split(b"=", 1) for pair in parts[3].split(b","))
        name, method, mark = parts[2].decode(), pairs[b"c"].decode(), pairs.get(b"k", b"").decode()
        place, write = len(records.upstream_sends), parts[0] == b"C.SET"
        key = parts[1].decode()
        records.upstream_sends.append(
            UpstreamSend(at, self.proxy, self.other, name, method, mark, float(pairs[b"d"]), key)
        )
        self.outs[place] = None
        begins = max(now, self.up_at)
        size = self.stand.sizes(key)
        answer = self.stand.model.command(begins, key, write, size > SMALL_VALUE_BYTES)
        if not answer.ran:
            self.reply(place, b"-BUSY\r\n")
            return
        records.executions.append(ServerExecution(begins, self.other, name, method, mark))
        value = b"of " + parts[2]
        value += b"." * (0 if write else size - len(value))
        note = b"$%d\r\n%b\r\n" % (len(answer.note), answer.note.encode()) if answer.note else b"$-1\r\n"
        report = self.stand.model.report(now) if self.stand.reports else None
        load = b"$%d\r\n%b\r\n" % (len(report), report) if report else b"$-1\r\n"
        data = b"*3\r\n$%d\r\n%b\r\n%b%b" % (len(value), value, note, load)
        self.stage.loop.call_at(answer.at, self.reply, place, data)

    def reply(self, place: int, data: bytes) -> None:
        """Replies go out in the order of the commands."""
        if self.over:
            return
        self.outs[place] = data
        for first, held in list(self.outs.items()):
            if held is None:
                return
            if held:
                self.outs[first] = b""  # on its way
                self.say(held, first + 1)

    def departed(self, note: int) -> None:
        self.outs.pop(note - 1, None)
        self.stage.history.send_ended_at[note - 1] = self.stage.loop.time()

    def lost(self) -> None:
        now = self.stage.loop.time()
        for place in self.outs:
            self.stage.history.send_ended_at[place] = now
        if self.up_at is not None:
            self.stand.model.ended()
            self.stage.history.connection_events.append(
                UpstreamConnectionEvent(now, self.proxy, self.other, False)
            )


class DiscoveryEmulator:
    """The list service on its socket, under an address for each proxy."""

    def __init__(self, stage: Stage, model: DiscoveryModel, ports: Callable[[], dict[str, int]]) -> None:
        self.stage, self.model, self.ports = stage, model, ports
        self.plug = listener(socket.SOCK_STREAM)
        self.port = self.plug.getsockname()[1]
        self.watches: set[DiscoveryConnection] = set()
        self.documents: list[dict] = []  # of the settings, by version
        self.down = self.silent = False
        self.agents, self.slow = False, 0.0  # an agent a proxy; s that a watch takes to begin
        self.beat()

    async def open(self) -> None:
        await self.stage.loop.create_server(lambda: DiscoveryConnection(self.stage, self), sock=self.plug)

    def beat(self) -> None:
        """An empty line to every watch while nothing changes."""
        if not self.silent:
            for watch in self.watches:
                watch.line(b"\n", None)  # also on those on settings
        self.stage.loop.call_later(BEAT, self.beat)

    def listing(self, proxy: str, message: dict) -> bytes:
        host, ports = address(int(proxy[1:])), self.ports()
        entries = [entry | {"address": f"{host}:{ports[entry['name']]}"} for entry in message["endpoints"]]
        return orjson.dumps(message | {"endpoints": entries}) + b"\n"

    def change(self, *entries: dict) -> None:
        """What becomes of caches, told to all watches at once, or late."""
        message = {"endpoints": list(entries), "snapshot": False}
        for entry in entries:
            message["index"] = self.model.put(entry)
        self.stage.loop.call_later(self.model.late, self.tell, message)

    def tell(self, message: dict) -> None:
        for watch in [watch for watch in self.watches if not watch.settings]:
            watch.news(message)

    def publish(self, one: dict) -> None:
        self.documents.append(one)
        for watch in [watch for watch in self.watches if watch.settings]:
            watch.document(one)

    def hand_on(self, one: dict) -> None:
        """A document to be tried: told to the watches that are open, and kept nowhere."""
        for watch in [watch for watch in self.watches if watch.settings]:
            watch.line(orjson.dumps(one) + b"\n", None)

    def fall(self) -> None:
        if self.agents:  # they live on, and have nothing to say
            self.silent = True
            return
        self.down = True
        for wire in [wire for wire in self.stage.connections if wire.other == "list"]:
            wire.cut()

    def speak(self) -> None:
        """Silence is over: who waits is heard."""
        self.silent = False
        for wire in [wire for wire in self.stage.connections if isinstance(wire, DiscoveryConnection)]:
            wire.heed()


class DiscoveryConnection(EmulatedConnection):
    def __init__(self, stage: Stage, stand: DiscoveryEmulator) -> None:
        super().__init__(stage, "list")
        self.stand, self.head, self.wants, self.begun = stand, b"", None, False
        self.settings = False  # a watch on the settings, not on the list
        self.kept: list[dict] = []  # news while the service is silent

    def made(self) -> None:
        if self.stand.down:
            self.cut()

    def took(self, at: float, data: bytes, _note: Any) -> None:
        self.head += data
        if self.head.startswith(b"POST"):
            self.posted()
        elif b"\r\n\r\n" in self.head and self.wants is None:
            path = self.head.split(b" ")[1].decode()
            since = path.partition("since=")[2].partition("&")[0]
            self.settings = path.startswith("/api/settings")
            self.wants = int(since) if since.isdigit() else -1
            if not self.settings:
                self.stage.history.discovery_calls.append(DiscoveryCall(at, self.proxy, "asked"))
            self.heed()

    def posted(self) -> None:
        """A document is published: the one that follows the latest is taken."""
        head, ended, body = self.head.partition(b"\r\n\r\n")
        size = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0] or 0)
        if ended and len(body) >= size:
            one, latest = orjson.loads(body), self.stand.documents[-1:]
            taken = one["after"] == (latest[0]["version"] if latest else 0) and not self.stand.silent
            if taken and self.head.split(b" ")[1].endswith(b"/trial"):
                self.stand.hand_on(one)
            elif taken:
                self.stand.publish(one)
            said = b"200 OK" if taken else b"409 Conflict"
            self.say(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % said)
            self.transport.close()

    def heed(self) -> None:
        if self.stand.silent or self.over or self.wants is None:
            return
        if self.begun:
            for message in self.kept:
                self.news(message)
            self.kept.clear()
            return
        now = self.stage.loop.time()
        if self.settings or self.stand.agents:
            self.begun = True
            self.begin()
            return
        begins = self.stand.model.ask(now)
        if begins is None:
            self.stage.history.discovery_calls.append(DiscoveryCall(now, self.proxy, "refused"))
            after = self.stand.model.after
            said = b"Retry-After: %d\r\n" % after if after is not None else b""
            self.say(b"HTTP/1.1 503 No Room\r\n%bContent-Length: 0\r\n\r\n" % said)
            self.transport.close()
        else:
            self.begun = True
            self.stage.loop.call_at(begins + self.stand.slow, self.begin)

    def begin(self) -> None:
        if self.over:
            return
        if not self.settings:
            self.stage.history.discovery_calls.append(
                DiscoveryCall(self.stage.loop.time(), self.proxy, "begun")
            )
        self.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.stand.watches.add(self)
        if self.settings:
            for one in self.stand.documents:
                if one["version"] > self.wants:
                    self.document(one)
            return
        self.news(self.stand.model.since(self.wants if self.wants >= 0 else None))

    def news(self, message: dict) -> None:
        if self.stand.silent:
            self.kept.append(message)
            return
        told = tuple((entry["name"], entry["status"]) for entry in message["endpoints"])
        self.line(self.stand.listing(self.proxy, message), (told, message["snapshot"]))

    def document(self, one: dict) -> None:
        self.line(orjson.dumps(one) + b"\n", one["version"])

    def line(self, data: bytes, note: Any) -> None:
        self.say(b"%x\r\n%b\r\n" % (len(data), data), note)

    def departed(self, note: tuple | int) -> None:
        if isinstance(note, int):
            self.stage.history.document_deliveries.append((self.stage.loop.time(), self.proxy, note))
            return
        self.stage.history.list_events.append(ListEvent(self.stage.loop.time(), self.proxy, *note))

    def lost(self) -> None:
        self.stand.watches.discard(self)
        if self.begun and not self.settings and not self.stand.agents:
            self.stand.model.ended()


class DatagramRelay:
    """Datagrams between proxies: each sends to the stage, which hands them on over the pair's link."""

    def __init__(self, stage: Stage, number: int, to: Callable[[int], tuple["DatagramRelay", int]]) -> None:
        self.stage, self.number, self.to = stage, number, to
        self.plug = listener(socket.SOCK_DGRAM)
        self.plug.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        self.port = self.plug.getsockname()[1]
        stage.loop.add_reader(self.plug.fileno(), self.come)

    def come(self) -> None:
        for _ in range(32):
            try:
                data, notes, _, _ = self.plug.recvmsg(2048, 64)
            except OSError:
                return
            for _, kind, info in notes:
                peer = number_of(socket.inet_ntoa(info[8:12])) if kind == IP_PKTINFO else None
                if peer is not None:
                    self.pass_on(peer, data)

    def pass_on(self, peer: int, data: bytes) -> None:
        links = self.stage.links
        self.stage.history.datagrams.append((self.stage.loop.time(), len(data)))
        link = links.of(f"p{self.number}", f"p{peer}")
        if not links.lost(link):
            self.stage.loop.call_later(link.delay, self.hand, peer, data)

    def hand(self, peer: int, data: bytes) -> None:
        relay, port = self.to(peer)
        info = struct.pack("I4s4s", 0, socket.inet_aton(address(self.number)), bytes(4))
        with suppress(OSError):
            relay.plug.sendmsg([data], [(socket.IPPROTO_IP, IP_PKTINFO, info)], 0, ("127.0.0.1", port))

    def close(self) -> None:
        self.stage.loop.remove_reader(self.plug.fileno())
        self.plug.close()
