"""The history of a run: events seen by the emulated servers, the clients and the runner.

All events carry times of one monotonic clock (s). The checker reads the history after the run.

Invariants:
    Nothing that a proxy says about itself is recorded here, and nothing is judged while recording.
"""

from dataclasses import dataclass, field
from typing import NamedTuple


class UpstreamSend(NamedTuple):
    """A command that reached an emulated cache node; `at` is when its bytes left the proxy."""

    at: float
    proxy: str
    cache: str
    id: str
    method: str
    idempotency_key: str  # empty: none
    timeout_ms: float
    key: str = ""


class ServerExecution(NamedTuple):
    """A command that an emulated cache node executed."""

    at: float
    cache: str
    id: str
    method: str
    idempotency_key: str  # empty: none


class ListEvent(NamedTuple):
    """An event of a watch, written to the proxy's connection: endpoint names and states."""

    at: float
    proxy: str
    entries: tuple[tuple[str, str], ...]
    complete: bool  # a complete list, not only the changes


class ClientAttempt(NamedTuple):
    """A command that a client wrote to an established connection."""

    at: float
    proxy: str
    id: str
    method: str
    deadline_s: float  # s after `at`
    batch: int = 0  # number of the batch in which it was sent behind others; 0: it was sent alone


class ClientAnswer(NamedTuple):
    """The end of a client's attempt: an answer, a closed connection, or none in time.

    Kinds without an answer of the attempt's own: `another's` (the value of another attempt), `crossed` (the
    connection closed before any byte of the answer), `closed` (it closed after one), `none` (no answer in
    time), `unowed` (an answer, but no attempt was waiting).
    """

    at: float
    proxy: str
    id: str  # empty: no attempt was waiting on that connection
    kind: str  # completed, exhausted, errored, another's, crossed, closed, none, unowed


class ProcessEvent(NamedTuple):
    """A start, signal or exit of a proxy's process, made or seen by the runner."""

    at: float
    proxy: str
    what: str  # launched, killed, termed (SIGTERM), stopped, woken, exited
    code: int | None = None  # exit code, where it exited


class DiscoveryCall(NamedTuple):
    """A watch that a proxy requested of the emulated discovery service."""

    at: float
    proxy: str
    what: str  # asked, begun, refused


class PublishedVersion(NamedTuple):
    """A version of the settings that was published."""

    at: float
    version: int
    zones: str  # a letter each, to which non-retriable requests are bound


class CanaryEvent(NamedTuple):
    """A settings document handed to proxies as a canary."""

    at: float
    proxies: frozenset[str]
    duration_s: float  # for which it is tried
    harmful: bool  # whether it fails non-retriable requests


class UpstreamConnectionEvent(NamedTuple):
    """A connection of a proxy to an emulated cache node that was opened or closed."""

    at: float
    proxy: str
    cache: str
    opened: bool  # False: closed


class ClientRequest(NamedTuple):
    """A request that a client intended, from the intended moment over all its attempts."""

    at: float
    method: str
    completed_at: float | None  # None: never
    tenant: str = "shop"
    last_attempt_id: str = ""  # empty: there was no attempt


class HostileEnd(NamedTuple):
    """What a client that is owed an error or a close got."""

    at: float  # when it connected
    proxy: str
    kind: str
    ended_at: float | None  # None: neither


class PausedReply(NamedTuple):
    """A reply that a cache node writes in pieces, with pauses."""

    begins_at: float
    ends_at: float


