"""Queries over a record: requests that match, a table by time, the traffic for a scenario.

Invariants: nothing is decided here, and nothing is shown that the record does not hold.
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
EJECTION_LINE = "set aside"  # how a line of the router's log on an ejected endpoint begins
# By what the settings tell of a method's repeats, the method of the testbed that stands for it.
TESTBED_METHODS = {"retriable": "read", "deduped": "save", "non-retriable": "order"}
MAIN_TENANT, OTHER_TENANT = "shop", "bulk"  # of the testbed
CLIENT_LEFT = "left"

StoredEvents = Iterable[list[Any]]
RequestEvent = RequestReceived | RequestRouted | AttemptReported | ClientDisconnected
REQUEST_EVENT_KINDS = {STORED_KINDS[event_type] for event_type in get_args(RequestEvent)}


@dataclass(slots=True)
class RequestTrace:
    """A request as a record has it.

    Attributes:
        id: Its id.
        method: Its method; with a suffix, where it was taken under earlier settings.
        tenant: Its tenant, if any.
        key: Its key, if any.
        arrived_at_ms: When it arrived.
        steps: What happened to it, in words.
        endpoints: All endpoints that it was sent to.
        answer: How it ended; None where the record ends first.
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
        """Adds what happened at a moment."""
        self.steps.append(f"{at_ms - self.arrived_at_ms:.1f} {description}")


def _request_events(stored_events: StoredEvents) -> Iterator[RequestEvent]:
    """The events that tell how requests went."""
    for stored in stored_events:
        if stored[0] in REQUEST_EVENT_KINDS:
            event = decode_event(stored)
            if isinstance(event, RequestEvent):
                yield event


def request_traces(stored_events: StoredEvents) -> Iterator[RequestTrace]:
    """All requests that arrived in some events, in the order of their ends."""
    unfinished: dict[str, RequestTrace] = {}
    for event in _request_events(stored_events):
        if isinstance(event, RequestReceived):
            unfinished[event.request_id] = RequestTrace(
                event.request_id, event.method, event.tenant, event.key, event.arrived_at_ms
            )
            continue
        trace = unfinished.get(event.request_id)
        if trace is None:
            continue  # it arrived before these events
        _add_steps(trace, event)
        if trace.answer is not None:
            yield unfinished.pop(event.request_id)
    yield from unfinished.values()


def _add_steps(trace: RequestTrace, event: RequestRouted | AttemptReported | ClientDisconnected) -> None:
    """Adds what an event tells of a request."""
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
    """Conditions on requests, such as `key=1f,cache=c3`.

    Raises:
        ValueError: A condition is unknown, or its value is of the wrong form.
    """
    conditions = {}
    for part in text.split(","):
        name, equals, value = part.partition("=")
        if not equals or name not in CONDITIONS:
            raise ValueError(f"{part!r}: NAME=VALUE, with one of {', '.join(CONDITIONS)}")
        if name in ("from", "to"):
            float(value)
        if name == "key":
            int(value, 16)
        conditions[name] = value
    return conditions


def matching_requests(
    stored_events: StoredEvents, conditions: Mapping[str, str], began_at_ms: float
) -> Iterator[RequestTrace]:
    """Requests that match all conditions; "from" and "to" are in s after the record's beginning."""
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
    """A row each `span_s`: requests by answer, ejected endpoints and limits; the latter by replay.

    Raises what the replay raises.
    """
    counts: Counter[str] = Counter()
    row: int | None = None
    for frame in frames:
        for stored in frame:
            at_ms = stored[1]
            # Some events have no moment of their own: they count where the one before does.
            event_row = int((at_ms - began_at_ms) / span_s / 1000.0) if at_ms else row
            if row is not None and event_row is not None and event_row > row:
                yield _table_row(replayer, counts, row * span_s, at_ms)
                counts.clear()
            row = event_row
            _count(counts, replayer.play_event(stored))
    if row is not None:
        yield _table_row(replayer, counts, row * span_s, began_at_ms + (row + 1) * span_s * 1000.0)


def _count(counts: Counter[str], event: Event) -> None:
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
    """Rows of one span of time, of several segments, as one: counts add up, of the rest the last holds."""
    merged: dict[float, dict[str, Any]] = {}
    for row in sorted(rows, key=lambda row: row["s"]):
        before = merged.get(row["s"])
        if before is None:
            merged[row["s"]] = row
        else:
            merged[row["s"]] = row | {name: before[name] + row[name] for name in COUNTED_COLUMNS}
    return list(merged.values())


# Traffic for a scenario


class Arrival(NamedTuple):
    """A request as a scenario's traffic file has it, in the order of these fields."""

    at_s: float
    method: str
    key: str
    tenant: str | None


def arrivals(head: Mapping[str, Any], stored_events: StoredEvents) -> list[Arrival]:
    """The requests that arrived. Clients' own retries are left out: a scenario's clients make them."""
    repeats = {method["name"]: method["repeats"] for method in head["deployment"]["methods"]}
    found = []
    for event in _request_events(stored_events):
        if isinstance(event, RequestReceived) and not event.client_retry:
            name = event.method.partition(SETTINGS_VERSION_SEPARATOR)[0]
            method = TESTBED_METHODS[repeats.get(name, "retriable")]
            found.append(
                Arrival(event.arrived_at_ms / 1000.0, method, f"{event.key or 0:016x}", event.tenant)
            )
    return found


def scenario_traffic(found: Iterable[Arrival]) -> list[list[Any]]:
    """Arrivals as a scenario takes them: from the first on; the tenant with most is the testbed's first."""
    known = list(found)
    most_common = Counter(arrival.tenant for arrival in known).most_common(1)
    first_s = min((arrival.at_s for arrival in known), default=0.0)
    return sorted(
        [
            round(arrival.at_s - first_s, 6),
            arrival.method,
            arrival.key,
            MAIN_TENANT if arrival.tenant == most_common[0][0] else OTHER_TENANT,
        ]
        for arrival in known
    )
