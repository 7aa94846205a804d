"""Tests that the schema of stored state covers every attribute and keeps the field names of records."""

import json
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from helpers import deployment_settings

from calicofall.recording import frames
from calicofall.recording.state_codec import encode_state, restore_state
from calicofall.recording.state_schema import (
    BY_LIVE_CLASS,
    BY_STORED_NAME,
    PSEUDONYMIZED,
    ROUTER,
    STORED_CLASSES,
)
from calicofall.recording.stored_class import (
    ConvertedField,
    StoredClass,
    UnsupportedStateError,
    attribute_names,
)
from calicofall.routing.request import Attempt, Request
from calicofall.routing.router import Router

FIXTURES = Path(__file__).parent / "fixtures" / "stored_data"
BUILT_IN = {"list", "dict", "set", "deque", "Random"}


def stored_states() -> Iterator[dict[str, Any]]:
    """Yields the initial states of the records that commit 6128af4 wrote."""
    for path in sorted(FIXTURES.glob("*/*.record")):
        data = path.read_bytes()
        body = data.index(b"\n") + 1 + frames.FRAME_HEADER_BYTES
        state = json.loads(zlib.decompressobj().decompress(data[body:]))["state"]
        if state is not None:
            yield state


def stored_names() -> dict[str, set[tuple[str, ...]]]:
    """Returns the sequences of field names in the stored states, by stored class."""
    found: dict[str, set[tuple[str, ...]]] = {}
    for state in stored_states():
        found.setdefault("Router", set()).add(tuple(name for name, _ in state["fields"]))
        for kind, content in state["table"]:
            if kind not in BUILT_IN:
                found.setdefault(kind, set()).add(tuple(name for name, _ in content))
    return found


def live_router() -> Router:
    """Returns a router with one endpoint and one request in flight."""
    router = Router(deployment_settings(proxies=4), 7, 0.0)
    router.on_endpoint_list(0.0, "full", 1, [("c1", "a", "box", 0, "ready", 1.0, 0.0)])
    router.route(15_000.0, Request("r1", "read", None, 7, False, 15_000.0, 15_900.0))
    return router


def live_objects(instance: Any, found: dict[int, Any]) -> dict[int, Any]:
    """Collects the project's objects that are reachable through attributes and containers, by id()."""
    if isinstance(instance, dict):
        for pair in instance.items():
            live_objects(pair, found)
    elif isinstance(instance, list | tuple | set | frozenset):
        for item in instance:
            live_objects(item, found)
    elif type(instance).__module__.startswith("calicofall.") and id(instance) not in found:
        found[id(instance)] = instance
        for name in attribute_names(instance):
            live_objects(getattr(instance, name, None), found)
    return found


def test_schema_of_every_class_names_the_fields_of_6128af4_in_their_order() -> None:
    """The order of the fields is part of the format: equal states give identical bytes."""
    schema = {stored.name: {tuple(stored.fields)} for stored in (ROUTER, *STORED_CLASSES)}

    assert schema == stored_names()


def test_schema_covers_every_attribute_of_live_objects() -> None:
    """Every attribute, including those of components, is stored or listed with the reason why it is not."""
    router = live_router()
    objects = [instance for instance in live_objects(router, {}).values() if type(instance) in BY_LIVE_CLASS]

    assert {type(instance) for instance in objects} == BY_LIVE_CLASS.keys()
    assert [BY_LIVE_CLASS[type(instance)].unknown_attributes(instance) for instance in objects] == [[]] * len(
        objects
    )
    assert ROUTER.unknown_attributes(router) == []
    for instance in objects:
        BY_LIVE_CLASS[type(instance)].check(instance)


def test_schema_names_only_attributes_that_exist() -> None:
    """Guards against a path to a missing attribute, which would fail only when a proxy writes its state."""
    objects = live_objects(live_router(), {}).values()
    by_class = {type(instance): instance for instance in objects}

    for stored in (ROUTER, *STORED_CLASSES):
        names = [name for name, _ in stored.stored_values(by_class[stored.live_class])]
        assert names == list(stored.fields)


def test_pseudonymized_fields_are_fields_of_the_schema() -> None:
    """Guards against a misspelt entry, which would write real keys or tenant names to a record."""
    for stored_class, name in PSEUDONYMIZED:
        assert name in BY_STORED_NAME[stored_class].fields


@pytest.mark.parametrize("stored", STORED_CLASSES, ids=lambda stored: stored.name)
def test_encode_state_with_an_unknown_attribute_raises_unsupported_state_error(stored: StoredClass) -> None:
    """An attribute that is missing from the schema is an error, whatever its value."""
    objects = live_objects(live_router(), {}).values()
    instance = next(instance for instance in objects if type(instance) is stored.live_class)

    class Extended(stored.live_class):  # type: ignore[name-defined, misc]  # the base class is a parameter
        pass

    extended = object.__new__(Extended)
    for name in attribute_names(instance):
        object.__setattr__(extended, name, getattr(instance, name))
    extended.added_later = 1

    with pytest.raises(UnsupportedStateError, match="added_later"):
        stored.check(extended)


