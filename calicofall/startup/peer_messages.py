"""Encoding and decoding of the datagrams that the proxies of a fleet send each other.

A datagram consists of the digest of its body (8 bytes) and the body: a JSON array of the protocol version,
the fleet's name, the index of the message's type in `MESSAGE_TYPES`, and the fields of the message in their
order.

Invariants: whatever the bytes are, decoding raises no exception other than `InvalidMessageError`; a datagram
of another fleet, of another version or with a wrong digest is rejected. A message of a peer is only a hint.
Datagrams are not authenticated, so the gossip address must be on a closed network.
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
MAX_DATAGRAM_BYTES = 512
MAX_LIST_LENGTH = 32  # numbers in a field that is a list
DIGEST_BYTES = 8
NAME_DIGEST_BYTES = 6

ConfigurationMessage = AgreementMessage  # an alias that has no uses in this repository


class InvalidMessageError(Exception):
    """A datagram is dropped; the text is the reason by which drops are counted.

    Reasons are `digest`, `form`, `version` and `fleet`.
    """


class StartupMessage(NamedTuple):
    """Asks a peer whether it has a live watch at the discovery service, or answers such a request."""

    is_request: bool  # whether this is a request; otherwise an answer
    sender: int  # the number of the proxy that sends it
    incarnation: int  # of the sender
    correlation_id: int  # the identifier of the sample that the request belongs to
    has_watch: bool  # whether the sender has a live watch


# Datagrams identify a type by its index in this tuple.
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
    """The 48-bit number that identifies a name in datagrams; it is the same at every proxy."""
    return int.from_bytes(blake2b(name.encode(), digest_size=NAME_DIGEST_BYTES).digest())


def encode_message(fleet_name: str, message: PeerMessage) -> bytes:
    """Encodes a message as a datagram of a fleet."""
    body = orjson.dumps([VERSION, fleet_name, MESSAGE_TYPES.index(type(message)), *message])
    return _digest(body) + body


def decode_message(data: bytes, fleet_name: str, proxies: int) -> PeerMessage:
    """Decodes a datagram.

    Args:
        data: The bytes of the datagram.
        fleet_name: The name of the receiver's fleet.
        proxies: How many proxies the fleet has; the sender's number has to be lower.

    Raises:
        InvalidMessageError: The datagram is damaged, of another version or fleet, or not a known message.
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
    if name != fleet_name:
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
    """Whether all fields of a message have their annotated types, and no number is negative."""
    annotations = type(message).__annotations__
    return all(_has_type(getattr(message, field), kind) for field, kind in annotations.items())


def _has_type(value: Any, kind: Any) -> bool:
    """Whether a value has the type `kind`, where any type but int and bool stands for a list of integers."""
    if kind in (int, bool):
        return type(value) is kind and value >= 0
    if type(value) is not list or len(value) > MAX_LIST_LENGTH:
        return False
    return all(type(number) is int and number >= 0 for number in value)
