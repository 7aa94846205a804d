"""Tests of records: byte format, recording router, segments, replay, files and commands."""

import asyncio
import json
import os
import re
import shutil
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import orjson
import pytest
from click.testing import CliRunner
from conftest import PROCESS_GROUPS
from helpers import ProxyHarness, deployment_settings, encode_reply, encode_request, endpoint
from hypothesis import given
from hypothesis import strategies as st

from calicofall.cli.main import main
from calicofall.proxy.recorder import MAX_PENDING_BYTES, Recorder
from calicofall.recording import frames, record_queries, record_settings, segment_writer, state_codec
from calicofall.recording.pseudonymizer import NoPseudonyms, Pseudonymizer, pseudonymized_settings
from calicofall.recording.recording_router import RecordingRouter
from calicofall.recording.replayer import Replayer, events_of
from calicofall.recording.segment_writer import AppendFrame, BeginSegment, EndSegment, SegmentWriter, Step
from calicofall.routing.policy import RoutingPolicy
from calicofall.routing.router import Router
from calicofall.testbed import scenario
from calicofall.testbed.clients import TrafficPlan
from calicofall.testbed.routing_simulation import RoutingSimulation
from calicofall.testbed.runner import run_scenario
from calicofall.testbed.server_models import CacheModel, OriginModel

ROOT = Path(__file__).parent.parent
SECRET = b"a key of the operator's"
SETTINGS = record_settings.RecordSettings(folder="x", segment_s=2.0, kb_per_s=1e6)


class RecordingInMemory(RecordingRouter):
    """A router of a simulation that keeps its record in memory, with a segment every two seconds."""

    instances: list["RecordingInMemory"] = []

    def __init__(
        self,
        deployment: dict[str, Any],
        seed: int,
        now: float,
        naming: Pseudonymizer | NoPseudonyms | None = None,
    ) -> None:
        naming = naming or NoPseudonyms()
        head = {
            "now": now,
            "began": now,
            "life": f"{seed:x}",
            "seed": str(seed),
            "turns": False,
            "veiled": not isinstance(naming, NoPseudonyms),
            "deployment": pseudonymized_settings(deployment, naming),
            "version": "0",
            "proxy": f"n{seed}",
        }
        state_naming = None if isinstance(naming, NoPseudonyms) else naming
        self._segment_writer = SegmentWriter(
            SETTINGS, head, lambda: state_codec.encode_state(self, state_naming), now / 1000.0
        )
        self._segments: list[bytes] = []
        super().__init__(deployment, seed, now, self._segment_writer.add_event, naming)
        RecordingInMemory.instances.append(self)

    def tick(self, now: float) -> float:
        wait = super().tick(now)
        self.write_segments(now)
        return wait

    def write_segments(self, now: float) -> None:
        for step in self._segment_writer.next_steps(now / 1000.0, 1e9):
            if isinstance(step, BeginSegment):
                self._segments.append(frames.file_header())
            if not isinstance(step, EndSegment):
                self._segments[-1] += frames.encode_frame(step.content)


def record_simulated_fleet(
    seed: int = 1, naming: Pseudonymizer | None = None, seconds: float = 9.0
) -> list[RecordingInMemory]:
    """Records a simulation of four proxies and eight caches.

    Half of the caches are restarted one after the other (a rolling deploy) while the traffic jumps; one cache
    is slow, and one proxy is restarted.
    """
    RecordingInMemory.instances = []
    tenants = [{"name": "acme", "quota": 150.0}, {"name": "bulk", "quota": 10.0}]
    caches = [
        CacheModel(OriginModel(6, 0.03), 2, 6, 64, 0.002, 0.01, 300, 0.2, 3.0, 3.0, 1.0) for _ in range(8)
    ]
    simulation = RoutingSimulation(
        deployment_settings(proxies=4, tenants=tenants),
        caches,
        OriginModel(6, 0.03),
        200.0,
        300,
        0.9,
        seed,
        zones=2,
        make=lambda settings, seed, now: RecordingInMemory(settings, seed, now, naming),
    )
    random_generator = Random(seed)

    def set_state(number: int, state: str) -> None:
        old = simulation.entries[number]
        started = simulation.now if state == "ready" else old[6]
        simulation.entries[number] = (*old[:4], state, 1.0, started)
        for router in simulation.routers:
            router.on_endpoint_list(simulation.now, "delta", number + 2, [simulation.entries[number]])

    for number in range(4):
        simulation.at(2500.0 + 700.0 * number, set_state, number, "draining")
        simulation.at(2900.0 + 700.0 * number, set_state, number, "ready")
        simulation.at(2900.0 + 700.0 * number, caches[number].start, 2.9 + 0.7 * number)
    simulation.at(4000.0, lambda: setattr(simulation, "per_s", 900.0))
    simulation.at(6000.0, lambda: setattr(simulation, "per_s", 200.0))
    simulation.at(3000.0, lambda: setattr(caches[6], "slow", 12.0))
    simulation.at(5000.0, simulation.restart_proxy, random_generator.randrange(4))
    simulation.run(seconds * 1000.0)
    for router in RecordingInMemory.instances:
        router.write_segments(simulation.now)
    return [router for router in RecordingInMemory.instances if router._segments]


