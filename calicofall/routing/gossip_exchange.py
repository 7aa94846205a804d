"""The exchange of hints with peers: request counts, and waits of requests at endpoints."""

from collections.abc import Mapping
from random import Random
from typing import Any

from calicofall.routing.actions import Outbox, SendGossip
from calicofall.routing.endpoint import Endpoint
from calicofall.routing.gossip import decode_hint, encode_hint
from calicofall.routing.settings import proxy_count
from calicofall.routing.sliding_window import SlidingWindow

MIN_INTERVAL_MS = 200.0  # shortest mean interval between two rounds of messages
MESSAGE_COST_FACTOR = 50.0  # the interval is multiplied by this times the cost of a message, if over 1
FANOUT = 3  # peers that get a message in each round
PEER_COUNT_LIFETIME_MS = 10_000.0  # time for which the request count of a peer is used


class GossipExchange:
    """Waits to send to peers, and the request counts that peers sent."""

    def __init__(self, now: float, deployment: Mapping[str, Any], outbox: Outbox) -> None:
        """Reads from `deployment` whether proxies exchange messages, and the cost of a message."""
        costs = deployment.get("costs") or {}
        sends_hints = deployment["caps"].get("peer_messages")
        self._outbox = outbox
        self.interval_ms: float = MIN_INTERVAL_MS * max(1.0, MESSAGE_COST_FACTOR * (costs.get("peer") or 0.0))
        self.peer_count = proxy_count(deployment) - 1 if sends_hints else 0
        self.own_number: int = deployment.get("me") or 0
        self.next_send_at = now
        # By gossip id: sum of the waits since the last message (ms), and their count.
        self.pending_waits: dict[int, tuple[float, int]] = {}
        self.arrivals = SlidingWindow(4_000.0, 8)  # requests to this proxy, without repeats of clients
        self.peer_requests: dict[int, tuple[float, int]] = {}  # by peer: arrival time, request count

    def count_request(self, now: float, client_retry: bool) -> None:
        """Counts a request; a client's repeats are left out, as they would appear as more clients."""
        self.arrivals.add(now, count=not client_retry)

    def record_wait(self, now: float, endpoint: Endpoint, wait_ms: float) -> None:
        """Records the wait of a request at an endpoint, for this proxy and its peers."""
        endpoint.record_wait(now, wait_ms)
        if self.peer_count:
            total, count = self.pending_waits.get(endpoint.gossip_id, (0.0, 0))
            self.pending_waits[endpoint.gossip_id] = total + wait_ms, count + 1

    def send_if_due(self, now: float, random_generator: Random) -> None:
        """Sends a hint to a few random peers, so that together they learn of every endpoint."""
        if not (self.peer_count and self.pending_waits and now >= self.next_send_at):
            return
        self.next_send_at = now + self.interval_ms * random_generator.uniform(0.7, 1.3)
        waits = [(gossip_id, total / count) for gossip_id, (total, count) in self.pending_waits.items()]
        message = encode_hint(int(self.arrivals.count(now)), waits)
        self.pending_waits = {}
        for peer in [
            random_generator.randrange(self.peer_count) for _ in range(min(FANOUT, self.peer_count))
        ]:
            self._outbox.add(SendGossip(peer + (peer >= self.own_number), message))

    def receive(self, now: float, peer: int, message: bytes) -> list[tuple[int, float]]:
        """Applies a hint, which may be late, duplicated or damaged; returns its waits (ms) by gossip id."""
        request_count, waits = decode_hint(message) if self.peer_count else (None, [])
        if request_count is not None:
            self.peer_requests[peer] = now, request_count
        return waits

    def peer_request_counts(self, now: float) -> list[float]:
        """Returns the request counts that peers sent recently."""
        return [
            count
            for received_at, count in self.peer_requests.values()
            if now - received_at < PEER_COUNT_LIFETIME_MS
        ]
