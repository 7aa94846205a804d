"""Queries over a record: matching requests, a table by time, and the traffic for a scenario.

Invariants: the queries make no decisions, and show only data that the record holds.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, get_args

from calicofall.recording.events import (
    STORED_KINDS,
    AttemptReported,
    ClientDisconnected,
    Event,
    RequestReceived,
    RequestRouted,
    Ticked,
    decode_event,
)
from calicofall.recording.replayer import Replayer
from calicofall.routing.request import SETTINGS_VERSION_SEPARATOR

CONDITIONS = ("id", "key", "cache", "tenant", "method", "from", "to")
COUNTED_COLUMNS = ("taken", "completed", "exhausted", "errored", "set_aside")
EJECTION_LINE = "set aside"  # prefix of the router's log lines on ejected endpoints
# The testbed's method that represents a recorded method, by the setting `repeats` of the recorded method.
TESTBED_METHODS = {"retriable": "read", "deduped": "save", "non-retriable": "order"}
MAIN_TENANT, OTHER_TENANT = "shop", "bulk"  # tenants of the testbed
CLIENT_LEFT = "left"

StoredEvents = Iterable[list[Any]]
RequestEvent = RequestReceived | RequestRouted | AttemptReported | ClientDisconnected
REQUEST_EVENT_KINDS = {STORED_KINDS[event_type] for event_type in get_args(RequestEvent)}


@dataclass(slots=True)
class RequestTrace:
    """The course of a request according to a record.

    Attributes:
        id: Request id.
        method: Method, with a suffix if the request was received under earlier settings.
        tenant: Tenant, if any.
        key: Key, if any.
        arrived_at_ms: Arrival time on the router's clock (ms).
        steps: Descriptions of the events of the request, each after its time since the arrival (ms).
        endpoints: All endpoints that the request was sent to.
        answer: Outcome of the request; None if the record ends first.
    """

    id: str
    method: str
    tenant: str | None
    key: int | None
    arrived_at_ms: float
    steps: list[str] = field(default_factory=list)
    endpoints: set[str] = field(default_factory=set)
    answer: str | None = None

    def add_step(self, at_ms: float, description: str) -> None:
        """Adds the description of an event at a time on the router's clock."""
        self.steps.append(f"{at_ms - self.arrived_at_ms:.1f} {description}")


def _request_events(stored_events: StoredEvents) -> Iterator[RequestEvent]:
    """Yields the events that describe the course of requests."""
    for stored in stored_events:
        if stored[0] in REQUEST_EVENT_KINDS:
            event = decode_event(stored)
            if isinstance(event, RequestEvent):
                yield event


def request_traces(stored_events: StoredEvents) -> Iterator[RequestTrace]:
    """Yields all requests that arrived in these events, in the order of their ends; unfinished ones last."""
    unfinished: dict[str, RequestTrace] = {}
    for event in _request_events(stored_events):
        if isinstance(event, RequestReceived):
            unfinished[event.request_id] = RequestTrace(
                event.request_id, event.method, event.tenant, event.key, event.arrived_at_ms
            )
            continue
        trace = unfinished.get(event.request_id)
        if trace is None:
            continue  # the request arrived before these events
        _add_steps(trace, event)
        if trace.answer is not None:
            yield unfinished.pop(event.request_id)
    yield from unfinished.values()


def _add_steps(trace: RequestTrace, event: RequestRouted | AttemptReported | ClientDisconnected) -> None:
    """Adds the steps that an event describes to the trace of its request."""
    if isinstance(event, ClientDisconnected):
        trace.add_step(event.at_ms, "client left")
        trace.answer = CLIENT_LEFT
        return
    if isinstance(event, AttemptReported):
        trace.add_step(event.at_ms, f"{event.outcome} after {event.latency_ms:.1f}")
    if event.endpoint is not None:
        trace.endpoints.add(event.endpoint)
        trace.add_step(event.at_ms, f"to {event.endpoint}")
    if event.answer is not None:
        retry_after = f", again in {event.retry_after_ms:.0f}" if event.retry_after_ms else ""
        trace.add_step(event.at_ms, f"{event.answer}{retry_after}")
        trace.answer = event.answer


def parse_conditions(text: str) -> dict[str, str]:
    """Parses conditions on requests, such as `key=1f,cache=c3`.

    Raises:
        ValueError: The name of a condition is unknown, or its value is malformed.
    """
    conditions = {}
    for condition in text.split(","):
        name, equals, value = condition.partition("=")
        if not equals or name not in CONDITIONS:
            raise ValueError(
                f"condition {condition!r}: expected NAME=VALUE with NAME one of {', '.join(CONDITIONS)}"
            )
        if name in ("from", "to"):
            float(value)
        if name == "key":
            int(value, 16)
        conditions[name] = value
    return conditions


