"""The memory of requests and replies: room for long values, in the order of their arrival.

A long value is read only once room for its whole length is set aside, so that a command that has begun to be
read is read to its end. What finds no room waits unread; it is refused in time for its client to be answered.
A reply of some length is received whole only if there is room for it; else it is forwarded as it arrives.

Counted are bytes and objects as they are held: a request with its objects, a value and its copy on the way.

Invariants: incomplete long commands, requests and replies together stay within twice `read_ahead_bytes`, and
one long command beyond that; requests with short values are refused as they are read once requests and
replies take three times as much; whoever waits gets room when some is released, or is refused by a timer.
"""

import asyncio
import logging
from dataclasses import dataclass
from typing import Protocol

from calicofall.proxy.metrics import Metrics

MAX_WAIT_FRACTION = 0.5  # of the time that a request has; the rest is for its attempts
REQUEST_BYTES = 4096  # of the objects of a request: command, attempts, timers
SHORT_REPLY_BYTES = 2048  # a reply up to this size is received whole without asking for room
MIN_CHUNK_BYTES = 1 << 12  # of a value that is received in parts
MAX_CHUNK_BYTES = 1 << 16
RECEIVE_BYTES = 1 << 12
SMALL_RECEIVE_BYTES = 1 << 10  # where the limit is low: each connection that waits for room holds so much
AMPLE_READ_AHEAD_BYTES = 1 << 21
LOG_INTERVAL_S = 10.0  # between two log lines about waits
log = logging.getLogger("calicofall")


class WaitingClient(Protocol):
    """A client's connection, which waits for room."""

    def on_room(self, waited_s: float) -> None:
        """There is room for the long value, after a wait (s)."""

    def on_no_room(self, waited_s: float) -> None:
        """There was no room for the long value in time (s)."""


@dataclass(slots=True)
class RoomWait:
    """A client that waits for room for a long value."""

    size: int  # bytes
    began_at: float  # (s, the loop's clock)
    timer: asyncio.TimerHandle  # refuses it


