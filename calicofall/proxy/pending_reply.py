"""The reply to one command of a client, which keeps its position in the order of the commands."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from calicofall.proxy.client_connection import ClientConnection


class PendingReply:
    """A reply that is due on a connection; it keeps its position in the order until it is written."""

    __slots__ = (
        "client",
        "answer",
        "active_request",
        "buffered_bytes",
        "waited_s",
        "value_size",
        "head_sent",
        "request_next_chunk",
    )

    def __init__(self, client: "ClientConnection", command_bytes: int) -> None:
        self.client = client
        self.buffered_bytes = command_bytes  # memory of the command, and of the answer until it is written
        self.waited_s = 0.0  # until it was read, of the time that the request has from its last byte on
        self.answer: bytes | None = None
        self.active_request: Any = None  # the proxy's state of the request
        self.value_size = -1  # of a streamed value
        self.head_sent = False  # whether the head of a streamed value was written
        self.request_next_chunk: Callable[[], None] | None = None  # requests more of a streamed value

    def complete(self, answer: bytes) -> None:
        """Sets the complete reply, encoded as RESP2."""
        self.answer = answer
        self.buffered_bytes += len(answer)
        self.client.clients.memory.add_buffered(len(answer))
        self.client.write_ready_replies()

    def start_streaming(self, size: int, request_next_chunk: Callable[[], None]) -> None:
        """Starts a streamed value of `size` bytes; `request_next_chunk` is called for each chunk."""
        self.value_size = size
        self.request_next_chunk = request_next_chunk
        self.client.write_ready_replies()

    def can_accept_chunk(self) -> bool:
        """Whether this reply is the next in the order and the client accepts output."""
        return self.head_sent and not self.client.write_paused

    def write_chunk(self, data: bytes) -> None:
        """Writes the next chunk of a streamed value."""
        self.client.write(data)

    def truncate(self) -> None:
        """Ends the connection behind the part of a streamed value that was written."""
        self.client.close_truncated()
