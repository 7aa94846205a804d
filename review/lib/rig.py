"""Stand-ins for the review's cases: the list agent, cache nodes, clients, and the start of proxies.

Everything listens on loopback addresses with free ports. A cache node keeps to the protocol page: it begins a
command when its last byte has come, answers in the order of the commands, and runs a write once for each
idempotency key. The record is one line for each thing that was sent, answered or run.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be carried out, so that nothing can be said about the rule."""


def free_port(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def __call__(self, *words: object) -> None:
        line = f"{time.monotonic() - self.began:8.3f} " + " ".join(map(str, words))
        self.file.write(line + "\n")
        print(line, flush=True)


def small_settings(**changes: object) -> dict:
    """Returns the settings of a small deployment, in the operators' form."""
    ms = 1_000_000
    settings = {
        "balancers": 1,
        "me": 0,
        "zone": "a",
        "failureDomains": ["a", "b"],
        "kinds": ["box"],
        "kindOfService": "cache",
        "layer": 0,
        "tiers": ["cache-fleet"],
        "discovery": "push",
        "weights": "nominal",
        "gainPer": "request",
        "overageGain": 0.2,
        "quantumNs": 5 * ms,
        "blend": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.25, "worstWindow": 0.15},
        "caps": {
            "cancel": True,
            "connIdleNs": 30_000 * ms,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 800_000,
            "dialTimeoutNs": 500 * ms,
            "maxRetryAfterNs": 2_000 * ms,
            "mostTransmissions": 5,
            "openCap": 20_000,
            "peerMessages": False,
            "probes": False,
            "retryAfter": False,
            "secondCopies": False,
            "streamsPerConn": 128,
        },
        "clients": {"marksRetry": True},
        "costs": {"connection": 0.045, "crossZone": 0.02, "handshake": 0.045, "waste": 0.037},
        "domain": {"mode": "through", "ordered": True, "originKind": -1},
        "methods": [
            {
                "name": "read",
                "effect": "pure",
                "gain": 2.0,
                "group": "all",
                "softDeadlineNs": 1_000 * ms,
                "hardDeadlineNs": 3_000 * ms,
                "streaming": False,
                "tardyGain": 0.5,
                "windowNs": 5_000 * ms,
            },
            {
                "name": "put",
                "effect": "token",
                "gain": 5.0,
                "group": "all",
                "softDeadlineNs": 1_500 * ms,
                "hardDeadlineNs": 3_000 * ms,
                "streaming": False,
                "tardyGain": 0.5,
                "windowNs": 5_000 * ms,
            },
        ],
        "realms": [{"name": "acme", "quotaPerS": 400.0, "share": 1.0}],
        "rules": {
            "answerSlackNs": 20 * ms,
            "askEveryNs": 10_000 * ms,
            "coldNs": 14_000 * ms,
            "drainGraceNs": 250 * ms,
            "fallMultiple": 2.5,
            "fallNs": 3_000 * ms,
            "startCapacity": 0.3,
        },
        "stats": {"fields": [], "how": "off"},
    }
    return settings | changes


