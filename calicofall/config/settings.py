"""The settings in the operators' file: their names, units and checks.

Invariants: only this module converts the operators' names to the program's (fleet/ works on settings
documents with the operators' names); all times are converted to milliseconds.
"""

import re
from math import inf
from typing import Any

from calicofall.config.checks import (
    is_fraction,
    is_whole_number,
    number_or_minus_one,
    require,
    require_boolean,
)

NS_PER_MS = 1_000_000
DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
MAX_REPORT_FIELDS = 4  # fields of an endpoint's load report

# By effect of a method in the settings, whether the router may retry it: always, where endpoints drop
# duplicates, or only if it has certainly not run.
RETRY_SAFETY = {"pure": "retriable", "token": "deduped", "side_effect": "non-retriable"}

# Names of settings in the operators' file, in snake_case, and the names in the program.
NAMES = {
    "balancers": "proxies",
    "realms": "tenants",
    "failure_domains": "zones",
    "tardy_gain": "late_gain",
    "overage_gain": "over_share_gain",
    "effect": "repeats",
    "quota_per_s": "quota",
    "blend": "goal",
    "start_capacity": "cold_share",
    "domain": "data",
    "stats": "reports",
    "failure_domains_only": "zones_open",
    "removal_not_binding": "draining_alone",
    "response_room": "buffers",
    "spare_attempts": "retry_spare",
    "repeat_ratio": "retry_ratio",
    "resend_span": "retry_span",
    "left_off": "clock_error",  # by which clocks of clients and of the proxy differ
    "boot_stamp_error": "start_error",  # of the start times in endpoint lists
}

LOAD_REPORT_MODES = ("inline", "on_probe", "off")
SIMULATOR_CAPABILITIES = ("peerMessages", "probes")  # not available on sockets
RETRY_BUDGET_RULES = {"spareAttempts", "repeatRatio"}
NON_NEGATIVE_RULES = ("spareAttempts", "repeatRatio", "leftOffNs", "bootStampErrorNs")
OBJECTIVE_FRACTIONS = ("slowEnd", "missAllowed")
# What operators can pin: limits, whose shares then are not borrowed, and caches, which then are not ejected
# on the evidence of other proxies.
PINNED = {"limits", "caches"}
# Restrictions of a method, and the setting that lists the names that each one may contain.
METHOD_RESTRICTIONS = (("kindsOpen", "kinds"), ("failureDomainsOnly", "failureDomains"))


def normalize_settings(value: Any) -> Any:
    """Converts settings to the program's names, and times to milliseconds.

    Unknown settings are kept. Nested values are converted the same way.
    """
    if isinstance(value, list):
        return [normalize_settings(item) for item in value]
    if not isinstance(value, dict):
        return value
    normalized = {}
    for outer_name, outer_item in value.items():
        name, item = _convert_time(outer_name, outer_item)
        name = re.sub(r"([A-Z])", lambda match: "_" + str(match.group(1)).lower(), name)
        name = NAMES.get(name, name)
        normalized[name] = RETRY_SAFETY.get(item, item) if name == "repeats" else normalize_settings(item)
    return normalized


def _convert_time(name: str, item: Any) -> tuple[str, Any]:
    if name.endswith("Ns") and isinstance(item, int | float):
        return name[:-2], item / NS_PER_MS
    return name, item


def validate_settings(settings: dict[str, Any]) -> None:
    """Checks the settings that a proxy uses, and raises an error for the first invalid one.

    Raises:
        ConfigurationError: A setting is not valid; the text names the field, its value and what is expected.
    """
    _validate_place_in_fleet(settings)
    capabilities = _section(settings, "caps")
    reports = _section(settings, "stats")
    for name in SIMULATOR_CAPABILITIES:
        require_boolean(f"settings.caps.{name}", capabilities.get(name))
    mode = reports.get("how")
    modes = ", ".join(LOAD_REPORT_MODES)
    require("settings.stats.how", mode, mode in (None, *LOAD_REPORT_MODES), f"one of {modes}")
    _validate_method_restrictions(settings)
    objective = _section(settings, "blend")
    rules = _section(settings, "rules")
    _validate_response_buffers(capabilities)
    _validate_rules(rules)
    for name in OBJECTIVE_FRACTIONS:
        value = objective.get(name)
        require(f"settings.blend.{name}", value, value is None or is_fraction(value), "from 0 to 1")
    require_boolean("settings.rules.removalNotBinding", rules.get("removalNotBinding"))
    _validate_pins(settings.get("pins") or {})
    _validate_report_fields(reports.get("fields"))


