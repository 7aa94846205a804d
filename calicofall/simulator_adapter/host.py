"""The instances of a simulation: events of the wire go to their routers, decisions back to the wire.

Invariants: nothing is decided here, and an instance has one timer.
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
    ANSWER_NOTES,
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

TIMER_TOKEN = 0  # the token of the one timer of an instance


class Proxy:
    """One instance: a router and its timer.

    The methods for events take the values of the wire's message in their order.

    Args:
        number: The number of the instance on the wire.
        seed: The seed of the router.
        settings: The settings, in the form of the operators' file.
        now: The simulated time, in milliseconds.
        output_lines: The lines that go to the simulator at the end of the batch.
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

    def send_decision(self, rpc: Request, cache: str | None) -> None:
        """Sends what was decided for a request: an attempt at an endpoint, or its end."""
        if cache is not None:
            self.send_message("PassOn", rpc.id, cache, ms_to_ns(rpc.timeout_ms))
        elif rpc.answer == "exhausted":
            self.send_message("NotNow", rpc.id, ms_to_ns(rpc.retry_after_ms))
        elif rpc.answer == "errored":
            self.send_message("Surrender", rpc.id)

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
        """A client sends a request."""
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
        note: int | None,
        load_report: Any,
    ) -> None:
        """An attempt has ended, or with `complete` the whole answer has come."""
        request = self.router.active_requests.get(request_id)
        if request is None or attempt >= len(request.attempts) or request.attempts[attempt].outcome:
            return
        finished = request.finished or complete
        endpoint = self.router.report_attempt(
            now,
            request,
            attempt,
            OUTCOMES.get(code, "error"),
            took_ns / NS_PER_MS,
            ANSWER_NOTES.get(note or 0),
            load_report,
            complete,
        )
        if not finished:
            self.send_decision(request, endpoint)

    def on_response_started(
        self, now: float, request_id: str, _attempt: int, _endpoint: str, _took_ns: int
    ) -> None:
        """The first bytes of an answer have come, and go on to the client."""
        request = self.router.active_requests.get(request_id)
        if request is not None:
            request.streaming = True

    def on_client_disconnected(self, now: float, request_id: str) -> None:
        """A client has given up: its attempts are cancelled."""
        request = self.router.active_requests.get(request_id)
        if request is not None:
            for attempt in self.router.on_client_disconnected(now, request):
                self.send_message("Recall", request_id, attempt)

    def on_endpoint_list(
        self, now: float, kind: int, version: int | None, lines: list[list[Any]] | None
    ) -> None:
        """An endpoint list, changes of it, or word that it could not be had."""
        entries = [parse_endpoint(line) for line in lines or []]
        self.router.on_endpoint_list(now, LIST_KINDS.get(kind, "delta"), version, entries)

    def on_timer(self, now: float, _token: int) -> None:
        """The timer is due."""
        self.timer_due_at = inf
        while (request := self.router.next_due_request(now)) is not None:
            self.send_decision(request, self.router.route(now, request))

    def on_health_check_result(
        self, now: float, _endpoint: str, _took_ns: int, _code: int, _load_report: Any
    ) -> None:
        """Nothing follows: the router sends no health checks."""

    def on_gossip(self, now: float, peer: int, payload: str) -> None:
        """A message of another instance, in base64; one that is not is dropped, as a damaged datagram is."""
        try:
            self.router.on_gossip(now, peer, b64decode(payload))
        except ValueError:
            return

    def end_batch(self, now: float) -> None:
        """Ends a batch: what the router logs, its actions, and the timer."""
        wait = self.router.tick(now)
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
        if now + wait < self.timer_due_at - WAIT_TOLERANCE_MS:
            self.timer_due_at = now + wait
            self.send_message("Remind", ms_to_ns(wait), TIMER_TOKEN)


# The events of the wire.
EVENT_HANDLERS: dict[str, Callable[..., None]] = {
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
    """What handles an event of the wire, and how many values it takes besides the instance and the time."""

    method: Callable[..., None]
    values: int


HANDLERS = {
    name: EventHandler(method, len(signature(method).parameters) - 2)
    for name, method in EVENT_HANDLERS.items()
}


class Host:
    """The instances of a simulation, and the batch of events that is being handled."""

    def __init__(self, sink: BinaryIO) -> None:
        self.sink = sink
        self.now = 0.0  # simulated milliseconds
        self.proxies: dict[int, Proxy] = {}
        self.proxies_in_batch: dict[int, Proxy] = {}  # instances that have had an event in this batch
        self.output_lines: list[bytes] = []

    def handle(self, number: int, name: str, values: list[Any]) -> None:
        """Handles one message.

        Args:
            number: The place of its line, for errors.
            name: The name of the message.
            values: Its values.

        Raises:
            MalformedMessageError: It is unknown, lacks values, or is for an instance that is not there.
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
                self._handle_event(number, name, values)
        except (IndexError, KeyError, TypeError) as error:
            raise MalformedMessageError(f"line {number}: {name}: {error!r}") from error

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
        handler = HANDLERS.get(name)
        if handler is None:
            raise MalformedMessageError(f"line {line_number}: unknown event {name}")
        proxy = self.proxies[number]
        # Values at the end may be left out, and later versions of the protocol may have more of them.
        given = values[1 : handler.values + 1] + [None] * (handler.values + 1 - len(values))
        self.proxies_in_batch[number] = proxy
        self._guard(number, handler.method, proxy, self.now, *given)

    def _end_batch(self) -> None:
        for number, proxy in self.proxies_in_batch.items():
            self._guard(number, proxy.end_batch, self.now)
        self.proxies_in_batch.clear()
        self.sink.write(b"\n".join([*self.output_lines, b'["Done"]\n']))
        self.sink.flush()
        self.output_lines.clear()

    def _guard(self, number: int, call: Callable[..., None], *values: Any) -> None:
        """Calls an instance; an exception there goes to the simulator in the wire's own message for it."""
        try:
            call(*values)
        except Exception as error:
            reason = f"{type(error).__name__}: {error} at {_place(error)}"
            self.output_lines.append(encode_message(["Exception", number, reason]))


def _place(error: Exception) -> str:
    """The function and line that an exception comes from."""
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}" if trace else ""


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Handles the messages of a simulator until it ends.

    Raises:
        MalformedMessageError: A line is not what the documentation of the protocol says.
    """
    host = Host(sink)
    for number, line in enumerate(source, 1):
        if line.strip():
            name, *values = parse_message(line, number)
            host.handle(number, name, values)