def matching_requests(
    stored_events: StoredEvents, conditions: Mapping[str, str], began_at_ms: float
) -> Iterator[RequestTrace]:
    """Yields the requests that match all conditions; "from" and "to" are seconds since the record began."""
    for trace in request_traces(stored_events):
        if _matches(trace, conditions, (trace.arrived_at_ms - began_at_ms) / 1000.0):
            yield trace


def _matches(trace: RequestTrace, conditions: Mapping[str, str], arrived_s: float) -> bool:
    return (
        conditions.get("id", trace.id) == trace.id
        and ("key" not in conditions or trace.key == int(conditions["key"], 16))
        and conditions.get("method", trace.method) == trace.method
        and conditions.get("tenant", trace.tenant) == trace.tenant
        and ("cache" not in conditions or conditions["cache"] in trace.endpoints)
        and float(conditions.get("from", arrived_s)) <= arrived_s <= float(conditions.get("to", arrived_s))
    )


# A table by time


def table_rows(
    replayer: Replayer, frames: Iterable[list[list[Any]]], began_at_ms: float, span_s: float
) -> Iterator[dict[str, Any]]:
    """Yields a row for each period of `span_s`: requests by answer, ejected endpoints, and limits.

    The limits and ejected endpoints are determined by replay. Raises the same errors as `Replayer.replay`.
    """
    counts: Counter[str] = Counter()
    row: int | None = None
    for frame in frames:
        for stored in frame:
            at_ms = stored[1]
            # Events without a time count towards the row of the preceding event.
            event_row = int((at_ms - began_at_ms) / span_s / 1000.0) if at_ms else row
            if row is not None and event_row is not None and event_row > row:
                yield _table_row(replayer, counts, row * span_s, at_ms)
                counts.clear()
            row = event_row
            _count_event(counts, replayer.replay_event(stored))
    if row is not None:
        yield _table_row(replayer, counts, row * span_s, began_at_ms + (row + 1) * span_s * 1000.0)


def _count_event(counts: Counter[str], event: Event) -> None:
    if isinstance(event, RequestReceived):
        counts["taken"] += 1
    elif isinstance(event, RequestRouted | AttemptReported):
        if event.answer is not None:
            counts[event.answer] += 1
    elif isinstance(event, Ticked):
        counts["set_aside"] += sum(line.startswith(EJECTION_LINE) for line in event.log_lines)


def _table_row(replayer: Replayer, counts: Counter[str], at_s: float, now: float) -> dict[str, Any]:
    summary = replayer.router_summary()
    return {
        "s": at_s,
        **{name: counts[name] for name in COUNTED_COLUMNS},
        "aside": len(replayer.router.ejected_endpoints(now)),
        "caches": summary["caches"],
        "fleet": summary["fleet"][1],
        "origin": summary["origin"][1],
    }


def merge_rows(rows: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Merges rows of the same period from several segments: adds counts, keeps the last of other values."""
    merged: dict[float, dict[str, Any]] = {}
    for row in sorted(rows, key=lambda row: row["s"]):
        previous = merged.get(row["s"])
        if previous is None:
            merged[row["s"]] = row
        else:
            merged[row["s"]] = row | {name: previous[name] + row[name] for name in COUNTED_COLUMNS}
    return list(merged.values())


# Traffic for a scenario


class Arrival(NamedTuple):
    """An arrival of a request; the fields are in the order of a scenario's traffic file."""

    at_s: float
    method: str
    key: str
    tenant: str | None


def arrivals(head: Mapping[str, Any], stored_events: StoredEvents) -> list[Arrival]:
    """Returns the arrivals of requests, except client retries: a scenario's clients make their own."""
    repeats = {method["name"]: method["repeats"] for method in head["deployment"]["methods"]}
    found_arrivals = []
    for event in _request_events(stored_events):
        if isinstance(event, RequestReceived) and not event.client_retry:
            name = event.method.partition(SETTINGS_VERSION_SEPARATOR)[0]
            method = TESTBED_METHODS[repeats.get(name, "retriable")]
            found_arrivals.append(
                Arrival(event.arrived_at_ms / 1000.0, method, f"{event.key or 0:016x}", event.tenant)
            )
    return found_arrivals


def scenario_traffic(found_arrivals: Iterable[Arrival]) -> list[list[Any]]:
    """Converts arrivals to a scenario's traffic, with times relative to the first arrival (s).

    The tenant with the most requests becomes the testbed's main tenant, all others its other tenant.
    """
    arrival_list = list(found_arrivals)
    most_common = Counter(arrival.tenant for arrival in arrival_list).most_common(1)
    first_s = min((arrival.at_s for arrival in arrival_list), default=0.0)
    return sorted(
        [
            round(arrival.at_s - first_s, 6),
            arrival.method,
            arrival.key,
            MAIN_TENANT if arrival.tenant == most_common[0][0] else OTHER_TENANT,
        ]
        for arrival in arrival_list
    )
