"""Graceful shutdown of the clients' side: one mechanism for `quiesce`, `resume` and SIGTERM.

From `begin` on each client connection closes behind its next answer; idle ones close after a delay in which
the load balancer in front turns away. `cancel` undoes it, unless it is final. Ending the process is the
proxy's part, once nobody is owed an answer.
"""

import asyncio
from collections.abc import Callable
from math import inf

from calicofall.proxy.clients import ClientConnections

IDLE_CLOSE_DELAY_S = 0.45
REPLACED_IDLE_CLOSE_DELAY_S = 2.5  # where another process has taken over: more connections end behind answers
OVERDUE_CLOSE_DELAY_S = 0.2  # over the longest deadline; then connections without a whole command close
OVERDUE_CHECK_INTERVAL_S = 0.1
ANSWER_SLACK_S = 0.6  # over the longest deadline, by which all that came meanwhile is answered
MAX_DEADLINE_S = 3.0  # of a deadline that counts: a process that was told to end is killed soon after


class GracefulShutdown:
    """The state of a shutdown and its timed steps.

    Args:
        loop: The event loop.
        clients: The connections to close.
        longest_deadline_s: Gives the longest deadline of a request under the present settings.
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
        self.is_final = False  # SIGTERM
        self.timers: list[asyncio.TimerHandle] = []

    def in_flight_timeout_s(self) -> float:
        """How long requests in flight have to end."""
        return min(MAX_DEADLINE_S, self.longest_deadline_s())

    @property
    def answers_due_at(self) -> float:
        """By when a request that comes now is answered, on the loop's clock."""
        if self.began_at is None:
            return inf
        return self.began_at + self.in_flight_timeout_s() + ANSWER_SLACK_S

    def begin(self, idle_close_delay_s: float = IDLE_CLOSE_DELAY_S, reject_ping: bool = True) -> None:
        """Begins the shutdown; one that is under way goes on as it is.

        Args:
            idle_close_delay_s: After which time idle connections close.
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
        """Closes connections without a whole command, now and at intervals."""
        self.clients.close_unfinished()
        self.timers = [self.loop.call_later(OVERDUE_CHECK_INTERVAL_S, self.close_overdue_clients)]

    def cancel(self) -> bool:
        """Goes back to normal service; False if the shutdown is final."""
        if self.is_final:
            return False
        for timer in self.timers:
            timer.cancel()
        self.timers = []
        self.began_at = None
        self.clients.cancel_shutdown()
        return True
