"""Two versions of the settings: what they allow together, what differs, and in which steps to change.

Two proxies contradict each other where one may do what the other's version forbids. Two versions together
allow the lesser of both (`both`), field by field, as settings_fields.py says. A change that leaves something
to allow in between is one step: all proxies restrict themselves to both, then to the new version. Where
nothing would be left (a method bound to zone a, then to zone b alone) the change takes two steps: first both
zones, then the new one.

Promises (`keeps`, by method) are what no later version takes away but one that every member has acknowledged,
since a proxy without its lease goes on by them. A version withdraws a promise; only a later one may break it.

Invariants:
    - Nothing that one of two versions forbids is allowed by both together.
    - Each step of a change leaves every method a place, and breaks no promise of the step before.

Settings are in the operators' own words and units, as in a settings document, unless said otherwise.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from calicofall.fleet.settings_fields import (
    ADDED_OR_REMOVED,
    EFFECTS,
    METHOD_FIELDS,
    NAMED_PARTS,
    NO_PLACE,
    NOT_BINDING,
    PLACE_FIELDS,
    PLAIN_PARTS,
    PROMISED_FIELDS,
    TOP_LEVEL_FIELDS,
    UNKNOWN,
    Field,
    combine_values,
)

Settings = dict[str, Any]
Method = dict[str, Any]

CLOSED_PLACE = NO_PLACE

# Fields of a method in normalized settings that bind, and their names in the operators' words.
OPERATOR_NAMES = {
    "zones_open": "failureDomainsOnly",
    "kinds_open": "kindsOpen",
    "repeats": "effect",
    "window": "windowNs",
    "group": "group",
    "hard_deadline": "hardDeadlineNs",
}


class Change(NamedTuple):
    """A field in which two versions differ.

    Attributes:
        path: where it stands in the settings, such as "methods.read.gain".
        field: how it binds.
        old: value in the older version; None where it is absent.
        new: value in the newer version, likewise.
    """

    path: str
    field: Field
    old: Any
    new: Any


def _by_name(settings: Settings, part: str) -> dict[str, dict[str, Any]]:
    """The objects of a list in the settings, by their names."""
    return {item["name"]: item for item in settings.get(part) or []}


# What two versions allow together


def combine_settings(older: Settings, newer: Settings) -> Settings:
    """The settings that two versions allow together; what does not bind is the newer version's."""
    combined = dict(newer)
    for part, fields in NAMED_PARTS.items():
        former = _by_name(older, part)
        combined[part] = [
            _combine_objects(fields, former[item["name"]], item)
            for item in newer.get(part) or []
            if item["name"] in former
        ]
    for part, fields in PLAIN_PARTS.items():
        combined[part] = _combine_objects(fields, older.get(part) or {}, newer.get(part) or {})
    return combined


def _combine_objects(
    fields: dict[str, Field], older: dict[str, Any], newer: dict[str, Any]
) -> dict[str, Any]:
    combined = {}
    for name in dict.fromkeys([*older, *newer]):
        value = combine_values(name, fields.get(name, NOT_BINDING), older.get(name), newer.get(name))
        if value is not None:
            combined[name] = value
    return combined


def combine_methods(older: Method, newer: Method) -> Method:
    """The method that two versions allow together, for a request taken under the older one.

    Both methods are in the words of normalized settings.
    """
    combined = dict(newer)
    for name, operator_name in OPERATOR_NAMES.items():
        value = combine_values(name, METHOD_FIELDS[operator_name], older.get(name), newer.get(name))
        if value is not None:
            combined[name] = value
    return combined


def restrict_without_lease(settings: Settings) -> Settings:
    """What a proxy without a lease may act on: what no later version can forbid, by promises.

    A method that keeps `place` goes on, unless the operators refuse it (`lapsed`); any other is refused. One
    that does not keep `repeats` is not sent twice.
    """
    methods = []
    for method in settings.get("methods") or []:
        promises = method.get("keeps") or []
        restricted = dict(method)
        if "place" not in promises or method.get("lapsed") == "refuse":
            restricted["kindsOpen"] = [NO_PLACE]
        if "repeats" not in promises:
            restricted["effect"] = EFFECTS[-1]
        methods.append(restricted)
    return settings | {"methods": methods}


def has_no_place(method: Method) -> bool:
    """Whether no place is left for a method."""
    return any(method.get(name) == [NO_PLACE] for name in PLACE_FIELDS)


# What differs


