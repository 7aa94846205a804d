"""A proxy as a process of its own, and stand-ins for its agent and cache nodes, on loopback addresses."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path

from helpers import SETTINGS

from calicofall.proxy.resp import encode_bulk, encode_command

ROOT = Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 20.0
KEEP_ALIVE_INTERVAL_S = 1.0  # between two empty lines of a watch

request_ids = count(1)


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def request(method: str = "read", key: int = 7, patience_ms: int = 2000, value: bytes = b"v") -> bytes:
    """Returns a command with an id of its own, and the id as its idempotency key."""
    request_id = b"%016x" % next(request_ids)
    fields = f"c={method},t=acme,d={patience_ms}".encode()
    if method == "read":
        return encode_command([b"C.GET", b"%016x" % key, request_id, fields])
    return encode_command([b"C.SET", b"%016x" % key, request_id, fields + b",k=" + request_id, value])


def reply(value: bytes, cache_status: bytes = b"hit") -> bytes:
    return b"*3\r\n" + encode_bulk(value) + encode_bulk(cache_status) + b"$-1\r\n"


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one command whose parts are bulk strings."""
    head = await reader.readuntil(b"\r\n")
    parts = []
    for _ in range(int(head[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(length + 2))[:-2])
    return parts


class CacheNode:
    """A cache node; `answer` writes the reply to a command, `on_command` hears of each command."""

    def __init__(self, name: str, since_ms: float = 0.0) -> None:
        self.name = name
        self.since_ms = since_ms
        self.answer: Callable[[list[bytes], asyncio.StreamWriter], Awaitable[None]] = self.answer_at_once
        self.commands: list[tuple[float, list[bytes]]] = []  # when each was complete, and its parts
        self.connections: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0, receive_buffer: int = 0) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        listener.bind((LOOPBACK, port))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=1 << 16)
        self.port = listener.getsockname()[1]

    def stop(self) -> None:
        """Ends as a process that is killed: its connections are reset."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def entry(self, status: str = "SERVING") -> dict:
        return {
            "name": self.name,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "a",
            "type": "box",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    async def answer_at_once(self, command: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(reply(b"of " + command[2]))
        await writer.drain()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                command = await read_command(reader)
                self.commands.append((time.monotonic(), command))
                await self.answer(command, writer)
        self.connections.discard(writer)
        writer.transport.abort()


class ListAgent:
    """The discovery service: one watch on the list for each proxy."""

    def __init__(self, nodes: list[CacheNode]) -> None:
        self.nodes = nodes
        self.index = 1
        self.watches: list[asyncio.Queue[bytes]] = []
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]

    def change(self, *entries: dict) -> None:
        """Sends changed entries to all watches."""
        self.index += 1
        for watch in self.watches:
            watch.put_nowait(self.message(False, list(entries)))

    def message(self, snapshot: bool, entries: list[dict]) -> bytes:
        content = {"index": self.index, "snapshot": snapshot, "endpoints": entries}
        return json.dumps(content).encode() + b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        changes: asyncio.Queue[bytes] = asyncio.Queue()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = self.message(True, [node.entry() for node in self.nodes])
            self.watches.append(changes)
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                try:
                    line = await asyncio.wait_for(changes.get(), KEEP_ALIVE_INTERVAL_S)
                except TimeoutError:
                    line = b"\n"
        writer.transport.abort()


class ProxyProcess:
    """A proxy started as its deployment starts it."""

    def __init__(self, folder: Path, discovery_port: int, name: str = "n0") -> None:
        self.folder = folder
        self.port = free_port()
        self.node = {
            "name": name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "settings": SETTINGS | {"balancers": 1},
        }
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        configuration = self.folder / f"{self.node['name']}.json"
        configuration.write_text(json.dumps(self.node))
        environment = {name: text for name, text in os.environ.items() if not name.startswith("PROXY_")}
        environment |= {"PROXY_CONFIG": str(configuration), "TMPDIR": str(self.folder)}
        with open(self.log_path, "ab") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-B", "-O", "-m", "calicofall", "serve"),
                cwd=ROOT,
                env=environment,
                stdout=log_file,
                stderr=log_file,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.answers_ping():
                assert self.process.returncode is None, self.log_path.read_text()
                await asyncio.sleep(0.05)

    async def answers_ping(self) -> bool:
        with contextlib.suppress(OSError):
            reader, writer = await self.connect()
            writer.write(encode_command([b"PING"]))
            line = await reader.readline()
            writer.close()
            return line == b"+PONG\r\n"
        return False

    async def connect(
        self, receive_buffer: int = 0, read_ahead: int = 1 << 16
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connects as a client; with a receive buffer, the kernel holds little for one that does not read."""
        client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        client.setblocking(False)
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await asyncio.get_running_loop().sock_connect(client, (LOOPBACK, self.port))
        return await asyncio.open_connection(sock=client, limit=read_ahead)

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def peak_memory_mb(self) -> float:
        """Returns the largest resident memory that the process has had."""
        return self._status_kilobytes("VmHWM:") / 1024.0

    def memory_mb(self) -> float:
        """Returns the present resident memory."""
        return self._status_kilobytes("VmRSS:") / 1024.0

    def _status_kilobytes(self, name: str) -> int:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if line.startswith(name))

    async def end(self, signal_number: int = signal.SIGKILL) -> None:
        if self.is_running:
            self.process.send_signal(signal_number)
            await self.process.wait()


class Deployment:
    """Cache nodes, their agent and one proxy."""

    def __init__(self, folder: Path, node_count: int) -> None:
        self.folder = folder
        self.nodes = [CacheNode(f"c{number}") for number in range(1, node_count + 1)]
        self.agent = ListAgent(self.nodes)
        self.proxy: ProxyProcess | None = None

    async def start(self, **changes: object) -> ProxyProcess:
        """Starts all; `changes` replace fields of the proxy's configuration."""
        for node in self.nodes:
            if not node.port:
                await node.start()
        await self.agent.start()
        self.proxy = ProxyProcess(self.folder, self.agent.port)
        self.proxy.node |= changes
        await self.proxy.start()
        return self.proxy

    async def end(self) -> None:
        if self.proxy is not None:
            await self.proxy.end()


def run_deployment(
    folder: Path, node_count: int, body: Callable[[Deployment], Awaitable[None]], limit_s: float = 60.0
) -> None:
    """Runs the body of a test beside a deployment, which is ended in any case."""

    async def main() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        deployment = Deployment(folder, node_count)
        try:
            async with asyncio.timeout(limit_s):
                await body(deployment)
        finally:
            await deployment.end()

    asyncio.run(main())
