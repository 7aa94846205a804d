"""A parser of clients' commands that reads out of a ring buffer.

Invariants: it never blocks and never looks beyond its buffer; what a peer makes it hold is bounded; a byte
that no command can have at its place is an error at once, not something to wait behind.
"""

from typing import Any

from calicofall.proxy.buffers import RingBuffer
from calicofall.proxy.resp import (
    INCOMPLETE,
    MAX_VALUE_BYTES,
    STREAMING_THRESHOLD_BYTES,
    ErrorReply,
    Incomplete,
    ProtocolError,
    SimpleString,
    Value,
)

MAX_LINE_BYTES = 1024
MAX_ARRAY_MEMBERS = 32
MAX_ARRAY_DEPTH = 4
MAX_MESSAGE_BYTES = MAX_VALUE_BYTES + (1 << 16)
MAX_INTEGER_DIGITS = 18
SHORT_COMMAND_BYTES = 512  # of a command that is read in one look
SHORT_COMMAND_PARTS = 5
LINE_FEED = 10
CARRIAGE_RETURN = 13
DIGITS = frozenset(b"0123456789")
ARRAY_HEADS = {b"*%d" % count: count for count in range(1, SHORT_COMMAND_PARTS + 1)}
TYPE_MARKERS = frozenset({b"$", b"*", b"+", b"-", b":"})
OPENED = Incomplete()  # a line that is no value by itself: the head of an array or of a bulk string


