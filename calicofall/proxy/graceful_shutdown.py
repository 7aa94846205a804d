"""Graceful shutdown of the clients' connections, for `quiesce`, `resume` and SIGTERM.

From `begin` on, each client connection closes after its next reply. Idle connections close after a delay in
which the load balancer in front stops using this proxy. `cancel` undoes the shutdown unless it is final. The
proxy ends the process once no reply is due.
"""

import asyncio
from collections.abc import Callable
from math import inf

from calicofall.proxy.clients import ClientConnections

IDLE_CLOSE_DELAY_S = 0.45
REPLACED_IDLE_CLOSE_DELAY_S = 2.5  # after another process took over: more connections close after a reply
OVERDUE_CLOSE_DELAY_S = 0.2  # after the longest deadline: connections without a complete command close
OVERDUE_CHECK_INTERVAL_S = 0.1
ANSWER_SLACK_S = 0.6  # after the longest deadline: all requests received until then are answered
MAX_DEADLINE_S = 3.0  # a longer deadline counts as this, since a process is killed soon after its SIGTERM


class GracefulShutdown:
    """The state of a shutdown and its timers.

    Args:
        loop: The event loop.
        clients: The connections to close.
        longest_deadline_s: Returns the longest deadline of a request under the current settings.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clients: ClientConnections,
        longest_deadline_s: Callable[[], float],
    ) -> None:
        self.loop = loop
        self.clients = clients
        self.longest_deadline_s = longest_deadline_s
        self.began_at: float | None = None
        self.is_final = False  # whether SIGTERM was received
        self.timers: list[asyncio.TimerHandle] = []

    def in_flight_timeout_s(self) -> float:
        """Returns the time that requests in flight have to finish."""
        return min(MAX_DEADLINE_S, self.longest_deadline_s())

    @property
    def answers_due_at(self) -> float:
        """The time by which a request received now is answered (s, the loop's clock)."""
        if self.began_at is None:
            return inf
        return self.began_at + self.in_flight_timeout_s() + ANSWER_SLACK_S

    def begin(self, idle_close_delay_s: float = IDLE_CLOSE_DELAY_S, reject_ping: bool = True) -> None:
        """Begins the shutdown; the timers of a shutdown that has already begun do not change.

        Args:
            idle_close_delay_s: The time after which idle connections close.
            reject_ping: Whether PING is answered with an error from now on.
        """
        self.clients.rejects_ping = self.clients.rejects_ping or reject_ping
        if self.began_at is not None:
            return
        self.began_at = self.loop.time()
        self.clients.close_after_reply = True
        self.timers = [
            self.loop.call_later(idle_close_delay_s, self.clients.close_idle),
            self.loop.call_later(
                self.in_flight_timeout_s() + OVERDUE_CLOSE_DELAY_S, self.close_overdue_clients
            ),
        ]

    def close_overdue_clients(self) -> None:
        """Closes connections without a complete command, now and at intervals."""
        self.clients.close_unfinished()
        self.timers = [self.loop.call_later(OVERDUE_CHECK_INTERVAL_S, self.close_overdue_clients)]

    def cancel(self) -> bool:
        """Resumes normal operation; returns False if the shutdown is final."""
        if self.is_final:
            return False
        for timer in self.timers:
            timer.cancel()
        self.timers = []
        self.began_at = None
        self.clients.cancel_shutdown()
        return True
