"""Clients that misuse a proxy: they stop half way, send what is no command, read nothing, or leave at once.

Invariants:
    Each connection ends by itself after a time, and what it sends is bounded.
    The close of each client that leaves at once is recorded, and the end of each that is owed an error.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from calicofall.proxy import resp
from calicofall.testbed.clients import Clients
from calicofall.testbed.history import HostileEnd

SEED_OFFSET = 3  # of its random generator from the seed of the scenario, as others have nearer ones
CROWD_INTERVAL_S = 0.0005  # between the clients of a crowd, so that the testbed itself is not late
STAY_S = 4.0
FLOOD_S = 1.5
FLOOD_INTERVAL_S = 0.005  # between two batches
FLOOD_COMMANDS = 50  # in a batch
FLOOD_KINDS = frozenset({"new names", "new keys"})
SMALL_BUFFER_BYTES = 4096
UNREAD_READS = 24  # by a client that reads nothing
DEPARTING_COMMANDS = 1000
CROWD_OF_DEPARTING_DIVISOR = 10  # such a crowd is smaller: each sends many commands
PATIENCE_MS = 1000
LONG_VALUE_BYTES = 100_000
OWED_KINDS = frozenset({"silent", "nested", "many fields", "long fields", "half", "long half"})


class HostileClients:
    """All such clients; the proxies get them in turn.

    Args:
        clients: The other clients, whose ids of attempts are used.
    """

    def __init__(self, clients: Clients) -> None:
        self.clients, self.loop, self.history = clients, clients.loop, clients.history
        self.traffic = clients.scenario.traffic
        self.random_generator = Random(clients.scenario.seed + SEED_OFFSET)
        self.names = 0
        self.payloads: dict[str, Callable[[], bytes]] = {
            "silent": lambda: b"",
            "nested": lambda: b"*32\r\n" + (b"*32\r\n" + b":1\r\n" * 32) * 31,
            "many fields": lambda: b"*32\r\n" + b"$1\r\nx\r\n" * 31,
            "long fields": lambda: b"*32\r\n" + (b"$60000\r\n" + bytes(60_000) + b"\r\n") * 3,
            "half": lambda: self.write_command(60_000)[:30_000],
            "long half": lambda: self.write_command(LONG_VALUE_BYTES)[:60_000],
            "unread": lambda: b"".join(self.read_command() for _ in range(UNREAD_READS)),
            "new names": self.new_names,
            "new keys": self.new_keys,
            "departing": self.departing_batch,
        }

    def start(self) -> None:
        """Begin connections at the rate of the scenario, and all crowds."""
        if self.traffic.hostile_per_s:
            self.clients.start_task(self.begin_connections())
        for at in self.traffic.crowds_at:
            self.loop.call_at(self.clients.started_at + at, self.begin_crowd)

    async def begin_connections(self) -> None:
        """Begin connections at equal intervals, of a kind that is drawn."""
        while True:
            await asyncio.sleep(1.0 / self.traffic.hostile_per_s)
            self.begin(self.random_generator.choice(list(self.payloads)))

    def begin_crowd(self) -> None:
        """Begin as many connections of one kind at once as the scenario states."""
        drawn = self.random_generator.choice(sorted(self.payloads.keys() - FLOOD_KINDS))
        kind = self.traffic.crowd_kind or drawn
        divisor = CROWD_OF_DEPARTING_DIVISOR if kind == "departing" else 1
        for number in range(self.traffic.crowd // divisor):
            self.loop.call_later(number * divisor * CROWD_INTERVAL_S, self.begin, kind)

    def begin(self, kind: str) -> None:
        """Begin one connection to a proxy that is drawn."""
        proxy = self.random_generator.choice(sorted(self.clients.proxy_addresses))
        self.clients.start_task(self.connect(kind, proxy))

    async def connect(self, kind: str, proxy: str) -> None:
        """Connect, send what the kind of client sends, and stay or leave."""
        connection = await self.open(kind, proxy)
        flood_ends_at = self.loop.time() + FLOOD_S
        while kind in FLOOD_KINDS and connection is not None and self.loop.time() < flood_ends_at:
            await asyncio.sleep(FLOOD_INTERVAL_S)
            if connection.transport.is_closing():  # a flood comes again as soon as it is turned away
                connection = await self.open(kind, proxy)
            elif not connection.write_paused:
                connection.transport.write(self.payloads[kind]())
        if connection is not None:
            await asyncio.sleep(STAY_S)
            connection.end()

    async def open(self, kind: str, proxy: str) -> "HostileConnection | None":
        """Return a connection, or None if the proxy takes none."""
        try:
            async with asyncio.timeout(1.0):
                _, connection = await self.loop.create_connection(
                    lambda: HostileConnection(self, kind, proxy), *self.clients.proxy_addresses[proxy]
                )
        except (OSError, TimeoutError):
            return None
        return connection

    # What they send

    def next_id(self, is_departing: bool = False) -> bytes:
        """Return the id of a further attempt, which is not judged as those of other clients."""
        self.clients.attempt_count += 1
        attempt_id = f"{self.clients.attempt_count:016x}"
        self.history.unjudged_ids.add(attempt_id)
        if is_departing:
            self.history.departures[attempt_id] = float("inf")
        return attempt_id.encode()

    def read_command(self) -> bytes:
        """Return a read of a small value."""
        key = b"%016x" % self.random_generator.randint(1, self.traffic.keys)
        return resp.encode_command([b"C.GET", key, self.next_id(), b"c=read,t=shop,d=%d" % PATIENCE_MS])

    def write_command(self, size: int, is_departing: bool = False) -> bytes:
        """Return a deduplicated write."""
        request_id = self.next_id(is_departing)
        fields = b"c=save,t=shop,d=%d,k=%b" % (PATIENCE_MS, request_id)
        return resp.encode_command([b"C.SET", b"1", request_id, fields, bytes(size)])

    def new_names(self) -> bytes:
        """Return small commands with ever new names, none of which is a valid request."""
        commands = []
        for _ in range(FLOOD_COMMANDS):
            self.names += 1
            fields = b"c=name%d,t=tenant%d,d=1" % (self.names, self.names)
            commands.append(resp.encode_command([b"C.GET", b"%016x" % self.names, b"%016x" % 1, fields]))
            commands.append(resp.encode_command([b"PING"]))
        return b"".join(commands)

    def new_keys(self) -> bytes:
        """Return reads of ever new keys, with a deadline that no cache meets."""
        commands = []
        for _ in range(FLOOD_COMMANDS):
            self.names += 1
            key = b"f%015x" % self.names
            commands.append(resp.encode_command([b"C.GET", key, self.next_id(), b"c=read,t=shop,d=1"]))
        return b"".join(commands)

    def departing_batch(self) -> bytes:
        """Return the commands of a client that leaves as soon as it has sent them."""
        return b"".join(self.write_command(20, is_departing=True) for _ in range(DEPARTING_COMMANDS))


class HostileConnection(asyncio.Protocol):
    """The connection of one such client."""

    def __init__(self, owner: HostileClients, kind: str, proxy: str) -> None:
        self.owner, self.kind, self.proxy = owner, kind, proxy
        self.loop = owner.loop
        self.transport: Any = None
        self.connected_at = 0.0
        self.answered_at: float | None = None  # when an error or the end came
        self.sent_ids: list[str] = []
        self.write_paused = False

    def connection_made(self, transport: Any) -> None:
        """Send, and leave at once if the client is one of those."""
        self.transport = transport
        self.connected_at = self.loop.time()
        first_id = self.owner.clients.attempt_count
        if self.kind == "unread":
            transport.pause_reading()
        transport.write(self.owner.payloads[self.kind]())
        if self.kind == "departing":
            last_id = self.owner.clients.attempt_count
            self.sent_ids = [f"{number:016x}" for number in range(first_id + 1, last_id + 1)]
            transport.close()

    def pause_writing(self) -> None:
        """The proxy takes no more for now."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """The proxy takes more."""
        self.write_paused = False

    def data_received(self, data: bytes) -> None:
        """Note an answer."""
        if self.answered_at is None and data:
            self.answered_at = self.loop.time()

    def connection_lost(self, _reason: Exception | None) -> None:
        """Record when the client has left, or what it was owed."""
        now = self.loop.time()
        for attempt_id in self.sent_ids:
            self.owner.history.departures[attempt_id] = now
        self.record(now if self.answered_at is None else self.answered_at)

    def end(self) -> None:
        """End the connection, if the proxy has not."""
        if not self.transport.is_closing():
            self.record(self.answered_at)
            self.kind = "ended"
            self.transport.abort()

    def record(self, ended_at: float | None) -> None:
        """Record when a client that is owed an error or a close got it; None: it did not."""
        if self.kind in OWED_KINDS:
            self.owner.history.hostile_ends.append(
                HostileEnd(self.connected_at, self.proxy, self.kind, ended_at)
            )
