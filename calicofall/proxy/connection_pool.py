"""The pool of connections to one endpoint: chooses the connection of each command, and opens connections.

Invariants: a connection is opened only in its handshake slot, which the quota of handshakes assigns, and only
within the quota of connections and the proxy's budget of connections.
"""

from math import inf
from typing import TYPE_CHECKING
from zlib import crc32

from calicofall.proxy.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from calicofall.proxy.upstream import Upstreams

MIN_IDLE_CONNECTIONS = 2  # idle or being opened, in addition to those in use
SPARE_CONNECTIONS = 6  # above the usual maximum, to use in place of connections whose reply is overdue
IDLE_SETTLE_S = 0.02  # an idle connection is used last for this time: some endpoints close after a reply


class ConnectionPool:
    """The connections to the endpoint `name`."""

    def __init__(self, upstreams: "Upstreams", name: str) -> None:
        self.upstreams = upstreams
        self.name = name
        self.address: tuple[str, int] | None = None
        self.connections: dict[UpstreamConnection, None] = {}  # in the order of their creation
        self.accepts_requests = True  # whether the endpoint is neither draining nor gone
        # Rotates the order of the proxies' handshakes, so that a proxy's handshakes with different endpoints
        # are not all at the same time.
        self.order_offset = crc32(name.encode())

    def acquire(self, max_wait_s: float) -> UpstreamConnection | None:
        """Returns the connection for the next command: an idle one, one being opened, or the least busy.

        A connection whose handshake slot is more than `max_wait_s` away is not used.
        """
        now = self.upstreams.loop.time()
        latest_open_at = now + max_wait_s
        settled_before = now - IDLE_SETTLE_S
        available = [c for c in self.connections if not c.pending and c.opens_at <= latest_open_at]
        if len(available) > 1:
            available.sort(key=lambda c: (c.is_open, min(0.0, settled_before - c.idle_since), c.idle_since))
        while available:
            connection = available.pop()
            if not connection.is_open or connection.has_no_unread_input():
                return connection
            connection.abort()
        return self._acquire_busy(max_wait_s, latest_open_at)

    def add_connection(self, max_wait_s: float = 0.0) -> UpstreamConnection | None:
        """Adds a connection if the budgets allow one and its handshake slot is within `max_wait_s`."""
        upstreams = self.upstreams
        quotas = upstreams.connection_quotas
        max_connections = quotas.max_connections
        if max_connections is None:
            max_connections = upstreams.max_connections_per_endpoint + SPARE_CONNECTIONS
        address = self.address
        if address is None or len(self.connections) >= max_connections or not upstreams.has_capacity():
            return None
        now = upstreams.loop.time()
        opens_at = quotas.take_slot(
            self.name, self.order_offset, now, now + upstreams.common_clock_offset_s, max_wait_s > 0.0
        )
        if opens_at > now + max_wait_s:
            quotas.return_slot(self.name, opens_at)
            return None
        connection = UpstreamConnection(self, address)
        self.connections[connection] = None
        connection.opens_at = opens_at
        self.open_when_due(connection)
        return connection

    def open_when_due(self, connection: UpstreamConnection) -> None:
        """Opens a connection in its handshake slot."""
        upstreams = self.upstreams
        now = upstreams.loop.time()
        if connection.closed:
            return
        if connection.opens_at > now:
            upstreams.loop.call_at(connection.opens_at, self.open_when_due, connection)
        elif upstreams.connection_quotas.is_slot_expired(self.name, connection.opens_at, now):
            # The process was suspended while the connection waited, or the slot is leased to another proxy by
            # now. Without new slots, proxies that resume together would open all their connections at once.
            connection.opens_at = upstreams.connection_quotas.take_slot(
                self.name, self.order_offset, now, now + upstreams.common_clock_offset_s
            )
            self.open_when_due(connection)
        else:
            connection.opens_at = 0.0
            upstreams.open_connection(
                upstreams.loop, connection, connection.address, upstreams.connect_timeout_s
            )

    def preconnect(self) -> None:
        """Opens the connections that will be needed next.

        Otherwise requests would wait for a handshake, which a busy endpoint completes after its other work.
        """
        if not self.upstreams.preconnect_enabled or not self.accepts_requests or self.address is None:
            return
        missing = min(
            MIN_IDLE_CONNECTIONS - sum(not c.pending for c in self.connections),
            self.upstreams.max_connections_per_endpoint - len(self.connections),
        )
        while missing > 0 and self.add_connection() is not None:
            missing -= 1

    def close_unused(self) -> None:
        """Closes connections that are idle or not open yet; commands that wait for these are not sent."""
        for connection in list(self.connections):
            if not connection.pending or not connection.is_open:
                connection.abort()

    def close_idle(self, idle_before: float = inf) -> None:
        """Closes the connections that have been idle since before a time (s, the loop's clock)."""
        for connection in [c for c in self.connections if c.is_idle and c.idle_since < idle_before]:
            connection.abort()

    def _acquire_busy(self, max_wait_s: float, latest_open_at: float) -> UpstreamConnection | None:
        """Returns a new connection, or the one with the fewest pending commands; None if there is none."""
        # Over open connections, an endpoint that has stopped responding would let each command run into its
        # timeout. If a new connection is not established, its command is known not to have run.
        responsive = [c for c in self.connections if not c.overdue]
        if len(responsive) < self.upstreams.max_connections_per_endpoint:
            connection = self.add_connection(max_wait_s)
            if connection is not None:
                return connection
        max_pending = self.upstreams.max_pending_per_connection
        usable = [
            c
            for c in responsive or self.connections
            if c.opens_at <= latest_open_at and len(c.pending) < max_pending and c.address == self.address
        ]
        return min(usable, key=lambda c: len(c.pending), default=None)
