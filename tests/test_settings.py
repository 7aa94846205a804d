"""Settings documents: binding fields, changes in steps, and errors of one line."""

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
# By field, the actions of a method that the field may forbid: places, kinds of repeats, durations.
ACTIONS: Mapping[str, Sequence[Any]] = {
    "kindsOpen": ["box", "disk"],
    "failureDomainsOnly": ["a", "b", "c"],
    "effect": settings_fields.EFFECTS,
    "group": settings_fields.GROUPS,
    "windowNs": [1_000_000_000, 5_000_000_000],
}


def allows(method: dict[str, Any], name: str, action: Any) -> bool:
    """Returns whether one field of a method's settings allows an action."""
    value = method.get(name)
    if name in ("kindsOpen", "failureDomainsOnly"):
        return value is None or action in value
    if name == "windowNs":
        return bool(action <= value)
    order = settings_fields.ORDERS[name]
    return order.index(str(value)) <= order.index(action)


def leaves_a_method_without_place(before: Settings, after: Settings) -> bool:
    """Returns whether some method has no place left while proxies act on two versions."""
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
def test_combination_of_two_versions_allows_what_both_allow_and_nothing_else(name: str) -> None:
    for older, newer in product(FIELD_VALUES[name], repeat=2):
        older_settings = settings_with(read={name: older})
        newer_settings = settings_with(read={name: newer})

        combined = combine_settings(older_settings, newer_settings)["methods"][0]

        for action in ACTIONS[name]:
            assert allows(combined, name, action) == (
                allows(older_settings["methods"][0], name, action)
                and allows(newer_settings["methods"][0], name, action)
            )
        assert bool(contradictions(older_settings, newer_settings)) == (older != newer)


def test_field_that_does_not_bind_has_the_newer_value_and_a_fixed_one_takes_a_restart() -> None:
    older_settings = settings_with()
    newer_settings = settings_with(read={"gain": 9.0}) | {"kinds": ["other"]}
    before = parse_document(document_text({"version": 2, "after": 1, "settings": older_settings}))
    after = parse_document(document_text({"version": 3, "after": 2, "settings": newer_settings}))

    assert combine_settings(older_settings, newer_settings)["methods"][0]["gain"] == 9.0
    assert contradictions(older_settings, newer_settings) == []
    assert "kinds: takes a restart" in succession_errors(before, after)


def test_combination_of_binding_numbers_is_the_stricter_one_in_either_order() -> None:
    older_settings = COMMON_SETTINGS | {
        "caps": COMMON_SETTINGS["caps"] | {"mostTransmissions": 2, "secondCopies": True}
    }
    newer_settings = COMMON_SETTINGS | {
        "caps": COMMON_SETTINGS["caps"] | {"mostTransmissions": 5},
        "realms": [{"name": "acme", "quotaPerS": 3.0}],
        "rules": COMMON_SETTINGS["rules"] | {"coldNs": 9, "startCapacity": 0.9},
    }

    for combined in (
        combine_settings(older_settings, newer_settings),
        combine_settings(newer_settings, older_settings),
    ):
        assert combined["caps"]["mostTransmissions"] == 2
        assert combined["realms"][0]["quotaPerS"] == 3.0
        assert combined["rules"]["coldNs"] == 20_000_000_000
        assert combined["rules"]["startCapacity"] == 0.2
        assert not combined["caps"].get("secondCopies")


def test_steps_for_a_method_that_would_have_no_place_left_widen_it_first() -> None:
    older_settings = settings_with(read={"failureDomainsOnly": ["a"]})
    newer_settings = settings_with(read={"failureDomainsOnly": ["b"]})
    wider = settings_with(read={"failureDomainsOnly": ["a", "c"]})
    assert has_no_place(combine_settings(older_settings, newer_settings)["methods"][0])

    plan = publication_steps(older_settings, newer_settings)

    assert [step["methods"][0]["failureDomainsOnly"] for step in plan] == [["a", "b"], ["b"]]
    for before, after in zip([older_settings, *plan], plan, strict=False):
        assert not leaves_a_method_without_place(before, after)
    assert publication_steps(older_settings, wider) == [wider]


def test_steps_for_a_promise_that_would_be_broken_withdraw_it_first() -> None:
    older_settings = settings_with(read={"keeps": ["place", "repeats"]})
    newer_settings = settings_with(read={"keeps": ["repeats"], "kindsOpen": ["box"]})
    assert broken_promises(older_settings, newer_settings) == ["methods.read: place"]

    plan = publication_steps(older_settings, newer_settings)

    assert plan[0]["methods"][0]["keeps"] == ["repeats"]
    assert plan[-1] == newer_settings
    assert len(plan) == 2
    for before, after in zip([older_settings, *plan], plan, strict=False):
        assert not broken_promises(before, after)


def test_steps_for_random_changes_break_no_promise_and_leave_each_method_a_place() -> None:
    rng = Random(3)

    def draw_method() -> dict[str, Any]:
        method = {field: rng.choice(values) for field, values in FIELD_VALUES.items() if rng.random() < 0.6}
        return method | {"keeps": rng.choice([[], ["place"], ["repeats"]])}

    def draw_settings() -> Settings:
        return settings_with(**{name: draw_method() for name in ("read", "save", "order")})

    for _ in range(300):
        older_settings = draw_settings()
        newer_settings = draw_settings()

        plan = publication_steps(older_settings, newer_settings)

        assert plan[-1] == newer_settings
        assert len(plan) <= 3
        for before, after in zip([older_settings, *plan], plan, strict=False):
            assert not broken_promises(before, after)
            assert not leaves_a_method_without_place(before, after)


def test_settings_without_a_lease_allow_only_what_is_promised() -> None:
    """A method that does not promise place is refused; one that does is served, unless `lapsed` is refuse."""
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
def test_check_of_an_invalid_document_prints_one_line_with_line_and_field(
    changes: dict[str, Any], field: str, line: int, tmp_path: Path
) -> None:
    file = tmp_path / "wrong.json"
    if "digest" in changes:
        valid_text = document_text()
        file.write_text(valid_text.replace(json.loads(valid_text)["digest"], "00"))
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
    valid_text = document_text()
    expected = parse_document(valid_text)

    for number in range(400):
        position = rng.randrange(len(valid_text))
        mutated = valid_text[:position] + rng.choice('{}[]",0x') + valid_text[position + 1 :]
        mangled = [valid_text[:position], mutated, "[]", "", "7"][number % 5]
        try:
            document = parse_document(mangled)
        except InvalidDocument as error:
            message = str(error)
        else:
            message = ""
            assert document == expected  # the mutation was in white space
        assert "\n" not in message


def test_parse_of_an_invalid_field_raises_an_error_with_field_and_expectation() -> None:
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


def test_publish_by_two_at_once_succeeds_for_one_and_is_reported_to_the_other(tmp_path: Path) -> None:
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
