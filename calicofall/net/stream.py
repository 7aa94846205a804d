"""What every connection has in common: a ring buffer a direction, and the bytes that have left.

Owns both buffers and the transport. Must never hand the transport more while it holds some, so that what is
still in the buffer is known not to have left, and must never let an exception out of a callback.
"""

import asyncio
import logging

from calicofall.net.buffer import RingBuffer

CHUNK = 1 << 16
log = logging.getLogger("calicofall")


class Stream(asyncio.BufferedProtocol):
    def __init__(self) -> None:
        self.inward, self.outward = RingBuffer(), RingBuffer()
        self.transport: asyncio.Transport | None = None
        self.stuck = self.closed = self.closing = False
        self.written = self.handed = 0  # bytes put into the outward buffer; of these, given to the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        if self.closed:  # given up while it came up
            transport.abort()
            return
        self.opened()
        self.flush()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.inward.free()

    def buffer_updated(self, count: int) -> None:
        self.inward.filled(count)
        try:
            self.came()
        except Exception as reason:  # guards against one connection's trouble ending the proxy's
            log.exception("connection cut", extra={"reason": repr(reason)})
            self.cut()

    def write(self, data: bytes) -> None:
        if self.closed or self.closing:
            return
        try:
            self.outward.write(data)
        except BufferError:  # the peer does not read
            self.cut()
            return
        self.written += len(data)
        self.flush()

    def flush(self) -> None:
        if self.transport is None or self.closed:
            return
        while len(self.outward) and not self.stuck:
            chunk = self.outward.take(CHUNK)
            self.handed += len(chunk)
            self.transport.write(chunk)
        if self.closing and not len(self.outward):
            self.transport.close()

    def pause_writing(self) -> None:
        self.stuck = True

    def resume_writing(self) -> None:
        self.stuck = False
        self.flush()

    def close(self) -> None:
        """Close once all that was written has left."""
        if not self.closing:
            self.closing = True
            self.flush()

    def cut(self) -> None:
        """Close at once; what has not left is lost."""
        if not self.closed:
            if self.transport is not None:
                self.transport.abort()
            self._over()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self._over()

    def eof_received(self) -> bool:
        return False

    def _over(self) -> None:
        self.closed = True
        self.lost()

    def opened(self) -> None:
        """The connection is up."""

    def came(self) -> None:
        """Bytes have come."""

    def lost(self) -> None:
        """The connection is over; called once."""
