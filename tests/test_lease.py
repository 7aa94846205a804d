"""Leases: how processes of one proxy know of each other, and what both together may take."""

import fcntl
import os
from pathlib import Path

import pytest
from helpers import ProxyHarness, encode_reply, encode_request, endpoint

from calicofall.proxy import graceful_shutdown, resp
from calicofall.proxy import process_lock as leases
from calicofall.proxy.clients import ClientConnections
from calicofall.proxy.process_lock import ProcessLock
from calicofall.proxy.server import RESERVED_DESCRIPTORS


def test_processes_of_one_proxy_know_of_each_other_and_who_serves(tmp_path: Path) -> None:
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


def test_what_a_killed_process_left_behind_means_nothing_and_goes(tmp_path: Path) -> None:
    """A file alone would have kept the next process to half of its limits for good."""
    lease = ProcessLock("n0", str(tmp_path))
    left = Path(lease.folder) / "dead"
    left.write_bytes(leases.SERVING_STATE)
    assert not lease.refresh() and not left.exists() and os.listdir(lease.folder) == [Path(lease.path).name]


def test_a_file_taken_for_nobodys_before_it_was_locked_is_made_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    make, made = leases.mkstemp, []

    def robbed(**where: str) -> tuple[int, str]:
        made.append(make(**where))
        if len(made) == 1:
            os.unlink(made[0][1])
        return made[-1]

    monkeypatch.setattr(leases, "mkstemp", robbed)
    lease, other = ProcessLock("n0", str(tmp_path)), ProcessLock("n0", str(tmp_path))
    assert len(made) == 3 and other.refresh() and other.other_process_count == 1 and lease.path == made[1][1]


def test_without_a_folder_or_a_lock_the_sharing_alone_is_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    missing = ProcessLock("n0", str(tmp_path / "missing"))
    assert not missing.refresh() and not missing.refresh() and missing.other_process_count == 0
    missing.mark_serving()
    missing.release()
    assert [record.message for record in caplog.records] == ["no lease"]  # once

    def refused(_file: int, _how: int) -> None:
        raise OSError(37, "no locks available")

    monkeypatch.setattr(fcntl, "flock", refused)
    lease = ProcessLock("n0", str(tmp_path))
    assert not lease.refresh() and lease.descriptor == -1 and not list(tmp_path.iterdir())


