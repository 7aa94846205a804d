"""The history of a run: events seen by the emulated servers, the clients and the runner.

All events carry times of one monotonic clock (s). The invariant checker reads the history after the run.

Invariants:
    Nothing that a proxy says about itself is recorded here, and nothing is judged while recording.
"""

from dataclasses import dataclass, field
from typing import NamedTuple


class UpstreamSend(NamedTuple):
    """A command that reached an emulated cache node: when its bytes left the proxy (s), its timeout (ms)."""

    at: float
    proxy: str
    cache: str
    id: str
    method: str
    mark: str  # the idempotency key; empty: none
    patience: float  # ms
    key: str = ""


class ServerExecution(NamedTuple):
    """A command that an emulated cache node executed."""

    at: float
    cache: str
    id: str
    method: str
    mark: str  # the idempotency key; empty: none


class ListEvent(NamedTuple):
    """An event of a watch, written to the proxy's connection: endpoint names and states."""

    at: float
    proxy: str
    entries: tuple[tuple[str, str], ...]
    whole: bool  # a complete list, not only the changes


class ClientAttempt(NamedTuple):
    """A command that a client wrote to an established connection."""

    at: float
    proxy: str
    id: str
    method: str
    hard: float  # deadline, s after `at`


class ClientAnswer(NamedTuple):
    """The end of a client's attempt: an answer, a closed connection, or none in time."""

    at: float
    proxy: str
    id: str  # empty: no attempt was waiting on that connection
    kind: str  # completed, exhausted, errored, another's, closed, crossed, none


class ProcessEvent(NamedTuple):
    """A change in the life of a proxy's process, made or seen by the runner."""

    at: float
    proxy: str
    what: str  # launched, up (its process runs), killed, termed, stopped, woken, exited
    code: int | None = None


class DiscoveryCall(NamedTuple):
    """A watch that a proxy requested of the emulated discovery service."""

    at: float
    proxy: str
    what: str  # asked, begun, refused


class PublishedVersion(NamedTuple):
    """A version of the settings that was published, and the zones that it names."""

    at: float
    version: int
    zones: str


class CanaryEvent(NamedTuple):
    """A settings document handed to proxies as a canary, for `span` seconds."""

    at: float
    proxies: frozenset[str]
    span: float
    bad: bool  # whether it does harm


class UpstreamConnectionEvent(NamedTuple):
    """A connection of a proxy to an emulated cache node that was opened or closed."""

    at: float
    proxy: str
    cache: str
    begun: bool  # False: closed


class ClientRequest(NamedTuple):
    """A request that a client intended, from the intended moment over all its attempts."""

    at: float
    method: str
    done: float | None  # when it completed; None: never
    tenant: str = "shop"
    last: str = ""  # the id of its last attempt; empty: there was none


@dataclass
class History:
    """All events of one run, in the order in which they were recorded.

    Attributes:
        began: Start of the run, s on the monotonic clock.
        offset: Time of day at the start (s since the epoch), to place lines of logs.
        ended: End of the run, s on the monotonic clock.
        sends: Commands sent to the emulated cache nodes.
        outs: By the index of a send: when it was no longer in flight.
        runs: Commands executed by the emulated cache nodes.
        told: Events of the endpoint list written to proxies.
        tries: Attempts of clients.
        answers: Ends of attempts of clients.
        process_events: Starts, signals and exits of proxies' processes.
        asked: Watches requested of the emulated discovery service.
        published: Published versions of the settings.
        attempts: Canaries.
        documents: Settings documents handed to a proxy: when, to which proxy, which version.
        zones: Zone of each cache node.
        hands: Upstream connections opened and closed.
        pongs: Proxies that began, or began again, to answer the clients' pings: when, which proxy.
        intents: Requests that clients intended.
        fetches: Fetches from the emulated origin: requested, done.
        falls: Cache nodes that collapsed under load: when, which.
        cold: By cache node: when it started with an empty cache.
        lags: Lateness of the testbed itself: when seen, by how much.
        datagrams: Datagrams between proxies: when, bytes.
        spent: Processor time of all proxies in a second: when, cores.
        waits: Longest time for which a proxy waited for a core in a second: when, s.
        faults: Injected faults: from, to, what.
    """

    began: float = 0.0
    offset: float = 0.0
    ended: float = 0.0
    sends: list[UpstreamSend] = field(default_factory=list)
    outs: dict[int, float] = field(default_factory=dict)
    runs: list[ServerExecution] = field(default_factory=list)
    told: list[ListEvent] = field(default_factory=list)
    tries: list[ClientAttempt] = field(default_factory=list)
    answers: list[ClientAnswer] = field(default_factory=list)
    process_events: list[ProcessEvent] = field(default_factory=list)
    asked: list[DiscoveryCall] = field(default_factory=list)
    published: list[PublishedVersion] = field(default_factory=list)
    attempts: list[CanaryEvent] = field(default_factory=list)
    documents: list[tuple[float, str, int]] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)
    hands: list[UpstreamConnectionEvent] = field(default_factory=list)
    pongs: list[tuple[float, str]] = field(default_factory=list)
    intents: list[ClientRequest] = field(default_factory=list)
    fetches: list[tuple[float, float]] = field(default_factory=list)
    falls: list[tuple[float, str]] = field(default_factory=list)
    cold: dict[str, list[float]] = field(default_factory=dict)
    lags: list[tuple[float, float]] = field(default_factory=list)
    datagrams: list[tuple[float, int]] = field(default_factory=list)
    spent: list[tuple[float, float]] = field(default_factory=list)
    waits: list[tuple[float, float]] = field(default_factory=list)
    faults: list[tuple[float, float, str]] = field(default_factory=list)