class CommandMemory:
    """The bytes in use, and the clients that wait for room.

    Args:
        loop: The event loop.
        read_ahead_bytes: Bytes of complete commands and replies at which commands are no longer read ahead.
            Incomplete long commands may use as much.
        metrics: Counts the waits and refusals.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, read_ahead_bytes: int, metrics: Metrics) -> None:
        self.loop = loop
        self.read_ahead_bytes = read_ahead_bytes
        self.metrics = metrics
        self.buffered_bytes = 0  # of complete commands and of replies
        self.short_bytes = 0  # of incomplete commands without a long value
        self.reserved_bytes = 0  # of incomplete commands with a long value: its whole length
        self.held_bytes = 0  # of input that is read and not processed, as replies are due
        self.reply_bytes = 0  # of replies that are received whole
        self.streamed_replies = 0  # number of replies that are forwarded as they arrive
        self.waiting: dict[WaitingClient, RoomWait] = {}  # in the order of arrival
        self.longest_wait_s = 0.0  # since the last log line
        self.next_log_at = 0.0

    @property
    def partial_command_bytes(self) -> int:
        """Bytes of incomplete commands."""
        return self.short_bytes + self.reserved_bytes

    @property
    def max_total_bytes(self) -> int:
        """Bytes of incomplete long commands, requests and replies together, but for one long command."""
        return 2 * self.read_ahead_bytes

    def total_bytes(self) -> int:
        """Returns the bytes that are counted against `max_total_bytes`."""
        return self.buffered_bytes + self.partial_command_bytes + self.reply_bytes + self.held_bytes

    def may_hold(self, count: int) -> bool:
        """Whether so many further bytes of input may be read without being processed."""
        return self.held_bytes + count <= self.read_ahead_bytes and self.total_bytes() < self.max_total_bytes

    def add_held(self, count: int) -> None:
        """Adds bytes of input that is not processed; a negative count releases them."""
        self.held_bytes += count
        if count < 0:
            self._grant()

    def chunk_bytes(self) -> int:
        """Returns how much of a value that arrives in parts is received at once."""
        share = self.read_ahead_bytes // (4 * (1 + self.streamed_replies + len(self.waiting)))
        return min(MAX_CHUNK_BYTES, max(MIN_CHUNK_BYTES, share))

    def receive_bytes(self) -> int:
        """Returns the size of the buffer in which a command is received first."""
        return RECEIVE_BYTES if self.read_ahead_bytes >= AMPLE_READ_AHEAD_BYTES else SMALL_RECEIVE_BYTES

    def try_add_reply(self, size: int) -> bool:
        """Counts a reply (bytes) that is to be received whole; returns False if there is no room for it."""
        if size > SHORT_REPLY_BYTES and self.total_bytes() + size > self.max_total_bytes:
            return False
        self.reply_bytes += size
        return True

    def remove_reply(self, size: int) -> None:
        """Releases the bytes of a reply that has been received, or will not be."""
        self.reply_bytes -= size
        self._grant()

    def has_read_ahead(self) -> bool:
        """Whether clients' next commands may be read before the replies to the former ones are written."""
        return self.buffered_bytes < self.read_ahead_bytes

    def is_exhausted(self, own_bytes: int) -> bool:
        """Whether a request that takes some bytes, which are counted already, has to be refused."""
        in_use = self.buffered_bytes - own_bytes + self.reply_bytes
        return in_use >= self.max_total_bytes + self.read_ahead_bytes

    def set_read_ahead(self, read_ahead_bytes: int) -> None:
        """Changes the limits; what is in use already stays."""
        self.read_ahead_bytes = read_ahead_bytes
        self._grant()

    def add_buffered(self, count: int) -> None:
        """Adds bytes of complete commands and replies; a negative count releases them."""
        self.buffered_bytes += count
        if count < 0:
            self._grant()

    def add_partial(self, short: int, reserved: int) -> None:
        """Adds bytes of incomplete commands without and with a long value; negative counts release them."""
        self.short_bytes += short
        self.reserved_bytes += reserved
        if short < 0 or reserved < 0:
            self._grant()

    def has_room(self, client: WaitingClient, size: int, max_wait_s: float) -> bool:
        """Returns whether a long value may be read now; else its client waits, until a maximum time."""
        if not self.waiting and self._fits(size):
            return True
        if size > self.max_total_bytes:
            max_wait_s = 0.0  # it never fits
        timer = self.loop.call_later(max_wait_s, self._refuse, client)
        self.waiting[client] = RoomWait(size, self.loop.time(), timer)
        self.metrics.memory_waits += 1
        return False

    def stop_waiting(self, client: WaitingClient) -> float:
        """Ends a client's wait, if it waits; returns how long it has waited (s)."""
        wait = self.waiting.pop(client, None)
        if wait is None:
            return 0.0
        wait.timer.cancel()
        waited_s = self.loop.time() - wait.began_at
        self.metrics.memory_wait_ms += round(waited_s * 1000.0)
        self.longest_wait_s = max(self.longest_wait_s, waited_s)
        self._log_waits()
        return waited_s

    def _fits(self, size: int) -> bool:
        """Whether a long value fits; one fits if none is being read and little else is in use."""
        if size > self.max_total_bytes:
            return False
        if not self.reserved_bytes and self.has_read_ahead() and self.reply_bytes < self.read_ahead_bytes:
            return True
        fits_reserved = self.reserved_bytes + size <= self.read_ahead_bytes
        return fits_reserved and self.total_bytes() + size <= self.max_total_bytes

    def _grant(self) -> None:
        while self.waiting:
            client, wait = next(iter(self.waiting.items()))
            if not self._fits(wait.size):
                return
            client.on_room(self.stop_waiting(client))

    def _refuse(self, client: WaitingClient) -> None:
        self.metrics.memory_refusals += 1
        client.on_no_room(self.stop_waiting(client))
        self._grant()

    def _log_waits(self) -> None:
        if self.loop.time() < self.next_log_at:
            return
        log.warning(
            "long commands wait for memory",
            extra={
                "waits": self.metrics.memory_waits,
                "refused": self.metrics.memory_refusals,
                "longest_ms": round(self.longest_wait_s * 1000.0),
                "waiting": len(self.waiting),
            },
        )
        self.longest_wait_s = 0.0
        self.next_log_at = self.loop.time() + LOG_INTERVAL_S
