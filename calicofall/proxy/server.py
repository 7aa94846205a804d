"""The proxy: joins clients, the router, upstream connections and discovery on one event loop.

It passes the time to the router, takes each request from the client's command to the final answer, and shuts
down on SIGTERM. The router decides which endpoint a request is sent to and how it ends.

Invariants: an accepted request gets exactly one final answer, unless its client disconnects; if a value
cannot be completed after a part of it was sent, the client's connection is closed instead. Nothing is sent
for a finished request.
"""

import asyncio
import logging
import signal
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any

from calicofall.config.addresses import parse_address
from calicofall.config.endpoint_list import parse_endpoint_list
from calicofall.config.settings import (
    normalize_settings,
    parse_seed,
    settings_on_sockets,
)
from calicofall.config.startup import parse_startup_settings
from calicofall.fleet.hot_keys import HotKeyDetector
from calicofall.fleet.in_flight_quota import InFlightQuota
from calicofall.fleet.rate_slots import OriginFetchSlots, RateSlots
from calicofall.fleet.settings_document import PER_PROXY_SETTINGS, SettingsDocument
from calicofall.invariants import violation_counts
from calicofall.proxy import configuration_sync
from calicofall.proxy.clients import ClientConnections
from calicofall.proxy.command_memory import CommandMemory
from calicofall.proxy.connection import Listener, check_address_available, open_connection
from calicofall.proxy.departure_file import DepartureFile
from calicofall.proxy.discovery import Discovery
from calicofall.proxy.garbage_collection import GarbageCollection, exempt_present_objects
from calicofall.proxy.gossip_transport import GossipTransport
from calicofall.proxy.graceful_shutdown import REPLACED_IDLE_CLOSE_DELAY_S, GracefulShutdown
from calicofall.proxy.management import ManagementServer
from calicofall.proxy.metrics import Metrics
from calicofall.proxy.operator_calls import OperatorCalls
from calicofall.proxy.outlier_reports import OutlierReports
from calicofall.proxy.process_limits import BASE_MEMORY_MB, divide_limits, process_memory_bytes
from calicofall.proxy.process_lock import ProcessLock
from calicofall.proxy.process_memory import ProcessMemory
from calicofall.proxy.quota_enforcement import (
    HANDSHAKE_SLOTS,
    MAX_CLOCK_DRIFT,
    ORIGIN_FETCH_SLOTS,
    QuotaEnforcement,
)
from calicofall.proxy.request_lifecycle import RequestLifecycle
from calicofall.proxy.snapshot_store import SnapshotStore
from calicofall.proxy.upstream import Upstreams
from calicofall.recording import segment_writer
from calicofall.routing.actions import CloseConnections
from calicofall.routing.router import Router
from calicofall.startup import peer_messages, snapshot
from calicofall.startup.connection_quotas import ConnectionQuotas
from calicofall.startup.contention import ContentionEstimate
from calicofall.startup.discovery_schedule import DiscoverySchedule
from calicofall.startup.phases import StartupPhases
from calicofall.startup.time_slots import TimeSlots

# The largest number of proxies in a fleet at which they open connections before they are needed. In larger
# fleets, the connections that all proxies keep open in advance would crowd each endpoint.
MAX_PROXIES_PRECONNECTING = 7
TICK_DELAY_S = 0.003  # delay of a tick, so that events close together share one
UPKEEP_INTERVAL_S = 0.25
# Time after SIGTERM in which new connections are still accepted: the load balancer in front may still choose
# this proxy.
ACCEPT_AFTER_SIGTERM_S = 0.5
BLOCKED_SIGNALS = {signal.SIGHUP, signal.SIGTERM}  # blocked until their handlers are installed
# The longest time that a starting proxy with a cached list waits for an answer or a refusal of the discovery
# service. If the service is up, it answers within this time.
LIST_WAIT_S = 2.0
# At shutdown, requests in flight are expired this long after the time that they have to finish, which counts
# from SIGTERM (`GracefulShutdown.in_flight_timeout_s`).
EXPIRE_DELAY_S = 0.45
STOP_DELAY_S = 0.2  # time from expiring the requests to the end of the process
log = logging.getLogger("calicofall")


