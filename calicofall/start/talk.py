"""What starting proxies say to each other: one question, one answer, in a datagram each.

Owns the bytes. Must never raise on bytes of any kind but Mangled, or let pass what is of another fleet,
another version, or does not match its digest. A peer's word is a hint: it moves a try's time, and no list.
There is no key and no sign-in yet, so the address belongs on a closed network.
"""

from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

VERSION, LARGEST = 1, 512  # bytes


class Mangled(Exception):
    """Why a datagram is dropped: one word, by which it is counted."""


class Word(NamedTuple):
    """`asks` or answers; from which number, in which life; the sample's mark; whether it has a live watch."""

    asks: bool
    sender: int
    life: int
    mark: int
    served: bool


def write(fleet: str, word: Word) -> bytes:
    body = orjson.dumps([VERSION, fleet, *word])
    return blake2b(body, digest_size=8).digest() + body


def read(data: bytes, fleet: str, proxies: int) -> Word:
    if not 8 < len(data) <= LARGEST or blake2b(data[8:], digest_size=8).digest() != data[:8]:
        raise Mangled("digest")
    try:
        version, name, *fields = orjson.loads(data[8:])
        word: Any = Word(*fields)
    except (ValueError, TypeError):
        raise Mangled("form") from None
    if version != VERSION:
        raise Mangled("version")
    if name != fleet:
        raise Mangled("fleet")
    whole = all(type(number) is int and number >= 0 for number in (word.sender, word.life, word.mark))
    if not whole or type(word.asks) is not bool or type(word.served) is not bool or word.sender >= proxies:
        raise Mangled("form")
    return word
