"""The fields of clients' commands and of endpoints' replies, named as in the protocol's documentation.

Invariants: parsing a command of `ARGUMENT_COUNTS` raises only `InvalidRequestError`, whatever its parts are.
"""

import re
from collections.abc import Mapping
from math import ceil, isfinite
from typing import Any, NamedTuple

# The cache statuses in replies, which say how an endpoint got a value, and the names that the router uses.
CACHE_STATUSES = {b"hit": "hit", b"miss": "fetched", b"pending": "fetching"}

# The commands that are requests, and the number of their parts including the command's name.
ARGUMENT_COUNTS = {b"C.GET": 4, b"C.SET": 5}

HEX_NUMBER = re.compile(rb"[0-9a-fA-F]{1,16}")
NAMED_VALUES = re.compile(rb"[a-z_]{1,16}=[!-+\--~]{1,64}(,[a-z_]{1,16}=[!-+\--~]{1,64}){0,15}")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,6})?")


class RequestFields(NamedTuple):
    """The fields of a client's request.

    Attributes:
        method: The method's name.
        tenant: The tenant's name, if the request names one.
        key: The key.
        is_write: Whether the request writes a value.
        patience_ms: How long the client waits for the answer.
        is_repeat: Whether the client has sent the same request before.
    """

    method: str
    tenant: str | None
    key: int
    is_write: bool
    patience_ms: float
    is_repeat: bool


class InvalidRequestError(ValueError):
    """A command is not a valid request. The message is sent to the client and names the invalid field."""


def parse_request_fields(
    parts: list[bytes], methods: Mapping[str, Mapping[str, Any]], tenants: set[str]
) -> RequestFields:
    """Parses a client's request.

    Args:
        parts: The command's name, the key, the request's id, a list of names and values, and the value of a
            write.
        methods: The settings of methods by name.
        tenants: The configured tenants; empty where a request needs no tenant.

    Raises:
        InvalidRequestError: A field is missing or malformed, or its value is unknown.
    """
    if len(parts) != ARGUMENT_COUNTS[parts[0]]:
        raise InvalidRequestError("wrong number of arguments")
    values = _parse_named_values(parts[3])
    if not HEX_NUMBER.fullmatch(parts[1]):
        raise InvalidRequestError("bad key")
    if not HEX_NUMBER.fullmatch(parts[2]):
        raise InvalidRequestError("bad id")
    method = _parse_method(values, methods)
    tenant = values[b"t"].decode() if b"t" in values else None
    if tenants and tenant not in tenants:
        raise InvalidRequestError("unknown tenant")
    return RequestFields(
        method=method,
        tenant=tenant,
        key=int(parts[1], 16),
        is_write=parts[0] == b"C.SET",
        patience_ms=_parse_patience(values),
        is_repeat=values.get(b"r") == b"1",
    )


def parse_time_left_ms(parts: list[Any], methods: Mapping[str, Mapping[str, Any]]) -> float:
    """Returns how long a request may take, if its value is not received yet (ms); 0 if it is invalid."""
    try:
        values = _parse_named_values(parts[3])
        hard_deadline_ms: float = methods[_parse_method(values, methods)]["hard_deadline"]
        return min(_parse_patience(values), hard_deadline_ms)
    except (InvalidRequestError, IndexError, TypeError):
        return 0.0


def _parse_named_values(text: bytes) -> dict[bytes, bytes]:
    if not NAMED_VALUES.fullmatch(text):
        raise InvalidRequestError("what follows the id is no list of names and values")
    pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
    values = {name: value for name, value in pairs}
    if len(values) < len(pairs):
        raise InvalidRequestError("a name given twice")
    return values


def _parse_method(values: dict[bytes, bytes], methods: Mapping[str, Mapping[str, Any]]) -> str:
    method = values.get(b"c", b"").decode()
    if method not in methods:
        raise InvalidRequestError("unknown method")
    if methods[method].get("repeats") == "deduped" and not HEX_NUMBER.fullmatch(values.get(b"k", b"")):
        raise InvalidRequestError("no k")
    return method


def _parse_patience(values: dict[bytes, bytes]) -> float:
    """Returns how long the client waits (ms)."""
    text = values.get(b"d", b"")
    patience_ms = float(text) if DECIMAL.fullmatch(text) else 0.0
    if patience_ms <= 0.0:
        raise InvalidRequestError("bad d")
    return patience_ms


def build_forwarded_command(parts: list[bytes], timeout_ms: float) -> list[bytes]:
    """Returns a client's command as an endpoint gets it: only the time to wait for the reply is changed."""
    timeout_field = b"d=%d" % max(1, ceil(timeout_ms))
    pairs = b",".join(timeout_field if pair.startswith(b"d=") else pair for pair in parts[3].split(b","))
    return [*parts[:3], pairs, *parts[4:]]


def parse_load_report(value: Any) -> dict[str, float] | None:
    """Returns an endpoint's load report, finite numbers by name; None if it is missing or malformed."""
    if not isinstance(value, bytes):
        return None
    pairs = (pair.partition(b"=")[::2] for pair in value.split(b","))
    try:
        report = {name.decode(): float(number) for name, number in pairs}
    except ValueError:
        return None
    return report if all(map(isfinite, report.values())) else None
