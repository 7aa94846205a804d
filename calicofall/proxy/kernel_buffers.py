"""What the kernel holds of a TCP connection: output the peer has not acknowledged, and unread input.

The functions return 0, or do nothing, for a transport without a socket.
"""

import os
import socket
import struct
import sys
from contextlib import suppress
from fcntl import ioctl
from termios import FIONREAD, TIOCOUTQ
from typing import Any

READ_SIZE_BYTES = 1 << 16
MAX_DISCARDED_INPUT_BYTES = 1 << 23  # by one call: more than a socket's receive buffer usually holds
SO_MEMINFO = 55  # of Linux; `socket` does not name it
MEMINFO = struct.Struct("II")  # its first fields: allocated for input, and the limit of that (bytes)
CROWDED_FRACTION = 0.5  # of that limit
CROWDED_UNREAD_BYTES = 1 << 15  # where the system does not tell
ABORTIVE_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER, on, for 0 s


def unacknowledged_bytes(transport: Any) -> int:
    """Returns how much output the peer's kernel has not acknowledged; a FIN counts as one byte."""
    return _byte_count(transport, TIOCOUTQ)


def unread_bytes(transport: Any) -> int:
    """Returns how much input can be read (bytes)."""
    return _byte_count(transport, FIONREAD)


def is_receive_buffer_crowded(transport: Any) -> bool:
    """Returns whether so much input is unread that the peer may be unable to send all that it wrote."""
    unread = unread_bytes(transport)
    if not unread:
        return False
    raw_socket = transport.get_extra_info("socket")
    try:
        memory = raw_socket.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size)
    except OSError:
        return unread >= CROWDED_UNREAD_BYTES
    allocated, limit = MEMINFO.unpack(memory)
    return bool(allocated >= CROWDED_FRACTION * limit)


def discard_unread_input(transport: Any) -> None:
    """Reads and drops input, because closing a socket over it resets the connection."""
    file_descriptor = _file_descriptor(transport)
    if file_descriptor < 0:
        return
    discarded = 0
    with suppress(OSError):  # BlockingIOError: nothing is left
        while discarded < MAX_DISCARDED_INPUT_BYTES:
            count = len(os.read(file_descriptor, READ_SIZE_BYTES))
            if not count:
                return
            discarded += count


def discard_output_on_close(transport: Any) -> None:
    """Lets the close of the socket reset the connection, so that the kernel sends nothing that it holds."""
    raw_socket = None if transport is None else transport.get_extra_info("socket")
    if raw_socket is not None:
        with suppress(OSError):
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE_CLOSE)


def _file_descriptor(transport: Any) -> int:
    raw_socket = None if transport is None else transport.get_extra_info("socket")
    return -1 if raw_socket is None else int(raw_socket.fileno())


def _byte_count(transport: Any, request: int) -> int:
    file_descriptor = _file_descriptor(transport)
    if file_descriptor < 0:
        return 0
    try:
        count = ioctl(file_descriptor, request, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)
