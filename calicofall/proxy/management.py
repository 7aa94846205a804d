"""The server for operators' calls: each connection sends one line, gets one answer, and is closed.

The proxy carries out the calls. The connections are limited in number and time, so that they do not use the
descriptors of clients and endpoints.
"""

import asyncio
from collections.abc import Callable

from calicofall.proxy.connection import BufferedConnection, Listener

MAX_OPERATOR_CONNECTIONS = 12  # taken from the descriptors that clients and endpoints must not use
MAX_LINE_BYTES = 256
CALL_TIMEOUT_S = 6.0
LINE_FEED = 10


class OperatorConnection(BufferedConnection):
    """The connection of one operator."""

    def __init__(self, management: "ManagementServer") -> None:
        super().__init__(management.loop)
        self.management = management
        self.has_answered = False
        self.timer = management.loop.call_later(CALL_TIMEOUT_S, self.on_timeout)

    def on_data(self) -> None:
        """Answers the call once its line is complete; input after the line is ignored."""
        if self.has_answered:
            return
        line_end = self.input.find(LINE_FEED)
        if 0 <= line_end <= MAX_LINE_BYTES:
            self.dispatch(self.input.take(line_end).rstrip(b"\r"))
        elif len(self.input) > MAX_LINE_BYTES:
            self.answer("-ERR a line too long")

    def dispatch(self, line: bytes) -> None:
        """Passes a call to the proxy and sends its answer."""
        try:
            call = line.decode("ascii").strip()
        except UnicodeDecodeError:
            self.answer("-ERR not ASCII")
            return
        self.answer(self.management.handle_call(call))

    def answer(self, text: str) -> None:
        """Writes the connection's only answer and closes the connection."""
        if self.has_answered or self.closed:
            return
        self.has_answered = True
        self.write(text.encode() + b"\n")
        self.close()

    def on_timeout(self) -> None:
        """Ends a connection without a complete line, or whose operator does not read the answer."""
        if self.has_answered:
            self.abort()
        else:
            self.answer("-ERR no call came")

    def on_close(self) -> None:
        """Removes the closed connection."""
        self.timer.cancel()
        self.management.connections.pop(self, None)


class ManagementServer:
    """Listens for operators; `handle_call` carries out a call and returns its answer."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handle_call: Callable[[str], str]) -> None:
        self.loop = loop
        self.handle_call = handle_call
        self.connections: dict[OperatorConnection, None] = {}  # in the order in which they were accepted
        self.listener: Listener | None = None

    def listen(self, address: tuple[str, int]) -> None:
        """Starts to listen.

        Raises:
            OSError: The address is unavailable.
        """
        self.listener = Listener(self.loop, address, self.ensure_capacity, self.add_connection)

    def add_connection(self) -> OperatorConnection:
        """Creates the connection of an operator."""
        connection = OperatorConnection(self)
        self.connections[connection] = None
        return connection

    def ensure_capacity(self) -> bool:
        """Aborts the oldest unanswered connection, or the oldest one, if there are too many; returns True."""
        if len(self.connections) >= MAX_OPERATOR_CONNECTIONS:
            unanswered = next((c for c in self.connections if not c.has_answered), None)
            oldest = unanswered or next(iter(self.connections))
            oldest.abort()
        return True

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.abort()
