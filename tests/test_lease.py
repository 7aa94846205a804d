"""Process locks: how processes of one proxy detect each other and share the limits."""

import fcntl
import os
from pathlib import Path

import pytest
from helpers import ProxyHarness, encode_reply, encode_request, endpoint

from calicofall.proxy import graceful_shutdown, resp
from calicofall.proxy import process_lock as process_lock_module
from calicofall.proxy.clients import ClientConnections
from calicofall.proxy.process_limits import RESERVED_DESCRIPTORS
from calicofall.proxy.process_lock import ProcessLock


def test_processes_of_one_proxy_detect_each_other_and_which_one_serves(tmp_path: Path) -> None:
    first, stranger = ProcessLock("n0", str(tmp_path)), ProcessLock("n1", str(tmp_path))
    assert not first.refresh() and first.other_process_count == 0
    first.mark_serving()
    second = ProcessLock("n0", str(tmp_path))
    assert second.refresh() and (second.other_process_count, second.serving_process_count) == (1, 1)
    assert first.refresh() and (first.other_process_count, first.serving_process_count) == (1, 0)
    second.mark_serving()
    assert not first.refresh() and first.serving_process_count == 1
    first.release()
    assert second.refresh() and second.other_process_count == 0
    second.release()
    stranger.release()
    assert not list(tmp_path.iterdir())


def test_file_of_a_killed_process_is_ignored_and_removed(tmp_path: Path) -> None:
    """Without the lock, a leftover file would have kept the next process at half of its limits forever."""
    process_lock = ProcessLock("n0", str(tmp_path))
    leftover = Path(process_lock.folder) / "dead"
    leftover.write_bytes(process_lock_module.SERVING_STATE)
    assert (
        not process_lock.refresh()
        and not leftover.exists()
        and os.listdir(process_lock.folder) == [Path(process_lock.path).name]
    )


def test_file_that_was_removed_before_it_was_locked_is_created_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    create_file, created = process_lock_module.mkstemp, []

    def create_and_remove_first(**arguments: str) -> tuple[int, str]:
        created.append(create_file(**arguments))
        if len(created) == 1:
            os.unlink(created[0][1])
        return created[-1]

    monkeypatch.setattr(process_lock_module, "mkstemp", create_and_remove_first)
    process_lock, other = ProcessLock("n0", str(tmp_path)), ProcessLock("n0", str(tmp_path))
    assert (
        len(created) == 3
        and other.refresh()
        and other.other_process_count == 1
        and process_lock.path == created[1][1]
    )


def test_without_a_folder_or_a_lock_only_the_sharing_of_limits_is_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    missing = ProcessLock("n0", str(tmp_path / "missing"))
    assert not missing.refresh() and not missing.refresh() and missing.other_process_count == 0
    missing.mark_serving()
    missing.release()
    assert [record.message for record in caplog.records] == ["no lease"]  # logged once

    def fail_lock(_file: int, _operation: int) -> None:
        raise OSError(37, "no locks available")

    monkeypatch.setattr(fcntl, "flock", fail_lock)
    process_lock = ProcessLock("n0", str(tmp_path))
    assert not process_lock.refresh() and process_lock.descriptor == -1 and not list(tmp_path.iterdir())


