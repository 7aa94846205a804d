"""The way of each request from the client's command to its final answer.

The router decides which endpoint a request is sent to and how it ends; its decisions are carried out here,
and the outcomes of attempts are reported to it.

Invariants: an accepted request gets exactly one final answer, unless its client disconnects; if a value
cannot be completed after a part of it was sent, the client's connection is closed instead. Nothing is sent
for a finished request.
"""

import logging
from collections.abc import Callable
from itertools import count
from math import inf
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

from calicofall.invariants import check_invariant
from calicofall.proxy import resp
from calicofall.proxy.active_request import ActiveRequest
from calicofall.proxy.client_protocol import (
    InvalidRequestError,
    RequestFields,
    parse_request_fields,
    parse_time_left_ms,
)
from calicofall.proxy.departed_requests import DepartedRequests
from calicofall.proxy.pending_reply import PendingReply
from calicofall.proxy.upstream_command import UpstreamCommand
from calicofall.routing.request import Request, RetrySafety

if TYPE_CHECKING:
    from calicofall.proxy.server import Proxy

MAX_LATENCY_MS = 60_000  # that the histograms tell apart
LATENCY_DIGITS = 2  # significant digits of a latency in the histograms
UNDELIVERED_GRACE_S = 0.05  # for a command that is on its way when its client disconnects
LOGGED_PERCENTILES = (50, 90, 99)
log = logging.getLogger("calicofall")


