"""The datagram socket over which the proxies of a fleet gossip.

Sends and receives the messages of startup contention, configuration agreement, endpoint list freshness,
membership, quota leases and evidence on endpoints, and hands each one to the part that it is meant for.

Invariants: a datagram that is malformed or of another fleet is counted and never answered; a message is
answered with at most one datagram for each peer that it concerns; what an answer means is decided elsewhere.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from calicofall.fleet.configuration_agreement import AgreementMessage
from calicofall.fleet.hot_keys import KeyCountMessage
from calicofall.fleet.list_freshness import ROUND_INTERVAL_S, ListDigestMessage, ListFreshness
from calicofall.fleet.membership import Membership, MembershipProbe
from calicofall.fleet.outlier_consensus import EvidenceMessage
from calicofall.fleet.quota_leases import QuotaLeaseMessage
from calicofall.startup import peer_messages
from calicofall.startup.contention import ContentionEstimate

LOG_INTERVAL_S = 10.0  # between two lines about dropped datagrams
MAX_MEMBERS_LOGGED = 8  # in one line
log = logging.getLogger("calicofall")


class GossipTransport(asyncio.DatagramProtocol):
    """One proxy's end of the gossip between the proxies of a fleet.

    Args:
        loop: The event loop.
        contention: Samples which peers wait for an endpoint list; also knows this proxy's number, how many
            proxies there are, and the source of random numbers.
        fleet: The fleet's name, which each datagram carries.
        incarnation: Which start of this proxy this is.
        addresses: Host and port of each proxy, by number.
        has_list: Whether this proxy has a live watch on the endpoint list.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        contention: ContentionEstimate,
        fleet: str,
        incarnation: int,
        addresses: list[tuple[str, int]],
        has_list: Callable[[], bool],
    ) -> None:
        self.loop = loop
        self.contention = contention
        self.fleet = fleet
        self.incarnation = incarnation
        self.addresses = addresses
        self.has_list = has_list
        # Each part that takes messages of its kind, once it has been made.
        self.on_agreement: Callable[[AgreementMessage], None] | None = None
        self.on_quota_lease: Callable[[QuotaLeaseMessage], None] | None = None
        self.on_evidence: Callable[[EvidenceMessage | KeyCountMessage], None] | None = None
        self.list_freshness = ListFreshness(
            contention.proxy_number, incarnation, contention.proxies, contention.random_generator
        )
        members = frozenset(range(contention.proxies))
        self.membership = Membership(
            contention.proxy_number, incarnation, members, loop.time(), contention.random_generator
        )
        # Asks the service for the endpoint list once more; takes the part of peers that are behind, too.
        self.reopen_watch: Callable[[float], None] = lambda part: None
        self.list_timer: asyncio.TimerHandle | None = None
        self.probe_timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.on_estimate: Callable[[float], None] | None = None  # who waits for the sample
        self.estimate_timer: asyncio.TimerHandle | None = None
        self.dropped: Counter[str] = Counter()  # datagrams, by reason
        self.next_log_at = 0.0

    async def open(self, address: tuple[str, int]) -> None:
        """Binds the socket.

        Raises:
            OSError: The address can't be bound; the message names it.
        """
        try:
            await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)
        except OSError as error:
            raise OSError(f"{address[0]}:{address[1]}: {error.strerror}") from None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]  # asyncio's base names the wider type
        """Begins the rounds of list digests and of membership probes."""
        self.transport = transport
        self.tell_list_digest()
        self.probe()

    def tell_list_digest(self) -> None:
        """Tells a few peers which list is acted on here; names those whose list differs for long, once."""
        now = self.loop.time()
        peers, digest = self.list_freshness.begin_round(now, self.membership.away_members())
        for peer in peers:
            self.send(peer, digest)
        self._reopen_watch_if_behind(now)
        if self.list_freshness.claim_difference_report(now):
            self._log_differing_list(now, digest.index)
        self.list_timer = self.loop.call_later(ROUND_INTERVAL_S, self.tell_list_digest)

    def _reopen_watch_if_behind(self, now: float) -> None:
        if not self.has_list():
            return  # it waits for the list already
        part = self.list_freshness.claim_poll(now)
        if part is None:
            return
        log.info(
            "list asked for again",
            extra={"index": self.list_freshness.index, "behind_too": round(part, 2)},
        )
        self.reopen_watch(part)

    def _log_differing_list(self, now: float, index: int) -> None:
        peer, other, since = self.list_freshness.differing_peers(now)[0]
        log.warning(
            "lists differ",
            extra={"index": index, "peer": peer, "its_index": other.index, "for_s": round(since, 1)},
        )

    def probe(self) -> None:
        """Asks peers whether they are there; logs who is away when that changes."""
        probes, next_at = self.membership.wake(self.loop.time())
        for peer, message in probes:
            self.send(peer, message)
        if self.membership.take_away_changed():
            away = sorted(self.membership.away_members())
            first = ",".join(map(str, away[:MAX_MEMBERS_LOGGED]))
            log.info("members away", extra={"count": len(away), "who": first or None})
        self.probe_timer = self.loop.call_at(next_at, self.probe)

    def estimate_contention(self, on_estimate: Callable[[float], None]) -> None:
        """Asks a sample of peers; `on_estimate` is told the part of the fleet that waits for a list."""
        self.on_estimate = on_estimate
        mark, peers = self.contention.begin_sample(self.loop.time())
        if self.estimate_timer is not None:
            self.estimate_timer.cancel()
        self.estimate_timer = self.loop.call_at(self.contention.sample_ends_at_s, self.finish_estimate)
        for peer in peers:
            self.send(peer, self._startup_message(True, mark))
        self.finish_estimate()

    def finish_estimate(self) -> None:
        """Hands over the estimate once the answers suffice or the time for them is over."""
        part = self.contention.waiting_fraction(self.loop.time())
        if part is None or self.on_estimate is None:
            return
        on_estimate = self.on_estimate
        self.on_estimate = None
        if self.estimate_timer is not None:
            self.estimate_timer.cancel()
        on_estimate(part)

    def send(self, peer: int, message: peer_messages.PeerMessage) -> None:
        """Sends one datagram; nothing while the socket is not open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(peer_messages.encode_message(self.fleet, message), self.addresses[peer])

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Takes a message of a peer, or counts why it is dropped.

        The sender is known by its number in the message: answers go to its configured address, never to
        the one that a datagram comes from.
        """
        try:
            message = peer_messages.decode_message(data, self.fleet, self.contention.proxies)
        except peer_messages.InvalidMessageError as error:
            self.count_dropped(str(error))
            return
        self._dispatch(message)

    def _dispatch(self, message: peer_messages.PeerMessage) -> None:
        match message:
            case AgreementMessage():
                if self.on_agreement is not None:
                    self.on_agreement(message)
            case QuotaLeaseMessage():
                if self.on_quota_lease is not None:
                    self.on_quota_lease(message)
            case EvidenceMessage() | KeyCountMessage():
                if self.on_evidence is not None:
                    self.on_evidence(message)
            case MembershipProbe():
                self._on_membership_probe(message)
            case ListDigestMessage():
                self._on_list_digest(message)
            case peer_messages.StartupMessage():
                self._on_startup_message(message)

    def _on_membership_probe(self, probe: MembershipProbe) -> None:
        for peer, answer in self.membership.on_message(self.loop.time(), probe):
            self.send(peer, answer)

    def _on_list_digest(self, digest: ListDigestMessage) -> None:
        now = self.loop.time()
        if digest.is_request:
            self.send(digest.sender, self.list_freshness.make_message(now, False, digest.correlation_id))
        self.list_freshness.on_message(now, digest)

    def _on_startup_message(self, message: peer_messages.StartupMessage) -> None:
        if message.is_request:
            self.send(message.sender, self._startup_message(False, message.correlation_id))
        elif self.contention.count_answer(message.correlation_id, message.sender, message.has_watch):
            self.finish_estimate()
        else:
            self.count_dropped("unasked")

    def _startup_message(self, asks: bool, mark: int) -> peer_messages.StartupMessage:
        return peer_messages.StartupMessage(
            asks, self.contention.proxy_number, self.incarnation, mark, self.has_list()
        )

    def error_received(self, exc: Exception) -> None:
        """Ignores that a peer is down: its silence says the same."""

    def count_dropped(self, reason: str) -> None:
        """Counts a dropped datagram. Logs at intervals, since many may come."""
        self.dropped[reason] += 1
        if self.loop.time() >= self.next_log_at:
            log.warning("datagrams dropped", extra=dict(self.dropped))
            self.next_log_at = self.loop.time() + LOG_INTERVAL_S

    def format_lines(self) -> list[str]:
        """The metrics that operators read: the list here, and those of peers that have differed for long."""
        now = self.loop.time()
        lists = self.list_freshness
        return [
            f"list.index:{lists.index}",
            f"list.digest:{lists.digest:012x}",
            f"list.age_s:{now - lists.changed_at:.1f}",
            f"list.peers_heard:{len(lists.last_messages)}",
            *(
                f"list.differs:{peer} index={other.index} digest={other.digest:012x} for_s={since:.1f}"
                for peer, other, since in lists.differing_peers(now)
            ),
        ]

    def close(self) -> None:
        """Ends the rounds and closes the socket."""
        for timer in (self.estimate_timer, self.list_timer, self.probe_timer):
            if timer is not None:
                timer.cancel()
        if self.transport is not None:
            self.transport.close()
