"""Encodes a router's whole state as JSON values, and restores it.

A state is `{"fields": [[name, value], ...], "table": [[kind, content], ...]}`. The table holds each list,
dict, set and object once, since several fields may hold the same one; values refer to them by index. Values
that JSON cannot represent are written as an object with one key:

    {"r": index}    a reference to the table
    {"t": [...]}    a tuple
    {"z": [...]}    a frozen set
    {"i": "..."}    an integer of more than 64 bits
    {"f": "..."}    a float that is not finite

`state_schema` defines the fields of each class.

Invariants: nothing is omitted silently; an attribute that is missing from the schema is an error.
"""

from collections import deque
from collections.abc import Iterable
from math import isfinite
from random import Random
from typing import Any

from calicofall.recording.pseudonymizer import Naming
from calicofall.recording.state_schema import BY_LIVE_CLASS, BY_STORED_NAME, PSEUDONYMIZED, ROUTER
from calicofall.recording.stored_class import StoredClass, UnsupportedStateError
from calicofall.routing.router import Router

__all__ = ["UnsupportedStateError", "encode_state", "restore_state"]

SEQUENCES: dict[str, type] = {"list": list, "deque": deque}
INTEGER_LIMIT = 1 << 63  # larger integers are written as text


class _Encoder:
    """Encodes values, with one table of all objects that may be referenced more than once."""

    def __init__(self, naming: Naming | None) -> None:
        self.naming = naming
        self.table: list[Any] = []
        self.indexes: dict[int, int] = {}  # by id() of an object
        # These references keep objects alive that were created only to be encoded. Otherwise another object
        # could reuse the id() of a freed one and be taken for the same object.
        self.encoded: list[object] = []

    def encode(self, value: Any) -> Any:
        """Returns the stored form of a value."""
        if value is None or isinstance(value, bool | str):
            return value
        if isinstance(value, int):
            return value if -INTEGER_LIMIT <= value < INTEGER_LIMIT else {"i": str(value)}
        if isinstance(value, float):
            return value if isfinite(value) else {"f": str(value)}
        if isinstance(value, tuple):
            return {"t": [self.encode(item) for item in value]}
        if isinstance(value, frozenset):
            return {"z": [self.encode(item) for item in sorted(value, key=str)]}
        index = self.indexes.get(id(value))
        if index is None:
            index = self.indexes[id(value)] = len(self.table)
            self.encoded.append(value)
            self.table.append(None)  # reserves the index: referenced objects get later ones
            self.table[index] = self._entry(value)
        return {"r": index}

    def _entry(self, value: Any) -> list[Any]:
        cls = type(value)
        if cls is dict:
            return ["dict", [[self.encode(key), self.encode(item)] for key, item in value.items()]]
        if cls is list or cls is deque:
            return [cls.__name__, [self.encode(item) for item in value]]
        if cls is set:
            # Sorted, because the iteration order of a set depends on the process's hash seed.
            return ["set", [self.encode(item) for item in sorted(value, key=str)]]
        if cls is Random:
            return ["Random", self.encode(value.getstate())]
        stored = BY_LIVE_CLASS.get(cls)
        if stored is None:
            raise UnsupportedStateError(f"a stored state cannot hold an object of type {cls.__name__}")
        return [stored.name, self.fields(stored, value)]

    def fields(self, stored: StoredClass, instance: object) -> list[list[Any]]:
        """Returns the stored fields of an object: names and encoded values."""
        stored.check(instance)
        return [
            [name, self.encode(self._named(stored.name, name, value))]
            for name, value in stored.stored_values(instance)
        ]

    def _named(self, stored_class: str, name: str, value: Any) -> Any:
        """Returns the value of a field with its keys and tenants replaced by their names in the record."""
        if self.naming is None:
            return value
        rename = PSEUDONYMIZED.get((stored_class, name))
        return value if rename is None else rename(value, self.naming)


class _Decoder:
    """Decodes values; each entry of the table becomes one object, however often it is referenced."""

    def __init__(self, table: list[Any]) -> None:
        self.table = table
        self.objects: dict[int, Any] = {}  # by index in the table

    def decode(self, value: Any) -> Any:
        """Returns the value of a stored form."""
        if not isinstance(value, dict):
            return value
        ((kind, content),) = value.items()
        match kind:
            case "r":
                return self._object(content)
            case "t":
                return tuple(self.decode(item) for item in content)
            case "z":
                return frozenset(self.decode(item) for item in content)
            case "i":
                return int(content)
            case "f":
                return float(content)
            case _:
                raise ValueError(f"unknown kind of value {kind!r}, expected r, t, z, i or f")

    def _object(self, index: int) -> Any:
        if index not in self.objects:
            kind, content = self.table[index]
            self._create(index, kind, content)
        return self.objects[index]

    def _create(self, index: int, kind: str, content: Any) -> None:
        """Creates the object of an entry, and registers it before filling it, as references may be cyclic."""
        if kind == "Random":
            self.objects[index] = random = Random()
            random.setstate(self.decode(content))
        elif kind == "dict":
            mapping: dict[Any, Any] = {}
            self.objects[index] = mapping
            mapping.update((self.decode(key), self.decode(item)) for key, item in content)
        elif kind == "set":
            self.objects[index] = members = set()
            members.update([self.decode(item) for item in content])
        elif kind in SEQUENCES:
            self.objects[index] = sequence = SEQUENCES[kind]()
            sequence.extend([self.decode(item) for item in content])
        else:
            stored = BY_STORED_NAME[kind]
            self.objects[index] = instance = stored.new_instance()
            self.set_fields(stored, instance, content)

    def set_fields(self, stored: StoredClass, instance: object, fields: Iterable[tuple[str, Any]]) -> None:
        """Sets all fields of an object."""
        stored.check_names([name for name, _ in fields])
        for name, value in fields:
            stored.set_field(instance, name, self.decode(value))
        stored.finish_restore(instance)


def encode_state(router: Router, naming: Naming | None = None) -> dict[str, Any]:
    """Encodes the state of a router and its policy as JSON values.

    Args:
        router: The router.
        naming: Maps keys and tenants to their names in the record; None writes them unchanged.

    Raises:
        UnsupportedStateError: The state holds an attribute or type that is missing from the schema.
    """
    encoder = _Encoder(naming)
    return {"fields": encoder.fields(ROUTER, router), "table": encoder.table}


def restore_state(router: Router, state: dict[str, Any]) -> None:
    """Replaces the state of a router by a stored one.

    Raises:
        KeyError: An object has an unknown class, or `fields` or `table` is missing from the state.
        ValueError: Fields are missing or unknown, or a value cannot be decoded.
        TypeError: A value has the wrong type.
    """
    _Decoder(state["table"]).set_fields(ROUTER, router, state["fields"])
