"""Clients behind a front that deals connections: open loop, drawn ahead, timed from the intended moment.

Owns the clients' connections and what the front knows of proxies. Must never wait for one RPC before the next
is due, or take a proxy's word for more than PING.
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
from calicofall.testbed.scenario import LARGE, SMALL, Scenario, names

RECONNECT_DELAY_S = 0.1  # s until a client whom nobody serves tries again
HOT_KEY_RANK = 0  # the rank of the key that is hot for a time
PING_INTERVAL_S = 1.0  # s between two looks at a proxy that is up


class TrafficPlan:
    """All RPCs of a drill, drawn ahead: when, method, key, tenant."""

    def __init__(self, scenario: Scenario) -> None:
        traffic, random_generator = scenario.traffic, Random(scenario.seed)
        self.random_generator = Random(scenario.seed + 1)
        cumulative_key_weights = list(
            accumulate(1.0 / (rank + 1) ** traffic.skew for rank in range(traffic.keys))
        )
        bursts = [(e.at, e.until or scenario.seconds, e.amount) for e in scenario.event if e.do == "burst"]
        self.requests: list[tuple[float, str, str, str]] = []
        second_generator = Random(
            scenario.seed + 2
        )  # of its own: drills without a second tenant are as they were
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
            for begin, end, times in bursts:
                rate *= times if begin <= at < end else 1.0
            at += random_generator.expovariate(rate)
            if at >= scenario.seconds:
                break
            key = bisect_left(cumulative_key_weights, random_generator.random() * cumulative_key_weights[-1])
            if traffic.hot and scenario.hot(at) and second_generator.random() < traffic.hot:
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
    """A client's connection to a proxy: one command at a time."""

    def __init__(self, clients: "Clients", proxy: str) -> None:
        self.clients, self.proxy, self.ring = clients, proxy, RingBuffer()
        self.parser, self.transport, self.commands_sent = CommandParser(self.ring), None, 0
        self.on_answer: Callable | None = None  # what to do with the answer that is owed
        self.closed, self.awaiting_first_byte = (
            False,
            True,
        )  # fresh: nothing has come for the command that is out

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def send(self, data: bytes, then: Callable) -> None:
        self.on_answer, self.awaiting_first_byte = then, True
        self.commands_sent += 1
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.awaiting_first_byte = False
        self.ring.write(data)
        try:
            while (value := self.parser.read()) is not resp.INCOMPLETE:
                if self.on_answer is None:
                    self.clients.record_answer(self.proxy, "", "unowed")
                    continue
                then, self.on_answer = self.on_answer, None
                then(self, value)
        except resp.ProtocolError:
            self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, _reason: Exception | None) -> None:
        self.closed = True
        if self in (idle := self.clients.idle[self.proxy]):
            idle.remove(self)
        if self.on_answer is not None:
            then, self.on_answer = self.on_answer, None
            then(self, None)


