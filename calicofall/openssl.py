"""Keeps OpenSSL out of a process that does not need it.

`asyncio` and `hashlib` load it where it is installed, and work without it. It takes some megabytes of
resident memory, which is a sixth of the least memory that a proxy may have.
"""

import sys
from importlib.util import find_spec

OPENSSL_MODULES = ("ssl", "_hashlib")
# What `hashlib` uses in place of OpenSSL; some builds of Python lack these modules.
BUILTIN_HASHES = ("_md5", "_sha1", "_sha3", "_blake2")


def skip_openssl() -> None:
    """Makes the imports of OpenSSL's modules fail; called before `asyncio` and `hashlib` are imported."""
    if all(find_spec(name) for name in BUILTIN_HASHES):
        for name in OPENSSL_MODULES:
            sys.modules.setdefault(name, None)  # type: ignore[arg-type]
