"""Stand-ins for the scripts of this review: the platform, discovery's agent, cache nodes and clients.

Only the standard library is used. All addresses are loopback addresses with free ports. A case runs in one process and
one event loop, beside the proxies, which are started with `run` of deploy/balancer.toml.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not run; nothing is known of the rule."""


class Record:
    """What was sent, answered and run, in the order in which the stand-ins saw it."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.began_at

    def line(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text):
        """A line that is printed, too."""
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


def free_port():
    """Returns a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def method(name, effect="pure", window_ms=5000, soft_ms=500, hard_ms=1000, gain=1.0):
    return {
        "name": name, "effect": effect, "group": "all", "windowNs": int(window_ms * 1e6), "gain": gain,
        "softDeadlineNs": int(soft_ms * 1e6), "hardDeadlineNs": int(hard_ms * 1e6), "streaming": False,
        "tardyGain": 0.0,
    }  # fmt: skip


def settings(methods, proxies=2, **caps):
    """Settings like those of the example in the users' page on the wire: a small deployment."""
    return {
        "balancers": proxies, "me": 0, "discovery": "push", "kindOfService": "cache", "kinds": ["fast-box", "slow-box"],
        "failureDomains": ["ikeja", "yaba"], "zone": "ikeja", "layer": 0, "tiers": ["cache-fleet"], "weights": "nominal",
        "gainPer": "request", "overageGain": 0.2, "quantumNs": 5000000, "methods": methods, "realms": [],
        "clients": {"marksRetry": True}, "stats": {"fields": [], "how": "off"},
        "blend": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.25, "worstWindow": 0.15},
        "domain": {"mode": "through", "ordered": True, "originFallMultiple": 0.0, "originFallNs": 3000000000, "originKind": -1},
        "costs": {"connection": 0.045, "crossZone": 0.02, "discovery": 0.0, "handshake": 0.045, "lateFail": 0.15,
                  "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.037},
        "caps": {"cancel": True, "connIdleNs": 30000000000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 800000,
                 "dialTimeoutNs": 200000000, "maxRetryAfterNs": 2000000000, "mostTransmissions": 5, "openCap": 20000,
                 "peerMessages": False, "probes": False, "retryAfter": False, "secondCopies": False,
                 "streamsPerConn": 128} | caps,
        "rules": {"answerSlackNs": 50000000, "askEveryNs": 10000000000, "coldNs": 23000000000, "drainGraceNs": 250000000,
                  "fallMultiple": 2.5, "fallNs": 3000000000, "startCapacity": 0.13},
    }  # fmt: skip


class Agent:
    """Discovery's agent on the proxy's machine: one list, and watches that are told its changes."""

    def __init__(self, record):
        self.record = record
        self.index = 40
        self.entries = {}
        self.watches = set()
        self.changes = []  # (index, entry)
        self.silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, name, address, status="SERVING", zone="ikeja", kind="fast-box", since_ms=0):
        self.index += 1
        entry = {"name": name, "address": address, "zone": zone, "type": kind, "group": 1, "status": status,
                 "weight": 1.0, "since_ms": since_ms}  # fmt: skip
        if status == "DELETED":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self.changes.append((self.index, entry))
        if not self.silent:
            for writer in self.watches:
                self.send(writer, {"index": self.index, "snapshot": False, "endpoints": [entry]})
        self.record.line(f"discovery version={self.index} {name} {status}")

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    @staticmethod
    def send(writer, message):
        line = (json.dumps(message) if message else "").encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            if self.silent:
                await asyncio.sleep(3600)
            if "follow=1" not in target:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.send(writer, self.whole())
            self.watches.add(writer)
            while True:
                await asyncio.sleep(2.0)
                if not self.silent:
                    self.send(writer, None)
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


async def read_command(reader, on_begin=None):
    """Reads one RESP2 command; None at the end of the connection."""
    head = await reader.readline()
    if not head:
        return None
    if on_begin is not None:
        on_begin()
    parts = []
    for _ in range(int(head[1:])):
        length = int((await reader.readline())[1:])
        parts.append((await reader.readexactly(length + 2))[:-2])
    return parts


