"""Scenarios: what the testbed runs, read from TOML and validated.

The field names of the models are the keys of scenario files.

Invariants:
    Nothing is started here.
    An invalid scenario is rejected with one line that names the file, the field and what was expected.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

LARGE_VALUE_BYTES, SMALL_VALUE_BYTES = 20_000, 64
LONG_REPLY_BYTES = 1 << 16  # a longer reply may break off
ZONE_NAMES = "abcdefgh"
CLOCK_DRIFT, MAX_PAUSE_S = 0.01, 0.5  # share of the elapsed time, and s; stated in settings documents
SCENARIO_FOLDER = Path(__file__).parent / "scenarios"
Share = Annotated[float, Field(ge=0.0, le=1.0)]
PositiveNumber = Annotated[float, Field(gt=0.0)]
NonNegativeNumber = Annotated[float, Field(ge=0.0)]
PositiveInteger = Annotated[int, Field(ge=1)]


class InvalidScenarioError(Exception):
    """A scenario is invalid; says in one line where and why."""


class ScenarioTable(BaseModel):
    """A table of a scenario file; keys that are not known are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Fleet(ScenarioTable):
    """The proxies, the caches and what the proxies are configured to do."""

    proxies: Annotated[int, Field(ge=1, le=1000)]
    caches: Annotated[int, Field(ge=1, le=200)] = 10
    zones: Annotated[int, Field(ge=1, le=8)] = 2
    over: NonNegativeNumber = 0.0  # s over which the launches of the proxies are spread
    speak: bool = False  # proxies exchange messages, also on whose turn it is to call the discovery service
    told: bool = True  # the proxies' files state the capacity of the discovery service and the caches
    snapshot: bool = False  # proxies keep snapshots
    versions: bool = False  # settings come as documents on which the proxies agree
    # lend_s: length of a lease; proxies lend each other parts of limits
    lend_s: Annotated[float, Field(ge=1.0)] | None = None
    witnesses: bool = False  # proxies exchange evidence on caches
    accounts: bool = False  # proxies log the outcome of each request and its reason
    record: bool = False  # proxies record their inputs and decisions
    lease_s: Annotated[float, Field(ge=0.5)] = 2.0  # of settings documents
    memory_mb: Annotated[int, Field(ge=32)] = 64  # limit of each proxy
    sockets: Annotated[int, Field(ge=64)] = 256  # limit of each proxy


class ServiceCapacity(ScenarioTable):
    """The capacity of the emulated discovery service."""

    room: PositiveNumber = 100.0  # watches that can begin, a second
    open: PositiveInteger = 10_000  # watches at a time
    retry_after_s: Annotated[int, Field(ge=0)] | None = None  # of Retry-After with a refusal; None: no header
    queue: Annotated[int, Field(ge=0)] = 0  # watches that wait beyond the rate, before others are refused
    # agents: an agent beside each proxy answers at once, but sends nothing while the service is down
    agents: bool = False


class CacheCapacity(ScenarioTable):
    """The capacity and the load behaviour of each emulated cache."""

    slots: PositiveInteger = 8  # commands executed at a time
    queue: Annotated[int, Field(ge=0)] = 64  # commands that wait
    connections: PositiveInteger = 256  # open at a time
    handshakes: PositiveNumber | None = None  # a second; stated in the proxies' files where it is given
    in_flight: PositiveNumber | None = None  # requests of the whole fleet at a time; stated likewise
    handshake_ms: NonNegativeNumber = 2.0
    hit_ms: PositiveNumber = 4.0
    keys: PositiveInteger = 5000  # that a cache holds
    reports: bool = False  # caches report their load with each response
    cold: bool = True  # all caches start empty
    cold_share: Annotated[float, Field(gt=0.0, le=1.0)] = 0.2  # of the capacity, at the start of the warm-up
    cold_s: PositiveNumber = 10.0  # of the warm-up
    fall_multiple: PositiveNumber = 3.0  # of the capacity, from which on a cache collapses
    fall_s: PositiveNumber = 2.0  # span in which that load is measured, and for which the cache is down
    copies: Share = 0.0  # of the replies, those sent a second time if nothing has arrived since
    copy_ms: PositiveNumber = 4.0  # after the first one
    drops: Share = 0.0  # of the commands with less time left than `drops_below_ms`, those that get no reply
    drops_below_ms: NonNegativeNumber = 0.0
    breaks: Share = 0.0  # of the replies over 64 KiB, those that a reset breaks off in the middle
    resets: Share = 0.0  # of the deduplicated writes, those whose connection is reset in place of the reply
    pauses: Share = 0.0  # of the replies, those written in pieces with pauses between them
    pause_ms: PositiveNumber = 600.0  # all pauses of such a reply together, at most
    slow_readers: Annotated[int, Field(ge=0)] = 0  # caches, the first ones, that read at `read_per_s`
    read_per_s: PositiveNumber = 1_000_000.0  # bytes


