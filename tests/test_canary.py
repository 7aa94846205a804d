"""Canaries: a settings version tried at some proxies is measured, halted and reported."""

import json
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

import orjson
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from settings_support import document_text, serve_answers
from test_versions import SettingsSyncHarness, make_document

from calicofall.cli.main import main
from calicofall.fleet.canary import (
    BASELINE_S,
    MIN_REQUESTS,
    Canary,
    CanaryReport,
    CanaryState,
    RequestCounts,
    wilson_interval,
)
from calicofall.fleet.configuration_agreement import LeaseStatus
from calicofall.fleet.settings_document import InvalidDocument, parse_document, seal_document
from calicofall.proxy.configuration_sync import ConfigurationSync

BASELINE_END = 30  # second at which the canary starts
RUN_END = 60  # second at which the run ends
DURATION_S = 10.0
TOLERATED_INCREASE = 0.05


class CanaryResult(NamedTuple):
    """A canary after its run, and when it ended (s); None if it did not end."""

    canary: Canary
    over_at: float | None


def report_of(canary: Canary) -> CanaryReport:
    """Returns the report on a canary that was started."""
    assert canary.report is not None
    return canary.report


def run_canary(fractions: dict[str, tuple[float, float]], rate: float = 10.0) -> CanaryResult:
    """Runs a canary at a proxy whose methods have these failure fractions.

    Args:
        parts: by method, the fraction of requests not completed in the baseline, and during the canary.
        rate: requests of each method (1/s).
    """
    canary = Canary()

    def counts(second: int) -> RequestCounts:
        before = min(second, BASELINE_END)
        during = max(0, second - BASELINE_END)
        return {
            method: (
                round(second * rate),
                round(rate * (before * fraction_before + during * fraction_during)),
            )
            for method, (fraction_before, fraction_during) in fractions.items()
        }

    for second in range(BASELINE_END):
        assert not canary.observe(float(second), counts(second))
    start = float(BASELINE_END)
    canary.begin(start, 7, DURATION_S, TOLERATED_INCREASE, counts(BASELINE_END))
    for second in range(BASELINE_END + 1, RUN_END):
        if canary.observe(float(second), counts(second)):
            return CanaryResult(canary, float(second))
    return CanaryResult(canary, None)


# Measurement


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param({"read": (0.0, 0.0)}, id="no failures"),
        pytest.param({"read": (0.1, 0.1)}, id="as many failures as before"),
        pytest.param({"read": (0.3, 0.0)}, id="fewer failures than before"),
    ],
)
def test_canary_without_an_increase_is_well_at_its_end(parts: dict[str, tuple[float, float]]) -> None:
    result = run_canary(parts)

    assert report_of(result.canary).state == CanaryState.WELL
    assert not result.canary.is_trying
    assert result.over_at == 40.0


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param({"read": (0.0, 1.0)}, id="all fail"),
        pytest.param({"read": (0.1, 0.6)}, id="more fail than before"),
        pytest.param({"read": (0.0, 0.0), "order": (0.0, 0.9)}, id="one method of two fails"),
    ],
)
def test_canary_with_an_increase_is_failing_at_once(parts: dict[str, tuple[float, float]]) -> None:
    result = run_canary(parts)

    report = report_of(result.canary)
    assert report.state == CanaryState.FAILING
    assert not result.canary.is_trying
    assert report.method == list(parts)[-1]
    assert report.failed_fraction > report.baseline_failed_fraction
    assert result.over_at is not None
    assert result.over_at <= 30.0 + 5.0


def test_canary_with_too_few_requests_is_unmeasured() -> None:
    assert report_of(run_canary({"read": (0.0, 0.0)}, rate=1.0).canary).state == CanaryState.UNMEASURED


def test_canary_with_too_few_requests_of_one_method_is_unmeasured_and_names_it() -> None:
    canary = Canary()
    canary.observe(0.0, {"read": (0, 0), "order": (0, 0)})
    canary.begin(30.0, 7, 10.0, 0.05, {"read": (300, 0), "order": (100, 0)})

    assert canary.observe(40.0, {"read": (400, 0), "order": (105, 0)})

    assert report_of(canary).state == CanaryState.UNMEASURED
    assert report_of(canary).reason == f"under {MIN_REQUESTS} RPCs of order"


