"""The schema of stored state: the names of the router's classes and fields in records.

Each table lists the stored fields of a class in the order in which they are written, with the path of the
attribute that holds the field in memory. Stored names and their order are part of the record format. They do
not change if an attribute is renamed or a class is split; a new field requires a new format.
"""

from collections.abc import Callable, Mapping
from typing import Any

from calicofall.recording.pseudonymizer import Naming
from calicofall.recording.stored_class import ConvertedField, StoredClass
from calicofall.routing.actions import Action, Outbox, action_from_stored, stored_action
from calicofall.routing.attempt_observer import AttemptObserver
from calicofall.routing.cached_keys import FetchLikelihood, KeyRequestCounts, RecentlyCachedKeys
from calicofall.routing.concurrency_limit import ConcurrencyLimit
from calicofall.routing.endpoint import Endpoint
from calicofall.routing.endpoint_table import EndpointTable
from calicofall.routing.gossip_exchange import GossipExchange
from calicofall.routing.latency import LatencyBaselines, ZoneLatency
from calicofall.routing.limits import Limits
from calicofall.routing.list_polling import ListPolling
from calicofall.routing.origin_protection import OriginProtection
from calicofall.routing.outlier_detection import OutlierDetector
from calicofall.routing.placement import Placement
from calicofall.routing.policy import RoutingPolicy
from calicofall.routing.request import Attempt, Request
from calicofall.routing.retry_policy import RetryBudget, RetryPolicy
from calicofall.routing.router import Router
from calicofall.routing.selection import EndpointSelector
from calicofall.routing.settings import Deployment, RoutingSettings
from calicofall.routing.sliding_window import SlidingWindow
from calicofall.routing.slow_readers import SlowReaders
from calicofall.routing.slow_start import SlowStart
from calicofall.routing.tenant_quota import TenantQuotas
from calicofall.routing.timeouts import Timeouts
from calicofall.routing.traffic import RelativeCapacity, Traffic

Fields = Mapping[str, str | ConvertedField]
Rename = Callable[[Any, Naming], Any]


def _stored_actions(actions: list[Action]) -> list[tuple[Any, ...]]:
    return [stored_action(action) for action in actions]


def _actions_from_stored(stored: list[tuple[Any, ...]]) -> tuple[list[Action]]:
    return ([action_from_stored(action) for action in stored],)


