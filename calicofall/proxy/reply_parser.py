"""Parser of endpoints' replies, which reads from a ring buffer.

A reply is an error, or an array of a value, a cache status (how the endpoint got the value, or null) and a
load report (or null). A value longer than STREAMING_THRESHOLD_BYTES, or one for which there is no room, is
returned as it arrives, except its last WITHHELD_TAIL_BYTES bytes, which are returned as the reply's value
once the rest of the reply is valid.

Invariants: those of `command_parser.py`; the room of a reply is released when it has been returned, or by
`release`.
"""

import re

from calicofall.proxy.buffers import RingBuffer
from calicofall.proxy.command_memory import CommandMemory
from calicofall.proxy.resp import (
    INCOMPLETE,
    MAX_VALUE_BYTES,
    STREAM_STARTED,
    STREAMING_THRESHOLD_BYTES,
    WITHHELD_TAIL_BYTES,
    ErrorReply,
    Incomplete,
    ProtocolError,
    Value,
)

REPLY_MEMBERS = 3
MAX_LINE_BYTES = 256
SHORT_REPLY_BYTES = 1 << 14  # maximum length of a reply that is parsed in one step
# Every prefix of a valid first line of a reply, and of a valid line with the length of a bulk string.
REPLY_HEAD = re.compile(rb"\*(3(\r\n?)?)?|-([A-Z][ -~]{0,200}(\r\n?)?)?")
BULK_HEAD = re.compile(rb"\$(-(1(\r\n?)?)?|[0-9]{1,7}(\r\n?)?)?")
SHORT_REPLY_HEAD = re.compile(rb"\*3\r\n\$([0-9]{1,5})\r\n")
CACHE_STATUSES = (b"", b"hit", b"miss", b"pending")
# The bytes after the value of a reply without a load report, and the cache status that they contain.
SHORT_REPLY_TAILS = {
    b"\r\n" + (b"$%d\r\n%b" % (len(status), status) if status else b"$-1") + b"\r\n$-1\r\n": status
    for status in CACHE_STATUSES
}


