"""A router's whole state as plain values of JSON, and back.

A state is `{"fields": [[name, value], ...], "table": [[kind, content], ...]}`. Lists, dicts, sets and objects
stand once each in the table, since several fields may hold the same one; a value refers to them by index.
Values that JSON lacks are written as an object with one key:

    {"r": index}    a reference to the table
    {"t": [...]}    a tuple
    {"z": [...]}    a frozen set
    {"i": "..."}    an integer of more than 64 bits
    {"f": "..."}    a float that is not finite

Which fields an object has is described in `state_schema`.

Invariants: nothing is left out silently: an attribute that the schema does not know is an error.
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
INTEGER_LIMIT = 1 << 63  # integers beyond it are written as text


class _Encoder:
    """Encodes values, with one table of all that may be referred to twice."""

    def __init__(self, naming: Naming | None) -> None:
        self.naming = naming
        self.table: list[Any] = []
        self.indexes: dict[int, int] = {}  # by id() of an object
        # Without these references, an object made only to be encoded could be freed, and its id() be that of
        # the next one, which would then be taken for the same object.
        self.encoded: list[object] = []

    def encode(self, value: Any) -> Any:
        """The form of a value in the record."""
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
            self.table.append(None)  # holds the place: what an object refers to comes after it
            self.table[index] = self._entry(value)
        return {"r": index}

    def _entry(self, value: Any) -> list[Any]:
        cls = type(value)
        if cls is dict:
            return ["dict", [[self.encode(key), self.encode(item)] for key, item in value.items()]]
        if cls is list or cls is deque:
            return [cls.__name__, [self.encode(item) for item in value]]
        if cls is set:
            # In the set's own order, records of the same state would differ by the process's hash seed.
            return ["set", [self.encode(item) for item in sorted(value, key=str)]]
        if cls is Random:
            return ["Random", self.encode(value.getstate())]
        stored = BY_LIVE_CLASS.get(cls)
        if stored is None:
            raise UnsupportedStateError(f"a {cls.__name__} has no place in a state")
        return [stored.name, self.fields(stored, value)]

    def fields(self, stored: StoredClass, instance: object) -> list[list[Any]]:
        """The stored fields of an object: names and encoded values."""
        stored.check(instance)
        return [
            [name, self.encode(self._named(stored.name, name, value))]
            for name, value in stored.stored_values(instance)
        ]

    def _named(self, stored_class: str, name: str, value: Any) -> Any:
        """The value of a field, with its keys and tenants under their names in the record."""
        if self.naming is None:
            return value
        rename = PSEUDONYMIZED.get((stored_class, name))
        return value if rename is None else rename(value, self.naming)


class _Decoder:
    """Decodes values; each entry of the table becomes one object, however often it is referred to."""

    def __init__(self, table: list[Any]) -> None:
        self.table = table
        self.objects: dict[int, Any] = {}  # by index in the table

    def decode(self, value: Any) -> Any:
        """The value that a form in the record stands for."""
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
                raise ValueError(f"a value of an unknown kind {kind!r}")

    def _object(self, index: int) -> Any:
        if index not in self.objects:
            kind, content = self.table[index]
            self._create(index, kind, content)
        return self.objects[index]

    def _create(self, index: int, kind: str, content: Any) -> None:
        """Makes the object of an entry; known by its index before it is filled, as objects may be cyclic."""
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
    """All that a router and its policy hold, as plain values.

    Args:
        router: The router.
        naming: Names keys and tenants in the record; None writes them as they are.

    Raises:
        UnsupportedStateError: The state holds what the schema does not know.
    """
    encoder = _Encoder(naming)
    return {"fields": encoder.fields(ROUTER, router), "table": encoder.table}


def restore_state(router: Router, state: dict[str, Any]) -> None:
    """Puts a stored state into a router, in place of its own.

    Raises:
        KeyError: An object is of an unknown class, or the state lacks a part.
        ValueError: Fields are missing or unknown, or a value cannot be read.
        TypeError: A value is of the wrong type.
    """
    _Decoder(state["table"]).set_fields(ROUTER, router, state["fields"])
