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
from calicofall.testbed.scenario import LARGE_VALUE_BYTES, SMALL_VALUE_BYTES, Scenario, expand_group

REDIAL = 0.1  # s until a client whom nobody serves tries again
HOT = 0  # the rank of the key that is hot for a time
PING = 1.0  # s between two looks at a proxy that is up


class Draw:
    """All RPCs of a drill, drawn ahead: when, method, key, tenant."""

    def __init__(self, scenario: Scenario) -> None:
        traffic, random_generator = scenario.traffic, Random(scenario.seed)
        self.random_generator = Random(scenario.seed + 1)
        tops = list(accumulate(1.0 / (rank + 1) ** traffic.skew for rank in range(traffic.keys)))
        bursts = [(e.at, e.until or scenario.seconds, e.amount) for e in scenario.event if e.do == "burst"]
        self.rpcs: list[tuple[float, str, str, str]] = []
        other = Random(scenario.seed + 2)  # of its own: drills without a second tenant are as they were
        at = traffic.begins
        if traffic.record is not None:
            self.rpcs = [
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
            key = bisect_left(tops, random_generator.random() * tops[-1])
            if traffic.hot and scenario.hot_key_active(at) and other.random() < traffic.hot:
                key = HOT
            kind = random_generator.random()
            method = (
                "order"
                if kind < traffic.orders
                else "save"
                if kind < traffic.orders + traffic.writes
                else "read"
            )
            tenant = "bulk" if traffic.bulk and other.random() < traffic.bulk else "shop"
            self.rpcs.append((at, method, f"{key + 1:016x}", tenant))


class Link(asyncio.Protocol):
    """A client's connection to a proxy: one command at a time."""

    def __init__(self, clients: "Clients", proxy: str) -> None:
        self.clients, self.proxy, self.ring = clients, proxy, RingBuffer()
        self.parser, self.transport, self.used = CommandParser(self.ring), None, 0
        self.owed: Callable | None = None  # what to do with the answer that is owed
        self.over, self.fresh = False, True  # fresh: nothing has come for the command that is out

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def ask(self, data: bytes, then: Callable) -> None:
        self.owed, self.fresh = then, True
        self.used += 1
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.fresh = False
        self.ring.write(data)
        try:
            while (value := self.parser.read()) is not resp.INCOMPLETE:
                if self.owed is None:
                    self.clients.saw(self.proxy, "", "unowed")
                    continue
                then, self.owed = self.owed, None
                then(self, value)
        except resp.ProtocolError:
            self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, _reason: Exception | None) -> None:
        self.over = True
        if self in (idle := self.clients.idle[self.proxy]):
            idle.remove(self)
        if self.owed is not None:
            then, self.owed = self.owed, None
            then(self, None)


