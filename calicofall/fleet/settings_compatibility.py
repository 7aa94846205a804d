"""Compatibility of two settings versions: what both allow, how they differ, and the steps of a change.

Two proxies contradict each other if one may do what the other's version forbids. Two versions are combined
(`combine_settings`) field by field: of each field, the more restrictive value holds, as settings_fields.py
defines. A change takes one step if the combination allows something for every method: all proxies first act
on the combination, then on the new version. Otherwise (for example, if a method is bound to zone a, and then
to zone b alone) it takes two steps: first both zones are allowed, then only the new one.

Promises (`keeps`, by method) hold until a later version withdraws them, which every member has to
acknowledge, since a proxy without a lease acts on them. Only a version after that one may break the promise.

Invariants:
    - The combination of two versions allows nothing that one of them forbids.
    - Each step of a change leaves a place for every method, and breaks no promise of the step before.

Settings have the operators' names and units, as in a settings document, unless stated otherwise.
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

# By field of a method in normalized settings that binds, its name in a settings document.
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
        path: path of the field in the settings, such as "methods.read.gain".
        field: how the field binds.
        old: value in the older version; None if it is absent.
        new: value in the newer version; None if it is absent.
    """

    path: str
    field: Field
    old: Any
    new: Any


def _by_name(settings: Settings, part: str) -> dict[str, dict[str, Any]]:
    """Returns the objects of a list in the settings, by their names."""
    return {item["name"]: item for item in settings.get(part) or []}


# Combination of two versions


def combine_settings(older: Settings, newer: Settings) -> Settings:
    """Returns the combination of two versions; fields that do not bind are those of the newer version."""
    combined = dict(newer)
    for part, fields in NAMED_PARTS.items():
        older_by_name = _by_name(older, part)
        combined[part] = [
            _combine_objects(fields, older_by_name[item["name"]], item)
            for item in newer.get(part) or []
            if item["name"] in older_by_name
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
    """Returns the combination of a method's two versions, for a request accepted under the older one.

    Both are in the form of normalized settings.
    """
    combined = dict(newer)
    for name, operator_name in OPERATOR_NAMES.items():
        value = combine_values(name, METHOD_FIELDS[operator_name], older.get(name), newer.get(name))
        if value is not None:
            combined[name] = value
    return combined


def restrict_without_lease(settings: Settings) -> Settings:
    """Returns the settings for a proxy without a lease: only what no later version may forbid.

    A method that promises `place` is served, unless its settings refuse that (`lapsed`); any other method is
    refused. Requests of a method that does not promise `repeats` are not sent twice.
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
    """Returns whether no endpoint is left to which a method may be sent."""
    return any(method.get(name) == [NO_PLACE] for name in PLACE_FIELDS)


# Differences


def changes(older: Settings, newer: Settings) -> list[Change]:
    """Returns the fields in which two versions differ."""
    return list(_differences(older, newer))


def contradictions(older: Settings, newer: Settings) -> list[str]:
    """Returns the paths of the binding fields in which two versions differ."""
    return [change.path for change in _differences(older, newer) if change.field.binds]


def broken_promises(older: Settings, newer: Settings) -> list[str]:
    """Returns the promises of a version that the next one would break, each as "methods.NAME: PROMISE"."""
    broken = []
    newer_by_name = _by_name(newer, "methods")
    for method in older.get("methods") or []:
        name = method["name"]
        promises = method.get("keeps") or []
        if name not in newer_by_name:
            broken += [f"methods.{name}: {promise}" for promise in promises]
            continue
        broken += [
            f"methods.{name}: {promise}"
            for promise, fields in PROMISED_FIELDS.items()
            if promise in promises and _restricts(fields, method, newer_by_name[name])
        ]
    return broken


def _restricts(fields: tuple[str, ...], older: Method, newer: Method) -> bool:
    """Returns whether the newer method allows less than the older one in any of these fields."""
    return any(
        combine_values(name, METHOD_FIELDS[name], older.get(name), newer.get(name)) != older.get(name)
        for name in fields
    )


def _differences(older: Settings, newer: Settings) -> Iterator[Change]:
    for part, fields in NAMED_PARTS.items():
        older_by_name = _by_name(older, part)
        newer_by_name = _by_name(newer, part)
        for name in dict.fromkeys([*older_by_name, *newer_by_name]):
            if name in older_by_name and name in newer_by_name:
                yield from _object_differences(
                    f"{part}.{name}.", fields, older_by_name[name], newer_by_name[name]
                )
            else:
                yield Change(
                    f"{part}.{name}", ADDED_OR_REMOVED, older_by_name.get(name), newer_by_name.get(name)
                )
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
    """Returns the settings to publish one after the other, `target` last.

    No step breaks a promise of the one before, or leaves a method without a place while proxies act on both.
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
    """Returns the current settings without the promises that the target does not make or would break."""
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
    """Returns the current settings with the target's places added to the methods of these names."""
    targets = _by_name(target, "methods")
    return current | {
        "methods": [
            _widen_method(method, targets[method["name"]]) if method["name"] in names else method
            for method in current["methods"]
        ]
    }


def _widen_method(method: Method, target: Method) -> Method:
    """Returns the method with the places of both versions."""
    widened = dict(method)
    for name in PLACE_FIELDS:
        present = method.get(name)
        added = target.get(name)
        if present is None or added is None:
            widened.pop(name, None)
        else:
            widened[name] = [*present, *(item for item in added if item not in present)]
    return widened
