"""The process measures its own memory, and its log says why connections and the process end."""

import logging
import subprocess
import sys

import pytest
from helpers import FakeTransport, ProxyHarness, encode_request

from calicofall.proxy import process_memory
from calicofall.proxy.close_cause import CloseCause
from calicofall.proxy.discovery_watch import Watch

MEBIBYTE = process_memory.MEBIBYTE


def test_memory_near_its_limit_is_logged_once_in_an_interval(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    harness = ProxyHarness()
    memory = harness.proxy.process_memory
    monkeypatch.setattr(process_memory, "resident_bytes", lambda: 180 * MEBIBYTE)
    monkeypatch.setattr(logging.getLogger("calicofall"), "propagate", True)
    with caplog.at_level(logging.WARNING, "calicofall"):
        memory.check()
        memory.check()
        harness.loop.advance(process_memory.LOG_INTERVAL_S)
        memory.check()
    lines = [record for record in caplog.records if record.message == "memory near its limit"]
    assert [(line.resident_mb, line.limit_mb, line.clients) for line in lines] == [(180.0, 192, 0)] * 2


def test_resident_memory_is_that_of_this_process() -> None:
    """In a process of its own: one that has freed memory may not grow."""
    program = (
        "from calicofall.proxy.process_memory import resident_bytes\n"
        "before = resident_bytes()\n"
        "held = bytearray(b'x') * (32 << 20)\n"
        "print(resident_bytes() - before, len(held))\n"
    )
    output = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True).stdout
    grown, held = map(int, output.split())
    assert held == 32 * MEBIBYTE
    assert 24 * MEBIBYTE < grown < 48 * MEBIBYTE


def test_ends_of_connections_are_counted_by_their_first_cause() -> None:
    harness = ProxyHarness()
    quitting, leaving = harness.client(), harness.client()
    leaving.stream.eof_received()
    quitting.feed(b"*1\r\n$4\r\nQUIT\r\n")
    quitting.receive_eof()
    assert harness.proxy.metrics.client_closes[CloseCause.PEER_CLOSED] == 1
    assert harness.proxy.metrics.client_closes[CloseCause.QUIT] == 1
    client = harness.client()
    client.feed(encode_request())
    upstream = harness.connect_upstream()
    upstream.feed(b"nonsense\r\n")
    assert harness.proxy.metrics.upstream_closes[CloseCause.MALFORMED_REPLY] == 1


def test_watch_that_its_service_closes_is_not_logged_with_its_status_line() -> None:
    harness = ProxyHarness()
    watch = Watch(harness.proxy.discovery)
    transport = FakeTransport(watch)
    transport.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    watch.eof_received()
    assert watch.close_reason == "the peer closed the connection"
    refused = Watch(harness.proxy.discovery)
    FakeTransport(refused).feed(b"HTTP/1.1 503 Busy\r\n\r\n")
    assert refused.close_reason == "answered b'HTTP/1.1 503 Busy'"


def test_program_that_does_not_fit_into_its_limit_is_an_error_that_says_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    memory = ProxyHarness().proxy.process_memory
    monkeypatch.setattr(process_memory, "resident_bytes", lambda: 191 * MEBIBYTE)
    memory.require_room()
    monkeypatch.setattr(process_memory, "resident_bytes", lambda: 200 * MEBIBYTE)
    with pytest.raises(
        process_memory.MemoryLimitError, match=r"200\.0 MB without a client, and may have 192"
    ):
        memory.require_room()