def replayer_of(data: bytes, **options: Any) -> tuple[Replayer, Any]:
    head, rest = frames.open_record(data)
    return Replayer(head, state_codec.restore_state, **options), rest


def test_replay_of_a_rolling_deploy_and_a_traffic_jump_makes_the_same_decisions() -> None:
    """Each segment is replayed alone, from the beginning or from a state, also with requests in flight."""
    routers = record_simulated_fleet()
    decisions = in_flight = 0
    for router in routers:
        for data in router._segments:
            replayer, rest = replayer_of(data)
            in_flight += bool(replayer.requests)
            replayer.replay(rest)
            decisions += replayer.decision_count
    assert len(routers) == 5  # one more incarnation than proxies
    assert sum(len(router._segments) for router in routers) >= 16
    assert decisions > 3000
    assert in_flight >= 8


def test_state_of_a_segment_equals_the_state_after_replay_of_the_one_before() -> None:
    """Guards against a field that is missing from the state or restored incorrectly."""
    segments = record_simulated_fleet(3)[0]._segments
    for before, after in zip(segments, segments[1:], strict=False):
        replayer, rest = replayer_of(before)
        replayer.replay(rest)
        other, _ = replayer_of(after)
        # Rankings are cached on lookup and derived from the rest of the state.
        for router in (replayer.router, other.router):
            router.policy.placement.rankings.clear()
        assert state_codec.encode_state(replayer.router) == state_codec.encode_state(other.router)


def test_state_restored_holds_all_fields_and_unknown_ones_raise() -> None:
    router = Router(deployment_settings(proxies=4), 7, 0.0)
    router.on_endpoint_list(0.0, "full", 1, [("c1", "a", "box", 0, "ready", 1.0, 0.0)])
    state = json.loads(orjson.dumps(state_codec.encode_state(router)))
    other = Router(deployment_settings(proxies=4), 8, 5.0)
    state_codec.restore_state(other, state)
    assert vars(other.policy).keys() == vars(router.policy).keys()
    assert other.policy.random_generator.random() == router.policy.random_generator.random()
    assert other.policy.endpoints.caches["c1"] is other.policy.placement.usable[0][2]
    assert other.on_endpoint_list == other.policy.on_endpoint_list
    router.policy.later = object()
    with pytest.raises(state_codec.UnsupportedStateError):
        state_codec.encode_state(router)
    fields = dict(state["fields"])["policy"]["r"]
    state["table"][fields][1].pop()
    with pytest.raises(ValueError, match="missing or unknown stored fields"):
        state_codec.restore_state(Router(deployment_settings(), 1, 0.0), state)


def test_replay_under_other_hash_seeds_makes_the_same_decisions(tmp_path: Path) -> None:
    """Guards against decisions that depend on set order: the replays use different hash seeds."""
    file = tmp_path / "n.record"
    file.write_bytes(record_simulated_fleet(4)[1]._segments[1])
    for seed in ("1", "2", "77"):
        out = subprocess.run(
            [sys.executable, "-m", "calicofall", "replay", str(file)],
            cwd=ROOT,
            check=False,
            capture_output=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        )
        assert out.returncode == 0, out.stdout


def test_replay_with_a_different_decision_shows_the_request_and_the_events_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    data = record_simulated_fleet()[0]._segments[1]
    file = tmp_path / "n.record"
    file.write_bytes(data)
    room = RoutingPolicy._has_capacity
    calls = iter(range(10_000))
    monkeypatch.setattr(
        RoutingPolicy,
        "_has_capacity",
        lambda self, now, limit, request: next(calls) != 40 and room(self, now, limit, request),
    )
    result = CliRunner().invoke(main, ["replay", str(file)])
    assert result.exit_code == 1
    assert "recorded" in result.output
    assert "before it" in result.output
    assert "ranking" in result.output
    assert "fleet" in result.output


# Damaged records


def short_record() -> bytes:
    data = frames.file_header() + frames.encode_frame(frames.encode_json({"head": 1}))
    return data + b"".join(
        frames.encode_frame(frames.encode_json([["note", float(n), "x" * n, {}]])) for n in range(3)
    )