def encode_command(*parts):
    parts = [part if isinstance(part, bytes) else str(part).encode() for part in parts]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def encode_reply(value, status=b"hit"):
    return b"*3\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$-1\r\n" % (len(value), value, len(status), status)


def fields_of(text):
    return dict(pair.split("=", 1) for pair in text.decode().split(","))


class Proxy:
    """One proxy of the platform: `run` of the deploy file, with what a proxy is told."""

    def __init__(self, record, name, deployed_settings, agent_address, known, memory_mb=192, sockets=1024, number=0, mgmt=False):
        self.record, self.name = record, name
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.listen = f"127.0.0.1:{free_port()}"
        self.mgmt = f"127.0.0.1:{free_port()}" if mgmt else None
        self.config = {
            "name": name, "listen": self.listen, "discovery": agent_address, "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "known": known,
            "settings": deployed_settings | {"me": number},
        }  # fmt: skip
        if mgmt:
            self.config["mgmt"] = self.mgmt
        self.process = None
        self.extra_processes = []
        self.sockets = sockets

    @property
    def address(self):
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    def spawn(self, log_name="log", mgmt=None):
        config_path = f"{self.folder}/config.json"
        config = self.config | ({"mgmt": mgmt} if mgmt else {})
        Path(config_path).write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = f"{self.folder}/tmp"
        os.makedirs(temporary, exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"], "PROXY_NAME": self.name, "PROXY_LISTEN": self.listen, "TMPDIR": temporary,
            "PROXY_DISCOVERY": self.config["discovery"], "PROXY_CONFIG": config_path,
        }  # fmt: skip
        if config.get("mgmt"):
            environment["PROXY_MGMT"] = config["mgmt"]
        log = open(f"{self.folder}/{log_name}", "a")
        process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record.line(f"platform started {self.name} pid={process.pid}")
        return process

    async def start(self):
        self.process = self.spawn()
        await self.wait_ready()

    async def wait_ready(self, timeout_s=15.0):
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended: {self.log_text()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(encode_command("PING"))
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer == b"+PONG\r\n":
                    self.record.line(f"platform {self.name} is ready")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} was not ready: {self.log_text()[-500:]}")

    async def call(self, text, mgmt=None):
        host, _, port = (mgmt or self.mgmt).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(text.encode() + b"\n")
        answer = await asyncio.wait_for(reader.read(), 2.0)
        writer.close()
        return answer.decode()

    def log_text(self):
        return "".join(path.read_text() for path in sorted(Path(self.folder).glob("log*")))

    def signal(self, number):
        self.record.line(f"platform {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def end(self):
        for process in [self.process, *self.extra_processes]:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(exist_ok=True)
            Path(f"{keep}/{self.name}.log").write_text(self.log_text())
        shutil.rmtree(self.folder, ignore_errors=True)


class Answers:
    """Reads RESP2 answers of a proxy on one client connection."""

    def __init__(self, reader):
        self.reader = reader

    async def read(self):
        """Returns (kind, value): `value`, `busy`, `error`, or `closed` with what came of the answer."""
        try:
            line = await self.reader.readline()
            if not line.endswith(b"\n"):
                return "closed", line
            if line[:1] == b"$":
                length = int(line[1:])
                try:
                    return "value", (await self.reader.readexactly(length + 2))[:-2]
                except asyncio.IncompleteReadError as error:
                    return "closed", line + error.partial
            if line.startswith(b"-BUSY"):
                return "busy", line[1:-2]
            return "error", line[1:-2]
        except (OSError, asyncio.IncompleteReadError):
            return "closed", b""


def main(record_path, play):
    """Runs a case and writes its record; `play(record, proxies)` returns the exit code, its proxies are ended."""
    record, proxies = Record(record_path), []
    code = NOT_RUN
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))  # ends the proxies, too
    record.line(f"TROUBLE={int(TROUBLE)}")

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # tasks cut off at the end
        return await asyncio.wait_for(play(record, proxies), 110.0)

    try:
        code = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
        code = NOT_RUN
    finally:
        for proxy in proxies:
            proxy.end()
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    record.close()
    sys.exit(code)
