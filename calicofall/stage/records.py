"""What the stand-ins and clients saw, by one monotonic clock.

Owns the lists of what was seen. Must never hold a word of a proxy's own about itself, or judge.
"""

from dataclasses import dataclass, field
from typing import NamedTuple


class Send(NamedTuple):
    """A command at a cache: when its bytes left the proxy (s), and how long it may be waited for (ms)."""

    at: float
    proxy: str
    cache: str
    id: str
    method: str
    mark: str
    patience: float
    key: str = ""


class Run(NamedTuple):
    at: float
    cache: str
    id: str
    method: str
    mark: str


class Told(NamedTuple):
    """A line of a watch, handed to the proxy's connection: names and states."""

    at: float
    proxy: str
    entries: tuple[tuple[str, str], ...]
    whole: bool


class Try(NamedTuple):
    """A client's command, written to a connection that was up."""

    at: float
    proxy: str
    id: str
    method: str
    hard: float  # s


class Answered(NamedTuple):
    at: float
    proxy: str
    id: str  # empty: nothing was owed there
    kind: str  # completed, exhausted, errored, another's, closed, crossed, none


class Life(NamedTuple):
    at: float
    proxy: str
    what: str  # launched, up (its process runs), killed, termed, stopped, woken, exited
    code: int | None = None


class Asked(NamedTuple):
    at: float
    proxy: str
    what: str  # asked, begun, refused


class Published(NamedTuple):
    at: float
    version: int
    zones: str


class Attempt(NamedTuple):
    """A document handed to proxies to be tried."""

    at: float
    proxies: frozenset[str]
    span: float
    bad: bool


class Hand(NamedTuple):
    """A connection to a cache begun, or ended."""

    at: float
    proxy: str
    cache: str
    begun: bool


class Intent(NamedTuple):
    """What a client wanted: from the intended moment, over all its tries."""

    at: float
    method: str
    done: float | None  # when it was completed
    tenant: str = "shop"
    last: str = ""  # the id of its last try; empty: there was none


@dataclass
class Records:
    began: float = 0.0
    offset: float = 0.0  # the time of day at the beginning, for logs
    ended: float = 0.0
    sends: list[Send] = field(default_factory=list)
    outs: dict[int, float] = field(default_factory=dict)  # by a send's place: when it was no longer out
    runs: list[Run] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    tries: list[Try] = field(default_factory=list)
    answers: list[Answered] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    published: list[Published] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    documents: list[tuple[float, str, int]] = field(default_factory=list)  # handed to a proxy: when, which
    zones: dict[str, str] = field(default_factory=dict)  # of caches
    hands: list[Hand] = field(default_factory=list)
    pongs: list[tuple[float, str]] = field(default_factory=list)
    intents: list[Intent] = field(default_factory=list)
    fetches: list[tuple[float, float]] = field(default_factory=list)
    falls: list[tuple[float, str]] = field(default_factory=list)
    cold: dict[str, list[float]] = field(default_factory=dict)  # by cache, when it started from nothing
    lags: list[tuple[float, float]] = field(default_factory=list)  # of the stage: when seen, how late
    datagrams: list[tuple[float, int]] = field(default_factory=list)  # between proxies: when, bytes
    spent: list[tuple[float, float]] = field(default_factory=list)  # of a core, by all proxies in a second
    waits: list[tuple[float, float]] = field(default_factory=list)  # s that one waited for a core
    faults: list[tuple[float, float, str]] = field(default_factory=list)
