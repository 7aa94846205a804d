"""Simulation of the routers of a whole fleet before modelled cache nodes, in one process.

It carries out the routers' decisions as the proxy does, without sockets, and shows in seconds of one core
their combined behaviour: sums of sends and limits, endpoints ejected in error, causes of lost requests. It
models no processes, different clocks, delayed endpoint lists or bytes.

Invariants:
    No decision of a router is made or changed by the simulation.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random
from typing import Any

from calicofall.routing.actions import CloseConnections
from calicofall.routing.request import Request
from calicofall.routing.router import Router
from calicofall.testbed.scenario import ZONE_NAMES
from calicofall.testbed.server_models import CacheModel, OriginModel

ONE_WAY_MS = 0.5  # of a message between two processes
IDLE_TIMEOUT_MS = 20_000.0  # of connections to cache nodes
RETRY_MIN_MS = 20.0  # shortest delay of a client's retry; with less time left it does not retry
RECHECK_MS = 15.0  # interval at which the router is asked again about a waiting request
MAX_RETRIES = 3  # of a client after rejections
# By cache status of the model: the status as a router reads it.
ROUTER_CACHE_STATUS = {"hit": "hit", "miss": "fetched", "pending": "fetching"}


@dataclass(frozen=True, slots=True)
class SimulatedRequest:
    """A request at the router of a proxy, and when the client intended it."""

    proxy: int
    request: Request
    intended_at: float  # when the client intended it (ms)
    retries: int  # of the client, after rejections


class RoutingSimulation:
    """The routers of a fleet, their clients, and modelled cache nodes and origin.

    `deployment` holds the settings as config gives them to a router, with `proxies`. Over all of them come
    `per_s` requests a second, for `keys` keys by Zipf's law with exponent `skew`; `weights` are the proxies'
    shares of them.

    Attributes:
        now: Simulated time (ms).
        lost: Requests of clients that were not served, by what their last attempt ended in.
        outcomes: Outcomes of attempts.
        request_count: Requests that clients intended.
        in_time: Requests that completed within the latency objective.
        late: Requests that completed after it.
        ejections: When (ms), by which proxy, which endpoint.
    """

    def __init__(  # noqa: PLR0913 - a fleet and its load, most with a default
        self,
        deployment: dict[str, Any],
        caches: list[CacheModel],
        origin: OriginModel,
        per_s: float,
        keys: int,
        skew: float,
        seed: int = 1,
        zones: int = 1,
        writes: float = 0.1,
        weights: list[float] | None = None,
        max_retries: int = MAX_RETRIES,
        make: Callable[..., Router] = Router,
    ) -> None:
        self.random_generator = Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []  # heap
        self.sequence = count()
        self.origin = origin
        self.per_s = per_s
        self.max_retries = max_retries
        self.writes = writes
        self.fleet: int = deployment["proxies"]
        self.caches = {f"c{number}": cache for number, cache in enumerate(caches)}
        zone = {f"c{number}": ZONE_NAMES[number % zones] for number in range(len(caches))}
        self.entries = [
            (name, zone[name], "box", 0, "ready", 1.0, 1000.0 * (cache.began or 0.0))
            for name, cache in self.caches.items()
        ]
        self.deployment = deployment
        self.zones = zones
        self.seed = seed
        self.make = make
        self.routers: list[Router] = [self.begin(number) for number in range(self.fleet)]
        self.cumulative_key_weights = list(accumulate(1.0 / (rank + 1) ** skew for rank in range(keys)))
        self.cumulative_proxy_weights = list(accumulate(weights or [1.0] * self.fleet))
        self.methods = {method["name"]: method for method in deployment["methods"]}
        # By proxy and endpoint: since when each idle connection is idle (ms).
        self.idle_since: dict[tuple[int, str], list[float]] = defaultdict(list)
        self.opened_connections = 0
        self.request_count = 0
        self.in_time = 0
        self.late = 0
        self.lost: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.ejections: list[tuple[float, int, str]] = []
        self.at(self._gap(), self.begin_client_request)

    def at(self, when: float, callback: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a call at a time (ms)."""
        heappush(self.events, (when, next(self.sequence), callback, arguments))

    def run(self, until: float) -> None:
        """Execute all events up to a time (ms)."""
        while self.events and self.events[0][0] <= until:
            self.now, _, callback, arguments = heappop(self.events)
            callback(*arguments)
        self.now = until

    def _gap(self) -> float:
        return self.now + self.random_generator.expovariate(self.per_s) * 1000.0

    def begin(self, number: int) -> Router:
        """Return the router of a proxy that starts now."""
        proxy_settings = {"me": number, "zone": ZONE_NAMES[number % self.zones]}
        router = self.make(self.deployment | proxy_settings, self.seed * 10_007 + number, self.now)
        router.on_endpoint_list(self.now, "full", 1, self.entries)
        return router

    def restart_proxy(self, number: int) -> None:
        """Restart a proxy: its requests in flight are abandoned and its connections closed."""
        before = self.routers[number]
        for request in before.active_requests.values():
            request.finished = True
        for cache in self.caches:
            self.close_idle_connections(number, cache, 0.0)
        self.routers[number] = self.begin(number)

    def fill_caches(self) -> None:
        """Store each key at the nodes of its placement, as after a long run."""
        for key in range(1, len(self.cumulative_key_weights) + 1):
            for cache in self.routers[0].policy.placement.ranking(key):
                self.caches[cache.name].store(f"{key:x}")

    # Clients

    def begin_client_request(self) -> None:
        """Begin a client's request, and schedule the next one."""
        self.at(self._gap(), self.begin_client_request)
        self.request_count += 1
        key = self._draw_index(self.cumulative_key_weights) + 1
        proxy = self._draw_index(self.cumulative_proxy_weights)
        method = "save" if self.random_generator.random() < self.writes else "read"
        self.send_to_proxy(proxy, method, key, self.now, 0)

    def _draw_index(self, cumulative_weights: list[float]) -> int:
        """Draw an index by its weight."""
        return bisect_left(cumulative_weights, self.random_generator.random() * cumulative_weights[-1])

    def send_to_proxy(self, proxy: int, method: str, key: int, intended_at: float, retries: int) -> None:
        """Send a client's request to a proxy, unless too little of its time is left."""
        remaining_ms = intended_at + self.methods[method]["hard_deadline"] - self.now
        if remaining_ms <= RETRY_MIN_MS:
            self.lost["too late to ask again"] += 1
            return
        number = f"{next(self.sequence)}"
        request = Request(
            number, method, None, key, method != "read", self.now, self.now + remaining_ms, retries > 0
        )
        simulated = SimulatedRequest(proxy, request, intended_at, retries)
        self.carry_out(simulated, self.routers[proxy].route(self.now, request))

    def carry_out(self, simulated: SimulatedRequest, endpoint: str | None) -> None:
        """Carry out what the router decided: send, answer, or wait."""
        if endpoint is not None:
            self.send(simulated, endpoint)
        elif simulated.request.answer is not None:
            self._answer(simulated)
        else:
            self.at(self.now + RECHECK_MS, self._recheck, simulated)
        self.tick(simulated.proxy)

    def _answer(self, simulated: SimulatedRequest) -> None:
        """Count an answer, or have the client retry after a rejection."""
        request = simulated.request
        if request.answer == "completed":
            in_time = self.now - simulated.intended_at <= self.methods[request.method]["soft_deadline"]
            self.in_time += in_time
            self.late += not in_time
        elif request.answer == "exhausted" and simulated.retries < self.max_retries:
            retry_at = self.now + max(RETRY_MIN_MS, request.retry_after_ms)
            proxy = self._draw_index(self.cumulative_proxy_weights)
            retries = simulated.retries + 1
            self.at(
                retry_at,
                self.send_to_proxy,
                proxy,
                request.method,
                request.key,
                simulated.intended_at,
                retries,
            )
        else:
            answer = "refused" if request.answer == "exhausted" else "errored"
            cause = self.routers[simulated.proxy].rejection_cause(self.now, request)
            self.lost[f"{answer}{' after' if request.attempts else ':'} {cause}"] += 1

    def _recheck(self, simulated: SimulatedRequest) -> None:
        """Ask the router again for a request that waits."""
        request = simulated.request
        if not request.finished and all(attempt.outcome for attempt in request.attempts):
            self.carry_out(simulated, self.routers[simulated.proxy].route(self.now, request))

    def tick(self, proxy: int) -> None:
        """Call a router's tick, record its ejections and carry out its actions."""
        router = self.routers[proxy]
        router.tick(self.now)
        for line in router.log_lines:
            if line.startswith("set aside"):
                self.ejections.append((self.now, proxy, line.split()[2].rstrip(":")))
        router.log_lines.clear()
        for action in router.actions:
            if isinstance(action, CloseConnections):
                self.close_idle_connections(proxy, action.endpoint, 0.0)
        router.actions.clear()

    # Cache nodes

    def close_idle_connections(self, proxy: int, endpoint: str, before: float) -> None:
        """Close connections that have been idle since before a time (ms); 0: all idle ones."""
        idle_since = self.idle_since[proxy, endpoint]
        for at in [at for at in idle_since if not before or at < before]:
            idle_since.remove(at)
            self.caches[endpoint].ended()

    def send(self, simulated: SimulatedRequest, endpoint: str) -> None:
        """Send to a node, on an idle connection or a new one; it ends once, by answer or time-out."""
        node = self.caches[endpoint]
        request = simulated.request
        since = self.now
        arrival = self.now + ONE_WAY_MS
        finished = False

        def finish(outcome: str, cache_status: str | None) -> None:
            nonlocal finished
            if not finished:
                finished = True
                self._on_attempt_finished(simulated, endpoint, outcome, cache_status, since)

        def execute() -> None:
            if finished:
                return  # timed out before its connection was established
            answer = node.command(self.now / 1000.0, f"{request.key:x}", request.write)
            cache_status = ROUTER_CACHE_STATUS.get(answer.cache_status or "")
            self.at(
                answer.at * 1000.0 + ONE_WAY_MS,
                finish,
                "completed" if answer.executed else "full",
                cache_status,
            )

        self.close_idle_connections(simulated.proxy, endpoint, self.now - IDLE_TIMEOUT_MS)
        if self.idle_since[simulated.proxy, endpoint]:
            self.idle_since[simulated.proxy, endpoint].pop()
        else:
            established = node.handshake(arrival / 1000.0)
            if established is None:
                self.at(arrival, finish, "unconnected", None)
                return
            self.opened_connections += 1
            arrival = established * 1000.0 + 2 * ONE_WAY_MS
        self.at(arrival, execute)
        self.at(self.now + request.timeout_ms, finish, "timeout", None)

    def _on_attempt_finished(
        self, simulated: SimulatedRequest, endpoint: str, outcome: str, cache_status: str | None, since: float
    ) -> None:
        """Report an attempt's outcome to the router and follow its decision."""
        request = simulated.request
        if outcome in ("completed", "full"):
            self.idle_since[simulated.proxy, endpoint].append(self.now)
        elif outcome == "timeout":
            self.caches[endpoint].ended()
        self.outcomes[outcome] += 1
        if request.finished:
            return  # the proxy has restarted since
        next_endpoint = self.routers[simulated.proxy].report_attempt(
            self.now, request, len(request.attempts) - 1, outcome, self.now - since, cache_status
        )
        self.carry_out(simulated, next_endpoint)

    # Sums over the fleet

    def limits(self) -> dict[str, float]:
        """Return the sums of all routers' concurrency limits of the cache nodes and the origin."""
        return {
            name: sum(getattr(router.policy, f"{name}_limit").value for router in self.routers)
            for name in ("fleet", "origin")
        }

    def requests_in_flight(self) -> int:
        """Return how many requests all routers together have in flight."""
        return round(sum(router.policy.fleet_limit.in_flight for router in self.routers))

    def ejected_fraction(self) -> float:
        """Return the share of all pairs of proxy and endpoint in which the endpoint is ejected."""
        ejected = sum(len(router.ejected_endpoints(self.now)) for router in self.routers)
        return ejected / self.fleet / len(self.caches)
