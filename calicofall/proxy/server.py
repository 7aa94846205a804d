"""The proxy: joins clients, the router, upstream connections and discovery on one event loop.

It owns the clock, the way of each request from command to answer, and the way out on SIGTERM. Where a request
goes and what becomes of it is the router's to say.

Invariants: a request that was taken gets exactly one final answer; nothing is sent for one that is over.
"""

import asyncio
import gc
import logging
import signal
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram

from calicofall.config.addresses import parse_address
from calicofall.config.endpoint_list import parse_endpoint_list
from calicofall.config.settings import (
    descriptor_limit,
    memory_limit_mb,
    normalize_settings,
    parse_seed,
    settings_on_sockets,
)
from calicofall.config.startup import parse_startup_settings
from calicofall.fleet.hot_keys import HotKeyDetector
from calicofall.fleet.in_flight_quota import InFlightQuota
from calicofall.fleet.rate_slots import OriginFetchSlots, RateSlots
from calicofall.fleet.settings_document import PER_PROXY_SETTINGS
from calicofall.invariants import check_invariant, violation_counts
from calicofall.proxy import configuration_sync, resp
from calicofall.proxy.client_connection import PendingReply
from calicofall.proxy.client_protocol import build_forwarded_command, parse_request_fields
from calicofall.proxy.clients import ClientConnections
from calicofall.proxy.connection import Listener, check_address_available, open_connection
from calicofall.proxy.discovery import Discovery
from calicofall.proxy.gossip_transport import GossipTransport
from calicofall.proxy.graceful_shutdown import REPLACED_IDLE_CLOSE_DELAY_S, GracefulShutdown
from calicofall.proxy.management import ManagementServer
from calicofall.proxy.metrics import Metrics
from calicofall.proxy.outlier_reports import OutlierReports
from calicofall.proxy.process_lock import ProcessLock
from calicofall.proxy.quota_enforcement import (
    HANDSHAKE_SLOTS,
    MAX_CLOCK_DRIFT,
    ORIGIN_FETCH_SLOTS,
    QuotaEnforcement,
)
from calicofall.proxy.snapshot_store import SnapshotStore
from calicofall.proxy.upstream import UpstreamCommand, Upstreams
from calicofall.recording import segment_writer
from calicofall.routing.actions import CloseConnections
from calicofall.routing.request import Request
from calicofall.routing.router import Router
from calicofall.startup import peer_messages, snapshot
from calicofall.startup.connection_quotas import ConnectionQuotas
from calicofall.startup.contention import ContentionEstimate
from calicofall.startup.discovery_schedule import DiscoverySchedule
from calicofall.startup.phases import StartupPhases
from calicofall.startup.time_slots import TimeSlots

MAX_PROXIES_OPENING_AHEAD = 7  # in larger fleets connections opened ahead would crowd the endpoints
RESERVED_DESCRIPTORS = 32  # that neither clients nor endpoints may use
BASE_MEMORY_MB = 24  # that a proxy takes without requests
TICK_DELAY_S = 0.003  # within which events share a tick
UPKEEP_INTERVAL_S = 0.25
FULL_COLLECTION_ROUNDS = 20  # rounds of upkeep after which all generations are collected
ACCEPT_AFTER_SIGTERM_S = 0.5  # in which new connections still come
BLOCKED_SIGNALS = {signal.SIGHUP, signal.SIGTERM}  # until there are handlers for them
OK_PREFIX = "+OK"  # how an answer to an operator begins
ERROR_PREFIX = "-ERR"
LIST_WAIT_S = 2.0  # in which a start waits for the list: an agent that is up answers within them
EXPIRE_DELAY_S = 0.45  # over the longest deadline, at which requests in flight are given up
STOP_DELAY_S = 0.2  # from then to the end
log = logging.getLogger("calicofall")


class ActiveRequest:
    """A request in flight, and the reply that is owed for it."""

    __slots__ = ("request", "reply", "parts", "command", "streaming_began_at")

    def __init__(self, request: Request, reply: PendingReply | None, parts: list[bytes]) -> None:
        self.request = request
        self.reply = reply
        self.parts = parts
        self.command: UpstreamCommand | None = None
        self.streaming_began_at: float | None = None  # on the wall clock (ms)

    def render(self, left: float) -> list[bytes]:
        """The command for an endpoint, which has `left` ms for its answer."""
        return resp.encode_command_chunks(build_forwarded_command(self.parts, left))


