"""Settings documents: what binds, how changes are made in steps, and errors of one line."""

import json
from collections.abc import Mapping, Sequence
from itertools import product
from pathlib import Path
from random import Random
from typing import Any

import pytest
from click.testing import CliRunner
from helpers import SETTINGS
from settings_support import COMMON_SETTINGS, document_text, serve_answers, settings_with

from calicofall.cli.main import main
from calicofall.config.settings import normalize_settings
from calicofall.fleet import settings_document, settings_fields
from calicofall.fleet.settings_compatibility import (
    broken_promises,
    combine_settings,
    contradictions,
    has_no_place,
    publication_steps,
    restrict_without_lease,
)
from calicofall.fleet.settings_document import InvalidDocument, parse_document, succession_errors
from calicofall.routing.policy import RoutingPolicy

Settings = dict[str, Any]

# Values of the binding fields of a method.
FIELD_VALUES: Mapping[str, Sequence[Any]] = {
    "kindsOpen": [None, ["box"], ["box", "disk"], ["disk"]],
    "failureDomainsOnly": [None, ["a"], ["a", "b"], ["b", "c"]],
    "effect": ["pure", "token", "side_effect"],
    "group": ["all", "zone", "cell"],
    "windowNs": [1_000_000_000, 5_000_000_000],
}
# What a method may do, by the field that may forbid it: a place, a kind of repeat, a span.
ACTIONS: Mapping[str, Sequence[Any]] = {
    "kindsOpen": ["box", "disk"],
    "failureDomainsOnly": ["a", "b", "c"],
    "effect": settings_fields.EFFECTS,
    "group": settings_fields.GROUPS,
    "windowNs": [1_000_000_000, 5_000_000_000],
}


def allows(method: dict[str, Any], name: str, action: Any) -> bool:
    """Whether a method's settings allow an action, as far as one field is concerned."""
    value = method.get(name)
    if name in ("kindsOpen", "failureDomainsOnly"):
        return value is None or action in value
    if name == "windowNs":
        return bool(action <= value)
    order = settings_fields.ORDERS[name]
    return order.index(str(value)) <= order.index(action)


def closes_a_method(before: Settings, after: Settings) -> bool:
    """Whether a method is left no place while some proxies act on each of two settings."""
    return any(has_no_place(method) for method in combine_settings(before, after)["methods"])


# Compatibility


def test_table_of_fields_holds_every_field_of_the_settings() -> None:
    settings: dict[str, Any] = SETTINGS

    for method in settings["methods"]:
        assert set(method) - {"name"} <= set(settings_fields.METHOD_FIELDS)
    for part, table in settings_fields.PLAIN_PARTS.items():
        assert set(settings[part]) <= set(table)
    assert set(settings) <= {
        *settings_fields.TOP_LEVEL_FIELDS,
        *settings_fields.NAMED_PARTS,
        *settings_fields.PLAIN_PARTS,
    }


@pytest.mark.parametrize("name", FIELD_VALUES)
def test_both_of_two_versions_allows_what_each_allows_and_nothing_else(name: str) -> None:
    for older, newer in product(FIELD_VALUES[name], repeat=2):
        a = settings_with(read={name: older})
        b = settings_with(read={name: newer})

        combined = combine_settings(a, b)["methods"][0]

        for action in ACTIONS[name]:
            assert allows(combined, name, action) == (
                allows(a["methods"][0], name, action) and allows(b["methods"][0], name, action)
            )
        assert bool(contradictions(a, b)) == (older != newer)


def test_field_that_does_not_bind_is_the_newer_ones_and_a_fixed_one_takes_a_restart() -> None:
    a = settings_with()
    b = settings_with(read={"gain": 9.0}) | {"kinds": ["other"]}
    before = parse_document(document_text({"version": 2, "after": 1, "settings": a}))
    after = parse_document(document_text({"version": 3, "after": 2, "settings": b}))

    assert combine_settings(a, b)["methods"][0]["gain"] == 9.0
    assert contradictions(a, b) == []
    assert "kinds: takes a restart" in succession_errors(before, after)


