"""Simulation of a migration, in which proxies with old and new settings share caches and an origin.

The module has a simple model of caches, an origin and clients with a simulated clock, and a checker of the
rules that reads only the record of events. It uses no socket and no system clock.
"""

from collections import defaultdict
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from helpers import deployment_settings

from calicofall.routing.actions import SendGossip
from calicofall.routing.policy import RoutingPolicy
from calicofall.routing.request import Request
from calicofall.routing.router import Router

PROXIES, CACHES, CORES, WORK = 8, 6, 2, 20.0
RATE = 0.9  # requests per ms of all clients: about the capacity of caches and origin
GRACE, FALL, STAGE = 250.0, 1000.0, 4000.0  # drain grace, span of the load limit of cold caches, stage (ms)
STAGES = (0, 2, 4, 8, 4, 0)  # number of proxies with new settings in each stage
UNEVEN = (0.4, 0.2, 0.15, 0.1, 0.05, 0.05, 0.03, 0.02)  # shares of the traffic, if each client has one proxy
FAIR = 0.8  # smallest ratio between the completed shares of the two groups of proxies
QUOTA = 2000.0  # requests per s


def settings(is_new: bool, proxy: int) -> dict:
    deployment = deployment_settings(
        cache_aside=True, proxies=PROXIES, me=proxy, tenants=[{"name": "acme", "quota": QUOTA, "share": 1.0}]
    )
    deployment["rules"] |= {"cold": 6000.0, "cold_share": 0.2, "fall_multiple": 3.0, "fall": FALL}
    for method in deployment["methods"]:
        method.update(soft_deadline=200.0, hard_deadline=400.0)
    if is_new:
        deployment["caps"] |= {"peer_messages": True}
        deployment["reports"] = {"how": "inline", "fields": ["served_ps", "pending"]}
    return deployment


class UnlimitedPolicy(RoutingPolicy):
    """Ignores all limits."""

    def __init__(self, deployment: dict, seed: int, now: float) -> None:
        super().__init__(deployment, seed, now)
        self.limits.admits = lambda *_: True
        self.retries.may_retry = lambda *_: True
        self.selector._is_crowded = lambda *_: False


class DrainIgnoringPolicy(RoutingPolicy):
    """Continues to send to caches that drain."""

    def on_endpoint_list(self, now: float, kind: str, version: int | None, entries: list[tuple]) -> None:
        super().on_endpoint_list(
            now, kind, version, [(*e[:4], "ready" if e[4] == "draining" else e[4], *e[5:]) for e in entries]
        )


class WarmUpIgnoringPolicy(RoutingPolicy):
    """Treats a cold cache as warm, and prefers it."""

    def __init__(self, deployment: dict, seed: int, now: float) -> None:
        super().__init__(deployment, seed, now)
        self.slow_start.is_warming_up = lambda *_: False
        self.outliers.admits = lambda *_: True
        self.selector._is_crowded = lambda *_: False
        self.slow_start.weight = lambda _, endpoint: 40.0 if endpoint.started_at else 1.0


class SimulatedServer:
    """A cache, with cores that serve one request each, a queue and keys; or the origin, with more cores."""

    def __init__(self, name: str, cores: int, started: float = 0.0) -> None:
        self.name, self.cores, self.started, self.busy, self.queue = name, cores, started, 0, []
        self.keys: set[int] = set()
        self.served = 0.0  # recent rate (requests per s)


