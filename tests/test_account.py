"""Loss breakdown: read from logs of several kinds; the causes sum up to what clients lost."""

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner
from conftest import PROCESS_GROUPS
from helpers import ProxyHarness, encode_reply, encode_request

from calicofall.cli.main import main
from calicofall.proxy import logs
from calicofall.testbed import loss_breakdown, report, scenario
from calicofall.testbed.history import ClientAnswer, ClientRequest, History
from calicofall.testbed.runner import run_scenario

SCENARIO = scenario.parse_scenario(
    {
        "name": "account",
        "seconds": 60.0,
        "fleet": {"proxies": 2, "caches": 4, "zones": 2},
        "traffic": {"begins": 0.0},
        "event": [{"at": 20.0, "until": 40.0, "do": "sick", "who": "c2", "amount": 40.0}],
    },
    "account",
)


def request_line(name: str, answer: str, ms: int = 10, sends: str = "", why: str = "") -> dict[str, str]:
    return {
        "event": "rpc",
        "id": name,
        "method": "read",
        "answer": answer,
        "ms": str(ms),
        "soft": "500",
        "sends": sends,
        "why": why,
    }


@pytest.mark.parametrize(
    ("line", "cause"),
    [
        (request_line("1", "exhausted", why="fleet"), "refused: fleet"),
        (request_line("1", "exhausted", sends="c1:timeout:3", why="timeout"), "refused after timeout"),
        (request_line("1", "errored", sends="c1:held:3,c2:reset:9", why="reset"), "errored after reset"),
        (request_line("1", "completed", 700, "c1:completed:3"), "late at a cache"),
        (request_line("1", "completed", 700, "c1:completed:400"), "late, waited at the proxy"),
        (request_line("1", "completed", 700, "c1:timeout:3,c2:completed:500"), "late behind timeout"),
        (request_line("1", "completed", 20, "c1:completed:3"), "in time at the last proxy, refused before"),
    ],
    ids=[
        "rejected",
        "rejected_after_timeout",
        "failed_after_reset",
        "late_at_node",
        "late_at_proxy",
        "late_after_retry",
        "in_time",
    ],
)
def test_lost_requests_of_each_kind_have_one_cause_and_sum_up(line: dict[str, str], cause: str) -> None:
    history = History(
        client_requests=[
            ClientRequest(1.0, "read", 1.1, last_attempt_id="0"),
            ClientRequest(1.0, "read", None, last_attempt_id="1"),
            ClientRequest(2.0, "read", None),
            ClientRequest(3.0, "read", None, last_attempt_id="2"),
            ClientRequest(3.0, "read", None, last_attempt_id="3"),
        ],
        client_answers=[ClientAnswer(1.2, "p0", "1", "exhausted"), ClientAnswer(3.2, "p1", "2", "closed")],
    )
    causes = loss_breakdown.count_lost_requests(SCENARIO, history, {"p0": [line]})
    assert causes == {cause: 1, "no proxy that serves": 1, "its proxy died": 1, "not in the proxies' logs": 1}


def test_logs_with_answers_and_startups_are_summed_up_by_period_and_phase() -> None:
    lines = [
        request_line(str(n), "completed" if n % 4 else "exhausted", why="fleet")
        | {"at": str(100.0 + n / 10.0)}
        for n in range(20)
    ]
    starts = [{"event": "start", "phase": "list heard", "ms": str(ms), "at": "1"} for ms in (30, 10, 20)]
    proxy_logs = {"p0": lines[::2] + starts, "p1": lines[1::2]}
    assert loss_breakdown.answers_by_period(proxy_logs, 1.0) == [
        (0.0, 10, 0.7, "refused: fleet", 0.3),
        (1.0, 10, 0.8, "refused: fleet", 0.2),
    ]
    assert loss_breakdown.answers_by_period({}, 1.0) == [] and loss_breakdown.startup_times(
        proxy_logs, "list heard"
    ) == [
        10.0,
        20.0,
        30.0,
    ]
    assert loss_breakdown.startup_times(proxy_logs, "door open") == []


def test_ejections_with_one_faulty_endpoint_give_errors_and_detection_delay() -> None:
    def aside(at: float, caches: str | None = None) -> dict[str, str]:
        return {"event": "aside", "at": str(1000.0 + at)} | ({"caches": caches} if caches else {})

    proxy_logs = {
        "p0": [aside(5.0, "c1"), aside(11.0), aside(22.0, "c2"), aside(40.5)],
        "p1": [aside(24.0, "c2,c3"), aside(27.0, "c2"), aside(55.0)],
    }
    figures = loss_breakdown.ejection_figures(SCENARIO, History(started_at_epoch_s=1000.0), proxy_logs)
    # Ejected in error: c1 for 6 s and c3 for 3 s of 60 s, with two proxies and four caches.
    assert figures["aside_in_error_a_minute"] == 2.0
    assert figures["aside_in_error_part"] == pytest.approx(9.0 / (60.0 * 2 * 4), rel=0.01)
    assert figures["sick_known_95_s"] == {"c2": 4.0} and figures["sick_known_by"] == {"c2": 2}


