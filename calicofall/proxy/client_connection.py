"""One client's connection: commands in, replies out in the order of the commands.

Invariants: a command gets one reply; a client that doesn't read, or sends commands that can't be carried out
without end, is cut off. What becomes of a request is the proxy's to say.
"""

import asyncio
import sys
from collections import deque
from collections.abc import Callable
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import TYPE_CHECKING, Any

from calicofall.proxy import resp
from calicofall.proxy.client_protocol import ARGUMENT_COUNTS
from calicofall.proxy.command_parser import CommandParser
from calicofall.proxy.connection import BufferedConnection

if TYPE_CHECKING:
    from calicofall.proxy.clients import ClientConnections

MAX_PIPELINED_COMMANDS = 16
MAX_CONSECUTIVE_ERRORS = 8  # commands that can't be carried out, one after the other


class PendingReply:
    """The place of a reply in its connection's order, until the reply is written."""

    __slots__ = (
        "client",
        "answer",
        "active_request",
        "buffered_bytes",
        "value_size",
        "head_sent",
        "request_next_chunk",
    )

    def __init__(self, client: "ClientConnection", command_bytes: int) -> None:
        self.client = client
        self.buffered_bytes = command_bytes  # memory of the command, and of the answer until it is written
        self.answer: bytes | None = None
        self.active_request: Any = None  # the proxy's
        self.value_size = -1  # of a value that is streamed
        self.head_sent = False  # of a value that is streamed
        self.request_next_chunk: Callable[[], None] | None = (
            None  # asks for the next piece of a streamed value
        )

    def complete(self, answer: bytes) -> None:
        """Gives the whole reply, as RESP2."""
        self.answer = answer
        self.buffered_bytes += len(answer)
        self.client.clients.buffered_bytes += len(answer)
        self.client.write_ready_replies()

    def start_streaming(self, size: int, request_next_chunk: Callable[[], None]) -> None:
        """Announces a value of `size` bytes in pieces; `request_next_chunk` is called when one may come."""
        self.value_size = size
        self.request_next_chunk = request_next_chunk
        self.client.write_ready_replies()

    def can_accept_chunk(self) -> bool:
        """Whether the next piece may come: it is this reply's turn, and the client takes it."""
        return self.head_sent and not self.client.write_paused

    def write_chunk(self, data: bytes) -> None:
        """Writes the next piece of a streamed value."""
        self.client.write(data)

    def abort(self) -> None:
        """Ends a value that won't come whole: the end of the connection tells the client."""
        self.client.abort()


