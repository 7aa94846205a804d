"""The datagrams that proxies of a fleet send each other, and their encoding.

A datagram is the digest of its body (8 bytes) and the body: a JSON array of the version, the fleet's name,
the place of the message's type in `MESSAGE_TYPES`, and the fields of the message in their order.

Invariants: decoding raises nothing but `InvalidMessageError`, whatever the bytes are; a datagram of another
fleet, of another version or with a wrong digest never gets through. A peer's message is a hint. There is no
key and no sign-in, so the address belongs on a closed network.
"""

from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

from calicofall.fleet.configuration_agreement import AgreementMessage
from calicofall.fleet.hot_keys import KeyCountMessage
from calicofall.fleet.list_freshness import ListDigestMessage
from calicofall.fleet.membership import MembershipProbe
from calicofall.fleet.outlier_consensus import EvidenceMessage
from calicofall.fleet.quota_leases import QuotaLeaseMessage

VERSION = 1
MAX_DATAGRAM_BYTES = 512  # bytes of a datagram
MAX_LIST_LENGTH = 32  # numbers in a field that holds several
DIGEST_BYTES = 8
NAME_DIGEST_BYTES = 6

ConfigurationMessage = AgreementMessage  # the name by which proxy/gossip_transport.py knows it


class InvalidMessageError(Exception):
    """Why a datagram is dropped, in one word by which it is counted: digest, form, version or fleet."""


class StartupMessage(NamedTuple):
    """A question whether a peer has a live watch at the discovery service, or the answer to one."""

    asks: bool  # a question, else an answer
    sender: int  # the number of the proxy that sends it
    life: int  # the incarnation of the sender
    correlation_id: int  # the sample that the question belongs to
    has_watch: bool  # whether the sender has a live watch


# The place of a type in this tuple is its number in datagrams.
MESSAGE_TYPES = (
    StartupMessage,
    AgreementMessage,
    ListDigestMessage,
    MembershipProbe,
    QuotaLeaseMessage,
    EvidenceMessage,
    KeyCountMessage,
)
PeerMessage = (
    StartupMessage
    | AgreementMessage
    | ListDigestMessage
    | MembershipProbe
    | QuotaLeaseMessage
    | EvidenceMessage
    | KeyCountMessage
)


def name_digest(name: str) -> int:
    """The number that stands for a name in datagrams, the same at every proxy: 48 bits."""
    return int.from_bytes(blake2b(name.encode(), digest_size=NAME_DIGEST_BYTES).digest())


def encode_message(fleet: str, message: PeerMessage) -> bytes:
    """The datagram of a message."""
    body = orjson.dumps([VERSION, fleet, MESSAGE_TYPES.index(type(message)), *message])
    return _digest(body) + body


def decode_message(data: bytes, fleet: str, proxies: int) -> PeerMessage:
    """The message of a datagram, for a proxy of a fleet of so many.

    Raises:
        InvalidMessageError: The datagram is not whole, not of this version or fleet, or not of a known form.
    """
    if (
        not DIGEST_BYTES < len(data) <= MAX_DATAGRAM_BYTES
        or _digest(data[DIGEST_BYTES:]) != data[:DIGEST_BYTES]
    ):
        raise InvalidMessageError("digest")
    try:
        version, name, kind, *fields = orjson.loads(data[DIGEST_BYTES:])
        message: Any = MESSAGE_TYPES[kind](*fields)
    except (ValueError, TypeError, IndexError) as error:
        raise InvalidMessageError("form") from error
    if version != VERSION:
        raise InvalidMessageError("version")
    if name != fleet:
        raise InvalidMessageError("fleet")
    if not _has_valid_fields(message) or message.sender >= proxies:
        raise InvalidMessageError("form")
    if isinstance(message, MembershipProbe):
        return message._replace(suspicions=tuple(message.suspicions))
    decoded: PeerMessage = message
    return decoded


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


def _has_valid_fields(message: Any) -> bool:
    """Whether the fields of a message have their annotated types, and no number is negative."""
    annotations = type(message).__annotations__
    return all(_has_type(getattr(message, field), kind) for field, kind in annotations.items())


def _has_type(value: Any, kind: Any) -> bool:
    """Whether a value is a number or a flag, as `kind` says, or a list of numbers where it says neither."""
    if kind in (int, bool):
        return type(value) is kind and value >= 0
    if type(value) is not list or len(value) > MAX_LIST_LENGTH:
        return False
    return all(type(number) is int and number >= 0 for number in value)