def test_log_files_with_other_lines_and_bytes_are_read(tmp_path: Path) -> None:
    proxy_folder = tmp_path / "p0"
    proxy_folder.mkdir()
    (proxy_folder / "log").write_bytes(
        b'at=1.5 level=debug event=rpc id=7 why="no list"\nTraceback: x=1\n\xff\xfe\nat='
    )
    assert loss_breakdown.read_logs(tmp_path) == {
        "p0": [{"at": "1.5", "level": "debug", "event": "rpc", "id": "7", "why": "no list"}, {"at": ""}]
    }


def test_account_command_with_a_folder_of_logs_prints_answers_by_cause(tmp_path: Path) -> None:
    (tmp_path / "n0.log").write_text(
        "at=1.0 level=debug event=rpc id=1 method=read answer=completed ms=9 soft=500 sends=c1:completed:0\n"
        "at=1.1 level=debug event=rpc id=2 method=read answer=exhausted ms=0 soft=500 why=fleet\n"
        'at=1.2 level=info event=mode what="set aside c1: pace 9.0, peers 1.0"\n'
    )
    shown = CliRunner().invoke(main, ["stage", "account", str(tmp_path)])
    assert shown.exit_code == 0 and "1 proxies, 2 answers, 1 times a cache set aside" in shown.output
    assert "0.5000  refused: fleet" in shown.output and "read: 2; in time 0.500" in shown.output
    (tmp_path / "n0.log").write_text("at=1.0 level=info event=serving\n")
    empty = CliRunner().invoke(main, ["stage", "account", str(tmp_path)])
    assert empty.exit_code == 2 and "--log-level DEBUG" in empty.output and empty.output.count("\n") == 1


def test_proxy_answering_a_request_logs_it_at_debug_only(caplog: pytest.LogCaptureFixture) -> None:
    for level, count in (("INFO", 0), ("DEBUG", 2)):
        caplog.clear()
        with caplog.at_level(level, "calicofall"):
            harness = ProxyHarness().with_high_limits()
            client = harness.client()
            client.feed(encode_request("read", key=7))
            upstream = harness.connect_upstream()
            upstream.feed(encode_reply())
            harness.proxy.router.policy.fleet_limit.unused_capacity = -1e9  # no room
            client.feed(encode_request("order", key=8, value=b"x"))
            harness.loop.advance(0.6)
            lines = [record for record in caplog.records if record.message == "rpc"]
        assert len(lines) == count
        for record in lines:
            assert "event=rpc" in logs.KeyValueFormatter().format(record)
    assert [record.answer for record in lines] == ["completed", "exhausted"]
    assert lines[0].sends.endswith(":completed:0") and lines[1].why.startswith("fleet")


@pytest.mark.xdist_group(PROCESS_GROUPS[0])
def test_loss_breakdown_of_processes_is_shown_and_stored(tmp_path: Path) -> None:
    """Four processes, one slow cache node and one killed proxy: the causes sum up to what clients lost."""
    faulty_scenario = scenario.parse_scenario(
        {
            "name": "accounted",
            "seconds": 8.0,
            "fleet": {"proxies": 4, "caches": 3, "accounts": True},
            "cache": {"cold": False},
            "traffic": {"per_s": 60.0, "soft_ms": 200.0},
            "event": [
                {"at": 3.0, "do": "sick", "who": "c1", "amount": 100.0},
                {"at": 5.0, "do": "kill", "who": "p3"},
            ],
        },
        "accounted",
    )
    verdict, history = asyncio.run(asyncio.to_thread(run_scenario, faulty_scenario, tmp_path))
    report.write_result(tmp_path, faulty_scenario, verdict, history)
    breakdown = report.load_results([str(tmp_path)])[0]["account"]
    late_requests = [
        request
        for request in history.client_requests
        if request.completed_at is None or request.completed_at > request.at + 0.2
    ]
    assert breakdown["lost"] == len(late_requests) == sum(breakdown["by_cause"].values()) > 5
    assert breakdown["by_cause"].get("not in the proxies' logs", 0) <= 0.2 * len(late_requests)
    shown = CliRunner().invoke(main, ["stage", "report", str(tmp_path)]).output
    assert "by the proxies' own logs" in shown and "aside in error" in shown
