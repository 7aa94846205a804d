"""Typed settings of the routing policy: what it reads from a deployment's map.

`Deployment` holds what stays for the life of a process, `RoutingSettings` what may be replaced while it runs.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from typing import Any

from calicofall.routing.endpoint import PlacementConstraint
from calicofall.routing.request import RetrySafety

LARGE_FLEET_PROXIES = 16.0  # with more proxies each meets an endpoint too seldom to learn from it alone
DEFAULT_LATENCY_OBJECTIVE_MS = 500.0
DEFAULT_MAX_ATTEMPTS = 3
DEFAULT_WARM_UP_MS = 14_000.0
DEFAULT_WARM_UP_SHARE = 0.1
DEFAULT_POLL_INTERVAL_MS = 10_000.0
CONSTRAINT_FIELDS = "zones_open", "kinds_open"  # fields that bind a method to a place

RawMethod = dict[str, Any]  # a method as `config.settings` gives it out, and as states and records hold it


@dataclass(frozen=True, slots=True)
class MethodSettings:
    """What is set for the requests of one method; times in ms."""

    retry_safety: RetrySafety
    deduplication_group: (
        str | None
    )  # the endpoints that drop repeats of a request with an idempotency key: all, zone or cell
    idempotency_window_ms: float  # for how long they do
    latency_objective_ms: float
    deadline_ms: float
    late_value: float  # what an answer past the objective is worth, of one before it; 0: nothing
    constraint: PlacementConstraint  # the zones and kinds it is bound to

    @classmethod
    def of(cls, method: RawMethod) -> "MethodSettings":
        """Reads a method's map."""
        zones, kinds = (frozenset(method.get(field) or ()) or None for field in CONSTRAINT_FIELDS)
        return cls(
            RetrySafety(method["repeats"]),
            method.get("group"),
            method["window"],
            method["soft_deadline"],
            method["hard_deadline"],
            method.get("late_gain") or 0.0,
            (zones, kinds),
        )


class Deployment:
    """The fleet that the proxy is one of, as it was when the process started."""

    def __init__(self, deployment: Mapping[str, Any]) -> None:
        """Reads a deployment's map."""
        data = deployment.get("data") or {}
        costs = deployment.get("costs") or {}
        kinds = dict(enumerate(deployment.get("kinds") or []))
        self.proxies = proxy_count(deployment)
        self.large_fleet = self.proxies > LARGE_FLEET_PROXIES
        # What an open connection costs over time, relative to the handshake of a new one.
        self.new_connection_cost: float = (costs.get("connection") or 0.0) / (costs.get("handshake") or inf)
        self.zone: str | None = deployment.get("zone")
        self.cross_zone_cost: float = costs.get("cross_zone") or 0.0
        self.look_aside = is_look_aside(deployment)  # clients' misses go to the origin by way of the proxy
        self.origin_kind: str | None = kinds.get(data.get("origin_kind", -1)) if self.look_aside else None


class RoutingSettings:
    """Settings that may be replaced; shared by all parts of the policy, so that they change together."""

    def __init__(self, deployment: Mapping[str, Any]) -> None:
        """Reads a deployment's map."""
        self.process_count = 1  # processes of this proxy, each with one such part of what the proxy may do
        self.apply(deployment, {method["name"]: method for method in deployment["methods"]})

    def apply(self, deployment: Mapping[str, Any], methods: dict[str, RawMethod]) -> None:
        """Takes other settings, whole; `methods` may hold more than the deployment's own."""
        self.rules: Mapping[str, Any] = deployment["rules"]
        self.caps: Mapping[str, Any] = deployment["caps"]
        self.methods = methods
        self.derive()
        self.max_attempts: int = self.caps.get("most_transmissions") or DEFAULT_MAX_ATTEMPTS
        self.answer_buffers: int = (
            self.caps.get("buffers") or 0
        )  # answers that wait for their readers, at most
        self.live_weights = deployment.get("weights") == "live"  # weights follow the load of the moment
        # How far off a request's end and a listed start may be, either way.
        self.clock_error_ms: float = self.rules.get("clock_error") or 0.0
        self.start_error_ms: float = self.rules.get("start_error") or 0.0
        self.latency_objective_ms: float = min(
            (method["soft_deadline"] for method in methods.values()), default=DEFAULT_LATENCY_OBJECTIVE_MS
        )
        self.max_useful_fetch_ms = self._max_useful_fetch_ms(
            is_look_aside(deployment)
        )  # a fetch that takes longer is of no use
        highest = max((method.get("gain") or 1.0 for method in methods.values()), default=1.0)
        # Priority weight of a method, relative to the highest.
        self.priority = {name: (method.get("gain") or 1.0) / highest for name, method in methods.items()}

    def derive(self) -> None:
        """Works out what follows from rules, caps and methods alone, and is not stored in states."""
        rules, caps = self.rules, self.caps
        self.by_method = {name: MethodSettings.of(method) for name, method in self.methods.items()}
        # How long an endpoint counts as warming up, and the share of its load that it may be sent at first.
        self.warm_up_ms: float = rules.get("cold") or DEFAULT_WARM_UP_MS
        self.warm_up_share: float = rules.get("cold_share") or DEFAULT_WARM_UP_SHARE
        # How much more than its share an endpoint that warms up may be sent.
        self.overload_multiple: float = rules.get("fall_multiple") or 1.0
        self.poll_interval_ms: float = rules.get("ask_every") or DEFAULT_POLL_INTERVAL_MS
        self.removal_requires_draining = bool(
            rules.get("draining_alone")
        )  # an endpoint is not out unless it drained
        self.can_cancel = bool(caps.get("cancel"))  # attempts may be called off
        # The longest pause that a rejected client may be told; 0 where none is told.
        self.max_retry_after_ms: float = 0.0
        if caps.get("retry_after"):
            self.max_retry_after_ms = caps.get("max_retry_after") or 0.0

    def _max_useful_fetch_ms(self, look_aside: bool) -> float:
        if look_aside:
            return self.latency_objective_ms
        # Where late answers have some worth, a fetch is of use for longer.
        return min(
            (
                method.latency_objective_ms
                + method.late_value * (method.deadline_ms - method.latency_objective_ms)
                for method in self.by_method.values()
            ),
            default=DEFAULT_LATENCY_OBJECTIVE_MS,
        )

    def placement_constraints(self) -> dict[str, PlacementConstraint]:
        """The place that each method is bound to."""
        return {name: method.constraint for name, method in self.by_method.items()}


def proxy_count(deployment: Mapping[str, Any]) -> int:
    """How many proxies the fleet has, at least one."""
    return max(1, deployment.get("proxies") or 1)


def is_look_aside(deployment: Mapping[str, Any]) -> bool:
    """Whether caches do not fetch from the origin themselves."""
    return (deployment.get("data") or {}).get("mode") == "aside"
