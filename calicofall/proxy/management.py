"""The address where operators call: one line a connection, one answer, then a close.

What a call does is the proxy's to say. Callers are bounded in number and time, so that none of them takes the
descriptors of clients and endpoints.
"""

import asyncio
from collections.abc import Callable

from calicofall.proxy.connection import BufferedConnection, Listener

MAX_OPERATOR_CONNECTIONS = 12  # out of the descriptors that neither clients nor endpoints may use
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
        """Answers the call once its line is whole; what follows it is not read."""
        if self.has_answered:
            return
        line_end = self.input.find(LINE_FEED)
        if 0 <= line_end <= MAX_LINE_BYTES:
            self.dispatch(self.input.take(line_end).rstrip(b"\r"))
        elif len(self.input) > MAX_LINE_BYTES:
            self.answer("-ERR a line too long")

    def dispatch(self, line: bytes) -> None:
        """Has the proxy carry out a call."""
        try:
            call = line.decode("ascii").strip()
        except UnicodeDecodeError:
            self.answer("-ERR not ASCII")
            return
        self.answer(self.management.handle_call(call))

    def answer(self, text: str) -> None:
        """Writes the one answer, and closes."""
        if self.has_answered or self.closed:
            return
        self.has_answered = True
        self.write(text.encode() + b"\n")
        self.close()

    def on_timeout(self) -> None:
        """Ends a caller that has sent no whole line, or doesn't read its answer."""
        if self.has_answered:
            self.abort()
        else:
            self.answer("-ERR no call came")

    def on_close(self) -> None:
        """The connection is over."""
        self.timer.cancel()
        self.management.connections.pop(self, None)


class ManagementServer:
    """Listens for operators; `handle_call` gives the answer to a call."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handle_call: Callable[[str], str]) -> None:
        self.loop = loop
        self.handle_call = handle_call
        self.connections: dict[OperatorConnection, None] = {}  # the oldest first
        self.listener: Listener | None = None

    def listen(self, address: tuple[str, int]) -> None:
        """Starts to listen.

        Raises:
            OSError: The address can't be listened at.
        """
        self.listener = Listener(self.loop, address, self.ensure_capacity, self.add_connection)

    def add_connection(self) -> OperatorConnection:
        """Makes the connection of a new caller."""
        caller = OperatorConnection(self)
        self.connections[caller] = None
        return caller

    def ensure_capacity(self) -> bool:
        """Ends the oldest caller that has not finished its call if there are too many; always True."""
        if len(self.connections) >= MAX_OPERATOR_CONNECTIONS:
            unanswered = next((caller for caller in self.connections if not caller.has_answered), None)
            oldest = unanswered or next(iter(self.connections))
            oldest.abort()
        return True

    def close(self) -> None:
        """Stops listening and ends all callers."""
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.connections):
            caller.abort()
