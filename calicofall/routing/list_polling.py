"""When the list of endpoints is asked for, where it is polled: with a pause that grows after failures."""

from math import inf
from random import Random

from calicofall.routing.actions import Outbox, PollEndpointList

FIRST_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 4000.0


class ListPolling:
    """The moment of the next poll, and the backoff between polls that fail."""

    def __init__(self, now: float, enabled: bool, outbox: Outbox) -> None:
        """Polls at once where enabled, else when a list fails."""
        self.enabled = enabled
        self.poll_at = now if enabled else inf
        self.backoff_ms = FIRST_BACKOFF_MS
        self._outbox = outbox

    def on_failure(self, now: float, random_generator: Random) -> None:
        """A list did not come: it is asked for again after a random pause."""
        if self.backoff_ms == FIRST_BACKOFF_MS:
            self._outbox.log("list call failed: asked again after a random pause")
        # Without a random pause all proxies would ask again in step and fill the list's service once more.
        self.poll_at = now + self.backoff_ms * random_generator.uniform(0.5, 1.5)
        self.backoff_ms = min(self.backoff_ms * 2, MAX_BACKOFF_MS)

    def on_list(self, cached: bool) -> None:
        """A list came; one from a cache of this proxy's own leaves the poll due."""
        if not cached and self.enabled:
            self.poll_at = inf
            self.backoff_ms = FIRST_BACKOFF_MS

    def poll_if_due(self, now: float, interval_ms: float) -> None:
        """Asks for the list where it is time to; `interval_ms`: the longest time between two polls."""
        if now >= self.poll_at:
            self._outbox.add(PollEndpointList())
            # If neither list nor failure comes back, ask again well within the stated interval.
            self.poll_at = now + interval_ms / 2

    def wait_ms(self, now: float) -> float:
        """How long until the next poll."""
        return self.poll_at - now