class Clients:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        scenario: Scenario,
        records: History,
        doors: dict[str, tuple[str, int]],
    ) -> None:
        self.loop, self.scenario, self.records, self.doors = loop, scenario, records, doors
        self.draw = Draw(scenario)
        self.random_generator, self.count = self.draw.random_generator, 0
        self.up: list[str] = []  # proxies that the front deals to
        self.idle: dict[str, list[Link]] = defaultdict(list)
        fleet, through = (
            scenario.fleet,
            scenario.traffic.through,
        )  # whom the first tenant's clients ask, where told
        self.through: frozenset[str] | None = through and expand_group(
            through, fleet.proxies, fleet.caches, fleet.zones
        )
        self.tasks: set[asyncio.Task] = set()
        self.done = self.given = 0
        self.probe = max(0.1, len(doors) / 1000.0)  # s between two looks at a proxy that is not up

    def size(self, key: str) -> int:
        return LARGE_VALUE_BYTES if self.scenario.has_large_value(key) else SMALL_VALUE_BYTES

    def start(self, began: float) -> None:
        self.began = began
        for proxy in self.doors:
            self.hold(self.watch(proxy))
        self.hold(self.play())

    def hold(self, steps: Any) -> None:
        task = self.loop.create_task(steps)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def saw(self, proxy: str, name: str, kind: str) -> None:
        self.records.client_answers.append(ClientAnswer(self.loop.time(), proxy, name, kind))

    # The front

    async def watch(self, proxy: str) -> None:
        """Whether a proxy says yes to PING; the front notices its death late."""
        link, lost = None, None
        while True:
            said = None
            try:
                if link is None or link.over:
                    _, link = await self.loop.create_connection(lambda: Link(self, proxy), *self.doors[proxy])
                answer: asyncio.Future = self.loop.create_future()
                link.ask(
                    b"*1\r\n$4\r\nPING\r\n",
                    lambda _, value, answer=answer: answer.done() or answer.set_result(value),
                )
                async with asyncio.timeout(1.0):
                    said = await answer
            except (OSError, TimeoutError):
                if link is not None and link.transport is not None:
                    link.transport.abort()
                link = None
            now = self.loop.time()
            if isinstance(said, resp.SimpleString) and said == b"PONG":
                lost = None
                if proxy not in self.up:
                    self.records.proxy_ready_events.append((now, proxy))
                    self.up.append(proxy)
            elif proxy in self.up:
                lost = lost or now
                if isinstance(said, resp.ErrorReply) or now - lost >= self.scenario.traffic.notices_s:
                    self.up.remove(proxy)
                    lost = None
            await asyncio.sleep(PING if proxy in self.up and lost is None else self.probe)

    # The clients

    async def play(self) -> None:
        for at, method, key, tenant in self.draw.rpcs:
            wait = self.began + at - self.loop.time()
            if wait > 0.0:
                await asyncio.sleep(wait)
            self.given += 1
            self.hold(self.want(self.began + at, method, key, tenant))

    async def want(self, at: float, method: str, key: str, tenant: str) -> None:
        """One RPC, with all its tries."""
        traffic = self.scenario.traffic
        ends, mark = at + traffic.hard_ms / 1000.0, f"{self.random_generator.getrandbits(64):016x}"
        done, tries, last = None, 0, ""
        while tries <= traffic.repeats and (left := ends - self.loop.time()) > 0.02:
            up = (
                self.up
                if tenant != "shop" or not self.through
                else [one for one in self.up if one in self.through]
            )
            proxy = self.random_generator.choice(up) if up else None
            link = await self.reach(proxy) if proxy else None
            if link is None:
                await asyncio.sleep(min(REDIAL, left))
                continue
            tries += 1
            left = max(0.02, ends - self.loop.time())
            last = f"{self.count + 1:016x}"
            kind, wait = await self.attempt(link, method, key, mark, tenant, left)
            if kind == "completed":
                done = self.loop.time()
                self.done += 1
                break
            if kind == "exhausted":
                await asyncio.sleep(min(wait / 1000.0, max(0.0, ends - self.loop.time())))
            elif kind != "crossed":
                break
        self.records.client_requests.append(ClientRequest(at, method, done, tenant, last))

    async def reach(self, proxy: str) -> Link | None:
        while self.idle[proxy]:
            link = self.idle[proxy].pop()
            if not link.over and not link.transport.is_closing():
                return link
        try:
            async with asyncio.timeout(0.5):
                _, link = await self.loop.create_connection(lambda: Link(self, proxy), *self.doors[proxy])
            return link
        except (OSError, TimeoutError):
            return None

    async def attempt(
        self, link: Link, method: str, key: str, mark: str, tenant: str, left: float
    ) -> tuple[str, float]:
        self.count += 1
        name = f"{self.count:016x}"
        pairs = f"c={method},t={tenant},d={left * 1000.0:.0f}" + (f",k={mark}" if method != "read" else "")
        parts = [b"C.GET" if method == "read" else b"C.SET", key.encode(), name.encode(), pairs.encode()]
        if method != "read":
            parts.append(b"new")
        answer: asyncio.Future = self.loop.create_future()
        self.records.client_attempts.append(ClientAttempt(self.loop.time(), link.proxy, name, method, left))
        late = self.loop.call_later(left + 0.5, self.waited, answer)

        def then(link: Link, value: Any) -> None:
            kind, wait = self.read(link, name, value)
            if not answer.done():
                answer.set_result((kind, wait))
                self.saw(link.proxy, name, kind)
            if value is not None and not link.over:
                self.idle[link.proxy].append(link)

        link.ask(resp.encode_command(parts), then)
        kind, wait = await answer
        late.cancel()
        if kind == "none":
            self.saw(link.proxy, name, kind)
            link.transport.abort()
        return kind, wait

    @staticmethod
    def waited(answer: asyncio.Future) -> None:
        if not answer.done():
            answer.set_result(("none", 0.0))

    @staticmethod
    def read(link: Link, name: str, value: Any) -> tuple[str, float]:
        if value is None:
            return ("crossed" if link.fresh else "closed"), 0.0
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
