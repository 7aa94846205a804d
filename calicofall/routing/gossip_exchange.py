"""What a proxy tells its peers, and what they told: traffic, and how long requests wait at endpoints."""

from collections.abc import Mapping
from random import Random
from typing import Any

from calicofall.routing.actions import Outbox, SendGossip
from calicofall.routing.endpoint import Endpoint
from calicofall.routing.gossip import decode_hint, encode_hint
from calicofall.routing.settings import proxy_count
from calicofall.routing.sliding_window import SlidingWindow

MIN_INTERVAL_MS = 200.0  # between two messages
PRICE_FACTOR = 50.0  # the dearer a message is, the longer the interval
FANOUT = 3  # peers that are told each time
RATE_BELIEVED_MS = 10_000.0  # how long a peer's traffic is believed


class GossipExchange:
    """Hints that are gathered for peers, and what peers told."""

    def __init__(self, now: float, deployment: Mapping[str, Any], outbox: Outbox) -> None:
        """Nothing was told; `deployment`: the map that says whether proxies talk, and at what price."""
        costs = deployment.get("costs") or {}
        talks = deployment["caps"].get("peer_messages")
        self._outbox = outbox
        self.interval_ms: float = MIN_INTERVAL_MS * max(1.0, PRICE_FACTOR * (costs.get("peer") or 0.0))
        self.peer_count = proxy_count(deployment) - 1 if talks else 0
        self.own_number: int = deployment.get("me") or 0
        self.next_send_at = now
        self.pending_waits: dict[
            int, tuple[float, int]
        ] = {}  # by gossip id: waits since the last message, count
        self.arrivals = SlidingWindow(4_000.0, 8)  # clients' first tries here
        self.peer_requests: dict[int, tuple[float, int]] = {}  # by peer: when it told, its requests

    def count_request(self, now: float, client_retry: bool) -> None:
        """Counts a request that came; repeats would look like a larger part of the clients."""
        self.arrivals.add(now, count=not client_retry)

    def record_wait(self, now: float, endpoint: Endpoint, wait_ms: float) -> None:
        """A request waited at an endpoint: known here, and to be told."""
        endpoint.record_wait(now, wait_ms)
        if self.peer_count:
            total, count = self.pending_waits.get(endpoint.gossip_id, (0.0, 0))
            self.pending_waits[endpoint.gossip_id] = total + wait_ms, count + 1

    def send_if_due(self, now: float, random_generator: Random) -> None:
        """Tells a few peers, drawn anew: together they hear of every endpoint, and none hears all."""
        if not (self.peer_count and self.pending_waits and now >= self.next_send_at):
            return
        self.next_send_at = now + self.interval_ms * random_generator.uniform(0.7, 1.3)
        waits = [(mark, total / count) for mark, (total, count) in self.pending_waits.items()]
        message = encode_hint(int(self.arrivals.count(now)), waits)
        self.pending_waits = {}
        for peer in [
            random_generator.randrange(self.peer_count) for _ in range(min(FANOUT, self.peer_count))
        ]:
            self._outbox.add(SendGossip(peer + (peer >= self.own_number), message))

    def receive(self, now: float, peer: int, message: bytes) -> list[tuple[int, float]]:
        """A hint from a peer, which may be late, lost, doubled or mangled: waits (ms) by gossip id."""
        rate, waits = decode_hint(message) if self.peer_count else (None, [])
        if rate is not None:
            self.peer_requests[peer] = now, rate
        return waits

    def peer_request_counts(self, now: float) -> list[float]:
        """What peers told lately of the requests that came to them."""
        return [rate for told_at, rate in self.peer_requests.values() if now - told_at < RATE_BELIEVED_MS]
