"""Describes how objects of one class are stored: the attribute that each stored field holds.

The tables are in `state_schema`, the traversal of a whole state is in `state_codec`. A path is a dotted
attribute name relative to the stored object: `slow_start.ramp_ms` is the attribute `ramp_ms` of the component
`slow_start`.

Invariants: writing a state with an attribute that is neither stored nor listed as not stored is an error, so
that a new attribute cannot be lost silently.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Any


class UnsupportedStateError(TypeError):
    """A live object has an attribute, or a value of a type, that a stored state cannot hold."""


@dataclass(frozen=True, slots=True)
class ConvertedField:
    """A stored field whose value has different forms in memory and in a record.

    `to_stored` is called with the values at `paths`, in this order, and returns the stored value, which must
    be a new object or one that nothing else in the state holds. `from_stored` returns the values for `paths`.
    """

    paths: tuple[str, ...]
    to_stored: Callable[..., Any]
    from_stored: Callable[[Any], tuple[Any, ...]]


def attribute_names(instance: object) -> set[str]:
    """Returns the names of all attributes of an object, in slots and in `__dict__`."""
    slots = {name for cls in type(instance).__mro__ for name in cls.__dict__.get("__slots__", ())}
    return slots.union(getattr(instance, "__dict__", ()))


def _set_path(instance: object, path: str, value: object) -> None:
    """Sets the attribute at a path, even in a frozen dataclass."""
    owner, _, name = path.rpartition(".")
    object.__setattr__(attrgetter(owner)(instance) if owner else instance, name, value)


def _owner_of(path: str) -> str:
    return path.rpartition(".")[0]


@dataclass(frozen=True)
class StoredClass:
    """How objects of one class are stored.

    Attributes:
        name: The name of the class in records.
        live_class: The class in memory.
        fields: Paths or conversions by stored field name, in the order in which the fields are written.
        components: Classes of the components of an object by path, each before the components inside it.
            Components are not stored as objects: their attributes are fields of the stored class.
        aliases: By path, another path that holds the same object. The alias is not written; it is set to the
            same object again when a state is restored.
        not_stored: Reasons why attributes are not written, by path. An object may lack these attributes.
        after_restore: Called with an object once all its fields are set, to derive attributes not stored.
        ignores_private: Whether attributes with a leading underscore belong to a subclass and are not state.
    """

    name: str
    live_class: type[Any]
    fields: Mapping[str, str | ConvertedField]
    components: Mapping[str, type[Any]] = field(default_factory=dict)
    aliases: Mapping[str, str] = field(default_factory=dict)
    not_stored: Mapping[str, str] = field(default_factory=dict)
    after_restore: Callable[[Any], None] | None = None
    ignores_private: bool = False
    _readers: list[tuple[str, Callable[[Any], Any]]] = field(init=False, repr=False)
    _known_names: dict[str, set[str]] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Prepares the readers of the fields and the known attribute names of each component."""
        readers = [(name, self._reader(source)) for name, source in self.fields.items()]
        known: dict[str, set[str]] = {"": set(), **{path: set() for path in self.components}}
        for path in self._all_paths():
            known[_owner_of(path)].add(path.rpartition(".")[2])
        object.__setattr__(self, "_readers", readers)
        object.__setattr__(self, "_known_names", known)

    @staticmethod
    def _reader(source: str | ConvertedField) -> Callable[[Any], Any]:
        if isinstance(source, str):
            return attrgetter(source)
        if len(source.paths) == 1:
            read_one = attrgetter(source.paths[0])
            return lambda instance: source.to_stored(read_one(instance))
        read_all = attrgetter(*source.paths)
        return lambda instance: source.to_stored(*read_all(instance))

    def _all_paths(self) -> Iterator[str]:
        for source in self.fields.values():
            yield from (source,) if isinstance(source, str) else source.paths
        yield from self.components
        yield from self.aliases
        yield from self.not_stored

    def unknown_attributes(self, instance: object) -> list[str]:
        """Returns the paths of attributes that are missing from this description, sorted."""
        unknown = []
        for owner, known in self._known_names.items():
            component = attrgetter(owner)(instance) if owner else instance
            unknown += [f"{owner}.{name}".lstrip(".") for name in attribute_names(component) - known]
        if self.ignores_private:
            unknown = [path for path in unknown if not path.startswith("_")]
        return sorted(unknown)

    def check(self, instance: object) -> None:
        """Checks that all attributes of an object can be written.

        Raises:
            UnsupportedStateError: An attribute is unknown or missing, or an alias holds another object.
        """
        try:
            unknown = self.unknown_attributes(instance)
            if unknown:
                names = ", ".join(unknown)
                raise UnsupportedStateError(f"{self.name}: attributes missing from the state schema: {names}")
            for path, target in self.aliases.items():
                if attrgetter(path)(instance) is not attrgetter(target)(instance):
                    reason = f"{path} of a {self.name} is not the object that {target} holds"
                    raise UnsupportedStateError(reason)
        except AttributeError as missing:
            raise UnsupportedStateError(
                f"{self.name}: an attribute in the state schema does not exist: {missing}"
            ) from missing

    def stored_values(self, instance: object) -> Iterator[tuple[str, Any]]:
        """Yields the stored names and values of an object's fields, in the order in which they are written.

        Raises:
            UnsupportedStateError: The object lacks an attribute.
        """
        for name, reader in self._readers:
            try:
                value = reader(instance)
            except AttributeError as missing:
                raise UnsupportedStateError(
                    f"{self.name}: the attribute of the stored field {name} does not exist: {missing}"
                ) from missing
            yield name, value

    def new_instance(self) -> Any:
        """Creates an object with its components, but without any field set."""
        instance = object.__new__(self.live_class)
        for path, cls in self.components.items():
            _set_path(instance, path, object.__new__(cls))
        return instance

    def set_field(self, instance: object, name: str, value: object) -> None:
        """Sets the attribute or attributes that a stored field holds."""
        source = self.fields[name]
        if isinstance(source, str):
            _set_path(instance, source, value)
            return
        for path, path_value in zip(source.paths, source.from_stored(value), strict=True):
            _set_path(instance, path, path_value)

    def finish_restore(self, instance: object) -> None:
        """Sets aliases and derived attributes, once all stored fields are set."""
        for path, target in self.aliases.items():
            _set_path(instance, path, attrgetter(target)(instance))
        if self.after_restore is not None:
            self.after_restore(instance)

    def check_names(self, names: list[str]) -> None:
        """Checks the names of the stored fields of an object.

        Raises:
            ValueError: Names are missing or unknown.
        """
        differing = set(names) ^ self.fields.keys()
        if differing:
            raise ValueError(f"{self.name}: missing or unknown stored fields: {', '.join(sorted(differing))}")
