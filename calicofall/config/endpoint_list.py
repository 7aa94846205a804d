"""Parses and formats the endpoint list of the discovery service."""

from typing import Any

from calicofall.config.errors import InvalidEndpointListError

# The states of endpoints: names of the discovery service, and those of the router.
ROUTER_STATES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}

# An endpoint as the router takes it: name, zone, kind, cell, state, weight, and since when it has existed
# (wall clock in milliseconds, 0 if it has existed for long).
EndpointEntry = tuple[str, str, str, int, str, float | None, float]


def parse_endpoint_list(message: Any) -> tuple[str, int | None, list[EndpointEntry], dict[str, str]]:
    """Parses a complete list or the changes of one.

    Returns:
        `full` or `delta`, the version, the entries, and the addresses by endpoint name.

    Raises:
        InvalidEndpointListError: The message does not have the form of an endpoint list.
    """
    try:
        entries = []
        addresses = {}
        for endpoint in message["endpoints"]:
            entry = _parse_entry(endpoint)
            entries.append(entry)
            if isinstance(endpoint.get("address"), str):
                addresses[entry[0]] = endpoint["address"]
        kind = "full" if message.get("snapshot") else "delta"
        return kind, message.get("index"), entries, addresses
    except (TypeError, KeyError, AttributeError) as error:
        raise InvalidEndpointListError(f"no list of endpoints: {error!r}") from error


def _parse_entry(endpoint: dict[str, Any]) -> EndpointEntry:
    name = endpoint["name"]
    weight = endpoint.get("weight")
    since_ms = endpoint.get("since_ms") or 0
    state = ROUTER_STATES.get(endpoint.get("status"), "gone")  # type: ignore[arg-type]  # may be any value
    zone = endpoint.get("zone") or ""
    kind = endpoint.get("type") or ""
    cell = endpoint.get("group") or 0
    if not all(isinstance(text, str) for text in (name, zone, kind)):
        raise InvalidEndpointListError("the name, zone and type of an endpoint have to be texts")
    if not all(isinstance(number, int | float) for number in (since_ms, cell, weight or 0)):
        raise InvalidEndpointListError("since_ms, group and weight of an endpoint have to be numbers")
    return name, zone, kind, cell, state, weight, float(since_ms)


def format_endpoint_list(
    index: int | None, entries: list[EndpointEntry], addresses: dict[str, tuple[str, int] | None]
) -> dict[str, Any]:
    """Formats a list as the discovery service would send it, for `parse_endpoint_list`.

    Args:
        index: The version.
        entries: The endpoints.
        addresses: Host and port by endpoint name, where they are known.
    """
    service_states = {router_state: state for state, router_state in ROUTER_STATES.items()}
    endpoints = []
    for name, zone, kind, cell, state, weight, since_ms in entries:
        endpoint = {
            "name": name,
            "zone": zone,
            "type": kind,
            "group": cell,
            "status": service_states[state],
            "weight": weight,
            "since_ms": since_ms,
        }
        address = addresses.get(name)
        if address:
            endpoint["address"] = f"{address[0]}:{address[1]}"
        endpoints.append(endpoint)
    return {"index": index, "snapshot": True, "endpoints": endpoints}
