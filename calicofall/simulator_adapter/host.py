"""Runs the router instances of a simulation: passes the simulator's events to them, and sends back decisions.

The simulator's messages are lines of JSON (codec.py). "The wire" is the stream of these lines.

Invariants: this module makes no routing decisions, and an instance has one timer.
"""

from base64 import b64decode, b64encode
from collections.abc import Callable
from inspect import signature
from math import inf
from typing import Any, BinaryIO, NamedTuple

from calicofall.config.settings import NS_PER_MS, normalize_settings
from calicofall.routing.actions import CloseConnections, PollEndpointList, SendGossip
from calicofall.routing.request import Request
from calicofall.routing.router import WAIT_TOLERANCE_MS, Router
from calicofall.simulator_adapter.codec import (
    CACHE_STATUSES,
    CLIENT_RETRY,
    HAS_WORK_ESTIMATE,
    LIST_KINDS,
    OUTCOMES,
    WRITE,
    MalformedMessageError,
    encode_message,
    ms_to_ns,
    parse_endpoint,
    parse_message,
)

TIMER_TOKEN = 0  # of the only timer of an instance


class Proxy:
    """One router instance and its timer.

    Event handlers take the values of the message on the wire, in their order.

    Args:
        number: The number of the instance on the wire.
        seed: The seed of the router.
        settings: The settings, in the form of the operators' file.
        now: The simulated time, in milliseconds.
        output_lines: The lines that are sent to the simulator at the end of the batch.
    """

    def __init__(
        self, number: int, seed: int, settings: dict[str, Any], now: float, output_lines: list[bytes]
    ) -> None:
        self.number = number
        self.output_lines = output_lines
        self.router = Router(normalize_settings(settings), seed, now)
        self.timer_due_at = inf

    def send_message(self, name: str, *values: Any) -> None:
        """Sends a message of this instance."""
        self.output_lines.append(encode_message([name, self.number, *values]))

    def send_decision(self, request: Request, endpoint: str | None) -> None:
        """Sends the decision for a request: an attempt at an endpoint, or the request's rejection or failure.

        Sends nothing while the request waits.
        """
        if endpoint is not None:
            self.send_message("PassOn", request.id, endpoint, ms_to_ns(request.timeout_ms))
        elif request.answer == "exhausted":
            self.send_message("NotNow", request.id, ms_to_ns(request.retry_after_ms))
        elif request.answer == "errored":
            self.send_message("Surrender", request.id)

    def on_request(  # noqa: PLR0913 - the values of the wire's message
        self,
        now: float,
        request_id: str,
        method: str,
        expires_at_ns: int,
        flags: int,
        tenant: str | None,
        _size: Any,
        work_ns: int | None,
        key: int | None,
    ) -> None:
        """Handles a request of a client."""
        write = bool(flags & WRITE)
        is_retry = bool(flags & CLIENT_RETRY)
        request = Request(request_id, method, tenant, key, write, now, expires_at_ns / NS_PER_MS, is_retry)
        if flags & HAS_WORK_ESTIMATE:
            request.estimated_work_ms = (work_ns or 0) / NS_PER_MS
        self.send_decision(request, self.router.route(now, request))

    def on_attempt_ended(  # noqa: PLR0913 - the values of the wire's message
        self,
        now: float,
        request_id: str,
        attempt: int,
        _endpoint: str,
        code: int,
        took_ns: int,
        complete: bool,
        cache_status: int | None,
        load_report: Any,
    ) -> None:
        """Handles the end of an attempt; with `complete`, the whole answer has arrived."""
        request = self.router.active_requests.get(request_id)
        if request is None or attempt >= len(request.attempts) or request.attempts[attempt].outcome:
            return  # the attempt is unknown, or its end was already reported
        # Read before the call, which finishes a request that the router then rejects or fails: that decision
        # has to be sent.
        finished = request.finished or complete
        endpoint = self.router.report_attempt(
            now,
            request,
            attempt,
            OUTCOMES.get(code, "error"),
            took_ns / NS_PER_MS,
            CACHE_STATUSES.get(cache_status or 0),
            load_report,
            complete,
        )
        if not finished:
            self.send_decision(request, endpoint)

    def on_response_started(
        self, now: float, request_id: str, _attempt: int, _endpoint: str, _took_ns: int
    ) -> None:
        """Handles the first bytes of an answer, which the simulator forwards to the client.

        Unlike with `Router.on_response_started`, the attempt counts as in flight until it ends.
        """
        request = self.router.active_requests.get(request_id)
        if request is not None:
            request.streaming = True

    def on_client_disconnected(self, now: float, request_id: str) -> None:
        """Cancels the attempts of a request whose client has disconnected."""
        request = self.router.active_requests.get(request_id)
        if request is not None:
            for attempt in self.router.on_client_disconnected(now, request):
                self.send_message("Recall", request_id, attempt)

    def on_endpoint_list(
        self, now: float, kind: int, version: int | None, endpoints: list[list[Any]] | None
    ) -> None:
        """Handles an endpoint list, changes of the list, or a failure to get it."""
        entries = [parse_endpoint(values) for values in endpoints or []]
        self.router.on_endpoint_list(now, LIST_KINDS.get(kind, "delta"), version, entries)

    def on_timer(self, now: float, _token: int) -> None:
        """Handles the timer: decides again on each request that is due."""
        self.timer_due_at = inf
        while (request := self.router.next_due_request(now)) is not None:
            self.send_decision(request, self.router.route(now, request))

    def on_health_check_result(
        self, now: float, _endpoint: str, _took_ns: int, _code: int, _load_report: Any
    ) -> None:
        """Ignores the event, since the router sends no health checks."""

    def on_gossip(self, now: float, peer: int, payload: str) -> None:
        """Handles a message of another instance; invalid base64 is dropped like a damaged datagram."""
        try:
            self.router.on_gossip(now, peer, b64decode(payload))
        except ValueError:
            return

    def end_batch(self, now: float) -> None:
        """Ends a batch: sends the router's log lines and actions, and sets the timer.

        A timer that is due earlier than necessary stays set: when it fires, the batch may find nothing due.
        """
        wait_ms = self.router.tick(now)
        for line in self.router.log_lines:
            self.send_message("Print", line)
        for action in self.router.actions:
            if isinstance(action, PollEndpointList):
                self.send_message("Watch", True)
            elif isinstance(action, CloseConnections):
                self.send_message("LetGo", action.endpoint)
            elif isinstance(action, SendGossip):
                self.send_message("MemoTo", action.peer, b64encode(action.message).decode())
        self.router.log_lines.clear()
        self.router.actions.clear()
        if now + wait_ms < self.timer_due_at - WAIT_TOLERANCE_MS:
            self.timer_due_at = now + wait_ms
            self.send_message("Remind", ms_to_ns(wait_ms), TIMER_TOKEN)


