"""Many commands at once, and a long answer that breaks off: do the whole answers in front of it reach the client?

Clients send 73 reads at once: twelve of values of 50 kB, one of 400 kB, sixty of 100 bytes, and read what comes at 10 MB a
second. With the disruption, cache nodes reset the connection in the middle of half of the answers of 400 kB. Judged are the
twelve requests in front of such an answer, and of these only those that a cache node has answered whole: such an answer is
due before the one that broke, and has to come whole. The broken value and all requests behind it are not judged.
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
    BROKEN, HELD, TROUBLE, Agent, CannotRunError, Proxy, encode_command, encode_reply, main, method, read_command, settings,
)  # fmt: skip

NODES = 6
SERVICE_S = 0.004
IN_FRONT, BEHIND = 12, 60
MIDDLE_BYTES, LONG_BYTES, SMALL_BYTES = 50_000, 400_000, 100
BYTES_PER_S = 10_000_000
BREAK_SHARE = 0.5
BATCHES = 60
PAUSE_S = 0.5
chance = random.Random()


def value_of(key):
    size = {"1": MIDDLE_BYTES, "2": LONG_BYTES}.get(key[:1], SMALL_BYTES)
    return (key.encode() * (size // len(key) + 1))[:size]


class Node:
    def __init__(self, name, record, answered):
        self.name, self.record, self.answered, self.broken = name, record, answered, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (parts := await read_command(reader)) is not None:
                key, request_id = parts[1].decode(), parts[2].decode()
                await asyncio.sleep(SERVICE_S)
                reply = encode_reply(value_of(key))
                if TROUBLE and key.startswith("2") and chance.random() < BREAK_SHARE:
                    writer.write(reply[: LONG_BYTES // 2])
                    await writer.drain()
                    await asyncio.sleep(0.02)
                    self.broken += 1
                    self.record.line(f"{self.name} id={request_id} connection reset in the middle of the answer")
                    writer.transport.abort()
                    return
                writer.write(reply)
                await writer.drain()
                self.answered.add(request_id)
                self.record.line(f"{self.name} id={request_id} answered whole, {len(reply)} bytes")
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


def take_answers(data):
    """Returns the whole answers in what came, each (kind, value), and the length of the rest."""
    answers, at = [], 0
    while (end := data.find(b"\r\n", at)) >= 0:
        if data[at : at + 1] == b"$":
            last = end + 2 + int(data[at + 1 : end])
            if last + 2 > len(data):
                break
            answers.append(("value", data[end + 2 : last]))
            at = last + 2
        else:
            answers.append(("busy" if data[at : at + 5] == b"-BUSY" else "error", data[at:end]))
            at = end + 2
    return answers, len(data) - at


async def play(record, proxies):
    answered = set()  # ids of requests that a cache node has answered whole
    nodes = [Node(f"s-{number}", record, answered) for number in range(NODES)]
    agent = Agent(record)
    await agent.start()
    for number, node in enumerate(nodes):
        await node.start()
        agent.put(node.name, node.address, zone=("ikeja", "yaba")[number % 2])
    deployed = settings([method("item-view", "pure", 5000, 500, 3000, 5.0)], 2)
    proxy = Proxy(record, "n0", deployed, agent.address, agent.whole())
    proxies.append(proxy)
    await proxy.start()
    loop = asyncio.get_running_loop()
    total = {"batches": 0, "whole": 0, "ended": 0, "in front": 0, "lost": 0, "wrong": 0}

    async def batch():
        client = socket.socket()
        client.setblocking(False)
        await loop.sock_connect(client, proxy.address)
        kinds = "1" * IN_FRONT + "2" + "3" * BEHIND
        requests = [(os.urandom(8).hex(), f"{kind}{chance.getrandbits(60):015x}") for kind in kinds]
        record.line(f"client sends {len(requests)} commands at once, first id={requests[0][0]}, long id={requests[IN_FRONT][0]}")
        record.line(f"client ids in order: {' '.join(one for one, _ in requests)}")
        await loop.sock_sendall(
            client, b"".join(encode_command("C.GET", key, one, "c=item-view,t=x,d=2900") for one, key in requests)
        )
        data, end = b"", "by the client, as all had come"
        try:
            while len(take_answers(data)[0]) < len(requests):
                part = await asyncio.wait_for(loop.sock_recv(client, 1 << 16), 10.0)
                if not part:
                    end = "by the proxy"
                    break
                data += part
                await asyncio.sleep(len(part) / BYTES_PER_S)
        except OSError as error:
            end = f"by the proxy: {error.strerror}"
        except TimeoutError:
            end = "after 10 s without a byte"
        client.close()
        answers, rest = take_answers(data)
        total["batches"] += 1
        total["whole"] += len(answers) == len(requests)
        total["ended"] += len(answers) < len(requests)
        total["wrong"] += sum(
            kind == "value" and value != value_of(key) for (kind, value), (_, key) in zip(answers, requests, strict=False)
        )
        total["in front"] += IN_FRONT
        lost = [one for one, _ in requests[len(answers) : IN_FRONT] if one in answered]
        total["lost"] += len(lost)
        record.line(
            f"client first id={requests[0][0]}: {len(answers)} whole answers and {rest} bytes of the next, ended {end}; "
            f"answered whole by a cache node, in front of the long one, and not received: {lost}"
        )

    tasks = []
    for _ in range(BATCHES):
        tasks.append(asyncio.create_task(batch()))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)
    if not total["whole"]:
        raise CannotRunError(f"no batch was served: {total}")
    broken = sum(node.broken for node in nodes)
    record.say(f"batches {total['batches']}, served whole {total['whole']}, ended early {total['ended']}; answers broken {broken}")
    record.say(
        f"of {total['in front']} requests in front of a long one, answered whole by a cache node and lost: {total['lost']}; "
        f"wrong values {total['wrong']}"
    )
    return BROKEN if total["lost"] else HELD


main(HERE / "record.txt", play)