def test_canary_after_a_failing_one_is_not_compared_with_its_failures() -> None:
    canary = run_canary({"read": (0.0, 0.7)}).canary
    first = report_of(canary)
    assert first.state == CanaryState.FAILING
    ended = 300 + first.request_count
    failed = round(first.failed_fraction * first.request_count)

    canary.begin(45.0, 8, 10.0, 0.05, {"read": (ended + 50, failed)})

    assert canary.baseline == {"read": (350, 0)}
    assert canary.observe(50.0, {"read": (ended + 90, failed + 20)})
    assert report_of(canary).state == CanaryState.FAILING


def test_canary_without_a_baseline_is_unmeasured() -> None:
    canary = Canary()
    canary.begin(30.0, 7, 10.0, 0.05, {"read": (0, 0)})

    assert canary.observe(40.0, {"read": (100, 90)})

    assert report_of(canary).state == CanaryState.UNMEASURED


@pytest.mark.parametrize(
    "part",
    [
        pytest.param((0.02, 0.06), id="a few failures"),
        pytest.param((0.9, 0.95), id="always failed"),
    ],
)
def test_canary_with_an_increase_within_chance_is_well(part: tuple[float, float]) -> None:
    assert report_of(run_canary({"read": part}).canary).state == CanaryState.WELL


def test_baseline_after_many_observations_is_no_older_than_stated() -> None:
    canary = Canary()

    for second in range(200):
        canary.observe(float(second), {"read": (second, 0)})

    assert canary.count_history[0][0] >= 199.0 - BASELINE_S
    assert len(canary.count_history) <= BASELINE_S + 1


@given(st.integers(0, 500), st.integers(1, 500))
def test_wilson_interval_of_any_counts_contains_the_fraction(failed: int, total: int) -> None:
    fraction = min(failed, total) / total

    low, high = wilson_interval(min(failed, total), total)

    assert -1e-9 <= low <= fraction + 1e-9
    assert fraction - 1e-9 <= high <= 1.0 + 1e-9


@given(st.lists(st.tuples(st.integers(0, 40), st.floats(0.0, 1.0)), min_size=1, max_size=30))
def test_state_of_any_canary_is_final_and_reached_by_its_end(steps: list[tuple[int, float]]) -> None:
    canary = Canary()
    ended = 0
    failed = 0
    states = []
    canary.observe(0.0, {"read": (ended, failed)})
    canary.begin(0.5, 7, 10.0, 0.05, {"read": (ended, failed)})

    for second, (new_requests, fraction) in enumerate(steps, 1):
        ended += new_requests
        failed += round(new_requests * fraction)
        canary.observe(float(second), {"read": (ended, failed)})
        states.append(report_of(canary).state)

    assert all(earlier in (later, CanaryState.TRYING) for earlier, later in pairwise(states))
    assert len(steps) < 11 or states[10] != CanaryState.TRYING


# At a proxy

FAILING_CHANGE = {"order": {"hardDeadlineNs": 1_000_000}}


def configuration_sync_of(harness: SettingsSyncHarness) -> ConfigurationSync:
    """Returns the proxy's configuration sync."""
    configuration_sync: ConfigurationSync | None = harness.configuration_sync
    assert configuration_sync is not None
    return configuration_sync


def deliver_canary(
    harness: SettingsSyncHarness, changes: dict[str, dict[str, Any]], members: tuple[int, ...] = (0,)
) -> None:
    """Delivers a canary document from the source; `changes` holds changed fields by method."""
    data = make_document(2, 3, **changes)
    data["trial"] = {"members": list(members), "s": 5.0, "worse": 0.05}
    configuration_sync_of(harness).on_document(orjson.dumps(seal_document(data)))


def deadline_of_order(harness: SettingsSyncHarness) -> float:
    """Returns the hard deadline that the proxy applies to the method `order` (ms)."""
    deadline: float = harness.proxy.router.policy.settings.methods["order"]["hard_deadline"]
    return deadline


