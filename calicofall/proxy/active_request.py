"""A client's request in flight, as the proxy keeps it: the reply that is due and the command to forward."""

from calicofall.proxy import resp
from calicofall.proxy.client_protocol import build_forwarded_command
from calicofall.proxy.pending_reply import PendingReply
from calicofall.proxy.upstream_command import UpstreamCommand
from calicofall.routing.request import Request


class ActiveRequest:
    """A request in flight, the pending reply to its client, and its command's name and arguments."""

    __slots__ = ("request", "reply", "parts", "command", "streaming_began_at")

    def __init__(self, request: Request, reply: PendingReply | None, parts: list[bytes]) -> None:
        self.request = request
        self.reply = reply
        self.parts = parts
        self.command: UpstreamCommand | None = None
        self.streaming_began_at: float | None = None  # wall clock time (ms)

    def render(self, answer_timeout_ms: float) -> list[bytes]:
        """Returns the command for an endpoint, which has `answer_timeout_ms` to answer it."""
        return resp.encode_command_chunks(build_forwarded_command(self.parts, answer_timeout_ms))
