"""Cache nodes drop requests with very little time left without a word. No client may get another request's answer.

One request in twenty tells that its client waits 10 ms; work at a cache node takes 5 to 30 ms. A cache node drops such
a request: it sends nothing for it, and goes on with the others on that connection, which it answers in their order.
Without the disruption it answers them all, some too late. One command in twenty is turned away with -BUSY (queue full),
with and without the disruption. Connections at a cache node are scarce: the settings tell four, so that requests share
them. 24 clients ask, each one request at a time: half of it reads, half of it orders
(`side_effect`). A value names the key and the request's id, a receipt the id. Also checked, since it follows: no
order is served without having run, and none runs twice.
"""

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from rig import (
    BROKEN,
    HELD,
    TROUBLE,
    Agent,
    Cache,
    Case,
    CouldNotRun,
    encode,
    fields,
    node,
    read_command,
    reply,
    small_settings,
)

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
CACHES = 3
CONNECTIONS = 4  # that one cache node holds, as the settings tell
CLIENTS = 24
REQUESTS = 100  # of each client
PAUSE_S = 0.02  # of a client between two requests, in the mean
HURRIED = 0.05  # share of the requests that have very little time
HURRIED_MS = 10  # their `d`
WAIT_MS = 1000  # `d` of the others
WORK_S = (0.005, 0.03)
TURNED_AWAY = 0.05  # share of the commands
generator = random.Random(5)
runs: dict[bytes, int] = {}  # of orders, by the request's id


class HurriedCache(Cache):
    """A cache node that begins requests at once, answers them in order, and drops those in too much of a hurry."""

    drops = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue = asyncio.Queue()

        async def answer_in_order() -> None:
            while True:
                work = await queue.get()
                writer.write(await work)
                await writer.drain()

        answering = asyncio.create_task(answer_in_order())
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                command = await read_command(reader)
                if TROUBLE and int(fields(command)["d"]) <= HURRIED_MS:
                    HurriedCache.drops += 1
                    self.record(
                        self.name, "drops", command[0].decode(), command[2].decode(), command[3].decode()
                    )
                    continue
                self.record(
                    self.name, "begins", command[0].decode(), command[2].decode(), command[3].decode()
                )
                queue.put_nowait(asyncio.create_task(self.work(command)))
        answering.cancel()
        with contextlib.suppress(Exception):
            writer.close()

    async def work(self, command: list[bytes]) -> bytes:
        if generator.random() < TURNED_AWAY:
            self.record(self.name, "turns away", command[2])
            return b"-BUSY\r\n"
        if command[0] == b"C.SET":
            runs[command[2]] = runs.get(command[2], 0) + 1
            self.record(self.name, "has run order", command[2])
        await asyncio.sleep(generator.uniform(*WORK_S))
        if command[0] == b"C.SET":
            return reply(b"receipt-of-" + command[2])
        return reply(b"value-of-" + command[1] + b"-for-" + command[2], b"hit")


async def body(case: Case) -> int:
    record = case.record
    caches = [HurriedCache(f"c{number}", record) for number in range(CACHES)]
    for cache in caches:
        await cache.start()
    discovery = await Agent([cache.entry() for cache in caches]).start()
    settings = small_settings()
    settings["methods"] += [settings["methods"][1] | {"name": "order", "effect": "side_effect"}]
    content = node("n0", discovery, settings, start={"connections": CONNECTIONS})
    proxy = case.proxy("n0", content)
    await proxy.start()
    await proxy.wait_ready()
    counts = {"asked": 0, "served": 0, "not served": 0, "foreign": 0}
    served_orders: set[bytes] = set()

    async def client(number: int) -> None:
        reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
        for turn in range(REQUESTS):
            key, request_id = b"%x" % generator.randrange(1, 40), b"%x" % (number * 10_000 + turn + 1)
            wait_ms = HURRIED_MS if generator.random() < HURRIED else WAIT_MS
            is_order = generator.random() < 0.5
            if is_order:
                writer.write(encode(b"C.SET", key, request_id, b"c=order,t=acme,d=%d" % wait_ms, b"one"))
                wanted = b"receipt-of-" + request_id
            else:
                writer.write(encode(b"C.GET", key, request_id, b"c=read,t=acme,d=%d" % wait_ms))
                wanted = b"value-of-" + key + b"-for-" + request_id
            counts["asked"] += 1
            record("client", number, "has sent", request_id, "order" if is_order else "read", f"d={wait_ms}")
            answer = await reader.readline()
            if answer[:1] == b"$":
                value = (await reader.readexactly(int(answer[1:]) + 2))[:-2]
                if is_order:
                    served_orders.add(request_id)
                counts["served" if value == wanted else "foreign"] += 1
                record(
                    "client", number, "got", value, "for", request_id, "" if value == wanted else "- FOREIGN"
                )
            elif answer[:1] == b"-":
                counts["not served"] += 1
                record("client", number, "got", answer, "for", request_id)
            else:
                raise CouldNotRun(f"client {number} got {answer!r}")
            await asyncio.sleep(generator.expovariate(1.0 / PAUSE_S))
        writer.close()

    await asyncio.gather(*map(client, range(CLIENTS)))
    twice = [request_id for request_id, count in runs.items() if count > 1]
    never = [request_id for request_id in served_orders if request_id not in runs]
    record("orders run twice:", twice, "orders served that never ran:", never)
    record(counts, "dropped:", HurriedCache.drops)
    if counts["served"] < counts["asked"] / 10:
        raise CouldNotRun("hardly anything was served")
    return BROKEN if counts["foreign"] or twice or never else HELD


Case(RECORD).run(body)
