"""Clients that send many reads at once on a connection and read the answers slowly.

Invariants:
    Each read of a batch ends with one recorded answer; those that the end of the connection leaves without
    one are recorded as closed.
"""

import asyncio
from typing import Any

from calicofall.proxy import resp
from calicofall.proxy.buffers import RingBuffer
from calicofall.proxy.command_parser import CommandParser
from calicofall.testbed.clients import Clients
from calicofall.testbed.history import ClientAnswer, ClientAttempt

BATCH_DEADLINE_S = 1.5  # of each read
LARGE_SHARE = 0.2  # of the reads of a batch, the first ones


class BatchClients:
    """All clients that send batches; the proxies get batches in turn.

    Args:
        clients: The other clients, whose load balancer and ids of attempts are used.
    """

    def __init__(self, clients: Clients) -> None:
        self.clients, self.loop, self.history = clients, clients.loop, clients.history
        self.traffic = clients.scenario.traffic
        self.batch_count = 0

    def start(self) -> None:
        """Send batches at the rate of the scenario."""
        if self.traffic.batches_per_s:
            self.clients.start_task(self.send_batches())

    async def send_batches(self) -> None:
        """Begin batches at equal intervals, each at the next available proxy."""
        while True:
            await asyncio.sleep(1.0 / self.traffic.batches_per_s)
            proxies = sorted(self.clients.available_proxies)
            if proxies:
                self.batch_count += 1
                proxy = proxies[self.batch_count % len(proxies)]
                self.clients.start_task(self.send_batch(self.batch_count, proxy))

    async def send_batch(self, number: int, proxy: str) -> None:
        """Open a connection and send a batch of reads on it."""
        try:
            _, connection = await self.loop.create_connection(
                lambda: BatchConnection(self, number, proxy), *self.clients.proxy_addresses[proxy]
            )
        except OSError:
            return
        connection.send_reads(self.draw_keys())

    def draw_keys(self) -> list[str]:
        """Return the keys of a batch: those of large values, if any have one, before those of small ones."""
        random_generator, traffic = self.clients.random_generator, self.traffic
        large_keys = int(traffic.large * traffic.keys)
        large_count = round(LARGE_SHARE * traffic.batch) if large_keys else 0
        ranks = [random_generator.randint(1, large_keys) for _ in range(large_count)]
        ranks += [
            random_generator.randint(large_keys + 1, traffic.keys) for _ in range(traffic.batch - large_count)
        ]
        return [f"{rank:016x}" for rank in ranks]


class BatchConnection(asyncio.Protocol):
    """The connection of one batch."""

    def __init__(self, batch_clients: BatchClients, number: int, proxy: str) -> None:
        self.batch_clients, self.number, self.proxy = batch_clients, number, proxy
        self.loop, self.history = batch_clients.loop, batch_clients.history
        self.receive_buffer = RingBuffer()
        self.parser = CommandParser(self.receive_buffer)
        self.transport: Any = None
        self.awaited_ids: list[str] = []

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def send_reads(self, keys: list[str]) -> None:
        """Send a read of each key at once."""
        clients, commands = self.batch_clients.clients, []
        fields = f"c=read,t=shop,d={BATCH_DEADLINE_S * 1000.0:.0f}".encode()
        for key in keys:
            clients.attempt_count += 1
            attempt_id = f"{clients.attempt_count:016x}"
            self.awaited_ids.append(attempt_id)
            self.history.client_attempts.append(
                ClientAttempt(self.loop.time(), self.proxy, attempt_id, "read", BATCH_DEADLINE_S, self.number)
            )
            commands.append(resp.encode_command([b"C.GET", key.encode(), attempt_id.encode(), fields]))
        self.transport.write(b"".join(commands))

    def data_received(self, data: bytes) -> None:
        """Record the answers that are complete, and read no more for the time that a slow client takes."""
        self.transport.pause_reading()
        self.loop.call_later(len(data) / self.batch_clients.traffic.batch_read_per_s, self.resume_reading)
        self.receive_buffer.write(data)
        try:
            while (value := self.parser.read()) is not resp.INCOMPLETE:
                self.on_answer(value)
        except resp.ProtocolError:
            self.transport.abort()

    def resume_reading(self) -> None:
        """Read on, unless the connection is closed."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def on_answer(self, value: Any) -> None:
        """Record the answer to the first read that awaits one."""
        if not self.awaited_ids:
            self.record("", "unowed")
            return
        attempt_id = self.awaited_ids.pop(0)
        if isinstance(value, resp.ErrorReply):
            self.record(attempt_id, "exhausted" if value.startswith(b"BUSY") else "errored")
        elif isinstance(value, bytes) and value[:19] == b"of " + attempt_id.encode():
            self.record(attempt_id, "completed")
        else:
            self.record(attempt_id, "another's")
        if not self.awaited_ids:
            self.transport.close()

    def connection_lost(self, _reason: Exception | None) -> None:
        """Record all reads that have no answer as closed."""
        for attempt_id in self.awaited_ids:
            self.record(attempt_id, "closed")
        self.awaited_ids.clear()

    def record(self, attempt_id: str, kind: str) -> None:
        """Record the end of a read."""
        self.history.client_answers.append(ClientAnswer(self.loop.time(), self.proxy, attempt_id, kind))
