"""Discovery: a watch on the list of caches over HTTP/1.1, read chunk by chunk.

Owns one watch and the version it has reached. Must never forget the last list for want of a better one, take
a watch for alive that has said nothing, or ask again in step with other proxies.
"""

import asyncio
import logging
from collections.abc import Callable
from random import Random

import orjson

from calicofall import words
from calicofall.net.stream import Stream

SILENT = 3.0  # s without a line, where one comes every 2 s at the latest
LONGEST = 1 << 20  # bytes of a line
HEAD = 8192
log = logging.getLogger("calicofall")


class Wrong(Exception):
    """What came is no answer to a watch."""


class Watch(Stream):
    def __init__(self, host: str, since: int | None, news: Callable, lost: Callable) -> None:
        super().__init__()
        self.news, self.tell_lost = news, lost
        path = f"/api/targets?follow=1&since={since}" if since is not None else "/api/targets?follow=1"
        self.ask = f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()
        self.stage, self.left, self.line = "status", 0, bytearray()
        self.heard = asyncio.get_running_loop().time()
        self.why = "closed"

    def opened(self) -> None:
        self.write(self.ask)

    def came(self) -> None:
        self.heard = asyncio.get_running_loop().time()
        try:
            while not self.closed and self._step():
                pass
        except Wrong as reason:
            self.why = str(reason)
            self.cut()

    def _step(self) -> bool:
        """Reads one piece of the answer; False if it has not come whole."""
        if self.stage == "chunk":
            if not len(self.inward):
                return False
            data = self.inward.take(min(self.left, len(self.inward)))
            self.left -= len(data)
            if not self.left:
                self.stage = "end"
            self._lines(data)
            return True
        end = self.inward.find(10)
        if end < 0:
            if len(self.inward) > HEAD:
                raise Wrong("a line of the answer's head too long")
            return False
        text = self.inward.take(end + 1).rstrip(b"\r\n")
        if self.stage == "status":
            if text.split(b" ")[1:2] != [b"200"] or not text.startswith(b"HTTP/1."):
                raise Wrong(f"answered {text[:40]!r}")
            self.stage, self.chunked = "head", False
        elif self.stage == "head":
            name, _, value = text.partition(b":")
            self.chunked = self.chunked or (
                name.lower() == b"transfer-encoding" and value.strip().lower() == b"chunked")
            if not text:
                if not self.chunked:
                    raise Wrong("an answer that is not chunked")
                self.stage = "size"
        elif self.stage == "end":
            if text:
                raise Wrong("a chunk longer than announced")
            self.stage = "size"
        else:
            try:
                self.left = int(text.partition(b";")[0], 16)
            except ValueError:
                raise Wrong("a chunk without its size") from None
            if not 0 < self.left <= LONGEST:
                raise Wrong("ended" if not self.left else "a chunk too large")
            self.stage = "chunk"
        return True

    def _lines(self, data: bytes) -> None:
        self.line += data
        if len(self.line) > LONGEST:
            raise Wrong("a line too long")
        *whole, rest = self.line.split(b"\n")
        self.line = bytearray(rest)
        for line in whole:
            if line.strip():
                try:
                    self.news(*words.listing(orjson.loads(line)))
                except ValueError as reason:
                    raise Wrong(f"no list: {str(reason)[:60]}") from None

    def lost(self) -> None:
        self.tell_lost(self)


class Discovery:
    """Keeps a watch open, whatever becomes of it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str, since: int | None, chance: Random,
                 news: Callable, failed: Callable) -> None:
        self.loop, self.chance, self.news, self.failed = loop, chance, news, failed
        self.host, self.place, self.since = address, words.place(address), since
        self.watch: Watch | None = None
        self.task: asyncio.Task | None = None
        self.pause = 0.0  # s before the next try
        self.stopped = self.down = False

    def start(self) -> None:
        self.task = self.loop.create_task(self._follow())

    async def _follow(self) -> None:
        while not self.stopped:
            ended = self.loop.create_future()
            self.watch = watch = Watch(self.host, self.since, self._told,
                                       lambda _, ended=ended: ended.done() or ended.set_result(None))
            try:
                async with asyncio.timeout(SILENT):
                    await self.loop.create_connection(lambda watch=watch: watch, *self.place)
                while not ended.done():
                    left = watch.heard + SILENT - self.loop.time()
                    if left <= 0.0:
                        watch.why = f"silent for {SILENT:.0f} s"
                        break
                    await asyncio.wait([ended], timeout=left)
            except (OSError, TimeoutError) as reason:
                watch.why = repr(reason)
            watch.cut()
            if not self.down and not self.stopped:
                self.down = True
                log.warning("list watch lost", extra={"reason": watch.why, "index": self.since})
            self.failed()
            # Guards against all proxies asking again at one time.
            self.pause = min(1.0, self.pause * 2 or 0.05)
            await asyncio.sleep(self.pause * self.chance.uniform(0.5, 1.5))

    def _told(self, kind: str, index: int | None, entries: list[tuple], addresses: dict[str, str]) -> None:
        self.pause = 0.0
        if self.down:
            self.down = False
            log.info("list watch back", extra={"index": index})
        self.news(kind, index, entries, addresses)
        self.since = index if isinstance(index, int) else self.since

    def stop(self) -> None:
        self.stopped = True
        if self.task is not None:
            self.task.cancel()
        if self.watch is not None:
            self.watch.cut()
