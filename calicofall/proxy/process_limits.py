"""The limits of one process, where several processes of a proxy share the proxy's limits."""

from dataclasses import dataclass
from typing import Any

from calicofall.config.settings import descriptor_limit, memory_limit_mb

# File descriptors kept free of client and endpoint connections, for the process's other sockets and files:
# listeners, operators' connections, watches, gossip, the event loop, log, record and snapshot.
RESERVED_DESCRIPTORS = 32
MIN_CONNECTIONS = 8
UPSTREAM_SHARE = 0.4  # of the connections, that may go to endpoints
BASE_MEMORY_MB = 24  # memory of a proxy process that has no connections
CONNECTION_BYTES = 6144  # memory of a connection that is idle, or that waits with an incomplete command
MAX_CONNECTIONS_FRACTION = 0.4  # of the memory above the base, for connections
# Requests and replies together may use three times the read-ahead, incomplete short commands, and input that
# is read and not processed, as much as that once each, and one part is kept for what is not counted.
MEMORY_PARTS = 6
MIN_READ_AHEAD_BYTES = 1 << 18
KEY_FRACTION = 0.2  # of the memory above the base, for what is remembered by key
MIN_KEYS = 256
KEY_BYTES = 500  # memory of a key in the tables of the router


MEBIBYTE = 1 << 20


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """The limits of one process.

    Attributes:
        max_connections: Maximum number of connections to clients and endpoints together.
        max_upstream_connections: How many of these may go to endpoints.
        read_ahead_bytes: Size of commands and replies from which on no command is read ahead.
        max_keys: How many keys each table by key may hold.
    """

    max_connections: int
    max_upstream_connections: int
    read_ahead_bytes: int
    max_keys: int


def process_memory_bytes(node: dict[str, Any], process_count: int) -> int:
    """Returns the memory (bytes) of one of `process_count` processes that share the limit of a node file."""
    return memory_limit_mb(node) * MEBIBYTE // process_count


def divide_limits(node: dict[str, Any], process_count: int) -> ProcessLimits:
    """Returns the limits of one of `process_count` processes that share the limits of a node file."""
    spare_bytes = max(0, process_memory_bytes(node, process_count) - BASE_MEMORY_MB * MEBIBYTE)
    max_connections = min(
        descriptor_limit(node) // process_count - RESERVED_DESCRIPTORS,
        int(spare_bytes * MAX_CONNECTIONS_FRACTION) // CONNECTION_BYTES,
    )
    max_connections = max(MIN_CONNECTIONS, max_connections)
    buffer_bytes = spare_bytes * (1.0 - KEY_FRACTION) - max_connections * CONNECTION_BYTES
    read_ahead_bytes = int(buffer_bytes) // MEMORY_PARTS
    return ProcessLimits(
        max_connections,
        int(max_connections * UPSTREAM_SHARE),
        max(MIN_READ_AHEAD_BYTES, read_ahead_bytes),
        max(MIN_KEYS, int(spare_bytes * KEY_FRACTION) // KEY_BYTES),
    )