def test_a_full_folder_leaves_a_process_that_serves(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    lease = ProcessLock("n0", str(tmp_path))

    def full(_file: int, _data: bytes, _at: int) -> None:
        raise OSError(28, "no space left")

    monkeypatch.setattr(os, "pwrite", full)
    lease.mark_serving()
    other = ProcessLock("n0", str(tmp_path))
    assert (
        other.descriptor == -1
        and other.refresh()
        and (other.other_process_count, other.serving_process_count) == (1, 0)
    )
    lease.release()
    assert not list(tmp_path.iterdir())


def pair(tmp_path: Path, harness: ProxyHarness) -> ProcessLock:
    harness.proxy.process_lock = ProcessLock("n0", str(tmp_path))
    other = ProcessLock("n0", str(tmp_path))
    other.mark_serving()
    return other


def test_two_processes_keep_to_the_limits_of_one(tmp_path: Path) -> None:
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
    other = pair(tmp_path, harness)
    harness.proxy.adjust_to_processes()
    most = 256 // 2 - RESERVED_DESCRIPTORS
    assert len(harness.proxy.clients.connections) + harness.proxy.upstreams.connection_count() <= most
    assert all(client.open for client in busy)  # what rests goes, the longest first
    assert harness.proxy.router.policy.settings.process_count == 2
    for upstream in upstreams:
        upstream.feed(encode_reply())
    assert all(client.sent.endswith(b"$5\r\nfresh\r\n") for client in busy)
    assert harness.proxy.clients.read_ahead_bytes < ProxyHarness().proxy.clients.read_ahead_bytes
    other.release()
    harness.proxy.adjust_to_processes()
    assert (
        harness.proxy.clients.max_connections == 256 - RESERVED_DESCRIPTORS
        and harness.proxy.router.policy.settings.process_count == 1
    )


def test_a_cold_cache_gets_from_two_processes_what_it_gets_from_one() -> None:
    """The new process knows nothing of what the old one sends: each takes half of the part."""
    sent = {}
    for parts in (1, 2):
        harness = ProxyHarness(caches=2).with_high_limits()
        policy = harness.proxy.router.policy
        harness.push_endpoint_list(
            endpoint("c1") | {"since_ms": harness.proxy.now_ms()}, endpoint("c3") | {"since_ms": 1}
        )
        harness.proxy.router.set_process_count(parts)
        cold = policy.endpoints.caches["c1"]
        cold.warming_requests = type("Wishes", (), {"add": lambda *_: None, "count": lambda *_: 0.0})()
        policy.key_counts.counts[0][7] = 10
        sent[parts] = sum(
            policy.slow_start.admits(harness.proxy.now_ms(), 7, cold, policy.random_generator)
            for _ in range(20_000)
        )
    assert sent[1] > 200 and 0.4 < sent[2] / sent[1] < 0.6


class Door:
    """A listener that holds two connections when it closes."""

    def __init__(self, clients: ClientConnections) -> None:
        self.clients, self.steps, self.open = clients, [], True

    def close(self) -> None:
        self.steps.append("close")
        self.clients.add_client()
        self.clients.add_client()


def test_sigterm_hands_over_to_a_process_that_serves(tmp_path: Path) -> None:
    """Connections that the listener held were reset, and each resting one was closed while requests came."""
    harness = ProxyHarness().with_high_limits()
    harness.proxy.upkeep()
    harness.proxy.listener = Door(harness.proxy.clients)
    other = pair(tmp_path, harness)
    resting, busy, probe = harness.client(), harness.client(), harness.client()
    resting.feed(resp.encode_command([b"PING"]))
    busy.feed(encode_request())
    harness.sigterm()
    assert harness.proxy.listener.steps == [
        "close"
    ]  # in the same turn, with all that it held (test_endings.py)
    probe.feed(resp.encode_command([b"PING"]))
    assert probe.sent == b"+PONG\r\n" and probe.eof_written  # this proxy goes on: its other process serves
    harness.connect_upstream().feed(encode_reply(b"last"))
    assert busy.sent == b"$4\r\nlast\r\n" and busy.eof_written
    # They rest as long as they may, within what is left before a kill: deadlines are 2 s at most here.
    harness.loop.advance(
        min(graceful_shutdown.REPLACED_IDLE_CLOSE_DELAY_S, 2.0 + graceful_shutdown.OVERDUE_CLOSE_DELAY_S)
        - 0.01
    )
    assert resting.open and not resting.eof_written and not harness.proxy.stopped.done()
    harness.loop.advance(0.5)
    assert not resting.open and harness.proxy.stopped.done()
    other.release()


def test_sigterm_goes_on_taking_connections_while_the_other_process_only_starts(tmp_path: Path) -> None:
    harness = ProxyHarness()
    harness.proxy.listener = Door(harness.proxy.clients)
    harness.proxy.process_lock = ProcessLock("n0", str(tmp_path))
    ProcessLock("n0", str(tmp_path))
    harness.sigterm()
    assert not harness.proxy.listener.steps and harness.proxy.clients.rejects_ping
    harness.loop.advance(1.0)
    assert harness.proxy.listener.steps == ["close"]


def test_a_folder_that_went_with_its_last_process_is_made_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    make, tries = leases.mkstemp, []

    def gone(**where: str) -> tuple[int, str]:
        tries.append(where)
        if len(tries) == 1:
            raise FileNotFoundError(2, "no such folder")
        return make(**where)

    monkeypatch.setattr(leases, "mkstemp", gone)
    lease = ProcessLock("n0", str(tmp_path))
    assert len(tries) == 2 and lease.descriptor >= 0 and not lease.failure_logged