def proxy_with_version_1() -> SettingsSyncHarness:
    """Returns a proxy with a lease, at which version 1 is in effect."""
    harness = SettingsSyncHarness()
    harness.with_high_limits()
    return harness.advance(4.0)


def test_canary_document_is_combined_with_the_version_in_effect_and_is_no_version() -> None:
    harness = proxy_with_version_1()

    deliver_canary(harness, FAILING_CHANGE | {"read": {"gain": 9.0}})

    assert deadline_of_order(harness) == 1.0
    assert harness.proxy.router.policy.settings.methods["read"]["gain"] == 9.0
    assert configuration_sync_of(harness).lease_status == LeaseStatus((1,), True)
    assert configuration_sync_of(harness).agreement.highest_known == 1
    assert (
        "settings.trial:2 trying method=- not_completed=0.000 before=0.000 of=0 why=-"
        in harness.proxy.handle_call("versions")
    )
    harness.advance(6.0)  # without any requests
    assert report_of(configuration_sync_of(harness).canary).state == CanaryState.UNMEASURED
    assert deadline_of_order(harness) > 1.0


def test_canary_document_for_other_members_is_not_tried() -> None:
    harness = proxy_with_version_1()

    deliver_canary(harness, FAILING_CHANGE, members=(1, 2))

    assert configuration_sync_of(harness).canary.report is None
    assert deadline_of_order(harness) > 1.0


def test_canary_that_fails_at_a_proxy_is_halted_and_logged_in_one_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    harness = proxy_with_version_1()
    counts = harness.proxy.metrics.answer_counts
    counts["completed"]["order"] += 50
    harness.advance(1.0)
    deliver_canary(harness, FAILING_CHANGE)
    counts["errored"]["order"] += MIN_REQUESTS

    with caplog.at_level("WARNING", "calicofall"):
        harness.advance(1.0)

    assert deadline_of_order(harness) > 1.0
    logged = [vars(record) for record in caplog.records if record.message == "trial over"]
    assert [(record["verdict"], record["method"], record["of"]) for record in logged] == [
        ("failing", "order", MIN_REQUESTS)
    ]


def test_canary_when_the_lease_is_lost_ends_unmeasured() -> None:
    harness = proxy_with_version_1()
    deliver_canary(harness, FAILING_CHANGE)

    harness.advance(3.0, peers_answer=False)

    assert not configuration_sync_of(harness).lease_status.leased
    assert report_of(configuration_sync_of(harness).canary).reason == "no lease"


def test_canary_when_another_version_arrives_ends_unmeasured() -> None:
    harness = proxy_with_version_1()
    deliver_canary(harness, FAILING_CHANGE)

    harness.publish(2)

    assert report_of(configuration_sync_of(harness).canary).reason == "another version"
    assert deadline_of_order(harness) > 1.0


def test_canary_document_that_cannot_follow_or_arrives_without_a_lease_is_not_tried() -> None:
    harness = proxy_with_version_1()

    deliver_canary(harness, {"read": {"failureDomainsOnly": ["b"]}, "order": {"streaming": True}})

    assert configuration_sync_of(harness).canary.report is None
    assert "settings.refused:2" in harness.proxy.handle_call("versions")
    harness.advance(3.0, peers_answer=False)
    deliver_canary(harness, FAILING_CHANGE)
    assert configuration_sync_of(harness).canary.report is None
    assert deadline_of_order(harness) > 1.0


@pytest.mark.parametrize(
    "plan",
    [
        pytest.param(7, id="no object"),
        pytest.param({}, id="empty"),
        pytest.param({"members": []}, id="no members"),
        pytest.param({"members": [0, 1, 2]}, id="all members"),
        pytest.param({"members": [9]}, id="unknown member"),
        pytest.param({"members": [0], "s": 0}, id="no duration"),
        pytest.param({"members": [0], "worse": True}, id="increase no number"),
        pytest.param({"members": [0], "more": 1}, id="unknown field"),
    ],
)
def test_parse_of_an_invalid_canary_plan_raises_an_error_of_one_line(plan: object) -> None:
    data = make_document(2, 3)
    data["trial"] = plan

    with pytest.raises(InvalidDocument) as raised:
        parse_document(json.dumps(seal_document(data)))

    assert "trial" in str(raised.value)
    assert "\n" not in str(raised.value)