ROUTER_FIELDS: Fields = {
    "policy": "policy",
    "hand": "active_requests",
    "waits": "waiting",
    "count": "wait_count",
    "applied": "settings_count",
    "lines": "log_lines",
    "chores": ConvertedField(("actions",), _stored_actions, _actions_from_stored),
    "wall": "slot_clock_offset_ms",
}
POLICY_FIELDS: Fields = {
    "rules": "settings.rules",
    "caps": "settings.caps",
    "chance": "random_generator",
    "methods": "settings.methods",
    "soonest": "settings.latency_objective_ms",
    "proxies": "deployment.proxies",
    "many": "deployment.large_fleet",
    "most": "settings.max_attempts",
    "fade": "slow_start.ramp_ms",
    "dear": "deployment.new_connection_cost",
    "zone": "deployment.zone",
    "crossing": "deployment.cross_zone_cost",
    "aside": "deployment.look_aside",
    "useful": "settings.max_useful_fetch_ms",
    "origin_kind": "deployment.origin_kind",
    "live": "settings.live_weights",
    "caches": "endpoints.caches",
    "origins": "endpoints.origins",
    "ledger": "endpoints.direct_origin",
    "usable": "placement.usable",
    "places": "placement.constraints",
    "within": "placement.candidates",
    "asked": "placement.demand",
    "weights": "placement.weights",
    "total": "placement.total_weight",
    "warm": "slow_start.warm_weight",
    "wide": "slow_start.recent_warm_weight",
    "rankings": "placement.rankings",
    "errands": ConvertedField(("outbox.actions",), _stored_actions, _actions_from_stored),
    "asks": "polling.enabled",
    "ask_at": "polling.poll_at",
    "ask_gap": "polling.backoff_ms",
    "usual": "latency.windows",
    "typical": "latency.baselines",
    "gap": "gossip.interval_ms",
    "peers": "gossip.peer_count",
    "me": "gossip.own_number",
    "tell_at": "gossip.next_send_at",
    "news": "gossip.pending_waits",
    "came": "gossip.arrivals",
    "rates": "gossip.peer_requests",
    "fetches": "latency.fetches",
    "fetch_usual": "latency.fetch_baseline_ms",
    "fleet": "limits.fleet_limit",
    "origin": "limits.origin_limit",
    "most_retries": "retries.max_allowance",
    "retries": "retries.allowance",
    "budget": "retries.budget",
    "sorts": "retries.failing_groups",
    "buffers": "settings.answer_buffers",
    "lates": "slow_readers.late_requests",
    "before": "slow_readers.last_latencies",
    "skew": "settings.clock_error_ms",
    "doubt": "settings.start_error_ms",
    "flow": "traffic.recent",
    "sent": "traffic.sent",
    "done": "slow_start.warm_completions",
    "origin_floor": "limits.max_origin_floor",
    "carried": "slow_start.warm_request_rate",
    "bears": "slow_start.assigned_rate",
    "holders": "cached_keys.holders",
    "turn_at": "cached_keys.rotate_at",
    "keys_at": "key_counts.rotate_at",
    "unseen": "fetch_likelihood.windows",
    "missing": "fetch_likelihood.likelihood",
    "asked_for": "key_counts.counts",
    "quota": "quotas.rates",
    "purse": "quotas.buckets",
    "paces": "capacity.latencies",
    "resets": "outliers.resets",
    "floors": "zone_latency.floors",
    "zones": "outliers.zone_silence",
    "born": "slow_start.created_at",
    "seldom": "traffic.low",
    "parts": "settings.process_count",
    "swift": "capacity.by_kind",
    "scale": "quotas.share_scale",
    "middle": "outliers.fleet_relative_latency",
    "slowest": "latency.longest_baseline_ms",
    "rank": "settings.priority",
    "review_at": "next_update_at",
    "measure_at": "next_measurement_at",
    "fade_at": "slow_start.refresh_at",
    "overloaded": "limits.overloaded",
}
# Components of a policy, by attribute.
POLICY_COMPONENTS: Mapping[str, type[Any]] = {
    "settings": RoutingSettings,
    "deployment": Deployment,
    "outbox": Outbox,
    "polling": ListPolling,
    "endpoints": EndpointTable,
    "placement": Placement,
    "latency": LatencyBaselines,
    "zone_latency": ZoneLatency,
    "gossip": GossipExchange,
    "cached_keys": RecentlyCachedKeys,
    "key_counts": KeyRequestCounts,
    "fetch_likelihood": FetchLikelihood,
    "capacity": RelativeCapacity,
    "traffic": Traffic,
    "slow_readers": SlowReaders,
    "limits": Limits,
    "retries": RetryPolicy,
    "quotas": TenantQuotas,
    "slow_start": SlowStart,
    "origin_protection": OriginProtection,
    "outliers": OutlierDetector,
    "timeouts": Timeouts,
    "selector": EndpointSelector,
    "observer": AttemptObserver,
}
# Components that each component references: `timeouts._settings` is the policy's `settings`, and so on.
POLICY_REFERENCES: Mapping[str, tuple[str, ...]] = {
    "polling": ("outbox",),
    "endpoints": (
        "deployment",
        "settings",
    ),
    "gossip": ("outbox",),
    "traffic": (
        "capacity",
        "placement",
    ),
    "slow_readers": ("settings",),
    "limits": (
        "deployment",
        "latency",
        "settings",
    ),
    "retries": (
        "latency",
        "settings",
    ),
    "quotas": ("deployment",),
    "slow_start": (
        "deployment",
        "key_counts",
        "placement",
        "settings",
        "traffic",
    ),
    "origin_protection": (
        "cached_keys",
        "endpoints",
        "latency",
        "limits",
        "placement",
        "settings",
        "zone_latency",
    ),
    "outliers": (
        "capacity",
        "deployment",
        "endpoints",
        "latency",
        "outbox",
        "placement",
        "settings",
        "slow_start",
        "traffic",
    ),
    "timeouts": (
        "cached_keys",
        "deployment",
        "endpoints",
        "latency",
        "outliers",
        "retries",
        "settings",
        "slow_readers",
        "traffic",
        "zone_latency",
    ),
    "selector": (
        "cached_keys",
        "deployment",
        "endpoints",
        "gossip",
        "key_counts",
        "origin_protection",
        "outliers",
        "placement",
        "settings",
        "slow_start",
        "traffic",
        "zone_latency",
    ),
    "observer": (
        "cached_keys",
        "capacity",
        "deployment",
        "endpoints",
        "fetch_likelihood",
        "gossip",
        "latency",
        "limits",
        "outliers",
        "placement",
        "retries",
        "settings",
        "slow_readers",
        "slow_start",
        "traffic",
        "zone_latency",
    ),
}
LIMIT_FIELDS: Fields = {
    "least": "min_samples",
    "pause": "window_ms",
    "haste": "relative_growth",
    "value": "value",
    "floor": "floor",
    "slack": "tolerance",
    "held": "in_flight",
    "short": "capacity_denied",
    "step": "root_growth",
    "spare": "unused_capacity",
    "at": "usage_updated_at",
    "turn": "next_start_at",
    "present": "relative_latencies",
    "fell_at": "decreased_at",
    "seen_at": "updated_at",
}
CACHE_FIELDS: Fields = {
    "name": "name",
    "salt": "salt",
    "stamp": "listed_start",
    "weight": "weight",
    "started": "started_at",
    "ready": "ready",
    "cell": "cell",
    "zone": "zone",
    "kind": "kind",
    "held": "in_flight",
    "heard": "last_heard_at",
    "drained": "draining",
    "sent": "sent",
    "wishes": "warming_requests",
    "part": "admitted_fraction",
    "part_at": "fraction_set_at",
    "doubles": "recovery_doubling_ms",
    "aside": "ejected",
    "pace": "relative_latency",
    "mass": "wait_count",
    "sum": "wait_sum",
    "noted_at": "waits_updated_at",
    "mark": "gossip_id",
}
RING_FIELDS: Fields = {
    "width": "bucket_ms",
    "marks": "bucket_numbers",
    "counts": "counts",
    "sums": "sums",
}
BUDGET_FIELDS: Fields = {
    "told": "enabled",
    "spare": "fixed_attempts",
    "ratio": "attempts_per_request",
    "taken": "requests",
    "spent": "extra_attempts",
}
REQUEST_FIELDS: Fields = {
    "id": "id",
    "method": "method",
    "tenant": "tenant",
    "key": "key",
    "write": "write",
    "arrived": "arrived_at",
    "until": "expires_at",
    "repeat": "client_retry",
    "sent": "attempts",
    "over": "finished",
    "bound": "streaming",
    "missed": "cache_missed",
    "grants": "cache_miss_retries",
    "work": "estimated_work_ms",
    "within_share": "within_quota",
    "answer": "answer",
    "come_back": "retry_after_ms",
    "time_out": "timeout_ms",
}
TRANSMISSION_FIELDS: Fields = {
    "cache": "endpoint",
    "at": "sent_at",
    "fetch": "origin_probability",
    "outcome": "outcome",
    "begun": "response_started",
    "turns": "rate_slots",
}


