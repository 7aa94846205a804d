"""All connections of clients: their budget of descriptors and memory, and the time that each may take.

Descriptors are shared with the connections to endpoints. A connection that is of no use to its client goes
for a new one; clients that send half a command, or nothing, are ended after a time.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Sequence

from calicofall.proxy.client_connection import ClientConnection, PendingReply

FIRST_BYTE_TIMEOUT_S = 2.3
COMMAND_TIMEOUT_S = 2.5  # in which a command comes whole, or more of a long one comes
LONG_COMMAND_FACTOR = 4  # times as long until a long command is whole
MIN_STALL_TIMEOUT_S = 2.5  # in which a client takes some of what is written to it
EXCESS_IDLE_TIMEOUT_S = 0.1  # that a connection may be idle between requests where many are
IDLE_BUDGET_DIVISOR = 8  # more than this part of the connections idle is many
SHUTDOWN_TIMEOUT_S = 0.1  # for a first byte and for a command, during a shutdown
FRESH_CONNECTION_S = 0.25  # in which a connection without a byte doesn't count as silent


class ClientConnections:
    """The connections of clients, by what is known of their use; each table has the longest first.

    Args:
        loop: The event loop.
        max_connections: Descriptors for clients and endpoints together.
        read_ahead_bytes: Memory of commands and replies from which on no command is read ahead.
        stall_timeout_s: In which a client takes something of what is written to it.
        on_request: Called with the reply that is owed and the parts of a request's command.
        on_client_disconnected: Called with each reply that was owed to a client that has left.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        read_ahead_bytes: int,
        stall_timeout_s: float,
        on_request: Callable[[PendingReply, list[bytes]], None],
        on_client_disconnected: Callable[[PendingReply], None],
    ) -> None:
        self.loop = loop
        self.max_connections = max(1, max_connections)
        self.read_ahead_bytes = read_ahead_bytes
        self.stall_timeout_s = max(stall_timeout_s, MIN_STALL_TIMEOUT_S)
        self.on_request = on_request
        self.on_client_disconnected = on_client_disconnected
        self.count_other_connections: Callable[[], int] = lambda: 0  # that share the budget
        self.connections: set[ClientConnection] = set()
        # Since when, on the loop's clock.
        self.without_first_byte: OrderedDict[ClientConnection, float] = OrderedDict()
        self.idle: OrderedDict[ClientConnection, float] = OrderedDict()
        self.partial_commands: OrderedDict[ClientConnection, float] = OrderedDict()  # a command has begun
        self.closing: dict[ClientConnection, None] = {}  # shut for writing
        self.waiting_for_memory: set[ClientConnection] = set()  # of those with a partial command
        self.close_after_reply = False
        self.rejects_ping = False
        self.first_byte_timeout_s = FIRST_BYTE_TIMEOUT_S
        self.command_timeout_s = COMMAND_TIMEOUT_S
        self.buffered_bytes = 0  # of commands and replies
        self.partial_command_bytes = 0  # of commands that have begun and not ended

    def add_client(self) -> ClientConnection:
        """Makes the connection of a new client."""
        client = ClientConnection(self)
        self.connections.add(client)
        self.without_first_byte[client] = self.loop.time()
        return client

    def ensure_capacity(self) -> bool:
        """Whether one more connection fits in the budget; the least useful one goes for it if need be."""
        if self._has_capacity():
            return True
        victim = self._least_useful()
        if victim is None:
            return False
        victim.abort()
        return True

    def reduce_max_connections(self, max_connections: int) -> None:
        """Takes a smaller budget: closing and idle connections go for it."""
        self.max_connections = max(1, max_connections)
        while (self.closing or self.idle) and self._total() > self.max_connections:
            next(iter(self.closing or self.idle)).abort()

    def on_first_byte(self, client: ClientConnection) -> None:
        """The client has sent something."""
        if self.without_first_byte.pop(client, None) is not None:
            self.idle[client] = self.loop.time()

    def update_partial_command(self, client: ClientConnection, has_partial: bool) -> None:
        """Notes whether a command has begun and not ended, and keeps such commands within the memory."""
        partial_command_bytes = len(client.input.memory) + client.parser.bulk_bytes_read if has_partial else 0
        self.partial_command_bytes += partial_command_bytes - client.partial_command_bytes
        client.partial_command_bytes = partial_command_bytes
        if has_partial:
            client.partial_progress_at = self.loop.time()
            self.partial_commands.setdefault(client, client.partial_progress_at)
            self.idle.pop(client, None)  # a slow client is not idle in the middle of its command
        else:
            self.partial_commands.pop(client, None)
            self.waiting_for_memory.discard(client)
        while self.partial_command_bytes > self.read_ahead_bytes and len(self.partial_commands) > 1:
            if has_partial and client.parser.is_reading_long_value:
                self._wait_for_memory(client)
                return
            oldest = next(
                (other for other in self.partial_commands if other not in self.waiting_for_memory), None
            )
            if oldest is None:
                return
            self.reject_partial_command(oldest, "too much has come in halves")
        self._resume_waiting()

    def reject_partial_command(self, client: ClientConnection, reason: str) -> None:
        """Ends a connection whose command won't be waited for."""
        self.update_partial_command(client, False)
        client.reject_further_input(reason)
        client.on_data()

    def close_overdue(self) -> None:
        """Ends connections that have kept the proxy waiting for too long; called at intervals."""
        now = self.loop.time()
        silent_since = now - self.first_byte_timeout_s
        for client in [one for one, since in self.without_first_byte.items() if since < silent_since]:
            client.close()
        for client in [one for one in self.connections if one.reading_paused]:
            client.detect_disconnect()
        self.close_excess_idle()
        overdue_since = now - self.command_timeout_s
        for client in [one for one, since in self.partial_commands.items() if since < overdue_since]:
            if not self._may_go_on(client, now, overdue_since):
                self.reject_partial_command(client, "a command that does not end")

    def close_excess_idle(self) -> None:
        """Closes idle connections where they take too much of the budget: others lack it to ask with."""
        idle_since = self.loop.time() - EXCESS_IDLE_TIMEOUT_S
        while len(self.idle) > self.max_connections // IDLE_BUDGET_DIVISOR:
            client, since = next(iter(self.idle.items()))
            if since > idle_since:
                return
            client.close()

    def on_closing(self, client: ClientConnection) -> None:
        """The client is owed nothing more: only its end is waited for."""
        self.without_first_byte.pop(client, None)
        self.idle.pop(client, None)
        self.update_partial_command(client, False)
        self.closing[client] = None

    def mark_busy(self, client: ClientConnection) -> None:
        """The client is owed a reply."""
        self.idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """The client is owed nothing for now."""
        self.idle.pop(client, None)
        self.idle[client] = self.loop.time()
        self.close_excess_idle()

    def remove_client(self, client: ClientConnection) -> None:
        """The connection is over."""
        self.update_partial_command(client, False)
        self.connections.discard(client)
        self.without_first_byte.pop(client, None)
        self.idle.pop(client, None)
        self.closing.pop(client, None)

    def close_idle(self) -> None:
        """Closes idle connections; new ones, and those with a command that has begun, may still ask."""
        self.first_byte_timeout_s = SHUTDOWN_TIMEOUT_S
        for client in list(self.idle):
            client.close()

    def close_unfinished(self) -> None:
        """From here on no client is waited for."""
        self.command_timeout_s = SHUTDOWN_TIMEOUT_S
        self.close_idle()
        self.close_overdue()

    def cancel_shutdown(self) -> None:
        """Undoes a shutdown: connections are kept again."""
        self.close_after_reply = False
        self.rejects_ping = False
        self.first_byte_timeout_s = FIRST_BYTE_TIMEOUT_S
        self.command_timeout_s = COMMAND_TIMEOUT_S

    def _total(self) -> int:
        return len(self.connections) + self.count_other_connections()

    def _has_capacity(self) -> bool:
        return self._total() < self.max_connections

    def _least_useful(self) -> ClientConnection | None:
        """The connection that goes for a new one: closing, silent, or idle longest."""
        fresh_since = self.loop.time() - FRESH_CONNECTION_S
        silent = (client for client, since in self.without_first_byte.items() if since < fresh_since)
        candidates: Sequence[ClientConnection | None] = (
            next(iter(self.closing), None),
            next(silent, None),
            next(iter(self.idle), None),
            next(iter(self.without_first_byte), None),
            next(iter(self.partial_commands), None),
        )
        return next((client for client in candidates if client is not None), None)

    def _wait_for_memory(self, client: ClientConnection) -> None:
        """Holds back a long command while another long one goes on."""
        others = self.partial_commands.keys() - self.waiting_for_memory - {client}
        if any(other.parser.is_reading_long_value for other in others):
            self.waiting_for_memory.add(client)

    def _resume_waiting(self) -> None:
        waiting, self.waiting_for_memory = self.waiting_for_memory, set()
        for client in waiting:
            now = self.loop.time()
            self.partial_commands[client] = now
            client.partial_progress_at = now
            self.loop.call_soon(client.on_data)

    def _may_go_on(self, client: ClientConnection, now: float, overdue_since: float) -> bool:
        """Whether an overdue command is waited for: a long one that grows, or that waits for memory."""
        makes_progress = client.parser.is_reading_long_value and client.partial_progress_at >= overdue_since
        if not (client in self.waiting_for_memory or makes_progress):
            return False
        return self.partial_commands.get(client, now) >= now - LONG_COMMAND_FACTOR * self.command_timeout_s