class MigrationSimulation:
    """Runs the stages and keeps the record of events."""

    def __init__(
        self,
        policy_class_of: Callable[[bool], type[RoutingPolicy]] = lambda is_new: RoutingPolicy,
        seed: int = 5,
    ) -> None:
        self.random_generator, self.policy_class_of, self.now, self.events, self.event_numbers = (
            Random(seed),
            policy_class_of,
            0.0,
            [],
            count(),
        )
        self.servers = {f"c{i}": SimulatedServer(f"c{i}", CORES) for i in range(CACHES)} | {
            "o": SimulatedServer("o", 4)
        }
        self.states = dict.fromkeys(self.servers, "ready")
        self.record: list[tuple] = []
        self.routers: list[Router] = []
        self.has_new_settings = [False] * PROXIES
        self.router_of: dict[str, tuple[Router, int]] = {}
        self.tick_times: dict[int, float] = {}
        for proxy in range(PROXIES):
            self.routers.append(self.create_router(proxy, False))

    def schedule(self, time_ms: float, callback: Callable, *arguments: object) -> None:
        heappush(self.events, (time_ms, next(self.event_numbers), callback, arguments))

    def entry(self, name: str) -> tuple:
        kind = "origin" if name == "o" else "box"
        return name, "z", kind, 0, self.states[name], None, self.servers[name].started

    def create_router(self, proxy: int, is_new: bool) -> Router:
        router = Router(settings(is_new, proxy), 100 + proxy, self.now)
        router.policy = self.policy_class_of(is_new)(settings(is_new, proxy), 100 + proxy, self.now)
        router.bind_policy()
        router.on_endpoint_list(self.now, "cached", 1, [self.entry(name) for name in self.servers])
        self.has_new_settings[proxy] = is_new
        return router

    def announce_state(self, name: str, state: str) -> None:
        for proxy, router in enumerate(self.routers):
            self.record.append(("told", self.now, proxy, name, state))
            router.on_endpoint_list(self.now, "delta", 2, [self.entry(name)])

    def start_request(self, proxy: int) -> None:
        method = self.random_generator.choices(["read", "save", "order"], [90, 6, 4])[0]
        key = int(self.random_generator.paretovariate(0.7)) % 400
        request = Request(
            f"{next(self.event_numbers)}", method, "acme", key, method != "read", self.now, self.now + 400.0
        )
        router = self.routers[proxy]
        self.router_of[request.id] = router, proxy
        self.record.append(
            ("asked", self.now, proxy, request.id, method, self.has_new_settings[proxy], request.expires_at)
        )
        self.apply_route(request, router.route(self.now, request))

    def apply_route(self, request: Request, endpoint: str | None) -> None:
        router, proxy = self.router_of[request.id]
        if endpoint is not None:
            number = len(request.attempts) - 1
            self.record.append(("sent", self.now, proxy, request.id, endpoint, number))
            self.schedule(self.now + 0.5, self.enqueue, self.servers[endpoint], request, number)
            self.schedule(
                min(self.now + request.timeout_ms, request.expires_at),
                self.finish_attempt,
                None,
                request,
                number,
                "timeout",
            )
        elif request.answer in ("exhausted", "errored"):
            self.record.append(("answer", self.now, request.id, request.answer))
        self.tick(router, proxy)

    def tick(self, router: Router, proxy: int) -> None:
        wait_ms = router.tick(self.now)
        for action in router.actions:
            if isinstance(action, SendGossip) and self.random_generator.random() > 0.1:
                data = action.message
                if self.random_generator.random() <= 0.05:
                    data = self.random_generator.randbytes(len(data))
                self.schedule(
                    self.now + self.random_generator.uniform(1.0, 20.0),
                    self.deliver_hint,
                    action.peer,
                    proxy,
                    data,
                )
        router.actions.clear()
        router.log_lines.clear()
        if router.waiting and self.tick_times.get(id(router), 0.0) <= self.now:
            self.tick_times[id(router)] = self.now + max(0.1, wait_ms)
            self.schedule(self.now + max(0.1, wait_ms), self.route_due_requests, router, proxy)

    def deliver_hint(self, receiver: int, sender: int, data: bytes) -> None:
        self.routers[receiver].on_gossip(self.now, sender, data)

    def route_due_requests(self, router: Router, proxy: int) -> None:
        while (request := router.next_due_request(self.now)) is not None:
            self.apply_route(request, router.route(self.now, request))
        self.tick(router, proxy)

    def enqueue(self, server: SimulatedServer, request: Request, number: int) -> None:
        if self.states[server.name] == "gone" or len(server.queue) >= 40:
            self.finish_attempt(None, request, number, "full")
        else:
            server.queue.append((request, number))
            self.serve(server)

    def serve(self, server: SimulatedServer) -> None:
        while server.queue and server.busy < server.cores:
            request, number = server.queue.pop(0)
            if request.attempts[number].outcome is not None:
                continue  # timed out in the queue
            server.busy += 1
            misses = server.name != "o" and (request.write or request.key not in server.keys)
            work_ms = 2.0 if misses else WORK * self.random_generator.uniform(0.5, 1.5)
            warm_up_progress = (self.now - server.started) / 6000.0 if server.started else 1.0
            self.schedule(
                self.now + work_ms / min(1.0, 0.2 + 0.8 * warm_up_progress),
                self.finish_attempt,
                server,
                request,
                number,
                "missed" if misses else "completed",
            )

    def finish_attempt(
        self, server: SimulatedServer | None, request: Request, number: int, outcome: str
    ) -> None:
        if server is not None:
            server.busy -= 1
            server.served += (1000.0 / WORK * server.cores - server.served) * 0.1
            self.serve(server)
        if request.attempts[number].outcome is not None:
            return
        router, _ = self.router_of[request.id]
        if outcome == "completed" and server.name == "o" and not request.write:
            for attempt in request.attempts[:2]:
                if attempt.outcome == "missed":
                    self.servers[attempt.endpoint].keys.add(request.key)
        self.record.append(("ended", self.now, request.id, number, outcome))
        is_final = outcome == "timeout" and self.now >= request.expires_at
        load_report = {"served_ps": server.served, "pending": float(len(server.queue))} if server else None
        was_finished = request.finished
        latency_ms = self.now - request.attempts[number].sent_at
        endpoint = router.report_attempt(
            self.now, request, number, outcome, latency_ms, None, load_report, is_final
        )
        if was_finished:
            return
        if outcome == "completed":
            self.record.append(("answer", self.now, request.id, "completed"))
        elif is_final:  # the client's deadline has passed: the request has failed
            self.record.append(("answer", self.now, request.id, "errored"))
        else:
            self.apply_route(request, endpoint)

    def start_stage(self, number: int, new_count: int) -> None:
        for proxy in range(PROXIES):
            if self.has_new_settings[proxy] != (proxy < new_count):
                self.routers[proxy] = self.create_router(proxy, proxy < new_count)
        # Requests to proxies with old settings are distributed evenly, all others as unevenly as UNEVEN says.
        ends_at, new_share = self.now + STAGE, sum(UNEVEN[:new_count])
        for proxy in range(PROXIES):
            share = UNEVEN[proxy] / new_share * new_count / PROXIES if proxy < new_count else 1.0 / PROXIES
            arrives_at = self.now
            while (arrives_at := arrives_at + self.random_generator.expovariate(RATE * share)) < ends_at:
                self.schedule(arrives_at, self.start_request, proxy)
        if number == 2:  # one cache drains, and another one starts cold
            self.schedule(self.now + 1000.0, self.change_state, "c1", "draining", 0.0)
            self.schedule(self.now + 2500.0, self.change_state, "c6", "ready", None)
        if number == 4:
            self.schedule(self.now + 500.0, self.change_state, "c7", "ready", None)

    def change_state(self, name: str, state: str, started: float | None) -> None:
        if name not in self.servers:
            self.servers[name] = SimulatedServer(name, CORES, self.now)
        self.states[name] = state
        self.announce_state(name, state)

    def run(self) -> "MigrationSimulation":
        for number, new_count in enumerate(STAGES):
            self.start_stage(number, new_count)
            while self.events and self.events[0][0] <= (number + 1) * STAGE:
                self.step()
            self.now = (number + 1) * STAGE
        while self.events:
            self.step()
        return self

    def violations(self) -> list[str]:
        return check_record(self.record, {server.name: server.started for server in self.servers.values()})

    def step(self) -> None:
        self.now, _, callback, arguments = heappop(self.events)
        callback(*arguments)


