"""One watch on the endpoint list of the discovery service: an HTTP/1.1 request with a chunked response.

A message is a JSON object, on one line or on several; an empty line means that nothing has changed.

Invariants: only complete messages are passed on, and none once the watch has been replaced.
"""

import asyncio
import re
from enum import StrEnum
from typing import Any, Protocol

from calicofall.proxy.connection import BufferedConnection

MAX_MESSAGE_BYTES = 1 << 20
MAX_HEAD_LINE_BYTES = 8192
MAX_RETRY_AFTER_S = 60.0
MESSAGE_START = re.compile(rb'\s*\{\s*(["}]|$)')  # the beginning of a message's first line
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
NEWLINE = 10  # the byte LF


class WatchProtocolError(Exception):
    """The response is not a valid answer to a watch; the message says why."""


class WatchOwner(Protocol):
    """The part of the proxy that opens watches and replaces them."""

    loop: asyncio.AbstractEventLoop
    address: str  # of the discovery service
    path: str  # that is watched
    version: int | None  # of the list that is known
    watch: Any  # the present one

    def on_phase(self, phase: str) -> None:
        """A phase of the proxy's start has been reached."""

    def on_answer(self) -> None:
        """The service has answered."""

    def on_message(self, message: bytes) -> None:
        """A complete message has been received."""

    def on_watch_closed(self, watch: "Watch") -> None:
        """The watch has ended."""


class WatchStage(StrEnum):
    """The part of the response that is read next."""

    STATUS = "status"
    HEADERS = "headers"
    CHUNK_SIZE = "chunk size"
    CHUNK = "chunk"
    CHUNK_END = "chunk end"


class Watch(BufferedConnection):
    """The connection of one watch; its messages are passed to `discovery`."""

    def __init__(self, discovery: WatchOwner) -> None:
        super().__init__(discovery.loop)
        self.discovery = discovery
        self.stage = WatchStage.STATUS
        self.chunked = False
        self.chunk_bytes_left = 0
        self.line = bytearray()  # the line whose end has not been received
        self.message = bytearray()  # the lines of a message that is not complete
        self.open_brackets = 0  # brackets and braces of that message that are not closed
        self.asked_at = discovery.loop.time()
        self.heard_at = self.asked_at
        self.refused = False  # whether the response's status is another than 200
        self.retry_after_s = 0.0

    def on_open(self) -> None:
        """Sends the request for the list, or for its changes since the known version."""
        self.discovery.on_phase("list asked")
        since = f"&since={self.discovery.version}" if self.discovery.version is not None else ""
        self.write(
            f"GET {self.discovery.path}?follow=1{since} HTTP/1.1\r\nHost: {self.discovery.address}\r\n"
            "Accept: application/json\r\n\r\n".encode()
        )

    def on_data(self) -> None:
        """Reads what was received; closes the watch if the response is invalid or has ended."""
        self.heard_at = self.discovery.loop.time()
        try:
            while not self.closed and self._read_next():
                pass
        except WatchProtocolError as error:
            self.close_reason = str(error)
            self.abort()

    def on_close(self) -> None:
        """Tells `discovery` that the watch has ended."""
        self.discovery.on_watch_closed(self)

    def _read_next(self) -> bool:
        """Reads one line or chunk of the response; returns False if it has not been received completely."""
        if self.stage is WatchStage.CHUNK:
            return self._read_chunk()
        line = self._take_line()
        if line is None:
            return False
        if self.stage is WatchStage.STATUS:
            self._read_status(line)
        elif self.stage is WatchStage.HEADERS:
            self._read_header(line)
        elif self.stage is WatchStage.CHUNK_END:
            self._read_chunk_end(line)
        else:
            self._read_chunk_size(line)
        return True

    def _take_line(self) -> bytes | None:
        end = self.input.find(NEWLINE)
        if end >= 0:
            return self.input.take(end + 1).rstrip(b"\r\n")
        if len(self.input) > MAX_HEAD_LINE_BYTES:
            raise WatchProtocolError(f"a line of the response is longer than {MAX_HEAD_LINE_BYTES} bytes")
        return None

    def _read_status(self, line: bytes) -> None:
        self.refused = line.split(b" ")[1:2] != [b"200"] or not line.startswith(b"HTTP/1.")
        if self.refused:
            self.close_reason = f"answered {line[:40]!r}"
        self.stage = WatchStage.HEADERS

    def _read_header(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        name = name.lower()
        value = value.strip()
        if self.refused:
            if name == b"retry-after" and value.isdigit():
                self.retry_after_s = min(float(value), MAX_RETRY_AFTER_S)
            if not line:
                raise WatchProtocolError(self.close_reason)
            return
        if name == b"transfer-encoding" and value.lower() == b"chunked":
            self.chunked = True
        if line:
            return
        if not self.chunked:
            raise WatchProtocolError("the response lacks Transfer-Encoding: chunked")
        self.stage = WatchStage.CHUNK_SIZE

    def _read_chunk_size(self, line: bytes) -> None:
        try:
            self.chunk_bytes_left = int(line.partition(b";")[0], 16)
        except ValueError as error:
            raise WatchProtocolError(f"expected a chunk size, found {line[:20]!r}") from error
        if not self.chunk_bytes_left:
            raise WatchProtocolError("the service ended the response")
        if not 0 < self.chunk_bytes_left <= MAX_MESSAGE_BYTES:
            raise WatchProtocolError(f"a chunk size is not between 1 and {MAX_MESSAGE_BYTES} bytes")
        self.stage = WatchStage.CHUNK

    def _read_chunk(self) -> bool:
        if not len(self.input):
            return False
        data = self.input.take(min(self.chunk_bytes_left, len(self.input)))
        self.chunk_bytes_left -= len(data)
        if not self.chunk_bytes_left:
            self.stage = WatchStage.CHUNK_END
        self._read_lines(data)
        return True

    def _read_chunk_end(self, line: bytes) -> None:
        if line:
            raise WatchProtocolError("a chunk is longer than its announced size")
        self.stage = WatchStage.CHUNK_SIZE

    def _read_lines(self, data: bytes) -> None:
        self.line += data
        if len(self.line) + len(self.message) > MAX_MESSAGE_BYTES:
            raise WatchProtocolError(f"a message is longer than {MAX_MESSAGE_BYTES} bytes")
        *whole, rest = self.line.split(b"\n")
        self.line = bytearray(rest)
        for line in whole:
            # A message may make the proxy open another watch, and its messages must come last.
            if self.discovery.watch is not self:
                return
            self._read_message_line(line)

    def _read_message_line(self, line: bytearray) -> None:
        if not line.strip():
            if self.message:  # otherwise an incomplete message would absorb all messages behind it
                raise WatchProtocolError("an empty line within a message")
            self.discovery.on_answer()  # the list has not changed
            return
        if not (self.message or MESSAGE_START.match(line)):
            raise WatchProtocolError(f"expected a JSON object, found {bytes(line[:20])!r}")
        # A list may be indented over several lines: a message ends where all its brackets are closed.
        bare = JSON_STRING.sub(b"", line)
        self.open_brackets += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        self.message += line
        if self.open_brackets <= 0:
            self._pass_message()

    def _pass_message(self) -> None:
        message = bytes(self.message)
        self.message = bytearray()
        self.open_brackets = 0
        try:
            self.discovery.on_message(message)
        except ValueError as error:
            raise WatchProtocolError(f"invalid message: {str(error)[:60]}") from error
