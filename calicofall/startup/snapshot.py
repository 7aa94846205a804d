"""The snapshot of a proxy: its last endpoint list and its learned state, stored for the next process.

The file consists of `calicofall-snapshot 1 DIGEST`, a line feed and a JSON object. The digest covers the
object, so a file that is truncated or has a changed byte is not used. The age is measured on the system's
clock, since the file outlives the process. After a clock was set back, a file has a time in the future and is
not used.

Invariants: whatever the bytes are, decoding raises no exception other than `UnusableSnapshotError`; a
snapshot of another proxy, of other settings or with a time in the future is not used; a restored endpoint
list is only ever treated as a list that may be out of date.
"""

from hashlib import blake2b
from typing import Any

import orjson

from calicofall.config.endpoint_list import parse_endpoint_list

VERSION = 1
MAGIC = b"calicofall-snapshot "
RESTORED_LIMIT_FRACTION = 0.5  # of a learned concurrency limit: endpoints may have lost their cached data
MAX_CLOCK_DIFFERENCE_S = 1.0  # between the clocks of two processes
MAX_FILE_BYTES = 8 << 20
MAX_RESTORED_LIMIT = 1e6  # requests in flight
MAX_RESTORED_LATENCY_MS = 60_000.0
MAX_RESTORED_FRACTION = 1.0


class UnusableSnapshotError(Exception):
    """A snapshot is not used; the text is the reason, in a few words."""


def body_digest(body: bytes) -> bytes:
    """The digest of a snapshot's body, in the form that its first line contains."""
    return blake2b(body, digest_size=16).hexdigest().encode()


def snapshot_owner(name: str, settings: dict[str, Any], discovery: str) -> str:
    """Identifies the owner of a snapshot: a proxy's name, and a digest of its settings and discovery address.

    Without the digest, proxies of the same name that share a folder would use each other's snapshots, and
    latencies and limits would outlive the settings under which they were learned.
    """
    identity = orjson.dumps([settings, discovery], option=orjson.OPT_SORT_KEYS)
    return f"{name} {body_digest(identity)[:16].decode()}"


def encode_snapshot(
    owner: str, wall_clock_s: float, endpoint_list: dict[str, Any], learned: dict[str, Any]
) -> bytes:
    """Encodes a snapshot as the bytes of its file.

    Args:
        owner: The owner, from `snapshot_owner`.
        wall_clock_s: The system's clock, in seconds.
        endpoint_list: The endpoint list in the form of the discovery service.
        learned: The learned state of the router, as plain values.
    """
    body = orjson.dumps({"proxy": owner, "at": wall_clock_s, "known": endpoint_list, "learned": learned})
    return MAGIC + b"%d %b\n" % (VERSION, body_digest(body)) + body


def decode_snapshot(
    data: bytes, owner: str, wall_clock_s: float, max_age_s: float
) -> tuple[dict[str, Any], dict[str, Any], float]:
    """Decodes a snapshot; returns the endpoint list, the learned state, and the snapshot's age in seconds.

    Args:
        data: The bytes of the file.
        owner: The expected owner, from `snapshot_owner`.
        wall_clock_s: The system's clock, in seconds.
        max_age_s: The maximum age, in seconds.

    Raises:
        UnusableSnapshotError: The snapshot is damaged, not this proxy's, too old or without endpoints.
    """
    body = _verified_body(data)
    try:
        content = orjson.loads(body)
        age_s = wall_clock_s - float(content["at"])
        _verify_owner_and_age(content, owner, age_s, max_age_s)
        _verify_content(content)
    except (ValueError, KeyError, TypeError) as error:
        raise UnusableSnapshotError(f"not readable: {str(error)[:60]}") from error
    return content["known"], content["learned"], max(0.0, age_s)


def _verified_body(data: bytes) -> bytes:
    head, _, body = data.partition(b"\n")
    parts = head.split(b" ")
    if not data.startswith(MAGIC) or len(parts) != 3:
        raise UnusableSnapshotError("not a snapshot file")
    _, version, expected_digest = parts
    if version != b"%d" % VERSION:
        raise UnusableSnapshotError(f"version {version[:8].decode(errors='replace')} instead of {VERSION}")
    if expected_digest != body_digest(body):
        raise UnusableSnapshotError("truncated or modified: the digest does not match")
    return body


def _verify_owner_and_age(content: dict[str, Any], owner: str, age_s: float, max_age_s: float) -> None:
    if content["proxy"] != owner:
        raise UnusableSnapshotError(
            f"written by another proxy or with other settings: {str(content['proxy'])[:40]}"
        )
    if age_s < -MAX_CLOCK_DIFFERENCE_S:
        raise UnusableSnapshotError(f"its time is {-age_s:.0f} s in the future")
    if age_s > max_age_s:
        raise UnusableSnapshotError(f"{age_s:.0f} s old, more than the maximum of {max_age_s:.0f} s")


def _verify_content(content: dict[str, Any]) -> None:
    parse_endpoint_list(content["known"])
    if not content["known"]["endpoints"] or not isinstance(content["learned"], dict):
        raise UnusableSnapshotError("no endpoint list or no learned state")


def restorable_state(learned: dict[str, Any], endpoints: set[str]) -> dict[str, Any]:
    """The part of a snapshot's learned state that may be used, under the names of stored snapshots.

    Concurrency limits (`limits`) are halved, baseline latencies in milliseconds (`usual`) are used unchanged,
    and admitted fractions (`parts`) are used if the endpoint is still one of `endpoints`.
    """
    limits = _numbers_up_to(MAX_RESTORED_LIMIT, learned.get("limits"))
    latencies_ms = _numbers_up_to(MAX_RESTORED_LATENCY_MS, learned.get("usual"))
    fractions = _numbers_up_to(MAX_RESTORED_FRACTION, learned.get("parts"))
    return {
        "limits": {name: limit * RESTORED_LIMIT_FRACTION for name, limit in limits.items()},
        "usual": latencies_ms,
        "parts": {name: fraction for name, fraction in fractions.items() if name in endpoints},
    }


def _numbers_up_to(largest: float, values: Any) -> dict[str, float]:
    """The entries of a mapping read from a file that are positive numbers up to `largest`."""
    if not isinstance(values, dict):
        return {}
    return {
        name: float(value)
        for name, value in values.items()
        if isinstance(value, int | float) and 0.0 < value <= largest
    }
