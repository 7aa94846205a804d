"""Requests at cache nodes that read long commands slowly get their final answer in time: real processes."""

import asyncio
import time
from pathlib import Path

import pytest
from process_harness import CacheNode, Deployment, ProxyProcess, request, run_deployment

SMALL_BUFFER = 4096
PATIENCE_MS = 1200
SLACK_S = 0.1  # 50 ms of the protocol's slack, and as much for this process's own lag
CLIENTS = 12
CROWD = 250
BURST_BYTES = 16_384
READING_RATES = {"20 kB a second": 20_000, "200 kB a second": 200_000}


def read_slowly(node: CacheNode, bytes_per_s: float) -> None:
    """Lets a node read in bursts, with pauses between them."""
    serve = node.serve

    async def serve_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        slow_reader = asyncio.StreamReader(limit=1 << 16)

        async def carry() -> None:
            while data := await reader.read(BURST_BYTES):
                slow_reader.feed_data(data)
                await asyncio.sleep(len(data) / bytes_per_s)
            slow_reader.feed_eof()

        task = asyncio.ensure_future(carry())
        await serve(slow_reader, writer)
        task.cancel()

    node.serve = serve_slowly


async def write(proxy: ProxyProcess, method: str, size: int) -> tuple[bytes, float]:
    """Sends a write; returns the first line of its answer, and when that came after the last byte (s)."""
    reader, writer = await proxy.connect()
    writer.write(request(method, patience_ms=PATIENCE_MS, value=bytes(size)))
    await writer.drain()
    sent_at = time.monotonic()
    line = await reader.readline()
    took_s = time.monotonic() - sent_at
    writer.close()
    return line, took_s


async def stay(proxy: ProxyProcess) -> None:
    """Sends half of a command and stays."""
    _, writer = await proxy.connect()
    writer.write(request("save", value=bytes(50_000))[:20_000])
    await asyncio.sleep(10.0)


@pytest.mark.parametrize("rate", READING_RATES)
@pytest.mark.parametrize("method", ["save", "order"])
@pytest.mark.parametrize(
    ("sockets", "memory_mb", "has_crowd"), [(1024, 192, False), (96, 32, False), (1024, 32, True)]
)
def test_write_to_nodes_that_read_slowly_is_answered_in_time(
    tmp_path: Path, rate: str, method: str, sockets: int, memory_mb: int, has_crowd: bool
) -> None:
    async def body(deployment: Deployment) -> None:
        for node in deployment.nodes:
            read_slowly(node, READING_RATES[rate])
            await node.start(receive_buffer=SMALL_BUFFER)
        proxy = await deployment.start(limits={"memory_mb": memory_mb, "sockets": sockets})
        crowd = [asyncio.ensure_future(stay(proxy)) for _ in range(CROWD if has_crowd else 0)]
        sizes = [60_000, 200_000, 600_000]
        results = await asyncio.gather(
            *(write(proxy, method, sizes[number % 3]) for number in range(CLIENTS))
        )
        for task in crowd:
            task.cancel()
        assert all(line.startswith((b"$", b"-")) for line, _ in results)
        assert max(took_s for _, took_s in results) <= PATIENCE_MS / 1000.0 + SLACK_S
        assert proxy.peak_memory_mb() <= memory_mb

    run_deployment(tmp_path, 4, body)