def test_both_of_numbers_that_bind_is_the_stricter_in_either_order() -> None:
    a = COMMON_SETTINGS | {"caps": COMMON_SETTINGS["caps"] | {"mostTransmissions": 2, "secondCopies": True}}
    b = COMMON_SETTINGS | {
        "caps": COMMON_SETTINGS["caps"] | {"mostTransmissions": 5},
        "realms": [{"name": "acme", "quotaPerS": 3.0}],
        "rules": COMMON_SETTINGS["rules"] | {"coldNs": 9, "startCapacity": 0.9},
    }

    for combined in (combine_settings(a, b), combine_settings(b, a)):
        assert combined["caps"]["mostTransmissions"] == 2
        assert combined["realms"][0]["quotaPerS"] == 3.0
        assert combined["rules"]["coldNs"] == 20_000_000_000
        assert combined["rules"]["startCapacity"] == 0.2
        assert not combined["caps"].get("secondCopies")


def test_steps_for_a_method_that_would_be_left_no_place_widen_it_first() -> None:
    a = settings_with(read={"failureDomainsOnly": ["a"]})
    b = settings_with(read={"failureDomainsOnly": ["b"]})
    wider = settings_with(read={"failureDomainsOnly": ["a", "c"]})
    assert has_no_place(combine_settings(a, b)["methods"][0])

    plan = publication_steps(a, b)

    assert [step["methods"][0]["failureDomainsOnly"] for step in plan] == [["a", "b"], ["b"]]
    for before, after in zip([a, *plan], plan, strict=False):
        assert not closes_a_method(before, after)
    assert publication_steps(a, wider) == [wider]


def test_steps_for_a_promise_that_would_be_broken_withdraw_it_first() -> None:
    a = settings_with(read={"keeps": ["place", "repeats"]})
    b = settings_with(read={"keeps": ["repeats"], "kindsOpen": ["box"]})
    assert broken_promises(a, b) == ["methods.read: place"]

    plan = publication_steps(a, b)

    assert plan[0]["methods"][0]["keeps"] == ["repeats"]
    assert plan[-1] == b
    assert len(plan) == 2
    for before, after in zip([a, *plan], plan, strict=False):
        assert not broken_promises(before, after)


def test_steps_for_random_changes_break_no_promise_and_close_no_method() -> None:
    rng = Random(3)

    def draw_method() -> dict[str, Any]:
        method = {field: rng.choice(values) for field, values in FIELD_VALUES.items() if rng.random() < 0.6}
        return method | {"keeps": rng.choice([[], ["place"], ["repeats"]])}

    def draw_settings() -> Settings:
        return settings_with(**{name: draw_method() for name in ("read", "save", "order")})

    for _ in range(300):
        a = draw_settings()
        b = draw_settings()

        plan = publication_steps(a, b)

        assert plan[-1] == b
        assert len(plan) <= 3
        for before, after in zip([a, *plan], plan, strict=False):
            assert not broken_promises(before, after)
            assert not closes_a_method(before, after)


def test_settings_without_a_lease_allow_what_promises_allow() -> None:
    """Nothing is sent of a method that keeps no place; one that does goes on, unless it is refused."""
    restricted = restrict_without_lease(
        settings_with(
            read={"keeps": ["place", "repeats"]},
            save={"keeps": ["place"]},
            order={"keeps": ["place"], "lapsed": "refuse"},
        )
    )

    read, save, order = restricted["methods"]
    assert not has_no_place(read)
    assert read["effect"] == "pure"
    assert not has_no_place(save)
    assert save["effect"] == "side_effect"
    assert has_no_place(order)
    policy = RoutingPolicy(normalize_settings(restricted | {"me": 0}), 1, 0.0)
    policy.on_endpoint_list(0.0, "full", 1, [("c1", "a", "box", 0, "ready", 1.0, 0.0)])
    assert [
        len(policy.placement.candidates[policy.placement.constraints[name]]) for name in ("read", "order")
    ] == [
        1,
        0,
    ]