class OriginCapacity(ScenarioTable):
    """The capacity of the emulated origin."""

    fetches: PositiveInteger = 40  # at a time
    fetch_ms: PositiveNumber = 30.0
    # per_s: fetches of the whole fleet; stated in the proxies' files where it is given
    per_s: PositiveNumber | None = None


class Traffic(ScenarioTable):
    """The requests of the clients."""

    per_s: PositiveNumber = 100.0  # requests
    begins: NonNegativeNumber = 0.0  # s after the start of the run
    keys: PositiveInteger = 500
    skew: NonNegativeNumber = 0.8  # exponent of the Zipf distribution of the keys
    writes: Share = 0.1  # of the requests: deduplicated writes
    orders: Share = 0.05  # of the requests: non-retriable writes
    soft_ms: PositiveNumber = 500.0  # latency objective
    hard_ms: PositiveNumber = 1500.0  # deadline
    hurried: Share = 0.0  # of the requests, those with a deadline of `hurried_ms`
    hurried_ms: PositiveNumber = 30.0
    repeats: Annotated[int, Field(ge=0)] = 3  # retries of a client that was refused
    large: Share = 0.0  # of the keys, those with values of `large_bytes`
    large_bytes: PositiveInteger = LARGE_VALUE_BYTES
    write_bytes: PositiveInteger = 3  # of the values that are written
    window_ms: PositiveNumber = 5000.0  # in which caches drop the repeat of a deduplicated write
    batches_per_s: NonNegativeNumber = 0.0  # of reads that a client sends at once on a connection of its own
    batch: PositiveInteger = 80  # reads in a batch: the first ones of large values, four fifths of small ones
    batch_read_per_s: PositiveNumber = 10_000_000.0  # bytes at which such a client reads
    hostile_per_s: NonNegativeNumber = 0.0  # connections of clients that misuse a proxy
    crowd: Annotated[int, Field(ge=0)] = 0  # such connections at once, of one kind, at each of `crowds_at`
    crowds_at: list[NonNegativeNumber] = []  # s after the start
    crowd_kind: str | None = None  # None: drawn for each crowd
    keeps: Share = 0.0  # of the requests, those on open connections to a proxy that the balancer has left
    hot: Share = 0.0  # of the requests, those for one key, from `hot_at` on
    hot_at: NonNegativeNumber = 0.0  # s
    notices_s: NonNegativeNumber = 1.0  # after which the load balancer detects a dead proxy
    bulk: Share = 0.0  # of the requests, those of a second tenant
    quota: PositiveNumber | None = None  # requests a second of the first tenant; None: twice the traffic
    bulk_quota: PositiveNumber = 1.0  # requests a second of the second tenant
    record: str | None = None  # a file written by `calicofall record traffic`, whose requests replace these
    through: str | None = None  # the proxies that the first tenant's clients use, as an event's `who`


Group = Annotated[
    str,
    Field(
        pattern=r"^(all|half|third|caches|list|proxies|zone:[a-h]|[pc]\d+(-[pc]?\d+)?)"
        r"(,(all|half|third|caches|list|proxies|zone:[a-h]|[pc]\d+(-[pc]?\d+)?))*$"
    ),
]


class TimedEvent(ScenarioTable):
    """An event that starts at a time, and may end at a later one."""

    at: NonNegativeNumber  # s
    until: NonNegativeNumber | None = None  # s; None: it does not end by itself

    @model_validator(mode="after")
    def check_until(self) -> "TimedEvent":
        """Check that the event ends after its start.

        Raises:
            ValueError: It does not.
        """
        if self.until is not None and self.until <= self.at:
            raise ValueError("until has to be later than at")
        return self


