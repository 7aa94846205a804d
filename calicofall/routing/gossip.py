"""Encoding of hints: datagrams in which proxies exchange their request counts and waits at endpoints.

A hint consists of a version (1 byte), a number of endpoints (1), a request count (2) and, for each endpoint,
its gossip id (3) and the wait there in steps (1). It contains no name, key or tenant.
"""

HINT_VERSION = 1
MAX_ENDPOINTS = 60  # in one hint
WAIT_STEP_MS = 5.0  # unit of encoded waits
HEADER_BYTES = 4
ENTRY_BYTES = 4
MAX_WAIT_STEPS = 255
MAX_REQUEST_COUNT = 65_535


def encode_hint(request_count: int, waits: list[tuple[int, float]]) -> bytes:
    """Encodes a hint to a peer.

    Args:
        request_count: Requests that the proxy recently received.
        waits: Gossip ids of endpoints with the mean wait there (ms).
    """
    body = b"".join(
        gossip_id.to_bytes(3) + bytes((min(MAX_WAIT_STEPS, int(wait_ms / WAIT_STEP_MS)),))
        for gossip_id, wait_ms in waits[:MAX_ENDPOINTS]
    )
    return (
        bytes((HINT_VERSION, len(body) // ENTRY_BYTES))
        + min(MAX_REQUEST_COUNT, request_count).to_bytes(2)
        + body
    )


def decode_hint(data: bytes) -> tuple[int | None, list[tuple[int, float]]]:
    """Decodes a hint of a peer.

    Returns:
        The request count of the peer, and gossip ids of endpoints with the mean wait there (ms); None and an
        empty list if the data is no hint of this version.
    """
    if len(data) < HEADER_BYTES or data[0] != HINT_VERSION or data[1] > MAX_ENDPOINTS:
        return None, []
    if len(data) != HEADER_BYTES + ENTRY_BYTES * data[1]:
        return None, []
    waits = [
        (int.from_bytes(data[offset : offset + 3]), data[offset + 3] * WAIT_STEP_MS)
        for offset in range(HEADER_BYTES, len(data), ENTRY_BYTES)
    ]
    return int.from_bytes(data[2:4]), waits
