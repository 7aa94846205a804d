"""The `start` section of the operators' file: limits over the fleet, gossip peers and the snapshot folder."""

from math import inf
from typing import Any, TypedDict, cast

from calicofall.config.addresses import parse_address
from calicofall.config.checks import is_number, is_whole_number, require, require_boolean

DEFAULT_SNAPSHOT_AGE_S = 30.0
MAX_FLEET_NAME_LENGTH = 64
MIN_LEASE_S = 1.0

# Names in the operators' file, and the names in the program.
NAMES = {
    "watchesPerS": "list_watches_per_s",
    "handshakesPerS": "handshakes_per_s",
    "connections": "max_connections",
    "cachePerS": "endpoint_capacity_per_s",
    "fetchesPerS": "origin_fetches_per_s",
    "inFlight": "max_in_flight",
    "lendS": "quota_lease_s",
    "witnesses": "shares_evidence",
    "fleet": "fleet_name",
    "speak": "gossip_address",
    "peers": "peer_addresses",
    "snapshot": "snapshot_folder",
    "snapshotAgeS": "max_snapshot_age_s",
}
POSITIVE_NUMBERS = (
    "watchesPerS",
    "handshakesPerS",
    "cachePerS",
    "fetchesPerS",
    "inFlight",
    "snapshotAgeS",
    "lendS",
)
NEED_GOSSIP = ("lendS", "witnesses")


class StartupSettings(TypedDict, total=False):
    """The parsed section. Settings that it does not contain have no key."""

    list_watches_per_s: float  # list watches that the discovery service can begin, over the fleet
    handshakes_per_s: float  # at one endpoint, over the fleet
    max_connections: int  # at one endpoint, over the fleet
    endpoint_capacity_per_s: float  # requests that a warm endpoint of weight 1 can serve
    origin_fetches_per_s: float  # at the origin, over the fleet
    max_in_flight: float  # requests in flight at one endpoint, over the fleet
    quota_lease_s: float  # for which proxies lease quotas to each other
    shares_evidence: bool  # whether proxies send each other evidence on endpoints
    fleet_name: str
    gossip_address: tuple[str, int]  # host and port of this proxy for peer messages
    peer_addresses: list[tuple[str, int]]  # gossip addresses of all proxies, by their numbers
    snapshot_folder: str
    max_snapshot_age_s: float  # older snapshots are not used


def parse_startup_settings(node: dict[str, Any]) -> StartupSettings:
    """Parses and checks the `start` section of a configuration; the result is empty if there is no section.

    Raises:
        ConfigurationError: A field is not valid, or a required field is missing.
    """
    section = node.get("start")
    settings = node.get("settings") or {}
    if section is None:
        return {}
    require("start", section, isinstance(section, dict), "an object")
    unknown = sorted(set(section) - set(NAMES))
    require("start", unknown, not unknown, "one of " + ", ".join(NAMES))
    proxies = settings.get("balancers") or 1
    parsed = {name: section[key] for key, name in NAMES.items() if section.get(key) is not None}
    _validate_values(section, proxies)
    parsed.setdefault("max_snapshot_age_s", DEFAULT_SNAPSHOT_AGE_S)
    if "gossip_address" in parsed or "peer_addresses" in parsed:
        _validate_peers(section, proxies)
        parsed["peer_addresses"] = [parse_address(peer) for peer in section["peers"]]
        parsed["gossip_address"] = parse_address(section["speak"])
    for name in NEED_GOSSIP:
        value = section.get(name)
        valid = "gossip_address" in parsed or value is None
        require(f"start.{name}", value, valid, "nothing without start.speak")
    return cast("StartupSettings", parsed)


def _validate_values(section: dict[str, Any], proxies: int) -> None:
    for name in POSITIVE_NUMBERS:
        value = section.get(name)
        valid = value is None or (is_number(value) and 0 < value < inf)
        require(f"start.{name}", value, valid, "a number over 0")
    connections = section.get("connections")
    require(
        "start.connections",
        connections,
        connections is None or is_whole_number(connections, proxies, inf),
        f"a whole number from {proxies}, one for each proxy,",
    )
    folder = section.get("snapshot")
    require("start.snapshot", folder, isinstance(folder or "", str), "a folder")
    require_boolean("start.witnesses", section.get("witnesses"))


def _validate_peers(section: dict[str, Any], proxies: int) -> None:
    """Checks the settings that proxies need to send each other messages."""
    name = section.get("fleet")
    valid = isinstance(name, str) and 0 < len(name) <= MAX_FLEET_NAME_LENGTH
    require("start.fleet", name, valid, "the fleet's name")
    watches = section.get("watchesPerS")
    require("start.watchesPerS", watches, watches is not None, "a number, which start.speak needs,")
    peers = section.get("peers")
    is_list_of_all = (
        isinstance(peers, list) and len(peers) == proxies and all(isinstance(peer, str) for peer in peers)
    )
    require(
        "start.peers",
        f"{len(peers)} long" if isinstance(peers, list) else peers,
        is_list_of_all,
        f"a list of {proxies} addresses, by the proxies' numbers,",
    )
    address = section.get("speak")
    require("start.speak", address, isinstance(address, str), "an address")
    lease_s = section.get("lendS")
    require("start.lendS", lease_s, lease_s is None or lease_s >= MIN_LEASE_S, "seconds from 1")