class ProcessEvent(TimedEvent):
    """A signal to the processes of proxies."""

    # restart: kill, then start again; reload: SIGHUP
    do: Literal["kill", "term", "stop", "restart", "reload"]
    who: Group
    over: NonNegativeNumber = 0.0  # s over which the processes are signalled one after the other
    forget: bool = False  # start again without snapshots


class LinkEvent(TimedEvent):
    """A fault of the links between two groups."""

    do: Literal["cut", "slow", "delay", "reset", "lose"]
    who: Group = "all"
    to: Group = "caches"
    way: Literal["both", "to", "back"] = "both"
    amount: NonNegativeNumber = 0.0  # delay: s; slow: bytes a second; lose: share of the datagrams


class ServiceEvent(TimedEvent):
    """A fault of the discovery service."""

    do: Literal[
        "service_down", "service_silent", "service_slow", "service_late", "service_restart", "service_room"
    ]
    # amount: service_slow, service_late: s; service_restart: first list version; service_room: room
    amount: NonNegativeNumber = 0.0
    older: Annotated[int, Field(ge=0)] = 0  # latest documents that a restarted service has lost


class CacheEvent(TimedEvent):
    """A change of caches, or a burst of traffic."""

    # sick: `amount` times slower; sick_large: so for large values only; burst: `amount` times the traffic
    # replace: each dies, and a new one, of another name, comes up at its address; told at once
    do: Literal["drain", "remove", "add", "cold", "sick", "sick_large", "burst", "replace"]
    who: Group = "all"
    amount: NonNegativeNumber = 0.0


class VersionEvent(TimedEvent):
    """A settings document that is published or tried as a canary."""

    do: Literal["publish", "try"]  # a document that binds the non-retriable method to `zones`
    zones: Annotated[str, Field(pattern=r"^[a-h]+$")]
    who: Group = "p0"  # the proxies that try it
    span: PositiveNumber = 10.0  # s that it is tried
    bad: bool = False  # its hard deadline for the method is too short for any cache


class TrafficEvent(TimedEvent):
    """A move of the first tenant's clients to other proxies."""

    do: Literal["move"]  # the first tenant's clients use only the proxies `who` from `at` on
    who: Group


Event = Annotated[
    ProcessEvent | LinkEvent | ServiceEvent | CacheEvent | VersionEvent | TrafficEvent,
    Field(discriminator="do"),
]


class ExpectedBounds(ScenarioTable):
    """Bounds that have to hold in addition to the four rules. None: not checked."""

    # asks_per_room: watches requested in any second, divided by the room of the service
    asks_per_room: PositiveNumber | None = None
    # list_factor: s from the last launch until all proxies have a list, over proxies / room; 1 s is added
    list_factor: PositiveNumber | None = None
    handshakes: PositiveNumber | None = None  # at any cache in any second
    connections: PositiveInteger | None = None  # open at any cache at one time
    fetches: PositiveInteger | None = None  # from the origin at one time
    fetches_per_s: PositiveNumber | None = None  # from the origin in any second
    in_flight: PositiveNumber | None = None  # requests in flight at any cache at one time
    list_before_door: bool = True  # no proxy answers PING before it received a list
    told_all_s: PositiveNumber | None = None  # from the first proxy notified of a drain to the last
    # settled_s: after a majority received a version, until no proxy does what it forbids
    settled_s: PositiveNumber | None = None
    # avoided_s: after a cache turns sick, until it is sent 3/4 at most; healthy ones at least 1/2
    avoided_s: PositiveNumber | None = None
    # halted_s: after a harmful version is tried, until it fails no more requests
    halted_s: PositiveNumber | None = None
    within_memory: bool = False  # no process's resident memory exceeds its limit
    hostile_s: PositiveNumber | None = None  # until a client that misuses a proxy gets an error or a close
    served: Share | None = None  # of the requests of the last third, those completed in time
    served_first: Share | None = None  # likewise, of the first tenant's requests
    serves_all_s: PositiveNumber | None = None  # after the start, until all proxies answer PING