def readable_frames(data: bytes) -> tuple[int, str]:
    """Returns the number of readable event frames, and the error of the next frame, if any."""
    _, rest = frames.open_record(data)
    count = 0
    try:
        for _ in rest:
            count += 1
    except frames.TruncatedRecordError as reason:
        return count, str(reason)
    return count, ""


def test_open_record_cut_at_any_byte_of_the_last_two_frames_reads_the_frames_before() -> None:
    data = short_record()
    last = len(data) - len(frames.encode_frame(frames.encode_json([["note", 2.0, "xx", {}]])))
    last_but_one = last - len(frames.encode_frame(frames.encode_json([["note", 1.0, "x", {}]])))
    for cut in range(last_but_one, len(data)):
        count, damage = readable_frames(data[:cut])
        assert count == 1 + (cut >= last)
        assert bool(damage) is (cut not in (last_but_one, last))
    assert readable_frames(data) == (3, "")


def test_open_record_with_any_byte_changed_finds_the_damage() -> None:
    data = short_record()
    for offset in range(len(data)):
        changed = data[:offset] + bytes([data[offset] ^ 0x41]) + data[offset + 1 :]
        try:
            count, damage = readable_frames(changed)
        except frames.UnreadableRecordError:
            continue
        assert damage
        assert count < 3


@given(st.binary(max_size=200), st.booleans())
def test_open_record_of_arbitrary_bytes_raises_only_record_errors(data: bytes, with_header: bool) -> None:
    try:
        readable_frames((frames.file_header() if with_header else b"") + data)
    except frames.UnreadableRecordError:
        return


@pytest.mark.parametrize(
    ("data", "word"),
    [
        pytest.param(b"", "empty", id="an empty file"),
        pytest.param(b"PK\x03\x04 something else\n", "not a record", id="another kind of file"),
        pytest.param(b"calicofall-record 2\n", "version is '2'", id="another version"),
        pytest.param(b"calicofall-snapshot 1 00\n{}", "not a record", id="a snapshot"),
        pytest.param(frames.file_header(), "no head", id="no frame"),
        pytest.param(
            frames.file_header() + frames.encode_frame(b"[]"), "no head", id="a head that is a list"
        ),
        pytest.param(
            frames.file_header() + frames.encode_frame(b'{"a":1}'),
            "expected the field began in the head",
            id="a head without fields",
        ),
    ],
)
def test_commands_on_a_file_that_is_no_record_print_one_line(data: bytes, word: str, tmp_path: Path) -> None:
    file = tmp_path / "n.record"
    file.write_bytes(data)
    for command in (["replay"], ["record", "table"], ["record", "query"]):
        result = CliRunner().invoke(main, [*command, str(file), *["id=1"] * ("query" in command)])
        assert result.exit_code == 2
        assert word in result.output
        assert result.output.count("\n") == 1


