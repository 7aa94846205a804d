"""The endpoints as the proxy sees them: the list, a pool of connections for each, commands and outcomes.

Invariants: no command is sent twice; an outcome says that a command has not run only if that is proven: the
endpoint turned it away, or the connection failed or broke before its last byte left. Which endpoint a command
goes to is the router's to say.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from calicofall.config.addresses import parse_address
from calicofall.config.endpoint_list import format_endpoint_list
from calicofall.fleet.in_flight_quota import InFlightQuota
from calicofall.proxy.connection import BufferedConnection
from calicofall.proxy.connection_pool import ConnectionPool
from calicofall.proxy.metrics import Metrics
from calicofall.proxy.upstream_command import AnswerSink, UpstreamCommand
from calicofall.proxy.upstream_connection import UpstreamConnection
from calicofall.startup.connection_quotas import ConnectionQuotas

__all__ = ["UpstreamCommand", "Upstreams"]

MAX_CONNECTIONS_PER_ENDPOINT = 32
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0
DEFAULT_IDLE_TIMEOUT_MS = 30_000.0
IDLE_TIMEOUT_FRACTION = (
    0.9  # of the time after which an endpoint closes an idle connection, when ours is closed
)
LOG_INTERVAL_S = 10.0  # between two lines about malformed replies
log = logging.getLogger("calicofall")


class Upstreams:
    """All endpoints of the list, with the proxy's connections to them.

    Args:
        loop: The event loop.
        caps: Settings of connections, times in ms.
        max_connections: To all endpoints together.
        preconnect_enabled: Whether connections are opened before they are needed.
        open_connection: Opens a connection, as `connection.open_connection` does.
        find_sink: Called with a command, the size of its long answer and what asks for more of it; gives who
            takes the answer as it comes.
        on_streaming: Called when some of a long answer is about to be passed on.
        on_outcome: Called once for each command, with outcome, answer, note and load report.
        metrics: Where commands that have left are counted.
        connection_quotas: This proxy's part of the handshakes and connections that endpoints bear.
        common_clock_offset_s: From the loop's clock to the one that proxies have in common.
    """

    def __init__(  # noqa: PLR0913 - the proxy's own parts, given once
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
        self.max_pending_per_connection = max(1, int(caps.get("streams_per_conn") or 1))
        self.connect_timeout_s = (caps.get("dial_timeout") or DEFAULT_CONNECT_TIMEOUT_MS) / 1000.0
        self.idle_timeout_s = (
            (caps.get("conn_idle") or DEFAULT_IDLE_TIMEOUT_MS) / 1000.0 * IDLE_TIMEOUT_FRACTION
        )
        self.may_send: Callable[[UpstreamCommand], bool] = (
            lambda command: True
        )  # asked right before it leaves
        self.shared_budget_has_capacity: Callable[[], bool] = (
            lambda: True
        )  # of the budget shared with clients
        self.in_flight_quota: InFlightQuota | None = None  # where the settings bound what is in flight
        self.pools: dict[str, ConnectionPool] = {}
        self.max_connections_per_endpoint = self.max_connections
        self.entries: dict[str, tuple[Any, ...]] = {}  # of the list, as it came
        self.endpoint_names: set[str] = set()  # in the list, ready or draining
        self.malformed_count = 0  # since the last line about them
        self.next_log_at = 0.0

    def log_malformed_reply(self, name: str, reason: str) -> None:
        """Logs that an endpoint's reply was malformed, in few lines however many there are."""
        self.malformed_count += 1
        if self.loop.time() >= self.next_log_at:
            log.warning(
                "spoilt answers", extra={"count": self.malformed_count, "cache": name, "reason": reason}
            )
            self.malformed_count = 0
            self.next_log_at = self.loop.time() + LOG_INTERVAL_S

    def connection_count(self) -> int:
        """Connections to all endpoints, also those that wait to be opened."""
        return sum(len(pool.connections) for pool in self.pools.values())

    def has_capacity(self) -> bool:
        """Whether one more connection may be opened; the longest idle one goes for it if need be."""
        self.close_idle_over(self.max_connections - 1)
        return self.connection_count() < self.max_connections and self.shared_budget_has_capacity()

    def close_idle_over(self, max_count: int) -> None:
        """Closes idle connections over a number of connections, the longest idle first."""
        excess = self.connection_count() - max_count
        if excess > 0:
            idle = [one for pool in self.pools.values() for one in pool.connections if one.is_idle]
            for connection in sorted(idle, key=lambda one: one.idle_since)[:excess]:
                connection.abort()

    def set_max_connections(self, max_connections: int) -> None:
        """Sets another budget of connections."""
        self.max_connections = max(1, max_connections)
        self.divide_connection_budget()
        self.close_idle_over(self.max_connections)

    def divide_connection_budget(self) -> None:
        """Divides the budget of connections among the endpoints there are."""
        share = self.max_connections // max(1, len(self.pools))
        self.max_connections_per_endpoint = max(1, min(MAX_CONNECTIONS_PER_ENDPOINT, share))

    def on_endpoint_list(self, kind: str, entries: list[tuple[Any, ...]], addresses: dict[str, str]) -> None:
        """Takes over a list, or changes of it where `kind` is "delta"."""
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
        """The state of each endpoint in the list."""
        return {name: entry[4] for name, entry in self.entries.items()}

    def endpoint_list(self, version: int | None) -> dict[str, Any]:
        """The list that is in force, in discovery's form."""
        addresses = {name: pool.address for name, pool in self.pools.items()}
        return format_endpoint_list(version, list(self.entries.values()), addresses)

    def send(  # noqa: PLR0913 - an object for each attempt would cost time
        self,
        name: str,
        active_request: Any,
        attempt_index: int,
        render: Callable[[float], list[bytes]],
        now_ms: float,
        timeout_ms: float,
        request_left_ms: float,
        objective_left_ms: float,
    ) -> UpstreamCommand:
        """Sends an attempt's command to an endpoint.

        A connection whose turn to be opened comes too late is not waited for: the outcome is then "held",
        which says that the command has not run and that the endpoint is not to blame.

        Args:
            name: The endpoint.
            active_request: What the proxy knows of the request.
            attempt_index: The attempt's index among those of its request.
            render: The command's bytes in pieces, by how long is left for its answer (ms).
            now_ms: The proxy's clock.
            timeout_ms: How long the answer is waited for.
            request_left_ms: Until the request is over.
            objective_left_ms: Until the request's latency objective.
        """
        began = self.loop.time()
        answer_due_at = began + max(0.0, timeout_ms) / 1000.0
        command = UpstreamCommand(
            active_request, attempt_index, render, now_ms, answer_due_at, began + request_left_ms / 1000.0
        )
        command.timer = self.loop.call_at(answer_due_at, self.on_timeout, command)
        pool = self.pools.get(name)
        if pool is None or not pool.accepts_requests or pool.address is None:
            self.loop.call_soon(self.finish, command, "unconnected")
            return command
        if self.in_flight_quota is not None:
            if not self.in_flight_quota.try_begin(self.loop.time(), name):
                self.loop.call_soon(self.finish, command, "held")
                return command
            command.in_flight_endpoint = name
        quotas = self.connection_quotas
        connection = pool.acquire(quotas.max_wait_s(min(objective_left_ms, timeout_ms) / 1000.0))
        if connection is None:
            has_quota = quotas.handshakes_per_s is not None or quotas.max_connections is not None
            self.loop.call_soon(self.finish, command, "held" if has_quota else "unconnected")
            return command
        connection.send(command)
        pool.preconnect()
        return command

    def on_timeout(self, command: UpstreamCommand) -> None:
        """A command's answer is overdue: it is given up, if it can be called off."""
        connection = command.connection
        left_s = command.request_due_at - self.loop.time()
        # On a connection where others wait it can't be called off, and would be in flight still while the
        # request's next attempt is sent to another endpoint.
        if left_s > 0.0 and connection is not None and connection.shares_connection(command):
            command.timer = self.loop.call_later(left_s, self.cancel_command, command, "timeout")
            connection.overdue = True
        else:
            self.cancel_command(command, "timeout")

    def cancel_command(self, command: UpstreamCommand, outcome: str) -> None:
        """Gives a command up: closes its connection, unless all of it has left and others wait there."""
        if command.finished:
            return
        connection = command.connection
        if connection is None:
            outcome = "held"  # it was never written, and the endpoint is not to blame
        elif not connection.closed:
            outcome = self._call_off(command, connection, outcome)
        self.finish(command, outcome)

    def start_streaming(self, command: UpstreamCommand, connection: UpstreamConnection, size: int) -> None:
        """The head of a long answer is right: from here on only a stall ends it."""
        if not command.finished:
            command.timer.cancel()
            command.sink = self.find_sink(command, size, connection.resume_streaming)

    def finish(
        self,
        command: UpstreamCommand,
        outcome: str,
        answer: bytes = b"",
        note: str | None = None,
        load: dict[str, float] | None = None,
    ) -> None:
        """Tells the outcome of a command, once; counts it as in flight no longer if it has ended."""
        connection = command.connection
        quota = self.in_flight_quota
        # A command that is given up while others wait behind it stays in flight until its reply has come.
        has_ended = connection is None or connection.closed or command not in connection.pending
        if command.in_flight_endpoint and has_ended and quota is not None:
            quota.end(self.loop.time(), command.in_flight_endpoint)
            command.in_flight_endpoint = None
        if command.finished:
            return
        command.finished = True
        command.timer.cancel()
        if command.sink is not None and connection is not None and not connection.closed:
            self.loop.call_soon(connection.resume_streaming)  # nobody takes the rest: it is read past
        self.on_outcome(command, outcome, answer, note, load)

    def close_expired_idle(self) -> None:
        """Closes idle connections before the endpoints do: a command sent to a closed one may have run."""
        oldest = self.loop.time() - self.idle_timeout_s
        for pool in self.pools.values():
            pool.close_idle(oldest)

    def close_idle(self, name: str) -> None:
        """Closes the idle connections to an endpoint."""
        if name in self.pools:
            self.pools[name].close_idle()

    def close(self) -> None:
        """Closes all connections at once."""
        for pool in self.pools.values():
            for connection in list(pool.connections):
                connection.abort()

    def _apply_entry(self, entry: tuple[Any, ...], addresses: dict[str, str]) -> None:
        name = entry[0]
        state = entry[4]
        pool = self.pools.get(name)
        if pool is None:
            pool = self.pools[name] = ConnectionPool(self, name)
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
        if address != pool.address:  # the name has moved: what waits for the old address is not sent there
            pool.close_unused()
            pool.address = address

    @staticmethod
    def _call_off(command: UpstreamCommand, connection: UpstreamConnection, outcome: str) -> str:
        """Keeps a command that is given up from leaving, if it can be done; the outcome to tell."""
        if not connection.is_open:
            connection.pending.remove(command)
            return "moot"  # never written; the connection may come up and serve the next command
        if connection.shares_connection(command):
            connection.overdue = connection.overdue or outcome == "timeout"
            return outcome
        # No byte of it may leave any more, and what is still queued goes only with the connection. It is
        # removed first, so that the abort does not tell its outcome.
        connection.pending.remove(command)
        connection.abort()
        connection.pool.preconnect()
        return outcome
