"""Freshness of a proxy's endpoint list, compared with the lists of its peers.

In each round a proxy sends the version, digest and age of its list to a few peers that are drawn at random,
and receives theirs. A proxy that has known for POLL_DELAY_S that a peer has a higher version with another
digest polls the discovery service again; the delay leaves time for its own watch to deliver that list. It
polls at once if all peers with recent messages are ahead, and at its scheduled time if others are behind, too
(startup/discovery_schedule.py). So a list that the service has sent to one proxy causes half of N proxies to
poll after about `ROUND_INTERVAL_S * log2(N) / log2(1 + 2 * PEERS_PER_ROUND) + POLL_DELAY_S`; while links are
cut, there is no bound. Peers whose digest has differed for `DIFFERENCE_REPORTED_AFTER_S` are reported.

The module performs no I/O: it is given lists, messages and the time (s), and returns messages and values.

States of a proxy and transitions:
    up to date: no later list is known. A peer's message changes the state to
    behind: a later list is known, and the service has to be polled, at most once per `REPOLL_AFTER_S`. The
        state ends when the service has sent a list or has reported that it is unchanged.

Invariants:
    - A peer's message can cause a poll of the service, and nothing else: the removal, the draining or the
      addition of an endpoint takes effect when the service has sent it.
"""

from hashlib import blake2b
from random import Random
from typing import NamedTuple

ROUND_INTERVAL_S = 0.5
PEERS_PER_ROUND = 2
POLL_DELAY_S = 0.3  # time between learning of a later list and the poll that it causes
REPOLL_AFTER_S = 2.0  # shortest time between two polls that peers' messages cause
DIFFERENCE_REPORTED_AFTER_S = 3.0  # how long a peer's digest has to differ
PEER_FORGOTTEN_AFTER_S = 10.0  # time without a message of the peer
REQUEST_ID_BITS = 40
MAX_AGE_MS = 1 << 40
DIGEST_BYTES = 6


class ListDigestMessage(NamedTuple):
    """The version, digest and age of a proxy's list; sent as an array of these fields, in this order.

    Attributes:
        is_request: whether this is a request for the same of the receiver's list, not a response.
        sender: number of the proxy that sends the message.
        incarnation: the sender's incarnation.
        correlation_id: identifier of the request, which its response repeats.
        index: version of the list, as counted by the service; 0 if the service does not count.
        digest: digest of the list's names and states.
        age_ms: time since the list changed.
    """

    is_request: bool
    sender: int
    incarnation: int
    correlation_id: int
    index: int  # type: ignore[assignment]  # hides tuple.index, which nobody calls
    digest: int
    age_ms: int


class DifferingPeer(NamedTuple):
    """A peer whose list differs from this proxy's.

    Attributes:
        peer: number of the peer.
        message: the peer's latest message.
        duration_s: how long the lists have differed.
    """

    peer: int
    message: ListDigestMessage
    duration_s: float


def list_digest(states: dict[str, str]) -> int:
    """Returns a 48-bit digest of the endpoints' names and states, which does not depend on their order."""
    body = "\n".join(f"{name} {states[name]}" for name in sorted(states))
    return int.from_bytes(blake2b(body.encode(), digest_size=DIGEST_BYTES).digest())