class Clients:
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
        self.available_proxies: list[str] = []  # proxies that the front deals to
        self.idle: dict[str, list[ClientConnection]] = defaultdict(list)
        fleet, through = (
            scenario.fleet,
            scenario.traffic.through,
        )  # whom the first tenant's clients ask, where told
        self.through: frozenset[str] | None = through and names(
            through, fleet.proxies, fleet.caches, fleet.zones
        )
        self.tasks: set[asyncio.Task] = set()
        self.completed_count = self.begun_count = 0
        self.unavailable_ping_interval_s = max(
            0.1, len(proxy_addresses) / 1000.0
        )  # s between two looks at a proxy that is not up

    def value_size(self, key: str) -> int:
        return LARGE if self.scenario.large(key) else SMALL

    def start(self, began: float) -> None:
        self.began = began
        for proxy in self.proxy_addresses:
            self.start_task(self.monitor_proxy(proxy))
        self.start_task(self.send_traffic())

    def start_task(self, steps: Any) -> None:
        task = self.loop.create_task(steps)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def record_answer(self, proxy: str, name: str, kind: str) -> None:
        self.history.answers.append(ClientAnswer(self.loop.time(), proxy, name, kind))

    # The front

    async def monitor_proxy(self, proxy: str) -> None:
        """Whether a proxy says yes to PING; the front notices its death late."""
        connection, lost = None, None
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
                lost = None
                if proxy not in self.available_proxies:
                    self.history.pongs.append((now, proxy))
                    self.available_proxies.append(proxy)
            elif proxy in self.available_proxies:
                lost = lost or now
                if isinstance(pong, resp.ErrorReply) or now - lost >= self.scenario.traffic.notices_s:
                    self.available_proxies.remove(proxy)
                    lost = None
            await asyncio.sleep(
                PING_INTERVAL_S
                if proxy in self.available_proxies and lost is None
                else self.unavailable_ping_interval_s
            )

    # The clients

    async def send_traffic(self) -> None:
        for at, method, key, tenant in self.traffic_plan.requests:
            wait = self.began + at - self.loop.time()
            if wait > 0.0:
                await asyncio.sleep(wait)
            self.begun_count += 1
            self.start_task(self.run_request(self.began + at, method, key, tenant))

    async def run_request(self, at: float, method: str, key: str, tenant: str) -> None:
        """One RPC, with all its tries."""
        traffic = self.scenario.traffic
        ends, mark = at + traffic.hard_ms / 1000.0, f"{self.random_generator.getrandbits(64):016x}"
        done, tries, last = None, 0, ""
        while tries <= traffic.repeats and (left := ends - self.loop.time()) > 0.02:
            up = (
                self.available_proxies
                if tenant != "shop" or not self.through
                else [one for one in self.available_proxies if one in self.through]
            )
            proxy = self.random_generator.choice(up) if up else None
            connection = await self.connect(proxy) if proxy else None
            if connection is None:
                await asyncio.sleep(min(RECONNECT_DELAY_S, left))
                continue
            tries += 1
            left = max(0.02, ends - self.loop.time())
            last = f"{self.attempt_count + 1:016x}"
            kind, wait = await self.attempt(connection, method, key, mark, tenant, left)
            if kind == "completed":
                done = self.loop.time()
                self.completed_count += 1
                break
            if kind == "exhausted":
                await asyncio.sleep(min(wait / 1000.0, max(0.0, ends - self.loop.time())))
            elif kind != "crossed":
                break
        self.history.intents.append(ClientRequest(at, method, done, tenant, last))

    async def connect(self, proxy: str) -> ClientConnection | None:
        while self.idle[proxy]:
            connection = self.idle[proxy].pop()
            if not connection.closed and not connection.transport.is_closing():
                return connection
        try:
            async with asyncio.timeout(0.5):
                _, connection = await self.loop.create_connection(
                    lambda: ClientConnection(self, proxy), *self.proxy_addresses[proxy]
                )
            return connection
        except (OSError, TimeoutError):
            return None

    async def attempt(
        self, connection: ClientConnection, method: str, key: str, mark: str, tenant: str, left: float
    ) -> tuple[str, float]:
        self.attempt_count += 1
        name = f"{self.attempt_count:016x}"
        pairs = f"c={method},t={tenant},d={left * 1000.0:.0f}" + (f",k={mark}" if method != "read" else "")
        parts = [b"C.GET" if method == "read" else b"C.SET", key.encode(), name.encode(), pairs.encode()]
        if method != "read":
            parts.append(b"new")
        answer: asyncio.Future = self.loop.create_future()
        self.history.tries.append(ClientAttempt(self.loop.time(), connection.proxy, name, method, left))
        late = self.loop.call_later(left + 0.5, self.time_out, answer)

        def then(connection: ClientConnection, value: Any) -> None:
            kind, wait = self.classify_answer(connection, name, value)
            if not answer.done():
                answer.set_result((kind, wait))
                self.record_answer(connection.proxy, name, kind)
            if value is not None and not connection.closed:
                self.idle[connection.proxy].append(connection)

        connection.send(resp.encode_command(parts), then)
        kind, wait = await answer
        late.cancel()
        if kind == "none":
            self.record_answer(connection.proxy, name, kind)
            connection.transport.abort()
        return kind, wait

    @staticmethod
    def time_out(answer: asyncio.Future) -> None:
        if not answer.done():
            answer.set_result(("none", 0.0))

    @staticmethod
    def classify_answer(connection: ClientConnection, name: str, value: Any) -> tuple[str, float]:
        if value is None:
            return ("crossed" if connection.awaiting_first_byte else "closed"), 0.0
        if isinstance(value, resp.ErrorReply):
            word, _, rest = value.partition(b" ")
            if word == b"BUSY":
                return "exhausted", float(rest) if rest.isdigit() else 0.0
            return "errored", 0.0
        if isinstance(value, bytes) and value[:19] == b"of " + name.encode():
            return "completed", 0.0
        return "another's", 0.0

    async def end(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
