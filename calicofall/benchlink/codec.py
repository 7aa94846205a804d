"""Between the bench's wire and our words: milliseconds for nanoseconds, trade names for wire names."""

import re
from typing import Any

import orjson

NS = 1_000_000  # nanoseconds in a millisecond

OUTCOMES = {0: "completed", 13: "error", 8: "full", 4: "timeout", 14: "unconnected", 10: "reset",
            1: "cancelled", 9: "moot", 5: "missed"}
LISTS = {0: "delta", 1: "full", 2: "cached", 3: "failed"}
STATES = {2: "ready", 0: "draining", 1: "gone"}
NOTES = {1: "hit", 2: "fetched", 3: "fetching"}
REPEATS = {"pure": "retriable", "token": "deduped", "side_effect": "non-retriable"}
NAMES = {"balancers": "proxies", "realms": "tenants", "failure_domains": "zones", "tardy_gain": "late_gain",
         "overage_gain": "over_share_gain", "effect": "repeats", "quota_per_s": "quota", "blend": "goal",
         "start_capacity": "cold_share", "domain": "data", "stats": "reports"}


class Malformed(Exception):
    """A line that is not what the wire's page says."""


def parse(line: bytes, number: int) -> list[Any]:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as fault:
        raise Malformed(f"line {number}: not JSON: {fault}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise Malformed(f"line {number}: a message is an array that opens with its name")
    return message


def deployment(value: Any) -> Any:
    """The settings as a plain map: our names, times in milliseconds; what is unknown is carried along."""
    if isinstance(value, list):
        return [deployment(item) for item in value]
    if not isinstance(value, dict):
        return value
    out = {}
    for name, item in value.items():
        if name.endswith("Ns") and isinstance(item, int | float):
            name, item = name[:-2], item / NS
        name = re.sub(r"([A-Z])", lambda m: "_" + m.group(1).lower(), name)
        name = NAMES.get(name, name)
        out[name] = REPEATS.get(item, item) if name == "repeats" else deployment(item)
    return out


def entry(line: list[Any]) -> tuple[str, str, str, int, str, float | None, float]:
    """One line of a cache list: cache, zone, kind, cell, state, weight, listed start (0: long ago)."""
    cache, zone, kind, cell, state, weight, started = (line + [None] * 7)[:7]
    return cache, zone, kind, cell, STATES.get(state, "gone"), weight, (started or 0) / NS


def encode(message: list[Any]) -> bytes:
    return orjson.dumps(message)


def ns(ms: float) -> int:
    return max(0, round(ms * NS))
