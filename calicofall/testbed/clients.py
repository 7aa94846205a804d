"""Clients behind a load balancer: an open loop of requests, drawn ahead and timed from the intended moment.

The load balancer knows nothing of a proxy but its answers to PING.

Invariants:
    No request waits for an earlier one to complete.
"""

import asyncio
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable
from itertools import accumulate
from pathlib import Path
from random import Random
from typing import Any

import orjson

from calicofall.proxy import resp
from calicofall.proxy.buffers import RingBuffer
from calicofall.proxy.command_parser import CommandParser
from calicofall.testbed.history import ClientAnswer, ClientAttempt, ClientRequest, History
from calicofall.testbed.scenario import SMALL_VALUE_BYTES, Scenario, expand_group

RECONNECT_DELAY_S = 0.1  # until a client that has found no proxy tries again
HOT_KEY_RANK = 0  # rank of the key that becomes hot
PING_INTERVAL_S = 1.0  # between two pings of a proxy that is available


class TrafficPlan:
    """All requests of a scenario, drawn ahead or read from a record of traffic.

    Attributes:
        requests: The intended time (s since the start of the run), method, key and tenant of each.
    """

    def __init__(self, scenario: Scenario) -> None:
        traffic, random_generator = scenario.traffic, Random(scenario.seed)
        self.random_generator = Random(scenario.seed + 1)
        cumulative_key_weights = list(
            accumulate(1.0 / (rank + 1) ** traffic.skew for rank in range(traffic.keys))
        )
        bursts = [(e.at, e.until or scenario.seconds, e.amount) for e in scenario.event if e.do == "burst"]
        self.requests: list[tuple[float, str, str, str]] = []
        # A generator of its own, so that scenarios without a second tenant draw the same numbers as before.
        second_generator = Random(scenario.seed + 2)
        at = traffic.begins
        if traffic.record is not None:
            self.requests = [
                (at + begin, method, key, tenant)
                for begin, method, key, tenant in orjson.loads(Path(traffic.record).read_bytes())
                if at + begin < scenario.seconds
            ]
            return
        while True:
            rate = traffic.per_s
            for begin, end, factor in bursts:
                rate *= factor if begin <= at < end else 1.0
            at += random_generator.expovariate(rate)
            if at >= scenario.seconds:
                break
            key = bisect_left(cumulative_key_weights, random_generator.random() * cumulative_key_weights[-1])
            if traffic.hot and scenario.hot_key_active(at) and second_generator.random() < traffic.hot:
                key = HOT_KEY_RANK
            kind = random_generator.random()
            method = (
                "order"
                if kind < traffic.orders
                else "save"
                if kind < traffic.orders + traffic.writes
                else "read"
            )
            tenant = "bulk" if traffic.bulk and second_generator.random() < traffic.bulk else "shop"
            self.requests.append((at, method, f"{key + 1:016x}", tenant))