class Proxy:
    """One proxy process: its components and its requests in flight.

    Args:
        node: The node file's content.
        loop: The event loop.
        connect: Opens a connection, as `connection.open_connection` does.
    """

    def __init__(
        self,
        node: dict[str, Any],
        loop: asyncio.AbstractEventLoop,
        connect: Callable[..., None] = open_connection,
    ) -> None:
        self.node, self.loop, self.connect = node, loop, connect
        # The difference of the wall clock and the loop's clock. With it, the times in endpoint lists and
        # those of timers are on one clock (`now_ms`).
        self.wall_clock_offset_ms = time.time() * 1000.0 - loop.time() * 1000.0
        document = configuration_sync.initial_document(node)
        own_settings = {name: value for name, value in node["settings"].items() if name in PER_PROXY_SETTINGS}
        settings, log_lines = settings_on_sockets(
            node["settings"] if document is None else document.settings | own_settings
        )
        for log_line in log_lines:
            log.info(log_line)
        deployment = normalize_settings(settings)
        self.methods = {method["name"]: method for method in deployment["methods"]}
        self.tenants = {tenant["name"] for tenant in deployment.get("tenants") or []}
        self.polls_discovery = deployment.get("discovery") == "ask"
        self.startup_settings = parse_startup_settings(node)
        self.phases = StartupPhases(loop.time())
        self.process_lock: ProcessLock | None = None
        self.proxy_number, self.proxy_count = deployment.get("me") or 0, deployment.get("proxies") or 1
        seed = parse_seed(node["seed"])
        # Separate from the router's random generator: a replay repeats the router's draws from the recorded
        # seed, so only routing decisions may use that one.
        self.random_generator = Random(seed + 1)
        # Identifies this incarnation, so that answers to a previous incarnation's messages can be ignored.
        has_peers = "gossip_address" in self.startup_settings
        self.incarnation = self.random_generator.getrandbits(48) if has_peers else 0
        self.garbage_collection = GarbageCollection()
        self.logged_ejections: list[str] = []  # ejected endpoints, as last logged
        self.tick_timer: asyncio.Handle | None = None
        self.tick_due_at = float("inf")
        self.listener: Listener | None = None
        self.stopped = loop.create_future()
        self.end_reason = ""  # why the process ends
        self.process_memory, self.metrics = self._make_metrics()
        self.connection_quotas = self._make_connection_quotas(deployment["rules"])
        self.recorder: Any = None
        self.router = self._make_router(deployment, seed)
        # Records commands, answers and operator calls; set only at the record level "proxy".
        self.note_recorder = (
            self.recorder if self.recorder is not None and self.recorder.records_notes else None
        )
        self.requests = RequestLifecycle(self)
        self.active_requests = self.requests.active_requests
        self._make_connections(deployment["caps"])
        self.shutdown = GracefulShutdown(loop, self.clients, self.longest_deadline_s)
        self.operator_calls = OperatorCalls(self)
        self.management = ManagementServer(loop, self.handle_call)
        self.snapshot_store: SnapshotStore | None = None
        initial_list, learned_state = self._load_initial_state()
        self.discovery = self._make_discovery(initial_list.get("index"), deployment["rules"])
        self.gossip = self._make_gossip()
        self.quotas = self._make_quotas(deployment["rules"])
        self.outliers = self._make_outliers(settings.get("zone") or "")
        self.apply_pins(settings, deployment)
        self.configuration_sync: configuration_sync.ConfigurationSync | None = None
        if initial_list:
            _, index, entries, addresses = parse_endpoint_list(initial_list)
            self.apply_list("cached", index, entries, addresses)
            self.router.restore_learned_state(self.now_ms(), learned_state)
        if document is not None and self.gossip is not None:  # a document needs messages between proxies
            self.configuration_sync = self._make_configuration_sync(document, own_settings, self.gossip)

    # Parts, each made once by the constructor

    def _make_metrics(self) -> tuple[ProcessMemory, Metrics]:
        memory = ProcessMemory(process_memory_bytes(self.node, 1), self.loop.time, self.memory_usage)
        return memory, Metrics(
            self.methods,
            {
                "current": lambda: len(self.active_requests),
                "cluster_size": lambda: len(self.upstreams.endpoint_names),
                "cluster_unhealthy": lambda: self.router.heavily_degraded_count(self.now_ms()),
                "memory_mb": memory.resident_mb,
                "memory_limit_mb": memory.limit_mb,
            },
        )

    def _make_rate_slots(self, name: str) -> RateSlots:
        return RateSlots(
            peer_messages.name_digest(name),
            self.proxy_number,
            self.incarnation,
            self.proxy_count,
            self.loop.time(),
            self.startup_settings.get("quota_lease_s", 0.0),
            MAX_CLOCK_DRIFT,
            self.random_generator,
        )

    def _make_connection_quotas(self, rules: dict[str, Any]) -> ConnectionQuotas:
        leases_slots = "quota_lease_s" in self.startup_settings
        return ConnectionQuotas(
            self.proxy_number,
            self.proxy_count,
            self.startup_settings.get("handshakes_per_s"),
            self.startup_settings.get("max_connections"),
            self.startup_settings.get("endpoint_capacity_per_s"),
            rules.get("fall_multiple"),
            self._make_rate_slots(HANDSHAKE_SLOTS) if leases_slots else None,
        )

    def _make_router(self, deployment: dict[str, Any], seed: int) -> Router:
        """Creates the router, and the recorder if decisions are recorded."""
        # `bears`, a setting that the proxy adds: its share of the requests per ms that a warm endpoint of
        # weight 1 serves.
        deployment = self._with_max_keys(deployment) | {"bears": self.connection_quotas.capacity_share_per_ms}
        has_origin_slots = "origin_fetches_per_s" in self.startup_settings
        record_settings = segment_writer.parse_record_settings(self.node)
        if record_settings:
            from calicofall.proxy.recorder import Recorder

            self.recorder = Recorder(
                self.loop, record_settings, self.node["name"], f"{time.time_ns():x}", time.time
            )
            router: Router = self.recorder.make_router(
                deployment, seed, self.now_ms(), has_origin_slots, self.wall_clock_offset_ms
            )
        else:
            router = Router(deployment, seed, self.now_ms())
        if has_origin_slots:
            router.slot_clock_offset_ms = self.wall_clock_offset_ms
            router.origin_slots = OriginFetchSlots(
                self._make_rate_slots(ORIGIN_FETCH_SLOTS),
                self.startup_settings["origin_fetches_per_s"],
                self.loop.time(),
                self.now_ms() / 1000.0,
            )
        return router

    def _with_max_keys(self, deployment: dict[str, Any]) -> dict[str, Any]:
        """Returns a deployment's settings with the cap that this process's memory sets to tables by key."""
        return deployment | {"caps": deployment["caps"] | {"max_keys": divide_limits(self.node, 1).max_keys}}

    def _make_connections(self, caps: dict[str, Any]) -> None:
        """Creates the connections to endpoints and to clients, which share one budget of descriptors."""
        limits = divide_limits(self.node, 1)
        memory = CommandMemory(self.loop, limits.read_ahead_bytes, self.metrics)
        self.upstreams = Upstreams(
            self.loop,
            caps,
            limits.max_upstream_connections,
            # In a large fleet, proxies that each opened connections to every endpoint would make all their
            # handshakes at once after a start.
            self.proxy_count <= MAX_PROXIES_PRECONNECTING,
            self.connect,
            self.requests.find_sink,
            self.requests.on_streaming,
            self.requests.on_outcome,
            self.metrics,
            self.connection_quotas,
            self.now_ms() / 1000.0 - self.loop.time(),
            memory,
        )
        self.upstreams.may_send = self.requests.may_send
        self.upstreams.arrives_by = self.requests.arrives_by
        self.upstreams.incomplete_reply_due_at = self.requests.incomplete_reply_due_at
        self.clients = ClientConnections(
            self.loop,
            limits.max_connections,
            memory,
            self.longest_deadline_s(),
            self.requests.on_request,
            self.requests.find_time_left_s,
            self.requests.on_client_disconnected,
        )
        self.clients.count_other_connections = self.upstreams.connection_count
        self.upstreams.shared_budget_has_capacity = self.clients.ensure_capacity
        max_in_flight = self.startup_settings.get("max_in_flight", 0.0)
        if max_in_flight:
            self.upstreams.in_flight_quota = InFlightQuota(
                max_in_flight / self.proxy_count, self.random_generator
            )

    def _load_initial_state(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """Returns the initial list and learned state, from the snapshot if there is one."""
        initial_state: tuple[dict[str, Any], dict[str, Any]] = (self.node.get("known") or {}, {})
        if "snapshot_folder" not in self.startup_settings:
            return initial_state
        self.snapshot_store = SnapshotStore(
            self.loop, self.startup_settings["snapshot_folder"], self.node["name"], self.encode_snapshot
        )
        owner = snapshot.snapshot_owner(self.node["name"], self.node["settings"], self.node["discovery"])
        loaded = self.snapshot_store.load(
            owner, self.now_ms() / 1000.0, self.startup_settings["max_snapshot_age_s"]
        )
        return initial_state if loaded is None else loaded

    def _make_discovery(self, initial_version: int | None, rules: dict[str, Any]) -> Discovery:
        list_watches_per_s = self.startup_settings.get("list_watches_per_s")
        time_slots = None
        if list_watches_per_s:
            time_slots = TimeSlots(
                self.proxy_number,
                self.proxy_count,
                list_watches_per_s,
                self.loop.time(),
                self.now_ms() / 1000.0,
            )
        schedule = DiscoverySchedule(
            self.random_generator,
            self.proxy_count,
            # The longest backoff (s): half the interval (ms) at which the settings have lists polled.
            (rules.get("ask_every") or 10_000.0) / 2000.0,
            time_slots,
        )
        return Discovery(
            self.loop,
            self.connect,
            self.node["discovery"],
            initial_version,
            schedule,
            self.on_list_event,
            self.on_discovery_failure,
            self.reach_phase,
        )

    def _make_gossip(self) -> GossipTransport | None:
        """Creates the messages between proxies, if the node file names an address for them."""
        if "gossip_address" not in self.startup_settings:
            return None
        contention = ContentionEstimate(
            self.proxy_number,
            self.proxy_count,
            self.startup_settings["list_watches_per_s"],
            self.random_generator,
        )
        gossip = GossipTransport(
            self.loop,
            contention,
            self.startup_settings["fleet_name"],
            self.incarnation,
            self.startup_settings["peer_addresses"],
            lambda: self.discovery.is_live,
        )
        self.discovery.estimate_contention = gossip.estimate_contention
        gossip.reopen_watch = self.discovery.reopen
        return gossip

    def _make_quotas(self, rules: dict[str, Any]) -> QuotaEnforcement | None:
        """Creates the leases of limits that proxies lend each other, if the node file names their length."""
        gossip = self.gossip
        if gossip is None or "quota_lease_s" not in self.startup_settings:
            return None
        leased_slots: dict[str, tuple[RateSlots, Callable[[float], float]]] = {}
        if self.connection_quotas.handshakes_per_s:
            leased_slots[HANDSHAKE_SLOTS] = (
                self.connection_quotas.rate_slots,
                self.connection_quotas.demanded_slots,
            )
        if self.router.origin_slots is not None:
            leased_slots[ORIGIN_FETCH_SLOTS] = (
                self.router.origin_slots.rate_slots,
                self.router.origin_slots.wanted_slots,
            )
        quotas = QuotaEnforcement(
            self.loop,
            self.proxy_number,
            self.incarnation,
            self.proxy_count,
            self.startup_settings["quota_lease_s"],
            self.random_generator,
            self.startup_settings.get("endpoint_capacity_per_s"),
            rules,
            lambda: len(self.upstreams.endpoint_names),
            gossip.send,
            gossip.membership.alive_members,
            self.apply_quota_shares,
            leased_slots,
            self.upstreams.in_flight_quota,
            self.startup_settings.get("max_in_flight", 0.0),
            self.longest_deadline_s(),
        )
        gossip.on_quota_lease = quotas.on_message
        return quotas

    def _make_outliers(self, zone: str) -> OutlierReports | None:
        """Creates the exchange of evidence on endpoints, if the node file asks for it."""
        gossip = self.gossip
        if gossip is None or not self.startup_settings.get("shares_evidence"):
            return None
        outliers = OutlierReports(
            self.loop,
            self.proxy_number,
            self.incarnation,
            zone,
            self.random_generator,
            self.router,
            lambda: self.upstreams.endpoint_names,
            gossip.send,
            gossip.membership.alive_members,
            self.now_ms,
            self._make_hot_key_detector(),
        )
        gossip.on_evidence = outliers.on_message
        return outliers

    def _make_hot_key_detector(self) -> HotKeyDetector | None:
        """Creates the detector of hot keys: their rate exceeds a part of an endpoint's capacity."""
        endpoint_capacity_per_s = self.startup_settings.get("endpoint_capacity_per_s")
        if not endpoint_capacity_per_s:
            return None
        return HotKeyDetector(
            self.proxy_number,
            self.incarnation,
            self.proxy_count,
            endpoint_capacity_per_s,
            self.loop.time(),
            self.random_generator,
        )

    def _make_configuration_sync(
        self, document: SettingsDocument, own_settings: dict[str, Any], gossip: GossipTransport
    ) -> configuration_sync.ConfigurationSync:
        sync = configuration_sync.ConfigurationSync(
            self.loop,
            self.connect,
            self.node["discovery"],
            self.proxy_number,
            gossip.incarnation,
            own_settings,
            document,
            self.random_generator,
            gossip.send,
            self.apply_settings,
            gossip.membership.set_members,
            self.metrics.finished_by_method,
        )
        gossip.on_agreement = sync.on_message
        return sync

    def longest_deadline_s(self) -> float:
        """Returns the longest hard deadline of all methods (s)."""
        return max([method["hard_deadline"] for method in self.methods.values()], default=3000.0) / 1000.0

    def now_ms(self) -> float:
        """Returns the wall clock time (ms), which advances with the event loop's clock."""
        return self.loop.time() * 1000.0 + self.wall_clock_offset_ms

    async def wait_for_list(self) -> None:
        """Waits for the endpoint list before the listener opens.

        The wait ends when the discovery service has answered or refused, or after LIST_WAIT_S; a proxy that
        has no list at all waits until it receives one. Without the wait, a restarted proxy would act on the
        list of its previous incarnation, and send requests to endpoints that have begun to drain since.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(LIST_WAIT_S):
                await self.discovery.answered_or_refused.wait()
        if not self.discovery.has_answered and not self.upstreams.endpoint_names:
            # A proxy without a list would accept clients and reject all their requests.
            check_address_available(parse_address(self.node["listen"]))  # fails now, not after the wait
            log.warning("no list", extra={"door": "closed until a list is received"})
            await self.discovery.first_answer.wait()
        if not self.discovery.has_answered:
            log.warning("serving on an old list", extra={"index": self.discovery.version})

    def reach_phase(self, phase: str) -> None:
        """Logs that the startup has reached a phase, once for each phase."""
        elapsed_ms = self.phases.mark_reached(phase, self.loop.time())
        if elapsed_ms is not None:
            log.info("start", extra={"phase": phase, "ms": elapsed_ms})

    def encode_snapshot(self) -> bytes | None:
        """Returns the snapshot for the next incarnation; None while the endpoint list may be out of date."""
        if not self.discovery.is_live:
            return None
        owner = snapshot.snapshot_owner(self.node["name"], self.node["settings"], self.discovery.address)
        return snapshot.encode_snapshot(
            owner,
            self.now_ms() / 1000.0,
            self.upstreams.endpoint_list(self.discovery.version),
            self.router.learned_state(self.now_ms()),
        )

    # Endpoint list

    def on_list_event(
        self, kind: str, index: int | None, entries: list[tuple[Any, ...]], addresses: dict[str, str]
    ) -> None:
        """Applies a list or a change of the list that discovery has received."""
        self.apply_list(kind, index, entries, addresses)
        self.schedule_tick()

    def apply_list(
        self, kind: str, index: int | None, entries: list[tuple[Any, ...]], addresses: dict[str, str]
    ) -> None:
        """Passes a list to the router, the upstream connections and the list digests sent to peers."""
        entries = self.upstreams.address_owners.resolve(kind == "delta", entries, addresses)
        # The router comes first, so that requests withdrawn from a removed endpoint are sent elsewhere.
        self.router.on_endpoint_list(self.now_ms(), kind, index, entries)
        self.upstreams.on_endpoint_list(kind, entries, addresses)
        if self.gossip is not None and kind != "cached":
            self.gossip.list_freshness.set_own_list(self.loop.time(), index, self.upstreams.endpoint_states())

    def on_discovery_failure(self) -> None:
        """Reports to the router that no list arrived, if the settings say that discovery is polled."""
        if self.polls_discovery:
            self.router.on_endpoint_list(self.now_ms(), "failed", None, [])
            self.schedule_tick()

    # Settings

    def apply_settings(self, settings: dict[str, Any]) -> None:
        """Replaces all settings; they apply from the next request on."""
        deployment = normalize_settings(settings_on_sockets(settings)[0])
        self.methods = {method["name"]: method for method in deployment["methods"]}
        self.tenants = {tenant["name"] for tenant in deployment.get("tenants") or []}
        self.requests.set_methods(self.methods, self.tenants)
        self.router.apply_settings(self.now_ms(), self._with_max_keys(deployment))
        self.apply_pins(settings, deployment)
        self.schedule_tick()

    def apply_pins(self, settings: dict[str, Any], deployment: dict[str, Any]) -> None:
        """Applies the settings' fleet-wide limits, and which limits and endpoints operators have pinned."""
        pins = settings.get("pins") or {}
        if self.quotas is not None:
            self.quotas.apply_settings(deployment.get("tenants") or [], pins.get("limits") or ())
        if self.outliers is not None:
            self.outliers.pin(pins.get("caches") or ())

    def apply_quota_shares(self, quotas_per_s: dict[str, float], endpoint_rate_per_s: float | None) -> None:
        """Passes this proxy's quota shares to the router.

        Args:
            quotas_per_s: This proxy's shares of the tenants' quotas, in requests a second.
            endpoint_rate_per_s: This proxy's share of the requests a second that a warm endpoint can serve;
                None or 0 if no such rate is configured.
        """
        # The router lets an endpoint that warms up have `overload_multiple` times its rate, and counts per
        # ms.
        rate_divisor = self.router.overload_multiple() * 1000.0
        self.router.set_quota_shares(
            {name: quota_per_s / 1000.0 for name, quota_per_s in quotas_per_s.items()},
            endpoint_rate_per_s and endpoint_rate_per_s / rate_divisor,
        )

    # Timers

    def schedule_tick(self) -> None:
        """Schedules one call of `tick` for all events of the next TICK_DELAY_S."""
        tick_at = self.loop.time() + TICK_DELAY_S
        if self.tick_timer is None or self.tick_due_at > tick_at:
            if self.tick_timer is not None:
                self.tick_timer.cancel()
            self.tick_timer, self.tick_due_at = self.loop.call_at(tick_at, self.tick), tick_at

    def tick(self) -> None:
        """Routes requests whose wait is over, writes the router's log lines, and executes its actions."""
        self.tick_timer, now = None, self.now_ms()
        while (request := self.router.next_due_request(now)) is not None:
            self.requests.route_again(now, request)
        wait_ms = self.router.tick(now)
        for log_line in self.router.log_lines:
            log.info("mode", extra={"what": log_line})
        self.router.log_lines.clear()
        for action in self.router.actions:
            if isinstance(action, CloseConnections):
                self.upstreams.close_idle(action.endpoint)
        self.router.actions.clear()
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.tick_due_at = self.loop.time() + min(wait_ms, 60_000.0) / 1000.0
        self.tick_timer = self.loop.call_at(self.tick_due_at, self.tick)

    def adjust_to_processes(self) -> None:
        """Adapts the limits to the number of running processes of this proxy, which share them."""
        if self.process_lock is not None and self.process_lock.refresh():
            process_count = self.process_lock.other_process_count + 1
            log.info(
                "processes",
                extra={
                    "count": process_count,
                    "serving": self.process_lock.serving_process_count + self.serving(),
                },
            )
            limits = divide_limits(self.node, process_count)
            self.process_memory.limit_bytes = process_memory_bytes(self.node, process_count)
            if self.process_memory.limit_mb() < BASE_MEMORY_MB:
                log.warning(
                    "memory limit too low for the processes that share it",
                    extra=self.process_memory.log_fields(),
                )
            self.clients.memory.set_read_ahead(limits.read_ahead_bytes)
            self.upstreams.set_max_connections(limits.max_upstream_connections)
            self.clients.set_max_connections(limits.max_connections)
            self.router.set_process_count(process_count)

    def upkeep(self) -> None:
        """Does the periodic checks, and schedules the next ones."""
        # Scheduled first, so that an exception below does not end the upkeep for good.
        self.loop.call_later(UPKEEP_INTERVAL_S, self.upkeep)
        self.adjust_to_processes()
        if "limits found" not in self.phases.elapsed_ms_by_phase and self.router.has_baselines():
            self.reach_phase("limits found")
        self.process_memory.check()
        self.upstreams.close_expired_idle()
        self.clients.close_overdue()
        if (
            self.requests.logs_requests
            and (ejected := self.router.ejected_endpoints(self.now_ms())) != self.logged_ejections
        ):
            self.logged_ejections = ejected
            log.debug("aside", extra={"caches": ",".join(ejected) or None})
        self.garbage_collection.collect(self.metrics.total_closes())

    # Startup, signals and errors

    async def serve(self, reread_configuration: Callable[[], dict[str, Any]]) -> None:
        """Runs the proxy until it is terminated.

        Args:
            reread_configuration: Reads the node file again and returns its content.
        """
        self.loop.add_signal_handler(signal.SIGHUP, self.on_sighup, reread_configuration)
        self.loop.set_exception_handler(self.on_loop_error)
        if self.node.get("mgmt"):
            self.management.listen(parse_address(self.node["mgmt"]))
        # The lock's name includes the address: two proxies of the same name for two customers do not replace
        # each other.
        process_name = f"{self.node['name']}-{self.node['listen']}"
        self.process_lock = ProcessLock(process_name, tempfile.gettempdir())
        departures = DepartureFile(f"{self.process_lock.folder}.departures")
        self.requests.departed.shared_file = departures
        # Before the listener opens no request has been accepted, so SIGTERM ends the process at once.
        task = asyncio.current_task()
        if task is not None:
            self.loop.add_signal_handler(signal.SIGTERM, task.cancel)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)  # delivers signals that are pending
        try:
            await self.run()
        except asyncio.CancelledError:
            log.info("stopped", extra={"door": "listener was not open yet"})
        except OSError:  # the command line prints it
            raise
        except Exception as error:
            log.exception("process failed", extra={"reason": repr(error), **self.process_memory.log_fields()})
            raise
        finally:
            self.process_lock.refresh()
            departures.close(is_last=not self.process_lock.other_process_count)
            self.process_lock.release()
            self.management.close()
            for component in (
                self.outliers,
                self.quotas,
                self.configuration_sync,
                self.gossip,
                self.snapshot_store,
                self.recorder,
            ):
                if component is not None:
                    component.close()

    async def run(self) -> None:
        """Starts all components, opens the listener once there is a list, and waits until the proxy stops."""
        if self.gossip is not None:
            await self.gossip.open(self.startup_settings["gossip_address"])
        if self.configuration_sync is not None:
            self.configuration_sync.start()
        for component in (self.quotas, self.outliers):
            if component is not None:
                component.wake()
        if self.recorder is not None:
            self.recorder.start()
            self.loop.add_signal_handler(signal.SIGUSR1, self.recorder.save)
        if self.snapshot_store is not None:
            self.snapshot_store.start()
        self.discovery.start()
        self.upkeep()
        self.schedule_tick()
        exempt_present_objects()  # most of them live as long as the process
        await self.wait_for_list()
        # The listener opens last: from here on the kernel assigns new connections to this process, too.
        self.listener = Listener(
            self.loop,
            parse_address(self.node["listen"]),
            self.clients.ensure_capacity,
            self.clients.add_client,
            self.clients.awaits_release,
            shared=True,
        )
        if self.process_lock is not None:
            self.process_lock.mark_serving()
        self.reach_phase("door open")
        self.loop.add_signal_handler(signal.SIGTERM, self.terminate)
        self.loop.add_signal_handler(signal.SIGINT, self.terminate)
        log.info(
            "serving",
            extra={
                "proxy": self.node["name"],
                "listen": self.node["listen"],
                "caches": len(self.upstreams.pools),
                **self.process_memory.log_fields(),
            },
        )
        await self.stopped
        self.upstreams.close()
        self.clients.discard_unread_input()
        self.discovery.stop()
        self.requests.log_latencies()
        fields: dict[str, object] = {"reason": self.end_reason, **self.process_memory.log_fields()}
        log.info("stopped", extra=fields | self.metrics.totals() | {"broken": dict(violation_counts) or None})

    def on_sighup(self, reread_configuration: Callable[[], dict[str, Any]]) -> None:
        """Handles SIGHUP: applies the discovery address of the file, and logs which fields need a restart."""
        try:
            node = reread_configuration()
        except Exception as error:  # an invalid file changes nothing
            log.warning("configuration kept", extra={"reason": str(error)})
            return
        needs_restart = [
            name
            for name in ("name", "listen", "mgmt", "limits", "settings", "start", "document")
            if node.get(name) != self.node.get(name)
        ]
        self.discovery.change_address(node["discovery"])
        if self.configuration_sync is not None:
            self.configuration_sync.change_address(node["discovery"])
        if self.note_recorder is not None:
            self.note_recorder.note("reload", discovery=node["discovery"], held=needs_restart)
        log.info(
            "configuration reread",
            extra={"discovery": node["discovery"], "until_restart": ",".join(needs_restart) or None},
        )

    def on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Logs an exception that no component caught; with a traceback unless it is an OSError."""
        exception = context.get("exception")
        logged_exception = (
            exception if isinstance(exception, Exception) and not isinstance(exception, OSError) else None
        )
        log.error(
            "trouble",
            extra={"what": context.get("message"), "reason": repr(exception)},
            exc_info=logged_exception,
        )

    # State

    def memory_usage(self) -> dict[str, int]:
        """Returns what the proxy counts of its memory, for log lines (bytes, or numbers of objects)."""
        memory = self.clients.memory
        return {
            "clients": len(self.clients.connections),
            "calls": len(self.active_requests),
            "buffered": memory.buffered_bytes,
            "incomplete": memory.partial_command_bytes,
            "replies": memory.reply_bytes,
            "held": memory.held_bytes,
            "streams": memory.streamed_replies,
            "waiting": len(memory.waiting),
        }

    def handle_call(self, call: str) -> str:
        """Executes an operator's call and returns the reply."""
        return self.operator_calls.handle(call)

    def serving(self) -> bool:
        """Returns whether the proxy accepts clients and no shutdown is under way."""
        return self.listener is not None and self.shutdown.began_at is None

    def state(self) -> str:
        """Returns the proxy's state, as operator calls report it."""
        return "starting" if self.listener is None else "serving" if self.serving() else "emptying"

    def log_event(self, event: str) -> None:
        """Logs an event with the numbers of active requests and clients."""
        if self.note_recorder is not None:
            self.note_recorder.note(
                event, calls=len(self.active_requests), clients=len(self.clients.connections)
            )
        log.info(event, extra={"calls": len(self.active_requests), "clients": len(self.clients.connections)})

    # Graceful shutdown

    def terminate(self) -> None:
        """Handles SIGTERM and SIGINT: stops the proxy once all accepted requests are answered."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):  # further signals are ignored
            self.loop.add_signal_handler(signal_number, lambda: None)
        self.log_event("draining")
        self.adjust_to_processes()
        self.shutdown.is_final = True
        if self.process_lock is not None and self.process_lock.serving_process_count:
            # Another process of this proxy serves its clients, so PING still succeeds.
            self.shutdown.begin(REPLACED_IDLE_CLOSE_DELAY_S, reject_ping=False)
            self.stop_listening()
        else:
            self.shutdown.begin(ACCEPT_AFTER_SIGTERM_S)
            self.loop.call_later(ACCEPT_AFTER_SIGTERM_S, self.stop_listening)
        self.loop.call_later(self.shutdown.in_flight_timeout_s() + EXPIRE_DELAY_S, self.expire_requests)

    def stop_listening(self) -> None:
        """Closes the listener; the proxy stops after its last connection has closed."""
        if self.listener is not None:
            self.listener.close()
        self.end_when_idle()

    def expire_requests(self) -> None:
        """Expires all requests in flight, since the process is killed soon after its SIGTERM."""
        self.requests.expire_all()
        self.loop.call_later(STOP_DELAY_S, self.end, "the time to shut down has ended")

    def end_when_idle(self) -> None:
        """Stops the proxy once no request is in flight and every client connection is closed."""
        if self.active_requests or self.clients.connections:
            self.loop.call_later(0.02, self.end_when_idle)
        else:
            self.end("all clients are answered and gone")

    def end(self, reason: str) -> None:
        """Lets `run` return."""
        if not self.stopped.done():
            self.end_reason = reason
            self.stopped.set_result(None)