class ListFreshness:
    """The version and digest of one proxy's list, and the latest message of each peer.

    Attributes:
        index: version of this proxy's list.
        digest: digest of this proxy's list.
        changed_at: when this proxy's list changed (s).
        last_messages: by peer, when its latest message arrived (s), and the message.
        differs_since: by peer, since when its digest has differed (s).
    """

    def __init__(self, proxy_number: int, incarnation: int, proxies: int, random_generator: Random) -> None:
        """Starts without a list.

        Args:
            proxy_number: number of this proxy.
            incarnation: number of this run of its process.
            proxies: how many proxies the fleet has.
            random_generator: source of request identifiers and of the choice of peers.
        """
        self.proxy_number = proxy_number
        self.incarnation = incarnation
        self.proxies = proxies
        self.random_generator = random_generator
        self.index = 0
        self.digest = 0
        self.changed_at = 0.0
        self.last_messages: dict[int, tuple[float, ListDigestMessage]] = {}
        self.differs_since: dict[int, float] = {}
        self._request_id = random_generator.getrandbits(REQUEST_ID_BITS)
        self._polled_at = -REPOLL_AFTER_S
        self._behind_since: float | None = None  # since when a later list is known (s)
        self._difference_reported = False

    def set_own_list(self, now: float, index: int | None, states: dict[str, str]) -> None:
        """Records the list that the service has sent, or has reported to be unchanged."""
        new_digest = list_digest(states)
        if new_digest != self.digest:
            self.changed_at = now
            self.differs_since.clear()
        self._behind_since = None
        self.index = index or 0
        self.digest = new_digest

    def begin_round(
        self, now: float, away: frozenset[int] = frozenset()
    ) -> tuple[list[int], ListDigestMessage]:
        """Starts a round.

        Args:
            now: the time (s).
            away: peers that are considered unreachable; nothing is sent to them.

        Returns:
            The peers to send a request to, and the request.
        """
        self._request_id += 1
        reachable = [peer for peer in range(self.proxies) if peer != self.proxy_number and peer not in away]
        self._forget_silent_peers(now)
        receivers = self.random_generator.sample(reachable, min(PEERS_PER_ROUND, len(reachable)))
        return receivers, self.make_message(now, True, self._request_id)

    def make_message(self, now: float, is_request: bool, request_id: int) -> ListDigestMessage:
        """Returns a request or a response with the state of this proxy's list.

        Args:
            now: the time (s).
            is_request: whether the message is a request.
            request_id: identifier of the request.
        """
        age_ms = min(MAX_AGE_MS, max(0, round((now - self.changed_at) * 1000.0)))
        return ListDigestMessage(
            is_request, self.proxy_number, self.incarnation, request_id, self.index, self.digest, age_ms
        )

    def on_message(self, now: float, message: ListDigestMessage) -> None:
        """Handles a peer's request or response; a request is answered by `make_message`."""
        peer = message.sender
        if peer == self.proxy_number:
            return
        self.last_messages[peer] = now, message
        if message.digest == self.digest:
            self.differs_since.pop(peer, None)
            return
        self.differs_since.setdefault(peer, now)
        if message.index > self.index and self._behind_since is None:
            self._behind_since = now

    def claim_poll(self, now: float) -> float | None:
        """Checks whether the service has to be polled again now; if so, the call counts as the poll.

        Returns:
            The fraction of the peers with recent messages that are not ahead of this proxy; None if the
            service does not have to be polled.
        """
        if self._behind_since is None:
            return None
        if now < max(self._behind_since + POLL_DELAY_S, self._polled_at + REPOLL_AFTER_S):
            return None
        self._polled_at = now
        recent = [
            message for at, message in self.last_messages.values() if at >= now - DIFFERENCE_REPORTED_AFTER_S
        ]
        return sum(message.index <= self.index for message in recent) / max(1, len(recent))

    def differing_peers(self, now: float) -> list[DifferingPeer]:
        """Returns the peers whose lists have differed in messages `DIFFERENCE_REPORTED_AFTER_S` apart."""
        return [
            DifferingPeer(peer, self.last_messages[peer][1], now - since)
            for peer, since in sorted(self.differs_since.items())
            if self.last_messages[peer][0] - since >= DIFFERENCE_REPORTED_AFTER_S
        ]

    def claim_difference_report(self, now: float) -> bool:
        """Returns whether a difference of lists has to be reported now: once, until all lists agree again."""
        differ = bool(self.differing_peers(now))
        report = differ and not self._difference_reported
        self._difference_reported = differ
        return report

    def _forget_silent_peers(self, now: float) -> None:
        silent = [peer for peer, (at, _) in self.last_messages.items() if at < now - PEER_FORGOTTEN_AFTER_S]
        for peer in silent:
            del self.last_messages[peer]
            self.differs_since.pop(peer, None)
