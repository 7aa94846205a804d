"""How fresh a proxy's endpoint list is, compared with those that its peers act on.

In each round a proxy tells a few peers, drawn anew, the version, digest and age of its list, and hears
theirs. One that has known of a higher version with another digest for a while polls the discovery service
again; it waits for that while because its own watch may be about to bring the list. It polls at once where
all peers heard of are ahead, and in its turn where others are behind, too (startup/discovery_schedule.py).
So what the service told one proxy is a reason to poll for half of N proxies after about
`GAP * log2(N) / log2(1 + 2 * PEERS_PER_ROUND) + POLL_DELAY_S`; where links are cut, nothing bounds it.
Peers whose digest has differed for `DIFFERENCE_REPORTED_AFTER_S` are reported.

The module does no I/O: it is handed lists, messages and the time (s), and returns messages and values.

States of a proxy, and what moves between them:
    up to date: no later list is known of. Left by a peer's message for
    behind: a later list is known of; the service is to be polled, no more often than every `REPOLL_AFTER_S`.
        Left when the service has sent a list.

Invariants:
    - A peer's message is a reason to poll the service again, and nothing else: a removal, a draining endpoint
      or a new one is acted on when the service has sent it.
"""

from hashlib import blake2b
from random import Random
from typing import NamedTuple

ROUND_INTERVAL_S = 0.5  # s between two rounds
PEERS_PER_ROUND = 2
POLL_DELAY_S = 0.3  # for which a later list is known of before the service is polled
REPOLL_AFTER_S = 2.0  # between two polls that peers' messages cause
DIFFERENCE_REPORTED_AFTER_S = 3.0  # for which a peer's digest has differed
PEER_FORGOTTEN_AFTER_S = 10.0  # without a message of a peer
REQUEST_ID_BITS = 40
MAX_AGE_MS = 1 << 40
DIGEST_BYTES = 6


class ListDigestMessage(NamedTuple):
    """A list as a proxy tells of it; sent as a row of these fields, in this order.

    Attributes:
        asks: whether it is a request for the receiver's list, or the response.
        sender: number of the proxy that sends it.
        life: the sender's incarnation.
        mark: identifier of the request.
        index: version of the list, as the service counts; 0 where it does not.
        digest: of the list's names and states.
        age: time since the list changed (ms).
    """

    is_request: bool
    sender: int
    life: int
    correlation_id: int
    index: int  # type: ignore[assignment]  # hides tuple.index, which nobody calls
    digest: int
    age_ms: int


class DifferingPeer(NamedTuple):
    """A peer whose list differs.

    Attributes:
        peer: its number.
        message: what it said last.
        duration: for how long it has differed (s).
    """

    peer: int
    message: ListDigestMessage
    duration_s: float


def list_digest(states: dict[str, str]) -> int:
    """Digest of the endpoints' names and states, whatever their order: 48 bits."""
    body = "\n".join(f"{name} {states[name]}" for name in sorted(states))
    return int.from_bytes(blake2b(body.encode(), digest_size=DIGEST_BYTES).digest())


class ListFreshness:
    """The list of one proxy, by version and digest, and what was last heard of each peer's.

    Attributes:
        index: version of the own list.
        digest: of the own list.
        at: when the own list changed (s).
        heard: of each peer, when it was heard last (s), and what it said.
        differs_since: by peer, since when its digest has differed (s).
    """

    def __init__(self, own_id: int, incarnation: int, proxies: int, rng: Random) -> None:
        """Begins without a list.

        Args:
            own_id: number of this proxy.
            incarnation: number of this run of its process.
            proxies: how many proxies the fleet has.
            rng: source of request identifiers and of the choice of peers.
        """
        self.own_id = own_id
        self.incarnation = incarnation
        self.proxies = proxies
        self.rng = rng
        self.index = 0
        self.digest = 0
        self.changed_at = 0.0
        self.last_messages: dict[int, tuple[float, ListDigestMessage]] = {}
        self.differs_since: dict[int, float] = {}
        self._request_id = rng.getrandbits(REQUEST_ID_BITS)
        self._polled_at = -REPOLL_AFTER_S
        self._behind_since: float | None = None  # since when a later list is known of (s)
        self._difference_reported = False

    def set_own_list(self, now: float, index: int | None, states: dict[str, str]) -> None:
        """Takes the list that the service has sent, or has said to be unchanged."""
        found = list_digest(states)
        if found != self.digest:
            self.changed_at = now
            self.differs_since.clear()
        self._behind_since = None
        self.index = index or 0
        self.digest = found

    def begin_round(
        self, now: float, away: frozenset[int] = frozenset()
    ) -> tuple[list[int], ListDigestMessage]:
        """Begins a round.

        Args:
            now: the time (s).
            away: peers that are held to be unreachable; nothing is sent to them.

        Returns:
            The peers to send a request to, and the request.
        """
        self._request_id += 1
        reachable = [peer for peer in range(self.proxies) if peer != self.own_id and peer not in away]
        self._forget_silent_peers(now)
        receivers = self.rng.sample(reachable, min(PEERS_PER_ROUND, len(reachable)))
        return receivers, self.make_message(now, True, self._request_id)

    def make_message(self, now: float, is_request: bool, request_id: int) -> ListDigestMessage:
        """What is said of the own list.

        Args:
            now: the time (s).
            is_request: whether it is a request.
            request_id: identifier of the request.
        """
        age_ms = min(MAX_AGE_MS, max(0, round((now - self.changed_at) * 1000.0)))
        return ListDigestMessage(
            is_request, self.own_id, self.incarnation, request_id, self.index, self.digest, age_ms
        )

    def on_message(self, now: float, message: ListDigestMessage) -> None:
        """Takes a peer's request or response."""
        peer = message.sender
        if peer == self.own_id:
            return
        self.last_messages[peer] = now, message
        if message.digest == self.digest:
            self.differs_since.pop(peer, None)
            return
        self.differs_since.setdefault(peer, now)
        if message.index > self.index and self._behind_since is None:
            self._behind_since = now

    def claim_poll(self, now: float) -> float | None:
        """Whether the service is to be polled again now; a call that says so counts as a poll.

        Returns:
            The part of the peers that are no further than this proxy; None if it is not to be polled.
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
        """Peers whose lists differ, and have done so between messages `DIFFERENCE_REPORTED_AFTER_S` apart."""
        return [
            DifferingPeer(peer, self.last_messages[peer][1], now - since)
            for peer, since in sorted(self.differs_since.items())
            if self.last_messages[peer][0] - since >= DIFFERENCE_REPORTED_AFTER_S
        ]

    def claim_difference_report(self, now: float) -> bool:
        """Whether it is to be reported now that lists differ: once until they agree again."""
        differ = bool(self.differing_peers(now))
        report = differ and not self._difference_reported
        self._difference_reported = differ
        return report

    def _forget_silent_peers(self, now: float) -> None:
        silent = [peer for peer, (at, _) in self.last_messages.items() if at < now - PEER_FORGOTTEN_AFTER_S]
        for peer in silent:
            del self.last_messages[peer]
            self.differs_since.pop(peer, None)
