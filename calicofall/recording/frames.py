"""The byte format of a record: a line that names the format, then frames with a length and a checksum.

    file    MAGIC VERSION line feed, frame, frame, ...
    frame   length of the body (4 bytes), CRC-32 of length and body (4 bytes), body: zlib-compressed JSON

The first frame is the head, a JSON object. Every other frame is a JSON array of events, each of the form
[kind, time (ms), ...]. Each frame can be decoded without the others, so a process that crashes loses only the
frame that it was writing.

Invariants: decoding arbitrary bytes raises no errors other than `RecordFormatError` and yields nothing that
does not match its checksum; a truncated or damaged record is readable up to the last intact frame.
"""

import zlib
from collections.abc import Iterator
from typing import Any

import orjson

MAGIC = b"calicofall-record "
VERSION = 1
MAX_FRAME_BYTES = 64 << 20  # after decompression
FRAME_HEADER_BYTES = 8  # sum of LENGTH_BYTES and CHECKSUM_BYTES
LENGTH_BYTES = 4
CHECKSUM_BYTES = 4
FIRST_LINE_BYTES = 64  # maximum length of the first line


class RecordFormatError(Exception):
    """A file is not a complete record."""


class UnreadableRecordError(RecordFormatError):
    """A file is not a record, or its head cannot be read; the message gives the reason."""


class TruncatedRecordError(RecordFormatError):
    """A record is truncated or damaged; the message gives the position and the reason."""


def file_header() -> bytes:
    """Returns the first line of a record file."""
    return MAGIC + b"%d\n" % VERSION


def encode_json(value: Any) -> bytes:
    """Encodes the content of a frame as JSON text, not yet compressed.

    Raises:
        TypeError: The value cannot be represented in JSON, such as an integer of more than 64 bits.
    """
    return orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS)


def encode_frame(content: bytes) -> bytes:
    """Compresses JSON text into a frame. Compression is too slow to run on the event loop."""
    body = zlib.compress(content, 1)
    length = len(body).to_bytes(LENGTH_BYTES)
    return length + _checksum(length, body) + body


def open_record(data: bytes) -> tuple[dict[str, Any], Iterator[list[Any]]]:
    """Reads the head of a record; the event frames are decoded lazily.

    Returns:
        The head, and an iterator over the event lists of the frames. The iterator raises TruncatedRecordError
        where the record is truncated or damaged.

    Raises:
        UnreadableRecordError: The data is not a record, has another format version, or its head is damaged.
    """
    if not data:
        raise UnreadableRecordError("the file is empty")
    line, line_feed, _ = data[:FIRST_LINE_BYTES].partition(b"\n")
    if not line.startswith(MAGIC) or not line_feed:
        raise UnreadableRecordError(f"not a record: the first line does not start with {MAGIC.decode()!r}")
    version = line[len(MAGIC) :]
    if not version.isdigit() or int(version) != VERSION:
        found = version.decode("ascii", "replace")
        raise UnreadableRecordError(f"record format version is {found!r}, expected {VERSION}")
    contents = _frame_contents(data, len(line) + 1)
    try:
        head = next(contents, None)
    except TruncatedRecordError as reason:
        raise UnreadableRecordError(f"no head: {reason}") from reason
    if not isinstance(head, dict):
        raise UnreadableRecordError("no head: expected a JSON object in the first frame")
    return head, contents


def _checksum(length: bytes, body: bytes) -> bytes:
    return zlib.crc32(body, zlib.crc32(length)).to_bytes(CHECKSUM_BYTES)


def _frame_contents(data: bytes, start: int) -> Iterator[Any]:
    """Yields the decoded contents of the frames from a byte position on."""
    at = start
    while at < len(data):
        body_at = at + FRAME_HEADER_BYTES
        length = data[at : at + LENGTH_BYTES]
        end = body_at + int.from_bytes(length)
        if body_at > len(data) or end > len(data):
            raise TruncatedRecordError(f"cut off in a frame at byte {at}")
        body = data[body_at:end]
        if _checksum(length, body) != data[at + LENGTH_BYTES : body_at]:
            raise TruncatedRecordError(f"a frame at byte {at} does not match its checksum")
        yield _unpack(body, at)
        at = end


def _unpack(body: bytes, at: int) -> Any:
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(body, MAX_FRAME_BYTES)
        if unpacker.eof:
            return orjson.loads(content)
    except (zlib.error, ValueError) as reason:
        raise TruncatedRecordError(
            f"frame at byte {at}: expected zlib-compressed JSON of at most {MAX_FRAME_BYTES} bytes"
        ) from reason
    raise TruncatedRecordError(
        f"frame at byte {at}: expected zlib-compressed JSON of at most {MAX_FRAME_BYTES} bytes"
    )
