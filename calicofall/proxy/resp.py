"""RESP2: the values of the protocol, and how they are written.

The parsers stand in `command_parser.py` and `reply_parser.py`. Source: the RESP2 protocol specification.
"""

from typing import Any

MAX_VALUE_BYTES = 4 << 20
STREAMING_THRESHOLD_BYTES = 1 << 16  # over which a reply's value is passed on as it comes
WITHHELD_TAIL_BYTES = 1 << 10  # of a streamed value, until the rest of its reply has proved right


class ProtocolError(Exception):
    """Input that is no RESP2, or is too large; framing is lost."""


class SimpleString(bytes):
    """A simple string."""


class ErrorReply(bytes):
    """An error reply."""


class Incomplete:
    """Stands for a value that has not come whole."""


INCOMPLETE = Incomplete()
STREAM_STARTED = Incomplete()  # the head of a long reply is right; its value is to be taken as it comes
Value = bytes | int | list[Any] | None


def encode_bulk(value: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_command(parts: list[bytes]) -> bytes:
    """An array of bulk strings."""
    return b"*%d\r\n%b" % (len(parts), b"".join(map(encode_bulk, parts)))


def encode_command_chunks(parts: list[bytes]) -> list[bytes]:
    """A command in pieces to be written in order, so that a long value at its end is not copied."""
    if len(parts[-1]) <= STREAMING_THRESHOLD_BYTES:
        return [encode_command(parts)]
    leading_parts = b"".join(map(encode_bulk, parts[:-1]))
    head = b"*%d\r\n%b$%d\r\n" % (len(parts), leading_parts, len(parts[-1]))
    return [head, parts[-1], b"\r\n"]


def encode_simple_string(text: str) -> bytes:
    """A simple string."""
    return b"+%b\r\n" % text.encode()


def encode_error(text: str) -> bytes:
    """An error reply."""
    return b"-%b\r\n" % text.encode()