class Proxy:
    """One proxy: its parts, and the requests in flight."""

    def __init__(self, node: dict, loop: asyncio.AbstractEventLoop, open: Callable = open_connection) -> None:
        self.node, self.loop = node, loop
        self.wall_clock_offset_ms = (
            time.time() * 1000.0 - loop.time() * 1000.0
        )  # one clock for lists and timers
        document = configuration_sync.initial_document(node)
        own = {name: value for name, value in node["settings"].items() if name in PER_PROXY_SETTINGS}
        settings, lines = settings_on_sockets(
            node["settings"] if document is None else document.settings | own
        )
        for line in lines:
            log.info(line)
        deployment = normalize_settings(settings)
        self.methods = {method["name"]: method for method in deployment["methods"]}
        self.tenants = {tenant["name"] for tenant in deployment.get("tenants") or []}
        self.polls_discovery = deployment.get("discovery") == "ask"
        seed = parse_seed(node["seed"])
        self.startup = parse_startup_settings(node)  # what the operators' file says of starts
        self.phases = StartupPhases(loop.time())
        self.process_lock: ProcessLock | None = None
        me, proxies = deployment.get("me") or 0, deployment.get("proxies") or 1
        # Random draws of its own: the router's are for its decisions alone.
        random_generator, room_told = Random(seed + 1), self.startup.get("list_watches_per_s")
        # Names this incarnation: an answer to a former one is not for us.
        incarnation = random_generator.getrandbits(48) if "gossip_address" in self.startup else 0

        def turns(name: str) -> RateSlots:
            lease = self.startup.get("quota_lease_s", 0.0)
            return RateSlots(
                peer_messages.name_digest(name),
                me,
                incarnation,
                proxies,
                loop.time(),
                lease,
                MAX_CLOCK_DRIFT,
                random_generator,
            )

        self.connection_quotas = ConnectionQuotas(
            me,
            proxies,
            self.startup.get("handshakes_per_s"),
            self.startup.get("max_connections"),
            self.startup.get("endpoint_capacity_per_s"),
            deployment["rules"].get("fall_multiple"),
            turns(HANDSHAKE_SLOTS) if "quota_lease_s" in self.startup else None,
        )
        self.recorder: Any = None
        told = segment_writer.parse_record_settings(node)
        if told:
            from calicofall.proxy.recorder import Recorder

            self.recorder = Recorder(loop, told, node["name"], f"{time.time_ns():x}", time.time)
            self.router: Router = self.recorder.make(
                deployment | {"bears": self.connection_quotas.capacity_share_per_ms},
                seed,
                self.now_ms(),
                "origin_fetches_per_s" in self.startup,
                self.wall_clock_offset_ms,
            )
        else:
            self.router = Router(
                deployment | {"bears": self.connection_quotas.capacity_share_per_ms}, seed, self.now_ms()
            )
        if "origin_fetches_per_s" in self.startup:
            self.router.slot_clock_offset_ms = self.wall_clock_offset_ms
            self.router.origin_slots = OriginFetchSlots(
                turns(ORIGIN_FETCH_SLOTS),
                self.startup["origin_fetches_per_s"],
                loop.time(),
                self.now_ms() / 1000.0,
            )
        self.configuration_sync: configuration_sync.ConfigurationSync | None = None
        # In a large fleet, proxies that each held connections to every endpoint would make their handshakes
        # all at once after a start.
        ahead = proxies <= MAX_PROXIES_OPENING_AHEAD
        self.metrics = Metrics(
            self.methods,
            {
                "current": lambda: len(self.active_requests),
                "cluster_size": lambda: len(self.upstreams.endpoint_names),
                "cluster_unhealthy": lambda: self.router.heavily_degraded_count(self.now_ms()),
            },
        )
        sockets, of_caches, room = self.connection_budget(1)
        wall = self.now_ms() / 1000.0
        self.upstreams = Upstreams(
            loop,
            deployment["caps"],
            of_caches,
            ahead,
            open,
            self.find_sink,
            self.on_streaming,
            self.on_outcome,
            self.metrics,
            self.connection_quotas,
            wall - loop.time(),
        )
        self.upstreams.may_send = self.may_send
        # Who is told of commands, answers and calls: at the level "proxy" alone.
        self.note_recorder = self.recorder if self.recorder is not None and self.recorder.notes else None
        self.clients = ClientConnections(
            loop, sockets, room, self.longest_deadline_s(), self.on_request, self.on_client_disconnected
        )
        self.clients.count_other_connections = self.upstreams.connection_count
        self.shutdown = GracefulShutdown(loop, self.clients, self.longest_deadline_s)
        self.management = ManagementServer(loop, self.handle_call)
        self.upstreams.shared_budget_has_capacity = self.clients.ensure_capacity
        known, learned = node.get("known") or {}, {}
        self.snapshot_store: SnapshotStore | None = None
        if "snapshot_folder" in self.startup:
            self.snapshot_store = SnapshotStore(
                loop, self.startup["snapshot_folder"], node["name"], self.encode_snapshot
            )
            whose = snapshot.snapshot_owner(node["name"], node["settings"], node["discovery"])
            if (
                held := self.snapshot_store.load(whose, wall, self.startup["max_snapshot_age_s"])
            ) is not None:
                known, learned = held
        grid = TimeSlots(me, proxies, room_told, loop.time(), wall) if room_told else None
        line = DiscoverySchedule(
            random_generator, proxies, (deployment["rules"].get("ask_every") or 10_000.0) / 2000.0, grid
        )
        self.discovery = Discovery(
            loop,
            open,
            node["discovery"],
            known.get("index"),
            line,
            self.on_list_event,
            self.on_discovery_failure,
            self.reach_phase,
        )
        self.gossip: GossipTransport | None = None
        if "gossip_address" in self.startup:
            self.gossip = GossipTransport(
                loop,
                ContentionEstimate(me, proxies, room_told, random_generator),
                self.startup["fleet_name"],
                incarnation,
                self.startup["peer_addresses"],
                lambda: self.discovery.is_live,
            )
            self.discovery.estimate_contention = self.gossip.estimate_contention
            self.gossip.reopen_watch = self.discovery.reopen
        self.quotas: QuotaEnforcement | None = None
        hold = self.startup.get("max_in_flight", 0.0)
        if hold:
            self.upstreams.in_flight_quota = InFlightQuota(hold / proxies, random_generator)
        if "quota_lease_s" in self.startup:
            lent = (
                {HANDSHAKE_SLOTS: (self.connection_quotas.rate_slots, self.connection_quotas.demanded_slots)}
                if self.connection_quotas.handshakes_per_s
                else {}
            )
            if self.router.origin_slots is not None:
                lent[ORIGIN_FETCH_SLOTS] = (
                    self.router.origin_slots.rate_slots,
                    self.router.origin_slots.wanted_slots,
                )
            self.quotas = QuotaEnforcement(
                loop,
                me,
                incarnation,
                proxies,
                self.startup["quota_lease_s"],
                random_generator,
                self.startup.get("endpoint_capacity_per_s"),
                deployment["rules"],
                lambda: len(self.upstreams.endpoint_names),
                self.gossip.send,
                self.gossip.membership.alive_members,
                self.apply_quota_shares,
                lent,
                self.upstreams.in_flight_quota,
                hold,
                self.longest_deadline_s(),
            )
            self.gossip.on_quota_lease = self.quotas.on_message
        self.outliers: OutlierReports | None = None
        if self.startup.get("shares_evidence"):
            bears = self.startup.get("endpoint_capacity_per_s")
            self.outliers = OutlierReports(
                loop,
                me,
                incarnation,
                settings.get("zone") or "",
                random_generator,
                self.router,
                lambda: self.upstreams.endpoint_names,
                self.gossip.send,
                self.gossip.membership.alive_members,
                self.now_ms,
                bears and HotKeyDetector(me, incarnation, proxies, bears, loop.time(), random_generator),
            )
            self.gossip.on_evidence = self.outliers.on_message
        self.apply_pins(settings, deployment)
        self.active_requests: dict[str, ActiveRequest] = {}
        self.open_ids: set[bytes] = set()  # the ids of RPCs in hand, as clients named them
        self.request_ids, self.rounds = count(), 0
        self.logs_requests = log.isEnabledFor(logging.DEBUG)  # a line for each RPC, for stage/account.py
        self.logged_ejections: list[str] = []  # caches aside, as last shown there
        self.ticking: asyncio.Handle | None = None
        self.tick_due_at = float("inf")
        self.latency_histograms = {name: HdrHistogram(1, 60_000, 2) for name in self.methods}
        self.listener: Listener | None = None
        self.stopped = loop.create_future()
        if known:
            _, index, entries, addresses = parse_endpoint_list(known)
            self.apply_list("cached", index, entries, addresses)
            self.router.restore_learned_state(self.now_ms(), learned)
        if document is not None:
            self.configuration_sync = configuration_sync.ConfigurationSync(
                loop,
                open,
                node["discovery"],
                me,
                self.gossip.incarnation,
                own,
                document,
                random_generator,
                self.gossip.send,
                self.apply_settings,
                self.gossip.membership.set_members,
                self.metrics.finished_by_method,
            )
            self.gossip.on_agreement = self.configuration_sync.on_message

    def connection_budget(self, parts: int) -> tuple[int, int, int]:
        """For one of `parts` processes: connections, of these to endpoints, bytes of commands in flight."""
        sockets = max(8, descriptor_limit(self.node) // parts - RESERVED_DESCRIPTORS)
        # A command in hand, its way to a cache and its answer each take about as much again.
        return sockets, int(sockets * 0.4), max(1, memory_limit_mb(self.node) // parts - BASE_MEMORY_MB) << 18

    def longest_deadline_s(self) -> float:
        """The longest deadline of a method (s)."""
        return max([method["hard_deadline"] for method in self.methods.values()], default=3000.0) / 1000.0

    def now_ms(self) -> float:
        """The wall clock (ms), which runs as the loop's clock does."""
        return self.loop.time() * 1000.0 + self.wall_clock_offset_ms

    async def wait_for_list(self) -> None:
        """Waits with the clients' listener until the agent has told the list, or that it can't.

        Without this, a restarted proxy would act on the list of its former incarnation, and send to endpoints
        of which the agent has been told since that they drain.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(LIST_WAIT_S):
                await self.discovery.answered.wait()
        if not self.discovery.has_answered and not self.upstreams.endpoint_names:
            # A proxy without a list would accept clients and reject all that they ask.
            check_address_available(parse_address(self.node["listen"]))  # who cannot open later is told now
            log.warning("no list", extra={"door": "closed until one is heard"})
            await self.discovery.first_list.wait()
        if not self.discovery.has_answered:
            log.warning("serving on an old list", extra={"index": self.discovery.version})

    def reach_phase(self, phase: str) -> None:
        """Logs that the start has come as far as this phase, once each."""
        ms = self.phases.mark_reached(phase, self.loop.time())
        if ms is not None:
            log.info("start", extra={"phase": phase, "ms": ms})

    def encode_snapshot(self) -> bytes | None:
        """What the next incarnation may begin from; None while the list is not known to hold."""
        if not self.discovery.is_live:
            return None
        whose = snapshot.snapshot_owner(self.node["name"], self.node["settings"], self.discovery.host)
        return snapshot.encode_snapshot(
            whose,
            self.now_ms() / 1000.0,
            self.upstreams.endpoint_list(self.discovery.version),
            self.router.learned_state(self.now_ms()),
        )

    # What the list says

    def on_list_event(
        self, kind: str, index: int | None, entries: list[tuple], addresses: dict[str, str]
    ) -> None:
        """News of the list has come from discovery."""
        self.apply_list(kind, index, entries, addresses)
        self.schedule_tick()

    def apply_list(
        self, kind: str, index: int | None, entries: list[tuple], addresses: dict[str, str]
    ) -> None:
        """Gives a list to the router, the upstream connections and the peers."""
        # The module first: what is not sent any more for the list's sake is then sent elsewhere.
        self.router.on_endpoint_list(self.now_ms(), kind, index, entries)
        self.upstreams.on_endpoint_list(kind, entries, addresses)
        if self.gossip is not None and kind != "cached":
            self.gossip.list_freshness.set_own_list(self.loop.time(), index, self.upstreams.endpoint_states())

    def on_discovery_failure(self) -> None:
        """A call to discovery failed."""
        if self.polls_discovery:
            self.router.on_endpoint_list(self.now_ms(), "failed", None, [])
            self.schedule_tick()

    # Versions of the settings

    def apply_settings(self, settings: dict) -> None:
        """Takes other settings, whole, from the next request on."""
        deployment = normalize_settings(settings_on_sockets(settings)[0])
        self.methods = {method["name"]: method for method in deployment["methods"]}
        self.tenants = {tenant["name"] for tenant in deployment.get("tenants") or []}
        for name in self.methods:
            self.latency_histograms.setdefault(name, HdrHistogram(1, 60_000, 2))
        self.router.apply_settings(self.now_ms(), deployment)
        self.apply_pins(settings, deployment)
        self.schedule_tick()

    def apply_pins(self, settings: dict, deployment: dict) -> None:
        """Takes fleet-wide limits as the settings have them, and what operators have pinned."""
        pins = settings.get("pins") or {}
        if self.quotas is not None:
            self.quotas.apply_settings(deployment.get("tenants") or [], pins.get("limits") or ())
        if self.outliers is not None:
            self.outliers.pin(pins.get("caches") or ())

    def apply_quota_shares(self, quotas: dict[str, float], cold: float | None) -> None:
        """Takes our shares of tenants' quotas, and of what a warm endpoint can do, in requests a second."""
        fall = self.router.overload_multiple() * 1000.0
        self.router.set_quota_shares(
            {name: quota / 1000.0 for name, quota in quotas.items()}, cold and cold / fall
        )

    def may_send(self, transmission: UpstreamCommand) -> bool:
        """Whether a decision may still be carried out; asked right before the first byte leaves."""
        if self.configuration_sync is not None:
            self.configuration_sync.refresh_if_due()
        call = transmission.active_request
        if call.reply is not None:
            call.reply.client.detect_disconnect()
        return not call.request.finished and self.router.is_still_allowed(
            self.now_ms(), call.request, transmission.attempt_index
        )

    # The life of an RPC

    def on_request(self, reply: PendingReply, parts: list[bytes]) -> None:
        """Takes a client's request, or rejects its command."""
        try:
            fields = parse_request_fields(parts, self.methods, self.tenants)
            if parts[2] in self.open_ids:  # an endpoint would take it for the first one
                raise ValueError("the id of an RPC in hand")
        except ValueError as reason:
            reply.client.reject_command(reply, str(reason))
            return
        reply.client.consecutive_errors = 0
        if self.configuration_sync is not None:
            self.configuration_sync.refresh_if_due()
        if self.quotas is not None:
            self.quotas.count_request(fields["tenant"])
            self.quotas.refresh_if_due()
        if self.outliers is not None:
            self.outliers.on_request(fields["key"])
        self.open_ids.add(parts[2])
        now = self.now_ms()
        method = self.methods[fields["method"]]
        until = now + min(fields["patience"], method["hard_deadline"])
        # During a shutdown a late request does not hold its connection for the whole of its deadline.
        until = min(until, max(now, self.shutdown.answers_due_at * 1000.0 + self.wall_clock_offset_ms))
        rpc = Request(
            str(next(self.request_ids)),
            fields["method"],
            fields["tenant"],
            fields["key"],
            fields["write"],
            now,
            until,
            fields["repeat"],
        )
        reply.active_request = call = self.active_requests[rpc.id] = ActiveRequest(rpc, reply, parts)
        if self.note_recorder is not None:
            self.note_recorder.note(
                "command",
                id=parts[2].decode(),
                rpc=rpc.id,
                method=rpc.method,
                key=rpc.key,
                tenant=rpc.tenant,
                patience=until - now,
            )
        self.carry_out(now, call, self.decide(call, self.router.route, now, rpc))
        self.schedule_tick()

    @staticmethod
    def decide(call: ActiveRequest, ask: Callable, *values: Any) -> str | None:
        """Asks the router; a fault in it fails the request, which is answered."""
        try:
            return ask(*values)
        except Exception as reason:  # a fault in a decision must not leave its request unanswered
            log.exception("decision failed", extra={"reason": repr(reason), "method": call.request.method})
            call.request.finished, call.request.answer = True, "errored"
            return None

    def carry_out(self, now: float, call: ActiveRequest, cache: str | None) -> None:
        """Carries out a decision: sends to an endpoint, answers, or waits for the next decision."""
        rpc = call.request
        if cache is not None and self.outliers is not None and self.outliers.avoids(rpc):
            cache = self.decide(
                call, self.router.report_attempt, now, rpc, len(rpc.attempts) - 1, "held", 0.0
            )
        if cache is not None:
            check_invariant(
                not rpc.finished and now < rpc.expires_at, "nothing is sent for an RPC that is over"
            )
            soft = rpc.arrived_at + self.router.latency_objective(rpc) - now
            call.command = self.upstreams.send(
                cache,
                call,
                len(rpc.attempts) - 1,
                call.render,
                now,
                rpc.timeout_ms,
                rpc.expires_at - now,
                soft,
            )
        elif rpc.answer == "exhausted":
            ms = round(rpc.retry_after_ms)
            self.answer(now, call, resp.encode_error(f"BUSY {ms}" if ms > 0 else "BUSY"))
        elif rpc.answer == "errored":
            self.answer(now, call, resp.encode_error("ERR errored"))

    def answer(self, now: float, call: ActiveRequest, data: bytes) -> None:
        """Gives the final answer of a request to its client."""
        rpc, reply, call.reply = call.request, call.reply, None
        check_invariant(reply is not None, "an RPC gets one answer")
        self.forget(call)
        if reply is not None:
            self.metrics.count_answer(rpc.answer, rpc.name)
            if rpc.answer == "completed" and "first RPC" not in self.phases.elapsed_ms_by_phase:
                self.reach_phase("first RPC")
            self.latency_histograms[rpc.name].record_value(
                max(1, round((call.streaming_began_at or now) - rpc.arrived_at))
            )
            reply.complete(data)
            if self.logs_requests:
                self.log_request(now, call)
            if self.note_recorder is not None:
                self.note_recorder.note(
                    "answer", rpc=rpc.id, answer=rpc.answer, ms=now - rpc.arrived_at, size=len(data)
                )

    def log_request(self, now: float, call: ActiveRequest) -> None:
        """Logs what became of a request, and why, at the level DEBUG (see testbed/loss_breakdown.py)."""
        rpc = call.request
        sends = [
            f"{tx.endpoint}:{tx.outcome or 'out'}:{tx.sent_at - rpc.arrived_at:.0f}" for tx in rpc.attempts
        ]
        log.debug(
            "rpc",
            extra={
                "id": call.parts[2].decode(),
                "method": rpc.name,
                "answer": rpc.answer,
                "ms": round((call.streaming_began_at or now) - rpc.arrived_at),
                "soft": round(self.router.latency_objective(rpc)),
                "sends": ",".join(sends) or None,
                "why": None if rpc.answer == "completed" else self.router.rejection_cause(now, rpc),
                **self.router.limits_in_use(),
            },
        )

    def find_sink(
        self, transmission: UpstreamCommand, size: int, more: Callable[[], None]
    ) -> PendingReply | None:
        """The reply that takes a long answer as it comes."""
        reply = transmission.active_request.reply
        if reply is not None:
            reply.start_streaming(size, more)
        return reply

    def on_streaming(self, transmission: UpstreamCommand) -> None:
        """Some of an answer was passed on: it is the request's answer, whatever comes of it."""
        call = transmission.active_request
        call.streaming_began_at = self.now_ms()
        self.decide(
            call,
            self.router.on_response_started,
            call.streaming_began_at,
            call.request,
            transmission.attempt_index,
        )

    def on_outcome(
        self, transmission: UpstreamCommand, outcome: str, answer: bytes, note: str | None, load: Any
    ) -> None:
        """An attempt has ended: the router decides what follows."""
        now, call = self.now_ms(), transmission.active_request
        rpc, reply, call.command = call.request, call.reply, None
        over = rpc.finished  # its client has left: nobody is answered
        bound = transmission.streaming or (reply is not None and reply.head_sent)
        if reply is not None and not bound:
            reply.request_next_chunk = None
        took = told = (call.streaming_began_at or now) - transmission.sent_at_ms
        name = rpc.attempts[transmission.attempt_index].endpoint
        if self.outliers is not None:
            told = self.outliers.fair_latency(name, rpc.name, took, len(answer))
        cache = self.decide(
            call,
            self.router.report_attempt,
            now,
            rpc,
            transmission.attempt_index,
            outcome,
            told,
            note,
            load,
            bound,
        )
        if self.outliers is not None:
            self.outliers.on_result(name, rpc, outcome, took, len(answer))
        if not over and outcome == "completed":
            self.answer(now, call, answer + b"\r\n" if bound else resp.encode_bulk(answer))
        elif not over and bound:  # the client can tell a value cut short by the end of its connection
            rpc.answer, call.reply = "errored", None
            self.metrics.count_answer(rpc.answer, rpc.name)
            self.forget(call)
            reply.abort()
        elif not over:
            self.carry_out(now, call, cache)
        self.schedule_tick()

    def forget(self, call: ActiveRequest) -> None:
        """The request is over here."""
        if self.active_requests.pop(call.request.id, None) is not None:
            self.open_ids.discard(call.parts[2])

    def on_client_disconnected(self, reply: PendingReply) -> None:
        """The client has left: attempts for it are called off."""
        call = reply.active_request
        if call is None or call.reply is None:
            return
        call.reply = None
        self.forget(call)
        off, transmission = self.router.on_client_disconnected(self.now_ms(), call.request), call.command
        # A command that waits for its connection is withdrawn also where endpoints take no cancelling, or it
        # would leave after its client.
        if transmission is not None and (off or transmission.can_be_withdrawn()):
            self.upstreams.cancel_command(transmission, "cancelled")
        self.schedule_tick()

    # Time

    def schedule_tick(self) -> None:
        """Has `tick` called once for all events of the next few ms."""
        at = self.loop.time() + TICK_DELAY_S
        if self.ticking is None or self.tick_due_at > at:
            if self.ticking is not None:
                self.ticking.cancel()
            self.ticking, self.tick_due_at = self.loop.call_at(at, self.tick), at

    def tick(self) -> None:
        """Decides on requests whose wait is over, and carries out what the router asks for beside."""
        self.ticking, now = None, self.now_ms()
        while (rpc := self.router.next_due_request(now)) is not None:
            call = self.active_requests.get(rpc.id)
            check_invariant(call is not None, "an RPC that waits has a call")
            if call is not None:
                self.carry_out(now, call, self.decide(call, self.router.route, now, rpc))
        wait = self.router.tick(now)
        for line in self.router.log_lines:
            log.info("mode", extra={"what": line})
        self.router.log_lines.clear()
        for action in self.router.actions:
            if isinstance(action, CloseConnections):
                self.upstreams.close_idle(action.endpoint)
        self.router.actions.clear()
        if self.ticking is not None:
            self.ticking.cancel()
        self.tick_due_at = self.loop.time() + min(wait, 60_000.0) / 1000.0
        self.ticking = self.loop.call_at(self.tick_due_at, self.tick)

    def adjust_to_processes(self) -> None:
        """Keeps to a part of the limits while other processes of this proxy live."""
        if self.process_lock is not None and self.process_lock.refresh():
            parts = self.process_lock.other_process_count + 1
            log.info(
                "processes",
                extra={"count": parts, "serving": self.process_lock.serving_process_count + self.serving()},
            )
            sockets, of_caches, self.clients.read_ahead_bytes = self.connection_budget(parts)
            self.upstreams.set_max_connections(of_caches)
            self.clients.reduce_max_connections(sockets)
            self.router.set_process_count(parts)

    def upkeep(self) -> None:
        """What is looked at in regular intervals."""
        self.loop.call_later(
            UPKEEP_INTERVAL_S, self.upkeep
        )  # first, so that a fault below does not end all upkeep
        self.adjust_to_processes()
        if "limits found" not in self.phases.elapsed_ms_by_phase and self.router.has_baselines():
            self.reach_phase("limits found")
        self.upstreams.close_expired_idle()
        self.clients.close_overdue()
        # asyncio's transports are reference cycles, which would stay in the older generations for as long as
        # only the youngest is collected.
        self.rounds += 1
        if (
            self.logs_requests
            and (aside := self.router.ejected_endpoints(self.now_ms())) != self.logged_ejections
        ):
            self.logged_ejections = aside
            log.debug("aside", extra={"caches": ",".join(aside) or None})
        gc.collect(0 if self.rounds % FULL_COLLECTION_ROUNDS else 2)

    # Start and end

    async def serve(self, reread: Callable) -> None:
        """Runs the proxy until it is told to end; `reread` reads the configuration anew."""
        self.loop.add_signal_handler(signal.SIGHUP, self.on_sighup, reread)
        self.loop.set_exception_handler(self.on_loop_error)
        if self.node.get("mgmt"):
            self.management.listen(parse_address(self.node["mgmt"]))
        # The address is a part of the name: proxies of one name for two customers are no replacements.
        self.process_lock = ProcessLock(f"{self.node['name']}-{self.node['listen']}", tempfile.gettempdir())
        # Until the list has come no request was taken, and SIGTERM ends the process at once.
        task = asyncio.current_task()
        self.loop.add_signal_handler(signal.SIGTERM, task.cancel)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)  # what came since the start comes now
        try:
            await self.run()
        except asyncio.CancelledError:
            log.info("stopped", extra={"door": "was not open yet"})
        finally:
            self.process_lock.release()
            self.management.close()
            for part in (
                self.outliers,
                self.quotas,
                self.configuration_sync,
                self.gossip,
                self.snapshot_store,
                self.recorder,
            ):
                if part is not None:
                    part.close()

    async def run(self) -> None:
        """Starts all parts, opens the listener once there is a list, and waits for the end."""
        if self.gossip is not None:
            await self.gossip.open(self.startup["gossip_address"])
        if self.configuration_sync is not None:
            self.configuration_sync.start()
        for part in (self.quotas, self.outliers):
            if part is not None:
                part.wake()
        if self.recorder is not None:
            self.recorder.start()
            self.loop.add_signal_handler(signal.SIGUSR1, self.recorder.save)
        if self.snapshot_store is not None:
            self.snapshot_store.start()
        self.discovery.start()
        self.upkeep()
        self.schedule_tick()
        # Few long-lived objects change from here on: collections stay short, and timers in time.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 50, 1000)
        await self.wait_for_list()
        # Last: from here on connections are dealt to this process, too.
        self.listener = Listener(
            self.loop,
            parse_address(self.node["listen"]),
            self.clients.ensure_capacity,
            self.clients.add_client,
            shared=True,
        )
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
            },
        )
        await self.stopped
        self.upstreams.close()
        self.discovery.stop()
        for name, times in self.latency_histograms.items():
            if times.get_total_count():
                log.info(
                    "answer times",
                    extra={
                        "method": name,
                        "count": times.get_total_count(),
                        **{f"p{part}": times.get_value_at_percentile(part) for part in (50, 90, 99)},
                    },
                )
        log.info("stopped", extra=self.metrics.totals() | {"broken": dict(violation_counts) or None})

    def on_sighup(self, reread: Callable) -> None:
        """SIGHUP: moves the watch to the discovery address of the file; all else goes on."""
        try:
            node = reread()
        except Exception as reason:  # a bad file changes nothing
            log.warning("configuration kept", extra={"reason": str(reason)})
            return
        held = [
            name
            for name in ("name", "listen", "mgmt", "limits", "settings", "start", "document")
            if node.get(name) != self.node.get(name)
        ]
        self.discovery.change_address(node["discovery"])
        if self.note_recorder is not None:
            self.note_recorder.note("reload", discovery=node["discovery"], held=held)
        log.info(
            "configuration reread",
            extra={"discovery": node["discovery"], "until_restart": ",".join(held) or None},
        )

    def on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """The event loop met an exception that no part caught."""
        reason = context.get("exception")
        trace = reason if isinstance(reason, Exception) and not isinstance(reason, OSError) else None
        log.error("trouble", extra={"what": context.get("message"), "reason": repr(reason)}, exc_info=trace)

    # Where operators call

    def handle_call(self, name: str) -> str:
        """The answer to an operator's call; what it asks for is done by then."""
        lines = self._status_lines(name)
        if lines is not None:
            return "\n".join([OK_PREFIX, *lines, "."])
        if name == "health":
            return f"{OK_PREFIX if self.serving() else ERROR_PREFIX} {self.state()}"
        if name == "record" and self.recorder is not None:
            return f"{OK_PREFIX} saved in {self.recorder.save()}"
        if name == "quiesce":
            return self._quiesce()
        if name == "resume":
            return self._resume()
        return f"{ERROR_PREFIX} unknown call: health, counters, phases, quiesce or resume"

    def _status_lines(self, name: str) -> list[str] | None:
        """What the part of that name has to tell; None for another call, or a part that is not there."""
        sources: dict[str, Callable[[], list[str]]] = {
            "counters": self.metrics.format_lines,
            "phases": self.phases.format_lines,
        }
        if self.gossip is not None:
            membership = self.gossip.membership
            sources["lists"] = self.gossip.format_lines
            sources["members"] = lambda: membership.format_lines(self.loop.time())
        if self.quotas is not None:
            sources["limits"] = self.quotas.format_lines
        if self.outliers is not None:
            sources["verdicts"] = self.outliers.format_lines
        if self.configuration_sync is not None:
            sources["versions"] = self.configuration_sync.format_lines
        if self.recorder is not None:
            sources["recorded"] = self.recorder.lines
        source = sources.get(name)
        return None if source is None else source()

    def _quiesce(self) -> str:
        if self.listener is None:
            return f"{ERROR_PREFIX} {self.state()}"
        if self.shutdown.began_at is None:
            self.log_event("emptying")
        self.shutdown.begin()
        return f"{OK_PREFIX} emptying"

    def _resume(self) -> str:
        if not self.shutdown.cancel():
            return f"{ERROR_PREFIX} terminating"
        self.log_event("resumed")
        return f"{OK_PREFIX} {self.state()}"

    def serving(self) -> bool:
        """Whether requests are taken."""
        return self.listener is not None and self.shutdown.began_at is None

    def state(self) -> str:
        """In a word, as operators are told."""
        return "starting" if self.listener is None else "serving" if self.serving() else "emptying"

    def log_event(self, event: str) -> None:
        """Logs an event with the numbers of requests and clients."""
        if self.note_recorder is not None:
            self.note_recorder.note(
                event, calls=len(self.active_requests), clients=len(self.clients.connections)
            )
        log.info(event, extra={"calls": len(self.active_requests), "clients": len(self.clients.connections)})

    # The way out

    def terminate(self) -> None:
        """SIGTERM: ends once all that was taken is answered."""
        for name in (signal.SIGTERM, signal.SIGINT):  # once is enough
            self.loop.add_signal_handler(name, lambda: None)
        self.log_event("draining")
        self.adjust_to_processes()
        self.shutdown.is_final = True
        if self.process_lock is not None and self.process_lock.serving_process_count:
            # Clients have another process of this proxy to go to: PING goes on saying yes for it.
            self.shutdown.begin(REPLACED_IDLE_CLOSE_DELAY_S, reject_ping=False)
            self.stop_listening()
        else:
            self.shutdown.begin(ACCEPT_AFTER_SIGTERM_S)
            self.loop.call_later(ACCEPT_AFTER_SIGTERM_S, self.stop_listening)
        self.loop.call_later(self.shutdown.in_flight_timeout_s() + EXPIRE_DELAY_S, self.expire_requests)

    def stop_listening(self) -> None:
        """Accepts nothing new; the proxy ends with its last connection."""
        self.listener.close()
        self.end_when_idle()

    def expire_requests(self) -> None:
        """Ends the time of all requests in flight, so that they are answered before the process is killed."""
        for call in list(self.active_requests.values()):
            call.request.expires_at = min(call.request.expires_at, self.now_ms())
            if call.command is not None and not call.request.streaming:
                self.upstreams.cancel_command(call.command, "timeout")
        self.loop.call_later(STOP_DELAY_S, self.end)

    def end_when_idle(self) -> None:
        """Ends once no request is in flight and every client has what it is owed."""
        if self.active_requests or self.clients.connections:
            self.loop.call_later(0.02, self.end_when_idle)
        else:
            self.end()

    def end(self) -> None:
        """Lets `run` go on to its end."""
        if not self.stopped.done():
            self.stopped.set_result(None)