class CommandParser:
    """Reads one value after the other; what has come of a value is kept until it is whole."""

    def __init__(self, ring: RingBuffer) -> None:
        self.ring = ring
        # The members that have come of each array that is open, and how many there will be.
        self.open_arrays: list[tuple[list[Any], int]] = []
        self.bulk_bytes_left = -1  # length of the bulk string that is coming
        self.bulk_chunks: list[bytes] = []  # what has come of a long one
        self.bulk_bytes_read = 0
        self.scanned = 0  # bytes of an unfinished line in which no line feed was found
        self.message_bytes = 0

    def read(self) -> Value | Incomplete:
        """The next value, or INCOMPLETE.

        Raises:
            ProtocolError: The input is no RESP2, or is too large.
        """
        if self.bulk_bytes_left < 0 and not self.open_arrays:
            command = self._read_short_command()
            if command is not None:
                return command
        while True:
            if self.bulk_bytes_left >= 0:
                if not self._bulk_is_whole():
                    return INCOMPLETE
                is_last, outermost = self._add(self._take_bulk())
            else:
                line = self._read_line()
                if line is None:
                    return INCOMPLETE
                value = self._parse_line(line)
                if isinstance(value, Incomplete):
                    continue
                is_last, outermost = self._add(value)
            if is_last:
                return outermost

    @property
    def is_reading_long_value(self) -> bool:
        """Whether a long value is coming: memory is taken for what has come of it, not for its length."""
        return self.bulk_bytes_left > STREAMING_THRESHOLD_BYTES

    def has_partial_message(self) -> bool:
        """Whether a value has begun and not ended."""
        return bool(self.open_arrays) or self.bulk_bytes_left >= 0 or len(self.ring) > 0

    def _bulk_is_whole(self) -> bool:
        read_all = self.bulk_bytes_read >= self.bulk_bytes_left
        if self.is_reading_long_value and not read_all and not self._read_long_value():
            return False
        return len(self.ring) >= self.bulk_bytes_left - self.bulk_bytes_read + 2

    def _take_bulk(self) -> bytes:
        is_chunked = self.bulk_bytes_read > 0
        value = b"".join(self.bulk_chunks) if is_chunked else self.ring.take(self.bulk_bytes_left)
        self.bulk_bytes_left = -1
        self.bulk_bytes_read = 0
        self.bulk_chunks = []
        if self.ring.take(2) != b"\r\n":
            raise ProtocolError("a bulk string of another length than announced")
        return value

    def _parse_line(self, line: bytes) -> Value | Incomplete:
        """The value of a line; OPENED if the line opens an array or a bulk string."""
        marker, rest = line[:1], line[1:]
        if marker == b"$":
            return self._open_bulk(rest)
        if marker == b"*":
            return self._open_array(rest)
        if marker == b"+":
            return SimpleString(rest)
        if marker == b"-":
            return ErrorReply(rest)
        if marker == b":":
            return self._parse_integer(rest)
        raise ProtocolError("not RESP2")

    def _open_bulk(self, length_text: bytes) -> Value | Incomplete:
        length = self._parse_length(length_text, MAX_VALUE_BYTES)
        if length < 0:
            return None
        self._count_bytes(length)
        self.bulk_bytes_left = length
        return OPENED

    def _open_array(self, length_text: bytes) -> Value | Incomplete:
        length = self._parse_length(length_text, MAX_ARRAY_MEMBERS)
        if length < 0:
            return None
        if length == 0:
            return []
        if len(self.open_arrays) >= MAX_ARRAY_DEPTH:
            raise ProtocolError("arrays too deep")
        self.open_arrays.append(([], length))
        return OPENED

    def _parse_length(self, text: bytes, maximum: int) -> int:
        length = self._parse_integer(text)
        if length > maximum:
            raise ProtocolError("too large")
        if length < -1:
            raise ProtocolError("a negative length")
        return length

    def _add(self, value: Value) -> tuple[bool, Value]:
        """Adds a value to the innermost array; whether the outermost value is whole by it, and that value."""
        while self.open_arrays:
            members, length = self.open_arrays[-1]
            members.append(value)
            if len(members) < length:
                return False, None
            value = members
            self.open_arrays.pop()
        self.message_bytes = 0
        return True, value

    def _read_long_value(self) -> bool:
        """Takes what has come of a long value; whether that is all of it."""
        left = self.bulk_bytes_left - self.bulk_bytes_read
        chunk = self.ring.take(min(len(self.ring), left))
        if chunk:
            self.bulk_chunks.append(chunk)
            self.bulk_bytes_read += len(chunk)
            left -= len(chunk)
        self.ring.reserve(min(STREAMING_THRESHOLD_BYTES, left + 2))
        return left == 0

    def _read_short_command(self) -> list[bytes] | None:
        """A short command that has come whole, in one look: most are, and each step costs processor time."""
        first, *pieces = self.ring.peek(SHORT_COMMAND_BYTES).split(b"\r\n", 2 * SHORT_COMMAND_PARTS + 1)
        count = ARRAY_HEADS.get(first, 0)
        items = pieces[1 : 2 * count : 2]
        if (
            not count
            or len(pieces) <= 2 * count
            or any(size != b"$%d" % len(item) for size, item in zip(pieces[::2], items, strict=False))
        ):
            return None
        self.ring.drop(len(first) + 2 + sum(map(len, pieces[: 2 * count])) + 4 * count)
        self.scanned = 0
        return items

    def _read_line(self) -> bytes | None:
        """The next line without its end; None if it has not come whole."""
        end = self.ring.find(LINE_FEED, self.scanned)
        if end < 0:
            self.scanned = len(self.ring)
            if self.scanned > MAX_LINE_BYTES:
                raise ProtocolError("a line too long")
            if self.scanned and self.ring.peek(1) not in TYPE_MARKERS:
                raise ProtocolError("not RESP2")
            return None
        self.scanned = 0
        line = self.ring.take(end + 1)
        if not 3 <= len(line) <= MAX_LINE_BYTES or line[-2] != CARRIAGE_RETURN:
            raise ProtocolError("a line too short, too long or without its end")
        self._count_bytes(len(line))
        return line[:-2]

    def _count_bytes(self, count: int) -> None:
        self.message_bytes += count
        if self.message_bytes > MAX_MESSAGE_BYTES:
            raise ProtocolError("a message too large")

    @staticmethod
    def _parse_integer(text: bytes) -> int:
        digits = text[1:] if text[:1] == b"-" else text
        if not digits or len(digits) > MAX_INTEGER_DIGITS or not DIGITS.issuperset(digits):
            raise ProtocolError("a number that is none")
        return int(text)