def check_record(record: list[tuple], started: dict[str, float]) -> list[str]:
    """Returns the violations of the rules in a record."""
    violations, requests, answers, in_flight = [], {}, defaultdict(list), {}
    possibly_run, drained_at, cold_sends, send_counts = set(), {}, defaultdict(list), defaultdict(int)
    for event, at_ms, *values in record:
        if event == "asked":
            requests[values[1]] = (values[2], values[4])
        elif event == "answer":
            answers[values[0]].append(at_ms)
            if at_ms > requests[values[0]][1] + 20.0:
                violations.append("1: late answer")
            if values[1] == "exhausted" and requests[values[0]][0] == "order" and values[0] in possibly_run:
                violations.append("2: exhausted though it may have run")
        elif event == "told":
            if values[2] == "ready":
                drained_at.pop((values[0], values[1]), None)
            else:
                drained_at.setdefault((values[0], values[1]), at_ms)
        elif event == "ended":
            in_flight.pop(values[0], None)
            if values[2] in ("completed", "timeout"):
                possibly_run.add(values[0])
        elif event == "sent":
            proxy, request, cache, _ = values
            send_counts[cache] += 1
            if answers[request]:
                violations.append("1: sent after its answer")
            if request in in_flight:
                violations.append("2: two attempts at once")
            if request in possibly_run and requests[request][0] == "order":
                violations.append("2: sent again though it may have run")
            if at_ms > drained_at.get((proxy, cache), at_ms) + GRACE:
                violations.append("3: sent to a cache that drains")
            if started.get(cache):
                cold_sends[cache].append(at_ms)
            in_flight[request] = cache
    violations += ["1: no answer or two" for request in requests if len(answers[request]) != 1]
    for cache, times in cold_sends.items():
        for i, start in enumerate(times):
            warm_up_progress = min(1.0, max(0.0, start + FALL - started[cache]) / 6000.0)
            max_requests = 3.0 * (0.2 + 0.8 * warm_up_progress) * CORES / WORK * FALL
            if (
                sum(start <= at_ms < start + FALL for at_ms in times[i:])
                > max_requests + 2.0 * max_requests**0.5
            ):
                violations.append("4: a cold cache overloaded")
    return violations


