"""One connection to an endpoint: writes one command at a time and reads its reply.

Replies carry no id. If a second command were written behind one that the endpoint drops without a reply, the
second one's reply would pass for that of the first. Some endpoints send a reply twice, the second time some
milliseconds later; it would pass for the reply to a command written in between.

Invariants: a connection has one command at most, and closes if that is given up after a part of it was
written; while a second copy of the last reply may arrive, a command is written only if replies tell requests
apart and the last one does not recur, and a reply that equals the last one is discarded; input that arrives
before a command's last byte was sent is not its reply; a command is reported as not run only if its last byte
has not been sent, which means: not passed to the transport; a connection that is given up delivers no further
byte, and the outcome of its command is reported when its socket is closed.
"""

import asyncio
from math import inf
from select import POLLIN, poll
from typing import TYPE_CHECKING, Any

from calicofall.invariants import check_invariant
from calicofall.proxy import resp
from calicofall.proxy.bounded_delivery import HAND_OVER_MARGIN_S, BoundedDelivery
from calicofall.proxy.client_protocol import CACHE_STATUSES, parse_load_report
from calicofall.proxy.close_cause import CloseCause
from calicofall.proxy.connection import BufferedConnection
from calicofall.proxy.kernel_buffers import discard_output_on_close
from calicofall.proxy.reply_parser import ReplyParser

if TYPE_CHECKING:
    from calicofall.proxy.connection_pool import ConnectionPool
    from calicofall.proxy.upstream_command import UpstreamCommand

PAUSE_S = 0.06  # without more of an incomplete reply, after which it is no longer arriving
# Time after a reply in which a second copy of it may arrive: some milliseconds, the 40 ms for which the
# endpoint's kernel may hold a small write back until the previous one is acknowledged, and a reserve.
REPLY_SETTLE_S = 0.08
STREAM_STALL_TIMEOUT_S = 2.5  # pause within a long reply that ends it, once its request has no more time


