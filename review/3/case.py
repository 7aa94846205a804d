"""Many clients write values of 4 MiB within a second. The proxy has to stay under its limit of memory.

Clients and cache nodes are sound: a client writes its command at once and waits; a cache node answers a write after
one second, within the method's aim of 1.5 s. The platform kills a proxy that is over its limit; the script does so
once it is over by a quarter, so that how far it goes can be seen. Without the disruption the same clients write two
at a time.
"""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from rig import BROKEN, HELD, TROUBLE, Agent, Cache, Case, CouldNotRun, encode, node, reply, small_settings

CACHES = 12
CLIENTS = 32
AT_ONCE = CLIENTS if TROUBLE else 2
BETWEEN_S = 0.025  # between the beginnings of two writes
VALUE_BYTES = 4 << 20
WORK_S = 1.0
MEMORY_MB = 96
KILLED_AT_MB = 1.25 * MEMORY_MB


async def body(case: Case) -> int:
    record = case.record

    async def answer(command: list[bytes]) -> bytes:
        await asyncio.sleep(WORK_S)
        return reply(b"receipt-of-" + command[2])

    caches = [Cache(f"c{number}", record) for number in range(CACHES)]
    for cache in caches:
        await cache.start()
        cache.answer = answer
    discovery = await Agent([cache.entry() for cache in caches]).start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    proxy = case.proxy("n0", node("n0", discovery, small_settings(), limits=limits))
    await proxy.start()
    await proxy.wait_ready()
    record("ready with", round(proxy.memory_mb(), 1), "MB of", MEMORY_MB)
    value = os.urandom(VALUE_BYTES)
    room = asyncio.Semaphore(AT_ONCE)
    peak_mb = 0.0
    killed = False
    lost: list[int] = []

    async def platform() -> None:
        nonlocal peak_mb, killed
        was_over = False
        while True:
            peak_mb = max(peak_mb, proxy.memory_mb())
            if peak_mb > MEMORY_MB and not was_over:
                was_over = True
                record("the proxy is over its limit:", round(peak_mb, 1), "MB of", MEMORY_MB)
            if peak_mb > KILLED_AT_MB and not killed:
                killed = True
                record("the proxy has", round(peak_mb, 1), "MB of", MEMORY_MB, "and is killed")
                proxy.signal(signal.SIGKILL)
            await asyncio.sleep(0.01)

    async def client(number: int) -> None:
        await asyncio.sleep(number * BETWEEN_S)
        async with room:
            if killed:
                return
            with contextlib.suppress(ConnectionRefusedError):
                await write(number)

    async def write(number: int) -> None:
        reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
        names = b"c=put,t=acme,d=3000,k=%x" % (5000 + number)
        writer.write(encode(b"C.SET", b"%x" % (number + 1), b"%x" % (1000 + number), names, value))
        first = b""
        with contextlib.suppress(ConnectionError):
            await writer.drain()
            first = await reader.readline()
        record("client", number, "got", first or "no answer: its connection has ended")
        if not first:
            lost.append(number)
        writer.close()

    watching = asyncio.create_task(platform())
    await asyncio.gather(*map(client, range(CLIENTS)))
    watching.cancel()
    record("peak:", round(peak_mb, 1), "MB of", MEMORY_MB, "- clients left without an answer:", len(lost))
    if proxy.exited and not killed:
        raise CouldNotRun("the proxy has ended by itself")
    return BROKEN if peak_mb > MEMORY_MB else HELD


Case(__file__).run(body)
