"""Runs a scenario: starts proxies and emulated servers, injects faults between them, has the history checked.

Invariants:
    Each process that was started here is ended, whatever happens, and no other process is.
    Nothing is judged here, and nothing that a proxy says about itself enters the history.
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
from random import Random
from typing import Any

import orjson

from calicofall.fleet.settings_document import DEFAULT_VOTER_COUNT, PER_PROXY_SETTINGS, seal_document
from calicofall.testbed.batch_clients import BatchClients
from calicofall.testbed.checker import Verdict, check_history
from calicofall.testbed.clients import Clients
from calicofall.testbed.emulated_servers import (
    CacheConnection,
    CacheEmulator,
    DatagramRelay,
    DiscoveryEmulator,
    EmulatedConnection,
    ReplyFaults,
    proxy_address,
)
from calicofall.testbed.history import CanaryEvent, History, ProcessEvent, PublishedVersion
from calicofall.testbed.hostile_clients import HostileClients
from calicofall.testbed.network_faults import LinkFault, LinkFaults
from calicofall.testbed.scenario import CLOCK_DRIFT, MAX_PAUSE_S, ZONE_NAMES, Scenario, expand_group
from calicofall.testbed.server_models import CacheModel, DiscoveryModel, OriginModel
from calicofall.testbed.service_events import ServiceEvents

FIRST_PROXY_PORT = 10_240
LAG_CHECK_INTERVAL_S = 0.02  # between two checks of how late the testbed itself is
MIN_LAG_S = 0.005  # below it a lag of the testbed is not recorded
PROCESS_EVENTS = frozenset({"kill", "term", "stop", "restart", "reload"})
REMOVAL_DELAY_S = 4.0  # from the start of a cache at the address of another until that one's removal is told
REPLACEMENT_NUMBER_STEP = 1000  # from the number of a cache to that of the one that replaces it
LINK_EVENTS = frozenset({"cut", "slow", "delay", "reset", "lose"})
CANARY_MAX_INCREASE = 0.05  # of the share of failed requests, that a canary is allowed
DEFAULT_COMMAND = [sys.executable, "-O", "-m", "calicofall", "serve"]


def find_free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return ports that are free now, for proxies to listen on.

    They are below the range that the system uses for outgoing connections: a port of that range would be
    taken before the last of 300 proxies listens on it.

    Raises:
        OSError: There are fewer free ports than `count`.
    """
    found: list[int] = []
    for port in range(FIRST_PROXY_PORT + os.getpid() % 64 * 256, 32_000):
        with socket.socket(socket.AF_INET, kind) as sock, suppress(OSError):
            sock.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("there are fewer free ports below 32000 than were requested")