def completed_shares(record: list[tuple]) -> dict[int, dict[bool, float]]:
    """Returns, by stage and by whether the proxies have new settings, the share of completed requests."""
    requests = {event[3]: (int(event[1] // STAGE), event[5]) for event in record if event[0] == "asked"}
    total, completed = defaultdict(int), defaultdict(int)
    for group in requests.values():
        total[group] += 1
    for event in record:
        if event[0] == "answer" and event[3] == "completed":
            completed[requests[event[2]]] += 1
    shares: dict[int, dict[bool, float]] = defaultdict(dict)
    for stage, is_new in total:
        shares[stage][is_new] = completed[stage, is_new] / total[stage, is_new]
    return shares


def starved_stages(record: list[tuple]) -> list[int]:
    return [
        stage
        for stage, groups in completed_shares(record).items()
        if min(groups.values()) < FAIR * max(groups.values())
    ]


@pytest.fixture(scope="module")
def migration() -> MigrationSimulation:
    return MigrationSimulation().run()


def test_migration_breaks_no_rule_at_any_stage(migration: MigrationSimulation) -> None:
    assert migration.violations() == []
    assert sum(event[0] == "sent" and event[4] == "c6" for event in migration.record) > 20
    assert sum(event[0] == "answer" for event in migration.record) > 10_000


def test_migration_starves_neither_group_of_proxies(migration: MigrationSimulation) -> None:
    shares = completed_shares(migration.record)
    assert sum(len(groups) == 2 for groups in shares.values()) == 3
    assert starved_stages(migration.record) == []
    assert min(min(groups.values()) for groups in shares.values()) > 0.5


def test_migration_with_a_policy_without_limits_is_detected() -> None:
    simulation = MigrationSimulation(lambda is_new: UnlimitedPolicy if is_new else RoutingPolicy).run()
    assert starved_stages(simulation.record)


def test_migration_with_a_policy_that_ignores_draining_is_detected() -> None:
    simulation = MigrationSimulation(lambda is_new: DrainIgnoringPolicy if is_new else RoutingPolicy).run()
    violations = simulation.violations()
    assert "3: sent to a cache that drains" in violations


def test_migration_with_a_policy_that_overloads_a_warming_up_cache_is_detected() -> None:
    simulation = MigrationSimulation(lambda is_new: WarmUpIgnoringPolicy if is_new else RoutingPolicy).run()
    violations = simulation.violations()
    assert "4: a cold cache overloaded" in violations
