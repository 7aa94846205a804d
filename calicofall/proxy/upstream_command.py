"""A command that carries one attempt of a request to an endpoint, from its decision to its outcome."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from calicofall.proxy.upstream_connection import UpstreamConnection


class AnswerSink(Protocol):
    """Where a long answer is passed on to as it comes."""

    def can_accept_chunk(self) -> bool:
        """Whether the next piece may be written."""

    def write_chunk(self, data: bytes) -> None:
        """Takes the next piece."""


class UpstreamCommand:
    """One attempt on its way.

    Args:
        active_request: What the proxy knows of the request.
        attempt_index: The attempt's index among those of its request.
        render: The command's bytes in pieces, by how long is left for its answer (ms) when they go out.
        sent_at_ms: When the attempt was decided (ms, the proxy's clock).
        answer_due_at: Until when its answer is waited for (s, the loop's clock).
        request_due_at: When its request is over (s, the loop's clock).
    """

    __slots__ = (
        "active_request",
        "attempt_index",
        "render",
        "sent_at_ms",
        "answer_due_at",
        "request_due_at",
        "end_offset",
        "connection",
        "timer",
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
        request_due_at: float,
    ) -> None:
        self.active_request = active_request
        self.attempt_index = attempt_index
        self.render = render
        self.sent_at_ms = sent_at_ms
        self.answer_due_at = answer_due_at
        self.request_due_at = request_due_at
        self.end_offset = 0  # where its last byte stands among all that its connection has queued
        self.connection: UpstreamConnection | None = None
        self.timer: asyncio.TimerHandle  # set by who sends it, right after it is made
        self.finished = False
        self.sink: AnswerSink | None = None  # of a long answer
        self.streaming = False  # some of the answer has been passed on
        self.in_flight_endpoint: str | None = None  # the endpoint at which it counts as in flight

    def can_be_withdrawn(self) -> bool:
        """Whether its last byte has not left, so that it has not run."""
        return self.connection is None or self.connection.never_ran(self)