class ClientConnection(asyncio.Protocol):
    """A client's connection to a proxy: one command at a time.

    Attributes:
        on_answer: Called with the connection and the answer that is awaited; None: no answer is awaited.
        awaiting_first_byte: Whether no byte has come since the last command was sent.
    """

    def __init__(self, clients: "Clients", proxy: str) -> None:
        self.clients, self.proxy, self.receive_buffer = clients, proxy, RingBuffer()
        self.parser, self.transport, self.commands_sent = CommandParser(self.receive_buffer), None, 0
        self.on_answer: Callable | None = None
        self.closed, self.awaiting_first_byte = False, True

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def send(self, data: bytes, on_answer: Callable) -> None:
        """Send a command; `on_answer` is called with its answer, or with None if the connection is lost."""
        self.on_answer, self.awaiting_first_byte = on_answer, True
        self.commands_sent += 1
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Hand on a complete answer, and record one that no command awaits."""
        self.awaiting_first_byte = False
        self.receive_buffer.write(data)
        try:
            while (value := self.parser.read()) is not resp.INCOMPLETE:
                if self.on_answer is None:
                    self.clients.record_answer(self.proxy, "", "unowed")
                    continue
                on_answer, self.on_answer = self.on_answer, None
                on_answer(self, value)
        except resp.ProtocolError:
            self.transport.abort()

    def eof_received(self) -> bool:
        """Close the connection."""
        return False

    def connection_lost(self, _reason: Exception | None) -> None:
        """Remove the connection from the idle ones, and report an awaited answer as lost."""
        self.closed = True
        if self in (idle := self.clients.idle[self.proxy]):
            idle.remove(self)
        if self.on_answer is not None:
            on_answer, self.on_answer = self.on_answer, None
            on_answer(self, None)


class Clients:
    """All clients of a run, and the load balancer in front of the proxies.

    Attributes:
        available_proxies: Proxies to which the load balancer sends clients.
        first_tenant_proxies: The only proxies that clients of the first tenant use; None: all.
        begun_count: Requests that have begun.
        completed_count: Requests that have completed.
        unavailable_ping_interval_s: Time between two pings of a proxy that is not available (s).
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        scenario: Scenario,
        history: History,
        proxy_addresses: dict[str, tuple[str, int]],
    ) -> None:
        self.loop, self.scenario, self.history, self.proxy_addresses = (
            loop,
            scenario,
            history,
            proxy_addresses,
        )
        self.traffic_plan = TrafficPlan(scenario)
        self.random_generator, self.attempt_count = self.traffic_plan.random_generator, 0
        self.available_proxies: list[str] = []
        self.idle: dict[str, list[ClientConnection]] = defaultdict(list)
        fleet, group = scenario.fleet, scenario.traffic.through
        self.first_tenant_proxies: frozenset[str] | None = group and expand_group(
            group, fleet.proxies, fleet.caches, fleet.zones
        )
        self.tasks: set[asyncio.Task] = set()
        self.completed_count = self.begun_count = 0
        self.unavailable_ping_interval_s = max(0.1, len(proxy_addresses) / 1000.0)

    def value_size(self, key: str) -> int:
        """Return the size of a key's value (bytes)."""
        return self.scenario.traffic.large_bytes if self.scenario.has_large_value(key) else SMALL_VALUE_BYTES

    def start(self, started_at: float) -> None:
        """Start pings and traffic; `started_at`: start of the run on the loop's clock (s)."""
        self.started_at = started_at
        for proxy in self.proxy_addresses:
            self.start_task(self.monitor_proxy(proxy))
        self.start_task(self.send_traffic())

    def start_task(self, coroutine: Any) -> None:
        """Run a coroutine as a task that is cancelled at the end of the run."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def record_answer(self, proxy: str, attempt_id: str, kind: str) -> None:
        """Record the end of an attempt by its id; empty: no attempt awaited it."""
        self.history.client_answers.append(ClientAnswer(self.loop.time(), proxy, attempt_id, kind))

    # Load balancer

    async def monitor_proxy(self, proxy: str) -> None:
        """Ping a proxy periodically, and keep it among the available ones while it answers PONG.

        An error reply makes it unavailable at once; no answer does so only after the scenario's `notices_s`.
        """
        connection, unresponsive_since = None, None
        while True:
            pong = None
            try:
                if connection is None or connection.closed:
                    _, connection = await self.loop.create_connection(
                        lambda: ClientConnection(self, proxy), *self.proxy_addresses[proxy]
                    )
                answer: asyncio.Future = self.loop.create_future()
                connection.send(
                    b"*1\r\n$4\r\nPING\r\n",
                    lambda _, value, answer=answer: answer.done() or answer.set_result(value),
                )
                async with asyncio.timeout(1.0):
                    pong = await answer
            except (OSError, TimeoutError):
                if connection is not None and connection.transport is not None:
                    connection.transport.abort()
                connection = None
            now = self.loop.time()
            if isinstance(pong, resp.SimpleString) and pong == b"PONG":
                unresponsive_since = None
                if proxy not in self.available_proxies:
                    self.history.proxy_ready_events.append((now, proxy))
                    self.available_proxies.append(proxy)
            elif proxy in self.available_proxies:
                unresponsive_since = unresponsive_since or now
                if (
                    isinstance(pong, resp.ErrorReply)
                    or now - unresponsive_since >= self.scenario.traffic.notices_s
                ):
                    self.available_proxies.remove(proxy)
                    unresponsive_since = None
            await asyncio.sleep(
                PING_INTERVAL_S
                if proxy in self.available_proxies and unresponsive_since is None
                else self.unavailable_ping_interval_s
            )

    # Clients

    async def send_traffic(self) -> None:
        """Begin each request of the plan at its intended moment."""
        for at, method, key, tenant in self.traffic_plan.requests:
            wait_s = self.started_at + at - self.loop.time()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            self.begun_count += 1
            self.start_task(self.run_request(self.started_at + at, method, key, tenant))

    async def run_request(self, at: float, method: str, key: str, tenant: str) -> None:
        """Send a request intended at a time (s), with all its attempts, and record it.

        Rejections are retried after the delay that the proxy asks for, and attempts whose connection closed
        before any answer are retried at once.
        """
        traffic = self.scenario.traffic
        is_hurried = traffic.hurried and self.random_generator.random() < traffic.hurried
        deadline, idempotency_key = (
            at + (traffic.hurried_ms if is_hurried else traffic.hard_ms) / 1000.0,
            f"{self.random_generator.getrandbits(64):016x}",
        )
        completed_at, attempts, last_attempt_id = None, 0, ""
        while attempts <= traffic.repeats and (remaining_s := deadline - self.loop.time()) > 0.02:
            candidates = (
                self.available_proxies
                if tenant != "shop" or not self.first_tenant_proxies
                else [proxy for proxy in self.available_proxies if proxy in self.first_tenant_proxies]
            )
            proxy = self.random_generator.choice(candidates) if candidates else None
            if traffic.keeps and self.random_generator.random() < traffic.keeps:
                proxy = self.left_proxy() or proxy
            connection = await self.connect(proxy) if proxy else None
            if connection is None:
                await asyncio.sleep(min(RECONNECT_DELAY_S, remaining_s))
                continue
            attempts += 1
            remaining_s = max(0.02, deadline - self.loop.time())
            last_attempt_id = f"{self.attempt_count + 1:016x}"
            kind, wait_ms = await self.attempt(connection, method, key, idempotency_key, tenant, remaining_s)
            if kind == "completed":
                completed_at = self.loop.time()
                self.completed_count += 1
                break
            if kind == "exhausted":
                await asyncio.sleep(min(wait_ms / 1000.0, max(0.0, deadline - self.loop.time())))
            elif kind != "crossed":
                break
        self.history.client_requests.append(ClientRequest(at, method, completed_at, tenant, last_attempt_id))

    def left_proxy(self) -> str | None:
        """Return a proxy that is not available and to which a connection is open, if there is any."""
        left = [proxy for proxy, idle in self.idle.items() if idle and proxy not in self.available_proxies]
        return self.random_generator.choice(sorted(left)) if left else None

    async def connect(self, proxy: str) -> ClientConnection | None:
        """Return an idle connection or a new one; None: the proxy does not accept any."""
        while self.idle[proxy]:
            connection = self.idle[proxy].pop()
            if not connection.closed and not connection.transport.is_closing():
                return connection
        try:
            async with asyncio.timeout(0.5):
                _, connection = await self.loop.create_connection(
                    lambda: ClientConnection(self, proxy), *self.proxy_addresses[proxy]
                )
        except (OSError, TimeoutError):
            return None
        return connection

    async def attempt(
        self,
        connection: ClientConnection,
        method: str,
        key: str,
        idempotency_key: str,
        tenant: str,
        remaining_s: float,
    ) -> tuple[str, float]:
        """Send one attempt, and return the kind of its end and the delay that a rejection asks for (ms).

        `remaining_s` is the time until the request's deadline (s); an answer is awaited for 0.5 s longer.
        """
        self.attempt_count += 1
        attempt_id = f"{self.attempt_count:016x}"
        arguments = f"c={method},t={tenant},d={remaining_s * 1000.0:.0f}" + (
            f",k={idempotency_key}" if method != "read" else ""
        )
        command = [
            b"C.GET" if method == "read" else b"C.SET",
            key.encode(),
            attempt_id.encode(),
            arguments.encode(),
        ]
        if method != "read":
            command.append(b"w" * self.scenario.traffic.write_bytes)
        answer: asyncio.Future = self.loop.create_future()
        self.history.client_attempts.append(
            ClientAttempt(self.loop.time(), connection.proxy, attempt_id, method, remaining_s)
        )
        timer = self.loop.call_later(remaining_s + 0.5, self.time_out, answer)

        def on_answer(connection: ClientConnection, value: Any) -> None:
            kind, wait_ms = self.classify_answer(connection, attempt_id, value)
            if not answer.done():
                answer.set_result((kind, wait_ms))
                self.record_answer(connection.proxy, attempt_id, kind)
            if value is not None and not connection.closed:
                self.idle[connection.proxy].append(connection)

        connection.send(resp.encode_command(command), on_answer)
        kind, wait_ms = await answer
        timer.cancel()
        if kind == "none":
            self.record_answer(connection.proxy, attempt_id, kind)
            connection.transport.abort()
        return kind, wait_ms

    @staticmethod
    def time_out(answer: asyncio.Future) -> None:
        """End an attempt that has had no answer in time."""
        if not answer.done():
            answer.set_result(("none", 0.0))

    @staticmethod
    def classify_answer(connection: ClientConnection, attempt_id: str, value: Any) -> tuple[str, float]:
        """Return the kind of an answer to the attempt with an id, and the delay of a rejection (ms)."""
        if value is None:
            return ("crossed" if connection.awaiting_first_byte else "closed"), 0.0
        if isinstance(value, resp.ErrorReply):
            error_name, _, retry_after_ms = value.partition(b" ")
            if error_name == b"BUSY":
                return "exhausted", float(retry_after_ms) if retry_after_ms.isdigit() else 0.0
            return "errored", 0.0
        if isinstance(value, bytes) and value[:19] == b"of " + attempt_id.encode():
            return "completed", 0.0
        return "another's", 0.0

    async def end(self) -> None:
        """Cancel all tasks."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
