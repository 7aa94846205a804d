"""All connections of clients: their budget of descriptors and memory, and their time limits.

The budget of descriptors is shared with the connections to endpoints. When it is used up, the least useful
connection of a client is closed for a new one. A client that sends nothing, or an incomplete command, is
disconnected after a timeout.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence

from calicofall.proxy.client_connection import NO_PARTIAL_COMMAND, ClientConnection
from calicofall.proxy.close_cause import CloseCause
from calicofall.proxy.command_memory import CommandMemory
from calicofall.proxy.kernel_buffers import discard_unread_input, unread_bytes
from calicofall.proxy.pending_reply import PendingReply

FIRST_BYTE_TIMEOUT_S = 2.3
COMMAND_TIMEOUT_S = 2.5  # for a complete command, or for more input of a long one
LONG_COMMAND_FACTOR = 4  # multiple of the command timeout within which a long command must be complete
MIN_STALL_TIMEOUT_S = 2.5  # lower bound of the time in which a client has to accept some of the output
EXCESS_IDLE_TIMEOUT_S = 0.1  # between two requests, while too many connections are idle
IDLE_BUDGET_DIVISOR = 8  # too many are idle when they exceed the budget divided by this number
SHUTDOWN_TIMEOUT_S = 0.1  # for the first byte and for a command, during a shutdown
MAX_RELEASING_DESCRIPTORS = 4  # of closed connections, while further ones are accepted
FRESH_CONNECTION_S = 0.25  # up to which a connection without (further) input does not count as silent


class ClientConnections:
    """The connections of clients, grouped by state; the oldest entry of each table is the first.

    Args:
        loop: The event loop.
        max_connections: Maximum number of connections to clients and endpoints together.
        memory: The memory of commands and replies.
        stall_timeout_s: Time in which a client has to accept some output; MIN_STALL_TIMEOUT_S at least.
        on_request: Called with the reply that is due and the parts of a request's command.
        find_time_left_s: Returns a request's time (s) from the parts of its command before its value.
        on_client_disconnected: Called with each reply that was still due to a client that disconnected.
    """

    def __init__(  # noqa: PLR0913 - parts of the proxy, passed once
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        memory: CommandMemory,
        stall_timeout_s: float,
        on_request: Callable[[PendingReply, list[bytes]], None],
        find_time_left_s: Callable[[list[bytes]], float],
        on_client_disconnected: Callable[[PendingReply], None],
    ) -> None:
        self.loop = loop
        self.max_connections = max(1, max_connections)
        self.memory = memory
        self.stall_timeout_s = max(stall_timeout_s, MIN_STALL_TIMEOUT_S)
        self.on_request = on_request
        self.find_time_left_s = find_time_left_s
        self.on_client_disconnected = on_client_disconnected
        self.count_other_connections: Callable[[], int] = lambda: 0  # to endpoints, within the same budget
        self.connections: set[ClientConnection] = set()
        # Each of these tables: the time of entry into the state (s, the loop's clock).
        self.without_first_byte: OrderedDict[ClientConnection, float] = OrderedDict()
        self.idle: OrderedDict[ClientConnection, float] = OrderedDict()
        self.partial_commands: OrderedDict[ClientConnection, float] = OrderedDict()
        self.closing: dict[ClientConnection, None] = {}  # waiting for the client to close, too
        self.releasing: set[ClientConnection] = set()  # closed, but still with a descriptor
        # Set during a graceful shutdown: connections close after their next reply, and PING gets an error.
        self.close_after_reply = False
        self.rejects_ping = False
        self.first_byte_timeout_s = FIRST_BYTE_TIMEOUT_S
        self.command_timeout_s = COMMAND_TIMEOUT_S

    def add_client(self) -> ClientConnection:
        """Creates the connection of a new client."""
        client = ClientConnection(self)
        self.connections.add(client)
        self.without_first_byte[client] = self.loop.time()
        return client

    def ensure_capacity(self) -> bool:
        """Returns whether one more connection fits in the budget; closes the least useful one if needed."""
        if self._has_capacity():
            return True
        least_useful = self._least_useful()
        if least_useful is None:
            return False
        least_useful.abort(CloseCause.REPLACED)
        return True

    def awaits_release(self) -> bool:
        """Whether so many closed connections still have a descriptor that no other one is accepted."""
        return len(self.releasing) >= MAX_RELEASING_DESCRIPTORS

    def set_max_connections(self, max_connections: int) -> None:
        """Sets the budget and closes connections over it: first closing ones, then idle ones.

        One whose client has not received all output ends only behind it.
        """
        self.max_connections = max(1, max_connections)
        excess = max(0, self._total() - self.max_connections)
        for client in [*self.closing, *self.idle][:excess]:
            if client.has_due_output():
                client.close(CloseCause.REPLACED)
            else:
                client.abort(CloseCause.REPLACED)

    def on_first_byte(self, client: ClientConnection) -> None:
        """Marks the client as idle when its first input arrives."""
        if self.without_first_byte.pop(client, None) is not None:
            self.idle[client] = self.loop.time()

    def update_partial_command(self, client: ClientConnection, has_partial: bool) -> None:
        """Updates whether a client has sent an incomplete command, and bounds the memory of short ones."""
        former_short, former_reserved = client.partial_bytes
        client.partial_bytes = client.measure_partial_command() if has_partial else NO_PARTIAL_COMMAND
        if has_partial:
            client.note_progress()
            self.partial_commands.setdefault(client, client.partial_progress_at)
            self.idle.pop(client, None)  # a slow client is not idle while it sends a command
        else:
            self.partial_commands.pop(client, None)
            self.memory.stop_waiting(client)
        short, reserved = client.partial_bytes
        self.memory.add_partial(short - former_short, reserved - former_reserved)
        while self.memory.short_bytes > self.memory.read_ahead_bytes:
            oldest = next(other for other in self.partial_commands if other.partial_bytes[0])
            self.reject_partial_command(oldest, "too many incomplete commands")

    def reject_partial_command(self, client: ClientConnection, reason: str) -> None:
        """Closes a connection whose command is incomplete, with an error reply."""
        self.update_partial_command(client, False)
        client.note_close_cause(CloseCause.INCOMPLETE_COMMAND)
        client.reject_further_input(reason)
        client.on_data()

    def close_overdue(self) -> None:
        """Closes connections whose first byte or command is overdue; called at intervals."""
        now = self.loop.time()
        silent_before = now - self.first_byte_timeout_s
        for client in [client for client, since in self.without_first_byte.items() if since < silent_before]:
            client.close(CloseCause.SILENT)
        # A transport whose reading is paused does not report that the client has closed.
        for client in [client for client in self.connections if client.reading_paused]:
            client.detect_disconnect()
        self.close_excess_idle()
        overdue_before = now - self.command_timeout_s
        for client in [client for client, since in self.partial_commands.items() if since < overdue_before]:
            if not self._may_go_on(client, now, overdue_before):
                self.reject_partial_command(client, "a command that does not end")

    def close_excess_idle(self) -> None:
        """Closes idle connections while they use so much of the budget that active clients would lack it."""
        idle_before = self.loop.time() - EXCESS_IDLE_TIMEOUT_S
        while len(self.idle) > self.max_connections // IDLE_BUDGET_DIVISOR:
            client, since = next(iter(self.idle.items()))
            if since > idle_before:
                return
            client.close(CloseCause.EXCESS_IDLE)

    def on_closing(self, client: ClientConnection) -> None:
        """Records that a connection is closing: no reply is due, and only the client's close is awaited."""
        self.without_first_byte.pop(client, None)
        self.idle.pop(client, None)
        self.update_partial_command(client, False)
        self.closing[client] = None

    def mark_busy(self, client: ClientConnection) -> None:
        """Removes a client from the idle ones, since a reply to it is due."""
        self.idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """Adds a client to the idle ones, since no reply to it is due."""
        self.idle.pop(client, None)
        self.idle[client] = self.loop.time()
        self.close_excess_idle()

    def remove_client(self, client: ClientConnection) -> None:
        """Removes a closed connection from all tables."""
        self.update_partial_command(client, False)
        self.connections.discard(client)
        if not client.descriptor_released:
            self.releasing.add(client)
        self.without_first_byte.pop(client, None)
        self.idle.pop(client, None)
        self.closing.pop(client, None)

    def discard_unread_input(self) -> None:
        """Discards all unread input, over which the end of the process would reset the connections."""
        for client in self.connections:
            discard_unread_input(client.transport)

    def close_idle(self) -> None:
        """Closes idle connections, but not those without input yet or with an incomplete command."""
        self.first_byte_timeout_s = SHUTDOWN_TIMEOUT_S
        for client in list(self.idle):
            client.close(CloseCause.SHUTDOWN)

    def close_unfinished(self) -> None:
        """Closes connections without a complete command, and reduces their timeout to that of a shutdown."""
        self.command_timeout_s = SHUTDOWN_TIMEOUT_S
        self.close_idle()
        self.close_overdue()

    def cancel_shutdown(self) -> None:
        """Restores normal operation: connections stay open again, with the usual timeouts."""
        self.close_after_reply = False
        self.rejects_ping = False
        self.first_byte_timeout_s = FIRST_BYTE_TIMEOUT_S
        self.command_timeout_s = COMMAND_TIMEOUT_S

    def _total(self) -> int:
        return len(self.connections) + self.count_other_connections()

    def _has_capacity(self) -> bool:
        return self._total() < self.max_connections

    def _least_useful(self) -> ClientConnection | None:
        """Returns the connection to close for a new one.

        In this order: one that is closing, one that has been silent since it was accepted, the longest idle
        one, a fresh one without input, one with an incomplete command. None to whose client a reply is due,
        or whose client has not received all output: the close of a socket over unread input discards it. And
        none whose input is unread, or whose command waits for memory or is still arriving.
        """
        silent_before = self.loop.time() - FRESH_CONNECTION_S
        oldest_without_input = next(
            (client for client in self.without_first_byte if not unread_bytes(client.transport)), None
        )
        is_silent = (
            oldest_without_input is not None and self.without_first_byte[oldest_without_input] < silent_before
        )
        candidates: Sequence[ClientConnection | None] = (
            first_without_due(self.closing),
            oldest_without_input if is_silent else None,
            first_without_due(client for client in self.idle if not unread_bytes(client.transport)),
            oldest_without_input,
            first_without_due(client for client in self.partial_commands if self._awaits_input(client)),
        )
        return next((client for client in candidates if client is not None), None)

    def _awaits_input(self, client: ClientConnection) -> bool:
        """Whether an incomplete command has not all arrived, as far as the proxy can tell."""
        is_fresh = client.partial_progress_at >= self.loop.time() - FRESH_CONNECTION_S
        is_arriving = client.parser.is_reading_long_value and is_fresh
        return not (is_arriving or client in self.memory.waiting or unread_bytes(client.transport))

    def _may_go_on(self, client: ClientConnection, now: float, overdue_before: float) -> bool:
        """Returns whether an overdue command may go on: a long one that grows or that waits for memory."""
        makes_progress = client.parser.is_reading_long_value and client.partial_progress_at >= overdue_before
        if not (client in self.memory.waiting or makes_progress):
            return False
        return self.partial_commands.get(client, now) >= now - LONG_COMMAND_FACTOR * self.command_timeout_s


def first_without_due(clients: Iterable[ClientConnection]) -> ClientConnection | None:
    """Returns the first client that has received every reply due to it, or None."""
    return next((client for client in clients if not client.has_due_output()), None)