class ReplyParser:
    """Reads one reply after the other and keeps the received part of a reply until it is complete."""

    def __init__(self, ring: RingBuffer, memory: CommandMemory) -> None:
        self.ring = ring
        self.memory = memory
        self.reserved_bytes = 0  # for the reply that is being received
        self.streams_value = False  # whether its value is returned as it arrives
        self.array: list[bytes | None] | None = None  # members received so far; None before a reply's head
        self.bulk_size = -1  # of the bulk string that is being received; -1 outside a bulk string
        self.stream_bytes_left = 0  # of a long value, still to be returned by `take_streamed_bytes`

    def read(self) -> Value | Incomplete:
        """Returns the next reply: a list of three members or an ErrorReply.

        Returns INCOMPLETE while the reply is incomplete, and STREAM_STARTED once at the beginning of a long
        value. The first member of a reply whose value was streamed is the withheld end of the value.

        Raises:
            ProtocolError: The input is not a reply or is too large.
        """
        if self.stream_bytes_left:
            return INCOMPLETE
        if self.bulk_size < 0 and self.array is None and len(self.ring) <= SHORT_REPLY_BYTES:
            reply = self._read_short_reply()
            if reply is not None:
                return reply
        while True:
            if self.array is None:
                head = self._read_head()
                if head is not None:
                    return head
                continue
            progress = self._read_member(self.array)
            if progress is not None:
                return progress
            if len(self.array) == REPLY_MEMBERS:
                value, self.array = self.array, None
                self.release()
                return value

    def take_streamed_bytes(self) -> bytes:
        """Removes and returns the received bytes of a long value, except the bytes to be withheld."""
        data = self.ring.take(min(self.stream_bytes_left, len(self.ring)))
        self.stream_bytes_left -= len(data)
        self.ring.reserve(min(self.memory.chunk_bytes(), self.stream_bytes_left + WITHHELD_TAIL_BYTES))
        return data

    def release(self) -> None:
        """Releases the room of the reply that is being received: it has been returned, or will not be."""
        if self.reserved_bytes:
            self.memory.remove_reply(self.reserved_bytes)
            self.reserved_bytes = 0
        if self.streams_value:
            self.memory.streamed_replies -= 1
            self.streams_value = False

    def has_partial_message(self) -> bool:
        """Whether a reply has been received in part."""
        return self.array is not None or len(self.ring) > 0

    def reply_without_load_report(self) -> list[bytes | None] | None:
        """Returns the current reply with a null load report if only that is missing, else None."""
        if self.array is None or len(self.array) != REPLY_MEMBERS - 1:
            return None
        return [*self.array, None]

    def _read_short_reply(self) -> list[bytes | None] | None:
        """Parses a short, complete reply without a load report in one step; returns None for other input.

        Most replies arrive in this form.
        """
        data = self.ring.peek(SHORT_REPLY_BYTES)
        head = SHORT_REPLY_HEAD.match(data)
        if head is None:
            return None
        value_end = head.end() + int(head[1])
        cache_status = SHORT_REPLY_TAILS.get(data[value_end:])
        if cache_status is None:
            return None
        self.ring.drop(len(data))
        return [data[head.end() : value_end], cache_status or None, None]

    def _read_head(self) -> ErrorReply | Incomplete | None:
        """Reads the first line of a reply; returns None if it is the head of an array."""
        line = self._read_line(REPLY_HEAD)
        if line is None:
            return INCOMPLETE
        if line[:1] == b"-":
            return ErrorReply(line[1:-2])
        self.array = []
        return None

    def _read_member(self, array: list[bytes | None]) -> Incomplete | None:
        """Reads the next part of a member; returns None if it made progress, else why reading stops."""
        if self.streams_value and not array and self.bulk_size > WITHHELD_TAIL_BYTES:
            return self._start_stream()
        if self.bulk_size >= 0:
            return self._read_bulk(array)
        line = self._read_line(BULK_HEAD)
        if line is None:
            return INCOMPLETE
        self.bulk_size = int(line[1:])
        if self.bulk_size > MAX_VALUE_BYTES:
            raise ProtocolError(
                f"bulk string of {self.bulk_size} bytes exceeds the maximum of {MAX_VALUE_BYTES} bytes"
            )
        if self.bulk_size < 0 and not array:
            raise ProtocolError("reply has null as its value")
        if self.bulk_size < 0:
            array.append(None)
        elif not array:
            self._reserve(self.bulk_size)
        return None

    def _reserve(self, size: int) -> None:
        """Decides whether a value is received whole, by the room that there is."""
        # Twice: the copy on the way to the client.
        if size <= STREAMING_THRESHOLD_BYTES and self.memory.try_add_reply(2 * size):
            self.reserved_bytes = 2 * size
        elif size > WITHHELD_TAIL_BYTES:
            self.streams_value = True
            self.memory.streamed_replies += 1

    def _start_stream(self) -> Incomplete:
        if not len(self.ring):
            return INCOMPLETE  # until a byte of the value arrives, another endpoint can still answer
        self.stream_bytes_left = self.bulk_size - WITHHELD_TAIL_BYTES
        self.bulk_size = WITHHELD_TAIL_BYTES
        return STREAM_STARTED

    def _read_bulk(self, array: list[bytes | None]) -> Incomplete | None:
        end = self.ring.peek(2, self.bulk_size) if len(self.ring) > self.bulk_size else b""
        if not b"\r\n".startswith(end):
            raise ProtocolError(f"bulk string of {self.bulk_size} bytes is not followed by a line end")
        if len(end) < 2:
            return INCOMPLETE
        array.append(self.ring.take(self.bulk_size))
        self.ring.drop(2)
        self.bulk_size = -1
        return None

    def _read_line(self, pattern: re.Pattern[bytes]) -> bytes | None:
        """Returns the next line with its line end, or None if it is incomplete.

        Raises:
            ProtocolError: The received bytes are not the beginning of a line of this pattern.
        """
        line = self.ring.peek(MAX_LINE_BYTES)
        line = line[: line.find(b"\n") + 1] or line
        if line and not pattern.fullmatch(line):
            raise ProtocolError(f"expected a line of a reply, found {line[:20]!r}")
        if line[-1:] != b"\n":
            return None
        self.ring.drop(len(line))
        return line