class ClientConnection(BufferedConnection):
    """The connection of one client."""

    def __init__(self, clients: "ClientConnections") -> None:
        super().__init__(clients.loop)
        self.clients = clients
        self.parser = CommandParser(self.input)
        self.replies: deque[PendingReply] = deque()
        self.reading_paused = False
        self.ignores_input = False  # framing is lost, or the client has said QUIT
        self.consecutive_errors = 0
        self.partial_command_bytes = 0  # memory for a command that has begun and not ended
        self.partial_progress_at = 0.0  # when more of it came last
        self.stall_timer: asyncio.TimerHandle | None = None

    def on_data(self) -> None:
        """Carries out the commands that have come whole, as far as replies and memory allow."""
        self.clients.on_first_byte(self)
        self._read_commands()
        if self.ignores_input:
            self.input.drop(len(self.input))
        if self.closed or self.closing:
            return
        pause = self.ignores_input or self._must_pause_reading()
        if pause != self.reading_paused:
            self.reading_paused = pause
            if pause:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def reject_further_input(self, reason: str) -> None:
        """Reads nothing more, and closes once the client has been told why."""
        if not self.ignores_input:
            self.ignores_input = True
            self._add_reply(0).complete(resp.encode_error(f"ERR {reason}"))

    def reject_command(self, reply: PendingReply, reason: str) -> None:
        """Answers a command that can't be carried out; too many in a row end the connection."""
        self.consecutive_errors += 1
        if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            self.ignores_input = True
        reply.complete(resp.encode_error(f"ERR {reason}"))

    def write_ready_replies(self) -> None:
        """Writes the replies whose turn has come, and goes on reading if that was held up by them."""
        while self.replies and not self.write_paused:
            answer = self.replies[0].answer
            if answer is None:
                break
            reply = self.replies.popleft()
            self.clients.buffered_bytes -= reply.buffered_bytes
            self.write(answer)
        if self.replies and not self.write_paused and self._stream(self.replies[0]):
            return
        if not self.replies and not self.closed:
            self._on_all_replied()
        if self.reading_paused and not (self.ignores_input or self.closing):
            self.clients.loop.call_soon(self.on_data)

    def pause_writing(self) -> None:
        """The client takes no more for now; part of asyncio's protocol."""
        super().pause_writing()
        self.check_stall()

    def resume_writing(self) -> None:
        """The client takes more; part of asyncio's protocol."""
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        super().resume_writing()
        self.write_ready_replies()

    def check_stall(self, unsent_before: int = -1) -> None:
        """Cuts off a client that has taken nothing since the last check; else checks again later."""
        unsent = self.unsent_kernel_bytes()
        if unsent_before >= 0 and unsent >= unsent_before:
            self.abort()
            return
        self.stall_timer = self.clients.loop.call_later(
            self.clients.stall_timeout_s, self.check_stall, unsent
        )

    def unsent_kernel_bytes(self) -> int:
        """Bytes that the system holds for the client; the transport tells of its room in large steps only."""
        plain_socket = self.transport.get_extra_info("socket")
        if not plain_socket:
            return 0
        try:
            unsent = ioctl(plain_socket.fileno(), TIOCOUTQ, bytes(4))
        except OSError:
            return 0
        return int.from_bytes(unsent, sys.byteorder)

    def close(self) -> None:
        """Closes behind the last byte."""
        if not (self.closing or self.closed):
            self.clients.on_closing(self)
            super().close()

    def detect_disconnect(self) -> bool:
        """Whether the client has closed, also while reading is paused, which hides its end."""
        if self.reading_paused and not self.closed and self.peer_has_closed():
            self.abort()
        return self.closed

    def on_close(self) -> None:
        """The connection is over: requests of replies that are still owed are called off."""
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        self.clients.remove_client(self)
        replies, self.replies = self.replies, deque()
        for reply in replies:
            self.clients.buffered_bytes -= reply.buffered_bytes
            if reply.answer is None:
                self.clients.on_client_disconnected(reply)

    def _read_commands(self) -> None:
        while not (self.ignores_input or self.closing or self.closed):
            if self._must_pause_reading():
                return
            try:
                command = self.parser.read()
            except resp.ProtocolError as error:
                self.reject_further_input(str(error))
                return
            if command is resp.INCOMPLETE:
                self.clients.update_partial_command(self, self.parser.has_partial_message())
                return
            self.clients.update_partial_command(self, False)
            self._handle_command(command)

    def _must_pause_reading(self) -> bool:
        """Whether the replies owed, or the memory of all clients, allow no further command."""
        has_memory = self.clients.buffered_bytes < self.clients.read_ahead_bytes
        max_replies = MAX_PIPELINED_COMMANDS if has_memory else 1
        return (
            self.write_paused or self in self.clients.waiting_for_memory or len(self.replies) >= max_replies
        )

    def _add_reply(self, command_bytes: int) -> PendingReply:
        reply = PendingReply(self, command_bytes)
        self.replies.append(reply)
        self.clients.buffered_bytes += command_bytes
        self.clients.mark_busy(self)
        return reply

    def _handle_command(self, command: object) -> None:
        if not isinstance(command, list) or not command or not all(type(part) is bytes for part in command):
            self.reject_command(self._add_reply(0), "a command is an array of bulk strings")
            return
        reply = self._add_reply(sum(map(len, command)))
        name = command[0].upper()
        if name in ARGUMENT_COUNTS:
            self.clients.on_request(reply, [name, *command[1:]])
        elif name == b"PING":
            self._handle_ping(reply, command)
        elif name == b"QUIT":
            self.ignores_input = True
            reply.complete(resp.encode_simple_string("OK"))
        else:
            self.reject_command(reply, "unknown command")

    def _handle_ping(self, reply: PendingReply, command: list[bytes]) -> None:
        if self.clients.rejects_ping:
            reply.complete(resp.encode_error("ERR emptying"))
        elif len(command) == 1:
            reply.complete(resp.encode_simple_string("PONG"))
        elif len(command) == 2:
            reply.complete(resp.encode_bulk(command[1]))
        else:
            self.reject_command(reply, "wrong number of arguments")

    def _stream(self, reply: PendingReply) -> bool:
        """Asks for the next piece of a streamed value; False if the reply is none."""
        if reply.request_next_chunk is None:
            return False
        if not reply.head_sent:
            reply.head_sent = True
            self.write(b"$%d\r\n" % reply.value_size)
        reply.request_next_chunk()
        return True

    def _on_all_replied(self) -> None:
        shuts_down = self.clients.close_after_reply
        if self.ignores_input or (shuts_down and not len(self.input)):  # input that has come is answered
            self.close()
        elif not shuts_down:
            self.clients.mark_idle(self)
