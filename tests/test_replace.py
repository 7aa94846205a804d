"""Replaces the proxy process under load: real processes on loopback, with emulated caches and discovery.

The emulated servers do not use the program's own parsers. The assertions are on rules, not on times.
"""

import asyncio
import json
import os
import signal
import socket
import sys
from collections import Counter
from itertools import count
from pathlib import Path
from random import Random

from helpers import SETTINGS

REPLACEMENTS, CLIENTS, CACHES = 20, 12, 3
START_FAILURES = {3: "bad file", 6: "address taken", 9: "killed", 13: "no settings", 17: "mgmt is listen"}


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    parts = []
    for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts


class EmulatedServers:
    """Caches that answer each command with a value made from its id, and the discovery service."""

    def __init__(self) -> None:
        self.command_counts: Counter[bytes] = Counter()  # by request id
        self.write_counts: Counter[bytes] = Counter()  # of writes, by idempotency key
        self.servers: list[asyncio.Server] = []
        self.ports: list[int] = []

    async def open(self) -> int:
        for _ in range(CACHES):
            self.servers.append(await asyncio.start_server(self.serve_cache, "127.0.0.1", 0))
        self.servers.append(await asyncio.start_server(self.serve_discovery, "127.0.0.1", 0))
        self.ports = [server.sockets[0].getsockname()[1] for server in self.servers]
        return self.ports[-1]

    async def serve_cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                parts = await read_command(reader)
                self.command_counts[parts[2]] += 1
                if parts[0] == b"C.SET":
                    self.write_counts[parts[3].rpartition(b"k=")[2]] += 1
                await asyncio.sleep(0.01)
                writer.write(b"*3\r\n$%d\r\nof %b\r\n$3\r\nhit\r\n$-1\r\n" % (len(parts[2]) + 3, parts[2]))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            endpoint_list = {
                "index": 1,
                "snapshot": True,
                "endpoints": [
                    {
                        "name": f"c{number}",
                        "address": f"127.0.0.1:{port}",
                        "zone": "a",
                        "type": "box",
                        "group": 0,
                        "status": "SERVING",
                        "weight": 1.0,
                        "since_ms": 0,
                    }
                    for number, port in enumerate(self.ports[:-1])
                ],
            }
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(endpoint_list).encode() + b"\n"
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                line = b"\n"
                await asyncio.sleep(1.0)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Clients:
    """Clients that keep their connections, and note the ids of requests that a close left unanswered."""

    def __init__(self, port: int, servers: EmulatedServers) -> None:
        self.port, self.servers, self.request_ids, self.stopped = port, servers, count(1), False
        self.answers: Counter[str] = Counter()
        self.idempotency_keys: list[bytes] = []
        self.unanswered_ids: list[bytes] = []

    async def client(self, random_generator: Random) -> None:
        connection = None
        while not self.stopped:
            if connection is not None and connection[0].at_eof():  # closed between two requests
                connection[1].close()
                connection = None
            try:
                connection = connection or await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                self.answers["refused"] += 1
                await asyncio.sleep(0.02)
                continue
            request_id, key = b"%016x" % next(self.request_ids), b"%016x" % random_generator.randrange(50)
            parts = [b"C.GET", key, request_id, b"c=read,t=acme,d=2000"]
            if random_generator.random() < 0.3:
                parts = [b"C.SET", key, request_id, b"c=save,t=acme,d=2000,k=%b" % request_id, b"new"]
            data = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
            try:
                connection[1].write(data)
                line = await connection[0].readuntil(b"\r\n")
                if line[:1] == b"$":
                    value = (await connection[0].readexactly(int(line[1:]) + 2))[:-2]
                    self.answers["whole" if value == b"of " + request_id else "another's"] += 1
                    if b"k=" in data:
                        self.idempotency_keys.append(request_id)
                else:
                    self.answers[line.decode().split()[0]] += 1
            except asyncio.IncompleteReadError as error:
                self.answers["cut short" if error.partial else "closed"] += 1
                self.unanswered_ids.append(request_id)
                connection[1].close()
                connection = None
            except OSError:
                self.answers["closed"] += 1
                self.unanswered_ids.append(request_id)
                connection = None
            await asyncio.sleep(random_generator.uniform(0.0, 0.04))
        if connection is not None:
            connection[1].close()


async def call(port: int, name: bytes) -> str:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(name + b"\n")
        reply = (await asyncio.wait_for(reader.read(), 5.0)).decode()
        writer.close()
        return reply
    except OSError:
        return ""


