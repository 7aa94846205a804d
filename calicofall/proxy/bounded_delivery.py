"""Writes a command that must not arrive after a certain time: a repeat whose first run may be forgotten then.

An endpoint begins a command when its last byte has come. The kernel goes on sending what it holds, also while
the process is late or stopped, so the end of the command is withheld until the endpoint's kernel has
acknowledged all that precedes it, and is written only if enough time is left.

Invariants: the last byte is not passed on later than HAND_OVER_MARGIN_S before the end; if the endpoint's
kernel has not acknowledged it by the end, the delivery fails, and the connection has to be reset.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

WITHHELD_BYTES = 1024  # the end of a command, which fits into one segment
HAND_OVER_MARGIN_S = 0.01  # for the last segment to arrive
CHECK_INTERVAL_S = 0.005


class DeliveringConnection(Protocol):
    """The connection on which the command is written."""

    loop: asyncio.AbstractEventLoop
    closed: bool

    def write(self, data: bytes | memoryview) -> None:
        """Writes or queues output."""

    def has_undelivered_output(self) -> bool:
        """Whether the endpoint's kernel has not acknowledged all output that was written."""


class BoundedDelivery:
    """The delivery of one command.

    Args:
        connection: The connection; all that was written to it before has been delivered.
        chunks: The command's bytes.
        ends_at: When the last byte has to have arrived (s, the loop's clock).
        may_finish: Asked right before the end of the command is written: whether it may still be sent.
        on_failed: Called once if the command can no longer arrive in time, or may not be sent any more.
    """

    def __init__(
        self,
        connection: DeliveringConnection,
        chunks: Sequence[bytes],
        ends_at: float,
        may_finish: Callable[[], bool],
        on_failed: Callable[[], None],
    ) -> None:
        self.connection = connection
        self.loop = connection.loop
        self.ends_at = ends_at
        self.may_finish = may_finish
        self.on_failed = on_failed
        self.timer: asyncio.TimerHandle | None = None
        self.is_over = False
        beginning, self.withheld = split_end(chunks, WITHHELD_BYTES)
        for chunk in beginning:
            connection.write(chunk)
        self._check()

    def cancel(self) -> None:
        """Ends the delivery: the command has been answered or given up, or its connection is closed."""
        self.is_over = True
        if self.timer is not None:
            self.timer.cancel()

    def _check(self) -> None:
        self.timer = None
        if self.is_over or self.connection.closed:
            return
        if self.loop.time() >= self.ends_at:
            self._fail()
            return
        if not self.connection.has_undelivered_output():
            if not self.withheld:
                self.is_over = True
                return
            if not self._write_end():
                return
        self.timer = self.loop.call_at(min(self.loop.time() + CHECK_INTERVAL_S, self.ends_at), self._check)

    def _write_end(self) -> bool:
        """Writes the end of the command if there is time; returns False if the delivery has failed."""
        if self.loop.time() >= self.ends_at - HAND_OVER_MARGIN_S:
            return True  # too late: nothing is written, and the delivery fails at its end
        if not self.may_finish():
            self._fail()
            return False
        end, self.withheld = self.withheld, b""
        self.connection.write(end)
        return True

    def _fail(self) -> None:
        self.cancel()
        self.on_failed()


def split_end(chunks: Sequence[bytes], count: int) -> tuple[list[bytes | memoryview], bytes]:
    """Splits the last `count` bytes off, or all if there are fewer; large chunks are not copied."""
    beginning: list[bytes | memoryview] = list(chunks)
    end = b""
    while beginning and len(end) < count:
        chunk = beginning.pop()
        kept = max(0, len(chunk) - (count - len(end)))
        end = bytes(chunk[kept:]) + end
        if kept:
            beginning.append(memoryview(chunk)[:kept])
    return beginning, end
