"""Maps the codes and names of the simulator's protocol to those of the router.

Times on the wire are integers in nanoseconds; the router uses milliseconds. Settings have the form of the
operators' file and are converted by `calicofall.config.settings`.
"""

from typing import Any

import orjson

from calicofall.config.endpoint_list import EndpointEntry
from calicofall.config.settings import NS_PER_MS

# Codes on the wire, and the names that the router uses.
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
CACHE_STATUSES = {1: "hit", 2: "fetched", 3: "fetching"}

# Flag bits of a request.
HAS_WORK_ESTIMATE = 1
CLIENT_RETRY = 2
WRITE = 4

ENDPOINT_FIELDS = 7  # values of an endpoint in a list; trailing ones may be omitted


class MalformedMessageError(Exception):
    """A line does not conform to the protocol."""


def parse_message(line: bytes, line_number: int) -> list[Any]:
    """Parses a message, an array of its name and its values.

    Args:
        line: The bytes of one line.
        line_number: The number of the line, for errors.

    Raises:
        MalformedMessageError: The line is not a JSON array that begins with a name.
    """
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise MalformedMessageError(f"line {line_number}: not JSON: {error}") from error
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise MalformedMessageError(
            f"line {line_number}: not an array that begins with the name of a message"
        )
    return message


def parse_endpoint(values: list[Any]) -> EndpointEntry:
    """Parses one endpoint of a list to the form that the router takes."""
    padded = (values + [None] * ENDPOINT_FIELDS)[:ENDPOINT_FIELDS]
    name, zone, kind, cell, state, weight, since_ns = padded
    return name, zone, kind, cell, ENDPOINT_STATES.get(state, "gone"), weight, (since_ns or 0) / NS_PER_MS


def encode_message(message: list[Any]) -> bytes:
    """Encodes a message as a line, without the line feed."""
    return orjson.dumps(message)


def ms_to_ns(ms: float) -> int:
    """Converts milliseconds to whole nanoseconds; negative times become 0."""
    return max(0, round(ms * NS_PER_MS))
