"""Drills: what is played, read from TOML and checked.

Owns the form of a drill. Must never start anything, or let a wrong drill through: that is one line naming
file, field and what would be right.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

LARGE_VALUE_BYTES, SMALL_VALUE_BYTES = 20_000, 64  # bytes of a value
ZONE_NAMES = "abcdefgh"
CLOCK_DRIFT, MAX_PAUSE_S = 0.01, 0.5  # of the clocks, and s: what the documents of a drill state
SCENARIO_FOLDER = Path(__file__).parent / "scenarios"
Share = Annotated[float, Field(ge=0.0, le=1.0)]
Over0 = Annotated[float, Field(gt=0.0)]
From0 = Annotated[float, Field(ge=0.0)]
Count = Annotated[int, Field(ge=1)]


class InvalidScenarioError(Exception):
    """What is wrong with a drill, in one line."""


class Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Fleet(Part):
    proxies: Annotated[int, Field(ge=1, le=1000)]
    caches: Annotated[int, Field(ge=1, le=200)] = 10
    zones: Annotated[int, Field(ge=1, le=8)] = 2
    over: From0 = 0.0  # s over which the proxies are launched
    speak: bool = False  # proxies ask each other who stands in line
    told: bool = True  # the operators' file tells the room of the list service and of the caches
    snapshot: bool = False  # proxies keep one
    versions: bool = False  # settings by documents, on which the proxies agree
    lend_s: Annotated[float, Field(ge=1.0)] | None = None  # proxies lend each other parts of limits
    witnesses: bool = False  # proxies tell each other what they saw of caches
    accounts: bool = False  # proxies log what became of each RPC, and why
    record: bool = False  # proxies record what they are told and decide
    lease_s: Annotated[float, Field(ge=0.5)] = 2.0
    memory_mb: Annotated[int, Field(ge=32)] = 64
    sockets: Annotated[int, Field(ge=64)] = 256


class ServiceRoom(Part):
    room: Over0 = 100.0  # watches begun a second
    open: Count = 10_000
    retry_after_s: Annotated[int, Field(ge=0)] | None = None
    queue: Annotated[int, Field(ge=0)] = 0
    agents: bool = False  # an agent beside each proxy: answers at once, silent while the service is down


class CacheRoom(Part):
    slots: Count = 8
    queue: Annotated[int, Field(ge=0)] = 64
    connections: Count = 256
    handshakes: Over0 | None = None  # a second, told to the proxies where given
    in_flight: Over0 | None = None  # RPCs of the whole fleet at a time, likewise
    handshake_ms: From0 = 2.0
    hit_ms: Over0 = 4.0
    keys: Count = 5000
    reports: bool = False  # caches tell their load with each answer
    cold: bool = True  # all caches begin cold
    cold_share: Annotated[float, Field(gt=0.0, le=1.0)] = 0.2
    cold_s: Over0 = 10.0
    fall_multiple: Over0 = 3.0
    fall_s: Over0 = 2.0


class OriginRoom(Part):
    fetches: Count = 40
    fetch_ms: Over0 = 30.0
    per_s: Over0 | None = None  # fetches of the whole fleet, told to the proxies where given


class Traffic(Part):
    per_s: Over0 = 100.0
    begins: From0 = 0.0  # s
    keys: Count = 500
    skew: From0 = 0.8
    writes: Share = 0.1  # deduped
    orders: Share = 0.05  # non-retriable
    soft_ms: Over0 = 500.0
    hard_ms: Over0 = 1500.0
    repeats: Annotated[int, Field(ge=0)] = 3  # of a client that was refused
    large: Share = 0.0  # of the keys with values of 20 kB
    hot: Share = 0.0  # of the RPCs, those of one key, from `hot_at` s on
    hot_at: From0 = 0.0
    notices_s: From0 = 1.0  # after which the front notices a dead proxy
    bulk: Share = 0.0  # of the RPCs, those of a second tenant
    quota: Over0 | None = None  # of the first tenant, a second; else twice the traffic
    bulk_quota: Over0 = 1.0  # of the second
    record: str | None = None  # a file of arrivals, as `calicofall record traffic` writes it, in their place
    through: str | None = None  # the proxies that the first tenant's clients ask, as an event's `who`


Who = Annotated[
    str,
    Field(
        pattern=r"^(all|half|third|caches|list|proxies|zone:[a-h]|[pc]\d+(-[pc]?\d+)?)"
        r"(,(all|half|third|caches|list|proxies|zone:[a-h]|[pc]\d+(-[pc]?\d+)?))*$"
    ),
]


class Timed(Part):
    at: From0  # s
    until: From0 | None = None  # where it ends by itself

    @model_validator(mode="after")
    def later(self) -> "Timed":
        if self.until is not None and self.until <= self.at:
            raise ValueError("until has to come after at")
        return self


class ProcessEvent(Timed):
    do: Literal["kill", "term", "stop", "restart"]  # restart: killed, and started again
    who: Who
    over: From0 = 0.0  # s over which they follow each other
    forget: bool = False  # without what it knew


class LinkEvent(Timed):
    do: Literal["cut", "slow", "delay", "reset", "lose"]
    who: Who = "all"
    to: Who = "caches"
    way: Literal["both", "to", "back"] = "both"
    amount: From0 = 0.0  # s of delay, bytes a second, part lost


class ServiceEvent(Timed):
    do: Literal[
        "service_down", "service_silent", "service_slow", "service_late", "service_restart", "service_room"
    ]
    amount: From0 = 0.0  # s slow or late, the first version after a restart, room
    older: Annotated[int, Field(ge=0)] = 0  # documents that a restarted service has forgotten


class CacheEvent(Timed):
    # sick_large: for large answers alone; burst: traffic times amount
    do: Literal["drain", "remove", "add", "cold", "sick", "sick_large", "burst"]
    who: Who = "all"
    amount: From0 = 0.0


class VersionEvent(Timed):
    do: Literal["publish", "try"]  # a document that binds the non-retriable method to these zones
    zones: Annotated[str, Field(pattern=r"^[a-h]+$")]
    who: Who = "p0"  # by whom it is tried
    span: Over0 = 10.0  # s of a trial
    bad: bool = False  # the method's hard deadline is one that no cache keeps


class TrafficEvent(Timed):
    do: Literal["move"]  # the first tenant's clients ask these proxies from now on
    who: Who


Event = Annotated[
    ProcessEvent | LinkEvent | ServiceEvent | CacheEvent | VersionEvent | TrafficEvent,
    Field(discriminator="do"),
]


class ExpectedBounds(Part):
    """What has to hold, beside the four rules. None: not asked."""

    asks_per_room: Over0 | None = None  # asked of the service in any second, over its room
    list_factor: Over0 | None = None  # last list heard after the last launch, over proxies / room
    handshakes: Over0 | None = None  # at any cache in any second
    connections: Count | None = None  # held at any cache
    fetches: Count | None = None  # asked of the origin at one time
    fetches_per_s: Over0 | None = None  # asked of the origin in any second
    in_flight: Over0 | None = None  # sent to any cache and not answered, at one time
    list_before_door: bool = True  # no proxy says yes before it was told a list
    told_all_s: Over0 | None = None  # from when the first was told that a cache drains until all were
    settled_s: Over0 | None = None  # a version forbids for all so long after a majority was handed it
    avoided_s: Over0 | None = None  # so long after a sick cache is sent 3/4 at most, healthy ones half
    halted_s: Over0 | None = None  # a bad version that is tried fails no more so long after it was handed
    served: Share | None = None  # of the RPCs of the last third, completed in time
    served_first: Share | None = None  # of the first tenant's, likewise
    serves_all_s: Over0 | None = None  # by when all proxies say yes


class Scenario(Part):
    name: Annotated[str, Field(pattern=r"^[a-z0-9-]+$")]
    about: str = ""
    seconds: Annotated[float, Field(gt=0.0, le=3600.0)]
    seed: int = 1
    fleet: Fleet
    service: ServiceRoom = ServiceRoom()
    cache: CacheRoom = CacheRoom()
    origin: OriginRoom = OriginRoom()
    traffic: Traffic = Traffic()
    event: list[Event] = []
    must: ExpectedBounds = ExpectedBounds()

    def has_large_value(self, key: str) -> bool:
        """Whether a key has a large value."""
        return int(key, 16) <= int(self.traffic.large * self.traffic.keys)

    def hot_key_active(self, at: float) -> bool:
        return at >= self.traffic.hot_at

    @model_validator(mode="after")
    def fits(self) -> "Scenario":
        for event in self.event:
            if event.at >= self.seconds:
                raise ValueError(f"an event at {event.at:g} s comes after the end, {self.seconds:g} s")
        if (self.fleet.lend_s is not None or self.fleet.witnesses) and not self.fleet.speak:
            raise ValueError("fleet.speak has to be true where fleet.lend_s or fleet.witnesses is told")
        if self.fleet.versions and not self.fleet.speak:
            raise ValueError("fleet.speak has to be true where fleet.versions is")
        if self.cache.connections < self.fleet.proxies and self.fleet.told:
            raise ValueError(f"cache.connections is under the number of proxies, {self.fleet.proxies}")
        return self


def parse_scenario(data: dict[str, Any], file: str) -> Scenario:
    try:
        return Scenario.model_validate(data)
    except ValidationError as wrong:
        first = wrong.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "the drill"
        raise InvalidScenarioError(
            f"{file}: {field}: {first['msg']} (found {str(first['input'])[:60]!r})"
        ) from None


def load_scenario(path: str) -> Scenario:
    """A drill from a file, or a ready one by its name."""
    file = Path(path)
    if not file.exists() and (SCENARIO_FOLDER / f"{path}.toml").exists():
        file = SCENARIO_FOLDER / f"{path}.toml"
    try:
        return parse_scenario(tomllib.loads(file.read_text()), str(path))
    except OSError as reason:
        raise InvalidScenarioError(
            f"{path}: {reason.strerror}: a drill's file, or one of {', '.join(shipped_scenarios())}"
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as reason:
        raise InvalidScenarioError(f"{path}: no TOML: {reason}") from None


def shipped_scenarios() -> list[str]:
    return sorted(file.stem for file in SCENARIO_FOLDER.glob("*.toml"))


def expand_group(who: str, proxies: int, caches: int, zones: int) -> frozenset[str]:
    """The names that a group stands for: proxies p0, p1, ..., caches c0, c1, ..., the service `list`."""
    out: set[str] = set()
    for part in who.split(","):
        if part in ("all", "proxies"):
            out.update(f"p{i}" for i in range(proxies))
        elif part in ("half", "third"):
            step = 2 if part == "half" else 3
            out.update(f"p{i}" for i in range(0, proxies, step))
        elif part == "caches":
            out.update(f"c{i}" for i in range(caches))
        elif part == "list":
            out.add("list")
        elif part.startswith("zone:"):
            zone = ZONE_NAMES.index(part[5:])
            out.update(f"p{i}" for i in range(proxies) if i % zones == zone)
            out.update(f"c{i}" for i in range(caches) if i % zones == zone)
        else:
            first, _, last = part.partition("-")
            kind, begin = first[0], int(first[1:])
            end = int(last.lstrip("pc")) if last else begin
            out.update(f"{kind}{i}" for i in range(begin, end + 1))
    return frozenset(out)