# Documents


@pytest.mark.parametrize(
    ("changes", "field", "line"),
    [
        pytest.param({"version": 0}, "version", 2, id="version 0"),
        pytest.param({"after": 2}, "after", 3, id="after itself"),
        pytest.param({"note": 3}, "note", 4, id="note a number"),
        pytest.param({"fleet": ""}, "fleet", 5, id="fleet empty"),
        pytest.param({"members": [0, 0]}, "members", 6, id="member twice"),
        pytest.param({"members": [0, 1, 2], "keepers": [7]}, "keepers", 11, id="voter no member"),
        pytest.param({"lease": {"s": 0.1}}, "lease.s", 1, id="lease too short"),
        pytest.param({"lease": {"drift": 0.9}}, "lease.drift", 1, id="drift too large"),
        pytest.param({"x": 1}, "x", 1, id="unknown field"),
        pytest.param({"settings": COMMON_SETTINGS | {"me": 3}}, "settings.me", 1, id="a proxy's own setting"),
        pytest.param({"settings": []}, "settings", 1, id="settings a list"),
        pytest.param({"settings": settings_with(read={"keeps": ["all"]})}, "keeps", 1, id="unknown promise"),
        pytest.param({"settings": settings_with(read={"effect": "none"})}, "effect", 1, id="unknown effect"),
        pytest.param(
            {"settings": settings_with(read={"kindsOpen": ["unknown"]})}, "kindsOpen", 1, id="unknown kind"
        ),
        pytest.param({"settings": {"methods": COMMON_SETTINGS["methods"]}}, "rules", 1, id="no rules"),
        pytest.param({"digest": "00"}, "digest", 1, id="other digest"),
    ],
)
def test_check_of_a_wrong_document_prints_one_line_with_line_and_field(
    changes: dict[str, Any], field: str, line: int, tmp_path: Path
) -> None:
    file = tmp_path / "wrong.json"
    if "digest" in changes:
        good = document_text()
        file.write_text(good.replace(json.loads(good)["digest"], "00"))
    else:
        file.write_text(document_text(changes))

    result = CliRunner().invoke(main, ["settings", "check", str(file)])

    assert result.exit_code == 2
    assert field in result.output
    assert "line " in result.output
    assert result.output.count("\n") == 1
    assert line == 1 or f"line {line}:" in result.output


def test_parse_of_mangled_text_raises_nothing_but_an_error_of_one_line() -> None:
    rng = Random(4)
    good = document_text()
    expected = parse_document(good)

    for number in range(400):
        place = rng.randrange(len(good))
        other = good[:place] + rng.choice('{}[]",0x') + good[place + 1 :]
        mangled = [good[:place], other, "[]", "", "7"][number % 5]
        try:
            document = parse_document(mangled)
        except InvalidDocument as error:
            message = str(error)
        else:
            message = ""
            assert document == expected  # what changed was white space
        assert "\n" not in message


def test_parse_of_a_wrong_field_raises_an_error_with_field_and_expectation() -> None:
    with pytest.raises(settings_document.InvalidFieldError) as raised:
        parse_document(document_text({"lease": {"s": 0.1}}))

    assert raised.value.field == "lease.s"
    assert raised.value.expected == "seconds from 0.5"


def test_document_follows_one_version_and_changes_one_member_at_a_time() -> None:
    before = parse_document(document_text())
    assert succession_errors(before, parse_document(document_text({"version": 3, "after": 2}))) == []
    assert before.supersession_bound_s == pytest.approx(2.0 * 1.02**2 + 0.3)

    for changes, word in (
        ({"version": 4, "after": 3}, "after"),
        ({"fleet": "other"}, "fleet"),
        ({"members": [0]}, "members"),
        ({"lease": {"s": 9.0}}, "lease"),
        ({"settings": settings_with(read={"streaming": True})}, "restart"),
    ):
        after = parse_document(document_text({"version": 3, "after": 2, "keepers": [0]} | changes))
        errors = succession_errors(before, after)
        assert any(word in error for error in errors), (changes, errors)


