"""What every connection has in common: a ring buffer a direction, and the bytes that have left.

Owns both buffers and the transport. Must never hand the transport more while it holds some, so that what is
still in the buffer is known not to have left, and must never let an exception out of a callback.
"""

import asyncio
import logging
import socket
from contextlib import suppress

from calicofall.net.buffer import RingBuffer

CHUNK = 1 << 16
log = logging.getLogger("calicofall")
opening: set[asyncio.Task] = set()  # connections that are coming up


class Stream(asyncio.BufferedProtocol):
    def __init__(self) -> None:
        self.inward, self.outward = RingBuffer(), RingBuffer()
        self.transport: asyncio.Transport | None = None
        self.stuck = self.closed = self.closing = False
        self.why = "closed"  # what ended it
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
        if self.closed:
            return
        self.closed = True
        if self.transport is not None:
            # Guards against a second copy: an abort alone leaves the socket open until the loop's next turn.
            plug = self.transport.get_extra_info("socket")
            with suppress(OSError):
                if plug is not None:
                    plug.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
        self.lost()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            self.lost()

    def eof_received(self) -> bool:
        self.cut()  # guards against a half-closed peer that takes no more: what is owed to it is over
        return False

    def opened(self) -> None:
        """The connection is up."""

    def came(self) -> None:
        """Bytes have come."""

    def lost(self) -> None:
        """The connection is over; called once."""


def connect(loop: asyncio.AbstractEventLoop, stream: Stream, place: tuple[str, int], patience: float) -> None:
    """Opens a connection for a stream, which is cut if none comes up in time."""
    task = loop.create_task(_connect(loop, stream, place, patience))
    opening.add(task)
    task.add_done_callback(opening.discard)


async def _connect(loop: asyncio.AbstractEventLoop, stream: Stream, place: tuple[str, int],
                   patience: float) -> None:
    plug = None
    try:
        plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        plug.setblocking(False)
        async with asyncio.timeout(patience):
            await loop.sock_connect(plug, place)
        if not stream.closed:
            await loop.create_connection(lambda: stream, sock=plug)
            return
    except (OSError, TimeoutError) as reason:  # refused, silent, or no descriptor left
        stream.why = getattr(reason, "strerror", None) or "does not come up"
        stream.cut()
    if plug is not None:
        plug.close()
