"""The event types of a record.

A record stores an event as a JSON list: the name of its kind, then the fields of its type in the order in
which they are declared. The names of the kinds and the order of the fields are part of the format. The names
of the types and fields are not stored and can change.

`at_ms` is the time of the call on the router's clock (ms); it is 0 for calls that have no time. In a
`ProxyNote` it is the time on the system clock (ms).
"""

from typing import Any, NamedTuple


class EndpointListReceived(NamedTuple):
    """The router received a list; `kind` is `full`, `delta`, `cached` or `failed` (no list arrived)."""

    at_ms: float
    kind: str
    version: int | None
    entries: list[Any]


class GossipReceived(NamedTuple):
    """A gossip message from another proxy was received."""

    at_ms: float
    sender: int
    message_hex: str


class RequestReceived(NamedTuple):
    """The router received a request; this event precedes its first `RequestRouted`."""

    at_ms: float
    request_id: str
    method: str
    tenant: str | None
    key: int | None
    write: bool
    arrived_at_ms: float
    expires_at_ms: float
    client_retry: bool
    estimated_work_ms: float


class RecordedDecision(NamedTuple):
    """A decision of the router on a request."""

    endpoint: str | None
    answer: str | None
    retry_after_ms: float
    timeout_ms: float

    def outcome(self) -> str:
        """Returns `send`, `wait`, or the answer."""
        return "send" if self.endpoint is not None else self.answer or "wait"


class RequestRouted(NamedTuple):
    """The router decided where to send a request; `slot_times` are the rate slots that it looked up."""

    at_ms: float
    request_id: str
    expires_at_ms: float
    endpoint: str | None
    answer: str | None
    retry_after_ms: float
    timeout_ms: float
    slot_times: list[float]

    @property
    def decision(self) -> RecordedDecision:
        """The decision on the request."""
        return RecordedDecision(self.endpoint, self.answer, self.retry_after_ms, self.timeout_ms)


class AttemptReported(NamedTuple):
    """The outcome of an attempt was reported to the router."""

    at_ms: float
    request_id: str
    attempt: int
    outcome: str
    latency_ms: float
    cache_status: str | None
    load_report: Any
    is_final: bool
    expires_at_ms: float
    endpoint: str | None
    answer: str | None
    retry_after_ms: float
    timeout_ms: float
    slot_times: list[float]

    @property
    def decision(self) -> RecordedDecision:
        """The next decision on the request."""
        return RecordedDecision(self.endpoint, self.answer, self.retry_after_ms, self.timeout_ms)


class ResponseStarted(NamedTuple):
    """The proxy started to pass the response of an attempt to the client."""

    at_ms: float
    request_id: str
    attempt: int


class ClientDisconnected(NamedTuple):
    """A client disconnected, and attempts of its request were cancelled."""

    at_ms: float
    request_id: str
    cancelled_attempts: list[int]


class WaitEnded(NamedTuple):
    """The router returned this request as one whose wait had ended."""

    at_ms: float
    request_id: str


class Ticked(NamedTuple):
    """The router's tick after a batch of calls.

    `wait_ms` is the time until the next tick, or None if no timer is pending. `waits_drained` is True if all
    requests whose wait had ended were taken before this tick.
    """

    at_ms: float
    wait_ms: float | None
    waits_drained: bool
    log_lines: list[str]
    actions: list[list[Any]]


class ProcessCountSet(NamedTuple):
    """The number of processes of this proxy was set."""

    at_ms: float
    process_count: int


class LearnedStateRestored(NamedTuple):
    """State that a previous incarnation had learned was restored."""

    at_ms: float
    learned: dict[str, dict[str, float]]


class SettingsApplied(NamedTuple):
    """New settings were applied while the router ran."""

    at_ms: float
    settings: dict[str, Any]


class QuotaSharesSet(NamedTuple):
    """This proxy's shares of the tenants' quotas and of an endpoint's request rate were set."""

    at_ms: float
    quotas: dict[str, float]
    endpoint_rate: float | None


class EndpointReinstated(NamedTuple):
    """The proxies agreed that an endpoint is not an outlier."""

    at_ms: float
    endpoint: str


class EndpointEjected(NamedTuple):
    """The proxies agreed that an endpoint is an outlier."""

    at_ms: float
    endpoint: str


class KeyRanked(NamedTuple):
    """The ranked endpoints of a key; recorded only with pseudonyms, whose hashes give other rankings."""

    at_ms: float
    key: int | None
    constraint: list[list[str] | None]
    endpoints: list[str]


class ProxyNote(NamedTuple):
    """An event of the proxy outside its router, recorded at the level `proxy`; it is not replayed."""

    at_ms: float
    name: str
    values: dict[str, Any]


Event = (
    EndpointListReceived
    | GossipReceived
    | RequestReceived
    | RequestRouted
    | AttemptReported
    | ResponseStarted
    | ClientDisconnected
    | WaitEnded
    | Ticked
    | ProcessCountSet
    | LearnedStateRestored
    | SettingsApplied
    | QuotaSharesSet
    | EndpointReinstated
    | EndpointEjected
    | KeyRanked
    | ProxyNote
)

STORED_KINDS: dict[type[Event], str] = {
    EndpointListReceived: "list",
    GossipReceived: "peer",
    RequestReceived: "rpc",
    RequestRouted: "pick",
    AttemptReported: "end",
    ResponseStarted: "begun",
    ClientDisconnected: "left",
    WaitEnded: "woken",
    Ticked: "tick",
    ProcessCountSet: "parts",
    LearnedStateRestored: "learned",
    SettingsApplied: "apply",
    QuotaSharesSet: "share",
    EndpointReinstated: "lift",
    EndpointEjected: "doubt",
    KeyRanked: "rank",
    ProxyNote: "note",
}
EVENT_TYPES: dict[str, type[Event]] = {kind: event_type for event_type, kind in STORED_KINDS.items()}


def encode_event(event: Event) -> list[Any]:
    """Returns the form in which a record stores an event."""
    return [STORED_KINDS[type(event)], *event]


def decode_event(stored: list[Any]) -> Event:
    """Decodes a stored event.

    Raises:
        ValueError: The kind is unknown, or the number of fields is not that of the kind.
        TypeError: The stored event is not a list.
    """
    kind, *fields = stored
    event_type = EVENT_TYPES.get(kind)
    if event_type is None:
        raise ValueError(f"unknown event kind {kind!r}, expected one of {', '.join(EVENT_TYPES)}")
    expected = len(event_type._fields)
    if len(fields) != expected:
        raise ValueError(f"event of kind {kind!r} has {len(fields)} fields, expected {expected}")
    event: Event = event_type(*fields)
    return event
