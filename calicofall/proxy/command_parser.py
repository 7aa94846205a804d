"""Parser of clients' commands, which reads from a ring buffer.

Invariants: it never blocks and reads nothing but its buffer; a byte that cannot occur at its position in a
command is reported at once, not after more input. A parser of commands alone does not read a long value
before it is accepted or discarded, and keeps MAX_COMMAND_PARTS + 1 parts of MAX_FIELD_BYTES besides it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from io import BytesIO
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
SHORT_COMMAND_BYTES = 512  # maximum length of a command that is parsed in one step
SHORT_COMMAND_PARTS = 5
LINE_FEED = 10
CARRIAGE_RETURN = 13
# Of a parser of commands alone. One more part is kept, so that there are seen to be too many.
MAX_COMMAND_PARTS = 5
MAX_FIELD_BYTES = 2048  # of any part but the value, the last one of MAX_COMMAND_PARTS
SHORT_VALUE_BYTES = 2048  # a longer value waits until it is accepted or discarded
PART_OVERHEAD_BYTES = 64  # of the object that holds a part
DIGITS = frozenset(b"0123456789")
ARRAY_HEADS = {b"*%d" % count: count for count in range(1, SHORT_COMMAND_PARTS + 1)}
TYPE_MARKERS = frozenset({b"$", b"*", b"+", b"-", b":"})
VALUE_OPENED = Incomplete()  # a line that is the head of an array or of a bulk string, not a value by itself


class LongValueUse(Enum):
    """What is done with the long value that is next in the input."""

    UNDECIDED = "undecided"  # it is not read
    ACCEPTED = "accepted"
    DISCARDED = "discarded"  # it is read and replaced by an empty value


@dataclass(slots=True)
class IncompleteArray:
    """An array of which some members have not been received."""

    length: int
    members: list[Any]  # those that are kept
    received_count: int = 0


class CommandParser:
    """Reads one value after the other and keeps the received part of a value until it is complete."""

    def __init__(
        self,
        ring: RingBuffer,
        chunk_bytes: Callable[[], int] = lambda: STREAMING_THRESHOLD_BYTES,
        commands_only: bool = False,
    ) -> None:
        """Creates a parser.

        Args:
            ring: The input.
            chunk_bytes: Returns how much of a long value is received at once.
            commands_only: Whether only commands are valid, arrays of short bulk strings and a value, and a
                long value waits until it is accepted or discarded.
        """
        self.ring = ring
        self.commands_only = commands_only
        self.long_value_threshold = SHORT_VALUE_BYTES if commands_only else STREAMING_THRESHOLD_BYTES
        self.chunk_bytes = chunk_bytes
        self.incomplete_arrays: list[IncompleteArray] = []  # the outermost first
        self.bulk_length = -1  # of the bulk string that is being received; -1 outside a bulk string
        # Received part of a long bulk string; returns it without another copy.
        self.long_value: BytesIO | None = None
        self.bulk_bytes_read = 0
        self.long_value_use = LongValueUse.ACCEPTED
        self.scanned_bytes = 0  # length of the incomplete line in which no line feed was found
        self.message_bytes = 0

    def read(self) -> Value | Incomplete:
        """Returns the next value, or INCOMPLETE.

        Raises:
            ProtocolError: The input is not RESP2 or is too large.
        """
        if self.bulk_length < 0 and not self.incomplete_arrays:
            command = self._read_short_command()
            if command is not None:
                return command
        while True:
            if self.bulk_length >= 0:
                if not self._is_bulk_complete():
                    return INCOMPLETE
                is_complete, outermost = self._add(self._take_bulk())
            else:
                line = self._read_line()
                if line is None:
                    return INCOMPLETE
                value = self._parse_line(line)
                if isinstance(value, Incomplete):
                    continue
                is_complete, outermost = self._add(value)
            if is_complete:
                return outermost

    @property
    def is_reading_long_value(self) -> bool:
        """Whether a long value is being received, for which memory is allocated as it arrives."""
        return self.bulk_length > self.long_value_threshold

    @property
    def long_value_awaits_decision(self) -> bool:
        """Whether a long value is next, and is neither accepted nor discarded."""
        return self.is_reading_long_value and self.long_value_use is LongValueUse.UNDECIDED

    @property
    def long_value_bytes(self) -> int:
        """Memory that the long value being read needs when it is complete."""
        is_kept = self.is_reading_long_value and self.long_value_use is LongValueUse.ACCEPTED
        return self.bulk_length if is_kept else 0

    def accept_long_value(self) -> None:
        """Lets the long value that is next be read."""
        self.long_value_use = LongValueUse.ACCEPTED

    def discard_long_value(self) -> None:
        """Lets the long value that is next be read without being kept."""
        self.long_value_use = LongValueUse.DISCARDED

    def parts_received(self) -> list[Any]:
        """Returns the complete members of the outermost array that is incomplete."""
        return self.incomplete_arrays[0].members if self.incomplete_arrays else []

    def kept_bytes(self) -> int:
        """Returns the memory of the complete members of arrays that are incomplete."""
        parts = self.parts_received()
        return sum(PART_OVERHEAD_BYTES + (len(part) if isinstance(part, bytes) else 0) for part in parts)

    def has_partial_message(self) -> bool:
        """Whether a value has been received in part."""
        return bool(self.incomplete_arrays) or self.bulk_length >= 0 or len(self.ring) > 0

    def _is_bulk_complete(self) -> bool:
        if self.long_value_awaits_decision:
            return False
        has_read_all = self.bulk_bytes_read >= self.bulk_length
        if self.is_reading_long_value and not has_read_all and not self._read_long_value():
            return False
        return len(self.ring) >= self.bulk_length - self.bulk_bytes_read + 2

    def _take_bulk(self) -> bytes:
        if self.bulk_bytes_read == 0:
            value = self.ring.take(self.bulk_length)
        else:
            value = b"" if self.long_value is None else self.long_value.getvalue()
        self.bulk_length = -1
        self.bulk_bytes_read = 0
        self.long_value = None
        self.long_value_use = LongValueUse.ACCEPTED
        if self.ring.take(2) != b"\r\n":
            raise ProtocolError("a bulk string of another length than announced")
        return value

    def _parse_line(self, line: bytes) -> Value | Incomplete:
        """Returns the value of a line; VALUE_OPENED if the line is the head of an array or a bulk string."""
        marker, rest = line[:1], line[1:]
        if marker == b"$":
            return self._start_bulk(rest)
        if marker == b"*":
            return self._start_array(rest)
        if marker == b"+":
            return SimpleString(rest)
        if marker == b"-":
            return ErrorReply(rest)
        if marker == b":":
            return self._parse_integer(rest)
        raise ProtocolError("not RESP2")

    def _start_bulk(self, length_text: bytes) -> Value | Incomplete:
        length = self._parse_length(length_text, MAX_VALUE_BYTES)
        if length < 0:
            return None
        self._add_message_bytes(length)
        self.bulk_length = length
        if self.commands_only and length > min(MAX_FIELD_BYTES, SHORT_VALUE_BYTES):
            self._check_long_part(length)
        return VALUE_OPENED

    def _check_long_part(self, length: int) -> None:
        """Lets a long value wait for a decision.

        Raises:
            ProtocolError: It is another part of the command, and too long.
        """
        before_value = MAX_COMMAND_PARTS - 1
        if any(
            command.length == MAX_COMMAND_PARTS and command.received_count == before_value
            for command in self.incomplete_arrays
        ):
            self.long_value_use = LongValueUse.UNDECIDED
        elif length > MAX_FIELD_BYTES:
            raise ProtocolError("a part of a command too long")

    def _start_array(self, length_text: bytes) -> Value | Incomplete:
        length = self._parse_length(length_text, MAX_ARRAY_MEMBERS)
        if length < 0:
            return None
        if length == 0:
            return []
        if len(self.incomplete_arrays) >= (1 if self.commands_only else MAX_ARRAY_DEPTH):
            raise ProtocolError("arrays too deep")
        self.incomplete_arrays.append(IncompleteArray(length, []))
        return VALUE_OPENED

    def _parse_length(self, text: bytes, maximum: int) -> int:
        length = self._parse_integer(text)
        if length > maximum:
            raise ProtocolError("too large")
        if length < -1:
            raise ProtocolError("a negative length")
        return length

    def _add(self, value: Value) -> tuple[bool, Value]:
        """Adds a value to the innermost array.

        Returns:
            Whether the outermost value is complete now, and that value.
        """
        while self.incomplete_arrays:
            array = self.incomplete_arrays[-1]
            array.received_count += 1
            if self._keeps_member(array):
                array.members.append(value)
            if array.received_count < array.length:
                return False, None
            value = array.members
            self.incomplete_arrays.pop()
        self.message_bytes = 0
        return True, value

    def _keeps_member(self, array: IncompleteArray) -> bool:
        return not self.commands_only or len(array.members) <= MAX_COMMAND_PARTS

    def _read_long_value(self) -> bool:
        """Reads the received bytes of a long value; returns whether the value is complete."""
        left = self.bulk_length - self.bulk_bytes_read
        chunk = self.ring.take(min(len(self.ring), left))
        if chunk:
            if self.long_value_use is LongValueUse.ACCEPTED:
                if self.long_value is None:
                    self.long_value = BytesIO()
                self.long_value.write(chunk)
            self.bulk_bytes_read += len(chunk)
            left -= len(chunk)
        self.ring.reserve(min(self.chunk_bytes(), left + 2))
        return left == 0

    def _read_short_command(self) -> list[bytes] | None:
        """Parses a short command that was received completely in one step; returns None for other input.

        Most commands are short, and parsing them value by value costs processor time at each step.
        """
        head, *lines = self.ring.peek(SHORT_COMMAND_BYTES).split(b"\r\n", 2 * SHORT_COMMAND_PARTS + 1)
        count = ARRAY_HEADS.get(head, 0)
        values = lines[1 : 2 * count : 2]
        if (
            not count
            or len(lines) <= 2 * count
            or any(length != b"$%d" % len(value) for length, value in zip(lines[::2], values, strict=False))
        ):
            return None
        self.ring.drop(len(head) + 2 + sum(map(len, lines[: 2 * count])) + 4 * count)
        self.scanned_bytes = 0
        return values

    def _read_line(self) -> bytes | None:
        """Returns the next line without its line end, or None if it is incomplete."""
        end = self.ring.find(LINE_FEED, self.scanned_bytes)
        if end < 0:
            self.scanned_bytes = len(self.ring)
            if self.scanned_bytes > MAX_LINE_BYTES:
                raise ProtocolError("a line too long")
            if self.scanned_bytes and self.ring.peek(1) not in TYPE_MARKERS:
                raise ProtocolError("not RESP2")
            return None
        self.scanned_bytes = 0
        line = self.ring.take(end + 1)
        if not 3 <= len(line) <= MAX_LINE_BYTES or line[-2] != CARRIAGE_RETURN:
            raise ProtocolError("a line too short, too long or without its end")
        self._add_message_bytes(len(line))
        return line[:-2]

    def _add_message_bytes(self, count: int) -> None:
        self.message_bytes += count
        if self.message_bytes > MAX_MESSAGE_BYTES:
            raise ProtocolError("a message too large")

    @staticmethod
    def _parse_integer(text: bytes) -> int:
        digits = text[1:] if text[:1] == b"-" else text
        if not digits or len(digits) > MAX_INTEGER_DIGITS or not DIGITS.issuperset(digits):
            raise ProtocolError("a number that is none")
        return int(text)