class Scenario(ScenarioTable):
    """A whole scenario; `event` is in the order of the file."""

    name: Annotated[str, Field(pattern=r"^[a-z0-9-]+$")]
    about: str = ""
    seconds: Annotated[float, Field(gt=0.0, le=3600.0)]
    seed: int = 1
    fleet: Fleet
    service: ServiceCapacity = ServiceCapacity()
    cache: CacheCapacity = CacheCapacity()
    origin: OriginCapacity = OriginCapacity()
    traffic: Traffic = Traffic()
    event: list[Event] = []
    must: ExpectedBounds = ExpectedBounds()

    def has_large_value(self, key: str) -> bool:
        """Return whether a key has a large value."""
        return int(key, 16) <= int(self.traffic.large * self.traffic.keys)

    def hot_key_active(self, at: float) -> bool:
        """Return whether the hot key is requested at this time (s after the start of the run)."""
        return at >= self.traffic.hot_at

    @model_validator(mode="after")
    def check_consistency(self) -> "Scenario":
        """Check fields that depend on each other.

        Raises:
            ValueError: An event starts after the end, or a field contradicts another.
        """
        for event in self.event:
            if event.at >= self.seconds:
                raise ValueError(
                    f"an event at {event.at:g} s starts after the end of the scenario, {self.seconds:g} s"
                )
        if (self.fleet.lend_s is not None or self.fleet.witnesses) and not self.fleet.speak:
            raise ValueError("fleet.speak has to be true where fleet.lend_s or fleet.witnesses is set")
        if self.fleet.versions and not self.fleet.speak:
            raise ValueError("fleet.speak has to be true where fleet.versions is true")
        if self.cache.connections < self.fleet.proxies and self.fleet.told:
            raise ValueError(
                f"cache.connections has to be at least the number of proxies, {self.fleet.proxies}"
            )
        return self


def parse_scenario(data: dict[str, Any], file: str) -> Scenario:
    """Return the scenario in the data of a file.

    Raises:
        InvalidScenarioError: The data is invalid; `file` is named in the message.
    """
    try:
        return Scenario.model_validate(data)
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "the scenario"
        raise InvalidScenarioError(
            f"{file}: {field}: {first['msg']} (found {str(first['input'])[:60]!r})"
        ) from None


def load_scenario(path: str) -> Scenario:
    """Return the scenario in a file, or a shipped one by its name.

    Raises:
        InvalidScenarioError: The file cannot be read or is invalid.
    """
    file = Path(path)
    if not file.exists() and (SCENARIO_FOLDER / f"{path}.toml").exists():
        file = SCENARIO_FOLDER / f"{path}.toml"
    try:
        return parse_scenario(tomllib.loads(file.read_text()), str(path))
    except OSError as error:
        raise InvalidScenarioError(
            f"{path}: {error.strerror}: expected a scenario file or one of {', '.join(shipped_scenarios())}"
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidScenarioError(f"{path}: no TOML: {error}") from None


def shipped_scenarios() -> list[str]:
    """Return the names of the scenarios that ship with the program."""
    return sorted(file.stem for file in SCENARIO_FOLDER.glob("*.toml"))


def expand_group(who: str, proxies: int, caches: int, zones: int) -> frozenset[str]:
    """Return the names of a group: proxies p0, p1, ..., caches c0, c1, ..., the discovery service `list`."""
    expanded: set[str] = set()
    for part in who.split(","):
        if part in ("all", "proxies"):
            expanded.update(f"p{i}" for i in range(proxies))
        elif part in ("half", "third"):
            step = 2 if part == "half" else 3
            expanded.update(f"p{i}" for i in range(0, proxies, step))
        elif part == "caches":
            expanded.update(f"c{i}" for i in range(caches))
        elif part == "list":
            expanded.add("list")
        elif part.startswith("zone:"):
            zone = ZONE_NAMES.index(part[5:])
            expanded.update(f"p{i}" for i in range(proxies) if i % zones == zone)
            expanded.update(f"c{i}" for i in range(caches) if i % zones == zone)
        else:
            first, _, last = part.partition("-")
            kind, begin = first[0], int(first[1:])
            end = int(last.lstrip("pc")) if last else begin
            expanded.update(f"{kind}{i}" for i in range(begin, end + 1))
    return frozenset(expanded)