def _section(settings: dict[str, Any], name: str) -> dict[str, Any]:
    section: dict[str, Any] = settings.get(name) or {}
    require(f"settings.{name}", section, isinstance(section, dict), "an object")
    return section


def _validate_place_in_fleet(settings: dict[str, Any]) -> None:
    proxies = settings.get("balancers")
    valid = proxies is None or is_whole_number(proxies, 1, inf)
    require("settings.balancers", proxies, valid, "a whole number from 1")
    last = (proxies or 1) - 1
    proxy_number = settings.get("me")
    valid = proxy_number is None or is_whole_number(proxy_number, 0, last)
    require("settings.me", proxy_number, valid, f"a whole number from 0 to {last}")


def _validate_method_restrictions(settings: dict[str, Any]) -> None:
    for method_index, method in enumerate(settings.get("methods") or []):
        for name, listed_in in METHOD_RESTRICTIONS:
            only = method.get(name)
            known = settings.get(listed_in) or []
            require(
                f"settings.methods[{method_index}].{name}",
                only,
                only is None or _is_part_of(only, known),
                f"a list of names in settings.{listed_in}",
            )


def _is_part_of(names: Any, known: Any) -> bool:
    return isinstance(names, list) and bool(names) and all(name in known for name in names)


def _validate_response_buffers(capabilities: dict[str, Any]) -> None:
    size = capabilities.get("responseRoom")
    valid = size is None or is_whole_number(size, 1, inf)
    require("settings.caps.responseRoom", size, valid, "a whole number from 1")


def _validate_rules(rules: dict[str, Any]) -> None:
    for name in NON_NEGATIVE_RULES:
        value = rules.get(name)
        valid = value is None or number_or_minus_one(value) >= 0
        require(f"settings.rules.{name}", value, valid, "a number from 0")
    window = rules.get("resendSpanNs")
    # The time window of the retry budget is required if one of the budget's limits is set.
    valid = number_or_minus_one(window) > 0 if window is not None else not rules.keys() & RETRY_BUDGET_RULES
    expected = "a number over 0, beside spareAttempts or repeatRatio,"
    require("settings.rules.resendSpanNs", window, valid, expected)


def _validate_pins(pins: Any) -> None:
    valid = isinstance(pins, dict) and not pins.keys() - PINNED
    require("settings.pins", pins, valid, "an object of limits and caches")
    for name, value in pins.items():
        require(f"settings.pins.{name}", value, _is_list_of_names(value), "a list of names")


def _validate_report_fields(fields: Any) -> None:
    valid = fields is None or (_is_list_of_names(fields) and len(fields) <= MAX_REPORT_FIELDS)
    require("settings.stats.fields", fields, valid, "a list of four names at most")


def _is_list_of_names(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(name, str) for name in value)


def settings_on_sockets(settings: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Returns the settings for a proxy on sockets, and a line for each setting that has no effect there."""
    capabilities = settings.get("caps") or {}
    rules = settings.get("rules") or {}
    disallowed = [name for name in SIMULATOR_CAPABILITIES if capabilities.get(name)]
    lines = [
        f"settings.caps.{name} is not carried on sockets: the router treats it as not allowed"
        for name in disallowed
    ]
    # On sockets, a response is buffered only for its own client, after it has left the endpoint. Clients send
    # a duration, so a difference between their clocks and the proxy's does not matter.
    without_effect = {
        "responseRoom": (capabilities, "a response is buffered only for its own client"),
        "leftOffNs": (rules, "clients send how long they wait, not the time until which they wait"),
    }
    lines += [
        f"settings on {name} have no effect on sockets: {reason}"
        for name, (section, reason) in without_effect.items()
        if section.get(name)
    ]
    capabilities = capabilities | dict.fromkeys(disallowed, False)
    on_sockets = {
        "caps": {name: value for name, value in capabilities.items() if name not in without_effect},
        "rules": {name: value for name, value in rules.items() if name not in without_effect},
    }
    return settings | on_sockets, lines


def parse_seed(text: Any) -> int:
    """Returns the seed of the router, from hexadecimal text or an integer."""
    return text if isinstance(text, int) else int(text, 16)


def descriptor_limit(node: dict[str, Any]) -> int:
    """Returns the file descriptors that a configuration allows the proxy to use."""
    return _limit(node, "sockets", DEFAULT_DESCRIPTORS)


def memory_limit_mb(node: dict[str, Any]) -> int:
    """Returns the memory in megabytes that a configuration allows the proxy to use."""
    return _limit(node, "memory_mb", DEFAULT_MEMORY_MB)


def _limit(node: dict[str, Any], name: str, default: int) -> int:
    return int((node.get("limits") or {}).get(name) or default)
