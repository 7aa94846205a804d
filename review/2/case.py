"""Cache nodes send one good answer in ten a second time, 4 ms late. No client may get another request's answer.

A cache node sends the second copy only if nothing else has reached it on that connection since: neither a whole
command nor a byte of one. Between proxy and cache nodes bytes take 1 ms in each direction, and one command in twenty is
turned away with -BUSY (queue full), with and without the disruption. Ten clients ask, each one request at a time:
half of it reads, half of it orders (`side_effect`). A value names the key and the request's id, a receipt the id. Also
checked, since it follows: no order runs twice, and none is served without having run.
"""

import asyncio
import contextlib
import random
import select
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from rig import BROKEN, HELD, TROUBLE, Cache, Agent, Case, CouldNotRun, Link, encode, node, small_settings

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
CACHES = 4
CLIENTS = 10
REQUESTS = 150  # of each client
PAUSE_S = 0.033  # of a client between two requests, in the mean
LINK_S = 0.001
COPIES = 0.1  # share of the answers that are sent twice
LATE_S = 0.004  # the second copy after the first
TURNED_AWAY = 0.05  # share of the commands
generator = random.Random(3)
runs: dict[bytes, int] = {}  # of orders, by the request's id


class RepeatingCache(Cache):
    """A cache node that sends some of its answers a second time when nothing else waits on the connection."""

    copies = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        commands = 0
        raw_socket = writer.get_extra_info("socket")

        async def repeat(number: int, answer: bytes) -> None:
            await asyncio.sleep(LATE_S)
            nothing_unread = not select.select([raw_socket.fileno()], [], [], 0)[0]
            if commands == number and nothing_unread and not writer.is_closing():
                RepeatingCache.copies += 1
                self.record(self.name, "sends a second copy of", answer[:40])
                writer.write(answer)

        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first = await reader.readexactly(1)
                commands += 1  # from its first byte on something else waits here
                count = int((first + await reader.readuntil(b"\r\n"))[1:])
                command = []
                for _ in range(count):
                    length = int((await reader.readuntil(b"\r\n"))[1:])
                    command.append((await reader.readexactly(length + 2))[:-2])
                self.record(
                    self.name, "begins", command[0].decode(), command[2].decode(), command[3].decode()
                )
                if generator.random() < TURNED_AWAY:
                    self.record(self.name, "turns away", command[2])
                    writer.write(b"-BUSY\r\n")
                    await writer.drain()
                    continue
                answer = await self.answer(command)
                if command[0] == b"C.SET":
                    runs[command[2]] = runs.get(command[2], 0) + 1
                    self.record(self.name, "has run order", command[2])
                writer.write(answer)
                await writer.drain()
                if TROUBLE and generator.random() < COPIES:
                    asyncio.create_task(repeat(commands, answer))
        with contextlib.suppress(Exception):
            writer.close()


async def body(case: Case) -> int:
    record = case.record
    caches = [RepeatingCache(f"c{number}", record) for number in range(CACHES)]
    entries = []
    for cache in caches:
        await cache.start()
        entries.append(cache.entry() | {"address": await Link(cache.address, LINK_S).start()})
    discovery = await Agent(entries).start()
    settings = small_settings(balancers=3)
    settings["methods"] += [settings["methods"][1] | {"name": "order", "effect": "side_effect"}]
    proxy = case.proxy("n0", node("n0", discovery, settings))
    await proxy.start()
    await proxy.wait_ready()
    counts = {"asked": 0, "served": 0, "not served": 0, "foreign": 0}
    served_orders: set[bytes] = set()

    async def client(number: int) -> None:
        reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
        for turn in range(REQUESTS):
            key, request_id = b"%x" % generator.randrange(1, 20), b"%x" % (number * 10_000 + turn + 1)
            is_order = generator.random() < 0.5
            if is_order:
                writer.write(encode(b"C.SET", key, request_id, b"c=order,t=acme,d=1000", b"one"))
                wanted = b"receipt-of-" + request_id
            else:
                writer.write(encode(b"C.GET", key, request_id, b"c=read,t=acme,d=1000"))
                wanted = b"value-of-" + key + b"-for-" + request_id
            counts["asked"] += 1
            record("client", number, "has sent", request_id, "order" if is_order else "read", "d=1000")
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
    record(counts, "second copies:", RepeatingCache.copies)
    if counts["served"] < counts["asked"] / 10:
        raise CouldNotRun("hardly anything was served")
    return BROKEN if counts["foreign"] or twice or never else HELD


Case(RECORD).run(body)
