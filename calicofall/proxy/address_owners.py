"""Which endpoint an address belongs to, when a process has come up at the address of one that has gone.

An endpoint list names endpoints; changes of it may come in any order. Two processes cannot listen at one
address, so an endpoint whose address another one has, which started later, is gone, whether or not the list
says so.
"""

import logging
from collections.abc import Mapping, Sequence

from calicofall.config.endpoint_list import EndpointEntry

GONE = "gone"
log = logging.getLogger("calicofall")


class AddressOwners:
    """The endpoints of the list by address."""

    def __init__(self) -> None:
        self._owners: dict[str, EndpointEntry] = {}  # by address: the entry of the endpoint that has it
        self._addresses: dict[str, str] = {}  # by endpoint

    def resolve(
        self, is_partial: bool, entries: Sequence[EndpointEntry], addresses: Mapping[str, str]
    ) -> list[EndpointEntry]:
        """Returns a list's entries, in which endpoints whose address another one has are gone.

        Args:
            is_partial: Whether the entries are the changes of the list; what else it named still holds.
            entries: The entries.
            addresses: Host and port by endpoint, where the list tells them.
        """
        if not is_partial:
            self._owners.clear()
            self._addresses.clear()
        resolved: dict[str, EndpointEntry] = {}
        for entry in entries:
            resolved.pop(entry[0], None)  # the last entry of a name counts
            resolved[entry[0]] = entry
            displaced = self._apply(entry, addresses.get(entry[0]))
            if displaced is not None:
                resolved[displaced[0]] = (*displaced[:4], GONE, *displaced[5:])
        return list(resolved.values())

    def _apply(self, entry: EndpointEntry, address: str | None) -> EndpointEntry | None:
        """Notes an entry; returns that of the endpoint that is gone by it, if any."""
        name, *_, state, _, since_ms = entry
        address = address or self._addresses.get(name)
        if address is None:
            return None
        if state == GONE:
            self._release(name)
            return None
        owner = self._owners.get(address)
        if owner is not None and owner[0] != name and owner[6] != since_ms:
            if owner[6] > since_ms:
                return entry
            self._release(owner[0])
            log.info("address has a new owner", extra={"cache": name, "former": owner[0], "address": address})
        else:
            owner = None
        self._release(name)
        self._owners[address] = entry
        self._addresses[name] = address
        return owner

    def _release(self, name: str) -> None:
        address = self._addresses.pop(name, None)
        if address is not None and self._owners.get(address, ("",))[0] == name:
            del self._owners[address]
