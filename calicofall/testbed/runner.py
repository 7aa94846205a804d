"""Plays a drill: starts the proxies, opens the stand-ins, puts faults between them, hands all to the referee.

Owns the processes that it started, and ends them whatever happens. Must never end any other, judge, or let a
proxy's word into what the referee sees.
"""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from calicofall.fleet.settings_document import DEFAULT_VOTER_COUNT, PER_PROXY_SETTINGS, seal_document
from calicofall.testbed.checker import Verdict, check_history
from calicofall.testbed.clients import Clients
from calicofall.testbed.emulated_servers import (
    CacheEmulator,
    DatagramRelay,
    DiscoveryEmulator,
    EmulatedConnection,
    proxy_address,
)
from calicofall.testbed.history import CanaryEvent, History, ProcessEvent, PublishedVersion
from calicofall.testbed.network_faults import LinkFault, LinkFaults
from calicofall.testbed.scenario import DRIFT, PAUSE, ZONES, Scenario, names
from calicofall.testbed.server_models import CacheModel, DiscoveryModel, OriginModel

FIRST_PORT = 10_240
LOOK = 0.02  # s between two looks at the stage's own lateness
LATE = 0.005  # s from which it counts
PROGRAM = [sys.executable, "-O", "-m", "calicofall", "serve"]


def ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Ports that are free now, to be listened at by proxies.

    From below those that the system gives to outgoing connections: one of these would be taken by the time
    that the last of three hundred proxies is up.
    """
    found: list[int] = []
    for port in range(FIRST_PORT + os.getpid() % 64 * 256, 32_000):
        with socket.socket(socket.AF_INET, kind) as plug, suppress(OSError):
            plug.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no ports left")


class ScenarioRunner:
    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        program: str | None = None,
        commands: dict[int, list[str]] | None = None,
        told: Callable[[str], None] = lambda line: None,
    ) -> None:
        self.scenario, self.folder, self.program, self.commands = scenario, folder, program, commands or {}
        self.tell, self.records, self.links = told, History(), LinkFaults(scenario.seed)
        self.connections: set[EmulatedConnection] = set()
        self.processes: dict[str, subprocess.Popen] = {}
        self.gone: dict[str, asyncio.Future] = {}  # the end of each one's present life, once recorded
        self.files: list[Any] = []
        self.waits: dict[int, tuple[int, int]] = {}  # ns that a process has run, and waited for a core
        self.stopping = False

    async def run(self) -> Verdict:
        self.loop = asyncio.get_running_loop()
        self.open()
        cores = sorted(os.sched_getaffinity(0))
        try:
            for stand in (*self.caches.values(), self.service):
                await stand.open()
            if len(cores) > 2:  # the stage keeps a core to itself, so that what it sees is seen in time
                os.sched_setaffinity(0, cores[:1])
            self.cores = cores[1:] if len(cores) > 2 else cores
            self.records.began = self.began = self.loop.time()
            self.records.offset = time.time()
            self.expected = self.began
            self.look()
            self.clients.start(self.began)
            self.plan()
            await self.launch_all()
            while (left := self.began + self.scenario.seconds - self.loop.time()) > 0.0:
                await asyncio.sleep(min(1.0, left))
                self.progress()
        finally:
            self.stopping = True
            self.records.ended = self.loop.time()
            self.usage()
            for name in list(self.processes):
                self.kill(name)
            os.sched_setaffinity(0, cores)
            await self.clients.end()
            for process in self.processes.values():
                process.wait()
            for file in self.files:
                file.close()
            for relay in self.relays:
                relay.close()
        self.records.fetches = self.origin.fetches
        self.records.falls = [
            (at, name) for name, stand in self.caches.items() for at in stand.model.collapses
        ]
        self.records.faults = self.links.ended_faults
        return check_history(self.scenario, self.records)

    # Stand-ins

    def open(self) -> None:
        scenario, cache = self.scenario, self.scenario.cache
        fleet = scenario.fleet
        self.origin = OriginModel(scenario.origin.fetches, scenario.origin.fetch_ms / 1000.0)
        free = ports(2 * fleet.proxies)
        self.doors = {f"p{i}": ("127.0.0.1", free[i]) for i in range(fleet.proxies)}
        self.offices = [f"127.0.0.1:{port}" for port in free[fleet.proxies :]]  # where operators call
        self.clients = Clients(self.loop, scenario, self.records, self.doors)
        self.caches: dict[str, CacheEmulator] = {}
        for number in range(fleet.caches):
            self.build(f"c{number}")
        model = DiscoveryModel(
            scenario.service.room,
            scenario.service.open,
            scenario.service.retry_after_s,
            scenario.service.queue,
        )
        self.service = DiscoveryEmulator(
            self, model, lambda: {n: stand.port for n, stand in self.caches.items()}
        )
        self.service.has_agents = scenario.service.agents
        wall, now = time.time(), self.loop.time()
        for name, stand in self.caches.items():
            if cache.cold:
                stand.model.start(now)
                self.records.cold[name] = [now]
            model.put(self.entry(name, since=wall if cache.cold else 0.0))
        self.records.zones = {name: self.entry(name)["zone"] for name in self.caches}
        if fleet.versions:
            self.service.documents.append(self.document(1, ZONES[: fleet.zones]))
            self.records.published.append(PublishedVersion(now, 1, ZONES[: fleet.zones]))
        self.relays, self.speaks = [], []
        if fleet.speak:
            self.speaks = ports(fleet.proxies, socket.SOCK_DGRAM)
            self.relays = [
                DatagramRelay(self, i, lambda peer: (self.relays[peer], self.speaks[peer]))
                for i in range(fleet.proxies)
            ]

    def build(self, name: str) -> None:
        cache = self.scenario.cache
        model = CacheModel(
            self.origin,
            cache.slots,
            cache.queue,
            cache.connections,
            cache.handshake_ms / 1000.0,
            cache.hit_ms / 1000.0,
            cache.keys,
            cache.cold_share,
            cache.cold_s,
            cache.fall_multiple,
            cache.fall_s,
        )
        self.caches[name] = CacheEmulator(self, name, model, self.clients.value_size, cache.reports)

    def entry(self, name: str, status: str = "SERVING", since: float | None = None) -> dict[str, Any]:
        before = self.service.model.entries.get(name, {})
        since_ms = before.get("since_ms", 0) if since is None else round(since * 1000.0)
        zone = ZONES[int(name[1:]) % self.scenario.fleet.zones]
        return {
            "name": name,
            "zone": zone,
            "type": "box",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    def document(
        self, version: int, zones: str, bad: bool = False, trial: dict | None = None
    ) -> dict[str, Any]:
        """The settings as a document in which the non-retriable method is bound to these zones."""
        settings = {name: value for name, value in self.settings(0).items() if name not in PER_PROXY_SETTINGS}
        order = {"failureDomainsOnly": list(zones)} | ({"hardDeadlineNs": 1_000_000} if bad else {})
        methods = [
            method | (order if method["name"] == "order" else {"keeps": ["place", "repeats"]})
            for method in settings["methods"]
        ]
        members = list(range(self.scenario.fleet.proxies))
        return seal_document(
            {
                "version": version,
                "after": version - 1,
                "note": f"order in {zones}",
                "fleet": self.scenario.name,
                "members": members,
                "keepers": members[:DEFAULT_VOTER_COUNT],
                "lease": {"s": self.scenario.fleet.lease_s, "drift": DRIFT, "pauseS": PAUSE},
                "settings": settings | {"methods": methods},
            }
            | ({"trial": trial} if trial else {})
        )

    # Proxies

    def settings(self, number: int) -> dict[str, Any]:
        scenario = self.scenario
        fleet, cache, traffic = scenario.fleet, scenario.cache, scenario.traffic

        def method(name: str, effect: str, gain: float) -> dict[str, Any]:
            return {
                "name": name,
                "effect": effect,
                "gain": gain,
                "group": "all",
                "tardyGain": 0.0,
                "softDeadlineNs": round(traffic.soft_ms * 1e6),
                "windowNs": 5_000_000_000,
                "hardDeadlineNs": round(traffic.hard_ms * 1e6),
                "streaming": False,
            }

        return {
            "balancers": fleet.proxies,
            "me": number,
            "kinds": ["box"],
            "discovery": "push",
            "failureDomains": list(ZONES[: fleet.zones]),
            "zone": ZONES[number % fleet.zones],
            "overageGain": 0.1,
            "domain": {"mode": "through"},
            "methods": [
                method("read", "pure", 1.0),
                method("save", "token", 3.0),
                method("order", "side_effect", 8.0),
            ],
            "realms": [{"name": "shop", "quotaPerS": traffic.quota or traffic.per_s * 2.0, "share": 1.0}]
            + ([{"name": "bulk", "quotaPerS": traffic.bulk_quota, "share": 1.0}] if traffic.bulk else []),
            "caps": {
                "mostTransmissions": 4,
                "cancel": True,
                "retryAfter": True,
                "maxRetryAfterNs": 2_000_000_000,
                "streamsPerConn": 8,
                "dialTimeoutNs": 200_000_000,
                "connIdleNs": 30_000_000_000,
                "secondCopies": False,
            },
            "rules": {
                "startCapacity": cache.cold_share,
                "coldNs": round(cache.cold_s * 1e9),
                "fallMultiple": cache.fall_multiple,
                "fallNs": round(cache.fall_s * 1e9),
                "drainGraceNs": 250_000_000,
                "askEveryNs": 10_000_000_000,
                "answerSlackNs": 20_000_000,
            },
        }

    def node(self, number: int) -> dict[str, Any]:
        """What proxy `number` is told."""
        scenario, name = self.scenario, f"p{number}"
        fleet, cache = scenario.fleet, scenario.cache
        start: dict[str, Any] = {}
        if fleet.told:
            start = {
                "watchesPerS": scenario.service.room,
                "connections": cache.connections,
                "cachePerS": cache.slots / cache.hit_ms * 1000.0,
            }
            if cache.handshakes is not None:
                start["handshakesPerS"] = cache.handshakes
            if cache.in_flight is not None:
                start["inFlight"] = cache.in_flight
            if scenario.origin.per_s is not None:
                start["fetchesPerS"] = scenario.origin.per_s
        if fleet.speak:
            own = self.relays[number].port
            start |= {
                "fleet": scenario.name,
                "speak": f"127.0.0.1:{self.speaks[number]}",
                "watchesPerS": scenario.service.room,
                "peers": [f"{proxy_address(i)}:{own}" for i in range(fleet.proxies)],
            }
        if fleet.lend_s is not None:
            start["lendS"] = fleet.lend_s
        if fleet.witnesses:
            start["witnesses"] = True
        if fleet.snapshot:
            start["snapshot"] = str(self.folder / name)
        host, port = self.doors[name]
        node = {
            "name": name,
            "listen": f"{host}:{port}",
            "mgmt": self.offices[number],
            "seed": f"{scenario.seed * 1000 + number + 1:x}",
            "discovery": f"{proxy_address(number)}:{self.service.port}",
            "settings": self.settings(number),
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
        }
        if fleet.versions:
            node["document"] = self.document(1, ZONES[: fleet.zones])
        if fleet.record:
            node["record"] = {"folder": str(self.folder / name / "record"), "level": "proxy", "segmentS": 3.0}
        return node | ({"start": start} if start else {})

    async def launch_all(self) -> None:
        fleet = self.scenario.fleet
        for number in range(fleet.proxies):
            due = self.began + fleet.over * number / fleet.proxies
            if due > self.loop.time():
                await asyncio.sleep(due - self.loop.time())
            await self.launch(number)

    async def launch(self, number: int) -> None:
        name = f"p{number}"
        home = self.folder / name
        home.mkdir(parents=True, exist_ok=True)
        (home / "node.json").write_bytes(orjson.dumps(self.node(number)))
        if not any(file.name == str(home / "log") for file in self.files):
            self.files.append((home / "log").open("wb"))
        log = next(file for file in self.files if file.name == str(home / "log"))
        told = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        told |= {"PROXY_CONFIG": str(home / "node.json"), "TMPDIR": str(home)}
        if self.program:
            told["PYTHONPATH"] = self.program
        command = self.commands.get(number, PROGRAM)
        if self.scenario.fleet.accounts:
            command = [*command, "--log-level", "DEBUG"]

        def start() -> subprocess.Popen:
            process = subprocess.Popen(
                command,
                env=told,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=self.program,
                close_fds=False,
            )
            with suppress(OSError):
                os.sched_setaffinity(process.pid, self.cores)
            return process

        self.records.process_events.append(ProcessEvent(self.loop.time(), name, "launched"))
        process = await self.loop.run_in_executor(None, start)
        self.processes[name] = process
        if self.stopping:
            self.kill(name)
            return
        self.watch(name, process)

    def watch(self, name: str, process: subprocess.Popen) -> None:
        """Its end is recorded once."""
        self.gone[name] = self.loop.create_future()
        eye = os.pidfd_open(process.pid)
        self.loop.add_reader(eye, self.exited, name, process, eye)

    def exited(self, name: str, process: subprocess.Popen, eye: int) -> None:
        self.loop.remove_reader(eye)
        os.close(eye)
        code = process.wait()
        if not self.stopping:
            self.records.process_events.append(ProcessEvent(self.loop.time(), name, "exited", code))
        self.gone[name].set_result(None)

    def kill(self, name: str) -> None:
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            process.kill()

    def send(self, name: str, number: int, what: str) -> None:
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            self.records.process_events.append(ProcessEvent(self.loop.time(), name, what))
            process.send_signal(number)

    async def again(self, name: str, forget: bool) -> None:
        """Killed, and started again, with or without what it knew."""
        self.send(name, signal.SIGKILL, "killed")
        if name in self.gone:
            # Guards against an end that is told behind the next start, and passes for that life's.
            await self.gone[name]
        if forget:
            for file in (self.folder / name).glob("*.snapshot"):
                file.unlink()
        await self.launch(int(name[1:]))

    # What happens

    def plan(self) -> None:
        for event in self.scenario.event:
            self.loop.call_at(self.began + event.at, self.begin, event)
            if event.until is not None and event.do not in ("burst",):
                self.loop.call_at(self.began + event.until, self.finish, event)

    def group(self, who: str) -> frozenset[str]:
        fleet = self.scenario.fleet
        return names(who, fleet.proxies, fleet.caches, fleet.zones)

    def begin(self, event: Any) -> None:
        do = event.do
        self.tell(f"{event.at:6.1f} s  {do} {getattr(event, 'who', '')}")
        if do in ("kill", "term", "stop", "restart"):
            ours = sorted((n for n in self.group(event.who) if n in self.doors), key=lambda n: int(n[1:]))
            for place, name in enumerate(ours):
                self.loop.call_later(event.over * place / len(ours), self.process, event, name)
        elif do in ("cut", "slow", "delay", "reset", "lose"):
            self.fault(event)
        elif do == "service_down":
            self.service.go_down()
        elif do == "service_silent":
            self.service.silent = True
        elif do == "service_slow":
            self.service.watch_delay_s = event.amount
        elif do == "service_late":
            self.service.model.event_delay_s = event.amount
        elif do == "service_room":
            self.service.model.watches_per_s = event.amount
        elif do == "move":
            self.clients.first_tenant_proxies = self.group(event.who)
        elif do == "publish":
            version = max((one.version for one in self.records.published), default=0) + 1
            self.records.published.append(PublishedVersion(self.loop.time(), version, event.zones))
            self.service.publish_document(self.document(version, event.zones, event.bad))
        elif do == "try":
            whom = sorted(int(name[1:]) for name in self.group(event.who) & self.doors.keys())
            self.records.attempts.append(
                CanaryEvent(self.loop.time(), frozenset(f"p{one}" for one in whom), event.span, event.bad)
            )
            trial = {"members": whom, "s": event.span, "worse": 0.05}
            version = max((one.version for one in self.records.published), default=0) + 1
            self.service.hand_out_canary(self.document(version, event.zones, event.bad, trial))
        elif do == "service_restart":
            if event.older:
                del self.service.documents[-event.older :]
            self.service.go_down()
            self.service.model.restart(int(event.amount))
            self.service.down = False
            if self.service.has_agents:
                self.service.end_silence()
        elif do != "burst":
            self.cache(event)

    def process(self, event: Any, name: str) -> None:
        if event.do == "restart":
            self.clients.start_task(self.again(name, event.forget))
        else:
            number, what = {
                "kill": (signal.SIGKILL, "killed"),
                "term": (signal.SIGTERM, "termed"),
                "stop": (signal.SIGSTOP, "stopped"),
            }[event.do]
            self.send(name, number, what)

    def fault(self, event: Any) -> None:
        changes: dict[str, Any] = {
            "slow": {"rate": event.amount},
            "delay": {"delay": event.amount},
            "reset": {"reset": True},
            "lose": {"loss": event.amount},
            "cut": {way: True for way in ("cut_to", "cut_back") if event.way in ("both", way[4:])},
        }[event.do]
        ours = frozenset(name for name in self.group(event.who) if name.startswith("p"))
        fault = LinkFault(ours, self.group(event.to), changes)
        self.links.begin(self.loop.time(), fault)
        self.changed()
        if event.until is not None:
            self.loop.call_at(self.began + event.until, self.heal, fault)

    def heal(self, fault: LinkFault) -> None:
        self.links.end(self.loop.time(), fault)
        self.changed()

    def changed(self) -> None:
        for connection in list(self.connections):
            connection.on_faults_changed()

    def cache(self, event: Any) -> None:
        now, wall = self.loop.time(), time.time()
        for name in sorted(self.group(event.who)):
            if event.do == "drain":
                self.service.publish_entries(self.entry(name, "DRAINING"))
            elif event.do == "remove":
                self.service.publish_entries(self.entry(name, "DELETED"))
            elif event.do == "sick":
                self.caches[name].model.slowdown = max(1.0, event.amount)
            elif event.do == "sick_large":
                self.caches[name].model.large_answer_slowdown = max(1.0, event.amount)
            else:  # add, cold: from nothing
                self.caches[name].model.start(now)
                self.records.cold.setdefault(name, []).append(now)
                self.service.publish_entries(self.entry(name, since=wall))

    def finish(self, event: Any) -> None:
        do = event.do
        if do == "stop":
            for name in self.group(event.who) & self.doors.keys():
                self.send(name, signal.SIGCONT, "woken")
        elif do in ("kill", "term"):
            for name in sorted(self.group(event.who) & self.doors.keys()):
                self.clients.start_task(self.again(name, event.forget))
        elif do == "service_down":
            self.service.down = False
            if self.service.has_agents:
                self.service.end_silence()
        elif do == "service_slow":
            self.service.watch_delay_s = 0.0
        elif do == "service_silent":
            self.service.end_silence()
        elif do == "service_late":
            self.service.model.event_delay_s = 0.0
        elif do == "service_room":
            self.service.model.watches_per_s = self.scenario.service.room
        elif do in ("sick", "sick_large"):
            for name in self.group(event.who):
                model = self.caches[name].model
                model.slowdown = model.large_answer_slowdown = 1.0

    # What is looked after

    def look(self) -> None:
        now = self.loop.time()
        if now - self.expected > LATE:
            self.records.lags.append((now, now - self.expected))
        self.expected = now + LOOK
        self.loop.call_at(self.expected, self.look)

    def usage(self) -> None:
        """How long the proxy that waited longest for a core did so since the last look, by the system."""
        worst = spent = 0.0
        for process in self.processes.values():
            with suppress(OSError, ValueError):
                figures = Path(f"/proc/{process.pid}/schedstat").read_text().split()
                ran, before = self.waits.get(process.pid, (0, 0))
                self.waits[process.pid] = int(figures[0]), int(figures[1])
                spent += (int(figures[0]) - ran) / 1e9
                worst = max(worst, (int(figures[1]) - before) / 1e9)
        self.records.waits.append((self.loop.time(), worst))
        self.records.spent.append((self.loop.time(), spent))

    def progress(self) -> None:
        self.usage()
        heard = len({told.proxy for told in self.records.told})
        asked = sum(ask.what == "asked" for ask in self.records.asked)
        self.tell(
            f"{self.loop.time() - self.began:6.1f} s  up {len(self.clients.available_proxies)}, "
            f"lists {heard}, asked {asked}, RPCs {self.clients.begun_count}, "
            f"completed {self.clients.completed_count}"
        )


def run_scenario(
    scenario: Scenario,
    folder: Path,
    program: str | None = None,
    commands: dict[int, list[str]] | None = None,
    told: Callable[[str], None] = lambda line: None,
) -> tuple[Verdict, History]:
    """Plays a drill to its end; all processes that it started are gone then, also after Ctrl-C."""
    folder.mkdir(parents=True, exist_ok=True)
    stage = ScenarioRunner(scenario, folder, program, commands, told)

    async def run() -> Verdict:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM):  # also where a shell has them ignored
            with suppress(ValueError, RuntimeError):  # not in the main thread
                loop.add_signal_handler(number, task.cancel)
        return await stage.run()

    try:
        return asyncio.run(run()), stage.records
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
