"""The command with which one attempt of a request is sent to an endpoint, until its outcome is known."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from calicofall.proxy.connection_pool import ConnectionPool
    from calicofall.proxy.upstream_connection import UpstreamConnection


class AnswerSink(Protocol):
    """The destination of a long answer that is forwarded as it arrives."""

    def can_accept_chunk(self) -> bool:
        """Whether the next chunk may be written."""

    def write_chunk(self, data: bytes) -> None:
        """Writes the next chunk."""


class UpstreamCommand:
    """The state of one attempt that is in flight.

    Args:
        active_request: The proxy's state of the request.
        attempt_index: The attempt's index among the attempts of its request.
        render: Returns the command's bytes in chunks; its argument is the time left for the answer when they
            are written (ms).
        sent_at_ms: When the router decided on the attempt (ms, the proxy's clock).
        answer_due_at: When the attempt times out (s, the loop's clock).
    """

    __slots__ = (
        "active_request",
        "attempt_index",
        "render",
        "sent_at_ms",
        "answer_due_at",
        "end_offset",
        "connection",
        "waiting_pool",
        "timer",
        "unsent_repeat_timer",
        "finished",
        "sink",
        "streaming",
        "in_flight_endpoint",
    )

    def __init__(
        self,
        active_request: Any,
        attempt_index: int,
        render: Callable[[float], list[bytes]],
        sent_at_ms: float,
        answer_due_at: float,
    ) -> None:
        self.active_request = active_request
        self.attempt_index = attempt_index
        self.render = render
        self.sent_at_ms = sent_at_ms
        self.answer_due_at = answer_due_at
        self.end_offset = 0  # offset of its end in all bytes queued on its connection; 0 before it is written
        self.connection: UpstreamConnection | None = None
        self.waiting_pool: ConnectionPool | None = None  # in which it waits for a connection
        self.timer: asyncio.TimerHandle  # of the timeout; set by the sender right after the construction
        self.unsent_repeat_timer: asyncio.TimerHandle | None = None  # ends a repeat that was not written
        self.finished = False
        self.sink: AnswerSink | None = None  # of a long answer
        self.streaming = False  # whether a part of the answer has been forwarded
        self.in_flight_endpoint: str | None = None  # the endpoint whose quota counts it as in flight

    def can_be_withdrawn(self) -> bool:
        """Whether its last byte has not been sent, so that it cannot have run."""
        return self.connection is None or self.connection.never_ran(self)