# The command line


def serve_proxy(number: int, *canary_lines: str) -> str:
    """Serves a proxy's management address; returns it.

    The first answer holds the proxy's number, each later one a line on its canary.
    """
    head = f"+OK\nsettings.me:{number}\n"
    answers = [f"{head}settings.{line}\n.\n".encode() for line in canary_lines]
    return serve_answers(f"{head}.\n".encode(), *answers)[0]


@pytest.mark.parametrize(
    ("canary_lines", "code", "word"),
    [
        pytest.param(
            ("trial:3 trying method=- why=-", "trial:3 well method=read why=-"), 0, "published", id="well"
        ),
        pytest.param(("trial:3 failing method=order why=-",), 1, "halted", id="failing"),
        pytest.param(("trial:3 unmeasured method=- why=under 20 RPCs",), 3, "halted", id="unmeasured"),
        pytest.param(("refused:3 lease: takes a restart of all",), 3, "halted", id="refused"),
        pytest.param((), 1, "does not answer", id="proxy gone"),
    ],
)
def test_publish_with_a_canary_halts_unless_it_is_well(
    canary_lines: tuple[str, ...], code: int, word: str, tmp_path: Path
) -> None:
    file = tmp_path / "new.json"
    file.write_text(document_text({"version": 3, "after": 2}))
    source, received = serve_answers(b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n")
    proxy = serve_proxy(0, *canary_lines)

    result = CliRunner().invoke(
        main, ["settings", "publish", str(file), "--source", source, "--try", proxy, "--for", "1"]
    )

    assert result.exit_code == code, result.output
    assert word in result.output, result.output
    assert b"POST /api/settings/trial" in received[0]
    assert len(received) == (2 if code == 0 else 1)
    plan = parse_document(received[0].partition(b"\r\n\r\n")[2]).canary
    assert plan is not None
    assert plan.members == (0,)
    assert plan.duration_s == 1.0
    if code == 0:
        assert parse_document(received[1].partition(b"\r\n\r\n")[2]).canary is None


def test_publish_with_a_canary_after_another_was_published_first_is_halted(tmp_path: Path) -> None:
    file = tmp_path / "new.json"
    file.write_text(document_text({"version": 3, "after": 2}))
    source, received = serve_answers(b"HTTP/1.1 409 No\r\n\r\n")

    result = CliRunner().invoke(
        main, ["settings", "publish", str(file), "--source", source, "--try", serve_proxy(0), "--for", "1"]
    )

    assert result.exit_code == 1
    assert result.output.splitlines() == [
        f"{source}: version 2 is not the latest any more: another was published first",
        f"{file}: halted: version 3 is not published",
    ]
    assert len(received) == 1


def test_fleet_status_with_an_unreachable_proxy_names_it_and_the_proxies_that_report_it() -> None:
    def serve_members(me: int, away: int, *lines: str) -> str:
        members = "\n".join(
            [
                "+OK",
                f"members.me:{me}",
                "members.life:0a",
                "members.here:2",
                "members.doubted:0",
                f"members.away:{away}",
                "members.unmet:0",
                "members.alone:0",
                *lines,
                ".\n",
            ]
        )
        limits = "+OK\nlimit.rate/acme:part=0.5000 own=0.2500\n.\n" if me else "-ERR unknown call\n"
        return serve_answers(members.encode(), limits.encode())[0]

    runner = CliRunner()
    healthy = [serve_members(0, 0), serve_members(1, 0)]
    missing = [serve_members(0, 0), serve_members(1, 1, "member.2:away life=0b others=-")]
    unknown_call = serve_answers(b"-ERR no\n")[0]

    assert runner.invoke(main, ["fleet", "status", *healthy]).exit_code == 0
    result = runner.invoke(main, ["fleet", "status", *missing])
    assert result.exit_code == 1
    assert "proxy 2: not there to 1 of 2: 1" in result.output
    assert result.output.count("limit.rate/acme: part=0.5000") == 1
    assert runner.invoke(main, ["fleet", "status", unknown_call]).exit_code == 2