class ScenarioRunner:
    """Runs one scenario, once.

    Attributes:
        history: What was seen during the run.
        links: The injected faults that are in force.
        connections: Open connections of proxies to emulated servers.
        processes: The latest process of each proxy.
        exit_recorded: By proxy: done once the exit of its present process is recorded.
        log_files: Open log files of the proxies.
        scheduler_times: By process: ns that it has run, and ns that it has waited for a core.
        stopping: Whether the run is over and its processes are being ended.
    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        program: str | None = None,
        commands: dict[int, list[str]] | None = None,
        progress: Callable[[str], None] = lambda line: None,
    ) -> None:
        self.scenario, self.folder, self.program, self.commands = scenario, folder, program, commands or {}
        self.report_progress, self.history, self.links = progress, History(), LinkFaults(scenario.seed)
        self.connections: set[EmulatedConnection] = set()
        self.processes: dict[str, subprocess.Popen] = {}
        self.exit_recorded: dict[str, asyncio.Future] = {}
        self.log_files: list[Any] = []
        self.scheduler_times: dict[int, tuple[int, int]] = {}
        self.stopping = False

    async def run(self) -> Verdict:
        """Run the scenario to its end, end all processes and return the checker's verdict."""
        self.loop = asyncio.get_running_loop()
        self.create_servers()
        cores = sorted(os.sched_getaffinity(0))
        try:
            for server in (*self.caches.values(), self.discovery):
                await server.open()
            if len(cores) > 2:  # the testbed keeps a core to itself, so that it sees events in time
                os.sched_setaffinity(0, cores[:1])
            self.proxy_cores = cores[1:] if len(cores) > 2 else cores
            self.history.started_at = self.started_at = self.loop.time()
            self.history.started_at_epoch_s = time.time()
            self.next_lag_check_at = self.started_at
            self.measure_lag()
            self.clients.start(self.started_at)
            self.batch_clients.start()
            self.hostile_clients.start()
            self.schedule_events()
            await self.launch_proxies()
            while (left := self.started_at + self.scenario.seconds - self.loop.time()) > 0.0:
                await asyncio.sleep(min(1.0, left))
                self.report_status()
        finally:
            self.stopping = True
            self.history.ended_at = self.loop.time()
            self.record_processor_use()
            for name in list(self.processes):
                self.kill_proxy(name)
            os.sched_setaffinity(0, cores)
            await self.clients.end()
            for process in self.processes.values():
                process.wait()
            for file in self.log_files:
                file.close()
            for relay in self.relays:
                relay.close()
        self.history.origin_fetches = self.origin.fetches
        self.history.cache_collapses = [
            (at, name) for name, server in self.caches.items() for at in server.model.collapses
        ]
        self.history.injected_faults = self.links.ended_faults
        return check_history(self.scenario, self.history)

    # Emulated servers

    def create_servers(self) -> None:
        """Create the emulated servers, the relays and the clients, without starting them."""
        scenario, cache = self.scenario, self.scenario.cache
        fleet = scenario.fleet
        self.origin = OriginModel(scenario.origin.fetches, scenario.origin.fetch_ms / 1000.0)
        free_ports = find_free_ports(2 * fleet.proxies)
        self.client_addresses = {f"p{i}": ("127.0.0.1", free_ports[i]) for i in range(fleet.proxies)}
        self.operator_addresses = [
            f"127.0.0.1:{port}" for port in free_ports[fleet.proxies :]
        ]  # for operators' calls
        self.clients = Clients(self.loop, scenario, self.history, self.client_addresses)
        self.batch_clients = BatchClients(self.clients)
        self.hostile_clients = HostileClients(self.clients)
        self.caches: dict[str, CacheEmulator] = {}
        for number in range(fleet.caches):
            self.create_cache(f"c{number}")
        model = DiscoveryModel(
            scenario.service.room,
            scenario.service.open,
            scenario.service.retry_after_s,
            scenario.service.queue,
        )
        self.discovery = DiscoveryEmulator(
            self, model, lambda: {n: server.port for n, server in self.caches.items()}
        )
        self.discovery.has_agents = scenario.service.agents
        self.service_events = ServiceEvents(self.discovery, scenario.service.room)
        wall, now = time.time(), self.loop.time()
        for name, server in self.caches.items():
            if cache.cold:
                server.model.start(now)
                self.history.cold_starts[name] = [now]
            model.put(self.endpoint_entry(name, since=wall if cache.cold else 0.0))
        self.history.cache_zones = {name: self.endpoint_entry(name)["zone"] for name in self.caches}
        if fleet.versions:
            self.discovery.documents.append(self.make_document(1, ZONE_NAMES[: fleet.zones]))
            self.history.published_versions.append(PublishedVersion(now, 1, ZONE_NAMES[: fleet.zones]))
        self.relays, self.gossip_ports = [], []
        if fleet.speak:
            self.gossip_ports = find_free_ports(fleet.proxies, socket.SOCK_DGRAM)
            self.relays = [
                DatagramRelay(self, i, lambda peer: (self.relays[peer], self.gossip_ports[peer]))
                for i in range(fleet.proxies)
            ]

    def create_cache(self, name: str, sock: socket.socket | None = None) -> None:
        """Create an emulated cache, with the socket of one that it replaces if that is given."""
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
        faults = ReplyFaults(
            cache.copies,
            cache.copy_ms / 1000.0,
            cache.drops,
            cache.drops_below_ms,
            cache.breaks,
            cache.resets,
            Random(name),
            cache.pauses,
            cache.pause_ms / 1000.0,
        )
        emulator = CacheEmulator(self, name, model, self.clients.value_size, cache.reports, faults, sock)
        if int(name[1:]) < cache.slow_readers:
            emulator.read_slowly(cache.read_per_s)
        self.caches[name] = emulator

    def endpoint_entry(
        self, name: str, status: str = "SERVING", since: float | None = None
    ) -> dict[str, Any]:
        """Return a cache's entry of the endpoint list.

        Args:
            name: Name of the cache.
            status: Its status in the list.
            since: Time of day at which it started (s since the epoch); None: as in its previous entry.
        """
        previous = self.discovery.model.entries.get(name, {})
        since_ms = previous.get("since_ms", 0) if since is None else round(since * 1000.0)
        zone = ZONE_NAMES[int(name[1:]) % self.scenario.fleet.zones]
        return {
            "name": name,
            "zone": zone,
            "type": "box",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    def make_document(
        self, version: int, zones: str, bad: bool = False, trial: dict | None = None
    ) -> dict[str, Any]:
        """Return the settings as a document that binds the non-retriable method to these zones.

        A `bad` document sets a hard deadline of 1 ms for that method, which no cache can meet.
        """
        settings = {
            name: value for name, value in self.proxy_settings(0).items() if name not in PER_PROXY_SETTINGS
        }
        order_fields = {"failureDomainsOnly": list(zones)} | ({"hardDeadlineNs": 1_000_000} if bad else {})
        methods = [
            method | (order_fields if method["name"] == "order" else {"keeps": ["place", "repeats"]})
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
                "lease": {"s": self.scenario.fleet.lease_s, "drift": CLOCK_DRIFT, "pauseS": MAX_PAUSE_S},
                "settings": settings | {"methods": methods},
            }
            | ({"trial": trial} if trial else {})
        )

    # Proxies

    def proxy_settings(self, number: int) -> dict[str, Any]:
        """Return the settings of proxy `number`."""
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
                "windowNs": round(traffic.window_ms * 1e6),
                "hardDeadlineNs": round(traffic.hard_ms * 1e6),
                "streaming": False,
            }

        return {
            "balancers": fleet.proxies,
            "me": number,
            "kinds": ["box"],
            "discovery": "push",
            "failureDomains": list(ZONE_NAMES[: fleet.zones]),
            "zone": ZONE_NAMES[number % fleet.zones],
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

    def node_file(self, number: int) -> dict[str, Any]:
        """Return the configuration file of proxy `number`."""
        scenario, name = self.scenario, f"p{number}"
        fleet = scenario.fleet
        host, port = self.client_addresses[name]
        node = {
            "name": name,
            "listen": f"{host}:{port}",
            "mgmt": self.operator_addresses[number],
            "seed": f"{scenario.seed * 1000 + number + 1:x}",
            "discovery": f"{proxy_address(number)}:{self.discovery.port}",
            "settings": self.proxy_settings(number),
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
        }
        if fleet.versions:
            node["document"] = self.make_document(1, ZONE_NAMES[: fleet.zones])
        if fleet.record:
            node["record"] = {"folder": str(self.folder / name / "record"), "level": "proxy", "segmentS": 3.0}
        start = self.start_settings(number)
        return node | ({"start": start} if start else {})

    def start_settings(self, number: int) -> dict[str, Any]:
        """Return the settings of proxy `number` on limits and messages between proxies, if it has any."""
        scenario, fleet = self.scenario, self.scenario.fleet
        start = self.limit_settings() if fleet.told else {}
        if fleet.speak:
            relay_port = self.relays[number].port
            start |= {
                "fleet": scenario.name,
                "speak": f"127.0.0.1:{self.gossip_ports[number]}",
                "watchesPerS": scenario.service.room,
                "peers": [f"{proxy_address(i)}:{relay_port}" for i in range(fleet.proxies)],
            }
        if fleet.lend_s is not None:
            start["lendS"] = fleet.lend_s
        if fleet.witnesses:
            start["witnesses"] = True
        if fleet.snapshot:
            start["snapshot"] = str(self.folder / f"p{number}")
        return start

    def limit_settings(self) -> dict[str, Any]:
        """Return the settings on what the service, the caches and the origin can take."""
        scenario, cache = self.scenario, self.scenario.cache
        limits: dict[str, Any] = {
            "watchesPerS": scenario.service.room,
            "connections": cache.connections,
            "cachePerS": cache.slots / cache.hit_ms * 1000.0,
        }
        if cache.handshakes is not None:
            limits["handshakesPerS"] = cache.handshakes
        if cache.in_flight is not None:
            limits["inFlight"] = cache.in_flight
        if scenario.origin.per_s is not None:
            limits["fetchesPerS"] = scenario.origin.per_s
        return limits

    async def launch_proxies(self) -> None:
        """Launch the proxies one after the other, spread over the time that the scenario states."""
        fleet = self.scenario.fleet
        for number in range(fleet.proxies):
            due = self.started_at + fleet.over * number / fleet.proxies
            if due > self.loop.time():
                await asyncio.sleep(due - self.loop.time())
            await self.launch_proxy(number)

    async def launch_proxy(self, number: int) -> None:
        """Write the configuration file of a proxy and start its process."""
        name = f"p{number}"
        proxy_folder = self.folder / name
        proxy_folder.mkdir(parents=True, exist_ok=True)
        (proxy_folder / "node.json").write_bytes(orjson.dumps(self.node_file(number)))
        if not any(file.name == str(proxy_folder / "log") for file in self.log_files):
            self.log_files.append((proxy_folder / "log").open("wb"))
        log = next(file for file in self.log_files if file.name == str(proxy_folder / "log"))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environment |= {"PROXY_CONFIG": str(proxy_folder / "node.json"), "TMPDIR": str(proxy_folder)}
        if self.program:
            environment["PYTHONPATH"] = self.program
        command = self.commands.get(number, DEFAULT_COMMAND)
        if self.scenario.fleet.accounts:
            command = [*command, "--log-level", "DEBUG"]

        def start() -> subprocess.Popen:
            process = subprocess.Popen(
                command,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=self.program,
                close_fds=False,
            )
            with suppress(OSError):
                os.sched_setaffinity(process.pid, self.proxy_cores)
            return process

        self.history.process_events.append(ProcessEvent(self.loop.time(), name, "launched"))
        process = await self.loop.run_in_executor(None, start)
        self.processes[name] = process
        if self.stopping:
            self.kill_proxy(name)
            return
        self.watch_exit(name, process)

    def watch_exit(self, name: str, process: subprocess.Popen) -> None:
        """Watch the process of a proxy, to record its exit once."""
        self.exit_recorded[name] = self.loop.create_future()
        process_fd = os.pidfd_open(process.pid)
        self.loop.add_reader(process_fd, self.on_exit, name, process, process_fd)

    def on_exit(self, name: str, process: subprocess.Popen, process_fd: int) -> None:
        """Record the exit of a process and reap it."""
        self.loop.remove_reader(process_fd)
        os.close(process_fd)
        code = process.wait()
        if not self.stopping:
            self.history.process_events.append(ProcessEvent(self.loop.time(), name, "exited", code))
        self.exit_recorded[name].set_result(None)

    def kill_proxy(self, name: str) -> None:
        """Kill the process of a proxy if it runs."""
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            process.kill()

    def signal_proxy(self, name: str, signal_number: int, what: str) -> None:
        """Send a signal to the process of a proxy if it runs, and record that as `what`."""
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            self.history.process_events.append(ProcessEvent(self.loop.time(), name, what))
            process.send_signal(signal_number)

    async def restart_proxy(self, name: str, forget: bool) -> None:
        """Kill a proxy and start it again; `forget`: without its snapshots."""
        self.signal_proxy(name, signal.SIGKILL, "killed")
        if name in self.exit_recorded:
            # The exit could otherwise be recorded after the next start and be taken for that incarnation's.
            await self.exit_recorded[name]
        if forget:
            for file in (self.folder / name).glob("*.snapshot"):
                file.unlink()
        await self.launch_proxy(int(name[1:]))

    # Events of the scenario

    def schedule_events(self) -> None:
        """Schedule the start and the end of each event."""
        for event in self.scenario.event:
            self.loop.call_at(self.started_at + event.at, self.begin_event, event)
            if event.until is not None and event.do not in ("burst",):
                self.loop.call_at(self.started_at + event.until, self.end_event, event)

    def expand(self, who: str) -> frozenset[str]:
        """Return the names of a group, such as `half` or `zone:a`."""
        fleet = self.scenario.fleet
        return expand_group(who, fleet.proxies, fleet.caches, fleet.zones)

    def begin_event(self, event: Any) -> None:
        """Carry out an event, or start it if it lasts."""
        self.report_progress(f"{event.at:6.1f} s  {event.do} {getattr(event, 'who', '')}")
        if event.do in PROCESS_EVENTS:
            self.begin_process_event(event)
        elif event.do in LINK_EVENTS:
            self.begin_link_fault(event)
        elif event.do == "move":
            self.clients.first_tenant_proxies = self.expand(event.who)
        elif event.do == "publish":
            self.publish_version(event)
        elif event.do == "try":
            self.begin_canary(event)
        elif not self.service_events.begin(event) and event.do != "burst":
            self.apply_cache_event(event)

    def begin_process_event(self, event: Any) -> None:
        """Carry out an event on the processes of proxies, spread over the time that the event states."""
        proxies = sorted(
            (name for name in self.expand(event.who) if name in self.client_addresses),
            key=lambda name: int(name[1:]),
        )
        for index, name in enumerate(proxies):
            self.loop.call_later(event.over * index / len(proxies), self.apply_process_event, event, name)

    def publish_version(self, event: Any) -> None:
        """Publish the next version of the settings."""
        version = self._next_version()
        self.history.published_versions.append(PublishedVersion(self.loop.time(), version, event.zones))
        self.discovery.publish_document(self.make_document(version, event.zones, event.bad))

    def begin_canary(self, event: Any) -> None:
        """Hand out the next version of the settings as a canary."""
        members = sorted(int(name[1:]) for name in self.expand(event.who) & self.client_addresses.keys())
        self.history.canaries.append(
            CanaryEvent(
                self.loop.time(), frozenset(f"p{number}" for number in members), event.span, event.bad
            )
        )
        plan = {"members": members, "s": event.span, "worse": CANARY_MAX_INCREASE}
        self.discovery.hand_out_canary(self.make_document(self._next_version(), event.zones, event.bad, plan))

    def _next_version(self) -> int:
        published = (publication.version for publication in self.history.published_versions)
        return max(published, default=0) + 1

    def apply_process_event(self, event: Any, name: str) -> None:
        """Carry out an event on the process of one proxy."""
        if event.do == "restart":
            self.clients.start_task(self.restart_proxy(name, event.forget))
        else:
            signal_number, what = {
                "kill": (signal.SIGKILL, "killed"),
                "term": (signal.SIGTERM, "termed"),
                "stop": (signal.SIGSTOP, "stopped"),
                "reload": (signal.SIGHUP, "reloaded"),
            }[event.do]
            self.signal_proxy(name, signal_number, what)

    def begin_link_fault(self, event: Any) -> None:
        """Start a fault of links, and schedule its end."""
        changes: dict[str, Any] = {
            "slow": {"rate": event.amount},
            "delay": {"delay": event.amount},
            "reset": {"reset": True},
            "lose": {"loss": event.amount},
            "cut": {
                direction: True
                for direction in ("cut_to", "cut_back")
                if event.way in ("both", direction[4:])
            },
        }[event.do]
        proxies = frozenset(name for name in self.expand(event.who) if name.startswith("p"))
        fault = LinkFault(proxies, self.expand(event.to), changes)
        self.links.begin(self.loop.time(), fault)
        self.notify_connections()
        if event.until is not None:
            self.loop.call_at(self.started_at + event.until, self.end_link_fault, fault)

    def end_link_fault(self, fault: LinkFault) -> None:
        """End a fault of links."""
        self.links.end(self.loop.time(), fault)
        self.notify_connections()

    def notify_connections(self) -> None:
        """Notify all connections that the faults in force have changed."""
        for connection in list(self.connections):
            connection.on_faults_changed()

    def apply_cache_event(self, event: Any) -> None:
        """Carry out an event on caches."""
        now, wall = self.loop.time(), time.time()
        for name in sorted(self.expand(event.who)):
            if event.do == "replace":
                self.replace_cache(name)
            elif event.do == "drain":
                self.discovery.publish_entries(self.endpoint_entry(name, "DRAINING"))
            elif event.do == "remove":
                self.discovery.publish_entries(self.endpoint_entry(name, "DELETED"))
            elif event.do == "sick":
                self.caches[name].model.slowdown = max(1.0, event.amount)
            elif event.do == "sick_large":
                self.caches[name].model.large_answer_slowdown = max(1.0, event.amount)
            else:  # add, cold: starts with an empty cache
                self.caches[name].model.start(now)
                self.history.cold_starts.setdefault(name, []).append(now)
                self.discovery.publish_entries(self.endpoint_entry(name, since=wall))

    def replace_cache(self, name: str) -> None:
        """Let a cache die, and a cold one of another name come up at its address.

        Its removal is told some time after the new one.
        """
        former = self.caches[name]
        successor = f"c{int(name[1:]) + REPLACEMENT_NUMBER_STEP}"
        self.create_cache(successor, former.sock)
        former.successor = self.caches[successor]
        for connection in list(self.connections):
            if isinstance(connection, CacheConnection) and connection.server_name == name:
                connection.die()
        now = self.loop.time()
        former.successor.model.start(now)
        self.history.cold_starts.setdefault(successor, []).append(now)
        self.history.cache_zones[successor] = self.endpoint_entry(successor)["zone"]
        self.discovery.publish_entries(self.endpoint_entry(successor, since=time.time()))
        self.loop.call_later(
            REMOVAL_DELAY_S, self.discovery.publish_entries, self.endpoint_entry(name, "DELETED")
        )

    def end_event(self, event: Any) -> None:
        """End an event that lasts."""
        if event.do == "stop":
            for name in self.expand(event.who) & self.client_addresses.keys():
                self.signal_proxy(name, signal.SIGCONT, "woken")
        elif event.do in ("kill", "term"):
            for name in sorted(self.expand(event.who) & self.client_addresses.keys()):
                self.clients.start_task(self.restart_proxy(name, event.forget))
        elif event.do in ("sick", "sick_large"):
            for name in self.expand(event.who):
                model = self.caches[name].model
                model.slowdown = model.large_answer_slowdown = 1.0
        else:
            self.service_events.end(event)

    # Measurements

    def measure_lag(self) -> None:
        """Record by how much this check is late, and schedule the next one."""
        now = self.loop.time()
        if now - self.next_lag_check_at > MIN_LAG_S:
            self.history.testbed_lags.append((now, now - self.next_lag_check_at))
        self.next_lag_check_at = now + LAG_CHECK_INTERVAL_S
        self.loop.call_at(self.next_lag_check_at, self.measure_lag)

    def record_processor_use(self) -> None:
        """Record the processor time of all proxies since the last call, and the longest wait for a core.

        Both come from the system's scheduler statistics.
        """
        longest_wait_s = processor_time_s = 0.0
        for process in self.processes.values():
            with suppress(OSError, ValueError):
                fields = Path(f"/proc/{process.pid}/schedstat").read_text().split()
                ran_ns, waited_ns = self.scheduler_times.get(process.pid, (0, 0))
                self.scheduler_times[process.pid] = int(fields[0]), int(fields[1])
                processor_time_s += (int(fields[0]) - ran_ns) / 1e9
                longest_wait_s = max(longest_wait_s, (int(fields[1]) - waited_ns) / 1e9)
        self.record_memory()
        self.history.core_waits.append((self.loop.time(), longest_wait_s))
        self.history.processor_use.append((self.loop.time(), processor_time_s))

    def record_memory(self) -> None:
        """Record the largest resident memory that each process has had."""
        for name, process in self.processes.items():
            with suppress(OSError):
                lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
                peak = next((line.split()[1] for line in lines if line.startswith("VmHWM:")), "0")
                former, _ = self.history.memory_peaks.get(name, (0, 0.0))
                if int(peak) << 10 > former:
                    self.history.memory_peaks[name] = int(peak) << 10, self.loop.time()

    def report_status(self) -> None:
        """Record processor use, and report the progress of the run."""
        self.record_processor_use()
        proxies_with_list = len({event.proxy for event in self.history.list_events})
        watches_requested = sum(call.what == "asked" for call in self.history.discovery_calls)
        self.report_progress(
            f"{self.loop.time() - self.started_at:6.1f} s  up {len(self.clients.available_proxies)}, "
            f"lists {proxies_with_list}, asked {watches_requested}, "
            f"RPCs {self.clients.begun_count}, completed {self.clients.completed_count}"
        )


def run_scenario(
    scenario: Scenario,
    folder: Path,
    program: str | None = None,
    commands: dict[int, list[str]] | None = None,
    progress: Callable[[str], None] = lambda line: None,
) -> tuple[Verdict, History]:
    """Run a scenario to its end; no process that it started is left then, also after Ctrl-C.

    Args:
        scenario: What is run.
        folder: Where configuration files, logs and records of the proxies go.
        program: Root of another version of the program whose proxies are run; None: this one.
        commands: Commands that start single proxies, by their number, in place of the usual one.
        progress: Called with each line about the progress of the run.

    Raises:
        KeyboardInterrupt: The run was interrupted.
    """
    folder.mkdir(parents=True, exist_ok=True)
    runner = ScenarioRunner(scenario, folder, program, commands, progress)

    async def run() -> Verdict:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for signal_number in (signal.SIGINT, signal.SIGTERM):  # also where a shell has them ignored
            with suppress(ValueError, RuntimeError):  # not in the main thread
                loop.add_signal_handler(signal_number, task.cancel)
        return await runner.run()

    try:
        return asyncio.run(run()), runner.history
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
