"""Tests that events and pseudonyms keep the stored form of commit 6128af4."""

from pathlib import Path
from typing import Any, get_args

import pytest

from calicofall.recording import frames
from calicofall.recording.events import EVENT_TYPES, STORED_KINDS, Event, decode_event, encode_event
from calicofall.recording.pseudonymizer import NoPseudonyms, Pseudonymizer, pseudonymized_settings
from calicofall.recording.replayer import events_of

FIXTURES = Path(__file__).parent / "fixtures" / "stored_data"
# Pseudonyms by 6128af4 of the keys 7 and 2**63 + 5 and the tenants `acme` and `shöp` under the secret below.
KEY_7 = 255653549162687
KEY_LARGE = 151720910395290
TENANT_ACME = "td121fa52ac7d"
TENANT_UMLAUT = "tc22a5d660204"
WHOLE_RECORDS = sorted(
    str(path.relative_to(FIXTURES)) for path in FIXTURES.glob("*/*.record") if path.parent.name != "crashed"
)


@pytest.mark.parametrize("name", WHOLE_RECORDS)
def test_encode_event_of_a_decoded_event_returns_the_stored_one(name: str) -> None:
    """Every field is decoded in its order and encoded unchanged."""
    _, rest = frames.open_record((FIXTURES / name).read_bytes())

    for stored in events_of(rest):
        assert encode_event(decode_event(stored)) == stored


def test_stored_kinds_cover_every_type_of_event_once() -> None:
    """Guards against a type without its own kind, which could be written but not read."""
    assert set(STORED_KINDS) == set(get_args(Event))
    assert {kind: event_type for event_type, kind in STORED_KINDS.items()} == EVENT_TYPES
    assert len(EVENT_TYPES) == len(STORED_KINDS)


@pytest.mark.parametrize(
    ("stored", "message"),
    [
        pytest.param(["dance", 1.0], "unknown event kind 'dance'", id="an unknown kind"),
        pytest.param(["left", 1.0, "r1"], "'left' has 2 fields, expected 3", id="a field is missing"),
        pytest.param(["left", 1.0, "r1", [], 0], "'left' has 4 fields, expected 3", id="a field too many"),
    ],
)
def test_decode_event_of_another_form_raises_value_error_that_names_the_kind(
    stored: list[Any], message: str
) -> None:
    """The error distinguishes a record of a version with other events from a damaged one."""
    with pytest.raises(ValueError, match=message):
        decode_event(stored)


def test_pseudonyms_under_one_secret_are_those_of_6128af4() -> None:
    """Both versions give a key the same pseudonym, so that queries find it in the records of both."""
    pseudonymizer = Pseudonymizer(b"a secret of ours")

    assert [pseudonymizer.key(key) for key in (7, 2**63 + 5, None)] == [KEY_7, KEY_LARGE, None]
    assert [pseudonymizer.tenant(name) for name in ("acme", "sh\u00f6p")] == [TENANT_ACME, TENANT_UMLAUT]


def test_pseudonymized_settings_rename_the_tenants_alone() -> None:
    """The settings in a record are those of the router, except for the tenant names."""
    settings = {"tenants": [{"name": "acme", "quota": 5.0}], "proxies": 4}

    renamed = pseudonymized_settings(settings, Pseudonymizer(b"a secret of ours"))

    assert renamed == {"tenants": [{"name": TENANT_ACME, "quota": 5.0}], "proxies": 4}
    assert pseudonymized_settings(settings, NoPseudonyms()) == settings
    assert pseudonymized_settings({"tenants": None}, NoPseudonyms()) == {"tenants": []}
