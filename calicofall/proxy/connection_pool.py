"""The connections to one endpoint: which one takes the next command, and when another is opened.

Invariants: a connection is opened only in its turn, which the quota of handshakes gives, and only within the
quota and the proxy's budget of connections.
"""

from math import inf
from typing import TYPE_CHECKING
from zlib import crc32

from calicofall.proxy.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from calicofall.proxy.upstream import Upstreams

MIN_IDLE_CONNECTIONS = 2  # kept idle or coming up, beside those in use
SPARE_CONNECTIONS = 6  # beyond the usual number, beside those whose reply is overdue
SETTLE_S = 0.02  # in which an idle connection is used last: some endpoints close right behind a reply


class ConnectionPool:
    """The connections to the endpoint `name`."""

    def __init__(self, upstreams: "Upstreams", name: str) -> None:
        self.upstreams = upstreams
        self.name = name
        self.address: tuple[str, int] | None = None
        self.connections: dict[UpstreamConnection, None] = {}  # in the order in which they were made
        self.accepts_requests = True  # neither draining nor gone
        # Moves the order of proxies' turns, so that a proxy's turns at all endpoints are not at one time.
        self.order_offset = crc32(name.encode())

    def acquire(self, max_wait_s: float) -> UpstreamConnection | None:
        """The connection for the next command: an idle one, one that comes up, or the least busy.

        One whose turn to be opened comes later than `patience_s` is not waited for.
        """
        now = self.upstreams.loop.time()
        latest = now + max_wait_s
        settled = now - SETTLE_S
        free = [one for one in self.connections if not one.pending and one.opens_at <= latest]
        if len(free) > 1:
            free.sort(key=lambda one: (one.is_open, min(0.0, settled - one.idle_since), one.idle_since))
        while free:
            connection = free.pop()
            if not connection.is_open or connection.has_no_unread_input():
                return connection
            connection.abort()
        return self._acquire_busy(max_wait_s, latest)

    def add_connection(self, max_wait_s: float = 0.0) -> UpstreamConnection | None:
        """Makes one more connection, if there is room for it, and its turn comes within `patience_s`."""
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
        """Opens a connection once its turn has come."""
        upstreams = self.upstreams
        now = upstreams.loop.time()
        if connection.closed:
            return
        if connection.opens_at > now:
            upstreams.loop.call_at(connection.opens_at, self.open_when_due, connection)
        elif upstreams.connection_quotas.is_slot_expired(self.name, connection.opens_at, now):
            # The process was stopped while it waited, or the turn is another proxy's by now. Proxies that
            # wake together would otherwise all open their connections at once.
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

        Without this requests would wait for a handshake, which a busy endpoint does behind its other work.
        """
        if not self.upstreams.preconnect_enabled or not self.accepts_requests or self.address is None:
            return
        missing = min(
            MIN_IDLE_CONNECTIONS - sum(not one.pending for one in self.connections),
            self.upstreams.max_connections_per_endpoint - len(self.connections),
        )
        while missing > 0 and self.add_connection() is not None:
            missing -= 1

    def close_unused(self) -> None:
        """Closes what is idle or not open yet; commands that wait for it are not sent."""
        for connection in list(self.connections):
            if not connection.pending or not connection.is_open:
                connection.abort()

    def close_idle(self, idle_before: float = inf) -> None:
        """Closes the connections that have been idle since before a time (s, the loop's clock)."""
        for connection in [one for one in self.connections if one.is_idle and one.idle_since < idle_before]:
            connection.abort()

    def _acquire_busy(self, max_wait_s: float, latest: float) -> UpstreamConnection | None:
        """A new connection, or the one on which the fewest commands wait."""
        # An endpoint that has fallen silent would, over connections that are open, take command after command
        # to its time-out; a new connection that does not come up proves that its command has not run.
        prompt = [one for one in self.connections if not one.overdue]
        if len(prompt) < self.upstreams.max_connections_per_endpoint:
            connection = self.add_connection(max_wait_s)
            if connection is not None:
                return connection
        max_pending = self.upstreams.max_pending_per_connection
        usable = [
            one
            for one in prompt or self.connections
            if one.opens_at <= latest and len(one.pending) < max_pending and one.address == self.address
        ]
        return min(usable, key=lambda one: len(one.pending), default=None)