def encode(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def reply(value: bytes, how: bytes | None = None) -> bytes:
    """Returns a cache node's answer: the value, how it went, no load report."""
    status = b"$-1\r\n" if how is None else b"$%d\r\n%b\r\n" % (len(how), how)
    return b"*3\r\n$%d\r\n%b\r\n%b$-1\r\n" % (len(value), value, status)


class Agent:
    """The list agent: the whole list for a watch, then changes as they come, an empty line every 2 s."""

    def __init__(self, entries: list[dict]) -> None:
        self.entries = {entry["name"]: entry for entry in entries}
        self.index = 41
        self.changes: list[asyncio.Queue] = []
        self.tasks: set = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        self.server = await asyncio.start_server(self.serve, host, port)
        port = self.server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    def document(self, snapshot: bool, entries: list[dict]) -> bytes:
        return json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"

    def change(self, *entries: dict) -> None:
        self.index += 1
        for entry in entries:
            self.entries[entry["name"]] = entry
        line = self.document(False, list(entries))
        for queue in self.changes:
            queue.put_nowait(line)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue = asyncio.Queue()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"follow=1" not in head.split(b"\r\n")[0]:
                body = self.document(True, list(self.entries.values()))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = self.document(True, list(self.entries.values()))
            self.changes.append(queue)
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                try:
                    line = await asyncio.wait_for(queue.get(), 2.0)
                except TimeoutError:
                    line = b"\n"
        if queue in self.changes:
            self.changes.remove(queue)
        writer.close()


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one command; its last byte has come when this returns."""
    head = await reader.readuntil(b"\r\n")
    parts = []
    for _ in range(int(head[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(length + 2))[:-2])
    return parts


def fields(command: list[bytes]) -> dict[str, str]:
    return dict(pair.split("=", 1) for pair in command[3].decode().split(","))


class Cache:
    """A cache node. `answer` may be replaced: it gets the command and returns the bytes of the answer."""

    def __init__(self, name: str, record: Record, zone: str = "a", work_s: float = 0.005) -> None:
        self.name, self.record, self.zone, self.work_s = name, record, zone, work_s
        self.answer = self.usual_answer
        self.receive_buffer = 0

    async def start(self, host: str = "127.0.0.1") -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self.receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listener.bind((host, 0))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=1 << 16)
        self.address = f"{host}:{listener.getsockname()[1]}"

    def entry(self, status: str = "SERVING") -> dict:
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "box",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def usual_answer(self, command: list[bytes]) -> bytes:
        await asyncio.sleep(self.work_s)
        self.record(self.name, "has run", command[0].decode(), command[2].decode())
        if command[0] == b"C.SET":
            return reply(b"receipt-of-" + command[2])
        return reply(b"value-of-" + command[1] + b"-for-" + command[2], b"hit")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                command = await read_command(reader)
                self.record(
                    self.name, "begins", command[0].decode(), command[2].decode(), command[3].decode()
                )
                writer.write(await self.answer(command))
                await writer.drain()
        with contextlib.suppress(Exception):
            writer.close()


class Link:
    """A link to a cache node on which bytes take `delay_s` in each direction; nothing is lost or reordered."""

    def __init__(self, target: str, delay_s: float) -> None:
        self.host, _, port = target.partition(":")
        self.port, self.delay_s = int(port), delay_s

    async def start(self, host: str = "127.0.0.1") -> str:
        self.server = await asyncio.start_server(self.serve, host, 0)
        return f"{host}:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.carry(reader, far_writer), self.carry(far_reader, writer))

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue = asyncio.Queue(256)

        async def deliver() -> None:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                if not data:
                    break
                writer.write(data)
                with contextlib.suppress(ConnectionError):
                    await writer.drain()
            with contextlib.suppress(Exception):
                writer.close()

        delivery = asyncio.create_task(deliver())
        data = b"-"
        while data:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                data = b""
            await queue.put((time.monotonic() + self.delay_s, data))
        await delivery


class Proxy:
    """One proxy, started with the deploy file's command as the platform starts it."""

    def __init__(self, name: str, folder: Path, node: dict) -> None:
        self.name, self.folder, self.node = name, folder, node
        self.host = node["listen"].partition(":")[0]
        self.port = int(node["listen"].partition(":")[2])
        self.config = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(self.node))
        os.replace(new, self.config)

    async def start(self) -> None:
        self.write_config()
        (self.folder / "tmp").mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.folder / "tmp"),
            "PROXY_NAME": self.node["name"],
            "PROXY_LISTEN": self.node["listen"],
            "PROXY_DISCOVERY": self.node["discovery"],
            "PROXY_CONFIG": str(self.config),
        }
        if self.node.get("mgmt"):
            environment["PROXY_MGMT"] = self.node["mgmt"]
        self.log_file = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log_file, stderr=self.log_file
        )

    @property
    def pid(self) -> int:
        return self.process.pid

    @property
    def exited(self) -> bool:
        return self.process.returncode is not None

    def signal(self, number: int) -> None:
        if not self.exited:
            self.process.send_signal(number)

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Waits until the proxy answers PING, the way the front does."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.exited:
                break
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(self.host, self.port)
                    writer.write(encode(b"PING"))
                    answer = await reader.readline()
                    writer.close()
                    if answer == b"+PONG\r\n":
                        return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} did not get ready; log: {self.log_path.read_text()[-500:]!r}")

    async def call(self, line: str) -> str:
        """Asks the management address."""
        host, _, port = self.node["mgmt"].partition(":")
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(line.encode() + b"\n")
            answer = await reader.read()
            writer.close()
        return answer.decode()

    def memory_mb(self) -> float:
        """Returns the resident memory of the process, as the system counts it."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024.0
        return 0.0


def node(name: str, discovery: str, settings: dict, **more: object) -> dict:
    return {
        "name": name,
        "listen": f"127.0.0.1:{free_port()}",
        "mgmt": f"127.0.0.1:{free_port()}",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
    } | more


class Case:
    """Runs one case: a temporary folder, a time limit, and an end of all that it started."""

    def __init__(self, record_path: Path, limit_s: float = 100.0) -> None:
        self.limit_s = limit_s
        self.proxies: list[Proxy] = []
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(record_path)

    def proxy(self, name: str, content: dict) -> Proxy:
        proxy = Proxy(name, self.temporary, content)
        self.proxies.append(proxy)
        return proxy

    async def end(self) -> None:
        for proxy in self.proxies:
            if proxy.process is not None and not proxy.exited:
                with contextlib.suppress(ProcessLookupError):
                    proxy.process.send_signal(signal.SIGCONT)
                    proxy.process.kill()
                await proxy.process.wait()

    def run(self, body) -> None:
        async def main() -> int:
            # Connections that the end of the case cuts off are no finding.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            try:
                async with asyncio.timeout(self.limit_s):
                    return await body(self)
            finally:
                await self.end()

        try:
            code = asyncio.run(main())
        except Exception as error:  # a fault of the case says nothing about the rule
            self.record("could not run:", repr(error))
            code = COULD_NOT_RUN
        if os.environ.get("KEEP_LOGS"):
            for proxy in self.proxies:
                print(proxy.log_path.read_text())
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record("exit", code)
        sys.exit(code)
