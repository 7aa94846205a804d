"""The connection of one client: reads commands and writes the replies in the order of the commands.

Invariants: each command gets one reply; a client that does not read, or that keeps sending invalid commands,
is disconnected. The proxy processes the requests.
"""

import asyncio
import logging
from typing import TYPE_CHECKING

from calicofall.proxy import resp
from calicofall.proxy.client_protocol import ARGUMENT_COUNTS
from calicofall.proxy.close_cause import CloseCause
from calicofall.proxy.command_memory import MAX_WAIT_FRACTION, RECEIVE_BYTES, REQUEST_BYTES
from calicofall.proxy.command_parser import CommandParser
from calicofall.proxy.connection import BufferedConnection
from calicofall.proxy.held_input import HeldInput
from calicofall.proxy.kernel_buffers import is_receive_buffer_crowded, unread_bytes
from calicofall.proxy.pending_reply import PendingReply

if TYPE_CHECKING:
    from calicofall.proxy.clients import ClientConnections

MAX_PIPELINED_COMMANDS = 16
CLOSE_CHECK_INTERVAL_S = 0.03  # between two looks for a client's close while reading is paused
MAX_HELD_BYTES = 1 << 18  # of input of one client that is read while replies to it are due
NO_PARTIAL_COMMAND = (0, 0)  # its memory: without, with a long value
log = logging.getLogger("calicofall")
MAX_CONSECUTIVE_ERRORS = 8  # invalid commands in a row, after which the connection is closed


def command_size(command: object) -> int:
    """Returns the memory of a command that was received, until it is answered (bytes).

    The copy on the way to an endpoint takes as much again as a value that is not written by reference.
    """
    if not isinstance(command, list):
        return REQUEST_BYTES
    size = sum(len(part) for part in command if isinstance(part, bytes))
    return REQUEST_BYTES + size + min(size, resp.STREAMING_THRESHOLD_BYTES)


