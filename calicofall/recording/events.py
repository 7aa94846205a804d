"""The events of a record, as types.

In a record, an event is a JSON list: the word of its kind, then the fields of its type in their order. The
words and the order of the fields are part of the format; the names of types and fields are free.

`at_ms` is the moment at which the router was called, on its own clock; 0 where the call has none.
"""

from typing import Any, NamedTuple


class EndpointListReceived(NamedTuple):
    """The discovery service told an endpoint list, a change of it, or that it failed."""

    at_ms: float
    kind: str
    version: int | None
    entries: list[Any]


class GossipReceived(NamedTuple):
    """Another proxy's message came."""

    at_ms: float
    sender: int
    message_hex: str


class RequestReceived(NamedTuple):
    """A request was taken in hand; comes before its first `RequestRouted`."""

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
    """What the router decided on a request."""

    endpoint: str | None
    answer: str | None
    retry_after_ms: float
    timeout_ms: float

    def outcome(self) -> str:
        """In a word: sent, waiting, or the answer."""
        return "send" if self.endpoint is not None else self.answer or "wait"


class RequestRouted(NamedTuple):
    """The router was asked where to send a request; `slot_times` are the rate slots that it looked at."""

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
        """Its answer."""
        return RecordedDecision(self.endpoint, self.answer, self.retry_after_ms, self.timeout_ms)


class AttemptReported(NamedTuple):
    """The router was told what became of an attempt."""

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
        """What the router decided next."""
        return RecordedDecision(self.endpoint, self.answer, self.retry_after_ms, self.timeout_ms)


class ResponseStarted(NamedTuple):
    """The answer of an attempt began to be passed on."""

    at_ms: float
    request_id: str
    attempt: int


class ClientDisconnected(NamedTuple):
    """A client left; the attempts that were called off for it."""

    at_ms: float
    request_id: str
    cancelled_attempts: list[int]


class WaitEnded(NamedTuple):
    """The router was asked for a request whose wait had ended, and named this one."""

    at_ms: float
    request_id: str


class Ticked(NamedTuple):
    """The router's tick after a batch of calls.

    `wait_ms` is None where it waits for nothing; `waits_drained` tells that all waits that had ended by then
    were taken before.
    """

    at_ms: float
    wait_ms: float | None
    waits_drained: bool
    log_lines: list[str]
    actions: list[list[Any]]


class ProcessCountSet(NamedTuple):
    """The number of processes of this proxy was told."""

    at_ms: float
    process_count: int


class LearnedStateRestored(NamedTuple):
    """What a former incarnation had learned was put in."""

    at_ms: float
    learned: dict[str, dict[str, float]]


class SettingsApplied(NamedTuple):
    """Other settings were applied while it ran."""

    at_ms: float
    settings: dict[str, Any]


class QuotaSharesSet(NamedTuple):
    """This proxy's shares of the tenants' quotas, and of what an endpoint bears, were told."""

    at_ms: float
    quotas: dict[str, float]
    endpoint_rate: float | None


class EndpointReinstated(NamedTuple):
    """The proxies agreed that an endpoint is no outlier."""

    at_ms: float
    endpoint: str


class EndpointEjected(NamedTuple):
    """The proxies agreed that an endpoint is an outlier."""

    at_ms: float
    endpoint: str


class KeyRanked(NamedTuple):
    """The endpoints of a key, in their order; recorded where keys have pseudonyms, which hash elsewhere."""

    at_ms: float
    key: int | None
    constraint: list[list[str] | None]
    endpoints: list[str]


class ProxyNote(NamedTuple):
    """Something of the proxy's own, recorded at the level `proxy`; it is not replayed."""

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
    """The event as a record holds it."""
    return [STORED_KINDS[type(event)], *event]


def decode_event(stored: list[Any]) -> Event:
    """The event that a record holds.

    Raises:
        ValueError: Its kind is unknown, or it has other fields than events of its kind.
        TypeError: It is no list.
    """
    kind, *fields = stored
    event_type = EVENT_TYPES.get(kind)
    if event_type is None:
        raise ValueError(f"an event of the kind {kind!r}")
    expected = len(event_type._fields)
    if len(fields) != expected:
        raise ValueError(f"an event of the kind {kind!r} with {len(fields)} fields, expected {expected}")
    event: Event = event_type(*fields)
    return event