def _bind_router(router: Router) -> None:
    """Binds the methods that a router delegates unchanged to its restored policy."""
    router.bind_policy()


ROUTER = StoredClass(
    "Router",
    Router,
    ROUTER_FIELDS,
    not_stored={
        "on_endpoint_list": "a method of the policy",
        "on_gossip": "a method of the policy",
        "heavily_degraded_count": "a method of the policy",
        "origin_slots": "belongs to the caller, who sets it again",
    },
    after_restore=_bind_router,
    ignores_private=True,
)


# Set by `RoutingSettings.derive`.
DERIVED_SETTINGS = (
    "settings.by_method",
    "settings.warm_up_ms",
    "settings.warm_up_share",
    "settings.overload_multiple",
    "settings.poll_interval_ms",
    "settings.removal_requires_draining",
    "settings.can_cancel",
    "settings.max_retry_after_ms",
)


def _bind_policy(policy: RoutingPolicy) -> None:
    """Derives the attributes that are not stored."""
    policy.settings.derive()
    policy.zone_latency.extra = None
    policy.placement.ranking = policy.placement.rank


POLICY = StoredClass(
    "Policy",
    RoutingPolicy,
    POLICY_FIELDS,
    components=POLICY_COMPONENTS,
    aliases={
        f"{component}._{name}": name for component, names in POLICY_REFERENCES.items() for name in names
    },
    not_stored={
        "zone_latency.extra": "follows from the floors",
        "placement.ranking": "a recording router's or a replayer's own wrapper of a method",
        **dict.fromkeys(DERIVED_SETTINGS, "follows from rules, caps and methods"),
    },
    after_restore=_bind_policy,
)

