"""Pseudonyms for the keys and tenants in a record.

If the operator sets a secret, a record holds keyed hashes (BLAKE2b) in place of keys and tenant names. A key
always has the same pseudonym, so that a record can be replayed and queried, but the key cannot be determined
from its pseudonym without the secret.
"""

from collections.abc import Mapping
from hashlib import blake2b
from typing import Any, Protocol

PSEUDONYM_BYTES = 6


class Naming(Protocol):
    """Maps keys and tenants to their names in a record."""

    def key(self, key: int | None) -> int | None:
        """Returns the name of a key in the record; None if a request has no key."""

    def tenant(self, name: str) -> str:
        """Returns the name of a tenant in the record."""


class Pseudonymizer:
    """Maps keys and tenants to hashes that are keyed with a secret."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def _hash(self, data: bytes) -> bytes:
        return blake2b(data, key=self._secret, digest_size=PSEUDONYM_BYTES).digest()

    def key(self, key: int | None) -> int | None:
        """Returns the pseudonym of a key; None if a request has no key."""
        return None if key is None else int.from_bytes(self._hash(b"k%d" % key))

    def tenant(self, name: str) -> str:
        """Returns the pseudonym of a tenant."""
        return "t" + self._hash(b"t" + name.encode()).hex()


class NoPseudonyms:
    """Keeps keys and tenant names unchanged."""

    @staticmethod
    def key(key: int | None) -> int | None:
        """Returns the key itself."""
        return key

    @staticmethod
    def tenant(name: str) -> str:
        """Returns the tenant name itself."""
        return name


def pseudonymized_settings(settings: Mapping[str, Any], naming: Naming) -> dict[str, Any]:
    """Returns the settings in the form written to a record, with tenants renamed by `naming`."""
    tenants = [tenant | {"name": naming.tenant(tenant["name"])} for tenant in settings.get("tenants") or []]
    return {**settings, "tenants": tenants}
