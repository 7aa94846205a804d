"""The snapshot of a proxy: its last endpoint list and what it learned, kept for the next process.

The file is `calicofall-snapshot 1 DIGEST`, a line feed and a JSON object. The digest covers the object, so a
file that is cut short anywhere or changed in one byte is not used. The age is counted on the system's clock,
since it outlives the process: where a clock was set back, a file is from the future and is not used.

Invariants: decoding raises nothing but `UnusableSnapshotError`, whatever the bytes are; what another proxy,
other settings or a later clock wrote is not used; an old list never counts as more than one known to be old.
"""

from hashlib import blake2b
from typing import Any

import orjson

from calicofall.config.endpoint_list import parse_endpoint_list

VERSION = 1
MAGIC = b"calicofall-snapshot "
RESTORED_LIMIT_FRACTION = 0.5  # of a learned concurrency limit: endpoints may have lost their data meanwhile
MAX_CLOCK_DIFFERENCE_S = 1.0  # between the clocks of two processes
MAX_FILE_BYTES = 8 << 20  # bytes of a file
MAX_RESTORED_LIMIT = 1e6
MAX_RESTORED_LATENCY_MS = 60_000.0
MAX_RESTORED_FRACTION = 1.0


class UnusableSnapshotError(Exception):
    """Why a snapshot is not used, in a few words."""


def body_digest(body: bytes) -> bytes:
    """The digest of a snapshot's body, as its first line has it."""
    return blake2b(body, digest_size=16).hexdigest().encode()


def snapshot_owner(name: str, settings: dict[str, Any], discovery: str) -> str:
    """Whom a snapshot is for: a proxy's name, with a digest of its settings and discovery address.

    Without the digest, proxies of one name that share a folder would take each other's snapshots, and
    latencies and limits would outlive the settings under which they were learned.
    """
    identity = orjson.dumps([settings, discovery], option=orjson.OPT_SORT_KEYS)
    return f"{name} {body_digest(identity)[:16].decode()}"


def encode_snapshot(owner: str, wall: float, endpoint_list: dict[str, Any], learned: dict[str, Any]) -> bytes:
    """The bytes of a snapshot.

    Args:
        owner: Whom it is for (`snapshot_owner`).
        wall: The system's clock, in seconds.
        endpoint_list: The endpoint list in the form of the discovery service.
        learned: What the router learned, as plain values.
    """
    body = orjson.dumps({"proxy": owner, "at": wall, "known": endpoint_list, "learned": learned})
    return MAGIC + b"%d %b\n" % (VERSION, body_digest(body)) + body


def decode_snapshot(
    data: bytes, owner: str, wall: float, max_age_s: float
) -> tuple[dict[str, Any], dict[str, Any], float]:
    """The endpoint list, what was learned, and the snapshot's age in seconds.

    Args:
        data: The bytes of the file.
        owner: For whom it has to be (`snapshot_owner`).
        wall: The system's clock, in seconds.
        max_age_s: The greatest age, in seconds.

    Raises:
        UnusableSnapshotError: It is not whole, not this proxy's, too old or without a list.
    """
    body = _verified_body(data)
    try:
        held = orjson.loads(body)
        age_s = wall - float(held["at"])
        _verify_owner_and_age(held, owner, age_s, max_age_s)
        _verify_content(held)
    except (ValueError, KeyError, TypeError) as error:
        raise UnusableSnapshotError(f"not readable: {str(error)[:60]}") from error
    return held["known"], held["learned"], max(0.0, age_s)


def _verified_body(data: bytes) -> bytes:
    head, _, body = data.partition(b"\n")
    parts = head.split(b" ")
    if not data.startswith(MAGIC) or len(parts) != 3:
        raise UnusableSnapshotError("no snapshot")
    _, version, expected_digest = parts
    if version != b"%d" % VERSION:
        raise UnusableSnapshotError(f"of version {version[:8].decode(errors='replace')}, not {VERSION}")
    if expected_digest != body_digest(body):
        raise UnusableSnapshotError("cut short or changed")
    return body


def _verify_owner_and_age(held: dict[str, Any], owner: str, age_s: float, max_age_s: float) -> None:
    if held["proxy"] != owner:
        raise UnusableSnapshotError(f"of another proxy or other settings, {str(held['proxy'])[:40]}")
    if age_s < -MAX_CLOCK_DIFFERENCE_S:
        raise UnusableSnapshotError(f"from the future, by {-age_s:.0f} s")
    if age_s > max_age_s:
        raise UnusableSnapshotError(f"{age_s:.0f} s old, over {max_age_s:.0f}")


def _verify_content(held: dict[str, Any]) -> None:
    parse_endpoint_list(held["known"])
    if not held["known"]["endpoints"] or not isinstance(held["learned"], dict):
        raise UnusableSnapshotError("without a list")


def restorable_state(learned: dict[str, Any], endpoints: set[str]) -> dict[str, Any]:
    """What of a snapshot may be used: the names are those of the router and of stored snapshots.

    Concurrency limits count at half (`limits`), baseline latencies in milliseconds as they are (`usual`), and
    admitted fractions (`parts`) where the endpoint is still one of `endpoints`.
    """
    limits = _numbers_up_to(MAX_RESTORED_LIMIT, learned.get("limits"))
    latencies_ms = _numbers_up_to(MAX_RESTORED_LATENCY_MS, learned.get("usual"))
    fractions = _numbers_up_to(MAX_RESTORED_FRACTION, learned.get("parts"))
    return {
        "limits": {name: limit * RESTORED_LIMIT_FRACTION for name, limit in limits.items()},
        "usual": latencies_ms,
        "parts": {name: fraction for name, fraction in fractions.items() if name in endpoints},
    }


def _numbers_up_to(largest: float, held: Any) -> dict[str, float]:
    """Of a map read from a file, the entries that are positive numbers up to `largest`."""
    if not isinstance(held, dict):
        return {}
    return {
        name: float(value)
        for name, value in held.items()
        if isinstance(value, int | float) and 0.0 < value <= largest
    }