def test_replay_of_a_damaged_record_plays_up_to_the_damage(tmp_path: Path) -> None:
    data = record_simulated_fleet()[0]._segments[0]
    file = tmp_path / "n.record"
    file.write_bytes(data[: len(data) * 2 // 3])
    result = CliRunner().invoke(main, ["replay", str(file)])
    assert result.exit_code == 3
    assert "cut off" in result.output
    assert "the same up to there" in result.output
    changed = bytearray(data)
    changed[len(data) // 2] ^= 1
    file.write_bytes(changed)
    result = CliRunner().invoke(main, ["replay", str(file)])
    assert result.exit_code == 3
    assert "checksum" in result.output
    assert CliRunner().invoke(main, ["replay", str(tmp_path / "none")]).exit_code == 2


def test_replay_of_malformed_events_prints_one_line(tmp_path: Path) -> None:
    head, rest = frames.open_record(record_simulated_fleet()[0]._segments[0])
    header_and_head = frames.file_header() + frames.encode_frame(frames.encode_json(head))
    unknown = ["pick", 1.0, "nobody", 2.0, None, None, 0.0, 0.0, []]
    for events in ([unknown], [["dance", 1.0]], [["pick"]], [7]):
        file = tmp_path / "n.record"
        file.write_bytes(header_and_head + frames.encode_frame(frames.encode_json(events)))
        result = CliRunner().invoke(main, ["replay", str(file)])
        assert result.exit_code == 2
        assert "event" in result.output
        assert result.output.count("\n") == 1


# Pseudonyms


def test_record_with_a_secret_holds_no_key_or_tenant_and_replays_to_the_same_decisions() -> None:
    routers = record_simulated_fleet(2, Pseudonymizer(SECRET))
    without_pseudonyms = record_simulated_fleet(2)
    decisions = 0
    keys = {
        event[5]
        for router in without_pseudonyms
        for data in router._segments
        for event in events_of(frames.open_record(data)[1])
        if event[0] == "rpc"
    }
    for router in routers:
        for data in router._segments:
            replayer, rest = replayer_of(data)
            content = frames.encode_json([*rest])
            seen = {event[5] for event in events_of(orjson.loads(content)) if event[0] == "rpc"}
            assert not seen & keys
            assert b"acme" not in content
            assert b"acme" not in frames.encode_json(frames.open_record(data)[0])
            replayer.replay(frames.open_record(data)[1])
            decisions += replayer.decision_count
    assert decisions > 3000
    assert len(keys) > 100


# Segments


def make_segment_writer(**changes: Any) -> SegmentWriter:
    values: dict[str, Any] = {"folder": "x", "segment_s": 10.0, "segment_mb": 4.0, "kb_per_s": 1e4} | changes
    settings = record_settings.RecordSettings(**values)
    return SegmentWriter(settings, {"head": 1}, lambda: {"fields": [], "table": []}, 0.0)


def types_of(steps: list[Step]) -> list[type[Step]]:
    return [type(step) for step in steps]


def json_of(step: Step) -> Any:
    assert not isinstance(step, EndSegment)
    return orjson.loads(step.content)


def test_segment_writer_at_the_age_or_size_limit_begins_a_segment_with_the_state() -> None:
    writer = make_segment_writer()
    writer.add_event(["a", 1.0])
    first = writer.next_steps(0.1, 1e9)
    assert types_of(first) == [BeginSegment, AppendFrame]
    assert json_of(first[0])["state"] is None
    assert writer.next_steps(0.2, 1e9) == []
    writer.add_event(["b", 2.0])
    later = writer.next_steps(10.2, 1e9)
    assert types_of(later) == [AppendFrame, EndSegment, BeginSegment]
    assert json_of(later[2])["state"] is not None
    assert json_of(later[2])["segment"] == 1
    writer.add_event(["c", 3.0, "x" * 5_000_000])
    assert types_of(writer.next_steps(10.5, 1e9)) == [AppendFrame]
    assert types_of(writer.next_steps(10.8, 1e9)) == [EndSegment, BeginSegment]


def test_segment_writer_without_room_drops_events_counts_them_and_ends_the_segment() -> None:
    writer = make_segment_writer()
    writer.add_event(["a", 1.0])
    writer.next_steps(0.1, 1e9)
    writer.add_event(["b", 2.0])
    assert types_of(writer.next_steps(0.2, 3.0)) == []  # fewer bytes are available than needed
    writer.add_event(["c", 3.0])
    assert types_of(writer.next_steps(0.3, 3.0)) == [EndSegment]
    assert writer.events_dropped == 2
    writer.add_event(["d", 4.0])
    assert types_of(writer.next_steps(0.4, 1e9)) == [BeginSegment]
    assert writer.events_dropped == 3  # the state includes the event
    writer.add_event(["e", 5.0])
    assert types_of(writer.next_steps(0.5, 1e9)) == [AppendFrame]
    assert writer.events_written == 2


def test_segment_writer_under_load_bounds_the_byte_rate_and_the_events_it_holds() -> None:
    writer = make_segment_writer(kb_per_s=100.0)
    bytes_taken = 0
    for number in range(400):
        writer.add_event(["a", 1.0, "x" * 50_000])
        bytes_taken += sum(
            len(getattr(step, "content", b"")) for step in writer.next_steps(number / 10.0, 1e9)
        )
    assert bytes_taken <= segment_writer.HEAD_RESERVE_BYTES + 100_000 * 41
    assert writer.events_dropped > 200
    for _ in range(3 * segment_writer.MAX_EVENTS):
        writer.add_event(["a", 1.0])
    assert len(writer.events) <= segment_writer.MAX_EVENTS


@pytest.mark.parametrize(
    ("record", "word"),
    [
        pytest.param(3, "an object", id="a number"),
        pytest.param({}, "folder", id="no folder"),
        pytest.param({"folder": "x", "level": "all"}, "level", id="an unknown level"),
        pytest.param({"folder": "x", "much": 1}, "much", id="an unknown setting"),
        pytest.param({"folder": "x", "segmentS": -1}, "segmentS", id="a negative number"),
        pytest.param({"folder": "x", "keepMB": 1}, "two segments", id="less than two segments"),
        pytest.param({"folder": "x", "secret": "short"}, "secret", id="a short secret"),
        pytest.param({"folder": "x", "kBPerS": True}, "kBPerS", id="a boolean for a number"),
    ],
)
def test_parse_record_settings_with_a_wrong_setting_raises_an_error_that_names_it(
    record: Any, word: str
) -> None:
    with pytest.raises(ValueError, match=word):
        record_settings.parse_record_settings({"record": record})
    assert record_settings.parse_record_settings({}) is None


# A proxy and its files


class RecordingHarness(ProxyHarness):
    """A proxy that records, on a clock that the test advances; the recorder's thread does not run."""

    def __init__(self, folder: Path, **settings: Any) -> None:
        self.record_settings = {"folder": str(folder), "level": "proxy"} | settings
        super().__init__(tenants=None)
        self.recorder = self.proxy.recorder
        self.recorder.thread.run = lambda: None

    def node_file(self, *args: Any, **settings: Any) -> dict[str, Any]:
        settings.pop("tenants")
        return super().node_file(*args, **settings) | {"record": self.record_settings}

    def write(self) -> None:
        """Performs the work of the thread."""
        self.recorder.job_added.set()
        self.recorder.closing = True
        self.recorder.run()

    def serve(self, count: int = 6) -> None:
        """Serves requests, each of which an endpoint answers."""
        client = self.client()
        for number in range(count):
            client.feed(encode_request("save" if number % 3 == 2 else "read", number))
            self.loop.advance(0.01)
            for stream, _ in self.loop.connect_requests:
                self.connect_upstream(self.loop.connect_requests.index((stream, _))).feed(encode_reply())
            self.loop.connect_requests.clear()
            self.loop.advance(0.3)
        self.recorder.flush()


def test_proxy_record_replays_and_answers_queries(tmp_path: Path) -> None:
    harness = RecordingHarness(tmp_path)
    harness.push_endpoint_list(endpoint("c1", "DRAINING"))
    harness.serve()
    harness.write()
    (file,) = tmp_path.glob("*.record")
    result = CliRunner().invoke(main, ["replay", str(tmp_path)])
    assert result.exit_code == 0, result.output
    assert "each as recorded" in result.output, result.output
    head, rest = frames.open_record(file.read_bytes())
    events = [*events_of(rest)]
    notes = [event[2] for event in events if event[0] == "note"]
    assert notes.count("command") == notes.count("answer") == 6
    assert head["level"] == "proxy"
    assert b"fresh" not in frames.encode_json(events)  # no cached value is recorded
    query_result = CliRunner().invoke(main, ["record", "query", str(file), "method=save"])
    assert query_result.exit_code == 0
    assert query_result.output.endswith("2 RPCs\n")
    assert "completed" in query_result.output
    assert CliRunner().invoke(main, ["record", "query", str(file), "colour=red"]).exit_code == 2
    table_result = CliRunner().invoke(
        main, ["record", "table", str(tmp_path), "--chart", str(tmp_path / "a.png")]
    )
    assert table_result.exit_code == 0, table_result.output
    assert (tmp_path / "a.png").stat().st_size > 1000, table_result.output
    assert [line.split()[1] for line in table_result.output.splitlines()[1:2]] == ["6"]


def test_proxy_without_record_settings_has_a_plain_router() -> None:
    assert type(ProxyHarness().proxy.router) is Router
    assert ProxyHarness().proxy.recorder is None


def test_save_command_links_segments_into_a_folder_that_is_not_cleaned_up(tmp_path: Path) -> None:
    harness = RecordingHarness(tmp_path, keepMinutes=1e-9)
    harness.serve()
    answer = harness.proxy.handle_call("record")
    assert answer.startswith("+OK saved in ")
    harness.recorder.segment_writer.end_segment()
    harness.recorder.flush()
    harness.write()
    saved = [*Path(answer.split()[-1]).glob("*.record")]
    assert len(saved) == 1
    assert saved[0].name not in {path.name for path in tmp_path.glob("*.record")}
    result = CliRunner().invoke(main, ["replay", *map(str, saved)])
    assert result.exit_code == 0, result.output
    assert any(
        line.startswith("record.events:") for line in harness.proxy.handle_call("recorded").splitlines()
    )


def test_two_processes_of_one_proxy_with_a_clock_set_back_write_to_one_folder(
    tmp_path: Path,
) -> None:
    old, new = RecordingHarness(tmp_path, secret="one of the operators'"), RecordingHarness(tmp_path)
    new.recorder.segment_writer.head["began"] -= 3600.0  # by the system clock, the new process started first
    new.recorder.system_clock = lambda: time.time() - 3600.0
    for number in range(2):
        for harness in (old, new):
            harness.serve(4)
            if number:
                harness.recorder.segment_writer.end_segment()
                harness.recorder.flush()
    for harness in (old, new):
        harness.write()
    files = sorted(tmp_path.glob("*.record"))
    assert len(files) == 4
    assert len({file.name.split(".")[1] for file in files}) == 2
    result = CliRunner().invoke(main, ["replay", str(tmp_path)])
    assert result.exit_code == 0, result.output
    pseudonymized_file = next(file for file in files if old.recorder.incarnation in file.name)
    assert b"acme" not in frames.encode_json([*frames.open_record(pseudonymized_file.read_bytes())[1]])


def test_recorder_on_a_disk_that_fails_loses_only_the_record_and_logs_one_line(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    file = tmp_path / "file"
    file.write_text("in the way")
    harness = RecordingHarness(file / "folder")
    caplog.set_level("WARNING", "calicofall")
    for _ in range(3):
        harness.serve()
        harness.write()
        harness.loop.advance(6.0)
    assert [record.message for record in caplog.records] == ["record not written"]
    assert harness.recorder.lost_jobs > 0
    file.unlink()
    harness.serve()
    harness.write()
    assert harness.recorder.pending_bytes == 0
    assert CliRunner().invoke(main, ["replay", str(file / "folder")]).exit_code == 0


def test_segment_files_on_a_disk_that_is_full_in_mid_frame_keep_whole_frames(tmp_path: Path) -> None:
    harness = RecordingHarness(tmp_path)
    harness.serve()
    harness.write()

    class FullDiskFile:
        """Accepts the first 20 bytes, then fails as a full disk does."""

        def __init__(self, path: Path) -> None:
            self.file, self.free_bytes = path.open("r+b", buffering=0), 20
            self.file.seek(0, 2)

        def write(self, data: bytes) -> int:
            if not self.free_bytes:
                raise OSError(28, "No space left on device")
            accepted, self.free_bytes = data[: self.free_bytes], 0
            return self.file.write(accepted)

        def __getattr__(self, name: str) -> Any:
            return getattr(self.file, name)

    (file,) = tmp_path.glob("*.record")
    size = file.stat().st_size
    with pytest.raises(OSError, match="No space"):
        harness.recorder.files.write(FullDiskFile(file), b"x" * 100)
    assert file.stat().st_size == size
    assert CliRunner().invoke(main, ["replay", str(file)]).exit_code == 0


def test_recorder_on_a_disk_that_hangs_does_not_block_the_loop_and_holds_bounded_bytes(
    tmp_path: Path,
) -> None:
    """The thread performs no work, as if the disk did not respond."""
    harness = RecordingHarness(tmp_path)
    for _ in range(40):
        harness.recorder.note("command", key=7, tenant="acme", filler="x" * 300_000)
        began = time.monotonic()
        harness.loop.advance(0.26)
        harness.recorder.flush()
        assert time.monotonic() - began < 0.2
    assert harness.recorder.pending_bytes <= MAX_PENDING_BYTES
    assert harness.recorder.segment_writer.events_dropped > 0


def test_segment_files_beyond_the_size_to_keep_deletes_the_oldest(tmp_path: Path) -> None:
    loop = ProxyHarness().loop
    settings = record_settings.RecordSettings(folder=str(tmp_path), segment_mb=0.001, keep_mb=0.002)
    recorder = Recorder(loop, settings, "n/1", "life", time.time)
    random_generator = Random(1)
    content = frames.encode_json([random_generator.random() for _ in range(60)])
    (tmp_path / "n%2F1.x.other.life.000000.record").write_bytes(b"x" * 9000)  # a file of another proxy
    for _ in range(9):
        recorder.pending.extend([BeginSegment(content), AppendFrame(content), EndSegment()])
        recorder.job_added.set()
        recorder.closing = True
        recorder.run()
    left = sorted(path.name for path in tmp_path.glob("n%2F1.life*"))
    assert left[-1].endswith("000008.record")
    assert len(left) <= 3
    assert left == left[-len(left) :]
    assert (tmp_path / "n%2F1.x.other.life.000000.record").exists()


# Other settings and versions


def test_replay_with_other_settings_or_another_version_counts_the_differences(tmp_path: Path) -> None:
    harness = RecordingHarness(tmp_path)
    harness.serve()
    harness.write()
    node = harness.node_file(tenants=None)
    same, other = tmp_path / "same.json", tmp_path / "other.json"
    same.write_text(json.dumps(node))
    other.write_text(
        json.dumps(
            node["settings"]
            | {
                "kinds": ["box", "other"],
                "methods": [
                    method | {"kindsOpen": ["other"]} if method["name"] == "read" else method
                    for method in node["settings"]["methods"]
                ],
            }
        )
    )
    result = CliRunner().invoke(main, ["replay", str(tmp_path), "--with", str(same)])
    assert result.exit_code == 0, result.output
    assert " 0 elsewhere" in result.output, result.output
    result = CliRunner().invoke(main, ["replay", str(tmp_path), "--with", str(other)])
    assert result.exit_code == 0
    assert "send -> " in result.output
    assert " 0 elsewhere" not in result.output
    (tmp_path / "bad.json").write_text("{")
    wrong = ["replay", str(tmp_path), "--with", str(tmp_path / "bad.json")]
    assert CliRunner().invoke(main, wrong).exit_code == 2
    # A version of the program whose limit rejects all requests.
    version = tmp_path / "version"
    version.mkdir()
    subprocess.run(["cp", "-r", str(ROOT / "calicofall"), str(version)], check=True)
    limit = version / "calicofall" / "routing" / "concurrency_limit.py"
    limit.write_text(
        limit.read_text().replace(
            "        return now >= self.next_start_at and self.request_capacity(now, fraction)",
            "        return False",
        )
    )
    command = [sys.executable, "-m", "calicofall", "replay", str(tmp_path), "--with", str(version)]
    out = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert out.returncode == 0, out.stdout + out.stderr
    assert "send -> wait" in out.stdout, out.stdout + out.stderr
    assert CliRunner().invoke(main, ["replay", str(tmp_path), "--with", str(tmp_path)]).exit_code == 2


# Represents a version whose router is in `facade.py`: it has its own replayer, and loads no modules of this
# version.
EARLIER_VERSION = {
    "__init__.py": "",
    "facade.py": "",
    "recording/__init__.py": "",
    "recording/__main__.py": """
import sys
import calicofall

def trial(names):
    print("replayed by", calicofall.__file__)
    for name in names:
        print("record", name)
    print("recording modules", sorted(name for name in sys.modules if name.startswith("calicofall.rec")))
    sys.exit(5)
""",
}


# The replayer of a version with a routing package.
OWN_REPLAYER = """
import sys
import calicofall.recording

def replay_here(names):
    print("replayed by", __file__)
    for name in names:
        print("record", name)
    print("recording", calicofall.recording.__file__)
    sys.exit(5)
"""


def write_version(folder: Path, files: dict[str, str]) -> Path:
    """Writes the package of a version of the program and returns the folder."""
    for name, content in files.items():
        file = folder / "calicofall" / name
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(content)
    return folder


def replay_with(version: Path, *records: Path) -> subprocess.CompletedProcess[str]:
    """Runs `replay --with` in a process, as a replay with another version prints from its own process."""
    command = [sys.executable, "-m", "calicofall", "replay", *map(str, records), "--with", str(version)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


def test_replay_with_an_earlier_version_runs_its_own_replayer_on_the_records(tmp_path: Path) -> None:
    """This version's replayer cannot drive versions with `facade.py`, whose router has other names."""
    version = write_version(tmp_path / "earlier", EARLIER_VERSION)
    segments = record_simulated_fleet(seconds=5.0)[0]._segments[:2]
    files = [tmp_path / f"n.{number}.record" for number in range(len(segments))]
    for file, data in zip(files, segments, strict=True):
        file.write_bytes(data)

    out = replay_with(version, *reversed(files))

    assert out.stdout.splitlines() == [
        f"replayed by {version / 'calicofall' / '__init__.py'}",
        *(f"record {file}" for file in files),
        "recording modules ['calicofall.recording', 'calicofall.recording.__main__']",
    ]
    assert out.returncode == 5


def test_replay_with_an_earlier_version_without_a_replayer_says_that_it_is_too_old(tmp_path: Path) -> None:
    """Versions from before replay existed have a router, but no replayer."""
    files = {name: content for name, content in EARLIER_VERSION.items() if "__main__" not in name}
    version = write_version(tmp_path / "earlier", files)
    file = tmp_path / "n.record"
    file.write_bytes(record_simulated_fleet(seconds=5.0)[0]._segments[0])

    out = replay_with(version, file)

    assert out.returncode == 1
    assert out.stderr.startswith("Error: that version is too old: ")


def test_replay_with_a_router_that_lacks_a_name_runs_the_own_replayer_of_that_version(tmp_path: Path) -> None:
    """This version's replayer cannot be imported with a router that has other names."""
    version = tmp_path / "earlier"
    shutil.copytree(ROOT / "calicofall", version / "calicofall", ignore=shutil.ignore_patterns("__pycache__"))
    for module in (version / "calicofall" / "routing").glob("*.py"):
        module.write_text(re.sub(r"\bUNCONSTRAINED\b", "EARLIER_UNCONSTRAINED", module.read_text()))
    assert "EARLIER_UNCONSTRAINED" in (version / "calicofall" / "routing" / "endpoint.py").read_text()
    write_version(version, {"cli/replay.py": OWN_REPLAYER})
    file = tmp_path / "n.record"
    file.write_bytes(record_simulated_fleet(seconds=5.0)[0]._segments[0])

    out = replay_with(version, file)

    assert out.stdout.splitlines() == [
        f"replayed by {version / 'calicofall' / 'cli' / 'replay.py'}",
        f"record {file}",
        f"recording {version / 'calicofall' / 'recording' / '__init__.py'}",
    ], out.stderr
    assert out.stderr == ""
    assert out.returncode == 5


# Processes


@pytest.mark.xdist_group(PROCESS_GROUPS[0])
def test_records_of_processes_with_faults_between_them_replay_to_the_same_decisions(tmp_path: Path) -> None:
    """Six proxies record during a network cut, a stop, a restart, a slow cache and a drain.

    This is a small version of `stage walk --record --count 10`. Afterwards, a record is used as the traffic
    of a scenario.
    """
    scenario_settings = {
        "name": "recorded",
        "seconds": 9.0,
        "fleet": {"proxies": 6, "caches": 5, "record": True},
        "service": {"room": 50.0},
        "traffic": {"per_s": 90.0, "orders": 0.1},
        "event": [
            {"at": 4.0, "until": 6.0, "do": "cut", "who": "zone:a", "to": "zone:b"},
            {"at": 3.5, "until": 6.0, "do": "sick", "who": "c1", "amount": 60.0},
            {"at": 4.0, "until": 5.0, "do": "stop", "who": "p2"},
            {"at": 5.0, "do": "restart", "who": "p1"},
            {"at": 5.0, "do": "drain", "who": "c3"},
        ],
    }
    verdict, _ = run_scenario(scenario.parse_scenario(scenario_settings, "recorded"), tmp_path / "out")
    assert not verdict.void_reason, (verdict.void_reason, verdict.findings[:5])
    assert not verdict.findings, (verdict.void_reason, verdict.findings[:5])
    decisions = 0
    for number in range(6):
        files = [*(tmp_path / "out" / f"p{number}" / "record").glob("*.record")]
        assert len(files) >= (2 if number == 1 else 1)  # two incarnations
        result = CliRunner().invoke(main, ["replay", *map(str, files)])
        # A killed process leaves an incomplete last frame; the frames before it are replayed.
        assert result.exit_code in (0, 3), result.output
        decisions += int(result.output.splitlines()[-1].split()[0])
    assert decisions > 500
    traffic = tmp_path / "traffic.json"
    command = ["record", "traffic", str(tmp_path / "out" / "p0" / "record"), str(traffic)]
    assert CliRunner().invoke(main, command).exit_code == 0
    replayed_scenario = scenario.parse_scenario(
        scenario_settings | {"traffic": {"record": str(traffic)}}, "again"
    )
    drawn_requests = TrafficPlan(replayed_scenario).requests
    assert len(drawn_requests) > 20
    assert {method for _, method, *_ in drawn_requests} >= {"read", "save"}
    assert [key for *_, key, _ in drawn_requests] == [row[2] for row in json.loads(traffic.read_bytes())][
        : len(drawn_requests)
    ]


def test_record_of_a_request_at_its_length_limit_holds_no_value(tmp_path: Path) -> None:
    harness = RecordingHarness(tmp_path)
    client = harness.client()
    client.feed(encode_request("save", value=b"v" * 70_000))
    harness.loop.advance(0.05)
    harness.recorder.flush()
    harness.write()
    (file,) = tmp_path.glob("*.record")
    assert file.stat().st_size < 20_000
    assert CliRunner().invoke(main, ["replay", str(file)]).exit_code == 0
    _, rest = frames.open_record(file.read_bytes())
    assert sum(1 for _ in record_queries.request_traces(events_of(rest))) == 1


def test_recorder_closed_on_a_real_loop_has_written_its_record(tmp_path: Path) -> None:
    """Runs the recorder's thread on a real event loop."""

    async def run() -> Recorder:
        loop = asyncio.get_running_loop()
        settings = record_settings.RecordSettings(folder=str(tmp_path))
        recorder = Recorder(loop, settings, "n0", "life", time.time)
        router = recorder.make_router(deployment_settings(), 1, 0.0, False, 0.0)
        recorder.start()
        router.on_endpoint_list(0.0, "full", 1, [("c1", "a", "box", 0, "ready", 1.0, 0.0)])
        await asyncio.sleep(0.4)
        router.tick(400.0)
        recorder.close()
        return recorder

    recorder = asyncio.run(run())
    assert not recorder.thread.is_alive()
    assert recorder.pending_bytes == 0
    assert recorder.segment_writer.events_written == 2
    assert CliRunner().invoke(main, ["replay", str(tmp_path)]).exit_code == 0