class UpstreamConnection(BufferedConnection):
    """A connection to an endpoint, with the command that was sent on it last, until its reply is read."""

    def __init__(self, pool: "ConnectionPool", address: tuple[str, int]) -> None:
        super().__init__(pool.upstreams.loop)
        self.pool = pool
        self.address = address
        self.parser = ReplyParser(self.input, pool.upstreams.memory)
        self.command: UpstreamCommand | None = None
        # Whether the input was malformed. The outcome of a command that was sent is then "spoilt".
        self.malformed = False
        self.progress_at = 0.0  # when more of an incomplete reply was last received (s, the loop's clock)
        self.stall_timer: asyncio.TimerHandle | None = None
        self.poller: poll | None = None
        self.opens_at = 0.0  # its handshake slot, until the connection is opened (s, the loop's clock)
        self.is_open = False
        self.opened_at = 0.0  # (s, the loop's clock)
        self.idle_since = 0.0  # (s, the loop's clock)
        self.settled_at = 0.0  # until when a second copy of the last reply may arrive (s, the loop's clock)
        # Of the last reply; None if that was an error or a long value.
        self.last_fingerprint: int | None = None
        self.last_reply_recurs = False  # whether other requests have had the last reply, too
        # Whether the command was written while a second copy of the last reply could still arrive. The copy
        # may be read much later, after the process was held up.
        self.compares_reply = False
        self.streams_reply = False  # whether the reply that is being received is a long value
        # Whether a second copy was discarded while the command waited for its reply.
        self.copy_discarded = False
        self.reading_paused = False  # whether the client accepts no more of a long answer
        # Where the command ends in all bytes queued here, until it has left the transport; then 0.
        self.unsent_end_offset = 0
        # Of a command that must not arrive late; None for any other, and once there is no such command.
        self.bounded_delivery: BoundedDelivery | None = None
        self.discards_output = False  # whether it was given up with output that had not been delivered

    @property
    def is_idle(self) -> bool:
        """Whether it is open and has no command."""
        return self.is_open and self.command is None

    def on_open(self) -> None:
        """Writes the command that waited until the connection was open."""
        self.is_open = True
        self.opened_at = self.loop.time()
        raw_socket = self.transport.get_extra_info("socket")
        if raw_socket is not None:
            self.poller = poll()
            self.poller.register(raw_socket.fileno(), POLLIN)
        if self.command is not None:
            self._write_command(self.command)
        else:
            self.become_idle()

    def send(self, command: "UpstreamCommand") -> None:
        """Sends a command, now or once the connection is open."""
        check_invariant(self.command is None, "a connection has one command at a time")
        command.connection = self
        self.command = command
        if self.is_open:
            self._write_command(command)

    def on_bytes_handed_over(self) -> None:
        """Counts a command that has left the transport; its buffer is empty unless writing is paused."""
        if 0 < self.unsent_end_offset <= self.handed_over_bytes and not self.write_paused:
            self.unsent_end_offset = 0
            self.pool.upstreams.metrics.attempts_sent += 1

    def on_data(self) -> None:
        """Processes the reply received; input that belongs to no command aborts the connection."""
        while not self.closed:
            if self.command is None:
                if len(self.input):
                    self.abort(CloseCause.UNEXPECTED_INPUT)
                return
            if self.unsent_end_offset:  # the command's last byte has not left: this is not its reply
                self.abort(CloseCause.UNEXPECTED_INPUT)
                return
            try:
                value = self.parser.read()
            except resp.ProtocolError as error:
                self.fail_malformed(str(error))
                return
            if value is resp.STREAM_STARTED:
                self.streams_reply = True
                size = self.parser.stream_bytes_left + resp.WITHHELD_TAIL_BYTES
                self.pool.upstreams.start_streaming(self.command, self, size)
                # If this reply is the next one that the client gets, `start_streaming` has called
                # `resume_streaming`, which may have forwarded all that was received: the loop checks the
                # parser's state again.
            elif value is not resp.INCOMPLETE:
                self.on_reply(self.command, value)
            elif not (self.parser.stream_bytes_left and self.stream_value(self.command)):
                self._start_stall_timer()
                return

    def stream_value(self, command: "UpstreamCommand") -> bool:
        """Forwards the received part of a long value; returns True when only its withheld end is left.

        The last resp.WITHHELD_TAIL_BYTES of the value are forwarded once the rest of the reply is valid.
        """
        sink = None if command.finished else command.sink
        self.set_reading_paused(sink is not None and not sink.can_accept_chunk())
        if not self.reading_paused:
            chunk = self.parser.take_streamed_bytes()
            if chunk and sink is not None:
                if not command.streaming:
                    command.streaming = True
                    self.pool.upstreams.on_streaming(command)
                sink.write_chunk(chunk)
        return not self.parser.stream_bytes_left

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses reading while the client accepts no output, so that its value does not fill the memory."""
        if paused == self.reading_paused or self.closed:
            return
        self.reading_paused = paused
        if paused:
            self.transport.pause_reading()
            self.input.compact()
        else:
            self.transport.resume_reading()

    def resume_streaming(self) -> None:
        """The client accepts output again."""
        if self.reading_paused:
            self.set_reading_paused(False)
            self.progress_at = self.loop.time()
            self.on_data()

    def on_reply(self, command: "UpstreamCommand", value: Any) -> None:
        """A reply is complete; `value` is the result of `ReplyParser.read`."""
        if self.is_second_copy(value):
            self.copy_discarded = True
            self.pool.upstreams.metrics.second_copies += 1
            return
        self._remember_reply(value)
        self.command = None
        self._end_delivery()
        self.become_idle()
        # If the command was cancelled, this reports nothing: its reply is discarded.
        self.pool.upstreams.finish(command, *parse_reply(value))

    def may_be_used(self, now: float) -> bool:
        """Whether the reply to a next command can be told from a second copy of the last reply."""
        if self.settled_at <= now:
            return True
        if self.last_fingerprint is None or self.last_reply_recurs:
            return False
        return self.pool.upstreams.reply_distinctness.is_reliable

    def is_second_copy(self, value: Any) -> bool:
        """Whether a reply is, or may be, a second copy of the last one."""
        return self.compares_reply and fingerprint(value) == self.last_fingerprint

    def _remember_reply(self, value: Any) -> None:
        distinctness = self.pool.upstreams.reply_distinctness
        last_fingerprint = self.last_fingerprint
        self.last_fingerprint = None if self.streams_reply else fingerprint(value)
        if self.last_fingerprint is not None:
            self.last_reply_recurs = distinctness.remember(self.last_fingerprint)
            if last_fingerprint is not None:
                distinctness.add(self.last_fingerprint != last_fingerprint)
        self.settled_at = self.loop.time() + REPLY_SETTLE_S
        self.streams_reply = False
        self.copy_discarded = False

    def is_receiving_reply(self, command: "UpstreamCommand") -> bool:
        """Whether a part of the reply to a command has been received."""
        return self.command is command and not self.closed and self.parser.has_partial_message()

    def check_stall(self) -> None:
        """Aborts a connection whose incomplete reply is no longer awaited; else schedules another check."""
        self.stall_timer = None
        if self.closed or self.reading_paused or not self.parser.has_partial_message():
            return
        due_at = self._incomplete_reply_due_at()
        if due_at > self.loop.time():
            self.stall_timer = self.loop.call_at(due_at, self.check_stall)
        else:
            self.fail_malformed("incomplete reply has stalled")

    def _incomplete_reply_due_at(self) -> float:
        """Returns until when the incomplete reply is awaited (s, the loop's clock).

        A pause does not end it while its request has time, since most endpoints go on. A client may have
        received a part of a long answer, which no other endpoint can complete: such an answer gets more time.
        If only the load report is missing, the client need not wait for it.
        """
        command = self.command
        is_streamed = command is not None and command.sink is not None
        due_at = self.progress_at + (STREAM_STALL_TIMEOUT_S if is_streamed else PAUSE_S)
        if command is None or self.parser.reply_without_load_report() is not None:
            return due_at
        return max(due_at, self.pool.upstreams.incomplete_reply_due_at(command))

    def fail_malformed(self, reason: str) -> None:
        """Aborts the connection after malformed input: what follows cannot be parsed as replies either."""
        self.malformed = True
        # If only the load report of a reply is missing, `on_close` uses the reply.
        if self.parser.reply_without_load_report() is None:
            self.pool.upstreams.log_malformed_reply(self.pool.name, reason)
        self.abort(CloseCause.MALFORMED_REPLY)

    def has_no_unread_input(self) -> bool:
        """Whether the socket has nothing to read, neither more input nor a close.

        Such input belongs to no command: for example, it may be a second copy of the last reply.
        """
        return self.poller is None or not self.poller.poll(0)

    def become_idle(self) -> None:
        """Keeps the connection for the next command, unless its endpoint accepts none or has moved."""
        if self.pool.accepts_requests and self.pool.is_current(self):
            self.idle_since = self.loop.time()
            self.pool.send_waiting_soon()
        else:
            self.abort(CloseCause.ENDPOINT_LEFT)

    def never_ran(self, command: "UpstreamCommand") -> bool:
        """Whether a command's last byte has not been sent, so that it cannot have run."""
        return not self.is_open or command.end_offset > self.handed_over_bytes

    def outcome_if_unsent(self) -> str:
        """Returns the outcome of a command that was not sent because this connection closed.

        A lack of local resources is not reported as the endpoint's failure, which could eject the endpoint.
        """
        return "held" if self.lacked_local_resources else "unconnected"

    def is_delivered(self, command: "UpstreamCommand") -> bool:
        """Whether the endpoint's kernel has acknowledged the whole command."""
        return not (self.never_ran(command) or self.has_undelivered_output())

    def abort(self, cause: CloseCause | None = None) -> None:
        """Closes the connection at once; output that has not been delivered is discarded.

        A usual close would let the kernel deliver what it holds, perhaps the last byte of a command that is
        sent to another endpoint meanwhile.
        """
        if not self.closed and self.transport is not None and self.has_undelivered_output():
            self.discards_output = True
            discard_output_on_close(self.transport)
        super().abort(cause)

    def on_close(self) -> None:
        """The connection is closed: its command has failed."""
        command, self.command = self.command, None
        self._end_delivery()
        self.parser.release()
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        self.pool.upstreams.metrics.count_upstream_close(self.close_cause)
        self.pool.on_connection_closed(self)
        if self.copy_discarded:  # it may have been the command's own reply, as no other one came
            self.pool.upstreams.reply_distinctness.add(False)
        if command is None:
            return
        value = self.parser.reply_without_load_report()
        # The answer is complete, only the load report is missing.
        if value is not None and not self.is_second_copy(value):
            self.pool.upstreams.finish(command, *parse_reply(value))
        elif self.never_ran(command):
            self.finish_when_closed(command, self.outcome_if_unsent())
        else:
            self.finish_when_closed(command, "spoilt" if self.malformed else "reset")

    def finish_when_closed(self, command: "UpstreamCommand", outcome: str) -> None:
        """Reports a command's outcome; if output was discarded, after the transport has closed its socket.

        The transport does so in the event loop's next iteration, before what is scheduled from now on. Until
        then the kernel could still deliver the command, while another attempt is made.
        """
        if self.discards_output:
            self.loop.call_soon(self.pool.upstreams.finish, command, outcome)
        else:
            self.pool.upstreams.finish(command, outcome)

    def release(self, command: "UpstreamCommand") -> None:
        """Takes back a command of which nothing has been written; another one may be sent in its place."""
        check_invariant(self.command is command, "a command is released by its own connection")
        self.command = None
        if self.is_open:
            self.become_idle()

    def _write_command(self, command: "UpstreamCommand") -> None:
        # While the command waited for its connection, its attempt may have timed out, its client may have
        # disconnected, other settings may have come into effect, or the time may have ended in which a repeat
        # of the request is safe.
        left_s = command.answer_due_at - self.loop.time()
        arrives_by = self.pool.upstreams.arrives_by(command)
        is_late = left_s <= 0.0 or self.loop.time() >= arrives_by - HAND_OVER_MARGIN_S
        if is_late or not self.pool.upstreams.may_send(command):
            if self.command is command:  # not cancelled meanwhile, as its client has disconnected
                command.connection = None  # it may still time out, or be cancelled, before its outcome
                self.release(command)
                self.loop.call_soon(self.pool.upstreams.finish, command, "held")
            return
        chunks = command.render(left_s * 1000.0)
        command.end_offset = self.queued_bytes + sum(map(len, chunks))
        self.unsent_end_offset = command.end_offset
        self.compares_reply = self.last_fingerprint is not None and self.loop.time() < self.settled_at
        if arrives_by < inf:
            self.bounded_delivery = BoundedDelivery(
                self,
                chunks,
                arrives_by,
                lambda: self.pool.upstreams.may_send(command),
                lambda: self.pool.upstreams.end_late_repeat(command),
            )
            return
        for chunk in chunks:
            self.write(chunk)

    def _end_delivery(self) -> None:
        if self.bounded_delivery is not None:
            self.bounded_delivery.cancel()
            self.bounded_delivery = None

    def _start_stall_timer(self) -> None:
        """Records progress, and starts the check that an incomplete reply does not stall."""
        self.progress_at = self.loop.time()
        if self.stall_timer is None and self.parser.has_partial_message() and not self.reading_paused:
            self.stall_timer = self.loop.call_later(PAUSE_S, self.check_stall)


def fingerprint(value: Any) -> int | None:
    """Returns a number by which a reply is compared with the next one; None for an error.

    Errors of different requests are often equal. The load report is left out: it says nothing of the request,
    and may be malformed in a second copy.
    """
    return None if isinstance(value, resp.ErrorReply) else hash((value[0], value[1]))


def parse_reply(value: Any) -> tuple[str, bytes, str | None, dict[str, float] | None]:
    """Returns the outcome, answer, cache status and load report of an endpoint's reply."""
    if isinstance(value, resp.ErrorReply):
        outcome = "full" if value.split(b" ")[0] == b"BUSY" else "error"
        return outcome, b"", None, None
    return "completed", value[0], CACHE_STATUSES.get(value[1]), parse_load_report(value[2])
