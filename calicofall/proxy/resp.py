"""Value types and encoders of RESP2, as the RESP2 protocol specification defines them.

The parsers are in `command_parser.py` and `reply_parser.py`.
"""

from typing import Any

MAX_VALUE_BYTES = 4 << 20
STREAMING_THRESHOLD_BYTES = 1 << 16  # a longer value of a reply is forwarded while it is being received
WITHHELD_TAIL_BYTES = 1 << 10  # end of a streamed value, withheld until the rest of its reply is valid


class ProtocolError(Exception):
    """The input is not RESP2 or is too large; the start of the next value is unknown."""


class SimpleString(bytes):
    """A simple string."""


class ErrorReply(bytes):
    """An error reply."""


class Incomplete:
    """Type of the results that a parser returns in place of a complete value."""


INCOMPLETE = Incomplete()
STREAM_STARTED = Incomplete()  # the head of a long reply is valid; its value is to be read as it arrives
Value = bytes | int | list[Any] | None


def encode_bulk(value: bytes) -> bytes:
    """Encodes a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_command(parts: list[bytes]) -> bytes:
    """Encodes a command as an array of bulk strings."""
    return b"*%d\r\n%b" % (len(parts), b"".join(map(encode_bulk, parts)))


def encode_command_chunks(parts: list[bytes]) -> list[bytes]:
    """Encodes a command as chunks to be written in order, so that a long last part is not copied."""
    if len(parts[-1]) <= STREAMING_THRESHOLD_BYTES:
        return [encode_command(parts)]
    leading_parts = b"".join(map(encode_bulk, parts[:-1]))
    head = b"*%d\r\n%b$%d\r\n" % (len(parts), leading_parts, len(parts[-1]))
    return [head, parts[-1], b"\r\n"]


def encode_simple_string(text: str) -> bytes:
    """Encodes a simple string."""
    return b"+%b\r\n" % text.encode()


def encode_error(text: str) -> bytes:
    """Encodes an error reply."""
    return b"-%b\r\n" % text.encode()
