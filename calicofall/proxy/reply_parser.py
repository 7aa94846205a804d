"""A parser of endpoints' replies that reads out of a ring buffer.

A reply is an array of a value, a note on how it went (or null) and a load report (or null); or an error. A
value over STREAMED_VALUE_BYTES is handed out as it comes, but for its last bytes, which stand for it once the
rest of the reply has proved right.

Invariants: as in `command_parser.py`.
"""

import re

from calicofall.proxy.buffers import RingBuffer
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
QUICK_REPLY_BYTES = 1 << 14  # of a reply that is read in one look
# How the first line of a reply may begin, and the line that announces a bulk string, up to any byte of them.
REPLY_HEAD = re.compile(rb"\*(3(\r\n?)?)?|-([A-Z][ -~]{0,200}(\r\n?)?)?")
BULK_HEAD = re.compile(rb"\$(-(1(\r\n?)?)?|[0-9]{1,7}(\r\n?)?)?")
QUICK_REPLY_HEAD = re.compile(rb"\*3\r\n\$([0-9]{1,5})\r\n")
NOTES = (b"", b"hit", b"miss", b"pending")
# What follows the value of a reply without a load report, and its note.
QUICK_REPLY_TAILS = {
    b"\r\n" + (b"$%d\r\n%b" % (len(note), note) if note else b"$-1") + b"\r\n$-1\r\n": note for note in NOTES
}


class ReplyParser:
    """Reads one reply after the other; what has come of a reply is kept until it is whole."""

    def __init__(self, ring: RingBuffer) -> None:
        self.ring = ring
        self.array: list[bytes | None] | None = None  # the members that have come
        self.bulk_size = -1  # of the bulk string that is coming
        self.stream_bytes_left = 0  # of a long value, to be taken as they come

    def read(self) -> Value | Incomplete:
        """The next reply: a list of three, or an ErrorReply; INCOMPLETE, or STREAM_BEGUN for a long value.

        Of a value that was streamed, its held back end stands for the value.

        Raises:
            ProtocolError: The input is no reply, or is too large.
        """
        if self.stream_bytes_left:
            return INCOMPLETE
        if self.bulk_size < 0 and self.array is None and len(self.ring) <= QUICK_REPLY_BYTES:
            reply = self._read_quick()
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
                return value

    def take_streamed_bytes(self) -> bytes:
        """Removes and returns what has come of a long value, but for the bytes to be held back."""
        data = self.ring.take(min(self.stream_bytes_left, len(self.ring)))
        self.stream_bytes_left -= len(data)
        self.ring.reserve(min(STREAMING_THRESHOLD_BYTES, self.stream_bytes_left + WITHHELD_TAIL_BYTES))
        return data

    def has_partial_message(self) -> bool:
        """Whether a reply has begun and not ended."""
        return self.array is not None or len(self.ring) > 0

    def reply_without_load_report(self) -> list[bytes | None] | None:
        """A reply of which only the load report is missing; None if there is none."""
        if self.array is None or len(self.array) != REPLY_MEMBERS - 1:
            return None
        return [*self.array, None]

    def _read_quick(self) -> list[bytes | None] | None:
        """A reply without a load report that has come whole, in one look: most do."""
        data = self.ring.peek(QUICK_REPLY_BYTES)
        head = QUICK_REPLY_HEAD.match(data)
        if head is None:
            return None
        value_end = head.end() + int(head[1])
        note = QUICK_REPLY_TAILS.get(data[value_end:])
        if note is None:
            return None
        self.ring.drop(len(data))
        return [data[head.end() : value_end], note or None, None]

    def _read_head(self) -> ErrorReply | Incomplete | None:
        """Reads the first line of a reply; None once it has opened the array."""
        line = self._read_line(REPLY_HEAD)
        if line is None:
            return INCOMPLETE
        if line[:1] == b"-":
            return ErrorReply(line[1:-2])
        self.array = []
        return None

    def _read_member(self, array: list[bytes | None]) -> Incomplete | None:
        """Reads on towards the next member; None if a step was made."""
        if self.bulk_size > STREAMING_THRESHOLD_BYTES and not array:
            return self._begin_stream()
        if self.bulk_size >= 0:
            return self._read_bulk(array)
        line = self._read_line(BULK_HEAD)
        if line is None:
            return INCOMPLETE
        self.bulk_size = int(line[1:])
        if self.bulk_size > MAX_VALUE_BYTES:
            raise ProtocolError("too large")
        if self.bulk_size >= 0:
            self.ring.reserve(min(STREAMING_THRESHOLD_BYTES, self.bulk_size) + 2)
        elif not array:
            raise ProtocolError("no value")
        else:
            array.append(None)
        return None

    def _begin_stream(self) -> Incomplete:
        if not len(self.ring):
            return INCOMPLETE  # with the head alone another endpoint can still answer
        self.stream_bytes_left = self.bulk_size - WITHHELD_TAIL_BYTES
        self.bulk_size = WITHHELD_TAIL_BYTES
        return STREAM_STARTED

    def _read_bulk(self, array: list[bytes | None]) -> Incomplete | None:
        end = self.ring.peek(2, self.bulk_size) if len(self.ring) > self.bulk_size else b""
        if not b"\r\n".startswith(end):
            raise ProtocolError("a bulk string of another length than announced")
        if len(end) < 2:
            return INCOMPLETE
        array.append(self.ring.take(self.bulk_size))
        self.ring.drop(2)
        self.bulk_size = -1
        return None

    def _read_line(self, pattern: re.Pattern[bytes]) -> bytes | None:
        """The next line with its end; None if it has not come whole.

        Raises:
            ProtocolError: What has come can't be the beginning of such a line.
        """
        line = self.ring.peek(MAX_LINE_BYTES)
        line = line[: line.find(b"\n") + 1] or line
        if line and not pattern.fullmatch(line):
            raise ProtocolError(f"no reply: {line[:20]!r}")
        if line[-1:] != b"\n":
            return None
        self.ring.drop(len(line))
        return line