class ProcessLauncher:
    """Starts processes of one proxy, each with a new mgmt address and otherwise the same configuration."""

    def __init__(self, folder: Path, listen_port: int, discovery_port: int) -> None:
        self.folder, self.listen_port, self.start_numbers = folder, listen_port, count()
        self.node = {
            "name": "n0",
            "listen": f"127.0.0.1:{listen_port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "1f",
            "limits": {"memory_mb": 128, "sockets": 512},
            "settings": SETTINGS,
        }
        self.used_socket = socket.create_server(("127.0.0.1", 0))
        self.log_files = [(folder / "log").open("wb")]

    async def start(self, failure: str | None = None) -> tuple[asyncio.subprocess.Process, int]:
        mgmt = free_port()
        if failure == "address taken":
            mgmt = self.used_socket.getsockname()[1]
        elif failure == "mgmt is listen":
            mgmt = self.listen_port
        path = self.folder / f"node{next(self.start_numbers)}.json"
        node = self.node | ({"settings": {}} if failure == "no settings" else {})
        path.write_text("{" if failure == "bad file" else json.dumps(node))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        environment |= {
            "PROXY_CONFIG": str(path),
            "PROXY_MGMT": f"127.0.0.1:{mgmt}",
            "TMPDIR": str(self.folder),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "calicofall", "serve", env=environment, stderr=self.log_files[0]
        )
        return process, mgmt

    @staticmethod
    async def wait_until_ready(mgmt: int) -> None:
        async with asyncio.timeout(20.0):
            while not (await call(mgmt, b"health")).startswith("+OK"):
                await asyncio.sleep(0.02)


async def replace_repeatedly(folder: Path) -> tuple[EmulatedServers, Clients, list[int], str]:
    emulated_servers = EmulatedServers()
    launcher = ProcessLauncher(folder, free_port(), await emulated_servers.open())
    clients, exit_codes, failed_exit_codes = Clients(launcher.listen_port, emulated_servers), [], []
    serving_process, mgmt = await launcher.start()
    await launcher.wait_until_ready(mgmt)
    client_tasks = [asyncio.create_task(clients.client(Random(seed))) for seed in range(CLIENTS)]
    for number in range(REPLACEMENTS):
        failure = START_FAILURES.get(number)
        new_process, new_mgmt = await launcher.start(failure)
        if failure is None:
            await launcher.wait_until_ready(new_mgmt)
            serving_process.send_signal(signal.SIGTERM)
            exit_codes.append(await asyncio.wait_for(serving_process.wait(), 20.0))
            serving_process, mgmt = new_process, new_mgmt
            continue
        if failure == "killed":
            await asyncio.sleep(0.1)
            new_process.kill()
        failed_exit_codes.append(await asyncio.wait_for(new_process.wait(), 20.0))
        assert failed_exit_codes[-1] != 0 and (await call(mgmt, b"health")).startswith("+OK")
    clients.stopped = True
    await asyncio.gather(*client_tasks)
    counters = await call(mgmt, b"counters")
    serving_process.send_signal(signal.SIGTERM)
    exit_codes.append(await asyncio.wait_for(serving_process.wait(), 20.0))
    for server in emulated_servers.servers:
        server.close()
    return emulated_servers, clients, exit_codes, counters


def test_twenty_replacements_under_load_lose_and_duplicate_no_request(tmp_path: Path) -> None:
    """Fifteen new processes take over; five fail at their start, and the present one continues to serve."""
    servers, clients, exit_codes, counters = asyncio.run(replace_repeatedly(tmp_path))
    assert exit_codes == [0] * (REPLACEMENTS - len(START_FAILURES) + 1)
    assert (
        clients.answers["whole"] > 500
        and not clients.answers["another's"]
        and not clients.answers["cut short"]
    )
    assert not clients.answers["-ERR"] and not clients.answers["refused"]
    # No cache has received them, so no accepted request was lost.
    assert all(servers.command_counts[request_id] == 0 for request_id in clients.unanswered_ids)
    assert len(clients.unanswered_ids) < CLIENTS * len(
        exit_codes
    )  # clients notice most closes before they send
    assert clients.idempotency_keys and all(
        servers.write_counts[key] == 1 for key in clients.idempotency_keys
    )
    assert "proxy.errored.read:0|c" in counters
    log = (tmp_path / "log").read_text()
    assert log.count("event=processes count=2") >= len(exit_codes) - 1 and "Traceback" not in log