class RequestLifecycle:
    """The requests in flight of one proxy.

    Args:
        proxy: The proxy, whose router and connections are used.

    Attributes:
        active_requests: The requests in flight by id.
        active_client_ids: The ids that clients gave to requests in flight.
        latency_histograms: Latencies (ms) of the requests that were answered, by method.
    """

    def __init__(self, proxy: "Proxy") -> None:
        self.proxy = proxy
        self.router = proxy.router
        self.metrics = proxy.metrics
        self.note_recorder = proxy.note_recorder
        self.active_requests: dict[str, ActiveRequest] = {}
        self.latency_histograms: dict[str, HdrHistogram] = {}
        self.active_client_ids: set[bytes] = set()
        self.departed = DepartedRequests()
        self._request_ids = count()
        # Whether each request is logged, for testbed/loss_breakdown.py.
        self.logs_requests = log.isEnabledFor(logging.DEBUG)
        self._first_answer_pending = True
        self.set_methods(proxy.methods, proxy.tenants)

    def set_methods(self, methods: dict[str, dict[str, Any]], tenants: set[str]) -> None:
        """Replaces the settings of methods by name, and the names of tenants, from the next request on."""
        self.methods = methods
        self.tenants = tenants
        for name in methods:
            self.latency_histograms.setdefault(name, HdrHistogram(1, MAX_LATENCY_MS, LATENCY_DIGITS))

    def log_latencies(self) -> None:
        """Logs percentiles of the latencies of answered requests, by method."""
        for method, histogram in self.latency_histograms.items():
            if histogram.get_total_count():
                log.info(
                    "answer times",
                    extra={
                        "method": method,
                        "count": histogram.get_total_count(),
                        **{
                            f"p{percentile}": histogram.get_value_at_percentile(percentile)
                            for percentile in LOGGED_PERCENTILES
                        },
                    },
                )

    # The client's side

    def find_time_left_s(self, parts: list[bytes]) -> float:
        """Returns how long a request may take, from the parts of its command received so far (s)."""
        return parse_time_left_ms(parts, self.methods) / 1000.0

    def on_request(self, reply: PendingReply, parts: list[bytes]) -> None:
        """Accepts a client's request, or rejects its command."""
        try:
            fields = self._parse_request(parts)
        except InvalidRequestError as error:
            reply.client.reject_command(reply, str(error))
            return
        reply.client.consecutive_errors = 0
        self._update_settings_and_quotas(fields)
        now = self.proxy.now_ms()
        active_request = self._add_active_request(now, fields, reply, parts)
        request = active_request.request
        self.execute_decision(
            now, active_request, self._call_router(active_request, self.router.route, now, request)
        )
        self.proxy.schedule_tick()

    def on_client_disconnected(self, reply: PendingReply) -> None:
        """Cancels the attempt that is in flight for a client that has disconnected."""
        active_request = reply.active_request
        if active_request is None or active_request.reply is None:
            return
        active_request.reply = None
        self._remove_active_request(active_request)
        cancelled_attempts = self.router.on_client_disconnected(self.proxy.now_ms(), active_request.request)
        command = active_request.command
        # A command that waits for a connection is withdrawn even if endpoints do not support cancelling.
        # Otherwise it would be sent after its client has disconnected.
        if command is not None and (cancelled_attempts or command.can_be_withdrawn()):
            self.proxy.upstreams.cancel_command(command, "cancelled")
        elif command is not None:
            # The endpoint may not have got all of it, and nothing further is sent for a client that has left.
            self.proxy.loop.call_later(UNDELIVERED_GRACE_S, self.proxy.upstreams.cancel_undelivered, command)
        if active_request.request.first_possibly_run() and self.router.has_effect(active_request.request):
            self.departed.add(active_request.parts[2], self.proxy.loop.time())
        self.proxy.schedule_tick()

    # Decisions

    def route_again(self, now: float, request: Request) -> None:
        """Routes a request whose wait has ended; `now` is the proxy's clock (ms)."""
        active_request = self.active_requests.get(request.id)
        check_invariant(active_request is not None, "a waiting request is an active request")
        if active_request is not None:
            self.execute_decision(
                now, active_request, self._call_router(active_request, self.router.route, now, request)
            )

    def execute_decision(self, now: float, active_request: ActiveRequest, endpoint: str | None) -> None:
        """Sends a request to the endpoint that was decided on, or answers the client if the request is over.

        If there is neither an endpoint nor an answer, the request waits for its next decision.
        """
        request = active_request.request
        outliers = self.proxy.outliers
        # An attempt that is not made, because the endpoint is slow for large answers, is reported as
        # withheld. The router then chooses again.
        if endpoint is not None and outliers is not None and outliers.avoids(request):
            endpoint = self._call_router(
                active_request,
                self.router.report_attempt,
                now,
                request,
                len(request.attempts) - 1,
                "held",
                0.0,
            )
        if endpoint is not None:
            self._send(now, active_request, endpoint)
        elif request.answer == "exhausted":
            retry_after_ms = round(request.retry_after_ms)
            self._send_answer(
                now,
                active_request,
                resp.encode_error(f"BUSY {retry_after_ms}" if retry_after_ms > 0 else "BUSY"),
            )
        elif request.answer == "errored":
            self._send_answer(now, active_request, resp.encode_error("ERR errored"))

    def expire_all(self) -> None:
        """Expires all requests in flight, since the process is killed soon."""
        now = self.proxy.now_ms()
        for active_request in list(self.active_requests.values()):
            request = active_request.request
            request.expires_at = min(request.expires_at, now)
            if active_request.command is not None and not request.streaming:
                self.proxy.upstreams.cancel_command(active_request.command, "timeout")

    # The endpoints' side

    def may_send(self, command: UpstreamCommand) -> bool:
        """Returns whether a command may still be sent; called right before its first byte is written."""
        if self.proxy.configuration_sync is not None:
            self.proxy.configuration_sync.refresh_if_due()
        active_request: ActiveRequest = command.active_request
        if active_request.reply is not None:
            active_request.reply.client.detect_disconnect()
        return not active_request.request.finished and self.router.is_still_allowed(
            self.proxy.now_ms(), active_request.request, command.attempt_index
        )

    def arrives_by(self, command: UpstreamCommand) -> float:
        """Returns when a command's last byte has to have arrived (s, the loop's clock); may be infinite."""
        ends_at_ms = self.router.repeat_ends_at(command.active_request.request, command.attempt_index)
        return (ends_at_ms - self.proxy.wall_clock_offset_ms) / 1000.0

    def incomplete_reply_due_at(self, command: UpstreamCommand) -> float:
        """Returns until when an incomplete reply is awaited (s, loop time); -inf if nobody waits for it."""
        request = command.active_request.request
        if request.finished:
            return -inf
        due_at_ms = request.expires_at if request.streaming else self.router.incomplete_reply_due_at(request)
        return (due_at_ms - self.proxy.wall_clock_offset_ms) / 1000.0

    def find_sink(
        self, command: UpstreamCommand, size: int, request_next_chunk: Callable[[], None]
    ) -> PendingReply | None:
        """Returns the reply to which a long answer is streamed; None if the client has disconnected.

        Args:
            command: The command that is answered.
            size: The size of the value (bytes).
            request_next_chunk: Requests the next part of the value from the endpoint's connection.
        """
        active_request: ActiveRequest = command.active_request
        reply = active_request.reply
        if reply is not None:
            reply.start_streaming(size, request_next_chunk)
        return reply

    def on_streaming(self, command: UpstreamCommand) -> None:
        """Reports that a part of an answer is about to be sent: the request gets no other attempt."""
        active_request = command.active_request
        active_request.streaming_began_at = self.proxy.now_ms()
        self._call_router(
            active_request,
            self.router.on_response_started,
            active_request.streaming_began_at,
            active_request.request,
            command.attempt_index,
        )

    def on_outcome(
        self,
        command: UpstreamCommand,
        outcome: str,
        answer: bytes,
        cache_status: str | None,
        load_report: Any,
    ) -> None:
        """Reports the end of an attempt to the router, then answers the request or tries it again.

        Args:
            command: The attempt's command.
            outcome: How the attempt ended.
            answer: The value; of a streamed value, the part that the client has not been sent yet.
            cache_status: How the endpoint got the value, such as `hit`; None if unknown.
            load_report: The endpoint's load report, if any.
        """
        now = self.proxy.now_ms()
        active_request: ActiveRequest = command.active_request
        active_request.command = None
        request = active_request.request
        reply = active_request.reply
        already_finished = request.finished  # the client has disconnected: there is no reply to send
        answer_started = command.streaming or (reply is not None and reply.head_sent)
        if reply is not None and not answer_started:
            reply.request_next_chunk = None
        next_endpoint = self._report_attempt(
            now, command, outcome, len(answer), cache_status, load_report, answer_started
        )
        if not already_finished and outcome == "completed":
            data = answer + b"\r\n" if answer_started else resp.encode_bulk(answer)
            self._send_answer(now, active_request, data)
        elif not already_finished and answer_started:
            self._end_truncated(active_request)
        elif not already_finished:
            self.execute_decision(now, active_request, next_endpoint)
        self.proxy.schedule_tick()

    def _report_attempt(  # noqa: PLR0913 - what is known of the attempt's end
        self,
        now: float,
        command: UpstreamCommand,
        outcome: str,
        answer_bytes: int,
        cache_status: str | None,
        load_report: Any,
        answer_started: bool,
    ) -> str | None:
        """Reports the end of an attempt to the router and as evidence; returns the next endpoint, if any."""
        active_request: ActiveRequest = command.active_request
        request = active_request.request
        endpoint = request.attempts[command.attempt_index].endpoint
        outliers = self.proxy.outliers
        latency_ms = reported_latency_ms = (active_request.streaming_began_at or now) - command.sent_at_ms
        # The router gets the latency with the allowance for large answers, the evidence the measured one.
        if outliers is not None:
            reported_latency_ms = outliers.fair_latency(endpoint, request.name, latency_ms, answer_bytes)
        next_endpoint = self._call_router(
            active_request,
            self.router.report_attempt,
            now,
            request,
            command.attempt_index,
            outcome,
            reported_latency_ms,
            cache_status,
            load_report,
            answer_started,
        )
        if outliers is not None:
            outliers.on_result(endpoint, request, outcome, latency_ms, answer_bytes)
        return next_endpoint

    def _end_truncated(self, active_request: ActiveRequest) -> None:
        """Ends a request of whose value the client has a part: the connection ends behind it."""
        request = active_request.request
        reply = active_request.reply
        request.answer = "errored"
        active_request.reply = None
        self.metrics.count_answer(request.answer, request.name)
        self.metrics.truncated_values += 1
        self._remove_active_request(active_request)
        if reply is not None:
            reply.truncate()

    # Active requests

    def _parse_request(self, parts: list[bytes]) -> RequestFields:
        fields = parse_request_fields(parts, self.methods, self.tenants)
        if parts[2] in self.active_client_ids:  # an endpoint would take it for the request in flight
            raise InvalidRequestError("the id of a request in flight")
        has_effect = self.methods[fields.method].get("repeats") != RetrySafety.IDEMPOTENT
        if has_effect and self.departed.may_have_run(parts[2], self.proxy.loop.time()):
            raise InvalidRequestError("the id of a request that may have run")
        return fields

    def _update_settings_and_quotas(self, fields: RequestFields) -> None:
        """Applies what has expired, and counts the request, before it is decided on."""
        if self.proxy.configuration_sync is not None:
            self.proxy.configuration_sync.refresh_if_due()
        if self.proxy.quotas is not None:
            self.proxy.quotas.count_request(fields.tenant)
            self.proxy.quotas.refresh_if_due()
        if self.proxy.outliers is not None:
            self.proxy.outliers.on_request(fields.key)

    def _add_active_request(
        self, now: float, fields: RequestFields, reply: PendingReply, parts: list[bytes]
    ) -> ActiveRequest:
        request = Request(
            str(next(self._request_ids)),
            fields.method,
            fields.tenant,
            fields.key,
            fields.is_write,
            now,
            self._expires_at(now, fields, reply.waited_s),
            fields.is_repeat,
        )
        active_request = ActiveRequest(request, reply, parts)
        reply.active_request = active_request
        self.active_requests[request.id] = active_request
        self.active_client_ids.add(parts[2])
        if self.note_recorder is not None:
            self.note_recorder.note(
                "command",
                id=parts[2].decode(),
                rpc=request.id,
                method=request.method,
                key=request.key,
                tenant=request.tenant,
                patience=request.expires_at - now,
            )
        return active_request

    def _expires_at(self, now: float, fields: RequestFields, waited_s: float) -> float:
        """Returns when a request's time is up (ms, the proxy's clock).

        Its time counts from its last byte, which may have arrived `waited_s` ago: the proxy did not read, for
        want of memory or since many replies were due.
        """
        hard_deadline_ms: float = self.methods[fields.method]["hard_deadline"]
        time_left_ms = min(fields.patience_ms, hard_deadline_ms) - waited_s * 1000.0
        # During a shutdown, a late request must not keep its connection open for the whole of its deadline.
        shutdown_ends_at = self.proxy.shutdown.answers_due_at * 1000.0 + self.proxy.wall_clock_offset_ms
        return min(now + max(0.0, time_left_ms), max(now, shutdown_ends_at))

    def _remove_active_request(self, active_request: ActiveRequest) -> None:
        """Removes a request that has been answered or whose client has disconnected."""
        if self.active_requests.pop(active_request.request.id, None) is not None:
            self.active_client_ids.discard(active_request.parts[2])

    # Steps

    @staticmethod
    def _call_router(
        active_request: ActiveRequest, router_call: Callable[..., str | None], *arguments: Any
    ) -> str | None:
        """Calls the router; if it raises an exception, the request ends with the answer `errored`.

        Args:
            active_request: The request that the call is about.
            router_call: The router's method.
            arguments: Its arguments.

        Returns:
            The endpoint that the request is sent to now, if any.
        """
        try:
            return router_call(*arguments)
        except Exception as error:  # an error in a decision must not leave the request unanswered
            log.exception(
                "decision failed", extra={"reason": repr(error), "method": active_request.request.method}
            )
            active_request.request.finished, active_request.request.answer = True, "errored"
            return None

    def _send(self, now: float, active_request: ActiveRequest, endpoint: str) -> None:
        request = active_request.request
        check_invariant(
            not request.finished and now < request.expires_at, "nothing is sent for a finished request"
        )
        self.proxy.upstreams.send(
            endpoint,
            active_request,
            len(request.attempts) - 1,
            active_request.render,
            now,
            request.timeout_ms,
            request.arrived_at + self.router.latency_objective(request) - now,
        )

    def _send_answer(self, now: float, active_request: ActiveRequest, data: bytes) -> None:
        """Sends the final answer of a request to its client."""
        request, reply = active_request.request, active_request.reply
        active_request.reply = None
        check_invariant(reply is not None, "a request gets one answer")
        self._remove_active_request(active_request)
        if reply is None:
            return
        self.metrics.count_answer(request.answer or "errored", request.name)
        if self._first_answer_pending and request.answer == "completed":
            self._first_answer_pending = False
            self.proxy.reach_phase("first RPC")
        latency_ms = (active_request.streaming_began_at or now) - request.arrived_at
        self.latency_histograms[request.name].record_value(max(1, round(latency_ms)))
        reply.complete(data)
        if self.logs_requests:
            self._log_request(now, active_request)
        if self.note_recorder is not None:
            self.note_recorder.note(
                "answer",
                rpc=request.id,
                answer=request.answer,
                ms=now - request.arrived_at,
                size=len(data),
            )

    def _log_request(self, now: float, active_request: ActiveRequest) -> None:
        """Logs a request's answer, attempts and cause of failure at DEBUG (see testbed/loss_breakdown.py)."""
        request = active_request.request
        attempts = [
            f"{attempt.endpoint}:{attempt.outcome or 'out'}:{attempt.sent_at - request.arrived_at:.0f}"
            for attempt in request.attempts
        ]
        log.debug(
            "rpc",
            extra={
                "id": active_request.parts[2].decode(),
                "method": request.name,
                "answer": request.answer,
                "ms": round((active_request.streaming_began_at or now) - request.arrived_at),
                "soft": round(self.router.latency_objective(request)),
                "sends": ",".join(attempts) or None,
                "why": None if request.answer == "completed" else self.router.rejection_cause(now, request),
                **self.router.limits_in_use(),
            },
        )