def changes(older: Settings, newer: Settings) -> list[Change]:
    """The fields in which two versions differ."""
    return list(_differences(older, newer))


def contradictions(older: Settings, newer: Settings) -> list[str]:
    """The paths of binding fields in which two versions differ: one may do there what the other forbids."""
    return [change.path for change in _differences(older, newer) if change.field.binds]


def broken_promises(older: Settings, newer: Settings) -> list[str]:
    """The promises of a version that the next one would break, each as "methods.NAME: PROMISE"."""
    broken = []
    later = _by_name(newer, "methods")
    for method in older.get("methods") or []:
        name = method["name"]
        promises = method.get("keeps") or []
        if name not in later:
            broken += [f"methods.{name}: {promise}" for promise in promises]
            continue
        broken += [
            f"methods.{name}: {promise}"
            for promise, fields in PROMISED_FIELDS.items()
            if promise in promises and _restricts(fields, method, later[name])
        ]
    return broken


def _restricts(fields: tuple[str, ...], older: Method, newer: Method) -> bool:
    """Whether the newer method allows less than the older one in one of these fields."""
    return any(
        combine_values(name, METHOD_FIELDS[name], older.get(name), newer.get(name)) != older.get(name)
        for name in fields
    )


def _differences(older: Settings, newer: Settings) -> Iterator[Change]:
    for part, fields in NAMED_PARTS.items():
        former = _by_name(older, part)
        later = _by_name(newer, part)
        for name in dict.fromkeys([*former, *later]):
            if name in former and name in later:
                yield from _object_differences(f"{part}.{name}.", fields, former[name], later[name])
            else:
                yield Change(f"{part}.{name}", ADDED_OR_REMOVED, former.get(name), later.get(name))
    for part, fields in PLAIN_PARTS.items():
        yield from _object_differences(f"{part}.", fields, older.get(part) or {}, newer.get(part) or {})
    top_level = sorted({*TOP_LEVEL_FIELDS, *older, *newer} - set(NAMED_PARTS) - set(PLAIN_PARTS))
    yield from _object_differences(
        "",
        TOP_LEVEL_FIELDS,
        {name: older.get(name) for name in top_level},
        {name: newer.get(name) for name in top_level},
    )


def _object_differences(
    prefix: str, fields: dict[str, Field], older: dict[str, Any], newer: dict[str, Any]
) -> Iterator[Change]:
    for name in dict.fromkeys([*older, *newer]):
        if name != "name" and older.get(name) != newer.get(name):
            yield Change(f"{prefix}{name}", fields.get(name, UNKNOWN), older.get(name), newer.get(name))


# Steps of a change


def publication_steps(current: Settings, target: Settings) -> list[Settings]:
    """The settings to publish one after the other, `target` last.

    Each step is free of contradiction, and leaves every method a place.
    """
    steps: list[Settings] = []
    broken = broken_promises(current, target)
    if broken:
        current = _withdraw_promises(current, target, broken)
        steps.append(current)
    without_place = {
        method["name"] for method in combine_settings(current, target)["methods"] if has_no_place(method)
    }
    if without_place:
        current = _widen_methods(current, target, without_place)
        steps.append(current)
    return [*steps, target]


def _withdraw_promises(current: Settings, target: Settings, broken: list[str]) -> Settings:
    """The current settings without the promises that the target does not make, or would break."""
    promised_by_target = {method["name"]: method.get("keeps") or [] for method in target.get("methods") or []}
    methods = []
    for method in current["methods"]:
        name = method["name"]
        kept = [
            promise
            for promise in method.get("keeps") or []
            if promise in promised_by_target.get(name, []) and f"methods.{name}: {promise}" not in broken
        ]
        methods.append(method | {"keeps": kept})
    return current | {"methods": methods}


def _widen_methods(current: Settings, target: Settings, names: set[str]) -> Settings:
    """The current settings, with the places of the target added to the methods of these names."""
    targets = _by_name(target, "methods")
    return current | {
        "methods": [
            _widen_method(method, targets[method["name"]]) if method["name"] in names else method
            for method in current["methods"]
        ]
    }


def _widen_method(method: Method, target: Method) -> Method:
    """The method with the places of both."""
    widened = dict(method)
    for name in PLACE_FIELDS:
        present = method.get(name)
        added = target.get(name)
        if present is None or added is None:
            widened.pop(name, None)
        else:
            widened[name] = [*present, *(item for item in added if item not in present)]
    return widened
