"""The last phase of a connection that the proxy closes: until the peer has received what was sent.

A connection that is shut down for writing still owes its peer what the kernel holds. Closing the socket over
unread input would reset the connection and drop that output, so input is read and discarded meanwhile.

Invariants: the connection ends LINGER_S after its peer has acknowledged all output, or when the peer
acknowledges nothing for the stall time-out, or MAX_CLOSING_S after the close began, whichever is first.
"""

import asyncio
from typing import Any, Protocol

from calicofall.proxy.kernel_buffers import discard_unread_input

LINGER_S = 0.25  # for the peer to read the last bytes and to close
STALL_TIMEOUT_S = 2.5  # in which the peer has to acknowledge some output
MAX_CLOSING_S = 20.0  # for a peer that goes on reading: 8 MiB at 0.5 MB a second
CHECK_INTERVAL_S = 0.05
MAX_DISCARDED_BYTES = 1 << 17  # of input in each interval; a peer that sends more is slowed down


class ClosingConnection(Protocol):
    """The connection that is closing."""

    loop: asyncio.AbstractEventLoop
    transport: Any

    def unsent_kernel_bytes(self) -> int:
        """Returns how much output the peer has not acknowledged (bytes)."""

    def abort(self) -> None:
        """Closes the connection at once."""


class LingeringClose:
    """Watches a closing connection, and aborts it when its close is over.

    Args:
        connection: The connection; its close begins now.
        stall_timeout_s: Time in which the peer has to acknowledge some of the output.
    """

    def __init__(self, connection: ClosingConnection, stall_timeout_s: float) -> None:
        self.connection = connection
        self.loop = connection.loop
        self.stall_timeout_s = stall_timeout_s
        self.must_end_at = self.loop.time() + MAX_CLOSING_S
        self.is_shut_down = False  # whether the last byte has been passed to the kernel
        self.unacknowledged_bytes = 0  # at the last check
        self.progress_at = 0.0  # when some output was last acknowledged (s, the loop's clock)
        self.delivered_at: float | None = None  # when all output was acknowledged (s, the loop's clock)
        self.discarded_bytes = 0  # since the last check
        self.timer = self.loop.call_at(self.must_end_at, self._end)

    def on_shut_down(self) -> None:
        """The connection has been shut down for writing, behind its last byte."""
        self.is_shut_down = True
        self.unacknowledged_bytes = self.connection.unsent_kernel_bytes()
        self.progress_at = self.loop.time()
        self.timer.cancel()
        self._check()

    def on_input(self, count: int) -> None:
        """Input was discarded (bytes); too much of it pauses reading until the next check."""
        self.discarded_bytes += count
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.connection.transport.pause_reading()

    def cancel(self) -> None:
        """Ends the watch, since the connection is closed."""
        self.timer.cancel()

    def _check(self) -> None:
        now = self.loop.time()
        self._measure(now)
        ends_at = self.progress_at + self.stall_timeout_s
        if self.delivered_at is not None:
            ends_at = self.delivered_at + LINGER_S
        ends_at = min(ends_at, self.must_end_at)
        if now >= ends_at:
            self._end()
            return
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.connection.transport.resume_reading()
        self.discarded_bytes = 0
        self.timer = self.loop.call_at(min(now + CHECK_INTERVAL_S, ends_at), self._check)

    def _measure(self, now: float) -> None:
        unacknowledged_bytes = self.connection.unsent_kernel_bytes()
        if unacknowledged_bytes < self.unacknowledged_bytes:
            self.progress_at = now
        if not unacknowledged_bytes and self.delivered_at is None:
            self.delivered_at = now
        self.unacknowledged_bytes = unacknowledged_bytes

    def _end(self) -> None:
        discard_unread_input(self.connection.transport)
        self.connection.abort()