# By the name of an event on the wire, the method that handles it.
METHOD_BY_EVENT: dict[str, Callable[..., None]] = {
    "Knock": Proxy.on_request,
    "Reply": Proxy.on_attempt_ended,
    "AckFirst": Proxy.on_response_started,
    "Lapsed": Proxy.on_client_disconnected,
    "Registry": Proxy.on_endpoint_list,
    "TimeoutFired": Proxy.on_timer,
    "ProbeDone": Proxy.on_health_check_result,
    "Mail": Proxy.on_gossip,
}


class EventHandler(NamedTuple):
    """The handler of an event, and how many values it takes besides the instance and the time."""

    method: Callable[..., None]
    value_count: int


HANDLER_BY_EVENT = {
    name: EventHandler(method, len(signature(method).parameters) - 2)  # without `self` and `now`
    for name, method in METHOD_BY_EVENT.items()
}


class Host:
    """The instances of a simulation, and the current batch of events.

    Args:
        sink: Where the messages to the simulator are written.
    """

    def __init__(self, sink: BinaryIO) -> None:
        self.sink = sink
        self.now = 0.0  # simulated milliseconds
        self.proxies: dict[int, Proxy] = {}
        self.proxies_in_batch: dict[int, Proxy] = {}  # instances with an event in the current batch
        self.output_lines: list[bytes] = []

    def handle(self, line_number: int, name: str, values: list[Any]) -> None:
        """Handles one message.

        Args:
            line_number: The number of its line, for errors.
            name: The name of the message.
            values: Its values.

        Raises:
            MalformedMessageError: The message is unknown, lacks values, or is for an unknown instance.
        """
        if name == "Flush":
            self._end_batch()
            return
        try:
            if name == "BeginBatch":
                self.now = values[0] / NS_PER_MS
            elif name == "Begin":
                self._begin_instance(values)
            elif name == "Down":
                self._end_instance(values[0])
            else:
                self._handle_event(line_number, name, values)
        except (IndexError, KeyError, TypeError) as error:
            raise MalformedMessageError(
                f"line {line_number}: {name} lacks values, has one of a wrong type, or is for an unknown "
                f"instance: {error!r}"
            ) from error

    def _begin_instance(self, values: list[Any]) -> None:
        number = values[0]
        self._guard(number, self._create, values)
        if number in self.proxies:
            self.proxies_in_batch[number] = self.proxies[number]

    def _create(self, values: list[Any]) -> None:
        self.proxies[values[0]] = Proxy(values[0], values[1], values[2], self.now, self.output_lines)

    def _end_instance(self, number: int) -> None:
        self.proxies.pop(number, None)
        self.proxies_in_batch.pop(number, None)

    def _handle_event(self, line_number: int, name: str, values: list[Any]) -> None:
        number = values[0]
        handler = HANDLER_BY_EVENT.get(name)
        if handler is None:
            raise MalformedMessageError(f"line {line_number}: unknown event {name}")
        proxy = self.proxies[number]
        # Trailing values may be omitted, and later versions of the protocol may add values.
        arguments = values[1 : handler.value_count + 1] + [None] * (handler.value_count + 1 - len(values))
        self.proxies_in_batch[number] = proxy
        self._guard(number, handler.method, proxy, self.now, *arguments)

    def _end_batch(self) -> None:
        """Ends the batch of each instance that had an event in it, and sends all messages."""
        for number, proxy in self.proxies_in_batch.items():
            self._guard(number, proxy.end_batch, self.now)
        self.proxies_in_batch.clear()
        self.sink.write(b"\n".join([*self.output_lines, b'["Done"]\n']))
        self.sink.flush()
        self.output_lines.clear()

    def _guard(self, number: int, call: Callable[..., None], *values: Any) -> None:
        """Calls an instance; an exception is reported to the simulator, and the instance stays in use."""
        try:
            call(*values)
        except Exception as error:
            reason = f"{type(error).__name__}: {error} at {_location(error)}"
            self.output_lines.append(encode_message(["Exception", number, reason]))


def _location(error: Exception) -> str:
    """Returns the function and the line that raised an exception."""
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}" if trace else ""


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Handles the messages of a simulator until the end of the input.

    Raises:
        MalformedMessageError: A line does not conform to the protocol.
    """
    host = Host(sink)
    for line_number, line in enumerate(source, 1):
        if line.strip():
            name, *values = parse_message(line, line_number)
            host.handle(line_number, name, values)
