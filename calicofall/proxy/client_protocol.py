"""The fields of clients' commands and of endpoints' answers, as the protocol's documentation names them.

Invariants: a command of `ARGUMENT_COUNTS` raises nothing but `InvalidRequestError`, whatever its parts are.
"""

import re
from collections.abc import Mapping
from math import ceil, isfinite
from typing import Any

# What an endpoint says of how it got a value, and the router's names for that.
ANSWER_NOTES = {b"hit": "hit", b"miss": "fetched", b"pending": "fetching"}

# The commands that are requests, and how many parts they have, their own name among them.
ARGUMENT_COUNTS = {b"C.GET": 4, b"C.SET": 5}

HEX_NUMBER = re.compile(rb"[0-9a-fA-F]{1,16}")
NAMED_VALUES = re.compile(rb"[a-z_]{1,16}=[!-+\--~]{1,64}(,[a-z_]{1,16}=[!-+\--~]{1,64}){0,15}")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,6})?")


class InvalidRequestError(ValueError):
    """A command that is no request. The text goes to the client, and names the field that is wrong."""


def parse_request_fields(
    parts: list[bytes], methods: Mapping[str, Mapping[str, Any]], tenants: set[str]
) -> dict[str, Any]:
    """What a client's command asks for: method, tenant, key, write, patience (milliseconds) and repeat.

    Args:
        parts: The command: its name, the key, the request's id, and names with values.
        methods: The settings of methods by name.
        tenants: The tenants that are known; empty where requests need none.

    Raises:
        InvalidRequestError: A field is missing or has not its form, or its value is unknown.
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
    return {
        "method": method,
        "tenant": tenant,
        "key": int(parts[1], 16),
        "write": parts[0] == b"C.SET",
        "patience": _parse_patience(values),
        "repeat": values.get(b"r") == b"1",
    }


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
    """How long the client waits, in milliseconds."""
    text = values.get(b"d", b"")
    patience_ms = float(text) if DECIMAL.fullmatch(text) else 0.0
    if patience_ms <= 0.0:
        raise InvalidRequestError("bad d")
    return patience_ms


def build_forwarded_command(parts: list[bytes], patience: float) -> list[bytes]:
    """The client's command as an endpoint gets it: only how long its answer is waited for (ms) is changed."""
    wait = b"d=%d" % max(1, ceil(patience))
    pairs = b",".join(wait if pair.startswith(b"d=") else pair for pair in parts[3].split(b","))
    return [*parts[:3], pairs, *parts[4:]]


def parse_load_report(value: Any) -> dict[str, float] | None:
    """An endpoint's load report: names and finite numbers; None where there is none, or it is malformed."""
    if not isinstance(value, bytes):
        return None
    pairs = (pair.partition(b"=")[::2] for pair in value.split(b","))
    try:
        report = {name.decode(): float(number) for name, number in pairs}
    except ValueError:
        return None
    return report if all(map(isfinite, report.values())) else None
