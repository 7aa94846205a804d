"""Hash points of keys and endpoints for rendezvous hashing.

Invariants: the point of a name is the same in every process and version, as it determines where a key is
cached.
"""

from hashlib import blake2b

HASH_MODULUS = (1 << 61) - 1  # a Mersenne prime: products of points modulo it stay uniformly distributed


def hash_point(name: bytes) -> int:
    """Returns the point of a name, from 0 to HASH_MODULUS - 1."""
    return int.from_bytes(blake2b(name, digest_size=8).digest()) % HASH_MODULUS
