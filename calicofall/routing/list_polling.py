"""Polling of the endpoint list, with a backoff after failures."""

from math import inf
from random import Random

from calicofall.routing.actions import Outbox, PollEndpointList

INITIAL_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 4000.0


class ListPolling:
    """The time of the next poll, and the backoff after a failed one."""

    def __init__(self, now: float, enabled: bool, outbox: Outbox) -> None:
        """Schedules the first poll at once if polling is enabled, otherwise after the first failed list."""
        self.enabled = enabled
        self.poll_at = now if enabled else inf
        self.backoff_ms = INITIAL_BACKOFF_MS
        self._outbox = outbox

    def on_failure(self, now: float, random_generator: Random) -> None:
        """Schedules a poll after a random backoff, as no list arrived."""
        if self.backoff_ms == INITIAL_BACKOFF_MS:
            self._outbox.log("list call failed: asked again after a random pause")
        # Without randomness, all proxies would poll again at once and overload the list service.
        self.poll_at = now + self.backoff_ms * random_generator.uniform(0.5, 1.5)
        self.backoff_ms = min(self.backoff_ms * 2, MAX_BACKOFF_MS)

    def on_list(self, cached: bool) -> None:
        """Ends the backoff after a list; a list from the proxy's own cache does not change the schedule."""
        if not cached and self.enabled:
            self.poll_at = inf
            self.backoff_ms = INITIAL_BACKOFF_MS

    def poll_if_due(self, now: float, interval_ms: float) -> None:
        """Requests the list if a poll is due; `interval_ms` is the longest time between two polls."""
        if now >= self.poll_at:
            self._outbox.add(PollEndpointList())
            # If neither a list nor a failure arrives, poll again well within the interval.
            self.poll_at = now + interval_ms / 2

    def wait_ms(self, now: float) -> float:
        """Returns the time until the next poll."""
        return self.poll_at - now
