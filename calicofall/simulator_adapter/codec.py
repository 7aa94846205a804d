"""Between the simulator's protocol and the router's words: codes and names are mapped here, and only here.

Times on the wire are whole nanoseconds; the router's are milliseconds. Settings have the form of the
operators' file and are mapped in `calicofall.config.settings`.
"""

from typing import Any

import orjson

from calicofall.config.endpoint_list import EndpointEntry
from calicofall.config.settings import NS_PER_MS

# The codes of the wire, and the router's words for them.
OUTCOMES = {
    0: "completed",
    13: "error",
    8: "full",
    4: "timeout",
    14: "unconnected",
    10: "reset",
    1: "cancelled",
    9: "moot",
    5: "missed",
}
LIST_KINDS = {0: "delta", 1: "full", 2: "cached", 3: "failed"}
ENDPOINT_STATES = {2: "ready", 0: "draining", 1: "gone"}
ANSWER_NOTES = {1: "hit", 2: "fetched", 3: "fetching"}

# Bits of a request.
HAS_WORK_ESTIMATE = 1
CLIENT_RETRY = 2
WRITE = 4

ENDPOINT_FIELDS = 7  # of an endpoint in a list; trailing ones may be left out


class MalformedMessageError(Exception):
    """A line that is not what the documentation of the protocol says."""


def parse_message(line: bytes, number: int) -> list[Any]:
    """A message: its name and its values.

    Args:
        line: The bytes of one line.
        number: The place of the line, for errors.

    Raises:
        MalformedMessageError: It is no JSON array that begins with a name.
    """
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise MalformedMessageError(f"line {number}: not JSON: {error}") from error
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise MalformedMessageError(f"line {number}: a message is an array that opens with its name")
    return message


def parse_endpoint(line: list[Any]) -> EndpointEntry:
    """One endpoint of a list, as the router takes it."""
    padded = (line + [None] * ENDPOINT_FIELDS)[:ENDPOINT_FIELDS]
    name, zone, kind, cell, state, weight, since_ns = padded
    return name, zone, kind, cell, ENDPOINT_STATES.get(state, "gone"), weight, (since_ns or 0) / NS_PER_MS


def encode_message(message: list[Any]) -> bytes:
    """A message as a line, without its end."""
    return orjson.dumps(message)


def ms_to_ns(ms: float) -> int:
    """Milliseconds as whole nanoseconds, which are never negative."""
    return max(0, round(ms * NS_PER_MS))