def test_encode_state_of_a_router_with_an_unknown_attribute_raises_unsupported_state_error() -> None:
    """The router's own attributes are checked like those of its policy."""
    router = live_router()
    router.added_later = 1  # type: ignore[attr-defined]  # the fault that is tested

    with pytest.raises(UnsupportedStateError, match="added_later"):
        encode_state(router)


def test_encode_state_without_a_known_attribute_raises_unsupported_state_error() -> None:
    """The error names the field of an attribute that was renamed in the class, but not in the schema."""
    router = live_router()
    del router.policy.retries.budget.extra_attempts

    with pytest.raises(
        UnsupportedStateError, match="Budget: the attribute of the stored field spent does not exist"
    ):
        encode_state(router)


def test_restore_state_restores_an_object_held_by_two_fields_as_one() -> None:
    """An endpoint is both in the endpoint table and among the usable ones; it is restored as one object."""
    router = Router(deployment_settings(), 1, 0.0)

    restore_state(router, json.loads(frames.encode_json(encode_state(live_router()))))

    assert router.policy.placement.usable[0][2] is router.policy.endpoints.caches["c1"]
    assert type(router.active_requests["r1"].attempts[0]) is Attempt


# Classes with several components


class Ramp:
    """A component."""

    def __init__(self, length_ms: float) -> None:
        self.length_ms = length_ms
        self.started: dict[str, float] = {}


@dataclass(frozen=True, slots=True)
class Bounds:
    """A frozen component."""

    lowest: float
    highest: float


class Device:
    """An object with two components and an attribute that refers to an object of one of them."""

    def __init__(self) -> None:
        self.name = "d1"
        self.ramp = Ramp(250.0)
        self.bounds = Bounds(1.0, 9.0)
        self.started = self.ramp.started
        self.width = 8.0


def set_width(device: Device) -> None:
    """Derives the attribute that is not stored."""
    device.width = device.bounds.highest - device.bounds.lowest


DEVICE = StoredClass(
    "Device",
    Device,
    {
        "title": "name",
        "ramp_ms": "ramp.length_ms",
        "limits": ConvertedField(
            ("bounds.lowest", "bounds.highest"),
            to_stored=lambda lowest, highest: [lowest, highest],
            from_stored=tuple,
        ),
        "since": "ramp.started",
    },
    components={"ramp": Ramp, "bounds": Bounds},
    aliases={"started": "ramp.started"},
    not_stored={"width": "follows from the bounds"},
    after_restore=set_width,
)


def test_stored_class_with_components_writes_fields_by_their_paths() -> None:
    """A class can be split into components without a change of the stored form."""
    device = Device()

    DEVICE.check(device)

    assert list(DEVICE.stored_values(device)) == [
        ("title", "d1"),
        ("ramp_ms", 250.0),
        ("limits", [1.0, 9.0]),
        ("since", {}),
    ]


def test_stored_class_with_components_restores_fields_aliases_and_what_follows() -> None:
    """Components are created empty, also frozen ones; a shared object is restored as one."""
    device = DEVICE.new_instance()
    for name, value in {"title": "d2", "ramp_ms": 50.0, "limits": [2.0, 5.0], "since": {"a": 1.0}}.items():
        DEVICE.set_field(device, name, value)
    DEVICE.finish_restore(device)

    assert (device.name, device.ramp.length_ms, device.bounds) == ("d2", 50.0, Bounds(2.0, 5.0))
    assert device.started is device.ramp.started
    assert device.started == {"a": 1.0}
    assert device.width == 3.0


def test_stored_class_check_with_an_unknown_attribute_of_a_component_raises() -> None:
    """Attributes of components are checked like those of the object itself."""
    device = Device()
    device.ramp.later = 1  # type: ignore[attr-defined]  # the fault that is tested

    with pytest.raises(UnsupportedStateError, match=r"ramp\.later"):
        DEVICE.check(device)


def test_stored_class_check_with_an_alias_of_another_object_raises() -> None:
    """An alias is not written, so a different object there would be lost."""
    device = Device()
    device.started = {}

    with pytest.raises(UnsupportedStateError, match="is not the object"):
        DEVICE.check(device)


@pytest.mark.parametrize(
    "names",
    [
        pytest.param(["title", "ramp_ms", "limits"], id="a field is missing"),
        pytest.param(["title", "ramp_ms", "limits", "since", "more"], id="a field is unknown"),
    ],
)
def test_stored_class_check_names_of_another_version_raises_value_error(names: list[str]) -> None:
    """The error distinguishes a state of a version with other fields from a damaged one."""
    with pytest.raises(ValueError, match="missing or unknown stored fields: (since|more)"):
        DEVICE.check_names(names)
