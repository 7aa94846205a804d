"""A reply whose bytes pause is awaited, one that never ends is had elsewhere: real processes."""

import asyncio
import time
from pathlib import Path

import pytest
from process_harness import Deployment, reply, request, run_deployment

PATIENCE_MS = 2000
PAUSE_S = 0.9
REQUESTS = 5


async def read_value(reader: asyncio.StreamReader) -> bytes:
    """Returns the value of an answer, or the line of another answer."""
    line = await reader.readline()
    if not line.startswith(b"$") or line == b"$-1\r\n":
        return line
    return (await reader.readexactly(int(line[1:]) + 2))[:-2]


def value_of(request_id: bytes, size: int) -> bytes:
    return (b"of " + request_id).ljust(size, b".")


@pytest.mark.parametrize("size", [30, 10_000, 60_000, 217_007])
@pytest.mark.parametrize(
    "place", ["after the head", "within the value", "before the last two bytes", "in pieces"]
)
def test_reply_whose_bytes_pause_is_served_within_its_time(tmp_path: Path, size: int, place: str) -> None:
    async def body(deployment: Deployment) -> None:
        async def answer(command: list[bytes], writer: asyncio.StreamWriter) -> None:
            data = reply(value_of(command[2], size))
            head = data.index(b"\r\n", 4) + 2
            end = head + size + 2
            cuts = {
                "after the head": [head],
                "within the value": [head + size // 3],
                "before the last two bytes": [end - 2],
                "in pieces": [2, head - 2, head + 1, head + size // 2],
            }[place]
            for begin, cut in zip([0, *cuts], [*cuts, len(data)], strict=True):
                writer.write(data[begin:cut])
                await writer.drain()
                if cut < len(data):
                    await asyncio.sleep(PAUSE_S / len(cuts))

        for node in deployment.nodes:
            node.answer = answer
        proxy = await deployment.start()

        async def ask() -> tuple[bool, float]:
            reader, writer = await proxy.connect(read_ahead=1 << 20)
            command = request(patience_ms=PATIENCE_MS)
            request_id = command.split(b"\r\n")[6]
            begun_at = time.monotonic()
            writer.write(command)
            value = await read_value(reader)
            return value == value_of(request_id, size), time.monotonic() - begun_at

        results = await asyncio.gather(*(ask() for _ in range(REQUESTS)))
        assert [is_served for is_served, _ in results] == [True] * REQUESTS
        assert max(took_s for _, took_s in results) < PATIENCE_MS / 1000.0

    run_deployment(tmp_path, 4, body)


@pytest.mark.parametrize(("size", "part"), [(30, 10), (30, 35), (60_000, 40_000), (217_007, 13)])
def test_reply_that_never_ends_is_had_from_another_cache_in_time(
    tmp_path: Path, size: int, part: int
) -> None:
    """The first reply to each request stops for good: in its head, behind it, or within its value."""

    async def body(deployment: Deployment) -> None:
        begun: set[bytes] = set()

        async def answer(command: list[bytes], writer: asyncio.StreamWriter) -> None:
            data = reply(value_of(command[2], size))
            is_first = command[2] not in begun
            begun.add(command[2])
            writer.write(data[:part] if is_first else data)
            await writer.drain()
            if is_first:
                await asyncio.sleep(2 * PATIENCE_MS / 1000.0)

        for node in deployment.nodes:
            node.answer = answer
        proxy = await deployment.start()

        async def ask() -> tuple[bool, float]:
            reader, writer = await proxy.connect(read_ahead=1 << 20)
            command = request(patience_ms=PATIENCE_MS)
            begun_at = time.monotonic()
            writer.write(command)
            value = await read_value(reader)
            return value == value_of(command.split(b"\r\n")[6], size), time.monotonic() - begun_at

        results = await asyncio.gather(*(ask() for _ in range(REQUESTS)))
        assert [is_served for is_served, _ in results] == [True] * REQUESTS
        assert max(took_s for _, took_s in results) < PATIENCE_MS / 1000.0

    run_deployment(tmp_path, 4, body)
