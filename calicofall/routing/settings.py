"""Typed settings of the routing policy, read from a deployment's map.

`Deployment` holds the settings that are fixed while a process runs, `RoutingSettings` those that may be
replaced.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from typing import Any

from calicofall.routing.cached_keys import DEFAULT_MAX_KEYS
from calicofall.routing.endpoint import PlacementConstraint
from calicofall.routing.request import RetrySafety

LARGE_FLEET_PROXIES = (
    16.0  # with more proxies, each sends too few requests to an endpoint to measure it alone
)
DEFAULT_LATENCY_OBJECTIVE_MS = 500.0
DEFAULT_MAX_ATTEMPTS = 3
DEFAULT_WARM_UP_MS = 14_000.0
DEFAULT_WARM_UP_SHARE = 0.1
DEFAULT_POLL_INTERVAL_MS = 10_000.0
CONSTRAINT_FIELDS = "zones_open", "kinds_open"  # fields that constrain the endpoints of a method

RawMethod = dict[str, Any]  # a method in the form of `config.settings`, states and records


@dataclass(frozen=True, slots=True)
class MethodSettings:
    """The settings of one method; times are in ms."""

    retry_safety: RetrySafety
    # Which endpoints drop duplicates of each other's requests with an idempotency key: all of them, or those
    # of one zone or cell.
    deduplication_group: str | None
    idempotency_window_ms: float  # how long endpoints drop duplicates
    latency_objective_ms: float
    deadline_ms: float
    late_value: float  # value of an answer after the objective, relative to one before it; 0: none
    constraint: PlacementConstraint  # the zones and kinds it is restricted to

    @classmethod
    def of(cls, method: RawMethod) -> "MethodSettings":
        """Reads the settings from a method's map."""
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
    """The deployment of the proxy, as it was when the process started."""

    def __init__(self, deployment: Mapping[str, Any]) -> None:
        """Reads the settings from a deployment's map."""
        data = deployment.get("data") or {}
        costs = deployment.get("costs") or {}
        kinds = dict(enumerate(deployment.get("kinds") or []))
        self.proxies = proxy_count(deployment)
        self.large_fleet = self.proxies > LARGE_FLEET_PROXIES
        # Cost of an open connection over time, relative to the handshake of a new one.
        self.new_connection_cost: float = (costs.get("connection") or 0.0) / (costs.get("handshake") or inf)
        self.zone: str | None = deployment.get("zone")
        self.cross_zone_cost: float = costs.get("cross_zone") or 0.0
        # In a look-aside deployment the proxy, not the cache, sends to the origin after a cache miss.
        self.look_aside = is_look_aside(deployment)
        self.origin_kind: str | None = kinds.get(data.get("origin_kind", -1)) if self.look_aside else None


class RoutingSettings:
    """Replaceable settings; all components of the policy share one object, so that they change together."""

    def __init__(self, deployment: Mapping[str, Any]) -> None:
        """Reads the settings from a deployment's map."""
        self.process_count = 1  # processes of this proxy, each with an equal share of its limits
        self.apply(deployment, {method["name"]: method for method in deployment["methods"]})

    def apply(self, deployment: Mapping[str, Any], methods: dict[str, RawMethod]) -> None:
        """Replaces all settings; `methods` may hold more than the deployment's own."""
        self.rules: Mapping[str, Any] = deployment["rules"]
        self.caps: Mapping[str, Any] = deployment["caps"]
        self.methods = methods
        self.derive()
        self.max_attempts: int = self.caps.get("most_transmissions") or DEFAULT_MAX_ATTEMPTS
        # Maximum number of answers that wait for slow clients; 0: not limited.
        self.answer_buffers: int = self.caps.get("buffers") or 0
        self.live_weights = deployment.get("weights") == "live"  # listed weights follow the current load
        # Largest clock errors, in either direction, of a request's deadline and of a listed start.
        self.clock_error_ms: float = self.rules.get("clock_error") or 0.0
        self.start_error_ms: float = self.rules.get("start_error") or 0.0
        self.latency_objective_ms: float = min(
            (method["soft_deadline"] for method in methods.values()), default=DEFAULT_LATENCY_OBJECTIVE_MS
        )
        # A fetch that takes longer is of no use.
        self.max_useful_fetch_ms = self._max_useful_fetch_ms(is_look_aside(deployment))
        highest_gain = max((method.get("gain") or 1.0 for method in methods.values()), default=1.0)
        # Priority of each method, relative to the highest.
        self.priority = {name: (method.get("gain") or 1.0) / highest_gain for name, method in methods.items()}

    def derive(self) -> None:
        """Derives the settings that follow from rules, caps and methods and are not stored in states."""
        rules, caps = self.rules, self.caps
        self.by_method = {name: MethodSettings.of(method) for name, method in self.methods.items()}
        # How long an endpoint warms up, and the initial fraction of its load that it may get.
        self.warm_up_ms: float = rules.get("cold") or DEFAULT_WARM_UP_MS
        self.warm_up_share: float = rules.get("cold_share") or DEFAULT_WARM_UP_SHARE
        # Factor by which a warming endpoint may be sent more than its share.
        self.overload_multiple: float = rules.get("fall_multiple") or 1.0
        self.poll_interval_ms: float = rules.get("ask_every") or DEFAULT_POLL_INTERVAL_MS
        # Endpoints drain before they leave the list; `EndpointTable` uses it to detect a wrong list.
        self.removal_requires_draining = bool(rules.get("draining_alone"))
        self.can_cancel = bool(caps.get("cancel"))  # attempts may be cancelled
        # The longest retry delay that a rejected client may be sent; 0 if none is sent.
        self.max_retry_after_ms: float = 0.0
        if caps.get("retry_after"):
            self.max_retry_after_ms = caps.get("max_retry_after") or 0.0

    @property
    def max_keys(self) -> int:
        """How many keys each table by key may hold: a cap that the proxy adds, by its memory."""
        return self.caps.get("max_keys") or DEFAULT_MAX_KEYS

    def _max_useful_fetch_ms(self, look_aside: bool) -> float:
        if look_aside:
            return self.latency_objective_ms
        # If late answers have some value, slower fetches are useful.
        return min(
            (
                method.latency_objective_ms
                + method.late_value * (method.deadline_ms - method.latency_objective_ms)
                for method in self.by_method.values()
            ),
            default=DEFAULT_LATENCY_OBJECTIVE_MS,
        )

    def placement_constraints(self) -> dict[str, PlacementConstraint]:
        """Returns the placement constraints by method."""
        return {name: method.constraint for name, method in self.by_method.items()}


def proxy_count(deployment: Mapping[str, Any]) -> int:
    """Returns the number of proxies of the fleet, at least one."""
    return max(1, deployment.get("proxies") or 1)


def is_look_aside(deployment: Mapping[str, Any]) -> bool:
    """Returns whether the proxy, not the caches, fetches from the origin."""
    return (deployment.get("data") or {}).get("mode") == "aside"
