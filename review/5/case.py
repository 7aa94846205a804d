"""Deduped writes of some MB: is one of them applied twice?

Eight cache nodes. One of them is slow: it reads long commands at 4.6 MB a second, and its system keeps few bytes for it, so
that the proxy is still writing when the window ends (`sends` at the management address counts a command when its last
byte has left the proxy). Under a part of the orders that the others
have run, the connection is reset before the answer. All cache nodes together drop a repeat of a mark for the window that
the settings state, and for 50 ms more, counted from the end of the first run.
"""

import asyncio
import os
import random
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))
from standins import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Agent, Answers, CannotRunError, Proxy, encode_command, encode_reply, fields_of, main, method,
    read_command, settings,
)  # fmt: skip

WINDOW_S = 0.3
SLACK_S = 0.05
SERVICE_S = 0.01
SLOW_BYTES_PER_S = 4_600_000
RESET_SHARE = 0.5
VALUE_BYTES = 4_100_000
ORDERS = 190
NODES = 8
chance = random.Random()


class Fleet:
    """What the cache nodes share: which marks have run, when, and how often."""

    def __init__(self, record):
        self.record = record
        self.commands = 0  # whose last byte has come
        self.look = None  # called with a mark when its window is over
        self.runs = {}  # by mark: [(node, when the last byte came, when it had run)]

    def place(self, node, mark, came_at):
        """Runs an order, unless it repeats one within the window; returns whether it was run."""
        now = self.record.now()
        runs = self.runs.setdefault(mark, [])
        if runs and came_at < runs[-1][2] + WINDOW_S + SLACK_S:
            self.record.line(f"{node} mark={mark} dropped as a repeat")
            return False
        runs.append((node, came_at, now))
        self.record.line(f"{node} mark={mark} RUN (time {len(runs)})")
        return True


class Node:
    def __init__(self, name, fleet, slow):
        self.name, self.fleet, self.slow, self.record = name, fleet, slow, fleet.record

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.slow:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        listener.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=1 << 16)
        self.address = "127.0.0.1:%d" % listener.getsockname()[1]

    async def read(self, reader):
        """Reads a command; the slow node reads long ones at its rate."""
        head = await reader.readline()
        if not head:
            return None, 0.0
        began_at = self.record.now()
        parts = []
        for _ in range(int(head[1:])):
            left = int((await reader.readline())[1:]) + 2
            pieces = []
            while left:
                piece = await reader.read(min(left, 1 << 15))
                if not piece:
                    if len(parts) > 3:
                        self.record.line(f"{self.name} id={parts[2].decode()} ended before its last byte")
                    return None, 0.0
                pieces.append(piece)
                left -= len(piece)
                if self.slow and left > 1 << 15:
                    await asyncio.sleep(len(piece) / SLOW_BYTES_PER_S)
            parts.append(b"".join(pieces)[:-2])
        return parts, began_at

    async def serve(self, reader, writer):
        try:
            while True:
                parts, began_at = await self.read(reader)
                if parts is None:
                    return
                came_at = self.record.now()
                self.fleet.commands += 1
                if parts[0] == b"C.GET":
                    await asyncio.sleep(SERVICE_S)
                    writer.write(encode_reply(b"value-of-" + parts[1]))
                    continue
                fields = fields_of(parts[3])
                mark = fields["k"]
                self.record.line(
                    f"{self.name} id={parts[2].decode()} mark={mark} d={fields['d']} first byte {began_at:.4f} last byte came"
                )
                await asyncio.sleep(SERVICE_S)
                is_first = self.fleet.place(self.name, mark, came_at) and len(self.fleet.runs[mark]) == 1
                if TROUBLE and is_first and not self.slow and chance.random() < RESET_SHARE:
                    self.record.line(f"{self.name} mark={mark} connection reset under the request")
                    asyncio.get_running_loop().call_later(WINDOW_S + SLACK_S, self.fleet.look, mark)
                    writer.transport.abort()
                    return
                writer.write(encode_reply(b"receipt-" + parts[2]))
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


async def background_reads(record, proxy, stop):
    """Small reads, 40 a second."""
    async def one():
        try:
            reader, writer = await asyncio.open_connection(*proxy.address)
            answers = Answers(reader)
            while not stop.is_set():
                writer.write(encode_command("C.GET", f"{chance.getrandbits(60):016x}", os.urandom(8).hex(), "c=lot-read,t=x,d=900"))
                await answers.read()
                await asyncio.sleep(0.1)
            writer.close()
        except OSError:
            pass
    await asyncio.gather(*(one() for _ in range(4)))


async def play(record, proxies):
    fleet = Fleet(record)
    agent = Agent(record)
    await agent.start()
    for number in range(NODES):
        node = Node(f"s-{number}", fleet, slow=TROUBLE and number == 0)
        await node.start()
        agent.put(node.name, node.address, zone=("ikeja", "yaba")[number % 2])
    methods = [
        method("lot-read", "pure", 5000, 400, 1200, 3.0),
        method("place-bid", "token", WINDOW_S * 1000, 600, 1200, 8.0),
    ]
    proxy = Proxy(record, "n0", settings(methods), agent.address, agent.whole(), mgmt=True)
    proxies.append(proxy)

    async def look(mark):
        lines = dict(line.rpartition("|")[0].split(":") for line in (await proxy.call("counters")).split() if "|" in line)
        record.line(
            f"the window of mark={mark} is over: sends={lines['proxy.sends']}, commands that have come whole {fleet.commands}"
        )

    looks = []
    fleet.look = lambda mark: looks.append(asyncio.create_task(look(mark)))
    await proxy.start()
    stop = asyncio.Event()
    reads = asyncio.create_task(background_reads(record, proxy, stop))
    await asyncio.sleep(3.0)
    value = os.urandom(VALUE_BYTES)
    outcomes = {}

    async def order(number):
        request_id, mark, key = os.urandom(8).hex(), os.urandom(8).hex(), f"{chance.getrandbits(60):016x}"
        reader, writer = await asyncio.open_connection(*proxy.address)
        record.line(f"client order {number} id={request_id} mark={mark} key={key}")
        writer.write(encode_command("C.SET", key, request_id, f"c=place-bid,t=x,d=1150,k={mark}", value))
        kind, answer = await asyncio.wait_for(Answers(reader).read(), 10.0)
        record.line(f"client order {number} mark={mark} answered {kind} {answer[:40]!r}")
        outcomes[kind] = outcomes.get(kind, 0) + 1
        writer.close()

    orders = []
    for number in range(ORDERS):
        orders.append(asyncio.create_task(order(number)))
        await asyncio.sleep(0.35)
    await asyncio.gather(*orders)
    stop.set()
    await reads
    await asyncio.sleep(3.0)
    twice = {mark: runs for mark, runs in fleet.runs.items() if len(runs) > 1}
    if len(fleet.runs) < ORDERS // 2:
        raise CannotRunError(f"only {len(fleet.runs)} of {ORDERS} orders were run")
    record.say(f"orders: {outcomes}; run once {len(fleet.runs) - len(twice)}, run twice {len(twice)}")
    for mark, runs in twice.items():
        apart = runs[1][1] - runs[0][1]
        record.say(
            f"mark={mark} run at {runs[0][0]} and at {runs[1][0]}, last bytes {apart:.3f} s apart, window {WINDOW_S} s"
        )
    return BROKEN if twice else HELD


main(HERE / "record.txt", play)
