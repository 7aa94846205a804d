"""The proxy's side of the endpoints: their list, a pool of connections to each, commands and outcomes.

Invariants: no command is sent twice; an outcome says that a command has not run only if that is certain: the
endpoint rejected it, or its connection failed or was closed before its last byte was sent. The router chooses
the endpoint of a command.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from math import inf
from typing import Any

from calicofall.config.addresses import parse_address
from calicofall.config.endpoint_list import format_endpoint_list
from calicofall.fleet.in_flight_quota import InFlightQuota
from calicofall.proxy.address_owners import AddressOwners
from calicofall.proxy.close_cause import CloseCause
from calicofall.proxy.command_memory import CommandMemory
from calicofall.proxy.connection import BufferedConnection
from calicofall.proxy.connection_pool import ConnectionPool
from calicofall.proxy.metrics import Metrics
from calicofall.proxy.reply_distinctness import ReplyDistinctness
from calicofall.proxy.upstream_command import AnswerSink, UpstreamCommand
from calicofall.proxy.upstream_connection import UpstreamConnection
from calicofall.startup.connection_quotas import ConnectionQuotas

__all__ = ["UpstreamCommand", "Upstreams"]

MAX_CONNECTIONS_PER_ENDPOINT = 32
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0
DEFAULT_IDLE_TIMEOUT_MS = 30_000.0
# The proxy closes an idle connection after this fraction of the time after which the endpoint does.
IDLE_TIMEOUT_FRACTION = 0.9
LOG_INTERVAL_S = 10.0  # between two log lines about malformed replies
log = logging.getLogger("calicofall")


class Upstreams:
    """All endpoints of the list, with the proxy's connections to them.

    Args:
        loop: The event loop.
        caps: Settings of connections, times in ms.
        max_connections: Maximum number of connections to all endpoints together.
        preconnect_enabled: Whether connections are opened before they are needed.
        open_connection: Opens a connection, as `connection.open_connection` does.
        find_sink: Called with a command, the size of its long answer and a function that requests more of the
            answer; returns the sink that the answer is forwarded to as it arrives, or None.
        on_streaming: Called when the first bytes of a long answer are about to be forwarded.
        on_outcome: Called once for each command, with outcome, answer, cache status and load report.
        metrics: Counts the commands that have been sent.
        connection_quotas: This proxy's share of the endpoints' limits for handshakes and connections.
        common_clock_offset_s: Offset of the clock that all proxies share from the loop's clock (s).
        memory: The memory of requests and replies.
    """

    def __init__(  # noqa: PLR0913 - parts of the proxy, passed once
        self,
        loop: asyncio.AbstractEventLoop,
        caps: Mapping[str, Any],
        max_connections: int,
        preconnect_enabled: bool,
        open_connection: Callable[
            [asyncio.AbstractEventLoop, BufferedConnection, tuple[str, int], float], None
        ],
        find_sink: Callable[[UpstreamCommand, int, Callable[[], None]], AnswerSink | None],
        on_streaming: Callable[[UpstreamCommand], None],
        on_outcome: Callable[[UpstreamCommand, str, bytes, str | None, dict[str, float] | None], None],
        metrics: Metrics,
        connection_quotas: ConnectionQuotas,
        common_clock_offset_s: float,
        memory: CommandMemory,
    ) -> None:
        self.loop = loop
        self.max_connections = max(1, max_connections)
        self.preconnect_enabled = preconnect_enabled
        self.open_connection = open_connection
        self.find_sink = find_sink
        self.on_streaming = on_streaming
        self.on_outcome = on_outcome
        self.metrics = metrics
        self.connection_quotas = connection_quotas
        self.common_clock_offset_s = common_clock_offset_s
        self.memory = memory
        self.max_waiting_per_connection = max(1, int(caps.get("streams_per_conn") or 1))
        self.connect_timeout_s = (caps.get("dial_timeout") or DEFAULT_CONNECT_TIMEOUT_MS) / 1000.0
        self.idle_timeout_s = (
            (caps.get("conn_idle") or DEFAULT_IDLE_TIMEOUT_MS) / 1000.0 * IDLE_TIMEOUT_FRACTION
        )
        # Called right before a command is written.
        self.may_send: Callable[[UpstreamCommand], bool] = lambda command: True
        # Called right before a command is written: when its last byte has to have arrived (s, loop time).
        self.arrives_by: Callable[[UpstreamCommand], float] = lambda command: inf
        # Until when the rest of a command's reply is awaited once it has begun (s, loop time).
        self.incomplete_reply_due_at: Callable[[UpstreamCommand], float] = lambda command: -inf
        # Whether the budget of descriptors shared with clients allows one more connection.
        self.shared_budget_has_capacity: Callable[[], bool] = lambda: True
        self.in_flight_quota: InFlightQuota | None = None  # None if the settings set no limit
        self.reply_distinctness = ReplyDistinctness()
        self.pools: dict[str, ConnectionPool] = {}
        self.max_connections_per_endpoint = self.max_connections
        self.address_owners = AddressOwners()
        self.entries: dict[str, tuple[Any, ...]] = {}  # of the list, as received
        self.endpoint_names: set[str] = set()  # in the list, ready or draining
        self.malformed_count = 0  # malformed replies since the last log line about them
        self.next_log_at = 0.0
        self.next_repeat_log_at = 0.0

    def log_malformed_reply(self, name: str, reason: str) -> None:
        """Logs malformed replies, at most one line per interval with their number."""
        self.malformed_count += 1
        if self.loop.time() >= self.next_log_at:
            log.warning(
                "spoilt answers", extra={"count": self.malformed_count, "cache": name, "reason": reason}
            )
            self.malformed_count = 0
            self.next_log_at = self.loop.time() + LOG_INTERVAL_S

    def connection_count(self) -> int:
        """Returns the number of connections to all endpoints, including those not opened yet."""
        return sum(len(pool.connections) for pool in self.pools.values())

    def has_unused_budget(self) -> bool:
        """Whether the budget of connections to all endpoints allows one more without closing another."""
        return self.connection_count() < self.max_connections

    def has_capacity(self) -> bool:
        """Whether one more connection may be opened; closes the longest idle one for it if necessary."""
        self.close_idle_over(self.max_connections - 1)
        return self.connection_count() < self.max_connections and self.shared_budget_has_capacity()

    def close_idle_over(self, max_count: int) -> None:
        """Closes idle connections until at most `max_count` connections are left, the longest idle first."""
        excess = self.connection_count() - max_count
        if excess > 0:
            idle = [c for pool in self.pools.values() for c in pool.connections if c.is_idle]
            for connection in sorted(idle, key=lambda c: c.idle_since)[:excess]:
                connection.abort(CloseCause.REPLACED)

    def set_max_connections(self, max_connections: int) -> None:
        """Sets the budget of connections to all endpoints together."""
        self.max_connections = max(1, max_connections)
        self.divide_connection_budget()
        self.close_idle_over(self.max_connections)

    def divide_connection_budget(self) -> None:
        """Divides the budget of connections equally among the endpoints."""
        share = self.max_connections // max(1, len(self.pools))
        self.max_connections_per_endpoint = max(1, min(MAX_CONNECTIONS_PER_ENDPOINT, share))

    def on_endpoint_list(self, kind: str, entries: list[tuple[Any, ...]], addresses: dict[str, str]) -> None:
        """Applies a complete endpoint list, or the changes of the list if `kind` is "delta"."""
        if kind != "delta":
            self.endpoint_names.clear()
            self.entries.clear()
            for pool in self.pools.values():
                pool.accepts_requests = False
        for entry in entries:
            self._apply_entry(entry, addresses)
        for name, pool in list(self.pools.items()):
            if not pool.accepts_requests:
                pool.close_unused()
                if not pool.connections:
                    del self.pools[name]
        self.entries = {name: entry for name, entry in self.entries.items() if name in self.endpoint_names}
        self.connection_quotas.retain_endpoints(self.endpoint_names)
        if self.in_flight_quota is not None:
            self.in_flight_quota.retain_endpoints(self.endpoint_names)
        self.divide_connection_budget()
        for pool in self.pools.values():
            pool.preconnect()

    def endpoint_states(self) -> dict[str, str]:
        """Returns the state of each endpoint in the list."""
        return {name: entry[4] for name, entry in self.entries.items()}

    def endpoint_list(self, version: int | None) -> dict[str, Any]:
        """Returns the current list in the format of the discovery service."""
        addresses = {name: pool.address for name, pool in self.pools.items()}
        return format_endpoint_list(version, list(self.entries.values()), addresses)

    def send(  # noqa: PLR0913 - creating an object for each attempt would cost time
        self,
        name: str,
        active_request: Any,
        attempt_index: int,
        render: Callable[[float], list[bytes]],
        now_ms: float,
        timeout_ms: float,
        objective_left_ms: float,
    ) -> None:
        """Sends an attempt's command to an endpoint.

        If a connection could be opened only in a handshake slot that is too late, the outcome is "held": the
        command has not run, and the endpoint did not cause the failure.

        Args:
            name: The endpoint's name.
            active_request: The proxy's state of the request.
            attempt_index: The attempt's index among the attempts of its request.
            render: Returns the command's bytes in chunks; its argument is the time left for the answer (ms).
            now_ms: The current time (ms, the proxy's clock).
            timeout_ms: The attempt's timeout.
            objective_left_ms: Time until the request's latency objective.
        """
        answer_due_at = self.loop.time() + max(0.0, timeout_ms) / 1000.0
        command = UpstreamCommand(active_request, attempt_index, render, now_ms, answer_due_at)
        # Before the command is sent: if it fails at once, the next attempt is made within this call.
        active_request.command = command
        command.timer = self.loop.call_at(answer_due_at, self.time_out, command)
        arrives_by = self.arrives_by(command)
        if arrives_by < inf:
            command.unsent_repeat_timer = self.loop.call_at(arrives_by, self.end_unsent_repeat, command)
        pool = self.pools.get(name)
        if pool is None or not pool.accepts_requests or pool.address is None:
            self.loop.call_soon(self.finish, command, "unconnected")
            return
        if self.in_flight_quota is not None:
            if not self.in_flight_quota.try_begin(self.loop.time(), name):
                self.loop.call_soon(self.finish, command, "held")
                return
            command.in_flight_endpoint = name
        quotas = self.connection_quotas
        if not pool.send(command, quotas.max_wait_s(min(objective_left_ms, timeout_ms) / 1000.0)):
            has_quota = quotas.handshakes_per_s is not None or quotas.max_connections is not None
            self.loop.call_soon(self.finish, command, "held" if has_quota else "unconnected")

    def time_out(self, command: UpstreamCommand) -> None:
        """Cancels a command whose time is up; a reply that has begun is awaited for longer."""
        if command.finished:
            return
        connection = command.connection
        if connection is not None and connection.is_receiving_reply(command):
            due_at = self.incomplete_reply_due_at(command)
            if due_at > self.loop.time():
                command.timer = self.loop.call_at(due_at, self.time_out, command)
                return
        self.cancel_command(command, "timeout")

    def cancel_command(self, command: UpstreamCommand, outcome: str) -> None:
        """Cancels a command; one that was written in part or whole is cancelled by closing its connection."""
        if command.finished:
            return
        connection = command.connection
        if connection is None:
            self.finish(command, "held")  # it was never written, and the endpoint did not cause this
        elif connection.closed:
            self.finish(command, outcome)
        else:
            outcome = self._withdraw(command, connection, outcome)
            connection.finish_when_closed(command, outcome)

    def end_unsent_repeat(self, command: UpstreamCommand) -> None:
        """Ends a repeat that waits for a connection, or for its opening, at the end of its window."""
        if not (command.finished or command.end_offset):
            self._count_late_repeat(command)
            self.cancel_command(command, "held")

    def end_late_repeat(self, command: UpstreamCommand) -> None:
        """Ends a repeat that cannot arrive while the first run is remembered, and counts it.

        It says nothing of the endpoint if the command's end was never sent.
        """
        connection = command.connection
        if command.finished or connection is None or connection.closed:
            return
        self._count_late_repeat(command)
        self.cancel_command(command, "held" if connection.never_ran(command) else "timeout")

    def cancel_undelivered(self, command: UpstreamCommand) -> None:
        """Cancels a command whose client has left, unless its endpoint has all of it."""
        connection = command.connection
        if connection is not None and not connection.closed and not connection.is_delivered(command):
            self.cancel_command(command, "cancelled")

    def start_streaming(self, command: UpstreamCommand, connection: UpstreamConnection, size: int) -> None:
        """The head of a long answer is valid: from here on only a stall ends the command, not its timeout."""
        if not command.finished:
            command.timer.cancel()
            command.sink = self.find_sink(command, size, connection.resume_streaming)

    def finish(
        self,
        command: UpstreamCommand,
        outcome: str,
        answer: bytes = b"",
        cache_status: str | None = None,
        load_report: dict[str, float] | None = None,
    ) -> None:
        """Reports a command's outcome, once, and ends its count as in flight."""
        connection = command.connection
        quota = self.in_flight_quota
        if command.finished:
            return
        command.finished = True
        if command.in_flight_endpoint and quota is not None:
            quota.end(self.loop.time(), command.in_flight_endpoint)
            command.in_flight_endpoint = None
        if command.waiting_pool is not None:
            command.waiting_pool.stop_waiting(command)
        command.timer.cancel()
        if command.unsent_repeat_timer is not None:
            command.unsent_repeat_timer.cancel()
        if command.sink is not None and connection is not None and not connection.closed:
            self.loop.call_soon(connection.resume_streaming)  # the rest of the answer is read and discarded
        self.on_outcome(command, outcome, answer, cache_status, load_report)

    def close_expired_idle(self) -> None:
        """Closes idle connections before the endpoints do.

        Of a command sent on a connection that the endpoint is closing, it is unknown whether it has run.
        """
        idle_before = self.loop.time() - self.idle_timeout_s
        for pool in self.pools.values():
            pool.close_idle(idle_before)

    def close_idle(self, name: str) -> None:
        """Closes the idle connections to an endpoint."""
        if name in self.pools:
            self.pools[name].close_idle()

    def close(self) -> None:
        """Closes all connections at once."""
        for pool in self.pools.values():
            for connection in list(pool.connections):
                connection.abort(CloseCause.SHUTDOWN)

    def _count_late_repeat(self, command: UpstreamCommand) -> None:
        self.metrics.late_repeats += 1
        now = self.loop.time()
        if now < self.next_repeat_log_at:
            return
        request = command.active_request.request
        log.warning(
            "repeats given up",
            extra={
                "count": self.metrics.late_repeats,
                "cache": request.attempts[command.attempt_index].endpoint,
                "method": request.name,
            },
        )
        self.next_repeat_log_at = now + LOG_INTERVAL_S

    def _apply_entry(self, entry: tuple[Any, ...], addresses: dict[str, str]) -> None:
        name = entry[0]
        state = entry[4]
        pool = self.pools.get(name)
        if pool is None:
            pool = self.pools[name] = ConnectionPool(self, name)
        pool.set_process_start(entry[6] / 1000.0 - self.common_clock_offset_s)
        pool.accepts_requests = state == "ready"
        if state == "gone":
            self.endpoint_names.discard(name)
        else:
            self.endpoint_names.add(name)
        self.entries[name] = entry
        try:
            address: tuple[str, int] | None = parse_address(addresses[name])
        except (KeyError, ValueError):
            address = pool.address
        if address != pool.address:  # the endpoint has moved: no pending command is sent to the old address
            pool.close_unused()
            pool.address = address

    @staticmethod
    def _withdraw(command: UpstreamCommand, connection: UpstreamConnection, outcome: str) -> str:
        """Ends a cancelled command on its connection; returns the outcome to report."""
        if not connection.is_open or not command.end_offset:
            connection.release(command)
            return "moot"  # never written; the connection may carry the next command
        # No further byte of the command may be sent, and its queued bytes can only be discarded by closing
        # the connection. The command is removed first, so that the abort reports no outcome for it.
        connection.command = None
        connection.abort(CloseCause.GIVEN_UP)
        connection.pool.preconnect()
        return outcome
