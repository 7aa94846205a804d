"""The datagram socket over which the proxies of a fleet gossip.

Sends and receives the messages of startup contention, configuration agreement, endpoint list freshness,
membership, quota leases and evidence on endpoints, and passes each one to the component that handles it.

Invariants: a datagram that is malformed or of another fleet is counted and never answered; a message is
answered with at most one datagram for each peer that it concerns; other modules interpret the answers.
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

LOG_INTERVAL_S = 10.0  # shortest time between two log lines on dropped datagrams
MAX_MEMBERS_LOGGED = 8  # members named in one log line
log = logging.getLogger("calicofall")


class GossipTransport(asyncio.DatagramProtocol):
    """One proxy's end of the gossip between the proxies of a fleet.

    Args:
        loop: The event loop.
        contention: Samples which peers wait for an endpoint list; also holds this proxy's number, the number
            of proxies, and the random generator.
        fleet_name: The fleet's name, which each datagram carries.
        incarnation: The number of this proxy's incarnation.
        addresses: Host and port of each proxy, by number.
        has_live_watch: Returns whether this proxy has a live watch on the endpoint list.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        contention: ContentionEstimate,
        fleet_name: str,
        incarnation: int,
        addresses: list[tuple[str, int]],
        has_live_watch: Callable[[], bool],
    ) -> None:
        self.loop = loop
        self.contention = contention
        self.fleet_name = fleet_name
        self.incarnation = incarnation
        self.addresses = addresses
        self.has_live_watch = has_live_watch
        # The handlers of messages; each is set once its component has been constructed.
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
        # Requests the endpoint list again; its argument is the fraction of peers that are behind, too.
        self.reopen_watch: Callable[[float], None] = lambda behind_fraction: None
        self.list_digest_timer: asyncio.TimerHandle | None = None
        self.probe_timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.on_estimate: Callable[[float], None] | None = None  # called with the sample's result
        self.estimate_timer: asyncio.TimerHandle | None = None
        self.dropped: Counter[str] = Counter()  # number of dropped datagrams, by reason
        self.next_log_at = 0.0

    async def open(self, address: tuple[str, int]) -> None:
        """Binds the socket.

        Raises:
            OSError: The address can't be bound. The message names the address.
        """
        try:
            await self.loop.create_datagram_endpoint(lambda: self, local_addr=address)
        except OSError as error:
            raise OSError(f"{address[0]}:{address[1]}: {error.strerror}") from None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]  # asyncio's base names the wider type
        """Starts the periodic list digests and membership probes."""
        self.transport = transport
        self.send_list_digest()
        self.probe()

    def send_list_digest(self) -> None:
        """Sends the digest of this proxy's list to a few peers, and schedules the next round.

        Also requests the list again if peers have a later one, and logs once that a list differs for long.
        """
        now = self.loop.time()
        peers, digest = self.list_freshness.begin_round(now, self.membership.away_members())
        for peer in peers:
            self.send(peer, digest)
        self._reopen_watch_if_behind(now)
        if self.list_freshness.claim_difference_report(now):
            self._log_differing_list(now, digest.index)
        self.list_digest_timer = self.loop.call_later(ROUND_INTERVAL_S, self.send_list_digest)

    def _reopen_watch_if_behind(self, now: float) -> None:
        if not self.has_live_watch():
            return  # the proxy is already waiting for the list
        behind_fraction = self.list_freshness.claim_poll(now)
        if behind_fraction is None:
            return
        log.info(
            "list asked for again",
            extra={"index": self.list_freshness.index, "behind_too": round(behind_fraction, 2)},
        )
        self.reopen_watch(behind_fraction)

    def _log_differing_list(self, now: float, index: int) -> None:
        peer, their_list, differs_for_s = self.list_freshness.differing_peers(now)[0]
        log.warning(
            "lists differ",
            extra={
                "index": index,
                "peer": peer,
                "its_index": their_list.index,
                "for_s": round(differs_for_s, 1),
            },
        )

    def probe(self) -> None:
        """Sends membership probes, logs the members that are away if they changed, and schedules the next."""
        probes, next_at = self.membership.wake(self.loop.time())
        for peer, message in probes:
            self.send(peer, message)
        if self.membership.take_away_changed():
            away = sorted(self.membership.away_members())
            first_away = ",".join(map(str, away[:MAX_MEMBERS_LOGGED]))
            log.info("members away", extra={"count": len(away), "who": first_away or None})
        self.probe_timer = self.loop.call_at(next_at, self.probe)

    def estimate_contention(self, on_estimate: Callable[[float], None]) -> None:
        """Asks a sample of peers; `on_estimate` is called with the fraction of the fleet without a list."""
        self.on_estimate = on_estimate
        sample_id, peers = self.contention.begin_sample(self.loop.time())
        if self.estimate_timer is not None:
            self.estimate_timer.cancel()
        self.estimate_timer = self.loop.call_at(self.contention.sample_ends_at_s, self.finish_estimate)
        for peer in peers:
            self.send(peer, self._startup_message(True, sample_id))
        self.finish_estimate()

    def finish_estimate(self) -> None:
        """Passes on the estimate once all answers have come or the time for them is over."""
        waiting_fraction = self.contention.waiting_fraction(self.loop.time())
        if waiting_fraction is None or self.on_estimate is None:
            return
        on_estimate = self.on_estimate
        self.on_estimate = None
        if self.estimate_timer is not None:
            self.estimate_timer.cancel()
        on_estimate(waiting_fraction)

    def send(self, peer: int, message: peer_messages.PeerMessage) -> None:
        """Sends one datagram; does nothing while the socket is not open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(
                peer_messages.encode_message(self.fleet_name, message), self.addresses[peer]
            )

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handles a peer's message, or counts a dropped datagram with the reason.

        The message names its sender by number. Answers go to that proxy's configured address, never to the
        datagram's source address.
        """
        try:
            message = peer_messages.decode_message(data, self.fleet_name, self.contention.proxies)
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

    def _startup_message(self, is_request: bool, sample_id: int) -> peer_messages.StartupMessage:
        return peer_messages.StartupMessage(
            is_request, self.contention.proxy_number, self.incarnation, sample_id, self.has_live_watch()
        )

    def error_received(self, exc: Exception) -> None:
        """Ignores errors such as an unreachable peer: the peer's missing answers have the same effect."""

    def count_dropped(self, reason: str) -> None:
        """Counts a dropped datagram, and logs the counts at most once every LOG_INTERVAL_S."""
        self.dropped[reason] += 1
        if self.loop.time() >= self.next_log_at:
            log.warning("datagrams dropped", extra=dict(self.dropped))
            self.next_log_at = self.loop.time() + LOG_INTERVAL_S

    def format_lines(self) -> list[str]:
        """Returns the metrics lines on this proxy's list, and on peers whose list has differed for long."""
        now = self.loop.time()
        freshness = self.list_freshness
        return [
            f"list.index:{freshness.index}",
            f"list.digest:{freshness.digest:012x}",
            f"list.age_s:{now - freshness.changed_at:.1f}",
            f"list.peers_heard:{len(freshness.last_messages)}",
            *(
                f"list.differs:{peer} index={their_list.index} "
                f"digest={their_list.digest:012x} for_s={differs_for_s:.1f}"
                for peer, their_list, differs_for_s in freshness.differing_peers(now)
            ),
        ]

    def close(self) -> None:
        """Cancels the timers and closes the socket."""
        for timer in (self.estimate_timer, self.list_digest_timer, self.probe_timer):
            if timer is not None:
                timer.cancel()
        if self.transport is not None:
            self.transport.close()