# The command line


def test_publish_by_two_at_once_succeeds_for_one_and_tells_the_other(tmp_path: Path) -> None:
    file = tmp_path / "new.json"
    runner = CliRunner()
    file.write_text(document_text({"version": 3, "after": 2}))
    answers = (b"HTTP/1.1 %b\r\n\r\n" % status for status in (b"200 OK", b"409 No", b"500 No"))
    source, received = serve_answers(*answers)

    results = [runner.invoke(main, ["settings", "publish", str(file), "--source", source]) for _ in range(3)]

    assert [result.exit_code for result in results] == [0, 1, 2]
    assert "published first" in results[1].output
    assert b"POST /api/settings" in received[0]
    assert parse_document(received[0].partition(b"\r\n\r\n")[2]).version == 3
    file.write_text(document_text({"version": 3, "after": 2}, sealed=False))
    assert runner.invoke(main, ["settings", "publish", str(file), "--source", source]).exit_code == 2


def test_settings_status_exits_0_only_if_all_act_on_one_version() -> None:
    def answer(held: str, leased: int = 1) -> bytes:
        return (
            f"+OK\nsettings.in_effect:{held[0]}\nsettings.held:{held}\nsettings.leased:{leased}\n"
            f"settings.lease_left_s:1.2\nsettings.bound_s:2.5\nsettings.digest:ab\n.\n"
        ).encode()

    for answers, code in (
        ((answer("3"), answer("3")), 0),
        ((answer("3"), answer("3,4")), 1),
        ((answer("3", 0),), 1),
        ((b"-ERR unknown call\n",), 2),
    ):
        addresses = [serve_answers(one)[0] for one in answers]
        assert CliRunner().invoke(main, ["settings", "status", *addresses]).exit_code == code


def test_settings_commands_on_two_documents_print_differences_and_steps(tmp_path: Path) -> None:
    old = tmp_path / "old.json"
    new = tmp_path / "new.json"
    runner = CliRunner()
    old.write_text(document_text({"settings": settings_with(read={"failureDomainsOnly": ["a"]})}))
    changed = settings_with(read={"failureDomainsOnly": ["b"], "gain": 2.0})
    new.write_text(document_text({"version": 3, "after": 2, "settings": changed}))

    shown = runner.invoke(main, ["settings", "diff", str(old), str(new)])
    assert shown.exit_code == 1
    assert "binding  methods.read.failureDomainsOnly" in shown.output
    assert "loose    methods.read.gain" in shown.output
    assert runner.invoke(main, ["settings", "diff", str(old), str(old)]).exit_code == 0

    check = runner.invoke(main, ["settings", "check", str(new), "--after", str(old)])
    assert check.exit_code == 1
    assert "widen" in check.output

    plan = runner.invoke(main, ["settings", "steps", str(old), str(new)]).output.splitlines()
    assert [parse_document(line).version for line in plan] == [3, 4]
    before = parse_document(old.read_text())
    for line in plan:
        assert succession_errors(before, parse_document(line)) == []
        before = parse_document(line)


def test_settings_seal_of_an_unsealed_document_prints_one_that_check_accepts(tmp_path: Path) -> None:
    runner = CliRunner()
    unsealed = tmp_path / "unsealed.json"
    unsealed.write_text(document_text(sealed=False))
    assert runner.invoke(main, ["settings", "check", str(unsealed)]).exit_code == 2

    sealed = runner.invoke(main, ["settings", "seal", str(unsealed)])

    assert sealed.exit_code == 0
    assert parse_document(sealed.output).version == 2
