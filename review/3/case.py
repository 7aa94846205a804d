"""Many clients write values of 1 MiB at once, in pieces of 64 KiB. Each has to get its final answer in time.

Clients and cache nodes are sound: a client writes its command in half a second, keeps its connection and waits; a
cache node answers after 5 ms. An answer is owed `d` and half a second after the command's last byte was written.
Without the disruption the same clients write six at a time.
"""

import asyncio
import os
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from rig import BROKEN, HELD, TROUBLE, Agent, Cache, Case, CouldNotRun, encode, node, small_settings

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
CACHES = 6
CLIENTS = 48
AT_ONCE = CLIENTS if TROUBLE else 6
VALUE_BYTES = 1 << 20
PIECE_BYTES = 1 << 16
PIECE_PAUSE_S = 0.03
WAIT_MS = 3000  # d
DUE_S = WAIT_MS / 1000.0 + 0.5
PATIENCE_S = 8.0  # for which a client is looked at, from the last byte on; to write has as long


async def body(case: Case) -> int:
    record = case.record
    caches = [Cache(f"c{number}", record) for number in range(CACHES)]
    for cache in caches:
        await cache.start()
    discovery = await Agent([cache.entry() for cache in caches]).start()
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": 1024}
    proxy = case.proxy("n0", node("n0", discovery, small_settings(), limits=limits))
    await proxy.start()
    await proxy.wait_ready()
    loop = asyncio.get_running_loop()
    value = os.urandom(VALUE_BYTES)
    room = asyncio.Semaphore(AT_ONCE)
    lost: list[int] = []
    answered: list[int] = []

    async def client(number: int) -> None:
        async with room:
            await write(number)

    async def write(number: int) -> None:
        raw_socket = socket.socket()
        raw_socket.setblocking(False)
        await loop.sock_connect(raw_socket, (proxy.host, proxy.port))
        request_id = b"%x" % (1000 + number)
        record("client", number, "begins to write", request_id, len(value), "bytes", f"d={WAIT_MS}")
        names = b"c=put,t=acme,d=%d,k=%x" % (WAIT_MS, 5000 + number)
        data = encode(b"C.SET", b"%x" % (number + 1), request_id, names, value)
        try:
            async with asyncio.timeout(PATIENCE_S):
                for begin in range(0, len(data), PIECE_BYTES):
                    await loop.sock_sendall(raw_socket, data[begin : begin + PIECE_BYTES])
                    await asyncio.sleep(PIECE_PAUSE_S)
        except (OSError, TimeoutError) as error:  # its last byte was not written: it was not taken
            record("client", number, "could not write the last byte of", request_id, repr(error))
            raw_socket.close()
            return
        written_at = time.monotonic()
        record("client", number, "has written the last byte of", request_id)
        try:
            async with asyncio.timeout(PATIENCE_S):
                answer = await loop.sock_recv(raw_socket, 4096)
        except TimeoutError:
            answer = None
        except OSError as error:
            answer = repr(error).encode()
        after_s = time.monotonic() - written_at
        what = (
            f"no answer for {after_s:.1f} s" if answer is None else f"{answer[:40]!r} after {after_s:.3f} s"
        )
        record("client", number, "got for", request_id, what)
        in_time = answer is not None and answer[:1] in (b"$", b"*", b"-") and after_s <= DUE_S
        (answered if in_time else lost).append(number)
        raw_socket.close()

    await asyncio.gather(*map(client, range(CLIENTS)))
    record(
        "written whole:", len(lost) + len(answered), "answered in time:", len(answered), "lost:", len(lost)
    )
    if proxy.exited or not lost + answered:
        raise CouldNotRun("the proxy has ended, or no command was written whole")
    return BROKEN if lost else HELD


Case(RECORD).run(body)
