"""No crowd of clients or cache nodes takes a process over its memory limit: real processes over loopback."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from process_harness import Deployment, ProxyProcess, reply, request, run_deployment

MEMORY_MB = 32  # the least that a configuration may name
SOCKETS = 1024
NODES = 10
CROWD_S = 4.0  # how long a crowd stays
SMALL_BUFFER = 4096  # of the kernel, for clients and nodes that read slowly
LONG_VALUE = 600_000

Client = Callable[[ProxyProcess], Awaitable[None]]


async def send(proxy: ProxyProcess, data: bytes, receive_buffer: int = 0) -> asyncio.StreamReader:
    """Sends as much as the proxy takes, and stays connected."""
    reader, writer = await proxy.connect(receive_buffer, read_ahead=SMALL_BUFFER)
    with contextlib.suppress(TimeoutError):
        writer.write(data)
        async with asyncio.timeout(CROWD_S):
            await writer.drain()
    return reader


async def say_nothing(proxy: ProxyProcess) -> None:
    await send(proxy, b"")


async def rest_after_a_ping(proxy: ProxyProcess) -> None:
    reader = await send(proxy, b"*1\r\n$4\r\nPING\r\n")
    await reader.readline()


async def send_nested_arrays(proxy: ProxyProcess) -> None:
    numbers = b"*32\r\n" + b":1\r\n" * 32
    await send(proxy, b"*32\r\n" + (b"*32\r\n" + (b"*32\r\n" + numbers * 32) * 32) * 31)


async def send_many_short_fields(proxy: ProxyProcess) -> None:
    await send(proxy, b"*32\r\n" + b"$1\r\nx\r\n" * 31)


async def send_many_long_fields(proxy: ProxyProcess) -> None:
    await send(proxy, b"*32\r\n" + (b"$60000\r\n" + b"x" * 60_000 + b"\r\n") * 30)


async def stop_in_a_short_value(proxy: ProxyProcess) -> None:
    await send(proxy, request("save", value=b"x" * 60_000)[:30_000])


async def stop_in_a_long_value(proxy: ProxyProcess) -> None:
    await send(proxy, request("save", value=b"x" * 100_000)[:60_000])


async def send_one_command(proxy: ProxyProcess) -> None:
    await send(proxy, request("save", value=b"x" * 60_000))


async def send_many_commands(proxy: ProxyProcess) -> None:
    await send(proxy, b"".join(request("save", value=b"x" * 60_000) for _ in range(16)))


async def send_many_small_reads(proxy: ProxyProcess) -> None:
    await send(proxy, b"".join(request(key=key) for key in range(64)), SMALL_BUFFER)


async def read_slowly(proxy: ProxyProcess) -> None:
    reader = await send(proxy, b"".join(request(key=key) for key in range(4)), SMALL_BUFFER)
    while await reader.read(2048):
        await asyncio.sleep(0.1)


async def leave_at_once(proxy: ProxyProcess) -> None:
    _, writer = await proxy.connect()
    writer.write(b"".join(request("save") for _ in range(600)))
    await writer.drain()
    writer.close()


CROWDS: dict[str, tuple[Client, int]] = {
    "connections that say nothing": (say_nothing, 900),
    "connections that rest": (rest_after_a_ping, 900),
    "nested arrays": (send_nested_arrays, 300),
    "many short fields": (send_many_short_fields, 600),
    "many long fields": (send_many_long_fields, 300),
    "half of a short value": (stop_in_a_short_value, 600),
    "half of a long value": (stop_in_a_long_value, 600),
    "one command each": (send_one_command, 600),
    "many commands each": (send_many_commands, 300),
    "many small reads each": (send_many_small_reads, 300),
    "slow readers": (read_slowly, 300),
    "clients that leave at once": (leave_at_once, 300),
}


def run_crowds(folder: Path, crowds: list[tuple[Client, int]], value_size: int) -> None:
    """Runs crowds beside a client that asks on, and checks the process's memory and that client's answers."""

    async def body(deployment: Deployment) -> None:
        async def answer(command: list[bytes], writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.05)
            is_usual = command[1] == b"%016x" % USUAL_KEY
            writer.write(reply(b"v" * (10 if is_usual else value_size)))
            await writer.drain()

        for node in deployment.nodes:
            node.answer = answer
            await node.start(receive_buffer=SMALL_BUFFER)
        proxy = await deployment.start(limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS})
        tasks = [asyncio.ensure_future(client(proxy)) for client, number in crowds for _ in range(number)]
        await asyncio.sleep(CROWD_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert proxy.is_running, proxy.log_path.read_text()
        peak_mb = proxy.peak_memory_mb()
        reader, writer = await proxy.connect()
        writer.write(request(key=USUAL_KEY))
        line = await reader.readline()
        assert line == b"$10\r\n"
        assert peak_mb <= MEMORY_MB

    run_deployment(folder, NODES, body)


USUAL_KEY = 0xFFFF


@pytest.mark.parametrize("name", CROWDS)
def test_crowd_keeps_the_process_within_its_memory(tmp_path: Path, name: str) -> None:
    run_crowds(tmp_path, [CROWDS[name]], LONG_VALUE if name == "slow readers" else 60_000)


def test_all_crowds_at_once_keep_the_process_within_its_memory(tmp_path: Path) -> None:
    run_crowds(tmp_path, [(client, number // 4) for client, number in CROWDS.values()], 60_000)


def test_proxy_loads_no_openssl(tmp_path: Path) -> None:
    async def body(deployment: Deployment) -> None:
        proxy = await deployment.start()
        mapped = Path(f"/proc/{proxy.process.pid}/maps").read_text()
        assert "libssl" not in mapped
        assert "libcrypto" not in mapped

    run_deployment(tmp_path, 1, body)
