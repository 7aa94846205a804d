"""One connection to an endpoint: commands out, replies matched to them in order.

Invariants: a reply belongs to the first command that waits; a late reply is read past and matched to no other
command; a command is said not to have run only if its last byte has not left.
"""

import asyncio
from collections import deque
from select import POLLIN, poll
from typing import TYPE_CHECKING, Any

from calicofall.invariants import check_invariant
from calicofall.proxy import resp
from calicofall.proxy.client_protocol import ANSWER_NOTES, parse_load_report
from calicofall.proxy.connection import BufferedConnection
from calicofall.proxy.reply_parser import ReplyParser

if TYPE_CHECKING:
    from calicofall.proxy.connection_pool import ConnectionPool
    from calicofall.proxy.upstream_command import UpstreamCommand

STALL_TIMEOUT_S = 0.06  # in which more of a reply comes that has begun
STREAM_STALL_TIMEOUT_S = 2.5  # the same for a long one, while its client takes it


class UpstreamConnection(BufferedConnection):
    """A connection to an endpoint, with the commands that wait for a reply in their order."""

    def __init__(self, pool: "ConnectionPool", address: tuple[str, int]) -> None:
        super().__init__(pool.upstreams.loop)
        self.pool = pool
        self.address = address
        self.parser = ReplyParser(self.input)
        self.pending: deque[UpstreamCommand] = deque()
        self.malformed = False  # what came is no reply: commands that wait here may have run
        self.progress_at = 0.0  # when a reply that is not whole grew last
        self.stall_timer: asyncio.TimerHandle | None = None
        self.poller: poll | None = None
        self.opens_at = 0.0  # when it is to be opened, while it waits for its turn
        self.is_open = False
        self.overdue = False  # a reply is overdue, and nothing has come since
        self.idle_since = 0.0
        self.reading_paused = False  # the client takes no more of a long answer
        self.unsent_offsets: deque[int] = deque()  # ends of commands that the transport has not taken whole

    @property
    def is_idle(self) -> bool:
        """Whether it is open, and no command waits for a reply."""
        return self.is_open and not self.pending

    def on_open(self) -> None:
        """Sends the commands that have waited for the connection."""
        self.is_open = True
        plain_socket = self.transport.get_extra_info("socket")
        if plain_socket is not None:
            self.poller = poll()
            self.poller.register(plain_socket.fileno(), POLLIN)
        for command in list(self.pending):
            self._write_command(command)
        if not self.pending:
            self.become_idle()

    def send(self, command: "UpstreamCommand") -> None:
        """Sends a command, now or once the connection is open."""
        command.connection = self
        self.pending.append(command)
        if self.is_open:
            self._write_command(command)

    def on_bytes_handed_over(self) -> None:
        """Counts the commands that have left whole."""
        while (
            self.unsent_offsets and self.unsent_offsets[0] <= self.handed_over_bytes and not self.write_paused
        ):
            self.unsent_offsets.popleft()
            self.pool.upstreams.metrics.attempts_sent += 1

    def on_data(self) -> None:
        """Reads the replies that have come; input that belongs to none ends the connection."""
        while not self.closed:
            if not self.pending:
                if len(self.input):
                    self.abort()
                return
            try:
                value = self.parser.read()
            except resp.ProtocolError as error:
                self.fail_malformed(str(error))
                return
            if value is resp.STREAM_STARTED:
                size = self.parser.stream_bytes_left + resp.WITHHELD_TAIL_BYTES
                self.pool.upstreams.start_streaming(self.pending[0], self, size)
                # The client's turn may have come at once, in which all that has come was passed on: the
                # state is read anew.
            elif value is not resp.INCOMPLETE:
                self.on_reply(value)
            elif not (self.parser.stream_bytes_left and self.stream_value()):
                self._await_rest()
                return

    def stream_value(self) -> bool:
        """Passes on what has come of a long value; True once only the held back end is missing."""
        command = self.pending[0]
        sink = None if command.finished else command.sink
        self.set_reading_paused(sink is not None and not sink.can_accept_chunk())
        if not self.reading_paused:
            piece = self.parser.take_streamed_bytes()
            if piece and sink is not None:
                if not command.streaming:
                    command.streaming = True
                    self.pool.upstreams.on_streaming(command)
                sink.write_chunk(piece)
        return not self.parser.stream_bytes_left

    def set_reading_paused(self, paused: bool) -> None:
        """Stops reading for a client that takes no more, whose value would pile up here."""
        if paused == self.reading_paused or self.closed:
            return
        self.reading_paused = paused
        if paused:
            self.transport.pause_reading()
            self.overdue = True  # so that nothing new is sent behind it meanwhile
        else:
            self.transport.resume_reading()

    def resume_streaming(self) -> None:
        """The client takes more."""
        if self.reading_paused:
            self.set_reading_paused(False)
            self.progress_at = self.loop.time()
            self.on_data()

    def on_reply(self, value: Any) -> None:
        """A reply has come whole, as `ReplyParser.read` gives it."""
        command = self.pending.popleft()
        check_invariant(command.connection is self, "a reply belongs to its connection's first transmission")
        self.overdue = False
        if not self.pending:
            self.become_idle()
        # For a command that has been given up this tells nobody: its reply is read past.
        self.pool.upstreams.finish(command, *parse_reply(value))

    def check_stall(self) -> None:
        """Ends a connection whose reply has begun and does not go on; else checks again later.

        Without this a reply that never ends would be waited for until the command's time is up.
        """
        self.stall_timer = None
        if self.closed or self.reading_paused or not self.parser.has_partial_message():
            return
        # A client may have got some of a long answer, which no other endpoint can finish: it gets more time.
        is_streamed = self.pending and self.pending[0].sink is not None
        timeout_s = STREAM_STALL_TIMEOUT_S if is_streamed else STALL_TIMEOUT_S
        left_s = self.progress_at + timeout_s - self.loop.time()
        if left_s > 0.0:
            self.stall_timer = self.loop.call_later(left_s, self.check_stall)
        else:
            self.fail_malformed("an answer that does not end")

    def fail_malformed(self, reason: str) -> None:
        """Ends the connection: what came is no reply, and nothing more of use will come."""
        self.malformed = True
        if self.parser.reply_without_load_report() is None:
            self.pool.upstreams.log_malformed_reply(self.pool.name, reason)
        self.abort()

    def has_no_unread_input(self) -> bool:
        """Whether nothing has come since the last reply: neither a copy of it nor the peer's end."""
        return self.poller is None or not self.poller.poll(0)

    def become_idle(self) -> None:
        """Keeps the connection for the next command, unless its endpoint takes none or has moved."""
        if self.pool.accepts_requests and self.address == self.pool.address:
            self.idle_since = self.loop.time()
        else:
            self.abort()

    def never_ran(self, command: "UpstreamCommand") -> bool:
        """Whether a command's last byte has not left, so that it has not run."""
        return not self.is_open or command.end_offset > self.handed_over_bytes

    def shares_connection(self, command: "UpstreamCommand") -> bool:
        """Whether a command has left and others wait here, too, so that it can't be called off alone."""
        return not (
            self.closed
            or self.never_ran(command)
            or all(other.finished or other is command for other in self.pending)
        )

    def on_close(self) -> None:
        """The connection is over: the commands that wait here have failed."""
        self.pool.connections.pop(self, None)
        commands = self.pending
        self.pending = deque()
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        value = self.parser.reply_without_load_report()
        if value is not None and commands:  # good but for its load report
            self.pool.upstreams.finish(commands.popleft(), *parse_reply(value))
        may_have_run = "spoilt" if self.malformed else "reset"
        # An endpoint is not to blame for what this process lacks: it would be ejected for that.
        never_ran = "held" if self.lacked_local_resources else "unconnected"
        for command in commands:
            self.pool.upstreams.finish(command, never_ran if self.never_ran(command) else may_have_run)

    def _write_command(self, command: "UpstreamCommand") -> None:
        # Much may have changed while it waited for its connection: its client has left, its time or the time
        # in which it may be repeated is over, other settings are in force.
        left_s = command.answer_due_at - self.loop.time()
        if left_s <= 0.0 or not self.pool.upstreams.may_send(command):
            self._withdraw(command)
            return
        pieces = command.render(left_s * 1000.0)
        command.end_offset = self.queued_bytes + sum(map(len, pieces))
        self.unsent_offsets.append(command.end_offset)
        for piece in pieces:
            self.write(piece)

    def _withdraw(self, command: "UpstreamCommand") -> None:
        """Takes back a command of which nothing has been written."""
        self.pending.remove(command)
        command.connection = None  # its time may end, or its client leave, before the outcome is told
        self.loop.call_soon(self.pool.upstreams.finish, command, "held")
        if not self.pending and self.is_open:
            self.become_idle()

    def _await_rest(self) -> None:
        """Sees to it that a reply that has begun goes on."""
        self.progress_at = self.loop.time()
        if self.stall_timer is None and self.parser.has_partial_message() and not self.reading_paused:
            self.stall_timer = self.loop.call_later(STALL_TIMEOUT_S, self.check_stall)


def parse_reply(value: Any) -> tuple[str, bytes, str | None, dict[str, float] | None]:
    """The outcome, answer, note and load report that an endpoint's reply stands for."""
    if isinstance(value, resp.ErrorReply):
        outcome = "full" if value.split(b" ")[0] == b"BUSY" else "error"
        return outcome, b"", None, None
    return "completed", value[0], ANSWER_NOTES.get(value[1]), parse_load_report(value[2])