@dataclass
class History:
    """All events of one run, in the order in which they were recorded.

    Attributes:
        started_at: Start of the run, s on the monotonic clock.
        started_at_epoch_s: Time of day at the start (s since the epoch), to place lines of logs.
        ended_at: End of the run, s on the monotonic clock.
        upstream_sends: Commands sent to the emulated cache nodes.
        send_ended_at: By the index of a send: when it was no longer in flight.
        executions: Commands executed by the emulated cache nodes.
        list_events: Events of the endpoint list written to proxies.
        client_attempts: Attempts of clients.
        client_answers: Ends of attempts of clients.
        process_events: Starts, signals and exits of proxies' processes.
        discovery_calls: Watches requested of the emulated discovery service.
        published_versions: Published versions of the settings.
        canaries: Canaries.
        document_deliveries: Settings documents handed to a proxy: when, to which proxy, which version.
        cache_zones: Zone of each cache node.
        connection_events: Upstream connections opened and closed.
        proxy_ready_events: Proxies that began, also again, to answer the clients' pings: when, which proxy.
        client_requests: Requests that clients intended.
        origin_fetches: Fetches from the emulated origin: requested, done.
        cache_collapses: Cache nodes that collapsed under load: when, which.
        cold_starts: By cache node: when it started with an empty cache.
        testbed_lags: Lateness of the testbed itself: when seen, by how much.
        datagrams: Datagrams between proxies: when, bytes.
        processor_use: Processor time of all proxies in a second: when, cores.
        core_waits: Longest time for which a proxy waited for a core in a second: when, s.
        injected_faults: Injected faults: from, to, what.
        dropped_commands: Number of commands that cache nodes dropped without a reply.
        whole_replies: Ids of attempts whose reply a cache node wrote whole.
        broken_replies: Ids of attempts whose reply a cache node broke off in the middle.
        reset_writes: Number of writes whose connection was reset in place of the reply.
        second_copies: Number of replies that cache nodes sent a second time.
        paused_replies: By id of an attempt: the replies that cache nodes wrote, or began to write, in pieces.
        unjudged_ids: Ids of attempts of hostile clients, whose answers are not judged.
        departures: By id of an attempt of a client that left at once: when it had left.
        hostile_ends: What hostile clients got.
        memory_peaks: By proxy: the largest resident memory of its processes (bytes), and when it was seen.
    """

    started_at: float = 0.0
    started_at_epoch_s: float = 0.0
    ended_at: float = 0.0
    upstream_sends: list[UpstreamSend] = field(default_factory=list)
    send_ended_at: dict[int, float] = field(default_factory=dict)
    executions: list[ServerExecution] = field(default_factory=list)
    list_events: list[ListEvent] = field(default_factory=list)
    client_attempts: list[ClientAttempt] = field(default_factory=list)
    client_answers: list[ClientAnswer] = field(default_factory=list)
    process_events: list[ProcessEvent] = field(default_factory=list)
    discovery_calls: list[DiscoveryCall] = field(default_factory=list)
    published_versions: list[PublishedVersion] = field(default_factory=list)
    canaries: list[CanaryEvent] = field(default_factory=list)
    document_deliveries: list[tuple[float, str, int]] = field(default_factory=list)
    cache_zones: dict[str, str] = field(default_factory=dict)
    connection_events: list[UpstreamConnectionEvent] = field(default_factory=list)
    proxy_ready_events: list[tuple[float, str]] = field(default_factory=list)
    client_requests: list[ClientRequest] = field(default_factory=list)
    origin_fetches: list[tuple[float, float]] = field(default_factory=list)
    cache_collapses: list[tuple[float, str]] = field(default_factory=list)
    cold_starts: dict[str, list[float]] = field(default_factory=dict)
    testbed_lags: list[tuple[float, float]] = field(default_factory=list)
    datagrams: list[tuple[float, int]] = field(default_factory=list)
    processor_use: list[tuple[float, float]] = field(default_factory=list)
    core_waits: list[tuple[float, float]] = field(default_factory=list)
    injected_faults: list[tuple[float, float, str]] = field(default_factory=list)
    dropped_commands: int = 0
    whole_replies: set[str] = field(default_factory=set)
    broken_replies: set[str] = field(default_factory=set)
    reset_writes: int = 0
    second_copies: int = 0
    paused_replies: dict[str, list[PausedReply]] = field(default_factory=dict)
    unjudged_ids: set[str] = field(default_factory=set)
    departures: dict[str, float] = field(default_factory=dict)
    hostile_ends: list[HostileEnd] = field(default_factory=list)
    memory_peaks: dict[str, tuple[int, float]] = field(default_factory=dict)
