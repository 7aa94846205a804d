"""Clients that ask for several long values at once and leave: does the proxy go on serving the others?

The settings allow no cancelling. With the disruption, for 40 s some clients send eight reads of long values at once and close
their connection when the first bytes come. Without it the same clients read all their answers. Usual clients ask for
short values all the time. Cache nodes reset a connection that takes no byte of an answer for 5 s.
"""

import asyncio
import os
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))
from standins import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Agent, Answers, CannotRunError, Proxy, encode_command, encode_reply, main, method, read_command,
    settings,
)  # fmt: skip

NODES = 6
SERVICE_S = 0.005
LONG_BYTES = 1_000_000
AT_ONCE = 8
PAUSE_S = 0.2  # between two of the clients that leave
TROUBLE_S = 40.0
JUDGED_S = 20.0  # after the last of them has left, and 5 s more
REJECTS_ALL_S = 4.0
REJECTS_ALL_REQUESTS = 15
chance = random.Random()


def value_of(key):
    return (b"long-" if key.startswith(b"1") else b"short-") + key


class Node:
    def __init__(self, name, record):
        self.name, self.record, self.connections, self.commands, self.stuck = name, record, 0, [], 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while (parts := await read_command(reader)) is not None:
                self.commands.append(self.record.now())
                self.record.line(f"{self.name} {parts[0].decode()} id={parts[2].decode()} key={parts[1].decode()}")
                await asyncio.sleep(SERVICE_S)
                value = value_of(parts[1])
                writer.write(encode_reply(value.ljust(LONG_BYTES, b".") if value.startswith(b"long") else value))
                await asyncio.wait_for(writer.drain(), 5.0)
        except TimeoutError:
            self.stuck += 1
            self.record.line(f"{self.name} resets a connection that took no byte for 5 s")
            writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections -= 1
            writer.close()


async def play(record, proxies):
    nodes = [Node(f"s-{number}", record) for number in range(NODES)]
    agent = Agent(record)
    await agent.start()
    for number, node in enumerate(nodes):
        await node.start()
        agent.put(node.name, node.address, zone=("ikeja", "yaba")[number % 2])
    deployed = settings([method("item-view", "pure", 5000, 500, 1000, 5.0)], 2, cancel=False)
    proxy = Proxy(record, "n0", deployed, agent.address, agent.whole(), sockets=256, mgmt=True)
    proxies.append(proxy)
    await proxy.start()
    ended = []  # (when, kind) of the usual clients' requests
    stop = asyncio.Event()

    async def usual():
        reader = writer = None
        while not stop.is_set():
            if writer is None:
                reader, writer = await asyncio.open_connection(*proxy.address)
            request_id, key = os.urandom(8).hex(), f"0{chance.getrandbits(60):015x}"
            writer.write(encode_command("C.GET", key, request_id, "c=item-view,t=x,d=900"))
            kind, answer = await asyncio.wait_for(Answers(reader).read(), 10.0)
            if kind == "closed":
                writer.close()
                writer = None
                continue
            ended.append((record.now(), kind))
            record.line(f"client id={request_id} {kind} {answer[:40]!r}")
            await asyncio.sleep(0.1)
        if writer is not None:
            writer.close()

    async def several_at_once():
        try:
            reader, writer = await asyncio.open_connection(*proxy.address)
            ids = [os.urandom(8).hex() for _ in range(AT_ONCE)]
            writer.write(
                b"".join(
                    encode_command("C.GET", f"1{chance.getrandbits(60):015x}", one, "c=item-view,t=x,d=900") for one in ids
                )
            )
            if TROUBLE:
                await reader.readexactly(1)
                record.line(f"client of {AT_ONCE} reads at once, first id={ids[0]}, leaves")
                writer.transport.abort() if chance.random() < 0.5 else writer.close()
                return
            answers = Answers(reader)
            kinds = [(await asyncio.wait_for(answers.read(), 10.0))[0] for _ in ids]
            record.line(f"client of {AT_ONCE} reads at once, first id={ids[0]}: {kinds}")
            writer.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            record.line(f"client of {AT_ONCE} reads at once: {error!r}")

    users = [asyncio.create_task(usual()) for _ in range(4)]
    others = []
    ends_at = record.now() + TROUBLE_S
    while record.now() < ends_at:
        others.append(asyncio.create_task(several_at_once()))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*others)
    left_at = record.now()
    record.say(f"{left_at:.1f} s: the last of {len(others)} clients has left; connections {[n.connections for n in nodes]}")
    await asyncio.sleep(5.0 + JUDGED_S)
    stop.set()
    await asyncio.gather(*users)
    kinds = [kind for at, kind in ended if at >= left_at + 5.0]
    attempts = sum(at >= left_at + 5.0 for node in nodes for at in node.commands)
    before = [kind for at, kind in ended if at < 1.5]
    if not before or set(before) != {"value"}:
        raise CannotRunError(f"the proxy did not serve at the start: {before}")
    counted = [line for line in (await proxy.call("counters")).splitlines() if "sends" in line or "current" in line]
    record.say(
        f"from 5 s after that on, for {JUDGED_S:.0f} s: {len(kinds)} requests, of these served {kinds.count('value')}, "
        f"refused {kinds.count('busy')}, failed {kinds.count('error')}; commands that came to cache nodes {attempts}"
    )
    record.say(f"connections at cache nodes {[n.connections for n in nodes]}; {' '.join(counted)}")
    # The rule's own bounds: 15 requests or more, 4 s on end, all rejected, with no attempt in between.
    broken = len(kinds) >= REJECTS_ALL_REQUESTS and JUDGED_S >= REJECTS_ALL_S and "value" not in kinds and not attempts
    return BROKEN if broken else HELD


main(HERE, play)