class ClientConnection(BufferedConnection):
    """The connection of one client."""

    def __init__(self, clients: "ClientConnections") -> None:
        super().__init__(clients.loop)
        self.clients = clients
        self.min_receive_bytes = clients.memory.receive_bytes()
        self.closing_stall_timeout_s = clients.stall_timeout_s
        self.parser = CommandParser(self.input, clients.memory.chunk_bytes, commands_only=True)
        self.replies: list[PendingReply] = []  # at most MAX_PIPELINED_COMMANDS
        self.reading_paused = False
        self.reading_paused_at = 0.0  # when reading was last paused (s, the loop's clock)
        self.close_check_timer: asyncio.TimerHandle | None = None  # while reading is paused
        self.held_input = HeldInput()
        self.reply_in_progress: PendingReply | None = None  # of the command that is being processed
        self.ignores_input = False  # after QUIT, or after an error that closes the connection
        self.consecutive_errors = 0
        # Memory of an incomplete command without a long value, and of one with a long value.
        self.partial_bytes = NO_PARTIAL_COMMAND
        self.waited_s = 0.0  # for memory, while the command that is incomplete was not read
        # Whether that command is refused, since there was no room for its value in time.
        self.lacks_memory = False
        # Memory of answers that were written and not accepted yet, since the client reads slowly.
        self.unaccepted_bytes = 0
        self.held_bytes = 0  # memory of input that is read and not processed
        self.noted_bytes = 0  # all input up to the last call of `_note_received`
        self.has_more_input = False  # whether the last input filled the memory into which it was read
        self.has_just_read_all = False  # whether `on_data` processes input behind which nothing was unread
        # A complete command that is not processed, since a close may lie behind what is unread; and where it
        # ends in all input.
        self.deferred_command: object = None
        self.deferred_end_offset = 0
        self.partial_progress_at = 0.0  # when more of it last arrived (s, the loop's clock)
        self.progress_bytes = 0  # all input up to then
        self.stall_timer: asyncio.TimerHandle | None = None

    def on_data(self) -> None:
        """Processes the complete commands, as far as the replies due and the memory allow."""
        self.clients.on_first_byte(self)
        self._note_received()
        self._read_commands()
        if self.ignores_input:
            self.input.drop(len(self.input))
        if self.closed or self.closing:
            return
        must_wait = self.ignores_input or self._must_wait()
        if must_wait and (len(self.input) or self.deferred_command is not None):
            self.held_input.hold(self.received_bytes, self.loop.time())
        self._count_held(self.input.allocated_bytes() if must_wait else 0)
        must_pause = must_wait and not self._may_hold_more()
        if must_pause != self.reading_paused:
            self._set_reading_paused(must_pause)

    def reject_further_input(self, reason: str) -> None:
        """Sends the client an error, reads no more input, and closes after the reply."""
        if not self.ignores_input:
            self.ignores_input = True
            self.note_close_cause(CloseCause.INVALID_COMMAND)
            self._add_reply(0).complete(resp.encode_error(f"ERR {reason}"))

    def reject_command(self, reply: PendingReply, reason: str) -> None:
        """Answers an invalid command with an error; too many in a row close the connection."""
        self.consecutive_errors += 1
        if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            self.ignores_input = True
            self.note_close_cause(CloseCause.INVALID_COMMAND)
        reply.complete(resp.encode_error(f"ERR {reason}"))

    def write_ready_replies(self) -> None:
        """Writes the replies that are next in the order, and resumes reading if it was paused for them."""
        while self.replies and not self.write_paused:
            answer = self.replies[0].answer
            if answer is None:
                break
            reply = self.replies.pop(0)
            self.clients.memory.add_buffered(len(answer) - reply.buffered_bytes)
            self.unaccepted_bytes += len(answer)
            self.write(answer)
            if not self.write_paused:
                self._release_unaccepted()
        if self.replies and not self.write_paused and self._stream(self.replies[0]):
            return
        if not (self.replies or self.closed or self.closing):
            self._on_all_replied()
        if (self.reading_paused or self._has_held_input()) and not (self.ignores_input or self.closing):
            self.clients.loop.call_soon(self.on_data)

    def pause_writing(self) -> None:
        """The client accepts no output for now; part of asyncio's protocol."""
        super().pause_writing()
        self.check_stall()

    def resume_writing(self) -> None:
        """The client accepts output again; part of asyncio's protocol."""
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        super().resume_writing()
        if not self.write_paused:
            self._release_unaccepted()
        self.write_ready_replies()

    def check_stall(self, undelivered_before: int = -1) -> None:
        """Disconnects a client that has accepted nothing since the last check; else schedules a new check.

        The transport's buffer counts, too: the kernel takes from it what the client has accepted.
        """
        undelivered = self.undelivered_bytes()
        if undelivered_before >= 0 and undelivered >= undelivered_before:
            self.abort(CloseCause.STALLED_READER)
            return
        self.stall_timer = self.clients.loop.call_later(
            self.clients.stall_timeout_s, self.check_stall, undelivered
        )

    def measure_partial_command(self) -> tuple[int, int]:
        """Returns the memory of an incomplete command, by whether room is set aside for a long value of it.

        One that waits for room holds no more than an idle connection.
        """
        if self.parser.long_value_awaits_decision:
            return NO_PARTIAL_COMMAND
        buffer_bytes = self.input.allocated_bytes() + self.parser.kept_bytes()
        long_value_bytes = self.parser.long_value_bytes
        return (0, buffer_bytes + long_value_bytes) if long_value_bytes else (buffer_bytes, 0)

    def note_progress(self) -> None:
        """Notes when the last input arrived; what lay unread during a wait may have arrived before it."""
        if self.received_bytes > self.progress_bytes:
            self.progress_bytes = self.received_bytes
            self.partial_progress_at = self.held_input.arrived_at(self.received_bytes, self.loop.time())

    def on_room(self, waited_s: float) -> None:
        """There is room for the long value that this client waits to be read."""
        self.parser.accept_long_value()
        self._read_after_wait(waited_s)

    def on_no_room(self, waited_s: float) -> None:
        """There was no room for the long value in time: it is read without being kept, then refused."""
        self.lacks_memory = True
        self.parser.discard_long_value()
        self._read_after_wait(waited_s)

    def close(self, cause: CloseCause | None = None) -> None:
        """Closes after the last byte has been sent."""
        if not (self.closing or self.closed):
            self.note_close_cause(cause)
            self.clients.on_closing(self)
            super().close()

    def on_callback_error(self) -> None:
        """Answers the command that failed with an error, and closes behind it; other replies stay due."""
        reply, self.reply_in_progress = self.reply_in_progress, None
        if self.closed or self.closing:
            return
        if reply is not None and reply.answer is None:
            self.ignores_input = True
            self.clients.on_client_disconnected(reply)
            reply.complete(resp.encode_error("ERR internal error"))
        else:
            self.reject_further_input("internal error")
        self.input.drop(len(self.input))
        if not self.closing:
            self._set_reading_paused(True)

    def has_due_output(self) -> bool:
        """Whether a reply is due, or the client has not received all that was written."""
        return bool(self.replies) or self.has_undelivered_output()

    def close_truncated(self) -> None:
        """Closes behind what has been written, the last value of which is incomplete.

        The client receives the whole replies before that value, and can tell its length. Requests behind it
        end as those of a client that has disconnected.
        """
        self.ignores_input = True
        self.close(CloseCause.TRUNCATED_VALUE)
        self._end_requests()

    def detect_disconnect(self) -> bool:
        """Whether the connection is closed; detects a client's close also behind input that is unread.

        A transport reports the end of its input only once all of it has been read.
        """
        if self.closed or self.closing:
            return self.closed
        if self.has_just_read_all and self.reply_in_progress is not None:
            return False
        if self.peer_has_closed():
            self.abort(CloseCause.PEER_CLOSED)
        elif self.reading_paused and self._must_wait() and self._may_hold_more():
            self._set_reading_paused(False)
        return self.closed

    def check_hidden_close(self) -> None:
        """Looks for a close while reading is paused or a command is deferred, at intervals."""
        self.close_check_timer = None
        if self.detect_disconnect() or self.closing:
            return
        if self.deferred_command is not None:
            self.on_data()
        if self.reading_paused or self.deferred_command is not None:
            self._schedule_close_check()

    def _schedule_close_check(self) -> None:
        if self.close_check_timer is None and not (self.closed or self.closing):
            self.close_check_timer = self.loop.call_later(CLOSE_CHECK_INTERVAL_S, self.check_hidden_close)

    def on_descriptor_released(self) -> None:
        """Another client can be accepted."""
        self.clients.releasing.discard(self)

    def on_close(self) -> None:
        """The connection is closed: the requests whose replies are still due are cancelled."""
        for timer in (self.stall_timer, self.close_check_timer):
            if timer is not None:
                timer.cancel()
        if self.has_undelivered_output():
            self.clients.memory.metrics.undelivered_closes += 1
        self.clients.memory.metrics.count_client_close(self.close_cause)
        if log.isEnabledFor(logging.DEBUG):
            log.debug(
                "client closed",
                extra={"cause": self.close_cause, "due": len(self.replies), "received": self.received_bytes},
            )
        self.clients.remove_client(self)
        self._release_unaccepted()
        self._count_held(0)
        self._end_requests()

    def _release_unaccepted(self) -> None:
        """Releases the memory of answers that the transport has accepted, or will not."""
        if self.unaccepted_bytes:
            self.clients.memory.add_buffered(-self.unaccepted_bytes)
            self.unaccepted_bytes = 0

    def _end_requests(self) -> None:
        """Cancels the requests whose replies are due, since nothing further is written."""
        replies, self.replies = self.replies, []
        for reply in replies:
            self.clients.memory.add_buffered(-reply.buffered_bytes)
            if reply.answer is None:
                self.clients.on_client_disconnected(reply)

    def _note_received(self) -> None:
        """Notes whether input has been received since the last call, and whether more may be unread."""
        count = self.received_bytes - self.noted_bytes
        self.noted_bytes = self.received_bytes
        if count:
            self.has_more_input = count >= self.receive_size
        self.has_just_read_all = count > 0 and not self.has_more_input

    def _read_commands(self) -> None:
        while not (self.ignores_input or self.closing or self.closed):
            if not self._has_held_input() and self.partial_bytes is NO_PARTIAL_COMMAND:
                return
            if self._must_wait():
                return
            command = self._next_command()
            if command is resp.INCOMPLETE:
                return
            end_offset = self.deferred_end_offset or self.received_bytes - len(self.input)
            if self._may_hide_close():
                self.deferred_command, self.deferred_end_offset = command, end_offset
                self.clients.mark_busy(self)
                self._schedule_close_check()
                return
            self.deferred_command, self.deferred_end_offset = None, 0
            if self.held_input:
                held_s = self.held_input.take_wait_s(end_offset, self.loop.time())
                self.waited_s = max(self.waited_s, held_s)
            # First, so that the command's memory passes from incomplete to complete without a gap.
            reply = self._add_reply(command_size(command))
            self.clients.update_partial_command(self, False)
            self.reply_in_progress = reply
            self._handle_command(reply, command)
            self.reply_in_progress = None

    def _next_command(self) -> object:
        """Returns the next command, or INCOMPLETE, which it also does after an error that ends the input."""
        if self.deferred_command is not None:
            return self.deferred_command
        try:
            command = self.parser.read()
            if self.parser.long_value_awaits_decision and self._has_room():
                self.parser.accept_long_value()
                command = self.parser.read()
        except resp.ProtocolError as error:
            self.reject_further_input(str(error))
            return resp.INCOMPLETE
        if command is resp.INCOMPLETE:
            if not self.parser.is_reading_long_value:
                self.input.compact()
            self.clients.update_partial_command(self, self.parser.has_partial_message())
        return command

    def _may_hide_close(self) -> bool:
        """Whether a close may lie behind input that is unread, and more input may be read to find out."""
        return (self.has_more_input or self.deferred_command is not None) and self._may_hold_more()

    def _has_room(self) -> bool:
        """Whether the long value that is next may be read now; else the client waits for room."""
        memory = self.clients.memory
        if self in memory.waiting:
            return False
        max_wait_s = MAX_WAIT_FRACTION * self.clients.find_time_left_s(self.parser.parts_received())
        return memory.has_room(self, self.parser.bulk_length, max_wait_s)

    def _read_after_wait(self, waited_s: float) -> None:
        self.waited_s += waited_s
        self.clients.update_partial_command(self, True)
        self.clients.loop.call_soon(self.on_data)

    def _may_hold_more(self) -> bool:
        """Whether more input may be read while it cannot be processed.

        The close of a client may lie behind input that does not fit into the kernel's buffer. It shows only
        once that is read.
        """
        memory = self.clients.memory
        if self.ignores_input or self in memory.waiting or len(self.input) >= MAX_HELD_BYTES:
            return False
        if not is_receive_buffer_crowded(self.transport):  # a close would show
            return False
        is_full = len(self.input) == self.input.allocated_bytes()
        return memory.may_hold(max(self.input.allocated_bytes(), self.min_receive_bytes) if is_full else 0)

    def _has_held_input(self) -> bool:
        """Whether there is input that has been read and not processed."""
        return len(self.input) > 0 or self.deferred_command is not None

    def _count_held(self, held_bytes: int) -> None:
        """Counts the memory of input that is read and not processed."""
        if held_bytes != self.held_bytes:
            self.clients.memory.add_held(held_bytes - self.held_bytes)
            self.held_bytes = held_bytes

    def _must_wait(self) -> bool:
        """Whether the replies due, the memory in use, or what is unread allow no further command."""
        if self.deferred_command is not None and self._may_hide_close():
            return True
        memory = self.clients.memory
        max_replies = MAX_PIPELINED_COMMANDS if memory.has_read_ahead() else 1
        return self.write_paused or self in memory.waiting or len(self.replies) >= max_replies

    def _set_reading_paused(self, paused: bool) -> None:
        """Pauses reading, or resumes it; what lies unread then may have arrived when reading was paused."""
        self.reading_paused = paused
        if paused:
            self.reading_paused_at = self.loop.time()
            self.transport.pause_reading()
            self._schedule_close_check()
            return
        unread = unread_bytes(self.transport)
        if unread:
            self.held_input.hold(self.received_bytes + unread, self.reading_paused_at)
        self.transport.resume_reading()

    def _add_reply(self, command_bytes: int) -> PendingReply:
        reply = PendingReply(self, command_bytes)
        self.replies.append(reply)
        reply.waited_s, self.waited_s = self.waited_s, 0.0
        self.clients.memory.add_buffered(command_bytes)
        self.clients.mark_busy(self)
        return reply

    def _handle_command(self, reply: PendingReply, command: object) -> None:
        if self.lacks_memory:
            self.lacks_memory = False
            reply.complete(resp.encode_error("BUSY"))
            return
        if not isinstance(command, list) or not command or not all(type(part) is bytes for part in command):
            self.reject_command(reply, "a command is an array of bulk strings")
            return
        name = command[0].upper()
        if name in ARGUMENT_COUNTS and self._must_refuse(reply):
            reply.complete(resp.encode_error("BUSY"))
        elif name in ARGUMENT_COUNTS:
            self.clients.on_request(reply, [name, *command[1:]])
        elif name == b"PING":
            self._handle_ping(reply, command)
        elif name == b"QUIT":
            self.ignores_input = True
            self.note_close_cause(CloseCause.QUIT)
            reply.complete(resp.encode_simple_string("OK"))
        else:
            self.reject_command(reply, "unknown command")

    def _must_refuse(self, reply: PendingReply) -> bool:
        """Whether a request gets no attempt for want of memory.

        There may be no room for the request, or none to read the input behind which a close may lie.
        """
        memory = self.clients.memory
        if memory.total_bytes() < memory.read_ahead_bytes:
            return False
        is_hidden = not memory.may_hold(RECEIVE_BYTES) and is_receive_buffer_crowded(self.transport)
        if not (is_hidden or memory.is_exhausted(reply.buffered_bytes)):
            return False
        memory.metrics.memory_refusals += 1
        return True

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
        """Requests the next chunk of a streamed value; returns False if the reply is not streamed."""
        if reply.request_next_chunk is None:
            return False
        if not reply.head_sent:
            reply.head_sent = True
            self.write(b"$%d\r\n" % reply.value_size)
        reply.request_next_chunk()
        return True

    def _on_all_replied(self) -> None:
        is_shutting_down = self.clients.close_after_reply
        has_begun = self.parser.has_partial_message() or self.deferred_command is not None
        # During a shutdown, commands that have begun are still answered before the close.
        if self.ignores_input or (is_shutting_down and not has_begun):
            self.close(CloseCause.SHUTDOWN)
        elif not (is_shutting_down or self._has_held_input()):  # else the next command is processed soon
            self.clients.mark_idle(self)
