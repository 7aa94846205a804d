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
        self.peers = proxy_count(deployment) - 1 if talks else 0
        self.me: int = deployment.get("me") or 0
        self.tell_at = now
        self.pending: dict[int, tuple[float, int]] = {}  # by gossip id: waits since the last message, count
        self.arrivals = SlidingWindow(4_000.0, 8)  # clients' first tries here
        self.rates: dict[int, tuple[float, int]] = {}  # by peer: when it told, its requests

    def count_request(self, now: float, client_retry: bool) -> None:
        """Counts a request that came; repeats would look like a larger part of the clients."""
        self.arrivals.add(now, count=not client_retry)

    def note_wait(self, now: float, endpoint: Endpoint, wait_ms: float) -> None:
        """A request waited at an endpoint: known here, and to be told."""
        endpoint.note_wait(now, wait_ms)
        if self.peers:
            total, count = self.pending.get(endpoint.gossip_id, (0.0, 0))
            self.pending[endpoint.gossip_id] = total + wait_ms, count + 1

    def tell_if_due(self, now: float, random_generator: Random) -> None:
        """Tells a few peers, drawn anew: together they hear of every endpoint, and none hears all."""
        if not (self.peers and self.pending and now >= self.tell_at):
            return
        self.tell_at = now + self.interval_ms * random_generator.uniform(0.7, 1.3)
        waits = [(mark, total / count) for mark, (total, count) in self.pending.items()]
        message = encode_hint(int(self.arrivals.count(now)), waits)
        self.pending = {}
        for peer in [random_generator.randrange(self.peers) for _ in range(min(FANOUT, self.peers))]:
            self._outbox.add(SendGossip(peer + (peer >= self.me), message))

    def receive(self, now: float, peer: int, message: bytes) -> list[tuple[int, float]]:
        """A hint from a peer, which may be late, lost, doubled or mangled: waits (ms) by gossip id."""
        rate, waits = decode_hint(message) if self.peers else (None, [])
        if rate is not None:
            self.rates[peer] = now, rate
        return waits

    def peer_rates(self, now: float) -> list[float]:
        """What peers told lately of the requests that came to them."""
        return [rate for told_at, rate in self.rates.values() if now - told_at < RATE_BELIEVED_MS]