STORED_CLASSES = (
    POLICY,
    StoredClass("Limit", ConcurrencyLimit, LIMIT_FIELDS),
    StoredClass("Cache", Endpoint, CACHE_FIELDS),
    StoredClass("Ring", SlidingWindow, RING_FIELDS),
    StoredClass("Budget", RetryBudget, BUDGET_FIELDS),
    StoredClass("Rpc", Request, REQUEST_FIELDS),
    StoredClass("Transmission", Attempt, TRANSMISSION_FIELDS),
)
BY_STORED_NAME = {stored.name: stored for stored in STORED_CLASSES}
BY_LIVE_CLASS = {stored.live_class: stored for stored in STORED_CLASSES}


def _rename_holders(
    generations: list[set[tuple[int, str]]], naming: Naming
) -> list[set[tuple[int | None, str]]]:
    return [{(naming.key(key), endpoint) for key, endpoint in generation} for generation in generations]


def _rename_key_counts(generations: list[dict[int, int]], naming: Naming) -> list[dict[int | None, int]]:
    return [{naming.key(key): count for key, count in generation.items()} for generation in generations]


def _rename_rankings(
    rankings: dict[tuple[int, Any], Any], naming: Naming
) -> dict[tuple[int | None, Any], Any]:
    return {(naming.key(key), place): ranking for (key, place), ranking in rankings.items()}


def _rename_request_groups(groups: dict[tuple[str, Any], Any], naming: Naming) -> dict[tuple[str, Any], Any]:
    rename: dict[str, Callable[[Any], Any]] = {"key": naming.key, "tenant": naming.tenant}
    return {
        (kind, rename[kind](value) if kind in rename else value): window
        for (kind, value), window in groups.items()
    }


def _rename_by_tenant(by_tenant: dict[str, Any], naming: Naming) -> dict[str, Any]:
    return {naming.tenant(name): value for name, value in by_tenant.items()}


# Functions that replace keys and tenants in a stored value by their names in the record, by class and field.
PSEUDONYMIZED: dict[tuple[str, str], Rename] = {
    ("Rpc", "key"): lambda key, naming: naming.key(key),
    ("Rpc", "tenant"): lambda name, naming: None if name is None else naming.tenant(name),
    ("Policy", "holders"): _rename_holders,
    ("Policy", "asked_for"): _rename_key_counts,
    ("Policy", "rankings"): _rename_rankings,
    ("Policy", "sorts"): _rename_request_groups,
    ("Policy", "quota"): _rename_by_tenant,
    ("Policy", "purse"): _rename_by_tenant,
}
