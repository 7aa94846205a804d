"""Randomized scenarios: drawn from a seed, and shrunk to the shortest that still fails.

Nothing is run here: shrinking is given a function that runs a scenario and returns whether it fails.

Invariants:
    The same seed always gives the same scenario, so the order of the draws is part of the interface.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from calicofall.testbed.scenario import CLOCK_DRIFT, MAX_PAUSE_S, Scenario, parse_scenario

MIN_PROXIES = 8
MAX_PROXIES = 16
MIN_PROXIES_WHEN_SHRUNK = 3
DURATION_S = 18.0
CALM_S = 6.0  # without a fault at the end, so that the fleet can recover
LAST_EVENT_S = 3.0  # taken as the end of the last event where a scenario has none
PROCESS_EVENTS = ("kill", "term", "stop", "restart")
LINK_EVENTS = ("cut", "delay", "slow", "reset", "lose")
SERVICE_EVENTS = ("service_down", "service_silent", "service_late", "service_restart")
CACHE_EVENTS = ("drain", "cold", "sick")
FIRST_PUBLISH_S = 4.0
VERSION_FAULTS_BEGIN_S = 3.0
VERSION_FAULTS_END_S = 11.0
# Repeated entries are drawn more often.
VERSION_FAULTS = (
    "cut",
    "cut",
    "cut",
    "lose",
    "delay",
    "stop",
    "stop",
    "restart",
    "service_down",
    "service_silent",
    "service_restart",
)

KILL_DELAY_S = 0.7  # from the longest deadline after SIGTERM to SIGKILL
TROUBLE_DURATION_S = 16.0
HOSTILE_BOUND_S = 3.0  # until a client that misuses a proxy gets an error or a close

Event = dict[str, Any]  # an event of a scenario, as in its file


def _draw_event(random_generator: Random, proxies: int, caches: int) -> Event:
    at = round(random_generator.uniform(0.0, DURATION_S - CALM_S - 3.0), 1)
    until = round(at + random_generator.uniform(0.5, 3.0), 1)
    proxy_range = f"p{random_generator.randrange(proxies)}-p{proxies - 1}"
    group = random_generator.choice(
        ["half", "third", "zone:a", "zone:b", proxy_range, f"p{random_generator.randrange(proxies)}"]
    )
    kind = random_generator.choice(
        random_generator.choice([PROCESS_EVENTS, LINK_EVENTS, SERVICE_EVENTS, CACHE_EVENTS])
    )
    if kind in PROCESS_EVENTS:
        until_field = {} if kind == "restart" else {"until": until}
        return {"at": at, "do": kind, "who": group, "over": random_generator.choice([0.0, 1.0])} | until_field
    if kind in LINK_EVENTS:
        return _draw_link_event(random_generator, kind, group, at, until)
    if kind in SERVICE_EVENTS:
        amount = {"service_late": 1.0, "service_restart": float(random_generator.choice([0, 3, 1000]))}.get(
            kind, 0.0
        )
        until_field = {} if kind == "service_restart" else {"until": until}
        return {"at": at, "do": kind, "amount": amount} | until_field
    cache = f"c{random_generator.randrange(caches)}"
    until_field = {"until": until} if kind == "sick" else {}
    return {"at": at, "do": kind, "who": cache, "amount": 8.0} | until_field


def _draw_link_event(random_generator: Random, kind: str, group: str, at: float, until: float) -> Event:
    amount = {"delay": 0.05, "slow": 20_000.0, "lose": 0.5}.get(kind, 0.0)
    peers = random_generator.choice(["caches", "list", "zone:b", "proxies"]) if kind != "lose" else "proxies"
    return {
        "at": at,
        "until": until,
        "do": kind,
        "who": group,
        "to": peers,
        "amount": amount,
        "way": random_generator.choice(["both", "to", "back"]),
    }


def draw_scenario(seed: int) -> Scenario:
    """Draw a scenario with one to four faults of any kind."""
    random_generator = Random(seed)
    proxies = random_generator.randint(MIN_PROXIES, MAX_PROXIES)
    caches = random_generator.randint(4, 10)
    watches_per_s = random_generator.choice([3.0, 5.0, 100.0])
    handshakes = proxies * 3.0
    connections = proxies * 4
    return parse_scenario(
        {
            "name": f"walk-{seed}",
            "seed": seed,
            "seconds": DURATION_S + (proxies / watches_per_s if watches_per_s < 50.0 else 0.0),
            "fleet": {
                "proxies": proxies,
                "caches": caches,
                "speak": random_generator.random() < 0.7,
                "snapshot": random_generator.random() < 0.3,
                "over": random_generator.choice([0.0, 2.0]),
            },
            "service": {
                "room": watches_per_s,
                "retry_after_s": random_generator.choice([1, 2]) if random_generator.random() < 0.3 else None,
            },
            "cache": {
                "handshakes": handshakes,
                "connections": connections,
                "cold": random_generator.random() < 0.7,
            },
            "traffic": {"per_s": 50.0, "large": random_generator.choice([0.0, 0.05])},
            "event": [
                _draw_event(random_generator, proxies, caches) for _ in range(random_generator.randint(1, 4))
            ],
            "must": {"asks_per_room": 1.5, "handshakes": handshakes, "connections": connections},
        },
        f"walk {seed}",
    )


def _draw_version_fault(random_generator: Random, proxies: int) -> Event:
    """Draw a fault that keeps proxies from new versions, after the first leases and before the calm end."""
    at = round(random_generator.uniform(VERSION_FAULTS_BEGIN_S, VERSION_FAULTS_END_S - 1.5), 1)
    until = round(at + random_generator.uniform(0.5, 4.0), 1)
    first = random_generator.randrange(proxies)
    count = random_generator.randint(1, (proxies - 1) // 2)
    minority = ",".join(f"p{(first + index) % proxies}" for index in range(count))
    kind = random_generator.choice(VERSION_FAULTS)
    if kind in ("cut", "lose", "delay"):
        return {
            "at": at,
            "until": until,
            "do": kind,
            "who": minority,
            "to": random_generator.choice(["proxies", "proxies,list", "list"])
            if kind == "cut"
            else "proxies",
            "amount": {"lose": 0.4, "delay": 0.3}.get(kind, 0.0),
            "way": random_generator.choice(["both", "to", "back"]),
        }
    if kind == "stop":
        return {"at": at, "until": until, "do": kind, "who": random_generator.choice([minority, "third"])}
    if kind == "restart":
        return {"at": at, "do": kind, "who": f"p{first}"}
    if kind == "service_restart":
        return {"at": at, "do": kind, "older": random_generator.randint(0, 2)}
    return {"at": at, "until": until, "do": kind}


def draw_version_scenario(seed: int) -> Scenario:
    """Draw a scenario that publishes settings every second or two, with faults between the proxies."""
    random_generator = Random(seed)
    proxies = random_generator.choice([8, 8, 9, 12])
    lease_s = 1.0
    events = [_draw_version_fault(random_generator, proxies) for _ in range(random_generator.randint(1, 4))]
    at = FIRST_PUBLISH_S
    zones = "ab"
    while at < VERSION_FAULTS_END_S:
        zones = random_generator.choice("ab") if zones == "ab" else "ab"  # consecutive versions share a zone
        events.append({"at": round(at, 1), "do": "publish", "zones": zones})
        at += random_generator.uniform(0.8, 2.4)
    settled_s = lease_s * (1.0 + CLOCK_DRIFT) ** 2 + MAX_PAUSE_S
    return parse_scenario(
        {
            "name": f"versions-{seed}",
            "seed": seed,
            "seconds": VERSION_FAULTS_END_S + 2.0,
            "fleet": {"proxies": proxies, "caches": 6, "speak": True, "versions": True, "lease_s": lease_s},
            "service": {"room": 100.0},
            "cache": {"cold": False},
            "traffic": {"per_s": 60.0, "orders": 0.6, "writes": 0.05},
            "event": events,
            "must": {"settled_s": round(settled_s, 3)},
        },
        f"versions {seed}",
    )


def draw_trouble_scenario(seed: int) -> Scenario:
    """Draw a scenario whose cache nodes and clients are in trouble, with signals in series.

    Replies pause, commands are read slowly, caches come up at the addresses of others, and clients stop half
    way, send what is no command, read nothing, flood, or leave at once. Clients keep using connections to a
    proxy that terminates, until it is killed as early as the protocol allows.
    """
    random_generator = Random(seed)
    proxies = random_generator.choice([2, 2, 3])
    caches = random_generator.randint(4, 6)
    memory_mb = random_generator.choice([32, 32, 48, 64])
    hard_s = random_generator.choice([1.0, 1.5, 2.0])
    events: list[Event] = [
        {"at": at, "do": "replace", "who": f"c{number}"}
        for number, at in enumerate(sorted(round(random_generator.uniform(3.0, 9.0), 1) for _ in range(2)))
    ]
    term_at = round(random_generator.uniform(4.0, 6.0), 1)
    victim = f"p{random_generator.randrange(proxies)}"
    kill_at = round(term_at + hard_s + KILL_DELAY_S, 2)
    events.append({"at": term_at, "until": kill_at, "do": "term", "who": victim})
    if random_generator.random() < 0.5:
        events.append({"at": round(term_at - 0.1, 2), "do": "reload", "who": victim})
    if random_generator.random() < 0.5:
        events.append(
            {"at": round(term_at + random_generator.uniform(0.05, 0.6), 2), "do": "term", "who": victim}
        )
    restarts = random_generator.choice([0, 0, 1, 3])
    other = f"p{(int(victim[1:]) + 1) % proxies}"
    events += [
        {"at": round(9.0 + 1.2 * number, 1), "do": "restart", "who": other} for number in range(restarts)
    ]
    has_crowd = random_generator.random() < 0.6
    return parse_scenario(
        {
            "name": f"trouble-{seed}",
            "seed": seed,
            "seconds": TROUBLE_DURATION_S,
            "fleet": {
                "proxies": proxies,
                "caches": caches,
                "memory_mb": memory_mb,
                "sockets": random_generator.choice([256, 1024, 1024]),
                "told": False,
            },
            "cache": {
                "cold": False,
                "connections": 512,
                "cold_share": 0.3,
                "pauses": random_generator.choice([0.05, 0.2, 0.5]),
                "pause_ms": random_generator.choice([100.0, 300.0, 600.0]),
                "slow_readers": random_generator.choice([0, 1]),
                "read_per_s": random_generator.choice([50_000.0, 300_000.0]),
            },
            "traffic": {
                "per_s": random_generator.choice([30.0, 60.0]),
                "orders": 0.1,
                "writes": 0.2,
                "write_bytes": random_generator.choice([100, 20_000, 60_000]),
                "hard_ms": hard_s * 1000.0,
                "soft_ms": hard_s * 1000.0,
                "large": 0.1,
                "large_bytes": random_generator.choice([20_000, 60_000, 200_000]),
                "keeps": 0.3,
                "hostile_per_s": random_generator.choice([2.0, 6.0]),
                "crowd": random_generator.choice([100, 300]) if has_crowd else 0,
                "crowds_at": [3.5, 10.5] if has_crowd else [],
            },
            "event": events,
            "must": {"within_memory": True, "hostile_s": HOSTILE_BOUND_S},
        },
        f"trouble {seed}",
    )


def shrink_scenario(
    scenario: Scenario, fails: Callable[[Scenario], bool], log: Callable[[str], None]
) -> Scenario:
    """Return the shortest scenario that still fails, without needless events, proxies and seconds."""
    while True:
        smaller = _first_failing(_shorter(scenario), fails, log)
        if smaller is None:
            return scenario
        scenario = smaller


def _first_failing(
    candidates: list[Scenario], fails: Callable[[Scenario], bool], log: Callable[[str], None]
) -> Scenario | None:
    for candidate in candidates:
        log(
            f"{candidate.name}: {candidate.fleet.proxies} proxies, {len(candidate.event)} events, "
            f"{candidate.seconds:g} s"
        )
        if fails(candidate):
            return candidate
    return None


def _shorter(scenario: Scenario) -> list[Scenario]:
    """Return the scenarios to try next, the shortest first."""
    data = scenario.model_dump(exclude_none=True)
    candidates = []
    if scenario.fleet.proxies > MIN_PROXIES_WHEN_SHRUNK:
        fewer = max(MIN_PROXIES_WHEN_SHRUNK, scenario.fleet.proxies // 2)
        candidates.append(data | {"fleet": data["fleet"] | {"proxies": fewer}})
    for index in range(len(scenario.event)):
        candidates.append(data | {"event": data["event"][:index] + data["event"][index + 1 :]})
    last = max([event.until or event.at for event in scenario.event], default=LAST_EVENT_S)
    if scenario.seconds > last + 4.0:
        candidates.append(data | {"seconds": last + 2.0 + (scenario.seconds - last) / 2.0 - 1.0})
    return [parse_scenario(candidate, scenario.name) for candidate in candidates]


def _toml_value(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else repr(value)


def _toml_lines(table: dict[str, Any]) -> list[str]:
    return [f"{name} = {_toml_value(value)}" for name, value in table.items()]


def format_scenario(scenario: Scenario) -> str:
    """Return a scenario as TOML."""
    data = scenario.model_dump(exclude_none=True)
    tables = {name: value for name, value in data.items() if isinstance(value, dict)}
    plain = {name: value for name, value in data.items() if name not in tables and name != "event"}
    lines = _toml_lines(plain)
    for name, table in tables.items():
        lines += ["", f"[{name}]", *_toml_lines(table)]
    for event in data["event"]:
        lines += ["", "[[event]]", *_toml_lines(event)]
    return "\n".join(lines) + "\n"