def test_process_serves_on_a_full_file_system(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    process_lock = ProcessLock("n0", str(tmp_path))

    def fail_write(_file: int, _data: bytes, _offset: int) -> None:
        raise OSError(28, "no space left")

    monkeypatch.setattr(os, "pwrite", fail_write)
    process_lock.mark_serving()
    other = ProcessLock("n0", str(tmp_path))
    assert (
        other.descriptor == -1
        and other.refresh()
        and (other.other_process_count, other.serving_process_count) == (1, 0)
    )
    process_lock.release()
    assert not list(tmp_path.iterdir())


def add_serving_process(tmp_path: Path, harness: ProxyHarness) -> ProcessLock:
    harness.proxy.process_lock = ProcessLock("n0", str(tmp_path))
    other = ProcessLock("n0", str(tmp_path))
    other.mark_serving()
    return other


def test_two_processes_stay_within_the_limits_of_one(tmp_path: Path) -> None:
    harness = ProxyHarness(caches=3, sockets=256).with_high_limits()
    clients = [harness.client() for _ in range(120)]
    for client in clients:
        client.feed(resp.encode_command([b"PING"]))
    harness.proxy.clients.close_excess_idle = lambda: None
    busy = clients[:30]
    for number, client in enumerate(busy):
        client.feed(encode_request(key=number))
    upstreams = [harness.connect_upstream(number) for number in range(len(harness.loop.connect_requests))]
    assert harness.proxy.upstreams.connection_count() == 30
    other = add_serving_process(tmp_path, harness)
    harness.proxy.adjust_to_processes()
    max_connections = 256 // 2 - RESERVED_DESCRIPTORS
    assert (
        len(harness.proxy.clients.connections) + harness.proxy.upstreams.connection_count() <= max_connections
    )
    assert all(client.open for client in busy)  # idle connections are closed, the longest idle first
    assert harness.proxy.router.policy.settings.process_count == 2
    for upstream in upstreams:
        upstream.feed(encode_reply())
    assert all(client.sent.endswith(b"$5\r\nfresh\r\n") for client in busy)
    assert (
        harness.proxy.clients.memory.read_ahead_bytes < ProxyHarness().proxy.clients.memory.read_ahead_bytes
    )
    other.release()
    harness.proxy.adjust_to_processes()
    assert (
        harness.proxy.clients.max_connections == 256 - RESERVED_DESCRIPTORS
        and harness.proxy.router.policy.settings.process_count == 1
    )


def test_cold_cache_gets_as_many_requests_from_two_processes_as_from_one() -> None:
    """The new process does not know what the old one sends: each uses half of the proxy's share."""
    admitted = {}
    for process_count in (1, 2):
        harness = ProxyHarness(caches=2).with_high_limits()
        policy = harness.proxy.router.policy
        harness.push_endpoint_list(
            endpoint("c1") | {"since_ms": harness.proxy.now_ms()}, endpoint("c3") | {"since_ms": 1}
        )
        harness.proxy.router.set_process_count(process_count)
        cold_cache = policy.endpoints.caches["c1"]
        cold_cache.warming_requests = type(
            "FakeRequestCounter", (), {"add": lambda *_: None, "count": lambda *_: 0.0}
        )()
        policy.key_counts.counts[0][7] = 10
        admitted[process_count] = sum(
            policy.slow_start.admits(harness.proxy.now_ms(), 7, cold_cache, policy.random_generator)
            for _ in range(20_000)
        )
    assert admitted[1] > 200 and 0.4 < admitted[2] / admitted[1] < 0.6


class FakeListener:
    """A listener with two pending connections when it closes."""

    def __init__(self, clients: ClientConnections) -> None:
        self.clients, self.calls, self.open = clients, [], True

    def close(self) -> None:
        self.calls.append("close")
        self.clients.add_client()
        self.clients.add_client()


def test_sigterm_hands_over_to_a_serving_process(tmp_path: Path) -> None:
    """Pending connections of the listener were reset, and idle ones were closed while requests arrived."""
    harness = ProxyHarness().with_high_limits()
    harness.proxy.upkeep()
    harness.proxy.listener = FakeListener(harness.proxy.clients)
    other = add_serving_process(tmp_path, harness)
    idle, busy, probe = harness.client(), harness.client(), harness.client()
    idle.feed(resp.encode_command([b"PING"]))
    busy.feed(encode_request())
    harness.sigterm()
    assert harness.proxy.listener.calls == ["close"]  # at once, with its pending connections
    probe.feed(resp.encode_command([b"PING"]))
    assert probe.sent == b"+PONG\r\n" and probe.eof_written  # the proxy's other process serves
    harness.connect_upstream().feed(encode_reply(b"last"))
    assert busy.sent == b"$4\r\nlast\r\n" and busy.eof_written
    # Idle connections stay open as long as the time before a kill allows: here deadlines are at most 2 s.
    harness.loop.advance(
        min(graceful_shutdown.REPLACED_IDLE_CLOSE_DELAY_S, 2.0 + graceful_shutdown.OVERDUE_CLOSE_DELAY_S)
        - 0.01
    )
    assert idle.open and not idle.eof_written and not harness.proxy.stopped.done()
    harness.loop.advance(0.5)
    assert not idle.open and harness.proxy.stopped.done()
    other.release()


def test_connections_are_accepted_after_sigterm_while_the_other_process_is_starting(tmp_path: Path) -> None:
    harness = ProxyHarness()
    harness.proxy.listener = FakeListener(harness.proxy.clients)
    harness.proxy.process_lock = ProcessLock("n0", str(tmp_path))
    ProcessLock("n0", str(tmp_path))
    harness.sigterm()
    assert not harness.proxy.listener.calls and harness.proxy.clients.rejects_ping
    harness.loop.advance(1.0)
    assert harness.proxy.listener.calls == ["close"]


def test_folder_that_was_removed_by_its_last_process_is_created_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    create_file, attempts = process_lock_module.mkstemp, []

    def fail_first(**arguments: str) -> tuple[int, str]:
        attempts.append(arguments)
        if len(attempts) == 1:
            raise FileNotFoundError(2, "no such folder")
        return create_file(**arguments)

    monkeypatch.setattr(process_lock_module, "mkstemp", fail_first)
    process_lock = ProcessLock("n0", str(tmp_path))
    assert len(attempts) == 2 and process_lock.descriptor >= 0 and not process_lock.failure_logged
