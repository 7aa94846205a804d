"""The pool of connections to one endpoint: chooses the connection of each command, and opens connections.

Replies carry no id, so a connection has one command at a time. Commands that find no free connection wait in
the pool, in the order of their arrival, until their time is up.

Invariants: a connection is opened only in its handshake slot, which the quota of handshakes assigns, and only
within the quota of connections and the proxy's budget of connections; commands wait only while there is a
connection that they can be sent on later.
"""

import asyncio
from math import inf
from typing import TYPE_CHECKING
from zlib import crc32

from calicofall.proxy.close_cause import CloseCause
from calicofall.proxy.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from calicofall.proxy.upstream import Upstreams
    from calicofall.proxy.upstream_command import UpstreamCommand

MIN_IDLE_CONNECTIONS = 2  # idle or being opened, in addition to those in use
IDLE_REST_S = 0.02  # an idle connection is used last for this time: some endpoints close after a reply
SPARE_CONNECTIONS = 6  # above an endpoint's share of the budget, if other endpoints do not use theirs


class ConnectionPool:
    """The connections to the endpoint `name`."""

    def __init__(self, upstreams: "Upstreams", name: str) -> None:
        self.upstreams = upstreams
        self.name = name
        self.address: tuple[str, int] | None = None
        self.connections: dict[UpstreamConnection, None] = {}  # in the order of their creation
        # Commands that wait for a connection, and until when its handshake may begin (s, the loop's clock).
        self.waiting: dict[UpstreamCommand, float] = {}
        # Set while commands wait for an idle connection to settle.
        self.settle_timer: asyncio.TimerHandle | None = None
        self.send_scheduled = False  # whether `_send_scheduled` runs in the next iteration of the loop
        # When the endpoint's process started (s, the loop's clock). A connection that is older than that was
        # opened to a former process, which may have vanished without a reset.
        self.process_started_at = -inf
        self.listed_start = -inf  # the same as the list tells it, perhaps by a clock that was stepped
        self.accepts_requests = True  # whether the endpoint is neither draining nor gone
        # Rotates the order of the proxies' handshakes, so that a proxy's handshakes with different endpoints
        # are not all at the same time.
        self.order_offset = crc32(name.encode())

    def send(self, command: "UpstreamCommand", max_wait_s: float) -> bool:
        """Sends a command, or lets it wait for a free connection; returns False if it can do neither.

        A connection whose handshake slot is more than `max_wait_s` away is not used.
        """
        self.waiting[command] = self.upstreams.loop.time() + max_wait_s
        command.waiting_pool = self
        self._send_waiting()
        if command.waiting_pool is None:
            return True
        if self._may_wait(command):
            self.upstreams.metrics.connection_waits += 1
            return True
        self.stop_waiting(command)
        return False

    def stop_waiting(self, command: "UpstreamCommand") -> None:
        """Removes a command that waits for a connection."""
        del self.waiting[command]
        command.waiting_pool = None

    def send_waiting_soon(self) -> None:
        """Sends waiting commands in the next iteration of the event loop.

        Not at once, since more input of the connection that became free may have to be processed.
        """
        if self.waiting and not self.send_scheduled:
            self.send_scheduled = True
            self.upstreams.loop.call_soon(self._send_scheduled)

    def on_connection_closed(self, connection: UpstreamConnection) -> None:
        """Removes a connection; commands that wait for it are sent on another one, or have failed."""
        self.connections.pop(connection, None)
        if not self.accepts_requests or not (connection.is_open or self._has_open_connection()):
            self.fail_waiting(connection.outcome_if_unsent())
        else:
            self.send_waiting_soon()

    def fail_waiting(self, outcome: str) -> None:
        """Ends all waiting commands, which have not been sent."""
        for command in list(self.waiting):
            if command.waiting_pool is not None:  # ended by the outcome of another one
                self.stop_waiting(command)
                self.upstreams.loop.call_soon(self.upstreams.finish, command, outcome)

    def acquire(self, max_wait_s: float) -> UpstreamConnection | None:
        """Returns a connection without a command: an open one, one that is being opened, or a new one.

        Of the open ones, the one used last that has rested for IDLE_REST_S comes first. A connection whose
        handshake slot is more than `max_wait_s` away is not used.
        """
        now = self.upstreams.loop.time()
        rested_before = now - IDLE_REST_S
        available = [
            c
            for c in self.connections
            if c.command is None and c.opens_at <= now + max_wait_s and c.may_be_used(now)
        ]
        if len(available) > 1:
            available.sort(key=lambda c: (c.is_open, min(0.0, rested_before - c.idle_since), c.idle_since))
        while available:
            connection = available.pop()
            if not connection.is_open or connection.has_no_unread_input():
                return connection
            connection.abort(CloseCause.UNEXPECTED_INPUT)
        return self.add_connection(max_wait_s) if self._may_grow() else None

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
            MIN_IDLE_CONNECTIONS - sum(c.command is None for c in self.connections),
            self.upstreams.max_connections_per_endpoint - len(self.connections),
        )
        while missing > 0 and self.add_connection() is not None:
            missing -= 1

    def close_unused(self) -> None:
        """Closes connections that are idle or not open yet; commands that wait for any are not sent."""
        for connection in list(self.connections):
            if connection.command is None or not connection.is_open:
                connection.abort(CloseCause.ENDPOINT_LEFT)
        self.fail_waiting("unconnected")

    def set_process_start(self, listed_start: float) -> None:
        """Sets when the endpoint's process started; idle connections to a former process are closed."""
        if listed_start <= self.listed_start:
            return
        self.listed_start = listed_start
        self.process_started_at = min(listed_start, self.upstreams.loop.time())
        for connection in [c for c in self.connections if c.is_idle and not self.is_current(c)]:
            connection.abort(CloseCause.ENDPOINT_LEFT)

    def is_current(self, connection: UpstreamConnection) -> bool:
        """Whether an open connection leads to the endpoint's present process, at its present address."""
        return connection.address == self.address and connection.opened_at >= self.process_started_at

    def close_idle(self, idle_before: float = inf) -> None:
        """Closes the connections that have been idle since before a time (s, the loop's clock)."""
        for connection in [c for c in self.connections if c.is_idle and c.idle_since < idle_before]:
            connection.abort(CloseCause.EXPIRED_IDLE)

    def _may_grow(self) -> bool:
        """Whether a further connection is within this endpoint's share, or in the unused part of the budget.

        A connection whose client accepts no more of a long answer does not count.
        """
        in_use = sum(not c.reading_paused for c in self.connections)
        share = self.upstreams.max_connections_per_endpoint
        return in_use < share or (in_use < share + SPARE_CONNECTIONS and self.upstreams.has_unused_budget())

    def _may_wait(self, command: "UpstreamCommand") -> bool:
        """Whether a connection may become free for a command in time, and not too many commands wait."""
        latest_open_at = self.waiting[command]
        usable = sum(c.opens_at <= latest_open_at and c.address == self.address for c in self.connections)
        return len(self.waiting) <= usable * self.upstreams.max_waiting_per_connection

    def _has_open_connection(self) -> bool:
        return any(connection.is_open for connection in self.connections)

    def _send_scheduled(self) -> None:
        self.send_scheduled = False
        self._send_waiting()
        if self.waiting and not self.connections:
            self.fail_waiting("held")

    def _send_waiting(self) -> None:
        """Sends waiting commands, the first ones first, while there are connections for them."""
        now = self.upstreams.loop.time()
        while self.waiting:
            command, latest_open_at = next(iter(self.waiting.items()))
            connection = self.acquire(max(0.0, latest_open_at - now))
            if connection is None:
                self._send_when_settled(now)
                return
            self.stop_waiting(command)
            connection.send(command)
            self.preconnect()

    def _send_when_settled(self, now: float) -> None:
        """Schedules sending the waiting commands for when the next idle connection has settled."""
        settled_at = [c.settled_at for c in self.connections if c.is_idle and c.settled_at > now]
        if settled_at and self.settle_timer is None:
            self.settle_timer = self.upstreams.loop.call_at(min(settled_at), self._on_settled)

    def _on_settled(self) -> None:
        self.settle_timer = None
        self._send_scheduled()
